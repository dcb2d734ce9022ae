//! A sound worker of the users' platform: it registers itself, checks the instance that a
//! request expects, runs requests in its slots and answers with its signature.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

/// The interval at which a worker writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The number of requests that a worker runs at once, and that wait.
const SLOTS: usize = 64;
const QUEUE: usize = 128;

/// The requests a second, as a multiple of those that it tolerates, at which a cold worker
/// crashes: well above them, and above the bound of the rule.
const COLD_CRASH: f64 = 3.0;

/// The number of events of a stream and the time between two.
const EVENTS: u64 = 48;
const EVENT_TIME: Duration = Duration::from_millis(60);

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub tenant: String,
    pub path: String,
    /// Whether the worker began to work on it.
    pub ran: bool,
    /// Whether the worker was cold.
    pub cold: bool,
}

pub struct WorkerState {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub started: Instant,
    pub cold: Duration,
    pub work: Duration,
    /// The requests a second that it tolerates while it is cold; 0 for no limit.
    pub cold_per_s: f64,
    pub arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
    running: AtomicUsize,
    seq: AtomicU64,
}

pub type Worker = Arc<WorkerState>;

/// Starts a worker that registers itself in the store.
pub fn start(
    store: &Store,
    (id, service): (&str, &str),
    address: SocketAddr,
    (cold, work): (Duration, Duration),
    cold_per_s: f64,
) -> std::io::Result<Worker> {
    let listener = TcpListener::bind(address)?;
    let worker = Arc::new(WorkerState {
        id: id.to_owned(),
        service: service.to_owned(),
        address,
        started: Instant::now(),
        cold,
        work,
        cold_per_s,
        arrivals: Mutex::default(),
        connections: Mutex::default(),
        is_down: AtomicBool::new(false),
        running: AtomicUsize::new(0),
        seq: AtomicU64::new(0),
    });
    let server = worker.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if server.is_down.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                server.connections.lock().unwrap().push(copy);
            }
            let server = server.clone();
            thread::spawn(move || {
                let _ended = server.serve(stream);
            });
        }
    });
    let (beating, store) = (worker.clone(), store.clone());
    store.put(&worker.key(), &worker.entry());
    thread::spawn(move || {
        loop {
            thread::sleep(HEARTBEAT);
            if beating.is_down.load(Ordering::SeqCst) {
                return;
            }
            beating.seq.fetch_add(1, Ordering::SeqCst);
            store.put(&beating.key(), &beating.entry());
        }
    });
    Ok(worker)
}

impl WorkerState {
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn is_cold(&self) -> bool {
        self.started.elapsed() < self.cold
    }

    /// Its entry in the store, with all fields.
    pub fn entry(&self) -> String {
        let cold = self.cold.saturating_sub(self.started.elapsed()).as_millis();
        let seq = self.seq.load(Ordering::SeqCst);
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"longview-a\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldRemainingMs\":{cold},\"seq\":{seq}}}",
            self.service, self.address
        )
    }

    pub fn has_crashed(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Whether it is cold and got many more requests in the last second than it tolerates.
    fn is_overrun(&self) -> bool {
        if self.cold_per_s <= 0.0 || !self.is_cold() {
            return false;
        }
        let arrivals = self.arrivals.lock().unwrap();
        let recent = arrivals.iter().rev().take_while(|it| it.at.elapsed() < Duration::from_secs(1));
        recent.count() as f64 > self.cold_per_s * COLD_CRASH
    }

    /// Crashes: all connections and the listener are closed, and nothing is written any more.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accept loop, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = Vec::new();
        while let Some(mut request) = http::read(&mut stream, &mut input)? {
            request.body = Vec::new();
            if self.is_down.load(Ordering::SeqCst) {
                return Ok(());
            }
            let id = request.header("x-knapweedgate-request-id").unwrap_or("");
            let expected = request.header("x-knapweedgate-expect-instance");
            let (status, not_run) = match expected {
                _ if request.target().starts_with("/kv-") => (404, true),
                Some(expected) if expected != self.id => (421, true),
                _ if id.is_empty() => (400, true),
                _ if self.running.load(Ordering::SeqCst) >= SLOTS + QUEUE => (503, true),
                _ => (200, false),
            };
            if !request.target().starts_with("/kv-") {
                self.arrivals.lock().unwrap().push(Arrival {
                    at: Instant::now(),
                    id: id.to_owned(),
                    tenant: request.header("x-knapweedgate-tenant").unwrap_or("-").to_owned(),
                    path: request.target().to_owned(),
                    ran: !not_run,
                    cold: self.is_cold() && status != 421,
                });
            }
            if self.is_overrun() {
                self.crash();
                return Ok(());
            }
            if not_run {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nX-Knapweedgate-Request-Id: {id}\r\nX-Knapweedgate-Not-Executed: 1\r\nX-Knapweedgate-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(head.as_bytes())?;
                continue;
            }
            let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
            let answered = self.run(&mut stream, &request, id, running);
            self.running.fetch_sub(1, Ordering::SeqCst);
            answered?;
        }
        Ok(())
    }

    fn run(
        &self,
        stream: &mut TcpStream,
        request: &http::Message,
        id: &str,
        running: usize,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Knapweedgate-Request-Id: {id}\r\nX-Knapweedgate-Server-Seal: seal.{}.{id}\r\nX-Knapweedgate-Instance-Id: {}\r\nX-Knapweedgate-Server-Load: {running},0,{SLOTS}\r\nKeep-Alive: timeout=15\r\n",
            self.id, self.id
        );
        thread::sleep(self.work);
        if self.is_down.load(Ordering::SeqCst) {
            return Ok(());
        }
        if request.target().starts_with("/draft/") {
            let head = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            stream.write_all(head.as_bytes())?;
            for number in 1..=EVENTS {
                let event = format!("id: {number}\ndata: {id} {number} of {EVENTS}\n\n");
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                thread::sleep(EVENT_TIME);
            }
            return stream.write_all(b"0\r\n\r\n");
        }
        let body = format!("{} ran {id}", self.id);
        let response = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(response.as_bytes())
    }
}
