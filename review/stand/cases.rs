// The cases. Each returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

fn run_case(name: &str, folder: PathBuf, trouble: bool) -> i32 {
    let Ok(fleet) = Fleet::new(&folder, name) else {
        return 2;
    };
    fleet.note(&format!("case {name}, trouble {trouble}"));
    match name {
        "silence" => silence(fleet, trouble),
        "fatal" => fatal(fleet, trouble, "fatal-late", false),
        // For comparison: the workers crash before the head of the answer.
        "fatal-early" => fatal(fleet, trouble, "fatal", false),
        "forgotten" => fatal(fleet, true, "fatal", trouble),
        // Found besides, see REPORT.md.
        "reborn" => reborn(fleet, trouble, true),
        "cold" => reborn(fleet, trouble, false),
        "extra" => extra(fleet, trouble),
        "entry" => entry(fleet, trouble, false),
        "entry-later" => entry(fleet, trouble, true),
        _ => 2,
    }
}

// --- a worker's pause, and a full worker --------------------------------------------------

/// The other workers are full with work of callers that reach them directly. A stream runs on a
/// worker; its router gets SIGTERM; the worker preempts the stream for a while.
fn silence(mut fleet: Fleet, trouble: bool) -> i32 {
    const ROUNDS: usize = 4;
    fleet.store.put("op/config", &config(7, 0));
    let preempt = if trouble { 1500 } else { 0 };
    // Two workers that others have filled, and one with room.
    for _ in 0..2 {
        fleet.add_worker("llm", 4, &[("queue", 2), ("work", 10)]);
    }
    for number in 0..2 {
        for caller in 0..6 {
            let address = fleet.workers[number].address;
            thread::spawn(move || {
                let Ok(mut conn) = Conn::open(address) else {
                    return;
                };
                let id = format!("direct-{number}-{caller}");
                let text = request_text("POST", "/review/long", &id, 110_000, "");
                let _ = call(&mut conn, &text, 110_000);
            });
        }
    }
    thread::sleep(Duration::from_millis(300));
    fleet.add_worker(
        "llm",
        8,
        &[("queue", 4), ("work", 10), ("preempt", preempt)],
    );
    fleet.add_routers(2);
    for number in 0..2 {
        fleet.start_router(number);
    }
    for number in 0..2 {
        if !fleet.wait_ready(number) {
            return fleet.end(2);
        }
    }
    let (mut broken, mut whole) = (0, 0);
    for round in 0..ROUNDS {
        let number = round % 2;
        // In touch: this router has run for the whole window.
        let age = wall_ms() - fleet.routers[number].started;
        thread::sleep(Duration::from_millis((STABLE_MS + 500).saturating_sub(age)));
        let address = fleet.routers[number].callers;
        // What clients send before: short requests, which show the router who is full.
        for index in 0..4 {
            thread::sleep(Duration::from_millis(100));
            if let Ok(mut conn) = Conn::open(address) {
                let text = request_text(
                    "POST",
                    "/review/short",
                    &format!("short-{round}-{index}"),
                    15_000,
                    MODEL,
                );
                let (status, _) = call(&mut conn, &text, 15_000);
                fleet.note(&format!("client: short-{round}-{index} answered {status}"));
            }
        }
        let record = fleet.record.clone();
        let id = format!("stream-{round}");
        let (begun, running) = std::sync::mpsc::channel();
        let client = thread::spawn(move || {
            // A refused client comes again, as a new attempt.
            (0..6).find_map(|attempt| {
                thread::sleep(Duration::from_millis(300));
                stream(address, &format!("{id}-{attempt}"), &record, &begun)
            })
        });
        let _ = running.recv_timeout(Duration::from_secs(5));
        thread::sleep(Duration::from_millis(600));
        fleet.signal_router(number, "TERM");
        match client.join() {
            Ok(Some(true)) => whole += 1,
            Ok(Some(false)) => broken += 1,
            _ => {}
        }
        fleet.wait_router(number);
        fleet.start_router(number);
        if !fleet.wait_ready(number) {
            return fleet.end(2);
        }
    }
    fleet.note(&format!(
        "LOST: {broken} of {} streams ended without a complete answer; 0 are allowed",
        broken + whole
    ));
    let code = match (broken, whole) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    };
    fleet.end(code)
}

