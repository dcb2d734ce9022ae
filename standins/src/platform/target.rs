//! A stand-in for a target whose behaviour is selected by the request path.
//!
//! The last segment of the path is the script, optionally with a number after a dash:
//!
//! | script | what the target does |
//! | --- | --- |
//! | `ok` | answers |
//! | `error` | answers 500 with its identity headers |
//! | `shed` | answers 503 and states that it did not run the request |
//! | `busy` | answers 503 without stating whether it ran the request |
//! | `leave` | answers and says that the target is leaving |
//! | `shed-leave` | like `shed`, and says that the target is leaving |
//! | `pause-N` | like `shed`, and wants no requests for N seconds |
//! | `limit-N` | answers, and names a limit of N requests a second |
//! | `unsigned` | answers 200 without its identity headers |
//! | `encoded` | answers with a `Content-Encoding` |
//! | `reset` | closes the connection after reading the request |
//! | `cut` | closes the connection before the end of its answer |
//! | `cut-json` | like `cut`, with the content type of JSON |
//! | `extra` | answers, and then sends a second answer with the id of another request |
//! | `unframed` | answers without a content length and closes the connection |
//! | `die` | crashes in the middle of its answer, 20 ms after the request |
//! | `mute` | never answers |
//! | `endless-head` | sends a response head without end |
//! | `endless-informational` | sends informational responses without end |
//! | `endless-other` | sends a response to another request whose body has no end |
//! | `endless-extension` | sends a chunk whose extension has no end |
//! | `stream-N` | streams N events |
//! | `halt-N` | closes the connection in the middle of event N; resumes on request |
//! | `half-N` | ends the body in the middle of event N with the final chunk; resumes on request |
//! | `huge-N` | closes the connection in event N, which is larger than a router buffers; resumes on request |
//! | `eof-N` | streams N events without framing and closes the connection |
//! | `torn-N` | like `halt-N`, without framing |
//! | `mixed-N` | like `halt-N`; resumes without framing |
//! | `swap-N` | like `halt-N`; answers the resumption with JSON |
//! | `lost-N` | streams N events without framing and resets the connection; resumes on request |
//! | `stall-N` | streams N events and then sends nothing; resumes on request |
//! | `doze-N` | streams N events, pauses for 1.5 s and streams the rest; sheds the resumption |
//! | `nap-N` | like `doze-N`; never answers the resumption |
//! | `fade-N` | streams N events, pauses for 0.8 s and closes the connection; resumes after 0.5 s |
//! | `slow-N` | streams ten events, one every N milliseconds |
//! | `pace-N` | streams 40 events, one every N milliseconds |

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use serde_json::{Value, json};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream, ToSocketAddrs};
use tokio::sync::watch;
use tokio::time::sleep;

use super::http::{self, RawRequest};

/// The size of the part of an event that is sent by `huge`.
const HUGE_EVENT_BYTES: usize = 2 * 1024 * 1024;

/// The number of repeated parts that `endless` sends at a time, and the pause after them.
const ENDLESS_REPEATS: usize = 1_000;
const ENDLESS_PAUSE: Duration = Duration::from_millis(2);

/// The delay of a reset, which may discard bytes that its receiver has not read.
const RESET_DELAY: Duration = Duration::from_millis(200);

/// The time from reading a request that crashes the target to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// The pause in the middle of `doze` and `nap`.
const DOZE_TIME: Duration = Duration::from_millis(1_500);

/// The pause of `fade` before it closes the connection, and before it resumes.
const FADE_TIMES: (Duration, Duration) = (Duration::from_millis(800), Duration::from_millis(500));

/// The number of events of all streams but `stream`, `eof` and `pace`.
const DEFAULT_EVENT_COUNT: u64 = 10;

/// The number of events of `pace`.
const LONG_EVENT_COUNT: u64 = 40;

/// A request that reached the target.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Arrival {
    /// The target's id.
    pub target: String,
    /// The request.
    pub request: RawRequest,
    /// When the target had read it.
    pub at: Instant,
}

/// A request whose client disconnected before the end of the answer.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ClientDisconnect {
    /// The request's id.
    pub request: String,
    /// When the target detected it.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct RequestLog {
    arrivals: Vec<Arrival>,
    disconnects: Vec<ClientDisconnect>,
    connections: u64,
    /// When calls about kept parts arrived.
    kept_calls: Vec<Instant>,
}

