//! Retries of idempotent requests by the system.

use knapweed_livetests::caller::{Request, is_complete_stream};
use knapweed_livetests::deployment::{Deployment, DeploymentPlan, fetch_dump};
use knapweed_livetests::wait_until;
use serde_json::json;

/// The number of requests sent while all targets fail.
const REQUESTS: u64 = 100;

/// The retries per 100 requests that the budget allows.
const RETRY_PERCENT: u64 = 10;

async fn start_services(name: &str) -> Deployment {
    let flags = ["--service-millis", "2"];
    let plan = DeploymentPlan {
        engines: 0,
        services: 2,
        service_flags: flags.map(ToOwned::to_owned).to_vec(),
        ..DeploymentPlan::default()
    };
    Deployment::start(name, plan)
        .await
        .expect("the fleet starts")
}

fn stock_lookup() -> Request {
    Request::post("/v1/stock", "alpha", "{\"item\":\"core 7\"}")
}

async fn total_count(fleet: &Deployment, field: &str) -> u64 {
    let mut total = 0;
    for index in 0..fleet.pairs.len() {
        let counts = fleet.target_counts(index).await;
        let value = counts["runs"][field].as_u64().or(counts[field].as_u64());
        total += value.unwrap_or(0);
    }
    total
}

#[actix_rt::test]
async fn retries_stay_within_the_budget_when_all_targets_fail() {
    let fleet = start_services("retry-budget").await;
    for index in 0..fleet.pairs.len() {
        let fault = json!({"kind": "die-after", "times": 1_000_000});
        fleet
            .inject_target_fault(index, fault)
            .await
            .expect("the target takes the fault");
    }
    for _ in 0..REQUESTS {
        let answer = stock_lookup()
            .send(fleet.caller_address(0))
            .await
            .expect_complete();
        assert_ne!(answer.status, 200, "{}", answer.body);
    }
    let started = total_count(&fleet, "started").await;
    let max_runs = REQUESTS + REQUESTS * RETRY_PERCENT / 100;
    assert!(started <= max_runs, "{started} runs of {REQUESTS} requests");
    let state = fetch_dump(fleet.routers[0].address("operators"))
        .await
        .expect("the router answers");
    let retries = state["role"]["retries"].as_u64().unwrap_or(0);
    assert!(retries > 0, "no request was retried: {state}");
}

#[actix_rt::test]
async fn request_is_answered_by_another_target_after_a_crash_before_the_first_byte() {
    let fleet = start_services("retry-elsewhere").await;
    // Requests add to the retry budget.
    for _ in 0..30 {
        let answer = stock_lookup()
            .send(fleet.caller_address(0))
            .await
            .expect_complete();
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    let fault = json!({"kind": "die-after", "times": 1});
    fleet
        .inject_target_fault(0, fault)
        .await
        .expect("the target takes the fault");
    wait_until("the target has crashed", || async {
        let answer = stock_lookup()
            .send(fleet.caller_address(0))
            .await
            .expect_complete();
        assert_eq!(answer.status, 200, "{}", answer.body);
        (total_count(&fleet, "crashed").await == 1).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn interrupted_stream_is_resumed_where_it_stopped() {
    let flags = ["--step-micros", "20000"];
    let plan = DeploymentPlan {
        engine_flags: flags.map(ToOwned::to_owned).to_vec(),
        ..DeploymentPlan::default()
    };
    let fleet = Deployment::start("resume", plan)
        .await
        .expect("the fleet starts");
    let streams: Vec<_> = (0..4)
        .map(|number| {
            let request = Request::chat("alpha", &format!("dossier {number}"), 200);
            let router = fleet.caller_address(0);
            actix_rt::spawn(async move { request.send(router).await })
        })
        .collect();
    wait_until("all streams run", || async {
        (total_count(&fleet, "started").await >= 4).then_some(())
    })
    .await;
    for index in 0..fleet.pairs.len() {
        let before = fleet.target_counts(index).await["tokens"]
            .as_u64()
            .unwrap_or(0);
        wait_until("each stream of the engine has a token", || async {
            let counts = fleet.target_counts(index).await;
            let is_idle = counts["runs"]["started"] == 0;
            (is_idle || counts["tokens"].as_u64()? >= before + 8).then_some(())
        })
        .await;
        let fault = json!({"kind": "cut-streams"});
        fleet
            .inject_target_fault(index, fault)
            .await
            .expect("the engine takes the fault");
    }
    for stream in streams {
        let answer = stream
            .await
            .expect("the caller's task ends")
            .expect_complete();
        assert!(is_complete_stream(&answer.body), "{}", answer.body);
    }
    assert!(
        total_count(&fleet, "resumes").await > 0,
        "no stream was resumed"
    );
    assert_eq!(total_count(&fleet, "started").await, 4);
}
