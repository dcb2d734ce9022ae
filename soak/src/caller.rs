//! Callers that reuse connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::fleet::Fleet;
use crate::record::{Outcome, Request, Response, RouteKind};

/// The deadline that callers state in their requests.
pub const REQUEST_DEADLINE: Duration = Duration::from_millis(4_000);

/// How long callers actually wait; longer than the stated deadline.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(6_000);

/// The delay before a caller cancels a request.
const CANCEL_DELAY: Duration = Duration::from_millis(150);

/// The maximum pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MILLIS: u64 = 60;

/// The mix of requests. The weights add up to 100.
const REQUEST_MIX: [RequestTemplate; 15] = [
    RequestTemplate::new(RouteKind::Safe, "ok", 25),
    RequestTemplate::new(RouteKind::Safe, "error", 1),
    RequestTemplate::new(RouteKind::Safe, "extra", 2),
    RequestTemplate::new(RouteKind::Safe, "unframed", 2),
    RequestTemplate::new(RouteKind::Safe, "cut", 1),
    RequestTemplate::new(RouteKind::AtMostOnce, "ok", 26),
    RequestTemplate::new(RouteKind::AtMostOnce, "shed", 1),
    RequestTemplate::new(RouteKind::AtMostOnce, "reset", 1),
    RequestTemplate::new(RouteKind::Stream, "stream-10", 14),
    RequestTemplate::new(RouteKind::Stream, "slow-30", 8),
    RequestTemplate::new(RouteKind::Resumable, "halt-4", 3),
    RequestTemplate::new(RouteKind::Resumable, "torn-4", 1),
    RequestTemplate::new(RouteKind::Resumable, "slow-20", 12),
    // The target pauses, and the others take no resumption.
    RequestTemplate::new(RouteKind::Resumable, "doze-4", 2),
    RequestTemplate {
        cancels: true,
        ..RequestTemplate::new(RouteKind::Safe, "mute", 1)
    },
];

/// A kind of request: the route, the script of the target, the weight in the mix, and whether
/// the caller cancels it.
#[derive(Clone, Copy)]
struct RequestTemplate {
    route_kind: RouteKind,
    script: &'static str,
    weight: u32,
    cancels: bool,
}

impl RequestTemplate {
    const fn new(route_kind: RouteKind, script: &'static str, weight: u32) -> Self {
        Self {
            route_kind,
            script,
            weight,
            cancels: false,
        }
    }

    fn choose(rng: &mut ChaCha8Rng) -> Self {
        let total = REQUEST_MIX.iter().map(|template| template.weight).sum();
        let mut offset = rng.random_range(0..total);
        let chosen = REQUEST_MIX.iter().find(|template| {
            let is_chosen = offset < template.weight;
            offset = offset.saturating_sub(template.weight);
            is_chosen
        });
        *chosen.unwrap_or(&REQUEST_MIX[0])
    }

    fn route_name(&self) -> &'static str {
        match self.route_kind {
            RouteKind::Safe => "safe",
            RouteKind::AtMostOnce => "once",
            RouteKind::Stream => "stream",
            RouteKind::Resumable => "resume",
        }
    }

    fn head(&self, id: &str, key: &str) -> String {
        let (method, framing) = match self.route_kind {
            RouteKind::Safe => ("GET", "\r\n"),
            _ => ("POST", "Content-Length: 4\r\n\r\nbody"),
        };
        let (route_name, script) = (self.route_name(), self.script);
        let deadline = REQUEST_DEADLINE.as_millis();
        format!(
            "{method} /{route_name}/{script} HTTP/1.1\r\nHost: desk.example\r\n\
             X-Knapweedgate-Request-Id: {id}\r\nX-Knapweedgate-Deadline-Ms: {deadline}\r\n\
             X-Knapweedgate-Tenant: blue\r\nX-Knapweedgate-Hold: forged\r\n\
             Authorization: Bearer {key}\r\n{framing}"
        )
    }
}

/// A caller.
pub struct Caller {
    fleet: Arc<Fleet>,
    number: usize,
    sent: u64,
    rng: ChaCha8Rng,
    /// The idle connection, with its router and the address of the router when it was opened.
    idle_connection: Option<(usize, SocketAddr, TcpStream)>,
}

impl Caller {
    /// Creates a caller without a connection.
    pub fn new(fleet: Arc<Fleet>, number: usize, rng: ChaCha8Rng) -> Self {
        Self {
            fleet,
            number,
            sent: 0,
            rng,
            idle_connection: None,
        }
    }

    /// Sends requests sequentially until `until`.
    pub async fn send_until(mut self, until: Instant) -> Vec<Request> {
        let mut requests = Vec::new();
        while Instant::now() < until {
            let template = RequestTemplate::choose(&mut self.rng);
            requests.push(self.send(template).await);
            let pause = Duration::from_millis(self.rng.random_range(0..MAX_PAUSE_MILLIS));
            tokio::time::sleep(pause).await;
        }
        requests
    }

    /// Sends `count` requests of the first kind in the mix.
    pub async fn send_probes(mut self, count: usize) -> Vec<Request> {
        let mut requests = Vec::new();
        for _ in 0..count {
            requests.push(self.send(REQUEST_MIX[0]).await);
        }
        requests
    }

