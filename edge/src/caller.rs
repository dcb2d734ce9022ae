//! One connection of a caller.
//!
//! The connection is read and written with the codec of `actix-http` directly,
//! since its service neither tells at once that a caller has left nor whether a
//! request was read before a connection was closed.
//!
//! Invariants:
//! - A request is handed on only when its head and body were read whole.
//! - After a request whose framing is in doubt the connection is closed.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, HttpMessage, Request, Response, ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use policy::direct::config::CallerLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::{Decoder, Encoder};

use crate::context::Context;

/// Bytes that are read from a connection at once.
const READ_BYTES: usize = 4 * 1024;

/// Bytes that are kept of requests behind the one that is served.
const PIPELINE_BYTES: usize = 64 * 1024;

/// The time for a caller to send the whole body.
const BODY_TIME: Duration = Duration::from_secs(20);

/// The bounds before a configuration is known.
pub(crate) const EARLY_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// A request that was read whole.
#[derive(Debug)]
pub(crate) struct Incoming {
    /// The head.
    pub(crate) head: Request,
    /// The body.
    pub(crate) body: Bytes,
    /// When its first byte was there.
    pub(crate) since: std::time::Instant,
}

/// How waiting for a request ended.
#[derive(Debug)]
pub(crate) enum Next {
    /// A request.
    Request(Box<Incoming>),
    /// Bytes that are no acceptable request; the connection is closed after the answer.
    Refuse(StatusCode),
    /// The connection is idle for too long or was closed.
    Ended,
}

/// A caller's connection.
pub(crate) struct Caller {
    stream: TcpStream,
    codec: Codec,
    input: BytesMut,
    output: BytesMut,
}

impl Caller {
    pub(crate) fn new(stream: TcpStream, config: ServiceConfig) -> Self {
        Self {
            stream,
            codec: Codec::new(config),
            input: BytesMut::new(),
            output: BytesMut::new(),
        }
    }

    /// Waits for the first byte of a request; returns `false` if the connection is to be closed.
    pub(crate) async fn wait(&mut self, context: &Context, idle: Duration) -> bool {
        if !self.input.is_empty() {
            return true;
        }
        // Buffers of idle connections would add up.
        self.input = BytesMut::new();
        let closing = context.closing.notified();
        if context.shared.closing.load(Ordering::Relaxed) {
            return false;
        }
        tokio::select! {
            biased;
            read = timeout(idle, self.read()) => matches!(read, Ok(Ok(true))),
            () = closing => false,
        }
    }

