//! Values in internal HTTP headers between routers and agents.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The prefix of internal headers, which routers remove from callers' requests.
pub const INTERNAL_PREFIX: &str = "kw-";

/// Contains an [`Offer`](policy::message::Offer) from a router to an agent.
pub const OFFER_HEADER: &str = "kw-offer";

/// Contains a [`Reply`](policy::message::Reply) from an agent to a router.
pub const REPLY_HEADER: &str = "kw-reply";

/// An error from decoding an internal header.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
#[display("malformed internal header")]
pub struct HeaderError;

/// Encodes a header value.
///
/// # Panics
///
/// Panics if the value cannot be encoded, which no message type causes.
pub fn encode_header<T: Serialize>(value: &T) -> String {
    STANDARD_NO_PAD.encode(postcard::to_stdvec(value).expect("messages encode"))
}

/// Decodes a header value.
///
/// # Errors
///
/// Returns an error if `text` was not written by [`encode_header`].
pub fn decode_header<T: DeserializeOwned>(text: &str) -> Result<T, HeaderError> {
    let bytes = STANDARD_NO_PAD.decode(text).map_err(|_| HeaderError)?;
    postcard::from_bytes(&bytes).map_err(|_| HeaderError)
}
