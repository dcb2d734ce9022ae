//! The text that an engine answers with.
//!
//! Invariant: the text is a function of the request body alone, so that a
//! client can work out the answer that belongs to it.

use std::fmt::Write as _;

use sha2::{Digest as _, Sha256};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A request whose body holds this text crashes the engine that runs it.
pub const CRASH_MARKER: &str = "crash-the-engine";

/// The tokens that answer one request body.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Script {
    seed: u64,
    length: u32,
}

impl Script {
    /// The script for a body whose answer may have up to `max_tokens` tokens.
    ///
    /// The length lies between a quarter of the limit and the limit.
    pub fn new(body: &[u8], max_tokens: u32) -> Self {
        let seed = xxh3_64(body);
        let most = max_tokens.max(1);
        let least = most.div_ceil(4);
        let spread = u64::from(most - least) + 1;
        let extra = u32::try_from(seed % spread).expect("less than the spread");
        Self {
            seed,
            length: least + extra,
        }
    }

    /// The number of tokens.
    pub fn length(self) -> u32 {
        self.length
    }

    /// The token at `index`.
    pub fn token(self, index: u32) -> String {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        format!("{:05x} ", hash & 0xf_ffff)
    }

    /// The whole text.
    pub fn full(self) -> String {
        (0..self.length).map(|index| self.token(index)).collect()
    }

    /// The digest of the whole text.
    pub fn digest(self) -> String {
        digest(self.full().as_bytes())
    }
}

/// The SHA-256 of `bytes` in hexadecimal.
pub fn digest(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text
}
