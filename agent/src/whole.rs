//! Checks that an answer of the target is whole.
//!
//! The HTTP client reports a connection that closed early as the clean end of
//! the body, so the end is compared with what the head or the format promises:
//! the stated length, or the last event of a token stream. A chunked body of
//! another kind is taken as it ends.

use actix_http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap};
use actix_http::{Method, StatusCode};
use bytes::{Bytes, BytesMut};
use node::http::text;

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

/// What the body must amount to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Promise {
    Nothing,
    Length(u64),
    Events,
}

/// Follows a body to its end.
#[derive(Debug)]
pub struct Progress {
    promise: Promise,
    bytes: u64,
    events: u32,
    is_done: bool,
    held: BytesMut,
}

impl Progress {
    /// Begins with the head of an answer.
    pub fn new(method: &Method, path: &str, status: StatusCode, headers: &HeaderMap) -> Self {
        let is_empty = *method == Method::HEAD
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let length = text(headers, CONTENT_LENGTH.as_str()).and_then(|text| text.parse().ok());
        let kind = text(headers, CONTENT_TYPE.as_str()).unwrap_or_default();
        let promise = match length {
            _ if is_empty => Promise::Nothing,
            _ if is_completion(path) && kind.starts_with("text/event-stream") => Promise::Events,
            Some(length) => Promise::Length(length),
            None => Promise::Nothing,
        };
        Self {
            promise,
            bytes: 0,
            events: 0,
            is_done: false,
            held: BytesMut::new(),
        }
    }

    /// Whether the body is a token stream.
    pub fn is_stream(&self) -> bool {
        self.promise == Promise::Events
    }

    /// The number of whole events so far: the offset from which a stream is resumed.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Takes in a part; returns what may be handed on.
    ///
    /// Of a token stream only whole events are handed on, so that it can be
    /// resumed without a gap or a repeat.
    pub fn pass(&mut self, chunk: Bytes) -> Bytes {
        self.bytes += chunk.len() as u64;
        if !self.is_stream() {
            return chunk;
        }
        self.held.extend_from_slice(&chunk);
        let ends = self.held.windows(EVENT_END.len());
        let last = ends.enumerate().filter(|(_, bytes)| *bytes == EVENT_END);
        let Some((last, _)) = last.last() else {
            return Bytes::new();
        };
        let whole = self.held.split_to(last + EVENT_END.len()).freeze();
        for line in whole.split(|&byte| byte == b'\n') {
            match line {
                _ if line.starts_with(DONE) => self.is_done = true,
                _ if line.starts_with(b"data:") => self.events += 1,
                _ => {}
            }
        }
        whole
    }

    /// Forgets the part of an event that has not been handed on, before a resume.
    pub fn rewind(&mut self) {
        self.held.clear();
    }

    /// Whether a body that ends here is whole.
    pub fn is_whole(&self) -> bool {
        match self.promise {
            Promise::Nothing => true,
            Promise::Length(length) => self.bytes == length,
            Promise::Events => self.is_done && self.held.is_empty(),
        }
    }
}
