//! What edge routers tell each other, one datagram at a time.
//!
//! A beat states all that its sender has in hand, so a later beat replaces an
//! earlier one and a lost one needs no repeat. `tarpc` does not fit here: a
//! message that arrives late is worth nothing, and a peer that is silent must
//! not hold up the sender.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use policy::direct::target::Target;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The version of the beat's layout.
pub const DATAGRAM_VERSION: u8 = 1;

/// The greatest size of a datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// What one router states about itself.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Beat {
    /// Where the sender receives beats.
    pub from: SocketAddr,
    /// The sender's life; a later one has a higher number.
    pub life: u64,
    /// The number of the beat within the life.
    pub number: u32,
    /// The last beat of the receiver that the sender heard, in its present life.
    pub echo: Option<Echo>,
    /// The digest of what operators wrote, as the sender knows it.
    pub digest: u64,
    /// The age of the sender's confirmation of it, in milliseconds.
    pub confirmed: Option<u32>,
    /// Whether the sender is about to end.
    pub leaving: bool,
    /// Other routers that the sender heard lately.
    pub peers: Vec<SocketAddr>,
    /// What the sender has in hand at targets.
    pub loads: Vec<LoadRow>,
    /// What teams ask for and get at the sender.
    pub teams: Vec<TeamRow>,
    /// Crashes of targets, with the request that ran.
    pub crashes: Vec<CrashRow>,
}

/// A beat of the receiver.
///
/// It tells the receiver that the rest of the message was written after that
/// beat had been sent, however long the message was under way.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's life.
    pub life: u64,
    /// The number of its beat.
    pub number: u32,
}

/// A part of a listing of the targets, as a reader of the store saw them.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Listing {
    /// The store's revision at the reading.
    pub revision: u64,
    /// The number of this part, from 0.
    pub part: u16,
    /// The number of parts.
    pub parts: u16,
    /// The targets of this part.
    pub targets: Vec<Target>,
}

/// The targets with which a router has trouble, sent ahead of a beat.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Trouble {
    /// The sender, as in its beats.
    pub from: SocketAddr,
    /// The sender's life.
    pub life: u64,
    /// The number of the beat that follows; with a later one it holds no more.
    pub number: u32,
    /// The tags of the targets' lives.
    pub targets: Vec<u64>,
}

/// Another reading of the store that gave the same targets as the last listing.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Unchanged {
    /// The store's revision at the reading.
    pub revision: u64,
    /// The digest of the targets.
    pub digest: u64,
}

/// The digest of a listing of targets, the same on all routers.
pub fn listing_digest(targets: &[Target]) -> u64 {
    let bytes = postcard::to_stdvec(targets).expect("targets have an encoding");
    xxh3_64(&bytes)
}

/// One datagram between edge routers.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// What the sender has in hand.
    Beat(Beat),
    /// What the sender read of the store.
    Listing(Listing),
    /// With which targets the sender has trouble.
    Trouble(Trouble),
    /// The targets are as in the last listing.
    Unchanged(Unchanged),
}

/// What a router has in hand at one target.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LoadRow {
    /// The tag of the target's life.
    pub target: u64,
    /// Tokens to read of attempts without a first event.
    pub waiting: u32,
    /// Attempts.
    pub count: u32,
    /// Tokens of memory.
    pub memory: u32,
}

/// What one team asks for and gets, in tokens per second.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct TeamRow {
    /// The tag of the team's name.
    pub team: u64,
    /// What it asks for.
    pub asked: u32,
    /// What was placed for it.
    pub placed: u32,
}

/// A target died while it ran a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct CrashRow {
    /// The request's fingerprint.
    pub request: u128,
    /// The tag of the target's life.
    pub target: u64,
}

/// A datagram that is no beat.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum DatagramError {
    /// The bytes cannot be read.
    #[display("garbage")]
    Garbage,
    /// The layout is of another version.
    #[display("another version")]
    Version,
}

impl Datagram {
    /// The bytes, which begin with the version.
    ///
    /// # Panics
    ///
    /// Panics if the codec fails, which writing to memory does not.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = vec![DATAGRAM_VERSION];
        postcard::to_extend(self, bytes).expect("writing to memory succeeds")
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no datagram of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        match bytes.split_first() {
            Some((&DATAGRAM_VERSION, rest)) => {
                postcard::from_bytes(rest).map_err(|_| DatagramError::Garbage)
            }
            Some(_) => Err(DatagramError::Version),
            None => Err(DatagramError::Garbage),
        }
    }
}
