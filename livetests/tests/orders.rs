//! Orders of agents to their engines.

use knapweed_livetests::deployment::{Deployment, DeploymentPlan, fetch_dump, http_get};
use knapweed_livetests::wait_until;
use serde_json::{Value, json};

/// The rule that places one model on one engine.
const MODEL_RULE: &str = "model review pool llm version 2026.10 replicas 1  # asked by: tests\n";

/// The model as engines report it.
const MODEL_NAME: &str = "review@2026.10";

async fn start(name: &str, flags: &[&str]) -> Deployment {
    let plan = DeploymentPlan {
        engine_flags: flags.iter().map(ToString::to_string).collect(),
        ..DeploymentPlan::default()
    };
    Deployment::start(name, plan)
        .await
        .expect("the fleet starts")
}

/// What an agent's dump says of its orders.
async fn order_state(fleet: &Deployment, index: usize) -> Value {
    let operators = fleet.pairs[index].agent.address("operators");
    let state = fetch_dump(operators).await.expect("the agent answers");
    state["role"]["orders"].clone()
}

/// The answer of an engine to a question.
async fn get_from_engine(fleet: &Deployment, index: usize, path: &str) -> Value {
    let address = fleet.pairs[index].target.address("listen");
    let (_, body) = http_get(address, path).await.expect("the engine answers");
    serde_json::from_str(&body).expect("the answer is JSON")
}

/// The agent whose engine should hold the model.
async fn wait_for_chosen_agent(fleet: &Deployment) -> usize {
    wait_until("an agent has an order to give", || async {
        for index in 0..fleet.pairs.len() {
            if order_state(fleet, index).await["wanted"] == json!([MODEL_NAME]) {
                return Some(index);
            }
        }
        None
    })
    .await
}

/// The loads that an engine took.
async fn load_orders(fleet: &Deployment, index: usize) -> Vec<Value> {
    let accepted = get_from_engine(fleet, index, "/test/orders").await;
    let accepted = accepted.as_array().expect("a list of orders").clone();
    let is_load = |order: &Value| order[1]["kind"] == "load";
    accepted.into_iter().filter(is_load).collect()
}

async fn wait_until_loaded(fleet: &Deployment, index: usize) {
    wait_until("the engine reports the model", || async {
        let report = get_from_engine(fleet, index, "/load").await;
        (report["models"] == json!([MODEL_NAME])).then_some(())
    })
    .await;
    wait_until("the agent has read the report", || async {
        let dump = order_state(fleet, index).await;
        (dump["models"] == json!([MODEL_NAME])).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_model_rule_is_carried_out_at_the_engine_that_it_is_placed_on() {
    let mut fleet = start("model", &[]).await;
    fleet.extra_rules = MODEL_RULE.to_owned();
    fleet.publish().await.expect("the rules are published");
    fleet.wait_until_ready().await;
    let index = wait_for_chosen_agent(&fleet).await;
    wait_until_loaded(&fleet, index).await;
    let accepted = load_orders(&fleet, index).await;
    assert_eq!(accepted.len(), 1, "{accepted:?}");
    assert!(load_orders(&fleet, 1 - index).await.is_empty());
    let state = order_state(&fleet, index).await;
    assert_eq!(state["held"], true);
    assert_eq!(state["past"][0]["order"], format!("load {MODEL_NAME}"));
    assert_eq!(state["past"][0]["outcome"], "done");
    assert_eq!(state["past"][0]["fencing"], accepted[0][0]);
    assert!(accepted[0][0].as_u64() > Some(0));
    // An engine that restarts holds nothing and is given the order again.
    fleet
        .inject_target_fault(index, json!({"kind": "crash"}))
        .await
        .expect("the engine takes the fault");
    wait_until("the agent has seen the loss", || async {
        (order_state(&fleet, index).await["models"] == json!([])).then_some(())
    })
    .await;
    wait_until("the engine took a second order", || async {
        (load_orders(&fleet, index).await.len() == 2).then_some(())
    })
    .await;
    wait_until_loaded(&fleet, index).await;
}

#[actix_rt::test]
async fn an_agent_whose_number_is_refused_gives_no_more_orders() {
    let mut fleet = start("fenced", &[]).await;
    for pair in &fleet.pairs {
        let url = format!("http://{}/v1/orders", pair.target.address("listen"));
        let order = json!({"kind": "role", "role": "of a later life"});
        let request = awc::Client::default().post(url);
        let request = request.insert_header(("x-fencing", u64::MAX.to_string()));
        let answer = request.send_json(&order).await.expect("it answers");
        assert!(answer.status().is_success());
    }
    fleet.extra_rules = MODEL_RULE.to_owned();
    fleet.publish().await.expect("the rules are published");
    fleet.wait_until_ready().await;
    let index = wait_for_chosen_agent(&fleet).await;
    wait_until("the order was refused", || async {
        (order_state(&fleet, index).await["is_fenced"] == true).then_some(())
    })
    .await;
    let state = order_state(&fleet, index).await;
    assert_eq!(state["past"][0]["outcome"], "fencing number refused");
    // A new version is no reason to try again.
    fleet.extra_rules = MODEL_RULE.replace("2026.10", "2026.11");
    fleet.publish().await.expect("the rules are published");
    fleet.wait_until_ready().await;
    wait_until("the agent knows the new version", || async {
        let wanted = order_state(&fleet, index).await["wanted"].clone();
        (wanted == json!(["review@2026.11"])).then_some(())
    })
    .await;
    for pair in 0..fleet.pairs.len() {
        assert!(load_orders(&fleet, pair).await.is_empty());
    }
    assert_eq!(
        order_state(&fleet, index).await["past"]
            .as_array()
            .map(Vec::len),
        Some(1)
    );
}

#[actix_rt::test]
async fn an_engine_that_ignores_numbers_gets_no_order_twice() {
    let mut fleet = start("unfenced", &["--ignore-fencing"]).await;
    fleet.extra_rules = MODEL_RULE.to_owned();
    fleet.publish().await.expect("the rules are published");
    fleet.wait_until_ready().await;
    let index = wait_for_chosen_agent(&fleet).await;
    wait_until_loaded(&fleet, index).await;
    for _ in 0..3 {
        fleet.publish().await.expect("the rules are published");
        fleet.wait_until_ready().await;
    }
    wait_until_loaded(&fleet, index).await;
    assert_eq!(load_orders(&fleet, index).await.len(), 1);
    assert!(load_orders(&fleet, 1 - index).await.is_empty());
}
