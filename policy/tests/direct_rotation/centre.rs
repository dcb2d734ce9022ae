//! A model of one data centre: a balancer, routers of unequal strength, and callers.
//!
//! The balancer sends each new connection to the first router of the client's fixed
//! order that is in rotation. It asks each router once a second whether it is ready,
//! takes it out after two misses, and uses all routers while fewer than half are in.
//! An open connection stays, so callers move only if a router closes it. A caller that
//! is not accepted or answered within a second gives the attempt up; a refused one
//! waits for its Retry-After. Each request is tried once more, at another router unless
//! retries stay where the hash sends them.
//!
//! A router works off processor time in order of arrival. Its lag is the time that the
//! work already taken on needs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweed_policy::direct::admission::{ArrivalRate, RequestLimit};
use knapweed_policy::direct::overload::{ACCEPT_BATCH, MAX_LAG, OverloadState, SUSPENSION_LAG};
use knapweed_policy::direct::rotation::{Neighbour, OwnLoad, Readiness, Rotation};
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The steps of the model in a second.
pub(crate) const STEPS: usize = 100;
const STEP_SECONDS: f64 = 1.0 / STEPS as f64;

/// The steps between two tasks whose lag is recorded.
const TASK_STEPS: usize = 10;

/// The processor time to accept a connection and to refuse its request, in seconds.
pub(crate) const CONNECTION_SECONDS: f64 = 60e-6;

/// The processor time to accept and close a connection that its caller gave up.
const ABANDONED_SECONDS: f64 = 20e-6;

/// The processor time to refuse a request on an open connection, in seconds.
const REFUSAL_SECONDS: f64 = 30e-6;

/// The processor time of a request in progress, per second.
const REQUEST_LOAD: f64 = 0.5e-3;

/// How long a request is in progress.
const REQUEST_STEPS: usize = 150;

/// The processor time of a served request, in seconds.
pub(crate) const REQUEST_SECONDS: f64 = REQUEST_LOAD * (REQUEST_STEPS / STEPS) as f64
    + REQUEST_LOAD * (REQUEST_STEPS % STEPS) as f64 / STEPS as f64;

/// The part of the requests for which a caller uses an open connection if it has one.
const REUSE: f64 = 0.5;

/// The time after which an unused connection is no longer used.
const IDLE_STEPS: usize = 4 * STEPS;

/// The time after which a caller gives up an attempt.
const PATIENCE_STEPS: usize = STEPS;

/// The time within which a caller wants its answer.
const AIM_STEPS: usize = 60;

/// The maximum number of connections waiting to be accepted.
const BACKLOG: usize = 256;

/// The Retry-After of a refusal if the next try reaches another router, and otherwise.
const RETRY_STEPS: usize = 2;
const STRAINED_RETRY_STEPS: usize = 25;

/// The age of what a router knows of the others: three hops of a period each.
const REPORT_STEPS: usize = 30;

/// The time after which a router that is not heard counts as unreachable.
const SILENCE_STEPS: usize = 2 * STEPS;

/// The client with the flood, and the others.
pub(crate) const LARGE: usize = 0;
const OTHERS: usize = 40;

/// The requests of all other clients, per second and router.
pub(crate) const OTHER_RATE: f64 = 40.0;

/// What happens in a play.
#[derive(Clone)]
pub(crate) struct Play {
    /// The part of a core that each router has.
    pub(crate) strengths: Vec<f64>,
    /// The requests of the large client, per second.
    pub(crate) flood: f64,
    /// Whether the large client's order begins with the weakest routers; a random order
    /// otherwise.
    pub(crate) weak_first: bool,
    /// Whether second tries reach the router that the balancer chooses for first ones.
    pub(crate) retries_stay: bool,
    pub(crate) seed: u64,
    pub(crate) seconds: usize,
    /// A second in which one task of the last router is late once.
    pub(crate) late_once: Option<usize>,
    /// A second in which the last router starts anew, unready for five seconds.
    pub(crate) restart: Option<usize>,
    /// The seconds in which the last two routers and the others do not hear each other.
    pub(crate) partition: std::ops::Range<usize>,
}

