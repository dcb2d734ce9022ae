// Routers and workers as processes, with the settings of a small deployment.

/// The bounds of the sites halvorsen-mill and sparkontroll.
const STABLE_MS: u64 = 3_000;
const GRACE_S: u64 = 8;
const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const HOST: &str = "ficu95.example";

struct Router {
    name: String,
    callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    started: u64,
}

struct WorkerSlot {
    service: &'static str,
    options: Vec<String>,
    address: SocketAddr,
    slots: u64,
    id: String,
    born: u64,
    child: Option<Child>,
}

struct Fleet {
    directory: PathBuf,
    store: Store,
    routers: Vec<Router>,
    workers: Vec<WorkerSlot>,
    arrivals: PathBuf,
    record: Arc<Mutex<File>>,
    numbers: u64,
    program: PathBuf,
}

fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

impl Fleet {
    fn new(folder: &PathBuf, name: &str) -> std::io::Result<Self> {
        let directory = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let record = File::create(folder.join("record.txt"))?;
        Ok(Self {
            arrivals: directory.join("arrivals.log"),
            store: Store::start()?,
            directory,
            routers: Vec::new(),
            workers: Vec::new(),
            record: Arc::new(Mutex::new(record)),
            numbers: 0,
            program: std::env::current_exe()?,
        })
    }

    fn note(&self, text: &str) {
        note(&self.record, text);
    }

    /// Sets up routers with the template of the deploy file, filled in.
    fn add_routers(&mut self, count: usize) {
        let port = (0..2000).map(|it| 21_000 + (std::process::id() as u16 % 4000) + it);
        let is_free = |port: &u16| {
            (1..=count).all(|it| {
                let ip = format!("127.0.1.{it}");
                UdpSocket::bind((ip.as_str(), *port)).is_ok()
                    && TcpListener::bind((ip.as_str(), *port)).is_ok()
            })
        };
        let control = port.into_iter().find(is_free).expect("a free control port");
        let seeds: Vec<String> = (1..=count.min(3))
            .map(|it| format!("127.0.1.{it}:{control}"))
            .collect();
        for number in 1..=count {
            let ip = format!("127.0.1.{number}");
            let (callers, ready) = (free_address("127.0.0.1"), free_address("127.0.0.1"));
            let metrics = free_address(&ip);
            let text = format!(
                "name: front-a-{number}\ndata_centre: a\nlisten: {callers}\ncontrol: {ip}:{control}\n\
                 operators: {ready}\nmetrics: {metrics}\nstore: {}\npeers: [{}]\ndescriptors: 4100\n\
                 stop_limit: {GRACE_S}s\nbounds:\n  revoke: 5000ms\n  drain: 2000ms\n  config: 2000ms\n  \
                 retry_ratio: 0.2\n  retry_slack: 56\n  retry_window: 10s\n  cold_over: 1.5\n  cold_slack: 5\n\
                 engine:\n  read_rate: 50\n  wait_share: 0.75\n  reread: 4\n  yielding: 1\n\
                 routing:\n  kept_parts: true\n  spare_capacity: true\n  slot_counts: true\n",
                self.store.address,
                seeds.join(",")
            );
            let settings = self.directory.join(format!("router-{number}.yaml"));
            fs::write(&settings, text).expect("the settings can be written");
            self.routers.push(Router {
                name: format!("front-a-{number}"),
                callers,
                ready,
                settings,
                log: self.directory.join(format!("router-{number}.log")),
                child: None,
                started: 0,
            });
        }
    }

    fn start_router(&mut self, number: usize) {
        let router = &mut self.routers[number];
        let log = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&router.log)
            .expect("a log");
        let child = Command::new("target/deploy/knapweed-edge")
            .arg("--settings")
            .arg(&router.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the router starts");
        router.child = Some(child);
        router.started = wall_ms();
        let text = format!("router {} starts", router.name);
        self.note(&text);
    }

    fn is_ready(&self, number: usize) -> bool {
        let Ok(mut conn) = Conn::open(self.routers[number].ready) else {
            return false;
        };
        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = conn.send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        sent.is_ok() && matches!(conn.head(), Ok(Some(head)) if head.status() == 200)
    }

    /// Waits until a router is ready; `false` after 10 s.
    fn wait_ready(&self, number: usize) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready(number) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn signal_router(&self, number: usize, signal: &str) {
        if let Some(child) = &self.routers[number].child {
            self.note(&format!(
                "router {} gets SIG{signal}",
                self.routers[number].name
            ));
            // The shell's own command, which is there on every machine.
            let _ = Command::new("sh")
                .args(["-c", &format!("kill -{signal} {}", child.id())])
                .status();
        }
    }

