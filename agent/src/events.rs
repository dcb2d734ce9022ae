//! Token streams: whole events, how many there were, and whether the last one came.

use actix_http::StatusCode;
use actix_http::header::{CONTENT_TYPE, HeaderMap};
use bytes::{Bytes, BytesMut};
use node::http::header_text;

/// The path under which engines complete prompts.
const COMPLETIONS: &str = "/completions";

/// The last event of a token stream.
const DONE: &[u8] = b"data: [DONE]";

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Whether a path is that of completions, whose streams can be resumed and cancelled.
pub fn is_completion(path: &str) -> bool {
    path.ends_with(COMPLETIONS)
}

/// Whether an answer to a completion is a token stream.
pub fn is_token_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let kind = header_text(headers, CONTENT_TYPE.as_str()).unwrap_or_default();
    status.is_success() && kind.starts_with("text/event-stream")
}

/// Follows a token stream.
///
/// Only whole events are handed on, so that the stream can be resumed after
/// them without a gap or a repeat.
#[derive(Clone, Default, Debug)]
pub struct Events {
    held: BytesMut,
    count: u32,
    is_done: bool,
}

impl Events {
    /// The number of events that were handed on, without the last one.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Whether the last event was handed on and nothing came after it.
    pub fn is_whole(&self) -> bool {
        self.is_done && self.held.is_empty()
    }

    /// Takes in a part of the body; returns the events that are whole.
    pub fn pass(&mut self, chunk: &[u8]) -> Bytes {
        self.held.extend_from_slice(chunk);
        let mut ends = self.held.windows(EVENT_END.len());
        let Some(last) = ends.rposition(|bytes| bytes == EVENT_END) else {
            return Bytes::new();
        };
        let whole = self.held.split_to(last + EVENT_END.len()).freeze();
        for line in whole.split(|&byte| byte == b'\n') {
            match line {
                _ if line.starts_with(DONE) => self.is_done = true,
                _ if line.starts_with(b"data:") => self.count += 1,
                _ => {}
            }
        }
        whole
    }

    /// Forgets the part of an event that was not handed on, before a resume.
    pub fn rewind(&mut self) {
        self.held.clear();
    }
}
