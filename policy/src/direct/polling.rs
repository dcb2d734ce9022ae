//! Selection of the routers that read the platform's store, and their intervals.
//!
//! The store belongs to the configuration service. Each call to it has a cost, so
//! one router reads the targets and watches the configuration for all: the one
//! with the lowest hash of its address, so that all routers select the same one.
//! The others receive the state from it.
//! They read for themselves once their state is too old, in the order of their
//! rank, so a router that cannot reach its peers is as well informed as the
//! reader.
//!
//! Invariant: regardless of the peers, the age of the known state stays below the
//! limits of this module plus the duration of one call.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// The maximum bound from which intervals are derived, so that new targets are
/// discovered soon even if operators configure long bounds.
const MAX_BOUND: Duration = Duration::from_secs(3);

/// Intervals of calls to the store. All are fractions of the configured bounds,
/// so that the last router to read still has time for a slow call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PollIntervals {
    /// The interval at which the reader reads the targets.
    pub reader_age: Duration,
    /// The age of the target list at which the router next in rank reads it.
    pub standby_age: Duration,
    /// The age of the target list at which any router reads it.
    pub max_target_age: Duration,
    /// How long a watch waits for changes.
    pub watch_wait: Duration,
    /// The age of the confirmation at which a router reads the configuration for
    /// itself.
    pub max_confirmation_age: Duration,
    /// The time over which these reads are spread, up to that age.
    pub confirmation_spread: Duration,
    /// The age of a peer's confirmation at which the peer is no longer
    /// considered as the reader: it cannot reach the store, or is suspended.
    pub lost_peer_age: Duration,
}

impl PollIntervals {
    /// Derives the intervals from `drain`, the time within which a leaving target
    /// must stop receiving requests, and `config`, the time within which a
    /// configuration must be active.
    pub fn new(drain: Duration, config: Duration) -> Self {
        let drain = drain.min(MAX_BOUND);
        let config = config.min(MAX_BOUND);
        Self {
            reader_age: drain.mul_f64(0.6),
            standby_age: drain.mul_f64(0.66),
            max_target_age: drain.mul_f64(0.725),
            watch_wait: config.mul_f64(0.5),
            max_confirmation_age: config.mul_f64(0.75),
            confirmation_spread: config.mul_f64(0.05),
            lost_peer_age: config.mul_f64(1.1),
        }
    }

    /// The time until a router of this rank should read the targets, given the
    /// age of the last target list.
    pub fn targets_due(&self, rank: usize, age: Option<Duration>) -> Duration {
        let limit = match rank {
            0 => self.reader_age,
            1 => self.standby_age,
            _ => self.max_target_age,
        };
        age.map_or(Duration::ZERO, |age| limit.saturating_sub(age))
    }

    /// The time until a router of this rank that does not watch the configuration
    /// should read it, given the age of its last confirmation. The first to read
    /// confirms it to the others.
    pub fn confirmation_due(&self, rank: usize, age: Option<Duration>) -> Duration {
        let turn = (rank as u32).min(SPREAD_RANKS);
        let lead = self.confirmation_spread * (SPREAD_RANKS - turn) / SPREAD_RANKS;
        let limit = self.max_confirmation_age.saturating_sub(lead);
        age.map_or(Duration::ZERO, |age| limit.saturating_sub(age))
    }
}

/// The number of routers that call a store that does not answer soon again.
const PROBING_ROUTERS: usize = 2;

/// The delay of these routers after a first failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The delay of these routers after many failed calls.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(600);

/// The rate of failing calls of all other routers together, in calls per second.
const FLEET_RETRY_RATE: f64 = 10.0;

/// The maximum delay between two failing calls of a router.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// The fraction by which delays are spread in both directions.
const RETRY_SPREAD: f64 = 0.25;

/// How long a router that starts waits for a listing from others before it reads the
/// store; it hears of the others within two periods of their exchange.
const DISCOVERY_WAIT: Duration = Duration::from_millis(200);

/// The additional time for each further router that starts as well, and its maximum. All
/// routers of a fleet may start at once.
const START_SPREAD: Duration = Duration::from_millis(20);
const MAX_START_SPREAD: Duration = Duration::from_millis(600);

/// The time since its start at which a router without a listing reads the store for
/// itself. `rank` is that among all reachable routers.
pub fn first_read_delay(rank: usize, reachable: usize) -> Duration {
    match reachable {
        0 => DISCOVERY_WAIT,
        _ => DISCOVERY_WAIT + (START_SPREAD * rank as u32).min(MAX_START_SPREAD),
    }
}

/// The ranks over which the reads of a configuration that no peer confirms are spread.
const SPREAD_RANKS: u32 = 16;

/// The delay before a failed call to the store is made again.
///
/// Load that it answers: a store that is down, slow or busy, before hundreds of routers.
/// A few of them probe it, and tell the others what they read; the others together make
/// some calls a second, in case these few cannot reach it. `rank` is that
/// among all reachable routers, `routers` their number, `failures` the number of failed
/// calls in a row, and `random` a number from 0 to 1.
pub fn retry_delay(rank: usize, routers: usize, failures: u32, random: f64) -> Duration {
    let delay = match rank < PROBING_ROUTERS {
        true => MIN_RETRY_DELAY
            .mul_f64(f64::from(1 << failures.saturating_sub(1).min(8)))
            .min(MAX_PROBE_DELAY),
        false => Duration::from_secs_f64(routers as f64 / FLEET_RETRY_RATE)
            .clamp(MAX_PROBE_DELAY, MAX_RETRY_DELAY),
    };
    delay.mul_f64(1.0 + RETRY_SPREAD * (2.0 * random - 1.0))
}

/// The rank of a router in the hash order of the live routers, from 0.
pub fn rank(own: SocketAddr, live: impl Iterator<Item = SocketAddr>) -> usize {
    let score = |address: SocketAddr| (xxh3_64(address.to_string().as_bytes()), address);
    let own = score(own);
    live.filter(|&address| score(address) < own).count()
}

/// Whether a router of this rank watches the configuration.
pub fn watches_config(rank: usize) -> bool {
    rank == 0
}
