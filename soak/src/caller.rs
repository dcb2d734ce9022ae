//! Callers with kept connections.

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
use crate::record::{Answer, Call, Outcome, Repeat};

/// The time that a caller states it waits.
pub const DEADLINE: Duration = Duration::from_millis(4_000);

/// The time that a caller does wait.
const PATIENCE: Duration = Duration::from_millis(6_000);

/// How long a caller that leaves waits before.
const STAY: Duration = Duration::from_millis(150);

/// The longest pause between two requests of a caller, in milliseconds.
const PAUSE: u64 = 60;

/// What callers ask for: the route, the script, how often among a hundred
/// requests, and whether they leave before the end.
const ASKS: [Ask; 13] = [
    Ask::new(Repeat::Safe, "ok", 26),
    Ask::new(Repeat::Safe, "error", 1),
    Ask::new(Repeat::Safe, "extra", 2),
    Ask::new(Repeat::Safe, "unframed", 2),
    Ask::new(Repeat::Safe, "cut", 1),
    Ask::new(Repeat::Once, "ok", 26),
    Ask::new(Repeat::Once, "shed", 1),
    Ask::new(Repeat::Once, "reset", 1),
    Ask::new(Repeat::Stream, "stream-10", 14),
    Ask::new(Repeat::Stream, "slow-30", 8),
    Ask::new(Repeat::Resumable, "halt-4", 3),
    Ask::new(Repeat::Resumable, "slow-20", 14),
    Ask {
        leaves: true,
        ..Ask::new(Repeat::Safe, "mute", 1)
    },
];

/// One thing that callers ask for.
#[derive(Clone, Copy)]
struct Ask {
    repeat: Repeat,
    script: &'static str,
    weight: u32,
    leaves: bool,
}

impl Ask {
    const fn new(repeat: Repeat, script: &'static str, weight: u32) -> Self {
        Self {
            repeat,
            script,
            weight,
            leaves: false,
        }
    }

    fn draw(random: &mut ChaCha8Rng) -> Self {
        let total = ASKS.iter().map(|ask| ask.weight).sum();
        let mut left = random.random_range(0..total);
        let drawn = ASKS.iter().find(|ask| {
            let is_it = left < ask.weight;
            left = left.saturating_sub(ask.weight);
            is_it
        });
        *drawn.unwrap_or(&ASKS[0])
    }

    fn route(&self) -> &'static str {
        match self.repeat {
            Repeat::Safe => "safe",
            Repeat::Once => "once",
            Repeat::Stream => "stream",
            Repeat::Resumable => "resume",
        }
    }

    fn head(&self, id: &str, key: &str) -> String {
        let (method, tail) = match self.repeat {
            Repeat::Safe => ("GET", "\r\n"),
            _ => ("POST", "Content-Length: 4\r\n\r\nbody"),
        };
        let (route, script) = (self.route(), self.script);
        let deadline = DEADLINE.as_millis();
        format!(
            "{method} /{route}/{script} HTTP/1.1\r\nHost: desk.example\r\n\
             X-Knapweedgate-Request-Id: {id}\r\nX-Knapweedgate-Deadline-Ms: {deadline}\r\n\
             X-Knapweedgate-Tenant: blue\r\nX-Knapweedgate-Hold: forged\r\n\
             Authorization: Bearer {key}\r\n{tail}"
        )
    }
}

/// A caller.
pub struct Caller {
    fleet: Arc<Fleet>,
    number: usize,
    sent: u64,
    random: ChaCha8Rng,
    /// The kept connection, with the router and its address at the time.
    kept: Option<(usize, SocketAddr, TcpStream)>,
}

impl Caller {
    /// Creates a caller.
    pub fn new(fleet: Arc<Fleet>, number: usize, random: ChaCha8Rng) -> Self {
        Self {
            fleet,
            number,
            sent: 0,
            random,
            kept: None,
        }
    }

    /// Sends requests one after the other until `until`.
    pub async fn run(mut self, until: Instant) -> Vec<Call> {
        let mut calls = Vec::new();
        while Instant::now() < until {
            let ask = Ask::draw(&mut self.random);
            calls.push(self.call(ask).await);
            let pause = Duration::from_millis(self.random.random_range(0..PAUSE));
            tokio::time::sleep(pause).await;
        }
        calls
    }

    /// Sends a number of plain requests.
    pub async fn probe(mut self, count: usize) -> Vec<Call> {
        let mut calls = Vec::new();
        for _ in 0..count {
            calls.push(self.call(ASKS[0]).await);
        }
        calls
    }

