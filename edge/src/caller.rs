//! The server side of a caller's connection.
//!
//! It uses the codec of `actix-http` directly. The HTTP service of `actix-http`
//! neither reports a disconnect immediately nor tells whether a request was read
//! before its connection was closed.
//!
//! Invariants:
//! - A request is processed only after its head and body were read completely.
//! - The connection is closed after a request whose framing is ambiguous.
//! - Whatever ends a response early, also the end of this process, its caller can tell it
//!   from a complete one.

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
use crate::tcp;

/// The space reserved in the input buffer for each read.
const READ_CHUNK_BYTES: usize = 4 * 1024;

/// The maximum size of buffered input behind the request being served.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// The time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a request is waited for on an idle connection that is to be closed.
const CLOSING_READ_TIME: Duration = Duration::from_millis(200);

/// The time limit for the caller to close its side after the last response.
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// The limits used until a configuration is known.
pub(crate) const INITIAL_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// A completely received request.
#[derive(Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) head: Request,
    pub(crate) body: Bytes,
    /// When its first byte was received.
    pub(crate) received_at: std::time::Instant,
}

/// The result of reading a request.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
    Request(Box<ReceivedRequest>),
    /// The input is invalid, incomplete or exceeds a limit; the connection is closed after
    /// this status is sent.
    Reject(StatusCode),
    /// The connection was closed or failed.
    Closed,
}

/// How the end of a response is marked for its caller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ResponseFraming {
    /// By this content length.
    Length(u64),
    /// By a final chunk.
    Chunked,
    /// By the end of the connection; a response that ends early resets it.
    Close,
}

/// The server side of a caller's connection.
pub(crate) struct CallerConnection {
    stream: TcpStream,
    /// Whether the options for requests in progress are set.
    is_configured: bool,
    codec: Codec,
    input: BytesMut,
    output: BytesMut,
    /// Whether dropping the connection resets it.
    resets_on_drop: bool,
}

impl CallerConnection {
    pub(crate) fn new(stream: TcpStream, config: ServiceConfig) -> Self {
        Self {
            stream,
            is_configured: false,
            codec: Codec::new(config),
            input: BytesMut::new(),
            output: BytesMut::new(),
            resets_on_drop: false,
        }
    }

    /// Sets the options that a request in progress needs.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system rejects an option.
    pub(crate) fn configure(&mut self) -> io::Result<()> {
        if !self.is_configured {
            tcp::configure(&self.stream)?;
            self.is_configured = true;
        }
        Ok(())
    }

    /// Waits for the first byte of a request; returns `false` if the connection must be closed.
    ///
    /// Once the router refuses new requests, one that is on its way is still waited for, so
    /// that its caller gets an answer.
    pub(crate) async fn wait_for_request(&mut self, context: &Context, idle: Duration) -> bool {
        if !self.input.is_empty() {
            return true;
        }
        // Frees the buffer: buffers of many idle connections would use too much memory.
        self.input = BytesMut::new();
        let closing = context.closing.notified();
        if !context.shared.closing.load(Ordering::Relaxed) {
            tokio::select! {
                biased;
                read = timeout(idle, self.fill_input()) => return matches!(read, Ok(Ok(true))),
                () = closing => {}
            }
        }
        let read = timeout(CLOSING_READ_TIME, self.fill_input()).await;
        matches!(read, Ok(Ok(true)))
    }

