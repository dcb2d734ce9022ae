//! An HTTP/1.1 client that detects truncated response bodies.
//!
//! `awc` reports a connection that ends at a chunk boundary as the regular end
//! of the body, so a client built on it cannot detect this truncation. Each
//! exchange uses a new connection.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;

use actix_rt::net::TcpStream;
use bytes::{Buf as _, Bytes, BytesMut};
use derive_more::{Display, Error, From};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// The maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The maximum length of a chunk-size line, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;

/// Why an exchange did not end with a complete response.
#[derive(Debug, Display, Error, From)]
pub enum ExchangeError {
    /// No connection could be made.
    #[display("cannot connect: {_0}")]
    #[from(skip)]
    Connect(io::Error),
    /// The connection failed.
    #[display("connection lost: {_0}")]
    Lost(io::Error),
    /// The connection ended before the response.
    #[display("connection ended early")]
    #[from(skip)]
    Cut,
    /// The response is not HTTP/1.1.
    #[display("malformed response")]
    Malformed(MalformedError),
}

/// A response that is not HTTP/1.1.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
#[display("malformed response")]
pub struct MalformedError;

/// A request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The headers, without `host`, `connection` and `content-length`.
    pub headers: Vec<(&'a str, &'a str)>,
    /// The body.
    pub body: &'a [u8],
}

/// The head of a response.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// The headers, names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Parses a head that ends with an empty line.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a response head.
    pub fn parse(text: &[u8]) -> Result<Self, MalformedError> {
        let text = std::str::from_utf8(text).map_err(|_| MalformedError)?;
        let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
        let mut first = lines.next().ok_or(MalformedError)?.split(' ');
        let (version, status) = (first.next(), first.next());
        let status = match (version, status) {
            (Some(version), Some(status)) if version.starts_with("HTTP/1.") => status,
            _ => return Err(MalformedError),
        };
        let headers = lines
            .map(|line| line.split_once(':').ok_or(MalformedError))
            .map(|pair| pair.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned())))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            status: status.parse().map_err(|_| MalformedError)?,
            headers,
        })
    }

    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    /// The framing of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the length is not a number.
    pub fn framing(&self) -> Result<Framing, MalformedError> {
        match (
            self.header("transfer-encoding"),
            self.header("content-length"),
        ) {
            _ if matches!(self.status, 204 | 304) => Ok(Framing::Length(0)),
            (Some(coding), _) if coding.eq_ignore_ascii_case("chunked") => {
                Ok(Framing::Chunked(ChunkState::Size))
            }
            (Some(_), _) => Err(MalformedError),
            (None, Some(length)) => length
                .parse()
                .map(Framing::Length)
                .map_err(|_| MalformedError),
            (None, None) => Ok(Framing::Close),
        }
    }
}

/// The part of a chunked body that is expected next.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ChunkState {
    /// The chunk-size line.
    Size,
    /// The given number of data bytes.
    Data(u64),
    /// The line break after the data.
    DataEnd,
    /// The trailer lines after the last chunk.
    Trailer,
    /// Nothing; the body is complete.
    End,
}

/// The framing of a body and the decoding progress.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    /// A body with the given number of bytes remaining.
    Length(u64),
    /// A chunked body.
    Chunked(ChunkState),
    /// A body that ends with the connection.
    Close,
}

/// The result of decoding the buffered bytes.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Decoded {
    /// A part of the body.
    Data(Bytes),
    /// More bytes are needed.
    NeedMore,
    /// The body is complete.
    End,
}

impl Framing {
    /// Removes the next part of the body from `buffer`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes violate the framing.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded, MalformedError> {
        match self {
            Self::Length(0) => Ok(Decoded::End),
            _ if buffer.is_empty() => Ok(match self {
                Self::Chunked(ChunkState::End) => Decoded::End,
                _ => Decoded::NeedMore,
            }),
            Self::Close => Ok(Decoded::Data(buffer.split().freeze())),
            Self::Length(remaining) => Ok(Decoded::Data(split_up_to(buffer, remaining))),
            Self::Chunked(chunk) => chunk.decode(buffer),
        }
    }
}

