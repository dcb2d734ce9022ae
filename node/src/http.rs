//! Helpers for the HTTP libraries.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName};
use actix_http::{Payload, Request, StatusCode};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use futures::StreamExt;
use tokio::time::timeout;
use wire::INTERNAL_PREFIX;

/// Time for which a client keeps an idle connection to an agent or target open.
///
/// It is shorter than [`SERVER_KEEP_ALIVE`] so that the client closes first and no
/// request is sent on a connection that the server is closing.
pub const CLIENT_KEEP_ALIVE: Duration = Duration::from_secs(15);

/// Time for which a server keeps an idle connection open.
pub const SERVER_KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
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

/// Reason why a request body could not be read.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum BodyError {
    /// The body exceeds the limit.
    #[display("body over the limit")]
    TooLarge,
    /// The connection broke or the framing is malformed.
    #[display("broken body")]
    Broken,
    /// The body did not arrive in time.
    #[display("slow body")]
    Slow,
}

/// Time allowed for a client to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the body of a request to its end.
///
/// # Errors
///
/// Returns an error if the body is longer than `limit` bytes, malformed or too slow.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let body = timeout(BODY_TIMEOUT, read_chunks(request, limit)).await;
    body.unwrap_or(Err(BodyError::Slow))
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

/// Whether a status is one of HTTP (RFC 9110, section 15). The codec accepts numbers beyond
/// those.
pub fn is_valid_status(status: StatusCode) -> bool {
    (100..600).contains(&status.as_u16())
}

/// Whether a header may be forwarded between caller and target.
pub fn is_forwardable(name: &HeaderName) -> bool {
    let name = name.as_str();
    !HOP_BY_HOP_HEADERS.contains(&name) && !name.starts_with(INTERNAL_PREFIX)
}

/// The value of a header as text, if it is present and valid text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
