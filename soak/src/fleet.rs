//! Real router processes, with stand-ins for the store and the targets behind proxies.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use livetests::edge::{EdgeConfig, http_get};
use livetests::process::{Process, Signal};
use serde_json::{Value, json};
use standins::platform::{ScriptedTarget, Store, StoreMode};

use crate::proxy::{LinkMode, Proxy};
use crate::schedule::FleetSize;

/// The key of the team `red`, which is always valid.
pub const RED_KEY: &str = "key-of-red";

/// The key of the team `loose`, which some faults revoke.
pub const REVOCABLE_KEY: &str = "key-of-loose";

/// The timeout of all routes.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The maximum duration of a planned stop.
pub const STOP_LIMIT: Duration = Duration::from_secs(8);

/// How long a restarted target is cold.
pub const COLD_DURATION: Duration = Duration::from_secs(3);

/// The request rate of a cold target, per second.
pub const COLD_REQUESTS_PER_SECOND: u32 = 14;

/// By how much the fleet may exceed the rate of a cold target: a factor, and additional requests.
pub const COLD_TOLERANCE: (f64, f64) = (1.5, 5.0);

/// The interval of the load balancer's health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The interval for polling the state of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A router process and its files.
#[derive(Debug)]
struct Router {
    process: Option<Process>,
    store: Proxy,
    file: PathBuf,
    log: PathBuf,
    settings: String,
}

/// The incarnation of a target as registered in the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Incarnation {
    started_ms: u64,
    cold_duration: Duration,
}

/// The parts of the configuration that change during a run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct ConfigState {
    version: u64,
    has_revocable_key: bool,
}

/// A target with its proxy.
#[derive(Debug)]
struct Target {
    scripted: ScriptedTarget,
    proxy: Proxy,
    incarnation: Mutex<Incarnation>,
}

/// A fleet of router processes with a store and targets.
#[derive(Debug)]
pub struct Fleet {
    store: Store,
    targets: Vec<Target>,
    routers: Vec<Mutex<Router>>,
    config: Mutex<ConfigState>,
    /// Whether the load balancer sends new connections to each router.
    in_rotation: Vec<AtomicBool>,
}

impl Fleet {
    /// Starts all processes, with their settings and logs in `directory`.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or does not become ready.
    pub async fn start(directory: &Path, size: FleetSize) -> eyre::Result<Self> {
        std::fs::create_dir_all(directory)?;
        let mut fleet = Self {
            store: Store::start().await?,
            targets: Vec::new(),
            routers: Vec::new(),
            in_rotation: (0..size.routers).map(|_| AtomicBool::new(true)).collect(),
            config: Mutex::new(ConfigState {
                version: 0,
                has_revocable_key: true,
            }),
        };
        fleet.write_config();
        for number in 0..size.targets {
            let scripted = ScriptedTarget::start(&format!("t{number}")).await?;
            let target = Target {
                proxy: Proxy::start(scripted.address()).await?,
                scripted,
                incarnation: Mutex::new(Incarnation {
                    started_ms: 1_700_000_000_000,
                    cold_duration: Duration::ZERO,
                }),
            };
            fleet.targets.push(target);
            fleet.write_target_entry(number, "ready");
        }
        let control = free_port()?;
        // All peers use the same port, so each fleet needs its own addresses.
        let subnet = control % 250;
        for number in 0..size.routers {
            let store = Proxy::start(fleet.store.address()).await?;
            let settings = format!(
                "name: edge-{number}\ndata_centre: north\nlisten: 127.0.0.1:0\n\
                 control: 127.1.{subnet}.{}:{control}\noperators: 127.2.{subnet}.{}:{control}\nstore: {}\n\
                 peers: [127.1.{subnet}.1:9, 127.1.{subnet}.2:9]\nstop_limit: {}s\nbounds:\n  revoke: 5s\n\
                 \x20 cold_over: {}\n  cold_slack: {}\n",
                number + 1,
                number + 1,
                store.address(),
                STOP_LIMIT.as_secs(),
                COLD_TOLERANCE.0,
                COLD_TOLERANCE.1,
            );
            let router = Router {
                process: None,
                store,
                file: directory.join(format!("edge-{number}.yaml")),
                log: directory.join(format!("edge-{number}.log")),
                settings,
            };
            fleet.routers.push(Mutex::new(router));
            fleet.start_router(number).await?;
        }
        for number in 0..size.routers {
            fleet.wait_until_ready(number).await?;
        }
        Ok(fleet)
    }

    /// The number of routers.
    pub fn router_count(&self) -> usize {
        self.routers.len()
    }

    /// The address for callers' requests; `None` if the router is down.
    pub fn caller_address(&self, router: usize) -> Option<SocketAddr> {
        let router = lock(&self.routers[router]);
        router.process.as_ref().map(|it| it.address("callers"))
    }

    /// The scripted targets with their indices.
    pub fn targets(&self) -> impl Iterator<Item = (usize, &ScriptedTarget)> {
        self.targets.iter().map(|it| &it.scripted).enumerate()
    }

