//! Tests of the versions at which streams began.

use std::time::{Duration, Instant};

use entity::Name;
use knapweed_policy::direct::stream_origin::{
    HOLDERS, MAX_ORIGINS, MAX_STREAM_AGE, ORIGIN_TTL, Origin, SETTLED_AGE, StreamId, StreamOrigins,
    VersionSighting, holders,
};
use knapweed_policy::direct::target::{SoftwareVersion, VersionTag};
use proptest::prelude::*;

fn version(text: &str) -> VersionTag {
    SoftwareVersion::new(text).tag()
}

fn service() -> Name {
    Name::new("pool")
}

/// Lets a router see settled targets of these versions.
fn observe(origins: &mut StreamOrigins, versions: &[&str], now: Instant) {
    let targets: Vec<_> = versions.iter().map(|&text| (text, true)).collect();
    observe_targets(origins, &targets, now);
}

/// Lets a router see targets of these versions, which are settled or new.
fn observe_targets(origins: &mut StreamOrigins, targets: &[(&str, bool)], now: Instant) {
    let age = |is_settled| {
        if is_settled {
            SETTLED_AGE
        } else {
            Duration::ZERO
        }
    };
    let targets = targets
        .iter()
        .map(|&(text, is_settled)| (text, age(is_settled)));
    observe_ages(origins, &targets.collect::<Vec<_>>(), now);
}

/// Lets a router see targets of these versions and ages.
fn observe_ages(origins: &mut StreamOrigins, targets: &[(&str, Duration)], now: Instant) {
    let service = service();
    let targets = targets.iter().map(|&(text, age)| VersionSighting {
        service: &service,
        version: version(text),
        age,
    });
    origins.observe_versions(targets, now);
}

/// A stream of which nothing was recorded.
const UNRECORDED: Option<StreamId> = Some(StreamId(1));

#[test]
fn an_unrecorded_stream_has_the_only_version_of_its_service() {
    let mut origins = StreamOrigins::default();
    let now = Instant::now();
    let origin = |origins: &StreamOrigins, is_current, now| {
        origins.origin(UNRECORDED, &service(), is_current, now)
    };
    assert_eq!(origin(&origins, true, now), Origin::Unknown);
    observe(&mut origins, &["v1", "v1"], now);
    assert_eq!(origin(&origins, true, now), Origin::Single(version("v1")));
    // Without a recent reading, another version may have appeared.
    assert_eq!(origin(&origins, false, now), Origin::Unknown);
    observe(&mut origins, &["v1", "v2"], now);
    assert_eq!(origin(&origins, true, now), Origin::Unknown);
    // A stream may have begun at a version that is gone.
    observe(&mut origins, &["v2"], now);
    let later = now + ORIGIN_TTL - Duration::from_millis(1);
    assert_eq!(origin(&origins, true, later), Origin::Unknown);
    let later = now + ORIGIN_TTL;
    assert_eq!(origin(&origins, true, later), Origin::Single(version("v2")));
}

#[test]
fn a_router_that_has_just_started_infers_no_version_from_new_targets() {
    let now = Instant::now();
    let origin = |origins: &StreamOrigins, now| origins.origin(UNRECORDED, &service(), true, now);
    let mut origins = StreamOrigins::default();
    let targets = [("v2", false), ("v2", false), ("v2", true)];
    observe_targets(&mut origins, &targets, now);
    let later = now + ORIGIN_TTL - Duration::from_millis(1);
    assert_eq!(origin(&origins, later), Origin::Unknown);
    assert!(origins.single_versions(later).is_empty());
    let later = now + ORIGIN_TTL;
    assert_eq!(origin(&origins, later), Origin::Single(version("v2")));
    // Few targets that crashed and came back do not hide the others.
    let mut origins = StreamOrigins::default();
    observe_targets(&mut origins, &[("v2", true), ("v2", false)], now);
    assert_eq!(origin(&origins, now), Origin::Single(version("v2")));
}

#[test]
fn a_router_that_has_watched_for_longer_vouches_for_the_single_version() {
    let now = Instant::now();
    let origin = |origins: &StreamOrigins, now| origins.origin(UNRECORDED, &service(), true, now);
    let mut watching = StreamOrigins::default();
    observe(&mut watching, &["v1"], now);
    let single = watching.single_versions(now);
    assert_eq!(single.len(), 1);
    for (seen, expected) in [
        (["v1"].as_slice(), Origin::Single(version("v1"))),
        (&["v2"], Origin::Unknown),
        (&["v1", "v2"], Origin::Unknown),
    ] {
        let mut started = StreamOrigins::default();
        let targets: Vec<_> = seen.iter().map(|&text| (text, false)).collect();
        observe_targets(&mut started, &targets, now);
        assert_eq!(origin(&started, now), Origin::Unknown);
        started.record_single(&single);
        assert_eq!(origin(&started, now), expected, "{seen:?}");
    }
}

