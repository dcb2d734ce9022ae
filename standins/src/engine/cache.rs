//! The prefix cache and its event feed.
//!
//! Like the feed of a real engine, this one is unreliable: events become
//! visible with a delay and some are lost. Readers can detect a lost event only
//! by a gap in the event numbers.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Cached prefixes, least recently used first.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: u64,
    entries: VecDeque<(u64, u32)>,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            entries: VecDeque::new(),
        }
    }

    /// The number of tokens of a prefix, if it is cached.
    pub fn tokens(&self, prefix: u64) -> Option<u32> {
        self.entries
            .iter()
            .find(|(other, _)| *other == prefix)
            .map(|(_, tokens)| *tokens)
    }

    /// Marks a prefix as most recently used; returns whether it is cached.
    pub fn mark_used(&mut self, prefix: u64) -> bool {
        let Some(at) = self.entries.iter().position(|(other, _)| *other == prefix) else {
            return false;
        };
        let entry = self.entries.remove(at).expect("the position is in range");
        self.entries.push_back(entry);
        true
    }

    /// Inserts a prefix and returns the evicted ones.
    pub fn insert(&mut self, prefix: u64, tokens: u32) -> Vec<u64> {
        self.entries.retain(|(other, _)| *other != prefix);
        self.entries.push_back((prefix, tokens));
        let mut evicted = Vec::new();
        while self.cached_tokens() > self.capacity {
            let (oldest, _) = self
                .entries
                .pop_front()
                .expect("a cache over its capacity is not empty");
            evicted.push(oldest);
        }
        evicted
    }

    /// Removes all prefixes.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn cached_tokens(&self) -> u64 {
        self.entries.iter().map(|(_, n)| u64::from(*n)).sum()
    }
}

/// The kind of a cache event.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// A prefix was inserted.
    Stored,
    /// A prefix was evicted.
    Evicted,
    /// The whole cache was cleared.
    Cleared,
}

/// One event of the feed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event number, starting at 1.
    pub number: u64,
    /// The kind of event.
    pub kind: CacheEventKind,
    /// The hash of the prefix; 0 if the whole cache was cleared.
    pub prefix: u64,
}

/// The event feed. Events become visible after `lag`, and every `gap`-th event is lost.
#[derive(Clone, Debug)]
pub struct EventLog {
    lag: Duration,
    gap: u64,
    last_number: u64,
    events: VecDeque<(Duration, CacheEvent)>,
}

/// The maximum number of events that the feed retains.
const MAX_EVENTS: usize = 4096;

impl EventLog {
    /// Creates an empty feed; with a `gap` of 0, no event is lost.
    pub fn new(lag: Duration, gap: u64) -> Self {
        Self {
            lag,
            gap,
            last_number: 0,
            events: VecDeque::new(),
        }
    }

    /// Adds an event at `now`.
    pub fn push(&mut self, now: Duration, kind: CacheEventKind, prefix: u64) {
        self.last_number += 1;
        let number = self.last_number;
        if self.gap > 0 && number.is_multiple_of(self.gap) {
            return;
        }
        let event = CacheEvent {
            number,
            kind,
            prefix,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// The events after number `after` that are visible at `now`.
    pub fn visible(&self, now: Duration, after: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| *at + self.lag <= now && event.number > after)
            .map(|(_, event)| *event)
            .collect()
    }
}
