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
use crate::direct::part_crash::{MIN_ROUNDS, PART_TTL};

/// The maximum number of rows of each kind in a message.
pub const MAX_ROWS: usize = 64;

/// The number of rounds of heartbeats with which a row is sent, since datagrams may be lost.
const REPEATS: u8 = 4;

/// The number of crashes under a part from which routers that start are told of it.
const MIN_TOLD_CRASHES: u32 = MIN_ROUNDS as u32;

/// The maximum number of rows of each kind that are remembered.
const MAX_KNOWN: usize = 8_192;

/// The least difference of two runs that are both told.
const MIN_RUN_STEP: Duration = Duration::from_millis(200);

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
    runs: FxHashMap<u64, Duration>,
    /// The rows to be sent, with the number of times they were; those of the next message
    /// come first.
    pending_crashes: Vec<((u64, u64), u8)>,
    pending_runs: Vec<(u64, u8)>,
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
            let at = now.saturating_sub(millis(row.age));
            let has_room = self.runs.len() < MAX_KNOWN || self.runs.contains_key(&row.part);
            let known = self.runs.get(&row.part).copied();
            // A run told by two routers has two times, as far apart as rounding makes them.
            let is_news = known.is_none_or(|known| at > known + MIN_RUN_STEP);
            if !has_room || !is_news {
                continue;
            }
            self.runs.insert(row.part, at);
            self.pending_runs.retain(|(part, _)| *part != row.part);
            self.pending_runs.insert(0, (row.part, 0));
            new.runs.push(row);
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
        let runs = self.runs.keys().filter(|part| is_told(part));
        let runs: Vec<(u64, u8)> = runs.map(|&part| (part, 0)).collect();
        self.pending_crashes.retain(|(key, _)| !is_told(&key.0));
        self.pending_runs.retain(|(part, _)| !is_told(part));
        self.pending_crashes.extend(crashes);
        self.pending_runs.splice(0..0, runs);
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
        let runs = self.pending_runs.iter().take(MAX_ROWS);
        let runs = runs.filter_map(|&(part, _)| {
            let at = *self.runs.get(&part)?;
            let age = age(at, now);
            Some(PartRunRow { part, age })
        });
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
        count(&mut self.pending_runs);
        self.pending_runs.sort_by_key(|(_, sent)| *sent);
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
        self.runs.retain(|_, at| is_recent(*at));
    }
}

fn count<T>(pending: &mut Vec<(T, u8)>) {
    for (_, sent) in pending.iter_mut().take(MAX_ROWS) {
        *sent += 1;
    }
    pending.retain(|(_, sent)| *sent < REPEATS);
}

fn millis(age: u32) -> Duration {
    Duration::from_millis(age.into())
}

/// Rounded up, so that a row never appears more recent than it is.
fn age(at: Duration, now: Duration) -> u32 {
    let age = now.saturating_sub(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX).saturating_add(1)
}
