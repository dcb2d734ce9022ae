//! Shared parts that do not fit into their homes' memory, asked for unevenly.

use std::time::{Duration, Instant};

use knapweed_policy::direct::target_table::{Prompt, PromptPart};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::pool::{KINDS, PREFILL_RATE, Policy, Pool, Request, STEP, random_of_seed};

const ROUTERS: usize = 3;
const TARGETS: usize = 6;
const SECONDS: u64 = 30;
const SEEDS: [u64; 3] = [7, 8, 9];

/// The tokens that an engine keeps.
const MEMORY: u32 = 200_000;

/// The rate of copies in tokens per millisecond: 5,400 tokens take 4 ms.
const COPY_RATE: f64 = 1_350.0;

/// The long shared parts. Each has as many tokens as a part of the first kind, so that all
/// of them take 1.6 times the memory of an engine.
const LONG_PARTS: u64 = 60;

/// The load: how often the first long part is asked for, and by how much the load exceeds
/// the usual one.
#[derive(Clone, Copy)]
struct Load {
    hot_fraction: f64,
    load_factor: f64,
}

#[derive(Clone, Copy, Default, Debug)]
struct Outcome {
    reread_tokens: u64,
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Outcome {
    fn unserved(&self) -> u32 {
        self.late + self.refused
    }
}

fn draw(load: Load, index: usize, random: &mut ChaCha8Rng) -> Prompt {
    let kind = &KINDS[index];
    let is_hot = random.random_bool(load.hot_fraction);
    let shared = match index {
        0 if is_hot => 0,
        0 => random
            .random_range(0..LONG_PARTS)
            .min(random.random_range(0..LONG_PARTS)),
        _ => random.random_range(0..kind.shared_prompts),
    };
    let shared = PromptPart {
        id: (index as u64) << 32 | shared,
        tokens: kind.shared_tokens,
    };
    let own = PromptPart {
        id: random.random(),
        tokens: random.random_range(kind.own_tokens / 4..kind.own_tokens * 2),
    };
    Prompt {
        parts: [shared, own].into_iter().collect(),
        input_tokens: shared.tokens + own.tokens,
        max_output_tokens: 200,
        expected_output_tokens: 200,
    }
}

fn play(load: Load, weighs: bool, seed: u64) -> Outcome {
    let start = Instant::now();
    let mut random = random_of_seed(seed);
    let lags = [Duration::ZERO; ROUTERS];
    let mut pool = Pool::new(Policy::Product, TARGETS, PREFILL_RATE, &lags, start);
    pool.set_engines(COPY_RATE, MEMORY);
    if weighs {
        pool.weigh_kept_parts();
    }
    let mut outcome = Outcome::default();
    for step in 0..SECONDS * 1_000 / STEP.as_millis() as u64 {
        let now = start + STEP * step as u32;
        pool.begin_step(now);
        for (index, kind) in KINDS.iter().enumerate() {
            let rate = kind.per_second * load.load_factor * STEP.as_secs_f64();
            if !random.random_bool(rate.min(1.0)) {
                continue;
            }
            let prompt = draw(load, index, &mut random);
            let router = random.random_range(0..ROUTERS);
            let request = Request {
                kind: index,
                team: random.random_range(0..6),
                tokens: prompt.weighted_tokens(),
            };
            if !pool.offer(router, request, &prompt, &mut random, now) {
                outcome.refused += 1;
            }
        }
        for begun in pool.end_step(now) {
            match begun.is_late {
                true => outcome.late += 1,
                false => outcome.in_time += 1,
            }
        }
    }
    outcome.reread_tokens = pool.reread_tokens;
    outcome
}

const MEMORY_EXCEEDED: Load = Load {
    hot_fraction: 0.0,
    load_factor: 1.0,
};

const HOT_PART: Load = Load {
    hot_fraction: 0.5,
    load_factor: 1.0,
};

const OVERLOAD: Load = Load {
    hot_fraction: 0.2,
    load_factor: 1.8,
};

/// Plays a load without and with the weighing; returns both outcomes, summed over the seeds.
fn compare(load: Load) -> (Outcome, Outcome) {
    let sum = |weighs| {
        let outcomes = SEEDS.map(|seed| play(load, weighs, seed));
        outcomes.iter().fold(Outcome::default(), |sum, it| Outcome {
            reread_tokens: sum.reread_tokens + it.reread_tokens,
            in_time: sum.in_time + it.in_time,
            late: sum.late + it.late,
            refused: sum.refused + it.refused,
        })
    };
    (sum(false), sum(true))
}

/// No more requests are late or refused than without the weighing.
#[test]
fn weighing_serves_no_fewer_requests_in_time() {
    for load in [MEMORY_EXCEEDED, HOT_PART, OVERLOAD] {
        let (before, after) = compare(load);
        assert!(
            after.unserved() <= before.unserved() && after.in_time >= before.in_time,
            "{before:?}, {after:?}"
        );
    }
}

fn assert_reread_tokens_are_halved(load: Load) {
    let (before, after) = compare(load);
    assert!(
        after.reread_tokens * 2 < before.reread_tokens,
        "tokens read again: {} before, {} after",
        before.reread_tokens,
        after.reread_tokens
    );
}

#[test]
fn parts_that_exceed_the_memory_are_read_again_half_as_often() {
    assert_reread_tokens_are_halved(MEMORY_EXCEEDED);
}

#[test]
fn a_hot_part_is_read_again_half_as_often() {
    assert_reread_tokens_are_halved(HOT_PART);
}

#[test]
fn under_overload_parts_are_read_again_half_as_often() {
    assert_reread_tokens_are_halved(OVERLOAD);
}
