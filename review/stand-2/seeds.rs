//! Case: all machines lose power, the workers too; the machines that the seeds name stay lost.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Net, Record, Router, wait_until_ready};
use crate::store::Store;
use crate::worker::{HEARTBEAT, Worker};
use crate::{Verdict, http, worker};

/// 5 front machines and their 4 spares, as on the sheet.
const ROUTERS: u8 = 9;
const SEEDS: [u8; 3] = [0, 1, 2];
const WORKERS: u8 = 3;

/// `coldStartS` and `coldPerS` of the model workers in the site file.
const COLD: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 14.0;

/// `coldOver` and `coldSlack`.
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// How long routers are down, and workers (`for_s` of `cold_return` in the site file).
const ROUTERS_DOWN: Duration = Duration::from_millis(1_000);
const WORKERS_DOWN: Duration = Duration::from_millis(4_500);

/// The requests a second of all clients, as on the sheet.
const RATE: u64 = 198;

const KEY: &str = "key-of-the-mill";

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"lookup\",\"host\":\"mill.example\",\"prefix\":\"/lookup/\",\"kind\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"pool\",\"maxAttempts\":2,\"authExempt\":false,\"sticky\":false,\"resumable\":false}}],\"services\":[{{\"name\":\"pool\",\"healthPath\":\"/health\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":{COLD_PER_S}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":230000}},\"tenants\":[{{\"name\":\"mill\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

pub fn play(files: &Path, record: &Record, trouble: bool) -> io::Result<Verdict> {
    let net = Net::find();
    let store = Store::start(net.at(200, 8781))?;
    store.put("op/config", &config());
    let work = Duration::from_millis(30);
    let start_workers = |life: &str, cold: Duration| -> io::Result<Vec<Worker>> {
        let all = (0..WORKERS).map(|number| {
            let id = format!("i-{life}{number}c3");
            worker::start(&store, (&id, "pool"), net.at(100 + number, 8080), (cold, work), COLD_PER_S)
        });
        all.collect()
    };
    let former = start_workers("0", Duration::ZERO)?;
    let mut routers = Vec::new();
    for number in 0..ROUTERS {
        let mut router = Router::new(net, files, number, &SEEDS)?;
        router.start()?;
        routers.push(router);
    }
    if !wait_until_ready(routers.iter(), Duration::from_secs(20)) {
        return Ok(Verdict::NotRun("the routers are not ready".to_owned()));
    }
    // The balancer: each second it asks who is ready, and clients take turns.
    let fronts: Vec<_> = routers.iter().map(|router| (router.number, router.front(), net.at(router.number + 1, 8780))).collect();
    let in_rotation: Arc<Mutex<Vec<(u8, std::net::SocketAddr)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let (rotation, over) = (in_rotation.clone(), is_over.clone());
    let balancer = thread::spawn(move || {
        while !over.load(Ordering::SeqCst) {
            let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            let is_ready = |ready| http::call(ready, request, Duration::from_millis(300)).is_ok_and(|it| it.status() == 200);
            let ready = fronts.iter().filter(|(_, _, ready)| is_ready(*ready));
            let ready = ready.map(|(number, front, _)| (*number, *front)).collect();
            *rotation.lock().unwrap() = ready;
            thread::sleep(Duration::from_millis(500));
        }
    });
    thread::sleep(Duration::from_secs(3));
    let counter = Arc::new(AtomicU64::new(0));
    let answered = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..RATE / 2)
        .map(|client| {
            let (rotation, over, counter) = (in_rotation.clone(), is_over.clone(), counter.clone());
            let (answered, failed) = (answered.clone(), failed.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(client * 500 / RATE * 2));
                while !over.load(Ordering::SeqCst) {
                    let begun = Instant::now();
                    let number = counter.fetch_add(1, Ordering::SeqCst);
                    let fronts = rotation.lock().unwrap().clone();
                    if !fronts.is_empty() {
                        let (_, front) = fronts[number as usize % fronts.len()];
                        let request = format!(
                            "GET /lookup/2f HTTP/1.1\r\nHost: mill.example\r\nX-Knapweedgate-Request-Id: r{number}\r\nX-Knapweedgate-Deadline-Ms: 1000\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
                        );
                        let answer = http::call(front, request.as_bytes(), Duration::from_secs(1));
                        match answer.map_or(0, |it| it.status()) {
                            200 => answered.fetch_add(1, Ordering::SeqCst),
                            502 | 504 => failed.fetch_add(1, Ordering::SeqCst),
                            _ => 0,
                        };
                    }
                    thread::sleep(Duration::from_millis(500).saturating_sub(begun.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    record.line("all machines and workers lose power");
    for router in &mut routers {
        router.kill();
    }
    for worker in &former {
        worker.crash();
    }
    let lost_at = Instant::now();
    thread::sleep(ROUTERS_DOWN);
    for router in &mut routers {
        if trouble && SEEDS.contains(&router.number) {
            record.line(&format!("front {}, which the seeds name, stays lost", router.number));
            continue;
        }
        router.start()?;
        record.line(&format!("front {} is back", router.number));
    }
    // Entries of workers end after three heartbeats of silence.
    thread::sleep((HEARTBEAT * 3).saturating_sub(lost_at.elapsed()));
    for worker in &former {
        store.delete(&worker.key());
    }
    thread::sleep(WORKERS_DOWN.saturating_sub(lost_at.elapsed()));
    let failed_before = failed.load(Ordering::SeqCst);
    let workers = start_workers("1", COLD)?;
    record.line(&format!("the workers are back, cold for {} s", COLD.as_secs()));
    thread::sleep(COLD + Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let _ = balancer.join();
    let bound = COLD_PER_S * COLD_OVER + COLD_SLACK;
    let mut most = 0;
    let served = former.iter().map(|it| it.arrivals.lock().unwrap().len()).sum::<usize>();
    for worker in &workers {
        let arrivals = worker.arrivals.lock().unwrap().clone();
        let cold: Vec<_> = arrivals.iter().filter(|it| it.cold).collect();
        for arrival in &cold {
            record.line(&format!("{} reaches {} while it is cold, at {:.3}", arrival.id, worker.id, record.time(arrival.at)));
        }
        let within = |first: usize| cold[first..].iter().take_while(|it| it.at < cold[first].at + Duration::from_secs(1)).count();
        let worst = (0..cold.len()).map(within).max().unwrap_or(0);
        record.tell(&format!("{}: {} requests while cold, at most {worst} in a second; the bound is {bound}", worker.id, cold.len()));
        if worker.has_crashed() {
            record.tell(&format!("{} crashed while cold", worker.id));
        }
        most = most.max(worst);
    }
    let failed = failed.load(Ordering::SeqCst) - failed_before;
    record.tell(&format!("{failed} requests ended with 502 or 504 after the workers were back"));
    record.tell(&format!("{} requests sent, {} answered with success", counter.load(Ordering::SeqCst), answered.load(Ordering::SeqCst)));
    if served < 100 {
        return Ok(Verdict::NotRun("too few requests were served before".to_owned()));
    }
    Ok(match most as f64 > bound {
        true => Verdict::Broken,
        false => Verdict::Kept,
    })
}
