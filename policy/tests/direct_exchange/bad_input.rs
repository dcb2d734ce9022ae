//! Messages that are wrong, late, repeated or reordered.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweed_policy::direct::confirmation::Uptime;
use knapweed_policy::direct::exchange::message::{
    Beat, CentreTag, Echo, LoadRow, MemberRow, Message, Place, ProblemRow, RateRow, RateUpdate,
    Scope, Source, Summary, TeamRow,
};
use knapweed_policy::direct::exchange::rates::{MAX_RATE_ROWS, MAX_RATED_TARGETS};
use knapweed_policy::direct::exchange::{
    Exchange, Identity, LocalState, MEMBER_TIMEOUT, Moment, PERIOD, RejectReason,
};
use knapweed_policy::direct::prefill_rate::{MAX_RATE_FACTOR, MIN_RATE_FACTOR};
use knapweed_policy::direct::rotation::Readiness;
use knapweed_policy::direct::target_rate::{RATE_TTL, TargetRate};
use knapweed_policy::direct::target_table::sum_loads;
use proptest::collection::vec;
use proptest::prelude::*;

use super::net::{address, encoded_bytes};

const LOST_AGE: Duration = Duration::from_secs(3);

fn identity() -> Identity {
    Identity {
        address: address(0),
        centre: CentreTag(1),
        incarnation: 5,
    }
}

fn local() -> LocalState<'static> {
    LocalState {
        loads: &[],
        teams: &[],
        problem_targets: &[],
        digest: 1,
        confirmation_age: None,
        is_stopping: false,
        readiness: Readiness::default(),
    }
}

fn beat(from: SocketAddr, life: u64, number: u32) -> Beat {
    Beat {
        from,
        life,
        number,
        echo: None,
        digest: 1,
        confirmed: None,
        leaving: false,
        peers: Vec::new(),
        loads: Vec::new(),
        teams: Vec::new(),
        crashes: Vec::new(),
        place: Some(Place {
            centre: CentreTag(1),
            relay: from,
            is_settled: true,
        }),
        readiness: None,
    }
}

fn summary(from: SocketAddr, life: u64, number: u32, part: u8, parts: u8) -> Summary {
    Summary {
        from,
        life,
        number,
        part,
        parts,
        scope: Scope::Group,
        members: Vec::new(),
        loads: vec![LoadRow {
            target: 1,
            waiting: 10,
            count: 1,
            memory: 10,
        }],
        teams: Vec::new(),
        problems: Vec::new(),
        readiness: Vec::new(),
    }
}

struct Fixture {
    exchange: Exchange,
    origin: Instant,
}

impl Fixture {
    fn new() -> Self {
        let origin = Instant::now();
        let exchange = Exchange::new(identity(), &[], LOST_AGE, origin);
        Self { exchange, origin }
    }

    fn moment(&self, after: Duration) -> Moment {
        Moment {
            mono: self.origin + after,
            uptime: Uptime(after),
        }
    }

    fn receive(&mut self, message: impl Into<Message>, after: Duration) -> Option<RejectReason> {
        let moment = self.moment(after);
        self.exchange.receive(message.into(), moment).rejected
    }

    fn attempts(&self, after: Duration) -> u64 {
        let now = self.origin + after;
        let sums = sum_loads(self.exchange.view(now).reports.iter(), now);
        sums.values().map(|load| u64::from(load.attempts)).sum()
    }
}

#[test]
fn wrong_messages_are_ignored_with_a_reason() {
    let mut fixture = Fixture::new();
    let (peer, now) = (address(1), Duration::from_millis(10));
    let rejected = |fixture: &mut Fixture, message: Message| fixture.receive(message, now);
    let as_beat = |life, number| Message::Beat(Box::new(beat(peer, life, number)));
    let as_summary = |summary| Message::Summary(Box::new(summary));

    let before_beat = as_summary(summary(peer, 7, 4, 0, 1));
    assert_eq!(
        rejected(&mut fixture, before_beat),
        Some(RejectReason::UnknownSender)
    );
    assert_eq!(rejected(&mut fixture, as_beat(7, 4)), None);
    assert_eq!(
        rejected(&mut fixture, as_beat(7, 4)),
        Some(RejectReason::Old),
        "a duplicate"
    );
    assert_eq!(
        rejected(&mut fixture, as_beat(7, 3)),
        Some(RejectReason::Old)
    );
    assert_eq!(
        rejected(&mut fixture, as_beat(6, 900)),
        Some(RejectReason::Old),
        "a former incarnation"
    );
    let own = Message::Beat(Box::new(beat(address(0), 5, 1)));
    assert_eq!(rejected(&mut fixture, own), Some(RejectReason::Own));
    for (part, parts) in [(0, 0), (1, 1), (3, 2)] {
        assert_eq!(
            rejected(&mut fixture, as_summary(summary(peer, 7, 4, part, parts))),
            Some(RejectReason::Malformed),
            "part {part} of {parts}"
        );
    }
    let other_life = as_summary(summary(peer, 8, 4, 0, 1));
    assert_eq!(
        rejected(&mut fixture, other_life),
        Some(RejectReason::UnknownSender)
    );
    assert_eq!(
        rejected(&mut fixture, as_summary(summary(peer, 7, 5, 0, 1))),
        None
    );
    assert_eq!(
        rejected(&mut fixture, as_summary(summary(peer, 7, 4, 0, 1))),
        Some(RejectReason::Old)
    );
    assert_eq!(fixture.attempts(now), 1);
}

