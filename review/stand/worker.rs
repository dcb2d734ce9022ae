// A worker, as a process of its own: it ends as a whole when it crashes.
//
// The last segment of a request's path says what the request does to a worker:
//   ok           it works for `--work` ms and answers 200 with 800 bytes
//   fatal        the worker crashes 20 ms after it began to run it (with `--fatal 0`: as ok)
//   fatal-late   the same, after the head and 100 bytes of the body were sent
//   short        one event
//   stream       events 1 to 16, one every 150 ms; goes on after Last-Event-Id
//   long         events for 100 s (of callers that come directly)
//
// A worker with `--extra N` sends every Nth of its answers twice, for 5 s out of each 10 s, the
// second time late: when the next request has come on that connection, before it runs.

/// The answer of a worker that is full, as in the examples of `fleetbench wire`.
const SHED: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Knapweedgate-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

struct Gate {
    running: usize,
    waiting: usize,
    /// Until when the newest stream is preempted, for want of memory.
    newest: u64,
}

struct Worker {
    id: String,
    slots: usize,
    queue: usize,
    work: Duration,
    is_fatal: bool,
    /// The length of the pause of a stream that is preempted; none if zero.
    preempt: Duration,
    /// Every which answer is sent twice; none if 0.
    extra: u64,
    answers: AtomicU64,
    started: u64,
    /// While it is cold, more requests in a second than this crash it; never if 0.
    tolerated: usize,
    cold_until: AtomicU64,
    recent: Mutex<Vec<u64>>,
    log: Mutex<File>,
    gate: Mutex<Gate>,
    freed: Condvar,
    begun: AtomicU64,
}

impl Worker {
    fn log(&self, event: &str, head: &Head, what: &str) {
        let request = head.get("x-knapweedgate-request-id").unwrap_or("-");
        let tenant = head.get("x-knapweedgate-tenant").unwrap_or("-");
        let (at, id, path) = (wall_ms(), &self.id, head.path());
        let line = format!(
            "{at} worker={id} {event} request={request} path={path} tenant={tenant} {what}\n"
        );
        let _ = self.log.lock().unwrap().write_all(line.as_bytes());
    }

    /// Takes a slot, after waiting in the queue; `None` if the queue is full.
    fn admit(&self) -> Option<u64> {
        let mut gate = self.gate.lock().unwrap();
        if gate.running >= self.slots {
            if gate.waiting >= self.queue {
                return None;
            }
            gate.waiting += 1;
            while gate.running >= self.slots {
                gate = self.freed.wait(gate).unwrap();
            }
            gate.waiting -= 1;
        }
        gate.running += 1;
        let number = self.begun.fetch_add(1, Ordering::Relaxed) + 1;
        gate.newest = number;
        Some(number)
    }

    fn leave(&self) {
        self.gate.lock().unwrap().running -= 1;
        self.freed.notify_all();
    }

    /// Whether an answer is sent twice: every Nth, for 5 s out of each 10 s.
    fn is_doubled(&self) -> bool {
        let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let is_faulty = (wall_ms() - self.started) / 5_000 % 2 == 1;
        self.extra > 0 && is_faulty && number % self.extra == 0
    }

    /// Crashes if too much has come in the last second, while it is cold.
    fn check_cold(&self, head: &Head) {
        let now = wall_ms();
        if self.tolerated == 0 || now >= self.cold_until.load(Ordering::Relaxed) {
            return;
        }
        let mut recent = self.recent.lock().unwrap();
        recent.retain(|&at| at + 1000 > now);
        recent.push(now);
        if recent.len() > self.tolerated {
            self.log("crash", head, "too much while cold");
            std::process::exit(101);
        }
    }

