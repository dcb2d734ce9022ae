//! Tests of short requests on few slots: three targets of six slots and a queue of 24,
//! used by 22 routers of which some get many requests and some observe responses late.
//!
//! The load is that of a booking service: 141.2 requests a second that take 60 ms on
//! average and are due after 300 ms, one in twenty-five of which its target fails. A
//! refused caller comes back once.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use entity::Name;
use knapweed_policy::direct::cold::Members;
use knapweed_policy::direct::config::Service;
use knapweed_policy::direct::placement::{
    Placement, PlacementRequest, PlacementSettings, select_target,
};
use knapweed_policy::direct::slots::PlainResult;
use knapweed_policy::direct::target::{SoftwareVersion, Target, TargetRegistry, TargetState};
use knapweed_policy::direct::target_table::{
    AttemptCost, PeerLoadReport, TargetEntryId, TargetTable,
};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

const SLOTS: u32 = 6;
/// The number of requests that a target has running or waiting before it turns others away.
const MAX_REQUESTS: usize = 30;
const ROUTERS: usize = 22;
/// Requests a second of the deployment's sheet.
const SHEET_LOAD: f64 = 141.2;
const MEAN_MILLIS: f64 = 60.0;
const OBJECTIVE: u64 = 300;
/// The time after which an answer is worth nothing.
const TIMEOUT: u64 = 2_000;
/// The fraction of requests that any target fails.
const FAILING: f64 = 0.04;
/// Requests arrive in groups of this size.
const GROUP: usize = 3;
const SECONDS: u64 = 30;
const SEED: u64 = 7;
/// The seeds of the comparison.
const SEEDS: std::ops::Range<u64> = 1..6;
/// The interval of the exchange, and the age of what arrives through a relay.
const EXCHANGE_MILLIS: u64 = 100;
const REPORT_AGE: u64 = 200;
/// The fraction of requests that are due to be answered in time where slots suffice.
const DUE: f64 = 0.90;

/// What refused callers and routers do.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The rule without `routing.slot_queue`.
    Before,
    /// The implementation under test.
    Slots,
    /// The same, but a request that finds no room is held in its router until there is or
    /// its objective has passed.
    Held,
}

/// What is wrong with a target.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Refuses connections.
    Dead,
    /// Takes four times as long.
    Slow,
    /// Reports no requests.
    SaysFree,
    /// Reports a full queue.
    SaysFull,
}

#[derive(Clone, Copy)]
struct Load {
    per_second: f64,
    faults: &'static [Fault],
    /// The requests of the first of two teams for each of the second.
    ratio: f64,
}

#[derive(Clone, Copy)]
struct Caller {
    asked_at: u64,
    team: usize,
    returned: bool,
    tried: Option<TargetEntryId>,
}

#[derive(Clone, Copy)]
struct Work {
    caller: Caller,
    router: usize,
    millis: f64,
    sent_at: u64,
    ahead: u32,
    cost: AttemptCost,
}

#[derive(Default)]
struct TargetModel {
    running: Vec<(u64, Work)>,
    queue: VecDeque<Work>,
}

#[derive(Default, Debug)]
struct Outcome {
    asked: [u32; 2],
    in_time: [u32; 2],
    late: u32,
    refused: u32,
    failed: u32,
    /// The longest time that a router held a request, in milliseconds.
    held: u64,
    /// The longest Retry-After, in milliseconds.
    retry: u64,
}

impl Outcome {
    fn share(&self) -> f64 {
        f64::from(self.in_time[0] + self.in_time[1]) / f64::from(self.asked[0] + self.asked[1])
    }
}

struct Fleet {
    policy: Policy,
    start: Instant,
    random: ChaCha8Rng,
    faults: &'static [Fault],
    tables: Vec<TargetTable>,
    ids: Vec<TargetEntryId>,
    targets: Vec<TargetModel>,
    /// Reports on their way, with the time at which they were made.
    reports: VecDeque<(u64, Vec<PeerLoadReport>)>,
    /// Callers that come back, with the time and the router.
    returning: Vec<(u64, usize, Caller)>,
    outcome: Outcome,
}

