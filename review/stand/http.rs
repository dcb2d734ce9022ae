// HTTP/1.1, as far as the cases need it.

/// The first line, headers and body of a message.
#[derive(Clone, Debug, Default)]
struct Head {
    first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(it, _)| it.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// A connection with its unread input.
struct Conn {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Conn {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: Vec::new(),
        }
    }

    fn open(to: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes; `false` at the end.
    fn fill(&mut self) -> std::io::Result<bool> {
        let mut buffer = [0; 8192];
        let count = self.stream.read(&mut buffer)?;
        self.input.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the connection ended before its first byte.
    fn head(&mut self) -> std::io::Result<Option<Head>> {
        loop {
            if let Some(at) = self.input.windows(4).position(|it| it == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.input[..at]).into_owned();
                self.input.drain(..at + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
                return Ok(Some(Head {
                    first,
                    headers: headers.collect(),
                }));
            }
            if !self.fill()? {
                return match self.input.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn exactly(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.input.len() < count {
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.input.drain(..count).collect())
    }

    fn line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(at) = self.input.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.input.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next part of a chunked body; `None` at its marked end.
    fn chunk(&mut self) -> std::io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
        let data = self.exactly(size)?;
        self.line()?;
        Ok((size > 0).then_some(data))
    }

    /// Reads a whole body that is marked by a length or by chunks.
    fn body(&mut self, head: &Head) -> std::io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            while let Some(part) = self.chunk()? {
                body.extend(part);
            }
            return Ok(body);
        }
        let length = head.get("content-length").and_then(|it| it.parse().ok());
        self.exactly(length.unwrap_or(0))
    }

    fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let joined = part
            .iter()
            .fold(0_u32, |sum, &byte| sum << 8 | u32::from(byte));
        let joined = joined << (8 * (3 - part.len()));
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(DIGITS[(joined >> (18 - 6 * index) & 63) as usize].into()),
                false => text.push('='),
            }
        }
    }
    text
}
