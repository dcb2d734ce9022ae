//! Small parts of the edge router by themselves.

use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use knapweed_edge::events::Events;
use knapweed_edge::latest::Latest;
use proptest::prelude::*;

/// Rounds in which an allocator would give a freed address out again.
const ROUNDS: usize = 1_000;

#[test]
fn a_new_snapshot_at_the_address_of_an_old_one_is_taken() {
    let source = ArcSwap::from_pointee(0);
    let latest = Latest::default();
    for round in 1..ROUNDS {
        latest.take(&source);
        source.store(Arc::new(round * 2));
        source.store(Arc::new(round * 2 + 1));
        assert_eq!(latest.take(&source).as_deref(), Some(&(round * 2 + 1)));
        assert_eq!(latest.take(&source), None);
    }
}

fn stream(count: usize) -> String {
    (1..=count)
        .map(|number| format!("id: {number}\ndata: token {number}\n\n"))
        .collect()
}

proptest! {
    #[test]
    fn events_are_handed_on_whole_however_their_bytes_come(
        count in 1_usize..8,
        cuts in proptest::collection::vec(0_usize..200, 0..12),
        cut_at in 0_usize..200,
    ) {
        let text = stream(count);
        let end = cut_at.min(text.len());
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(end)).collect();
        cuts.extend([0, end]);
        cuts.sort_unstable();
        let mut events = Events::after(None);
        let mut handed = Vec::new();
        for pair in cuts.windows(2) {
            let piece = Bytes::copy_from_slice(&text.as_bytes()[pair[0]..pair[1]]);
            handed.extend_from_slice(&events.push(piece));
        }
        let handed = String::from_utf8(handed).expect("text");
        let whole = events.last().unwrap_or(0) as usize;
        prop_assert_eq!(&handed, &stream(whole));
        let rest = String::from_utf8(events.finish().to_vec()).expect("text");
        prop_assert_eq!(handed + &rest, &text[..end]);
    }
}

#[test]
fn a_stream_goes_on_after_the_event_that_the_caller_has() {
    let mut events = Events::after(Some(7));
    assert_eq!(events.last(), Some(7));
    events.push(Bytes::from_static(b"data: without an id\n\n"));
    assert_eq!(events.last(), Some(7));
    events.push(Bytes::from_static(b"id: 8\r\ndata: x\r\n\r\nid: 9\r\nda"));
    assert_eq!(events.last(), Some(8));
    events.forget_rest();
    assert!(events.finish().is_empty());
}
