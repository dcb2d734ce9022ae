//! Tests of the load generator: answer checks, schedules, samples and promises.

use std::time::Duration;

use insta::{assert_debug_snapshot, assert_snapshot};
use knapweed_standins::counts::Runs;
use knapweed_standins::engine::AnswerText;
use knapweed_standins::load::check::{AnswerDefect, RefusalBody, StreamReader, check_receipt};
use knapweed_standins::load::client::{AttemptOutcome, parse_refusal};
use knapweed_standins::load::gap::{GapTracker, Sample};
use knapweed_standins::load::mix::Mix;
use knapweed_standins::load::observe::{
    Observation, TargetKind, TargetRuns, TargetSpec, control_bytes,
};
use knapweed_standins::load::promise::{CheckInput, Outage, check};
use knapweed_standins::load::schedule::{Bounds, plan};
use knapweed_standins::load::stats::LoadStats;

fn chunk(text: &str, digest: Option<String>) -> String {
    let digest = digest
        .map(|d| format!(r#","x_digest":"{d}""#))
        .unwrap_or_default();
    format!(
        "data: {{\"id\":\"r\",\"object\":\"o\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]{digest}}}\n\n"
    )
}

fn stream(answer_text: AnswerText) -> String {
    let last = answer_text.length() - 1;
    let chunks: String = (0..=last)
        .map(|n| {
            chunk(
                &answer_text.token(n),
                (n == last).then(|| answer_text.digest()),
            )
        })
        .collect();
    chunks + "data: [DONE]\n\n"
}

fn finish(body: &str, answer_text: AnswerText) -> Result<(), AnswerDefect> {
    let mut reader = StreamReader::default();
    for piece in body.as_bytes().chunks(7) {
        reader.feed(piece);
    }
    reader.finish(answer_text)
}

#[test]
fn a_stream_must_be_complete_and_match_its_request() {
    let answer_text = AnswerText::new(b"mine", 9);
    let other = AnswerText::new(b"other", 9);
    let body = stream(answer_text);
    assert_eq!(finish(&body, answer_text), Ok(()));
    assert_eq!(finish(&body, other), Err(AnswerDefect::Foreign));
    let end = body.find("data: [DONE]").expect("it ends");
    assert_eq!(finish(&body[..end], answer_text), Err(AnswerDefect::Cut));
    assert_eq!(
        finish("data: [DONE]\n\n", answer_text),
        Err(AnswerDefect::Cut)
    );
    assert_eq!(
        finish("nonsense\n", answer_text),
        Err(AnswerDefect::Malformed)
    );
}

#[test]
fn a_receipt_must_match_its_request_and_report_the_first_run() {
    let receipt =
        |run| format!(r#"{{"service":"s","call":"POST /b","key":"k","run":{run},"digest":"d"}}"#);
    let check =
        |run, key, digest| check_receipt(receipt(run).as_bytes(), "POST /b", Some(key), digest);
    assert_eq!(check(1, "k", "d"), Ok(()));
    assert_eq!(check(1, "other", "d"), Err(AnswerDefect::Foreign));
    assert_eq!(check(1, "k", "other"), Err(AnswerDefect::Foreign));
    assert_eq!(check(2, "k", "d"), Err(AnswerDefect::Doubled));
}

#[test]
fn refusals_are_distinguished_from_target_errors() {
    let body = |outcome| format!(r#"{{"outcome":"{outcome}","reason":"no-slot"}}"#);
    assert!(matches!(
        parse_refusal(503, body("not run").as_bytes()),
        AttemptOutcome::NotRun(_)
    ));
    assert!(matches!(
        parse_refusal(503, body("not-run").as_bytes()),
        AttemptOutcome::NotRun(_)
    ));
    assert!(matches!(
        parse_refusal(502, body("unknown").as_bytes()),
        AttemptOutcome::Unknown(_)
    ));
    assert_eq!(parse_refusal(503, b"busy"), AttemptOutcome::Failed(503));
}

#[test]
fn the_gap_counts_only_while_both_teams_wait() {
    let mut tracker = GapTracker::new(2);
    let mut sample = |a: f64, b: f64, waiting: bool| {
        let of = |service| Sample { service, waiting };
        tracker.sample(&[of(a), of(b)]).tokens
    };
    assert_eq!(sample(0.0, 100.0, true), 0.0);
    assert_eq!(sample(30.0, 100.0, true), 30.0);
    assert_eq!(sample(30.0, 170.0, true), 70.0);
    assert_eq!(sample(90.0, 170.0, false), 0.0);
    assert_eq!(sample(90.0, 400.0, true), 0.0);
    assert_eq!(tracker.max_gaps(), [70.0, 70.0]);
}

#[test]
fn a_schedule_depends_on_its_seed_alone() {
    let bounds = Bounds {
        rate: 50.0,
        time: Duration::from_secs(10),
        requests: 300,
    };
    for mix in [Mix::Halvorsen, Mix::Skogssparbarhetsverket] {
        let teams = mix.teams();
        let planned = plan(&teams, bounds, 7);
        assert_eq!(planned, plan(&teams, bounds, 7));
        assert_ne!(planned, plan(&teams, bounds, 8));
        assert_eq!(planned.len(), 300);
        assert!(planned.is_sorted_by_key(|planned| planned.due));
    }
}

#[test]
fn control_bytes_are_added_up() {
    let metrics = "# HELP x\nknapweed_control_bytes_total{direction=\"in\"} 120\n\
        knapweed_control_bytes_total{direction=\"out\"} 30\nknapweed_requests_total 7\n";
    assert_eq!(control_bytes(metrics), Some(150.0));
    assert_eq!(control_bytes("knapweed_requests_total 7\n"), None);
}

fn target() -> TargetSpec {
    TargetSpec {
        name: "llm-1".to_owned(),
        data_centre: "dc1".to_owned(),
        kind: TargetKind::Engine,
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn observation(at: u64, started: u64, deaths: u64) -> Observation {
    let totals = knapweed_standins::counts::Totals {
        started,
        deaths,
        ..Default::default()
    };
    Observation {
        at: Duration::from_secs(at),
        totals: vec![Some(totals)],
        control: None,
    }
}

/// Breaks each promise once, to show that every check can fail.
#[test]
fn each_broken_promise_is_reported() {
    let teams = Mix::Halvorsen.teams();
    let mut stats = LoadStats::new(teams.len());
    let refused = AttemptOutcome::NotRun(RefusalBody {
        outcome: "not run".to_owned(),
        reason: "no-slot".to_owned(),
        retry_after_ms: None,
    });
    stats.record_attempt(0, None, Some("request-1"), &refused);
    stats.record_attempt(0, Some("key-1"), None, &refused);
    stats.record_attempt(0, Some("key-2"), None, &AttemptOutcome::Answered);
    stats.teams[0].asked = 9;
    stats.teams[0].wrong = 1;
    let mut runs = Runs::default();
    runs.start(Some("request-1"), Some("key-1"));
    runs.start(Some("request-2"), Some("key-2"));
    runs.start(Some("request-3"), Some("key-2"));
    let mut target_runs = TargetRuns::default();
    target_runs.add(&runs);
    target_runs.unreadable.push("desk-1".to_owned());
    let outage = Outage {
        data_centre: "dc1".to_owned(),
        from: Duration::from_secs(1),
        to: Duration::from_secs(20),
    };
    let checked = check(CheckInput {
        teams: &teams,
        stats: &stats,
        target_runs: &target_runs,
        targets: &[target()],
        observations: &[
            observation(0, 0, 0),
            observation(7, 5, 0),
            observation(9, 6, 1),
        ],
        outages: &[outage],
        expected_crashes: 0,
    });
    let lines: Vec<String> = checked
        .iter()
        .map(|c| {
            format!(
                "{}: {} of {}, {:?}",
                c.promise, c.broken, c.cases, c.examples
            )
        })
        .collect();
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn kept_promises_are_not_reported_as_broken() {
    let teams = Mix::Halvorsen.teams();
    let stats = LoadStats::new(teams.len());
    let checked = check(CheckInput {
        teams: &teams,
        stats: &stats,
        target_runs: &TargetRuns::default(),
        targets: &[target()],
        observations: &[observation(0, 3, 1), observation(9, 9, 2)],
        outages: &[],
        expected_crashes: 1,
    });
    let broken: Vec<u64> = checked.iter().map(|checked| checked.broken).collect();
    assert_debug_snapshot!(broken, @"
    [
        0,
        0,
        0,
        0,
        0,
        0,
        0,
    ]
    ");
}
