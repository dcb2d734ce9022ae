//! Edge routers that learn of a configuration late, from a store in an outage.

use std::time::Duration;

use knapweed_livetests::edge::{EdgeConfig, EdgeFleet, RED_KEY, status_of};
use standins::platform::StoreMode;
use tokio::time::sleep;

/// The bound on configurations, which is the default of the setting `bounds.config`.
const CONFIG_BOUND: Duration = Duration::from_secs(2);

/// The key of the configurations that tests write.
const NEW_KEY: &str = "another";

/// A configuration with [`NEW_KEY`] in place of [`RED_KEY`].
fn newer_config() -> EdgeConfig {
    EdgeConfig {
        version: 4,
        keys: vec![NEW_KEY],
        ..EdgeConfig::default()
    }
}

/// Checks that a router accepts [`NEW_KEY`] and refuses [`RED_KEY`].
async fn check_newer_config(fleet: &EdgeFleet, router: usize) {
    for (key, status) in [(NEW_KEY, 200), (RED_KEY, 401)] {
        let answer = fleet
            .send_to(router, "GET", "/safe/ok", "c", Some(key))
            .await;
        assert_eq!(status_of(&answer), status, "router {router}: {answer}");
    }
}

#[actix_rt::test]
async fn router_that_starts_in_an_outage_gets_the_configuration_from_a_peer() -> eyre::Result<()> {
    let mut fleet = EdgeFleet::start("config-start", 2, 1).await?;
    fleet.add_router_without_store().await?;
    sleep(CONFIG_BOUND).await;
    let answer = fleet
        .send_to(2, "GET", "/safe/ok", "s", Some(RED_KEY))
        .await;
    assert_eq!(status_of(&answer), 200, "{answer}");
    Ok(())
}

#[actix_rt::test]
async fn change_reaches_a_router_that_the_store_does_not_serve() -> eyre::Result<()> {
    let mut fleet = EdgeFleet::start("config-refused", 2, 1).await?;
    fleet.add_router_without_store().await?;
    sleep(CONFIG_BOUND).await;
    fleet.store.put("op/config", &newer_config().to_json());
    sleep(CONFIG_BOUND).await;
    for router in 0..3 {
        check_newer_config(&fleet, router).await;
    }
    Ok(())
}

#[actix_rt::test]
async fn router_that_starts_on_an_older_copy_of_the_store_gets_the_newer_configuration()
-> eyre::Result<()> {
    let mut fleet = EdgeFleet::start("config-copy", 2, 1).await?;
    let copy = fleet.store.copy();
    fleet.store.put("op/config", &newer_config().to_json());
    sleep(CONFIG_BOUND).await;
    fleet.store.go_back(copy);
    fleet.add_router().await?;
    sleep(CONFIG_BOUND).await;
    for router in 0..3 {
        check_newer_config(&fleet, router).await;
    }
    Ok(())
}

#[actix_rt::test]
async fn change_during_an_outage_reaches_all_routers_in_time_after_it() -> eyre::Result<()> {
    const ROUTERS: usize = 36;
    let fleet = EdgeFleet::start("config-outage", ROUTERS, 1).await?;
    fleet.store.set_mode(StoreMode::Silent);
    sleep(Duration::from_secs(6)).await;
    fleet.store.put("op/config", &newer_config().to_json());
    fleet.store.set_mode(StoreMode::Up);
    sleep(CONFIG_BOUND).await;
    for router in 0..ROUTERS {
        check_newer_config(&fleet, router).await;
    }
    Ok(())
}
