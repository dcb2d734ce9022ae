//! Fairness between two teams that both request far more than their share.

use std::time::{Duration, Instant};

use rand::RngExt as _;

use crate::pool::{KINDS, PREFILL_RATE, Policy, Pool, Request, SEED, STEP, prompt, random_of_seed};

const ROUTERS: usize = 8;
const TARGETS: usize = 12;

/// The routers of the data centre of team 1.
const CENTRE_ROUTERS: usize = 3;

/// The teams that request little.
const SMALL_TEAMS: usize = 8;

/// The load as a multiple of the usual load.
const LOAD_FACTOR: f64 = 8.0;

/// The seconds over which service is compared.
const WINDOW_SECONDS: usize = 6;

const SECONDS: usize = 20;

/// The largest requests of a team by which it may fall short in a window.
const SPARED_REQUESTS: usize = 3;

/// The weighted tokens of a team, by second.
#[derive(Default)]
struct Service {
    begun: [f64; SECONDS],
    requested: [f64; SECONDS],
    largest: Vec<f64>,
}

impl Service {
    fn record_request(&mut self, tokens: f64, second: usize) {
        self.requested[second] += tokens;
        self.largest.push(tokens);
        self.largest.sort_by(|a, b| b.total_cmp(a));
        self.largest.truncate(SPARED_REQUESTS);
    }
}

/// The seconds of each [`SILENCE_PERIOD`] in which the reports of router 0 are lost.
const SILENT_SECONDS: usize = 4;

const SILENCE_PERIOD: usize = 6;

/// How the two teams differ.
#[derive(Clone, Copy)]
struct Difference {
    /// Whether the callers of team 0 reach router 0 only, which no other team uses.
    reaches_one_router: bool,
    /// How late router 0 observes responses.
    lag: Duration,
    /// The limit on the output that callers of team 0 state, as a multiple of what
    /// they expect.
    limit_factor: u32,
    /// The requests that router 0 can send in a second.
    max_sent: u32,
    /// Whether router 0 sheds what it cannot send, without reading it.
    sheds: bool,
    /// The fraction of sent requests of team 0 that end before they begin to run.
    unbegun: f64,
    /// Whether the reports of router 0 are lost for [`SILENT_SECONDS`] of every
    /// [`SILENCE_PERIOD`].
    loses_reports: bool,
    /// Whether the callers of team 1 reach the last [`CENTRE_ROUTERS`] routers only.
    reaches_one_centre: bool,
    /// The seed of the load.
    seed: u64,
}

const NO_DIFFERENCE: Difference = Difference {
    reaches_one_router: false,
    lag: Duration::ZERO,
    limit_factor: 1,
    max_sent: u32::MAX,
    sheds: false,
    unbegun: 0.0,
    loses_reports: false,
    reaches_one_centre: false,
    seed: SEED,
};

/// Plays both teams and the small ones.
fn play(difference: Difference) -> [Service; 2] {
    let start = Instant::now();
    let mut random = random_of_seed(difference.seed);
    let mut lags = [Duration::ZERO; ROUTERS];
    lags[0] = difference.lag;
    let mut pool = Pool::new(Policy::Product, TARGETS, PREFILL_RATE, &lags, start);
    let mut services = [Service::default(), Service::default()];
    // The requests sent by router 0 in the current second.
    let mut sent = (0, 0);
    for step in 0..SECONDS * 1_000 / STEP.as_millis() as usize {
        let now = start + STEP * step as u32;
        let second = (now - start).as_secs() as usize;
        let is_silent =
            difference.loses_reports && second % SILENCE_PERIOD >= SILENCE_PERIOD - SILENT_SECONDS;
        pool.set_silent(0, is_silent, now);
        pool.begin_step(now);
        if sent.0 != second {
            sent = (second, 0);
        }
        for (index, kind) in KINDS.iter().enumerate() {
            if !random.random_bool(kind.per_second * LOAD_FACTOR * STEP.as_secs_f64()) {
                continue;
            }
            let mut prompt = prompt(index, &mut random);
            let team = match random.random_range(0..10) {
                0..3 => 0,
                3..6 => 1,
                _ => 2 + random.random_range(0..SMALL_TEAMS),
            };
            let router = match (difference.reaches_one_router, team) {
                (true, 0) => 0,
                (_, 1) if difference.reaches_one_centre => {
                    random.random_range(ROUTERS - CENTRE_ROUTERS..ROUTERS)
                }
                (true, _) => random.random_range(1..ROUTERS),
                (false, _) => random.random_range(0..ROUTERS),
            };
            let tokens = prompt.weighted_tokens();
            if team == 0 {
                prompt.max_output_tokens *= difference.limit_factor;
            }
            let request = Request {
                kind: index,
                team,
                tokens,
            };
            if let Some(service) = services.get_mut(team) {
                service.record_request(tokens, second);
            }
            if router == 0 && sent.1 >= difference.max_sent {
                match difference.sheds {
                    true => pool.shed(router),
                    false => pool.refuse(router, request, now),
                }
                continue;
            }
            let begins =
                team != 0 || difference.unbegun == 0.0 || !random.random_bool(difference.unbegun);
            let is_sent = match begins {
                true => pool.offer(router, request, &prompt, &mut random, now),
                false => pool.offer_unbegun(router, request, &prompt, &mut random, now),
            };
            if router == 0 && is_sent {
                sent.1 += 1;
            }
        }
        for begun in pool.end_step(now) {
            let Request { team, tokens, .. } = begun.request;
            if let Some(service) = services.get_mut(team) {
                service.begun[second] += tokens;
            }
        }
    }
    services
}

