//! Which routers read the platform's store, and when.
//!
//! Each call to the store has a price, so of all routers only [`READERS`] read
//! the targets and one waits for what operators write. They are the least by a
//! hash of their addresses, so that all routers compute the same. The others
//! learn from them, and read for themselves as soon as what they know is too old:
//! a router that is cut off from the others is as well informed as a reader.
//!
//! Invariant: whatever the peers do, the age of what is known stays below the
//! limits of this module plus the time of one call.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// The number of routers that read the targets.
pub const READERS: usize = 2;

/// The time between two readings of the targets by a reader.
pub const TARGETS_PERIOD: Duration = Duration::from_millis(1_100);

/// The age of the targets at which a router reads for itself.
pub const TARGETS_AGE: Duration = Duration::from_millis(1_350);

/// How long a watch waits for changes.
pub const WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// The age of the confirmation at which a router reads for itself. Operators' own
/// bound on the age of a configuration is 2 s.
pub const CONFIRMED_AGE: Duration = Duration::from_millis(1_500);

/// The age of a peer's confirmation at which it is no reader for the others: it
/// does not reach the store, or is suspended.
pub const READER_AGE: Duration = Duration::from_millis(2_200);

/// The rank of a router among those that are live, from 0.
pub fn rank(own: SocketAddr, live: impl Iterator<Item = SocketAddr>) -> usize {
    let score = |address: SocketAddr| (xxh3_64(address.to_string().as_bytes()), address);
    let own = score(own);
    live.filter(|&address| score(address) < own).count()
}

/// The time until a router of this rank should read the targets, if the last
/// listing is of the age `age`.
pub fn targets_due(rank: usize, age: Option<Duration>) -> Duration {
    let limit = if rank < READERS {
        TARGETS_PERIOD
    } else {
        TARGETS_AGE
    };
    age.map_or(Duration::ZERO, |age| limit.saturating_sub(age))
}

/// Whether a router of this rank waits for what operators write.
pub fn watches(rank: usize) -> bool {
    rank == 0
}

/// The time until a router that does not watch should read what operators wrote,
/// if its last confirmation is of the age `age`.
pub fn confirmation_due(age: Option<Duration>) -> Duration {
    age.map_or(Duration::ZERO, |age| CONFIRMED_AGE.saturating_sub(age))
}
