//! Connections to targets, and one exchange on one of them.
//!
//! Invariants:
//! - [`SendError::Unsent`] means that no byte of the request left this process.
//! - A body ends with `None` only if its framing says that it is whole.
//! - A connection is kept only after its last answer was read whole, its request
//!   was written whole and nothing followed the answer.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ServiceConfig, StatusCode, Uri};
use bytes::{Bytes, BytesMut};
use derive_more::Display;
use rustc_hash::FxHashMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

use crate::tcp;

/// The time limit for opening a connection; data centres are milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes that are read from a connection at once.
const READ_BYTES: usize = 2 * 1024;

/// How long an idle connection is kept if the target states nothing.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// The longest time that an idle connection is kept.
const MOST_IDLE: Duration = Duration::from_secs(20);

/// The part of a stated idle time that is left unused, so that the target does
/// not close a connection while a request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(1200);

/// The age up to which an idle connection may carry a request that must not run twice.
///
/// A target may drop an idle connection without notice; the request that finds
/// out cannot be sent again.
const SURE_IDLE: Duration = Duration::from_millis(3000);

/// The greatest size of an answer's head in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Answers to other requests that are passed over on one connection.
const MAX_STRAYS: usize = 2;

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct Outbound {
    /// The method.
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) uri: Uri,
    /// The headers, `Host` included.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: Bytes,
    /// Whether the request may run again.
    pub(crate) idempotent: bool,
}

/// Why there is no answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub(crate) enum SendError {
    /// No byte of the request left this process.
    #[display("unsent")]
    Unsent,
    /// The connection broke, or carried no answer, after bytes had left.
    #[display("broken")]
    Broken,
}

/// A body ended before it was whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Cut;

/// An answer, with its body to follow.
pub(crate) struct Answer {
    /// The status.
    pub(crate) status: StatusCode,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: Body,
}

struct Idle {
    stream: TcpStream,
    since: Instant,
    until: Instant,
}

type Idles = Rc<RefCell<FxHashMap<SocketAddr, Vec<Idle>>>>;

/// The connections of one router to all targets.
#[derive(Clone)]
pub(crate) struct Links {
    idles: Idles,
    config: ServiceConfig,
    opened: Rc<std::cell::Cell<u64>>,
}

impl Links {
    pub(crate) fn new(config: ServiceConfig) -> Self {
        Self {
            idles: Idles::default(),
            config,
            opened: Rc::default(),
        }
    }

    /// The number of connections that were opened.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Closes idle connections whose time is over.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut idles = self.idles.borrow_mut();
        for list in idles.values_mut() {
            list.retain(|idle| idle.until > now);
        }
        idles.retain(|_, list| !list.is_empty());
    }

    /// Sends a request and waits for the head of its answer, without a time limit.
    ///
    /// Dropping the future or the body closes the connection. `sending` is
    /// called right before the first byte leaves; if it returns `false`, nothing
    /// is sent.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        request: Outbound,
        id: &str,
        sending: impl FnOnce() -> bool,
    ) -> Result<Answer, SendError> {
        let stream = match self.reuse(to, request.idempotent) {
            Some(stream) => stream,
            None => self.connect(to).await?,
        };
        if !sending() {
            return Err(SendError::Unsent);
        }
        let mut link = Link {
            stream,
            input: BytesMut::new(),
        };
        let answer = self.exchange(to, &mut link, request, id).await;
        match answer {
            Some((status, headers, framing, whole)) => {
                let keep = idle_time(&headers);
                let body = Body::new(self.idles.clone(), to, link, framing, whole, keep);
                Ok(Answer {
                    status,
                    headers,
                    body,
                })
            }
            None => Err(SendError::Broken),
        }
    }

    fn reuse(&self, to: SocketAddr, idempotent: bool) -> Option<TcpStream> {
        let now = Instant::now();
        let mut idles = self.idles.borrow_mut();
        let list = idles.get_mut(&to)?;
        while let Some(idle) = list.pop() {
            if idle.until <= now || !is_quiet(&idle.stream) {
                continue;
            }
            if !idempotent && now.duration_since(idle.since) > SURE_IDLE {
                list.push(idle);
                return None;
            }
            return Some(idle.stream);
        }
        None
    }

    async fn connect(&self, to: SocketAddr) -> Result<TcpStream, SendError> {
        self.opened.set(self.opened.get() + 1);
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
        let Ok(Ok(stream)) = connected else {
            return Err(SendError::Unsent);
        };
        tcp::configure(&stream).map_err(|_| SendError::Unsent)?;
        Ok(stream)
    }

    /// Writes the request while it reads the answer, which may come before.
    async fn exchange(
        &self,
        to: SocketAddr,
        link: &mut Link,
        request: Outbound,
        id: &str,
    ) -> Option<(StatusCode, HeaderMap, Framing, bool)> {
        let mut codec = ClientCodec::new(self.config.clone());
        let mut output = encode(&mut codec, request).ok()?;
        let mut strays = 0;
        let (mut read_half, mut write_half) = link.stream.split();
        loop {
            let decoded = codec.decode(&mut link.input).ok()?;
            if let Some(head) = decoded {
                let status = head.status;
                if status.is_informational() {
                    continue;
                }
                let headers = head.headers().clone();
                let (framing, next) = framing(codec, status, &headers);
                let stated = platform::response::parse_head(status.as_u16(), &headers).request;
                let is_stray = stated.is_some_and(|stated| stated != id);
                if !is_stray {
                    return Some((status, headers, framing, output.is_empty()));
                }
                strays += 1;
                let fields: [node::event::Field<'_>; 2] = [("request", &id), ("address", &to)];
                node::event::log(node::event::Event::AnswerMismatched, &fields);
                if strays > MAX_STRAYS {
                    return None;
                }
                codec = pass_over(framing, next, &mut read_half, &mut link.input).await?;
                continue;
            }
            if link.input.len() > MAX_HEAD_BYTES {
                return None;
            }
            link.input.reserve(READ_BYTES);
            tokio::select! {
                read = read_half.read_buf(&mut link.input) => if read.ok()? == 0 {
                    return None;
                },
                written = write_half.write(&output), if !output.is_empty() => {
                    let count = written.ok()?;
                    let _ = output.split_to(count);
                }
            }
        }
    }
}

