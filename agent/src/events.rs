//! Parsing of token streams into complete server-sent events.

use actix_http::StatusCode;
use actix_http::header::{CONTENT_TYPE, HeaderMap};
use bytes::{Bytes, BytesMut};
use node::http::header_text;

/// The suffix of the paths under which engines complete prompts.
const COMPLETIONS_SUFFIX: &str = "/completions";

/// The final event of a token stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// The separator at the end of an event.
const EVENT_SEPARATOR: &[u8] = b"\n\n";

/// Returns whether a path is that of completions, whose streams can be resumed and cancelled.
pub fn is_completion(path: &str) -> bool {
    path.ends_with(COMPLETIONS_SUFFIX)
}

/// Returns whether an answer to a completion is a token stream.
pub fn is_token_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let content_type = header_text(headers, CONTENT_TYPE.as_str()).unwrap_or_default();
    status.is_success() && content_type.starts_with("text/event-stream")
}

/// Splits a token stream into complete events.
///
/// Only complete events are forwarded, so that the stream can be resumed after
/// them without gaps or repeats.
#[derive(Clone, Default, Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    count: u32,
    is_done: bool,
}

impl EventSplitter {
    /// Returns the number of forwarded events, excluding the final one.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns whether the final event was forwarded and no data followed it.
    pub fn is_complete(&self) -> bool {
        self.is_done && self.buffer.is_empty()
    }

    /// Adds a chunk of the body and returns the events that are complete.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(chunk);
        let mut windows = self.buffer.windows(EVENT_SEPARATOR.len());
        let Some(last) = windows.rposition(|bytes| bytes == EVENT_SEPARATOR) else {
            return Bytes::new();
        };
        let complete = self.buffer.split_to(last + EVENT_SEPARATOR.len()).freeze();
        for line in complete.split(|&byte| byte == b'\n') {
            match line {
                _ if line.starts_with(DONE_EVENT) => self.is_done = true,
                _ if line.starts_with(b"data:") => self.count += 1,
                _ => {}
            }
        }
        complete
    }

    /// Discards the partial event at the end; called before the stream is resumed.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }
}
