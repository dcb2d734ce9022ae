//! A small model of engines, and of the routers that place requests on them.
//!
//! Engines prefill prompts in the order of arrival at a fixed rate, cache parts in
//! limited memory and run a limited number of requests concurrently. Routers
//! exchange reports with a delay. A router can be late: it then observes responses
//! some time after they arrive.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use entity::Name;
use knapweed_policy::direct::cold::Members;
use knapweed_policy::direct::config::{Engine, Service};
use knapweed_policy::direct::fair_share::{FairShares, MAX_WAIT_FACTOR, TeamRate};
use knapweed_policy::direct::overload::MAX_LAG;
use knapweed_policy::direct::placement::{
    CopySource, Placement, PlacementRequest, PlacementSettings, select_target,
};
use knapweed_policy::direct::target::{
    SoftwareVersion, Target, TargetRegistry, TargetState, VersionTag,
};
use knapweed_policy::direct::target_rate::{RateRow, merge_rows};
use knapweed_policy::direct::target_table::{
    AttemptCost, PeerLoadReport, Prompt, PromptPart, TargetEntryId, TargetTable,
};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

/// The prefill rate of an engine, in tokens per millisecond.
pub(crate) const PREFILL_RATE: f64 = 50.0;

/// The length of one step of the model.
pub(crate) const STEP: Duration = Duration::from_millis(2);

/// The interval at which routers exchange reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// How long the last report of a silent router is used.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// The capacity of an engine's cache, in tokens.
const CACHE_TOKENS: u32 = 120_000;

/// The maximum number of teams in a report.
const MAX_REPORTED_TEAMS: usize = 16;

const SLOTS: u32 = 48;

/// The maximum number of rows about kept parts in a report.
const MAX_SENT_ROWS: usize = 256;

/// The seed of a run.
pub(crate) const SEED: u64 = 7;

/// One kind of request.
#[derive(Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) per_second: f64,
    /// The tokens of the part that requests share.
    pub(crate) shared_tokens: u32,
    /// The part that is specific to a request has between a quarter of and twice
    /// this number of tokens.
    pub(crate) own_tokens: u32,
    /// The number of different shared parts.
    pub(crate) shared_prompts: u64,
    pub(crate) objective_millis: u64,
    /// The time from the first event to the end.
    pub(crate) run_millis: u64,
}

pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        name: "review",
        per_second: 20.0,
        shared_tokens: 5_400,
        own_tokens: 4_000,
        shared_prompts: 30,
        objective_millis: 800,
        run_millis: 3_000,
    },
    Kind {
        name: "quote",
        per_second: 60.0,
        shared_tokens: 200,
        own_tokens: 430,
        shared_prompts: 100,
        objective_millis: 600,
        run_millis: 2_000,
    },
    Kind {
        name: "digest",
        per_second: 30.0,
        shared_tokens: 570,
        own_tokens: 1_200,
        shared_prompts: 150,
        objective_millis: 1_200,
        run_millis: 200,
    },
];

/// A placement policy.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// A random target.
    Random,
    /// The target with the fewest waiting tokens, regardless of its cache.
    LeastWaiting,
    /// The implementation under test, without refusals.
    Unlimited,
    /// The implementation under test, with the configured prefill rate.
    Configured,
    /// The implementation under test.
    Product,
    /// The same, with the rate of each target.
    PerTarget,
}

/// A request inside an engine.
struct Running {
    request: Request,
    arrived_at: Instant,
    /// The tokens still to prefill.
    remaining_tokens: f64,
    /// The end, once its prompt is prefilled.
    until: Option<Instant>,
    attempt: Attempt,
}

/// An attempt of a router.
#[derive(Clone, Copy)]
struct Attempt {
    router: usize,
    target: TargetEntryId,
    cost: AttemptCost,
    copy_source: Option<CopySource>,
}

/// What an engine sends to a router.
#[derive(Clone, Copy)]
enum Response {
    FirstEvent,
    End,
}

struct EngineModel {
    /// The capacity of the cache, in tokens.
    memory: u32,
    queue: VecDeque<Running>,
    running: Vec<Running>,
    cache: VecDeque<(u64, u32)>,
}

impl EngineModel {
    fn new(memory: u32) -> Self {
        Self {
            memory,
            queue: VecDeque::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
        }
    }

