//! Which routers send to a cold target, and how often.
//!
//! Operators bound the arrivals of one second at a cold target over all routers.
//! A router that may send at all may do so at once, so of many routers only as
//! many send to a target as the bound has room for; each target has others. They
//! are the least by a hash of router and target, so that all routers compute the
//! same without talk.
//!
//! Invariants:
//! - The parts of all routers that know the same members add up to no more than
//!   the bound, with the one arrival that each sender may have saved up.
//! - A router that cannot know its peers yet sends nothing to a cold target.

use xxhash_rust::xxh3::xxh3_64;

/// The part of a target's stated rate that all routers together use.
///
/// The rest covers arrivals that were under way when the target turned cold.
const RATE_SHARE: f64 = 0.7;

/// The part of the bound that is given away.
///
/// The rest covers routers that join or leave, of which not all know yet.
const BOUND_SHARE: f64 = 0.8;

/// The operators' bound on what a cold target gets in one second.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ColdBound {
    /// The bound as a multiple of the rate that the target states.
    pub over: f64,
    /// Arrivals beyond that.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            over: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdBound {
    fn most(self, rate: f64) -> f64 {
        rate * self.over + self.slack
    }
}

/// The routers that limits over the whole fleet are divided by.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Members {
    own: u64,
    others: Vec<u64>,
    settled: bool,
}

impl Members {
    /// Creates the members as one router knows them, by tags of their names.
    ///
    /// `settled` tells whether it had time to hear of all others.
    pub fn new(own: u64, others: Vec<u64>, settled: bool) -> Self {
        Self {
            own,
            others,
            settled,
        }
    }

    /// The number of routers, this one included.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// The rank of this router among the senders to a target, from 0.
    fn rank(&self, target: u64) -> usize {
        let score = |member: u64| {
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&member.to_le_bytes());
            bytes[8..].copy_from_slice(&target.to_le_bytes());
            (xxh3_64(&bytes), member)
        };
        let own = score(self.own);
        let others = self.others.iter();
        others.filter(|&&other| score(other) < own).count()
    }

    /// The arrivals per second that this router may send to a cold target that
    /// states `rate`; none if the others use all of the bound.
    pub fn cold_part(&self, target: u64, rate: f64, bound: ColdBound) -> Option<f64> {
        let used = rate * RATE_SHARE;
        let bursts = (bound.most(rate) * BOUND_SHARE - used).floor().max(1.0);
        let senders = (bursts as usize).min(self.count());
        let is_sender = self.settled && self.rank(target) < senders;
        is_sender.then(|| used / senders as f64)
    }
}
