//! Case: callers send bodies as large as the configuration allows.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Net, Record, Router, wait_until_ready};
use crate::store::Store;
use crate::{Verdict, http, worker};

const ROUTERS: u8 = 3;
const WORKERS: u8 = 3;

/// `limits.memoryMb` of a front machine.
const MEMORY_MB: u64 = 260;

/// The bodies: below `maxBodyBytes` of the configuration, and the largest of the sheet.
const LARGE: usize = 4_000_000;
const USUAL: usize = 72_000;

/// The time between two requests to one router: a router's part of the requests on the sheet
/// is 40 a second.
const EVERY: Duration = Duration::from_millis(50);

const LOAD: Duration = Duration::from_secs(40);

/// The delay after which the platform starts a process that ended again.
const RESTART: Duration = Duration::from_millis(500);

/// From the rule: processes that end three times, on two machines at least.
const ENDS: u32 = 3;
const MACHINES: usize = 2;

const KEY: &str = "key-of-the-mill";

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"draft\",\"host\":\"mill.example\",\"prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":800,\"priority\":1,\"service\":\"pool\",\"maxAttempts\":1,\"authExempt\":false,\"sticky\":false,\"resumable\":false,\"gapAimMs\":250}}],\"services\":[{{\"name\":\"pool\",\"healthPath\":\"/health\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":230000}},\"tenants\":[{{\"name\":\"mill\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// The memory of a process, in megabytes.
fn resident_mb(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|it| it.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1_000
}

pub fn play(files: &Path, record: &Record, trouble: bool) -> io::Result<Verdict> {
    let net = Net::find();
    let store = Store::start(net.at(200, 8781))?;
    store.put("op/config", &config());
    let times = (Duration::ZERO, Duration::from_millis(200));
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let id = format!("i-0{number}d5");
        workers.push(worker::start(&store, (&id, "pool"), net.at(100 + number, 8080), times, 0.0)?);
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
    let size = if trouble { LARGE } else { USUAL };
    let body: Arc<Vec<u8>> = Arc::new(vec![b'x'; size]);
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<[u64; 4]>> = Arc::default();
    let open = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = routers
        .iter()
        .map(|router| {
            let (front, number) = (router.front(), router.number);
            let (body, is_over, counts, open) = (body.clone(), is_over.clone(), counts.clone(), open.clone());
            thread::spawn(move || {
                let mut sent = Vec::new();
                for count in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let (body, counts, open) = (body.clone(), counts.clone(), open.clone());
                    sent.push(thread::spawn(move || {
                        open.fetch_add(1, Ordering::SeqCst);
                        let head = format!(
                            "POST /draft/2f HTTP/1.1\r\nHost: mill.example\r\nX-Knapweedgate-Request-Id: d{number}-{count}\r\nX-Knapweedgate-Deadline-Ms: 15000\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
                            body.len()
                        );
                        let mut request = head.into_bytes();
                        request.extend_from_slice(&body);
                        let answer = http::call(front, &request, Duration::from_secs(15));
                        let kind = match answer.map(|it| it.status()) {
                            Ok(200) => 0,
                            Ok(_) => 1,
                            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => 2,
                            Err(_) => 3,
                        };
                        counts.lock().unwrap()[kind] += 1;
                        open.fetch_sub(1, Ordering::SeqCst);
                    }));
                    thread::sleep(EVERY);
                }
                for thread in sent {
                    let _ = thread.join();
                }
            })
        })
        .collect();
    // The platform: it kills a process over its limit, and starts one that ended again.
    let begun = Instant::now();
    let mut ends = [0_u32; ROUTERS as usize];
    let mut peaks = [0_u64; ROUTERS as usize];
    let mut down: [Option<Instant>; ROUTERS as usize] = [None; ROUTERS as usize];
    while begun.elapsed() < LOAD {
        for (index, router) in routers.iter_mut().enumerate() {
            if let Some(since) = down[index] {
                if since.elapsed() >= RESTART {
                    router.start()?;
                    down[index] = None;
                }
                continue;
            }
            let memory = router.pid().map_or(0, resident_mb);
            peaks[index] = peaks[index].max(memory);
            let over = memory > MEMORY_MB;
            if over || router.ended().is_some() {
                router.kill();
                ends[index] += 1;
                down[index] = Some(Instant::now());
                record.line(&format!(
                    "front {index}: {memory} MB, over the limit of {MEMORY_MB}: the platform kills it; {} requests are open",
                    open.load(Ordering::SeqCst)
                ));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let [good, refused, unreached, cut] = *counts.lock().unwrap();
    let ran: usize = workers.iter().map(|it| it.arrivals.lock().unwrap().iter().filter(|it| it.ran).count()).sum();
    record.tell(&format!(
        "bodies of {size} bytes: {good} whole answers, {refused} others, {unreached} not accepted, {cut} without a whole answer; {ran} runs; most memory {peaks:?} MB; processes killed for their memory {ends:?}"
    ));
    if ran < 50 {
        return Ok(Verdict::NotRun("too few requests ran".to_owned()));
    }
    Ok(match ends.iter().filter(|it| **it >= ENDS).count() >= MACHINES {
        true => Verdict::Broken,
        false => Verdict::Kept,
    })
}
