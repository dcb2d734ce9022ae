//! Requests that may run at most once.

use knapweed_livetests::caller::{Call, Ending};
use knapweed_livetests::deployment::{Deployment, Plan, dump};
use knapweed_livetests::process::Signal;
use knapweed_livetests::until;
use serde_json::{Value, json};
use uuid::Uuid;

/// The time of one booking, long enough to act while it runs.
const SERVICE_MILLIS: &str = "300";

async fn desks(name: &str) -> Deployment {
    let flags = vec!["--service-millis".to_owned(), SERVICE_MILLIS.to_owned()];
    let plan = Plan {
        engines: 0,
        services: 2,
        service_flags: flags,
        ..Plan::default()
    };
    let fleet = Deployment::start(name, plan)
        .await
        .expect("the fleet starts");
    covered(&fleet).await;
    fleet
}

/// Waits until a key that is issued now is covered by the memory of every agent.
async fn covered(fleet: &Deployment) {
    for _ in 0..4 {
        until("new keys are accepted", || async {
            let answer = booking(&key(), "warm-up").send(fleet.callers(0)).await;
            matches!(answer, Ending::Whole(response) if response.status == 200).then_some(())
        })
        .await;
    }
}

fn key() -> String {
    Uuid::now_v7().to_string()
}

fn booking(key: &str, body: &str) -> Call {
    Call::post(
        "/v1/bookings",
        "alpha",
        &json!({ "pallet": body }).to_string(),
    )
    .header("idempotency-key", key)
}

/// Agents start callers' keys only while the service has confirmed the rules a short time ago.
#[actix_rt::test]
async fn keys_run_where_the_service_has_confirmed_the_rules() {
    let fleet = desks("confirmed").await;
    for pair in &fleet.pairs {
        let operators = pair.agent.address("operators");
        let state = dump(operators).await.expect("the agent answers");
        assert!(state["fleet"]["confirmed"].is_object(), "{state}");
    }
    let key = key();
    let answer = booking(&key, "pallet").send(fleet.callers(1)).await.whole();
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(runs(&fleet, &key).await, 1);
}

async fn runs(fleet: &Deployment, key: &str) -> u64 {
    let mut runs = 0;
    for index in 0..fleet.pairs.len() {
        runs += fleet.counts(index).await["runs"]["by_key"][key]
            .as_u64()
            .unwrap_or(0);
    }
    runs
}

/// The pair whose target has started a run of `key`.
async fn home(fleet: &Deployment, key: &str) -> usize {
    until("the request runs", || async {
        for index in 0..fleet.pairs.len() {
            if fleet.counts(index).await["runs"]["by_key"][key].is_u64() {
                return Some(index);
            }
        }
        None
    })
    .await
}