impl ChunkState {
    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded, MalformedError> {
        loop {
            match self {
                Self::End => return Ok(Decoded::End),
                Self::Data(0) => *self = Self::DataEnd,
                Self::Data(_) if buffer.is_empty() => return Ok(Decoded::NeedMore),
                Self::Data(remaining) => return Ok(Decoded::Data(split_up_to(buffer, remaining))),
                Self::Size | Self::DataEnd | Self::Trailer => {
                    let Some(line) = split_line(buffer)? else {
                        return Ok(Decoded::NeedMore);
                    };
                    *self = self.next_state(&line)?;
                }
            }
        }
    }

    fn next_state(self, line: &[u8]) -> Result<Self, MalformedError> {
        match self {
            Self::Size => match chunk_size(line)? {
                0 => Ok(Self::Trailer),
                size => Ok(Self::Data(size)),
            },
            Self::DataEnd if line.is_empty() => Ok(Self::Size),
            Self::Trailer if line.is_empty() => Ok(Self::End),
            Self::Trailer => Ok(Self::Trailer),
            Self::DataEnd | Self::Data(_) | Self::End => Err(MalformedError),
        }
    }
}

fn split_up_to(buffer: &mut BytesMut, remaining: &mut u64) -> Bytes {
    let most = usize::try_from(*remaining).unwrap_or(usize::MAX);
    let piece = buffer.split_to(buffer.len().min(most)).freeze();
    *remaining -= piece.len() as u64;
    piece
}

fn split_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, MalformedError> {
    match buffer.windows(2).position(|pair| pair == b"\r\n") {
        Some(end) => {
            let line = buffer.split_to(end).freeze();
            buffer.advance(2);
            Ok(Some(line))
        }
        None if buffer.len() > MAX_CHUNK_SIZE_LINE_BYTES => Err(MalformedError),
        None => Ok(None),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, MalformedError> {
    let line = std::str::from_utf8(line).map_err(|_| MalformedError)?;
    let size = line.split(';').next().unwrap_or(line).trim();
    match size.starts_with('+') {
        true => Err(MalformedError),
        false => u64::from_str_radix(size, 16).map_err(|_| MalformedError),
    }
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub struct Response {
    /// The head.
    pub head: Head,
    stream: TcpStream,
    buffer: BytesMut,
    framing: Framing,
}

/// Sends a request and reads the head of its response.
///
/// # Errors
///
/// Returns an error if there is no response.
pub async fn send(address: SocketAddr, request: &Request<'_>) -> Result<Response, ExchangeError> {
    let connected = TcpStream::connect(address).await;
    let mut stream = connected.map_err(ExchangeError::Connect)?;
    stream.set_nodelay(true)?;
    stream.write_all(&encode_request(address, request)).await?;
    let mut buffer = BytesMut::new();
    let end = loop {
        match buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            Some(end) => break end + 4,
            None if buffer.len() > MAX_HEAD_BYTES => return Err(MalformedError.into()),
            None if stream.read_buf(&mut buffer).await? == 0 => return Err(ExchangeError::Cut),
            None => {}
        }
    };
    let head = Head::parse(&buffer.split_to(end))?;
    Ok(Response {
        framing: head.framing()?,
        head,
        stream,
        buffer,
    })
}

impl Response {
    /// Reads the next part of the body; returns `None` when the body is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends before the body does.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match self.framing.decode(&mut self.buffer)? {
                Decoded::Data(piece) => return Ok(Some(piece)),
                Decoded::End => return Ok(None),
                Decoded::NeedMore => {}
            }
            if self.stream.read_buf(&mut self.buffer).await? > 0 {
                continue;
            }
            return match self.framing {
                Framing::Close => Ok(None),
                Framing::Length(_) | Framing::Chunked(_) => Err(ExchangeError::Cut),
            };
        }
    }
}

fn encode_request(address: SocketAddr, request: &Request<'_>) -> Vec<u8> {
    let Request {
        method,
        path,
        headers,
        body,
    } = request;
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n");
    for (name, value) in headers {
        write!(head, "{name}: {value}\r\n").expect("writing to a string succeeds");
    }
    write!(head, "content-length: {}\r\n\r\n", body.len()).expect("writing to a string succeeds");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