    /// Reads a request whose first bytes were received.
    pub(crate) async fn read_request(&mut self, limits: CallerLimits) -> ReadOutcome {
        let received_at = std::time::Instant::now();
        let head = match timeout(limits.head_time, self.read_head(limits.head_bytes)).await {
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None)) => return ReadOutcome::Closed,
            Ok(Err(status)) => return ReadOutcome::Reject(status),
            Err(_) => return ReadOutcome::Reject(StatusCode::REQUEST_TIMEOUT),
        };
        if head.head().expect() && self.send_continue().await.is_err() {
            return ReadOutcome::Closed;
        }
        match timeout(BODY_TIMEOUT, self.read_body(&head, limits.body_bytes)).await {
            Ok(Ok(Some(body))) => ReadOutcome::Request(Box::new(ReceivedRequest {
                head,
                body,
                received_at,
            })),
            Ok(Ok(None)) => ReadOutcome::Closed,
            Ok(Err(status)) => ReadOutcome::Reject(status),
            Err(_) => ReadOutcome::Reject(StatusCode::REQUEST_TIMEOUT),
        }
    }

    async fn read_head(&mut self, max_bytes: usize) -> Result<Option<Request>, StatusCode> {
        loop {
            let length_before = self.input.len();
            match self.codec.decode(&mut self.input) {
                Ok(Some(Message::Item(request))) => {
                    let length = length_before - self.input.len();
                    return match length > max_bytes {
                        true => Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
                        false => Ok(Some(request)),
                    };
                }
                Ok(Some(Message::Chunk(_))) | Err(ParseError::TooLarge) => {
                    return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
                }
                Ok(None) if self.input.len() > max_bytes => {
                    return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
                }
                Ok(None) => {}
                Err(_) => return Err(StatusCode::BAD_REQUEST),
            }
            if !matches!(self.fill_input().await, Ok(true)) {
                return Ok(None);
            }
        }
    }

    async fn read_body(
        &mut self,
        head: &Request,
        max_bytes: usize,
    ) -> Result<Option<Bytes>, StatusCode> {
        match self.codec.message_type() {
            MessageType::None => return Ok(Some(Bytes::new())),
            MessageType::Payload => {}
            // A request body delimited by the end of the connection cannot be answered.
            MessageType::Stream => return Err(StatusCode::BAD_REQUEST),
        }
        let content_length = head.headers().get(actix_http::header::CONTENT_LENGTH);
        let content_length =
            content_length.and_then(|length| length.to_str().ok()?.trim().parse::<usize>().ok());
        if content_length.is_some_and(|length| length > max_bytes) {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let mut body = BytesMut::with_capacity(content_length.unwrap_or(0));
        loop {
            match self.codec.decode(&mut self.input) {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    if body.len() + chunk.len() > max_bytes {
                        return Err(StatusCode::PAYLOAD_TOO_LARGE);
                    }
                    body.extend_from_slice(&chunk);
                }
                Ok(Some(Message::Chunk(None))) => return Ok(Some(body.freeze())),
                Ok(None) => {
                    if !matches!(self.fill_input().await, Ok(true)) {
                        return Ok(None);
                    }
                }
                Ok(Some(Message::Item(_))) | Err(_) => return Err(StatusCode::BAD_REQUEST),
            }
        }
    }

    async fn send_continue(&mut self) -> io::Result<()> {
        self.stream
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
    }

    /// Reads available bytes into the input buffer; returns `false` at the end of the stream.
    async fn fill_input(&mut self) -> io::Result<bool> {
        self.input.reserve(READ_CHUNK_BYTES);
        Ok(self.stream.read_buf(&mut self.input).await? > 0)
    }

    /// Completes when the caller has closed the connection or the connection has failed.
    pub(crate) async fn disconnected(&mut self) {
        while self.input.len() < MAX_PIPELINED_BYTES {
            if !matches!(self.fill_input().await, Ok(true)) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Writes a complete response; returns whether the connection can be kept alive.
    pub(crate) async fn respond(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &Bytes,
        framing: ResponseFraming,
        close: bool,
    ) -> io::Result<bool> {
        self.begin_response(status, headers, framing, close)?;
        if !body.is_empty() {
            self.encode(Message::Chunk(Some(body.clone())))?;
        }
        self.finish_response().await
    }

    /// Writes a response generated by the router; returns whether the connection can be
    /// kept alive.
    pub(crate) async fn respond_error(
        &mut self,
        status: StatusCode,
        retry_after: Option<Duration>,
        reason: &str,
        close: bool,
    ) -> io::Result<bool> {
        let mut headers = HeaderMap::new();
        if let Some(retry_after) = retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            let value = HeaderValue::from_str(&seconds).expect("digits are plain text");
            headers.insert(RETRY_AFTER, value);
        }
        let body = Bytes::from(format!("{reason}\n"));
        let framing = ResponseFraming::Length(body.len() as u64);
        self.respond(status, headers, &body, framing, close).await
    }

    /// Buffers the head of a response whose body is written in parts.
    pub(crate) fn begin_response(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        framing: ResponseFraming,
        close: bool,
    ) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        let head = response.head_mut();
        head.headers = headers;
        if close || framing == ResponseFraming::Close {
            head.set_connection_type(ConnectionType::Close);
        }
        let length = match framing {
            ResponseFraming::Length(length) => BodySize::Sized(length),
            ResponseFraming::Chunked => BodySize::Stream,
            ResponseFraming::Close => {
                head.no_chunking(true);
                tcp::set_reset_on_drop(&self.stream, true)?;
                self.resets_on_drop = true;
                BodySize::Stream
            }
        };
        self.encode(Message::Item((response, length)))
    }

    /// Writes a chunk of the body, after any buffered output.
    pub(crate) async fn write_chunk(&mut self, chunk: Bytes) -> io::Result<()> {
        self.encode(Message::Chunk(Some(chunk)))?;
        self.flush().await
    }

    /// Ends the body; returns whether the connection can be kept alive.
    pub(crate) async fn finish_response(&mut self) -> io::Result<bool> {
        self.encode(Message::Chunk(None))?;
        self.flush().await?;
        if std::mem::take(&mut self.resets_on_drop) {
            tcp::set_reset_on_drop(&self.stream, false)?;
        }
        Ok(self.can_keep_alive())
    }

    /// Closes the connection gracefully, so that the written bytes are still delivered.
    pub(crate) async fn close(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        // Closing with unread bytes resets the connection, and the response may be lost.
        let drained = async {
            while matches!(self.fill_input().await, Ok(true)) {
                self.input.clear();
            }
        };
        // The response was sent; a timeout here does not matter to the caller.
        let _ = timeout(LINGER_TIMEOUT, drained).await;
    }

    fn can_keep_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    fn encode(&mut self, message: Message<(Response<()>, BodySize)>) -> io::Result<()> {
        self.codec.encode(message, &mut self.output)
    }

    async fn flush(&mut self) -> io::Result<()> {
        let written = self.stream.write_all(&self.output).await;
        // Responses may be long-lived streams; their output is not kept between events.
        self.output.clear();
        written
    }
}

/// Runs `future` until `at`; returns `None` if it did not complete by then.
pub(crate) async fn run_until<F: Future>(at: Instant, future: F) -> Option<F::Output> {
    timeout_at(at, future).await.ok()
}
