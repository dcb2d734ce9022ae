//! Checks of a record against the guarantees (promises) of the system.
//!
//! Each finding names the request ids and times needed to locate it in the logs of
//! the processes.

use std::time::{Duration, Instant};

use derive_more::Display;
use rustc_hash::FxHashMap;

use crate::record::{Attempt, Outcome, Record, Request, Response, RouteKind};
use crate::schedule::FaultKind;

/// The number of events that the scripted targets send in a complete stream.
pub const STREAM_EVENTS: u64 = 10;

/// How far past the route's timeout a response may arrive.
const RESPONSE_TOLERANCE: Duration = Duration::from_millis(500);

/// How soon a target must observe that the caller cancelled its request.
const CANCELLATION_LIMIT: Duration = Duration::from_millis(500);

/// The fraction of recovery requests that must succeed.
const MIN_SUCCESS_RATIO: f64 = 0.9;

/// A guarantee that the system gives to callers, targets or operators.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
pub enum Promise {
    /// A successful response is complete and belongs to the caller's own request.
    #[display("own-answers")]
    OwnAnswers,
    /// The events of a stream arrive in order and exactly once, and the stream ends after the
    /// last one.
    #[display("order")]
    Order,
    /// Requests that must not be repeated run at most once.
    #[display("once")]
    Once,
    /// A request whose status says that it was not executed was not, and a refusal states when
    /// to retry.
    #[display("refusals")]
    Refusals,
    /// A revoked key stops working on every router within the bound.
    #[display("keys")]
    Keys,
    /// A drained target receives no further requests.
    #[display("drains")]
    Drains,
    /// A planned stop loses no request and ends within its limit.
    #[display("stops")]
    Stops,
    /// Callers get a response by the timeout of the route.
    #[display("limits")]
    Limits,
    /// Targets are notified when a caller cancels.
    #[display("cancels")]
    Cancels,
    /// Retries stay within the retry budget.
    #[display("budget")]
    Budget,
    /// A cold target receives no more requests than its cold-start rate allows.
    #[display("cold")]
    Cold,
    /// Targets receive the name of the team and the remaining time, and no API key.
    #[display("headers")]
    Headers,
    /// No process exits unless it is stopped.
    #[display("exits")]
    Exits,
    /// Requests succeed again once all faults are over.
    #[display("recovery")]
    Recovery,
}

/// A violation of a guarantee.
#[derive(Clone, PartialEq, Eq, Debug, Display)]
#[display("{promise}: {what}")]
pub struct Finding {
    /// The violated guarantee.
    pub promise: Promise,
    /// What was observed.
    pub what: String,
}

/// Checks a record and returns all violations.
pub fn check(record: &Record) -> Vec<Finding> {
    let mut findings = Findings::default();
    let attempts = record.attempts_by_id();
    for request in record.requests.iter().chain(&record.recovery_requests) {
        let attempts = attempts
            .get(request.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        check_response(request, &mut findings);
        check_at_most_once(request, attempts, &mut findings);
        check_revoked_key(record, request, attempts, &mut findings);
        check_headers(request, attempts, &mut findings);
        check_time_limit(record, request, &mut findings);
        check_planned_stop(record, request, attempts, &mut findings);
        check_cancellation(record, request, attempts, &mut findings);
    }
    check_drains(record, &mut findings);
    check_retry_budget(record, &attempts, &mut findings);
    check_cold_starts(record, &mut findings);
    for (router, took) in &record.stop_durations {
        if *took > record.bounds.stop_limit {
            findings.add(Promise::Stops, format!("router {router} took {took:?}"));
        }
    }
    for (router, _) in &record.unexpected_exits {
        findings.add(Promise::Exits, format!("router {router}"));
    }
    check_recovery(record, &mut findings);
    findings.0
}

#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, promise: Promise, what: String) {
        self.0.push(Finding { promise, what });
    }

    fn add_for_request(&mut self, promise: Promise, request: &Request, what: &str) {
        let Request {
            id, script, router, ..
        } = request;
        self.add(
            promise,
            format!("{what}: request {id} ({script}) at router {router}"),
        );
    }
}

fn response_of(request: &Request) -> Option<&Response> {
    match &request.outcome {
        Outcome::Response(response) => Some(response),
        _ => None,
    }
}

fn check_response(request: &Request, findings: &mut Findings) {
    let Some(response) = response_of(request) else {
        return;
    };
    if response.guarantees_not_executed() && !response.is_signed && !response.has_retry_after {
        findings.add_for_request(Promise::Refusals, request, "no time to come back");
    }
    if !(200..300).contains(&response.status) {
        return;
    }
    if !response.is_signed || response.id != request.id {
        findings.add_for_request(
            Promise::OwnAnswers,
            request,
            "another's answer, or unsigned",
        );
    }
    if request.route_kind.is_stream() {
        check_event_order(request, response, findings);
    } else if response.is_complete && response.body != format!("answer to {}", request.id) {
        findings.add_for_request(Promise::OwnAnswers, request, "another body");
    }
}

