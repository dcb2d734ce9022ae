//! Case: a worker falls silent and starts again under the id that it had, cold.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::{Net, Record, Router, wait_until_ready};
use crate::store::Store;
use crate::worker::HEARTBEAT;
use crate::{Verdict, http};

const ROUTERS: u8 = 5;
const WORKERS: u8 = 4;

/// `coldStartS`, `coldPerS`, `coldOver` and `coldSlack` of the site file.
const COLD: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 14.0;
const BOUND: f64 = COLD_PER_S * 1.5 + 5.0;

/// How long a worker is down; `for_s` of `srv_crash` is 4.9 at most in the site file. One of four
/// workers is a share of 0.25, also the most there.
const DOWN: Duration = Duration::from_millis(500);

/// The time between two crashes, and their number.
const EVERY: Duration = Duration::from_millis(6_150);
const CRASHES: u8 = 12;

/// The requests a second of all clients, as on the sheet, and the time of one.
const RATE: u64 = 198;
const WORK: Duration = Duration::from_millis(30);

const KEY: &str = "key-of-the-mill";

/// One life of a worker.
struct Life {
    started: Instant,
    born: u64,
    is_cold_start: bool,
    /// Arrivals while cold.
    arrivals: Vec<(Instant, String)>,
}

struct Worker {
    id: String,
    address: SocketAddr,
    life: Mutex<Life>,
    /// Past lives.
    lives: Mutex<Vec<Vec<(Instant, String)>>>,
    number: AtomicU64,
    is_dark: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    ran: AtomicU64,
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}