impl Fleet {
    fn new(policy: Policy, load: Load, seed: u64) -> Self {
        let start = Instant::now();
        let mut registry = TargetRegistry::default();
        let targets = (0..load.faults.len()).map(|number| Target {
            name: Name::new(&format!("t{number}")),
            service: Name::new("booking"),
            address: ([10, 0, 0, number as u8], 80).into(),
            centre: Name::new(["a", "b", "c"][number % 3]),
            slots: SLOTS,
            state: TargetState::Ready,
            cold: Duration::ZERO,
            born: 1,
            version: SoftwareVersion::default(),
        });
        registry.replace(targets.collect(), start);
        let mut table = TargetTable::default();
        table.apply_registry(&registry, start);
        let ids = table.targets_of_service(&Name::new("booking")).to_vec();
        Self {
            policy,
            start,
            random: ChaCha8Rng::seed_from_u64(seed),
            faults: load.faults,
            tables: vec![table; ROUTERS],
            ids,
            targets: load.faults.iter().map(|_| TargetModel::default()).collect(),
            reports: VecDeque::new(),
            returning: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    fn play(mut self, load: Load) -> Outcome {
        for millis in 0..SECONDS * 1_000 {
            self.finish(millis);
            if millis % EXCHANGE_MILLIS == 0 {
                self.exchange(millis);
            }
            let due = self.returning.extract_if(.., |it| it.0 <= millis);
            for (_, router, caller) in due.collect::<Vec<_>>() {
                self.offer(router, caller, millis);
            }
            if !self
                .random
                .random_bool(load.per_second / 1e3 / GROUP as f64)
            {
                continue;
            }
            for _ in 0..GROUP {
                let is_first = self.random.random_bool(load.ratio / (load.ratio + 1.0));
                let team = usize::from(!is_first);
                let caller = Caller {
                    asked_at: millis,
                    team,
                    returned: false,
                    tried: None,
                };
                self.outcome.asked[team] += 1;
                let router = self.draw_router();
                self.offer(router, caller, millis);
            }
        }
        self.outcome
    }

    /// Draws a router; the last get five times as many requests as the first.
    fn draw_router(&mut self) -> usize {
        let draw: f64 = self.random.random();
        let skewed = ((1.0 + 24.0 * draw).sqrt() - 1.0) / 4.0;
        ((skewed * ROUTERS as f64) as usize).min(ROUTERS - 1)
    }

    fn offer(&mut self, router: usize, caller: Caller, millis: u64) {
        let now = self.at(millis);
        let tried: Vec<TargetEntryId> = caller.tried.into_iter().collect();
        let service = Service {
            name: Name::new("booking"),
            connections: 190,
            cold_rate: 0.0,
            engine: None,
        };
        let request = PlacementRequest {
            service: &service,
            prompt: None,
            min_objective: Duration::from_millis(OBJECTIVE),
            objective: Duration::from_millis(OBJECTIVE),
            wait_factor: 1.0,
            excess_delay: None,
            centre: &Name::new(["a", "b", "c"][router % 3]),
            version: None,
            tried: &tried,
            members: &Members::new(router as u64, Vec::new(), true),
        };
        let settings = PlacementSettings {
            uses_slots: self.policy != Policy::Before,
            ..PlacementSettings::default()
        };
        let table = &mut self.tables[router];
        match select_target(table, &settings, &request, &(), now) {
            Placement::Target { target, .. } => self.send(router, target, caller, millis),
            Placement::Refused { retry_after, .. } => {
                self.refuse(router, caller, retry_after, millis);
            }
        }
    }

    fn refuse(&mut self, router: usize, caller: Caller, after: Duration, millis: u64) {
        let waited = millis - caller.asked_at;
        if self.policy == Policy::Held && waited < OBJECTIVE {
            self.outcome.held = self.outcome.held.max(waited);
            self.returning.push((millis + 5, router, caller));
            return;
        }
        self.outcome.retry = self.outcome.retry.max(after.as_millis() as u64);
        if caller.returned {
            self.outcome.refused += 1;
            return;
        }
        let jitter = self.random.random_range(0..=120);
        let back = millis + after.as_millis() as u64 + jitter + 2;
        let router = self.draw_router();
        let caller = Caller {
            returned: true,
            tried: None,
            ..caller
        };
        self.returning.push((back, router, caller));
    }

    fn send(&mut self, router: usize, target: TargetEntryId, caller: Caller, millis: u64) {
        let now = self.at(millis);
        let index = self
            .ids
            .iter()
            .position(|&id| id == target)
            .expect("a target");
        let table = &mut self.tables[router];
        if self.faults[index] == Fault::Dead {
            table.outlier_detector(target).record_connect_failure(now);
            return self.try_another(router, target, caller, millis);
        }
        let ahead = table.target(target).load().attempts;
        let cost = table.begin_attempt(target, None, 0, now);
        let model = &mut self.targets[index];
        let count = model.running.len() + model.queue.len();
        if count >= MAX_REQUESTS {
            table.end_attempt(target, cost, false);
            match self.policy {
                Policy::Before => {
                    table.outlier_detector(target).record_failure(now);
                }
                Policy::Slots | Policy::Held => {
                    table.record_slot_report(target, count as u32, now);
                    table.record_plain_result(target, PlainResult::Full, now);
                }
            }
            return self.try_another(router, target, caller, millis);
        }
        let spread: f64 = self.random.random_range(0.4..1.5);
        let tail = if self.random.random_bool(0.01) {
            5.0
        } else {
            1.0
        };
        let factor = if self.faults[index] == Fault::Slow {
            4.0
        } else {
            1.0
        };
        model.queue.push_back(Work {
            caller,
            router,
            millis: MEAN_MILLIS * spread * tail * factor,
            sent_at: millis,
            ahead,
            cost,
        });
    }

    fn try_another(&mut self, router: usize, tried: TargetEntryId, caller: Caller, millis: u64) {
        match caller.tried {
            None => {
                let caller = Caller {
                    tried: Some(tried),
                    ..caller
                };
                self.offer(router, caller, millis);
            }
            Some(_) => self.refuse(router, caller, Duration::from_millis(OBJECTIVE / 2), millis),
        }
    }

    /// Ends what is done at each target and begins what waits.
    fn finish(&mut self, millis: u64) {
        let now = self.at(millis);
        for index in 0..self.targets.len() {
            let model = &mut self.targets[index];
            let done: Vec<Work> = model
                .running
                .extract_if(.., |it| it.0 <= millis)
                .map(|it| it.1)
                .collect();
            while model.running.len() < SLOTS as usize
                && let Some(work) = model.queue.pop_front()
            {
                model.running.push((millis + work.millis as u64, work));
            }
            let count = model.running.len() + model.queue.len();
            let reported = match self.faults[index] {
                Fault::SaysFree => 0,
                Fault::SaysFull => MAX_REQUESTS as u32,
                _ => count as u32,
            };
            for work in done {
                self.answer(self.ids[index], work, reported, millis, now);
            }
        }
    }

    fn answer(
        &mut self,
        target: TargetEntryId,
        work: Work,
        reported: u32,
        millis: u64,
        now: Instant,
    ) {
        let failed = self.random.random_bool(FAILING);
        let table = &mut self.tables[work.router];
        table.end_attempt(target, work.cost, true);
        match (self.policy, failed) {
            (Policy::Before, true) => {
                table.outlier_detector(target).record_failure(now);
            }
            (Policy::Before, false) => table.outlier_detector(target).record_success(now),
            _ => {
                let elapsed = Duration::from_millis(millis - work.sent_at);
                table
                    .slot_state(target)
                    .record_time(elapsed, work.ahead, SLOTS);
                table.record_slot_report(target, reported, now);
                let result = match failed {
                    true => PlainResult::Failed,
                    false => PlainResult::Answered,
                };
                table.record_plain_result(target, result, now);
            }
        }
        let took = millis + 2 - work.caller.asked_at;
        let outcome = &mut self.outcome;
        match () {
            () if took > TIMEOUT => outcome.failed += 1,
            () if took > OBJECTIVE => outcome.late += 1,
            () if failed => outcome.failed += 1,
            () => outcome.in_time[work.caller.team] += 1,
        }
    }

    fn exchange(&mut self, millis: u64) {
        let made = self.tables.iter().map(|table| PeerLoadReport {
            received_at: self.at(millis + REPORT_AGE),
            reports: table.load_reports(50.0, self.at(millis)).into(),
        });
        let made = made.collect();
        self.reports.push_back((millis, made));
        if self
            .reports
            .front()
            .is_none_or(|it| it.0 + REPORT_AGE > millis)
        {
            return;
        }
        let (_, reports) = self.reports.pop_front().expect("a report is due");
        let now = self.at(millis);
        let mut problems: FxHashMap<u64, u32> = FxHashMap::default();
        for tag in self
            .tables
            .iter()
            .flat_map(|it| it.problem_targets(50.0, now))
        {
            *problems.entry(tag).or_default() += 1;
        }
        for (own, table) in self.tables.iter_mut().enumerate() {
            let peers = reports.iter().enumerate().filter(|(peer, _)| *peer != own);
            table.set_peer_loads(peers.map(|(_, report)| report), now);
            table.set_problem_reports(&problems);
        }
    }
}

fn play(policy: Policy, load: Load) -> Outcome {
    Fleet::new(policy, load, SEED).play(load)
}

fn sheet_load(faults: &'static [Fault]) -> Load {
    Load {
        per_second: SHEET_LOAD,
        faults,
        ratio: 1.0,
    }
}

#[test]
fn the_load_of_the_sheet_is_answered_in_time() {
    let outcome = play(Policy::Slots, sheet_load(&[Fault::None; 3]));
    assert!(outcome.share() >= DUE, "{outcome:?}");
}

#[test]
fn the_load_is_answered_in_time_by_two_targets_of_three() {
    let outcome = play(Policy::Slots, sheet_load(&[Fault::None; 2]));
    assert!(outcome.share() >= DUE, "{outcome:?}");
}

#[test]
fn a_dead_target_takes_no_requests_from_the_others() {
    let outcome = play(
        Policy::Slots,
        sheet_load(&[Fault::None, Fault::Dead, Fault::None]),
    );
    assert!(outcome.share() >= DUE, "{outcome:?}");
}

#[test]
fn a_slow_target_gets_what_it_answers_in_time() {
    let outcome = play(
        Policy::Slots,
        sheet_load(&[Fault::None, Fault::Slow, Fault::None]),
    );
    assert!(outcome.share() >= DUE, "{outcome:?}");
}

#[test]
fn a_target_that_reports_false_counts_delays_nobody() {
    for fault in [Fault::SaysFree, Fault::SaysFull] {
        let load = match fault {
            Fault::SaysFree => sheet_load(&[Fault::None, Fault::SaysFree, Fault::None]),
            _ => sheet_load(&[Fault::None, Fault::SaysFull, Fault::None]),
        };
        let outcome = play(Policy::Slots, load);
        assert!(outcome.share() >= DUE, "{outcome:?}");
    }
}

#[test]
fn both_teams_are_served_in_proportion_when_slots_are_short() {
    let load = Load {
        per_second: 1.5 * capacity(3),
        faults: &[Fault::None; 3],
        ratio: 4.0,
    };
    let outcome = play(Policy::Slots, load);
    let counts = [0, 1].map(|team| {
        (
            f64::from(outcome.in_time[team]),
            f64::from(outcome.asked[team]),
        )
    });
    let shares = counts.map(|(in_time, asked)| in_time / asked);
    // Three standard deviations of the difference of two shares drawn alike.
    let all = outcome.share();
    let variance = all * (1.0 - all) * (1.0 / counts[0].1 + 1.0 / counts[1].1);
    let bound = 3.0 * (variance * GROUP as f64).sqrt();
    assert!(
        (shares[0] - shares[1]).abs() <= bound,
        "{shares:?}, bound {bound:.3}"
    );
}

#[test]
fn a_request_without_room_is_refused_at_once() {
    let load = Load {
        per_second: 3.0 * capacity(3),
        faults: &[Fault::None; 3],
        ratio: 1.0,
    };
    let outcome = play(Policy::Slots, load);
    assert_eq!(outcome.held, 0);
    assert!(outcome.retry <= OBJECTIVE, "{outcome:?}");
}

/// The requests a second that this number of targets can answer.
fn capacity(targets: u32) -> f64 {
    f64::from(targets * SLOTS) * 1e3 / MEAN_MILLIS
}

#[test]
fn requests_held_in_routers_beside_refused_ones() {
    let mut text = String::new();
    for (name, per_second, faults) in [
        (
            "three targets, load of the sheet",
            SHEET_LOAD,
            &[Fault::None; 3][..],
        ),
        (
            "two targets, load of the sheet",
            SHEET_LOAD,
            &[Fault::None; 2],
        ),
        (
            "two targets, 1.0 of their capacity",
            capacity(2),
            &[Fault::None; 2],
        ),
        (
            "two targets, 1.3 of their capacity",
            1.3 * capacity(2),
            &[Fault::None; 2],
        ),
    ] {
        let load = Load {
            per_second,
            faults,
            ratio: 1.0,
        };
        for (rule, policy) in [
            ("before", Policy::Before),
            ("slots", Policy::Slots),
            ("held", Policy::Held),
        ] {
            let plays = SEEDS.map(|seed| Fleet::new(policy, load, seed).play(load));
            let plays: Vec<Outcome> = plays.collect();
            let shares: Vec<String> = plays
                .iter()
                .map(|it| format!("{:.3}", it.share()))
                .collect();
            let mean = plays.iter().map(Outcome::share).sum::<f64>() / plays.len() as f64;
            let late: u32 = plays.iter().map(|it| it.late).sum();
            let refused: u32 = plays.iter().map(|it| it.refused).sum();
            writeln!(
                text,
                "{name:<36} {rule:<7} in time {mean:.3} ({}) late {late:>5} refused {refused:>5}",
                shares.join(" "),
            )
            .expect("a string accepts text");
        }
    }
    insta::assert_snapshot!(text);
}