const MODEL: &str = "X-Knapweedgate-Model: m\r\nX-Knapweedgate-Token-Usage: 600,80\r\nX-Knapweedgate-Prompt-Prefix: 5c1e07a2:400,91bd3f06:200\r\n";

/// Asks for a stream on a kept connection; whether it ended completely, `None` if it was refused.
fn stream(
    address: SocketAddr,
    id: &str,
    record: &Mutex<File>,
    begun: &std::sync::mpsc::Sender<()>,
) -> Option<bool> {
    let mut conn = Conn::open(address).ok()?;
    let first = request_text(
        "POST",
        "/review/short",
        &format!("{id}-first"),
        15_000,
        MODEL,
    );
    let (status, _) = call(&mut conn, &first, 15_000);
    note(
        record,
        &format!("client: {id}-first, on the same connection, answered {status}"),
    );
    // The client leaves a stream after a gap of 3.2 s, four times the objective.
    conn.stream
        .set_read_timeout(Some(Duration::from_millis(3_200)))
        .ok()?;
    note(record, &format!("client: sends {id}"));
    conn.send(&request_text("POST", "/review/stream", id, 15_000, MODEL))
        .ok()?;
    let head = conn.head().ok()??;
    note(record, &format!("client: {id} status {}", head.status()));
    if head.status() != 200 {
        return None;
    }
    let _ = begun.send(());
    let mut events = 0;
    loop {
        match conn.chunk() {
            Ok(Some(part)) => {
                let text = String::from_utf8_lossy(&part).into_owned();
                events += text.matches("data:").count();
                note(
                    record,
                    &format!("client: {id} gets {}", text.trim().replace('\n', " | ")),
                );
            }
            Ok(None) => {
                note(
                    record,
                    &format!("client: {id} is complete, {events} events"),
                );
                return Some(events == 16);
            }
            Err(error) => {
                note(
                    record,
                    &format!("client: {id} ended early after {events} events: {error}"),
                );
                return Some(false);
            }
        }
    }
}

// --- a request that crashes its workers ---------------------------------------------------

