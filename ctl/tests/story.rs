//! `why --log`: the story of a request from collected logs.

use knapweed_ctl::story::{read, tell};

/// Lines of three routers, with time and process before each event.
const LOGS: &str = include_str!("data/edge.log");

fn story(request: &str) -> String {
    let story = tell(request, read("collected", LOGS));
    let cause = story.cause.unwrap_or_else(|| "none".to_owned());
    format!("{}\ncause: {cause}", story.lines.join("\n"))
}

#[test]
fn a_refusal_is_told_with_the_attempts_before_it() {
    insta::assert_snapshot!(story("57768108191c1273"));
}

#[test]
fn a_caller_that_left_is_told_with_the_trouble_of_its_target() {
    insta::assert_snapshot!(story("647697067317ec5a"));
}

#[test]
fn a_stream_that_broke_is_told_with_the_others_of_its_target() {
    insta::assert_snapshot!(story("f0294422af7ffe52"));
}

#[test]
fn lines_of_the_product_are_read_with_their_own_time() {
    let log = "2026-12-04T02:50:01.500Z KW1509 request-refused request=a work=1 status=503 why=full retry_ms=40\n\
               2026-12-04T02:50:01.250Z KW1506 limit-reached limit=\"a \\\"word\\\"\"\n\
               not an event\n";
    let told = read("edge-1", log);
    assert_eq!(told.len(), 2);
    assert!((told[0].seconds - told[1].seconds - 0.25).abs() < 1e-6);
    assert_eq!(told[0].process.as_str(), "edge-1");
    assert_eq!(told[1].entry.field("limit"), Some("a \"word\""));
}

#[test]
fn a_request_without_an_event_has_no_story() {
    assert!(tell("unknown", read("collected", LOGS)).lines.is_empty());
}
