//! Tests of request latency under load: placement by edge routers on a small
//! model of engines.
//!
//! The model prefills prompts in the order of arrival at a fixed rate, caches
//! parts in limited memory and runs a limited number of requests concurrently.
//! Three routers place requests on it and exchange reports with a delay. Each
//! snapshot shows the same load under several placement policies, the
//! implementation under test last.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use entity::Name;
use knapweed_policy::direct::cold::Members;
use knapweed_policy::direct::config::{Engine, Service};
use knapweed_policy::direct::fair_share::FairShares;
use knapweed_policy::direct::placement::{
    Placement, PlacementRequest, PlacementSettings, select_target,
};
use knapweed_policy::direct::target::{Target, TargetRegistry, TargetState};
use knapweed_policy::direct::target_table::{
    AttemptCost, PeerLoadReport, Prompt, PromptPart, TargetEntryId, TargetTable,
};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The prefill rate of an engine of the model, in tokens per millisecond.
const PREFILL_RATE: f64 = 50.0;

/// The length of one step of the model.
const STEP: Duration = Duration::from_millis(2);

/// The interval at which routers exchange reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The capacity of an engine's cache, in tokens.
const CACHE_TOKENS: u32 = 120_000;

const TARGETS: usize = 6;
const ROUTERS: usize = 3;
const SLOTS: u32 = 48;

/// One kind of request.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    per_second: f64,
    /// The tokens of the part that requests share.
    shared_tokens: u32,
    /// The part that is specific to a request has between a quarter of and twice
    /// this number of tokens.
    own_tokens: u32,
    /// The number of different shared parts.
    shared_prompts: u64,
    objective_millis: u64,
    /// The time from the first event to the end.
    run_millis: u64,
}

const KINDS: [Kind; 3] = [
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
enum Policy {
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
}

/// A request inside an engine.
struct Running {
    kind: usize,
    team: usize,
    arrived_at: Instant,
    /// The tokens still to prefill.
    remaining_tokens: f64,
    /// The end, once its prompt is prefilled.
    until: Option<Instant>,
    router: usize,
    target: TargetEntryId,
    cost: AttemptCost,
}

#[derive(Default)]
struct EngineModel {
    queue: VecDeque<Running>,
    running: Vec<Running>,
    cache: VecDeque<(u64, u32)>,
}

impl EngineModel {
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
        while self.cache.iter().map(|(_, tokens)| tokens).sum::<u32>() > CACHE_TOKENS {
            self.cache.pop_front();
        }
        uncached
    }
}

/// The results of requests.
#[derive(Default, Clone, Copy)]
struct Results {
    in_time: u32,
    late: u32,
    refused: u32,
}

struct Run {
    policy: Policy,
    /// The load as a multiple of the usual load.
    load_factor: f64,
    /// The actual prefill rate of an engine, in tokens per millisecond.
    rate: f64,
    /// Requests of team 0 per request of another team.
    flood_ratio: u64,
    seconds: u64,
}

struct Outcome {
    kinds: [Results; KINDS.len()],
    teams: BTreeMap<usize, Results>,
    prefilled_tokens: f64,
}

fn registry(now: Instant) -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    let targets = (0..TARGETS).map(|number| Target {
        name: Name::new(&format!("t{number}")),
        service: Name::new("pool"),
        address: ([10, 0, 0, number as u8], 80).into(),
        centre: Name::new("north"),
        slots: SLOTS,
        state: TargetState::Ready,
        cold: Duration::ZERO,
        born: 1,
    });
    registry.replace(targets.collect(), now);
    registry
}

fn prompt(kind: &Kind, index: usize, random: &mut ChaCha8Rng) -> Prompt {
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
        max_output_tokens: 200,
    }
}