fn check_event_order(request: &Request, response: &Response, findings: &mut Findings) {
    let ids = response.body.split("\n\n").filter_map(|event| {
        let (id, data) = event.strip_prefix("id: ")?.split_once('\n')?;
        let id: u64 = id.parse().ok()?;
        (data == format!("data: token {id}")).then_some(id)
    });
    let ids: Vec<u64> = ids.collect();
    let is_consecutive = ids.iter().copied().eq(1..=ids.len() as u64);
    if !is_consecutive {
        findings.add_for_request(Promise::Order, request, &format!("events {ids:?}"));
    }
    if response.is_complete && ids.len() as u64 != STREAM_EVENTS {
        findings.add_for_request(
            Promise::Order,
            request,
            &format!("whole with {} events", ids.len()),
        );
    }
}

fn check_at_most_once(request: &Request, attempts: &[&Attempt], findings: &mut Findings) {
    let ran = attempts.iter().filter(|attempt| attempt.executed).count();
    if request.route_kind.is_at_most_once() && ran > 1 {
        findings.add_for_request(Promise::Once, request, &format!("ran {ran} times"));
    }
    let was_refused = response_of(request)
        .is_some_and(|response| response.guarantees_not_executed() && !response.is_signed);
    if was_refused && ran > 0 {
        findings.add_for_request(Promise::Refusals, request, "said not to have run, and ran");
    }
}

fn check_revoked_key(
    record: &Record,
    request: &Request,
    attempts: &[&Attempt],
    findings: &mut Findings,
) {
    if !request.uses_revocable_key {
        return;
    }
    let bound = record.bounds.revocation_limit;
    let is_withdrawn = record
        .faults_of_kind(FaultKind::WithdrawKey)
        .any(|fault| request.sent > fault.began + bound && request.ended < fault.ended);
    if is_withdrawn && attempts.iter().any(|attempt| attempt.executed) {
        findings.add_for_request(Promise::Keys, request, "ran with a withdrawn key");
    }
}

fn check_headers(request: &Request, attempts: &[&Attempt], findings: &mut Findings) {
    for attempt in attempts {
        let team = if request.uses_revocable_key {
            "loose"
        } else {
            "red"
        };
        let is_valid = attempt.header("x-knapweedgate-tenant") == Some(team)
            && attempt.header("authorization").is_none()
            && attempt.header("x-knapweedgate-hold").is_none();
        if !is_valid {
            findings.add_for_request(Promise::Headers, request, "team, key or hold");
        }
        let remaining = attempt.header("x-knapweedgate-deadline-ms");
        let remaining: Option<u64> = remaining.and_then(|remaining| remaining.parse().ok());
        if remaining
            .is_none_or(|remaining| remaining > crate::caller::REQUEST_DEADLINE.as_millis() as u64)
        {
            findings.add_for_request(Promise::Headers, request, "time that is left");
        }
    }
}

fn check_time_limit(record: &Record, request: &Request, findings: &mut Findings) {
    // The timeout does not apply to a stream after its response has begun.
    let has_begun = request.route_kind.is_stream() && response_of(request).is_some();
    let is_late = request.ended - request.sent > record.bounds.timeout + RESPONSE_TOLERANCE;
    let is_waited_for = !matches!(request.outcome, Outcome::Cancelled | Outcome::ConnectFailed);
    if is_late
        && is_waited_for
        && !has_begun
        && record.is_unaffected(request.router, request.sent, request.ended)
    {
        findings.add_for_request(
            Promise::Limits,
            request,
            &format!("{:?}", request.ended - request.sent),
        );
    }
}

/// Whether a target broke the stream when all others were drained, so that it could not be
/// resumed.
fn had_no_target_to_resume(record: &Record, request: &Request, attempts: &[&Attempt]) -> bool {
    let is_broken_by_script = matches!(request.script, "halt" | "torn");
    let has_run = |target| attempts.iter().any(|attempt| attempt.target == target);
    let is_out = |target| has_run(target) || record.is_drained(target, request.ended);
    is_broken_by_script && !attempts.is_empty() && (0..record.targets).all(is_out)
}

