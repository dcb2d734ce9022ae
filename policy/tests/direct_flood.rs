//! Tests of a router of little capacity whose callers request more than it can
//! carry.
//!
//! The model counts processor time: for each connection, for each request in
//! progress while it lasts, and nothing else. The lag is the time that the work
//! already taken on needs.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use knapweed_policy::direct::admission::{ArrivalRate, LIMIT_LAG, MIN_ARRIVAL_RATE, RequestLimit};
use knapweed_policy::direct::overload::{OverloadState, SHED_LAG};
use knapweed_policy::direct::team_places::{DEMAND_TIME, TeamPlaces};

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

/// The connections that wait to be accepted; further ones fail.
const BACKLOG: usize = 128;

/// The processor time of the connections accepted in one turn of the event loop, in
/// seconds: further ones are accepted when these were handled.
const TURN_SECONDS: f64 = 128.0 * (CONNECTION_SECONDS + REFUSAL_SECONDS);

/// How long callers wait for a connection to be accepted.
const PATIENCE: Duration = Duration::from_secs(1);

/// The connections that the first team makes for each of the second.
const TEAM_RATIO: u32 = 10;

#[derive(Default)]
struct Outcome {
    max_lag: Duration,
    /// The mean number of requests in progress.
    requests: f64,
    /// The same by team.
    by_team: [f64; 2],
    /// The part of the accepted connections whose callers had left.
    left: f64,
    min_limit: Option<usize>,
}

/// Plays `per_second` new connections a second, each with a request; refusing it takes
/// `refusal` seconds besides the connection.
fn play(per_second: f64, refusal: f64, is_limited: bool) -> Outcome {
    play_within_share(per_second, refusal, is_limited, false)
}

/// The same, where both teams are within their share of the fleet or beyond it.
fn play_within_share(
    per_second: f64,
    refusal: f64,
    is_limited: bool,
    is_within_share: bool,
) -> Outcome {
    let start = Instant::now();
    let mut overload = OverloadState::default();
    let mut rate = ArrivalRate::new(start);
    let mut limit = RequestLimit::default();
    let mut places = TeamPlaces::default();
    let mut backlog = VecDeque::new();
    // In seconds of processor time.
    let mut work = 0.0;
    let mut ends = vec![[0_usize; 2]; (SECONDS * 100) as usize + REQUEST_STEPS + 1];
    let mut requests = [0_usize; 2];
    let mut outcome = Outcome::default();
    let (mut accepted, mut left) = (0_u32, 0_u32);
    for step in 0..SECONDS * 100 {
        let now = start + STEP * step;
        let lag = Duration::from_secs_f64(work / PROCESSOR_SHARE);
        if step.is_multiple_of(TASK_STEPS) {
            overload.record_lag(lag, false, now);
            rate.record_lag(lag, now);
            limit.record_lag(lag, requests.iter().sum(), rate.is_at_minimum());
            places.divide(limit.max_places(), now);
        }
        for (team, ended) in ends[step as usize].into_iter().enumerate() {
            requests[team] -= ended;
            (0..ended).for_each(|_| places.end(team as u64));
        }
        let connections = |step: u32| (per_second * STEP.as_secs_f64() * f64::from(step)) as u32;
        for number in connections(step)..connections(step + 1) {
            if backlog.len() < BACKLOG {
                let team = usize::from(number.is_multiple_of(TEAM_RATIO + 1));
                backlog.push_back((team, now));
            }
        }
        while work < TURN_SECONDS && (!is_limited || rate.pause(now).is_none()) {
            let Some((team, connected_at)) = backlog.pop_front() else {
                break;
            };
            rate.record_arrival(now);
            work += CONNECTION_SECONDS;
            accepted += 1;
            if now - connected_at > PATIENCE {
                left += 1;
                continue;
            }
            let in_progress: usize = requests.iter().sum();
            let is_allowed =
                limit.allows(in_progress, is_within_share) && places.allows(team as u64);
            match !is_limited || is_allowed {
                _ if overload.rejects_connections(now) => {}
                true => {
                    requests[team] += 1;
                    places.begin(team as u64);
                    ends[step as usize + REQUEST_STEPS][team] += 1;
                }
                false => {
                    places.record_refused(team as u64);
                    work += refusal;
                }
            }
        }
        let in_progress: usize = requests.iter().sum();
        work += in_progress as f64 * REQUEST_LOAD * STEP.as_secs_f64();
        work = f64::max(work - PROCESSOR_SHARE * STEP.as_secs_f64(), 0.0);
        if step >= ADAPTATION_SECONDS * 100 {
            outcome.max_lag = outcome.max_lag.max(lag);
            outcome.requests += in_progress as f64;
            for (sum, requests) in outcome.by_team.iter_mut().zip(requests) {
                *sum += requests as f64;
            }
            let allowed = (0..1_000).find(|&requests| !limit.allows(requests, false));
            outcome.min_limit = outcome.min_limit.min(allowed).or(allowed);
        }
    }
    let steps = f64::from((SECONDS - ADAPTATION_SECONDS) * 100);
    outcome.requests /= steps;
    outcome.by_team.iter_mut().for_each(|sum| *sum /= steps);
    outcome.left = f64::from(left) / f64::from(accepted);
    outcome
}

