//! The framing of answers between an agent and a router.
//!
//! The HTTP client cannot tell a chunked body that ended from a connection that
//! was closed between two chunks. Answers therefore travel as frames: a length
//! of four bytes, big endian, and that many bytes. An empty frame ends the body.
//!
//! Invariant: [`Frame::End`] is read only if the sender wrote [`end`].

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// The size of a frame's length in bytes.
const HEAD: usize = 4;

/// A part of a framed body.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Frame {
    /// Bytes of the answer.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// Frames a part of an answer; an empty part yields no bytes.
pub fn data(chunk: &[u8]) -> Bytes {
    if chunk.is_empty() {
        return Bytes::new();
    }
    let mut framed = BytesMut::with_capacity(HEAD + chunk.len());
    put(&mut framed, chunk);
    framed.freeze()
}

/// The frame that ends an answer.
pub fn end() -> Bytes {
    Bytes::from_static(&[0; HEAD])
}

/// Frames a whole answer.
pub fn whole(body: &[u8]) -> Bytes {
    let mut framed = BytesMut::with_capacity(2 * HEAD + body.len());
    if !body.is_empty() {
        put(&mut framed, body);
    }
    framed.put_u32(0);
    framed.freeze()
}

fn put(framed: &mut BytesMut, chunk: &[u8]) {
    let length = u32::try_from(chunk.len()).expect("parts are far below 4 GiB");
    framed.put_u32(length);
    framed.put_slice(chunk);
}

/// Reads frames.
///
/// Data is handed on as it comes, also in the middle of a frame.
#[derive(Clone, Default, Debug)]
pub struct Deframer {
    buffer: BytesMut,
    open: usize,
}

impl Deframer {
    /// Takes in bytes from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next part, if one has arrived.
    pub fn next_frame(&mut self) -> Option<Frame> {
        if self.open == 0 {
            if self.buffer.len() < HEAD {
                return None;
            }
            self.open = self.buffer.get_u32() as usize;
            if self.open == 0 {
                return Some(Frame::End);
            }
        }
        let size = self.open.min(self.buffer.len());
        if size == 0 {
            return None;
        }
        self.open -= size;
        Some(Frame::Data(self.buffer.split_to(size).freeze()))
    }
}
