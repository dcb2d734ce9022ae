//! Minimal HTTP/1.1 without the checks of an HTTP library.

use std::io;
use std::net::SocketAddr;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request as received.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RawRequest {
    /// The method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    /// The value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Reads a request; returns `None` if the connection ends first.
pub(super) async fn read(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> io::Result<Option<RawRequest>> {
    let head_end = loop {
        if let Some(head_end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break head_end;
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = buffer.split_to(head_end + 4);
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let mut request_line = lines.next().unwrap_or_default().split(' ');
    let mut next_word = || request_line.next().unwrap_or_default().to_owned();
    let (method, target) = (next_word(), next_word());
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    let mut request = RawRequest {
        method,
        target,
        headers: headers.collect(),
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|length| length.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    request.body = buffer.split_to(length).to_vec();
    Ok(Some(request))
}

/// Everything received on a connection until its end.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RawResponse {
    /// The bytes received.
    pub text: String,
    /// Whether the connection was reset instead of closed.
    pub is_reset: bool,
}

/// Sends the bytes of a request and returns everything received until the connection is
/// closed or reset.
///
/// # Errors
///
/// Returns an error if the connection cannot be opened or the request cannot be sent.
pub async fn raw_exchange(address: SocketAddr, request: &str) -> io::Result<RawResponse> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    let end = stream.read_to_end(&mut response).await;
    Ok(RawResponse {
        text: String::from_utf8_lossy(&response).into_owned(),
        is_reset: end.is_err(),
    })
}

/// Sends the bytes of a request and returns everything received until the connection ends.
///
/// # Errors
///
/// Returns an error if the connection cannot be opened or is reset.
pub async fn raw_call(address: SocketAddr, request: &str) -> io::Result<String> {
    let response = raw_exchange(address, request).await?;
    match response.is_reset {
        true => Err(io::ErrorKind::ConnectionReset.into()),
        false => Ok(response.text),
    }
}
