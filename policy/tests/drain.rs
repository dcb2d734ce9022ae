//! Planned stops.

use std::time::{Duration, Instant, UNIX_EPOCH};

use entity::{Now, RequestId};
use knapweed_policy::drain::Drain;

fn rig(requests: u128) -> (Drain, Now) {
    let now = Now {
        mono: Instant::now(),
        wall: UNIX_EPOCH,
    };
    let mut drain = Drain::new(Duration::from_secs(30));
    for request in 0..requests {
        drain.begin(RequestId(request));
    }
    (drain, now)
}

#[test]
fn an_idle_process_exits_at_once() {
    let (mut drain, now) = rig(0);
    let actions = drain.stop(now);
    insta::assert_debug_snapshot!((actions, drain.stop(now), drain.tick(now), drain.stage()));
}

#[test]
fn running_requests_finish_before_the_exit() {
    let (mut drain, now) = rig(100);
    let first = drain.stop(now);
    let early = drain.tick(now.after(Duration::from_secs(29)));
    let ends: Vec<_> = (0..100).filter_map(|it| drain.end(RequestId(it))).collect();
    insta::assert_debug_snapshot!((first, early, ends, drain.stage()));
}

#[test]
fn the_limit_and_a_second_signal_name_what_is_cut() {
    let (mut drain, now) = rig(3);
    drain.stop(now);
    drain.end(RequestId(1));
    let second = drain.stop(now);
    let (mut drain, now) = rig(2);
    drain.stop(now);
    let limit = drain.tick(now.after(Duration::from_secs(30)));
    insta::assert_debug_snapshot!((second, limit, drain.end(RequestId(0))));
}
