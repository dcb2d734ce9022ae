//! Targets that may have started again since the list of targets was read.

use std::time::{Duration, Instant};

use knapweed_policy::direct::incarnation::{IncarnationCheck, REGISTRATION_TTL};

const STEP: Duration = Duration::from_millis(10);

/// A check after a refused connection, and when that was.
fn refused() -> (IncarnationCheck, Instant) {
    let mut check = IncarnationCheck::default();
    let now = Instant::now() + REGISTRATION_TTL;
    assert!(!check.is_doubtful());
    assert!(check.record_refused(now), "a doubt begins");
    assert!(!check.record_refused(now), "it had begun");
    assert!(check.is_doubtful());
    (check, now)
}

#[test]
fn a_refused_connection_leaves_a_doubt_until_a_much_later_list_shows_the_target() {
    let (mut check, now) = refused();
    check.record_listed(now + REGISTRATION_TTL - STEP);
    assert!(check.is_doubtful());
    check.record_refused(now + STEP);
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
