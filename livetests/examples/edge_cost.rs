//! Measures what connections, refusals and streams cost an edge router on loopback.
//!
//! `cargo build --profile deploy -p knapweed-edge`, then
//! `cargo run --profile deploy -p knapweed-livetests --example edge_cost [SCENARIO [TRACE-FILE]]`.
//! With a trace file, `strace` counts the system calls; times are meaningless then.
//!
//! A line gives, for each request, the processor time in the program and in the kernel,
//! and the wake-ups of its threads.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use futures::future::join_all;
use knapweed_livetests::edge::EdgeFleet;
use knapweed_livetests::process::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const TARGETS: usize = 44;

const REQUESTS: usize = 4_000;

const STREAMS: usize = 300;

/// The number of requests in progress at the same time.
const CALLERS: usize = 4;
const STREAM_CALLERS: usize = 50;

/// How long a router is suspended to make it late, and for how long it is used then.
const SUSPENSION: Duration = Duration::from_millis(200);
const STRAIN: Duration = Duration::from_millis(230);

#[derive(Clone, Copy)]
struct Usage {
    program: f64,
    kernel: f64,
    wakeups: u64,
}

impl Usage {
    fn of(pid: u32) -> Self {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let ticks = |at: usize| -> f64 {
            let fields = stat.rsplit(')').next().unwrap_or_default();
            let field = fields.split_whitespace().nth(at);
            field.and_then(|it| it.parse().ok()).unwrap_or(0.0)
        };
        let (mut wakeups, mut nanos) = (0, 0.0);
        let tasks = std::fs::read_dir(format!("/proc/{pid}/task"));
        for task in tasks.into_iter().flatten().flatten() {
            let read = |name| std::fs::read_to_string(task.path().join(name)).unwrap_or_default();
            let status = read("status");
            let line = status
                .lines()
                .find_map(|it| it.strip_prefix("voluntary_ctxt_switches:"));
            wakeups += line
                .and_then(|it| it.trim().parse::<u64>().ok())
                .unwrap_or(0);
            let schedule = read("schedstat");
            let used = schedule.split(' ').next().and_then(|it| it.parse().ok());
            nanos += used.unwrap_or(0.0);
        }
        let (program, kernel) = (ticks(11), ticks(12));
        let share = program / (program + kernel).max(1.0);
        Self {
            program: nanos / 1e3 * share,
            kernel: nanos / 1e3 * (1.0 - share),
            wakeups,
        }
    }
}

fn request(number: usize, path: &str, tokens: &str, keep: bool) -> String {
    let connection = if keep { "keep-alive" } else { "close" };
    format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nConnection: {connection}\r\n\
         X-Knapweedgate-Request-Id: {number:016x}\r\nX-Knapweedgate-Deadline-Ms: 15000\r\n\
         X-Knapweedgate-Model: m\r\nX-Knapweedgate-Token-Usage: {tokens}\r\n\
         X-Knapweedgate-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{number:08x}:250\r\n\
         Authorization: Bearer key-of-red\r\nContent-Length: 64\r\n\r\n{number:64}"
    )
}

/// Reads a response until it is complete; returns its status, 0 if there is none.
async fn read_response(stream: &mut TcpStream) -> std::io::Result<u16> {
    let mut received = Vec::new();
    let mut buffer = [0; 8192];
    loop {
        let count = stream.read(&mut buffer).await?;
        received.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&received);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            if count == 0 {
                return Ok(0);
            }
            continue;
        };
        let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
        let head = head.to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let is_complete = match length.and_then(|it| it.parse::<usize>().ok()) {
            Some(length) => body.len() >= length,
            None => body.ends_with("0\r\n\r\n"),
        };
        if is_complete || count == 0 {
            return Ok(status.unwrap_or(0));
        }
    }
}

async fn call(
    address: std::net::SocketAddr,
    text: &str,
    kept: &mut Option<TcpStream>,
    keep: bool,
) -> u16 {
    let attempt = async {
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => TcpStream::connect(address).await?,
        };
        stream.write_all(text.as_bytes()).await?;
        let status = read_response(&mut stream).await?;
        if keep && status != 0 {
            *kept = Some(stream);
        }
        std::io::Result::Ok(status)
    };
    let answer = timeout(Duration::from_secs(20), attempt).await;
    answer.ok().and_then(Result::ok).unwrap_or(0)
}

struct Scenario {
    name: &'static str,
    path: &'static str,
    tokens: &'static str,
    keep: bool,
    strained: bool,
    count: usize,
    callers: usize,
}

const fn scenario(name: &'static str, path: &'static str, keep: bool) -> Scenario {
    Scenario {
        name,
        path,
        tokens: "14,8",
        keep,
        strained: false,
        count: REQUESTS,
        callers: CALLERS,
    }
}