impl Worker {
    fn start(store: &Store, id: &str, address: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address,
            life: Mutex::new(Life {
                started: Instant::now(),
                born: unix_millis(),
                is_cold_start: false,
                arrivals: Vec::new(),
            }),
            lives: Mutex::default(),
            number: AtomicU64::new(0),
            is_dark: AtomicBool::new(false),
            connections: Mutex::default(),
            ran: AtomicU64::new(0),
        });
        let server = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if let Ok(copy) = stream.try_clone() {
                    server.connections.lock().unwrap().push(copy);
                }
                let server = server.clone();
                thread::spawn(move || {
                    let _ended = server.serve(stream);
                });
            }
        });
        worker.register(store);
        let (beating, store) = (worker.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !beating.is_dark.load(Ordering::SeqCst) {
                    beating.register(&store);
                }
            }
        });
        Ok(worker)
    }

    fn register(&self, store: &Store) {
        let life = self.life.lock().unwrap();
        let cold = match life.is_cold_start {
            true => COLD.saturating_sub(life.started.elapsed()).as_millis(),
            false => 0,
        };
        let seq = life.started.elapsed().as_millis() / HEARTBEAT.as_millis();
        let entry = format!(
            "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"longview-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":{cold},\"seq\":{seq},\"born\":{}}}",
            self.address, life.born
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Falls silent: nothing is read, answered or written any more.
    fn go_dark(&self) {
        self.is_dark.store(true, Ordering::SeqCst);
    }

    /// Starts again: all connections are gone, it is cold, and registers itself at once.
    fn start_again(&self, store: &Store) {
        self.number.fetch_add(1, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let life = Life {
            started: Instant::now(),
            born: unix_millis(),
            is_cold_start: true,
            arrivals: Vec::new(),
        };
        let former = std::mem::replace(&mut *self.life.lock().unwrap(), life);
        self.lives.lock().unwrap().push(former.arrivals);
        self.register(store);
        self.is_dark.store(false, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let number = self.number.load(Ordering::SeqCst);
        stream.set_nodelay(true)?;
        let mut input = Vec::new();
        while let Some(request) = http::read(&mut stream, &mut input)? {
            while self.is_dark.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            if self.number.load(Ordering::SeqCst) != number {
                return Ok(());
            }
            let id = request.header("x-knapweedgate-request-id").unwrap_or("").to_owned();
            if request.header("x-knapweedgate-expect-instance") != Some(&self.id) || id.is_empty() {
                stream.write_all(b"HTTP/1.1 421 X\r\nX-Knapweedgate-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            {
                let mut life = self.life.lock().unwrap();
                if life.is_cold_start && life.started.elapsed() < COLD {
                    life.arrivals.push((Instant::now(), id.clone()));
                }
            }
            thread::sleep(WORK);
            if self.is_dark.load(Ordering::SeqCst) || self.number.load(Ordering::SeqCst) != number {
                while self.is_dark.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(5));
                }
                return Ok(());
            }
            self.ran.fetch_add(1, Ordering::SeqCst);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Knapweedgate-Request-Id: {id}\r\nX-Knapweedgate-Server-Seal: seal.{}.{id}\r\nX-Knapweedgate-Instance-Id: {}\r\nKeep-Alive: timeout=15\r\nContent-Length: 2\r\n\r\nok",
                self.id, self.id
            );
            stream.write_all(answer.as_bytes())?;
        }
        Ok(())
    }
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"lookup\",\"host\":\"mill.example\",\"prefix\":\"/lookup/\",\"kind\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"pool\",\"maxAttempts\":2,\"authExempt\":false,\"sticky\":false,\"resumable\":false}}],\"services\":[{{\"name\":\"pool\",\"healthPath\":\"/health\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":{COLD_PER_S}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":230000}},\"tenants\":[{{\"name\":\"mill\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

pub fn play(files: &Path, record: &Record, trouble: bool) -> io::Result<Verdict> {
    let net = Net::find();
    let store = Store::start(net.at(200, 8781))?;
    store.put("op/config", &config());
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        workers.push(Worker::start(&store, &format!("i-0{number}e1"), net.at(100 + number, 8080))?);
    }
    let mut routers = Vec::new();
    for number in 0..ROUTERS {
        let mut router = Router::new(net, files, number, &[0, 1, 2])?;
        router.start()?;
        routers.push(router);
    }
    if !wait_until_ready(routers.iter(), Duration::from_secs(20)) {
        return Ok(Verdict::NotRun("the routers are not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    let counter = Arc::new(AtomicU64::new(0));
    let fronts: Vec<SocketAddr> = routers.iter().map(Router::front).collect();
    let clients: Vec<_> = (0..RATE / 2)
        .map(|client| {
            let (over, counter, fronts) = (is_over.clone(), counter.clone(), fronts.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(client * 500 / RATE * 2));
                while !over.load(Ordering::SeqCst) {
                    let begun = Instant::now();
                    let number = counter.fetch_add(1, Ordering::SeqCst);
                    let front = fronts[number as usize % fronts.len()];
                    let request = format!(
                        "GET /lookup/2f HTTP/1.1\r\nHost: mill.example\r\nX-Knapweedgate-Request-Id: r{number}\r\nX-Knapweedgate-Deadline-Ms: 1000\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
                    );
                    let _ = http::call(front, request.as_bytes(), Duration::from_secs(1));
                    thread::sleep(Duration::from_millis(500).saturating_sub(begun.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    for crash in 0..CRASHES {
        let worker = &workers[usize::from(crash % WORKERS)];
        if trouble {
            record.line(&format!("{} falls silent", worker.id));
            worker.go_dark();
        }
        thread::sleep(DOWN);
        if trouble {
            worker.start_again(&store);
            record.line(&format!("{} starts again under its id, cold for 3 s", worker.id));
        }
        thread::sleep(EVERY - DOWN);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut worst = Vec::new();
    for worker in &workers {
        let mut lives = worker.lives.lock().unwrap().clone();
        lives.push(worker.life.lock().unwrap().arrivals.clone());
        for cold in lives.iter().filter(|life| !life.is_empty()) {
            let within = |first: usize| cold[first..].iter().take_while(|it| it.0 < cold[first].0 + Duration::from_secs(1)).count();
            let most = (0..cold.len()).map(within).max().unwrap_or(0);
            for (at, id) in cold {
                record.line(&format!("{id} reached {} while it was cold, at {:.3}", worker.id, record.time(*at)));
            }
            worst.push(most);
        }
    }
    let ran: u64 = workers.iter().map(|it| it.ran.load(Ordering::SeqCst)).sum();
    record.tell(&format!("most requests in a second, for each cold start: {worst:?}; the bound is {BOUND}; {} requests sent, {ran} ran", counter.load(Ordering::SeqCst)));
    if ran < 1_000 {
        return Ok(Verdict::NotRun("too few requests ran".to_owned()));
    }
    Ok(match worst.iter().any(|it| *it as f64 > BOUND) {
        true => Verdict::Broken,
        false => Verdict::Kept,
    })
}
