//! Tests of the differences between listings, and of their exchange.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entity::Name;
use knapweed_policy::direct::listing::exchange::{ListingExchange, TARGETS_PER_MESSAGE};
use knapweed_policy::direct::listing::message::{
    Adopted, ListingMessage, RangeAnswer, RangeQuery, Update,
};
use knapweed_policy::direct::listing::{ListingChange, sort_listing};
use knapweed_policy::direct::target::{SoftwareVersion, Target, TargetState};
use proptest::collection::vec;
use proptest::prelude::*;

fn target((name, born, slots, is_ready): (u8, u64, u32, bool)) -> Target {
    Target {
        name: Name::new(&format!("i-{name}")),
        service: Name::new("pool"),
        address: SocketAddr::from(([10, 0, 0, name], 80)),
        centre: Name::new("north"),
        slots,
        state: match is_ready {
            true => TargetState::Ready,
            false => TargetState::Leaving,
        },
        cold: Duration::ZERO,
        born,
        version: SoftwareVersion::default(),
    }
}

/// Listings with some names in common; a name may occur twice, as in a faulty store.
fn listing() -> impl Strategy<Value = Vec<Target>> {
    vec((0..20_u8, 0..3_u64, 1..3_u32, any::<bool>()), 0..24).prop_map(|rows| {
        let mut targets: Vec<Target> = rows.into_iter().map(target).collect();
        sort_listing(&mut targets);
        targets
    })
}

/// The time between two readings.
const READING_INTERVAL: Duration = Duration::from_millis(1_800);

/// The time after which a router asks for what it lacks.
const PATIENCE: Duration = Duration::from_millis(100);

const READER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
const RELAY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 2);
const ROUTER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 3);

fn digest(targets: &[Target]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&postcard::to_stdvec(targets).expect("targets encode"))
}

/// A router that read a listing.
fn router(targets: &[Target], revision: u64, at: Instant) -> ListingExchange {
    let mut router = ListingExchange::new(digest, at);
    let adopted = Adopted {
        targets: targets.to_vec(),
        revision,
        age: Duration::ZERO,
    };
    router.adopt(&adopted, at);
    router
}

/// Lets a router receive a message; returns what it sends.
fn receive(
    router: &mut ListingExchange,
    message: ListingMessage,
    from: SocketAddr,
    now: Instant,
) -> Vec<(SocketAddr, ListingMessage)> {
    let received = router.receive(message, from, now);
    if let Some(adopted) = received.adopted {
        router.adopt(&adopted, now);
    }
    received.sent
}

fn many(count: u32, born: u64) -> Vec<Target> {
    let mut targets: Vec<Target> = (0..count)
        .map(|number| Target {
            name: Name::new(&format!("j-{number}")),
            ..target((0, born, 1, true))
        })
        .collect();
    sort_listing(&mut targets);
    targets
}

/// The steps of a change that fits no single message.
fn steps(old: &[Target], new: &[Target]) -> Vec<ListingMessage> {
    let change = Update::Change {
        revision: 2,
        old: old.to_vec(),
        new: new.to_vec(),
    };
    let steps = ListingExchange::new(digest, Instant::now()).messages(change);
    assert!(steps.len() > 2, "{} steps", steps.len());
    steps
}

#[test]
fn a_change_of_which_a_step_was_lost_is_no_reading_and_only_what_lacks_is_sent() {
    let start = Instant::now();
    let (old, new) = (many(400, 1), many(400, 2));
    let mut lagging = router(&old, 1, start);
    let now = start + READING_INTERVAL;
    let mut relay = router(&new, 2, now);
    let mut steps = steps(&old, &new);
    steps.remove(2);
    for step in steps {
        assert_eq!(receive(&mut lagging, step, READER, now), []);
    }
    assert_eq!(lagging.targets(), old);
    assert_eq!(lagging.age(now), Some(READING_INTERVAL));
    assert_eq!(
        lagging.ask_for_rest(Some(RELAY), now),
        None,
        "it may be late"
    );

    let now = now + PATIENCE;
    let (to, question) = lagging.ask_for_rest(Some(RELAY), now).expect("a question");
    assert_eq!(to, RELAY);
    let answers = receive(&mut relay, question, ROUTER, now);
    let targets = |(_, message): &(SocketAddr, ListingMessage)| match message {
        ListingMessage::RangeAnswer(answer) => answer.targets.len(),
        other => panic!("{other:?}"),
    };
    let sent: usize = answers.iter().map(targets).sum();
    // The first and the last range of the lost step have others' targets, too.
    assert!(sent < 2 * TARGETS_PER_MESSAGE, "{sent} targets");
    for (_, answer) in answers {
        receive(&mut lagging, answer, RELAY, now);
    }
    assert_eq!(lagging.targets(), new);
    assert_eq!(lagging.age(now), Some(PATIENCE), "as old as the relay's");
    assert_eq!(
        lagging.ask_for_rest(Some(RELAY), now + READING_INTERVAL),
        None
    );
}

