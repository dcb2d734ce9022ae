//! Random fault schedules for the at-most-once state machines.
//!
//! `KW_SCHEDULES` sets the number of schedules of each search, `KW_SEED` the first seed.

#[path = "schedule/model.rs"]
mod model;
#[path = "schedule/step.rs"]
mod step;

use model::{Failure, execute};
use step::{Policy, Step, schedule};

const STEP_COUNT: usize = 120;
const DEFAULT_SCHEDULES: u64 = 5000;
/// The maximum number of failing schedules that are shrunk.
const MAX_SHRUNK: usize = 10;

fn number_from_env(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

/// Shrinks the first failing schedules and returns the shortest one.
fn search(policy: Policy) -> Option<(u64, Vec<Step>, Failure)> {
    let first = number_from_env("KW_SEED", 1);
    let seeds = first..first + number_from_env("KW_SCHEDULES", DEFAULT_SCHEDULES);
    let failing = seeds.filter_map(|seed| {
        let steps = schedule(seed, STEP_COUNT);
        let failure = execute(&steps, policy).result.err()?;
        Some((seed, steps, failure))
    });
    let shrunk = failing
        .take(MAX_SHRUNK)
        .map(|(seed, mut steps, mut failure)| {
            while let Some(shorter) = shrink(&steps, policy) {
                (steps, failure) = shorter;
            }
            (seed, steps, failure)
        });
    shrunk.min_by_key(|(_, steps, _)| steps.len())
}

/// Returns a schedule with one or two steps fewer that still fails.
fn shrink(steps: &[Step], policy: Policy) -> Option<(Vec<Step>, Failure)> {
    let count = steps.len();
    let singles = (0..count).map(|at| (at, at));
    let pairs = (0..count).flat_map(|a| (a + 1..count).map(move |b| (a, b)));
    singles.chain(pairs).rev().find_map(|(a, b)| {
        let kept = steps
            .iter()
            .enumerate()
            .filter(|&(at, _)| at != a && at != b);
        let shorter: Vec<_> = kept.map(|(_, &step)| step).collect();
        let failure = execute(&shorter, policy).result.err()?;
        Some((shorter, failure))
    })
}

fn assert_no_failure(policy: Policy) {
    if let Some((seed, steps, failure)) = search(policy) {
        panic!("seed {seed}: {failure:?} after {steps:#?}");
    }
}

#[test]
fn no_key_runs_twice() {
    assert_no_failure(Policy::Sound);
}

#[test]
fn no_key_runs_twice_when_changes_come_without_lead() {
    assert_no_failure(Policy::SoundWithoutLead);
}

#[test]
fn schedules_reach_every_outcome() {
    let mut total = model::Tally::default();
    for seed in 1..=500 {
        total.add(&execute(&schedule(seed, STEP_COUNT), Policy::Sound).tally);
    }
    insta::assert_debug_snapshot!(total);
}

#[test]
fn broken_policies_are_caught() {
    let broken = [
        Policy::FailOver,
        Policy::IgnoreLead,
        Policy::ForgetOnRestart,
        Policy::SingleSkew,
        Policy::IgnoreHold,
        Policy::RefuseUnconfirmed,
    ];
    let found = broken.map(|policy| {
        let (seed, steps, failure) = search(policy).unwrap_or_else(|| panic!("{policy:?} passed"));
        let steps: Vec<_> = steps.iter().map(|step| format!("{step:?}")).collect();
        format!(
            "{policy:?}, seed {seed}: {failure:?}\n  {}",
            steps.join("\n  ")
        )
    });
    if number_from_env("KW_SCHEDULES", DEFAULT_SCHEDULES) == DEFAULT_SCHEDULES
        && number_from_env("KW_SEED", 1) == 1
    {
        insta::assert_snapshot!(found.join("\n"));
    }
}
