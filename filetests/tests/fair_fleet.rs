//! Fair sharing, utilisation and cold targets of a fleet in simulated time.

use std::time::Duration;

use entity::{Cost, Weight};
use knapweed_filetests::fleet::{Fleet, FleetSettings, Process, TeamLoad};
use policy::ledger::{GapBound, Ledger, LedgerSettings};
use policy::message::Endpoint;
use proptest::prelude::*;
use rules::Window;

const SLOTS: Window = Window { cold: 4, max: 4 };

fn team(weight: u32, routers: core::ops::Range<usize>, open: usize) -> TeamLoad {
    TeamLoad {
        weight,
        median: 60.0,
        sigma: 1.0,
        error: 10.0,
        routers,
        open,
    }
}

fn settings(seed: u64, teams: Vec<TeamLoad>) -> FleetSettings {
    FleetSettings {
        seed,
        routers: 4,
        agents: 10,
        centres: 4,
        window: SLOTS,
        limit: 4,
        local_delay: Duration::from_micros(200),
        remote_delay: Duration::from_micros(500),
        token_time: Duration::from_millis(10),
        gossip: Some(Duration::from_millis(250)),
        loss: 0.0,
        duplication: 0.0,
        timeout: Duration::from_secs(600),
        teams,
    }
}

/// Fifteen teams spread unevenly over routers: one with four times the cost, one of weight 3.
fn skewed(seed: u64) -> FleetSettings {
    let mut teams = vec![team(1, 0..4, 20); 15];
    teams[0] = TeamLoad {
        median: 240.0,
        ..team(1, 0..1, 20)
    };
    teams[1] = team(3, 1..2, 40);
    settings(seed, teams)
}

fn ledger(settings: &FleetSettings, endpoint: Endpoint) -> Ledger {
    Ledger::new(LedgerSettings {
        agent: endpoint.id,
        incarnation: endpoint.incarnation,
        gossip: settings.gossip,
        extrapolation: Default::default(),
    })
}

