//! Messages between the fleet state machines of processes.

use std::time::{Duration, SystemTime};

use derive_more::Display;
use entity::{DocumentHash, ProcessId, Revision, Tag};
use serde::{Deserialize, Serialize};

use crate::message::Endpoint;

/// Identifies one configuration document; every process prefers the greater version.
///
/// The hash orders documents that were published under the same revision.
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
    /// The revision of the document.
    pub revision: Revision,
    /// The hash of the document's text.
    pub hash: DocumentHash,
}

/// The role of a process.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Accepts requests of callers.
    #[display("router")]
    Router,
    /// Manages the slots of one target.
    #[display("agent")]
    Agent,
}

/// The health of a process as seen by another one, from best to worst.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
pub enum Health {
    /// Named by the VM list or the rules, but neither contacted nor claimed by a peer so far.
    #[display("unknown")]
    Unknown,
    /// Running, and not suspected.
    #[display("alive")]
    Alive,
    /// A probe was not answered.
    #[display("suspect")]
    Suspect,
    /// The suspicion was not refuted in time.
    #[display("dead")]
    Dead,
}

/// The VM list's entry for a process, as far as it spreads by gossip.
#[derive(
    Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize,
)]
pub struct Listing {
    /// The index of the list at the configuration service; 0 if no list named the process.
    pub index: u64,
    /// Whether the list marks the VM as leaving.
    pub leaving: bool,
}

/// The state of a process, as claimed by itself or by another process.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// The address and incarnation that the claim is about.
    pub endpoint: Endpoint,
    /// The role of the process.
    pub role: Role,
    /// The data centre of the process.
    pub centre: Tag,
    /// Incremented by the process itself with each change or refutation within one incarnation.
    pub round: u32,
    /// The claimed health.
    pub health: Health,
    /// Whether the process announced that it takes no new work.
    pub leaving: bool,
    /// The latest entry of the VM list.
    pub listing: Listing,
}

/// An item of another subsystem that is spread to every process.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Broadcast {
    /// Identifies the item.
    pub key: u64,
    /// The version of the item; for one key the greater version wins.
    pub version: u64,
    /// The content, opaque to the fleet protocol.
    pub body: Vec<u8>,
    /// When every process drops the item.
    pub expires: SystemTime,
}

/// The key and version of a [`Broadcast`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Held {
    /// The key of the item.
    pub key: u64,
    /// The version of the item.
    pub version: u64,
}

/// States that the configuration service had nothing newer than a version, and how long ago.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Confirmation {
    /// The version that was current.
    pub version: Version,
    /// The age of the confirmation when the message was sent.
    pub age: Duration,
}

/// The state that is piggybacked on probes, answers and pushes.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's claim about itself.
    pub own: Claim,
    /// Claims about other processes.
    pub claims: Vec<Claim>,
    /// Broadcast items.
    pub items: Vec<Broadcast>,
    /// The digest of all broadcasts that the sender stores.
    pub digest: u64,
    /// The digest of the sender's member table.
    pub roster: u64,
}

/// A message between the fleet state machines of two processes.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Probes the receiver.
    Ping {
        /// The sequence number that the answer repeats.
        sequence: u64,
        /// The process that is probed; another process at the address answers with its own id.
        expect: ProcessId,
        /// Piggybacked state.
        gossip: Gossip,
    },
    /// Answers a ping.
    Ack {
        /// The sequence number of the ping.
        sequence: u64,
        /// The sender's last known confirmation by the configuration service.
        confirmed: Option<Confirmation>,
        /// Piggybacked state.
        gossip: Gossip,
    },
    /// Asks the receiver to probe a third process.
    Relay {
        /// The sequence number that the answer repeats.
        sequence: u64,
        /// The process to probe.
        subject: Endpoint,
    },
    /// Reports that the third process answered.
    Relayed {
        /// The sequence number of the request.
        sequence: u64,
        /// The claim of the process that answered.
        claim: Claim,
    },
    /// Spreads updates without waiting for the next probe; not answered.
    Push(Gossip),
    /// Requests all members and broadcasts of a peer; sent by a starting process.
    Join(Claim),
    /// Requests the members that follow an id, in circular order of the ids.
    Page {
        /// The id that the page starts after.
        after: ProcessId,
    },
    /// Answers a join or a page request; a large fleet is sent in several messages.
    State(Gossip),
    /// Lists the broadcasts that the sender stores; answered with those that it is missing.
    Holding(Vec<Held>),
    /// Requests a chunk of a document.
    Fetch {
        /// The version of the document.
        version: Version,
        /// The offset of the first byte of the chunk.
        offset: u32,
    },
    /// A chunk of a document.
    Chunk {
        /// The version of the document.
        version: Version,
        /// The size of the document in bytes.
        total: u32,
        /// The offset of the first byte of the chunk.
        offset: u32,
        /// The bytes of the chunk.
        bytes: Vec<u8>,
    },
}