impl Play {
    pub(crate) fn new(strengths: &[f64], flood: f64) -> Self {
        Self {
            strengths: strengths.to_vec(),
            flood,
            weak_first: true,
            retries_stay: false,
            seed: 1,
            seconds: 40,
            late_once: None,
            restart: None,
            partition: 0..0,
        }
    }
}

/// What the requests of one or several clients got.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Results {
    pub(crate) asked: usize,
    pub(crate) served: usize,
    pub(crate) in_time: usize,
}

impl Results {
    /// The part of the requests that was not answered in time.
    pub(crate) fn missed(&self) -> f64 {
        1.0 - self.in_time as f64 / self.asked.max(1) as f64
    }
}

#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) large: Results,
    pub(crate) others: Results,
    /// The routers that said that they were ready, by second.
    pub(crate) ready: Vec<Vec<bool>>,
    /// Whether fewer than half of the routers were in rotation, by second.
    pub(crate) below_half: Vec<bool>,
}

impl Outcome {
    /// The longest time with fewer than half of the routers in rotation, in seconds.
    pub(crate) fn longest_below_half(&self) -> usize {
        let spans = self.below_half.split(|it| !it);
        spans.map(<[bool]>::len).max().unwrap_or(0)
    }
}

/// The requests a second of the large client that the two strongest routers could
/// carry, or the strongest if retries stay there: each request is tried twice.
pub(crate) fn carried(play: &Play) -> f64 {
    let mut strengths = play.strengths.clone();
    strengths.sort_by(|a, b| b.total_cmp(a));
    let count = if play.retries_stay { 1 } else { 2 };
    let left = strengths.iter().take(count).map(|strength| {
        let others = OTHER_RATE * (REQUEST_SECONDS + CONNECTION_SECONDS);
        let connections = play.flood * CONNECTION_SECONDS;
        ((strength - others - connections) / REQUEST_SECONDS).max(0.0)
    });
    left.sum::<f64>().min(play.flood)
}

#[derive(Clone)]
struct Attempt {
    client: usize,
    asked_at: usize,
    sent_at: usize,
    /// The router of the first try, if this is the second.
    tried: Option<usize>,
}

struct Router {
    strength: f64,
    overload: OverloadState,
    arrivals: ArrivalRate,
    limit: RequestLimit,
    rotation: Rotation,
    /// What it said of itself, by task.
    said: Vec<Readiness>,
    /// In seconds of processor time.
    work: f64,
    requests: usize,
    backlog: VecDeque<Attempt>,
    /// The connections before these that their callers gave up.
    abandoned: usize,
    paused_until: usize,
    accepted: u32,
    unready_until: usize,
    misses: u32,
}

impl Router {
    fn new(strength: f64, index: usize, now: Instant) -> Self {
        Self {
            strength,
            overload: OverloadState::default(),
            arrivals: ArrivalRate::new(now),
            limit: RequestLimit::default(),
            rotation: Rotation::new(address(index)),
            said: Vec::new(),
            work: 0.0,
            requests: 0,
            backlog: VecDeque::new(),
            abandoned: 0,
            paused_until: 0,
            accepted: 0,
            unready_until: 0,
            misses: 0,
        }
    }

    fn lag(&self) -> Duration {
        Duration::from_secs_f64(self.work / self.strength).min(SUSPENSION_LAG / 2)
    }

    fn lag_steps(&self) -> usize {
        (self.work / self.strength / STEP_SECONDS) as usize
    }

    /// Accepts no connections for a time.
    fn pause(&mut self, pause: Duration, step: usize) {
        self.paused_until = step + (pause.as_secs_f64() / STEP_SECONDS).ceil() as usize;
    }

