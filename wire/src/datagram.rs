//! The datagrams that edge routers exchange.
//!
//! A heartbeat ([`Beat`]) contains the complete in-flight state of its sender, so a
//! later one replaces an earlier one and a lost one is not retransmitted. `tarpc` is
//! not used here because a late message has no value and an unresponsive peer must
//! not block the sender.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use policy::direct::stream_origin::StreamId;
use policy::direct::target::{SoftwareVersion, Target, VersionTag};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The version of the datagram layout.
pub const DATAGRAM_VERSION: u8 = 1;

/// The maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// The heartbeat of a router: its state and load.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Beat {
    /// The address at which the sender receives datagrams.
    pub from: SocketAddr,
    /// The sender's incarnation; a later one has a higher number.
    pub life: u64,
    /// The sequence number of the heartbeat within the incarnation.
    pub number: u32,
    /// The last heartbeat that the sender received from the receiver's current incarnation.
    pub echo: Option<Echo>,
    /// The digest of the operators' settings known to the sender.
    pub digest: u64,
    /// The time since the sender last confirmed these settings, in milliseconds.
    pub confirmed: Option<u32>,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Other routers from which the sender recently received datagrams.
    pub peers: Vec<SocketAddr>,
    /// The sender's in-flight load at each target.
    pub loads: Vec<LoadRow>,
    /// The requested and placed work of each team at the sender.
    pub teams: Vec<TeamRow>,
    /// Target crashes, with the request that was running.
    pub crashes: Vec<CrashRow>,
}

/// Identifies a heartbeat of the receiver.
///
/// It shows the receiver that the message was written after that heartbeat was
/// sent, regardless of the delay of the message.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's incarnation.
    pub life: u64,
    /// The sequence number of the heartbeat.
    pub number: u32,
}

/// A fragment of the list of targets that a router read from the store.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Listing {
    /// The revision of the store at the time of the read.
    pub revision: u64,
    /// The index of this fragment, from 0.
    pub part: u16,
    /// The number of fragments.
    pub parts: u16,
    /// The targets in this fragment.
    pub targets: Vec<Target>,
}

/// A fragment of the list of targets with the versions of their software.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct VersionedListing {
    /// The targets, which are encoded without their versions.
    pub listing: Listing,
    /// The versions, in the order of the targets.
    pub versions: Vec<SoftwareVersion>,
}

impl VersionedListing {
    /// Creates a fragment from targets with their versions.
    pub fn new(listing: Listing) -> Self {
        let versions = listing.targets.iter().map(|target| target.version.clone());
        Self {
            versions: versions.collect(),
            listing,
        }
    }

    /// Returns the fragment with the version of each target.
    pub fn into_listing(self) -> Listing {
        let mut listing = self.listing;
        for (target, version) in listing.targets.iter_mut().zip(self.versions) {
            target.version = version;
        }
        listing
    }
}

/// Streams that began at one software version, sent to their holders and in response to
/// an [`OriginQuery`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Origins {
    /// The version.
    pub version: VersionTag,
    /// The streams.
    pub streams: Vec<StreamId>,
}

/// Asks for the versions at which streams began.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The streams.
    pub streams: Vec<StreamId>,
}

/// The targets that currently fail for a router, sent before a heartbeat.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Trouble {
    /// The sender's address, as in its heartbeats.
    pub from: SocketAddr,
    /// The sender's incarnation.
    pub life: u64,
    /// The sequence number of the heartbeat that follows; a later heartbeat
    /// invalidates this datagram.
    pub number: u32,
    /// The tags of the target incarnations.
    pub targets: Vec<u64>,
}

/// A later read of the store that returned the same targets as the last listing.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Unchanged {
    /// The revision of the store at the time of the read.
    pub revision: u64,
    /// The digest of the targets.
    pub digest: u64,
}

/// Returns the digest of a list of targets, which is the same on all routers.
pub fn listing_digest(targets: &[Target]) -> u64 {
    let bytes = postcard::to_stdvec(targets).expect("targets encode");
    xxh3_64(&bytes)
}

/// One datagram between edge routers.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// The state and load of the sender.
    Beat(Beat),
    /// Targets that the sender read from the store.
    Listing(Listing),
    /// Targets that currently fail for the sender.
    Trouble(Trouble),
    /// The targets are unchanged since the last listing.
    Unchanged(Unchanged),
    /// Targets that the sender read from the store, with their versions.
    VersionedListing(VersionedListing),
    /// Streams that began at one software version.
    Origins(Origins),
    /// A question for the versions at which streams began.
    OriginQuery(OriginQuery),
    /// The tags of target incarnations that said that they are leaving.
    Leaving(Vec<u64>),
}

/// The in-flight load of a router at one target.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LoadRow {
    /// The tag of the target's incarnation.
    pub target: u64,
    /// The prompt tokens of attempts that have not produced their first event.
    pub waiting: u32,
    /// The number of attempts.
    pub count: u32,
    /// The memory in use, in tokens.
    pub memory: u32,
}

/// The requested and placed work of one team, in tokens per second.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct TeamRow {
    /// The tag of the team's name.
    pub team: u64,
    /// The requested work.
    pub asked: u32,
    /// The work placed at targets.
    pub placed: u32,
}

/// A crash of a target while it ran a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct CrashRow {
    /// The request's fingerprint.
    pub request: u128,
    /// The tag of the target's incarnation.
    pub target: u64,
}

/// An error from decoding a datagram.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum DatagramError {
    /// The bytes do not decode.
    #[display("garbage")]
    Garbage,
    /// The datagram has a different layout version.
    #[display("unsupported datagram version")]
    Version,
}

impl Datagram {
    /// Encodes the datagram, starting with the version byte.
    ///
    /// # Panics
    ///
    /// Panics if encoding fails, which does not happen when writing to memory.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = vec![DATAGRAM_VERSION];
        postcard::to_extend(self, bytes).expect("writing to memory succeeds")
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a datagram of this version.
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