#[test]
fn a_summary_counts_only_when_all_of_its_parts_have_arrived() {
    let mut fixture = Fixture::new();
    let (peer, now) = (address(1), Duration::from_millis(10));
    fixture.receive(Message::Beat(Box::new(beat(peer, 7, 1))), now);
    let part = |number, part| Message::Summary(Box::new(summary(peer, 7, number, part, 2)));
    fixture.receive(part(1, 1), now);
    assert_eq!(fixture.attempts(now), 0);
    // The other part was lost, and the parts of the next summary are reordered.
    fixture.receive(part(2, 1), now);
    assert_eq!(fixture.attempts(now), 0);
    fixture.receive(part(2, 0), now);
    assert_eq!(fixture.attempts(now), 2);
    fixture.receive(part(2, 0), now);
    assert_eq!(fixture.attempts(now), 2, "a repeated part");
}

#[test]
fn an_echo_of_another_incarnation_or_of_no_heartbeat_confirms_nothing() {
    let mut fixture = Fixture::new();
    let peer = address(1);
    let at = |millis| Duration::from_millis(millis);
    fixture.receive(Message::Beat(Box::new(beat(peer, 7, 1))), at(0));
    let moment = fixture.moment(at(100));
    let sent = fixture.exchange.tick(&local(), moment);
    let number = sent.iter().find_map(|it| match &it.message {
        Message::Beat(beat) => Some(beat.number),
        _ => None,
    });
    let number = number.expect("a heartbeat");
    let mut confirm = |beat_number, life, number, confirmed| {
        let mut beat = beat(peer, 7, beat_number);
        (beat.echo, beat.confirmed) = (Some(Echo { life, number }), Some(confirmed));
        let moment = fixture.moment(at(200));
        fixture
            .exchange
            .receive(Message::Beat(Box::new(beat)), moment)
            .confirmation
    };
    assert_eq!(confirm(2, 4, number, 20), None, "another incarnation");
    assert_eq!(confirm(3, 5, number + 1, 20), None, "never sent");
    assert_eq!(confirm(4, 5, number, 500), None, "before the clock began");
    assert_eq!(confirm(5, 5, number, 20), Some((1, Uptime(at(80)))));
}

fn any_message() -> impl Strategy<Value = Message> {
    let from = || (0..6_usize).prop_map(address);
    let member = (from(), any::<bool>(), any::<bool>(), 0..3_u32).prop_map(
        |(address, steady, reads, centre)| MemberRow {
            address,
            centre: CentreTag(centre),
            steady,
            reads,
        },
    );
    let load = (0..4_u64, any::<u32>(), any::<u32>(), any::<u32>()).prop_map(
        |(target, waiting, count, memory)| LoadRow {
            target,
            waiting,
            count,
            memory,
        },
    );
    let team = (0..3_u64, any::<u32>(), any::<u32>()).prop_map(|(team, asked, placed)| TeamRow {
        team,
        asked,
        placed,
    });
    let beats = (
        from(),
        1..4_u64,
        1..40_u32,
        from(),
        any::<bool>(),
        vec(load.clone(), 0..3),
    );
    let beats = beats.prop_map(|(from, life, number, relay, has_place, loads)| {
        let mut beat = beat(from, life, number);
        beat.loads = loads;
        beat.place = has_place.then_some(Place {
            centre: CentreTag(1),
            relay,
            is_settled: true,
        });
        Message::Beat(Box::new(beat))
    });
    let parts = (0..3_u8, 0..3_u8, any::<bool>());
    let rows = (vec(member, 0..4), vec(load, 0..4), vec(team, 0..3));
    let summaries = (from(), 1..4_u64, 1..40_u32, parts, rows).prop_map(
        |(from, life, number, (part, parts, is_fleet), (members, loads, teams))| {
            let scope = if is_fleet { Scope::Fleet } else { Scope::Group };
            Message::Summary(Box::new(Summary {
                scope,
                members,
                loads,
                teams,
                problems: vec![ProblemRow {
                    target: 1,
                    count: u32::MAX,
                }],
                ..summary(from, life, number, part, parts)
            }))
        },
    );
    prop_oneof![
        beats,
        summaries,
        any_rates().prop_map(Message::Rates),
        vec(0..9_u64, 0..4).prop_map(Message::Leaving)
    ]
}

