//! Crashes under prompt parts, and runs that clear parts, on their way through the fleet.
//!
//! A router passes on what is news to it, as it does with other records; a row states its
//! age, since runs clear only what was before.
//!
//! Invariants:
//! - A message has at most [`MAX_ROWS`] rows of each kind, and a row is sent a fixed
//!   number of times.
//! - A row never appears more recent than it is by more than the delay of the network.

use std::cmp::Reverse;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::message::{PartCrashRow, PartNews, PartRunRow};
pub use super::runs::MAX_ROWS;
use super::runs::{MAX_KNOWN, RunLog, age, count, millis};
use crate::direct::part_crash::{MIN_ROUNDS, PART_TTL};

/// The number of crashes under a part from which routers that start are told of it.
const MIN_TOLD_CRASHES: u32 = MIN_ROUNDS as u32;

/// A crash of a target under a part.
#[derive(Clone, Copy, Debug)]
struct Crash {
    /// In uptime of this VM.
    sent_at: Duration,
    broken_at: Duration,
}

/// The rows that this router passes on.
#[derive(Clone, Default, Debug)]
pub(super) struct PartLog {
    crashes: FxHashMap<(u64, u64), Crash>,
    runs: RunLog<u64>,
    /// The rows to be sent, with the number of times they were; those of the next message
    /// come first.
    pending_crashes: Vec<((u64, u64), u8)>,
    /// The number of crashes known under each part.
    counts: FxHashMap<u64, u32>,
    /// Whether crashes were added or sent since they were ordered.
    is_unordered: bool,
}

impl PartLog {
    /// Adds rows; returns those that are news.
    pub(super) fn add(&mut self, news: PartNews, now: Duration) -> PartNews {
        let mut new = PartNews::default();
        for row in news.crashes {
            let key = (row.part, row.target);
            if self.crashes.len() >= MAX_KNOWN || self.crashes.contains_key(&key) {
                continue;
            }
            let crash = Crash {
                sent_at: now.saturating_sub(millis(row.sent)),
                broken_at: now.saturating_sub(millis(row.broken)),
            };
            self.crashes.insert(key, crash);
            *self.counts.entry(row.part).or_default() += 1;
            self.pending_crashes.push((key, 0));
            new.crashes.push(row);
        }
        self.is_unordered |= !new.crashes.is_empty();
        for row in news.runs {
            if self.runs.add(row.part, row.age, now) {
                new.runs.push(row);
            }
        }
        new
    }

    /// Sends the rows of parts that may be rejected once more, since a router has started.
    pub(super) fn resend(&mut self) {
        let is_told = |part: &u64| {
            let count = self.counts.get(part);
            count.is_some_and(|&count| count >= MIN_TOLD_CRASHES)
        };
        let crashes = self.crashes.keys().filter(|(part, _)| is_told(part));
        let crashes: Vec<((u64, u64), u8)> = crashes.map(|&key| (key, 0)).collect();
        self.pending_crashes.retain(|(key, _)| !is_told(&key.0));
        self.pending_crashes.extend(crashes);
        self.runs.resend(is_told);
        self.is_unordered = true;
    }

    /// Orders the crashes: first those that were sent least often, and of these those of the
    /// parts under which most targets died.
    fn sort_crashes(&mut self) {
        if self.pending_crashes.len() <= MAX_ROWS {
            return;
        }
        let counts = &self.counts;
        let rank = |key: &(u64, u64)| Reverse(counts.get(&key.0).copied().unwrap_or_default());
        self.pending_crashes
            .sort_by_key(|(key, sent)| (*sent, rank(key), *key));
    }

    /// The rows for the next message; `None` if there are none.
    pub(super) fn pending(&mut self, now: Duration) -> Option<PartNews> {
        if std::mem::take(&mut self.is_unordered) {
            self.sort_crashes();
        }
        let crashes = self.pending_crashes.iter().take(MAX_ROWS);
        let crashes = crashes.filter_map(|(key, _)| {
            let crash = self.crashes.get(key)?;
            Some(PartCrashRow {
                part: key.0,
                target: key.1,
                sent: age(crash.sent_at, now),
                broken: age(crash.broken_at, now),
            })
        });
        let runs = self.runs.pending(now);
        let runs = runs.map(|(part, age)| PartRunRow { part, age });
        let news = PartNews {
            crashes: crashes.collect(),
            runs: runs.collect(),
        };
        (!news.is_empty()).then_some(news)
    }

    /// Counts one repeat of the rows in a message, and forgets old ones.
    pub(super) fn count_repeat(&mut self, now: Duration) {
        count(&mut self.pending_crashes);
        self.is_unordered = true;
        self.runs.count_repeat(PART_TTL, now);
        let is_recent = |at: Duration| now.saturating_sub(at) < PART_TTL;
        let counts = &mut self.counts;
        self.crashes.retain(|(part, _), crash| {
            let is_kept = is_recent(crash.broken_at);
            if let Some(count) = counts.get_mut(part).filter(|_| !is_kept) {
                *count = count.saturating_sub(1);
            }
            is_kept
        });
        self.counts.retain(|_, count| *count > 0);
    }
}
