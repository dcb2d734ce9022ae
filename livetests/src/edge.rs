//! Edge routers as real processes, with a store and targets inside the test process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use eyre::WrapErr;
use serde_json::{Value, json};
use standins::platform::{Arrival, ScriptedTarget, Store, StoreMode, raw_exchange};
pub use standins::platform::{RawResponse, raw_call};

use crate::process::{Process, Signal};
use crate::wait_until;

/// The API key of the team `red`.
pub const RED_KEY: &str = "key-of-red";

/// A port that the system assigns.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The address at which the first router of a fleet receives datagrams; the others follow.
const FIRST_CONTROL_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);

/// The data centre of every process.
const DATA_CENTRE: &str = "north";

/// The parts of the configuration that tests vary.
#[derive(Clone, Debug)]
pub struct EdgeConfig {
    /// The configuration version.
    pub version: u64,
    /// The API keys of the team `red`.
    pub keys: Vec<&'static str>,
    /// Whether the list of teams holds the team `red`, or is empty.
    pub has_team: bool,
    /// The timeout of all routes, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the targets have engines that keep prompts.
    pub has_engine: bool,
    /// The requests per second that a cold target tolerates; 0 for no limit.
    pub cold_per_s: f64,
}

impl Default for EdgeConfig {
    fn default() -> Self {
        Self {
            version: 1,
            keys: vec![RED_KEY],
            has_team: true,
            timeout_ms: 5_000,
            has_engine: false,
            cold_per_s: 0.0,
        }
    }
}

impl EdgeConfig {
    /// The configuration with the routes `/safe/`, `/once/`, `/open/`, `/stream/` and `/resume/`.
    pub fn to_json(&self) -> Value {
        let engine = json!({ "slots": 8, "kvCapacity": 100_000 });
        let tenant = json!({ "name": "red", "apiKeys": self.keys });
        let tenants = Vec::from_iter(self.has_team.then_some(tenant));
        let route = |name: &str, kind: &str, resumable: bool, open: bool| {
            json!({
                "name": name,
                "host": "desk.example",
                "prefix": format!("/{name}/"),
                "kind": kind,
                "timeoutMs": self.timeout_ms,
                "targetLatencyMs": 300,
                "priority": 1,
                "service": "desk",
                "maxAttempts": 2,
                "authExempt": open,
                "sticky": false,
                "resumable": resumable,
            })
        };
        json!({
            "version": self.version,
            "routes": [
                route("safe", "safe", false, false),
                route("once", "unsafe", false, false),
                route("open", "safe", false, true),
                route("stream", "streaming", false, false),
                route("resume", "streaming", true, false),
            ],
            "services": [{
                "name": "desk",
                "healthPath": "/health",
                "maxConns": 100,
                "coldStartS": 0.0,
                "coldPerS": self.cold_per_s,
                "engine": self.has_engine.then_some(engine),
            }],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 100_000,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                "tokensPerS": 100_000,
            },
            "tenants": tenants,
        })
    }
}

/// A fleet of edge routers.
#[derive(Debug)]
pub struct EdgeFleet {
    /// The store.
    pub store: Store,
    /// The targets.
    pub targets: Vec<ScriptedTarget>,
    /// The routers.
    pub routers: Vec<Process>,
    /// The port for datagrams, the same on all routers.
    control: u16,
    directory: PathBuf,
    /// Lines at the end of the settings of routers that are started.
    pub more_settings: &'static str,
}

