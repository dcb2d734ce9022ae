//! Messages about the listing of targets, and what follows from them.

use std::net::SocketAddr;
use std::time::Duration;

use super::ListingChange;
use crate::direct::target::Target;

/// A step of a change.
#[derive(Clone, PartialEq, Debug)]
pub struct Step {
    /// The digest of the listing that changes.
    pub base: u64,
    /// The digest of the listing after the step.
    pub digest: u64,
    /// Whether the listing is complete with this step, or further ones follow.
    pub is_last: bool,
    /// The revision of the store at the time of the read.
    pub revision: u64,
    /// What changes.
    pub change: ListingChange,
}

/// A part of a whole listing.
#[derive(Clone, PartialEq, Debug)]
pub struct Part {
    /// The time since the listing was read from the store.
    pub age: Duration,
    /// The revision of the store at the time of the read.
    pub revision: u64,
    /// The index of this part, from 0.
    pub part: u16,
    /// The number of parts.
    pub parts: u16,
    /// The targets in this part.
    pub targets: Vec<Target>,
}

/// A question for the ranges of the listing that differ from those of the sender.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RangeQuery {
    /// The revision that the listing must have at least.
    pub revision: u64,
    /// The digests of the sender's ranges; none if it has no targets.
    pub digests: Vec<u32>,
}

/// Some ranges of a listing with all their targets.
#[derive(Clone, PartialEq, Debug)]
pub struct RangeAnswer {
    /// The time since the listing was read from the store.
    pub age: Duration,
    /// The revision of the store at the time of the read.
    pub revision: u64,
    /// The digest of the listing.
    pub digest: u64,
    /// The number of ranges of the listing.
    pub count: u16,
    /// The ranges in this message.
    pub ranges: Vec<u16>,
    /// The targets in these ranges.
    pub targets: Vec<Target>,
}

/// A message about the listing.
#[derive(Clone, PartialEq, Debug)]
pub enum ListingMessage {
    /// A step of a change.
    Step(Step),
    /// A later read of the store returned the listing with this digest again.
    Unchanged {
        /// The revision of the store at the time of the read.
        revision: u64,
        /// The digest.
        digest: u64,
    },
    /// A question for the whole listing.
    Query,
    /// A part of the answer.
    Part(Part),
    /// A question for what differs.
    RangeQuery(RangeQuery),
    /// A part of the answer.
    RangeAnswer(RangeAnswer),
}

/// What a reading of the store says to the other routers.
#[derive(Clone, PartialEq, Debug)]
pub enum Update {
    /// The targets differ from those of the last listing.
    Change {
        /// The store revision.
        revision: u64,
        /// The last listing.
        old: Vec<Target>,
        /// The targets.
        new: Vec<Target>,
    },
    /// The targets are the same as in the last listing, or this router doesn't tell the
    /// others of them: those that have a different listing ask.
    Unchanged {
        /// The store revision.
        revision: u64,
        /// The digest of the targets.
        digest: u64,
    },
}

/// A listing that is now in force.
#[derive(Clone, PartialEq, Debug)]
pub struct Adopted {
    /// The targets.
    pub targets: Vec<Target>,
    /// The store revision.
    pub revision: u64,
    /// The time since they were read.
    pub age: Duration,
}

/// What follows from a message.
#[derive(Clone, Default, PartialEq, Debug)]
pub struct ReceivedListing {
    /// The listing to put in force, if it is newer.
    pub adopted: Option<Adopted>,
    /// Messages to be sent.
    pub sent: Vec<(SocketAddr, ListingMessage)>,
    /// Whether the message contradicts itself.
    pub is_malformed: bool,
}
