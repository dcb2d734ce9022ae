//! The connection pool for targets, and HTTP exchanges on its connections.
//!
//! Invariants:
//! - [`SendError::Unsent`] and [`SendError::Ended`] mean that no byte of the request left
//!   this process.
//! - No connection is opened for a request that found idle ones ended: the target may be
//!   another incarnation then, and is to be selected again.
//! - A response that names no request counts as the response to a request that must not run
//!   twice only if no earlier response on its connection named none.

mod body;
mod connections;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ServiceConfig, StatusCode, Uri};
use bytes::{Buf, Bytes, BytesMut};
use derive_more::Display;
use node::http::is_valid_status;
use platform::response::ResponseHead;
use policy::direct::incarnation::{ConnectionEnd, EndCause};
use policy::direct::placement::IdleConnections;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

use crate::tcp;
pub(crate) use body::{Body, BodyFraming, BodyTruncated};
use body::{Connection, Framing, Pending, READ_CHUNK_BYTES, reset};
use connections::{Connections, IdleConnection, NoIdle};

/// The time limit for opening a connection; the latency between data centres is a few
/// milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an idle connection is kept if the target sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);

/// The maximum time that an idle connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// The time by which a `Keep-Alive` timeout is shortened, so that the target does
/// not close a connection while a request is in transit.
const IDLE_MARGIN: Duration = Duration::from_millis(1200);

/// The maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The number of responses to other requests that are skipped on one connection.
const MAX_MISMATCHED_RESPONSES: usize = 2;

/// The number of informational responses that are skipped before a response.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;

/// The maximum size of the body of a skipped response, in bytes.
const MAX_SKIPPED_BYTES: usize = 1024 * 1024;

/// A request to a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetRequest {
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) uri: Uri,
    /// The headers, `Host` included.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
}

/// Why a request got no response.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub(crate) enum SendError {
    /// No byte of the request left this process.
    #[display("unsent")]
    Unsent,
    /// The same, since the idle connections that were to be used had ended.
    #[display("ended")]
    Ended,
    /// The connection failed, or carried no valid response, after bytes were sent.
    #[display("broken")]
    Broken,
}

/// The head of a response, with its body still to be read.
pub(crate) struct TargetResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// When the connection was opened.
    pub(crate) opened_at: Instant,
}

/// The connections of one router to all targets.
#[derive(Clone)]
pub(crate) struct ConnectionPool {
    connections: Rc<Connections>,
    config: ServiceConfig,
    opened_count: Rc<std::cell::Cell<u64>>,
}

impl ConnectionPool {
    pub(crate) fn new(config: ServiceConfig) -> Self {
        Self {
            connections: Rc::default(),
            config,
            opened_count: Rc::default(),
        }
    }

    /// Returns the number of connections opened so far.
    pub(crate) fn opened_count(&self) -> u64 {
        self.opened_count.get()
    }

    /// Closes idle connections that have expired.
    pub(crate) fn close_expired(&self, now: Instant) {
        self.connections.close_expired(now);
    }

    /// Takes the unannounced ends of connections since the last call.
    pub(crate) fn take_ends(&self) -> Vec<ConnectionEnd> {
        self.connections.take_ends()
    }

    /// Sends a request and waits for the head of its response, without a time limit.
    ///
    /// Dropping the future or the body closes the connection. With `opened_before`, only a
    /// connection opened before that time is used. `may_send` is called right before the
    /// first byte is written; if it returns `false`, nothing is sent. `on_head` is called with
    /// each head that the target sends, also of responses to other requests.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: TargetRequest,
        opened_before: Option<Instant>,
        id: &str,
        may_send: impl FnOnce() -> bool,
        on_head: impl Fn(&ResponseHead<'_>),
    ) -> Result<TargetResponse, SendError> {
        let idle = self
            .connections
            .take_idle(address, request.idempotent, opened_before);
        let (stream, opened_at, is_ambiguous) = match idle {
            Ok(idle) => (idle.stream, idle.opened_at, idle.is_ambiguous),
            Err(NoIdle::None) if opened_before.is_none() => {
                (self.connect(address).await?, Instant::now(), false)
            }
            Err(NoIdle::None | NoIdle::Ended) => return Err(SendError::Ended),
        };
        if !may_send() {
            return Err(SendError::Unsent);
        }
        let connection = Connection {
            stream,
            opened_at,
            input: BytesMut::new(),
            last_byte: Instant::now(),
            is_ambiguous,
        };
        let mut pending = Pending::new(self.connections.clone(), address, connection);
        let exchange = self.exchange(address, pending.connection(), request, id, on_head);
        let response = exchange.await;
        match response {
            Some((status, headers, framing, request_written)) => {
                let idle_time = allowed_idle_time(&headers);
                let body = Body::new(
                    self.connections.clone(),
                    address,
                    pending.finish(),
                    framing,
                    request_written,
                    idle_time,
                );
                Ok(TargetResponse {
                    status,
                    headers,
                    body,
                    opened_at,
                })
            }
            None => {
                reset(pending.finish());
                Err(SendError::Broken)
            }
        }
    }

