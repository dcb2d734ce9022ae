//! Finds the events in a stream as its bytes come.
//!
//! Invariant: bytes are handed on only up to the end of an event, so a run that
//! goes on elsewhere never joins halves of two events.

use bytes::{Bytes, BytesMut};

/// The greatest size of an event that is held back, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The events of one answer.
#[derive(Debug, Default)]
pub struct Events {
    rest: BytesMut,
    last: Option<u64>,
}

impl Events {
    /// Starts after the event that the caller has.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            rest: BytesMut::new(),
            last,
        }
    }

    /// Adds bytes and returns the whole events among them.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        let whole = match self.rest.is_empty() {
            true => bytes,
            false => {
                self.rest.extend_from_slice(&bytes);
                std::mem::take(&mut self.rest).freeze()
            }
        };
        let end = match boundary(&whole) {
            None if whole.len() > MAX_EVENT_BYTES => whole.len(),
            end => end.unwrap_or(0),
        };
        self.rest.extend_from_slice(&whole[end..]);
        let events = whole.slice(..end);
        self.last = last_id(&events).or(self.last);
        events
    }

    /// What is left when the stream has ended whole.
    pub fn finish(&mut self) -> Bytes {
        std::mem::take(&mut self.rest).freeze()
    }

    /// Drops the half of an event that a broken stream left.
    pub fn forget_rest(&mut self) {
        self.rest.clear();
    }

    /// The last event that was handed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }
}

/// The end of the last whole event.
fn boundary(bytes: &[u8]) -> Option<usize> {
    let ends = |window: &[u8]| window == b"\n\n" || window == b"\r\r";
    let plain = bytes.windows(2).rposition(ends).map(|at| at + 2);
    let long = bytes.windows(4).rposition(|window| window == b"\r\n\r\n");
    plain.max(long.map(|at| at + 4))
}

/// The id of the last event that states one.
fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|&byte| byte == b'\n').rev();
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
