//! Tests of the rates that are learned for each target.

#[path = "direct_load/pool.rs"]
#[allow(dead_code, reason = "direct_load uses the rest")]
mod pool;

use std::time::{Duration, Instant};

use knapweed_policy::direct::target_rate::{
    MAX_PEER_FACTOR, MIN_OBSERVATIONS, OUTLIERS, PrefillTime, RATE_TTL, RateRow, TargetRate,
    merge_rows,
};
use knapweed_policy::direct::target_table::{Prompt, PromptPart};
use rand::RngExt as _;

use pool::{KINDS, PREFILL_RATE, Policy, Pool, Request, STEP, prompt, random_of_seed};

const ROUTERS: usize = 3;

/// Speeds of engines as multiples of the configured rate, by data centre.
const SPEEDS: [f64; 6] = [0.7, 0.7, 0.7, 0.7, 1.7, 1.7];

/// The load in alternate seconds, as multiples of the usual one.
const WAVES: [f64; 2] = [0.6, 1.4];

const SECONDS: u64 = 40;

struct Outcome {
    in_time: u32,
    late: u32,
    /// The requests of each target, as a multiple of what its speed gives it.
    shares: Vec<f64>,
    /// The same of prompt tokens.
    work: Vec<f64>,
    learned: Vec<Option<f64>>,
}

fn play(policy: Policy, seed: u64) -> Outcome {
    let start = Instant::now();
    let mut random = random_of_seed(seed);
    let lags = [Duration::ZERO; ROUTERS];
    let mut pool = Pool::new(policy, SPEEDS.len(), PREFILL_RATE, &lags, start);
    pool.set_rates(&SPEEDS.map(|speed| speed * PREFILL_RATE));
    let (mut in_time, mut late) = (0, 0);
    let steps = SECONDS * 1_000 / STEP.as_millis() as u64;
    for step in 0..steps {
        let now = start + STEP * step as u32;
        pool.begin_step(now);
        let second = step * STEP.as_millis() as u64 / 1_000;
        let load = WAVES[second as usize % WAVES.len()];
        for (index, kind) in KINDS.iter().enumerate() {
            if random.random_bool(kind.per_second * load * STEP.as_secs_f64()) {
                let prompt = prompt(index, &mut random);
                let request = Request {
                    kind: index,
                    team: random.random_range(0..20),
                    tokens: prompt.weighted_tokens(),
                };
                let router = random.random_range(0..ROUTERS);
                pool.offer(router, request, &prompt, &mut random, now);
            }
        }
        for begun in pool.end_step(now) {
            match begun.is_late {
                true => late += 1,
                false => in_time += 1,
            }
        }
    }
    Outcome {
        in_time,
        late,
        shares: shares(&pool.requests),
        work: shares(&pool.tokens),
        learned: pool.learned_rates(0),
    }
}

/// The part of each target, as a multiple of what its speed gives it.
fn shares(counts: &[u32]) -> Vec<f64> {
    let sum: u32 = counts.iter().sum();
    let speeds: f64 = SPEEDS.iter().sum();
    let parts = counts.iter().map(|&it| f64::from(it) / f64::from(sum));
    let shares = parts.zip(SPEEDS).map(|(part, speed)| part * speeds / speed);
    shares.collect()
}

/// The stated target: no target gets more than 1.3 times the share of its speed.
#[test]
fn targets_get_requests_in_proportion_to_their_speed() {
    let shares = (1..=4).map(|seed| play(Policy::PerTarget, seed).shares);
    let shares: Vec<Vec<f64>> = shares.collect();
    let most = shares.iter().flatten().copied().fold(0.0, f64::max);
    assert!(most <= 1.3, "{most:.2} of {shares:.2?}");
}

/// The same bound for the tokens of the requests, which differ in length.
#[test]
fn targets_get_work_in_proportion_to_their_speed() {
    let work = (1..=4).map(|seed| play(Policy::PerTarget, seed).work);
    let work: Vec<Vec<f64>> = work.collect();
    let most = work.iter().flatten().copied().fold(0.0, f64::max);
    assert!(most <= 1.3, "{most:.2} of {work:.2?}");
}

