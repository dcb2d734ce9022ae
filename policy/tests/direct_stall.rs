//! Tests of stall detection and of the problem reports among routers.

use std::time::{Duration, Instant};

use entity::Name;
use knapweed_policy::direct::cold::Members;
use knapweed_policy::direct::config::{Engine, Service};
use knapweed_policy::direct::placement::{
    Placement, PlacementRequest, PlacementSettings, select_target,
};
use knapweed_policy::direct::stall::{
    MIN_REPORTING_PEERS, PREFILL_STALL_MARGIN, STREAM_STALL_TIMEOUT,
};
use knapweed_policy::direct::target::{SoftwareVersion, Target, TargetRegistry, TargetState};
use knapweed_policy::direct::target_table::{
    AttemptCost, AvoidReason, Prompt, PromptPart, TargetEntryId, TargetTable,
};
use rustc_hash::FxHashMap;

/// The prefill rate of an engine, in tokens per millisecond.
const PREFILL_RATE: f64 = 50.0;

const TARGETS: u8 = 5;
const MILLI: Duration = Duration::from_millis(1);

fn table(now: Instant) -> (TargetTable, Vec<TargetEntryId>) {
    let targets = (0..TARGETS).map(|number| Target {
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
    let targets = table.targets_of_service(&Name::new("pool")).to_vec();
    (table, targets)
}

fn prompt(own: u64, tokens: u32) -> Prompt {
    Prompt {
        parts: [PromptPart { id: own, tokens }].into_iter().collect(),
        input_tokens: tokens,
        max_output_tokens: 100,
        expected_output_tokens: 100,
    }
}

/// Places one request; returns the target, or `None` if the request is refused.
fn place(table: &mut TargetTable, prompt: &Prompt, now: Instant) -> Option<TargetEntryId> {
    let service = Service {
        name: Name::new("pool"),
        connections: 100,
        cold_rate: 0.0,
        engine: Some(Engine {
            slots: 48,
            memory: 10_000_000,
            copy_rate: 0.0,
        }),
    };
    let request = PlacementRequest {
        service: &service,
        prompt: Some(prompt),
        min_objective: Duration::from_millis(600),
        objective: Duration::from_millis(600),
        wait_factor: 1.0,
        excess_delay: None,
        centre: &Name::new("north"),
        version: None,
        tried: &[],
        members: &Members::default(),
    };
    let settings = PlacementSettings {
        prefill_rate: PREFILL_RATE,
        ..PlacementSettings::default()
    };
    match select_target(table, &settings, &request, &(), now) {
        Placement::Target { target, .. } => Some(target),
        Placement::Refused { .. } => None,
    }
}

/// Starts a stream on a target.
fn start_stream(table: &mut TargetTable, target: TargetEntryId, now: Instant) -> AttemptCost {
    let cost = table.begin_attempt(target, Some(&prompt(1, 500)), 0, now);
    table.record_first_event(target, cost, now);
    cost
}

#[test]
fn a_target_is_stalled_while_its_streams_are_silent() {
    let start = Instant::now();
    let (mut table, targets) = table(start);
    let cost = start_stream(&mut table, targets[0], start);
    let avoid_reason =
        |table: &TargetTable, at| table.target(targets[0]).avoid_reason(PREFILL_RATE, at);
    assert_eq!(avoid_reason(&table, start + STREAM_STALL_TIMEOUT), None);
    let late = start + STREAM_STALL_TIMEOUT + MILLI;
    assert_eq!(avoid_reason(&table, late), Some(AvoidReason::Quiet));
    table.record_byte(targets[0], late);
    assert_eq!(avoid_reason(&table, late + STREAM_STALL_TIMEOUT), None);
    table.end_attempt(targets[0], cost, true);
    // Without a stream no bytes are expected.
    assert_eq!(avoid_reason(&table, late + STREAM_STALL_TIMEOUT * 10), None);
}

#[test]
fn a_target_without_streams_gets_the_time_to_prefill() {
    let start = Instant::now();
    let (mut table, targets) = table(start);
    let tokens = 40_000;
    table.begin_attempt(targets[0], Some(&prompt(1, tokens)), 0, start);
    let prefill_time = Duration::from_secs_f64(f64::from(tokens) / PREFILL_RATE / 1e3);
    let is_stalled = |at| table.target(targets[0]).is_stalled(PREFILL_RATE, at);
    assert!(!is_stalled(start + prefill_time + PREFILL_STALL_MARGIN));
    assert!(is_stalled(
        start + prefill_time * 2 + PREFILL_STALL_MARGIN + MILLI
    ));
}

#[test]
fn a_stalled_target_gets_no_requests_until_it_sends_a_byte() {
    let start = Instant::now();
    let (mut table, targets) = table(start);
    for target in &targets {
        start_stream(&mut table, *target, start);
    }
    let now = start + STREAM_STALL_TIMEOUT + MILLI;
    for target in &targets[1..] {
        table.record_byte(*target, now);
    }
    for number in 0..40 {
        let target = place(&mut table, &prompt(100 + number, 100), now).expect("there is room");
        assert_ne!(target, targets[0]);
        table.begin_attempt(target, Some(&prompt(100 + number, 100)), 0, now);
    }
    table.record_byte(targets[0], now);
    // It has the lowest load now.
    assert_eq!(place(&mut table, &prompt(200, 100), now), Some(targets[0]));
}

#[test]
fn requests_are_placed_if_all_targets_are_stalled() {
    let start = Instant::now();
    let (mut table, targets) = table(start);
    for target in &targets {
        start_stream(&mut table, *target, start);
    }
    let now = start + STREAM_STALL_TIMEOUT * 2;
    assert!(place(&mut table, &prompt(9, 100), now).is_some());
    assert!(table.problem_targets(PREFILL_RATE, now).is_empty());
}

#[test]
fn a_target_reported_by_several_peers_is_avoided_unless_it_is_active_here() {
    let start = Instant::now();
    let (mut table, targets) = table(start);
    let tag = table.target(targets[0]).tag;
    let reports = |count| FxHashMap::from_iter([(tag, count)]);
    let avoid_reason =
        |table: &TargetTable, at| table.target(targets[0]).avoid_reason(PREFILL_RATE, at);
    table.set_problem_reports(&reports(MIN_REPORTING_PEERS - 1));
    assert_eq!(
        avoid_reason(&table, start),
        None,
        "a single peer may have lost its own network route"
    );
    table.set_problem_reports(&reports(MIN_REPORTING_PEERS));
    assert_eq!(avoid_reason(&table, start), Some(AvoidReason::Peers));
    assert!(
        table.problem_targets(PREFILL_RATE, start).is_empty(),
        "reports of peers are not forwarded"
    );
    start_stream(&mut table, targets[0], start);
    assert_eq!(avoid_reason(&table, start), None);
    table.set_problem_reports(&FxHashMap::default());
    assert_eq!(avoid_reason(&table, start), None);
}

/// A prompt on a target of the model.
struct RunningPrompt {
    target: TargetEntryId,
    cost: AttemptCost,
    /// The time at which it is prefilled or times out.
    until: Instant,
}

/// The number of requests sent to an unreachable target within three seconds on a
/// well used pool, and the number served by the others. Each target also runs a
/// stream. Without `detects_stalls`, the unreachable target appears to send bytes.
fn simulate_unreachable_target(detects_stalls: bool) -> (usize, usize) {
    const STEP: Duration = Duration::from_millis(10);
    const TIMEOUT: Duration = Duration::from_millis(1_200);
    const TOKENS: u32 = 1_900;
    let start = Instant::now();
    let (mut table, targets) = table(start);
    for target in &targets {
        start_stream(&mut table, *target, start);
    }
    let unreachable = targets[0];
    let mut free_at: FxHashMap<TargetEntryId, Instant> =
        targets.iter().map(|&target| (target, start)).collect();
    let mut prompts: Vec<RunningPrompt> = Vec::new();
    let (mut lost, mut served) = (0, 0);
    for step in 0..300_u32 {
        let now = start + STEP * step;
        for &target in &targets {
            if target != unreachable || !detects_stalls {
                table.record_byte(target, now);
            }
        }
        for it in prompts.extract_if(.., |it| it.until <= now) {
            if it.target == unreachable {
                table.end_attempt(it.target, it.cost, false);
            } else {
                table.record_first_event(it.target, it.cost, now);
                table.end_attempt(it.target, it.cost, true);
                served += 1;
            }
        }
        let prompt = prompt(1_000 + u64::from(step), TOKENS);
        let Some(target) = place(&mut table, &prompt, now) else {
            continue;
        };
        let cost = table.begin_attempt(target, Some(&prompt), 0, now);
        let until = if target == unreachable {
            lost += 1;
            now + TIMEOUT
        } else {
            let prefill_time = Duration::from_secs_f64(f64::from(TOKENS) / PREFILL_RATE / 1e3);
            let free_at = free_at.get_mut(&target).expect("a target");
            *free_at = now.max(*free_at) + prefill_time;
            *free_at
        };
        prompts.push(RunningPrompt {
            target,
            cost,
            until,
        });
    }
    (lost, served)
}

#[test]
fn few_requests_are_lost_on_an_unreachable_target() {
    let (undetected_lost, undetected_served) = simulate_unreachable_target(false);
    let (lost, served) = simulate_unreachable_target(true);
    // The stall is detected after a sixth of the time.
    assert!(
        lost * 3 <= undetected_lost,
        "{lost} lost, {undetected_lost} without stall detection"
    );
    assert!(
        served >= undetected_served,
        "{served} served, {undetected_served} without stall detection"
    );
}
