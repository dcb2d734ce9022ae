//! The envelope of control messages.
//!
//! Every envelope contains the protocol version, its sender and the sender's active
//! revision. Each message is encoded separately, so a receiver can skip the message
//! kinds of a newer version and still decode the rest.
//!
//! Rules for protocol changes:
//! - The fields of [`Envelope`] never change.
//! - Message kinds are only appended. A kind whose fields change becomes a new
//!   kind, and the old one is still read and written for one version.
//! - [`PROTOCOL_VERSION`] increases by one with each release that appends a kind. A
//!   process accepts its own version, the previous one and the next one.

use derive_more::{Display, Error};
use entity::{DocumentHash, Revision};
use policy::fact::Fact;
use policy::fleet::FleetMessage;
use policy::message::{BidUpdate, Endpoint, LedgerDelta, Load, Pull, Pulled, Solicit};
use policy::placement::ModelVersion;
use serde::{Deserialize, Serialize};

/// The protocol version that this build writes.
pub const PROTOCOL_VERSION: u16 = 1;

/// The maximum size of an envelope, in bytes.
pub const MAX_ENVELOPE_BYTES: usize = 256 * 1024;

/// One message between processes.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Message {
    /// A router's bids.
    Bids(BidUpdate),
    /// An agent's request for queued requests.
    Pull(Pull),
    /// A router's response to a pull.
    Pulled(Pulled),
    /// An agent's query for available work.
    Solicit(Solicit),
    /// An agent's load.
    Load(Load),
    /// Changes to an agent's row of the ledger.
    Ledger(LedgerDelta),
    /// A message of the fleet state machine.
    Fleet(FleetMessage),
    /// A fact that is sent directly instead of waiting for its broadcast.
    Fact(Fact),
    /// A query for the models that the receiving agent's engine has loaded.
    AskModels,
    /// The models that an agent's engine last reported.
    Models(Vec<ModelVersion>),
}

/// A batch of messages from one process to another.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The protocol version of the sender.
    pub version: u16,
    /// The sender.
    pub sender: Endpoint,
    /// The sender's active revision.
    pub revision: Revision,
    /// The hash of the sender's active document.
    pub hash: DocumentHash,
    messages: Vec<Vec<u8>>,
}

/// An error from decoding an envelope.
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
    /// The sender's version is neither this version nor the previous or next one.
    #[display("protocol version {version} is not supported")]
    Version {
        /// The sender's version.
        version: u16,
    },
}

impl Envelope {
    /// Creates an envelope that contains `messages`.
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
        let encode = |message| postcard::to_stdvec(message).expect("messages encode");
        let messages = messages.iter().map(encode).collect();
        Self {
            version: PROTOCOL_VERSION,
            sender,
            revision,
            hash,
            messages,
        }
    }

    /// Decodes the messages; the second value is the number that could not be decoded.
    pub fn messages(&self) -> (Vec<Message>, usize) {
        let decoded: Vec<_> = self
            .messages
            .iter()
            .filter_map(|bytes| postcard::from_bytes(bytes).ok())
            .collect();
        let skipped = self.messages.len() - decoded.len();
        (decoded, skipped)
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
    /// Returns an error if the envelope is too large, is malformed or has a version
    /// other than this build's, the previous or the next one.
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
