//! What the stand-ins and the operators' listeners tell during and after a run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::counts::{Runs, Totals};

/// The greatest answer of an observed process, in bytes.
const MAX_OBSERVED: usize = 64 << 20;

/// The time limit of one look at a process.
const OBSERVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The kind of a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A target whose stand-in is observed.
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

/// The fleet at one time.
#[derive(Clone, PartialEq, Debug)]
pub struct Observation {
    /// Since the start of the run.
    pub at: Duration,
    /// By the target's place in the list; nothing if it did not answer.
    pub totals: Vec<Option<Totals>>,
    /// Control bytes of all processes so far; nothing if none tells.
    pub control: Option<f64>,
}

/// The part of a target's counts that the promises need.
#[derive(Deserialize)]
struct Counts {
    runs: Runs,
}

/// What all targets ran, added up.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Truth {
    /// Runs by request id.
    pub by_request: BTreeMap<String, u64>,
    /// Runs by idempotency key.
    pub by_key: BTreeMap<String, u64>,
    /// Targets that could not be read.
    pub unread: Vec<String>,
}

impl Truth {
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

/// Makes the client that reads stand-ins and operators' listeners.
pub fn observer() -> Client {
    Client::builder().timeout(OBSERVE_TIMEOUT).finish()
}

/// Reads the whole counts of all targets.
pub async fn truth(client: &Client, targets: &[TargetSpec]) -> Truth {
    let mut truth = Truth::default();
    for target in targets {
        match get_json::<Counts>(client, target.address, "/test/counts").await {
            Some(counts) => truth.add(&counts.runs),
            None => truth.unread.push(target.name.clone()),
        }
    }
    truth
}

/// Reads the short counts of all targets and the control bytes of all processes.
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

/// Adds up all counters of control bytes in a Prometheus text; nothing if there is none.
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
    let body = response.body().limit(MAX_OBSERVED).await.ok()?;
    (response.status() == 200).then(|| body.to_vec())
}
