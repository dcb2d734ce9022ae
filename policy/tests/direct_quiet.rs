//! Targets that say nothing while they should, and what routers tell each other.

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
use knapweed_policy::direct::target::{Target, TargetRegistry, TargetState};
use knapweed_policy::direct::target_table::{
    AttemptCost, AvoidReason, Prompt, PromptPart, TargetId, TargetTable,
};
use rustc_hash::FxHashMap;

/// Tokens that an engine reads per millisecond.
const READ_RATE: f64 = 50.0;

const TARGETS: u8 = 5;
const MILLI: Duration = Duration::from_millis(1);

fn board(now: Instant) -> (TargetTable, Vec<TargetId>) {
    let targets = (0..TARGETS).map(|number| Target {
        name: Name::new(&format!("t{number}")),
        service: Name::new("pool"),
        address: ([10, 0, 0, number], 80).into(),
        centre: Name::new("north"),
        slots: 48,
        state: TargetState::Ready,
        cold: Duration::ZERO,
        born: 1,
    });
    let mut roster = TargetRegistry::default();
    roster.replace(targets.collect(), now);
    let mut board = TargetTable::default();
    board.apply_registry(&roster, now);
    let spots = board.targets_of_service(&Name::new("pool")).to_vec();
    (board, spots)
}

fn prompt(own: u64, tokens: u32) -> Prompt {
    Prompt {
        parts: [PromptPart { id: own, tokens }].into_iter().collect(),
        input_tokens: tokens,
        max_output_tokens: 100,
    }
}

/// Where a request goes, if anywhere.
fn placed(board: &mut TargetTable, prompt: &Prompt, now: Instant) -> Option<TargetId> {
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
    let ask = PlacementRequest {
        service: &service,
        prompt: Some(prompt),
        min_objective: Duration::from_millis(600),
        objective: Duration::from_millis(600),
        wait_factor: 1.0,
        centre: &Name::new("north"),
        tried: &[],
        members: &Members::default(),
    };
    let settings = PlacementSettings {
        prefill_rate: READ_RATE,
        ..PlacementSettings::default()
    };
    match select_target(board, &settings, &ask, now) {
        Placement::Target { target: spot, .. } => Some(spot),
        Placement::Refused { .. } => None,
    }
}

/// A stream that runs at a target.
fn stream(board: &mut TargetTable, spot: TargetId, now: Instant) -> AttemptCost {
    let take = board.begin_attempt(spot, Some(&prompt(1, 500)), 0, now);
    board.record_first_event(spot, take, now);
    take
}

#[test]
fn a_target_is_quiet_when_its_streams_are_and_one_byte_ends_that() {
    let start = Instant::now();
    let (mut board, spots) = board(start);
    let take = stream(&mut board, spots[0], start);
    let trouble = |board: &TargetTable, at| board.target(spots[0]).avoid_reason(READ_RATE, at);
    assert_eq!(trouble(&board, start + STREAM_STALL_TIMEOUT), None);
    let late = start + STREAM_STALL_TIMEOUT + MILLI;
    assert_eq!(trouble(&board, late), Some(AvoidReason::Quiet));
    board.record_byte(spots[0], late);
    assert_eq!(trouble(&board, late + STREAM_STALL_TIMEOUT), None);
    board.end_attempt(spots[0], take, true);
    // Without a stream there is nothing to be heard.
    assert_eq!(trouble(&board, late + STREAM_STALL_TIMEOUT * 10), None);
}

#[test]
fn a_target_with_prompts_only_has_the_time_to_read_them() {
    let start = Instant::now();
    let (mut board, spots) = board(start);
    let tokens = 40_000;
    board.begin_attempt(spots[0], Some(&prompt(1, tokens)), 0, start);
    let read = Duration::from_secs_f64(f64::from(tokens) / READ_RATE / 1e3);
    let is_stalled = |at| board.target(spots[0]).is_stalled(READ_RATE, at);
    assert!(!is_stalled(start + read + PREFILL_STALL_MARGIN));
    assert!(is_stalled(start + read * 2 + PREFILL_STALL_MARGIN + MILLI));
}

