//! Orders that agents send to their engines.

use knapweed_livetests::deployment::{Deployment, DeploymentPlan, fetch_dump, http_get};
use knapweed_livetests::wait_until;
use serde_json::{Value, json};

/// A rule that places one replica of a model.
const MODEL_RULE: &str = "model review pool llm version 2026.10 replicas 1  # asked by: tests\n";

/// The name of the model as reported by engines.
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

/// The state of the orders in the dump of an agent.
async fn order_state(fleet: &Deployment, index: usize) -> Value {
    let operators = fleet.pairs[index].agent.address("operators");
    let state = fetch_dump(operators).await.expect("the agent answers");
    state["role"]["orders"].clone()
}

/// The JSON response of an engine to a GET request.
async fn get_from_engine(fleet: &Deployment, index: usize, path: &str) -> Value {
    let address = fleet.pairs[index].target.address("listen");
    let (_, body) = http_get(address, path).await.expect("the engine answers");
    serde_json::from_str(&body).expect("the answer is JSON")
}

/// Waits until an agent wants the model on its engine, and returns its index.
async fn wait_for_chosen_agent(fleet: &Deployment) -> usize {
    wait_until("an agent wants the model", || async {
        for index in 0..fleet.pairs.len() {
            if order_state(fleet, index).await["wanted"] == json!([MODEL_NAME]) {
                return Some(index);
            }
        }
        None
    })
    .await
}

/// The load orders that an engine accepted.
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
async fn model_is_loaded_on_the_engine_on_which_it_is_placed() {
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
    // A restarted engine holds no model and gets the order again.
    fleet
        .inject_target_fault(index, json!({"kind": "crash"}))
        .await
        .expect("the engine takes the fault");
    wait_until("the agent has read the empty report", || async {
        (order_state(&fleet, index).await["models"] == json!([])).then_some(())
    })
    .await;
    wait_until("the engine has accepted a second order", || async {
        (load_orders(&fleet, index).await.len() == 2).then_some(())
    })
    .await;
    wait_until_loaded(&fleet, index).await;
}

#[actix_rt::test]
async fn agent_sends_no_orders_after_its_fencing_number_is_refused() {
    let mut fleet = start("fenced", &[]).await;
    for pair in &fleet.pairs {
        let url = format!("http://{}/v1/orders", pair.target.address("listen"));
        let order = json!({"kind": "role", "role": "of a later life"});
        let request = awc::Client::default().post(url);
        let request = request.insert_header(("x-fencing", u64::MAX.to_string()));
        let answer = request.send_json(&order).await.expect("the engine answers");
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
    // A new version of the model does not cause a retry.
    fleet.extra_rules = MODEL_RULE.replace("2026.10", "2026.11");
    fleet.publish().await.expect("the rules are published");
    fleet.wait_until_ready().await;
    wait_until("the agent wants the new version", || async {
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
async fn engine_that_ignores_fencing_numbers_gets_no_order_twice() {
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
