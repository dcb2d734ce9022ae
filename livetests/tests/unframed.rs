//! Responses whose end is not marked, or is marked in the wrong place, through an edge router.

use knapweed_livetests::edge::{EdgeFleet, body_of, is_framed, looks_complete, status_of};
use standins::platform::RawResponse;

/// The number of events of a complete stream.
const EVENTS: usize = 10;

/// Returns the text of the events 1 to `last`.
fn events(last: usize) -> String {
    (1..=last)
        .map(|id| format!("id: {id}\ndata: token {id}\n\n"))
        .collect()
}

fn body(response: &RawResponse) -> String {
    body_of(&response.text)
}

#[actix_rt::test]
async fn unframed_stream_that_ends_inside_an_event_does_not_look_complete() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("torn", 1, 2).await?;
    let response = fleet.receive("POST", "/stream/torn-4", "t").await?;
    assert!(!looks_complete(&response), "{response:?}");
    assert_eq!(body(&response), events(3));
    assert_eq!(fleet.arrivals("t").len(), 1);
    Ok(())
}

#[actix_rt::test]
async fn unframed_stream_that_ends_inside_an_event_is_resumed() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("torn-resume", 1, 2).await?;
    let response = fleet.receive("GET", "/resume/torn-4", "t").await?;
    assert!(looks_complete(&response), "{response:?}");
    assert_eq!(body(&response), events(EVENTS));
    assert_eq!(fleet.arrivals("t").len(), 2);
    Ok(())
}

#[actix_rt::test]
async fn stream_with_a_final_chunk_inside_an_event_does_not_look_complete() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("half", 1, 2).await?;
    let response = fleet.receive("POST", "/stream/half-4", "h").await?;
    assert!(!looks_complete(&response), "{response:?}");
    assert_eq!(body(&response), events(3));
    let response = fleet.receive("GET", "/resume/half-4", "r").await?;
    assert!(looks_complete(&response), "{response:?}");
    assert_eq!(body(&response), events(EVENTS));
    Ok(())
}

#[actix_rt::test]
async fn unframed_stream_that_is_reset_after_an_event_does_not_look_complete() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("lost", 1, 2).await?;
    let response = fleet.receive("POST", "/stream/lost-4", "l").await?;
    assert!(!looks_complete(&response), "{response:?}");
    assert_eq!(body(&response), events(4));
    Ok(())
}

#[actix_rt::test]
async fn end_of_an_unframed_response_is_not_marked_as_complete() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("until-close", 1, 1).await?;
    for (method, path, expected) in [
        ("GET", "/safe/unframed", "answer to u".to_owned()),
        ("POST", "/once/unframed", "answer to u".to_owned()),
        ("POST", "/stream/eof-4", events(4)),
        ("GET", "/resume/eof-4", events(4)),
    ] {
        let response = fleet.receive(method, path, "u").await?;
        assert_eq!(status_of(&response.text), 200, "{path}: {response:?}");
        assert_eq!(body(&response), expected, "{path}: {response:?}");
        assert!(!response.is_reset, "{path}: {response:?}");
        assert!(!is_framed(&response), "{path}: {response:?}");
    }
    Ok(())
}

#[actix_rt::test]
async fn framed_stream_with_an_unframed_rest_does_not_look_complete() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("mixed", 1, 2).await?;
    let response = fleet.receive("GET", "/resume/mixed-4", "m").await?;
    assert!(!looks_complete(&response), "{response:?}");
    assert_eq!(body(&response), events(EVENTS));
    assert_eq!(fleet.arrivals("m").len(), 2);
    Ok(())
}

#[actix_rt::test]
async fn stream_broken_in_an_event_that_was_partly_forwarded_is_not_resumed() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("huge", 1, 2).await?;
    let response = fleet.receive("GET", "/resume/huge-4", "h").await?;
    assert!(!looks_complete(&response));
    let body = body(&response);
    assert!(body.starts_with(&format!("{}id: 4\ndata: xxx", events(3))));
    assert!(!body.contains("id: 5"));
    assert_eq!(fleet.arrivals("h").len(), 1);
    Ok(())
}

#[actix_rt::test]
async fn broken_response_without_events_on_a_stream_route_is_not_resumed() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("no-events", 1, 2).await?;
    let response = fleet.receive("GET", "/resume/cut-json", "j").await?;
    assert!(!looks_complete(&response), "{response:?}");
    assert_eq!(fleet.arrivals("j").len(), 1);
    Ok(())
}

#[actix_rt::test]
async fn stream_does_not_go_on_with_a_response_without_events() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("swap", 1, 2).await?;
    let response = fleet.receive("GET", "/resume/swap-4", "s").await?;
    assert!(!looks_complete(&response), "{response:?}");
    assert_eq!(body(&response), events(3));
    Ok(())
}
