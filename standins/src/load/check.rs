//! Whether an answer is whole and belongs to its request.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::engine::{AnswerText, Completion, digest};
use crate::service::Receipt;

/// What is wrong with an answer that ended cleanly.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flaw {
    /// It is not in the expected form.
    #[display("not in the expected form")]
    Malformed,
    /// It ended cleanly before its end.
    #[display("cut, yet ended cleanly")]
    Cut,
    /// It answers another request.
    #[display("the answer to another request")]
    Foreign,
    /// It tells of a second run.
    #[display("ran more than once")]
    Doubled,
}

/// What the answer must be.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Expected {
    /// Streamed text.
    Stream(AnswerText),
    /// Whole text.
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

/// A refusal as the caller reads it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RefusalBody {
    /// `not run` or `unknown`.
    pub outcome: String,
    /// Why.
    pub reason: String,
    /// When to try again, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// Reads a streamed answer as it arrives.
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
    /// Takes a piece of the body and returns how many tokens it completed.
    pub fn feed(&mut self, piece: &[u8]) -> u64 {
        self.pending.extend_from_slice(piece);
        let before = self.tokens;
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            self.line(line.trim_ascii());
        }
        self.tokens - before
    }

    /// The tokens so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Checks the answer after a clean end.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub fn finish(&self, answer_text: AnswerText) -> Result<(), Flaw> {
        match self {
            _ if self.malformed => Err(Flaw::Malformed),
            _ if !self.done || !self.pending.is_empty() => Err(Flaw::Cut),
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

/// Checks a whole answer of an engine and returns its number of tokens.
///
/// # Errors
///
/// Returns what is wrong with it.
pub fn check_whole(body: &[u8], answer_text: AnswerText) -> Result<u64, Flaw> {
    let answer: Completion = serde_json::from_slice(body).map_err(|_| Flaw::Malformed)?;
    let choice = answer.choices.first().ok_or(Flaw::Malformed)?;
    let message = choice.message.as_ref().ok_or(Flaw::Malformed)?;
    check_text(&message.content, answer.x_digest.as_deref(), answer_text)?;
    Ok(u64::from(answer_text.length()))
}

/// Checks a service's receipt.
///
/// # Errors
///
/// Returns what is wrong with it.
pub fn check_receipt(body: &[u8], call: &str, key: Option<&str>, digest: &str) -> Result<(), Flaw> {
    let receipt: Receipt = serde_json::from_slice(body).map_err(|_| Flaw::Malformed)?;
    match receipt {
        _ if receipt.call != call || receipt.digest != digest => Err(Flaw::Foreign),
        _ if receipt.key.as_deref() != key => Err(Flaw::Foreign),
        _ if receipt.run != 1 => Err(Flaw::Doubled),
        _ => Ok(()),
    }
}

fn check_text(text: &str, stated: Option<&str>, answer_text: AnswerText) -> Result<(), Flaw> {
    let full = answer_text.full();
    let own = digest(text.as_bytes());
    match stated {
        _ if text != full && full.starts_with(text) => Err(Flaw::Cut),
        _ if text != full => Err(Flaw::Foreign),
        None => Err(Flaw::Malformed),
        Some(stated) if stated != own => Err(Flaw::Foreign),
        Some(_) => Ok(()),
    }
}
