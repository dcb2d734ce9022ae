//! Crashes of targets and the requests that ran there, on their way through the fleet.
//!
//! News is part of the next heartbeats. Routers that start, or were cut off, are told what was
//! news before, with its age.
//!
//! Invariants:
//! - A row that is told appears no more recent than when its sender learned it, but for the
//!   delay of the network, so restarts in series do not prolong the rejection of a request.
//! - Routers that start are told at most [`MAX_TOLD`] rows, each a fixed number of times.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

use super::message::{AgedCrashRow, CrashRow};
use super::records::RecordLog;
use crate::direct::crash::{CRASH_RECORD_TTL, MAX_CRASHED_TARGETS};

/// The maximum number of rows in a heartbeat.
const MAX_BEAT_ROWS: usize = 48;

/// The maximum number of rows in a message to routers that start.
const MAX_ROWS: usize = 64;

/// The maximum number of rows that routers that start are told.
const MAX_TOLD: usize = 4 * MAX_ROWS;

/// The number of rounds of heartbeats with which a row is told, since datagrams may be lost.
const REPEATS: u8 = 4;

/// The number of crashes from which routers that start are told of a request. A target that
/// dies takes many requests with it, and few of them twice.
const MIN_TOLD_CRASHES: usize = MAX_CRASHED_TARGETS - 1;

/// The crashes that this router passes on.
#[derive(Clone, Debug)]
pub(super) struct CrashLog {
    records: RecordLog<CrashRow>,
    /// The rows for routers that start, with the number of times they were sent; those of the
    /// next message come first.
    told: Vec<(CrashRow, u8)>,
}

impl Default for CrashLog {
    fn default() -> Self {
        Self {
            records: RecordLog::new(MAX_BEAT_ROWS),
            told: Vec::new(),
        }
    }
}

impl CrashLog {
    /// Adds crashes that were just noticed; returns those that are news.
    pub(super) fn add(
        &mut self,
        rows: impl IntoIterator<Item = CrashRow>,
        now: Instant,
    ) -> Vec<CrashRow> {
        self.records.add(rows, now)
    }

    /// Adds earlier crashes, to be told on; returns those that are news.
    pub(super) fn add_earlier(
        &mut self,
        rows: Vec<AgedCrashRow>,
        now: Instant,
    ) -> Vec<AgedCrashRow> {
        let mut new = rows;
        new.retain(|row| {
            let at = now.checked_sub(Duration::from_millis(row.age.into()));
            at.is_some_and(|at| self.records.insert(row.crash(), at))
        });
        let room = MAX_TOLD.saturating_sub(self.told.len());
        let told = new.iter().take(room).map(|row| (row.crash(), 0));
        self.told.extend(told);
        new
    }

    /// Tells routers that start of the requests that crashed several targets.
    pub(super) fn tell_again(&mut self, now: Instant) {
        let is_current = |at| now.saturating_duration_since(at) < CRASH_RECORD_TTL;
        let records = self.records.records().filter(|(_, at)| is_current(*at));
        let records: Vec<(CrashRow, Instant)> = records.collect();
        let mut counts: FxHashMap<u128, usize> = FxHashMap::default();
        for (row, _) in &records {
            *counts.entry(row.request).or_default() += 1;
        }
        let told = records.into_iter().map(|(row, _)| row);
        let mut told: Vec<CrashRow> = told
            .filter(|row| counts[&row.request] >= MIN_TOLD_CRASHES)
            .collect();
        told.sort_unstable_by_key(|row| (Reverse(counts[&row.request]), row.request, row.target));
        told.truncate(MAX_TOLD);
        self.told = told.into_iter().map(|row| (row, 0)).collect();
    }

    /// The crashes for the next heartbeat.
    pub(super) fn pending(&self) -> Vec<CrashRow> {
        self.records.pending()
    }

    /// The next message to routers that start; `None` if there is none.
    pub(super) fn told(&self, now: Instant) -> Option<Vec<AgedCrashRow>> {
        let told = self.told.iter().take(MAX_ROWS);
        let rows = told.filter_map(|&(row, _)| {
            let at = self.records.known_since(row)?;
            Some(AgedCrashRow {
                request: row.request,
                target: row.target,
                age: age(at, now),
            })
        });
        let rows: Vec<AgedCrashRow> = rows.collect();
        (!rows.is_empty()).then_some(rows)
    }

    /// Counts one repeat of the rows in the messages, and forgets old ones.
    pub(super) fn count_repeat(&mut self, now: Instant) {
        self.records.count_repeat(now);
        for (_, sent) in self.told.iter_mut().take(MAX_ROWS) {
            *sent += 1;
        }
        self.told.retain(|(_, sent)| *sent < REPEATS);
        self.told.sort_by_key(|(_, sent)| *sent);
    }
}

/// Rounded up, so that a row never appears more recent than it is.
fn age(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX).saturating_add(1)
}
