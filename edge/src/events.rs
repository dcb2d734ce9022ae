//! Splits a stream of server-sent events at event boundaries.
//!
//! Invariants:
//! - Bytes are released only up to the end of an event, or the splitter says that the
//!   stream cannot be resumed, so a stream that continues at another target never joins
//!   parts of two events.
//! - A stream that ends inside an event is incomplete, however its body is framed.

use actix_http::header::{CONTENT_TYPE, HeaderMap};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// The maximum size of a buffered incomplete event, in bytes. A larger one is released
/// in parts, and its stream cannot be resumed before its end.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// The maximum number of bytes at the end of an input that may belong to the separator
/// of two events whose rest follows.
const MAX_SEPARATOR_PREFIX: usize = 3;

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
    /// The length of the prefix of `partial` in which no event ends.
    searched: usize,
    last_id: Option<u64>,
    /// The event that is being released in parts.
    oversized: Option<OversizedEvent>,
}

/// An incomplete event of which a part was released.
#[derive(Clone, Copy, Debug)]
struct OversizedEvent {
    id: Option<u64>,
    released_bytes: usize,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds bytes and returns the events that are now complete, or a part of an event that
    /// is too large to buffer.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() && last_event_end(&bytes) == Some(bytes.len()) {
            self.record_events(&bytes);
            return bytes;
        }
        self.partial.extend_from_slice(&bytes);
        let from = self.searched.saturating_sub(MAX_SEPARATOR_PREFIX);
        let end = last_event_end(&self.partial[from..]).map(|end| from + end);
        if let Some(end) = end {
            let events = self.partial.split_to(end).freeze();
            self.searched = self.partial.len();
            self.record_events(&events);
            return events;
        }
        self.searched = self.partial.len();
        match self.oversized.is_some() || self.partial.len() > MAX_EVENT_BYTES {
            true => self.release_part(),
            false => Bytes::new(),
        }
    }

    /// Records released bytes that end with an event.
    fn record_events(&mut self, events: &[u8]) {
        let oversized = self.oversized.take();
        let oversized_id = oversized.and_then(|event| event.id);
        self.last_id = last_event_id(events).or(oversized_id).or(self.last_id);
    }

    /// Releases an incomplete event up to a possible separator at its end.
    fn release_part(&mut self) -> Bytes {
        let end = self.partial.len().saturating_sub(MAX_SEPARATOR_PREFIX);
        let part = self.partial.split_to(end).freeze();
        self.searched = self.partial.len();
        let event = self.oversized.get_or_insert_with(|| OversizedEvent {
            id: last_event_id(&part),
            released_bytes: 0,
        });
        event.released_bytes += part.len();
        part
    }

    /// Whether the stream can continue at another target after the last whole event.
    pub fn is_resumable(&self) -> bool {
        self.oversized.is_none()
    }

    /// Ends the stream; returns the bytes after its last event, which are blank lines and
    /// comments.
    ///
    /// # Errors
    ///
    /// Returns an error and discards the incomplete event if the stream ended inside one.
    pub fn finish(&mut self) -> Result<Bytes, PartialEvent> {
        let rest = std::mem::take(&mut self.partial).freeze();
        self.searched = 0;
        let released_bytes = self.oversized.map_or(0, |event| event.released_bytes);
        match released_bytes > 0 || contains_event_data(&rest) {
            true => Err(PartialEvent {
                bytes: released_bytes + rest.len(),
            }),
            false => Ok(rest),
        }
    }

    /// Discards the incomplete event at the end of a broken stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.searched = 0;
    }

    /// Returns the id of the last event that was released to its end.
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
