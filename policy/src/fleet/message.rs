//! Messages of the fleet machines.

use std::time::{Duration, SystemTime};

use derive_more::Display;
use entity::{DocumentHash, ProcessId, Revision, Tag};
use serde::{Deserialize, Serialize};

use crate::message::Endpoint;

/// Identifies one document; the greater version wins everywhere.
///
/// The hash orders two documents that were published under one revision.
#[derive(
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Debug,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{revision}/{hash}")]
pub struct Version {
    /// The revision.
    pub revision: Revision,
    /// The hash of the text.
    pub hash: DocumentHash,
}

/// What a process does.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes callers' requests.
    #[display("router")]
    Router,
    /// Owns a target's slots.
    #[display("agent")]
    Agent,
}

/// What a process believes of another one's life, from best to worst.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
pub enum Health {
    /// Named by the VM list or by the rules, never heard of.
    #[display("unknown")]
    Unknown,
    /// Heard of, and not suspected.
    #[display("alive")]
    Alive,
    /// Did not answer a probe.
    #[display("suspect")]
    Suspect,
    /// Did not refute the suspicion in time.
    #[display("dead")]
    Dead,
}

/// What the VM list says of a process.
#[derive(
    Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize,
)]
pub struct Listing {
    /// The index of the list at the service; 0 if the process was on none.
    pub index: u64,
    /// Whether the list calls the VM leaving.
    pub leaving: bool,
}

/// One process's state, as claimed by itself or by another one.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// How to reach it and which life is meant.
    pub endpoint: Endpoint,
    /// What it does.
    pub role: Role,
    /// Its data centre.
    pub centre: Tag,
    /// Raised by the process itself with each change or refutation in one life.
    pub round: u32,
    /// Its health.
    pub health: Health,
    /// Whether it announced that it takes no new work.
    pub leaving: bool,
    /// What the VM list says.
    pub listing: Listing,
}

/// A fact of another subsystem that spreads to every process.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Broadcast {
    /// Identifies the fact.
    pub key: u64,
    /// The greater version of one key wins.
    pub version: u64,
    /// The content, opaque to the fleet.
    pub body: Vec<u8>,
    /// When it is dropped everywhere.
    pub expires: SystemTime,
}

/// The key and version of a [`Broadcast`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Held {
    /// The key.
    pub key: u64,
    /// The version.
    pub version: u64,
}

/// That the service had nothing newer than a version, and how long ago.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Confirmation {
    /// The version.
    pub version: Version,
    /// The age when the message was written.
    pub age: Duration,
}

/// What rides on every probe and answer.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's claim about itself.
    pub own: Claim,
    /// Claims about others.
    pub claims: Vec<Claim>,
    /// Broadcasts.
    pub items: Vec<Broadcast>,
    /// The digest of all broadcasts that the sender holds.
    pub digest: u64,
    /// The digest of all members that the sender knows.
    pub roster: u64,
}

/// A message between fleet machines.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Asks whether the receiver lives.
    Ping {
        /// Matches the answer.
        sequence: u64,
        /// Who is meant; another process at the address answers for itself.
        expect: ProcessId,
        /// The rest.
        gossip: Gossip,
    },
    /// Answers a ping.
    Ack {
        /// The sequence of the ping.
        sequence: u64,
        /// The last confirmation by the service.
        confirmed: Option<Confirmation>,
        /// The rest.
        gossip: Gossip,
    },
    /// Asks the receiver to probe a third process.
    Relay {
        /// Matches the answer.
        sequence: u64,
        /// Whom to probe.
        subject: Endpoint,
    },
    /// The third process answered.
    Relayed {
        /// The sequence of the request.
        sequence: u64,
        /// The claim of the process that answered.
        claim: Claim,
    },
    /// Spreads news at once, without an answer.
    Push(Gossip),
    /// Asks a peer for all that it knows; sent by a process that starts empty.
    Join(Claim),
    /// Asks for the members that follow one, in circular order of their ids.
    Page {
        /// The one.
        after: ProcessId,
    },
    /// Answers a join or a page; a large fleet takes several.
    State(Gossip),
    /// Lists the broadcasts that the sender holds; answered by those it lacks.
    Holding(Vec<Held>),
    /// Asks for part of a document.
    Fetch {
        /// The document.
        version: Version,
        /// The first byte wanted.
        offset: u32,
    },
    /// Part of a document.
    Chunk {
        /// The document.
        version: Version,
        /// The size of the document in bytes.
        total: u32,
        /// The place of the first byte.
        offset: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
}
