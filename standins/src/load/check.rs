//! Checks that an answer is complete and belongs to its request.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::engine::{AnswerText, Completion, digest};
use crate::service::Receipt;

/// A defect of an answer whose transfer ended without an error.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerDefect {
    /// It does not have the expected format.
    #[display("not in the expected form")]
    Malformed,
    /// It is truncated.
    #[display("cut, yet ended cleanly")]
    Cut,
    /// It belongs to another request.
    #[display("the answer to another request")]
    Foreign,
    /// It reports a second run of the key.
    #[display("ran more than once")]
    Doubled,
}

/// The answer that a request must get.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Expected {
    /// A streamed text.
    Stream(AnswerText),
    /// An unstreamed text.
    Whole(AnswerText),
    /// A receipt.
    Receipt {
        /// The method and path.
        call: String,
        /// The idempotency key.
        key: Option<String>,
        /// The SHA-256 of the request body.
        digest: String,
    },
}

/// The body of a refusal, as a caller reads it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RefusalBody {
    /// `not run` or `unknown`.
    pub outcome: String,
    /// The reason code.
    pub reason: String,
    /// The delay before a retry, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// Incrementally parses a streamed answer.
#[derive(Clone, Default, Debug)]
pub struct StreamReader {
    pending: Vec<u8>,
    text: String,
    tokens: u64,
    digest: Option<String>,
    done: bool,
    malformed: bool,
}

impl StreamReader {
    /// Consumes a piece of the body and returns the number of tokens it completed.
    pub fn feed(&mut self, piece: &[u8]) -> u64 {
        self.pending.extend_from_slice(piece);
        let before = self.tokens;
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            self.line(line.trim_ascii());
        }
        self.tokens - before
    }

    /// The number of tokens so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Checks the answer after the transfer has ended without an error.
    ///
    /// # Errors
    ///
    /// Returns the defect of the answer.
    pub fn finish(&self, answer_text: AnswerText) -> Result<(), AnswerDefect> {
        match self {
            _ if self.malformed => Err(AnswerDefect::Malformed),
            _ if !self.done || !self.pending.is_empty() => Err(AnswerDefect::Cut),
            _ => check_text(&self.text, self.digest.as_deref(), answer_text),
        }
    }

    fn line(&mut self, line: &[u8]) {
        match line {
            b"" => {}
            b"data: [DONE]" => self.done = true,
            _ => self.event(line),
        }
    }

    fn event(&mut self, line: &[u8]) {
        let chunk = line
            .strip_prefix(b"data: ")
            .and_then(|json| serde_json::from_slice::<Completion>(json).ok());
        let Some(chunk) = chunk else {
            self.malformed = true;
            return;
        };
        for choice in chunk.choices {
            if let Some(delta) = choice.delta {
                self.text.push_str(&delta.content);
                self.tokens += 1;
            }
        }
        self.digest = chunk.x_digest.or(self.digest.take());
    }
}

/// Checks an unstreamed answer of an engine and returns its number of tokens.
///
/// # Errors
///
/// Returns the defect of the answer.
pub fn check_whole(body: &[u8], answer_text: AnswerText) -> Result<u64, AnswerDefect> {
    let answer: Completion = serde_json::from_slice(body).map_err(|_| AnswerDefect::Malformed)?;
    let choice = answer.choices.first().ok_or(AnswerDefect::Malformed)?;
    let message = choice.message.as_ref().ok_or(AnswerDefect::Malformed)?;
    check_text(&message.content, answer.x_digest.as_deref(), answer_text)?;
    Ok(u64::from(answer_text.length()))
}

/// Checks a service's receipt.
///
/// # Errors
///
/// Returns the defect of the answer.
pub fn check_receipt(
    body: &[u8],
    call: &str,
    key: Option<&str>,
    digest: &str,
) -> Result<(), AnswerDefect> {
    let receipt: Receipt = serde_json::from_slice(body).map_err(|_| AnswerDefect::Malformed)?;
    match receipt {
        _ if receipt.call != call || receipt.digest != digest => Err(AnswerDefect::Foreign),
        _ if receipt.key.as_deref() != key => Err(AnswerDefect::Foreign),
        _ if receipt.run != 1 => Err(AnswerDefect::Doubled),
        _ => Ok(()),
    }
}

fn check_text(
    text: &str,
    stated_digest: Option<&str>,
    answer_text: AnswerText,
) -> Result<(), AnswerDefect> {
    let expected_text = answer_text.full();
    let actual_digest = digest(text.as_bytes());
    match stated_digest {
        _ if text != expected_text && expected_text.starts_with(text) => Err(AnswerDefect::Cut),
        _ if text != expected_text => Err(AnswerDefect::Foreign),
        None => Err(AnswerDefect::Malformed),
        Some(stated_digest) if stated_digest != actual_digest => Err(AnswerDefect::Foreign),
        Some(_) => Ok(()),
    }
}
