//! Attempts, retries, the retry budget, and the mapping of outcomes to HTTP responses.

use std::time::{Duration, Instant, UNIX_EPOCH};

use cranelift_entity::EntityRef;
use entity::{
    AttemptId, Cost, Now, Outcome, Reason, Refusal, RequestId, RetryAdvice, SendPermit, TargetId,
    TeamId,
};
use knapweed_policy::AttemptResult;
use knapweed_policy::attempt::{Attempts, Delivery, NextStep, RequestSpec};
use knapweed_policy::retry::RetrySettings;
use knapweed_policy::status::Ending;

fn start() -> Now {
    Now {
        mono: Instant::now(),
        wall: UNIX_EPOCH,
    }
}

fn spec(now: Now, request: u128, delivery: Delivery) -> RequestSpec {
    RequestSpec {
        request: RequestId(request),
        team: TeamId::new(request as usize % 3),
        delivery,
        deadline: now.mono + Duration::from_secs(10),
    }
}

/// The attempts of a router whose retry budgets are full.
fn attempts(now: Now) -> Attempts {
    let mut attempts = Attempts::new(RetrySettings::default(), 1);
    for request in 1000..1300 {
        attempts.admit(spec(now, request, Delivery::Repeatable));
        attempts.drop_request(RequestId(request));
    }
    attempts
}

fn describe(next: &NextStep) -> String {
    match next {
        NextStep::Ignore => "ignore".to_owned(),
        NextStep::Requeue => "requeue".to_owned(),
        NextStep::Retry { avoid, .. } => format!("retry, avoid {avoid:?}"),
        NextStep::Finish(outcome) => describe_outcome(outcome),
    }
}

fn describe_outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered { .. } => "answered".to_owned(),
        Outcome::NotRun { refusal, .. } => format!("not run, {}", refusal.reason),
        Outcome::Unknown { refusal } => format!("unknown, {}", refusal.reason),
    }
}

fn results() -> Vec<AttemptResult> {
    let refusal = |reason| Refusal::new(reason, RetryAdvice::VerifyFirst);
    vec![
        AttemptResult::Answered { cost: Cost(1) },
        AttemptResult::NotRun(refusal(Reason::NoSlot)),
        AttemptResult::NotRun(refusal(Reason::Draining)),
        AttemptResult::NotRun(refusal(Reason::NoTarget)),
        AttemptResult::NotRun(refusal(Reason::KeyReused)),
        AttemptResult::Unknown(refusal(Reason::KeyNotCovered)),
        AttemptResult::Unknown(refusal(Reason::TargetDied)),
        AttemptResult::Unsent,
        AttemptResult::Broken { delivered: false },
        AttemptResult::Broken { delivered: true },
    ]
}

