//! Runs a schedule with one task per request, started when the request is due.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Method;
use awc::Client;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::check::Expected;
use super::client::{Attempt, AttemptOutcome, Reply, send};
use super::gap::{Gap, GapTracker, Sample};
use super::mix::{Call, Team, body};
use super::observe::{Observation, TargetKind, TargetSpec, observation_client, observe};
use super::schedule::ScheduledRequest;
use super::stats::{LoadStats, RequestOutcome, record_latency};
use crate::engine::{AnswerText, ChatRequest, digest};

/// The interval between samples of the fairness gap.
const GAP_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between polls of the targets and operator listeners.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);

/// The interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of attempts of a request.
const MAX_ATTEMPTS: usize = 4;

/// Answered actions whose request number is a multiple of this are sent a second time.
const RESEND_EVERY: u64 = 5;

/// The delay before a retry if the outcome has no retry delay.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The maximum delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// A scheduled operation on the fleet.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Event {
    /// The time since the start of the run, in milliseconds.
    pub at_millis: u64,
    /// A description for the report.
    pub note: String,
    /// The HTTP method, `PUT` or `POST`.
    pub method: String,
    /// The address to call.
    pub address: SocketAddr,
    /// The path to call.
    pub path: String,
    /// The request body.
    pub body: String,
    /// The data centre that the operation drains.
    #[serde(default)]
    pub drains: Option<String>,
    /// The data centre that the operation returns to service.
    #[serde(default)]
    pub returns: Option<String>,
    /// The number of target crashes that the operation causes.
    #[serde(default)]
    pub deaths: u64,
}

/// The input of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The teams of the mix.
    pub teams: Vec<Team>,
    /// The schedule.
    pub planned: Vec<ScheduledRequest>,
    /// The routers; empty in direct mode.
    pub routers: Vec<SocketAddr>,
    /// The targets.
    pub targets: Vec<TargetSpec>,
    /// The operator listeners.
    pub operators: Vec<SocketAddr>,
    /// The events.
    pub events: Vec<Event>,
    /// How long a caller waits for an answer, retries included.
    pub timeout: Duration,
}

/// The fairness gap and the number of answers at one time.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct GapPoint {
    /// The time since the start of the run.
    pub at: Duration,
    /// The greatest gap.
    pub gap: Gap,
    /// Whether any team had model work waiting.
    pub backlogged: bool,
    /// Requests answered so far.
    pub answered: u64,
}

/// The measurements of a run.
#[derive(Debug)]
pub struct RunResult {
    /// The statistics by team.
    pub stats: LoadStats,
    /// The fairness gap over time.
    pub gaps: Vec<GapPoint>,
    /// The greatest gap of each team.
    pub max_gaps: Vec<f64>,
    /// The observations.
    pub observations: Vec<Observation>,
    /// The duration of the run.
    pub time: Duration,
}

struct Run {
    plan: Plan,
    client: Client,
    stats: RefCell<LoadStats>,
    start: Instant,
}

/// Runs a plan until all requests have ended.
pub async fn run(plan: Plan) -> RunResult {
    let run = Rc::new(Run {
        client: observation_client(),
        stats: RefCell::new(LoadStats::new(plan.teams.len())),
        start: Instant::now(),
        plan,
    });
    let gaps = Rc::new(RefCell::new(Vec::new()));
    let tracker = Rc::new(RefCell::new(GapTracker::new(run.plan.teams.len())));
    let observations = Rc::new(RefCell::new(Vec::new()));
    let background = [
        actix_rt::spawn(sample_fairness_gap(
            run.clone(),
            tracker.clone(),
            gaps.clone(),
        )),
        actix_rt::spawn(observe_periodically(run.clone(), observations.clone())),
        actix_rt::spawn(print_progress(run.clone())),
        actix_rt::spawn(apply_events(run.clone())),
    ];
    let mut requests = Vec::new();
    for planned in run.plan.planned.clone() {
        sleep_until(run.start + planned.due).await;
        requests.push(actix_rt::spawn(run_request(run.clone(), planned)));
    }
    futures::future::join_all(requests).await;
    let time = run.start.elapsed();
    for task in &background {
        task.abort();
    }
    let last = run.observe().await;
    observations.borrow_mut().push(last);
    RunResult {
        stats: run.stats.borrow().clone(),
        gaps: gaps.take(),
        max_gaps: tracker.borrow().max_gaps().to_vec(),
        observations: observations.take(),
        time,
    }
}

impl Run {
    async fn observe(&self) -> Observation {
        let at = self.start.elapsed();
        observe(&self.client, at, &self.plan.targets, &self.plan.operators).await
    }

