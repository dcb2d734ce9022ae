//! A stand-in for a target that does what the path of a request says.
//!
//! The last segment of the path is the script, with a number behind a dash:
//!
//! | script | what the target does |
//! | --- | --- |
//! | `ok` | answers |
//! | `error` | answers 500 with its signature |
//! | `shed` | answers 503 and states that it did not run the request |
//! | `busy` | answers 503 without a word on whether it ran |
//! | `unsigned` | answers 200 without its signature |
//! | `encoded` | answers with an encoded body |
//! | `reset` | closes the connection after it has read the request |
//! | `cut` | breaks off in the middle of its answer |
//! | `extra` | answers, and then again with the id of another request |
//! | `unframed` | answers without a length and closes |
//! | `mute` | never answers |
//! | `stream-N` | streams N events |
//! | `halt-N` | streams to the middle of event N, and goes on from there if asked to |
//! | `stall-N` | streams N events and then nothing, and goes on from there if asked to |
//! | `slow-N` | streams an event every N milliseconds, ten in all |

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::http::{self, RawRequest};

/// Events of a `halt` or `slow` stream.
const EVENTS: u64 = 10;

/// A request that reached the target.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Arrival {
    /// The target's id.
    pub target: String,
    /// The request.
    pub request: RawRequest,
    /// When it was read.
    pub at: Instant,
}

/// A request whose connection was closed before its answer had ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Departure {
    /// The request's id.
    pub request: String,
    /// When the target noticed.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Record {
    arrivals: Vec<Arrival>,
    left: Vec<Departure>,
    connections: u64,
}

/// The target.
#[derive(Clone, Debug)]
pub struct ScriptedTarget {
    id: Arc<str>,
    address: SocketAddr,
    record: Arc<Mutex<Record>>,
}

