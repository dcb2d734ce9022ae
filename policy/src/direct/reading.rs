//! Which routers read the platform's store, and when.
//!
//! Each call to the store has a price, so of all routers one reads the targets
//! and waits for what operators write: the least by a hash of the addresses, so
//! that all routers compute the same. The others learn from it and read for
//! themselves as soon as what they know is too old, the next in rank first: a
//! router that is cut off from the others is as well informed as a reader.
//!
//! Invariant: whatever the peers do, the age of what is known stays below the
//! limits of this module plus the time of one call.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// The greatest bound from which a pace is derived: new targets should be seen
/// soon even if operators give much time.
const GREATEST_BOUND: Duration = Duration::from_secs(3);

/// How often the store is called. All times are parts of the operators' bounds,
/// so that the last router to read still has time for a slow call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Pace {
    /// The time between two readings of the targets by the reader.
    pub listing: Duration,
    /// The age of the targets at which the next in rank reads in its place.
    pub standby: Duration,
    /// The age of the targets at which any router reads for itself.
    pub oldest: Duration,
    /// How long a watch waits for changes.
    pub wait: Duration,
    /// The age of the confirmation at which a router reads for itself.
    pub confirmed: Duration,
    /// The age of a peer's confirmation at which it is no reader for the others:
    /// it does not reach the store, or is suspended.
    pub lost: Duration,
}

impl Pace {
    /// Derives the pace from the time in which a leaving target has to get
    /// nothing more, and the time in which a configuration has to be in force.
    pub fn new(drain: Duration, config: Duration) -> Self {
        let drain = drain.min(GREATEST_BOUND);
        let config = config.min(GREATEST_BOUND);
        Self {
            listing: drain.mul_f64(0.6),
            standby: drain.mul_f64(0.66),
            oldest: drain.mul_f64(0.725),
            wait: config.mul_f64(0.5),
            confirmed: config.mul_f64(0.75),
            lost: config.mul_f64(1.1),
        }
    }

    /// The time until a router of this rank should read the targets, if the last
    /// listing is of the age `age`.
    pub fn targets_due(&self, rank: usize, age: Option<Duration>) -> Duration {
        let limit = match rank {
            0 => self.listing,
            1 => self.standby,
            _ => self.oldest,
        };
        age.map_or(Duration::ZERO, |age| limit.saturating_sub(age))
    }

    /// The time until a router that does not watch should read what operators
    /// wrote, if its last confirmation is of the age `age`.
    pub fn confirmation_due(&self, age: Option<Duration>) -> Duration {
        age.map_or(Duration::ZERO, |age| self.confirmed.saturating_sub(age))
    }
}

/// The rank of a router among those that are live, from 0.
pub fn rank(own: SocketAddr, live: impl Iterator<Item = SocketAddr>) -> usize {
    let score = |address: SocketAddr| (xxh3_64(address.to_string().as_bytes()), address);
    let own = score(own);
    live.filter(|&address| score(address) < own).count()
}

/// Whether a router of this rank waits for what operators write.
pub fn watches(rank: usize) -> bool {
    rank == 0
}