/// A request that crashes each worker that runs it comes again and again. With `rolls`, the
/// routers are stopped and started in turn meanwhile.
fn fatal(mut fleet: Fleet, crashes: bool, name: &'static str, rolls: bool) -> i32 {
    const WORKERS: usize = 6;
    let is_rolling_case = name == "fatal";
    fleet.store.put("op/config", &config(7, 0));
    for _ in 0..WORKERS {
        fleet.add_worker(
            "desk",
            6,
            &[("queue", 24), ("work", 30), ("fatal", u64::from(crashes))],
        );
    }
    fleet.add_routers(2);
    for number in 0..2 {
        fleet.start_router(number);
    }
    for number in 0..2 {
        if !fleet.wait_ready(number) {
            return fleet.end(2);
        }
    }
    thread::sleep(Duration::from_millis(STABLE_MS));
    let callers: Vec<SocketAddr> = fleet.routers.iter().map(|it| it.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    // Who sends to which router: none to one that is being replaced, as the platform's balancer.
    let out = Arc::new(AtomicUsize::new(usize::MAX));
    let mut clients = Vec::new();
    // Other callers: 40 short requests a second.
    for client in 0..4_usize {
        let (callers, is_over, out, record) = (
            callers.clone(),
            is_over.clone(),
            out.clone(),
            fleet.record.clone(),
        );
        clients.push(thread::spawn(move || {
            let (mut good, mut all) = (0, 0);
            for index in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let mut router = (client + index) % 2;
                if router == out.load(Ordering::Relaxed) {
                    router = 1 - router;
                }
                let text = request_text(
                    "GET",
                    "/lookup/ok",
                    &format!("ok-{client}-{index}"),
                    1000,
                    "",
                );
                let status = Conn::open(callers[router])
                    .map_or(0, |mut conn| call(&mut conn, &text, 1000).0);
                all += 1;
                good += u32::from(status == 200);
                if status != 200 {
                    note(
                        &record,
                        &format!(
                            "client: ok-{client}-{index} at router {router} answered {status}"
                        ),
                    );
                }
                thread::sleep(Duration::from_millis(100));
            }
            (good, all)
        }));
    }
    let begun = Instant::now();
    let mut sent = 0;
    let mut back: Vec<(Instant, usize)> = Vec::new();
    let mut next_fatal = begun + Duration::from_secs(1);
    // The routers are stopped and started in turn, each when the one before is in touch again.
    let mut roll: Vec<(Duration, usize, bool)> = match rolls {
        true => vec![
            (Duration::from_secs(16), 0, false),
            (Duration::from_secs(16 + 5), 0, true),
            (Duration::from_secs(40), 1, false),
            (Duration::from_secs(40 + 5), 1, true),
        ],
        false => Vec::new(),
    };
    let length = Duration::from_secs(if is_rolling_case { 66 } else { 40 });
    while begun.elapsed() < length {
        for number in fleet.crashed() {
            fleet.note(&format!("worker {} has crashed", fleet.workers[number].id));
            let key = format!("servers/{}", fleet.workers[number].id);
            let store = fleet.store.clone();
            // Its entry is removed after three heartbeats of silence.
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(3_600));
                store.delete(&key);
            });
            back.push((Instant::now() + Duration::from_secs(3), number));
        }
        let due: Vec<usize> = back
            .iter()
            .filter(|it| it.0 <= Instant::now())
            .map(|it| it.1)
            .collect();
        back.retain(|it| it.0 > Instant::now());
        for number in due {
            fleet.start_worker(number, None, 0);
        }
        if let Some(&(at, number, is_start)) = roll.first().filter(|it| begun.elapsed() >= it.0) {
            let _ = at;
            roll.remove(0);
            match is_start {
                false => {
                    out.store(number, Ordering::Relaxed);
                    fleet.signal_router(number, "TERM");
                }
                true => {
                    fleet.wait_router(number);
                    fleet.start_router(number);
                    if !fleet.wait_ready(number) {
                        return fleet.end(2);
                    }
                    out.store(usize::MAX, Ordering::Relaxed);
                }
            }
        }
        if Instant::now() >= next_fatal {
            next_fatal += Duration::from_millis(if is_rolling_case { 4000 } else { 1000 });
            sent += 1;
            let mut router = sent % 2;
            if router == out.load(Ordering::Relaxed) {
                router = 1 - router;
            }
            let (address, record) = (callers[router], fleet.record.clone());
            thread::spawn(move || {
                let text = request_text(
                    "GET",
                    &format!("/lookup/{name}"),
                    &format!("fatal-{sent}"),
                    2500,
                    "",
                );
                let (status, retry) =
                    Conn::open(address).map_or((0, None), |mut conn| call(&mut conn, &text, 2500));
                note(
                    &record,
                    &format!(
                        "client: fatal-{sent} at router {router} answered {status}, retry after {retry:?}"
                    ),
                );
            });
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    let served: Vec<(u32, u32)> = clients
        .into_iter()
        .filter_map(|it| it.join().ok())
        .collect();
    let (good, all) = served
        .iter()
        .fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    fleet.note(&format!(
        "other requests: {good} of {all} answered with success"
    ));
    // The rule: retries that reach workers later than stableWindowMs after the third crash, from
    // machines in touch: no start or SIGTERM of theirs in the window before.
    let logged = fleet.arrivals();
    let crashes: Vec<u64> = logged
        .iter()
        .filter(|it| it.event == "crash")
        .map(|it| it.at)
        .collect();
    let third = crashes.get(2).copied().unwrap_or(u64::MAX);
    let disturbed = disturbances(&fleet);
    let sent_by = senders(&fleet);
    let late = logged
        .iter()
        .filter(|it| it.event == "run" && it.request.starts_with("fatal-"));
    let late = late.filter(|it| it.at > third.saturating_add(STABLE_MS));
    let late: Vec<&Logged> = late
        .filter(|it| {
            let router = sent_by.get(&it.request).copied();
            router.is_some_and(|router| {
                !disturbed
                    .iter()
                    .any(|&(at, number)| number == router && at <= it.at && it.at < at + STABLE_MS)
            })
        })
        .collect();
    for it in &late {
        fleet.note(&format!(
            "late: {} ran on {} {} ms after the third crash",
            it.request,
            it.worker,
            it.at - third
        ));
    }
    let count = late.len();
    fleet.note(&format!(
        "BUDGET: {} workers crashed; {count} retries reached workers later than {STABLE_MS} ms after the third crash; 3 are allowed",
        crashes.len()
    ));
    let code = match (crashes.len(), count) {
        _ if all == 0 => 2,
        (_, 0..=3) => 0,
        _ => 1,
    };
    fleet.end(code)
}

