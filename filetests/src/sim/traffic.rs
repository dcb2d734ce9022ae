//! Callers: generation, routing and completion of requests.

use std::time::Duration;

use entity::{
    AttemptId, Cost, Fingerprint, IdempotencyKey, Name, Outcome, Reason, RequestId, RetryAdvice,
    RouteId,
};
use policy::{Arrival, AttemptResult, RouterEvent};
use rand::RngExt;
use rules::Config;
use uuid::Uuid;

use super::plan::{Source, SourceKind};
use super::{Answer, Sim, Step, WARM_UP};
use crate::record::{EntryKind, Subject};
use crate::scenario::{CostDistribution, KeyChoice, Load, PlantedBug};

/// The minimum delay before a caller resends a crash request or replaces a failed backlog request.
const RESEND_DELAY: Duration = Duration::from_millis(500);

/// The time between an answer and the next backlog request.
const THINK_TIME: Duration = Duration::from_millis(2);

/// How many times a crash request is sent.
const CRASH_SENDS: u32 = 20;

/// The cost of requests whose source states none.
const DEFAULT_COST: u32 = 100;

/// The timeout of a request if no router knows its route.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// An active source of requests.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    source: Source,
    until: Option<Duration>,
}

/// An idempotency key.
#[derive(Clone, Debug)]
pub(super) struct Key {
    name: Option<Name>,
    /// The key sent by the caller; absent if the router issues a ticket.
    value: Option<IdempotencyKey>,
}

/// A request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) team: usize,
    pool: usize,
    flow: Option<usize>,
    router: Option<u32>,
    pub(super) cost: Cost,
    hint: Cost,
    pub(super) deadline: Duration,
    key: Option<usize>,
    fingerprint: Fingerprint,
    /// Whether it crashes the targets that run it.
    pub(super) crashes_target: bool,
    sends: u32,
    is_open: bool,
    is_waiting: bool,
    /// The router that is processing it.
    holder: Option<usize>,
    /// The attempt in flight and its agent.
    pub(super) attempt: Option<(AttemptId, usize)>,
    /// The router that sent the attempt, and its epoch.
    pub(super) sender: Option<(usize, u64)>,
}

impl Sim {
    /// Starts a source of requests.
    pub(super) fn start_source(&mut self, source: Source) {
        let flow = self.flows.len();
        let from = WARM_UP + source.load.from.unwrap_or_default();
        let until = source.load.until.map(|until| WARM_UP + until);
        let kind = source.kind;
        self.flows.push(Flow { source, until });
        let delay = from.saturating_sub(self.at);
        match kind {
            SourceKind::Every(_) => self.schedule(delay, Step::Flow { flow }),
            SourceKind::Open(open) => {
                for index in 0..open {
                    let delay = delay + Duration::from_micros(u64::from(index) * 100);
                    self.schedule(delay, Step::Flow { flow });
                }
            }
        }
    }

    pub(super) fn flood(&mut self, team: usize, rate: u32, time: Duration) {
        let from = self.at.saturating_sub(WARM_UP);
        let load = Load {
            from: Some(from),
            until: Some(from + time),
            ..Load::default()
        };
        self.start_source(Source {
            team,
            pool: 0,
            kind: SourceKind::Every(Duration::from_secs(1) / rate),
            load,
        });
    }

    pub(super) fn flow(&mut self, flow: usize) {
        let Flow { source, until } = self.flows[flow].clone();
        if until.is_some_and(|until| self.at >= until) {
            return;
        }
        if let SourceKind::Every(every) = source.kind {
            self.schedule(every, Step::Flow { flow });
        }
        let key = source.load.key.clone().map(|choice| self.key(&choice));
        let request = self.new_request(&source, flow, key);
        for _ in 0..source.load.repeat.unwrap_or(1) {
            let id = self.add(request.clone());
            self.schedule(Duration::ZERO, Step::Send { request: id });
        }
    }