    /// Waits for the end of a router that is being stopped; kills it after the grace time.
    fn wait_router(&mut self, number: usize) {
        let until = Instant::now() + Duration::from_secs(GRACE_S);
        if let Some(mut child) = self.routers[number].child.take() {
            while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
                thread::sleep(Duration::from_millis(20));
            }
            let _ = child.kill();
            let _ = child.wait();
            self.note(&format!("router {} has ended", self.routers[number].name));
        }
    }

    /// Adds a worker and starts it.
    fn add_worker(&mut self, service: &'static str, slots: u64, options: &[(&str, u64)]) {
        let options = options
            .iter()
            .flat_map(|(name, value)| [format!("--{name}"), value.to_string()]);
        self.workers.push(WorkerSlot {
            service,
            options: options.collect(),
            address: free_address("127.0.0.1"),
            slots,
            id: String::new(),
            born: 0,
            child: None,
        });
        self.start_worker(self.workers.len() - 1, None, 0);
    }

    /// Starts an incarnation of a worker, with a new id unless one is given, and registers it.
    fn start_worker(&mut self, number: usize, id: Option<String>, cold_ms: u64) {
        self.numbers += 1;
        let id = id.unwrap_or_else(|| format!("i-{:08x}", 0x7f3a_0000 + self.numbers));
        let worker = &mut self.workers[number];
        let child = Command::new(&self.program)
            .arg("worker")
            .args(["--id", &id, "--listen", &worker.address.to_string()])
            .args(["--log", &self.arrivals.display().to_string()])
            .args([
                "--slots",
                &worker.slots.to_string(),
                "--cold",
                &cold_ms.to_string(),
            ])
            .args(&worker.options)
            .stdin(Stdio::null())
            .current_dir(&self.directory)
            .spawn()
            .expect("the worker starts");
        (worker.child, worker.id, worker.born) = (Some(child), id.clone(), wall_ms());
        let address = worker.address;
        let until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < until && TcpStream::connect(address).is_err() {
            thread::sleep(Duration::from_millis(5));
        }
        self.note(&format!("worker {id} listens"));
        self.register(number, "ready", cold_ms);
    }

    fn register(&mut self, number: usize, state: &str, cold_ms: u64) {
        let worker = &self.workers[number];
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"coldRemainingMs\":{cold_ms},\"born\":{},\"seq\":1}}",
            worker.service, worker.address, worker.slots, worker.born
        );
        self.store.put(&format!("servers/{}", worker.id), &entry);
        self.note(&format!(
            "worker {} writes its entry, {state}, cold for {cold_ms} ms",
            worker.id
        ));
    }

    /// The workers whose processes have ended since the last call.
    fn crashed(&mut self) -> Vec<usize> {
        let mut ended = Vec::new();
        for (number, worker) in self.workers.iter_mut().enumerate() {
            if let Some(child) = &mut worker.child {
                if !matches!(child.try_wait(), Ok(None)) {
                    worker.child = None;
                    ended.push(number);
                }
            }
        }
        ended
    }

    /// What workers logged so far: the time, the worker, the event and the whole line.
    fn arrivals(&self) -> Vec<Logged> {
        let text = fs::read_to_string(&self.arrivals).unwrap_or_default();
        let lines = text.lines().filter_map(|line| {
            let mut words = line.split(' ');
            let at = words.next()?.parse().ok()?;
            let worker = words.next()?.strip_prefix("worker=")?.to_owned();
            let event = words.next()?.to_owned();
            let request = words.next()?.strip_prefix("request=")?.to_owned();
            Some(Logged {
                at,
                worker,
                event,
                request,
                line: line.to_owned(),
            })
        });
        lines.collect()
    }

    /// Ends all processes and closes the record.
    fn end(mut self, code: i32) -> i32 {
        self.stop();
        for logged in self.arrivals() {
            let at = logged.line.split_once(' ').map_or("", |(_, rest)| rest);
            let _ = writeln!(
                self.record.lock().unwrap(),
                "{} at a worker: {at}",
                logged.at
            );
        }
        self.note(&format!("exit {code}"));
        match std::env::var("KEEP") {
            Ok(_) => eprintln!("logs: {}", self.directory.display()),
            Err(_) => {
                let _ = fs::remove_dir_all(&self.directory);
            }
        }
        code
    }
}

impl Fleet {
    fn stop(&mut self) {
        let routers = self.routers.iter_mut().map(|it| &mut it.child);
        let workers = self.workers.iter_mut().map(|it| &mut it.child);
        for child in routers.chain(workers).flatten() {
            // A process that has ended already needs no signal.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Also where a case fails, no process is left.
impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Logged {
    at: u64,
    worker: String,
    event: String,
    request: String,
    line: String,
}

fn note(record: &Mutex<File>, text: &str) {
    let _ = writeln!(record.lock().unwrap(), "{} {text}", wall_ms());
}

/// The text of a request.
fn request_text(method: &str, path: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    let length = if method == "POST" {
        "Content-Length: 4\r\n"
    } else {
        ""
    };
    let body = if method == "POST" { "body" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Knapweedgate-Request-Id: {id}\r\n\
         X-Knapweedgate-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{more}{length}\r\n{body}"
    )
}

/// Sends a request on a connection and reads the whole answer; the status, or 0.
fn call(conn: &mut Conn, text: &str, deadline_ms: u64) -> (u16, Option<String>) {
    let _ = conn
        .stream
        .set_read_timeout(Some(Duration::from_millis(deadline_ms)));
    if conn.send(text).is_err() {
        return (0, None);
    }
    let Ok(Some(head)) = conn.head() else {
        return (0, None);
    };
    let status = head.status();
    let retry = head.get("retry-after").map(str::to_owned);
    match conn.body(&head) {
        Ok(_) => (status, retry),
        Err(_) => (0, None),
    }
}

/// The configuration of the cases: a route of each kind that they need.
fn config(version: u64, cold_per_s: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, aim: u64, resumable: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":{aim},\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\"authExempt\":false,\"sticky\":{resumable},\"resumable\":{resumable},\"gapAimMs\":250}}"
        )
    };
    let routes = [
        route("lookup", "safe", "desk", 3000, 300, false),
        route("book", "unsafe", "desk", 3000, 300, false),
        route("review", "streaming", "llm", 15000, 800, true),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":{cold_per_s}.0}},{{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0,\"engine\":{{\"slots\":8,\"kvCapacity\":527571,\"kvBytes\":163840,\"linkMbps\":1100000.0,\"moves\":false,\"backups\":false,\"stride\":6,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":230000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
