//! Connections with a request, and the bodies of responses.
//!
//! Invariants:
//! - A body ends with `None` only if its framing shows that it is complete, or if it is
//!   delimited by the end of the connection, which shows nothing.
//! - A connection is reset, not closed, if its request was given up.
//! - A connection is reused only if its last request was fully written, its last
//!   response was fully read and no bytes followed the response.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::h1::ClientPayloadCodec;
use bytes::{Bytes, BytesMut};
use derive_more::Display;
use policy::direct::incarnation::EndCause;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;

use super::connections::{Connections, IdleConnection};
use crate::tcp;

/// The space reserved in the input buffer for each read.
pub(super) const READ_CHUNK_BYTES: usize = 2 * 1024;

/// The maximum number of bytes between two parts of a body, such as the extension of a
/// chunk.
const MAX_FRAMING_BYTES: usize = 64 * 1024;

/// The error of a body that ended before it was complete.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct BodyTruncated;

/// A connection with a request.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) opened_at: Instant,
    pub(super) input: BytesMut,
    /// When the last bytes were received, or the request was begun.
    pub(super) last_byte: Instant,
    /// See [`IdleConnection::is_ambiguous`].
    pub(super) is_ambiguous: bool,
}

/// How the end of a body is marked.
pub(super) enum Framing {
    /// There is no body; the flag tells whether the connection may be reused.
    Empty(bool),
    /// By a content length or by chunked encoding.
    Framed(ClientPayloadCodec),
    /// By the end of the connection.
    Close,
}

/// How a target marks the end of a body.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub(crate) enum BodyFraming {
    /// By a content length or by chunked encoding, or there is no body.
    #[display("framed")]
    Framed,
    /// By the end of the connection, as does a target that crashes.
    #[display("close")]
    Close,
}

impl Framing {
    fn kind(&self) -> BodyFraming {
        match self {
            Self::Empty(_) | Self::Framed(_) => BodyFraming::Framed,
            Self::Close => BodyFraming::Close,
        }
    }
}

/// The body of a response.
pub(crate) struct Body {
    connections: Rc<Connections>,
    address: SocketAddr,
    /// `None` after the end of the body.
    connection: Option<Connection>,
    framing: Framing,
    idle_time: Duration,
    /// Whether the request was fully written.
    request_written: bool,
}

impl Body {
    pub(super) fn new(
        connections: Rc<Connections>,
        address: SocketAddr,
        connection: Connection,
        framing: Framing,
        request_written: bool,
        idle_time: Duration,
    ) -> Self {
        let mut body = Self {
            connections,
            address,
            connection: Some(connection),
            framing,
            idle_time,
            request_written,
        };
        if let Framing::Empty(may_reuse) = body.framing {
            body.release(may_reuse);
        }
        body
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, BodyTruncated> {
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        let mut framing_bytes = 0;
        loop {
            if framing_bytes > MAX_FRAMING_BYTES {
                return self.truncate();
            }
            match &mut self.framing {
                Framing::Empty(_) => return Ok(None),
                Framing::Framed(codec) => match codec.decode(&mut connection.input) {
                    Ok(Some(Some(chunk))) => return Ok(Some(chunk)),
                    Ok(Some(None)) => {
                        let may_reuse = codec.keep_alive();
                        self.release(may_reuse);
                        return Ok(None);
                    }
                    Ok(None) => {}
                    Err(_) => return self.truncate(),
                },
                Framing::Close if !connection.input.is_empty() => {
                    return Ok(Some(connection.input.split().freeze()));
                }
                Framing::Close => {}
            }
            if connection.input.is_empty() && connection.input.capacity() == 0 {
                connection.input = BytesMut::with_capacity(READ_CHUNK_BYTES);
            }
            connection.input.reserve(READ_CHUNK_BYTES);
            match connection.stream.read_buf(&mut connection.input).await {
                Ok(0) if matches!(self.framing, Framing::Close) => {
                    self.connection = None;
                    return Ok(None);
                }
                Ok(0) | Err(_) => {
                    let last_byte = connection.last_byte;
                    self.connections
                        .record_end(self.address, EndCause::Broken, last_byte);
                    return self.truncate();
                }
                Ok(count) => {
                    framing_bytes += count;
                    connection.last_byte = Instant::now();
                }
            }
        }
    }

    /// How the target marks the end of the body.
    pub(crate) fn framing(&self) -> BodyFraming {
        self.framing.kind()
    }

    /// Whether the body was read to its end.
    pub(crate) fn is_complete(&self) -> bool {
        self.connection.is_none()
    }

    fn truncate(&mut self) -> Result<Option<Bytes>, BodyTruncated> {
        if let Some(connection) = self.connection.take() {
            reset(connection);
        }
        Err(BodyTruncated)
    }

    fn release(&mut self, may_reuse: bool) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        // Bytes after the response belong to no request.
        if !may_reuse
            || !self.request_written
            || !connection.input.is_empty()
            || self.idle_time.is_zero()
        {
            return;
        }
        let now = Instant::now();
        let idle = IdleConnection {
            stream: connection.stream,
            opened_at: connection.opened_at,
            idle_since: now,
            expires_at: now + self.idle_time,
            is_ambiguous: connection.is_ambiguous,
        };
        self.connections.keep(self.address, idle);
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.connections
                .record_abandoned(self.address, connection.last_byte);
            reset(connection);
        }
    }
}

/// A request whose response has not begun.
pub(super) struct Pending {
    connections: Rc<Connections>,
    address: SocketAddr,
    /// `None` once the exchange has ended by itself.
    connection: Option<Connection>,
    sent_at: Instant,
}

impl Pending {
    pub(super) fn new(
        connections: Rc<Connections>,
        address: SocketAddr,
        connection: Connection,
    ) -> Self {
        Self {
            connections,
            address,
            connection: Some(connection),
            sent_at: Instant::now(),
        }
    }

    pub(super) fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("the exchange goes on")
    }

    pub(super) fn finish(mut self) -> Connection {
        self.connection.take().expect("the exchange went on")
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.connections
                .record_abandoned(self.address, self.sent_at);
            reset(connection);
        }
    }
}

/// Resets a connection on which nobody waits any more. If it were closed, the bytes that the
/// network holds up would be delivered once it recovers.
pub(super) fn reset(connection: Connection) {
    // Without the option the connection is closed.
    let _ = tcp::set_reset_on_drop(&connection.stream, true);
}