/// Asserts that in no window either team gets less than half of what the other
/// gets or it requests itself, whichever is less, apart from a few requests.
fn assert_fair(services: &[Service; 2]) {
    for (own, other) in [(0, 1), (1, 0)] {
        let (own_service, other_service) = (&services[own], &services[other]);
        let spared: f64 = own_service.largest.iter().sum();
        for from in 0..=SECONDS - WINDOW_SECONDS {
            let window = from..from + WINDOW_SECONDS;
            let got: f64 = own_service.begun[window.clone()].iter().sum();
            let due = window.map(|second| {
                let requested = own_service.requested[second];
                requested.min(other_service.begun[second]) / 2.0
            });
            let due: f64 = due.sum();
            assert!(
                got >= due - spared,
                "team {own} got {got:.0} tokens from second {from} on, due are {due:.0} less {spared:.0}"
            );
        }
    }
}

#[test]
fn a_team_at_one_router_gets_as_much_as_a_team_at_many() {
    assert_fair(&play(Difference {
        reaches_one_router: true,
        ..NO_DIFFERENCE
    }));
}

/// Guards against a late router overestimating the waits of all targets.
#[test]
fn a_team_whose_only_router_is_late_gets_half_of_what_another_team_gets() {
    assert_fair(&play(Difference {
        reaches_one_router: true,
        lag: Duration::from_millis(300),
        ..NO_DIFFERENCE
    }));
}

/// Guards against charging a team for output that it does not expect.
#[test]
fn a_team_with_high_output_limits_gets_half_of_what_another_team_gets() {
    assert_fair(&play(Difference {
        limit_factor: 20,
        ..NO_DIFFERENCE
    }));
}

/// Guards against one team's overloaded router leaving the pool to the other team.
#[test]
fn a_team_whose_only_router_can_send_little_gets_half_of_what_another_team_gets() {
    assert_fair(&play(Difference {
        reaches_one_router: true,
        max_sent: 20,
        ..NO_DIFFERENCE
    }));
}

/// Guards against load that is shed before its team is known counting for no team.
#[test]
fn a_team_whose_only_router_sheds_most_of_it_unread_gets_half_of_what_another_team_gets() {
    assert_fair(&play(Difference {
        reaches_one_router: true,
        max_sent: 20,
        sheds: true,
        ..NO_DIFFERENCE
    }));
}

/// Guards against charging a team for requests that do not begin to run.
#[test]
fn a_team_of_whose_requests_half_do_not_begin_gets_half_of_what_another_team_gets() {
    assert_fair(&play(Difference {
        unbegun: 0.5,
        ..NO_DIFFERENCE
    }));
}

/// Guards against a team's rates disappearing with the reports of its only router.
#[test]
fn a_team_whose_only_router_reports_late_gets_half_of_what_another_team_gets() {
    assert_fair(&play(Difference {
        reaches_one_router: true,
        max_sent: 20,
        loses_reports: true,
        ..NO_DIFFERENCE
    }));
}

/// Guards against one draw of the load, one strength of the router or one spread of the
/// other team being what makes the result.
#[test]
fn a_team_at_a_weak_router_gets_half_of_what_a_team_in_another_data_centre_gets() {
    for seed in 0..8 {
        for max_sent in [20, 30, 50] {
            for reaches_one_centre in [false, true] {
                println!("seed {seed}, {max_sent} sent, one centre: {reaches_one_centre}");
                assert_fair(&play(Difference {
                    reaches_one_router: true,
                    max_sent,
                    reaches_one_centre,
                    seed,
                    ..NO_DIFFERENCE
                }));
            }
        }
    }
}
