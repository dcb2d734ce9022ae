//! Reads the counters of the stand-ins and the metrics of the operator listeners.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::counts::{Runs, Totals};

/// The maximum size of a response of an observed process, in bytes.
const MAX_OBSERVED_BYTES: usize = 64 << 20;

/// The timeout of one request to an observed process.
const OBSERVATION_TIMEOUT: Duration = Duration::from_secs(5);

/// The kind of a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A target whose stand-in is polled.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct TargetSpec {
    /// The target's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its kind.
    pub kind: TargetKind,
    /// The stand-in's address.
    pub address: SocketAddr,
}

/// The counters of the fleet at one time.
#[derive(Clone, PartialEq, Debug)]
pub struct Observation {
    /// The time since the start of the run.
    pub at: Duration,
    /// By the target's index; `None` if the target did not respond.
    pub totals: Vec<Option<Totals>>,
    /// The control bytes of all processes so far; `None` if no process reports them.
    pub control: Option<f64>,
}

/// The part of a target's counters that the checks need.
#[derive(Deserialize)]
struct Counts {
    runs: Runs,
}

/// The runs of all targets, summed.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct TargetRuns {
    /// Runs by request id.
    pub by_request: BTreeMap<String, u64>,
    /// Runs by idempotency key.
    pub by_key: BTreeMap<String, u64>,
    /// Targets that could not be read.
    pub unreadable: Vec<String>,
}

impl TargetRuns {
    /// Adds the runs of one target.
    pub fn add(&mut self, runs: &Runs) {
        let by_request = runs.by_request.iter().map(|(k, n)| (k.clone(), *n));
        for (request, runs) in by_request {
            *self.by_request.entry(request).or_default() += runs;
        }
        for (key, runs) in &runs.by_key {
            *self.by_key.entry(key.clone()).or_default() += runs;
        }
    }
}

/// Creates the client for the stand-ins and the operator listeners.
pub fn observation_client() -> Client {
    Client::builder().timeout(OBSERVATION_TIMEOUT).finish()
}

/// Reads the runs of all targets.
pub async fn fetch_target_runs(client: &Client, targets: &[TargetSpec]) -> TargetRuns {
    let mut target_runs = TargetRuns::default();
    for target in targets {
        match get_json::<Counts>(client, target.address, "/test/counts").await {
            Some(counts) => target_runs.add(&counts.runs),
            None => target_runs.unreadable.push(target.name.clone()),
        }
    }
    target_runs
}

/// Reads the summary counters of all targets and the control bytes of all processes.
pub async fn observe(
    client: &Client,
    at: Duration,
    targets: &[TargetSpec],
    operators: &[SocketAddr],
) -> Observation {
    let totals = targets
        .iter()
        .map(|target| get_json::<Totals>(client, target.address, "/test/totals"));
    let metrics = operators
        .iter()
        .map(|address| get(client, *address, "/metrics"));
    let (totals, metrics) = futures::join!(
        futures::future::join_all(totals),
        futures::future::join_all(metrics)
    );
    let control = metrics
        .into_iter()
        .flatten()
        .filter_map(|text| control_bytes(&String::from_utf8_lossy(&text)))
        .reduce(|a, b| a + b);
    Observation {
        at,
        totals,
        control,
    }
}

/// Sums the control-byte counters of a Prometheus text; returns `None` if it has none.
pub fn control_bytes(metrics: &str) -> Option<f64> {
    metrics
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| line.rsplit_once(' '))
        .filter(|(name, _)| is_control_bytes(name))
        .filter_map(|(_, value)| value.parse::<f64>().ok())
        .reduce(|a, b| a + b)
}

fn is_control_bytes(series: &str) -> bool {
    let name = series.split('{').next().unwrap_or(series);
    name.contains("control") && name.contains("bytes") && !name.contains("bucket")
}

async fn get_json<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Option<T> {
    serde_json::from_slice(&get(client, address, path).await?).ok()
}

async fn get(client: &Client, address: SocketAddr, path: &str) -> Option<Vec<u8>> {
    let mut response = client
        .get(format!("http://{address}{path}"))
        .send()
        .await
        .ok()?;
    let body = response.body().limit(MAX_OBSERVED_BYTES).await.ok()?;
    (response.status() == 200).then(|| body.to_vec())
}
