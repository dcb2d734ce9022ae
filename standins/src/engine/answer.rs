//! The answer's bytes, streamed or whole.

use serde::{Deserialize, Serialize};

use super::text::Script;

/// The token counts of an answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the answer.
    pub completion_tokens: u32,
}

/// The text of a choice.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Text {
    /// The role.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// The text.
    pub content: String,
}

/// One choice of an answer.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Choice {
    /// Its index.
    pub index: u32,
    /// The text of a whole answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Text>,
    /// The text of a chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Text>,
    /// Why the answer ends, if it does.
    pub finish_reason: Option<String>,
}

/// A whole answer or one chunk of a stream.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Completion {
    /// The request's identifier.
    pub id: String,
    /// The kind of object.
    pub object: String,
    /// The choices; always one.
    pub choices: Vec<Choice>,
    /// The token counts, at the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// The digest of the whole text, at the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub x_digest: Option<String>,
}

/// The mark that ends a stream.
pub const DONE: &str = "data: [DONE]\n\n";

/// The server-sent event of the token at `index`.
///
/// # Panics
///
/// Panics if the chunk cannot be written as JSON, which no chunk causes.
pub(crate) fn chunk(request: &str, script: Script, index: u32) -> String {
    let last = index + 1 == script.length();
    let completion = Completion {
        id: request.to_owned(),
        object: "chat.completion.chunk".to_owned(),
        choices: vec![Choice {
            index: 0,
            message: None,
            delta: Some(Text {
                role: None,
                content: script.token(index),
            }),
            finish_reason: last.then(|| "stop".to_owned()),
        }],
        usage: last.then(|| usage(script)),
        x_digest: last.then(|| script.digest()),
    };
    let json = serde_json::to_string(&completion).expect("chunks encode");
    format!("data: {json}\n\n")
}

/// The whole answer.
pub(crate) fn whole(request: &str, script: Script) -> Completion {
    Completion {
        id: request.to_owned(),
        object: "chat.completion".to_owned(),
        choices: vec![Choice {
            index: 0,
            message: Some(Text {
                role: Some("assistant".to_owned()),
                content: script.full(),
            }),
            delta: None,
            finish_reason: Some("stop".to_owned()),
        }],
        usage: Some(usage(script)),
        x_digest: Some(script.digest()),
    }
}

fn usage(script: Script) -> Usage {
    Usage {
        completion_tokens: script.length(),
    }
}
