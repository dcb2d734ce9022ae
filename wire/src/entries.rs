//! The operators' entries as one edge router hands them to another.
//!
//! They may be as large as a value of the store, so they travel over HTTP instead of in
//! datagrams.

use entity::Name;
use serde::{Deserialize, Serialize};

/// The path at which a router serves its entries to others.
const PATH: &str = "/entries";

/// Asks a router for entries that are newer than those of the sender.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct EntriesQuery {
    /// The version of the sender's configuration; 0 if it has none.
    pub version: u64,
    /// The revision of the store at which the sender's entries were read.
    pub as_of: u64,
}

impl EntriesQuery {
    /// Returns the path and query of the request.
    pub fn path(&self) -> String {
        format!("{PATH}?version={}&as-of={}", self.version, self.as_of)
    }

    /// Parses the path and query of a request.
    pub fn parse(path: &str, query: &str) -> Option<Self> {
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        (path == PATH).then_some(())?;
        Some(Self {
            version: number("version")?,
            as_of: number("as-of")?,
        })
    }

    /// Whether entries are newer than those of the sender.
    pub fn is_older_than(&self, version: u64, as_of: u64) -> bool {
        version > self.version || as_of > self.as_of
    }
}

/// All entries of the operators that a router knows.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct OperatorEntries {
    /// The revision of the store at which they were read.
    pub as_of: u64,
    /// The revision of the configuration.
    pub revision: u64,
    /// The configuration, as it is in the store.
    pub config: Vec<u8>,
    /// The drained data centres.
    pub drained: Vec<Name>,
}

impl OperatorEntries {
    /// Encodes the entries.
    ///
    /// # Panics
    ///
    /// Panics if serialization fails, which does not happen for this type.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("entries can be serialized")
    }

    /// Decodes entries; `None` if they are malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
