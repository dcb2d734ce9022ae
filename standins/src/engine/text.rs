//! The deterministic text of an engine's answers.
//!
//! Invariant: the text is a function of the request body alone, so that a
//! client can compute the expected answer.

use std::fmt::Write as _;

use sha2::{Digest as _, Sha256};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A request whose body contains this text crashes the engine that runs it.
pub const CRASH_MARKER: &str = "crash-the-engine";

/// The answer to one request body, as a sequence of pseudorandom tokens.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AnswerText {
    seed: u64,
    length: u32,
}

impl AnswerText {
    /// Creates the answer to a body, with up to `max_tokens` tokens.
    ///
    /// The length is between a quarter of `max_tokens` and `max_tokens`.
    pub fn new(body: &[u8], max_tokens: u32) -> Self {
        let seed = xxh3_64(body);
        let max_length = max_tokens.max(1);
        let min_length = max_length.div_ceil(4);
        let range_size = u64::from(max_length - min_length) + 1;
        let extra = u32::try_from(seed % range_size).expect("less than the size of the range");
        Self {
            seed,
            length: min_length + extra,
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

    /// The complete text.
    pub fn full(self) -> String {
        (0..self.length).map(|index| self.token(index)).collect()
    }

    /// The SHA-256 of the complete text.
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