    /// The tokens of a prompt that are cached.
    fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let is_cached = |part: &&PromptPart| self.cache.iter().any(|(id, _)| *id == part.id);
        let prefix = prompt.parts.iter().take_while(is_cached);
        prefix.map(|part| part.tokens).sum()
    }

    /// Caches the parts of a prompt and returns the tokens to prefill.
    fn admit(&mut self, prompt: &Prompt) -> u32 {
        let mut uncached = 0;
        let mut is_prefix = true;
        for part in &prompt.parts {
            let at = self.cache.iter().position(|(id, _)| *id == part.id);
            is_prefix = is_prefix && at.is_some();
            if !is_prefix {
                uncached += part.tokens;
            }
            if let Some(at) = at {
                self.cache.remove(at);
            }
            self.cache.push_back((part.id, part.tokens));
        }
        while self.cache.iter().map(|(_, tokens)| tokens).sum::<u32>() > self.memory {
            self.cache.pop_front();
        }
        uncached
    }

    /// Prefills for one step. Returns the requests whose prompts were completed.
    fn prefill(&mut self, rate: f64, now: Instant) -> Vec<Begun> {
        let mut begun = Vec::new();
        let mut budget = rate * STEP.as_secs_f64() * 1e3;
        while self.running.len() < SLOTS as usize && budget > 0.0 {
            let Some(first) = self.queue.front_mut() else {
                break;
            };
            let prefilled = first.remaining_tokens.min(budget);
            first.remaining_tokens -= prefilled;
            budget -= prefilled;
            if first.remaining_tokens > 0.0 {
                break;
            }
            let mut it = self.queue.pop_front().expect("a first request");
            let kind = &KINDS[it.request.kind];
            it.until = Some(now + Duration::from_millis(kind.run_millis));
            begun.push(Begun {
                request: it.request,
                attempt: it.attempt,
                is_late: now - it.arrived_at > Duration::from_millis(kind.objective_millis),
            });
            self.running.push(it);
        }
        begun
    }
}

/// A request offered to the pool.
#[derive(Clone, Copy)]
pub(crate) struct Request {
    /// The index of its kind in [`KINDS`].
    pub(crate) kind: usize,
    pub(crate) team: usize,
    /// Its weighted tokens.
    pub(crate) tokens: f64,
}

/// A request whose first event was sent.
pub(crate) struct Begun {
    pub(crate) request: Request,
    attempt: Attempt,
    /// Whether that was after its objective.
    pub(crate) is_late: bool,
}

/// A router of the model.
struct Router {
    table: TargetTable,
    shares: FairShares,
    settings: PlacementSettings,
    /// How long after its arrival a response is observed.
    lag: Duration,
    /// Responses not yet observed.
    responses: VecDeque<(Instant, Attempt, Response)>,
    /// The last report of the teams' rates.
    reported: Vec<(u64, TeamRate)>,
    /// Since when no report has left the router.
    silent_since: Option<Instant>,
}

impl Router {
    fn observe_responses(&mut self, now: Instant) {
        while let Some(&(at, attempt, response)) = self.responses.front()
            && at <= now
        {
            self.responses.pop_front();
            let Attempt { target, cost, .. } = attempt;
            match response {
                Response::FirstEvent => self.table.record_first_event(target, cost, now),
                Response::End => self.table.end_attempt(target, cost, true),
            }
        }
    }
}

/// The engines and their routers.
pub(crate) struct Pool {
    policy: Policy,
    /// The actual prefill rate of each engine, in tokens per millisecond.
    rates: Vec<f64>,
    /// The requests that each engine got.
    pub(crate) requests: Vec<u32>,
    /// The prompt tokens of these requests.
    pub(crate) tokens: Vec<u32>,
    routers: Vec<Router>,
    engines: Vec<EngineModel>,
    targets: Vec<TargetEntryId>,
    service: Service,
    /// The tokens that engines have prefilled.
    pub(crate) prefilled_tokens: f64,
    /// Those of shared parts that an engine had prefilled before.
    pub(crate) reread_tokens: u64,
    seen_parts: BTreeSet<u64>,
    steps: u64,
}