    fn is_ready(&self, step: usize) -> bool {
        !self.rotation.readiness().is_out && step >= self.unready_until
    }

    fn is_in_rotation(&self) -> bool {
        self.misses < 2
    }
}

/// What became of an attempt at a router that read it.
enum Answer {
    Begun { keep: bool },
    Refused { keep: bool },
}

struct Client {
    /// The routers in the order of the balancer's hash.
    order: Vec<usize>,
    /// The unused open connections: the router, and since when.
    idle: Vec<(usize, usize)>,
}

struct Centre {
    start: Instant,
    routers: Vec<Router>,
    clients: Vec<Client>,
    /// By step: second tries that are due, and ends of requests.
    retries: Vec<Vec<Attempt>>,
    ends: Vec<Vec<(usize, usize, bool)>>,
    random: ChaCha8Rng,
    retries_stay: bool,
    outcome: Outcome,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7_400))
}

/// Plays callers that arrive evenly.
pub(crate) fn play(play: &Play) -> Outcome {
    let steps = play.seconds * STEPS;
    let mut centre = Centre::new(play, steps);
    for step in 0..steps {
        centre.run_routers(play, step);
        if step % STEPS == 0 {
            centre.check(step);
        }
        for attempt in std::mem::take(&mut centre.retries[step]) {
            centre.connect(attempt, step);
        }
        let rates = [play.flood, OTHER_RATE * play.strengths.len() as f64];
        for (index, rate) in rates.into_iter().enumerate() {
            let count = |step: usize| (rate * STEP_SECONDS * step as f64) as usize;
            for _ in count(step)..count(step + 1) {
                let client = match index {
                    LARGE => LARGE,
                    _ => centre.random.random_range(1..=OTHERS),
                };
                centre.ask(client, step);
            }
        }
    }
    centre.outcome
}

impl Centre {
    fn new(play: &Play, steps: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(play.seed);
        let clients = (0..=OTHERS).map(|client| {
            let mut order: Vec<usize> = (0..play.strengths.len()).collect();
            order.shuffle(&mut random);
            if client == LARGE && play.weak_first {
                order.sort_by(|&a, &b| play.strengths[a].total_cmp(&play.strengths[b]));
            }
            Client {
                order,
                idle: Vec::new(),
            }
        });
        let clients = clients.collect();
        let strengths = play.strengths.iter();
        let slots = steps + REQUEST_STEPS + 10 * STEPS;
        let start = Instant::now();
        Self {
            start,
            routers: strengths
                .enumerate()
                .map(|(index, &strength)| Router::new(strength, index, start))
                .collect(),
            clients,
            retries: vec![Vec::new(); slots],
            ends: vec![Vec::new(); slots],
            random,
            retries_stay: play.retries_stay,
            outcome: Outcome::default(),
        }
    }

    fn time(&self, step: usize) -> Instant {
        self.start + Duration::from_millis(1_000 / STEPS as u64) * step as u32
    }

    /// The balancer's check.
    fn check(&mut self, step: usize) {
        let mut ready = Vec::new();
        for router in &mut self.routers {
            ready.push(router.is_ready(step));
            router.misses = match router.is_ready(step) {
                true => 0,
                false => router.misses + 1,
            };
        }
        let count = self.routers.iter().filter(|it| it.is_in_rotation()).count();
        self.outcome.below_half.push(count * 2 < self.routers.len());
        self.outcome.ready.push(ready);
    }

    /// The router to which the balancer sends a new connection.
    fn route(&self, attempt: &Attempt) -> usize {
        let count = self.routers.iter().filter(|it| it.is_in_rotation()).count();
        let uses_all = count * 2 < self.routers.len();
        let order = self.clients[attempt.client].order.iter().copied();
        let usable = order.filter(|&it| uses_all || self.routers[it].is_in_rotation());
        let usable: Vec<usize> = usable.collect();
        let tried = attempt.tried.filter(|_| !self.retries_stay);
        let untried = usable.iter().find(|&&it| Some(it) != tried);
        *untried.unwrap_or(&usable[0])
    }

