//! Runs a schedule: one task for each request, started when it is due.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Method;
use awc::Client;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::check::Expected;
use super::client::{Attempt, Ending, Reply, send};
use super::gap::{Gap, GapTracker, Sample};
use super::mix::{Call, Team, body};
use super::schedule::Planned;
use super::tally::{Final, Tally, record};
use super::watch::{Observation, TargetKind, TargetSpec, observe, observer};
use crate::engine::{AnswerText, ChatRequest, digest};

/// The interval between samples of the fairness gap.
const GAP_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between observations of the fleet.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// The interval between lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The greatest number of attempts of one request.
const MAX_ATTEMPTS: usize = 4;

/// Every how many-th request, by number, is sent again if it is an action that was answered.
const DUPLICATE_EVERY: u64 = 5;

/// The wait before a repeat when the refusal names none.
const DEFAULT_RETRY: Duration = Duration::from_millis(250);

/// The longest wait before a repeat.
const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// Something that the run does to the fleet at a time.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Event {
    /// When, from the start of the run, in milliseconds.
    pub at_millis: u64,
    /// What it is, for the report.
    pub note: String,
    /// The method of the call that does it: `PUT` or `POST`.
    pub method: String,
    /// The address that is called.
    pub address: SocketAddr,
    /// The path that is called.
    pub path: String,
    /// The body of the call.
    pub body: String,
    /// The data centre that it takes out of service.
    #[serde(default)]
    pub drains: Option<String>,
    /// The data centre that it brings back.
    #[serde(default)]
    pub returns: Option<String>,
    /// The deaths of targets that it causes.
    #[serde(default)]
    pub deaths: u64,
}

/// What a run needs.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The teams of the mix.
    pub teams: Vec<Team>,
    /// The schedule.
    pub planned: Vec<Planned>,
    /// The routers; none in direct mode.
    pub routers: Vec<SocketAddr>,
    /// The targets.
    pub targets: Vec<TargetSpec>,
    /// The operators' listeners.
    pub operators: Vec<SocketAddr>,
    /// The events.
    pub events: Vec<Event>,
    /// How long a caller waits for an answer.
    pub patience: Duration,
}

/// The gap and the answers at one time.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct GapPoint {
    /// Since the start of the run.
    pub at: Duration,
    /// The greatest gap.
    pub gap: Gap,
    /// Whether any team had model work waiting.
    pub backlogged: bool,
    /// Requests answered so far.
    pub answered: u64,
}

/// What a run gave.
#[derive(Debug)]
pub struct Outcome {
    /// The results by team.
    pub tally: Tally,
    /// The fairness gap over time.
    pub gaps: Vec<GapPoint>,
    /// The greatest gap of each team.
    pub greatest: Vec<f64>,
    /// The observations.
    pub observations: Vec<Observation>,
    /// How long it took.
    pub time: Duration,
}

struct Run {
    plan: Plan,
    client: Client,
    tally: RefCell<Tally>,
    start: Instant,
}

/// Runs a plan to its end.
pub async fn run(plan: Plan) -> Outcome {
    let run = Rc::new(Run {
        client: observer(),
        tally: RefCell::new(Tally::new(plan.teams.len())),
        start: Instant::now(),
        plan,
    });
    let gaps = Rc::new(RefCell::new(Vec::new()));
    let tracker = Rc::new(RefCell::new(GapTracker::new(run.plan.teams.len())));
    let observations = Rc::new(RefCell::new(Vec::new()));
    let background = [
        actix_rt::spawn(sample(run.clone(), tracker.clone(), gaps.clone())),
        actix_rt::spawn(watch(run.clone(), observations.clone())),
        actix_rt::spawn(progress(run.clone())),
        actix_rt::spawn(events(run.clone())),
    ];
    let mut requests = Vec::new();
    for planned in run.plan.planned.clone() {
        sleep_until(run.start + planned.due).await;
        requests.push(actix_rt::spawn(request(run.clone(), planned)));
    }
    futures::future::join_all(requests).await;
    let time = run.start.elapsed();
    for task in &background {
        task.abort();
    }
    let last = run.observe().await;
    observations.borrow_mut().push(last);
    Outcome {
        tally: run.tally.borrow().clone(),
        gaps: gaps.take(),
        greatest: tracker.borrow().greatest().to_vec(),
        observations: observations.take(),
        time,
    }
}

impl Run {
    async fn observe(&self) -> Observation {
        let at = self.start.elapsed();
        observe(&self.client, at, &self.plan.targets, &self.plan.operators).await
    }

