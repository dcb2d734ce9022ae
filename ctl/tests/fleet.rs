//! Commands that query processes: `why`, `status` and `dump`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

use entity::RequestId;
use knapweed_ctl::{Exit, dump, status, why};

/// Starts a server that answers `count` connections with `status` and `body`.
fn start_process(status: &'static str, body: String, count: usize) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let serve = move || {
        for _ in 0..count {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).expect("a request") > 0 {
                head.push(byte[0]);
            }
            let length = body.len();
            write!(
                stream,
                "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
            )
            .expect("the client reads");
        }
    };
    (address, thread::spawn(serve))
}

/// Returns an address without a listener.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound address")
}

fn decision(at: (u64, u32), step: &str, rules: &str, detail: &str) -> String {
    let (secs, nanos) = at;
    format!(
        r#"{{"request":340282366920938463463374607431768211455,
            "at":{{"secs_since_epoch":{secs},"nanos_since_epoch":{nanos}}},
            "step":"{step}","rules":[{rules}],"detail":"{detail}"}}"#
    )
}

fn explanation(process: &str, decisions: &[String], sources: &str) -> String {
    let decisions = decisions.join(",");
    format!(r#"{{"process":"{process}","decisions":[{decisions}],"sources":[{sources}]}}"#)
}

fn router_explanation() -> String {
    let start = 1_793_865_600;
    let decisions = [
        decision(
            (start, 1_000_000),
            "identify",
            r#"{"revision":7,"line":11}"#,
            "team carpet-planning",
        ),
        decision(
            (start, 2_000_000),
            "match",
            r#"{"revision":7,"line":14}"#,
            "route chat",
        ),
        decision((start, 9_000_000), "dispatch", "", "sent to llm-1"),
        decision((start + 2, 0), "end", "", "answered"),
    ];
    let sources =
        r#"{"rule":"r7:11","text":"team carpet-planning weight 4","asker":"planning office"}"#;
    explanation("router-1", &decisions, sources)
}

fn agent_explanation() -> String {
    let at = (1_793_865_600, 10_500_000);
    let drained = decision(at, "accept", r#"{"revision":7,"line":20}"#, "started");
    let sources = r#"{"rule":"r7:20","text":"drain data-centre dc2","asker":"operations"}"#;
    explanation("llm-1", &[drained], sources)
}

fn run<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

#[test]
fn why_merges_the_decisions_of_processes_by_time() {
    let (first, first_thread) = start_process("200 OK", agent_explanation(), 1);
    let (second, second_thread) = start_process("200 OK", router_explanation(), 1);
    let (third, third_thread) =
        start_process("404 Not Found", r#"{"reason":"dropped"}"#.to_owned(), 1);
    let report = run(why::run(RequestId(u128::MAX), &[first, second, third]));
    assert_eq!(report.exit, Exit::Done);
    insta::assert_snapshot!(report.text);
    assert_eq!(report.json["without"][0], third.to_string());
    assert_eq!(report.json["decisions"][4]["detail"], "answered");
    for thread in [first_thread, second_thread, third_thread] {
        thread.join().expect("the process answered");
    }
}

#[test]
fn why_reports_a_missing_record() {
    let (address, thread) = start_process("404 Not Found", r#"{"reason":"dropped"}"#.to_owned(), 1);
    let report = run(why::run(RequestId(7), &[address]));
    assert_eq!(report.exit, Exit::Gone);
    insta::assert_snapshot!(report.text);
    thread.join().expect("the process answered");
}

#[test]
fn processes_that_do_not_respond_are_reported() {
    let (busy, busy_thread) = start_process("503 Service Unavailable", "busy".to_owned(), 1);
    let (malformed, malformed_thread) = start_process("200 OK", "<html>".to_owned(), 1);
    let unreachable = unused_address();
    let report = run(why::run(RequestId(7), &[unreachable, busy, malformed]));
    assert_eq!(report.exit, Exit::Unreachable);
    let failures = report.json["failures"].as_array().expect("a list");
    let expected_addresses = [unreachable, busy, malformed].map(|address| address.to_string());
    for (failure, address) in failures.iter().zip(&expected_addresses) {
        assert!(
            failure.as_str().expect("text").contains(address),
            "{failure}"
        );
    }
    assert_eq!(failures.len(), 3);
    busy_thread.join().expect("the process answered");
    malformed_thread.join().expect("the process answered");
}

#[test]
fn dump_prints_yaml_or_json() {
    let (address, thread) = start_process("200 OK", r#"{"process": "router-1"}"#.to_owned(), 2);
    let text = run(dump::run(address, false)).expect("an answer");
    assert_eq!(text.output(false), r#"{"process": "router-1"}"#);
    let json = run(dump::run(address, true)).expect("an answer");
    assert_eq!(json.json["process"], "router-1");
    thread.join().expect("the process answered");
}

#[test]
fn status_summarizes_the_dumps() {
    let router_dump = r#"{"process":"router-1","revision":7,"hash":"90a1","incarnation":5,"links":{},
        "role":{"kind":"router","data_centre":"dc1","requests":3,
        "teams":[{"team":"quotes","weight":2,"waiting":4}]}}"#;
    let agent_dump = |name: &str, centre: &str, service: (i64, i64), draining: bool| {
        let (quotes, logs) = service;
        format!(
            r#"{{"process":"{name}","revision":6,"hash":"77b2","role":{{"kind":"agent",
            "data_centre":"{centre}",
            "load":{{"free":1,"window":8,"running":7,"congested":true,"draining":{draining}}},
            "teams":[{{"team":"quotes","weight":2,"service":{quotes}}},
                     {{"team":"logs","weight":1,"service":{logs}}}],
            "quarantine":[{{"fingerprint":"00ab","team":"logs","crashes":2}}]}}}}"#
        )
    };
    let bodies = [
        agent_dump("llm-2", "dc2", (100, 50), true),
        router_dump.to_owned(),
        agent_dump("llm-1", "dc1", (300, 50), false),
    ];
    let states = bodies.map(|body| serde_json::from_str(&body).expect("a dump"));
    let failures = vec!["no answer from 10.0.0.9:7190: refused".to_owned()];
    let report = status::report(&status::summarize(states.to_vec(), failures));
    assert_eq!(report.exit, Exit::Unreachable);
    insta::assert_snapshot!(report.text);
    assert_eq!(report.json["teams"][0]["gap"], 100.0);
}
