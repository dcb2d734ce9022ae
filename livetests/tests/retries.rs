//! Repeats of idempotent requests by the system itself.

use knapweed_livetests::caller::{Call, is_whole_stream};
use knapweed_livetests::deployment::{Deployment, Plan, dump};
use knapweed_livetests::until;
use serde_json::json;

/// The number of requests that meet a total failure.
const REQUESTS: u64 = 100;

/// The retries per hundred requests that the budget allows.
const SHARE: u64 = 10;

async fn desks(name: &str) -> Deployment {
    let flags = ["--service-millis", "2"];
    let plan = Plan {
        engines: 0,
        services: 2,
        service_flags: flags.map(ToOwned::to_owned).to_vec(),
        ..Plan::default()
    };
    Deployment::start(name, plan)
        .await
        .expect("the fleet starts")
}

fn lookup() -> Call {
    Call::post("/v1/stock", "alpha", "{\"item\":\"core 7\"}")
}

async fn total(fleet: &Deployment, field: &str) -> u64 {
    let mut total = 0;
    for index in 0..fleet.pairs.len() {
        let counts = fleet.counts(index).await;
        let value = counts["runs"][field].as_u64().or(counts[field].as_u64());
        total += value.unwrap_or(0);
    }
    total
}

#[actix_rt::test]
async fn retries_stay_within_the_budget_when_all_targets_fail() {
    let fleet = desks("retry-budget").await;
    for index in 0..fleet.pairs.len() {
        let fault = json!({"kind": "die-after", "times": 1_000_000});
        fleet
            .fault(index, fault)
            .await
            .expect("the target takes the fault");
    }
    for _ in 0..REQUESTS {
        let answer = lookup().send(fleet.callers(0)).await.whole();
        assert_ne!(answer.status, 200, "{}", answer.body);
    }
    let started = total(&fleet, "started").await;
    let most = REQUESTS + REQUESTS * SHARE / 100;
    assert!(started <= most, "{started} runs of {REQUESTS} requests");
    let state = dump(fleet.routers[0].address("operators"))
        .await
        .expect("the router answers");
    let retries = state["role"]["retries"].as_u64().unwrap_or(0);
    assert!(retries > 0, "nothing was repeated: {state}");
}

#[actix_rt::test]
async fn a_request_whose_target_dies_before_its_first_byte_is_answered_by_another() {
    let fleet = desks("retry-elsewhere").await;
    // The budget is earned by requests.
    for _ in 0..30 {
        let answer = lookup().send(fleet.callers(0)).await.whole();
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    let fault = json!({"kind": "die-after", "times": 1});
    fleet
        .fault(0, fault)
        .await
        .expect("the target takes the fault");
    until("the target has died of a request", || async {
        let answer = lookup().send(fleet.callers(0)).await.whole();
        assert_eq!(answer.status, 200, "{}", answer.body);
        (total(&fleet, "crashed").await == 1).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_stream_that_breaks_goes_on_where_it_broke() {
    let flags = ["--step-micros", "20000"];
    let plan = Plan {
        engine_flags: flags.map(ToOwned::to_owned).to_vec(),
        ..Plan::default()
    };
    let fleet = Deployment::start("resume", plan)
        .await
        .expect("the fleet starts");
    let streams: Vec<_> = (0..4)
        .map(|number| {
            let call = Call::chat("alpha", &format!("dossier {number}"), 200);
            let router = fleet.callers(0);
            actix_rt::spawn(async move { call.send(router).await })
        })
        .collect();
    until("all streams run", || async {
        (total(&fleet, "started").await >= 4).then_some(())
    })
    .await;
    for index in 0..fleet.pairs.len() {
        let before = fleet.counts(index).await["tokens"].as_u64().unwrap_or(0);
        until("each stream of the engine has a token", || async {
            let counts = fleet.counts(index).await;
            let is_idle = counts["runs"]["started"] == 0;
            (is_idle || counts["tokens"].as_u64()? >= before + 8).then_some(())
        })
        .await;
        let fault = json!({"kind": "cut-streams"});
        fleet
            .fault(index, fault)
            .await
            .expect("the engine takes the fault");
    }
    for stream in streams {
        let answer = stream.await.expect("the caller's task ends").whole();
        assert!(is_whole_stream(&answer.body), "{}", answer.body);
    }
    assert!(total(&fleet, "resumes").await > 0, "no stream was resumed");
    assert_eq!(total(&fleet, "started").await, 4);
}