    fn address(&self, planned: &ScheduledRequest, attempt: usize) -> Option<SocketAddr> {
        let at = planned.router + attempt;
        if !self.plan.routers.is_empty() {
            return Some(self.plan.routers[at % self.plan.routers.len()]);
        }
        let kind = match planned.work.call {
            Call::Chat { .. } => TargetKind::Engine,
            Call::Action { .. } | Call::Lookup { .. } => TargetKind::Service,
        };
        let targets: Vec<_> = self
            .plan
            .targets
            .iter()
            .filter(|target| target.kind == kind)
            .collect();
        let at = usize::try_from(planned.number).unwrap_or(0) + attempt;
        let target = targets.get(at.checked_rem(targets.len())?)?;
        Some(target.address)
    }
}

async fn sleep_until(at: Instant) {
    actix_rt::time::sleep_until(at.into()).await;
}

async fn run_request(run: Rc<Run>, planned: ScheduledRequest) {
    let mut attempt = first_attempt(&run.plan.teams[planned.team], &planned);
    let is_streamed = matches!(planned.work.call, Call::Chat { stream: true, .. });
    let mut pending = PendingRequest::start(&run, planned.team, is_streamed);
    let due = run.start + planned.due;
    let mut attempts = 0;
    let outcome = loop {
        let Some(address) = run.address(&planned, attempts) else {
            break AttemptOutcome::Unreachable;
        };
        attempt.request_id = Uuid::now_v7().to_string();
        let on_tokens = |tokens| pending.on_tokens(tokens, due);
        let timeout = run.plan.timeout.saturating_sub(due.elapsed());
        let reply = send(address, &attempt, timeout, on_tokens).await;
        record_reply(&run, planned.team, &attempt, &reply);
        attempts += 1;
        match retry_delay(&reply.outcome) {
            Some(wait) if attempts < MAX_ATTEMPTS && due.elapsed() + wait < run.plan.timeout => {
                run.stats.borrow_mut().teams[planned.team].repeats += 1;
                actix_rt::time::sleep(wait).await;
            }
            _ => break reply.outcome,
        }
    };
    drop(pending);
    let latency = due.elapsed();
    let is_routed = !run.plan.routers.is_empty();
    let outcome = match &attempt.key {
        Some(_)
            if is_routed
                && outcome == AttemptOutcome::Answered
                && planned.number.is_multiple_of(RESEND_EVERY) =>
        {
            resend_action(&run, &planned, &mut attempt, attempts).await
        }
        _ => outcome,
    };
    let mut stats = run.stats.borrow_mut();
    let team = &mut stats.teams[planned.team];
    team.record_outcome(RequestOutcome::from(&outcome));
    if outcome == AttemptOutcome::Answered {
        record_latency(&mut team.latency, latency);
    }
}

/// Sends an answered action once more, like a caller that lost the answer.
///
/// Only an incorrect answer counts as an error, since the action has already been answered.
async fn resend_action(
    run: &Run,
    planned: &ScheduledRequest,
    attempt: &mut Attempt,
    attempts: usize,
) -> AttemptOutcome {
    let Some(address) = run.address(planned, attempts) else {
        return AttemptOutcome::Answered;
    };
    attempt.request_id = Uuid::now_v7().to_string();
    run.stats.borrow_mut().teams[planned.team].repeats += 1;
    let reply = send(address, attempt, run.plan.timeout, |_| ()).await;
    record_reply(run, planned.team, attempt, &reply);
    match reply.outcome {
        AttemptOutcome::Wrong(defect) => AttemptOutcome::Wrong(defect),
        _ => AttemptOutcome::Answered,
    }
}

/// Counts a request as waiting until its first token arrives or it ends.
struct PendingRequest<'a> {
    run: &'a Run,
    team: usize,
    is_streamed: bool,
    ended: bool,
}

impl<'a> PendingRequest<'a> {
    fn start(run: &'a Run, team: usize, is_streamed: bool) -> Self {
        let mut stats = run.stats.borrow_mut();
        let counts = &mut stats.teams[team];
        counts.asked += 1;
        counts.waiting += 1;
        counts.waiting_streams += u64::from(is_streamed);
        Self {
            run,
            team,
            is_streamed,
            ended: false,
        }
    }

    fn on_tokens(&mut self, tokens: u64, due: Instant) {
        if !self.ended {
            self.end();
            let mut stats = self.run.stats.borrow_mut();
            record_latency(
                &mut stats.teams[self.team].first_token_latency,
                due.elapsed(),
            );
        }
        self.run.stats.borrow_mut().teams[self.team].tokens += tokens;
    }

    fn end(&mut self) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let mut stats = self.run.stats.borrow_mut();
        let counts = &mut stats.teams[self.team];
        counts.waiting -= 1;
        counts.waiting_streams -= u64::from(self.is_streamed);
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.end();
    }
}

