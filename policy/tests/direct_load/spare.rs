//! Tests of teams beyond their share on targets that would be idle.
//!
//! The configured rate of the pool is about a third of what the engines carry, and
//! callers request about twice what they carry.

use std::time::{Duration, Instant};

use knapweed_policy::direct::fair_share::TeamRate;
use knapweed_policy::direct::spare_capacity::{MAX_DELAY_FRACTION, SpareCapacity};
use rand::RngExt as _;

use crate::pool::{KINDS, PREFILL_RATE, Policy, Pool, Request, STEP, prompt, random_of_seed};
use crate::{ROUTERS, Results};

/// The configured rate of the pool, in tokens per second.
const POOL_RATE: f64 = 60_000.0;

/// The rate of the engines as a multiple of the configured one, close enough to it that the
/// configured one is used.
const RATE_RATIO: f64 = 1.45;

const SEEDS: std::ops::Range<u64> = 1..5;

const TARGETS: usize = 16;

/// The number of teams beside team 0.
const OTHERS: u64 = 5;

struct Load {
    /// Requests as a multiple of the usual load.
    factor: f64,
    /// Requests of team 0 per request of another team, and when they begin.
    flood_ratio: u64,
    flood_from: Duration,
    seconds: u64,
}

struct Outcome {
    flood: Results,
    others: Results,
}

impl Outcome {
    fn in_time(&self) -> u32 {
        self.flood.in_time + self.others.in_time
    }
}

impl Results {
    fn not_in_time(&self) -> u32 {
        self.late + self.refused
    }
}

fn run(load: &Load, is_spare_used: bool, seed: u64) -> Outcome {
    let start = Instant::now();
    let mut random = random_of_seed(seed);
    let lags = [Duration::ZERO; ROUTERS];
    let mut pool = Pool::new(
        Policy::Product,
        TARGETS,
        PREFILL_RATE * RATE_RATIO,
        &lags,
        start,
    );
    pool.configure_shares(POOL_RATE, is_spare_used, start);
    let (mut flood, mut others) = (Results::default(), Results::default());
    let steps = load.seconds * 1_000 / STEP.as_millis() as u64;
    for step in 0..steps {
        let now = start + STEP * step as u32;
        pool.begin_step(now);
        for (index, kind) in KINDS.iter().enumerate() {
            let rate = kind.per_second * load.factor * STEP.as_secs_f64();
            let (is_due, number) = (
                random.random_bool(rate.min(1.0)),
                random.random_range(0..load.flood_ratio + OTHERS),
            );
            let (router, prompt) = (random.random_range(0..ROUTERS), prompt(index, &mut random));
            let team = number.saturating_sub(load.flood_ratio - 1) as usize;
            if !is_due || (team == 0 && now < start + load.flood_from) {
                continue;
            }
            let request = Request {
                kind: index,
                team,
                tokens: prompt.weighted_tokens(),
            };
            if !pool.offer(router, request, &prompt, &mut random, now) {
                results_of(team, &mut flood, &mut others).refused += 1;
            }
        }
        for begun in pool.end_step(now) {
            let results = results_of(begun.request.team, &mut flood, &mut others);
            match begun.is_late {
                true => results.late += 1,
                false => results.in_time += 1,
            }
        }
    }
    Outcome { flood, others }
}

fn results_of<'a>(team: usize, flood: &'a mut Results, others: &'a mut Results) -> &'a mut Results {
    match team {
        0 => flood,
        _ => others,
    }
}

/// One team requests five times its share.
#[test]
fn a_third_more_is_served_in_time_while_a_team_is_beyond_its_share() {
    let load = Load {
        factor: 3.0,
        flood_ratio: 55,
        flood_from: Duration::ZERO,
        seconds: 15,
    };
    for seed in SEEDS {
        let (without, with) = (run(&load, false, seed), run(&load, true, seed));
        assert!(
            with.in_time() * 3 >= without.in_time() * 4,
            "seed {seed}: {} in time, {} without spare capacity",
            with.in_time(),
            without.in_time()
        );
        assert!(
            with.others.not_in_time() <= without.others.not_in_time(),
            "seed {seed}: {} of other teams not in time, {} without spare capacity",
            with.others.not_in_time(),
            without.others.not_in_time()
        );
    }
}

/// A flood of more than the pool can carry begins in one step.
#[test]
fn a_flood_delays_teams_within_their_share_no_more_than_without_spare_capacity() {
    let load = Load {
        factor: 8.0,
        flood_ratio: 155,
        flood_from: Duration::from_secs(5),
        seconds: 15,
    };
    for seed in SEEDS {
        let (without, with) = (run(&load, false, seed), run(&load, true, seed));
        assert!(
            with.others.not_in_time() <= without.others.not_in_time(),
            "seed {seed}: {} of other teams not in time, {} without spare capacity",
            with.others.not_in_time(),
            without.others.not_in_time()
        );
        assert!(with.flood.in_time >= without.flood.in_time, "seed {seed}");
    }
}

#[test]
fn a_refusal_within_a_share_takes_half_of_the_spare_capacity_back_at_once() {
    let start = Instant::now();
    let objective = Duration::from_millis(800);
    let most = objective.mul_f64(MAX_DELAY_FRACTION);
    let mut spare = SpareCapacity::new(start);
    assert_eq!(spare.max_delay(objective, start), Duration::ZERO);
    let now = start + Duration::from_secs(2);
    assert_eq!(spare.max_delay(objective, now), most);
    spare.record_refused(now);
    spare.record_refused(now);
    assert_eq!(spare.max_delay(objective, now), most / 2);
    let later = now + Duration::from_secs(1);
    assert_eq!(spare.max_delay(objective, later), most);
}

#[test]
fn nothing_is_spare_while_a_tenth_of_the_demand_within_shares_is_turned_away() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let rate = |requested, admitted| TeamRate {
        requested,
        admitted,
    };
    let mut spare = SpareCapacity::new(start);
    let objective = Duration::from_millis(800);
    spare.update([rate(100.0, 90.0), rate(1e9, 1e3)].into_iter(), 100.0);
    assert!(spare.max_delay(objective, now) > Duration::ZERO);
    spare.update([rate(100.0, 70.0), rate(1e9, 1e3)].into_iter(), 100.0);
    assert_eq!(spare.max_delay(objective, now), Duration::ZERO);
}
