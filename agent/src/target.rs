//! The watch over the target: whether it lives and what load it reports.

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
use crate::orders::read_model;
use crate::relay::Reporter;

/// The interval between questions to the target.
const INTERVAL: Duration = Duration::from_millis(100);

/// The time limit of one question.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The greatest size of a load report, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// The number of consecutive failures after which the target counts as down.
const FAILURES: u32 = 3;

/// The number of questions of traffic threads that may wait.
const PROBE_DEPTH: usize = 1024;

/// What traffic threads ask of the watch.
#[derive(Debug)]
pub enum Ask {
    /// Look at the target now, and then answer.
    Look(Option<oneshot::Sender<()>>),
    /// Cancel a request on the target.
    Cancel(RequestId),
}

/// The channel from traffic threads to the watch.
#[derive(Clone, Debug)]
pub struct Probe(mpsc::Sender<Ask>);

impl Probe {
    /// Creates a probe and what the watch reads from.
    pub fn new() -> (Self, mpsc::Receiver<Ask>) {
        let (sender, receiver) = mpsc::channel(PROBE_DEPTH);
        (Self(sender), receiver)
    }

    /// Has the target looked at soon.
    pub fn look(&self) {
        // A full channel means that it is being looked at.
        let _ = self.0.try_send(Ask::Look(None));
    }

    /// Has the target looked at, and waits until the control thread was told of the result.
    pub async fn looked(&self) {
        let (done, wait) = oneshot::channel();
        if self.0.send(Ask::Look(Some(done))).await.is_ok() {
            // The watch lives as long as the process.
            let _ = wait.await;
        }
    }

    /// Cancels a request on the target; its connection was closed besides.
    pub fn cancel(&self, request: RequestId) {
        let _ = self.0.try_send(Ask::Cancel(request));
    }
}

/// A target's load report.
#[derive(Clone, PartialEq, Eq, Debug, Deserialize)]
struct LoadReport {
    running: u32,
    queued: u32,
    generation: u64,
    at_millis: u64,
    /// The loaded models, if the target is an engine that takes orders.
    models: Option<Vec<String>>,
}

/// How long after a failure a change of the generation belongs to it: reports lag.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// What the watch knows of the target.
#[derive(Clone, Copy, Default, Debug)]
struct Watch {
    generation: Option<u64>,
    failures: u32,
    seen: bool,
    down: bool,
    /// When the target answered again after it had been down.
    returned: Option<Instant>,
}

/// Watches the target until the process ends.
pub async fn watch(
    client: Client,
    target: SocketAddr,
    reporter: Reporter,
    mut asks: mpsc::Receiver<Ask>,
) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut state = Watch::default();
    loop {
        let asked = tokio::select! {
            _ = ticks.tick() => None,
            Some(asked) = asks.recv() => Some(asked),
        };
        let (is_doubted, done) = match asked {
            None => (false, None),
            Some(Ask::Look(done)) => (true, done),
            Some(Ask::Cancel(request)) => {
                actix_rt::spawn(cancel(client.clone(), target, request));
                continue;
            }
        };
        let mut report = ask(&client, target).await;
        if is_doubted && report.is_none() {
            report = ask(&client, target).await;
        }
        match report {
            Some(report) => state.seen(report, &reporter),
            None => state.failed(is_doubted, &reporter),
        }
        if let Some(done) = done {
            // The asker may have left.
            let _ = done.send(());
        }
    }
}

async fn cancel(client: Client, target: SocketAddr, request: RequestId) {
    let question = OutgoingRequest {
        method: Method::POST,
        uri: Uri::try_from(format!("/v1/cancel/{request}")).expect("an id makes a path"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    // A target that does not know the request has nothing to cancel.
    let _ = timeout(TIMEOUT, client.send(target, question)).await;
}

async fn ask(client: &Client, target: SocketAddr) -> Option<LoadReport> {
    let question = OutgoingRequest {
        method: Method::GET,
        uri: Uri::from_static("/load"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let answer = async {
        let response = client.send(target, question).await.ok()?;
        response.body.read_to_end(MAX_REPORT_BYTES).await.ok()
    };
    let body = timeout(TIMEOUT, answer).await.ok()??;
    serde_json::from_slice(&body).ok()
}

impl Watch {
    fn seen(&mut self, report: LoadReport, reporter: &Reporter) {
        self.failures = 0;
        // A target that has not measured yet reports no time and no generation.
        let generation = (report.at_millis > 0).then_some(report.generation);
        let known = self.generation.zip(generation);
        let restarted = known.is_some_and(|(before, now)| before != now);
        let returned = self.returned;
        let is_known = returned.is_some_and(|at| at.elapsed() < REPORT_LAG);
        if restarted && !self.down && !is_known {
            reporter.report(Input::TargetDown);
        }
        if self.down {
            self.returned = Some(Instant::now());
        }
        if restarted || self.down || !self.seen {
            reporter.report(Input::TargetUp);
        }
        self.generation = generation.or(self.generation);
        self.seen = true;
        self.down = false;
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
            let models = models.iter().filter_map(|text| read_model(text));
            reporter.report(Input::Models(models.collect()));
        }
        reporter.report(Input::Report(Report {
            running,
            queued,
            generation,
            age,
        }));
    }

    /// Takes in that the target did not answer.
    ///
    /// If a connection to it broke just before, this is enough.
    fn failed(&mut self, is_doubted: bool, reporter: &Reporter) {
        self.failures += 1;
        let is_over = is_doubted || self.failures >= FAILURES;
        if is_over && !self.down {
            self.down = true;
            reporter.report(Input::TargetDown);
        }
    }
}
