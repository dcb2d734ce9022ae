//! HTTP/1.1 messages on plain sockets, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or response: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The target of a request line.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// A parameter of the query of a request.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(it, _)| *it == name)?;
        Some(percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a message; `None` if the connection ends before its first byte.
pub fn read(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(end) = input.windows(4).position(|it| it == b"\r\n\r\n") {
            break end;
        }
        if !fill(stream, input)? {
            return match input.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
    };
    let head = String::from_utf8_lossy(&input[..end]).into_owned();
    input.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        line: lines.next().unwrap_or("").to_owned(),
        ..Message::default()
    };
    let headers = lines.filter_map(|line| line.split_once(':'));
    message.headers = headers
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        read_chunks(stream, input, &mut message.body)?;
        return Ok(Some(message));
    }
    let length = message.header("content-length").and_then(|it| it.parse().ok());
    take(stream, input, length.unwrap_or(0), &mut message.body)?;
    Ok(Some(message))
}

fn read_chunks(stream: &mut TcpStream, input: &mut Vec<u8>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let end = loop {
            if let Some(end) = input.windows(2).position(|it| it == b"\r\n") {
                break end;
            }
            if !fill(stream, input)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let size = String::from_utf8_lossy(&input[..end]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        input.drain(..end + 2);
        take(stream, input, size, body)?;
        take(stream, input, 2, &mut Vec::new())?;
        if size == 0 {
            return Ok(());
        }
    }
}

fn take(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    length: usize,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    while input.len() < length {
        if !fill(stream, input)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    body.extend(input.drain(..length));
    Ok(())
}

fn fill(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<bool> {
    let mut bytes = [0; 16 * 1024];
    let count = stream.read(&mut bytes)?;
    input.extend_from_slice(&bytes[..count]);
    Ok(count > 0)
}

/// Sends one request on a new connection and reads the response.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let response = read(&mut stream, &mut Vec::new())?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