/// A handle to a running target.
#[derive(Clone, Debug)]
pub struct ScriptedTarget {
    id: Arc<str>,
    address: SocketAddr,
    log: Arc<Mutex<RequestLog>>,
    /// The part of a prompt that crashes the target.
    fatal_part: Option<Arc<str>>,
    crashed: watch::Sender<bool>,
    /// The number of times that its process was replaced behind the open port.
    replaced: watch::Sender<u64>,
    /// Whether it reads requests and does nothing else.
    silent: watch::Sender<bool>,
    /// The seconds for which it asks when it turns the next call about kept parts away.
    kept_pause: Arc<Mutex<Option<u32>>>,
}

impl ScriptedTarget {
    /// Starts a target on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(id: &str) -> io::Result<Self> {
        Self::start_fragile(id, None).await
    }

    /// Starts a target that crashes once it begins to answer a request with a part in its
    /// prompt: it closes all connections and accepts no others.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start_fragile(id: &str, fatal_part: Option<&str>) -> io::Result<Self> {
        Self::start_at("127.0.0.1:0", id, fatal_part).await
    }

    /// Starts a new incarnation of a target that crashed, with its id and at its address.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound.
    pub async fn start_again(&self) -> io::Result<Self> {
        Self::start_at(self.address, &self.id, self.fatal_part.as_deref()).await
    }

    async fn start_at(
        address: impl ToSocketAddrs,
        id: &str,
        fatal_part: Option<&str>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let target = Self {
            id: id.into(),
            address: listener.local_addr()?,
            log: Arc::default(),
            fatal_part: fatal_part.map(Arc::from),
            crashed: watch::Sender::new(false),
            replaced: watch::Sender::new(0),
            silent: watch::Sender::new(false),
            kept_pause: Arc::default(),
        };
        let server = target.clone();
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                server.lock().connections += 1;
                let connection = server.clone();
                tokio::spawn(server.until_end(async move {
                    // Some scripts break the connection on purpose.
                    let _ended = connection.serve(stream).await;
                }));
            }
        };
        tokio::spawn(target.until_crash(accept));
        Ok(target)
    }

    /// Whether the target has crashed.
    pub fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    /// Ends all connections, as when another process takes the target's place; connections are
    /// accepted all the while.
    pub fn replace_process(&self) {
        self.replaced.send_modify(|count| *count += 1);
    }

    /// Sets whether the target reads requests and does nothing else.
    pub fn set_silent(&self, is_silent: bool) {
        self.silent.send_replace(is_silent);
    }

    /// Runs a task until the target crashes.
    fn until_crash<F: Future<Output = ()>>(&self, task: F) -> impl Future<Output = ()> + use<F> {
        let mut crashed = self.crashed.subscribe();
        async move {
            tokio::select! {
                () = task => {}
                _ = crashed.wait_for(|crashed| *crashed) => {}
            }
        }
    }

    /// Runs a task until the target crashes or its process is replaced.
    fn until_end<F: Future<Output = ()>>(&self, task: F) -> impl Future<Output = ()> + use<F> {
        let mut replaced = self.replaced.subscribe();
        let task = self.until_crash(task);
        async move {
            // The former process does nothing more.
            tokio::select! {
                biased;
                _ = replaced.changed() => {}
                () = task => {}
            }
        }
    }

    /// Turns the next call about kept parts away, and asks for a pause of some seconds.
    pub fn pause_next_kept_call(&self, seconds: u32) {
        let pause = self.kept_pause.lock();
        *pause.unwrap_or_else(PoisonError::into_inner) = Some(seconds);
    }

    /// The times at which calls about kept parts arrived.
    pub fn kept_calls(&self) -> Vec<Instant> {
        self.lock().kept_calls.clone()
    }

    /// The response that turns a call about kept parts away, if that is due.
    fn refused_kept_call(&self) -> Option<String> {
        let pause = self.kept_pause.lock();
        let seconds = pause.unwrap_or_else(PoisonError::into_inner).take()?;
        Some(format!(
            "HTTP/1.1 503 X\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n\r\n"
        ))
    }

    /// The answer to a call about the prompt parts that the target keeps: those of all requests
    /// that it received, and no events.
    fn kept_parts(&self, request: &RawRequest) -> Option<String> {
        let path = request.path();
        if path.starts_with("/kv-events") {
            let events = json!({ "epoch": 1, "next": 1, "lost": false, "events": [] });
            return Some(events.to_string());
        }
        if path != "/kv-list" {
            return None;
        }
        let log = self.lock();
        let prompts = log.arrivals.iter();
        let prompts = prompts.filter_map(|it| it.request.header("x-knapweedgate-prompt-prefix"));
        let parts = prompts.flat_map(|parts| parts.split(','));
        let parts = parts.filter_map(|part| part.split_once(':'));
        let held: Vec<Value> = parts
            .map(|(id, tokens)| json!(["", id, tokens.parse::<u32>().unwrap_or(1), "m"]))
            .collect();
        Some(json!({ "epoch": 1, "next": 1, "held": held }).to_string())
    }

    fn is_fatal(&self, request: &RawRequest) -> bool {
        let parts = request.header("x-knapweedgate-prompt-prefix");
        let mut ids = parts.unwrap_or_default().split(',');
        let fatal_part = self.fatal_part.as_deref();
        ids.any(|part| part.split_once(':').map(|(id, _)| id) == fatal_part && fatal_part.is_some())
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Its entry in the store, with the software version `v1`.
    pub fn entry(&self, service: &str, state: &str) -> Value {
        self.versioned_entry(service, state, "v1")
    }

    /// Its entry in the store with a software version.
    pub fn versioned_entry(&self, service: &str, state: &str, version: &str) -> Value {
        json!({
            "service": service,
            "address": self.address,
            "zone": "north",
            "version": version,
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "born": 1_700_000_000_000_u64,
            "seq": 1,
        })
    }

    /// The requests that it received.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// The requests whose client disconnected before the end of the answer.
    pub fn disconnects(&self) -> Vec<ClientDisconnect> {
        self.lock().disconnects.clone()
    }

    /// The number of accepted connections.
    pub fn connections(&self) -> u64 {
        self.lock().connections
    }

    fn lock(&self) -> MutexGuard<'_, RequestLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut input = BytesMut::new();
        let mut silent = self.silent.subscribe();
        while let Some(request) = http::read(&mut stream, &mut input).await? {
            // The sender lives as long as the target.
            let _ = silent.wait_for(|silent| !silent).await;
            let expected = request.header("x-knapweedgate-expect-instance");
            if expected.is_some_and(|expected| expected != &*self.id) {
                let head = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(head.as_bytes()).await?;
                continue;
            }
            if let Some(kept) = self.kept_parts(&request) {
                self.lock().kept_calls.push(Instant::now());
                let head = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n", kept.len());
                let answer = self.refused_kept_call().unwrap_or(head + &kept);
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            self.lock().arrivals.push(Arrival {
                target: self.id.to_string(),
                request: request.clone(),
                at: Instant::now(),
            });
            if self.is_fatal(&request) {
                sleep(CRASH_DELAY).await;
                self.crashed.send_replace(true);
                return Ok(());
            }
            if !self.run_script(&mut stream, &request).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Runs the script of a request; returns whether the connection stays open.
    async fn run_script(&self, stream: &mut TcpStream, request: &RawRequest) -> io::Result<bool> {
        let script = request.path().rsplit('/').next().unwrap_or_default();
        let (name, number) = script.split_once('-').unwrap_or((script, "0"));
        let number: u64 = number.parse().unwrap_or(0);
        let id = request
            .header("x-knapweedgate-request-id")
            .unwrap_or_default();
        let identity_headers = format!(
            "X-Knapweedgate-Request-Id: {id}\r\nX-Knapweedgate-Server-Seal: s.{}\r\n",
            self.id
        );
        let body = format!("answer to {id}");
        let length = body.len();
        let whole =
            format!("HTTP/1.1 200 OK\r\n{identity_headers}Content-Length: {length}\r\n\r\n{body}");
        let is_resumption = request.header("last-event-id").is_some();
        let shed = "HTTP/1.1 503 X\r\nX-Knapweedgate-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        let bytes = match name {
            "ok" => whole,
            "limit" => whole.replacen("\r\n", &format!("\r\nServer-Limit: {number}\r\n"), 1),
            "leave" => whole.replacen("\r\n", "\r\nServer-Leaving: 1\r\n", 1),
            "shed" if script == "shed-leave" => "HTTP/1.1 503 X\r\nServer-Leaving: 1\r\n\
                 X-Knapweedgate-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                .to_owned(),
            "swap" if is_resumption => format!(
                "HTTP/1.1 200 OK\r\n{identity_headers}Content-Type: application/json\r\n\
                 Content-Length: 4\r\n\r\n{{}}\n\n"
            ),
            "error" => format!("HTTP/1.1 500 X\r\n{identity_headers}Content-Length: 4\r\n\r\noops"),
            "shed" => shed.to_owned(),
            "doze" if is_resumption => shed.to_owned(),
            "pause" => format!(
                "HTTP/1.1 503 X\r\nRetry-After: {number}\r\n\
                 X-Knapweedgate-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            ),
            "busy" => format!("HTTP/1.1 503 X\r\n{identity_headers}Content-Length: 0\r\n\r\n"),
            "unsigned" => format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
            "encoded" => format!(
                "HTTP/1.1 200 OK\r\n{identity_headers}Content-Encoding: gzip\r\nContent-Length: {length}\r\n\r\n{body}"
            ),
            "cut" if script == "cut-json" => whole[..whole.len() - 3].replacen(
                "\r\n",
                "\r\nContent-Type: application/json\r\n",
                1,
            ),
            "cut" => whole[..whole.len() - 3].to_owned(),
            "extra" => {
                let other = whole.replace(id, "ffffffffffffffff");
                format!("{whole}{other}")
            }
            "die" => {
                stream
                    .write_all(&whole.as_bytes()[..whole.len() - 3])
                    .await?;
                sleep(CRASH_DELAY).await;
                self.crashed.send_replace(true);
                return Ok(false);
            }
            "unframed" => format!("HTTP/1.1 200 OK\r\n{identity_headers}\r\n{body}"),
            "mute" | "nap" if name == "mute" || is_resumption => {
                // Becomes readable when the client closes the connection.
                stream.readable().await?;
                self.record_disconnect(request);
                return Ok(false);
            }
            "stream" | "slow" | "pace" | "halt" | "stall" | "half" | "swap" | "huge" | "eof"
            | "torn" | "mixed" | "lost" | "doze" | "nap" | "fade" => {
                if name == "fade" && is_resumption {
                    sleep(FADE_TIMES.1).await;
                }
                let after = request.header("last-event-id");
                let after: Option<u64> = after.and_then(|id| id.parse().ok());
                let fault = match name {
                    "halt" | "torn" | "mixed" | "swap" => Some(StreamFault::Cut(number)),
                    "huge" => Some(StreamFault::Overflow(number)),
                    "half" => Some(StreamFault::End(number)),
                    "lost" => Some(StreamFault::Reset(number)),
                    "stall" => Some(StreamFault::Stall(number)),
                    "doze" | "nap" => Some(StreamFault::Doze(number)),
                    "fade" => Some(StreamFault::Fade(number)),
                    _ => None,
                };
                let last = match name {
                    "stream" | "eof" => number,
                    "pace" => LONG_EVENT_COUNT,
                    _ => DEFAULT_EVENT_COUNT,
                };
                let options = StreamOptions {
                    after: after.unwrap_or(0),
                    last,
                    fault: fault.filter(|_| after.is_none()),
                    is_chunked: match name {
                        "eof" => false,
                        "torn" | "lost" => after.is_some(),
                        "mixed" => after.is_none(),
                        _ => true,
                    },
                    pause: match name {
                        "slow" | "pace" => Duration::from_millis(number),
                        _ => Duration::ZERO,
                    },
                };
                return self
                    .stream_events(stream, request, &identity_headers, options)
                    .await;
            }
            "endless" => {
                let other = identity_headers.replace(id, "ffffffffffffffff");
                let (start, repeated) = match script {
                    "endless-head" => ("HTTP/1.1 200 OK\r\n".to_owned(), "X-More: 1\r\n"),
                    "endless-informational" => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
                    "endless-other" => (
                        format!("HTTP/1.1 200 OK\r\n{other}Transfer-Encoding: chunked\r\n\r\n"),
                        "4\r\nmore\r\n",
                    ),
                    _ => (
                        format!(
                            "HTTP/1.1 200 OK\r\n{identity_headers}Transfer-Encoding: chunked\r\n\r\n4;x="
                        ),
                        "more",
                    ),
                };
                stream.write_all(start.as_bytes()).await?;
                let repeated = repeated.repeat(ENDLESS_REPEATS);
                // Ends when the client closes the connection.
                loop {
                    stream.write_all(repeated.as_bytes()).await?;
                    sleep(ENDLESS_PAUSE).await;
                }
            }
            _ => return Ok(false),
        };
        stream.write_all(bytes.as_bytes()).await?;
        stream.flush().await?;
        Ok(!matches!(name, "cut" | "unframed"))
    }

    fn record_disconnect(&self, request: &RawRequest) {
        let id = request.header("x-knapweedgate-request-id");
        self.lock().disconnects.push(ClientDisconnect {
            request: id.unwrap_or_default().to_owned(),
            at: Instant::now(),
        });
    }

    /// Streams the events after `options.after`.
    async fn stream_events(
        &self,
        stream: &mut TcpStream,
        request: &RawRequest,
        identity_headers: &str,
        options: StreamOptions,
    ) -> io::Result<bool> {
        let framing = match options.is_chunked {
            true => "Transfer-Encoding: chunked\r\n",
            false => "",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{identity_headers}Content-Type: text/event-stream\r\n{framing}\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for number in options.after + 1..=options.last {
            let event = format!("id: {number}\ndata: token {number}\n\n");
            let half = &event[..event.len() / 2];
            match options.fault {
                Some(StreamFault::Cut(at)) if at == number => {
                    stream.write_all(&options.encode(half)).await?;
                    return Ok(false);
                }
                Some(StreamFault::Overflow(at)) if at == number => {
                    let part = format!("id: {number}\ndata: {}", "x".repeat(HUGE_EVENT_BYTES));
                    stream.write_all(&options.encode(&part)).await?;
                    return Ok(false);
                }
                Some(StreamFault::End(at)) if at == number => {
                    stream.write_all(&options.encode(half)).await?;
                    break;
                }
                _ => {}
            }
            if stream.write_all(&options.encode(&event)).await.is_err() {
                self.record_disconnect(request);
                return Ok(false);
            }
            match options.fault {
                Some(StreamFault::Stall(at)) if at == number => {
                    // Becomes readable when the client closes the connection.
                    stream.readable().await?;
                    self.record_disconnect(request);
                    return Ok(false);
                }
                Some(StreamFault::Reset(at)) if at == number => {
                    sleep(RESET_DELAY).await;
                    SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
                    return Ok(false);
                }
                Some(StreamFault::Doze(at)) if at == number => sleep(DOZE_TIME).await,
                Some(StreamFault::Fade(at)) if at == number => {
                    sleep(FADE_TIMES.0).await;
                    return Ok(false);
                }
                _ => {}
            }
            sleep(options.pause).await;
        }
        if options.is_chunked {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(options.is_chunked)
    }
}

/// A fault that interrupts a stream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamFault {
    /// Closes the connection in the middle of this event.
    Cut(u64),
    /// Closes the connection in this event, after more bytes than a router buffers.
    Overflow(u64),
    /// Ends the body in the middle of this event.
    End(u64),
    /// Resets the connection after this event.
    Reset(u64),
    /// Sends nothing more after this event.
    Stall(u64),
    /// Pauses after this event.
    Doze(u64),
    /// Pauses after this event and closes the connection.
    Fade(u64),
}

/// What a stream sends.
#[derive(Clone, Copy)]
struct StreamOptions {
    /// The last event that the client already has.
    after: u64,
    /// The last event of the stream.
    last: u64,
    /// The fault, if any.
    fault: Option<StreamFault>,
    /// Whether the body is sent in chunks; otherwise it ends with the connection.
    is_chunked: bool,
    /// The delay after each event.
    pause: Duration,
}

impl StreamOptions {
    /// Returns the bytes on the wire for a part of the body.
    fn encode(&self, part: &str) -> Vec<u8> {
        match self.is_chunked {
            true => format!("{:x}\r\n{part}\r\n", part.len()).into_bytes(),
            false => part.as_bytes().to_vec(),
        }
    }
}
