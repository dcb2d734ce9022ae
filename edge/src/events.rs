//! Splits a stream of server-sent events at event boundaries.
//!
//! Invariants:
//! - Bytes are released only up to the end of an event, so a stream that is resumed at
//!   another target never joins parts of two events.
//! - A stream that ends inside an event is incomplete, however its body is framed.

use actix_http::header::{CONTENT_TYPE, HeaderMap};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// The maximum size of a buffered incomplete event, in bytes; a larger one is
/// released before it is complete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Returns whether a response on a stream route contains events. A response without a
/// content type does, since its route says so.
pub(crate) fn has_events(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    let media_type = content_type.and_then(|value| value.to_str().ok()?.split(';').next());
    media_type.is_none_or(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

/// The error of a stream that ended inside an event.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
#[display("the stream ended {bytes} bytes into an event")]
pub struct PartialEvent {
    /// The size of the incomplete event.
    pub bytes: usize,
}

/// Splits one response into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Adds bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        let buffered = match self.partial.is_empty() {
            true => bytes,
            false => {
                self.partial.extend_from_slice(&bytes);
                std::mem::take(&mut self.partial).freeze()
            }
        };
        let end = match last_event_end(&buffered) {
            None if buffered.len() > MAX_EVENT_BYTES => buffered.len(),
            end => end.unwrap_or(0),
        };
        self.partial.extend_from_slice(&buffered[end..]);
        let events = buffered.slice(..end);
        self.last_id = last_event_id(&events).or(self.last_id);
        events
    }

    /// Ends the stream; returns the bytes after its last event, which are blank lines and
    /// comments.
    ///
    /// # Errors
    ///
    /// Returns an error and discards the incomplete event if the stream ended inside one.
    pub fn finish(&mut self) -> Result<Bytes, PartialEvent> {
        let rest = std::mem::take(&mut self.partial).freeze();
        match contains_event_data(&rest) {
            true => Err(PartialEvent { bytes: rest.len() }),
            false => Ok(rest),
        }
    }

    /// Discards the incomplete event at the end of a broken stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the id of the last event that was released.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the offset of the end of the last complete event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = |window: &[u8]| window == b"\n\n" || window == b"\r\r";
    let short = bytes.windows(2).rposition(ends).map(|at| at + 2);
    let long = bytes.windows(4).rposition(|window| window == b"\r\n\r\n");
    short.max(long.map(|at| at + 4))
}

/// Returns whether bytes without the end of an event contain a field or a partial line.
fn contains_event_data(bytes: &[u8]) -> bool {
    let is_line_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
    let is_terminated = bytes.last().is_none_or(is_line_end);
    let mut lines = bytes.split(is_line_end);
    !is_terminated || lines.any(|line| !line.is_empty() && line[0] != b':')
}

/// Returns the id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|&byte| byte == b'\n').rev();
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
