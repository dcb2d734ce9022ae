//! Records that each router passes on to all others.
//!
//! Invariants:
//! - A record is passed on a fixed number of times after it became known, since
//!   datagrams may be lost, and again only for routers that missed it.
//! - At most [`MAX_RECORDS`] are remembered, for [`RECORD_TTL`].

use std::hash::Hash;
use std::time::{Duration, Instant};

use rustc_hash::{FxHashMap, FxHashSet};

/// The number of rounds of heartbeats with which a record is repeated.
const RECORD_REPEATS: u8 = 10;

/// The number of rounds with which a record is repeated for a router that missed it.
const MISSED_REPEATS: u8 = 4;

/// How long a record is remembered; longer than it travels through a fleet.
const RECORD_TTL: Duration = Duration::from_secs(120);

/// The maximum number of records; further ones are not passed on.
const MAX_RECORDS: usize = 8_192;

/// The records of one kind.
#[derive(Clone, Debug)]
pub(super) struct RecordLog<T> {
    /// The maximum number of records in a message.
    limit: usize,
    known: FxHashMap<T, Instant>,
    /// The records to be passed on, with the remaining repeats.
    pending: Vec<(T, u8)>,
}

impl<T: Copy + Eq + Hash> RecordLog<T> {
    /// Creates an empty log; `limit` is the maximum number of records in a message.
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            known: FxHashMap::default(),
            pending: Vec::new(),
        }
    }

    /// Adds records; returns those that were not known.
    pub(super) fn add(&mut self, records: impl IntoIterator<Item = T>, now: Instant) -> Vec<T> {
        let mut new = Vec::new();
        for record in records {
            if self.insert(record, now) {
                new.push(record);
            }
        }
        self.pending
            .extend(new.iter().map(|&record| (record, RECORD_REPEATS)));
        new
    }

    /// Adds a record that has been known since `at` and is not passed on; returns whether it
    /// was not known.
    pub(super) fn insert(&mut self, record: T, at: Instant) -> bool {
        if self.known.len() >= MAX_RECORDS || self.known.contains_key(&record) {
            return false;
        }
        self.known.insert(record, at);
        true
    }

    /// The records for the next message, oldest first.
    pub(super) fn pending(&self) -> Vec<T> {
        let pending = self.pending.iter().take(self.limit);
        pending.map(|(record, _)| *record).collect()
    }

    /// Passes all records on once more, since a router has missed some.
    pub(super) fn resend(&mut self) {
        let pending: FxHashSet<T> = self.pending.iter().map(|(record, _)| *record).collect();
        let missed = self.known.keys().filter(|record| !pending.contains(record));
        self.pending
            .extend(missed.map(|&record| (record, MISSED_REPEATS)));
    }

    /// Counts one repeat of the records in a message, and forgets old ones.
    pub(super) fn count_repeat(&mut self, now: Instant) {
        for (_, remaining) in self.pending.iter_mut().take(self.limit) {
            *remaining -= 1;
        }
        self.pending.retain(|(_, remaining)| *remaining > 0);
        self.known
            .retain(|_, &mut at| now.saturating_duration_since(at) < RECORD_TTL);
    }
}