    async fn call(&mut self, ask: Ask) -> Call {
        self.sent += 1;
        let id = format!("{:08x}{:08x}", self.number, self.sent);
        let loose = self.random.random_bool(0.3);
        let key = if loose {
            crate::fleet::LOOSE_KEY
        } else {
            crate::fleet::RED_KEY
        };
        let head = ask.head(&id, key);
        let ready = self.fleet.in_rotation();
        let mut router = ready[self.random.random_range(0..ready.len())];
        // A kept connection is used until its process is gone.
        if let Some((kept, ..)) = &self.kept
            && self.random.random_bool(0.8)
        {
            router = *kept;
        }
        let sent = Instant::now();
        let stay = if ask.leaves { STAY } else { PATIENCE };
        let exchange = self.exchange(router, &head);
        let outcome = match timeout(stay, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => {
                self.kept = None;
                if ask.leaves {
                    Outcome::Left
                } else {
                    Outcome::Silence
                }
            }
        };
        Call {
            id,
            repeat: ask.repeat,
            script: ask.script.split('-').next().unwrap_or_default(),
            loose,
            router,
            sent,
            ended: Instant::now(),
            outcome,
        }
    }

    async fn exchange(&mut self, router: usize, head: &str) -> Outcome {
        let Some(address) = self.fleet.callers(router) else {
            return Outcome::Unconnected;
        };
        let kept = self.kept.take();
        let kept = kept.filter(|(at, to, _)| *at == router && *to == address);
        let is_kept = kept.is_some();
        let mut stream = match kept {
            Some((_, _, stream)) => stream,
            None => match TcpStream::connect(address).await {
                Ok(stream) => stream,
                Err(_) => return Outcome::Unconnected,
            },
        };
        match answer(&mut stream, head).await {
            Ok(Some((answer, keep))) => {
                if keep && answer.whole {
                    self.kept = Some((router, address, stream));
                }
                Outcome::Answer(answer)
            }
            // The request may have crossed the close of a kept connection.
            Ok(None) | Err(_) if is_kept => Outcome::Unconnected,
            Ok(None) | Err(_) => Outcome::Closed,
        }
    }
}

/// Sends a request and reads its answer; `None` if the connection ends before
/// one begins. Also returns whether the connection can be kept.
async fn answer(stream: &mut TcpStream, head: &str) -> io::Result<Option<(Answer, bool)>> {
    stream.set_nodelay(true)?;
    stream.write_all(head.as_bytes()).await?;
    let mut input = BytesMut::new();
    let end = loop {
        if let Some(end) = find(&input, b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Ok(None);
        }
    };
    let head = input.split_to(end + 4);
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
    let mut answer = Answer {
        status: status.unwrap_or(0),
        id: header("x-knapweedgate-request-id").unwrap_or_default(),
        signed: header("x-knapweedgate-server-seal").is_some(),
        retry: header("retry-after").is_some(),
        ..Answer::default()
    };
    let length: Option<usize> = header("content-length").and_then(|it| it.parse().ok());
    let chunked = header("transfer-encoding").is_some();
    let keep = header("connection").is_none_or(|it| it != "close");
    let body = match (chunked, length) {
        (true, _) => chunks(stream, &mut input, &mut answer).await,
        (false, Some(length)) => exactly(stream, &mut input, &mut answer, length).await,
        (false, None) => to_end(stream, &mut input, &mut answer).await,
    };
    // A body that breaks off is not whole, which is what the record says.
    let is_kept = body.is_ok() && keep && input.is_empty();
    Ok(Some((answer, is_kept)))
}

async fn exactly(
    stream: &mut TcpStream,
    input: &mut BytesMut,
    answer: &mut Answer,
    length: usize,
) -> io::Result<()> {
    while input.len() < length {
        if stream.read_buf(input).await? == 0 {
            return Ok(());
        }
    }
    answer.body = String::from_utf8_lossy(&input.split_to(length)).into_owned();
    answer.whole = true;
    Ok(())
}

async fn to_end(
    stream: &mut TcpStream,
    input: &mut BytesMut,
    answer: &mut Answer,
) -> io::Result<()> {
    while stream.read_buf(input).await? > 0 {}
    answer.body = String::from_utf8_lossy(&input.split()).into_owned();
    answer.whole = true;
    Ok(())
}

async fn chunks(
    stream: &mut TcpStream,
    input: &mut BytesMut,
    answer: &mut Answer,
) -> io::Result<()> {
    loop {
        if let Some(line) = find(input, b"\r\n") {
            let size = String::from_utf8_lossy(&input[..line]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let all = line + 2 + size + 2;
            if input.len() >= all {
                let chunk = input.split_to(all);
                answer.body += &String::from_utf8_lossy(&chunk[line + 2..all - 2]);
                if size == 0 {
                    answer.whole = true;
                    return Ok(());
                }
                continue;
            }
        }
        if stream.read_buf(input).await? == 0 {
            return Ok(());
        }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|it| it == what)
}