    fn key(&mut self, choice: &KeyChoice) -> usize {
        let name = match choice {
            KeyChoice::Fresh | KeyChoice::Ticket => None,
            KeyChoice::Named(name) => Some(name.clone()),
        };
        let known = self
            .keys
            .iter()
            .position(|key| name.is_some() && key.name == name);
        known.unwrap_or_else(|| {
            let value = (*choice != KeyChoice::Ticket).then(|| self.uuid());
            self.keys.push(Key { name, value });
            self.keys.len() - 1
        })
    }

    /// Generates a UUID of version 7 for the current time.
    fn uuid(&mut self) -> IdempotencyKey {
        let millis = (super::WALL_CLOCK_START + self.at).as_millis();
        let random: u64 = self.rng.random();
        let bits = millis << 80 | 7 << 76 | 2 << 62 | u128::from(random >> 2);
        IdempotencyKey::Caller(Uuid::from_u128(bits))
    }

    fn new_request(&mut self, source: &Source, flow: usize, key: Option<usize>) -> Request {
        let shape = source.load.cost.unwrap_or(CostDistribution {
            median: DEFAULT_COST,
            lognormal: false,
        });
        let deviation = if shape.lognormal {
            self.sample_normal()
        } else {
            0.0
        };
        let cost = (f64::from(shape.median) * deviation.exp()).round().max(1.0);
        let factor = f64::from(source.load.hint.unwrap_or(1));
        let factor = match self.rng.random_range(0..2) {
            0 => factor,
            _ => 1.0 / factor,
        };
        self.serial += 1;
        let identity = key.map_or(u128::from(self.serial), |key| 1 << 100 | key as u128);
        Request {
            team: source.team,
            pool: source.pool,
            flow: Some(flow),
            router: source.load.router,
            cost: Cost(cost as i64),
            hint: Cost((cost * factor).round().max(1.0) as i64),
            deadline: self.at + DEFAULT_TIMEOUT,
            key,
            fingerprint: Fingerprint(identity),
            crashes_target: false,
            sends: 1,
            is_open: false,
            is_waiting: false,
            holder: None,
            attempt: None,
            sender: None,
        }
    }

    /// Samples the standard normal distribution by the Box-Muller method.
    fn sample_normal(&mut self) -> f64 {
        let radius: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let angle: f64 = self.rng.random_range(0.0..core::f64::consts::TAU);
        (-2.0 * radius.ln()).sqrt() * angle.cos()
    }

    /// Sends a request that crashes its targets, up to `CRASH_SENDS` times.
    pub(super) fn crash_request(&mut self, team: usize) {
        let source = Source {
            team,
            pool: 0,
            kind: SourceKind::Open(1),
            load: Load::default(),
        };
        let mut request = self.new_request(&source, 0, None);
        request.flow = None;
        request.crashes_target = true;
        request.sends = CRASH_SENDS;
        let id = self.add(request);
        self.schedule(Duration::ZERO, Step::Send { request: id });
    }

    fn add(&mut self, request: Request) -> RequestId {
        let id = RequestId(self.requests.len() as u128 + 1);
        self.requests.insert(id, request);
        id
    }

    pub(super) fn request_subject(&self, id: RequestId) -> Subject {
        let request = self.requests.get(&id);
        let team = request.map(|request| self.plan.teams[request.team].name.clone());
        Subject {
            request: Some(id),
            key: request
                .and_then(|request| request.key)
                .map(|key| key as u32),
            team,
            ..Subject::default()
        }
    }

