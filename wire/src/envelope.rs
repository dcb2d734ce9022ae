//! The envelope of control messages.
//!
//! Every envelope states the protocol version, its sender and the revision in
//! force there. Each message inside is packed on its own, so a receiver skips
//! kinds of a newer version and still reads the rest.
//!
//! Rules for changes of the protocol:
//! - The fields of [`Envelope`] never change.
//! - Kinds of messages are only appended. A kind whose fields change becomes a
//!   new kind, and the old one is still read and written for one version.
//! - [`PROTOCOL_VERSION`] rises by one with each release that appends a kind. A process
//!   reads its own version, the one before and the one after.

use derive_more::{Display, Error};
use entity::{DocumentHash, Revision};
use policy::fact::Fact;
use policy::fleet::FleetMessage;
use policy::message::{BidUpdate, Endpoint, LedgerDelta, Load, Pull, Pulled, Solicit};
use policy::placement::ModelVersion;
use serde::{Deserialize, Serialize};

/// The version of the protocol that this build writes.
pub const PROTOCOL_VERSION: u16 = 1;

/// The greatest size of an envelope in bytes.
pub const MAX_ENVELOPE_BYTES: usize = 256 * 1024;

/// One message between processes.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Message {
    /// A router's bids.
    Bids(BidUpdate),
    /// An agent's demand for waiting requests.
    Pull(Pull),
    /// A router's answer to a pull.
    Pulled(Pulled),
    /// An agent's question for work.
    Solicit(Solicit),
    /// An agent's load.
    Load(Load),
    /// Changes to an agent's row of the ledger.
    Ledger(LedgerDelta),
    /// A message of the fleet machine.
    Fleet(FleetMessage),
    /// A fact that cannot wait for its broadcast.
    Fact(Fact),
    /// An agent's question for the models that the other's engine holds.
    AskModels,
    /// The models that an agent's engine reported last.
    Models(Vec<ModelVersion>),
}

/// A batch of messages from one process to another.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The protocol version of the sender.
    pub version: u16,
    /// The sender.
    pub sender: Endpoint,
    /// The revision in force at the sender.
    pub revision: Revision,
    /// The hash of the document in force at the sender.
    pub hash: DocumentHash,
    messages: Vec<Vec<u8>>,
}

/// Why bytes are not an envelope.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum EnvelopeError {
    /// More than [`MAX_ENVELOPE_BYTES`].
    #[display("envelope of {size} bytes is over the limit")]
    TooLarge {
        /// The size in bytes.
        size: usize,
    },
    /// The bytes do not decode.
    #[display("malformed envelope")]
    Malformed,
    /// The sender's version is neither this one nor a neighbour of it.
    #[display("protocol version {version} is not supported")]
    Version {
        /// The sender's version.
        version: u16,
    },
}

impl Envelope {
    /// Creates an envelope with `messages`.
    ///
    /// # Panics
    ///
    /// Panics if a message cannot be encoded, which no value of [`Message`] causes.
    pub fn new(
        sender: Endpoint,
        revision: Revision,
        hash: DocumentHash,
        messages: &[Message],
    ) -> Self {
        let pack = |message| postcard::to_stdvec(message).expect("messages encode");
        let messages = messages.iter().map(pack).collect();
        Self {
            version: PROTOCOL_VERSION,
            sender,
            revision,
            hash,
            messages,
        }
    }

    /// Reads the messages; the second value counts those that could not be read.
    pub fn messages(&self) -> (Vec<Message>, usize) {
        let read: Vec<_> = self
            .messages
            .iter()
            .filter_map(|bytes| postcard::from_bytes(bytes).ok())
            .collect();
        let skipped = self.messages.len() - read.len();
        (read, skipped)
    }

    /// Encodes the envelope.
    ///
    /// # Panics
    ///
    /// Panics if the envelope cannot be encoded, which no value causes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("envelopes encode")
    }

    /// Decodes an envelope.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are too many, malformed or of a version that
    /// is not this build's, the one before or the one after.
    pub fn decode(bytes: &[u8]) -> Result<Self, EnvelopeError> {
        if bytes.len() > MAX_ENVELOPE_BYTES {
            return Err(EnvelopeError::TooLarge { size: bytes.len() });
        }
        let envelope: Self = postcard::from_bytes(bytes).map_err(|_| EnvelopeError::Malformed)?;
        match envelope.version.abs_diff(PROTOCOL_VERSION) {
            0 | 1 => Ok(envelope),
            _ => Err(EnvelopeError::Version {
                version: envelope.version,
            }),
        }
    }
}