/// The requests in progress for which `per_second` connections leave time.
fn carried(per_second: f64) -> f64 {
    (PROCESSOR_SHARE - per_second * CONNECTION_SECONDS) / REQUEST_LOAD
}

#[test]
fn a_flood_of_requests_delays_a_router_by_less_than_half_a_second() {
    for per_second in [150.0, 300.0, 600.0, 900.0] {
        let outcome = play(per_second, 0.0, true);
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

#[test]
fn refusals_leave_requests_in_progress_half_of_the_processor_time_that_they_need_not_take() {
    for per_second in [300.0, 600.0, 900.0] {
        let outcome = play(per_second, REFUSAL_SECONDS, true);
        let requests = outcome.requests;
        let carried = carried(per_second).min(per_second * 1.5);
        assert!(
            requests >= carried / 2.0,
            "{requests:.0} in progress of {carried:.0} at {per_second} a second, limit {:?}",
            outcome.min_limit
        );
    }
}

#[test]
fn without_a_limit_on_requests_in_progress_a_flood_delays_them_by_more() {
    assert!(play(300.0, 0.0, false).max_lag > MAX_LAG);
}

#[test]
fn teams_within_their_share_may_use_more_of_a_routers_limit() {
    let mut limit = RequestLimit::default();
    assert!(limit.allows(1_000, false));
    limit.record_lag(LIMIT_LAG + STEP, 100, true);
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

#[test]
fn a_flood_that_would_take_the_whole_processor_leaves_half_of_what_the_lowest_rate_leaves() {
    for per_second in [1_500.0, 5_000.0] {
        let outcome = play(per_second, REFUSAL_SECONDS, true);
        let arrivals = MIN_ARRIVAL_RATE * (CONNECTION_SECONDS + REFUSAL_SECONDS);
        let carried = (PROCESSOR_SHARE - arrivals) / REQUEST_LOAD;
        assert!(
            outcome.requests >= carried / 2.0,
            "{:.0} in progress of {carried:.0} at {per_second} a second",
            outcome.requests
        );
        assert!(outcome.max_lag < MAX_LAG, "{:?}", outcome.max_lag);
        assert!(outcome.left < 0.1, "{:.2} had left", outcome.left);
    }
}

#[test]
fn lag_lowers_the_rate_of_arrivals_before_the_limit_on_requests() {
    let start = Instant::now();
    let mut rate = ArrivalRate::new(start);
    let mut limit = RequestLimit::default();
    limit.record_lag(LIMIT_LAG + STEP, 100, false);
    let allowed = |limit: &RequestLimit| (0..).find(|&requests| !limit.allows(requests, false));
    let before = allowed(&limit);
    let mut now = start;
    let mut late_tasks = 0;
    while !rate.is_at_minimum() {
        let arrivals = match rate.pause(now) {
            None => 500,
            Some(_) => 0,
        };
        (0..arrivals).for_each(|_| rate.record_arrival(now));
        now += STEP * TASK_STEPS;
        rate.record_lag(LIMIT_LAG + STEP, now);
        limit.record_lag(LIMIT_LAG + STEP, 100, rate.is_at_minimum());
        late_tasks += 1;
        if !rate.is_at_minimum() {
            assert_eq!(allowed(&limit), before);
        }
    }
    assert!(late_tasks > 1);
    assert!(allowed(&limit) < before);
}

#[test]
fn a_limit_that_is_used_on_time_doubles_twice_in_two_seconds() {
    let mut limit = RequestLimit::default();
    limit.record_lag(LIMIT_LAG + STEP, 0, true);
    let allowed = |limit: &RequestLimit| (0..).find(|&requests| !limit.allows(requests, false));
    let lowest = allowed(&limit).expect("a limit");
    for _ in 0..20 {
        let requests = allowed(&limit).expect("a limit");
        limit.record_lag(Duration::ZERO, requests, false);
    }
    assert!(allowed(&limit) >= Some(lowest * 4), "{:?}", allowed(&limit));
}

#[test]
fn a_limit_rises_more_slowly_while_its_requests_wait() {
    let risen = |lag| {
        let mut limit = RequestLimit::default();
        limit.record_lag(LIMIT_LAG + STEP, 1_000, true);
        let allowed = |limit: &RequestLimit| (0..).find(|&requests| !limit.allows(requests, false));
        let before = allowed(&limit).expect("a limit");
        limit.record_lag(lag, before, false);
        allowed(&limit).expect("a limit") - before
    };
    let (without, with) = (risen(Duration::ZERO), risen(STEP));
    assert!(0 < with && with < without, "{with}, {without} without lag");
}

#[test]
fn a_late_task_does_not_lower_the_limit_far_below_what_was_carried_on_time() {
    let mut limit = RequestLimit::default();
    (0..20).for_each(|_| limit.record_lag(Duration::ZERO, 200, false));
    (0..3).for_each(|_| limit.record_lag(LIMIT_LAG + STEP, 10, true));
    assert!(limit.allows(100, false));
    // Nothing is carried on time any more.
    (0..30).for_each(|_| limit.record_lag(LIMIT_LAG + STEP, 10, true));
    assert!(!limit.allows(50, false));
}

#[test]
fn connections_are_accepted_at_the_lowest_rate_whatever_the_lag() {
    let start = Instant::now();
    let mut rate = ArrivalRate::new(start);
    let mut now = start;
    let mut accepted = 0_u32;
    for step in 1..=SECONDS * 100 {
        while rate.pause(now).is_none() && accepted < step * 100 {
            rate.record_arrival(now);
            accepted += 1;
        }
        now += STEP;
        if step.is_multiple_of(TASK_STEPS) {
            rate.record_lag(LIMIT_LAG * 4, now);
        }
    }
    assert!(f64::from(accepted) >= MIN_ARRIVAL_RATE * f64::from(SECONDS) * 0.9);
}

/// The time after which a caller of a refused request sends the next one.
const RETURN_STEPS: usize = 30;

/// Plays callers of which each sends its next request soon after the last one ended, on
/// the same connection unless a refusal closed it; returns the mean number of requests in
/// progress.
fn play_returning(callers: usize, closes_refused: impl Fn(&ArrivalRate) -> bool) -> f64 {
    let start = Instant::now();
    let mut overload = OverloadState::default();
    let mut rate = ArrivalRate::new(start);
    let mut limit = RequestLimit::default();
    let mut backlog = 0_usize;
    let mut work = 0.0;
    let steps = (SECONDS * 100) as usize;
    let mut ends = vec![0_usize; steps + REQUEST_STEPS + RETURN_STEPS];
    // The requests sent on open connections, and the connections opened, in each step.
    let mut kept = ends.clone();
    let mut new = ends.clone();
    for caller in 0..callers {
        new[caller % RETURN_STEPS] += 1;
    }
    let (mut requests, mut sum) = (0_usize, 0.0);
    for step in 0..steps {
        let now = start + STEP * step as u32;
        let lag = Duration::from_secs_f64(work / PROCESSOR_SHARE);
        if (step as u32).is_multiple_of(TASK_STEPS) {
            overload.record_lag(lag, false, now);
            rate.record_lag(lag, now);
            limit.record_lag(lag, requests, rate.is_at_minimum());
        }
        requests -= ends[step];
        let waiting = new[step].min(BACKLOG - backlog);
        new[step + RETURN_STEPS] += new[step] - waiting;
        backlog += waiting;
        let mut received = kept[step];
        while work < TURN_SECONDS && backlog > 0 && rate.pause(now).is_none() {
            rate.record_arrival(now);
            work += CONNECTION_SECONDS;
            backlog -= 1;
            match overload.rejects_connections(now) {
                true => new[step + RETURN_STEPS] += 1,
                false => received += 1,
            }
        }
        for _ in 0..received {
            if !overload.rejects_connections(now) && limit.allows(requests, false) {
                requests += 1;
                ends[step + REQUEST_STEPS] += 1;
                kept[step + REQUEST_STEPS + 1] += 1;
                continue;
            }
            work += REFUSAL_SECONDS;
            match closes_refused(&rate) {
                true => new[step + RETURN_STEPS] += 1,
                false => kept[step + RETURN_STEPS] += 1,
            }
        }
        work += requests as f64 * REQUEST_LOAD * STEP.as_secs_f64();
        work = f64::max(work - PROCESSOR_SHARE * STEP.as_secs_f64(), 0.0);
        if step >= (ADAPTATION_SECONDS * 100) as usize {
            sum += requests as f64;
        }
    }
    sum / f64::from((SECONDS - ADAPTATION_SECONDS) * 100)
}

#[test]
fn refused_callers_do_not_come_back_on_connections_that_no_rate_bounds() {
    for callers in [500, 1_000, 2_000] {
        let requests = play_returning(callers, ArrivalRate::closes_refused);
        let arrivals = MIN_ARRIVAL_RATE * (CONNECTION_SECONDS + REFUSAL_SECONDS);
        let carried = (PROCESSOR_SHARE - arrivals) / REQUEST_LOAD;
        assert!(
            requests >= carried / 2.0,
            "{requests:.0} in progress of {carried:.0} with {callers} callers"
        );
    }
    assert!(play_returning(1_000, |_| false) < play_returning(1_000, ArrivalRate::closes_refused));
}

#[test]
fn a_team_gets_half_of_the_places_of_one_that_asks_for_ten_times_as_much() {
    for per_second in [300.0, 600.0] {
        let outcome = play_within_share(per_second, REFUSAL_SECONDS, true, true);
        let [large, small] = outcome.by_team;
        let per_second_small = per_second / f64::from(TEAM_RATIO + 1);
        let asked = per_second_small * (STEP * REQUEST_STEPS as u32).as_secs_f64();
        assert!(
            small >= asked.min(large) / 2.0,
            "{small:.0} of {asked:.0} at {per_second} a second, the other {large:.0}"
        );
    }
}

#[test]
fn places_are_divided_evenly_only_while_teams_ask_for_more_than_there_are() {
    let mut places = TeamPlaces::default();
    let now = Instant::now();
    let fill = |places: &mut TeamPlaces, team| {
        let mut count = 0;
        while places.allows(team) && count < 100 {
            places.begin(team);
            count += 1;
        }
        count
    };
    (0..90).for_each(|_| places.begin(0));
    places.divide(Some(100.0), now);
    assert!(places.allows(0));
    (0..40).for_each(|_| places.record_refused(1));
    places.divide(Some(100.0), now);
    assert!(!places.allows(0));
    assert_eq!(fill(&mut places, 1), 60);
    // A team that asks for little leaves its part to the others.
    let mut places = TeamPlaces::default();
    (0..10).for_each(|_| places.begin(2));
    (0..500).for_each(|_| places.record_refused(0));
    (0..500).for_each(|_| places.record_refused(1));
    places.divide(Some(100.0), now);
    assert_eq!([fill(&mut places, 0), fill(&mut places, 1)], [45, 45]);
    assert!(places.allows(2));
    // Demand is forgotten, and without a limit nothing is divided.
    places.divide(None, now);
    assert!(places.allows(0));
    for seconds in 1..=3 {
        places.divide(Some(100.0), now + DEMAND_TIME * seconds);
    }
    assert!(places.allows(0));
}
