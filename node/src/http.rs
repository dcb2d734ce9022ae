//! Small helpers over the HTTP libraries.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName};
use actix_http::{Payload, Request};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use futures::StreamExt;
use tokio::time::timeout;
use wire::INTERNAL_PREFIX;

/// The time an idle connection to an agent or target is kept by its client.
///
/// It is shorter than [`SERVER_KEEP_ALIVE`], so the client closes first and no
/// request is sent into a connection that the server is closing.
pub const CLIENT_KEEP_ALIVE: Duration = Duration::from_secs(15);

/// The time an idle connection is kept by a server.
pub const SERVER_KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Headers that describe one connection and are never forwarded.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Binds a listener with a backlog for bursts of connections.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Why a request body was not read.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum BodyError {
    /// The body is over the limit.
    #[display("body over the limit")]
    TooLarge,
    /// The connection broke or the framing is malformed.
    #[display("broken body")]
    Broken,
    /// The body did not arrive in time.
    #[display("slow body")]
    Slow,
}

/// The time for a client to send a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a request's whole body.
///
/// # Errors
///
/// Returns an error if the body is over `limit` bytes, broken or too slow.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let whole = timeout(BODY_TIMEOUT, read_chunks(request, limit)).await;
    whole.unwrap_or(Err(BodyError::Slow))
}

async fn read_chunks(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let mut payload: Payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Whether a header may pass from a caller to a target or back.
pub fn forwarded(name: &HeaderName) -> bool {
    let name = name.as_str();
    !HOP_HEADERS.contains(&name) && !name.starts_with(INTERNAL_PREFIX)
}

/// The value of a header as text, if it is there and is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
