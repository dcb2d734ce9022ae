//! Failures of targets, callers and the configuration service.

use knapweed_livetests::caller::{Request, SendOutcome, is_complete_stream};
use knapweed_livetests::deployment::{Deployment, DeploymentPlan, fetch_dump, http_get};
use knapweed_livetests::wait_until;
use serde_json::json;

fn slow_engines() -> DeploymentPlan {
    let flags = ["--step-micros", "20000"];
    DeploymentPlan {
        engine_flags: flags.map(ToOwned::to_owned).to_vec(),
        ..DeploymentPlan::default()
    }
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
async fn stream_of_a_crashed_target_never_appears_complete() {
    let fleet = Deployment::start("target-dies", slow_engines())
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
        (started_count(&fleet).await >= 4).then_some(())
    })
    .await;
    for index in 0..2 {
        fleet
            .inject_target_fault(index, json!({"kind": "crash"}))
            .await
            .expect("the engine takes the fault");
    }
    for stream in streams {
        match stream.await.expect("the caller's task ends") {
            SendOutcome::Truncated => {}
            SendOutcome::NoResponse => panic!("the router closed a connection without a response"),
            SendOutcome::Complete(answer) => {
                let answered = answer.status == 200 && is_complete_stream(&answer.body);
                assert!(answered || answer.status >= 500, "{answer:?}");
            }
        }
    }
}

#[actix_rt::test]
async fn disconnect_of_a_caller_frees_its_slot() {
    let fleet = Deployment::start("caller-leaves", slow_engines())
        .await
        .expect("the fleet starts");
    let request = Request::chat("alpha", "dossier", 5000);
    let router = fleet.caller_address(0);
    let stream = actix_rt::spawn(async move { request.send(router).await });
    wait_until("the stream runs", || async {
        (started_count(&fleet).await >= 1).then_some(())
    })
    .await;
    stream.abort();
    wait_until("the run is cancelled", || async {
        let mut cancelled = 0;
        for index in 0..fleet.pairs.len() {
            cancelled += fleet.target_counts(index).await["runs"]["cancelled"]
                .as_u64()
                .unwrap_or(0);
        }
        (cancelled == 1).then_some(())
    })
    .await;
    wait_until("the agents hold no slot", || async {
        for pair in &fleet.pairs {
            let state = fetch_dump(pair.agent.address("operators")).await?;
            if state["role"]["load"]["running"].as_u64()? > 0 {
                return None;
            }
        }
        Some(())
    })
    .await;
}