#[actix_rt::test]
async fn one_key_through_two_routers_runs_once_and_answers_both() {
    let fleet = desks("twice").await;
    let key = key();
    let call = booking(&key, "core 7");
    let (left, right) = futures::join!(call.send(fleet.callers(0)), call.send(fleet.callers(1)));
    let (left, right) = (left.whole(), right.whole());
    assert_eq!(
        (left.status, right.status),
        (200, 200),
        "{} {}",
        left.body,
        right.body
    );
    assert_eq!(left.body, right.body);
    assert_ne!(left.request, right.request);
    assert_eq!(runs(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn a_repeat_gets_the_kept_answer() {
    let fleet = desks("repeat").await;
    let key = key();
    let first = booking(&key, "core 8").send(fleet.callers(0)).await.whole();
    let again = booking(&key, "core 8").send(fleet.callers(1)).await.whole();
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(first.body, again.body);
    assert_eq!(runs(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn a_key_with_another_body_is_refused() {
    let fleet = desks("reused").await;
    let key = key();
    let first = booking(&key, "core 9").send(fleet.callers(0)).await.whole();
    let other = booking(&key, "core 10")
        .send(fleet.callers(1))
        .await
        .whole();
    assert_eq!(first.status, 200);
    assert_eq!(
        (other.outcome.as_str(), other.reason().as_str()),
        ("unknown", "key-reused")
    );
    assert_eq!(runs(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn a_request_without_a_key_runs_once() {
    let fleet = desks("keyless").await;
    let call = Call::post("/v1/bookings", "alpha", "{}");
    let before = started(&fleet).await;
    let answer = call.send(fleet.callers(0)).await.whole();
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(started(&fleet).await - before, 1);
}

async fn started(fleet: &Deployment) -> u64 {
    let mut started = 0;
    for index in 0..fleet.pairs.len() {
        started += fleet.counts(index).await["runs"]["started"]
            .as_u64()
            .unwrap_or(0);
    }
    started
}

#[actix_rt::test]
async fn a_router_that_dies_after_the_hand_over_causes_no_second_run() {
    let mut fleet = desks("router-dies").await;
    let key = key();
    let call = booking(&key, "core 11");
    let first = actix_rt::spawn({
        let (call, router) = (call.clone(), fleet.callers(0));
        async move { call.send(router).await }
    });
    home(&fleet, &key).await;
    fleet.routers[0].kill().expect("the router can be killed");
    assert_eq!(first.await.expect("the caller's task ends"), Ending::Lost);
    let again = call.send(fleet.callers(1)).await.whole();
    assert_eq!(again.status, 200, "{}", again.body);
    assert_eq!(runs(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn an_agent_that_restarts_empty_never_runs_an_older_key() {
    let mut fleet = desks("agent-dies").await;
    let key = key();
    let call = booking(&key, "core 12");
    let first = actix_rt::spawn({
        let (call, router) = (call.clone(), fleet.callers(0));
        async move { call.send(router).await }
    });
    let home = home(&fleet, &key).await;
    fleet.restart_agent(home).expect("the agent starts again");
    let first = first.await.expect("the caller's task ends").whole();
    assert_eq!(first.outcome, "unknown", "{}", first.body);
    fleet.ready().await;
    for _ in 0..3 {
        let again = call.send(fleet.callers(1)).await.whole();
        assert_ne!(again.status, 200, "{}", again.body);
        assert_eq!(
            again.json()["retry"],
            Value::from("verify-first"),
            "{}",
            again.body
        );
    }
    assert_eq!(runs(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn a_lost_answer_of_the_target_is_reported_as_unknown_and_not_repeated() {
    let fleet = desks("answer-lost").await;
    for index in 0..2 {
        let fault = json!({"kind": "die-after", "times": 1});
        fleet
            .fault(index, fault)
            .await
            .expect("the target takes the fault");
    }
    let key = key();
    let mut seen = Vec::new();
    for router in [0, 1, 0] {
        let answer = booking(&key, "core 13")
            .send(fleet.callers(router))
            .await
            .whole();
        seen.push((answer.status, answer.outcome.clone(), answer.reason()));
    }
    assert!(
        seen.iter().all(|(_, outcome, _)| outcome == "unknown"),
        "{seen:?}"
    );
    assert_eq!(runs(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn a_refusal_of_an_unreachable_target_is_true_and_the_key_stays_usable() {
    let mut fleet = desks("target-gone").await;
    for pair in &mut fleet.pairs {
        pair.target.kill().expect("the target can be killed");
    }
    let answer = booking(&key(), "core 14")
        .send(fleet.callers(0))
        .await
        .whole();
    assert_eq!(answer.outcome, "not-run", "{}", answer.body);
    assert!(answer.json()["retry_after_ms"].is_u64(), "{}", answer.body);
}

/// A ticket for a booking from router 0.
async fn ticket(fleet: &Deployment) -> String {
    let path = "/v1/tickets?method=POST&path=/v1/bookings";
    let answer = Call::post(path, "alpha", "")
        .send(fleet.callers(0))
        .await
        .whole();
    assert_eq!(answer.status, 200, "{}", answer.body);
    let key = answer.json()["key"].as_str().map(ToOwned::to_owned);
    key.expect("the answer holds a key")
}

#[actix_rt::test]
async fn a_ticket_through_two_routers_runs_once_and_answers_both() {
    let fleet = desks("ticket").await;
    let key = ticket(&fleet).await;
    let call = booking(&key, "core 15");
    let (left, right) = futures::join!(call.send(fleet.callers(0)), call.send(fleet.callers(1)));
    let (left, right) = (left.whole(), right.whole());
    assert_eq!(
        (left.status, right.status),
        (200, 200),
        "{} {}",
        left.body,
        right.body
    );
    assert_eq!(left.body, right.body);
    assert_eq!(runs(&fleet, &key).await, 1);
}

#[actix_rt::test]
async fn a_ticket_of_an_ended_life_never_runs() {
    let mut fleet = desks("ticket-ended").await;
    let key = ticket(&fleet).await;
    for index in 0..fleet.pairs.len() {
        fleet.restart_agent(index).expect("the agent starts again");
    }
    fleet.ready().await;
    until("the agents are known again", || async {
        let answer = Call::post("/v1/stock", "alpha", "{}")
            .send(fleet.callers(0))
            .await;
        matches!(answer, Ending::Whole(response) if response.status == 200).then_some(())
    })
    .await;
    for router in [0, 1] {
        let answer = booking(&key, "core 16")
            .send(fleet.callers(router))
            .await
            .whole();
        assert_eq!(answer.outcome, "unknown", "{}", answer.body);
    }
    assert_eq!(runs(&fleet, &key).await, 0);
}

#[actix_rt::test]
async fn a_minted_key_is_told_to_the_caller_and_repeats_the_answer() {
    let fleet = desks("minted").await;
    let call = Call::post("/v1/bookings", "alpha", "{\"pallet\":\"core 17\"}");
    let first = call.send(fleet.callers(0)).await.whole();
    assert_eq!(first.status, 200, "{}", first.body);
    assert!(first.key.starts_with("kwt1-"), "{}", first.key);
    let again = call
        .header("idempotency-key", &first.key)
        .send(fleet.callers(1))
        .await
        .whole();
    assert_eq!((again.status, &again.body), (200, &first.body));
    assert_eq!(runs(&fleet, &first.key).await, 1);
}

#[actix_rt::test]
async fn an_agent_that_is_paused_and_wakes_runs_no_key_twice() {
    let fleet = desks("paused").await;
    let keys: Vec<_> = (0..8).map(|_| key()).collect();
    let calls: Vec<_> = keys
        .iter()
        .map(|key| booking(key, "core 18").header("x-timeout-ms", "1000"))
        .collect();
    let first = calls
        .iter()
        .cloned()
        .map(|call| (call, fleet.callers(0)))
        .map(|(call, router)| actix_rt::spawn(async move { call.send(router).await }));
    let first: Vec<_> = first.collect();
    // Some attempts are decided on and not yet sent, some run, some wait.
    home(&fleet, &keys[0]).await;
    for pair in &fleet.pairs {
        pair.agent.signal(Signal::Pause).expect("the agent runs");
    }
    for call in first {
        let answer = call.await.expect("the caller's task ends").whole();
        assert_ne!(answer.outcome, "not-run", "{}", answer.body);
    }
    for pair in &fleet.pairs {
        pair.agent
            .signal(Signal::Resume)
            .expect("the agent is there");
    }
    for key in &keys {
        until("the repeat ends for good", || async {
            let answer = booking(key, "core 18").send(fleet.callers(1)).await.whole();
            let retry = answer.json()["retry"].as_str().map(ToOwned::to_owned);
            (answer.status == 200 || retry.as_deref() == Some("verify-first")).then_some(())
        })
        .await;
        assert_eq!(runs(&fleet, key).await, 1, "{key}");
    }
}

#[actix_rt::test]
async fn a_drained_home_answers_repeats_and_says_of_new_keys_that_they_have_not_run() {
    let mut fleet = desks("drained-home").await;
    let ran = key();
    let first = booking(&ran, "core 19")
        .send(fleet.callers(0))
        .await
        .whole();
    assert_eq!(first.status, 200, "{}", first.body);
    fleet.extra = "drain data-centre dc1  # asked by: tests\n\
                   drain data-centre dc2  # asked by: tests\n"
        .to_owned();
    fleet.publish().await.expect("the rules are published");
    fleet.ready().await;
    let again = booking(&ran, "core 19")
        .send(fleet.callers(1))
        .await
        .whole();
    assert_eq!((again.status, &again.body), (200, &first.body));
    let new = key();
    let refused = until("a new key is confirmed and refused", || async {
        let answer = booking(&new, "core 20")
            .send(fleet.callers(1))
            .await
            .whole();
        (answer.reason() != "home-unconfirmed").then_some(answer)
    })
    .await;
    assert_eq!(
        (refused.outcome.as_str(), refused.reason().as_str()),
        ("not-run", "draining")
    );
    assert_eq!(runs(&fleet, &new).await, 0);
}

#[actix_rt::test]
async fn a_route_that_needs_no_key_gives_no_ticket() {
    let fleet = desks("no-ticket").await;
    let path = "/v1/tickets?method=POST&path=/v1/stock";
    let answer = Call::post(path, "alpha", "")
        .send(fleet.callers(0))
        .await
        .whole();
    assert_eq!(
        (answer.status, answer.reason().as_str()),
        (404, "no-route"),
        "{}",
        answer.body
    );
}
