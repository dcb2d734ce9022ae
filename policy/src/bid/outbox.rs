//! What a router has told each agent of its waiting requests.
//!
//! An agent is told at once when a queue becomes non-empty. Other changes ride
//! along with the next update; they cost no message of their own, because an agent
//! learns from the answer to each pull what is left.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use entity::{Class, TargetId, TeamId};

use super::REFRESH_INTERVAL;

/// The team and class of a bid.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct BidKey {
    /// The team.
    pub team: TeamId,
    /// The class.
    pub class: Class,
}

#[derive(Clone, Default, Debug)]
struct Told {
    waiting: BTreeMap<BidKey, u32>,
    dirty: BTreeSet<BidKey>,
    urgent: bool,
    refreshed: Option<Instant>,
}

/// The bids as each agent knows them.
#[derive(Clone, Default, Debug)]
pub struct Outbox {
    agents: BTreeMap<TargetId, Told>,
    sequence: u64,
}

impl Outbox {
    /// Notes that `waiting` requests of `key` now wait that `target` could run.
    pub fn note(&mut self, target: TargetId, key: BidKey, waiting: u32) {
        let told = self.agents.entry(target).or_default();
        let known = told.waiting.get(&key).copied().unwrap_or(0);
        match known {
            _ if waiting == known => {
                told.dirty.remove(&key);
            }
            _ => {
                told.dirty.insert(key);
                told.urgent |= waiting > 0 && known == 0;
            }
        }
    }

    /// Notes what the answer to a pull tells the agent.
    pub fn told(&mut self, target: TargetId, key: BidKey, waiting: u32) {
        let told = self.agents.entry(target).or_default();
        told.dirty.remove(&key);
        set(&mut told.waiting, key, waiting);
    }

    /// The agents that must be told of a change now.
    pub fn urgent(&mut self) -> Vec<TargetId> {
        let urgent = self.agents.iter_mut().filter(|(_, told)| told.urgent);
        urgent
            .map(|(&target, told)| {
                told.urgent = false;
                target
            })
            .collect()
    }

    /// The changes to tell `target`, which counts as told by them.
    ///
    /// The first update of an agent starts the interval of its full updates.
    pub fn take(
        &mut self,
        now: Instant,
        target: TargetId,
        waiting: impl Fn(BidKey) -> u32,
    ) -> Vec<(BidKey, u32)> {
        let told = self.agents.entry(target).or_default();
        told.refreshed.get_or_insert(now);
        let dirty = core::mem::take(&mut told.dirty);
        let bids: Vec<_> = dirty.into_iter().map(|key| (key, waiting(key))).collect();
        for &(key, count) in &bids {
            set(&mut told.waiting, key, count);
        }
        bids
    }

    /// Replaces what `target` knows, for a full update.
    pub fn replace(&mut self, now: Instant, target: TargetId, bids: &[(BidKey, u32)]) {
        let told = Told {
            waiting: bids.iter().copied().collect(),
            refreshed: Some(now),
            ..Told::default()
        };
        self.agents.insert(target, told);
    }

    /// Forgets what an agent was told that cannot be reached.
    pub fn forget(&mut self, target: TargetId) {
        self.agents.remove(&target);
    }

    /// Whether `target` is due for a full update.
    ///
    /// An agent that was told of nothing and for which nothing waits is never due.
    pub fn is_due(&self, now: Instant, target: TargetId, idle: bool) -> bool {
        match self.agents.get(&target) {
            Some(told) if idle && told.waiting.is_empty() => false,
            Some(told) => told.refreshed.is_none_or(|at| now >= at + REFRESH_INTERVAL),
            None => !idle,
        }
    }

    /// The sequence number of the next update.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

fn set(waiting: &mut BTreeMap<BidKey, u32>, key: BidKey, count: u32) {
    match count {
        0 => waiting.remove(&key),
        _ => waiting.insert(key, count),
    };
}
