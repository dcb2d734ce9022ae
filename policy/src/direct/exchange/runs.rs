//! Completed runs after which crashes no longer count, on their way through the fleet.
//!
//! Invariants:
//! - A row is sent a fixed number of times, and again only for a later run.
//! - A row never appears more recent than it is by more than the delay of the network.

use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::message::RequestRunRow;

/// The maximum number of rows in a message.
pub const MAX_ROWS: usize = 64;

/// The number of rounds of heartbeats with which a row is sent, since datagrams may be lost.
pub(super) const REPEATS: u8 = 4;

/// The maximum number of rows that are remembered.
pub(super) const MAX_KNOWN: usize = 8_192;

/// The least difference of two runs that are both told.
const MIN_RUN_STEP: Duration = Duration::from_millis(200);

/// The latest completed run with each part, or of each request.
#[derive(Clone, Debug)]
pub(super) struct RunLog<K> {
    /// In uptime of this VM.
    completed_at: FxHashMap<K, Duration>,
    /// The rows to be sent, with the number of times they were; those of the next message
    /// come first.
    pending: Vec<(K, u8)>,
}

impl<K> Default for RunLog<K> {
    fn default() -> Self {
        Self {
            completed_at: FxHashMap::default(),
            pending: Vec::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> RunLog<K> {
    /// Adds a run of some age, in milliseconds; returns whether it is news.
    pub(super) fn add(&mut self, key: K, age: u32, now: Duration) -> bool {
        let at = now.saturating_sub(millis(age));
        let known = self.completed_at.get(&key).copied();
        let has_room = known.is_some() || self.completed_at.len() < MAX_KNOWN;
        // A run told by two routers has two times, as far apart as rounding makes them.
        let is_news = has_room && known.is_none_or(|known| at > known + MIN_RUN_STEP);
        if is_news {
            self.completed_at.insert(key, at);
            self.pending.retain(|(it, _)| *it != key);
            self.pending.insert(0, (key, 0));
        }
        is_news
    }

    /// Sends some of the rows once more.
    pub(super) fn resend(&mut self, is_told: impl Fn(&K) -> bool) {
        let told = self.completed_at.keys().filter(|key| is_told(key));
        let told: Vec<(K, u8)> = told.map(|&key| (key, 0)).collect();
        self.pending.retain(|(key, _)| !is_told(key));
        self.pending.splice(0..0, told);
    }

    /// The rows for the next message, each with its age in milliseconds.
    pub(super) fn pending(&self, now: Duration) -> impl Iterator<Item = (K, u32)> {
        let pending = self.pending.iter().take(MAX_ROWS);
        pending.filter_map(move |&(key, _)| Some((key, age(*self.completed_at.get(&key)?, now))))
    }

    /// Counts one repeat of the rows in a message, and forgets those older than `ttl`.
    pub(super) fn count_repeat(&mut self, ttl: Duration, now: Duration) {
        count(&mut self.pending);
        self.pending.sort_by_key(|(_, sent)| *sent);
        self.completed_at
            .retain(|_, at| now.saturating_sub(*at) < ttl);
    }
}

impl RunLog<u128> {
    /// Adds runs of requests; returns those that are news.
    pub(super) fn add_requests(
        &mut self,
        mut rows: Vec<RequestRunRow>,
        now: Duration,
    ) -> Vec<RequestRunRow> {
        rows.retain(|row| self.add(row.request, row.age, now));
        rows
    }

    /// The rows of the next message; `None` if there are none.
    pub(super) fn pending_requests(&self, now: Duration) -> Option<Vec<RequestRunRow>> {
        let rows = self.pending(now);
        let rows = rows.map(|(request, age)| RequestRunRow { request, age });
        let rows: Vec<RequestRunRow> = rows.collect();
        (!rows.is_empty()).then_some(rows)
    }
}

/// Counts one repeat of the rows in a message.
pub(super) fn count<T>(pending: &mut Vec<(T, u8)>) {
    for (_, sent) in pending.iter_mut().take(MAX_ROWS) {
        *sent += 1;
    }
    pending.retain(|(_, sent)| *sent < REPEATS);
}

pub(super) fn millis(age: u32) -> Duration {
    Duration::from_millis(age.into())
}

/// Rounded up, so that a row never appears more recent than it is.
pub(super) fn age(at: Duration, now: Duration) -> u32 {
    let age = now.saturating_sub(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX).saturating_add(1)
}
