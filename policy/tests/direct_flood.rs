//! Tests of a router of little capacity whose callers request more than it can
//! carry.
//!
//! The model counts processor time: for each connection, for each request in
//! progress while it lasts, and nothing else. The lag is the time that the work
//! already taken on needs.

use std::time::{Duration, Instant};

use knapweed_policy::direct::overload::{LIMIT_LAG, OverloadState, RequestLimit, SHED_LAG};

/// The step of the model, and the period of the task whose lag is recorded.
const STEP: Duration = Duration::from_millis(10);
const TASK_STEPS: u32 = 10;

/// The part of a core that the router has.
const PROCESSOR_SHARE: f64 = 0.09;

/// The processor time to accept a connection and to refuse its request, in seconds.
const CONNECTION_SECONDS: f64 = 60e-6;

/// The processor time to read, authorize and refuse a request besides that, in seconds.
const REFUSAL_SECONDS: f64 = 90e-6;

/// The processor time of a request in progress, per second.
const REQUEST_LOAD: f64 = 0.5e-3;

/// How long a request is in progress.
const REQUEST_STEPS: usize = 150;

/// A caller that leaves must be noticed within half a second.
const MAX_LAG: Duration = Duration::from_millis(500);

const SECONDS: u32 = 30;

/// The time that the router has to adapt.
const ADAPTATION_SECONDS: u32 = 8;

#[derive(Default)]
struct Outcome {
    max_lag: Duration,
    /// The mean number of requests in progress.
    requests: f64,
}

/// Plays `per_second` new connections a second, each with a request.
fn play(per_second: f64, limits_requests: bool) -> Outcome {
    let start = Instant::now();
    let mut overload = OverloadState::default();
    let mut limit = RequestLimit::default();
    // In seconds of processor time.
    let mut work = 0.0;
    let mut ends = vec![0_usize; (SECONDS * 100) as usize + REQUEST_STEPS + 1];
    let mut requests = 0_usize;
    let mut outcome = Outcome::default();
    for step in 0..SECONDS * 100 {
        let now = start + STEP * step;
        let lag = Duration::from_secs_f64(work / PROCESSOR_SHARE);
        if step.is_multiple_of(TASK_STEPS) {
            overload.record_lag(lag, false, now);
            limit.record_lag(lag, requests);
        }
        requests -= ends[step as usize];
        let connections = |step: u32| (per_second * STEP.as_secs_f64() * f64::from(step)) as u32;
        for _ in connections(step)..connections(step + 1) {
            work += CONNECTION_SECONDS;
            let is_allowed = !limits_requests || limit.allows(requests, false);
            if is_allowed && !overload.rejects_connections(now) {
                requests += 1;
                ends[step as usize + REQUEST_STEPS] += 1;
            }
        }
        work += requests as f64 * REQUEST_LOAD * STEP.as_secs_f64();
        work = f64::max(work - PROCESSOR_SHARE * STEP.as_secs_f64(), 0.0);
        if step >= ADAPTATION_SECONDS * 100 {
            outcome.max_lag = outcome.max_lag.max(lag);
            outcome.requests += requests as f64;
        }
    }
    outcome.requests /= f64::from((SECONDS - ADAPTATION_SECONDS) * 100);
    outcome
}

/// The requests in progress for which `per_second` connections leave time.
fn carried(per_second: f64) -> f64 {
    (PROCESSOR_SHARE - per_second * CONNECTION_SECONDS) / REQUEST_LOAD
}

#[test]
fn a_flood_of_requests_delays_a_router_by_less_than_half_a_second() {
    for per_second in [150.0, 300.0, 600.0, 900.0] {
        let outcome = play(per_second, true);
        assert!(
            outcome.max_lag < MAX_LAG,
            "{:?} at {per_second} a second",
            outcome.max_lag
        );
        let carried = carried(per_second).min(per_second * 1.5);
        assert!(
            outcome.requests >= carried / 2.0,
            "{:.0} in progress of {carried:.0} at {per_second} a second",
            outcome.requests
        );
    }
}

