//! Bids: what waits at which router, as far as the agents know.
//!
//! Invariants:
//! - An update with a sequence number that is not above the last one of the same
//!   life of the router changes nothing.
//! - A bid that its router does not refresh is dropped.

mod outbox;
mod table;

pub use outbox::{BidKey, Outbox};
pub use table::{BidTable, Lot, RouterBid};

use std::time::Duration;

/// The interval at which a router repeats all of its bids.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// The age from which an agent drops bids that were not refreshed.
pub const BID_TTL: Duration = Duration::from_secs(16);