/// Creates the first attempt of a scheduled request.
fn first_attempt(team: &Team, planned: &ScheduledRequest) -> Attempt {
    let body = body(team, &planned.work, planned.number);
    let (method, path, key) = match planned.work.call {
        Call::Chat { .. } => (Method::POST, "/v1/chat/completions".to_owned(), None),
        Call::Action { path } => {
            let key = Uuid::now_v7().to_string();
            (Method::POST, path.to_owned(), Some(key))
        }
        Call::Lookup { path } => (Method::GET, format!("{path}{}", planned.number), None),
    };
    let expected = expected_answer(planned, &method, &path, key.as_deref(), &body);
    Attempt {
        method,
        path,
        api_key: team.api_key(),
        key,
        request_id: String::new(),
        body: body.into(),
        expected,
    }
}

fn expected_answer(
    planned: &ScheduledRequest,
    method: &Method,
    path: &str,
    key: Option<&str>,
    body: &[u8],
) -> Expected {
    let answer_text = || {
        let request = ChatRequest::parse(body).expect("the generator's bodies are valid");
        AnswerText::new(body, request.max_tokens)
    };
    match planned.work.call {
        Call::Chat { stream: true, .. } => Expected::Stream(answer_text()),
        Call::Chat { stream: false, .. } => Expected::Whole(answer_text()),
        Call::Action { .. } | Call::Lookup { .. } => Expected::Receipt {
            call: format!("{method} {path}"),
            key: key.map(str::to_owned),
            digest: digest(body),
        },
    }
}

fn record_reply(run: &Run, team: usize, attempt: &Attempt, reply: &Reply) {
    let mut stats = run.stats.borrow_mut();
    stats.record_attempt(
        team,
        attempt.key.as_deref(),
        reply.request_id.as_deref(),
        &reply.outcome,
    );
}

/// The delay before a retry, or `None` if the request must not be retried.
///
/// All requests of the mixes are safe to retry: they are idempotent or have an idempotency key.
fn retry_delay(outcome: &AttemptOutcome) -> Option<Duration> {
    match outcome {
        AttemptOutcome::NotRun(refusal) => refusal
            .retry_after_ms
            .map(|millis| Duration::from_millis(millis).min(MAX_RETRY_DELAY)),
        AttemptOutcome::Unknown(_) | AttemptOutcome::Lost | AttemptOutcome::Unreachable => {
            Some(DEFAULT_RETRY_DELAY)
        }
        AttemptOutcome::Answered | AttemptOutcome::Failed(_) | AttemptOutcome::Wrong(_) => None,
    }
}

async fn sample_fairness_gap(
    run: Rc<Run>,
    tracker: Rc<RefCell<GapTracker>>,
    gaps: Rc<RefCell<Vec<GapPoint>>>,
) {
    loop {
        let point = {
            let stats = run.stats.borrow();
            let teams = run.plan.teams.iter().zip(&stats.teams);
            let samples: Vec<Sample> = teams
                .map(|(team, counts)| Sample {
                    service: counts.tokens as f64 / f64::from(team.weight),
                    waiting: counts.waiting_streams > 0,
                })
                .collect();
            GapPoint {
                at: run.start.elapsed(),
                gap: tracker.borrow_mut().sample(&samples),
                backlogged: samples.iter().any(|sample| sample.waiting),
                answered: stats.teams.iter().map(|team| team.answered).sum(),
            }
        };
        gaps.borrow_mut().push(point);
        actix_rt::time::sleep(GAP_INTERVAL).await;
    }
}

async fn observe_periodically(run: Rc<Run>, observations: Rc<RefCell<Vec<Observation>>>) {
    loop {
        let observation = run.observe().await;
        observations.borrow_mut().push(observation);
        actix_rt::time::sleep(OBSERVATION_INTERVAL).await;
    }
}

async fn print_progress(run: Rc<Run>) {
    loop {
        actix_rt::time::sleep(PROGRESS_INTERVAL).await;
        let stats = run.stats.borrow();
        let asked: u64 = stats.teams.iter().map(|team| team.asked).sum();
        let answered: u64 = stats.teams.iter().map(|team| team.answered).sum();
        let waiting: u64 = stats.teams.iter().map(|team| team.waiting).sum();
        let planned = run.plan.planned.len();
        let seconds = run.start.elapsed().as_secs();
        let ended = stats.ended();
        eprintln!(
            "{seconds:>4} s  {asked}/{planned} asked  {ended} ended  {answered} answered  {waiting} waiting"
        );
    }
}

async fn apply_events(run: Rc<Run>) {
    for event in &run.plan.events {
        sleep_until(run.start + Duration::from_millis(event.at_millis)).await;
        let url = format!("http://{}{}", event.address, event.path);
        let method = Method::from_bytes(event.method.as_bytes()).unwrap_or(Method::POST);
        let sent = run
            .client
            .request(method, url)
            .send_body(event.body.clone());
        match sent.await {
            Ok(response) if response.status().is_success() => eprintln!("       {}", event.note),
            Ok(response) => eprintln!("       {}: status {}", event.note, response.status()),
            Err(error) => eprintln!("       {}: {error}", event.note),
        }
    }
}