fn started(settings: FleetSettings) -> Fleet {
    let mut fleet = Fleet::new(settings, ledger);
    fleet.start_load();
    fleet
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// The gap bound for teams of weight 1 in the skewed fleet: 40 slots of 100 cost units per second.
fn bound(fleet: &Fleet, silence: bool) -> f64 {
    let bound = GapBound {
        in_flight: fleet.max_in_flight(),
        service_rate: 40.0 * 100.0,
        delay: Duration::from_millis(251),
        total_weight: 17.0,
        min_weight: Weight::ONE,
        has_silent_row: silence,
    };
    bound.cost()
}

fn assert_bounded(fleet: &Fleet, silence: bool) {
    let (gap, bound) = (fleet.gaps.max_gap(), bound(fleet, silence));
    assert!(gap <= bound, "gap {gap} over bound {bound}");
}

#[test]
fn gap_stays_within_the_bound() {
    for seed in 1..=3 {
        let mut fleet = started(skewed(seed));
        fleet.run_until(seconds(60));
        fleet.gaps.reset();
        fleet.run_until(seconds(120));
        assert_bounded(&fleet, false);
    }
}

#[test]
fn gap_stays_within_the_bound_with_lost_and_doubled_messages() {
    let mut fleet = started(FleetSettings {
        loss: 0.05,
        duplication: 0.05,
        ..skewed(4)
    });
    fleet.run_until(seconds(60));
    fleet.gaps.reset();
    fleet.run_until(seconds(120));
    assert_bounded(&fleet, false);
}

#[test]
fn gap_stays_within_the_bound_when_an_agent_restarts_empty() {
    let mut fleet = started(skewed(5));
    fleet.run_until(seconds(60));
    fleet.gaps.reset();
    fleet.restart(3, true);
    fleet.run_until(seconds(120));
    assert_bounded(&fleet, false);
}

#[test]
fn no_team_starves_after_a_partition_heals() {
    let mut fleet = started(skewed(6));
    fleet.run_until(seconds(60));
    for index in 0..2 {
        fleet.set_partition(Process::Router(index), 1);
    }
    for index in 0..5 {
        fleet.set_partition(Process::Agent(index), 1);
    }
    fleet.run_until(seconds(120));
    for index in 0..2 {
        fleet.set_partition(Process::Router(index), 0);
    }
    for index in 0..5 {
        fleet.set_partition(Process::Agent(index), 0);
    }
    fleet.run_until(seconds(122));
    fleet.gaps.reset();
    let before = fleet.gaps.service().to_vec();
    fleet.run_until(seconds(180));
    assert_bounded(&fleet, true);
    let after = fleet.gaps.service();
    assert!(
        before
            .iter()
            .zip(after)
            .all(|(before, after)| after > before)
    );
}

#[test]
fn slots_stay_busy_while_all_work_waits_at_one_router() {
    for remote_delay in [500, 1_000, 30_000] {
        let mut fleet = started(FleetSettings {
            remote_delay: Duration::from_micros(remote_delay),
            ..settings(7, vec![team(1, 0..1, 40); 5])
        });
        fleet.run_until(seconds(10));
        let before = fleet.counts.clone();
        fleet.run_until(seconds(70));
        let idle = fleet.counts.idle - before.idle;
        let busy = fleet.counts.busy - before.busy;
        let part = idle.as_secs_f64() / busy.as_secs_f64();
        assert!(part < 0.01, "idle part {part} at {remote_delay} us");
    }
}

#[test]
fn cold_targets_are_not_overrun_by_350_routers() {
    let mut fleet = started(FleetSettings {
        routers: 350,
        window: Window { cold: 1, max: 4 },
        ..settings(8, vec![team(1, 0..350, 350); 3])
    });
    fleet.run_until(seconds(10));
    fleet.restart(2, false);
    fleet.restart(5, true);
    fleet.run_until(seconds(25));
    assert_eq!(fleet.counts.overload, 0);
    assert!(fleet.counts.answered > 0);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut fleet = started(FleetSettings {
            loss: 0.02,
            duplication: 0.02,
            ..skewed(9)
        });
        fleet.run_until(seconds(20));
        (fleet.counts.clone(), fleet.gaps.max_gap())
    };
    assert_eq!(run(), run());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn nothing_is_lost_or_leaked(
        seed in 0u64..1_000_000,
        loss in 0.0..0.3f64,
        duplication in 0.0..0.3f64,
        faults in prop::collection::vec((0usize..4, 0u8..4), 0..6),
        requests in prop::collection::vec((0u64..3_000, 0usize..3, 0usize..4), 1..150),
    ) {
        let mut fleet = Fleet::new(FleetSettings {
            agents: 4,
            loss,
            duplication,
            window: Window { cold: 1, max: 3 },
            limit: 3,
            timeout: seconds(40),
            ..settings(seed, vec![team(1, 0..4, 0); 3])
        }, ledger);
        for &(delay, team, router) in &requests {
            fleet.arrive(Duration::from_millis(delay), team, router);
        }
        for (step, &(index, kind)) in faults.iter().enumerate() {
            fleet.run_until(Duration::from_millis(500 * (step as u64 + 1)));
            match kind {
                0 => fleet.restart(index, true),
                1 => fleet.restart(index, false),
                2 => fleet.set_partition(Process::Agent(index), 1),
                _ => fleet.set_partition(Process::Router(index), 1),
            }
        }
        fleet.run_until(seconds(6));
        for index in 0..4 {
            fleet.set_partition(Process::Agent(index), 0);
            fleet.set_partition(Process::Router(index), 0);
        }
        fleet.run_until(seconds(60));
        prop_assert_eq!(fleet.open_requests(), 0);
        let counts = &fleet.counts;
        let ended = counts.answered + counts.not_run + counts.unknown;
        prop_assert_eq!(ended, requests.len() as u64);
        for router in fleet.routers() {
            prop_assert_eq!(router.pending(), 0);
        }
        for agent in fleet.agents() {
            prop_assert_eq!(agent.used(), 0);
            for team in 0..3 {
                let total = agent.share().own_total(cranelift_entity::EntityRef::new(team));
                prop_assert!(total >= Cost::ZERO);
            }
        }
    }
}