#[test]
fn a_quiet_target_gets_nothing_more_until_it_is_heard() {
    let start = Instant::now();
    let (mut board, spots) = board(start);
    for spot in &spots {
        stream(&mut board, *spot, start);
    }
    let now = start + STREAM_STALL_TIMEOUT + MILLI;
    for spot in &spots[1..] {
        board.record_byte(*spot, now);
    }
    for number in 0..40 {
        let spot = placed(&mut board, &prompt(100 + number, 100), now).expect("there is room");
        assert_ne!(spot, spots[0]);
        board.begin_attempt(spot, Some(&prompt(100 + number, 100)), 0, now);
    }
    board.record_byte(spots[0], now);
    // It has least in hand now.
    assert_eq!(placed(&mut board, &prompt(200, 100), now), Some(spots[0]));
}

#[test]
fn where_all_are_quiet_the_cause_is_here_and_requests_go_on() {
    let start = Instant::now();
    let (mut board, spots) = board(start);
    for spot in &spots {
        stream(&mut board, *spot, start);
    }
    let now = start + STREAM_STALL_TIMEOUT * 2;
    assert!(placed(&mut board, &prompt(9, 100), now).is_some());
    assert!(board.problem_targets(READ_RATE, now).is_empty());
}

#[test]
fn a_target_that_several_peers_report_is_avoided_unless_it_is_heard_here() {
    let start = Instant::now();
    let (mut board, spots) = board(start);
    let tag = board.target(spots[0]).tag;
    let reports = |count| FxHashMap::from_iter([(tag, count)]);
    let trouble = |board: &TargetTable, at| board.target(spots[0]).avoid_reason(READ_RATE, at);
    board.set_problem_reports(&reports(MIN_REPORTING_PEERS - 1));
    assert_eq!(
        trouble(&board, start),
        None,
        "one peer may have lost its own way"
    );
    board.set_problem_reports(&reports(MIN_REPORTING_PEERS));
    assert_eq!(trouble(&board, start), Some(AvoidReason::Peers));
    assert!(
        board.problem_targets(READ_RATE, start).is_empty(),
        "hearsay is not passed on"
    );
    stream(&mut board, spots[0], start);
    assert_eq!(trouble(&board, start), None);
    board.set_problem_reports(&FxHashMap::default());
    assert_eq!(trouble(&board, start), None);
}

/// A prompt at a target of the model.
struct Reading {
    spot: TargetId,
    take: AttemptCost,
    /// When it is read, or its patience ends.
    until: Instant,
}

/// Requests that reach a dark target in three seconds of a well used pool, and
/// what the others serve. Each target runs a stream besides.
fn lost(avoids: bool) -> (usize, usize) {
    const STEP: Duration = Duration::from_millis(10);
    const PATIENCE: Duration = Duration::from_millis(1_200);
    const TOKENS: u32 = 1_900;
    let start = Instant::now();
    let (mut board, spots) = board(start);
    for spot in &spots {
        stream(&mut board, *spot, start);
    }
    let dark = spots[0];
    let mut free: FxHashMap<TargetId, Instant> = spots.iter().map(|&spot| (spot, start)).collect();
    let mut reading: Vec<Reading> = Vec::new();
    let (mut lost, mut served) = (0, 0);
    for step in 0..300_u32 {
        let now = start + STEP * step;
        for &spot in &spots {
            if spot != dark || !avoids {
                board.record_byte(spot, now);
            }
        }
        for it in reading.extract_if(.., |it| it.until <= now) {
            if it.spot == dark {
                board.end_attempt(it.spot, it.take, false);
            } else {
                board.record_first_event(it.spot, it.take, now);
                board.end_attempt(it.spot, it.take, true);
                served += 1;
            }
        }
        let prompt = prompt(1_000 + u64::from(step), TOKENS);
        let Some(spot) = placed(&mut board, &prompt, now) else {
            continue;
        };
        let take = board.begin_attempt(spot, Some(&prompt), 0, now);
        let until = if spot == dark {
            lost += 1;
            now + PATIENCE
        } else {
            let read = Duration::from_secs_f64(f64::from(TOKENS) / READ_RATE / 1e3);
            let free = free.get_mut(&spot).expect("a target");
            *free = now.max(*free) + read;
            *free
        };
        reading.push(Reading { spot, take, until });
    }
    (lost, served)
}

#[test]
fn few_requests_are_lost_at_a_dark_target() {
    let (lost_before, served_before) = lost(false);
    let (lost, served) = lost(true);
    // It shows after a sixth of the time.
    assert!(
        lost * 3 <= lost_before,
        "{lost} lost, {lost_before} without"
    );
    assert!(
        served >= served_before,
        "{served} served, {served_before} without"
    );
}
