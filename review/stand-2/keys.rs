//! Case: the keys of all tenants are taken away, one after the other, and their tenants with them.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Net, Record, Router, wait_until_ready};
use crate::store::Store;
use crate::{Verdict, http, worker};

const ROUTERS: u8 = 3;

/// The bound `revokeMs`.
const REVOKE: Duration = Duration::from_millis(5_000);

const TENANTS: [(&str, &str); 3] = [
    ("mill", "key-of-the-mill"),
    ("desk", "key-of-the-desk"),
    ("yard", "key-of-the-yard"),
];

/// A key that no configuration ever holds.
const FORGED: &str = "key-of-nobody";

/// The time between two configurations, as `gap_s` of `revoke` in the site file.
const GAP: Duration = Duration::from_millis(400);

fn config(version: u64, tenants: &[(&str, &str)], timeout: u64) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, key)| format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1}}"))
        .collect();
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"mill.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":150,\"priority\":2,\"service\":\"order-desk\",\"maxAttempts\":1,\"authExempt\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"order-desk\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":230000}},\"tenants\":[{}]}}",
        route("booking", "unsafe"),
        route("lookup", "safe"),
        tenants.join(",")
    )
}

struct Sent {
    key: &'static str,
    router: u8,
    at: Instant,
    status: u16,
}

pub fn play(files: &Path, record: &Record, trouble: bool) -> io::Result<Verdict> {
    let net = Net::find();
    let store = Store::start(net.at(200, 8781))?;
    store.put("op/config", &config(7, &TENANTS, 1_000));
    let times = (Duration::ZERO, Duration::from_millis(30));
    let mut workers = Vec::new();
    for number in 0..3 {
        let id = format!("i-0{number}a9");
        let address = net.at(100 + number, 8080);
        workers.push(worker::start(&store, (&id, "order-desk"), address, times, 0.0)?);
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
    let mut sent: HashMap<String, Sent> = HashMap::new();
    let mut send_all = |phase: &str| {
        for router in &routers {
            let keys = TENANTS.iter().map(|(_, key)| *key);
            for key in keys.chain([FORGED]) {
                for route in ["booking", "lookup"] {
                    let id = format!("{phase}-{}-{}", sent.len(), router.number);
                    let (method, body) = match route {
                        "booking" => ("POST", "Content-Length: 4\r\n\r\nbook"),
                        _ => ("GET", "\r\n"),
                    };
                    let request = format!(
                        "{method} /{route}/2f HTTP/1.1\r\nHost: mill.example\r\nX-Knapweedgate-Request-Id: {id}\r\nX-Knapweedgate-Deadline-Ms: 1000\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n{body}"
                    );
                    let at = Instant::now();
                    let answer = http::call(router.front(), request.as_bytes(), Duration::from_secs(2));
                    let status = answer.map_or(0, |it| it.status());
                    record.line(&format!("sent {id} to front {} {route} with {key}: {status}", router.number));
                    let router = router.number;
                    sent.insert(id, Sent { key, router, at, status });
                }
            }
        }
    };
    send_all("before");
    // Each configuration takes away one key with its tenant; without trouble only a time-out changes.
    let mut taken: HashMap<&str, Instant> = HashMap::new();
    for count in 1..=TENANTS.len() {
        let version = 7 + 3 * count as u64;
        let (kept, timeout) = match trouble {
            true => (&TENANTS[count..], 1_000),
            false => (&TENANTS[..], 1_000 + 10 * count as u64),
        };
        let at = store.put("op/config", &config(version, kept, timeout));
        record.line(&format!("the store has acknowledged version {version} with {} tenants", kept.len()));
        if trouble {
            taken.insert(TENANTS[count - 1].1, at);
        }
        thread::sleep(GAP);
    }
    thread::sleep(REVOKE + Duration::from_secs(1));
    for _ in 0..3 {
        send_all("after");
        thread::sleep(Duration::from_secs(1));
    }
    let (mut revoked, mut forged, mut sound) = (0, 0, 0);
    for arrival in workers.iter().flat_map(|it| it.arrivals.lock().unwrap().clone()) {
        let Some(sent) = sent.get(&arrival.id).filter(|_| arrival.ran) else {
            continue;
        };
        let is_late = taken.get(sent.key).is_some_and(|at| sent.at > *at + REVOKE);
        match () {
            () if sent.key == FORGED => forged += 1,
            () if is_late => revoked += 1,
            () => sound += 1,
        }
        if is_late || sent.key == FORGED {
            let after = taken.get(sent.key).map_or(0.0, |at| (sent.at - *at).as_secs_f64());
            record.line(&format!(
                "BROKEN: {} {} ran with {}, {after:.1} s after the key was taken away; front {}, tenant {}, answered {}",
                arrival.id, arrival.path, sent.key, sent.router, arrival.tenant, sent.status
            ));
        }
    }
    record.tell(&format!(
        "{} requests sent; {sound} ran with a key that was held, {revoked} later than revokeMs after their key was taken away, {forged} with a key that no configuration held",
        sent.len()
    ));
    if sound < 18 {
        return Ok(Verdict::NotRun("requests with sound keys did not run".to_owned()));
    }
    Ok(match revoked + forged {
        0 => Verdict::Kept,
        _ => Verdict::Broken,
    })
}