    /// Finds out whether a target accepts connections; keeps one that is opened for that.
    ///
    /// # Errors
    ///
    /// Returns an error if it accepts none.
    pub(crate) async fn probe(&self, address: SocketAddr) -> Result<(), SendError> {
        if self.connections.has_usable(address, |_| true) {
            return Ok(());
        }
        let stream = self.connect(address).await?;
        let now = Instant::now();
        let connection = IdleConnection {
            stream,
            opened_at: now,
            idle_since: now,
            expires_at: now + DEFAULT_IDLE_TIME,
            is_ambiguous: false,
        };
        self.connections.keep(address, connection);
        Ok(())
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, SendError> {
        self.opened_count.set(self.opened_count.get() + 1);
        let begun_at = Instant::now();
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let end_cause = match &connected {
            Ok(Ok(_)) => None,
            Ok(Err(error)) => match error.kind() {
                ErrorKind::ConnectionRefused => Some(EndCause::Refused),
                ErrorKind::TimedOut => Some(EndCause::TimedOut),
                // Errors of this machine say nothing of the target.
                _ => None,
            },
            Err(_) => Some(EndCause::TimedOut),
        };
        if let Some(cause) = end_cause {
            self.connections.record_end(address, cause, begun_at);
        }
        let Ok(Ok(stream)) = connected else {
            return Err(SendError::Unsent);
        };
        tcp::configure(&stream).map_err(|_| SendError::Unsent)?;
        Ok(stream)
    }

    /// Writes the request and reads the response concurrently, since the response may
    /// arrive before the request is fully written.
    async fn exchange(
        &self,
        address: SocketAddr,
        connection: &mut Connection,
        request: TargetRequest,
        id: &str,
        on_head: impl Fn(&ResponseHead<'_>),
    ) -> Option<(StatusCode, HeaderMap, Framing, bool)> {
        let mut codec = ClientCodec::new(self.config.clone());
        let mut output = encode(&mut codec, request).ok()?;
        let (mut mismatched, mut informational) = (0, 0);
        let (mut read_half, mut write_half) = connection.stream.split();
        loop {
            let decoded = codec.decode(&mut connection.input).ok()?;
            if let Some(head) = decoded {
                let status = head.status;
                if !is_valid_status(status) {
                    return None;
                }
                let headers = head.headers().clone();
                let parsed = platform::response::parse_head(status.as_u16(), &headers);
                on_head(&parsed);
                if status.is_informational() {
                    informational += 1;
                    if informational > MAX_INFORMATIONAL_RESPONSES {
                        return None;
                    }
                    continue;
                }
                let is_mismatched = parsed.request.is_some_and(|answered| answered != id);
                let (framing, next) = response_framing(codec, status, &headers);
                if !is_mismatched {
                    let is_unnamed = parsed.request.is_none();
                    let has_run =
                        !parsed.facts.not_run && status != StatusCode::MISDIRECTED_REQUEST;
                    // It may be a second copy of the response to an earlier request.
                    if is_unnamed && connection.is_ambiguous && has_run {
                        return None;
                    }
                    connection.is_ambiguous |= is_unnamed;
                    return Some((status, headers, framing, output.is_empty()));
                }
                mismatched += 1;
                let fields: [node::event::Field<'_>; 2] = [("request", &id), ("address", &address)];
                node::event::log(node::event::Event::AnswerMismatched, &fields);
                if mismatched > MAX_MISMATCHED_RESPONSES {
                    return None;
                }
                codec = skip_response(framing, next, &mut read_half, &mut connection.input).await?;
                continue;
            }
            if connection.input.len() > MAX_HEAD_BYTES {
                return None;
            }
            connection.input.reserve(READ_CHUNK_BYTES);
            tokio::select! {
                read = read_half.read_buf(&mut connection.input) => match read {
                    Ok(count) if count > 0 => connection.last_byte = Instant::now(),
                    Ok(_) | Err(_) => {
                        let last_byte = connection.last_byte;
                        self.connections.record_end(address, EndCause::Broken, last_byte);
                        return None;
                    }
                },
                written = write_half.write(&output), if !output.is_empty() => match written {
                    Ok(count) => output.advance(count),
                    Err(_) => {
                        let last_byte = connection.last_byte;
                        self.connections.record_end(address, EndCause::Broken, last_byte);
                        return None;
                    }
                }
            }
        }
    }
}

impl IdleConnections for ConnectionPool {
    fn has_idle(&self, address: SocketAddr) -> bool {
        self.connections.has_idle(address)
    }

    fn has_idle_opened_before(&self, address: SocketAddr, time: Instant) -> bool {
        self.connections
            .has_usable(address, |idle| idle.opened_at < time)
    }
}

fn encode(codec: &mut ClientCodec, request: TargetRequest) -> std::io::Result<BytesMut> {
    let mut output = BytesMut::with_capacity(request.body.len() + 1024);
    let mut head = RequestHead::default();
    let has_body =
        !matches!(request.method, Method::GET | Method::HEAD) || !request.body.is_empty();
    head.method = request.method;
    head.uri = request.uri;
    head.headers = request.headers;
    let length = match has_body {
        true => BodySize::Sized(request.body.len() as u64),
        false => BodySize::None,
    };
    codec.encode(
        Message::Item((RequestHeadType::from(head), length)),
        &mut output,
    )?;
    if !request.body.is_empty() {
        codec.encode(Message::Chunk(Some(request.body)), &mut output)?;
    }
    codec.encode(Message::Chunk(None), &mut output)?;
    Ok(output)
}

/// Returns the framing of a response, and the codec for the next response if there is
/// no body.
fn response_framing(
    codec: ClientCodec,
    status: StatusCode,
    headers: &HeaderMap,
) -> (Framing, Option<ClientCodec>) {
    let is_bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    match codec.message_type() {
        MessageType::None if is_bodiless || is_framed => {
            (Framing::Empty(codec.keep_alive()), Some(codec))
        }
        MessageType::None => (Framing::Close, None),
        MessageType::Payload if is_framed => (Framing::Framed(codec.into_payload_codec()), None),
        MessageType::Payload | MessageType::Stream => (Framing::Close, None),
    }
}

/// Reads and discards the body of a response to another request; returns the codec for
/// the next response.
async fn skip_response(
    framing: Framing,
    next: Option<ClientCodec>,
    stream: &mut tokio::net::tcp::ReadHalf<'_>,
    input: &mut BytesMut,
) -> Option<ClientCodec> {
    let mut codec = match (framing, next) {
        (Framing::Empty(true), Some(codec)) => return Some(codec),
        (Framing::Framed(codec), _) => codec,
        _ => return None,
    };
    let mut skipped_bytes = 0;
    loop {
        if skipped_bytes > MAX_SKIPPED_BYTES {
            return None;
        }
        match codec.decode(input).ok()? {
            Some(Some(_)) => {}
            Some(None) if codec.keep_alive() => return Some(codec.into_message_codec()),
            Some(None) => return None,
            None => {
                input.reserve(READ_CHUNK_BYTES);
                match stream.read_buf(input).await.ok()? {
                    0 => return None,
                    count => skipped_bytes += count,
                }
            }
        }
    }
}

/// Returns how long the connection may stay idle after a response with these headers.
fn allowed_idle_time(headers: &HeaderMap) -> Duration {
    keep_alive_timeout(headers).map_or(DEFAULT_IDLE_TIME, |stated| {
        stated.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME)
    })
}

/// Returns the timeout of the `Keep-Alive` header, if there is one.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|it| it.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
