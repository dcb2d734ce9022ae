//! The watch over the target: whether it lives and what load it reports.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use node::client::{Client, Outbound};
use policy::window::Report;
use serde::Deserialize;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::control::Input;
use crate::relay::Reporter;

/// The interval between questions to the target.
const INTERVAL: Duration = Duration::from_millis(100);

/// The time limit of one question.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The greatest size of a load report, in bytes.
const MAX_REPORT_BYTES: usize = 4096;

/// The number of consecutive failures after which the target counts as down.
const FAILURES: u32 = 3;

/// A target's load report.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
struct LoadReport {
    running: u32,
    queued: u32,
    generation: u64,
    at_millis: u64,
}

/// What the watch knows of the target.
#[derive(Clone, Copy, Default, Debug)]
struct Watch {
    generation: Option<u64>,
    failures: u32,
    down: bool,
}

/// Watches the target until the process ends.
pub async fn watch(client: Client, target: SocketAddr, reporter: Reporter) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut state = Watch::default();
    loop {
        ticks.tick().await;
        match ask(&client, target).await {
            Some(report) => state.seen(report, &reporter),
            None => state.failed(&reporter),
        }
    }
}

async fn ask(client: &Client, target: SocketAddr) -> Option<LoadReport> {
    let question = Outbound {
        method: Method::GET,
        uri: Uri::from_static("/load"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let answer = async {
        let response = client.send(target, question).await.ok()?;
        response.body.whole(MAX_REPORT_BYTES).await.ok()
    };
    let body = timeout(TIMEOUT, answer).await.ok()??;
    serde_json::from_slice(&body).ok()
}

impl Watch {
    fn seen(&mut self, report: LoadReport, reporter: &Reporter) {
        self.failures = 0;
        let restarted = self
            .generation
            .is_some_and(|known| known != report.generation);
        if restarted && !self.down {
            reporter.report(Input::TargetDown);
        }
        if restarted || self.down || self.generation.is_none() {
            reporter.report(Input::TargetUp);
        }
        self.generation = Some(report.generation);
        self.down = false;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let age = now.saturating_sub(Duration::from_millis(report.at_millis));
        let LoadReport {
            running,
            queued,
            generation,
            ..
        } = report;
        reporter.report(Input::Report(Report {
            running,
            queued,
            generation,
            age,
        }));
    }

    fn failed(&mut self, reporter: &Reporter) {
        self.failures += 1;
        if self.failures == FAILURES && !self.down {
            self.down = true;
            reporter.report(Input::TargetDown);
        }
    }
}
