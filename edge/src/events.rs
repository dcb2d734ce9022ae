//! Splits a stream of server-sent events at event boundaries.
//!
//! Invariant: bytes are released only up to the end of an event, so a stream that
//! is resumed at another target never joins parts of two events.

use bytes::{Bytes, BytesMut};

/// The maximum size of a buffered incomplete event, in bytes; a larger one is
/// released before it is complete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

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

    /// Returns the remaining bytes after the stream has ended normally.
    pub fn finish(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).freeze()
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

/// Returns the id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|&byte| byte == b'\n').rev();
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
