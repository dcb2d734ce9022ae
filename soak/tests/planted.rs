//! Every check notices a record in which its promise is broken, and is silent
//! about one in which it is kept.

use std::time::{Duration, Instant};

use knapweed_soak::check::{Promise, STREAM_EVENTS, check};
use knapweed_soak::record::{
    Attempt, Bounds, InjectedFault, Outcome, Record, Request, Response, RouteKind,
};
use knapweed_soak::schedule::{FaultKind, PlannedFault};
use rustc_hash::FxHashMap;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

fn bounds() -> Bounds {
    Bounds {
        timeout: SECOND * 3,
        revocation_limit: SECOND * 5,
        drain_limit: SECOND * 2,
        stop_limit: SECOND * 8,
        settle_time: SECOND * 4,
        retry_ratio: 0.2,
        retry_slack: 20.0,
        retry_window: SECOND * 10,
        max_cold_arrivals: 26.0,
        cold_duration: SECOND * 3,
    }
}

fn attempt(id: &str, target: usize, at: Instant) -> Attempt {
    let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    Attempt {
        id: id.to_owned(),
        target,
        at,
        executed: true,
        headers: vec![
            header("x-knapweedgate-tenant", "red"),
            header("x-knapweedgate-deadline-ms", "2900"),
        ],
    }
}

fn events(ids: impl Iterator<Item = u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: token {id}\n\n"))
        .collect()
}

fn request(id: &str, route_kind: RouteKind, sent: Instant) -> Request {
    let body = match route_kind.is_stream() {
        true => events(1..=STREAM_EVENTS),
        false => format!("answer to {id}"),
    };
    Request {
        id: id.to_owned(),
        route_kind,
        script: "ok",
        uses_revocable_key: false,
        router: 0,
        sent,
        ended: sent + MILLI * 20,
        outcome: Outcome::Response(Response {
            status: 200,
            id: id.to_owned(),
            is_signed: true,
            has_retry_after: false,
            body,
            is_complete: true,
        }),
    }
}

/// One request of each kind a second, all well.
fn valid_record(start: Instant) -> Record {
    let kinds = [
        RouteKind::Safe,
        RouteKind::AtMostOnce,
        RouteKind::Stream,
        RouteKind::Resumable,
    ];
    let requests: Vec<Request> = (0..80)
        .map(|number| {
            let sent = start + MILLI * 250 * number;
            request(&format!("c{number}"), kinds[number as usize % 4], sent)
        })
        .collect();
    let recovery_requests: Vec<Request> = (0..10)
        .map(|number| request(&format!("l{number}"), RouteKind::Safe, start + SECOND * 40))
        .collect();
    let all = requests.iter().chain(&recovery_requests);
    let attempts = all.map(|request| attempt(&request.id, 0, request.sent + MILLI));
    Record {
        bounds: bounds(),
        attempts: attempts.collect(),
        requests,
        recovery_requests,
        cancellations: FxHashMap::default(),
        faults: Vec::new(),
        unexpected_exits: Vec::new(),
        stop_durations: Vec::new(),
    }
}

fn fault(kind: FaultKind, subject: usize, began: Instant, span: Duration) -> InjectedFault {
    InjectedFault {
        planned: PlannedFault {
            at: Duration::ZERO,
            span,
            kind,
            subject,
        },
        began,
        ended: began + span,
    }
}

fn router_response(status: u16, has_retry_after: bool) -> Outcome {
    Outcome::Response(Response {
        status,
        has_retry_after,
        is_complete: true,
        ..Response::default()
    })
}

fn response_mut(request: &mut Request) -> &mut Response {
    match &mut request.outcome {
        Outcome::Response(response_mut) => response_mut,
        other => panic!("{other:?} is no answer"),
    }
}

/// What the checks find in a sound record after a change.
fn violated_promises(violate: impl FnOnce(&mut Record, Instant)) -> Vec<Promise> {
    let start = Instant::now();
    let mut record = valid_record(start);
    violate(&mut record, start);
    let mut promises: Vec<Promise> = check(&record).iter().map(|it| it.promise).collect();
    promises.sort_unstable();
    promises.dedup();
    promises
}

#[test]
fn a_sound_record_breaks_nothing() {
    assert_eq!(violated_promises(|_, _| {}), []);
}

#[test]
fn answers_of_others_and_bodies_of_others_are_found() {
    let expected = [Promise::OwnAnswers];
    assert_eq!(
        violated_promises(|it, _| response_mut(&mut it.requests[0]).id = "c1".to_owned()),
        expected
    );
    assert_eq!(
        violated_promises(
            |it, _| response_mut(&mut it.requests[0]).body = "answer to c1".to_owned()
        ),
        expected
    );
    assert_eq!(
        violated_promises(|it, _| response_mut(&mut it.requests[0]).is_signed = false),
        expected
    );
}

#[test]
fn events_that_are_missing_double_or_cut_are_found() {
    let violate =
        |body: String| violated_promises(|it, _| response_mut(&mut it.requests[2]).body = body);
    assert_eq!(
        violate(events((1..=STREAM_EVENTS).filter(|id| *id != 4))),
        [Promise::Order]
    );
    assert_eq!(
        violate(events((1..=4).chain(4..=STREAM_EVENTS))),
        [Promise::Order]
    );
    assert_eq!(
        violate(events(1..=4)),
        [Promise::Order],
        "its end is not the last event's"
    );
}

#[test]
fn a_second_run_is_found_where_one_is_allowed() {
    let second_attempt = |index: usize| {
        violated_promises(|it, _| {
            let id = it.requests[index].id.clone();
            let at = it.requests[index].sent + MILLI * 5;
            it.attempts.push(attempt(&id, 1, at));
        })
    };
    assert_eq!(second_attempt(0), [], "safe");
    assert_eq!(second_attempt(1), [Promise::Once]);
    assert_eq!(second_attempt(2), [Promise::Once]);
    assert_eq!(second_attempt(3), [], "resumable");
}

