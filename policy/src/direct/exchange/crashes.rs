//! Crashes of targets and the requests that ran there, on their way through the fleet.
//!
//! News is part of the next heartbeats. Routers that start, or were cut off, are told which
//! requests are rejected here, as are all once a request begins to be rejected. Crashes of
//! other requests are not told: a target that dies takes sound requests with it, and whether
//! these completed since is known to the routers that ran them.
//!
//! Invariants:
//! - A row that is told appears no more recent than the latest crash of its request that its
//!   sender knows, but for the delay of the network, so restarts in series do not prolong the
//!   rejection of a request.
//! - At most [`MAX_TOLD`] rows are told, each a fixed number of times.

use std::time::{Duration, Instant};

use rustc_hash::FxHashSet;

use super::message::{AgedCrashRow, CrashRow};
use super::records::RecordLog;

/// The maximum number of rows in a heartbeat.
const MAX_BEAT_ROWS: usize = 48;

/// The maximum number of rows in a message.
const MAX_ROWS: usize = 64;

/// The maximum number of rows that are told.
pub const MAX_TOLD: usize = 4 * MAX_ROWS;

/// The number of rounds of heartbeats with which a row is told, since datagrams may be lost.
const REPEATS: u8 = 4;

/// A crash of a rejected request, and when the latest one was.
type RejectedRow = (CrashRow, Instant);

/// The crashes that this router passes on.
#[derive(Clone, Debug)]
pub(super) struct CrashLog {
    news: RecordLog<CrashRow>,
    /// The crashes of the requests that this router rejects.
    rejected: Vec<RejectedRow>,
    /// The rows to be told, with the number of times they were; those of the next message
    /// come first.
    told: Vec<(RejectedRow, u8)>,
}

impl Default for CrashLog {
    fn default() -> Self {
        Self {
            news: RecordLog::new(MAX_BEAT_ROWS),
            rejected: Vec::new(),
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
        self.news.add(rows, now)
    }

    /// Adds crashes that a peer told; returns those that are news.
    pub(super) fn add_told(
        &mut self,
        mut rows: Vec<AgedCrashRow>,
        now: Instant,
    ) -> Vec<AgedCrashRow> {
        rows.retain(|row| {
            let at = now.checked_sub(Duration::from_millis(row.age.into()));
            at.is_some_and(|at| self.news.insert(row.crash(), at))
        });
        rows
    }

    /// Replaces the crashes of rejected requests, and tells all if a request is new.
    pub(super) fn set_rejected(&mut self, rejected: Vec<RejectedRow>) {
        let known = self.rejected.iter().map(|(row, _)| row.request);
        let known: FxHashSet<u128> = known.collect();
        let remaining = rejected.iter().map(|(row, _)| row.request);
        let remaining: FxHashSet<u128> = remaining.collect();
        self.told
            .retain(|((row, _), _)| remaining.contains(&row.request));
        let mut requests = rejected.iter().map(|(row, _)| row.request);
        let is_longer = requests.any(|request| !known.contains(&request));
        self.rejected = rejected;
        if is_longer {
            self.tell();
        }
    }

    /// Tells the crashes of rejected requests.
    pub(super) fn tell(&mut self) {
        let rows = self.rejected.iter().take(MAX_TOLD);
        self.told = rows.map(|&row| (row, 0)).collect();
    }

    /// The crashes for the next heartbeat.
    pub(super) fn pending(&self) -> Vec<CrashRow> {
        self.news.pending()
    }

    /// The rows of the next message; `None` if there are none.
    pub(super) fn told(&self, now: Instant) -> Option<Vec<AgedCrashRow>> {
        let told = self.told.iter().take(MAX_ROWS);
        let rows = told.map(|((row, at), _)| AgedCrashRow {
            request: row.request,
            target: row.target,
            age: age(*at, now),
        });
        let rows: Vec<AgedCrashRow> = rows.collect();
        (!rows.is_empty()).then_some(rows)
    }

    /// Counts one repeat of the rows in the messages, and forgets old ones.
    pub(super) fn count_repeat(&mut self, now: Instant) {
        self.news.count_repeat(now);
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