    pub(super) fn send_request(&mut self, id: RequestId) {
        let router = self.choose_router(self.requests[&id].router);
        let subject = self.request_subject(id);
        let process = router.map(|router| self.processes[router].name.clone());
        self.log_entry(Subject { process, ..subject }, EntryKind::Arrived);
        let at = self.at;
        let request = self
            .requests
            .get_mut(&id)
            .expect("requests are never dropped");
        request.is_open = true;
        request.deadline = at + DEFAULT_TIMEOUT;
        request.holder = router;
        request.is_waiting = request.key.is_none();
        if request.is_waiting {
            let (pool, team) = (request.pool, request.team);
            self.meters[pool].start_waiting(at, team);
        }
        let Some(router) = router else {
            return self.ended(id, EntryKind::NotRun(Reason::NotConfigured), None);
        };
        if let Some(timeout) = self.timeout(id, router) {
            let request = self
                .requests
                .get_mut(&id)
                .expect("requests are never dropped");
            request.deadline = at + timeout;
        }
        if self.plan.has_bug(&PlantedBug::ForgetRequests) && id.0.is_multiple_of(100) {
            return;
        }
        let epoch = self.processes[router].epoch;
        match self.arrival(id, router) {
            Some(arrival) => {
                let event = Box::new(RouterEvent::Arrived(arrival));
                let step = Step::Router {
                    router,
                    epoch,
                    event,
                };
                self.schedule(Duration::ZERO, step);
            }
            None => self.ended(id, EntryKind::NotRun(Reason::NoRoute), None),
        }
    }

    /// Chooses a ready router for a request, as the load balancer does.
    fn choose_router(&mut self, wanted: Option<u32>) -> Option<usize> {
        let ready = |&router: &usize| self.processes[router].is_ready();
        if let Some(number) = wanted {
            return Some(number as usize - 1).filter(ready);
        }
        let ready: Vec<_> = (0..self.plan.routers as usize).filter(ready).collect();
        match ready.len() {
            0 => None,
            count => Some(ready[self.rng.random_range(0..count)]),
        }
    }

    /// Returns the route of a request under a configuration.
    fn route(&self, id: RequestId, config: &Config) -> Option<RouteId> {
        let request = &self.requests[&id];
        let pool = &self.plan.pools[request.pool];
        let route = match request.key {
            Some(_) => pool.once.as_ref()?,
            None => pool.idempotent.as_ref()?,
        };
        config.names.routes.by_name(route.as_str())
    }

    fn timeout(&self, id: RequestId, router: usize) -> Option<Duration> {
        let config = self.processes[router].config.as_ref()?;
        let route = self.route(id, config)?;
        config.routes[route].as_ref().map(|route| route.timeout)
    }

    /// Returns the request as submitted by the router filters; `None` if its pool has no route.
    fn arrival(&self, id: RequestId, router: usize) -> Option<Arrival> {
        let request = &self.requests[&id];
        let config = self.processes[router].config.as_ref()?;
        let route = self.route(id, config)?;
        let team = config
            .names
            .teams
            .by_name(self.plan.teams[request.team].name.as_str())?;
        let rule = config.routes[route].as_ref()?;
        let class = config.teams[team].as_ref()?.class;
        Some(Arrival {
            request: id,
            team,
            route,
            pool: rule.pool,
            class: rule.class.unwrap_or(class),
            hint: Some(request.hint),
            deadline: self.base + request.deadline,
            key: request.key.and_then(|key| self.keys[key].value),
            fingerprint: request.fingerprint,
            prefix: None,
        })
    }