fn any_rates() -> impl Strategy<Value = RateUpdate> {
    let values = (any::<u32>(), any::<u32>(), any::<u16>());
    let row = (0..6_u64, values, any::<u32>(), any::<Option<i8>>());
    let row = row.prop_map(|(target, (prefill, step, weight), age, level)| RateRow {
        target,
        prefill,
        step,
        weight,
        age,
        level,
    });
    let source = prop_oneof![
        Just(Source::Router),
        Just(Source::Group),
        Just(Source::Fleet)
    ];
    let from = (0..6_usize).prop_map(address);
    (from, source, vec(row, 0..MAX_RATE_ROWS + 9)).prop_map(|(from, source, rows)| RateUpdate {
        from,
        source,
        rows,
    })
}

/// The configured rate of engines, in tokens per millisecond.
const CONFIGURED_RATE: f64 = 50.0;

#[test]
fn rates_of_strangers_and_of_too_many_targets_are_not_kept() {
    let mut fixture = Fixture::new();
    let (peer, now) = (address(1), Duration::from_millis(10));
    let update = |first: u64, count: u64| {
        let rows = (first..first + count).map(|target| RateRow {
            target,
            prefill: 70_000,
            step: 0,
            weight: u16::MAX,
            age: 0,
            level: None,
        });
        Message::Rates(RateUpdate {
            from: peer,
            source: Source::Router,
            rows: rows.collect(),
        })
    };
    let unknown = fixture.receive(update(0, 1), now);
    assert_eq!(unknown, Some(RejectReason::UnknownSender));
    fixture.receive(Message::Beat(Box::new(beat(peer, 7, 1))), now);
    let count = MAX_RATE_ROWS as u64;
    let long = fixture.receive(update(0, count + 1), now);
    assert_eq!(long, Some(RejectReason::Malformed));
    for part in 0..20 {
        assert_eq!(fixture.receive(update(part * count, count), now), None);
    }
    let rates = fixture.exchange.peer_rates(fixture.origin + now);
    assert_eq!(rates.len(), MAX_RATED_TARGETS);
    assert!(rates.iter().all(|row| row.weight <= 32));
}

proptest! {
    /// Whatever peers say, the rate of a target stays within the bounds of the settings, no
    /// message is larger than a datagram, and no row becomes younger.
    #[test]
    fn absurd_rates_are_bounded(updates in vec((any_rates(), 0..9_000_u64), 1..20)) {
        let mut fixture = Fixture::new();
        let mut now = Duration::ZERO;
        let mut rate = TargetRate::default();
        for (update, pause) in updates {
            now += Duration::from_millis(pause);
            fixture.receive(Message::Beat(Box::new(beat(update.from, 1, now.as_millis() as u32 + 1))), now);
            fixture.receive(Message::Rates(update), now);
            let moment = fixture.moment(now);
            let rows = fixture.exchange.peer_rates(moment.mono);
            for row in &rows {
                prop_assert!(Duration::from_millis(row.age.into()) < RATE_TTL);
                rate.set_peers(*row, moment.mono);
                let learned = rate.prefill(CONFIGURED_RATE, moment.mono);
                if let Some(learned) = learned {
                    let factor = learned / CONFIGURED_RATE;
                    prop_assert!((MIN_RATE_FACTOR..=MAX_RATE_FACTOR).contains(&factor));
                }
                prop_assert!(rate.update_level(learned, CONFIGURED_RATE).is_none_or(|it| it.abs() <= 8));
                prop_assert!(rate.step().is_none_or(|it| it <= Duration::from_secs(1)));
            }
            for sent in fixture.exchange.tick(&local(), moment) {
                prop_assert!(encoded_bytes(&sent.message) <= 8 * 1024);
            }
        }
    }

    /// Whatever arrives, a router that was heard stays a member for its time: the limits of
    /// the fleet are divided by no fewer routers than exist.
    #[test]
    fn no_message_shortens_the_time_for_which_a_router_counts(
        messages in vec((any_message(), 0..400_u64), 1..80),
    ) {
        let mut fixture = Fixture::new();
        let known = address(20);
        fixture.receive(Message::Beat(Box::new(beat(known, 1, 1))), Duration::ZERO);
        let mut now = Duration::ZERO;
        for (message, pause) in messages {
            now += Duration::from_millis(pause);
            if now + PERIOD >= MEMBER_TIMEOUT {
                break;
            }
            fixture.receive(message, now);
            let moment = fixture.moment(now);
            let sent = fixture.exchange.tick(&local(), moment);
            prop_assert!(sent.iter().all(|it| it.to != address(0)), "a message to itself");
            let mut members = fixture.exchange.members();
            prop_assert!(members.any(|(member, _)| member == known));
            fixture.exchange.view(moment.mono);
        }
    }

    /// The result does not depend on repeated messages.
    #[test]
    fn repeated_messages_change_nothing(messages in vec(any_message(), 1..40)) {
        let now = Duration::from_millis(5);
        let (mut once, mut twice) = (Fixture::new(), Fixture::new());
        twice.origin = once.origin;
        for message in messages {
            once.receive(message.clone(), now);
            twice.receive(message.clone(), now);
            twice.receive(message, now);
        }
        prop_assert_eq!(once.attempts(now), twice.attempts(now));
        prop_assert!(once.exchange.members().eq(twice.exchange.members()));
    }
}