#[test]
fn what_follows_each_end_of_an_attempt() {
    let now = start();
    let mut lines = Vec::new();
    for delivery in [
        Delivery::Repeatable,
        Delivery::OnceIssued,
        Delivery::OnceSupplied,
    ] {
        for result in results() {
            let mut attempts = attempts(now);
            attempts.admit(spec(now, 1, delivery));
            let attempt = attempts
                .start(now, RequestId(1), TargetId::new(4))
                .expect("starts");
            let next = attempts.record_end(now, attempt, result.clone());
            let refusal = Refusal::new(Reason::QueueFull, RetryAdvice::Never);
            let refused = attempts.refuse(RequestId(1), refusal);
            let refused = refused.map_or("ended".to_owned(), |outcome| describe_outcome(&outcome));
            lines.push(format!(
                "{delivery:?}, {result:?}: {}; then {refused}",
                describe(&next)
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn late_and_mismatched_replies_are_dropped() {
    let now = start();
    let mut attempts = attempts(now);
    attempts.admit(spec(now, 1, Delivery::Repeatable));
    let first = attempts
        .start(now, RequestId(1), TargetId::new(0))
        .expect("starts");
    let twice = attempts.start(now, RequestId(1), TargetId::new(1));
    let broken = attempts.record_end(now, first, AttemptResult::Broken { delivered: false });
    let second = attempts
        .start(now, RequestId(1), TargetId::new(1))
        .expect("starts");
    let mismatched = AttemptId {
        request: RequestId(2),
        number: 0,
    };
    let accepted = [first, second, mismatched].map(|attempt| attempts.accepts(attempt));
    let answered = AttemptResult::Answered { cost: Cost(1) };
    let late = attempts.record_end(now, first, answered.clone());
    let own = attempts.record_end(now, second, answered);
    let nexts = [broken, late, own].map(|next| describe(&next));
    insta::assert_debug_snapshot!((twice, accepted, nexts, attempts.counts()));
}

#[test]
fn retries_stay_within_the_budget_under_total_failure() {
    let now = start();
    let settings = RetrySettings::default();
    let mut attempts = Attempts::new(settings, 1);
    let arrivals = 10_000;
    for request in 0..arrivals {
        attempts.admit(spec(now, request, Delivery::Repeatable));
        while let Some(attempt) = attempts.start(now, RequestId(request), TargetId::new(0)) {
            attempts.record_end(now, attempt, AttemptResult::Unsent);
        }
    }
    let counts = attempts.counts();
    let share = arrivals as u64 * u64::from(settings.total_share) / 1000;
    assert!(counts.retried <= share + u64::from(settings.burst));
    insta::assert_debug_snapshot!(counts);
}

/// Sends a request until it ends; returns the number of attempts.
fn run_to_end(attempts: &mut Attempts, now: Now, spec: RequestSpec) -> (u16, String) {
    attempts.admit(spec);
    let mut number = 0;
    loop {
        let attempt = attempts
            .start(now, spec.request, TargetId::new(0))
            .expect("starts");
        number += 1;
        match attempts.record_end(now, attempt, AttemptResult::Unsent) {
            NextStep::Finish(outcome) => return (number, describe_outcome(&outcome)),
            next => assert!(matches!(next, NextStep::Retry { .. })),
        }
    }
}

#[test]
fn first_request_of_a_router_is_sent_again_after_a_failed_attempt() {
    let now = start();
    let refusal = Refusal::new(Reason::TargetDied, RetryAdvice::VerifyFirst);
    for result in [
        AttemptResult::Unsent,
        AttemptResult::Broken { delivered: false },
        AttemptResult::Unknown(refusal),
    ] {
        let mut attempts = Attempts::new(RetrySettings::default(), 1);
        attempts.admit(spec(now, 1, Delivery::Repeatable));
        let attempt = attempts
            .start(now, RequestId(1), TargetId::new(0))
            .expect("starts");
        let next = describe(&attempts.record_end(now, attempt, result));
        assert_eq!(next, "retry, avoid [target0]");
    }
}

#[test]
fn retries_are_limited_by_number_deadline_and_saved_tokens() {
    let now = start();
    let mut attempts = attempts(now);
    let urgent = RequestSpec {
        deadline: now.mono + Duration::from_micros(1),
        ..spec(now, 1, Delivery::Repeatable)
    };
    let urgent = run_to_end(&mut attempts, now, urgent);
    let others =
        (2..8).map(|it| run_to_end(&mut attempts, now, spec(now, it, Delivery::Repeatable)));
    insta::assert_debug_snapshot!((urgent, others.collect::<Vec<_>>()));
}

#[test]
fn a_past_deadline_ends_a_request() {
    let now = start();
    let late = now.after(Duration::from_secs(10));
    let mut lines = Vec::new();
    for delivery in [
        Delivery::Repeatable,
        Delivery::OnceIssued,
        Delivery::OnceSupplied,
    ] {
        for sent in [false, true] {
            let mut attempts = attempts(now);
            attempts.admit(spec(now, 1, delivery));
            if sent {
                attempts
                    .start(now, RequestId(1), TargetId::new(0))
                    .expect("starts");
            }
            assert_eq!(attempts.start(late, RequestId(1), TargetId::new(0)), None);
            let expiry = attempts.expire(RequestId(1)).expect("open");
            let response = Ending::of(&expiry.outcome).expect("not an answer");
            lines.push(format!(
                "{delivery:?}, sent {sent}: cancel {:?}, {response:?}",
                expiry.cancel
            ));
            assert_eq!(attempts.expire(RequestId(1)), None);
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn http_response_for_every_reason() {
    let reasons = [
        Reason::Unauthorized,
        Reason::NoRoute,
        Reason::Malformed,
        Reason::TooLarge,
        Reason::QueueFull,
        Reason::TeamLimit,
        Reason::DeadlinePassed,
        Reason::CallerGone,
        Reason::NoTarget,
        Reason::NoSlot,
        Reason::Draining,
        Reason::Stopping,
        Reason::NotConfigured,
        Reason::Quarantined,
        Reason::KeyRequired,
        Reason::KeyMalformed,
        Reason::KeyReused,
        Reason::KeyExpired,
        Reason::KeyNotCovered,
        Reason::HomeUnconfirmed,
        Reason::HomeUnreachable,
        Reason::AnswerDropped,
        Reason::ConnectionLost,
        Reason::TargetDied,
        Reason::RetryBudget,
        Reason::EarlierRunUnknown,
        Reason::KeyFuture,
        Reason::KeyMemoryFull,
        Reason::HandOverLate,
    ];
    let proof = SendPermit::new().cancel();
    let lines = reasons.map(|reason| {
        let refusal = Refusal::new(reason, RetryAdvice::After(Duration::from_millis(1200)));
        let not_run = Outcome::NotRun { refusal, proof };
        let refusal = Refusal::new(reason, RetryAdvice::VerifyFirst);
        let responses = [not_run, Outcome::Unknown { refusal }].map(|it| {
            let Ending {
                status,
                outcome,
                retry_after,
            } = Ending::of(&it).expect("not an answer");
            format!("{status} {outcome} {retry_after:?}")
        });
        format!("{reason}: {}", responses.join(", "))
    });
    insta::assert_snapshot!(lines.join("\n"));
}