    /// Whether a request may run at most once.
    pub(super) fn has_key(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.key.is_some())
    }

    /// Records that a request was handed to a target.
    pub(super) fn started(&mut self, id: RequestId) {
        self.stop_waiting(id, true);
    }

    fn stop_waiting(&mut self, id: RequestId, started: bool) {
        let at = self.at;
        let request = self
            .requests
            .get_mut(&id)
            .expect("requests are never dropped");
        if core::mem::take(&mut request.is_waiting) {
            let (pool, team) = (request.pool, request.team);
            self.meters[pool].stop_waiting(at, team, started);
        }
    }

    /// Relays an answer to the caller and to the router state machine.
    pub(super) fn relay(&mut self, router: usize, answer: Answer) {
        let Answer {
            agent,
            attempt,
            load,
            incarnation,
            result,
            body,
        } = answer;
        let request = &self.requests[&attempt.request];
        let is_current = request.is_open && request.attempt == Some((attempt, agent));
        if !is_current {
            self.dropped += 1;
            return;
        }
        let config = self.processes[router].config.as_ref();
        let name = &self.plan.targets[agent].name;
        let target = config.and_then(|config| config.names.targets.by_name(name.as_str()));
        if let Some(target) = target {
            let alive = RouterEvent::IncarnationSeen {
                target,
                incarnation,
            };
            self.drive_router(router, alive);
            self.drive_router(router, RouterEvent::LoadReported { target, load });
        }
        let answered = match result {
            AttemptResult::Answered { cost } => Some(cost),
            _ => None,
        };
        self.drive_router(router, RouterEvent::Ended { attempt, result });
        if let Some(cost) = answered {
            let whole = cost == self.requests[&body].cost;
            self.ended(attempt.request, EntryKind::Answered { body, whole }, None);
        }
    }

    /// Handles a request that a router ended without an answer.
    pub(super) fn finished(&mut self, id: RequestId, outcome: &Outcome) {
        let (kind, retry) = match outcome {
            Outcome::Answered { .. } => {
                unreachable!("routers finish only requests without an answer")
            }
            Outcome::NotRun { refusal, .. } => (EntryKind::NotRun(refusal.reason), refusal.retry),
            Outcome::Unknown { refusal } => (EntryKind::Unknown(refusal.reason), refusal.retry),
        };
        let delay = match retry {
            RetryAdvice::After(delay) => Some(delay),
            _ => None,
        };
        self.ended(id, kind, delay);
    }

    fn ended(&mut self, id: RequestId, kind: EntryKind, retry: Option<Duration>) {
        let subject = self.request_subject(id);
        let is_answer = matches!(kind, EntryKind::Answered { .. });
        self.log_entry(subject, kind);
        self.stop_waiting(id, false);
        let request = self
            .requests
            .get_mut(&id)
            .expect("requests are never dropped");
        request.is_open = false;
        request.holder = None;
        request.attempt = None;
        request.sends -= 1;
        let (sends, flow) = (request.sends, request.flow);
        if sends > 0 && !is_answer {
            let request = request.clone();
            let resend = self.add(request);
            let delay = retry.unwrap_or_default().max(RESEND_DELAY);
            return self.schedule(delay, Step::Send { request: resend });
        }
        let flow = flow.filter(|&flow| matches!(self.flows[flow].source.kind, SourceKind::Open(_)));
        if let Some(flow) = flow {
            let delay = if is_answer {
                THINK_TIME
            } else {
                retry.unwrap_or_default().max(RESEND_DELAY)
            };
            self.schedule(delay, Step::Flow { flow });
        }
    }

    /// Returns the open requests of a router with their attempts and agents.
    pub(super) fn held_by(&self, router: usize) -> Vec<(RequestId, Option<(AttemptId, usize)>)> {
        let requests = self.requests.iter();
        let held =
            requests.filter(|(_, request)| request.is_open && request.holder == Some(router));
        held.map(|(&id, request)| (id, request.attempt)).collect()
    }

    /// Returns the open attempts at an agent.
    pub(super) fn attempts_at(&self, agent: usize) -> Vec<AttemptId> {
        let requests = self.requests.values().filter(|request| request.is_open);
        let attempts = requests.filter_map(|request| request.attempt);
        let here = attempts.filter(|&(_, at)| at == agent);
        here.map(|(attempt, _)| attempt).collect()
    }

    /// Ends a request whose caller lost the connection to its router.
    pub(super) fn lose_connection(&mut self, id: RequestId) {
        self.ended(id, EntryKind::Lost, None);
    }
}