impl Pool {
    /// Creates a pool of `targets` engines that prefill at `rate`, with a router for
    /// each of `lags`.
    pub(crate) fn new(
        policy: Policy,
        targets: usize,
        rate: f64,
        lags: &[Duration],
        now: Instant,
    ) -> Self {
        let settings = match policy {
            Policy::Unlimited => PlacementSettings {
                max_wait_fraction: 1e9,
                ..PlacementSettings::default()
            },
            _ => PlacementSettings::default(),
        };
        let routers: Vec<Router> = lags
            .iter()
            .map(|&lag| {
                let mut table = TargetTable::default();
                table.apply_registry(&registry(targets, now), now);
                if policy == Policy::PerTarget {
                    table.learn_rates();
                }
                Router {
                    table,
                    shares: FairShares::new(0.0),
                    settings,
                    lag,
                    responses: VecDeque::new(),
                    reported: Vec::new(),
                    silent_since: None,
                }
            })
            .collect();
        let target_ids = routers[0].table.targets_of_service(&Name::new("pool"));
        Self {
            policy,
            rates: vec![rate; targets],
            requests: vec![0; targets],
            tokens: vec![0; targets],
            targets: target_ids.to_vec(),
            routers,
            engines: (0..targets)
                .map(|_| EngineModel::new(CACHE_TOKENS))
                .collect(),
            service: service(),
            prefilled_tokens: 0.0,
            reread_tokens: 0,
            seen_parts: BTreeSet::new(),
            steps: 0,
        }
    }

    /// Sets the configured rate of the pool, in tokens per second, and whether teams beyond
    /// their share use spare capacity.
    pub(crate) fn configure_shares(&mut self, pool_rate: f64, is_spare_used: bool, now: Instant) {
        for router in &mut self.routers {
            router.shares.set_pool_rate(pool_rate);
            if is_spare_used {
                router.shares.use_spare_capacity(now);
            }
        }
    }

    /// Lets engines copy at `copy_rate` tokens per millisecond and keep `memory` tokens.
    pub(crate) fn set_engines(&mut self, copy_rate: f64, memory: u32) {
        let engine = self.service.engine.as_mut().expect("an engine");
        engine.copy_rate = copy_rate;
        engine.memory = memory.into();
        for engine in &mut self.engines {
            engine.memory = memory;
        }
    }

    /// Lets the routers weigh what targets keep, and tell each other of it.
    pub(crate) fn weigh_kept_parts(&mut self) {
        for router in &mut self.routers {
            router.table.weigh_kept_parts(PREFILL_RATE);
        }
    }

    fn exchange_kept_parts(&mut self, now: Instant) {
        let tables = self.routers.iter_mut().map(|it| it.table.kept_mut());
        let rows = tables.map(|kept| kept.take_new_rows(MAX_SENT_ROWS, now));
        let rows: Vec<_> = rows.collect();
        let engine = self.service.engine;
        for (index, router) in self.routers.iter_mut().enumerate() {
            let others = rows.iter().enumerate().filter(|(it, _)| *it != index);
            for row in others.flat_map(|(_, rows)| rows) {
                router.table.kept_mut().apply(row, now);
            }
            let rate = router.settings.prefill_rate;
            router.table.update_memory(|_| engine, rate, now);
        }
    }

    /// Begins a step: routers observe what is due, and exchange reports at the end of
    /// an interval.
    pub(crate) fn begin_step(&mut self, now: Instant) {
        for router in &mut self.routers {
            router.observe_responses(now);
        }
        let interval = (REPORT_INTERVAL.as_millis() / STEP.as_millis()) as u64;
        if self.steps.is_multiple_of(interval) {
            self.exchange_reports(now);
            self.exchange_kept_parts(now);
            if matches!(self.policy, Policy::Product | Policy::PerTarget) {
                self.update_rates(now);
            }
        }
        self.steps += 1;
    }

    /// Gives each engine its own prefill rate.
    pub(crate) fn set_rates(&mut self, rates: &[f64]) {
        self.rates = rates.to_vec();
    }

    /// The rate of each target that a router learned, if it did.
    pub(crate) fn learned_rates(&self, router: usize) -> Vec<Option<f64>> {
        let table = &self.routers[router].table;
        let targets = self.targets.iter();
        targets.map(|&it| table.target(it).learned_rate()).collect()
    }

    fn update_rates(&mut self, now: Instant) {
        let rows = self.routers.iter().map(|it| it.table.rate_rows(now));
        let rows: Vec<Vec<RateRow>> = rows.collect();
        for (index, router) in self.routers.iter_mut().enumerate() {
            let others = rows.iter().enumerate().filter(|(it, _)| *it != index);
            let mut by_target: BTreeMap<u64, Vec<RateRow>> = BTreeMap::new();
            for row in others.flat_map(|(_, rows)| rows) {
                by_target.entry(row.target).or_default().push(*row);
            }
            let merged = by_target.values_mut().filter_map(|rows| merge_rows(rows));
            router
                .table
                .set_peer_rates(&merged.collect::<Vec<_>>(), now);
            router
                .table
                .update_rates(router.lag <= MAX_LAG, PREFILL_RATE, now);
            router.table.end_rate_interval(router.lag <= MAX_LAG);
            let observed = router.table.observed_rate();
            router.settings.prefill_rate = observed.tokens_per_milli(PREFILL_RATE);
        }
    }