impl EdgeFleet {
    /// Starts routers and targets and waits until every router is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(name: &str, routers: usize, targets: usize) -> eyre::Result<Self> {
        Self::start_versions(name, routers, &vec!["v1"; targets]).await
    }

    /// Starts routers, and a target of each of these software versions, and waits until
    /// every router is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start_versions(
        name: &str,
        routers: usize,
        versions: &[&str],
    ) -> eyre::Result<Self> {
        let directory =
            std::env::temp_dir().join(format!("knapweed-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let store = Store::start().await?;
        let mut fleet = Self {
            store,
            targets: Vec::new(),
            routers: Vec::new(),
            control: free_control_port()?,
            directory,
            more_settings: "",
        };
        fleet
            .store
            .put("op/config", &EdgeConfig::default().to_json());
        for version in versions {
            fleet.add_target(version).await?;
        }
        for _ in 0..routers {
            fleet.start_router(ANY_PORT)?;
        }
        fleet.wait_until_ready().await;
        Ok(fleet)
    }

    /// Starts one more router and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub async fn add_router(&mut self) -> eyre::Result<()> {
        self.start_router(ANY_PORT)?;
        self.wait_until_ready().await;
        Ok(())
    }

    /// Starts one more router, with a store of its own that answers no call.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub async fn add_router_without_store(&mut self) -> eyre::Result<()> {
        let silent = Store::start().await?;
        silent.set_mode(StoreMode::Silent);
        self.start_router_at(silent.address(), ANY_PORT)
    }

    /// Starts and registers a target of a software version.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn add_target(&mut self, version: &str) -> eyre::Result<()> {
        let target = ScriptedTarget::start(&format!("t{}", self.targets.len())).await?;
        let entry = target.versioned_entry("desk", "ready", version);
        self.store.put(&target.key(), &entry);
        self.targets.push(target);
        Ok(())
    }

    /// Registers a target that listens at this address.
    pub fn register(&self, id: &str, address: SocketAddr) {
        let entry = json!({
            "service": "desk",
            "address": address,
            "zone": DATA_CENTRE,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "born": 1_700_000_000_000_u64,
            "seq": 1,
        });
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Starts and registers targets that crash on a request with a part in its prompt.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn add_fragile_targets(&mut self, count: usize, part: &str) -> eyre::Result<()> {
        for _ in 0..count {
            let id = format!("t{}", self.targets.len());
            let target = ScriptedTarget::start_fragile(&id, Some(part)).await?;
            self.store
                .put(&target.key(), &target.entry("desk", "ready"));
            self.targets.push(target);
        }
        Ok(())
    }

    /// Starts one more router that serves operators at this address.
    ///
    /// # Errors
    ///
    /// Returns an error if the process exits before it listens.
    pub fn start_router(&mut self, operators: SocketAddr) -> eyre::Result<()> {
        self.start_router_at(self.store.address(), operators)
    }

    /// Starts one more router, which reads the store at this address.
    ///
    /// # Errors
    ///
    /// Returns an error if the process exits before it listens.
    pub fn start_router_at(
        &mut self,
        store: SocketAddr,
        operators: SocketAddr,
    ) -> eyre::Result<()> {
        let (number, control) = (self.routers.len(), self.control);
        let ip = format!("127.0.1.{}", number + 1);
        let settings = format!(
            "name: edge-{number}\ndata_centre: {DATA_CENTRE}\nlisten: 127.0.0.1:0\n\
             control: {ip}:{control}\noperators: {operators}\nstore: {store}\n\
             peers: [127.0.1.1:9, 127.0.1.2:9]\nstop_limit: 6s\nbounds:\n  revoke: 5s\n{}",
            self.more_settings
        );
        let file = self.directory.join(format!("edge-{number}.yaml"));
        std::fs::write(&file, settings)?;
        let args = ["--settings".to_owned(), file.display().to_string()];
        let log = self.directory.join(format!("edge-{number}.log"));
        let router = Process::start("knapweed-edge", &args, &log);
        self.routers
            .push(router.wrap_err("cannot start the edge router")?);
        Ok(())
    }

    /// Waits until every router reports that it is ready.
    pub async fn wait_until_ready(&self) {
        for router in &self.routers {
            let operators = router.address("operators");
            wait_until("the router is ready", || async move {
                http_get(operators, "/ready")
                    .await
                    .filter(|text| text.contains(" 200 "))
            })
            .await;
        }
    }

    /// Sends a request with [`RED_KEY`] to the first router.
    pub async fn send(&self, method: &str, path: &str, id: &str) -> String {
        self.send_to(0, method, path, id, Some(RED_KEY)).await
    }

    /// Sends a request to a router and returns the raw response; empty on an I/O error.
    pub async fn send_to(
        &self,
        router: usize,
        method: &str,
        path: &str,
        id: &str,
        key: Option<&str>,
    ) -> String {
        let address = self.routers[router].address("callers");
        let request = request_text(method, path, id, key);
        raw_call(address, &request).await.unwrap_or_default()
    }

    /// Sends a generation request with [`RED_KEY`] and these prompt parts to a router and
    /// returns the raw response; empty on an I/O error.
    pub async fn send_prompt(&self, router: usize, path: &str, id: &str, parts: &str) -> String {
        self.send_long_prompt(router, path, id, 900, parts).await
    }

    /// Like [`Self::send_prompt`], with this number of tokens in the prompt.
    pub async fn send_long_prompt(
        &self,
        router: usize,
        path: &str,
        id: &str,
        tokens: u32,
        parts: &str,
    ) -> String {
        let address = self.routers[router].address("callers");
        let request = request_text("GET", path, id, Some(RED_KEY));
        let headers = format!(
            "X-Knapweedgate-Token-Usage: {tokens},80\r\n\
             X-Knapweedgate-Prompt-Prefix: {parts}\r\n\r\n"
        );
        let request = request.replacen("\r\n\r\n", &format!("\r\n{headers}"), 1);
        raw_call(address, &request).await.unwrap_or_default()
    }

    /// Sends a request with [`RED_KEY`] to the first router and returns everything received.
    ///
    /// # Errors
    ///
    /// Returns an error if the request cannot be sent.
    pub async fn receive(&self, method: &str, path: &str, id: &str) -> eyre::Result<RawResponse> {
        let address = self.routers[0].address("callers");
        let request = request_text(method, path, id, Some(RED_KEY));
        Ok(raw_exchange(address, &request).await?)
    }

    /// Takes a stream with these prompt parts up again, like [`Self::take_up`].
    pub async fn take_up_prompt(
        &self,
        router: usize,
        path: &str,
        (id, began): (&str, &str),
        parts: &str,
    ) -> String {
        let address = self.routers[router].address("callers");
        let request = request_text("GET", path, id, Some(RED_KEY));
        let headers = format!(
            "Last-Event-Id: 4\r\nResumes: {began}\r\nX-Knapweedgate-Token-Usage: 900,80\r\n\
             X-Knapweedgate-Prompt-Prefix: {parts}\r\n\r\n"
        );
        let request = request.replacen("\r\n\r\n", &format!("\r\n{headers}"), 1);
        raw_call(address, &request).await.unwrap_or_default()
    }

    /// Takes a stream up again at a router after an event, as the caller whose attempt
    /// `began` brought its first event.
    ///
    /// # Errors
    ///
    /// Returns an error if the request cannot be sent.
    pub async fn take_up(
        &self,
        router: usize,
        path: &str,
        id: &str,
        began: &str,
        after: u64,
    ) -> eyre::Result<RawResponse> {
        let address = self.routers[router].address("callers");
        let request = request_text("GET", path, id, Some(RED_KEY));
        let headers = format!("Last-Event-Id: {after}\r\nResumes: {began}\r\n\r\n");
        let request = request.replacen("\r\n\r\n", &format!("\r\n{headers}"), 1);
        Ok(raw_exchange(address, &request).await?)
    }

    /// The requests with this id that reached targets.
    pub fn arrivals(&self, id: &str) -> Vec<Arrival> {
        let all = self.targets.iter().flat_map(ScriptedTarget::arrivals);
        let header = "x-knapweedgate-request-id";
        all.filter(|it| it.request.header(header) == Some(id))
            .collect()
    }

    /// The number of requests that reached a target.
    pub fn arrival_count(&self, target: usize) -> usize {
        self.targets[target].arrivals().len()
    }

    /// Sends a signal to a router.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn signal(&self, router: usize, signal: Signal) -> eyre::Result<()> {
        self.routers[router].signal(signal)
    }

    /// Sends requests until one is answered with `status`.
    pub async fn wait_for_status(&self, router: usize, path: &str, key: Option<&str>, status: u16) {
        wait_until("the router answers with the expected status", || async {
            let answer = self.send_to(router, "GET", path, "waiting", key).await;
            (status_of(&answer) == status).then_some(())
        })
        .await;
    }
}

