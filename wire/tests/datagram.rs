//! Tests of the encoding of datagrams.

use std::time::Duration;

use entity::Name;
use knapweed_wire::{
    Datagram, DatagramError, Listing, ListingRangeQuery, MAX_DATAGRAM_BYTES, VersionedListing,
    listing_digest,
};
use policy::direct::exchange::message::{
    AgedCrashRow, Beat, CentreTag, Place, ReadinessRow, RequestRunRow, Scope, Summary,
};
use policy::direct::listing::ListingChange;
use policy::direct::listing::message::{ListingMessage, RangeAnswer, RangeQuery, Step};
use policy::direct::rotation::Readiness;
use policy::direct::target::{SoftwareVersion, Target, TargetState};

fn target(version: &str) -> Target {
    Target {
        name: Name::new("i-1"),
        service: Name::new("desk"),
        address: "127.0.0.1:80".parse().expect("an address"),
        centre: Name::new("north"),
        slots: 4,
        state: TargetState::Ready,
        cold: Duration::ZERO,
        born: 1,
        version: SoftwareVersion::new(version),
    }
}

fn listing(targets: Vec<Target>) -> Listing {
    Listing {
        revision: 7,
        part: 0,
        parts: 1,
        targets,
    }
}

#[test]
fn a_versioned_listing_keeps_the_versions() {
    let listing = listing(vec![target("v1"), target("v1.1")]);
    let datagram = Datagram::VersionedListing(VersionedListing::new(listing.clone()));
    let decoded = Datagram::decode(&datagram.encode());
    let Ok(Datagram::VersionedListing(decoded)) = decoded else {
        panic!("{decoded:?}");
    };
    assert_eq!(decoded.into_listing(), listing);
}

#[test]
fn a_listing_has_the_encoding_of_routers_without_versions() {
    let bytes = Datagram::Listing(listing(vec![target("v1")])).encode();
    let expected = b"\x01\x01\x07\x00\x01\x01\x03i-1\x04desk\x00\x7f\x00\x00\x01\x50\x05north\x04\x00\x00\x00\x01";
    assert_eq!(bytes, expected);
    let decoded = Datagram::decode(&bytes);
    assert_eq!(decoded, Ok(Datagram::Listing(listing(vec![target("")]))));
    assert_eq!(
        listing_digest(&[target("v1")]),
        listing_digest(&[target("v2")])
    );
}

fn beat(place: Option<Place>) -> Beat {
    Beat {
        from: "127.0.0.1:7400".parse().expect("an address"),
        life: 3,
        number: 4,
        echo: None,
        digest: 5,
        confirmed: Some(6),
        leaving: false,
        peers: Vec::new(),
        loads: Vec::new(),
        teams: Vec::new(),
        crashes: Vec::new(),
        place,
        readiness: None,
    }
}

#[test]
fn a_heartbeat_is_read_by_routers_without_relays_and_theirs_is_read_here() {
    let place = Place {
        centre: CentreTag(9),
        relay: "127.0.0.2:7400".parse().expect("an address"),
        is_settled: true,
    };
    let old = Datagram::Beat(beat(None)).encode();
    let new = Datagram::Beat(beat(Some(place))).encode();
    assert_eq!(new[..old.len()], old[..], "what follows is not read there");
    assert_eq!(Datagram::decode(&old), Ok(Datagram::Beat(beat(None))));
    assert_eq!(
        Datagram::decode(&new),
        Ok(Datagram::Beat(beat(Some(place))))
    );
    let cut = &new[..new.len() - 1];
    assert_eq!(Datagram::decode(cut), Err(DatagramError::Garbage));
}

