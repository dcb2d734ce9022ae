//! Bid updates that a router has sent, or still has to send, to each agent.
//!
//! A queue that becomes non-empty is announced immediately. Other changes are sent
//! with the next update and need no message of their own, because the reply to each
//! pull tells the agent how many requests remain.

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
struct AdvertisedBids {
    waiting: BTreeMap<BidKey, u32>,
    changed: BTreeSet<BidKey>,
    urgent: bool,
    last_full_update: Option<Instant>,
}

/// The bids that each agent has been sent.
#[derive(Clone, Default, Debug)]
pub struct Outbox {
    agents: BTreeMap<TargetId, AdvertisedBids>,
    sequence: u64,
}

impl Outbox {
    /// Records that `waiting` requests of `key` that `target` could run are now queued.
    pub fn set_waiting(&mut self, target: TargetId, key: BidKey, waiting: u32) {
        let advertised = self.agents.entry(target).or_default();
        let known = advertised.waiting.get(&key).copied().unwrap_or(0);
        match known {
            _ if waiting == known => {
                advertised.changed.remove(&key);
            }
            _ => {
                advertised.changed.insert(key);
                advertised.urgent |= waiting > 0 && known == 0;
            }
        }
    }

    /// Records the number of remaining requests that a reply to a pull sends to the agent.
    pub fn record_pull_reply(&mut self, target: TargetId, key: BidKey, waiting: u32) {
        let advertised = self.agents.entry(target).or_default();
        advertised.changed.remove(&key);
        set_count(&mut advertised.waiting, key, waiting);
    }

    /// Returns the agents that need an update immediately and clears their urgent flags.
    pub fn take_urgent(&mut self) -> Vec<TargetId> {
        let urgent = self
            .agents
            .iter_mut()
            .filter(|(_, advertised)| advertised.urgent);
        urgent
            .map(|(&target, advertised)| {
                advertised.urgent = false;
                target
            })
            .collect()
    }

    /// Returns the changes to send to `target` and marks them as sent.
    ///
    /// The first update of an agent starts its full-update interval.
    pub fn take_changes(
        &mut self,
        now: Instant,
        target: TargetId,
        waiting: impl Fn(BidKey) -> u32,
    ) -> Vec<(BidKey, u32)> {
        let advertised = self.agents.entry(target).or_default();
        advertised.last_full_update.get_or_insert(now);
        let changed = core::mem::take(&mut advertised.changed);
        let bids: Vec<_> = changed.into_iter().map(|key| (key, waiting(key))).collect();
        for &(key, count) in &bids {
            set_count(&mut advertised.waiting, key, count);
        }
        bids
    }

    /// Replaces the bids sent to `target`, for a full update.
    pub fn replace(&mut self, now: Instant, target: TargetId, bids: &[(BidKey, u32)]) {
        let advertised = AdvertisedBids {
            waiting: bids.iter().copied().collect(),
            last_full_update: Some(now),
            ..AdvertisedBids::default()
        };
        self.agents.insert(target, advertised);
    }

    /// Drops the state of an unreachable agent, so that its next update is a full one.
    pub fn drop_agent(&mut self, target: TargetId) {
        self.agents.remove(&target);
    }

    /// Whether `target` is due for a full update.
    ///
    /// An agent that holds no bids and for which no request waits is never due.
    pub fn is_due(&self, now: Instant, target: TargetId, idle: bool) -> bool {
        match self.agents.get(&target) {
            Some(advertised) if idle && advertised.waiting.is_empty() => false,
            Some(advertised) => advertised
                .last_full_update
                .is_none_or(|at| now >= at + REFRESH_INTERVAL),
            None => !idle,
        }
    }

    /// Allocates the sequence number of the next update.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

fn set_count(waiting: &mut BTreeMap<BidKey, u32>, key: BidKey, count: u32) {
    match count {
        0 => waiting.remove(&key),
        _ => waiting.insert(key, count),
    };
}