    fn serve(&self, mut conn: Conn) {
        let mut late: Option<String> = None;
        while let Ok(Some(head)) = conn.head() {
            let Ok(_body) = conn.body(&head) else { return };
            if head.path() == "/stand/cold" {
                // From the case itself: it becomes cold again.
                self.cold_until.store(wall_ms() + 3_000, Ordering::Relaxed);
                let _ = conn.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if let Some(copy) = late.take() {
                let first = copy.split("\r\n").next().unwrap_or("").to_owned();
                self.log(
                    "extra",
                    &head,
                    &format!("before its own answer: {first}, once more"),
                );
                let _ = conn.send(&copy);
            }
            let path = head.path().split('?').next().unwrap_or("").to_owned();
            let instance = format!("X-Knapweedgate-Instance-Id: {}\r\n", self.id);
            let kept = match path.as_str() {
                "/kv-events" => {
                    let wait = head
                        .get("wait-ms")
                        .and_then(|it| it.parse().ok())
                        .unwrap_or(0);
                    thread::sleep(Duration::from_millis(wait));
                    Some("{\"epoch\":1,\"next\":1,\"lost\":false,\"events\":[]}")
                }
                "/kv-list" => Some("{\"epoch\":1,\"next\":1,\"held\":[]}"),
                "/health" => Some("{}"),
                _ => None,
            };
            let sent = if let Some(body) = kept {
                conn.send(&format!(
                    "HTTP/1.1 200 OK\r\n{instance}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                ))
            } else if head
                .get("x-knapweedgate-expect-instance")
                .is_some_and(|it| it != self.id)
            {
                self.log("other", &head, "421");
                conn.send(&format!(
                    "HTTP/1.1 421 Misdirected Request\r\n{instance}X-Knapweedgate-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                ))
            } else {
                match self.admit() {
                    None => {
                        self.log("full", &head, "503");
                        late = self.is_doubled().then(|| SHED.to_owned());
                        conn.send(SHED)
                    }
                    Some(number) => {
                        self.log("run", &head, "");
                        self.check_cold(&head);
                        let result = self.run(&mut conn, &head, &path, number);
                        self.leave();
                        let how = if result.is_ok() {
                            "whole"
                        } else {
                            "caller-gone"
                        };
                        self.log("end", &head, how);
                        result.map(|answer| late = answer.filter(|_| self.is_doubled()))
                    }
                }
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn run(
        &self,
        conn: &mut Conn,
        head: &Head,
        path: &str,
        number: u64,
    ) -> std::io::Result<Option<String>> {
        let request = head.get("x-knapweedgate-request-id").unwrap_or("");
        let own = format!(
            "X-Knapweedgate-Request-Id: {request}\r\nX-Knapweedgate-Server-Seal: seal.{}.{number}\r\n",
            self.id
        );
        let whole = format!(
            "HTTP/1.1 200 OK\r\n{own}Content-Length: 800\r\n\r\n{}",
            "x".repeat(800)
        );
        match path.rsplit('/').next().unwrap_or("") {
            name @ ("fatal" | "fatal-late") if self.is_fatal => {
                if name == "fatal-late" {
                    conn.send(&whole[..whole.len() - 700])?;
                }
                thread::sleep(Duration::from_millis(20));
                self.log("crash", head, "");
                std::process::exit(101);
            }
            name @ ("stream" | "long" | "short") => {
                let after = head
                    .get("last-event-id")
                    .and_then(|it| it.parse().ok())
                    .unwrap_or(0_u64);
                conn.send(&format!("HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))?;
                let (last, pause) = match name {
                    "long" => (1000, 100),
                    "short" => (1, 0),
                    _ => (16, 150),
                };
                for event in after + 1..=last {
                    let is_newest = self.gate.lock().unwrap().newest == number;
                    // The memory runs out: the newest request is preempted, once.
                    if name == "stream" && event == 9 && is_newest && !self.preempt.is_zero() {
                        self.log("preempted", head, "event=9");
                        thread::sleep(self.preempt);
                    }
                    let text = format!("id: {event}\ndata: token {event}\n\n");
                    conn.send(&format!("{:x}\r\n{text}\r\n", text.len()))?;
                    thread::sleep(Duration::from_millis(pause));
                }
                conn.send("0\r\n\r\n")?;
                Ok(None)
            }
            _ => {
                thread::sleep(self.work);
                conn.send(&whole)?;
                Ok(Some(whole))
            }
        }
    }
}

fn worker_main(args: &[String]) {
    let get = |name: &str| {
        let at = args.iter().position(|it| it == name);
        at.and_then(|at| args.get(at + 1))
            .cloned()
            .unwrap_or_default()
    };
    let number = |name: &str| get(name).parse::<u64>().unwrap_or(0);
    let log = OpenOptions::new()
        .append(true)
        .create(true)
        .open(get("--log"))
        .expect("the log");
    let address: SocketAddr = get("--listen").parse().expect("an address");
    // The former incarnation may just have ended.
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    };
    let worker = Arc::new(Worker {
        id: get("--id"),
        slots: number("--slots") as usize,
        queue: number("--queue") as usize,
        work: Duration::from_millis(number("--work")),
        is_fatal: number("--fatal") == 1,
        preempt: Duration::from_millis(number("--preempt")),
        extra: number("--extra"),
        answers: AtomicU64::new(0),
        started: wall_ms(),
        tolerated: number("--tolerated") as usize,
        cold_until: AtomicU64::new(wall_ms() + number("--cold")),
        recent: Mutex::default(),
        log: Mutex::new(log),
        gate: Mutex::new(Gate {
            running: 0,
            waiting: 0,
            newest: 0,
        }),
        freed: Condvar::new(),
        begun: AtomicU64::new(0),
    });
    for stream in listener.incoming().flatten() {
        let worker = worker.clone();
        thread::spawn(move || worker.serve(Conn::new(stream)));
    }
}