#[test]
fn with_the_rate_of_each_target_more_requests_are_in_time() {
    let results = (1..=4).map(|seed| {
        let [one, each] = [Policy::Product, Policy::PerTarget].map(|it| play(it, seed));
        [(one.in_time, one.late), (each.in_time, each.late)]
    });
    let results: Vec<[(u32, u32); 2]> = results.collect();
    let is_better = |[one, each]: &[(u32, u32); 2]| each.0 > one.0 && each.1 <= one.1;
    assert!(results.iter().all(is_better), "in time, late: {results:?}");
}

/// A learned rate must be nearer to its own engine than to the next speed: the middle
/// between 0.7 and 1.7 is 2^0.64 from both.
#[test]
fn rates_are_learned_for_each_target() {
    let outcome = play(Policy::PerTarget, 1);
    for (learned, speed) in outcome.learned.iter().zip(SPEEDS) {
        let factor = learned.expect("a known rate") / (speed * PREFILL_RATE);
        assert!(factor.log2().abs() < 0.64, "{factor:.2} of {speed}");
    }
}

/// A prompt of 6,000 tokens that waited for no other one.
fn prefill(elapsed: Duration) -> PrefillTime {
    PrefillTime {
        tokens: 6_000.0,
        elapsed,
        is_queued: false,
    }
}

/// The targets chosen for 6,000 shared parts by a router that heard these rates, in tokens
/// per second. Nothing waits anywhere, so each request goes to the home of its part.
fn homes(rates: &[u32]) -> Vec<usize> {
    let now = Instant::now();
    let (mut table, service) = pool::empty_table(rates.len(), now);
    table.learn_rates();
    let targets = table.targets_of_service(&service.name).to_vec();
    let rows = targets
        .iter()
        .zip(rates)
        .map(|(&target, &prefill)| RateRow {
            target: table.target(target).tag,
            ..row(prefill, 20, 0)
        });
    let rows: Vec<RateRow> = rows.collect();
    table.set_peer_rates(&rows, now);
    table.update_rates(true, PREFILL_RATE, now);
    let homes = (0..6_000).map(|part| {
        let parts = [(part, 500), (u64::MAX, 100)];
        let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
        let prompt = Prompt {
            parts: parts.into_iter().collect(),
            input_tokens: 600,
            ..Prompt::default()
        };
        let chosen = pool::place(&mut table, &service, &prompt, now);
        let chosen = targets.iter().position(|&it| Some(it) == chosen);
        chosen.expect("a target")
    });
    homes.collect()
}

/// The stated target, for the homes alone.
#[test]
fn targets_are_homes_in_proportion_to_their_speed() {
    let homes = homes(&SPEEDS.map(|speed| (speed * PREFILL_RATE * 1e3) as u32));
    let sum: f64 = SPEEDS.iter().sum();
    for (target, speed) in SPEEDS.iter().enumerate() {
        let count = homes.iter().filter(|&&home| home == target).count();
        let share = count as f64 / homes.len() as f64 / (speed / sum);
        assert!((1.0 / 1.3..=1.3).contains(&share), "{target}: {share:.2}");
    }
}

#[test]
fn a_changed_rate_moves_only_homes_from_or_to_its_target() {
    let [before, after] = [50_000, 100_000].map(|rate| homes(&[50_000, 50_000, 50_000, rate]));
    let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
    let moved: Vec<_> = moved.collect();
    assert!(!moved.is_empty());
    assert!(moved.iter().all(|(_, new)| **new == 3));
}

/// Observes prompts of 6,000 tokens at this rate, and returns the learned rate.
fn observe(rate: &mut TargetRate, per_milli: f64, count: usize, now: Instant) -> Option<f64> {
    for _ in 0..count {
        let elapsed = Duration::from_secs_f64(6_000.0 / per_milli / 1e3);
        rate.record_prefill(prefill(elapsed), 1.0, now);
    }
    rate.end_interval(true, now);
    rate.prefill(PREFILL_RATE, now)
}

fn row(prefill: u32, weight: u16, age: u32) -> RateRow {
    RateRow {
        target: 1,
        prefill,
        step: 0,
        weight,
        age,
        level: None,
    }
}

fn is_near(rate: Option<f64>, expected: f64) -> bool {
    rate.is_some_and(|rate| (rate / expected).ln().abs() < 1e-3)
}

