//! Tests of what a router knows of kept prompt parts, and of the weighing against the wait.

use std::time::{Duration, Instant};

use entity::Name;
use knapweed_policy::direct::cold::Members;
use knapweed_policy::direct::config::{Engine, Service};
use knapweed_policy::direct::kept::{
    KeptParts, KeptRow, MAX_ALL_PARTS, MAX_PARTS, MAX_ROW_AGE, MAX_TARGETS,
};
use knapweed_policy::direct::memory::{MAX_HORIZON, MemoryReading, MemoryUse, Needed, Running};
use knapweed_policy::direct::placement::{
    Placement, PlacementRequest, PlacementSettings, select_target,
};
use knapweed_policy::direct::target::{SoftwareVersion, Target, TargetRegistry, TargetState};
use knapweed_policy::direct::target_table::{Prompt, PromptPart, TargetEntryId, TargetTable};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const TARGET: u64 = 7;
const SHARED: PromptPart = PromptPart {
    id: 1,
    tokens: 5_000,
};

fn prompt(own: u64) -> Prompt {
    let own = PromptPart {
        id: own,
        tokens: 1_000,
    };
    Prompt {
        parts: [SHARED, own].into_iter().collect(),
        input_tokens: 6_000,
        max_output_tokens: 400,
        expected_output_tokens: 100,
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A time long after the clock's start, so that ages can be subtracted.
fn start() -> Instant {
    Instant::now() + Duration::from_secs(1_000)
}

fn row(part: u64, age: u64) -> KeptRow {
    KeptRow {
        target: TARGET,
        part,
        tokens: 5_000,
        age: age as u32,
    }
}

#[test]
fn a_part_counts_only_if_all_parts_before_it_are_kept() {
    let now = start();
    let mut kept = KeptParts::default();
    kept.record_use(TARGET, &prompt(10).parts, now);
    assert_eq!(
        kept.kept_tokens(TARGET, &prompt(10), MAX_HORIZON, now),
        6_000
    );
    assert_eq!(
        kept.kept_tokens(TARGET, &prompt(11), MAX_HORIZON, now),
        5_000
    );
    kept.forget(TARGET, SHARED.id);
    assert_eq!(kept.kept_tokens(TARGET, &prompt(10), MAX_HORIZON, now), 0);
}

#[test]
fn an_old_row_does_not_restore_an_evicted_part() {
    let now = start();
    let mut kept = KeptParts::default();
    kept.record_use(TARGET, &prompt(10).parts, now);
    kept.clear_target(TARGET);
    let later = now + millis(3_000);
    kept.apply(&row(SHARED.id, 3_500), later);
    assert_eq!(kept.kept_tokens(TARGET, &prompt(10), MAX_HORIZON, later), 0);
    kept.apply(&row(SHARED.id, 100), later);
    assert_eq!(
        kept.kept_tokens(TARGET, &prompt(11), MAX_HORIZON, later),
        5_000
    );
}

/// Peers are told of a shared part once in the interval, and not of the part of one request.
#[test]
fn rows_are_not_repeated_within_the_interval() {
    let now = start();
    let mut kept = KeptParts::default();
    for at in 0..10 {
        kept.record_use(TARGET, &prompt(10 + at).parts, now + millis(90 * at));
    }
    let rows = kept.take_new_rows(100, now + millis(900));
    assert_eq!(rows, [row(SHARED.id, 90)]);
    kept.record_use(TARGET, &prompt(30).parts, now + millis(1_000));
    assert_eq!(kept.take_new_rows(100, now + millis(1_000)), []);
    kept.record_use(TARGET, &prompt(31).parts, now + millis(2_000));
    assert_eq!(
        kept.take_new_rows(100, now + millis(2_000)),
        [row(SHARED.id, 0)]
    );
    assert_eq!(kept.rows(100, now + millis(2_000)), [row(SHARED.id, 0)]);
}

#[derive(Clone, Debug)]
enum Step {
    Use(u64, u64),
    Row(KeptRow),
    Forget(u64, u64),
    Clear(u64),
    Wait(u16),
    Take(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let age = prop_oneof![0..200_000_u32, any::<u32>()];
    let tokens = prop_oneof![Just(5_000_u32), any::<u32>()];
    let target = prop_oneof![0..4_u64, any::<u64>()];
    let any_row = (target, 0..6_u64, tokens, age).prop_map(|(target, part, tokens, age)| KeptRow {
        target,
        part,
        tokens,
        age,
    });
    prop_oneof![
        (0..4_u64, 0..6_u64).prop_map(|(target, part)| Step::Use(target, part)),
        any_row.prop_map(Step::Row),
        (0..4_u64, 0..6_u64).prop_map(|(target, part)| Step::Forget(target, part)),
        (0..4_u64).prop_map(Step::Clear),
        any::<u16>().prop_map(Step::Wait),
        (0..20_usize).prop_map(Step::Take),
    ]
}

fn proptest_config() -> Config {
    Config {
        cases: 300,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(35),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Wrong, old and reordered rows, those of other incarnations, and absurd lengths and
    /// ages leave the bounds: of ages, of lengths, and of what is stored and sent.
    #[test]
    fn rows_never_lower_a_bound(steps in proptest::collection::vec(step(), 1..120)) {
        let mut now = start();
        let mut kept = KeptParts::default();
        // The latest use of a part that anything told of, by target and part.
        let mut latest = std::collections::BTreeMap::new();
        for step in steps {
            match step {
                Step::Use(target, part) => {
                    kept.record_use(target, &[PromptPart { id: part, tokens: 5_000 }], now);
                    latest.insert((target, part), now);
                }
                Step::Row(row) => {
                    kept.apply(&row, now);
                    let age = Duration::from_millis(row.age.into());
                    if let Some(used) = now.checked_sub(age) {
                        let entry = latest.entry((row.target, row.part)).or_insert(used);
                        *entry = used.max(*entry);
                    }
                }
                Step::Forget(target, part) => {
                    kept.forget(target, part);
                    prop_assert!(kept.last_use(target, part).is_none());
                }
                Step::Clear(target) => {
                    kept.clear_target(target);
                    prop_assert_eq!(kept.shared_tokens(target, MAX_ROW_AGE, now), 0);
                }
                Step::Wait(time) => now += millis(time.into()),
                Step::Take(max) => {
                    let rows = kept.take_new_rows(max, now);
                    prop_assert!(rows.len() <= max);
                    let is_recent = |row: &KeptRow| millis(row.age.into()) <= MAX_ROW_AGE;
                    prop_assert!(rows.iter().all(is_recent));
                    prop_assert!(rows.is_sorted_by_key(|row| std::cmp::Reverse(row.tokens)));
                }
            }
            for (&(target, part), &used) in &latest {
                if let Some(kept) = kept.last_use(target, part) {
                    prop_assert!(kept.used_at <= used);
                }
                let prompt = Prompt {
                    parts: [PromptPart { id: part, tokens: 5_000 }].into_iter().collect(),
                    input_tokens: 5_000,
                    ..Prompt::default()
                };
                prop_assert!(kept.kept_tokens(target, &prompt, MAX_HORIZON, now) <= 5_000);
                prop_assert_eq!(kept.kept_tokens(target, &prompt, Duration::ZERO, now), 0);
            }
        }
        let (targets, _) = kept.counts();
        prop_assert!(targets <= MAX_TARGETS);
    }
}

#[test]
fn endless_rows_are_bounded() {
    let now = start();
    let mut kept = KeptParts::default();
    for part in 0..3 * MAX_PARTS as u64 {
        kept.apply(&row(part, 0), now);
    }
    for target in 0..3 * MAX_TARGETS as u64 {
        kept.apply(
            &KeptRow {
                target,
                ..row(1, 0)
            },
            now,
        );
    }
    let (targets, parts) = kept.counts();
    assert!(targets <= MAX_TARGETS && parts <= MAX_PARTS + MAX_TARGETS);
    for number in 0..2 * MAX_ALL_PARTS as u64 {
        let (target, part) = (number % 100, number / 100);
        kept.apply(
            &KeptRow {
                target,
                ..row(part, 0)
            },
            now,
        );
    }
    assert!(kept.counts().1 <= MAX_ALL_PARTS);
    kept.retain_targets(|target| target == TARGET);
    assert_eq!(kept.counts().0, 1);
    kept.remove_old(now + MAX_ROW_AGE + millis(1));
    assert_eq!(kept.counts(), (0, 0));
    kept.apply(&row(1, 0), now + MAX_ROW_AGE + millis(2));
    assert_eq!(kept.counts(), (1, 1));
}

/// An unused part stays for as long as it takes to fill the rest of the memory.
#[test]
fn the_horizon_follows_from_memory_and_turnover() {
    let now = start();
    let mut memory = MemoryUse::default();
    assert_eq!(memory.horizon(now), MAX_HORIZON);
    let reading = MemoryReading {
        capacity: 400_000,
        running_tokens: 100_000.0,
        shared_tokens: 60_000,
        pinned_tokens: 20_000,
        stay: Some(2.0),
        scale: 1.0,
    };
    for _ in 0..600 {
        memory.update(&reading, millis(100));
    }
    // 400,000 - 160,000 tokens at 50,000 a second.
    let horizon = memory.horizon(now);
    assert!((horizon.as_secs_f64() - 4.8).abs() < 0.01, "{horizon:?}");
    memory.record_evicted(millis(1_000), now);
    assert_eq!(memory.horizon(now), millis(1_000));
    assert_eq!(memory.horizon(now + Duration::from_secs(5)), millis(2_000));
    assert_eq!(memory.horizon(now + Duration::from_secs(50)), horizon);
}

/// Requests whose output takes either nothing or their maximum, the widest spread that
/// their expected output allows, exceed the memory in at most one of 20 draws.
#[test]
fn outputs_that_are_longer_than_expected_rarely_exceed_the_memory() {
    use rand::{RngExt as _, SeedableRng as _};
    const CAPACITY: u64 = 100_000;
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(35);
    let request = Prompt {
        input_tokens: 800,
        max_output_tokens: 1_200,
        expected_output_tokens: 300,
        ..Prompt::default()
    };
    let memory = MemoryUse::default();
    let needed = Needed {
        new_tokens: 1_100,
        kept_tokens: 0,
        spread: request.output_spread(),
    };
    let mut running = Running {
        attempts: 0,
        tokens: 0.0,
    };
    while memory.has_room(CAPACITY, running, &needed) {
        running.attempts += 1;
        running.tokens += f64::from(needed.new_tokens);
    }
    assert!(running.attempts > 50, "{} run", running.attempts);
    let exceeds = |_: &u32| {
        let outputs = (0..running.attempts).map(|_| match random.random_bool(0.25) {
            true => 800 + 1_200,
            false => 800,
        });
        outputs.sum::<u64>() > CAPACITY
    };
    let exceeded = (0..1_000).filter(exceeds).count();
    assert!(exceeded <= 50, "{exceeded} of 1000");
}

const RATE: f64 = 50.0;

fn service(memory: u64) -> Service {
    Service {
        name: Name::new("pool"),
        connections: 100,
        cold_rate: 0.0,
        engine: Some(Engine {
            slots: 48,
            memory,
            copy_rate: 0.0,
        }),
    }
}

/// A table of idle targets that weighs what they keep.
fn table(targets: u8, now: Instant) -> (TargetTable, Vec<TargetEntryId>) {
    let targets = (0..targets).map(|number| Target {
        name: Name::new(&format!("t{number}")),
        service: Name::new("pool"),
        address: ([10, 0, 0, number], 80).into(),
        centre: Name::new("north"),
        slots: 48,
        state: TargetState::Ready,
        cold: Duration::ZERO,
        born: 1,
        version: SoftwareVersion::default(),
    });
    let mut registry = TargetRegistry::default();
    registry.replace(targets.collect(), now);
    let mut table = TargetTable::default();
    table.apply_registry(&registry, now);
    table.weigh_kept_parts(RATE);
    let ids = table.targets_of_service(&Name::new("pool")).to_vec();
    (table, ids)
}

fn place(
    table: &mut TargetTable,
    service: &Service,
    prompt: &Prompt,
    now: Instant,
) -> Option<TargetEntryId> {
    let request = PlacementRequest {
        service,
        prompt: Some(prompt),
        min_objective: millis(800),
        objective: millis(800),
        wait_factor: 1.0,
        excess_delay: None,
        centre: &Name::new("north"),
        version: None,
        tried: &[],
        members: &Members::default(),
    };
    let settings = PlacementSettings::default();
    match select_target(table, &settings, &request, &(), now) {
        Placement::Target { target, .. } => Some(target),
        Placement::Refused { .. } => None,
    }
}

fn load(table: &mut TargetTable, target: TargetEntryId, tokens: u32, now: Instant) {
    let prompt = Prompt {
        parts: [PromptPart { id: 99, tokens }].into_iter().collect(),
        input_tokens: tokens,
        ..Prompt::default()
    };
    let cost = table.begin_attempt(target, Some(&prompt), 0, now);
    table.record_first_event(target, cost, now);
}

#[test]
fn a_target_without_room_is_not_chosen_although_it_keeps_the_part() {
    let now = start();
    let (table, targets) = table(2, now);
    let service = service(100_000);
    for &keeper in &targets {
        let mut table = table.clone();
        let tag = table.target(keeper).tag;
        table.kept_mut().record_use(tag, &[SHARED], now);
        assert_eq!(place(&mut table, &service, &prompt(10), now), Some(keeper));
        load(&mut table, keeper, 88_000, now);
        let chosen = place(&mut table, &service, &prompt(11), now);
        assert_ne!(chosen, Some(keeper));
    }
}

/// The shared part takes 100 ms to read. A wait counts as it is; reading counts for more,
/// since it keeps the target from other work.
#[test]
fn a_full_target_loses_to_an_idle_one_when_the_wait_exceeds_what_is_saved() {
    let now = start();
    let (table, targets) = table(2, now);
    let service = service(1_000_000);
    let cost = PlacementSettings::default().prefill_cost;
    let saved = f64::from(SHARED.tokens) * cost;
    for &keeper in &targets {
        for (waiting, is_kept) in [(saved * 0.8, true), (saved * 1.3, false)] {
            let mut table = table.clone();
            let tag = table.target(keeper).tag;
            table.kept_mut().record_use(tag, &[SHARED], now);
            let waits = Prompt {
                input_tokens: waiting as u32,
                ..Prompt::default()
            };
            let _cost = table.begin_attempt(keeper, Some(&waits), 0, now);
            let chosen = place(&mut table, &service, &prompt(10), now);
            assert_eq!(chosen == Some(keeper), is_kept, "{waiting} tokens wait");
        }
    }
}

/// A first event that is later by the time to read the kept part shows that the part was
/// evicted; a long queue shows nothing.
#[test]
fn a_late_first_event_shortens_the_horizon() {
    let now = start();
    let (mut table, targets) = table(1, now);
    let target = targets[0];
    let tag = table.target(target).tag;
    table.kept_mut().record_use(tag, &[SHARED], now);
    let sent = now + millis(2_000);
    let cost = table.begin_attempt(target, Some(&prompt(10)), 0, sent);
    let mut on_time = table.clone();
    on_time.record_first_event(target, cost, sent + millis(30));
    assert_eq!(on_time.evicted_count(), 0);
    table.record_first_event(target, cost, sent + millis(130));
    assert_eq!(table.evicted_count(), 1);
    assert!(table.target(target).memory.horizon(sent + millis(130)) <= millis(2_000));
}
