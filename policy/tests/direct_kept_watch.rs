//! Tests of who asks targets what they keep, and of what is made of the answers.

// The fields and functions that only the tests of the exchange need.
#[allow(dead_code)]
#[path = "direct_exchange/net.rs"]
mod net;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweed_policy::direct::exchange::DISCOVERY_TIME;
use knapweed_policy::direct::kept::KeptRow;
use knapweed_policy::direct::kept_watch::{
    Answer, CALL_PERIOD, Call, EVENT_DELAY, KeptEvent, KeptWatch, KnownParts, LIST_PERIOD,
    LIST_SPACING, MAX_CALLS, MAX_HELD, MAX_LISTED_ROWS, is_watcher,
};
use knapweed_policy::direct::stream_origin::ORIGIN_TTL;
use knapweed_policy::direct::target::SoftwareVersion;
use net::Net;
use proptest::collection::vec;
use proptest::prelude::*;
use rustc_hash::FxHashSet;
use xxhash_rust::xxh3::xxh3_64;

/// The time within which another router asks the targets of one that is lost.
const TAKEOVER_TIME: Duration = Duration::from_secs(3);

/// The time that the operators grant routers between their start and the first traffic.
const START_TIME: Duration = Duration::from_secs(14);

const TARGETS: u64 = 600;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn tag(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

/// The targets that a router watches.
fn watched(net: &Net, router: usize) -> Vec<u64> {
    let Some((own, others)) = net.routers[router].exchange.watchers() else {
        return Vec::new();
    };
    let others: Vec<u64> = others.into_iter().map(tag).collect();
    let is_own = |&target: &u64| is_watcher(target, tag(own), &others);
    (0..TARGETS).filter(is_own).collect()
}

/// The number of live routers that watch each target.
fn watchers(net: &Net) -> Vec<usize> {
    let mut counts = vec![0; TARGETS as usize];
    for router in net.connected() {
        for target in watched(net, router) {
            counts[target as usize] += 1;
        }
    }
    counts
}

fn assert_watched_once(net: &Net, what: &str) {
    let counts = watchers(net);
    let wrong = counts.iter().filter(|&&count| count != 1).count();
    assert_eq!(wrong, 0, "{what}: targets not watched by one router");
}

#[test]
fn each_target_has_one_watcher_and_another_one_in_time_when_it_is_lost() {
    for (count, centres) in [(5, 4), (30, 4), (120, 6)] {
        for fault in ["killed", "cut", "frozen"] {
            let mut net = Net::start(count, centres, 1);
            net.run_until(START_TIME);
            assert_watched_once(&net, &format!("{count} routers"));
            let relay = net.relays().first().copied().unwrap_or(1);
            let next = net.relays().into_iter().nth(1).unwrap_or(2);
            for lost in [relay, next, (relay + 1) % count] {
                let router = &mut net.routers[lost];
                match fault {
                    "killed" => router.is_alive = false,
                    "cut" => router.is_cut = true,
                    _ => router.is_frozen = true,
                }
                net.run_for(TAKEOVER_TIME);
                let unwatched = watchers(&net).into_iter().filter(|&it| it == 0).count();
                assert_eq!(unwatched, 0, "{count} routers, {lost} {fault}");
            }
        }
    }
}

#[test]
fn after_a_start_of_all_at_once_few_routers_ask_the_same_target() {
    for (count, centres) in [(5, 4), (30, 4), (120, 6)] {
        let mut net = Net::start(count, centres, 2);
        net.run_until(START_TIME);
        for router in 0..count {
            net.restart(router);
        }
        // All discover each other, and relays list their members once more.
        net.run_for(DISCOVERY_TIME + millis(500));
        assert_watched_once(&net, &format!("{count} routers, restarted"));
    }
}

#[test]
fn a_router_that_starts_watches_nothing() {
    let mut net = Net::start(30, 4, 3);
    net.run_until(START_TIME);
    net.restart(7);
    net.run_for(millis(1_500));
    assert_eq!(watched(&net, 7), [0_u64; 0]);
}

/// One router that watches some targets, and the calls that it makes.
struct Play {
    watch: KeptWatch,
    start: Instant,
    now: Duration,
}

impl Play {
    fn new(targets: u64) -> Self {
        let mut watch = KeptWatch::default();
        watch.set_targets(&(0..targets).collect());
        Self {
            watch,
            start: Instant::now(),
            now: Duration::from_secs(100),
        }
    }

    fn due(&mut self) -> Vec<(u64, Call)> {
        self.watch.due(|_| true, self.start + self.now)
    }

    fn record(&mut self, target: u64, answer: Answer, known: &KnownParts) -> Vec<KeptRow> {
        let now = self.start + self.now;
        self.watch.record(target, answer, known, now)
    }

    /// Waits for the next call to target 0 and answers it.
    fn answer(&mut self, answer: Answer, known: &KnownParts) -> (Call, Vec<KeptRow>) {
        for _ in 0..400 {
            let due = self.due();
            if let Some(&(target, call)) = due.first() {
                return (call, self.record(target, answer, known));
            }
            self.now += millis(100);
        }
        panic!("no call in 40 s");
    }
}

fn part(part: u64, tokens: u32) -> KeptEvent {
    KeptEvent { part, tokens }
}

fn list(epoch: u64, next: u64, held: Vec<KeptEvent>) -> Answer {
    Answer::List { epoch, next, held }
}

fn events(epoch: u64, next: u64, events: Vec<KeptEvent>) -> Answer {
    Answer::Events {
        epoch,
        next,
        is_gap: false,
        events,
    }
}

fn told(rows: &[KeptRow]) -> Vec<(u64, u32)> {
    rows.iter().map(|row| (row.part, row.tokens)).collect()
}

fn known(parts: &[u64]) -> KnownParts {
    let parts: FxHashSet<u64> = parts.iter().copied().collect();
    KnownParts {
        used: parts.clone(),
        believed: parts,
    }
}

#[test]
fn what_a_target_says_is_passed_on_and_its_last_word_counts() {
    let mut play = Play::new(1);
    let nothing = KnownParts::default();
    // It holds 1 and 2; another router believed that it holds 3.
    let answer = list(1, 10, vec![part(1, 500), part(2, 300)]);
    let (call, rows) = play.answer(answer, &known(&[3]));
    assert_eq!(call, Call::List);
    assert_eq!(told(&rows), [(3, 0), (1, 500), (2, 300)]);
    let answer = events(
        1,
        14,
        vec![part(1, 0), part(2, 0), part(2, 300), part(9, 40)],
    );
    let (call, rows) = play.answer(answer, &nothing);
    assert_eq!(call, Call::Events { since: 10 });
    // Nobody uses 9, which may belong to one request only.
    assert_eq!(told(&rows), [(1, 0), (2, 300)]);
    assert!(
        rows.iter()
            .all(|row| row.age == EVENT_DELAY.as_millis() as u32)
    );
    assert_eq!(told(&play.watch.rows_of_used([9, 8])), [(9, 40)]);
    assert_eq!(told(&play.watch.rows_of_used([9])), []);
    // A new start: what it held is gone.
    let (call, rows) = play.answer(events(2, 1, Vec::new()), &nothing);
    assert_eq!((call, rows.len()), (Call::Events { since: 14 }, 0));
    let (call, rows) = play.answer(list(2, 1, Vec::new()), &nothing);
    assert_eq!(call, Call::List);
    assert_eq!(told(&rows), [(2, 0), (9, 0)]);
}

#[test]
fn a_gap_an_older_number_and_another_epoch_lead_to_the_list() {
    let gap = Answer::Events {
        epoch: 1,
        next: 20,
        is_gap: true,
        events: vec![part(1, 0)],
    };
    let older = events(1, 3, vec![part(1, 0)]);
    let epoch = events(0, 30, vec![part(1, 0)]);
    for answer in [gap, older, epoch] {
        let mut play = Play::new(1);
        let nothing = KnownParts::default();
        play.answer(list(1, 10, vec![part(1, 500)]), &nothing);
        let (_, rows) = play.answer(answer, &nothing);
        assert_eq!(rows, [], "events of another time are not applied");
        let (call, _) = play.answer(list(1, 20, vec![part(1, 500)]), &nothing);
        assert_eq!(call, Call::List);
    }
}

fn any_answer() -> impl Strategy<Value = Answer> {
    let parts = || {
        vec(
            (0_u64..50, 0_u32..3).prop_map(|it| part(it.0, it.1 * 100)),
            0..200,
        )
    };
    prop_oneof![
        (0_u64..3, 0_u64..50, any::<bool>(), parts()).prop_map(|(epoch, next, is_gap, events)| {
            Answer::Events {
                epoch,
                next,
                is_gap,
                events,
            }
        }),
        (0_u64..3, 0_u64..50, parts()).prop_map(|it| list(it.0, it.1, it.2)),
        Just(Answer::Refused),
        Just(Answer::Paused),
        Just(Answer::Failed),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn calls_are_paced_whatever_is_answered(
        targets in 1_u64..60,
        answers in vec((any_answer(), 0_u64..600), 50..300),
    ) {
        let mut play = Play::new(targets);
        let mut under_way: Vec<(u64, Duration)> = Vec::new();
        let mut ended = vec![None; targets as usize];
        let mut listed = vec![None; targets as usize];
        let mut last_list: Option<Duration> = None;
        for (answer, wait) in answers {
            play.now += millis(100);
            let now = play.now;
            for (target, call) in play.due() {
                let index = target as usize;
                prop_assert!(under_way.iter().all(|it| it.0 != target), "one call at a time");
                under_way.push((target, now + millis(wait)));
                prop_assert!(under_way.len() <= MAX_CALLS);
                if call == Call::List {
                    let since = listed[index].map(|at| now - at);
                    prop_assert!(since.is_none_or(|it| it >= LIST_PERIOD));
                    prop_assert!(last_list.is_none_or(|at| now - at >= LIST_SPACING));
                    listed[index] = Some(now);
                    last_list = Some(now);
                } else {
                    let since = ended[index].map(|at| now - at);
                    prop_assert!(since.is_none_or(|it| it >= CALL_PERIOD));
                }
            }
            let Some(first) = under_way.iter().position(|it| it.1 <= now) else { continue };
            let (target, _) = under_way.swap_remove(first);
            ended[target as usize] = Some(now);
            let rows = play.record(target, answer.clone(), &known(&[1, 2, 3]));
            prop_assert!(rows.len() <= MAX_LISTED_ROWS + 50);
            prop_assert!(play.watch.counts().2 <= MAX_HELD * targets as usize);
            if matches!(answer, Answer::Refused | Answer::Paused | Answer::Failed) {
                prop_assert!(rows.is_empty());
            }
        }
    }
}

#[test]
fn a_target_that_refuses_is_asked_less_and_less_but_not_forgotten() {
    let mut play = Play::new(1);
    let nothing = KnownParts::default();
    play.answer(list(1, 10, Vec::new()), &nothing);
    let mut times = Vec::new();
    for _ in 0..8 {
        play.answer(Answer::Refused, &nothing);
        times.push(play.now);
    }
    let gaps: Vec<u64> = times
        .windows(2)
        .map(|it| (it[1] - it[0]).as_secs())
        .collect();
    assert_eq!(gaps, [2, 4, 8, 16, 16, 16, 16]);
    let (call, _) = play.answer(events(1, 11, Vec::new()), &nothing);
    assert_eq!(
        call,
        Call::Events { since: 10 },
        "nothing was lost meanwhile"
    );
}

#[test]
fn a_target_in_a_pause_is_not_asked_and_goes_on_where_it_was_after_it() {
    let mut play = Play::new(2);
    let nothing = KnownParts::default();
    play.answer(list(1, 10, Vec::new()), &nothing);
    for _ in 0..50 {
        play.now += millis(100);
        let due = play.watch.due(|target| target != 0, play.start + play.now);
        assert!(due.iter().all(|(target, _)| *target != 0));
        for (target, _) in due {
            play.record(target, Answer::Paused, &nothing);
        }
    }
    play.now += CALL_PERIOD;
    let due = play.due();
    assert!(due.contains(&(0, Call::Events { since: 10 })), "{due:?}");
    assert!(
        due.iter().any(|(target, _)| *target == 1),
        "a pause is no failure"
    );
}

#[test]
fn an_endless_list_is_cut_at_the_longest_parts() {
    let mut play = Play::new(1);
    let held = (0..3 * MAX_HELD as u64)
        .map(|it| part(it, it as u32 + 1))
        .collect();
    let (_, rows) = play.answer(list(1, 10, held), &KnownParts::default());
    assert_eq!(play.watch.counts().2, MAX_HELD);
    assert_eq!(rows.len(), MAX_LISTED_ROWS);
    let shortest = rows.iter().map(|row| row.tokens).min().expect("rows");
    assert_eq!(shortest as usize, 3 * MAX_HELD - MAX_LISTED_ROWS + 1);
}

#[test]
fn a_leaving_target_is_asked_first_and_once_and_its_parts_are_not_passed_on() {
    let mut play = Play::new(3);
    let nothing = KnownParts::default();
    play.watch.set_leaving([2].into_iter().collect());
    let due = play.due();
    assert_eq!(due, [(2, Call::List)]);
    let answer = list(1, 10, vec![part(7, 100)]);
    assert!(play.record(2, answer, &nothing).is_empty());
    assert_eq!(play.watch.holders(7).collect::<Vec<_>>(), [2]);
    for _ in 0..100 {
        play.now += millis(100);
        for (target, _) in play.due() {
            assert_ne!(target, 2);
            play.record(target, Answer::Failed, &nothing);
        }
    }
}

#[test]
fn what_a_target_held_that_left_is_known_for_as_long_as_a_stream_can_be_taken_up() {
    let mut play = Play::new(2);
    let nothing = KnownParts::default();
    for target in [0, 1] {
        play.now += LIST_SPACING;
        let due = play.due();
        assert_eq!(due, [(target, Call::List)]);
        play.record(target, list(1, 10, vec![part(target, 100)]), &nothing);
    }
    let version = SoftwareVersion::new("v1").tag();
    let left_at = play.start + play.now;
    let retire = |play: &mut Play, now| {
        let is_gone = |target| (target == 1).then_some(version);
        play.watch.retire(is_gone, now);
    };
    retire(&mut play, left_at);
    let versions = |play: &Play, part| {
        let versions = play.watch.departed_versions(part);
        versions.collect::<Vec<_>>()
    };
    assert_eq!(versions(&play, 1), [version]);
    assert!(versions(&play, 0).is_empty());
    assert_eq!(play.watch.holders(0).collect::<Vec<_>>(), [0]);
    retire(&mut play, left_at + ORIGIN_TTL - millis(1));
    assert_eq!(versions(&play, 1), [version]);
    retire(&mut play, left_at + ORIGIN_TTL);
    assert!(versions(&play, 1).is_empty());
}
