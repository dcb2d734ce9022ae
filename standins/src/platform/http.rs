//! Reading and writing HTTP/1.1 without a library's care.

use std::io;
use std::net::SocketAddr;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request as it came.
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

    /// A parameter of the query.
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

/// Reads a request; `None` at the end of the connection.
pub(super) async fn read(
    stream: &mut TcpStream,
    input: &mut BytesMut,
) -> io::Result<Option<RawRequest>> {
    let end = loop {
        if let Some(end) = input.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(input).await? == 0 {
            return Ok(None);
        }
    };
    let head = input.split_to(end + 4);
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next().unwrap_or_default().split(' ');
    let mut word = || first.next().unwrap_or_default().to_owned();
    let (method, target) = (word(), word());
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
    while input.len() < length {
        if stream.read_buf(input).await? == 0 {
            return Ok(None);
        }
    }
    request.body = input.split_to(length).to_vec();
    Ok(Some(request))
}

/// Sends the bytes of a request and returns all that comes until the connection ends.
///
/// # Errors
///
/// Returns an error if the connection cannot be opened or is reset.
pub async fn raw_call(to: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}