impl ScriptedTarget {
    /// Starts a target on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(id: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = Self {
            id: id.into(),
            address: listener.local_addr()?,
            record: Arc::default(),
        };
        let server = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                server.lock().connections += 1;
                let server = server.clone();
                tokio::spawn(async move {
                    // A broken connection is what some scripts are for.
                    let _ended = server.serve(stream).await;
                });
            }
        });
        Ok(target)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str, state: &str) -> Value {
        json!({
            "service": service,
            "address": self.address,
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "born": 1_700_000_000_000_u64,
            "seq": 1,
        })
    }

    /// The requests that reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Requests whose connection was closed before their answer had ended.
    pub fn left(&self) -> Vec<Departure> {
        self.lock().left.clone()
    }

    /// Connections that were opened.
    pub fn connections(&self) -> u64 {
        self.lock().connections
    }

    fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut input = BytesMut::new();
        while let Some(request) = http::read(&mut stream, &mut input).await? {
            let expected = request.header("x-knapweedgate-expect-instance");
            if expected.is_some_and(|expected| expected != &*self.id) {
                let head = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(head.as_bytes()).await?;
                continue;
            }
            self.lock().arrivals.push(Arrival {
                target: self.id.to_string(),
                request: request.clone(),
                at: Instant::now(),
            });
            if !self.play(&mut stream, &request).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Plays the script of a request; returns whether the connection goes on.
    async fn play(&self, stream: &mut TcpStream, request: &RawRequest) -> io::Result<bool> {
        let script = request.path().rsplit('/').next().unwrap_or_default();
        let (name, number) = script.split_once('-').unwrap_or((script, "0"));
        let number: u64 = number.parse().unwrap_or(0);
        let id = request
            .header("x-knapweedgate-request-id")
            .unwrap_or_default();
        let marks = format!(
            "X-Knapweedgate-Request-Id: {id}\r\nX-Knapweedgate-Server-Seal: s.{}\r\n",
            self.id
        );
        let body = format!("answer to {id}");
        let length = body.len();
        let whole = format!("HTTP/1.1 200 OK\r\n{marks}Content-Length: {length}\r\n\r\n{body}");
        let bytes = match name {
            "ok" => whole,
            "error" => format!("HTTP/1.1 500 X\r\n{marks}Content-Length: 4\r\n\r\noops"),
            "shed" => {
                "HTTP/1.1 503 X\r\nX-Knapweedgate-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    .to_owned()
            }
            "busy" => format!("HTTP/1.1 503 X\r\n{marks}Content-Length: 0\r\n\r\n"),
            "unsigned" => format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
            "encoded" => format!(
                "HTTP/1.1 200 OK\r\n{marks}Content-Encoding: gzip\r\nContent-Length: {length}\r\n\r\n{body}"
            ),
            "cut" => whole[..whole.len() - 3].to_owned(),
            "extra" => {
                let other = whole.replace(id, "ffffffffffffffff");
                format!("{whole}{other}")
            }
            "unframed" => format!("HTTP/1.1 200 OK\r\n{marks}\r\n{body}"),
            "stream" | "slow" | "halt" | "stall" => {
                let after = request.header("last-event-id");
                let after: Option<u64> = after.and_then(|id| id.parse().ok());
                let play = match name {
                    "stream" => Events {
                        after: after.unwrap_or(0),
                        ..Events::up_to(number)
                    },
                    "slow" => Events {
                        after: after.unwrap_or(0),
                        pause: Duration::from_millis(number),
                        ..Events::up_to(EVENTS)
                    },
                    "halt" => Events {
                        after: after.unwrap_or(0),
                        stop: after.is_none().then_some(Stop::Cut(number)),
                        ..Events::up_to(EVENTS)
                    },
                    _ => Events {
                        after: after.unwrap_or(0),
                        stop: after.is_none().then_some(Stop::Stall(number)),
                        ..Events::up_to(EVENTS)
                    },
                };
                return self.events(stream, request, &marks, play).await;
            }
            "mute" => {
                // Returns when the caller of the target closes the connection.
                stream.readable().await?;
                self.note_left(request);
                return Ok(false);
            }
            _ => return Ok(false),
        };
        stream.write_all(bytes.as_bytes()).await?;
        stream.flush().await?;
        Ok(!matches!(name, "cut" | "unframed"))
    }

    fn note_left(&self, request: &RawRequest) {
        let id = request.header("x-knapweedgate-request-id");
        self.lock().left.push(Departure {
            request: id.unwrap_or_default().to_owned(),
            at: Instant::now(),
        });
    }

    /// Streams the events after `play.after`.
    async fn events(
        &self,
        stream: &mut TcpStream,
        request: &RawRequest,
        marks: &str,
        play: Events,
    ) -> io::Result<bool> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{marks}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for number in play.after + 1..=play.last {
            let event = format!("id: {number}\ndata: token {number}\n\n");
            if play.stop == Some(Stop::Cut(number)) {
                let half = &event[..event.len() / 2];
                let chunk = format!("{:x}\r\n{half}\r\n", half.len());
                stream.write_all(chunk.as_bytes()).await?;
                return Ok(false);
            }
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                self.note_left(request);
                return Ok(false);
            }
            if play.stop == Some(Stop::Stall(number)) {
                // Returns when the caller of the target closes the connection.
                stream.readable().await?;
                self.note_left(request);
                return Ok(false);
            }
            sleep(play.pause).await;
        }
        stream.write_all(b"0\r\n\r\n").await?;
        Ok(true)
    }
}

/// How a stream stops before its end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// In the middle of this event, by closing the connection.
    Cut(u64),
    /// After this event, without a word.
    Stall(u64),
}

/// The events of a stream.
#[derive(Clone, Copy)]
struct Events {
    /// The last event that the caller has.
    after: u64,
    /// The last event of the stream.
    last: u64,
    /// Where the stream stops before its end.
    stop: Option<Stop>,
    /// The time between events.
    pause: Duration,
}

impl Events {
    /// Events up to `last`, without a pause.
    fn up_to(last: u64) -> Self {
        Self {
            after: 0,
            last,
            stop: None,
            pause: Duration::ZERO,
        }
    }
}
