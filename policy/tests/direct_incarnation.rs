//! Targets that may have started again since the list of targets was read.

use std::time::{Duration, Instant};

use knapweed_policy::direct::incarnation::{
    ConnectionEnd, EndCause, IncarnationCheck, REGISTRATION_TTL,
};

const STEP: Duration = Duration::from_millis(10);

fn end(cause: EndCause, since: Instant, at: Instant) -> ConnectionEnd {
    ConnectionEnd {
        address: ([10, 0, 0, 1], 80).into(),
        cause,
        since,
        at,
    }
}

fn refusal(at: Instant) -> ConnectionEnd {
    end(EndCause::Refused, at, at)
}

/// A check after a refused connection, and when that was.
fn refused() -> (IncarnationCheck, Instant) {
    let mut check = IncarnationCheck::default();
    let now = Instant::now() + REGISTRATION_TTL;
    assert!(!check.is_doubtful());
    assert!(check.record_end(refusal(now)), "a doubt begins");
    assert!(!check.record_end(refusal(now)), "it had begun");
    assert!(check.is_doubtful());
    (check, now)
}

#[test]
fn a_refused_connection_leaves_a_doubt_until_a_much_later_list_shows_the_target() {
    let (mut check, now) = refused();
    check.record_listed(now + REGISTRATION_TTL - STEP);
    assert!(check.is_doubtful());
    check.record_end(refusal(now + STEP));
    check.record_listed(now + REGISTRATION_TTL);
    assert!(check.is_doubtful(), "it was refused again");
    check.record_listed(now + REGISTRATION_TTL + STEP);
    assert!(!check.is_doubtful());
}

/// A response may have been on its way when the target ended, and one on a new connection may
/// be of another incarnation.
#[test]
fn only_a_request_sent_later_on_an_earlier_connection_shows_that_the_target_goes_on() {
    for (opened_at, sent_at, is_shown) in [
        (-1, -1, false),
        (1, 2, false),
        (0, 1, false),
        (-1, 0, false),
        (-1, 1, true),
    ] {
        let (mut check, now) = refused();
        let at = |steps: i32| match steps {
            0.. => now + STEP * steps as u32,
            _ => now - STEP * steps.unsigned_abs(),
        };
        check.record_response(at(opened_at), at(sent_at));
        assert_eq!(check.is_doubtful(), !is_shown, "{opened_at} {sent_at}");
    }
}

#[test]
fn any_unannounced_end_of_a_connection_leaves_a_doubt() {
    let now = Instant::now() + REGISTRATION_TTL;
    for cause in [
        EndCause::Refused,
        EndCause::TimedOut,
        EndCause::Idle,
        EndCause::Broken,
        EndCause::Unanswered,
    ] {
        let mut check = IncarnationCheck::default();
        assert!(check.record_end(end(cause, now, now + STEP)), "{cause}");
        assert_eq!(check.doubted_since(), Some(now), "{cause}");
    }
}

/// The target may have started again at any time since the connection was last seen to be
/// sound, so one opened in between may lead to another incarnation.
#[test]
fn a_connection_opened_after_the_first_sign_settles_nothing() {
    let mut check = IncarnationCheck::default();
    let now = Instant::now() + REGISTRATION_TTL;
    check.record_end(end(EndCause::Idle, now, now + STEP * 4));
    check.record_end(end(EndCause::Broken, now + STEP * 6, now + STEP * 8));
    for opened in 0..8 {
        let opened_at = now + STEP * opened;
        assert_eq!(
            check.record_response(opened_at, now + STEP * 9),
            None,
            "{opened}"
        );
    }
    let settled = check.record_response(now - STEP, now + STEP * 9);
    assert_eq!(settled, Some(now + STEP * 4), "when the doubt began");
}

/// Targets that break some requests, and go on, get a sign again and again.
#[test]
fn a_response_between_two_signs_vouches_for_the_connections_opened_until_then() {
    let mut check = IncarnationCheck::default();
    let now = Instant::now() + REGISTRATION_TTL;
    check.record_end(end(EndCause::Broken, now, now));
    check.record_end(end(EndCause::Broken, now + STEP * 8, now + STEP * 8));
    assert_eq!(check.record_response(now - STEP, now + STEP * 4), None);
    assert_eq!(check.doubted_since(), Some(now + STEP * 4));
    let settled = check.record_response(now + STEP * 2, now + STEP * 9);
    assert_eq!(settled, Some(now));
    // What is noticed late is older than the response.
    assert!(!check.record_end(end(EndCause::Idle, now, now + STEP * 8)));
}

#[test]
fn an_unanswered_request_is_no_sign_if_a_later_one_was_answered() {
    let mut check = IncarnationCheck::default();
    let now = Instant::now() + REGISTRATION_TTL;
    check.record_response(now, now + STEP);
    let given_up = now + STEP * 90;
    assert!(!check.record_end(end(EndCause::Unanswered, now, given_up)));
    assert!(check.record_end(end(EndCause::Unanswered, now + STEP * 2, given_up)));
}
