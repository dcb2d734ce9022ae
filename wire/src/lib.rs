//! The internal protocol between the processes of the system.
//!
//! The crate defines the control service, the envelope of its messages, the
//! datagrams between edge routers and the headers of requests between routers and
//! agents. It contains no decision logic.
//!
//! Invariant: a message that cannot be decoded is reported as an error value and
//! never stops the receiving process.

mod datagram;
mod entries;
mod envelope;
mod fact;
mod header;
mod service;

pub use datagram::{
    AgedListing, ChangedListing, DATAGRAM_VERSION, Datagram, DatagramError, Listing,
    ListingRangeQuery, ListingRanges, MAX_DATAGRAM_BYTES, OriginQuery, Origins, Unchanged,
    VersionedListing, listing_digest,
};
pub use entries::{EntriesQuery, OperatorEntries};
pub use envelope::{Envelope, EnvelopeError, MAX_ENVELOPE_BYTES, Message, PROTOCOL_VERSION};
pub use fact::{decode_fact, encode_fact};
pub use header::{
    HeaderError, INTERNAL_PREFIX, OFFER_HEADER, REPLY_HEADER, decode_header, encode_header,
};
pub use service::{Control, ControlClient};
