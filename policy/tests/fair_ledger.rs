//! The ledger of served cost.

use std::time::{Duration, Instant};

use cranelift_entity::EntityRef;
use entity::{Cost, Incarnation, ProcessId, Tag, TeamId, Weight};
use knapweed_policy::fair::{Charge, Party, Share, Teams};
use knapweed_policy::ledger::{Extrapolation, GapBound, Ledger, LedgerSettings, STEPS};
use knapweed_policy::message::{LedgerDelta, TeamTotal};

const GOSSIP: Duration = Duration::from_millis(250);

struct Numbered;

impl Teams for Numbered {
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

fn delta(life: u64, sequence: u64, service: i64, pending: i64) -> LedgerDelta {
    let total = TeamTotal {
        team: Tag(0),
        service: Cost(service),
        pending: Cost(pending),
        base: Cost::ZERO,
    };
    LedgerDelta {
        agent: ProcessId(Tag(9)),
        incarnation: Incarnation(life),
        sequence,
        totals: vec![total],
    }
}

fn team() -> TeamId {
    TeamId::new(0)
}

fn counter(ledger: &Ledger, now: Instant) -> i64 {
    ledger.rank(now, team()).0 / STEPS
}

#[test]
fn late_repeated_and_foreign_deltas_change_nothing() {
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
        ledger.merge(now, &delta, &Numbered);
        counter(&ledger, now)
    });
    assert_eq!(counters, [0, 60, 60, 60, 60, 70]);
}

#[test]
fn a_wrong_expectation_in_a_first_delta_leaves_no_credit() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    let deltas = [delta(1, 1, 1_000, 500), delta(1, 2, 1_050, 0)];
    let counters = deltas.map(|delta| {
        ledger.merge(now, &delta, &Numbered);
        counter(&ledger, now)
    });
    assert_eq!(counters, [500, 50]);
}

#[test]
fn the_row_of_a_dead_agent_ages_out_without_a_jump() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    ledger.merge(now, &delta(1, 1, 1_000, 0), &Numbered);
    ledger.merge(now, &delta(1, 2, 1_200, 0), &Numbered);
    let later = now + Duration::from_secs(100);
    ledger.prune(later, |_| true);
    assert_eq!(counter(&ledger, later), 200);
    ledger.merge(later, &delta(1, 3, 90_000, 0), &Numbered);
    assert_eq!(counter(&ledger, later), 200);
}

#[test]
fn news_after_a_silence_move_a_counter_by_no_more_than_the_clamp() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    ledger.merge(now, &delta(1, 1, 0, 0), &Numbered);
    let later = now + Duration::from_secs(60);
    ledger.merge(later, &delta(1, 2, 1_000_000, 0), &Numbered);
    assert_eq!(
        counter(&ledger, later),
        0,
        "an idle pool has no portion to clamp to"
    );
}

#[test]
fn a_team_that_was_idle_starts_at_the_counter_served_last() {
    let now = Instant::now();
    let mut ledger = ledger(1);
    let busy = Party {
        team: TeamId::new(1),
        weight: Weight::ONE,
        router: ProcessId(Tag(5)),
    };
    ledger.backlogged(now, busy.team, busy.weight);
    ledger.charge(now, busy, Charge::pending(Cost(700)));
    ledger.chosen(ledger.rank(now, busy.team));
    ledger.backlogged(now, team(), Weight::ONE);
    assert_eq!(counter(&ledger, now), 700);
}

#[test]
fn inactive_teams_are_forgotten() {
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
fn the_bound_follows_its_formula() {
    let bound = GapBound {
        in_flight: Cost(4_000),
        pace: 1_000.0,
        delay: GOSSIP,
        weights: 10.0,
        least: Weight::new(2).expect("above 0"),
        silence: true,
    };
    assert_eq!(
        bound.cost(),
        (4_000.0 + 250.0) / 2.0 + 2.0 * 1_000.0 * 4.0 / 10.0
    );
}
