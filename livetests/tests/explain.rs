//! Explanations and status output of `knapweedctl` for running daemons.

use std::process::Command;

use knapweed_livetests::caller::Request;
use knapweed_livetests::deployment::{Deployment, DeploymentPlan};
use knapweed_livetests::process::program_path;
use knapweed_livetests::wait_until;
use serde_json::Value;

async fn start(name: &str) -> Deployment {
    let flags = ["--step-micros", "20000", "--down-millis", "300"];
    let plan = DeploymentPlan {
        routers: 1,
        engines: 1,
        engine_flags: flags.map(ToOwned::to_owned).to_vec(),
        ..DeploymentPlan::default()
    };
    Deployment::start(name, plan)
        .await
        .expect("the fleet starts")
}

/// Runs `knapweedctl --json` and returns its output.
fn run_ctl(fleet: &Deployment, arguments: &[&str], use_addr_flag: bool) -> Value {
    let program = program_path("knapweedctl").expect("the program is built");
    let mut command = Command::new(program);
    command.args(arguments);
    let agents = fleet.pairs.iter().map(|pair| &pair.agent);
    for process in fleet.routers.iter().chain(agents) {
        let address = process.address("operators").to_string();
        match use_addr_flag {
            true => command.args(["--addr", &address]),
            false => command.arg(&address),
        };
    }
    let output = command.arg("--json").output().expect("the program runs");
    serde_json::from_slice(&output.stdout).unwrap_or_else(|error| {
        let errors = String::from_utf8_lossy(&output.stderr);
        panic!(
            "{error}: {}{errors}",
            String::from_utf8_lossy(&output.stdout)
        )
    })
}

/// The decisions about a request: process, step, details and the text of the rules.
fn explain(fleet: &Deployment, request: &str) -> String {
    let answer = run_ctl(fleet, &["why", request], true);
    let decisions = answer["decisions"].as_array().into_iter().flatten();
    let mut decisions: Vec<&Value> = decisions.collect();
    // Router and agent record the end of a request concurrently, in either order.
    let is_other_step = |decision: &&Value| decision["step"] != "end";
    let ends = decisions.iter().rposition(is_other_step);
    let ends = ends.map_or(0, |last| last + 1);
    decisions[ends..].sort_by_key(|decision| decision["process"].as_str());
    let mut lines = String::new();
    for decision in decisions {
        let text = |key: &str| decision[key].as_str().unwrap_or_default().to_owned();
        lines += &format!("{} {}: {}\n", text("process"), text("step"), text("detail"));
        for rule in decision["rules"].as_array().into_iter().flatten() {
            // Leaves out the addresses, which differ between runs.
            let text = rule["text"].as_str().unwrap_or_default();
            let text = text.split(" data ").next().unwrap_or_default();
            let asker = rule["asker"].as_str().unwrap_or_default();
            lines += &format!("    {text}  # asked by: {asker}\n");
        }
    }
    lines
}

#[actix_rt::test]
async fn an_answered_request_is_explained_by_its_rules() {
    let fleet = start("why-answered").await;
    let answer = Request::chat("alpha", "how wide is the core", 3)
        .send(fleet.caller_address(0))
        .await;
    insta::assert_snapshot!(explain(&fleet, &answer.expect_complete().request_id));
}

#[actix_rt::test]
async fn a_refused_request_is_explained() {
    let fleet = start("why-refused").await;
    let answer = Request::post("/v1/secret", "alpha", "{}")
        .send(fleet.caller_address(0))
        .await;
    insta::assert_snapshot!(explain(&fleet, &answer.expect_complete().request_id));
}

#[actix_rt::test]
async fn a_queued_request_is_explained() {
    let fleet = start("why-queued").await;
    let requests = (0..12).map(|number| {
        let request = Request::chat("alpha", &format!("review {number}"), 10);
        let router = fleet.caller_address(0);
        async move { request.send(router).await.expect_complete().request_id }
    });
    let requests = futures::future::join_all(requests).await;
    let explanations = requests.iter().map(|request| explain(&fleet, request));
    let queued: Vec<_> = explanations
        .filter(|explanation| explanation.contains(" queue: "))
        .collect();
    assert!(!queued.is_empty(), "no request was queued");
    for explanation in &queued {
        for step in ["identify", "match", "queue", "dispatch", "accept", "end"] {
            assert!(
                explanation.contains(&format!(" {step}: ")),
                "no {step} in:\n{explanation}"
            );
        }
    }
}

#[actix_rt::test]
async fn a_quarantined_request_is_explained() {
    let fleet = start("why-quarantined").await;
    let request = wait_until("the request is quarantined", || async {
        let request = Request::chat("beta", "crash-the-engine dossier", 30);
        let outcome = request.send(fleet.caller_address(0)).await;
        match outcome {
            knapweed_livetests::caller::SendOutcome::Complete(answer)
                if answer.reason() == "quarantined" =>
            {
                Some(answer.request_id)
            }
            _ => None,
        }
    })
    .await;
    let explanation = explain(&fleet, &request);
    assert!(explanation.contains("is quarantined"), "{explanation}");
}

#[actix_rt::test]
async fn the_status_shows_processes_targets_and_teams() {
    let fleet = start("status").await;
    for team in ["alpha", "beta"] {
        Request::chat(team, "how wide is the core", 3)
            .send(fleet.caller_address(0))
            .await
            .expect_complete();
    }
    let status = run_ctl(&fleet, &["status"], false);
    let names = |key: &str, field: &str| -> Vec<String> {
        let rows = status[key].as_array().into_iter().flatten();
        rows.map(|row| row[field].as_str().unwrap_or_default().to_owned())
            .collect()
    };
    assert_eq!(
        names("processes", "process"),
        ["llm-0", "router-0"],
        "{status}"
    );
    assert_eq!(names("teams", "team"), ["alpha", "beta"], "{status}");
    assert_eq!(status["teams"][0]["service"], 3, "{status}");
}
