//! Tests of the bound on teams while another team is left behind.

use std::time::{Duration, Instant};

use knapweed_policy::direct::fair_share::{FairShares, TeamRate};
use knapweed_policy::direct::service_bound::ServiceBound;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The interval at which rates are updated.
const TICK: Duration = Duration::from_millis(100);

/// The time constant of rates: a half-life of 1.5 s.
const TIME_CONSTANT: Duration = Duration::from_millis(2164);

/// Above this ratio to the least served team nothing is sent.
const MAX_RATIO: f64 = 1.7;

/// The size of a request.
const REQUEST_TOKENS: f64 = 500.0;

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

    /// Offers a team's requests of [`REQUEST_TOKENS`] at a rate for a second, all of them
    /// here, and returns what is sent.
    fn send(&mut self, team: u64, demand: f64) -> f64 {
        let mut sent = 0.0;
        let interval = Duration::from_secs_f64(REQUEST_TOKENS / demand);
        let mut at = Duration::ZERO;
        while at < SECOND {
            let total = flow(demand, self.rates[team as usize].1.admitted);
            let held = self.bound.held_for(team, total, total, self.now + at);
            if held.is_none() {
                self.bound.record_sent(team, REQUEST_TOKENS);
                sent += REQUEST_TOKENS;
            }
            at += interval;
        }
        sent
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
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..Default::default() })]

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
        }
        prop_assert!(fleet.send(0, 1e5) >= 1e5);
    }

    #[test]
    fn each_team_may_send_what_the_least_served_one_gets_and_its_fair_share(
        least in 1e4..1e5, excess in 1.0..20.0_f64, fair_share in 1e3..3e5,
    ) {
        let mut fleet = Fleet::new(2, fair_share);
        fleet.play(&[flow(1e6, least), flow(1e6, least * excess)], SECOND * 5);
        prop_assert!(fleet.send(0, 1e6) >= 1e6);
        let may_send = least.max(fair_share);
        fleet.rates[1].1.admitted = fleet.rates[1].1.admitted.min(may_send);
        prop_assert!(fleet.send(1, may_send) >= may_send * 0.95 - REQUEST_TOKENS);
    }

    /// However large its demand, and whatever it got before.
    #[test]
    fn a_held_team_sends_less_than_twice_what_the_least_served_one_gets(
        least in 1e4..1e5, excess in 2.0..20.0_f64, demand in 2e5..5e6,
    ) {
        let mut fleet = Fleet::new(2, least * 0.9);
        fleet.play(&[flow(1e6, least), flow(1e6, least * excess)], SECOND * 5);
        for admitted in [least * 0.5, least, least * excess] {
            fleet.rates[1].1.admitted = admitted;
            let sent = fleet.send(1, demand);
            // What was saved up counts once.
            prop_assert!(sent < least * 2.0 + REQUEST_TOKENS, "{sent} of {least}");
        }
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
    assert_eq!(fleet.send(1, 1e6), 0.0);
}

#[test]
fn others_are_free_two_seconds_after_the_demand_ended() {
    let mut fleet = Fleet::new(2, 1e4);
    fleet.play(&[flow(1e6, 2e4), flow(1e6, 2e5)], SECOND * 6);
    assert!(fleet.bound.bound().is_some());
    fleet.play(&[flow(0.0, 0.0), flow(1e6, 2e5)], SECOND * 2);
    assert_eq!(fleet.bound.bound(), None);
}

#[test]
fn others_are_free_once_they_stay_below_the_limit_by_themselves() {
    let mut fleet = Fleet::new(2, 1e4);
    fleet.play(&[flow(1e6, 2e4), flow(1e6, 2e5)], SECOND * 6);
    assert!(fleet.bound.bound().is_some());
    // The least served team gets a burst, and less again.
    fleet.play(&[flow(1e6, 2e5), flow(1e6, 2e5)], SECOND);
    fleet.play(&[flow(1e6, 2e4), flow(1e6, 2e5)], SECOND);
    assert!(fleet.bound.bound().is_some());
    fleet.play(&[flow(1e6, 2e5), flow(1e6, 2e5)], SECOND * 10);
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

/// Plays a team without a target beside two others, of which one gets half of what it
/// requests. Returns whether a bound was in force.
fn is_bound_beside_a_team_without_target(is_withdrawn: bool) -> bool {
    let mut shares = FairShares::new(0.0);
    let start = Instant::now();
    let mut is_bound = false;
    for tick in 0..60 {
        let now = start + TICK * tick;
        for (team, is_admitted) in [(0, false), (1, tick % 2 == 0), (2, true)] {
            shares.record_request(team, 1e4, now);
            match is_admitted {
                true => shares.record_admitted(team, 1e4, now),
                false if team == 0 && is_withdrawn => shares.withdraw_request(team, 1e4, now),
                false => {}
            }
        }
        is_bound |= shares.bound(now).is_some();
    }
    is_bound
}

#[test]
fn a_team_whose_service_has_no_target_holds_nobody() {
    assert!(is_bound_beside_a_team_without_target(false));
    assert!(!is_bound_beside_a_team_without_target(true));
}

/// Routers that hear of each other's work late do not swing between all and nothing.
#[test]
fn routers_that_hear_late_of_each_other_meet_the_bound_in_each_second() {
    const ROUTERS: usize = 6;
    const DELAY_TICKS: usize = 3;
    const TICKS: usize = 120;
    let (least, demand) = (2e5, 3e6);
    let own_demand = demand / ROUTERS as f64;
    let mut fleets: Vec<Fleet> = (0..ROUTERS).map(|_| Fleet::new(2, 1.5e5)).collect();
    // What each router sent in each tick, as a rate; nobody was held before.
    let mut sent = vec![[own_demand; ROUTERS]; DELAY_TICKS];
    for _ in 0..TICKS {
        let mut rates = [0.0; ROUTERS];
        for (router, fleet) in fleets.iter_mut().enumerate() {
            let late = sent[sent.len() - DELAY_TICKS];
            let now = sent[sent.len() - 1];
            let others: f64 = late.iter().sum::<f64>() - late[router];
            fleet.tick(&[flow(3e6, least), flow(demand, others + now[router])]);
            let total = flow(demand, fleet.rates[1].1.admitted);
            let own = flow(own_demand, 0.0);
            let requests = own_demand * TICK.as_secs_f64() / REQUEST_TOKENS;
            for request in 0..requests as u32 {
                let now = fleet.now + TICK.mul_f64(f64::from(request) / requests);
                if fleet.bound.held_for(1, own, total, now).is_none() {
                    fleet.bound.record_sent(1, REQUEST_TOKENS);
                    rates[router] += REQUEST_TOKENS / TICK.as_secs_f64();
                }
            }
        }
        sent.push(rates);
    }
    for second in sent[TICKS - 40..].chunks(10) {
        let mean = second.iter().flatten().sum::<f64>() / second.len() as f64;
        assert!(
            mean > least && mean < least * MAX_RATIO,
            "{mean:.0} in a second"
        );
    }
}
