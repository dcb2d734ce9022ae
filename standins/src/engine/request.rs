//! The request body of the chat-completions API.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The default of `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 64;

/// The greatest accepted value of `max_tokens`.
const MAX_ANSWER_TOKENS: u32 = 1 << 16;

/// The assumed mean length of a prompt token, in bytes.
const BYTES_PER_TOKEN: usize = 4;

/// One message of a prompt.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Message {
    /// The role.
    pub role: String,
    /// The text.
    pub content: String,
}

/// The fields of a request body that the engine uses.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The prompt.
    pub messages: Vec<Message>,
    /// The maximum length of the answer, in tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// Why a request body was rejected.
#[derive(Debug, Display, Error)]
pub enum RequestError {
    /// Not JSON, or not a chat-completions request.
    #[display("malformed request: {_0}")]
    Malformed(serde_json::Error),
    /// The request has no message.
    #[display("a request needs a message")]
    Empty,
    /// `max_tokens` is out of range.
    #[display("max_tokens is out of range")]
    MaxTokens,
}

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

impl ChatRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a chat-completions request.
    pub fn parse(body: &[u8]) -> Result<Self, RequestError> {
        let request: Self = serde_json::from_slice(body).map_err(RequestError::Malformed)?;
        match request {
            _ if request.messages.is_empty() => Err(RequestError::Empty),
            _ if !(1..=MAX_ANSWER_TOKENS).contains(&request.max_tokens) => {
                Err(RequestError::MaxTokens)
            }
            _ => Ok(request),
        }
    }

    /// The number of prompt tokens.
    pub fn prompt_tokens(&self) -> u32 {
        let bytes: usize = self.messages.iter().map(|m| m.content.len()).sum();
        u32::try_from(bytes / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
    }

    /// The hash of the first message, which is the shared prefix of requests of one kind.
    pub fn prefix(&self) -> u64 {
        xxh3_64(self.messages[0].content.as_bytes())
    }

    /// The number of tokens of the shared prefix.
    pub fn prefix_tokens(&self) -> u32 {
        let bytes = self.messages[0].content.len();
        u32::try_from(bytes / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
    }
}
