//! Client of the configuration service.

mod client;

pub use client::{ANSWER_TIMEOUT, INDEX_HEADER, MAX_VALUE_BYTES, ServiceClient};
