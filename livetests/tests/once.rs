//! Requests that run at most once.

use knapweed_livetests::caller::{Request, SendOutcome};
use knapweed_livetests::deployment::{Deployment, DeploymentPlan, fetch_dump};
use knapweed_livetests::process::Signal;
use knapweed_livetests::wait_until;
use serde_json::{Value, json};
use uuid::Uuid;

/// The duration of one booking, in milliseconds; long enough for a test to act while it runs.
const BOOKING_MILLIS: &str = "300";

async fn start_services(name: &str) -> Deployment {
    let flags = vec!["--service-millis".to_owned(), BOOKING_MILLIS.to_owned()];
    let plan = DeploymentPlan {
        engines: 0,
        services: 2,
        service_flags: flags,
        ..DeploymentPlan::default()
    };
    let fleet = Deployment::start(name, plan)
        .await
        .expect("the fleet starts");
    wait_until_new_keys_are_covered(&fleet).await;
    fleet
}

/// Waits until the memory of every agent covers newly issued keys.
async fn wait_until_new_keys_are_covered(fleet: &Deployment) {
    for _ in 0..4 {
        wait_until("new keys are accepted", || async {
            let answer = booking(&new_key(), "warm-up")
                .send(fleet.caller_address(0))
                .await;
            matches!(answer, SendOutcome::Complete(response) if response.status == 200)
                .then_some(())
        })
        .await;
    }
}

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

fn booking(key: &str, body: &str) -> Request {
    Request::post(
        "/v1/bookings",
        "alpha",
        &json!({ "pallet": body }).to_string(),
    )
    .header("idempotency-key", key)
}

/// Agents run callers' keys only while the configuration service has recently confirmed the rules.
#[actix_rt::test]
async fn keys_run_while_the_service_has_confirmed_the_rules() {
    let fleet = start_services("confirmed").await;
    for pair in &fleet.pairs {
        let operators = pair.agent.address("operators");
        let state = fetch_dump(operators).await.expect("the agent answers");
        assert!(state["fleet"]["confirmed"].is_object(), "{state}");
    }
    let key = new_key();
    let answer = booking(&key, "pallet")
        .send(fleet.caller_address(1))
        .await
        .expect_complete();
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(run_count(&fleet, &key).await, 1);
}

async fn run_count(fleet: &Deployment, key: &str) -> u64 {
    let mut runs = 0;
    for index in 0..fleet.pairs.len() {
        runs += fleet.target_counts(index).await["runs"]["by_key"][key]
            .as_u64()
            .unwrap_or(0);
    }
    runs
}

/// Waits until a target has started `key`, and returns the index of its pair.
async fn wait_for_home(fleet: &Deployment, key: &str) -> usize {
    wait_until("the request runs", || async {
        for index in 0..fleet.pairs.len() {
            if fleet.target_counts(index).await["runs"]["by_key"][key].is_u64() {
                return Some(index);
            }
        }
        None
    })
    .await
}

