//! The HTTP/1.1 client of the data path.
//!
//! It uses the codec of `actix-http` directly because it needs two facts that
//! `awc` does not expose: whether any byte of a request may have left this
//! process, and whether the body of a response is complete.
//!
//! Invariants:
//! - [`SendError::Unsent`] means that no byte of the request left this process.
//! - A body ends with `None` only if its framing confirms that it is complete; a
//!   response without framing, or without a valid status, is treated as broken.
//! - A connection is reused only after its previous response was read to the end.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, StatusCode, Uri};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use futures::{SinkExt, Stream, StreamExt};
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body::TruncatedBody;
use crate::http::{CLIENT_KEEP_ALIVE, is_valid_status};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of idle connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// A request to send.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Reason why no response was received.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum SendError {
    /// No byte of the request left this process.
    #[display("not sent")]
    Unsent,
    /// The connection broke after bytes may have left this process.
    #[display("connection broken")]
    Broken,
}

/// The head of a response, with its body still to be read.
#[derive(Debug)]
pub struct IncomingResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: IncomingBody,
}

type Connection = Framed<TcpStream, ClientCodec>;
type BodyConnection = Framed<TcpStream, ClientPayloadCodec>;

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// Idle connections by address.
type Pool = Rc<RefCell<FxHashMap<SocketAddr, Vec<IdleConnection>>>>;

/// A single-threaded client with its pool of idle connections.
#[derive(Clone, Default)]
pub struct Client {
    pool: Pool,
}

impl Client {
    /// Creates a client with an empty connection pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for the head of the response, without a time limit.
    ///
    /// Dropping the future or the body closes the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no response is received.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: OutgoingRequest,
    ) -> Result<IncomingResponse, SendError> {
        let connection = match self.take_idle(to) {
            Some(connection) => connection,
            None => connect(to).await?,
        };
        self.send_on(to, connection, request)
            .await
            .map_err(|ConnectionBroken| SendError::Broken)
    }

    /// Takes an idle connection that the peer has not closed.
    fn take_idle(&self, to: SocketAddr) -> Option<Connection> {
        let mut pool = self.pool.borrow_mut();
        let idle = pool.get_mut(&to)?;
        idle.retain(|idle| idle.idle_since.elapsed() < CLIENT_KEEP_ALIVE);
        while let Some(IdleConnection { connection, .. }) = idle.pop() {
            if is_reusable(&connection) {
                return Some(connection);
            }
        }
        None
    }

    async fn send_on(
        &self,
        to: SocketAddr,
        mut connection: Connection,
        request: OutgoingRequest,
    ) -> Result<IncomingResponse, ConnectionBroken> {
        write_request(&mut connection, to, request).await?;
        let head = loop {
            let head = connection
                .next()
                .await
                .ok_or(ConnectionBroken)?
                .map_err(|_| ConnectionBroken)?;
            if !head.status.is_informational() {
                break head;
            }
        };
        let (status, headers) = (head.status, head.headers().clone());
        if !is_valid_status(status) || !has_framing(status, &headers) {
            return Err(ConnectionBroken);
        }
        let body = match connection.codec_ref().message_type() {
            MessageType::None => {
                return_idle(&self.pool, to, connection);
                IncomingBody::new(None)
            }
            MessageType::Payload | MessageType::Stream => {
                let connection = connection.into_map_codec(ClientCodec::into_payload_codec);
                IncomingBody::new(Some(UnfinishedBody {
                    connection,
                    pool: self.pool.clone(),
                    to,
                }))
            }
        };
        Ok(IncomingResponse {
            status,
            headers,
            body,
        })
    }
}

/// The connection broke after bytes may have been sent.
struct ConnectionBroken;

async fn connect(to: SocketAddr) -> Result<Connection, SendError> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let Ok(Ok(stream)) = connected else {
        return Err(SendError::Unsent);
    };
    stream.set_nodelay(true).map_err(|_| SendError::Unsent)?;
    Ok(Framed::new(stream, ClientCodec::default()))
}