/// What two teams, one of which makes ten times the requests of the other, get at a
/// router where a request that is read before it is refused costs more than one that
/// is not.
#[derive(Default)]
struct Flood {
    /// The mean number of requests in progress, by team.
    requests: [f64; 2],
    min_limit: Option<usize>,
}

const TEAMS: [f64; 2] = [10.0 / 11.0, 1.0 / 11.0];

fn play_teams(per_second: f64) -> Flood {
    let start = Instant::now();
    let mut overload = OverloadState::default();
    let mut limit = RequestLimit::default();
    let mut work = 0.0;
    let mut ends = vec![[0_usize; 2]; (SECONDS * 100) as usize + REQUEST_STEPS + 1];
    let mut requests = [0_usize; 2];
    let mut flood = Flood::default();
    for step in 0..SECONDS * 100 {
        let now = start + STEP * step;
        let lag = Duration::from_secs_f64(work / PROCESSOR_SHARE);
        if step.is_multiple_of(TASK_STEPS) {
            overload.record_lag(lag, false, now);
            limit.record_lag(lag, requests.iter().sum());
        }
        for (team, part) in TEAMS.into_iter().enumerate() {
            requests[team] -= ends[step as usize][team];
            let per_step = per_second * part * STEP.as_secs_f64();
            let connections = |step: u32| (per_step * f64::from(step)) as u32;
            for _ in connections(step)..connections(step + 1) {
                work += CONNECTION_SECONDS;
                if overload.rejects_connections(now) {
                    continue;
                }
                match limit.allows(requests.iter().sum(), false) {
                    true => {
                        requests[team] += 1;
                        ends[step as usize + REQUEST_STEPS][team] += 1;
                    }
                    false => work += REFUSAL_SECONDS,
                }
            }
        }
        let in_progress: usize = requests.iter().sum();
        work += in_progress as f64 * REQUEST_LOAD * STEP.as_secs_f64();
        work = f64::max(work - PROCESSOR_SHARE * STEP.as_secs_f64(), 0.0);
        if step >= ADAPTATION_SECONDS * 100 {
            let steps = f64::from((SECONDS - ADAPTATION_SECONDS) * 100);
            for (sum, requests) in flood.requests.iter_mut().zip(requests) {
                *sum += requests as f64 / steps;
            }
            let allowed = (0..1_000).find(|&requests| !limit.allows(requests, false));
            flood.min_limit = flood.min_limit.min(allowed).or(allowed);
        }
    }
    flood
}

#[test]
fn refusals_leave_requests_in_progress_half_of_the_processor_time_that_they_need_not_take() {
    for per_second in [300.0, 600.0, 900.0] {
        let flood = play_teams(per_second);
        let requests: f64 = flood.requests.iter().sum();
        let carried = carried(per_second).min(per_second * 1.5);
        assert!(
            requests >= carried / 2.0,
            "{requests:.0} in progress of {carried:.0} at {per_second} a second, limit {:?}",
            flood.min_limit
        );
    }
}

#[test]
fn without_a_limit_on_requests_in_progress_a_flood_delays_them_by_more() {
    assert!(play(300.0, false).max_lag > MAX_LAG);
}

#[test]
fn teams_within_their_share_may_use_more_of_a_routers_limit() {
    let mut limit = RequestLimit::default();
    assert!(limit.allows(1_000, false));
    limit.record_lag(LIMIT_LAG + STEP, 100);
    assert!(!limit.allows(100, false));
    assert!(limit.allows(100, true));
    assert!(!limit.allows(200, true));
}

#[test]
fn accepting_pauses_only_while_a_router_lags_far_behind_and_for_longer_the_more_it_lags() {
    let now = Instant::now();
    let pause = |lag| {
        let mut overload = OverloadState::default();
        overload.record_lag(lag, false, now);
        overload.accept_pause(now)
    };
    assert_eq!(pause(SHED_LAG), None);
    let (short, long) = (pause(SHED_LAG * 2), pause(SHED_LAG * 8));
    assert!(short.is_some() && short < long);
    assert!(long < Some(MAX_LAG));
}