    fn ask(&mut self, client: usize, step: usize) {
        self.results(client).asked += 1;
        let attempt = Attempt {
            client,
            asked_at: step,
            sent_at: step,
            tried: None,
        };
        let idle = &mut self.clients[client].idle;
        idle.retain(|(_, since)| step < since + IDLE_STEPS);
        let is_reused = self.random.random_bool(REUSE);
        let latest = idle.iter().rposition(|(_, since)| *since <= step);
        match latest.filter(|_| is_reused) {
            Some(latest) => {
                let (router, _) = idle.remove(latest);
                self.handle(router, attempt, step, REFUSAL_SECONDS);
            }
            None => self.connect(attempt, step),
        }
    }

    fn connect(&mut self, mut attempt: Attempt, step: usize) {
        attempt.sent_at = step;
        let router = self.route(&attempt);
        let waiting = self.routers[router].backlog.len() + self.routers[router].abandoned;
        match waiting < BACKLOG {
            true => self.routers[router].backlog.push_back(attempt),
            // A full backlog is noticed at once.
            false => self.retry(router, attempt, step + 1),
        }
    }

    /// Tries a request once more, unless this was its second try.
    fn retry(&mut self, router: usize, mut attempt: Attempt, step: usize) {
        if attempt.tried.is_none() && step < self.retries.len() {
            attempt.tried = Some(router);
            self.retries[step].push(attempt);
        }
    }

    fn results(&mut self, client: usize) -> &mut Results {
        match client {
            LARGE => &mut self.outcome.large,
            _ => &mut self.outcome.others,
        }
    }

    /// A router reads a request; `seconds` is the processor time of a refusal.
    fn handle(&mut self, index: usize, attempt: Attempt, step: usize, seconds: f64) {
        let now = self.time(step);
        let router = &mut self.routers[index];
        router.work += seconds;
        let read_at = step + router.lag_steps();
        if read_at - attempt.sent_at >= PATIENCE_STEPS {
            let gives_up = attempt.sent_at + PATIENCE_STEPS;
            return self.retry(index, attempt, gives_up.max(step));
        }
        let is_new = seconds == CONNECTION_SECONDS;
        let closes = router.rotation.closes_connections(false);
        let closes_refused = router.rotation.closes_connections(true);
        let answer = match router.overload.rejects_connections(now) {
            true => Answer::Refused {
                keep: !is_new && !closes_refused,
            },
            false if router.limit.allows(router.requests, false) => Answer::Begun { keep: !closes },
            false => Answer::Refused {
                keep: !closes_refused,
            },
        };
        let client = attempt.client;
        match answer {
            Answer::Begun { keep } => {
                router.requests += 1;
                self.ends[step + REQUEST_STEPS].push((index, client, keep));
                let in_time = read_at - attempt.asked_at <= AIM_STEPS;
                let results = self.results(client);
                results.served += 1;
                results.in_time += usize::from(in_time);
            }
            Answer::Refused { keep } => {
                router.rotation.record_refused(now);
                let delay = match router.rotation.moves_retries(now) {
                    true => RETRY_STEPS,
                    false => STRAINED_RETRY_STEPS,
                };
                if keep {
                    self.clients[client].idle.push((index, read_at));
                }
                self.retry(index, attempt, read_at + delay);
            }
        }
    }