#[test]
fn a_router_of_an_earlier_version_is_asked_for_the_whole_listing() {
    let start = Instant::now();
    let (old, new) = (many(400, 1), many(400, 2));
    let mut lagging = router(&old, 1, start);
    let mut reader = router(&new, 2, start + READING_INTERVAL);
    let last = steps(&old, &new).pop().expect("a step");
    receive(&mut lagging, last, READER, start + READING_INTERVAL);
    let mut asked = 0;
    let mut now = start + READING_INTERVAL;
    while lagging.targets() != new {
        now += 3 * PATIENCE;
        let (to, question) = lagging.ask_for_rest(Some(RELAY), now).expect("a question");
        asked += 1;
        assert!(asked < 5, "questions");
        if to != READER || question != ListingMessage::Query {
            continue;
        }
        for (_, answer) in receive(&mut reader, question, ROUTER, now) {
            receive(&mut lagging, answer, READER, now);
        }
    }
}

#[test]
fn only_the_first_in_rank_tell_all_of_a_change_that_fits_no_message() {
    let start = Instant::now();
    let (old, new) = (many(400, 1), many(400, 2));
    for rank in 0..4 {
        let (_, update) = router(&old, 1, start).read(new.clone(), 2, rank);
        assert_eq!(matches!(update, Update::Change { .. }), rank < 2, "{rank}");
        let mut few = old.clone();
        few.truncate(390);
        let (_, update) = router(&old, 1, start).read(few, 2, rank);
        assert!(matches!(update, Update::Change { .. }), "{rank}");
    }
}

#[test]
fn ranges_that_are_no_power_of_two_are_refused() {
    let start = Instant::now();
    let targets = many(400, 1);
    for count in [0, 3, 2_048] {
        let mut asked = router(&targets, 2, start);
        let answer = RangeAnswer {
            age: Duration::ZERO,
            revision: 3,
            digest: 0,
            count,
            ranges: vec![0],
            targets: Vec::new(),
        };
        let message = ListingMessage::RangeAnswer(answer);
        assert!(asked.receive(message, RELAY, start).is_malformed);
        let query = RangeQuery {
            revision: 0,
            digests: vec![0; count.into()],
        };
        let sent = receive(&mut asked, ListingMessage::RangeQuery(query), ROUTER, start);
        assert_eq!(sent.is_empty(), count != 0, "{count}");
    }
}

proptest! {
    #[test]
    fn steps_in_any_order_lead_to_the_listing(
        (old, new) in (100..400_u32, 100..400_u32),
        order in Just((0..16_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let start = Instant::now();
        let (old, new) = (many(old, 1), many(new, 2));
        let change = Update::Change { revision: 2, old: old.clone(), new: new.clone() };
        let steps = router(&old, 1, start).messages(change);
        let mut other = router(&old, 1, start);
        let order: Vec<usize> = order.into_iter().filter(|&it| it < steps.len()).collect();
        for (received, &step) in order.iter().enumerate() {
            prop_assert_eq!(other.targets(), old.as_slice(), "after {} steps", received);
            let now = start + READING_INTERVAL;
            receive(&mut other, steps[step].clone(), READER, now);
        }
        prop_assert_eq!(other.targets(), new);
    }

    #[test]
    fn one_question_leads_from_any_listing_to_another(old in listing(), new in listing()) {
        let start = Instant::now();
        let mut lagging = router(&old, 1, start);
        let now = start + READING_INTERVAL;
        let mut relay = router(&new, 2, now);
        let notice = ListingMessage::Unchanged { revision: 2, digest: digest(&new) };
        receive(&mut lagging, notice, READER, now);
        let now = now + PATIENCE;
        if let Some((_, question)) = lagging.ask_for_rest(Some(RELAY), now) {
            for (_, answer) in receive(&mut relay, question, ROUTER, now) {
                receive(&mut lagging, answer, RELAY, now);
            }
        }
        prop_assert_eq!(lagging.targets(), new);
    }

    #[test]
    fn a_change_leads_from_one_listing_to_the_other(old in listing(), new in listing()) {
        let change = ListingChange::between(&old, &new);
        prop_assert_eq!(change.apply(&old), new);
    }

    #[test]
    fn a_change_applied_twice_changes_nothing_more(old in listing(), new in listing()) {
        let change = ListingChange::between(&old, &new);
        prop_assert_eq!(change.apply(&change.apply(&old)), new);
    }

    #[test]
    fn steps_lead_to_the_same_listing(old in listing(), new in listing(), limit in 1..9_usize) {
        let change = ListingChange::between(&old, &new);
        let size = change.changed.len() + change.removed.len();
        let steps = change.into_steps(limit);
        prop_assert_eq!(steps.len(), size.div_ceil(limit).max(1));
        let reached = steps.iter().fold(old, |listing, step| step.apply(&listing));
        prop_assert_eq!(reached, new);
    }

    #[test]
    fn equal_listings_differ_in_nothing(listing in listing()) {
        let change = ListingChange::between(&listing, &listing);
        prop_assert_eq!(change, ListingChange::default());
    }
}