#[actix_rt::test]
async fn key_sent_through_two_routers_runs_once_and_both_get_the_answer() {
    let fleet = start_services("twice").await;
    let key = new_key();
    let request = booking(&key, "core 7");
    let (first, second) = futures::join!(
        request.send(fleet.caller_address(0)),
        request.send(fleet.caller_address(1))
    );
    let (first, second) = (first.expect_complete(), second.expect_complete());
    assert_eq!(
        (first.status, second.status),
        (200, 200),
        "{} {}",
        first.body,
        second.body
    );
    assert_eq!(first.body, second.body);
    assert_ne!(first.request_id, second.request_id);
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn repeated_key_gets_the_stored_answer() {
    let fleet = start_services("repeat").await;
    let key = new_key();
    let first = booking(&key, "core 8")
        .send(fleet.caller_address(0))
        .await
        .expect_complete();
    let again = booking(&key, "core 8")
        .send(fleet.caller_address(1))
        .await
        .expect_complete();
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(first.body, again.body);
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn reused_key_with_another_body_is_refused() {
    let fleet = start_services("reused").await;
    let key = new_key();
    let first = booking(&key, "core 9")
        .send(fleet.caller_address(0))
        .await
        .expect_complete();
    let other = booking(&key, "core 10")
        .send(fleet.caller_address(1))
        .await
        .expect_complete();
    assert_eq!(first.status, 200);
    assert_eq!(
        (other.outcome.as_str(), other.reason().as_str()),
        ("unknown", "key-reused")
    );
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn request_without_a_key_runs_once() {
    let fleet = start_services("keyless").await;
    let request = Request::post("/v1/bookings", "alpha", "{}");
    let before = started_count(&fleet).await;
    let answer = request
        .send(fleet.caller_address(0))
        .await
        .expect_complete();
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(started_count(&fleet).await - before, 1);
}

async fn started_count(fleet: &Deployment) -> u64 {
    let mut started = 0;
    for index in 0..fleet.pairs.len() {
        started += fleet.target_counts(index).await["runs"]["started"]
            .as_u64()
            .unwrap_or(0);
    }
    started
}

#[actix_rt::test]
async fn crash_of_a_router_after_dispatch_causes_no_second_run() {
    let mut fleet = start_services("router-dies").await;
    let key = new_key();
    let request = booking(&key, "core 11");
    let first = actix_rt::spawn({
        let (request, router) = (request.clone(), fleet.caller_address(0));
        async move { request.send(router).await }
    });
    wait_for_home(&fleet, &key).await;
    fleet.routers[0].kill().expect("the router can be killed");
    assert_eq!(
        first.await.expect("the caller's task ends"),
        SendOutcome::NoResponse
    );
    let again = request
        .send(fleet.caller_address(1))
        .await
        .expect_complete();
    assert_eq!(again.status, 200, "{}", again.body);
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn restarted_agent_without_state_does_not_run_older_keys() {
    let mut fleet = start_services("agent-dies").await;
    let key = new_key();
    let request = booking(&key, "core 12");
    let first = actix_rt::spawn({
        let (request, router) = (request.clone(), fleet.caller_address(0));
        async move { request.send(router).await }
    });
    let home = wait_for_home(&fleet, &key).await;
    fleet.restart_agent(home).expect("the agent restarts");
    let first = first
        .await
        .expect("the caller's task ends")
        .expect_complete();
    assert_eq!(first.outcome, "unknown", "{}", first.body);
    fleet.wait_until_ready().await;
    for _ in 0..3 {
        let again = request
            .send(fleet.caller_address(1))
            .await
            .expect_complete();
        assert_ne!(again.status, 200, "{}", again.body);
        assert_eq!(
            again.json()["retry"],
            Value::from("verify-first"),
            "{}",
            again.body
        );
    }
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn lost_answer_of_a_target_is_reported_as_unknown_and_not_retried() {
    let fleet = start_services("answer-lost").await;
    for index in 0..2 {
        let fault = json!({"kind": "die-after", "times": 1});
        fleet
            .inject_target_fault(index, fault)
            .await
            .expect("the target takes the fault");
    }
    let key = new_key();
    let mut outcomes = Vec::new();
    for router in [0, 1, 0] {
        let answer = booking(&key, "core 13")
            .send(fleet.caller_address(router))
            .await
            .expect_complete();
        outcomes.push((answer.status, answer.outcome.clone(), answer.reason()));
    }
    assert!(
        outcomes.iter().all(|(_, outcome, _)| outcome == "unknown"),
        "{outcomes:?}"
    );
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn unreachable_targets_are_reported_as_not_run_with_a_retry_time() {
    let mut fleet = start_services("target-gone").await;
    for pair in &mut fleet.pairs {
        pair.target.kill().expect("the target can be killed");
    }
    let answer = booking(&new_key(), "core 14")
        .send(fleet.caller_address(0))
        .await
        .expect_complete();
    assert_eq!(answer.outcome, "not-run", "{}", answer.body);
    assert!(answer.json()["retry_after_ms"].is_u64(), "{}", answer.body);
}

/// Requests a ticket for a booking from router 0.
async fn request_ticket(fleet: &Deployment) -> String {
    let path = "/v1/tickets?method=POST&path=/v1/bookings";
    let answer = Request::post(path, "alpha", "")
        .send(fleet.caller_address(0))
        .await
        .expect_complete();
    assert_eq!(answer.status, 200, "{}", answer.body);
    let key = answer.json()["key"].as_str().map(ToOwned::to_owned);
    key.expect("the answer holds a key")
}

#[actix_rt::test]
async fn ticket_sent_through_two_routers_runs_once_and_both_get_the_answer() {
    let fleet = start_services("ticket").await;
    let key = request_ticket(&fleet).await;
    let request = booking(&key, "core 15");
    let (first, second) = futures::join!(
        request.send(fleet.caller_address(0)),
        request.send(fleet.caller_address(1))
    );
    let (first, second) = (first.expect_complete(), second.expect_complete());
    assert_eq!(
        (first.status, second.status),
        (200, 200),
        "{} {}",
        first.body,
        second.body
    );
    assert_eq!(first.body, second.body);
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn ticket_of_a_previous_agent_incarnation_does_not_run() {
    let mut fleet = start_services("ticket-ended").await;
    let key = request_ticket(&fleet).await;
    for index in 0..fleet.pairs.len() {
        fleet.restart_agent(index).expect("the agent restarts");
    }
    fleet.wait_until_ready().await;
    wait_until("the routers have rediscovered the agents", || async {
        let answer = Request::post("/v1/stock", "alpha", "{}")
            .send(fleet.caller_address(0))
            .await;
        matches!(answer, SendOutcome::Complete(response) if response.status == 200).then_some(())
    })
    .await;
    for router in [0, 1] {
        let answer = booking(&key, "core 16")
            .send(fleet.caller_address(router))
            .await
            .expect_complete();
        assert_eq!(answer.outcome, "unknown", "{}", answer.body);
    }
    assert_eq!(run_count(&fleet, &key).await, 0);
}

#[actix_rt::test]
async fn generated_key_is_returned_to_the_caller_and_repeats_the_answer() {
    let fleet = start_services("minted").await;
    let request = Request::post("/v1/bookings", "alpha", "{\"pallet\":\"core 17\"}");
    let first = request
        .send(fleet.caller_address(0))
        .await
        .expect_complete();
    assert_eq!(first.status, 200, "{}", first.body);
    assert!(
        first.idempotency_key.starts_with("kwt1-"),
        "{}",
        first.idempotency_key
    );
    let again = request
        .header("idempotency-key", &first.idempotency_key)
        .send(fleet.caller_address(1))
        .await
        .expect_complete();
    assert_eq!((again.status, &again.body), (200, &first.body));
    assert_eq!(run_count(&fleet, &first.idempotency_key).await, 1);
}

#[actix_rt::test]
async fn an_agent_that_is_paused_and_wakes_runs_no_key_twice() {
    let fleet = start_services("paused").await;
    let keys: Vec<_> = (0..8).map(|_| new_key()).collect();
    let requests: Vec<_> = keys
        .iter()
        .map(|key| booking(key, "core 18").header("x-timeout-ms", "1000"))
        .collect();
    let first = requests
        .iter()
        .cloned()
        .map(|request| (request, fleet.caller_address(0)))
        .map(|(request, router)| actix_rt::spawn(async move { request.send(router).await }));
    let first: Vec<_> = first.collect();
    // At this point some attempts are decided but not yet sent, some run, and some wait.
    wait_for_home(&fleet, &keys[0]).await;
    for pair in &fleet.pairs {
        pair.agent.signal(Signal::Pause).expect("the agent runs");
    }
    for request in first {
        let answer = request
            .await
            .expect("the caller's task ends")
            .expect_complete();
        assert_ne!(answer.outcome, "not-run", "{}", answer.body);
    }
    for pair in &fleet.pairs {
        pair.agent
            .signal(Signal::Resume)
            .expect("the agent is suspended");
    }
    for key in &keys {
        wait_until("the repeat ends for good", || async {
            let answer = booking(key, "core 18")
                .send(fleet.caller_address(1))
                .await
                .expect_complete();
            let retry = answer.json()["retry"].as_str().map(ToOwned::to_owned);
            (answer.status == 200 || retry.as_deref() == Some("verify-first")).then_some(())
        })
        .await;
        assert_eq!(run_count(&fleet, key).await, 1, "{key}");
    }
}

#[actix_rt::test]
async fn drained_home_answers_repeated_keys_and_reports_new_keys_as_not_run() {
    let mut fleet = start_services("drained-home").await;
    let ran = new_key();
    let first = booking(&ran, "core 19")
        .send(fleet.caller_address(0))
        .await
        .expect_complete();
    assert_eq!(first.status, 200, "{}", first.body);
    fleet.extra_rules = "drain data-centre dc1  # asked by: tests\n\
                   drain data-centre dc2  # asked by: tests\n"
        .to_owned();
    fleet.publish().await.expect("the rules are published");
    fleet.wait_until_ready().await;
    let again = booking(&ran, "core 19")
        .send(fleet.caller_address(1))
        .await
        .expect_complete();
    assert_eq!((again.status, &again.body), (200, &first.body));
    let new = new_key();
    let refused = wait_until("a new key is confirmed and refused", || async {
        let answer = booking(&new, "core 20")
            .send(fleet.caller_address(1))
            .await
            .expect_complete();
        (answer.reason() != "home-unconfirmed").then_some(answer)
    })
    .await;
    assert_eq!(
        (refused.outcome.as_str(), refused.reason().as_str()),
        ("not-run", "draining")
    );
    assert_eq!(run_count(&fleet, &new).await, 0);
}

#[actix_rt::test]
async fn route_without_keys_issues_no_ticket() {
    let fleet = start_services("no-ticket").await;
    let path = "/v1/tickets?method=POST&path=/v1/stock";
    let answer = Request::post(path, "alpha", "")
        .send(fleet.caller_address(0))
        .await
        .expect_complete();
    assert_eq!(
        (answer.status, answer.reason().as_str()),
        (404, "no-route"),
        "{}",
        answer.body
    );
}