    fn address(&self, planned: &Planned, attempt: usize) -> Option<SocketAddr> {
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

async fn request(run: Rc<Run>, planned: Planned) {
    let mut attempt = attempt(&run.plan.teams[planned.team], &planned);
    let is_streamed = matches!(planned.work.call, Call::Chat { stream: true, .. });
    let mut waiting = Waiting::start(&run, planned.team, is_streamed);
    let due = run.start + planned.due;
    let mut tries = 0;
    let ending = loop {
        let Some(address) = run.address(&planned, tries) else {
            break Ending::Unreachable;
        };
        attempt.request = Uuid::now_v7().to_string();
        let hear = |tokens| waiting.hear(tokens, due);
        let patience = run.plan.patience.saturating_sub(due.elapsed());
        let reply = send(address, &attempt, patience, hear).await;
        note(&run, planned.team, &attempt, &reply);
        tries += 1;
        match repeat_after(&reply.ending) {
            Some(wait) if tries < MAX_ATTEMPTS && due.elapsed() + wait < run.plan.patience => {
                run.tally.borrow_mut().teams[planned.team].repeats += 1;
                actix_rt::time::sleep(wait).await;
            }
            _ => break reply.ending,
        }
    };
    drop(waiting);
    let latency = due.elapsed();
    let is_routed = !run.plan.routers.is_empty();
    let ending = match &attempt.key {
        Some(_)
            if is_routed
                && ending == Ending::Answered
                && planned.number.is_multiple_of(DUPLICATE_EVERY) =>
        {
            duplicate(&run, &planned, &mut attempt, tries).await
        }
        _ => ending,
    };
    let mut tally = run.tally.borrow_mut();
    let team = &mut tally.teams[planned.team];
    team.end(Final::from(&ending));
    if ending == Ending::Answered {
        record(&mut team.whole, latency);
    }
}

/// Sends an answered action once more, as a caller does that lost the answer.
///
/// Any ending but a wrong answer is right: the action itself was answered before.
async fn duplicate(run: &Run, planned: &Planned, attempt: &mut Attempt, tries: usize) -> Ending {
    let Some(address) = run.address(planned, tries) else {
        return Ending::Answered;
    };
    attempt.request = Uuid::now_v7().to_string();
    run.tally.borrow_mut().teams[planned.team].repeats += 1;
    let reply = send(address, attempt, run.plan.patience, |_| ()).await;
    note(run, planned.team, attempt, &reply);
    match reply.ending {
        Ending::Wrong(flaw) => Ending::Wrong(flaw),
        _ => Ending::Answered,
    }
}

/// Counts a request as waiting until its first token or its end.
struct Waiting<'a> {
    run: &'a Run,
    team: usize,
    is_streamed: bool,
    heard: bool,
}

impl<'a> Waiting<'a> {
    fn start(run: &'a Run, team: usize, is_streamed: bool) -> Self {
        let mut tally = run.tally.borrow_mut();
        let counts = &mut tally.teams[team];
        counts.asked += 1;
        counts.waiting += 1;
        counts.waiting_streams += u64::from(is_streamed);
        Self {
            run,
            team,
            is_streamed,
            heard: false,
        }
    }

    fn hear(&mut self, tokens: u64, due: Instant) {
        if !self.heard {
            self.end();
            let mut tally = self.run.tally.borrow_mut();
            record(&mut tally.teams[self.team].first, due.elapsed());
        }
        self.run.tally.borrow_mut().teams[self.team].tokens += tokens;
    }

    fn end(&mut self) {
        if std::mem::replace(&mut self.heard, true) {
            return;
        }
        let mut tally = self.run.tally.borrow_mut();
        let counts = &mut tally.teams[self.team];
        counts.waiting -= 1;
        counts.waiting_streams -= u64::from(self.is_streamed);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.end();
    }
}

/// Makes the first attempt of a planned request.
fn attempt(team: &Team, planned: &Planned) -> Attempt {
    let body = body(team, &planned.work, planned.number);
    let (method, path, key) = match planned.work.call {
        Call::Chat { .. } => (Method::POST, "/v1/chat/completions".to_owned(), None),
        Call::Action { path } => {
            let key = Uuid::now_v7().to_string();
            (Method::POST, path.to_owned(), Some(key))
        }
        Call::Lookup { path } => (Method::GET, format!("{path}{}", planned.number), None),
    };
    let expected = expected(planned, &method, &path, key.as_deref(), &body);
    Attempt {
        method,
        path,
        api_key: team.api_key(),
        key,
        request: String::new(),
        body: body.into(),
        expected,
    }
}

fn expected(
    planned: &Planned,
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

fn note(run: &Run, team: usize, attempt: &Attempt, reply: &Reply) {
    let mut tally = run.tally.borrow_mut();
    tally.claim(
        team,
        attempt.key.as_deref(),
        reply.request.as_deref(),
        &reply.ending,
    );
}

/// How long to wait before the request is sent again, if it should be.
///
/// All work of the mixes may be repeated: it is idempotent or carries a key.
fn repeat_after(ending: &Ending) -> Option<Duration> {
    match ending {
        Ending::NotRun(refusal) => refusal
            .retry_after_ms
            .map(|millis| Duration::from_millis(millis).min(LONGEST_RETRY)),
        Ending::Unknown(_) | Ending::Lost | Ending::Unreachable => Some(DEFAULT_RETRY),
        Ending::Answered | Ending::Failed(_) | Ending::Wrong(_) => None,
    }
}

async fn sample(run: Rc<Run>, tracker: Rc<RefCell<GapTracker>>, gaps: Rc<RefCell<Vec<GapPoint>>>) {
    loop {
        let point = {
            let tally = run.tally.borrow();
            let teams = run.plan.teams.iter().zip(&tally.teams);
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
                answered: tally.teams.iter().map(|team| team.answered).sum(),
            }
        };
        gaps.borrow_mut().push(point);
        actix_rt::time::sleep(GAP_INTERVAL).await;
    }
}

async fn watch(run: Rc<Run>, observations: Rc<RefCell<Vec<Observation>>>) {
    loop {
        let observation = run.observe().await;
        observations.borrow_mut().push(observation);
        actix_rt::time::sleep(WATCH_INTERVAL).await;
    }
}

async fn progress(run: Rc<Run>) {
    loop {
        actix_rt::time::sleep(PROGRESS_INTERVAL).await;
        let tally = run.tally.borrow();
        let asked: u64 = tally.teams.iter().map(|team| team.asked).sum();
        let answered: u64 = tally.teams.iter().map(|team| team.answered).sum();
        let waiting: u64 = tally.teams.iter().map(|team| team.waiting).sum();
        let planned = run.plan.planned.len();
        let seconds = run.start.elapsed().as_secs();
        let ended = tally.ended();
        eprintln!(
            "{seconds:>4} s  {asked}/{planned} asked  {ended} ended  {answered} answered  {waiting} waiting"
        );
    }
}

async fn events(run: Rc<Run>) {
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