/// Reports a request that is cut off around a planned stop when no other fault or script could
/// have caused it.
fn check_planned_stop(
    record: &Record,
    request: &Request,
    attempts: &[&Attempt],
    findings: &mut Findings,
) {
    let is_cut_by_script = matches!(request.script, "reset" | "cut" | "mute")
        || had_no_target_to_resume(record, request, attempts);
    let is_cut = match &request.outcome {
        Outcome::ConnectionClosed => true,
        Outcome::Response(response) => !response.is_complete,
        Outcome::ConnectFailed | Outcome::TimedOut | Outcome::Cancelled => false,
    };
    if !is_cut || is_cut_by_script {
        return;
    }
    let stop = record.faults_of_kind(FaultKind::StopRouter).find(|fault| {
        fault.planned.subject == request.router
            && fault.began <= request.ended
            && request.sent <= fault.ended
    });
    if stop.is_some()
        && record.is_unaffected_with_targets(request.router, request.sent, request.ended)
    {
        findings.add_for_request(Promise::Stops, request, "lost in a planned stop");
    }
}

fn check_cancellation(
    record: &Record,
    request: &Request,
    attempts: &[&Attempt],
    findings: &mut Findings,
) {
    let Some(attempt) = attempts
        .iter()
        .filter(|attempt| attempt.executed)
        .max_by_key(|attempt| attempt.at)
    else {
        return;
    };
    let until = request.ended + CANCELLATION_LIMIT;
    let is_due = request.outcome == Outcome::Cancelled
        && record.is_unaffected_with_targets(request.router, attempt.at, until);
    let cancelled_at = record.cancellations.get(&request.id);
    if is_due && cancelled_at.is_none_or(|&at| at > until) {
        findings.add_for_request(Promise::Cancels, request, "the target was not told");
    }
}

fn check_drains(record: &Record, findings: &mut Findings) {
    let requests: FxHashMap<&str, &Request> = record
        .requests
        .iter()
        .map(|it| (it.id.as_str(), it))
        .collect();
    for fault in record.faults_of_kind(FaultKind::DrainTarget) {
        let from = fault.began + record.bounds.drain_limit;
        let late = record.attempts.iter().filter(|attempt| {
            attempt.target == fault.planned.subject && attempt.at > from && attempt.at < fault.ended
        });
        for attempt in late {
            let Some(request) = requests.get(attempt.id.as_str()) else {
                continue;
            };
            if record.is_unaffected(request.router, fault.began, attempt.at) {
                findings.add_for_request(Promise::Drains, request, "reached a target that left");
            }
        }
    }
}

fn check_retry_budget(
    record: &Record,
    attempts: &FxHashMap<&str, Vec<&Attempt>>,
    findings: &mut Findings,
) {
    let mut retries: Vec<Instant> = Vec::new();
    for attempts in attempts.values() {
        let mut times: Vec<Instant> = attempts.iter().map(|attempt| attempt.at).collect();
        times.sort_unstable();
        retries.extend(times.iter().skip(1));
    }
    retries.sort_unstable();
    let window = record.bounds.retry_window;
    for (index, &start) in retries.iter().enumerate() {
        let count = retries[index..]
            .iter()
            .take_while(|&&at| at < start + window)
            .count();
        let sent =
            |request: &&Request| request.sent + window >= start && request.sent < start + window;
        let requests = record.requests.iter().filter(sent).count();
        let max_retries = record.bounds.retry_ratio * requests as f64 + record.bounds.retry_slack;
        if count as f64 > max_retries {
            let what = format!("{count} repeats for {requests} requests");
            return findings.add(Promise::Budget, what);
        }
    }
}

fn check_cold_starts(record: &Record, findings: &mut Findings) {
    for fault in record.faults_of_kind(FaultKind::CrashTarget) {
        // Routers learn from the store that the target is cold, so the bound is checked only while
        // they can reach it.
        let (from, to) = (fault.ended, fault.ended + record.bounds.cold_duration);
        if !record.is_fleet_unaffected(from, to) {
            continue;
        }
        let attempts = record.attempts.iter();
        let attempts = attempts.filter(|attempt| attempt.target == fault.planned.subject);
        let mut times: Vec<Instant> = attempts
            .map(|attempt| attempt.at)
            .filter(|&at| at > from && at < to)
            .collect();
        times.sort_unstable();
        for (index, &start) in times.iter().enumerate() {
            let end = start + Duration::from_secs(1);
            let count = times[index..].iter().take_while(|&&at| at < end).count();
            if count as f64 > record.bounds.max_cold_arrivals {
                let what = format!("target {} got {count} in a second", fault.planned.subject);
                findings.add(Promise::Cold, what);
                break;
            }
        }
    }
}

fn check_recovery(record: &Record, findings: &mut Findings) {
    let is_served = |request: &&Request| {
        response_of(request).is_some_and(|it| it.status == 200 && it.is_complete)
    };
    let safe = record
        .recovery_requests
        .iter()
        .filter(|request| request.route_kind == RouteKind::Safe);
    let (all, served) = (safe.clone().count(), safe.filter(is_served).count());
    if (served as f64) < MIN_SUCCESS_RATIO * all as f64 || all == 0 {
        findings.add(Promise::Recovery, format!("{served} of {all} served"));
    }
}
