//! Requests that crash their targets, and the runs that show that a request does not.

use std::time::{Duration, Instant};

use entity::Fingerprint;
use knapweed_policy::direct::crash::{
    CRASH_RECORD_TTL, CompletedRun, CrashHistory, CrashRecord, MAX_CRASHED_TARGETS, RUN_VALIDITY,
};
use proptest::prelude::*;

const REQUEST: Fingerprint = Fingerprint(7);

const STEP: Duration = Duration::from_millis(500);

fn crash(target: u64) -> CrashRecord {
    CrashRecord {
        request: REQUEST,
        target,
    }
}

fn run(at: Instant) -> CompletedRun {
    CompletedRun {
        request: REQUEST,
        at,
    }
}

/// Adds as many crashes as reject a request, and returns when the last one was.
fn reject(history: &mut CrashHistory, from: Instant) -> Instant {
    let mut at = from;
    for target in 0..MAX_CRASHED_TARGETS as u64 {
        at = from + STEP * target as u32;
        history.add(crash(target), at);
    }
    at
}

#[test]
fn a_request_is_rejected_after_its_crashes_for_a_while() {
    let mut history = CrashHistory::default();
    let now = Instant::now();
    history.add(crash(8), now);
    history.add(crash(9), now);
    history.add(crash(9), now + STEP);
    assert_eq!(history.rejected_for(REQUEST, now + STEP), None);
    let last = reject(&mut history, now);
    assert_eq!(history.rejected_for(REQUEST, last), Some(CRASH_RECORD_TTL));
    assert_eq!(history.rejected_for(REQUEST, last + CRASH_RECORD_TTL), None);
    assert!(history.take_news().is_empty());
}

#[test]
fn a_completed_run_ends_a_rejection_here_and_at_peers() {
    let mut histories = [CrashHistory::default(), CrashHistory::default()];
    let now = Instant::now();
    let last = histories.each_mut().map(|it| reject(it, now))[0];
    let [own, peer] = &mut histories;
    own.record_completed(run(last));
    assert_eq!(own.rejected_for(REQUEST, last), None);
    assert!(own.rejected(usize::MAX, last).is_empty());
    let news = own.take_news();
    assert_eq!(news, [run(last)]);
    assert!(peer.rejected_for(REQUEST, last).is_some());
    peer.record_peer_run(news[0], last);
    assert_eq!(peer.rejected_for(REQUEST, last), None);
    // It is not told on.
    assert!(peer.take_news().is_empty());
}

/// Callers sent the same request to all targets when these died, one after the other.
#[test]
fn crashes_right_after_a_run_do_not_count_and_the_run_is_told() {
    let mut history = CrashHistory::default();
    let now = Instant::now();
    history.record_completed(run(now));
    assert!(history.take_news().is_empty(), "no crash is known");
    let last = reject(&mut history, now + STEP);
    assert!(last <= now + RUN_VALIDITY);
    assert_eq!(history.rejected_for(REQUEST, last), None);
    assert_eq!(history.take_news(), [run(now)]);
}

/// A request may begin to crash its targets, as when their version changes.
#[test]
fn crashes_long_after_a_run_count() {
    let mut history = CrashHistory::default();
    let now = Instant::now();
    history.record_completed(run(now));
    let last = reject(&mut history, now + RUN_VALIDITY + STEP);
    assert!(history.rejected_for(REQUEST, last).is_some());
    assert!(history.take_news().is_empty());
}

#[test]
fn memory_of_runs_and_crashes_is_bounded_and_the_latest_crashes_are_kept() {
    const REQUESTS: u128 = 20_000;
    let mut history = CrashHistory::default();
    let now = Instant::now();
    for request in 0..REQUESTS {
        let request = Fingerprint(request + 100);
        history.record_completed(CompletedRun { request, at: now });
        history.record_peer_run(CompletedRun { request, at: now }, now);
    }
    let last = reject(&mut history, now + STEP);
    assert!(history.rejected_for(REQUEST, last).is_some());
    let news = history.take_news();
    assert!(news.is_empty(), "{}", news.len());
}

proptest! {
    /// Records arrive in any order, and some twice.
    #[test]
    fn the_order_of_records_does_not_matter(
        records in prop::collection::vec((0_u64..5, 0_u32..40, any::<bool>()), 1..20),
        order in any::<prop::sample::Index>(),
    ) {
        let now = Instant::now();
        let apply = |records: &[(u64, u32, bool)]| {
            let mut history = CrashHistory::default();
            for &(target, step, is_run) in records {
                let at = now + STEP * step;
                match is_run {
                    true => history.record_peer_run(run(at), at),
                    false => drop(history.add(crash(target), at)),
                }
            }
            history.rejected_for(REQUEST, now)
        };
        let expected = apply(&records);
        let mut changed = records.clone();
        changed.rotate_left(order.index(records.len()));
        changed.extend_from_slice(&records);
        prop_assert_eq!(apply(&changed), expected);
    }
}
