//! Monitoring of the target's health and load.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use entity::RequestId;
use node::client::{Client, OutgoingRequest};
use policy::window::Report;
use serde::Deserialize;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::control::Input;
use crate::orders::parse_model;
use crate::relay::Reporter;

/// The interval of load queries to the target.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// The time limit of one request of the monitor to the target.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum size of a load report in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// The number of consecutive failures after which the target is considered down.
const FAILURE_THRESHOLD: u32 = 3;

/// The capacity of the channel from the traffic threads to the monitor.
const PROBE_CAPACITY: usize = 1024;

/// A request of a traffic thread to the target monitor.
#[derive(Debug)]
pub enum ProbeRequest {
    /// Query the target now and then notify the sender, if there is one.
    Check(Option<oneshot::Sender<()>>),
    /// Cancel a request on the target.
    Cancel(RequestId),
}

/// The channel from the traffic threads to the target monitor.
#[derive(Clone, Debug)]
pub struct TargetProbe(mpsc::Sender<ProbeRequest>);

impl TargetProbe {
    /// Creates a probe and the receiver that the monitor reads from.
    pub fn new() -> (Self, mpsc::Receiver<ProbeRequest>) {
        let (sender, receiver) = mpsc::channel(PROBE_CAPACITY);
        (Self(sender), receiver)
    }

    /// Requests a check of the target without waiting for it.
    pub fn check(&self) {
        // If the channel is full, checks are queued already.
        let _ = self.0.try_send(ProbeRequest::Check(None));
    }

    /// Requests a check of the target and waits until the result is reported to the control
    /// thread.
    pub async fn check_and_wait(&self) {
        let (done, checked) = oneshot::channel();
        if self.0.send(ProbeRequest::Check(Some(done))).await.is_ok() {
            // The monitor runs for the lifetime of the process.
            let _ = checked.await;
        }
    }

    /// Cancels a request on the target, in addition to the closing of its connection.
    pub fn cancel(&self, request: RequestId) {
        let _ = self.0.try_send(ProbeRequest::Cancel(request));
    }
}

/// A target's load report.
#[derive(Clone, PartialEq, Eq, Debug, Deserialize)]
struct LoadReport {
    running: u32,
    queued: u32,
    generation: u64,
    at_millis: u64,
    /// The loaded models, if the target is an engine that accepts orders.
    models: Option<Vec<String>>,
}

/// How long after a recovery a changed generation is attributed to the same failure.
///
/// Load reports lag behind the state of the target.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// The state of the target as known to the monitor.
#[derive(Clone, Copy, Default, Debug)]
struct TargetState {
    generation: Option<u64>,
    failures: u32,
    has_answered: bool,
    is_down: bool,
    /// The time at which the target answered again after it was down.
    recovered_at: Option<Instant>,
}

/// Monitors the target until the process ends.
pub async fn monitor(
    client: Client,
    target: SocketAddr,
    reporter: Reporter,
    mut probe_requests: mpsc::Receiver<ProbeRequest>,
) {
    let mut ticks = interval(QUERY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut state = TargetState::default();
    loop {
        let probe_request = tokio::select! {
            _ = ticks.tick() => None,
            Some(probe_request) = probe_requests.recv() => Some(probe_request),
        };
        let (is_suspect, done) = match probe_request {
            None => (false, None),
            Some(ProbeRequest::Check(done)) => (true, done),
            Some(ProbeRequest::Cancel(request)) => {
                actix_rt::spawn(cancel_request(client.clone(), target, request));
                continue;
            }
        };
        let mut report = query_load(&client, target).await;
        if is_suspect && report.is_none() {
            report = query_load(&client, target).await;
        }
        match report {
            Some(report) => state.record_report(report, &reporter),
            None => state.record_failure(is_suspect, &reporter),
        }
        if let Some(done) = done {
            // The requesting task may have been dropped.
            let _ = done.send(());
        }
    }
}

async fn cancel_request(client: Client, target: SocketAddr, request: RequestId) {
    let outbound = OutgoingRequest {
        method: Method::POST,
        uri: Uri::try_from(format!("/v1/cancel/{request}")).expect("an id forms a valid path"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    // An error is ignored: a target that does not know the request has nothing to cancel.
    let _ = timeout(QUERY_TIMEOUT, client.send(target, outbound)).await;
}

async fn query_load(client: &Client, target: SocketAddr) -> Option<LoadReport> {
    let outbound = OutgoingRequest {
        method: Method::GET,
        uri: Uri::from_static("/load"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let answer = async {
        let response = client.send(target, outbound).await.ok()?;
        response.body.read_to_end(MAX_REPORT_BYTES).await.ok()
    };
    let body = timeout(QUERY_TIMEOUT, answer).await.ok()??;
    serde_json::from_slice(&body).ok()
}

impl TargetState {
    fn record_report(&mut self, report: LoadReport, reporter: &Reporter) {
        self.failures = 0;
        // A target without a measurement yet reports neither a time nor a generation.
        let generation = (report.at_millis > 0).then_some(report.generation);
        let generations = self.generation.zip(generation);
        let restarted = generations.is_some_and(|(before, now)| before != now);
        let recovered_at = self.recovered_at;
        let is_reported = recovered_at.is_some_and(|at| at.elapsed() < REPORT_LAG);
        if restarted && !self.is_down && !is_reported {
            reporter.report(Input::TargetDown);
        }
        if self.is_down {
            self.recovered_at = Some(Instant::now());
        }
        if restarted || self.is_down || !self.has_answered {
            reporter.report(Input::TargetUp);
        }
        self.generation = generation.or(self.generation);
        self.has_answered = true;
        self.is_down = false;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let age = now.saturating_sub(Duration::from_millis(report.at_millis));
        let LoadReport {
            running,
            queued,
            generation,
            models,
            ..
        } = report;
        if let Some(models) = models {
            let models = models.iter().filter_map(|text| parse_model(text));
            reporter.report(Input::Models(models.collect()));
        }
        reporter.report(Input::LoadReported(Report {
            running,
            queued,
            generation,
            age,
        }));
    }

    /// Records that the target did not answer.
    ///
    /// After a broken connection (`is_suspect`), one failure suffices to consider it down.
    fn record_failure(&mut self, is_suspect: bool, reporter: &Reporter) {
        self.failures += 1;
        let counts_as_down = is_suspect || self.failures >= FAILURE_THRESHOLD;
        if counts_as_down && !self.is_down {
            self.is_down = true;
            reporter.report(Input::TargetDown);
        }
    }
}