    /// Reads the request of which the first bytes are there.
    pub(crate) async fn next(&mut self, limits: CallerLimits) -> Next {
        let since = std::time::Instant::now();
        let head = match timeout(limits.head_time, self.head(limits.head_bytes)).await {
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None)) => return Next::Ended,
            Ok(Err(status)) => return Next::Refuse(status),
            Err(_) => return Next::Refuse(StatusCode::REQUEST_TIMEOUT),
        };
        if head.head().expect() && self.go_on().await.is_err() {
            return Next::Ended;
        }
        match timeout(BODY_TIME, self.body(&head, limits.body_bytes)).await {
            Ok(Ok(Some(body))) => Next::Request(Box::new(Incoming { head, body, since })),
            Ok(Ok(None)) => Next::Ended,
            Ok(Err(status)) => Next::Refuse(status),
            Err(_) => Next::Refuse(StatusCode::REQUEST_TIMEOUT),
        }
    }

    async fn head(&mut self, most: usize) -> Result<Option<Request>, StatusCode> {
        loop {
            let before = self.input.len();
            match self.codec.decode(&mut self.input) {
                Ok(Some(Message::Item(request))) => {
                    let length = before - self.input.len();
                    return match length > most {
                        true => Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
                        false => Ok(Some(request)),
                    };
                }
                Ok(Some(Message::Chunk(_))) | Err(ParseError::TooLarge) => {
                    return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
                }
                Ok(None) if self.input.len() > most => {
                    return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
                }
                Ok(None) => {}
                Err(_) => return Err(StatusCode::BAD_REQUEST),
            }
            if !matches!(self.read().await, Ok(true)) {
                return Ok(None);
            }
        }
    }

    async fn body(&mut self, head: &Request, most: usize) -> Result<Option<Bytes>, StatusCode> {
        match self.codec.message_type() {
            MessageType::None => return Ok(Some(Bytes::new())),
            MessageType::Payload => {}
            // A body that ends with the connection leaves no way to answer.
            MessageType::Stream => return Err(StatusCode::BAD_REQUEST),
        }
        let stated = head.headers().get(actix_http::header::CONTENT_LENGTH);
        let stated = stated.and_then(|length| length.to_str().ok()?.trim().parse::<usize>().ok());
        if stated.is_some_and(|length| length > most) {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let mut body = BytesMut::with_capacity(stated.unwrap_or(0));
        loop {
            match self.codec.decode(&mut self.input) {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    if body.len() + chunk.len() > most {
                        return Err(StatusCode::PAYLOAD_TOO_LARGE);
                    }
                    body.extend_from_slice(&chunk);
                }
                Ok(Some(Message::Chunk(None))) => return Ok(Some(body.freeze())),
                Ok(None) => {
                    if !matches!(self.read().await, Ok(true)) {
                        return Ok(None);
                    }
                }
                Ok(Some(Message::Item(_))) | Err(_) => return Err(StatusCode::BAD_REQUEST),
            }
        }
    }

    async fn go_on(&mut self) -> io::Result<()> {
        self.stream
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
    }

    /// Reads some bytes; returns `false` at the end.
    async fn read(&mut self) -> io::Result<bool> {
        self.input.reserve(READ_BYTES);
        Ok(self.stream.read_buf(&mut self.input).await? > 0)
    }

    /// Returns when the caller has closed the connection or broken it.
    pub(crate) async fn left(&mut self) {
        while self.input.len() < PIPELINE_BYTES {
            if !matches!(self.read().await, Ok(true)) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Writes an answer with a whole body; returns whether the connection can be kept.
    pub(crate) async fn answer(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &Bytes,
        close: bool,
    ) -> io::Result<bool> {
        self.encode_head(status, headers, BodySize::Sized(body.len() as u64), close)?;
        if !body.is_empty() {
            self.encode(Message::Chunk(Some(body.clone())))?;
        }
        self.encode(Message::Chunk(None))?;
        self.flush().await?;
        Ok(self.keeps())
    }

    /// Writes an answer of the system itself.
    pub(crate) async fn answer_own(
        &mut self,
        status: StatusCode,
        retry: Option<Duration>,
        why: &str,
        close: bool,
    ) -> io::Result<bool> {
        let mut headers = HeaderMap::new();
        if let Some(retry) = retry {
            let seconds = format!("{:.3}", retry.as_secs_f64());
            let value = HeaderValue::from_str(&seconds).expect("digits are plain text");
            headers.insert(RETRY_AFTER, value);
        }
        let body = Bytes::from(format!("{why}\n"));
        self.answer(status, headers, &body, close).await
    }

    /// Buffers the head of an answer whose body follows in pieces.
    pub(crate) fn begin(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        length: Option<u64>,
        close: bool,
    ) -> io::Result<()> {
        let length = length.map_or(BodySize::Stream, BodySize::Sized);
        self.encode_head(status, headers, length, close)
    }

    /// Writes a piece of a body, with all that is buffered before.
    pub(crate) async fn piece(&mut self, piece: Bytes) -> io::Result<()> {
        self.encode(Message::Chunk(Some(piece)))?;
        self.flush().await
    }

    /// Ends a body; returns whether the connection can be kept.
    pub(crate) async fn finish(&mut self) -> io::Result<bool> {
        self.encode(Message::Chunk(None))?;
        self.flush().await?;
        Ok(self.keeps())
    }

    /// Closes the connection so that bytes that were written still arrive.
    pub(crate) async fn close(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        // Closing with unread bytes resets the connection and may take the answer with it.
        let drained = async {
            while matches!(self.read().await, Ok(true)) {
                self.input.clear();
            }
        };
        // The caller has its answer; how the connection ends does not matter to it.
        let _ = timeout(LINGER, drained).await;
    }

    fn keeps(&self) -> bool {
        self.codec.keep_alive()
    }

    fn encode_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        length: BodySize,
        close: bool,
    ) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        response.head_mut().headers = headers;
        if close {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        self.codec
            .encode(Message::Item((response, length)), &mut self.output)
    }

    fn encode(&mut self, message: Message<(Response<()>, BodySize)>) -> io::Result<()> {
        self.codec.encode(message, &mut self.output)
    }

    async fn flush(&mut self) -> io::Result<()> {
        let written = self.stream.write_all(&self.output).await;
        // Streams live long: their buffers are given back between events.
        self.output.clear();
        written
    }
}

/// The time for a caller to close its side after the last answer.
const LINGER: Duration = Duration::from_millis(500);

/// Waits for `future` until a point in time.
pub(crate) async fn until<F: Future>(at: Instant, future: F) -> Option<F::Output> {
    timeout_at(at, future).await.ok()
}
