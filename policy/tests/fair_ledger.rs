//! The ledger of service per team.

use std::time::{Duration, Instant};

use cranelift_entity::EntityRef;
use entity::{Cost, Incarnation, ProcessId, Tag, TeamId, Weight};
use knapweed_policy::fair::{Charge, Consumer, SharingPolicy, TeamDirectory};
use knapweed_policy::ledger::{Extrapolation, GapBound, Ledger, LedgerSettings, STEPS_PER_COST};
use knapweed_policy::message::{LedgerDelta, TeamTotal};

const GOSSIP: Duration = Duration::from_millis(250);

/// Teams whose tag is their index.
struct IndexedTeams;

impl TeamDirectory for IndexedTeams {
    fn by_tag(&self, tag: Tag) -> Option<TeamId> {
        Some(TeamId::new(tag.0 as usize))
    }

    fn tag(&self, team: TeamId) -> Tag {
        Tag(team.index() as u64)
    }

    fn weight(&self, team: TeamId) -> Weight {
        Weight::new(team.index() as u32 + 1).expect("above 0")
    }
}

fn ledger(agent: u64) -> Ledger {
    Ledger::new(LedgerSettings {
        agent: ProcessId(Tag(agent)),
        incarnation: Incarnation(1),
        gossip: Some(GOSSIP),
        extrapolation: Extrapolation::Nothing,
    })
}

fn delta(incarnation: u64, sequence: u64, service: i64, pending: i64) -> LedgerDelta {
    let total = TeamTotal {
        team: Tag(0),
        service: Cost(service),
        pending: Cost(pending),
        base: Cost::ZERO,
    };
    LedgerDelta {
        agent: ProcessId(Tag(9)),
        incarnation: Incarnation(incarnation),
        sequence,
        totals: vec![total],
    }
}

fn team() -> TeamId {
    TeamId::new(0)
}

fn counter(ledger: &Ledger, now: Instant) -> i64 {
    ledger.rank(now, team()).0 / STEPS_PER_COST
}

#[test]
fn late_repeated_and_superseded_deltas_change_nothing() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    let deltas = [
        delta(2, 5, 100, 0),
        delta(2, 7, 160, 0),
        delta(2, 7, 160, 0),
        delta(2, 6, 130, 0),
        delta(1, 9, 900, 0),
        delta(2, 8, 170, 0),
    ];
    let counters = deltas.map(|delta| {
        ledger.merge(now, &delta, &IndexedTeams);
        counter(&ledger, now)
    });
    assert_eq!(counters, [0, 60, 60, 60, 60, 70]);
}

#[test]
fn a_wrong_pending_cost_in_the_first_delta_leaves_no_credit() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    let deltas = [delta(1, 1, 1_000, 500), delta(1, 2, 1_050, 0)];
    let counters = deltas.map(|delta| {
        ledger.merge(now, &delta, &IndexedTeams);
        counter(&ledger, now)
    });
    assert_eq!(counters, [500, 50]);
}

#[test]
fn the_row_of_a_dead_agent_expires_without_changing_a_counter() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    ledger.merge(now, &delta(1, 1, 1_000, 0), &IndexedTeams);
    ledger.merge(now, &delta(1, 2, 1_200, 0), &IndexedTeams);
    let later = now + Duration::from_secs(100);
    ledger.prune(later, |_| true);
    assert_eq!(counter(&ledger, later), 200);
    ledger.merge(later, &delta(1, 3, 90_000, 0), &IndexedTeams);
    assert_eq!(counter(&ledger, later), 200);
}

#[test]
fn an_update_after_a_silence_moves_a_counter_by_at_most_the_clamp() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    ledger.merge(now, &delta(1, 1, 0, 0), &IndexedTeams);
    let later = now + Duration::from_secs(60);
    ledger.merge(later, &delta(1, 2, 1_000_000, 0), &IndexedTeams);
    assert_eq!(counter(&ledger, later), 0, "the clamp of an idle pool is 0");
}

#[test]
fn an_idle_team_starts_at_the_counter_of_the_team_served_last() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    let busy = Consumer {
        team: TeamId::new(1),
        weight: Weight::ONE,
        router: ProcessId(Tag(5)),
    };
    ledger.backlogged(now, busy.team, busy.weight);
    ledger.charge(now, busy, Charge::pending(Cost(700)));
    ledger.record_choice(ledger.rank(now, busy.team));
    ledger.backlogged(now, team(), Weight::ONE);
    assert_eq!(counter(&ledger, now), 700);
}

#[test]
fn inactive_teams_are_dropped() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    for index in 0..100 {
        ledger.backlogged(now, TeamId::new(index), Weight::ONE);
    }
    assert_eq!(ledger.active_teams(), 100);
    ledger.prune(now + Duration::from_secs(40), |team| team.index() < 3);
    assert_eq!(ledger.active_teams(), 3);
}

#[test]
fn the_gap_bound_follows_its_formula() {
    let bound = GapBound {
        in_flight: Cost(4_000),
        service_rate: 1_000.0,
        delay: GOSSIP,
        total_weight: 10.0,
        min_weight: Weight::new(2).expect("above 0"),
        has_silent_row: true,
    };
    assert_eq!(
        bound.cost(),
        (4_000.0 + 250.0) / 2.0 + 2.0 * 1_000.0 * 4.0 / 10.0
    );
}
