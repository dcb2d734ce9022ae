//! Faults of targets, callers and the configuration service.

use knapweed_livetests::caller::{Call, Ending, is_whole_stream};
use knapweed_livetests::deployment::{Deployment, Plan, dump, get};
use knapweed_livetests::until;
use serde_json::json;

fn slow() -> Plan {
    let flags = ["--step-micros", "20000"];
    Plan {
        engine_flags: flags.map(ToOwned::to_owned).to_vec(),
        ..Plan::default()
    }
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
async fn a_stream_whose_target_dies_never_ends_cleanly() {
    let fleet = Deployment::start("target-dies", slow())
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
        (started(&fleet).await >= 4).then_some(())
    })
    .await;
    for index in 0..2 {
        fleet
            .fault(index, json!({"kind": "crash"}))
            .await
            .expect("the engine takes the fault");
    }
    for stream in streams {
        match stream.await.expect("the caller's task ends") {
            Ending::Cut => {}
            Ending::Lost => panic!("the router closed a connection without a response"),
            Ending::Whole(answer) => {
                let answered = answer.status == 200 && is_whole_stream(&answer.body);
                assert!(answered || answer.status >= 500, "{answer:?}");
            }
        }
    }
}

#[actix_rt::test]
async fn a_caller_that_leaves_frees_its_slot() {
    let fleet = Deployment::start("caller-leaves", slow())
        .await
        .expect("the fleet starts");
    let call = Call::chat("alpha", "dossier", 5000);
    let router = fleet.callers(0);
    let stream = actix_rt::spawn(async move { call.send(router).await });
    until("the stream runs", || async {
        (started(&fleet).await >= 1).then_some(())
    })
    .await;
    stream.abort();
    until("the run is cancelled", || async {
        let mut cancelled = 0;
        for index in 0..fleet.pairs.len() {
            cancelled += fleet.counts(index).await["runs"]["cancelled"]
                .as_u64()
                .unwrap_or(0);
        }
        (cancelled == 1).then_some(())
    })
    .await;
    until("the agents hold no slot", || async {
        for pair in &fleet.pairs {
            let state = dump(pair.agent.address("operators")).await?;
            if state["role"]["load"]["running"].as_u64()? > 0 {
                return None;
            }
        }
        Some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_drained_data_centre_gets_no_new_work_and_cuts_none() {
    let mut fleet = Deployment::start("drain", slow())
        .await
        .expect("the fleet starts");
    let streams: Vec<_> = (0..4)
        .map(|number| {
            let call = Call::chat("alpha", &format!("dossier {number}"), 50);
            let router = fleet.callers(0);
            actix_rt::spawn(async move { call.send(router).await })
        })
        .collect();
    until("all streams run", || async {
        (started(&fleet).await >= 4).then_some(())
    })
    .await;
    fleet.extra = "drain data-centre dc1  # asked by: tests\n".to_owned();
    fleet.publish().await.expect("the rules are published");
    fleet.ready().await;
    let before = fleet.counts(0).await["runs"]["started"].as_u64();
    for number in 0..20 {
        let call = Call::chat("beta", &format!("question {number}"), 2);
        let answer = call.send(fleet.callers(number % 2)).await.whole();
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(fleet.counts(0).await["runs"]["started"].as_u64(), before);
    for stream in streams {
        let answer = stream.await.expect("the caller's task ends").whole();
        assert!(is_whole_stream(&answer.body), "{}", answer.body);
    }
}

/// Whether every router knows that `count` members leave by the VM list.
async fn leaving(fleet: &Deployment, count: usize) -> Option<()> {
    for router in &fleet.routers {
        let state = dump(router.address("operators")).await?;
        let members = state["fleet"]["members"].as_array()?;
        let listed = members.iter().filter(|it| it["leaving"] == "VM list");
        if listed.count() != count {
            return None;
        }
    }
    Some(())
}

#[actix_rt::test]
async fn a_target_whose_vm_leaves_gets_no_new_work_and_cuts_none() {
    let mut fleet = Deployment::start("vm-leaves", Plan::default())
        .await
        .expect("the fleet starts");
    let streams: Vec<_> = (0..4)
        .map(|number| {
            let call = Call::chat("alpha", &format!("dossier {number}"), 50);
            let router = fleet.callers(0);
            actix_rt::spawn(async move { call.send(router).await })
        })
        .collect();
    until("all streams run", || async {
        (started(&fleet).await >= 4).then_some(())
    })
    .await;
    fleet.leaving = vec!["llm-0".to_owned()];
    fleet.publish_vms().await.expect("the list is published");
    until("the routers know", || leaving(&fleet, 1)).await;
    let before = fleet.counts(0).await["runs"]["started"].as_u64();
    assert!(before > Some(0), "the target ran nothing before");
    // More than the other target has slots, so that some wait.
    let questions: Vec<_> = (0..40)
        .map(|number| {
            let call = Call::chat("beta", &format!("question {number}"), 20);
            let router = fleet.callers(number % 2);
            actix_rt::spawn(async move { call.send(router).await })
        })
        .collect();
    for question in questions {
        let answer = question.await.expect("the caller's task ends").whole();
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(fleet.counts(0).await["runs"]["started"].as_u64(), before);
    for stream in streams {
        let answer = stream.await.expect("the caller's task ends").whole();
        assert!(is_whole_stream(&answer.body), "{}", answer.body);
    }
    fleet.leaving.clear();
    fleet.publish_vms().await.expect("the list is published");
    until("the routers know", || leaving(&fleet, 0)).await;
    until("the target gets work again", || async {
        let call = Call::chat("beta", "a question after the return", 2);
        call.send(fleet.callers(0)).await.whole();
        let now = fleet.counts(0).await["runs"]["started"].as_u64();
        (now > before).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_stale_service_never_takes_a_revision_back() {
    let mut fleet = Deployment::start("stale", Plan::default())
        .await
        .expect("the fleet starts");
    for _ in 0..3 {
        fleet.publish().await.expect("the rules are published");
    }
    fleet.ready().await;
    let stale = json!({"kind": "stale", "behind": 2});
    fleet
        .service_fault(stale)
        .await
        .expect("the service takes the fault");
    fleet.add_router(0).expect("the router starts again");
    fleet.publish_vms().await.expect("the list is published");
    fleet.ready().await;
    for router in &fleet.routers {
        let state = dump(router.address("operators"))
            .await
            .expect("the router answers");
        assert_eq!(state["revision"].as_u64(), Some(fleet.revision));
    }
}

#[actix_rt::test]
async fn a_router_that_starts_while_the_service_is_down_learns_from_peers() {
    let mut fleet = Deployment::start("down", Plan::default())
        .await
        .expect("the fleet starts");
    fleet
        .service_fault(json!({"kind": "down"}))
        .await
        .expect("the service takes the fault");
    fleet.add_router(0).expect("the router starts again");
    fleet.ready().await;
    let answer = Call::chat("alpha", "hello", 3)
        .send(fleet.callers(0))
        .await
        .whole();
    assert_eq!(answer.status, 200, "{}", answer.body);
}

#[actix_rt::test]
async fn garbage_from_the_service_changes_nothing() {
    let fleet = Deployment::start("garbage", Plan::default())
        .await
        .expect("the fleet starts");
    for kind in ["garbage", "half", "oversize"] {
        fleet
            .service_fault(json!({"kind": kind}))
            .await
            .expect("the service takes the fault");
        let answer = Call::chat("alpha", kind, 3)
            .send(fleet.callers(0))
            .await
            .whole();
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    fleet.ready().await;
}

#[actix_rt::test]
async fn a_request_that_crashes_targets_is_stopped_and_bystanders_are_served() {
    let flags = ["--down-millis", "300"];
    let plan = Plan {
        engines: 4,
        engine_flags: flags.map(ToOwned::to_owned).to_vec(),
        ..Plan::default()
    };
    let fleet = Deployment::start("crasher", plan)
        .await
        .expect("the fleet starts");
    let crasher = Call::chat("beta", "crash-the-engine dossier", 30);
    let mut reasons = Vec::new();
    let mut refused = String::new();
    for repeat in 0..12 {
        let answer = match crasher.send(fleet.callers(repeat % 2)).await {
            Ending::Whole(answer) => answer,
            Ending::Cut | Ending::Lost => continue,
        };
        assert_ne!(answer.status, 200, "{}", answer.body);
        reasons.push(answer.reason());
        refused = answer.request;
        until("a bystander is served", || async {
            let ending = Call::chat("alpha", "bystander", 3)
                .send(fleet.callers(0))
                .await;
            matches!(ending, Ending::Whole(answer) if answer.status == 200).then_some(())
        })
        .await;
    }
    // The last repeat went through router 1.
    let operators = fleet.routers[1].address("operators");
    let (_, why) = get(operators, &format!("/why/{refused}"))
        .await
        .expect("the router answers");
    assert!(why.contains("is quarantined"), "{why}");
    let mut deaths = 0;
    for index in 0..fleet.pairs.len() {
        deaths += fleet.counts(index).await["deaths"].as_u64().unwrap_or(0);
    }
    assert_eq!(
        reasons.last().map(String::as_str),
        Some("quarantined"),
        "{reasons:?}"
    );
    assert!(deaths <= 3, "{deaths} targets died of one request");
}