/// When a router got SIGTERM or was started, from the record.
fn disturbances(fleet: &Fleet) -> Vec<(u64, usize)> {
    let file = fs::read_to_string(record_path(fleet)).unwrap_or_default();
    let lines = file.lines().filter(|it| it.contains(" router front-a-"));
    let lines = lines.filter_map(|it| {
        let at = it.split(' ').next()?.parse().ok()?;
        let number: usize = it
            .split("front-a-")
            .nth(1)?
            .split(' ')
            .next()?
            .parse()
            .ok()?;
        Some((at, number - 1))
    });
    lines.collect()
}

/// The router to which each fatal request was sent, from the record.
fn senders(fleet: &Fleet) -> BTreeMap<String, usize> {
    let file = fs::read_to_string(record_path(fleet)).unwrap_or_default();
    let lines = file
        .lines()
        .filter_map(|it| it.split_once(" client: fatal-"));
    let lines = lines.filter_map(|(_, rest)| {
        let mut words = rest.split(' ');
        let id = format!("fatal-{}", words.next()?);
        let router = rest
            .split("at router ")
            .nth(1)?
            .split(' ')
            .next()?
            .parse()
            .ok()?;
        Some((id, router))
    });
    lines.collect()
}

fn record_path(fleet: &Fleet) -> PathBuf {
    let _ = fleet;
    let args: Vec<String> = std::env::args().collect();
    PathBuf::from(&args[3]).join("record.txt")
}

// --- a worker that starts again under the id that it had ------------------------------------