    /// Starts a router that is not running.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub async fn start_router(&self, number: usize) -> eyre::Result<()> {
        let (file, log) = {
            let router = lock(&self.routers[number]);
            std::fs::write(&router.file, &router.settings)?;
            (router.file.clone(), router.log.clone())
        };
        let args = ["--settings".to_owned(), file.display().to_string()];
        let process = Process::start_appending("knapweed-edge", &args, &log).await;
        let process = process.wrap_err("cannot start the edge router")?;
        lock(&self.routers[number]).process = Some(process);
        Ok(())
    }

    async fn wait_until_ready(&self, number: usize) -> eyre::Result<()> {
        for _ in 0..500 {
            if self.is_ready(number).await {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(eyre::eyre!("router {number} did not become ready"))
    }

    async fn is_ready(&self, number: usize) -> bool {
        let operators = {
            let router = lock(&self.routers[number]);
            let process = router.process.as_ref();
            process.map(|process| process.address("operators"))
        };
        let Some(operators) = operators else {
            return false;
        };
        let response = http_get(operators, "/ready").await;
        response.is_some_and(|response| response.contains(" 200 "))
    }

    /// Checks the readiness of a router as the load balancer of the platform does: after two
    /// failures the router gets no new connections until it is ready again.
    pub async fn run_health_checks(&self, number: usize) {
        let mut failures = 0;
        loop {
            failures = if self.is_ready(number).await {
                0
            } else {
                failures + 1
            };
            self.in_rotation[number].store(failures < 2, Ordering::Relaxed);
            tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
        }
    }

    /// The routers that get new connections; all routers if none is ready.
    pub fn routers_in_rotation(&self) -> Vec<usize> {
        let all = 0..self.routers.len();
        let ready = all
            .clone()
            .filter(|&it| self.in_rotation[it].load(Ordering::Relaxed));
        let ready: Vec<usize> = ready.collect();
        if ready.is_empty() {
            all.collect()
        } else {
            ready
        }
    }

    /// Sends a signal to a router if it is running.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn signal(&self, router: usize, signal: Signal) -> eyre::Result<()> {
        let router = lock(&self.routers[router]);
        router
            .process
            .as_ref()
            .map_or(Ok(()), |it| it.signal(signal))
    }

    /// Kills a router.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed.
    pub fn kill(&self, router: usize) -> eyre::Result<()> {
        let process = lock(&self.routers[router]).process.take();
        process.map_or(Ok(()), |mut process| process.kill())
    }

    /// Waits until a stopping router has exited or `limit` has passed, and returns the time taken.
    ///
    /// # Errors
    ///
    /// Returns an error if the state of the process cannot be read.
    pub async fn wait_until_stopped(
        &self,
        router: usize,
        limit: Duration,
    ) -> eyre::Result<Duration> {
        let started = Instant::now();
        loop {
            let is_up = self.exit_observed_at(router)?.is_none();
            let took = started.elapsed();
            if !is_up || took > limit {
                lock(&self.routers[router]).process = None;
                return Ok(took);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// The current time if a router that should be running has exited; `None` otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if the state of the process cannot be read.
    pub fn exit_observed_at(&self, router: usize) -> eyre::Result<Option<Instant>> {
        let mut router = lock(&self.routers[router]);
        let ended = match &mut router.process {
            Some(process) => process.exit_status()?,
            None => None,
        };
        Ok(ended.map(|_| Instant::now()))
    }

    /// Rewrites a router's settings file with the same settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn rewrite_settings(&self, router: usize) -> eyre::Result<()> {
        let router = lock(&self.routers[router]);
        let text = format!("# Rewritten.\n{}", router.settings);
        Ok(std::fs::write(&router.file, text)?)
    }

    /// Sets the mode of the link between a router and the store.
    pub fn set_store_link_mode(&self, router: usize, mode: LinkMode) {
        lock(&self.routers[router]).store.set_mode(mode);
    }

    /// Sets the mode of the link to a target.
    pub fn set_target_link_mode(&self, target: usize, mode: LinkMode) {
        self.targets[target].proxy.set_mode(mode);
    }

    /// Sets how the store handles requests.
    pub fn set_store_mode(&self, mode: StoreMode) {
        self.store.set_mode(mode);
    }

    /// Compacts the history of the store.
    pub fn compact_store(&self) {
        self.store.compact();
    }

    /// Revokes or restores the revocable key.
    pub fn set_revocable_key(&self, has_revocable_key: bool) {
        lock(&self.config).has_revocable_key = has_revocable_key;
        self.write_config();
    }

    /// Writes a new version of the configuration.
    pub fn write_config(&self) {
        let mut config = lock(&self.config);
        config.version += 3;
        let edge_config = EdgeConfig {
            version: config.version,
            keys: vec![RED_KEY],
            timeout_ms: ROUTE_TIMEOUT.as_millis() as u64,
            ..EdgeConfig::default()
        };
        let mut value = edge_config.to_json();
        let keys: Value = if config.has_revocable_key {
            json!([REVOCABLE_KEY])
        } else {
            json!([])
        };
        let tenant = json!({ "name": "loose", "apiKeys": keys });
        if let Some(tenants) = value["tenants"].as_array_mut() {
            tenants.push(tenant);
        }
        value["services"][0]["coldPerS"] = json!(COLD_REQUESTS_PER_SECOND);
        value["services"][0]["coldStartS"] = json!(COLD_DURATION.as_secs_f64());
        self.store.put("op/config", &value);
    }

    /// Writes the entry of a target to the store.
    pub fn write_target_entry(&self, number: usize, state: &str) {
        let target = &self.targets[number];
        let incarnation = *lock(&target.incarnation);
        let mut entry = target.scripted.entry("desk", state);
        entry["address"] = json!(target.proxy.address());
        entry["born"] = json!(incarnation.started_ms);
        entry["coldRemainingMs"] = json!(incarnation.cold_duration.as_millis() as u64);
        self.store.put(&target.scripted.key(), &entry);
    }

    /// Deletes the entry of a target from the store.
    pub fn delete_target_entry(&self, number: usize) {
        self.store.delete(&self.targets[number].scripted.key());
    }

    /// Registers a new, cold incarnation of a target.
    pub fn restart_target(&self, number: usize) {
        {
            let mut incarnation = lock(&self.targets[number].incarnation);
            incarnation.started_ms += 1_000;
            incarnation.cold_duration = COLD_DURATION;
        }
        self.write_target_entry(number, "ready");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn free_port() -> eyre::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}
