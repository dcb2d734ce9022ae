//! Case: entries of another writer, in which fields are missing, stand among the workers' own.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Net, Record, Router, wait_until_ready};
use crate::store::Store;
use crate::worker::Worker;
use crate::{Verdict, http, worker};

const ROUTERS: u8 = 3;

/// How long the other writer writes, and how often.
const WRITING: Duration = Duration::from_secs(10);
const WRITE_EVERY: Duration = Duration::from_millis(100);

const KEY: &str = "key-of-the-mill";

fn config() -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"mill.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":1,\"authExempt\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":230000}},\"tenants\":[{{\"name\":\"mill\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("booking", "unsafe", "order-desk"),
        route("stock", "safe", "stock-desk"),
        service("order-desk"),
        service("stock-desk"),
    )
}

/// Entries of another writer under the id of a worker: each names the other service and lacks
/// fields that each worker's entry has, or has one of another type.
fn foreign_entries(worker: &Worker) -> Vec<(&'static str, String)> {
    let common = format!(
        "\"service\":\"order-desk\",\"address\":\"{}\",\"zone\":\"longview-a\",\"slots\":64,\"state\":\"ready\"",
        worker.address
    );
    vec![
        ("without version, coldRemainingMs and seq", format!("{{{common}}}")),
        ("without seq", format!("{{{common},\"version\":\"v1\",\"coldRemainingMs\":0}}")),
        ("without coldRemainingMs", format!("{{{common},\"version\":\"v1\",\"seq\":4}}")),
        ("without version", format!("{{{common},\"coldRemainingMs\":0,\"seq\":4}}")),
        (
            "with a text as seq",
            format!("{{{common},\"version\":\"v1\",\"coldRemainingMs\":0,\"seq\":\"four\"}}"),
        ),
    ]
}

pub fn play(files: &Path, record: &Record, trouble: bool) -> io::Result<Verdict> {
    let net = Net::find();
    let store = Store::start(net.at(200, 8781))?;
    store.put("op/config", &config());
    let times = (Duration::ZERO, Duration::from_millis(30));
    let mut workers = Vec::new();
    for (number, service) in ["order-desk", "order-desk", "stock-desk", "stock-desk"].into_iter().enumerate() {
        let id = format!("i-0{number}b7");
        let address = net.at(100 + number as u8, 8080);
        workers.push(worker::start(&store, (&id, service), address, times, 0.0)?);
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
    let sent: Mutex<HashMap<String, (Instant, u16)>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    let written: Mutex<Vec<(Instant, &'static str)>> = Mutex::default();
    thread::scope(|scope| {
        for router in &routers {
            for route in ["booking", "stock"] {
                let (sent, is_over) = (&sent, &is_over);
                scope.spawn(move || {
                    for number in 0.. {
                        if is_over.load(Ordering::SeqCst) {
                            return;
                        }
                        let id = format!("{route}-{}-{number}", router.number);
                        let (method, body) = match route {
                            "booking" => ("POST", "Content-Length: 4\r\n\r\nbook"),
                            _ => ("GET", "\r\n"),
                        };
                        let request = format!(
                            "{method} /{route}/2f HTTP/1.1\r\nHost: mill.example\r\nX-Knapweedgate-Request-Id: {id}\r\nX-Knapweedgate-Deadline-Ms: 1000\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n{body}"
                        );
                        let at = Instant::now();
                        let answer = http::call(router.front(), request.as_bytes(), Duration::from_secs(2));
                        let status = answer.map_or(0, |it| it.status());
                        record.line(&format!("sent {id} to front {}: {status}", router.number));
                        sent.lock().unwrap().insert(id, (at, status));
                        thread::sleep(Duration::from_millis(100));
                    }
                });
            }
        }
        thread::sleep(Duration::from_secs(3));
        let entries = foreign_entries(&workers[3]);
        let begun = Instant::now();
        for number in 0.. {
            if begun.elapsed() >= WRITING {
                break;
            }
            // Each form stands for 2 s.
            let form = (begun.elapsed().as_secs() / 2) as usize % entries.len();
            let (what, entry) = &entries[form];
            if trouble {
                store.put(&workers[3].key(), entry);
                if number % 20 == 0 {
                    record.line(&format!("another writer writes {} {what}: {entry}", workers[3].key()));
                }
                written.lock().unwrap().push((Instant::now(), what));
            }
            thread::sleep(WRITE_EVERY);
        }
        thread::sleep(Duration::from_secs(4));
        is_over.store(true, Ordering::SeqCst);
    });
    let (sent, written) = (sent.into_inner().unwrap(), written.into_inner().unwrap());
    let (mut sound, mut wrong) = (0, 0);
    let mut forms: HashMap<&str, u32> = HashMap::new();
    for worker in &workers {
        let arrivals = worker.arrivals.lock().unwrap().clone();
        for arrival in arrivals.iter().filter(|it| it.ran && sent.contains_key(&it.id)) {
            let allowed = match arrival.path.starts_with("/booking/") {
                true => "order-desk",
                false => "stock-desk",
            };
            if worker.service == allowed {
                sound += 1;
                continue;
            }
            wrong += 1;
            let before = written.iter().filter(|(at, _)| *at < arrival.at).next_back();
            let form = before.map_or("none", |(_, what)| what);
            *forms.entry(form).or_default() += 1;
            record.line(&format!(
                "BROKEN: {} {} was run by {} of {} at {:.3}; the last foreign entry was {form}; answered {}",
                arrival.id, arrival.path, worker.id, worker.service, record.time(arrival.at), sent[&arrival.id].1
            ));
        }
    }
    let mut forms: Vec<_> = forms.into_iter().collect();
    forms.sort_unstable();
    record.tell(&format!(
        "{} requests sent; {sound} run by a service that the configuration names, {wrong} by another; by the last foreign entry before: {forms:?}",
        sent.len()
    ));
    if sound < 50 {
        return Ok(Verdict::NotRun("too few requests ran".to_owned()));
    }
    Ok(match wrong {
        0 => Verdict::Kept,
        _ => Verdict::Broken,
    })
}