/// One of seven workers crashes and starts again, cold, under the id that it had.
fn reborn(mut fleet: Fleet, trouble: bool, starts_again: bool) -> i32 {
    const WORKERS: usize = 7;
    const COLD_PER_S: u64 = 4;
    const COLD_MS: u64 = 3_000;
    // coldPerS x coldOver + coldSlack
    const BOUND: usize = 4 * 3 / 2 + 5;
    const ROUNDS: usize = 5;
    fleet.store.put("op/config", &config(7, COLD_PER_S));
    for _ in 0..WORKERS {
        fleet.add_worker(
            "desk",
            12,
            &[("queue", 24), ("work", 20), ("tolerated", 15)],
        );
    }
    fleet.add_routers(2);
    for number in 0..2 {
        fleet.start_router(number);
    }
    for number in 0..2 {
        if !fleet.wait_ready(number) {
            return fleet.end(2);
        }
    }
    thread::sleep(Duration::from_millis(STABLE_MS));
    let callers: Vec<SocketAddr> = fleet.routers.iter().map(|it| it.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..16_usize {
        let (callers, is_over, record) = (callers.clone(), is_over.clone(), fleet.record.clone());
        clients.push(thread::spawn(move || {
            let (mut good, mut all) = (0, 0);
            let mut conn = None;
            let mut next = Instant::now() + Duration::from_millis(client as u64 * 4);
            while !is_over.load(Ordering::Relaxed) {
                next += Duration::from_millis(62);
                thread::sleep(next.saturating_duration_since(Instant::now()));
                let mut open = match conn.take() {
                    Some(open) => open,
                    None => match Conn::open(callers[client % 2]) {
                        Ok(open) => open,
                        Err(_) => continue,
                    },
                };
                // Half of the clients book, which may run once only; the others look up.
                let (method, path) = if client % 4 < 2 {
                    ("POST", "/book/ok")
                } else {
                    ("GET", "/lookup/ok")
                };
                let id = format!("{}-{client}-{all}", &path[1..5]);
                let (status, _) = call(&mut open, &request_text(method, path, &id, 3000, ""), 3000);
                if status != 200 {
                    note(&record, &format!("client: {id} answered {status}"));
                }
                all += 1;
                good += u32::from(status == 200);
                conn = (status == 200).then_some(open);
            }
            (good, all)
        }));
    }
    thread::sleep(Duration::from_secs(4));
    let mut cold: Vec<(String, u64)> = Vec::new();
    for round in 0..ROUNDS {
        let number = round % WORKERS;
        if trouble && !starts_again {
            let id = fleet.workers[number].id.clone();
            thread::sleep(Duration::from_millis(500 + 290 * round as u64));
            fleet.note(&format!("worker {id} becomes cold again"));
            if let Ok(mut conn) = Conn::open(fleet.workers[number].address) {
                let _ = call(
                    &mut conn,
                    "POST /stand/cold HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
                    1000,
                );
            }
            fleet.register(number, "ready", COLD_MS);
            cold.push((id, wall_ms()));
            thread::sleep(Duration::from_millis(COLD_MS));
            fleet.register(number, "ready", 0);
        } else if trouble {
            let id = fleet.workers[number].id.clone();
            fleet.note(&format!("worker {id} crashes"));
            if let Some(mut child) = fleet.workers[number].child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            thread::sleep(Duration::from_millis(1900 + 170 * round as u64));
            fleet.start_worker(number, Some(id.clone()), COLD_MS);
            cold.push((id, fleet.workers[number].born));
            thread::sleep(Duration::from_millis(COLD_MS));
            let is_up = |child: &mut Child| matches!(child.try_wait(), Ok(None));
            if fleet.workers[number].child.as_mut().is_some_and(is_up) {
                fleet.register(number, "ready", 0);
            }
        }
        thread::sleep(Duration::from_secs(4));
        for ended in fleet.crashed() {
            fleet.note(&format!("worker {} has crashed", fleet.workers[ended].id));
            let key = format!("servers/{}", fleet.workers[ended].id);
            fleet.store.delete(&key);
            fleet.start_worker(ended, None, COLD_MS);
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let served: Vec<(u32, u32)> = clients
        .into_iter()
        .filter_map(|it| it.join().ok())
        .collect();
    let (good, all) = served
        .iter()
        .fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    fleet.note(&format!("requests: {good} of {all} answered with success"));
    let logged = fleet.arrivals();
    let mut most = 0;
    for (id, born) in &cold {
        let runs = logged
            .iter()
            .filter(|it| it.worker == *id && matches!(it.event.as_str(), "run" | "full"));
        let times: Vec<u64> = runs
            .map(|it| it.at)
            .filter(|at| (*born..born + COLD_MS).contains(at))
            .collect();
        let in_second = |from: u64| {
            times
                .iter()
                .filter(|&&at| at >= from && at < from + 1000)
                .count()
        };
        let worst = times.iter().map(|&at| in_second(at)).max().unwrap_or(0);
        fleet.note(&format!("worker {id}, cold since {born}: {worst} requests in its worst second, {BOUND} are allowed"));
        most = most.max(worst);
    }
    fleet.note(&format!(
        "FAILBACK: at most {most} requests in a second to a cold worker; {BOUND} are allowed"
    ));
    let code = match most {
        _ if all == 0 => 2,
        _ if most > BOUND => 1,
        _ => 0,
    };
    fleet.end(code)
}

// --- an answer that comes a second time, late -----------------------------------------------

/// Two of four workers send three in a hundred of their answers twice, the second time late.
/// Requests that may run once only; workers are full at times, and say so.
fn extra(mut fleet: Fleet, trouble: bool) -> i32 {
    const ROUTERS: usize = 4;
    fleet.store.put("op/config", &config(7, 0));
    for number in 0..4 {
        let extra = if trouble && number < 2 { 33 } else { 0 };
        fleet.add_worker("desk", 2, &[("queue", 1), ("work", 40), ("extra", extra)]);
    }
    fleet.add_routers(ROUTERS);
    for number in 0..ROUTERS {
        fleet.start_router(number);
    }
    for number in 0..ROUTERS {
        if !fleet.wait_ready(number) {
            return fleet.end(2);
        }
    }
    thread::sleep(Duration::from_millis(STABLE_MS));
    let callers: Vec<SocketAddr> = fleet.routers.iter().map(|it| it.callers).collect();
    let until = Instant::now() + Duration::from_secs(60);
    let refused = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for client in 0..24_usize {
        let (callers, record) = (callers.clone(), fleet.record.clone());
        let refused = refused.clone();
        clients.push(thread::spawn(move || {
            let (mut good, mut conn) = (0, None);
            for index in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let mut open = match conn.take() {
                    Some(open) => open,
                    None => match Conn::open(callers[client % ROUTERS]) {
                        Ok(open) => open,
                        Err(_) => continue,
                    },
                };
                let id = format!("book-{client}-{index}");
                let (status, _) = call(
                    &mut open,
                    &request_text("POST", "/book/ok", &id, 1000, ""),
                    1000,
                );
                if status != 200 {
                    note(&record, &format!("client: {id} answered {status}"));
                }
                if matches!(status, 408 | 421 | 429 | 503) {
                    refused.lock().unwrap().push(id);
                }
                good += u32::from(status == 200);
                conn = (status == 200).then_some(open);
                thread::sleep(Duration::from_millis(100));
            }
            good
        }));
    }
    let good: u32 = clients.into_iter().filter_map(|it| it.join().ok()).sum();
    let logged = fleet.arrivals();
    let count = |event: &str| logged.iter().filter(|it| it.event == event).count();
    fleet.note(&format!(
        "requests: {good} answered with success; workers were full {} times, and sent {} answers twice",
        count("full"),
        count("extra")
    ));
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for it in logged {
        if it.event == "run" {
            runs.entry(it.request).or_default().push(it.worker);
        }
    }
    let twice: Vec<_> = runs
        .iter()
        .filter(|(_, workers)| workers.len() > 1)
        .collect();
    for (id, workers) in &twice {
        fleet.note(&format!("{id} ran more than once: {}", workers.join(", ")));
    }
    fleet.note(&format!(
        "TWICE: {} of {} requests that may run once ran more than once; 0 are allowed",
        twice.len(),
        runs.len()
    ));
    let refused = refused.lock().unwrap().clone();
    let false_promises: Vec<_> = refused.iter().filter(|it| runs.contains_key(*it)).collect();
    for id in &false_promises {
        fleet.note(&format!("{id} was answered 503 and has run"));
    }
    fleet.note(&format!(
        "REFUSED: {} requests that may run once were answered 503 and have run; 0 are allowed",
        false_promises.len()
    ));
    let code = match (good, twice.len() + false_promises.len()) {
        (0, _) => 2,
        (_, 0) => 0,
        _ => 1,
    };
    fleet.end(code)
}

// --- an entry of another writer --------------------------------------------------------------

/// Another writer has left an entry that names no worker to use: of a service that isn't named,
/// with a number that only a floating-point field can hold. With `later`, it comes in mid-day.
fn entry(mut fleet: Fleet, trouble: bool, later: bool) -> i32 {
    const OTHER: &str = "{\"service\":\"other\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\
                         \"version\":\"v1\",\"slots\":1,\"state\":\"ready\",\"coldRemainingMs\":1e22,\"seq\":1}";
    const REQUESTS: usize = 200;
    fleet.store.put("op/config", &config(7, 0));
    for _ in 0..4 {
        fleet.add_worker("desk", 6, &[("queue", 24), ("work", 20)]);
    }
    let write = |fleet: &Fleet| {
        fleet.store.put("servers/a-1", OTHER);
        fleet.note(&format!("another writer: servers/a-1 {OTHER}"));
    };
    if trouble && !later {
        write(&fleet);
    }
    fleet.add_routers(2);
    for number in 0..2 {
        fleet.start_router(number);
    }
    for number in 0..2 {
        let is_ready = fleet.wait_ready(number);
        fleet.note(&format!("router {number} ready: {is_ready}"));
    }
    thread::sleep(Duration::from_millis(STABLE_MS));
    // In mid-day, or all day, the same.
    let mut served = [0, 0];
    for index in 0..REQUESTS {
        let half = index * 2 / REQUESTS;
        if trouble && later && index == REQUESTS / 2 {
            write(&fleet);
            thread::sleep(Duration::from_secs(4));
        }
        let id = format!("ok-{index}");
        let address = fleet.routers[index % 2].callers;
        let (method, path) = if index % 4 < 2 {
            ("POST", "/book/ok")
        } else {
            ("GET", "/lookup/ok")
        };
        let text = request_text(method, path, &id, 1000, "");
        let status = Conn::open(address).map_or(0, |mut conn| call(&mut conn, &text, 1000).0);
        fleet.note(&format!(
            "client: {id} at router {} answered {status}",
            index % 2
        ));
        served[half] += u32::from(status == 200);
        thread::sleep(Duration::from_millis(100));
    }
    let [first, second] = served;
    let half = REQUESTS / 2;
    fleet.note(&format!(
        "Fault: served {first} of {half} and {second} of {half} requests; none served at all is a fault"
    ));
    let is_broken = if later {
        second == 0
    } else {
        first + second == 0
    };
    let code = match (trouble, is_broken) {
        (_, false) => 0,
        (true, true) => 1,
        (false, true) => 2,
    };
    fleet.end(code)
}
