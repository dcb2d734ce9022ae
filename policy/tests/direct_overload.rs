//! Tests of overload detection for routers of unequal capacity behind a load
//! balancer that does not know their capacity.

use std::time::{Duration, Instant};

use knapweed_policy::direct::overload::{
    MAX_LAG, MAX_UNREADY_TIME, MIN_UNREADY_TIME, OverloadState, SHED_DURATION, SHED_LAG,
    SUSPENSION_LAG,
};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PERIOD: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_relapse_extends_the_time_for_which_a_router_is_not_ready() {
    let mut now = Instant::now();
    let mut state = OverloadState::default();
    let late = MAX_LAG + Duration::from_millis(1);
    assert!(!state.record_lag(MAX_LAG, false, now));
    let mut unready_time = MIN_UNREADY_TIME;
    for _ in 0..5 {
        assert!(state.record_lag(late, false, now));
        assert!(state.record_lag(Duration::ZERO, false, now + unready_time - PERIOD));
        now += unready_time;
        assert!(!state.record_lag(Duration::ZERO, false, now));
        unready_time = (unready_time * 2).min(MAX_UNREADY_TIME);
    }
    // After a time without overload the shortest time applies again.
    now += MAX_UNREADY_TIME;
    assert!(state.record_lag(late, false, now));
    assert!(!state.record_lag(Duration::ZERO, false, now + MIN_UNREADY_TIME));
}

#[test]
fn connections_are_rejected_while_a_router_lags_far_behind() {
    let now = Instant::now();
    let mut state = OverloadState::default();
    state.record_lag(SHED_LAG, false, now);
    assert!(!state.rejects_connections(now));
    state.record_lag(SHED_LAG + Duration::from_millis(1), false, now);
    assert!(state.rejects_connections(now));
    assert!(!state.rejects_connections(now + SHED_DURATION));
    state.record_lag(SUSPENSION_LAG, false, now + SECOND);
    assert!(!state.rejects_connections(now + SECOND));
}

#[test]
fn a_suspended_process_is_not_overloaded() {
    let mut state = OverloadState::default();
    assert!(!state.record_lag(SUSPENSION_LAG, false, Instant::now()));
}

#[test]
fn a_router_at_its_connection_limit_is_overloaded() {
    let mut state = OverloadState::default();
    assert!(state.record_lag(Duration::ZERO, true, Instant::now()));
}

/// Requests per second that each router of the model can serve.
const RATES: [f64; 7] = [900.0, 900.0, 160.0, 160.0, 160.0, 160.0, 160.0];

/// Callers, each of which sends a request every half second on a persistent
/// connection.
const CALLERS: usize = 700;

/// When routers report that they are overloaded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Never.
    Never,
    /// For 1.5 s after a lag of more than 120 ms.
    Brief,
    /// The implementation under test.
    Product,
}

/// The state of one router of the model.
#[derive(Clone, Copy, Default)]
struct Router {
    state: OverloadState,
    last_late: Option<Instant>,
    is_overloaded: bool,
    backlog: f64,
}

impl Router {
    fn record_lag(&mut self, policy: Policy, lag: Duration, now: Instant) {
        if lag > Duration::from_millis(120) {
            self.last_late = Some(now);
        }
        let was_late = self
            .last_late
            .is_some_and(|last_late| now - last_late < SECOND * 3 / 2);
        self.is_overloaded = match policy {
            Policy::Never => false,
            Policy::Brief => was_late,
            Policy::Product => self.state.record_lag(lag, false, now),
        };
    }
}

/// The fraction of requests that wait longer than a tenth of a second, within a
/// minute.
fn delayed_fraction(policy: Policy) -> f64 {
    let start = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut routers = [Router::default(); RATES.len()];
    // The router to which each caller is connected.
    let mut connected_to: Vec<usize> = (0..CALLERS).map(|caller| caller % RATES.len()).collect();
    let (mut total, mut delayed) = (0, 0);
    for step in 0..600_u32 {
        let now = start + PERIOD * step;
        // The load balancer checks once a second, and uses all routers if fewer
        // than half are ready.
        let ready = (0..RATES.len()).filter(|&it| !routers[it].is_overloaded);
        let ready: Vec<usize> = ready.collect();
        let ready = match ready.len() * 2 >= RATES.len() {
            true => ready,
            false => (0..RATES.len()).collect(),
        };
        for index in &mut connected_to {
            if !random.random_bool(PERIOD.as_secs_f64() / 0.5) {
                continue;
            }
            let router = &mut routers[*index];
            router.backlog += 1.0;
            total += 1;
            delayed += u32::from(router.backlog / RATES[*index] > 0.1);
            if router.is_overloaded {
                *index = ready[random.random_range(0..ready.len())];
            }
        }
        for (router, rate) in routers.iter_mut().zip(RATES) {
            router.backlog = (router.backlog - rate * PERIOD.as_secs_f64()).max(0.0);
            let lag = Duration::from_secs_f64(router.backlog / rate);
            router.record_lag(policy, lag.min(SUSPENSION_LAG / 2), now);
        }
    }
    f64::from(delayed) / f64::from(total)
}

#[test]
fn fewer_requests_are_delayed_with_overload_detection() {
    let (never, brief) = (
        delayed_fraction(Policy::Never),
        delayed_fraction(Policy::Brief),
    );
    let product = delayed_fraction(Policy::Product);
    assert!(
        product * 2.0 <= never,
        "{product:.3} delayed, {never:.3} without detection"
    );
    assert!(
        product < brief,
        "{product:.3} delayed, {brief:.3} with brief reports"
    );
}
