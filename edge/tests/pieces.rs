//! Tests of single components of the edge router.

use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use knapweed_edge::events::{EventSplitter, PartialEvent};
use knapweed_edge::latest::LatestSnapshot;
use proptest::prelude::*;

/// Enough rounds for an allocator to reuse a freed address.
const ROUNDS: usize = 1_000;

#[test]
fn a_new_snapshot_at_a_reused_address_is_detected() {
    let source = ArcSwap::from_pointee(0);
    let latest = LatestSnapshot::default();
    for round in 1..ROUNDS {
        latest.take_if_new(&source);
        source.store(Arc::new(round * 2));
        source.store(Arc::new(round * 2 + 1));
        assert_eq!(
            latest.take_if_new(&source).as_deref(),
            Some(&(round * 2 + 1))
        );
        assert_eq!(latest.take_if_new(&source), None);
    }
}

fn stream(count: usize) -> String {
    (1..=count)
        .map(|number| format!("id: {number}\ndata: token {number}\n\n"))
        .collect()
}

proptest! {
    #[test]
    fn events_are_released_whole_for_any_split_of_the_stream(
        count in 1_usize..8,
        split_points in proptest::collection::vec(0_usize..200, 0..12),
        end_at in 0_usize..200,
    ) {
        let text = stream(count);
        let end = end_at.min(text.len());
        let mut split_points: Vec<usize> = split_points
            .into_iter()
            .map(|point| point.min(end))
            .collect();
        split_points.extend([0, end]);
        split_points.sort_unstable();
        let mut events = EventSplitter::resume_after(None);
        let mut released = Vec::new();
        for pair in split_points.windows(2) {
            let piece = Bytes::copy_from_slice(&text.as_bytes()[pair[0]..pair[1]]);
            released.extend_from_slice(&events.push(piece));
        }
        let released = String::from_utf8(released).expect("text");
        let last_id = events.last_id().unwrap_or(0) as usize;
        prop_assert_eq!(&released, &stream(last_id));
        let expected = match end - released.len() {
            0 => Ok(Bytes::new()),
            bytes => Err(PartialEvent { bytes }),
        };
        prop_assert_eq!(events.finish(), expected);
        prop_assert_eq!(events.finish(), Ok(Bytes::new()));
    }
}

proptest! {
    #[test]
    fn an_oversized_event_is_released_unchanged_and_bars_resumption_until_its_end(
        size in 60_000_usize..200_000,
        split_points in proptest::collection::vec(0_usize..200_100, 0..40),
        is_complete in any::<bool>(),
    ) {
        let end = if is_complete { "\r\n\r\n" } else { "\r\n\r" };
        let text = format!("id: 1\ndata: a\n\nid: 2\r\ndata: {}{end}", "x".repeat(size));
        let mut split_points: Vec<usize> = split_points
            .into_iter()
            .map(|point| point.min(text.len()))
            .collect();
        split_points.extend([0, text.len()]);
        split_points.sort_unstable();
        let mut events = EventSplitter::resume_after(None);
        let mut released = Vec::new();
        for pair in split_points.windows(2) {
            let piece = Bytes::copy_from_slice(&text.as_bytes()[pair[0]..pair[1]]);
            released.extend_from_slice(&events.push(piece));
            let boundaries = [0, stream_start().len(), text.len()];
            let is_boundary = is_complete && boundaries.contains(&released.len())
                || boundaries[..2].contains(&released.len());
            prop_assert_eq!(events.is_resumable(), is_boundary);
        }
        prop_assert!(text.as_bytes().starts_with(&released));
        let incomplete = text.len() - stream_start().len();
        let (id, expected) = match is_complete {
            true => (2, Ok(Bytes::new())),
            false => (1, Err(PartialEvent { bytes: incomplete })),
        };
        prop_assert_eq!(events.last_id(), Some(id));
        prop_assert_eq!(events.finish(), expected);
    }
}

/// The event before the oversized one.
fn stream_start() -> &'static str {
    "id: 1\ndata: a\n\n"
}

#[test]
fn a_resumed_stream_continues_after_the_last_event_id() {
    let mut events = EventSplitter::resume_after(Some(7));
    assert_eq!(events.last_id(), Some(7));
    events.push(Bytes::from_static(b"data: without an id\n\n"));
    assert_eq!(events.last_id(), Some(7));
    events.push(Bytes::from_static(b"id: 8\r\ndata: x\r\n\r\nid: 9\r\nda"));
    assert_eq!(events.last_id(), Some(8));
    events.discard_partial();
    assert_eq!(events.finish(), Ok(Bytes::new()));
}

#[test]
fn comments_and_blank_lines_after_the_last_event_are_no_partial_event() {
    for rest in ["\n", ": ping\n", ":\r\n\n: a\n"] {
        let mut events = EventSplitter::resume_after(None);
        let text = format!("id: 1\ndata: x\n\n{rest}");
        let mut released = events.push(Bytes::from(text.clone())).to_vec();
        released.extend_from_slice(&events.finish().expect("no partial event"));
        assert_eq!(released, text.as_bytes());
    }
    for rest in [": pin", "id: 2\n", ": ping\ndata: y\n"] {
        let mut events = EventSplitter::resume_after(None);
        events.push(Bytes::from(format!("id: 1\ndata: x\n\n{rest}")));
        assert_eq!(events.finish(), Err(PartialEvent { bytes: rest.len() }));
    }
}