impl Drop for EdgeFleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the logs are kept in {}", self.directory.display());
            return;
        }
        // The directory is in the system's temporary directory, so it may be left behind.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the text of a request.
fn request_text(method: &str, path: &str, id: &str, key: Option<&str>) -> String {
    let key = key.map_or(String::new(), |key| {
        format!("Authorization: Bearer {key}\r\n")
    });
    let body = if method == "POST" {
        "Content-Length: 4\r\n\r\nbody"
    } else {
        "\r\n"
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\
         X-Knapweedgate-Request-Id: {id}\r\nX-Knapweedgate-Deadline-Ms: 4000\r\n\
         X-Knapweedgate-Tenant: blue\r\nX-Knapweedgate-Hold: forged\r\n{key}{body}"
    )
}

/// Starts a router that asks its only target which prompt parts it keeps, and waits for the
/// first call.
///
/// # Errors
///
/// Returns an error if a process does not start.
pub async fn start_with_kept_calls(name: &str) -> eyre::Result<EdgeFleet> {
    let mut fleet = EdgeFleet::start(name, 0, 1).await?;
    let config = EdgeConfig {
        version: 2,
        has_engine: true,
        ..EdgeConfig::default()
    };
    fleet.store.put("op/config", &config.to_json());
    fleet.more_settings = "routing:\n  kept_parts: true\n";
    fleet.add_router().await?;
    let target = fleet.targets[0].clone();
    wait_until("the target is asked what it keeps", || async {
        (!target.kept_calls().is_empty()).then_some(())
    })
    .await;
    Ok(fleet)
}