    /// Ends a step: engines prefill. Returns the requests that began to run.
    pub(crate) fn end_step(&mut self, now: Instant) -> Vec<Begun> {
        let mut all_begun = Vec::new();
        for (engine, &rate) in self.engines.iter_mut().zip(&self.rates) {
            let is_done = |it: &mut Running| it.until.is_some_and(|until| until <= now);
            for it in engine.running.extract_if(.., is_done) {
                respond(&mut self.routers, it.attempt, Response::End, now);
            }
            // Streams continue while prompts are prefilled.
            for it in &engine.running {
                let Attempt { router, target, .. } = it.attempt;
                self.routers[router].table.record_byte(target, now);
            }
            let begun = engine.prefill(rate, now);
            for it in &begun {
                respond(&mut self.routers, it.attempt, Response::FirstEvent, now);
            }
            all_begun.extend(begun);
        }
        all_begun
    }

    /// Sets the software version of the first `count` targets, before the first request.
    pub(crate) fn set_version(&mut self, count: usize, version: &str, now: Instant) {
        let mut registry = registry(self.targets.len(), now);
        let mut targets: Vec<Target> = registry
            .targets
            .values()
            .map(|(it, _)| it.clone())
            .collect();
        let first = self.targets[..count].iter();
        let first: Vec<Name> = first
            .map(|&it| self.routers[0].table.target(it).name.clone())
            .collect();
        for target in targets.iter_mut().filter(|it| first.contains(&it.name)) {
            target.version = SoftwareVersion::new(version);
        }
        registry.replace(targets, now);
        for router in &mut self.routers {
            // The version of an incarnation does not change.
            router.table = TargetTable::default();
            router.table.apply_registry(&registry, now);
        }
    }

    /// Offers a request to a router. Returns whether it was sent to a target.
    pub(crate) fn offer(
        &mut self,
        router: usize,
        request: Request,
        prompt: &Prompt,
        random: &mut ChaCha8Rng,
        now: Instant,
    ) -> bool {
        let attempt = self.begin_attempt(router, request, prompt, None, random, now);
        attempt.is_some_and(|attempt| self.send(attempt, request, prompt, now))
    }

    /// Offers a stream to a router that began at a software version. Returns whether it was
    /// sent to a target.
    pub(crate) fn take_up(
        &mut self,
        router: usize,
        request: Request,
        prompt: &Prompt,
        version: VersionTag,
        random: &mut ChaCha8Rng,
        now: Instant,
    ) -> bool {
        let attempt = self.begin_attempt(router, request, prompt, Some(version), random, now);
        attempt.is_some_and(|attempt| self.send(attempt, request, prompt, now))
    }

    fn send(&mut self, attempt: Attempt, request: Request, prompt: &Prompt, now: Instant) -> bool {
        let source_tokens = attempt.copy_source.map_or(0, |source| {
            let source = self.engine_index(source.target);
            self.engines[source].cached_tokens(prompt)
        });
        let index = self.engine_index(attempt.target);
        self.requests[index] += 1;
        self.tokens[index] += prompt.input_tokens;
        let engine = &mut self.engines[index];
        let cached_tokens = engine.cached_tokens(prompt);
        let copied_tokens = source_tokens.saturating_sub(cached_tokens);
        let prefilled_tokens = engine.admit(prompt) - copied_tokens;
        self.prefilled_tokens += f64::from(prefilled_tokens);
        let copy_rate = self.service.engine.map_or(0.0, |engine| engine.copy_rate);
        let copy_time = f64::from(copied_tokens) / copy_rate.max(1.0);
        let remaining_tokens = f64::from(prefilled_tokens) + copy_time * self.rates[index];
        let shared_tokens = prompt.input_tokens - prompt.own_tokens();
        let is_reread = prompt
            .shared_part()
            .is_some_and(|part| !self.seen_parts.insert(part.id));
        let reread_tokens = shared_tokens.saturating_sub(cached_tokens + copied_tokens);
        self.reread_tokens += u64::from(if is_reread { reread_tokens } else { 0 });
        engine.queue.push_back(Running {
            request,
            arrived_at: now,
            remaining_tokens,
            until: None,
            attempt,
        });
        true
    }

