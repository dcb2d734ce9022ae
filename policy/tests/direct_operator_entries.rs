//! Tests of when a router asks a peer for the operators' entries.

use std::net::{Ipv4Addr, SocketAddr};

use knapweed_policy::direct::operator_entries::{
    AskOutcome, MAX_ASK_DELAY, MIN_ASK_DELAY, NewsAction, PeerEntries,
};
use proptest::prelude::*;

const OWN: u64 = 1;
const NEWER: u64 = 2;

fn peer(number: u8) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 0, 0, number).into(), 7400)
}

#[test]
fn a_router_that_the_store_serves_reads_the_store_first() {
    let mut entries = PeerEntries::new();
    entries.record_read(true);
    assert_eq!(entries.hear(peer(1), NEWER, OWN), NewsAction::ReadStore);
    assert_eq!(entries.peer_to_ask(OWN), None);
    assert_eq!(entries.hear(peer(2), NEWER, OWN), NewsAction::None);
    // The read returned an older copy, so the digests still differ.
    entries.record_read(true);
    assert_eq!(entries.peer_to_ask(OWN), Some(peer(2)));
    assert_eq!(entries.peer_to_ask(NEWER), None, "the entries were read");
}

#[test]
fn a_router_that_the_store_does_not_serve_asks_at_once() {
    for mut entries in [PeerEntries::new(), {
        let mut served = PeerEntries::new();
        served.record_read(true);
        served.record_read(false);
        served
    }] {
        assert_eq!(entries.hear(peer(1), NEWER, OWN), NewsAction::AskPeer);
        assert_eq!(entries.peer_to_ask(OWN), Some(peer(1)));
    }
}

#[test]
fn a_peer_without_newer_entries_is_not_asked_again() {
    let mut entries = PeerEntries::new();
    entries.hear(peer(1), NEWER, OWN);
    entries.record_outcome(peer(1), AskOutcome::NotNewer);
    assert_eq!(entries.peer_to_ask(OWN), None);
    assert_eq!(entries.hear(peer(1), NEWER, OWN), NewsAction::None);
}

#[test]
fn a_peer_that_fails_is_asked_again_until_it_is_forgotten() {
    let mut entries = PeerEntries::new();
    entries.hear(peer(1), NEWER, OWN);
    let delays = (0..4).map(|_| entries.record_outcome(peer(1), AskOutcome::Failed));
    let delays: Vec<_> = delays.collect();
    assert_eq!(delays[0], MIN_ASK_DELAY);
    assert_eq!(delays[3], MAX_ASK_DELAY);
    assert_eq!(entries.peer_to_ask(OWN), Some(peer(1)));
    entries.forget(peer(1));
    assert_eq!(entries.peer_to_ask(OWN), None);
    assert_eq!(entries.hear(peer(2), NEWER, OWN), NewsAction::AskPeer);
}

proptest! {
    #[test]
    fn only_a_peer_with_another_digest_is_asked(
        steps in prop::collection::vec((0_u8..5, 0_u64..4, 0_u8..4), 1..60),
    ) {
        let mut entries = PeerEntries::new();
        let mut heard = [None; 4];
        for (step, digest, number) in steps {
            match step {
                0 | 1 => {
                    entries.hear(peer(number), digest, OWN);
                    heard[usize::from(number)] = Some(digest);
                }
                2 => entries.record_read(digest % 2 == 0),
                3 => {
                    entries.record_outcome(peer(number), AskOutcome::Failed);
                }
                _ => {
                    entries.record_outcome(peer(number), AskOutcome::NotNewer);
                }
            }
            if let Some(asked) = entries.peer_to_ask(OWN) {
                let index = (0..4_u8).find(|&it| peer(it) == asked).expect("a known peer");
                prop_assert!(heard[usize::from(index)].is_some_and(|it| it != OWN));
            }
        }
    }
}