#[actix_rt::test]
async fn drained_data_centre_gets_no_new_requests_and_completes_running_ones() {
    let mut fleet = Deployment::start("drain", slow_engines())
        .await
        .expect("the fleet starts");
    let streams: Vec<_> = (0..4)
        .map(|number| {
            let request = Request::chat("alpha", &format!("dossier {number}"), 50);
            let router = fleet.caller_address(0);
            actix_rt::spawn(async move { request.send(router).await })
        })
        .collect();
    wait_until("all streams run", || async {
        (started_count(&fleet).await >= 4).then_some(())
    })
    .await;
    fleet.extra_rules = "drain data-centre dc1  # asked by: tests\n".to_owned();
    fleet.publish().await.expect("the rules are published");
    fleet.wait_until_ready().await;
    let before = fleet.target_counts(0).await["runs"]["started"].as_u64();
    for number in 0..20 {
        let request = Request::chat("beta", &format!("question {number}"), 2);
        let answer = request
            .send(fleet.caller_address(number % 2))
            .await
            .expect_complete();
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(
        fleet.target_counts(0).await["runs"]["started"].as_u64(),
        before
    );
    for stream in streams {
        let answer = stream
            .await
            .expect("the caller's task ends")
            .expect_complete();
        assert!(is_complete_stream(&answer.body), "{}", answer.body);
    }
}

/// Whether every router sees `count` members as leaving by the VM list.
async fn routers_see_leaving(fleet: &Deployment, count: usize) -> Option<()> {
    for router in &fleet.routers {
        let state = fetch_dump(router.address("operators")).await?;
        let members = state["fleet"]["members"].as_array()?;
        let listed = members.iter().filter(|it| it["leaving"] == "VM list");
        if listed.count() != count {
            return None;
        }
    }
    Some(())
}

#[actix_rt::test]
async fn target_on_a_leaving_vm_gets_no_new_requests_and_completes_running_ones() {
    let mut fleet = Deployment::start("vm-leaves", DeploymentPlan::default())
        .await
        .expect("the fleet starts");
    let streams: Vec<_> = (0..4)
        .map(|number| {
            let request = Request::chat("alpha", &format!("dossier {number}"), 50);
            let router = fleet.caller_address(0);
            actix_rt::spawn(async move { request.send(router).await })
        })
        .collect();
    wait_until("all streams run", || async {
        (started_count(&fleet).await >= 4).then_some(())
    })
    .await;
    fleet.leaving_vms = vec!["llm-0".to_owned()];
    fleet.publish_vms().await.expect("the list is published");
    wait_until("the routers have read the VM list", || {
        routers_see_leaving(&fleet, 1)
    })
    .await;
    let before = fleet.target_counts(0).await["runs"]["started"].as_u64();
    assert!(before > Some(0), "the target has run no request before");
    // More requests than the other target has slots, so that some are queued.
    let questions: Vec<_> = (0..40)
        .map(|number| {
            let request = Request::chat("beta", &format!("question {number}"), 20);
            let router = fleet.caller_address(number % 2);
            actix_rt::spawn(async move { request.send(router).await })
        })
        .collect();
    for question in questions {
        let answer = question
            .await
            .expect("the caller's task ends")
            .expect_complete();
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(
        fleet.target_counts(0).await["runs"]["started"].as_u64(),
        before
    );
    for stream in streams {
        let answer = stream
            .await
            .expect("the caller's task ends")
            .expect_complete();
        assert!(is_complete_stream(&answer.body), "{}", answer.body);
    }
    fleet.leaving_vms.clear();
    fleet.publish_vms().await.expect("the list is published");
    wait_until("the routers have read the VM list", || {
        routers_see_leaving(&fleet, 0)
    })
    .await;
    wait_until("the target gets requests again", || async {
        let request = Request::chat("beta", "a question after the return", 2);
        request
            .send(fleet.caller_address(0))
            .await
            .expect_complete();
        let now = fleet.target_counts(0).await["runs"]["started"].as_u64();
        (now > before).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn stale_config_service_does_not_revert_a_revision() {
    let mut fleet = Deployment::start("stale", DeploymentPlan::default())
        .await
        .expect("the fleet starts");
    for _ in 0..3 {
        fleet.publish().await.expect("the rules are published");
    }
    fleet.wait_until_ready().await;
    let stale = json!({"kind": "stale", "behind": 2});
    fleet
        .inject_service_fault(stale)
        .await
        .expect("the service takes the fault");
    fleet.start_router(0).expect("the router restarts");
    fleet.publish_vms().await.expect("the list is published");
    fleet.wait_until_ready().await;
    for router in &fleet.routers {
        let state = fetch_dump(router.address("operators"))
            .await
            .expect("the router answers");
        assert_eq!(state["revision"].as_u64(), Some(fleet.revision));
    }
}

#[actix_rt::test]
async fn router_gets_the_rules_from_peers_while_the_config_service_is_down() {
    let mut fleet = Deployment::start("down", DeploymentPlan::default())
        .await
        .expect("the fleet starts");
    fleet
        .inject_service_fault(json!({"kind": "down"}))
        .await
        .expect("the service takes the fault");
    fleet.start_router(0).expect("the router restarts");
    fleet.wait_until_ready().await;
    let answer = Request::chat("alpha", "hello", 3)
        .send(fleet.caller_address(0))
        .await
        .expect_complete();
    assert_eq!(answer.status, 200, "{}", answer.body);
}

#[actix_rt::test]
async fn invalid_responses_of_the_config_service_are_ignored() {
    let fleet = Deployment::start("garbage", DeploymentPlan::default())
        .await
        .expect("the fleet starts");
    for kind in ["garbage", "half", "oversize"] {
        fleet
            .inject_service_fault(json!({"kind": kind}))
            .await
            .expect("the service takes the fault");
        let answer = Request::chat("alpha", kind, 3)
            .send(fleet.caller_address(0))
            .await
            .expect_complete();
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    fleet.wait_until_ready().await;
}

#[actix_rt::test]
async fn request_that_crashes_targets_is_quarantined_and_others_are_served() {
    let flags = ["--down-millis", "300"];
    let plan = DeploymentPlan {
        engines: 4,
        engine_flags: flags.map(ToOwned::to_owned).to_vec(),
        ..DeploymentPlan::default()
    };
    let fleet = Deployment::start("crasher", plan)
        .await
        .expect("the fleet starts");
    let crasher = Request::chat("beta", "crash-the-engine dossier", 30);
    let mut reasons = Vec::new();
    let mut refused = String::new();
    for repeat in 0..12 {
        let answer = match crasher.send(fleet.caller_address(repeat % 2)).await {
            SendOutcome::Complete(answer) => answer,
            SendOutcome::Truncated | SendOutcome::NoResponse => continue,
        };
        assert_ne!(answer.status, 200, "{}", answer.body);
        reasons.push(answer.reason());
        refused = answer.request_id;
        wait_until("another request is served", || async {
            let outcome = Request::chat("alpha", "bystander", 3)
                .send(fleet.caller_address(0))
                .await;
            matches!(outcome, SendOutcome::Complete(answer) if answer.status == 200).then_some(())
        })
        .await;
    }
    // The last repeat went through router 1.
    let operators = fleet.routers[1].address("operators");
    let (_, why) = http_get(operators, &format!("/why/{refused}"))
        .await
        .expect("the router answers");
    assert!(why.contains("is quarantined"), "{why}");
    let mut crashes = 0;
    for index in 0..fleet.pairs.len() {
        crashes += fleet.target_counts(index).await["deaths"]
            .as_u64()
            .unwrap_or(0);
    }
    assert_eq!(
        reasons.last().map(String::as_str),
        Some("quarantined"),
        "{reasons:?}"
    );
    assert!(crashes <= 3, "one request crashed {crashes} targets");
}