fn encode(codec: &mut ClientCodec, request: Outbound) -> std::io::Result<BytesMut> {
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

struct Link {
    stream: TcpStream,
    input: BytesMut,
}

/// How the end of a body is told.
enum Framing {
    /// There is no body; the flag tells whether the connection may be kept.
    Empty(bool),
    /// By a length or chunks.
    Framed(ClientPayloadCodec),
    /// By the end of the connection.
    Close,
}

/// The framing of an answer, and the codec for the next one if there is no body.
fn framing(
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

/// Reads an answer to another request to its end, and goes on with the next.
async fn pass_over(
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
    loop {
        match codec.decode(input).ok()? {
            Some(Some(_)) => {}
            Some(None) if codec.keep_alive() => return Some(codec.into_message_codec()),
            Some(None) => return None,
            None => {
                input.reserve(READ_BYTES);
                if stream.read_buf(input).await.ok()? == 0 {
                    return None;
                }
            }
        }
    }
}

/// The body of an answer.
pub(crate) struct Body {
    idles: Idles,
    to: SocketAddr,
    /// `None` after the end.
    link: Option<Link>,
    framing: Framing,
    keep: Duration,
    /// Whether the request was written whole.
    whole: bool,
}

impl Body {
    fn new(
        idles: Idles,
        to: SocketAddr,
        link: Link,
        framing: Framing,
        whole: bool,
        keep: Duration,
    ) -> Self {
        let mut body = Self {
            idles,
            to,
            link: Some(link),
            framing,
            keep,
            whole,
        };
        if let Framing::Empty(keep) = body.framing {
            body.release(keep);
        }
        body
    }

    /// The next piece of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is cut.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        let Some(link) = &mut self.link else {
            return Ok(None);
        };
        loop {
            match &mut self.framing {
                Framing::Empty(_) => return Ok(None),
                Framing::Framed(codec) => match codec.decode(&mut link.input) {
                    Ok(Some(Some(chunk))) => return Ok(Some(chunk)),
                    Ok(Some(None)) => {
                        let keep = codec.keep_alive();
                        self.release(keep);
                        return Ok(None);
                    }
                    Ok(None) => {}
                    Err(_) => return self.cut(),
                },
                Framing::Close if !link.input.is_empty() => {
                    return Ok(Some(link.input.split().freeze()));
                }
                Framing::Close => {}
            }
            if link.input.is_empty() && link.input.capacity() == 0 {
                link.input = BytesMut::with_capacity(READ_BYTES);
            }
            link.input.reserve(READ_BYTES);
            match link.stream.read_buf(&mut link.input).await {
                Ok(0) if matches!(self.framing, Framing::Close) => {
                    self.link = None;
                    return Ok(None);
                }
                Ok(0) | Err(_) => return self.cut(),
                Ok(_) => {}
            }
        }
    }

    /// Whether the body was read to its end.
    pub(crate) fn is_whole(&self) -> bool {
        self.link.is_none()
    }

    fn cut(&mut self) -> Result<Option<Bytes>, Cut> {
        self.link = None;
        Err(Cut)
    }

    fn release(&mut self, keep: bool) {
        let Some(link) = self.link.take() else {
            return;
        };
        // Bytes after an answer belong to no request.
        if !keep || !self.whole || !link.input.is_empty() || self.keep.is_zero() {
            return;
        }
        let now = Instant::now();
        let idle = Idle {
            stream: link.stream,
            since: now,
            until: now + self.keep,
        };
        self.idles
            .borrow_mut()
            .entry(self.to)
            .or_default()
            .push(idle);
    }
}

/// Whether an idle connection has neither ended nor received unexpected bytes.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let read = stream.try_read(&mut byte);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// How long a connection may be idle after this answer.
fn idle_time(headers: &HeaderMap) -> Duration {
    stated_idle(headers).map_or(IDLE_TIME, |stated| {
        stated.saturating_sub(IDLE_MARGIN).min(MOST_IDLE)
    })
}

/// The time after which the target closes an idle connection, if it says so.
fn stated_idle(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|it| it.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