/// Whether the head of a response determines where its body ends.
fn has_framing(status: StatusCode, headers: &HeaderMap) -> bool {
    let is_bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let has_length = headers.contains_key(CONTENT_LENGTH);
    is_bodiless || has_length || headers.contains_key(TRANSFER_ENCODING)
}

/// Whether an idle connection is still open and has received no unexpected bytes.
fn is_reusable(connection: &Connection) -> bool {
    let mut byte = [0];
    let read = connection.io_ref().try_read(&mut byte);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

async fn write_request(
    connection: &mut Connection,
    to: SocketAddr,
    request: OutgoingRequest,
) -> Result<(), ConnectionBroken> {
    let OutgoingRequest {
        method,
        uri,
        headers,
        body,
    } = request;
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = uri;
    head.headers = headers;
    let host =
        HeaderValue::from_str(&to.to_string()).expect("a socket address is a valid header value");
    head.headers.insert(HOST, host);
    let length = BodySize::Sized(body.len() as u64);
    let item = Message::Item((RequestHeadType::from(head), length));
    connection.feed(item).await.map_err(|_| ConnectionBroken)?;
    if !body.is_empty() {
        connection
            .feed(Message::Chunk(Some(body)))
            .await
            .map_err(|_| ConnectionBroken)?;
    }
    connection
        .feed(Message::Chunk(None))
        .await
        .map_err(|_| ConnectionBroken)?;
    let flushed: Result<(), std::io::Error> =
        SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(connection).await;
    flushed.map_err(|_| ConnectionBroken)
}

fn return_idle(pool: &Pool, to: SocketAddr, connection: Connection) {
    if !connection.codec_ref().keep_alive() {
        return;
    }
    let mut pool = pool.borrow_mut();
    let idle = pool.entry(to).or_default();
    if idle.len() < MAX_IDLE_PER_ADDRESS {
        let idle_since = Instant::now();
        idle.push(IdleConnection {
            connection,
            idle_since,
        });
    }
}

struct UnfinishedBody {
    connection: BodyConnection,
    pool: Pool,
    to: SocketAddr,
}

/// The body of a response.
pub struct IncomingBody {
    prefetched: Option<Bytes>,
    /// `None` once the body was read to the end or found truncated.
    remaining: Option<UnfinishedBody>,
}

impl IncomingBody {
    fn new(remaining: Option<UnfinishedBody>) -> Self {
        Self {
            prefetched: None,
            remaining,
        }
    }

    /// Waits for the first bytes or the end of the body and buffers them.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated before its first byte.
    pub async fn prefetch(&mut self) -> Result<(), TruncatedBody> {
        debug_assert!(
            self.prefetched.is_none(),
            "a body is prefetched at most once"
        );
        self.prefetched = self.next().await.transpose()?;
        Ok(())
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated or longer than `limit` bytes.
    pub async fn read_to_end(mut self, limit: usize) -> Result<Bytes, TruncatedBody> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next().await {
            let chunk = chunk?;
            if body.len() + chunk.len() > limit {
                return Err(TruncatedBody);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

impl std::fmt::Debug for IncomingBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("IncomingBody")
            .field("ended", &self.remaining.is_none())
            .finish()
    }
}

impl Stream for IncomingBody {
    type Item = Result<Bytes, TruncatedBody>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(prefetched) = self.prefetched.take() {
            return Poll::Ready(Some(Ok(prefetched)));
        }
        let Some(body) = &mut self.remaining else {
            return Poll::Ready(None);
        };
        match Pin::new(&mut body.connection).poll_next(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(Some(chunk)))) => Poll::Ready(Some(Ok(chunk))),
            Poll::Ready(Some(Ok(None))) => {
                if let Some(UnfinishedBody {
                    connection,
                    pool,
                    to,
                }) = self.remaining.take()
                {
                    let connection =
                        connection.into_map_codec(ClientPayloadCodec::into_message_codec);
                    return_idle(&pool, to, connection);
                }
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(_)) | None) => {
                self.remaining = None;
                Poll::Ready(Some(Err(TruncatedBody)))
            }
        }
    }
}