#[test]
fn a_recorded_stream_keeps_its_version_until_the_record_expires() {
    let mut origins = StreamOrigins::default();
    let now = Instant::now();
    observe(&mut origins, &["v1", "v2"], now);
    let stream = StreamId::of_attempt("9c41");
    origins.record(stream, version("v1"), now);
    let origin = |at| origins.origin(Some(stream), &service(), false, at);
    assert_eq!(origin(now), Origin::Recorded(version("v1")));
    assert_eq!(origin(now + ORIGIN_TTL), Origin::Unknown);
}

#[test]
fn the_number_of_records_is_bounded() {
    let mut origins = StreamOrigins::default();
    let now = Instant::now();
    observe(&mut origins, &["v1", "v2"], now);
    for number in 0..=MAX_ORIGINS as u64 {
        origins.record_begun(StreamId(number), version("v1"), now);
    }
    assert_eq!(origins.recorded(StreamId(0), now), None);
    assert_eq!(origins.recorded(StreamId(1), now), Some(version("v1")));
    assert_eq!(origins.take_unsent(now).len(), MAX_ORIGINS);
}

#[test]
fn streams_are_sent_to_holders_only_while_there_are_several_versions() {
    let mut origins = StreamOrigins::default();
    let now = Instant::now();
    observe(&mut origins, &["v1"], now);
    origins.record_begun(StreamId(1), version("v1"), now);
    assert!(origins.take_unsent(now).is_empty());
    // What began before the second version appeared is sent then.
    let later = now + Duration::from_secs(1);
    observe(&mut origins, &["v1", "v2"], later);
    origins.record_begun(StreamId(2), version("v2"), later);
    let expected = vec![(StreamId(1), version("v1")), (StreamId(2), version("v2"))];
    assert_eq!(origins.take_unsent(later), expected);
    assert!(origins.take_unsent(later).is_empty());
}

proptest! {
    #[test]
    fn a_router_that_asks_reaches_a_holder_after_two_others_have_failed(
        stream in any::<u64>(),
        count in 5_u64..40,
        failed in any::<(prop::sample::Index, prop::sample::Index)>(),
    ) {
        let stream = StreamId(stream);
        let view = |own: u64, failed: &[u64]| -> Vec<(u64, bool)> {
            let others = (0..count).filter(|&member| member != own);
            others.map(|member| (member, !failed.contains(&member))).collect()
        };
        let tags = |members: &[(u64, bool)]| -> Vec<u64> {
            let holders = holders(stream, members);
            holders.into_iter().map(|index| members[index].0).collect()
        };
        // Router 0 began the stream; its caller takes it up at router 1.
        let held_by = tags(&view(0, &[]));
        prop_assert_eq!(held_by.len(), HOLDERS);
        let failed = [failed.0, failed.1].map(|index| index.index(count as usize) as u64);
        let failed: Vec<u64> = failed.into_iter().filter(|&member| member != 1).collect();
        let asked = tags(&view(1, &failed));
        let mut live = held_by.iter().filter(|member| !failed.contains(member));
        prop_assert!(live.any(|member| *member == 1 || asked.contains(member)));
    }
}

#[test]
fn targets_of_two_versions_that_keep_a_part_tell_no_version() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    for (part, text) in [(1, "v1"), (1, "v1"), (2, "v1"), (2, "v2"), (2, "v1")] {
        origins.record_holder(part, version(text), now);
    }
    let kept = |part, now| origins.version_of_holders(part, now);
    assert_eq!(kept(1, now), Origin::Kept(version("v1")));
    assert_eq!(kept(2, now), Origin::Ambiguous);
    assert_eq!(kept(3, now), Origin::Unknown);
    let later = now + Duration::from_secs(1);
    assert_eq!(
        kept(1, later),
        Origin::Unknown,
        "targets evict what they keep"
    );
    origins.record_holder(2, version("v2"), later);
    assert_eq!(
        origins.version_of_holders(2, later),
        Origin::Kept(version("v2"))
    );
}

/// The time after which four routers have asked five targets what they keep.
const ASKED_TIME: Duration = Duration::from_millis(1_000);

#[test]
fn a_stream_that_no_target_keeps_began_at_the_only_version_old_enough_to_have_lost_targets() {
    let start = Instant::now();
    let mut origins = StreamOrigins::default();
    let old = MAX_STREAM_AGE;
    let targets = [("v1", old), ("v2", Duration::ZERO), ("v2", Duration::ZERO)];
    observe_ages(&mut origins, &targets, start);
    let departed = |origins: &StreamOrigins, now| origins.version_of_departed(&service(), 4, now);
    let before = start + ASKED_TIME - Duration::from_millis(251);
    assert_eq!(departed(&origins, before), Origin::Unknown);
    let asked = start + ASKED_TIME;
    assert_eq!(
        departed(&origins, asked),
        Origin::Established(version("v1"))
    );
    // Both versions have served for as long as a stream can last.
    assert_eq!(departed(&origins, start + MAX_STREAM_AGE), Origin::Unknown);
    // A stream may have begun before the only version appeared.
    let mut origins = StreamOrigins::default();
    let young = MAX_STREAM_AGE - ASKED_TIME - Duration::from_millis(1);
    observe_ages(&mut origins, &[("v1", young), ("v1", young)], start);
    assert_eq!(departed(&origins, asked), Origin::Unknown);
}