#[test]
fn a_refusal_that_ran_or_names_no_time_is_found() {
    assert_eq!(
        violated_promises(|it, _| it.requests[1].outcome = router_response(503, true)),
        [Promise::Refusals]
    );
    let refused = |it: &mut Record, has_retry_after| {
        it.requests[1].outcome = router_response(503, has_retry_after);
        it.attempts.retain(|attempt| attempt.id != "c1");
    };
    assert_eq!(violated_promises(|it, _| refused(it, true)), []);
    assert_eq!(
        violated_promises(|it, _| refused(it, false)),
        [Promise::Refusals]
    );
}

#[test]
fn a_run_with_a_withdrawn_key_is_found() {
    let violate = |since: Duration| {
        violated_promises(|it, start| {
            it.requests[40].uses_revocable_key = true;
            it.attempts[40].headers[0].1 = "loose".to_owned();
            let began = start + SECOND * 10 - since;
            it.faults
                .push(fault(FaultKind::WithdrawKey, 0, began, SECOND * 9));
        })
    };
    assert_eq!(violate(SECOND * 6), [Promise::Keys]);
    assert_eq!(violate(SECOND * 4), [], "the bound has not passed");
}

#[test]
fn a_request_at_a_target_that_left_is_found() {
    let violate = |store_is_silent: bool| {
        violated_promises(|it, start| {
            it.faults
                .push(fault(FaultKind::DrainTarget, 0, start + SECOND, SECOND * 4));
            if store_is_silent {
                it.faults
                    .push(fault(FaultKind::SilentStore, 0, start + SECOND, SECOND));
            }
        })
    };
    assert_eq!(violate(false), [Promise::Drains]);
    assert_eq!(violate(true), [], "routers could not know");
}

#[test]
fn a_request_lost_in_a_planned_stop_is_found() {
    let violate = |outcome: Outcome| {
        violated_promises(|it, start| {
            it.faults
                .push(fault(FaultKind::StopRouter, 0, start, SECOND * 2));
            it.requests[0].outcome = outcome;
        })
    };
    assert_eq!(violate(Outcome::ConnectionClosed), [Promise::Stops]);
    assert_eq!(violate(Outcome::ConnectFailed), []);
    assert_eq!(
        violated_promises(|it, _| it.stop_durations.push((0, SECOND * 9))),
        [Promise::Stops]
    );
}

#[test]
fn an_answer_after_its_limit_is_found() {
    let delay_response = |it: &mut Record| it.requests[0].ended = it.requests[0].sent + SECOND * 4;
    assert_eq!(
        violated_promises(|it, _| delay_response(it)),
        [Promise::Limits]
    );
    let paused = violated_promises(|it, start| {
        delay_response(it);
        it.faults
            .push(fault(FaultKind::PauseRouter, 0, start, SECOND * 2));
    });
    assert_eq!(paused, []);
}

#[test]
fn a_target_that_is_not_told_of_a_caller_that_left_is_found() {
    let violate = |cancellation_delay: Option<Duration>| {
        violated_promises(|it, _| {
            it.requests[0].outcome = Outcome::Cancelled;
            let ended = it.requests[0].ended;
            it.cancellations
                .extend(cancellation_delay.map(|after| ("c0".to_owned(), ended + after)));
        })
    };
    assert_eq!(violate(None), [Promise::Cancels]);
    assert_eq!(violate(Some(SECOND)), [Promise::Cancels]);
    assert_eq!(violate(Some(MILLI * 100)), []);
}

#[test]
fn repeats_beyond_the_budget_are_found() {
    let violate = |count: usize| {
        violated_promises(|it, start| {
            let repeats = (0..count).map(|_| attempt("c0", 1, start + SECOND));
            it.attempts.extend(repeats);
        })
    };
    // 80 requests in 20 s: a fifth of those around, and 20.
    assert_eq!(violate(25), []);
    assert_eq!(violate(40), [Promise::Budget]);
}

#[test]
fn too_many_arrivals_at_a_cold_target_are_found() {
    let violate = |count: usize| {
        violated_promises(|it, start| {
            it.faults
                .push(fault(FaultKind::CrashTarget, 1, start, SECOND));
            let ids = (0..count).map(|number| format!("x{number}"));
            it.attempts
                .extend(ids.map(|id| attempt(&id, 1, start + MILLI * 1_500)));
        })
    };
    assert_eq!(violate(26), []);
    assert_eq!(violate(27), [Promise::Cold]);
}

#[test]
fn headers_that_are_the_systems_to_set_are_looked_at() {
    let expected = [Promise::Headers];
    assert_eq!(
        violated_promises(|it, _| it.attempts[0].headers[0].1 = "blue".to_owned()),
        expected
    );
    assert_eq!(
        violated_promises(|it, _| it.attempts[0].headers[1].1 = "9000".to_owned()),
        expected
    );
    let key = ("authorization".to_owned(), "Bearer x".to_owned());
    assert_eq!(
        violated_promises(|it, _| it.attempts[0].headers.push(key)),
        expected
    );
}

#[test]
fn a_process_that_ends_and_a_fleet_that_does_not_recover_are_found() {
    assert_eq!(
        violated_promises(|it, start| it.unexpected_exits.push((0, start))),
        [Promise::Exits]
    );
    let unserved = violated_promises(|it, _| {
        for request in &mut it.recovery_requests[..2] {
            request.outcome = Outcome::ConnectFailed;
        }
    });
    assert_eq!(unserved, [Promise::Recovery]);
}
