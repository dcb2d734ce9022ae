//! Encoding of chat-completion answers, streamed or complete.

use serde::{Deserialize, Serialize};

use super::text::AnswerText;

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
    /// The index of the choice.
    pub index: u32,
    /// The text of a complete answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Text>,
    /// The text of one chunk of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Text>,
    /// Why the answer ends; `None` for all chunks but the last.
    pub finish_reason: Option<String>,
}

/// A complete answer or one chunk of a stream.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Completion {
    /// The request's identifier.
    pub id: String,
    /// The kind of object.
    pub object: String,
    /// The choices; always one.
    pub choices: Vec<Choice>,
    /// The token counts, in the last chunk or a complete answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// The SHA-256 of the complete text, in the last chunk or a complete answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub x_digest: Option<String>,
}

/// The event that ends a stream.
pub const DONE: &str = "data: [DONE]\n\n";

/// The server-sent event of the token at `index`.
///
/// # Panics
///
/// Panics if the chunk cannot be serialized as JSON; all chunks can.
pub(crate) fn stream_chunk(request_id: &str, answer_text: AnswerText, index: u32) -> String {
    let last = index + 1 == answer_text.length();
    let completion = Completion {
        id: request_id.to_owned(),
        object: "chat.completion.chunk".to_owned(),
        choices: vec![Choice {
            index: 0,
            message: None,
            delta: Some(Text {
                role: None,
                content: answer_text.token(index),
            }),
            finish_reason: last.then(|| "stop".to_owned()),
        }],
        usage: last.then(|| usage(answer_text)),
        x_digest: last.then(|| answer_text.digest()),
    };
    let json = serde_json::to_string(&completion).expect("chunks encode");
    format!("data: {json}\n\n")
}

/// The complete, unstreamed answer.
pub(crate) fn complete_answer(request_id: &str, answer_text: AnswerText) -> Completion {
    Completion {
        id: request_id.to_owned(),
        object: "chat.completion".to_owned(),
        choices: vec![Choice {
            index: 0,
            message: Some(Text {
                role: Some("assistant".to_owned()),
                content: answer_text.full(),
            }),
            delta: None,
            finish_reason: Some("stop".to_owned()),
        }],
        usage: Some(usage(answer_text)),
        x_digest: Some(answer_text.digest()),
    }
}

fn usage(answer_text: AnswerText) -> Usage {
    Usage {
        completion_tokens: answer_text.length(),
    }
}