    fn engine_index(&self, target: TargetEntryId) -> usize {
        let mut targets = self.targets.iter();
        let index = targets.position(|it| *it == target);
        index.expect("a known target")
    }

    /// Offers a request that its target does not run. Returns whether it was sent.
    pub(crate) fn offer_unbegun(
        &mut self,
        router: usize,
        request: Request,
        prompt: &Prompt,
        random: &mut ChaCha8Rng,
        now: Instant,
    ) -> bool {
        let attempt = self.begin_attempt(router, request, prompt, None, random, now);
        let Some(Attempt { target, cost, .. }) = attempt else {
            return false;
        };
        let state = &mut self.routers[router];
        state.table.end_attempt(target, cost, false);
        let team = request.team as u64;
        state.shares.record_unbegun(team, request.tokens, now, now);
        true
    }

    fn begin_attempt(
        &mut self,
        router: usize,
        request: Request,
        prompt: &Prompt,
        version: Option<VersionTag>,
        random: &mut ChaCha8Rng,
        now: Instant,
    ) -> Option<Attempt> {
        let state = &mut self.routers[router];
        let team = request.team as u64;
        state
            .shares
            .record_request(team, prompt.weighted_tokens(), now);
        let is_preferred = version.is_some() && state.shares.is_continued_preferred(team, now);
        if matches!(self.policy, Policy::Product | Policy::PerTarget)
            && !is_preferred
            && state.shares.held_for(team, now).is_some()
        {
            return None;
        }
        let chosen = match self.policy {
            Policy::Random => {
                let index = random.random_range(0..self.targets.len());
                Some((self.targets[index], None))
            }
            Policy::LeastWaiting => {
                let waiting = |target: &TargetEntryId| {
                    state
                        .table
                        .target(*target)
                        .waiting_tokens(PREFILL_RATE, now)
                };
                let targets = self.targets.iter().copied();
                let least = targets.min_by(|a, b| waiting(a).total_cmp(&waiting(b)));
                least.map(|target| (target, None))
            }
            Policy::Unlimited | Policy::Configured | Policy::Product | Policy::PerTarget => {
                let objective = KINDS[request.kind].objective_millis;
                let min_objective = Duration::from_millis(600);
                let placement_request = PlacementRequest {
                    service: &self.service,
                    prompt: Some(prompt),
                    min_objective,
                    objective: Duration::from_millis(objective),
                    wait_factor: match is_preferred {
                        true => MAX_WAIT_FACTOR,
                        false => state.shares.wait_factor(team, now),
                    },
                    excess_delay: state.shares.excess_delay(team, min_objective, now),
                    centre: &Name::new("north"),
                    version,
                    tried: &[],
                    members: &Members::default(),
                };
                let settings = &state.settings;
                match select_target(&mut state.table, settings, &placement_request, &(), now) {
                    Placement::Target {
                        target,
                        copy_source,
                        ..
                    } => Some((target, copy_source)),
                    Placement::Refused { .. } => {
                        state.shares.record_refused(team, now);
                        None
                    }
                }
            }
        };
        let (target, copy_source) = chosen?;
        if is_preferred {
            let tokens = prompt.weighted_tokens();
            state.shares.record_continued(team, tokens, now);
        }
        state
            .shares
            .record_admitted(team, prompt.weighted_tokens(), now);
        let copied = copy_source.map_or(0, |source| source.tokens);
        let cost = state.table.begin_attempt(target, Some(prompt), copied, now);
        Some(Attempt {
            router,
            target,
            cost,
            copy_source,
        })
    }

    /// Refuses a request at a router without selecting a target.
    pub(crate) fn refuse(&mut self, router: usize, request: Request, now: Instant) {
        let shares = &mut self.routers[router].shares;
        shares.record_request(request.team as u64, request.tokens, now);
    }

    /// Sheds a connection at a router, which does not learn whose it is.
    pub(crate) fn shed(&mut self, router: usize) {
        self.routers[router].shares.record_shed();
    }

    /// Stops or resumes the reports of a router.
    pub(crate) fn set_silent(&mut self, router: usize, is_silent: bool, now: Instant) {
        let state = &mut self.routers[router];
        state.silent_since = match is_silent {
            true => state.silent_since.or(Some(now)),
            false => None,
        };
    }