fn scenarios() -> Vec<Scenario> {
    let stream = |name, path, keep| Scenario {
        count: STREAMS,
        callers: STREAM_CALLERS,
        ..scenario(name, path, keep)
    };
    let strained = |name, keep| Scenario {
        strained: true,
        ..scenario(name, "/once/ok", keep)
    };
    let refused = |name, keep| scenario(name, "/none/ok", keep);
    vec![
        scenario("404 new", "/nowhere", false),
        scenario("answer new", "/once/ok", false),
        scenario("answer kept", "/once/ok", true),
        refused("refused new", false),
        refused("refused kept", true),
        strained("strained new", false),
        strained("strained kept", true),
        stream("stream 40 x 10 ms new", "/stream/pace-10", false),
        stream("stream 40 x 10 ms kept", "/stream/pace-10", true),
        stream("stream 40 x 0 ms kept", "/stream/stream-40", true),
    ]
}

fn trace(pid: u32, file: &Path) -> std::io::Result<Child> {
    Command::new("strace")
        .args(["-c", "-f", "-p", &pid.to_string(), "-o"])
        .arg(file)
        .stderr(Stdio::null())
        .spawn()
}

async fn measure(
    fleet: &EdgeFleet,
    it: &Scenario,
    idle: Usage,
    file: Option<&Path>,
) -> eyre::Result<()> {
    let (address, pid) = (fleet.routers[0].address("callers"), fleet.routers[0].id());
    let tracer = file.map(|file| trace(pid, file)).transpose()?;
    if tracer.is_some() {
        sleep(Duration::from_millis(500)).await;
    }
    let mut statuses = std::collections::BTreeMap::<u16, usize>::new();
    let before = Usage::of(pid);
    let started = Instant::now();
    let mut kept: Vec<Option<TcpStream>> = (0..it.callers).map(|_| None).collect();
    let (mut sent, mut last_strain) = (0, None::<Instant>);
    while sent < it.count {
        if it.strained && last_strain.is_none_or(|at| at.elapsed() > STRAIN) {
            fleet.signal(0, Signal::Pause)?;
            sleep(SUSPENSION).await;
            fleet.signal(0, Signal::Resume)?;
            sleep(Duration::from_millis(20)).await;
            last_strain = Some(Instant::now());
        }
        let batch = kept.iter_mut().enumerate().map(|(at, kept)| {
            let text = request(sent + at, it.path, it.tokens, it.keep);
            async move { call(address, &text, kept, it.keep).await }
        });
        for status in join_all(batch).await {
            *statuses.entry(status).or_default() += 1;
        }
        sent += it.callers;
    }
    let elapsed = started.elapsed();
    let after = Usage::of(pid);
    if let Some(mut tracer) = tracer {
        Command::new("kill")
            .args(["-INT", &tracer.id().to_string()])
            .status()?;
        tracer.wait()?;
    }
    let idle_seconds = elapsed.as_secs_f64();
    let each = |total: f64, idle: f64| (total - idle * idle_seconds) / sent as f64;
    println!(
        "{:24} {sent} in {:.1} s  program {:.1} us  kernel {:.1} us  wake-ups {:.2}  {statuses:?}",
        it.name,
        elapsed.as_secs_f64(),
        each(after.program - before.program, idle.program),
        each(after.kernel - before.kernel, idle.kernel),
        each((after.wakeups - before.wakeups) as f64, idle.wakeups as f64),
    );
    Ok(())
}

#[actix_rt::main]
async fn main() -> eyre::Result<()> {
    let mut args = std::env::args().skip(1);
    let (only, file) = (args.next(), args.next());
    let fleet = EdgeFleet::start("cost", 1, TARGETS).await?;
    let mut config = knapweed_livetests::edge::EdgeConfig::default().to_json();
    config["version"] = json!(2);
    config["routes"][3]["timeoutMs"] = json!(15_000);
    config["services"][0]["engine"] = json!({ "slots": 16, "kvCapacity": 4_000_000 });
    let mut full = config["routes"][1].clone();
    full["name"] = json!("none");
    full["prefix"] = json!("/none/");
    full["service"] = json!("full");
    config["routes"].as_array_mut().expect("routes").push(full);
    let mut service = config["services"][0].clone();
    service["name"] = json!("full");
    service["engine"]["slots"] = json!(0);
    config["services"]
        .as_array_mut()
        .expect("services")
        .push(service);
    fleet.store.put("op/config", &config);
    for (number, target) in fleet.targets.iter().enumerate() {
        let mut entry = target.entry("full", "ready");
        entry["slots"] = json!(0);
        fleet.store.put(&format!("servers/full-{number}"), &entry);
    }
    sleep(Duration::from_secs(2)).await;
    let pid = fleet.routers[0].id();
    let before = Usage::of(pid);
    sleep(Duration::from_secs(3)).await;
    let after = Usage::of(pid);
    // In a second.
    let idle = Usage {
        program: (after.program - before.program) / 3.0,
        kernel: (after.kernel - before.kernel) / 3.0,
        wakeups: (after.wakeups - before.wakeups) / 3,
    };
    println!(
        "idle, in a second         program {:.0} us  kernel {:.0} us  wake-ups {}",
        idle.program, idle.kernel, idle.wakeups
    );
    for it in scenarios() {
        if only
            .as_ref()
            .is_none_or(|only| it.name.starts_with(only.as_str()))
        {
            measure(&fleet, &it, idle, file.as_deref().map(Path::new)).await?;
        }
    }
    Ok(())
}