    fn run_routers(&mut self, play: &Play, step: usize) {
        for (index, client, keep) in std::mem::take(&mut self.ends[step]) {
            let router = &mut self.routers[index];
            router.requests = router.requests.saturating_sub(1);
            if keep {
                self.clients[client].idle.push((index, step));
            }
        }
        let last = self.routers.len() - 1;
        if play.restart.is_some_and(|second| step == second * STEPS) {
            self.routers[last] = Router::new(play.strengths[last], last, self.time(step));
            self.routers[last].unready_until = step + 5 * STEPS;
            for client in &mut self.clients {
                client.idle.retain(|(router, _)| *router != last);
            }
        }
        if play.late_once.is_some_and(|second| step == second * STEPS) {
            self.routers[last].work += play.strengths[last] * 0.05;
        }
        for index in 0..self.routers.len() {
            self.record_lag(play, index, step);
            self.abandon(index, step);
            self.accept(index, step);
            let router = &mut self.routers[index];
            router.work += router.requests as f64 * REQUEST_LOAD * STEP_SECONDS;
            router.work = (router.work - router.strength * STEP_SECONDS).max(0.0);
        }
    }

    fn record_lag(&mut self, play: &Play, index: usize, step: usize) {
        if !step.is_multiple_of(TASK_STEPS) {
            return;
        }
        let now = self.time(step);
        let neighbours = self.neighbours(play, index, step);
        let router = &mut self.routers[index];
        let lag = router.lag();
        router.arrivals.record_lag(lag, now);
        let is_at_minimum = router.arrivals.is_at_minimum();
        router.limit.record_lag(lag, router.requests, is_at_minimum);
        let load = OwnLoad {
            is_late: lag > MAX_LAG,
            is_overloaded: router.overload.record_lag(lag, false, now),
            requests: router.requests,
        };
        router.rotation.set_neighbours(&neighbours, now);
        let said = router.rotation.update(load, now);
        router.said.push(said);
    }

    /// What a router knows of the others.
    fn neighbours(&self, play: &Play, own: usize, step: usize) -> Vec<Neighbour> {
        let is_apart = |index: usize| index + 2 >= self.routers.len();
        let cut = play.partition.start * STEPS..play.partition.end * STEPS;
        let others = (0..self.routers.len()).filter(|&it| it != own);
        let neighbours = others.map(|index| {
            let router = &self.routers[index];
            let is_cut = cut.contains(&step) && is_apart(own) != is_apart(index);
            let heard = match is_cut {
                true => cut.start,
                false => step,
            };
            let age = (step - heard + REPORT_STEPS) / TASK_STEPS;
            let is_silent = step - heard >= SILENCE_STEPS || step < router.unready_until;
            let latest = router.said.len().checked_sub(1 + age);
            let said = latest.map(|it| router.said[it]).unwrap_or_default();
            Neighbour {
                address: address(index),
                readiness: (!is_silent).then_some(said),
            }
        });
        neighbours.collect()
    }

    fn accept(&mut self, index: usize, step: usize) {
        loop {
            let now = self.time(step);
            let router = &mut self.routers[index];
            if step < router.paused_until {
                return;
            }
            if router.abandoned == 0 && router.backlog.is_empty() {
                return;
            }
            if let Some(pause) = router.arrivals.pause(now) {
                router.pause(pause, step);
                return;
            }
            router.arrivals.record_arrival(now);
            router.accepted += 1;
            if router.accepted.is_multiple_of(ACCEPT_BATCH)
                && let Some(pause) = router.overload.accept_pause(now)
            {
                router.pause(pause, step);
            }
            if router.abandoned > 0 {
                router.abandoned -= 1;
                router.work += ABANDONED_SECONDS;
            } else if let Some(attempt) = router.backlog.pop_front() {
                self.handle(index, attempt, step, CONNECTION_SECONDS);
            }
        }
    }

    /// Callers that were not accepted in time give up.
    fn abandon(&mut self, index: usize, step: usize) {
        let backlog = &mut self.routers[index].backlog;
        let given_up = backlog.partition_point(|it| it.sent_at + PATIENCE_STEPS <= step);
        let given_up: Vec<Attempt> = backlog.drain(..given_up).collect();
        self.routers[index].abandoned += given_up.len();
        for attempt in given_up {
            self.retry(index, attempt, step);
        }
    }
}
