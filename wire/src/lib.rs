//! The protocol between the system's own processes.
//!
//! The crate owns the control service, the envelope of its messages and the
//! headers that ride on requests between routers and agents. It decides nothing.
//!
//! Invariant: a message that cannot be read is reported as a value; it never
//! stops the process that received it.

mod datagram;
mod envelope;
mod fact;
mod header;
mod service;

pub use datagram::{
    Beat, CrashRow, DATAGRAM_VERSION, Datagram, DatagramError, Echo, Listing, LoadRow,
    MAX_DATAGRAM_BYTES, TeamRow, Trouble, Unchanged, listing_digest,
};
pub use envelope::{Envelope, EnvelopeError, MAX_ENVELOPE_BYTES, Message, PROTOCOL_VERSION};
pub use fact::{decode_fact, encode_fact};
pub use header::{
    HeaderError, INTERNAL_PREFIX, OFFER_HEADER, REPLY_HEADER, decode_header, encode_header,
};
pub use service::{Control, ControlClient};
