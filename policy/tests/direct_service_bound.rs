//! Tests of the bound on teams while another team is left behind.

use std::time::{Duration, Instant};

use knapweed_policy::direct::fair_share::TeamRate;
use knapweed_policy::direct::service_bound::ServiceBound;
use proptest::prelude::*;

/// The interval at which rates are updated.
const TICK: Duration = Duration::from_millis(100);

/// The time constant of rates: a half-life of 1.5 s.
const TIME_CONSTANT: Duration = Duration::from_millis(2164);

/// Above this ratio to the least served team no request is sent.
const MAX_RATIO: f64 = 1.8;

/// Teams whose work decays with the time constant of rates.
struct Fleet {
    bound: ServiceBound,
    rates: Vec<(u64, TeamRate)>,
    fair_share: f64,
    /// The rate by which a team may fall short.
    spared: f64,
    now: Instant,
}

impl Fleet {
    fn new(teams: usize, fair_share: f64) -> Self {
        let rates = (0..teams as u64).map(|team| (team, TeamRate::default()));
        Self {
            bound: ServiceBound::default(),
            rates: rates.collect(),
            fair_share,
            spared: 0.0,
            now: Instant::now(),
        }
    }

    /// Plays a time in which each team requests and is admitted these rates.
    fn play(&mut self, flows: &[TeamRate], time: Duration) {
        for _ in 0..time.as_millis() / TICK.as_millis() {
            self.tick(flows);
        }
    }

    fn tick(&mut self, flows: &[TeamRate]) {
        self.now += TICK;
        let remaining = (-TICK.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        let decay = |rate: f64, flow: f64| rate * remaining + flow * (1.0 - remaining);
        for ((_, rate), flow) in self.rates.iter_mut().zip(flows) {
            rate.requested = decay(rate.requested, flow.requested);
            rate.admitted = decay(rate.admitted, flow.admitted);
        }
        self.bound
            .update(&self.rates, self.fair_share, self.spared, self.now);
    }

    fn is_held(&self, admitted: f64) -> bool {
        self.bound.held_for(flow(admitted, admitted), 1.0).is_some()
    }
}

fn flow(requested: f64, admitted: f64) -> TeamRate {
    TeamRate {
        requested,
        admitted,
    }
}

const SECOND: Duration = Duration::from_secs(1);

proptest! {
    /// Teams that get over half of what they request leave all others free.
    #[test]
    fn no_team_is_held_while_none_is_left_behind(
        requested in prop::collection::vec(1.0..1e6, 2..12),
        served in 0.55..1.0_f64,
    ) {
        let flows: Vec<_> = requested.iter().map(|&it| flow(it, it * served)).collect();
        let mut fleet = Fleet::new(flows.len(), 1.0);
        for _ in 0..80 {
            fleet.tick(&flows);
            prop_assert_eq!(fleet.bound.bound(), None);
            prop_assert!(!fleet.is_held(1e9));
        }
    }

    #[test]
    fn neither_the_least_served_team_nor_one_within_its_share_is_held(
        requested in prop::collection::vec(1e3..1e6, 2..12),
        served in prop::collection::vec(0.01..1.0_f64, 12),
        fair_share in 1.0..1e6,
    ) {
        let flows = requested.iter().zip(&served).map(|(&it, part)| flow(it, it * part));
        let flows: Vec<_> = flows.collect();
        let mut fleet = Fleet::new(flows.len(), fair_share);
        for _ in 0..80 {
            fleet.tick(&flows);
            prop_assert!(!fleet.is_held(fair_share));
            if let Some(bound) = fleet.bound.bound() {
                prop_assert!(!fleet.is_held(bound.rate.admitted));
            }
        }
    }

    /// A team is held for no shorter time, and at no smaller a random number, than one
    /// that gets less.
    #[test]
    fn a_team_is_held_no_less_than_one_that_gets_less(
        more in 1.0..1e6, less in 0.0..1.0, draw in 0.0..1.0,
    ) {
        let mut fleet = Fleet::new(2, 1e4);
        fleet.play(&[flow(1e6, 2e4), flow(1e6, 2e5)], SECOND * 4);
        prop_assert!(fleet.bound.bound().is_some());
        let held = |admitted| fleet.bound.held_for(flow(2e6, admitted), draw);
        prop_assert!(held(more) >= held(more * less));
    }
}

#[test]
fn others_are_held_after_a_team_was_refused_for_two_seconds() {
    let flows = [flow(1e6, 2e4), flow(1e6, 2e5)];
    let mut fleet = Fleet::new(2, 1e4);
    fleet.play(&flows, SECOND);
    assert_eq!(fleet.bound.bound(), None);
    fleet.play(&flows, SECOND * 2);
    assert_eq!(fleet.bound.bound().expect("a bound").team, 0);
    assert!(fleet.is_held(2e5));
}

#[test]
fn others_are_free_two_seconds_after_the_demand_ended() {
    let mut fleet = Fleet::new(2, 1e4);
    fleet.play(&[flow(1e6, 2e4), flow(1e6, 2e5)], SECOND * 6);
    assert!(fleet.is_held(2e5));
    fleet.play(&[flow(0.0, 0.0), flow(1e6, 2e5)], SECOND * 2);
    assert_eq!(fleet.bound.bound(), None);
}

/// Guards against a team that asks little, or lacks a few requests, holding all others.
#[test]
fn a_team_that_lacks_less_than_the_spared_work_holds_nobody() {
    let flows = [flow(5e3, 1e3), flow(1e6, 2e5)];
    let mut fleet = Fleet::new(2, 1e3);
    fleet.play(&flows, SECOND * 4);
    assert!(fleet.bound.bound().is_some());
    let mut fleet = Fleet::new(2, 1e3);
    fleet.spared = 2e3;
    for _ in 0..60 {
        fleet.tick(&flows);
        assert_eq!(fleet.bound.bound(), None);
    }
}

/// Routers that learn of each other's admissions late hold a team close to the bound
/// instead of swinging between all and nothing.
#[test]
fn routers_that_know_of_each_other_late_meet_the_bound_in_the_mean() {
    const DELAY_TICKS: usize = 3;
    let (least, offered) = (2e5, 1.5e6);
    let mut fleet = Fleet::new(2, 1.5e5);
    let mut admitted = vec![offered; DELAY_TICKS];
    for _ in 0..120 {
        let late = admitted[admitted.len() - DELAY_TICKS];
        fleet.tick(&[flow(3e6, least), flow(offered, late)]);
        let rate = fleet.rates[1].1;
        let draws = (0..100).map(|it| f64::from(it) / 100.0);
        let sent = draws.filter(|&draw| fleet.bound.held_for(rate, draw).is_none());
        admitted.push(offered * sent.count() as f64 / 100.0);
    }
    let last = &admitted[admitted.len() - 60..];
    let mean = last.iter().sum::<f64>() / 60.0;
    assert!(mean > least && mean < least * MAX_RATIO, "{mean:.0}");
    for second in last.chunks(10) {
        let mean = second.iter().sum::<f64>() / 10.0;
        assert!(
            mean > least * 0.8 && mean < least * 2.0,
            "{mean:.0} in a second"
        );
    }
}
