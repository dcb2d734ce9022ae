//! Tests of request latency and fairness under load: placement by edge routers on
//! a small model of engines.
//!
//! Each snapshot shows the same load under several placement policies, the
//! implementation under test last.

#[path = "direct_load/pool.rs"]
#[allow(dead_code, reason = "direct_rates uses the rest")]
mod pool;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use rand::RngExt as _;

use pool::{KINDS, PREFILL_RATE, Policy, Pool, Request, STEP, prompt, seeded_random};

#[path = "direct_load/continued.rs"]
mod continued;
#[path = "direct_load/fairness.rs"]
mod fairness;

#[path = "direct_load/kept.rs"]
mod kept;
#[path = "direct_load/spare.rs"]
mod spare;

const ROUTERS: usize = 3;
const TARGETS: usize = 6;

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

fn run(run: &Run) -> Outcome {
    let start = Instant::now();
    let mut random = seeded_random();
    let mut pool = Pool::new(
        run.policy,
        TARGETS,
        run.rate,
        &[Duration::ZERO; ROUTERS],
        start,
    );
    let mut outcome = Outcome {
        kinds: Default::default(),
        teams: BTreeMap::new(),
        prefilled_tokens: 0.0,
    };
    let steps = run.seconds * 1_000 / STEP.as_millis() as u64;
    for step in 0..steps {
        let now = start + STEP * step as u32;
        pool.begin_step(now);
        for (index, kind) in KINDS.iter().enumerate() {
            let rate = kind.per_second * run.load_factor * STEP.as_secs_f64();
            if !random.random_bool(rate.min(1.0)) {
                continue;
            }
            let prompt = prompt(index, &mut random);
            let router = random.random_range(0..ROUTERS);
            let team = match random.random_range(0..run.flood_ratio + 5) {
                number if number < run.flood_ratio => 0,
                number => 1 + (number - run.flood_ratio) as usize,
            };
            let request = Request {
                kind: index,
                team,
                tokens: prompt.weighted_tokens(),
            };
            if !pool.offer(router, request, &prompt, &mut random, now) {
                outcome.kinds[index].refused += 1;
                outcome.teams.entry(team).or_default().refused += 1;
            }
        }
        for begun in pool.end_step(now) {
            let Request { kind, team, .. } = begun.request;
            for results in [
                &mut outcome.kinds[kind],
                outcome.teams.entry(team).or_default(),
            ] {
                match begun.is_late {
                    true => results.late += 1,
                    false => results.in_time += 1,
                }
            }
        }
    }
    outcome.prefilled_tokens = pool.prefilled_tokens;
    outcome
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
