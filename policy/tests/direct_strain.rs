//! Weak routers behind a balancer that does not know which are weak.

use std::time::{Duration, Instant};

use knapweed_policy::direct::overload::{
    CLOSE_DURATION, MAX_LAG, MAX_UNREADY_TIME, MIN_UNREADY_TIME, OverloadState, SHED_DURATION,
    SHED_LAG, SUSPENSION_LAG,
};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PERIOD: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_router_that_falls_behind_again_stays_away_longer() {
    let mut now = Instant::now();
    let mut strain = OverloadState::default();
    let late = MAX_LAG + Duration::from_millis(1);
    assert!(!strain.record_lag(MAX_LAG, false, now));
    let mut rest = MIN_UNREADY_TIME;
    for _ in 0..5 {
        assert!(strain.record_lag(late, false, now));
        assert!(strain.record_lag(Duration::ZERO, false, now + rest - PERIOD));
        now += rest;
        assert!(!strain.record_lag(Duration::ZERO, false, now));
        rest = (rest * 2).min(MAX_UNREADY_TIME);
    }
    // After a time without strain it begins anew.
    now += MAX_UNREADY_TIME;
    assert!(strain.record_lag(late, false, now));
    assert!(!strain.record_lag(Duration::ZERO, false, now + MIN_UNREADY_TIME));
}

#[test]
fn new_connections_are_turned_away_while_a_router_is_far_behind() {
    let now = Instant::now();
    let mut strain = OverloadState::default();
    strain.record_lag(SHED_LAG, false, now);
    assert!(!strain.rejects_connections(now));
    strain.record_lag(SHED_LAG + Duration::from_millis(1), false, now);
    assert!(strain.rejects_connections(now));
    assert!(!strain.rejects_connections(now + SHED_DURATION));
    strain.record_lag(SUSPENSION_LAG, false, now + SECOND);
    assert!(!strain.rejects_connections(now + SECOND));
}

#[test]
fn connections_are_closed_only_until_callers_had_time_to_go_elsewhere() {
    let now = Instant::now();
    let late = MAX_LAG + Duration::from_millis(1);
    let mut strain = OverloadState::default();
    for second in 0..20 {
        let at = now + SECOND * second;
        assert!(strain.record_lag(late, false, at));
        assert_eq!(
            strain.closes_connections(at),
            at < now + CLOSE_DURATION,
            "second {second}"
        );
    }
}

#[test]
fn a_process_that_was_suspended_is_not_strained() {
    let mut strain = OverloadState::default();
    assert!(!strain.record_lag(SUSPENSION_LAG, false, Instant::now()));
}

#[test]
fn a_router_without_room_for_connections_is_strained() {
    let mut strain = OverloadState::default();
    assert!(strain.record_lag(Duration::ZERO, true, Instant::now()));
}

/// Routers of the model: requests that each serves in a second.
const RATES: [f64; 7] = [900.0, 900.0, 160.0, 160.0, 160.0, 160.0, 160.0];

/// Callers, who each send a request every half second on a kept connection.
const CALLERS: usize = 700;

/// When routers say that they are strained.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Never.
    Never,
    /// For 1.5 s after they were late by 120 ms.
    Brief,
    /// As the product does.
    Product,
}

/// What one router of the model says of itself.
#[derive(Clone, Copy, Default)]
struct Router {
    strain: OverloadState,
    late: Option<Instant>,
    strained: bool,
    backlog: f64,
}

impl Router {
    fn record_lag(&mut self, way: Way, lag: Duration, now: Instant) {
        if lag > Duration::from_millis(120) {
            self.late = Some(now);
        }
        let was_late = self.late.is_some_and(|late| now - late < SECOND * 3 / 2);
        self.strained = match way {
            Way::Never => false,
            Way::Brief => was_late,
            Way::Product => self.strain.record_lag(lag, false, now),
        };
    }
}

/// The share of requests that wait longer than a tenth of a second, in a minute.
fn delayed(way: Way) -> f64 {
    let start = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut routers = [Router::default(); RATES.len()];
    let mut at: Vec<usize> = (0..CALLERS).map(|it| it % RATES.len()).collect();
    let (mut all, mut late) = (0, 0);
    for step in 0..600_u32 {
        let now = start + PERIOD * step;
        // The balancer looks once a second, and uses all if fewer than half are ready.
        let ready = (0..RATES.len()).filter(|&it| !routers[it].strained);
        let ready: Vec<usize> = ready.collect();
        let ready = match ready.len() * 2 >= RATES.len() {
            true => ready,
            false => (0..RATES.len()).collect(),
        };
        for caller in &mut at {
            if !random.random_bool(PERIOD.as_secs_f64() / 0.5) {
                continue;
            }
            let router = &mut routers[*caller];
            router.backlog += 1.0;
            all += 1;
            late += u32::from(router.backlog / RATES[*caller] > 0.1);
            if router.strained {
                *caller = ready[random.random_range(0..ready.len())];
            }
        }
        for (router, rate) in routers.iter_mut().zip(RATES) {
            router.backlog = (router.backlog - rate * PERIOD.as_secs_f64()).max(0.0);
            let lag = Duration::from_secs_f64(router.backlog / rate);
            router.record_lag(way, lag.min(SUSPENSION_LAG / 2), now);
        }
    }
    f64::from(late) / f64::from(all)
}

#[test]
fn callers_wait_less_when_weak_routers_say_so_early_and_for_long() {
    let (never, brief) = (delayed(Way::Never), delayed(Way::Brief));
    let product = delayed(Way::Product);
    assert!(
        product * 2.0 <= never,
        "{product:.3} late, {never:.3} without a word"
    );
    assert!(
        product < brief,
        "{product:.3} late, {brief:.3} with short rests"
    );
}