#[test]
fn outliers_and_prompts_of_a_stalled_target_do_not_move_the_rate() {
    let now = Instant::now();
    let mut rate = TargetRate::default();
    assert!(is_near(observe(&mut rate, 70.0, 12, now), 70.0));
    assert!(is_near(observe(&mut rate, 290.0, OUTLIERS, now), 70.0));
    // Prompts that were held up by a stall.
    assert!(is_near(observe(&mut rate, 2.0, 3, now), 70.0));
}

#[test]
fn a_false_pace_does_not_move_the_rate() {
    let now = Instant::now();
    let mut rate = TargetRate::default();
    observe(&mut rate, 70.0, 12, now);
    for pace in [0.5, 4.0] {
        rate.record_prefill(prefill(Duration::from_millis(20)), pace, now);
    }
    assert!(is_near(observe(&mut rate, 70.0, 1, now), 70.0));
}

#[test]
fn observations_of_a_late_router_do_not_count() {
    let now = Instant::now();
    let mut rate = TargetRate::default();
    for _ in 0..12 {
        rate.record_prefill(prefill(Duration::from_millis(900)), 1.0, now);
    }
    rate.end_interval(false, now);
    assert_eq!(rate.prefill(PREFILL_RATE, now), None);
}

#[test]
fn a_rate_is_known_from_few_observations_until_they_are_old() {
    let now = Instant::now();
    let mut rate = TargetRate::default();
    assert_eq!(observe(&mut rate, 70.0, MIN_OBSERVATIONS - 1, now), None);
    assert!(is_near(observe(&mut rate, 70.0, 1, now), 70.0));
    let later = now + RATE_TTL;
    rate.end_interval(true, later);
    assert_eq!(rate.prefill(PREFILL_RATE, later), None);
}

#[test]
fn a_router_that_starts_has_the_rate_from_its_peers_until_it_is_old() {
    let now = Instant::now();
    let mut rate = TargetRate::default();
    rate.set_peers(row(70_000, 20, 0), now);
    assert!(is_near(rate.prefill(PREFILL_RATE, now), 70.0));
    let later = now + RATE_TTL;
    rate.end_interval(true, later);
    assert_eq!(rate.prefill(PREFILL_RATE, later), None);
}

#[test]
fn peers_move_an_observed_rate_within_bounds() {
    let now = Instant::now();
    let mut rate = TargetRate::default();
    observe(&mut rate, 70.0, 12, now);
    for prefill in [0, 1, u32::MAX] {
        rate.set_peers(row(prefill, u16::MAX, 0), now);
        let factor = rate.prefill(PREFILL_RATE, now).expect("a rate") / 70.0;
        let most = MAX_PEER_FACTOR * 1.001;
        assert!(
            (1.0 / most..=most).contains(&factor),
            "{factor} at {prefill}"
        );
    }
}

/// Routers agree on homes: those that see slightly different rates keep one level.
#[test]
fn a_level_is_kept_while_the_rate_is_near_it() {
    let now = Instant::now();
    let mut rate = TargetRate::default();
    let mut level = |factor: f64| rate.update_level(Some(PREFILL_RATE * factor), PREFILL_RATE);
    assert_eq!(level(1.4), Some(1));
    // The border to the next level is at 2^0.75, 1.68.
    assert_eq!(level(1.75), Some(1));
    assert_eq!(level(1.95), Some(2));
    assert_eq!(level(1.60), Some(2));
    let mut other = TargetRate::default();
    let peers = RateRow {
        level: Some(2),
        ..row(80_000, 20, 0)
    };
    other.set_peers(peers, now);
    assert_eq!(other.update_level(Some(80.0), PREFILL_RATE), Some(2));
}

#[test]
fn a_minority_of_reports_does_not_raise_a_merged_rate() {
    let mut rows = vec![row(70_000, 10, 0); 8];
    rows.extend([row(u32::MAX, 10, 0); 2]);
    assert_eq!(merge_rows(&mut rows).expect("a row").prefill, 70_000);
    let old = RATE_TTL.as_millis() as u32;
    assert_eq!(merge_rows(&mut [row(70_000, 10, old)]), None);
}