#[test]
fn readiness_follows_what_former_versions_read() {
    let place = Place {
        centre: CentreTag(9),
        relay: "127.0.0.2:7400".parse().expect("an address"),
        is_settled: true,
    };
    let readiness = Readiness {
        is_out: true,
        is_overloaded: false,
        is_strained: true,
        requests: 200,
        carried: 300,
    };
    let former = Datagram::Beat(beat(Some(place))).encode();
    let stated = Datagram::Beat(Beat {
        readiness: Some(readiness),
        ..beat(Some(place))
    });
    let bytes = stated.encode();
    assert_eq!(bytes[..former.len()], former[..]);
    assert_eq!(Datagram::decode(&bytes), Ok(stated));
    assert_eq!(
        Datagram::decode(&bytes[..bytes.len() - 1]),
        Err(DatagramError::Garbage)
    );
    // What the former version does with the bytes after a heartbeat.
    let bare = Datagram::Beat(beat(None)).encode();
    assert_eq!(postcard::from_bytes(&bytes[bare.len()..]), Ok(place));

    let summary = |readiness| {
        Datagram::Summary(Summary {
            from: place.relay,
            life: 1,
            number: 2,
            part: 0,
            parts: 1,
            scope: Scope::Fleet,
            members: Vec::new(),
            loads: Vec::new(),
            teams: Vec::new(),
            problems: Vec::new(),
            readiness,
        })
    };
    let former = summary(Vec::new()).encode();
    let row = ReadinessRow {
        address: place.relay,
        readiness,
    };
    let stated = summary(vec![row; 3]);
    let bytes = stated.encode();
    assert_eq!(bytes[..former.len()], former[..]);
    assert_eq!(Datagram::decode(&former), Ok(summary(Vec::new())));
    assert_eq!(Datagram::decode(&bytes), Ok(stated));
}

#[test]
fn messages_about_the_listing_survive_the_encoding() {
    let change = ListingChange {
        changed: vec![target("v1")],
        removed: vec![Name::new("i-2")],
    };
    let messages = [
        ListingMessage::Step(Step {
            base: 1,
            digest: 2,
            is_last: true,
            revision: 3,
            change,
        }),
        ListingMessage::Unchanged {
            revision: 3,
            digest: 2,
        },
        ListingMessage::Query,
        ListingMessage::RangeQuery(RangeQuery {
            revision: 3,
            digests: vec![4, 5],
        }),
        ListingMessage::RangeAnswer(RangeAnswer {
            age: Duration::from_millis(6),
            revision: 3,
            digest: 2,
            count: 2,
            ranges: vec![1],
            targets: vec![target("v1")],
        }),
    ];
    for message in messages {
        let bytes = Datagram::from(message.clone()).encode();
        let decoded = Datagram::decode(&bytes).map(Datagram::into_listing_message);
        let expected = match message {
            ListingMessage::RangeAnswer(answer) => ListingMessage::RangeAnswer(RangeAnswer {
                age: Duration::from_millis(7),
                ..answer
            }),
            other => other,
        };
        assert_eq!(decoded, Ok(Some(expected)));
    }
}

#[test]
fn questions_for_ranges_come_after_all_datagrams_of_earlier_versions() {
    let query = ListingRangeQuery {
        revision: 3,
        digests: vec![4],
    };
    let bytes = Datagram::ListingRangeQuery(query).encode();
    assert_eq!(bytes, b"\x01\x0c\x03\x01\x04");
    assert_eq!(Datagram::ListingQuery.encode(), b"\x01\x0a");
}

#[test]
fn crashes_of_rejected_requests_keep_their_encoding() {
    let row = AgedCrashRow {
        request: u128::MAX - 1,
        target: 9,
        age: 40_000,
    };
    let datagram = Datagram::Crashes(vec![row; 64]);
    let bytes = datagram.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(bytes[1], 21);
    assert_eq!(Datagram::decode(&bytes), Ok(datagram));
}

#[test]
fn completed_runs_of_requests_are_the_last_variant() {
    let row = RequestRunRow {
        request: u128::MAX - 1,
        age: 40_000,
    };
    let datagram = Datagram::RequestRuns(vec![row; 64]);
    let bytes = datagram.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    // Routers of former versions know the variants before it.
    assert_eq!(bytes[1], 22);
    assert_eq!(Datagram::decode(&bytes), Ok(datagram));
}
