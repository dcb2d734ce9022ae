//! Distribution of a cold target's request rate over the routers.
//!
//! Operators limit the requests that a cold target receives within one second
//! from all routers. Each sender may have saved up one request, so only as
//! many routers send to a target as the limit has room for; the other routers use
//! other targets. The senders are those with the lowest hash of router and target,
//! so that all routers select the same senders without coordination.
//!
//! Invariants:
//! - The shares of all routers with the same member list add up to at most the
//!   limit, including the one request that each sender may have saved up.
//! - A router that may not know all its peers yet sends nothing to a cold target.

use xxhash_rust::xxh3::xxh3_64;

/// The fraction of a target's advertised cold rate that all routers together use.
///
/// The remainder covers requests that were in flight when the target became cold.
const RATE_FRACTION: f64 = 0.7;

/// The fraction of the limit that is allocated to senders.
///
/// The remainder covers routers that join or leave before all others know of it.
const LIMIT_FRACTION: f64 = 0.8;

/// The fleet-wide limit on the requests that a cold target receives in one
/// second.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ColdLimit {
    /// The limit as a multiple of the rate that the target advertises.
    pub rate_multiple: f64,
    /// Requests allowed in addition.
    pub extra_requests: f64,
}

impl Default for ColdLimit {
    fn default() -> Self {
        Self {
            rate_multiple: 1.0,
            extra_requests: 0.0,
        }
    }
}

impl ColdLimit {
    fn requests_per_second(self, rate: f64) -> f64 {
        rate * self.rate_multiple + self.extra_requests
    }
}

/// The routers among which fleet-wide limits are divided.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Members {
    own: u64,
    others: Vec<u64>,
    /// How many of the others are not heard at the moment.
    silent: usize,
    settled: bool,
    /// A hash of the list, whatever its order.
    stamp: u64,
}

impl Members {
    /// Creates the member list as seen by one router. Members are identified by
    /// hashes of their names.
    ///
    /// `settled` is true once the router has met others and had time to discover all.
    pub fn new(own: u64, others: Vec<u64>, settled: bool) -> Self {
        let stamp = others.iter().fold(own, |stamp, &other| {
            stamp.wrapping_add(xxh3_64(&other.to_le_bytes()))
        });
        Self {
            own,
            others,
            silent: 0,
            settled,
            stamp,
        }
    }

    /// A hash that differs for another list of members.
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    /// Sets how many of the others are not heard at the moment.
    #[must_use]
    pub fn with_silent(self, silent: usize) -> Self {
        Self { silent, ..self }
    }

    /// Whether this router had time to discover all others.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// The fraction of all routers that are heard, this one included.
    pub fn heard_fraction(&self) -> f64 {
        let count = self.count();
        (count - self.silent.min(count - 1)) as f64 / count as f64
    }

    /// The number of routers, this one included.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// The rank of this router in the hash order of senders to `target`, from 0.
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

    /// Whether this router is among the first `senders` to `target`, by a hash on which all
    /// routers agree.
    pub fn is_sender(&self, target: u64, senders: usize) -> bool {
        self.rank(target) < senders
    }

    /// The requests per second that this router may send to a cold target that
    /// advertises `rate`, or `None` if other routers use up the limit.
    pub fn cold_rate_share(&self, target: u64, rate: f64, limit: ColdLimit) -> Option<f64> {
        let usable_rate = rate * RATE_FRACTION;
        // Within one second the senders together send at most `usable_rate` requests
        // and one saved-up request each.
        let max_senders = (limit.requests_per_second(rate) * LIMIT_FRACTION - usable_rate)
            .floor()
            .max(1.0);
        let senders = (max_senders as usize).min(self.count());
        let is_sender = self.settled && self.is_sender(target, senders);
        is_sender.then(|| usable_rate / senders as f64)
    }
}