fn run(run: &Run) -> Outcome {
    let start = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut target_tables: Vec<TargetTable> = vec![TargetTable::default(); ROUTERS];
    let mut shares: Vec<FairShares> = vec![FairShares::new(0.0); ROUTERS];
    for target_table in &mut target_tables {
        target_table.apply_registry(&registry(start), start);
    }
    let targets: Vec<TargetEntryId> = target_tables[0]
        .targets_of_service(&Name::new("pool"))
        .to_vec();
    let mut engines: Vec<EngineModel> = (0..TARGETS).map(|_| EngineModel::default()).collect();
    let mut outcome = Outcome {
        kinds: Default::default(),
        teams: BTreeMap::new(),
        prefilled_tokens: 0.0,
    };
    let service = Service {
        name: Name::new("pool"),
        connections: 100,
        cold_rate: 0.0,
        engine: Some(Engine {
            slots: SLOTS,
            memory: 10_000_000,
            copy_rate: 0.0,
        }),
    };
    let mut settings = match run.policy {
        Policy::Unlimited => PlacementSettings {
            max_wait_fraction: 1e9,
            ..PlacementSettings::default()
        },
        _ => PlacementSettings::default(),
    };
    let steps = run.seconds * 1_000 / STEP.as_millis() as u64;
    for step in 0..steps {
        let now = start + STEP * step as u32;
        if step % (REPORT_INTERVAL.as_millis() / STEP.as_millis()) as u64 == 0 {
            exchange_reports(&mut target_tables, &mut shares, now);
            if run.policy == Policy::Product {
                settings.prefill_rate = target_tables[0]
                    .observed_rate()
                    .tokens_per_milli(PREFILL_RATE);
                target_tables
                    .iter_mut()
                    .for_each(|it| it.set_prefill_rate(settings.prefill_rate));
            }
        }
        for (index, kind) in KINDS.iter().enumerate() {
            let rate = kind.per_second * run.load_factor * STEP.as_secs_f64();
            if !random.random_bool(rate.min(1.0)) {
                continue;
            }
            let prompt = prompt(kind, index, &mut random);
            let router = random.random_range(0..ROUTERS);
            let team = match random.random_range(0..run.flood_ratio + 5) {
                number if number < run.flood_ratio => 0,
                number => 1 + (number - run.flood_ratio) as usize,
            };
            shares[router].record_request(team as u64, prompt.weighted_tokens(), now);
            let chosen = match run.policy {
                Policy::Random => Some(targets[random.random_range(0..TARGETS)]),
                Policy::LeastWaiting => {
                    let waiting = |target: &TargetEntryId| {
                        target_tables[router]
                            .target(*target)
                            .waiting_tokens(PREFILL_RATE, now)
                    };
                    targets
                        .iter()
                        .copied()
                        .min_by(|a, b| waiting(a).total_cmp(&waiting(b)))
                }
                Policy::Unlimited | Policy::Configured | Policy::Product => {
                    let request = PlacementRequest {
                        service: &service,
                        prompt: Some(&prompt),
                        min_objective: Duration::from_millis(600),
                        objective: Duration::from_millis(kind.objective_millis),
                        wait_factor: shares[router].wait_factor(team as u64, now),
                        centre: &Name::new("north"),
                        tried: &[],
                        members: &Members::default(),
                    };
                    match select_target(&mut target_tables[router], &settings, &request, now) {
                        Placement::Target { target, .. } => Some(target),
                        Placement::Refused { .. } => None,
                    }
                }
            };
            let Some(target) = chosen else {
                outcome.kinds[index].refused += 1;
                outcome.teams.entry(team).or_default().refused += 1;
                continue;
            };
            shares[router].record_admitted(team as u64, prompt.weighted_tokens(), now);
            let cost = target_tables[router].begin_attempt(target, Some(&prompt), 0, now);
            let engine = &mut engines[targets
                .iter()
                .position(|it| *it == target)
                .expect("a known target")];
            let remaining_tokens = f64::from(engine.admit(&prompt));
            outcome.prefilled_tokens += remaining_tokens;
            engine.queue.push_back(Running {
                kind: index,
                team,
                arrived_at: now,
                remaining_tokens,
                until: None,
                router,
                target,
                cost,
            });
        }
        for engine in &mut engines {
            advance(engine, run.rate, &mut target_tables, &mut outcome, now);
        }
    }
    outcome
}

fn exchange_reports(target_tables: &mut [TargetTable], shares: &mut [FairShares], now: Instant) {
    let reports: Vec<PeerLoadReport> = target_tables
        .iter()
        .map(|target_table| PeerLoadReport {
            received_at: now,
            reports: target_table.load_reports(PREFILL_RATE, now).into(),
        })
        .collect();
    let rates: Vec<_> = shares
        .iter_mut()
        .map(|shares| shares.report(16, now))
        .collect();
    for (index, target_table) in target_tables.iter_mut().enumerate() {
        let others = reports
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index);
        target_table.set_peer_loads(others.map(|(_, report)| report), now);
        let mut sums = rustc_hash::FxHashMap::default();
        for (team, rate) in rates
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
            .flat_map(|(_, it)| it)
        {
            let sum: &mut knapweed_policy::direct::fair_share::TeamRate =
                sums.entry(*team).or_default();
            sum.requested += rate.requested;
            sum.admitted += rate.admitted;
        }
        shares[index].set_peers(sums);
    }
}

