//! Bids: routers announce their waiting requests to the agents.
//!
//! Invariants:
//! - An update with a sequence number that is not above the last one of the same
//!   router incarnation is ignored.
//! - A bid that its router does not refresh is dropped.

mod outbox;
mod table;

pub use outbox::{BidKey, Outbox};
pub use table::{BidEntry, BidTable, RouterBid};

use std::time::Duration;

/// The interval between full updates of a router's bids.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// The age at which an agent drops a bid that was not refreshed.
pub const BID_TTL: Duration = Duration::from_secs(16);