    fn exchange_reports(&mut self, now: Instant) {
        for router in &mut self.routers {
            match router.silent_since {
                None => router.reported = router.shares.report(MAX_REPORTED_TEAMS, now),
                Some(since) if now - since < PEER_TIMEOUT => {}
                Some(_) => router.reported.clear(),
            }
        }
        let loads: Vec<PeerLoadReport> = self
            .routers
            .iter()
            .map(|router| PeerLoadReport {
                received_at: now,
                reports: router
                    .table
                    .load_reports(router.settings.prefill_rate, now)
                    .into(),
            })
            .collect();
        let reported = self.routers.iter().map(|router| router.reported.clone());
        let rates: Vec<Vec<(u64, TeamRate)>> = reported.collect();
        for (index, router) in self.routers.iter_mut().enumerate() {
            let others = loads.iter().enumerate();
            let others = others.filter(|(other, _)| *other != index);
            router
                .table
                .set_peer_loads(others.map(|(_, report)| report), now);
            let mut sums: FxHashMap<u64, TeamRate> = FxHashMap::default();
            let others = rates.iter().enumerate();
            let others = others.filter(|(other, _)| *other != index);
            for (team, rate) in others.flat_map(|(_, it)| it) {
                let sum = sums.entry(*team).or_default();
                sum.requested += rate.requested;
                sum.admitted += rate.admitted;
            }
            router.shares.set_peers(sums);
        }
    }
}

/// A table of idle targets, and their service.
pub(crate) fn empty_table(targets: usize, now: Instant) -> (TargetTable, Service) {
    let mut table = TargetTable::default();
    table.apply_registry(&registry(targets, now), now);
    (table, service())
}

/// The target that is chosen for a prompt of a team within its share.
pub(crate) fn place(
    table: &mut TargetTable,
    service: &Service,
    prompt: &Prompt,
    now: Instant,
) -> Option<TargetEntryId> {
    let request = PlacementRequest {
        service,
        prompt: Some(prompt),
        min_objective: Duration::from_millis(600),
        objective: Duration::from_millis(600),
        wait_factor: 1.0,
        centre: &Name::new("north"),
        version: None,
        tried: &[],
        members: &Members::default(),
        excess_delay: None,
    };
    match select_target(table, &PlacementSettings::default(), &request, &(), now) {
        Placement::Target { target, .. } => Some(target),
        Placement::Refused { .. } => None,
    }
}

/// Delivers a response to its router, at once unless the router is late.
fn respond(routers: &mut [Router], attempt: Attempt, response: Response, now: Instant) {
    let router = &mut routers[attempt.router];
    let due = now + router.lag;
    router.responses.push_back((due, attempt, response));
    router.observe_responses(now);
}

fn service() -> Service {
    Service {
        name: Name::new("pool"),
        connections: 100,
        cold_rate: 0.0,
        engine: Some(Engine {
            slots: SLOTS,
            memory: 10_000_000,
            copy_rate: 0.0,
        }),
    }
}

fn registry(targets: usize, now: Instant) -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    let targets = (0..targets).map(|number| Target {
        name: Name::new(&format!("t{number}")),
        service: Name::new("pool"),
        address: ([10, 0, 0, number as u8], 80).into(),
        centre: Name::new("north"),
        slots: SLOTS,
        state: TargetState::Ready,
        cold: Duration::ZERO,
        born: 1,
        version: SoftwareVersion::default(),
    });
    registry.replace(targets.collect(), now);
    registry
}

/// The tokens that a request generates.
const OUTPUT_TOKENS: u32 = 200;

/// Draws a prompt of the kind with this index in [`KINDS`].
pub(crate) fn prompt(index: usize, random: &mut ChaCha8Rng) -> Prompt {
    let kind = &KINDS[index];
    let shared_prompt = random.random_range(0..kind.shared_prompts);
    let shared = PromptPart {
        id: (index as u64) << 32 | shared_prompt,
        tokens: kind.shared_tokens,
    };
    let tokens = random.random_range(kind.own_tokens / 4..kind.own_tokens * 2);
    let own = PromptPart {
        id: random.random(),
        tokens,
    };
    Prompt {
        parts: [shared, own].into_iter().collect(),
        input_tokens: kind.shared_tokens + tokens,
        max_output_tokens: OUTPUT_TOKENS,
        expected_output_tokens: OUTPUT_TOKENS,
    }
}

/// The random numbers of a run.
pub(crate) fn seeded_random() -> ChaCha8Rng {
    random_of_seed(SEED)
}

/// The random numbers of a run with another seed.
pub(crate) fn random_of_seed(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}