fn advance(
    engine: &mut EngineModel,
    rate: f64,
    target_tables: &mut [TargetTable],
    outcome: &mut Outcome,
    now: Instant,
) {
    let done: Vec<Running> = engine
        .running
        .extract_if(.., |it| it.until.is_some_and(|until| until <= now))
        .collect();
    for it in done {
        target_tables[it.router].end_attempt(it.target, it.cost, true);
    }
    // Streams continue while prompts are prefilled.
    for it in &engine.running {
        target_tables[it.router].record_byte(it.target, now);
    }
    let mut budget = rate * STEP.as_secs_f64() * 1e3;
    while engine.running.len() < SLOTS as usize && budget > 0.0 {
        let Some(first) = engine.queue.front_mut() else {
            return;
        };
        let prefilled = first.remaining_tokens.min(budget);
        first.remaining_tokens -= prefilled;
        budget -= prefilled;
        if first.remaining_tokens > 0.0 {
            return;
        }
        let mut it = engine.queue.pop_front().expect("a first request");
        let kind = &KINDS[it.kind];
        target_tables[it.router].record_first_event(it.target, it.cost, now);
        it.until = Some(now + Duration::from_millis(kind.run_millis));
        let is_late = now - it.arrived_at > Duration::from_millis(kind.objective_millis);
        for results in [
            &mut outcome.kinds[it.kind],
            outcome.teams.entry(it.team).or_default(),
        ] {
            if is_late {
                results.late += 1;
            } else {
                results.in_time += 1;
            }
        }
        engine.running.push(it);
    }
}

fn table(load_factor: f64, flood_ratio: u64) -> String {
    let policies = [
        (Policy::Random, "random"),
        (Policy::LeastWaiting, "least waiting"),
        (Policy::Unlimited, "unlimited"),
        (Policy::Product, "product"),
    ];
    let mut text = String::new();
    for (policy, name) in policies {
        let outcome = run(&Run {
            policy,
            load_factor,
            rate: PREFILL_RATE,
            flood_ratio,
            seconds: 20,
        });
        write!(
            text,
            "{name}: prefilled {:.0}k",
            outcome.prefilled_tokens / 1e3
        )
        .expect("text");
        for (kind, results) in KINDS.iter().zip(outcome.kinds) {
            write!(
                text,
                ", {} {}/{}/{}",
                kind.name, results.in_time, results.late, results.refused
            )
            .expect("text");
        }
        text.push('\n');
    }
    text
}

/// Shows the tokens that engines prefill, and counts of requests in time, late and
/// refused, by policy and kind.
#[test]
fn usual_load_is_served_and_twice_the_load_is_served_to_the_pools_limit() {
    insta::assert_snapshot!(format!(
        "usual load\n{}\ntwice the load\n{}",
        table(1.0, 1),
        table(2.0, 1)
    ));
}

/// Guards against overload reducing the number of responses in time below that at
/// the usual load.
#[test]
fn overload_does_not_lower_what_is_served_in_time() {
    let sum = |load_factor| {
        let outcome = run(&Run {
            policy: Policy::Product,
            load_factor,
            rate: PREFILL_RATE,
            flood_ratio: 1,
            seconds: 20,
        });
        outcome
            .kinds
            .iter()
            .map(|results| results.in_time)
            .sum::<u32>()
    };
    let (usual, heavy) = (sum(1.0), sum(2.5));
    assert!(
        heavy >= usual,
        "{heavy} in time at 2.5 times the load, {usual} at the usual one"
    );
}

/// Guards against one team's flood of requests crowding out teams that request
/// less.
#[test]
fn a_flood_from_one_team_does_not_starve_the_others() {
    let outcome = run(&Run {
        policy: Policy::Product,
        load_factor: 2.0,
        rate: PREFILL_RATE,
        flood_ratio: 15,
        seconds: 20,
    });
    let share = |results: &Results| {
        f64::from(results.in_time) / f64::from(results.in_time + results.late + results.refused)
    };
    let flood = share(&outcome.teams[&0]);
    for (team, results) in outcome.teams.iter().filter(|(team, _)| **team != 0) {
        assert!(
            share(results) >= flood,
            "team {team}: {:.2}, flood {flood:.2}",
            share(results)
        );
        assert!(share(results) >= 0.8, "team {team}: {:.2}", share(results));
    }
}

/// Engines prefill at a third of the configured rate, and at twice that rate.
#[test]
fn a_prefill_rate_that_differs_from_the_configured_one_is_estimated() {
    let sums = |policy, rate: f64, load_factor| {
        let outcome = run(&Run {
            policy,
            load_factor,
            rate,
            flood_ratio: 1,
            seconds: 20,
        });
        let sum = |count: fn(&Results) -> u32| outcome.kinds.iter().map(count).sum::<u32>();
        (sum(|results| results.in_time), sum(|results| results.late))
    };
    let (slow, slow_factor) = (PREFILL_RATE / 3.0, 0.7);
    let (_, configured_late) = sums(Policy::Configured, slow, slow_factor);
    let (in_time, late) = sums(Policy::Product, slow, slow_factor);
    assert!(
        late * 3 <= configured_late,
        "{late} late, {configured_late} with the configured rate"
    );
    assert!(late * 10 <= in_time, "{late} late, {in_time} in time");
    let (fast, fast_factor) = (PREFILL_RATE * 2.0, 3.0);
    let (configured_in_time, _) = sums(Policy::Configured, fast, fast_factor);
    let (in_time, _) = sums(Policy::Product, fast, fast_factor);
    assert!(
        in_time >= configured_in_time,
        "{in_time} in time, {configured_in_time} with the configured rate"
    );
}
