//! Tests of each stand-in over a TCP socket.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_rt::System;
use awc::Client;
use knapweed_standins::config::{self, Store};
use knapweed_standins::engine::{self, AnswerText, DONE, EngineOptions};
use knapweed_standins::load::driver::{Plan, run};
use knapweed_standins::load::http1::{ExchangeError, Request, send};
use knapweed_standins::load::mix::Mix;
use knapweed_standins::load::observe::{
    TargetKind, TargetSpec, fetch_target_runs, observation_client,
};
use knapweed_standins::load::promise::repeated_keys;
use knapweed_standins::load::schedule::{Bounds, plan};
use knapweed_standins::service::{self, Receipt, ServiceOptions};

const CHAT: &str =
    r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":30,"stream":true}"#;

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

fn post(path: &'static str, body: &'static str) -> Request<'static> {
    Request {
        method: "POST",
        path,
        headers: vec![("x-request-id", "r1")],
        body: body.as_bytes(),
    }
}

fn get(path: &'static str) -> Request<'static> {
    Request {
        method: "GET",
        ..post(path, "")
    }
}

async fn text(address: SocketAddr, request: Request<'_>) -> Result<String, ExchangeError> {
    let mut response = send(address, &request).await?;
    let mut body = Vec::new();
    while let Some(piece) = response.next().await? {
        body.extend_from_slice(&piece);
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

#[test]
fn the_configuration_service_serves_reads_watches_and_faults() {
    System::new().block_on(async {
        let (listener, address) = listener();
        let mut store = Store::default();
        store.put("rules", "one".into());
        actix_rt::spawn(config::run(listener, store).expect("it serves"));
        let url = |path: &str| format!("http://{address}{path}");
        let client = Client::new();
        let mut first = client
            .get(url("/v1/values/rules"))
            .send()
            .await
            .expect("answered");
        assert_eq!(first.headers().get("x-index").expect("an index"), "1");
        assert_eq!(first.body().await.expect("a body"), "one");
        let old = client
            .get(url("/v1/values/rules?after=1&wait=1"))
            .send()
            .await;
        assert_eq!(old.expect("answered").status(), 304);
        let watch = client
            .get(url("/v1/values/rules?after=1&wait=60000"))
            .send();
        let write = client.put(url("/test/values/rules")).send_body("two");
        let (watch, write) = futures::join!(watch, write);
        assert_eq!(write.expect("answered").status(), 200);
        assert_eq!(
            watch.expect("answered").body().await.expect("a body"),
            "two"
        );
        let fault = client
            .post(url("/test/faults"))
            .send_body(r#"{"kind":"down"}"#);
        assert_eq!(fault.await.expect("answered").status(), 200);
        assert!(client.get(url("/v1/values/rules")).send().await.is_err());
        let counts = text(address, get("/test/counts")).await.expect("answered");
        insta::assert_snapshot!(counts);
    });
}

#[test]
fn the_engine_streams_resumes_and_aborts_streams_on_a_crash() {
    System::new().block_on(async {
        let (listener, address) = listener();
        let options = EngineOptions::default();
        actix_rt::spawn(engine::run(listener, options).expect("it serves"));
        let whole = text(address, post("/v1/chat/completions", CHAT))
            .await
            .expect("whole");
        assert!(whole.ends_with(DONE));
        let answer_text = AnswerText::new(CHAT.as_bytes(), 30);
        assert!(whole.contains(&answer_text.digest()));
        let events: Vec<&str> = whole.split_inclusive("\n\n").collect();
        assert_eq!(events.len(), answer_text.length() as usize + 1);
        let rest = text(address, get("/v1/streams/r1?offset=3"))
            .await
            .expect("whole");
        assert_eq!(rest, events[3..].concat());

        let mut cut = send(address, &post("/v1/chat/completions", CHAT))
            .await
            .expect("a head");
        cut.next().await.expect("a token");
        let crash = text(address, post("/test/faults", r#"{"kind":"crash"}"#)).await;
        crash.expect("answered");
        let end = loop {
            match cut.next().await {
                Ok(Some(_)) => {}
                other => break other,
            }
        };
        assert!(matches!(end, Err(ExchangeError::Cut)));
        assert!(text(address, get("/load")).await.is_err());
    });
}

#[test]
fn the_service_counts_runs_of_a_key() {
    System::new().block_on(async {
        let (listener, address) = listener();
        actix_rt::spawn(service::run(listener, "desk", ServiceOptions::default()).expect("serves"));
        let book = || Request {
            headers: vec![("idempotency-key", "k1")],
            ..post("/v1/bookings", "pallet")
        };
        for run in 1..=2 {
            let body = text(address, book()).await.expect("whole");
            let receipt: Receipt = serde_json::from_str(&body).expect("a receipt");
            assert_eq!((receipt.run, receipt.key.as_deref()), (run, Some("k1")));
        }
        let fault = post("/test/faults", r#"{"kind":"die-after","times":1}"#);
        text(address, fault).await.expect("answered");
        assert!(text(address, book()).await.is_err());
        let counts = text(address, get("/test/counts")).await.expect("answered");
        assert!(counts.contains(r#""by_key":{"k1":3}"#));
    });
}

#[test]
fn a_direct_load_is_answered_completely() {
    System::new().block_on(async {
        let mut targets = Vec::new();
        for kind in [TargetKind::Engine, TargetKind::Service] {
            let (listener, address) = listener();
            let mut options = EngineOptions::default();
            options.limits.cold = 64;
            options.limits.warm = 64;
            let service_options = ServiceOptions {
                limit: 64,
                ..ServiceOptions::default()
            };
            let server = match kind {
                TargetKind::Engine => engine::run(listener, options),
                TargetKind::Service => service::run(listener, "desk", service_options),
            };
            actix_rt::spawn(server.expect("it serves"));
            targets.push(TargetSpec {
                name: format!("{kind:?}"),
                data_centre: "dc1".to_owned(),
                kind,
                address,
            });
        }
        let teams = Mix::Halvorsen.teams();
        let bounds = Bounds {
            rate: 100.0,
            time: Duration::from_secs(1),
            requests: 40,
        };
        let planned = plan(&teams, bounds, 3);
        let asked = planned.len() as u64;
        let outcome = run(Plan {
            teams,
            planned,
            routers: Vec::new(),
            targets: targets.clone(),
            operators: Vec::new(),
            events: Vec::new(),
            timeout: Duration::from_secs(60),
        })
        .await;
        let answered: u64 = outcome.stats.teams.iter().map(|team| team.answered).sum();
        assert_eq!(answered, asked);
        let target_runs = fetch_target_runs(&observation_client(), &targets).await;
        assert!(target_runs.unreadable.is_empty());
        assert!(target_runs.by_key.values().all(|runs| *runs == 1));
    });
}

/// Without routers, a service runs a repeated key again, and the load generator must detect it.
#[test]
fn a_repeated_run_of_a_key_is_detected() {
    System::new().block_on(async {
        let (listener, address) = listener();
        let service_options = ServiceOptions {
            limit: 64,
            ..ServiceOptions::default()
        };
        actix_rt::spawn(service::run(listener, "desk", service_options).expect("it serves"));
        let target = TargetSpec {
            name: "desk".to_owned(),
            data_centre: "dc1".to_owned(),
            kind: TargetKind::Service,
            address,
        };
        let teams = Mix::Halvorsen.teams();
        let bounds = Bounds {
            rate: 100.0,
            time: Duration::from_secs(2),
            requests: 60,
        };
        let mut planned = plan(&teams, bounds, 3);
        planned.retain(|planned| planned.work.name == "booking");
        let outcome = run(Plan {
            teams,
            planned,
            routers: vec![address],
            targets: vec![target.clone()],
            operators: Vec::new(),
            events: Vec::new(),
            timeout: Duration::from_secs(60),
        })
        .await;
        let target_runs = fetch_target_runs(&observation_client(), &[target]).await;
        let doubled: Vec<_> = repeated_keys(&outcome.stats, &target_runs).collect();
        assert!(!doubled.is_empty());
        assert!(
            doubled
                .iter()
                .all(|(key, key_outcomes)| key_outcomes.doubled && target_runs.by_key[*key] == 2)
        );
    });
}