/// The status of a raw response; 0 if there is none.
pub fn status_of(answer: &str) -> u16 {
    let status = answer.split(' ').nth(1);
    status.and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// The body of a raw response, with its chunks joined.
pub fn body_of(answer: &str) -> String {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return String::new();
    };
    if !head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked")
    {
        return body.to_owned();
    }
    let mut rest = body;
    let mut joined = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        match usize::from_str_radix(size, 16) {
            Ok(size) if size > 0 && after.len() >= size => {
                joined.push_str(&after[..size]);
                rest = after[size..].trim_start_matches("\r\n");
            }
            _ => break,
        }
    }
    joined
}

/// Whether a chunked response has its final chunk.
pub fn is_complete_chunked(answer: &str) -> bool {
    answer.ends_with("0\r\n\r\n")
}

/// Whether a response looks complete to its caller.
pub fn looks_complete(response: &RawResponse) -> bool {
    let (head, body) = response.text.split_once("\r\n\r\n").unwrap_or_default();
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    match length {
        Some(length) => length.parse() == Ok(body.len()),
        None if head.contains("transfer-encoding: chunked") => is_complete_chunked(body),
        None => !head.is_empty() && !response.is_reset,
    }
}

/// Whether the end of a response is marked by a length or a final chunk.
pub fn is_framed(response: &RawResponse) -> bool {
    let (head, _) = response.text.split_once("\r\n\r\n").unwrap_or_default();
    let head = head.to_ascii_lowercase();
    head.contains("content-length: ") || head.contains("transfer-encoding: chunked")
}

/// The raw response of an operators' page; `None` on an error or after 2 s.
pub async fn http_get(operators: SocketAddr, path: &str) -> Option<String> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let answer = tokio::time::timeout(Duration::from_secs(2), raw_call(operators, &request)).await;
    answer.ok()?.ok()
}

/// The first port given to fleets. It lies below the ports that the system assigns, so that
/// no connection of a concurrent test takes it before the routers bind it.
const FIRST_PORT: u16 = 21_000;

/// The number of ports given to fleets.
const PORTS: u16 = 8_000;

/// The number of ports given out so far.
static PORTS_USED: AtomicU16 = AtomicU16::new(0);

/// Returns a port for the datagrams of a fleet that no other fleet uses.
fn free_control_port() -> eyre::Result<u16> {
    for _ in 0..PORTS {
        let offset = PORTS_USED.fetch_add(1, Ordering::Relaxed) % PORTS;
        let port = FIRST_PORT + offset;
        if UdpSocket::bind((FIRST_CONTROL_IP, port)).is_ok() {
            return Ok(port);
        }
    }
    eyre::bail!("no free port")
}
