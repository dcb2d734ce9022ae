//! Each check reports a record that violates its guarantee and accepts a valid one.

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

/// A valid record with one request of each kind per second.
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
        targets: 3,
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
        Outcome::Response(response) => response,
        other => panic!("{other:?} is not a response"),
    }
}

/// The violated guarantees of a valid record after `violate` modified it.
fn violated_promises(violate: impl FnOnce(&mut Record, Instant)) -> Vec<Promise> {
    let start = Instant::now();
    let mut record = valid_record(start);
    violate(&mut record, start);
    let mut promises: Vec<Promise> = check(&record)
        .iter()
        .map(|finding| finding.promise)
        .collect();
    promises.sort_unstable();
    promises.dedup();
    promises
}

#[test]
fn valid_record_has_no_findings() {
    assert_eq!(violated_promises(|_, _| {}), []);
}

#[test]
fn mismatched_and_unsigned_responses_are_reported() {
    let expected = [Promise::OwnAnswers];
    assert_eq!(
        violated_promises(|record, _| response_mut(&mut record.requests[0]).id = "c1".to_owned()),
        expected
    );
    assert_eq!(
        violated_promises(
            |record, _| response_mut(&mut record.requests[0]).body = "answer to c1".to_owned()
        ),
        expected
    );
    assert_eq!(
        violated_promises(|record, _| response_mut(&mut record.requests[0]).is_signed = false),
        expected
    );
}

#[test]
fn missing_duplicate_and_truncated_events_are_reported() {
    let violate = |body: String| {
        violated_promises(|record, _| response_mut(&mut record.requests[2]).body = body)
    };
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
        "the stream ends before its last event"
    );
}

#[test]
fn second_execution_is_reported_for_at_most_once_routes() {
    let second_attempt = |index: usize| {
        violated_promises(|record, _| {
            let id = record.requests[index].id.clone();
            let at = record.requests[index].sent + MILLI * 5;
            record.attempts.push(attempt(&id, 1, at));
        })
    };
    assert_eq!(second_attempt(0), [], "safe");
    assert_eq!(second_attempt(1), [Promise::Once]);
    assert_eq!(second_attempt(2), [Promise::Once]);
    assert_eq!(second_attempt(3), [], "resumable");
}

#[test]
fn executed_refusal_and_refusal_without_retry_time_are_reported() {
    assert_eq!(
        violated_promises(|record, _| record.requests[1].outcome = router_response(503, true)),
        [Promise::Refusals]
    );
    let refused = |record: &mut Record, has_retry_after| {
        record.requests[1].outcome = router_response(503, has_retry_after);
        record.attempts.retain(|attempt| attempt.id != "c1");
    };
    assert_eq!(violated_promises(|record, _| refused(record, true)), []);
    assert_eq!(
        violated_promises(|record, _| refused(record, false)),
        [Promise::Refusals]
    );
}

#[test]
fn execution_with_a_revoked_key_is_reported() {
    let violate = |since: Duration| {
        violated_promises(|record, start| {
            record.requests[40].uses_revocable_key = true;
            record.attempts[40].headers[0].1 = "loose".to_owned();
            let began = start + SECOND * 10 - since;
            record
                .faults
                .push(fault(FaultKind::WithdrawKey, 0, began, SECOND * 9));
        })
    };
    assert_eq!(violate(SECOND * 6), [Promise::Keys]);
    assert_eq!(
        violate(SECOND * 4),
        [],
        "the revocation bound has not passed"
    );
}

#[test]
fn request_to_a_drained_target_is_reported() {
    let violate = |store_is_silent: bool| {
        violated_promises(|record, start| {
            record
                .faults
                .push(fault(FaultKind::DrainTarget, 0, start + SECOND, SECOND * 4));
            if store_is_silent {
                record
                    .faults
                    .push(fault(FaultKind::SilentStore, 0, start + SECOND, SECOND));
            }
        })
    };
    assert_eq!(violate(false), [Promise::Drains]);
    assert_eq!(
        violate(true),
        [],
        "routers cannot learn of the drain while the store is silent"
    );
}

#[test]
fn request_lost_in_a_planned_stop_is_reported() {
    let violate = |outcome: Outcome| {
        violated_promises(|record, start| {
            record
                .faults
                .push(fault(FaultKind::StopRouter, 0, start, SECOND * 2));
            record.requests[0].outcome = outcome;
        })
    };
    assert_eq!(violate(Outcome::ConnectionClosed), [Promise::Stops]);
    assert_eq!(violate(Outcome::ConnectFailed), []);
    assert_eq!(
        violated_promises(|record, _| record.stop_durations.push((0, SECOND * 9))),
        [Promise::Stops]
    );
}

