//! `why --log`: the timeline of a request from collected logs.

use knapweed_ctl::timeline::{build_timeline, parse_log};

/// Lines of three routers, with time and process before each event.
const LOGS: &str = include_str!("data/edge.log");

fn timeline(request: &str) -> String {
    let timeline = build_timeline(request, parse_log("collected", LOGS));
    let cause = timeline.cause.unwrap_or_else(|| "none".to_owned());
    format!("{}\ncause: {cause}", timeline.lines.join("\n"))
}

#[test]
fn a_refusal_is_shown_with_the_preceding_attempts() {
    insta::assert_snapshot!(timeline("57768108191c1273"));
}

#[test]
fn a_caller_disconnect_is_shown_with_failures_of_its_target() {
    insta::assert_snapshot!(timeline("647697067317ec5a"));
}

#[test]
fn a_broken_stream_is_shown_with_other_failures_of_its_target() {
    insta::assert_snapshot!(timeline("f0294422af7ffe52"));
}

#[test]
fn timestamped_log_lines_are_parsed() {
    let log = "2026-12-04T02:50:01.500Z KW1509 request-refused request=a work=1 status=503 why=full retry_ms=40\n\
               2026-12-04T02:50:01.250Z KW1506 limit-reached limit=\"a \\\"word\\\"\"\n\
               not an event\n";
    let events = parse_log("edge-1", log);
    assert_eq!(events.len(), 2);
    assert!((events[0].seconds - events[1].seconds - 0.25).abs() < 1e-6);
    assert_eq!(events[0].process.as_str(), "edge-1");
    assert_eq!(events[1].entry.field("limit"), Some("a \"word\""));
}

#[test]
fn a_request_without_events_has_an_empty_timeline() {
    assert!(
        build_timeline("unknown", parse_log("collected", LOGS))
            .lines
            .is_empty()
    );
}
