//! The prefix cache and its event feed.
//!
//! The feed is as unreliable as a real one: events become visible late and
//! some never do, which readers notice only by a gap in the numbers.

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
    /// Creates an empty cache for `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            entries: VecDeque::new(),
        }
    }

    /// The tokens of a prefix that is cached.
    pub fn tokens(&self, prefix: u64) -> Option<u32> {
        self.entries
            .iter()
            .find(|(other, _)| *other == prefix)
            .map(|(_, tokens)| *tokens)
    }

    /// Marks a prefix as used; true if it was cached.
    pub fn touch(&mut self, prefix: u64) -> bool {
        let Some(at) = self.entries.iter().position(|(other, _)| *other == prefix) else {
            return false;
        };
        let entry = self.entries.remove(at).expect("position is in range");
        self.entries.push_back(entry);
        true
    }

    /// Stores a prefix and returns those that were evicted for it.
    pub fn store(&mut self, prefix: u64, tokens: u32) -> Vec<u64> {
        self.entries.retain(|(other, _)| *other != prefix);
        self.entries.push_back((prefix, tokens));
        let mut evicted = Vec::new();
        while self.held() > self.capacity {
            let (oldest, _) = self.entries.pop_front().expect("tokens are held");
            evicted.push(oldest);
        }
        evicted
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn held(&self) -> u64 {
        self.entries.iter().map(|(_, n)| u64::from(*n)).sum()
    }
}

/// What happened to a prefix.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
    /// The whole cache was lost.
    Cleared,
}

/// One event of the feed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number, from 1.
    pub number: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The prefix; 0 if all were lost.
    pub prefix: u64,
}

/// The feed: events become visible after a lag, and every `gap`-th never does.
#[derive(Clone, Debug)]
pub struct EventLog {
    lag: Duration,
    gap: u64,
    last: u64,
    events: VecDeque<(Duration, CacheEvent)>,
}

/// The number of events that the feed holds.
const EVENTS_HELD: usize = 4096;

impl EventLog {
    /// Creates an empty feed; a `gap` of 0 loses nothing.
    pub fn new(lag: Duration, gap: u64) -> Self {
        Self {
            lag,
            gap,
            last: 0,
            events: VecDeque::new(),
        }
    }

    /// Adds an event at `now`.
    pub fn push(&mut self, now: Duration, kind: CacheEventKind, prefix: u64) {
        self.last += 1;
        let number = self.last;
        if self.gap > 0 && number.is_multiple_of(self.gap) {
            return;
        }
        let event = CacheEvent {
            number,
            kind,
            prefix,
        };
        self.events.push_back((now, event));
        if self.events.len() > EVENTS_HELD {
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