#[test]
fn stream_lost_in_a_planned_stop_is_reported_unless_no_other_target_was_in_service() {
    let violate = |drained: &[usize], script| {
        violated_promises(|record, start| {
            let stop = fault(FaultKind::StopRouter, 0, start, SECOND * 2);
            let drains = drained
                .iter()
                .map(|&target| fault(FaultKind::DrainTarget, target, start, SECOND / 2));
            record.faults.extend(drains.chain([stop]));
            // The first resumable stream, which ran at target 0 only.
            record.requests[3].script = script;
            response_mut(&mut record.requests[3]).is_complete = false;
        })
    };
    assert_eq!(violate(&[1, 2], "halt"), []);
    assert_eq!(violate(&[1], "halt"), [Promise::Stops]);
    assert_eq!(violate(&[2], "halt"), [Promise::Stops]);
    assert_eq!(violate(&[1, 2], "slow"), [Promise::Stops]);
}

#[test]
fn response_after_the_route_timeout_is_reported() {
    let delay_response =
        |record: &mut Record| record.requests[0].ended = record.requests[0].sent + SECOND * 4;
    assert_eq!(
        violated_promises(|record, _| delay_response(record)),
        [Promise::Limits]
    );
    let paused = violated_promises(|record, start| {
        delay_response(record);
        record
            .faults
            .push(fault(FaultKind::PauseRouter, 0, start, SECOND * 2));
    });
    assert_eq!(paused, []);
}

#[test]
fn missing_or_late_cancellation_is_reported() {
    let violate = |cancellation_delay: Option<Duration>| {
        violated_promises(|record, _| {
            record.requests[0].outcome = Outcome::Cancelled;
            let ended = record.requests[0].ended;
            record
                .cancellations
                .extend(cancellation_delay.map(|after| ("c0".to_owned(), ended + after)));
        })
    };
    assert_eq!(violate(None), [Promise::Cancels]);
    assert_eq!(violate(Some(SECOND)), [Promise::Cancels]);
    assert_eq!(violate(Some(MILLI * 100)), []);
}

#[test]
fn retries_beyond_the_budget_are_reported() {
    let violate = |count: usize| {
        violated_promises(|record, start| {
            let retries = (0..count).map(|_| attempt("c0", 1, start + SECOND));
            record.attempts.extend(retries);
        })
    };
    // With 80 requests in 20 s, the budget is a fifth of the requests near the window, plus 20.
    assert_eq!(violate(25), []);
    assert_eq!(violate(40), [Promise::Budget]);
}

#[test]
fn excess_requests_to_a_cold_target_are_reported() {
    let violate = |count: usize| {
        violated_promises(|record, start| {
            record
                .faults
                .push(fault(FaultKind::CrashTarget, 1, start, SECOND));
            let ids = (0..count).map(|number| format!("x{number}"));
            record
                .attempts
                .extend(ids.map(|id| attempt(&id, 1, start + MILLI * 1_500)));
        })
    };
    assert_eq!(violate(26), []);
    assert_eq!(violate(27), [Promise::Cold]);
}

#[test]
fn invalid_system_headers_are_reported() {
    let expected = [Promise::Headers];
    assert_eq!(
        violated_promises(|record, _| record.attempts[0].headers[0].1 = "blue".to_owned()),
        expected
    );
    assert_eq!(
        violated_promises(|record, _| record.attempts[0].headers[1].1 = "9000".to_owned()),
        expected
    );
    let key = ("authorization".to_owned(), "Bearer x".to_owned());
    assert_eq!(
        violated_promises(|record, _| record.attempts[0].headers.push(key)),
        expected
    );
}

#[test]
fn unexpected_exit_and_missing_recovery_are_reported() {
    assert_eq!(
        violated_promises(|record, start| record.unexpected_exits.push((0, start))),
        [Promise::Exits]
    );
    let failed_recovery = violated_promises(|record, _| {
        for request in &mut record.recovery_requests[..2] {
            request.outcome = Outcome::ConnectFailed;
        }
    });
    assert_eq!(failed_recovery, [Promise::Recovery]);
}
