//! The HTTP/1.1 client of the data path.
//!
//! It uses the codec of `actix-http` directly, because two facts matter here
//! that `awc` does not tell: whether a byte of a request may have left this
//! process, and whether a response's body is whole.
//!
//! Invariants:
//! - [`SendError::Unsent`] means that no byte of the request left this process.
//! - A body ends with `None` only after its framing said that it is whole; a
//!   response without framing counts as broken.
//! - A connection is reused only after its last response was read whole.

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
use crate::http::CLIENT_KEEP_ALIVE;

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The greatest number of idle connections to one address.
const MAX_IDLE: usize = 64;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Outbound {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers, without those that describe the connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why there is no response.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum SendError {
    /// No byte of the request left this process.
    #[display("not sent")]
    Unsent,
    /// The connection broke after bytes may have left this process.
    #[display("connection broken")]
    Broken,
}

/// The head of a response, with the body to follow.
#[derive(Debug)]
pub struct Incoming {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: IncomingBody,
}

type Connection = Framed<TcpStream, ClientCodec>;
type Reading = Framed<TcpStream, ClientPayloadCodec>;

struct Idle {
    connection: Connection,
    since: Instant,
}

/// Idle connections by address.
type Pool = Rc<RefCell<FxHashMap<SocketAddr, Vec<Idle>>>>;

/// A client of one thread, with its idle connections.
#[derive(Clone, Default)]
pub struct Client {
    pool: Pool,
}

impl Client {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for the head of the response, without a time limit.
    ///
    /// Dropping the future or the body closes the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response.
    pub async fn send(&self, to: SocketAddr, request: Outbound) -> Result<Incoming, SendError> {
        let connection = match self.reuse(to) {
            Some(connection) => connection,
            None => connect(to).await?,
        };
        self.exchange(to, connection, request)
            .await
            .map_err(|Broken| SendError::Broken)
    }

    /// An idle connection that the other side has not closed.
    fn reuse(&self, to: SocketAddr) -> Option<Connection> {
        let mut pool = self.pool.borrow_mut();
        let idle = pool.get_mut(&to)?;
        idle.retain(|idle| idle.since.elapsed() < CLIENT_KEEP_ALIVE);
        while let Some(Idle { connection, .. }) = idle.pop() {
            if is_open(&connection) {
                return Some(connection);
            }
        }
        None
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        mut connection: Connection,
        request: Outbound,
    ) -> Result<Incoming, Broken> {
        write(&mut connection, to, request).await?;
        let head = loop {
            let head = connection.next().await.ok_or(Broken)?.map_err(|_| Broken)?;
            if !head.status.is_informational() {
                break head;
            }
        };
        let (status, headers) = (head.status, head.headers().clone());
        if !is_framed(status, &headers) {
            return Err(Broken);
        }
        let body = match connection.codec_ref().message_type() {
            MessageType::None => {
                release(&self.pool, to, connection);
                IncomingBody::new(None)
            }
            MessageType::Payload | MessageType::Stream => {
                let connection = connection.into_map_codec(ClientCodec::into_payload_codec);
                IncomingBody::new(Some(Body {
                    connection,
                    pool: self.pool.clone(),
                    to,
                }))
            }
        };
        Ok(Incoming {
            status,
            headers,
            body,
        })
    }
}

/// The connection broke after bytes may have left.
struct Broken;

async fn connect(to: SocketAddr) -> Result<Connection, SendError> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let Ok(Ok(stream)) = connected else {
        return Err(SendError::Unsent);
    };
    stream.set_nodelay(true).map_err(|_| SendError::Unsent)?;
    Ok(Framed::new(stream, ClientCodec::default()))
}

/// Whether the head of a response tells where its body ends.
fn is_framed(status: StatusCode, headers: &HeaderMap) -> bool {
    let is_bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let states_length = headers.contains_key(CONTENT_LENGTH);
    is_bodiless || states_length || headers.contains_key(TRANSFER_ENCODING)
}

/// Whether an idle connection has neither ended nor received unexpected bytes.
fn is_open(connection: &Connection) -> bool {
    let mut byte = [0];
    let read = connection.io_ref().try_read(&mut byte);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

async fn write(
    connection: &mut Connection,
    to: SocketAddr,
    request: Outbound,
) -> Result<(), Broken> {
    let Outbound {
        method,
        uri,
        headers,
        body,
    } = request;
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = uri;
    head.headers = headers;
    let host = HeaderValue::from_str(&to.to_string()).expect("an address is plain text");
    head.headers.insert(HOST, host);
    let length = BodySize::Sized(body.len() as u64);
    let item = Message::Item((RequestHeadType::from(head), length));
    connection.feed(item).await.map_err(|_| Broken)?;
    if !body.is_empty() {
        connection
            .feed(Message::Chunk(Some(body)))
            .await
            .map_err(|_| Broken)?;
    }
    connection
        .feed(Message::Chunk(None))
        .await
        .map_err(|_| Broken)?;
    let flushed: Result<(), std::io::Error> =
        SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(connection).await;
    flushed.map_err(|_| Broken)
}

fn release(pool: &Pool, to: SocketAddr, connection: Connection) {
    if !connection.codec_ref().keep_alive() {
        return;
    }
    let mut pool = pool.borrow_mut();
    let idle = pool.entry(to).or_default();
    if idle.len() < MAX_IDLE {
        let since = Instant::now();
        idle.push(Idle { connection, since });
    }
}

struct Body {
    connection: Reading,
    pool: Pool,
    to: SocketAddr,
}

/// The body of a response.
pub struct IncomingBody {
    first: Option<Bytes>,
    /// `None` after the body was read whole or cut.
    rest: Option<Body>,
}

impl IncomingBody {
    fn new(rest: Option<Body>) -> Self {
        Self { first: None, rest }
    }

    /// Waits until the first bytes are there or the body has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is cut before its first byte.
    pub async fn prime(&mut self) -> Result<(), TruncatedBody> {
        debug_assert!(self.first.is_none(), "a body is primed once");
        self.first = self.next().await.transpose()?;
        Ok(())
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is cut or over `limit` bytes.
    pub async fn whole(mut self, limit: usize) -> Result<Bytes, TruncatedBody> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.next().await {
            let chunk = chunk?;
            if whole.len() + chunk.len() > limit {
                return Err(TruncatedBody);
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }
}

impl std::fmt::Debug for IncomingBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("IncomingBody")
            .field("ended", &self.rest.is_none())
            .finish()
    }
}

impl Stream for IncomingBody {
    type Item = Result<Bytes, TruncatedBody>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        let Some(body) = &mut self.rest else {
            return Poll::Ready(None);
        };
        match Pin::new(&mut body.connection).poll_next(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(Some(chunk)))) => Poll::Ready(Some(Ok(chunk))),
            Poll::Ready(Some(Ok(None))) => {
                if let Some(Body {
                    connection,
                    pool,
                    to,
                }) = self.rest.take()
                {
                    let connection =
                        connection.into_map_codec(ClientPayloadCodec::into_message_codec);
                    release(&pool, to, connection);
                }
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(_)) | None) => {
                self.rest = None;
                Poll::Ready(Some(Err(TruncatedBody)))
            }
        }
    }
}
