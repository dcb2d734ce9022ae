//! Orders of agents to their engines.

use knapweed_livetests::deployment::{Deployment, Plan, dump, get};
use knapweed_livetests::until;
use serde_json::{Value, json};

/// The rule that places one model on one engine.
const MODEL: &str = "model review pool llm version 2026.10 replicas 1  # asked by: tests\n";

/// The model as engines report it.
const REVIEW: &str = "review@2026.10";

async fn start(name: &str, flags: &[&str]) -> Deployment {
    let plan = Plan {
        engine_flags: flags.iter().map(ToString::to_string).collect(),
        ..Plan::default()
    };
    Deployment::start(name, plan)
        .await
        .expect("the fleet starts")
}

/// What an agent's dump says of its orders.
async fn orders(fleet: &Deployment, index: usize) -> Value {
    let operators = fleet.pairs[index].agent.address("operators");
    let state = dump(operators).await.expect("the agent answers");
    state["role"]["orders"].clone()
}

/// The answer of an engine to a question.
async fn engine(fleet: &Deployment, index: usize, path: &str) -> Value {
    let address = fleet.pairs[index].target.address("listen");
    let (_, body) = get(address, path).await.expect("the engine answers");
    serde_json::from_str(&body).expect("the answer is JSON")
}

/// The agent whose engine should hold the model.
async fn chosen(fleet: &Deployment) -> usize {
    until("an agent has an order to give", || async {
        for index in 0..fleet.pairs.len() {
            if orders(fleet, index).await["wanted"] == json!([REVIEW]) {
                return Some(index);
            }
        }
        None
    })
    .await
}

/// The loads that an engine took.
async fn loads(fleet: &Deployment, index: usize) -> Vec<Value> {
    let taken = engine(fleet, index, "/test/orders").await;
    let taken = taken.as_array().expect("a list of orders").clone();
    let is_load = |order: &Value| order[1]["kind"] == "load";
    taken.into_iter().filter(is_load).collect()
}

async fn loaded(fleet: &Deployment, index: usize) {
    until("the engine reports the model", || async {
        let report = engine(fleet, index, "/load").await;
        (report["models"] == json!([REVIEW])).then_some(())
    })
    .await;
    until("the agent has read the report", || async {
        let dump = orders(fleet, index).await;
        (dump["models"] == json!([REVIEW])).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_model_rule_is_carried_out_at_the_engine_that_it_is_placed_on() {
    let mut fleet = start("model", &[]).await;
    fleet.extra = MODEL.to_owned();
    fleet.publish().await.expect("the rules are published");
    fleet.ready().await;
    let index = chosen(&fleet).await;
    loaded(&fleet, index).await;
    let taken = loads(&fleet, index).await;
    assert_eq!(taken.len(), 1, "{taken:?}");
    assert!(loads(&fleet, 1 - index).await.is_empty());
    let shown = orders(&fleet, index).await;
    assert_eq!(shown["held"], true);
    assert_eq!(shown["past"][0]["order"], format!("load {REVIEW}"));
    assert_eq!(shown["past"][0]["outcome"], "done");
    assert_eq!(shown["past"][0]["fencing"], taken[0][0]);
    assert!(taken[0][0].as_u64() > Some(0));
    // An engine that restarts holds nothing and is given the order again.
    fleet
        .fault(index, json!({"kind": "crash"}))
        .await
        .expect("the engine takes the fault");
    until("the agent has seen the loss", || async {
        (orders(&fleet, index).await["models"] == json!([])).then_some(())
    })
    .await;
    until("the engine took a second order", || async {
        (loads(&fleet, index).await.len() == 2).then_some(())
    })
    .await;
    loaded(&fleet, index).await;
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
    fleet.extra = MODEL.to_owned();
    fleet.publish().await.expect("the rules are published");
    fleet.ready().await;
    let index = chosen(&fleet).await;
    until("the order was refused", || async {
        (orders(&fleet, index).await["is_fenced"] == true).then_some(())
    })
    .await;
    let shown = orders(&fleet, index).await;
    assert_eq!(shown["past"][0]["outcome"], "fencing number refused");
    // A new version is no reason to try again.
    fleet.extra = MODEL.replace("2026.10", "2026.11");
    fleet.publish().await.expect("the rules are published");
    fleet.ready().await;
    until("the agent knows the new version", || async {
        let wanted = orders(&fleet, index).await["wanted"].clone();
        (wanted == json!(["review@2026.11"])).then_some(())
    })
    .await;
    for pair in 0..fleet.pairs.len() {
        assert!(loads(&fleet, pair).await.is_empty());
    }
    assert_eq!(
        orders(&fleet, index).await["past"].as_array().map(Vec::len),
        Some(1)
    );
}

#[actix_rt::test]
async fn an_engine_that_ignores_numbers_gets_no_order_twice() {
    let mut fleet = start("unfenced", &["--ignore-fencing"]).await;
    fleet.extra = MODEL.to_owned();
    fleet.publish().await.expect("the rules are published");
    fleet.ready().await;
    let index = chosen(&fleet).await;
    loaded(&fleet, index).await;
    for _ in 0..3 {
        fleet.publish().await.expect("the rules are published");
        fleet.ready().await;
    }
    loaded(&fleet, index).await;
    assert_eq!(loads(&fleet, index).await.len(), 1);
    assert!(loads(&fleet, 1 - index).await.is_empty());
}