    async fn send(&mut self, template: RequestTemplate) -> Request {
        self.sent += 1;
        let id = format!("{:08x}{:08x}", self.number, self.sent);
        let uses_revocable_key = self.rng.random_bool(0.3);
        let key = if uses_revocable_key {
            crate::fleet::REVOCABLE_KEY
        } else {
            crate::fleet::RED_KEY
        };
        let head = template.head(&id, key);
        let routers = self.fleet.routers_in_rotation();
        let mut router = routers[self.rng.random_range(0..routers.len())];
        // Most requests reuse the open connection for as long as the router process at its other end
        // runs, even if that router is out of rotation.
        if let Some((connected_router, ..)) = &self.idle_connection
            && self.rng.random_bool(0.8)
        {
            router = *connected_router;
        }
        let sent = Instant::now();
        let limit = if template.cancels {
            CANCEL_DELAY
        } else {
            CLIENT_TIMEOUT
        };
        let exchange = self.exchange(router, &head);
        let outcome = match timeout(limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => {
                self.idle_connection = None;
                if template.cancels {
                    Outcome::Cancelled
                } else {
                    Outcome::TimedOut
                }
            }
        };
        Request {
            id,
            route_kind: template.route_kind,
            script: template.script.split('-').next().unwrap_or_default(),
            uses_revocable_key,
            router,
            sent,
            ended: Instant::now(),
            outcome,
        }
    }

    async fn exchange(&mut self, router: usize, head: &str) -> Outcome {
        let Some(address) = self.fleet.caller_address(router) else {
            return Outcome::ConnectFailed;
        };
        let idle_connection = self.idle_connection.take();
        let idle_connection = idle_connection.filter(|(at, to, _)| *at == router && *to == address);
        let is_reused = idle_connection.is_some();
        let mut stream = match idle_connection {
            Some((_, _, stream)) => stream,
            None => match TcpStream::connect(address).await {
                Ok(stream) => stream,
                Err(_) => return Outcome::ConnectFailed,
            },
        };
        match send_and_read(&mut stream, head).await {
            Ok(Some((response, keep_alive))) => {
                if keep_alive && response.is_complete {
                    self.idle_connection = Some((router, address, stream));
                }
                Outcome::Response(response)
            }
            // The router may have closed the idle connection before it read the request.
            Ok(None) | Err(_) if is_reused => Outcome::ConnectFailed,
            Ok(None) | Err(_) => Outcome::ConnectionClosed,
        }
    }
}

/// Sends a request and reads its response; `None` if the connection closes before the response
/// head is complete. Also returns whether the connection can be reused.
async fn send_and_read(stream: &mut TcpStream, head: &str) -> io::Result<Option<(Response, bool)>> {
    stream.set_nodelay(true)?;
    stream.write_all(head.as_bytes()).await?;
    let mut buffer = BytesMut::new();
    let end = loop {
        if let Some(end) = find_bytes(&buffer, b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = buffer.split_to(end + 4);
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        lines
            .find(|(other, _)| *other == name)
            .map(|(_, value)| value.trim().to_owned())
    };
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let mut response = Response {
        status: status.unwrap_or(0),
        id: header("x-knapweedgate-request-id").unwrap_or_default(),
        is_signed: header("x-knapweedgate-server-seal").is_some(),
        has_retry_after: header("retry-after").is_some(),
        ..Response::default()
    };
    let length: Option<usize> = header("content-length").and_then(|it| it.parse().ok());
    let chunked = header("transfer-encoding").is_some();
    let keep_alive = header("connection").is_none_or(|it| it != "close");
    let body = match (chunked, length) {
        (true, _) => read_chunked_body(stream, &mut buffer, &mut response).await,
        (false, Some(length)) => read_sized_body(stream, &mut buffer, &mut response, length).await,
        (false, None) => read_body_to_close(stream, &mut buffer, &mut response).await,
    };
    // The record shows an interrupted body as incomplete.
    let is_reusable = body.is_ok() && keep_alive && buffer.is_empty();
    Ok(Some((response, is_reusable)))
}

async fn read_sized_body(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    response: &mut Response,
    length: usize,
) -> io::Result<()> {
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(());
        }
    }
    response.body = String::from_utf8_lossy(&buffer.split_to(length)).into_owned();
    response.is_complete = true;
    Ok(())
}

async fn read_body_to_close(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    response: &mut Response,
) -> io::Result<()> {
    while stream.read_buf(buffer).await? > 0 {}
    response.body = String::from_utf8_lossy(&buffer.split()).into_owned();
    response.is_complete = true;
    Ok(())
}

async fn read_chunked_body(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    response: &mut Response,
) -> io::Result<()> {
    loop {
        if let Some(line) = find_bytes(buffer, b"\r\n") {
            let size = String::from_utf8_lossy(&buffer[..line]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let chunk_end = line + 2 + size + 2;
            if buffer.len() >= chunk_end {
                let chunk = buffer.split_to(chunk_end);
                response.body += &String::from_utf8_lossy(&chunk[line + 2..chunk_end - 2]);
                if size == 0 {
                    response.is_complete = true;
                    return Ok(());
                }
                continue;
            }
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(());
        }
    }
}

fn find_bytes(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|it| it == pattern)
}
