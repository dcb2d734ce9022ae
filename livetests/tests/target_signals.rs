//! What targets say of themselves in their responses, and responses without end.

use std::time::Duration;

use knapweed_livetests::edge::{EdgeFleet, RED_KEY, status_of};
use tokio::time::sleep;

/// The time within which routers exchange what targets said.
const EXCHANGE_TIME: Duration = Duration::from_secs(1);

/// Sends requests to a router and returns how many of them reached the target that
/// received the request `id`.
async fn arrivals_after(fleet: &EdgeFleet, router: usize, id: &str) -> usize {
    let arrivals = fleet.arrivals(id);
    let number = arrivals[0].target.trim_start_matches('t').parse();
    let target: usize = number.expect("the number of a target");
    let before = fleet.arrival_count(target);
    for _ in 0..10 {
        let answer = fleet.send_to(router, "GET", "/safe/ok", "n", Some(RED_KEY));
        assert_eq!(status_of(&answer.await), 200);
    }
    fleet.arrival_count(target) - before
}

#[actix_rt::test]
async fn target_that_says_it_leaves_gets_no_further_requests() -> eyre::Result<()> {
    for (name, path) in [("says", "/safe/leave"), ("refuses", "/safe/shed-leave")] {
        let mut fleet = EdgeFleet::start(&format!("leaving-{name}"), 2, 2).await?;
        fleet.send("GET", path, "leave").await;
        if name == "refuses" {
            // Both targets have said that they leave.
            let answer = fleet.send("GET", "/safe/ok", "later").await;
            assert_eq!(status_of(&answer), 503, "{answer}");
            fleet.add_target("v1").await?;
            fleet
                .wait_for_status(0, "/safe/ok", Some(RED_KEY), 200)
                .await;
        }
        assert_eq!(arrivals_after(&fleet, 0, "leave").await, 0);
        // The entry is read again, and is still `ready`.
        sleep(EXCHANGE_TIME).await;
        fleet
            .wait_for_status(1, "/safe/ok", Some(RED_KEY), 200)
            .await;
        for router in 0..2 {
            assert_eq!(arrivals_after(&fleet, router, "leave").await, 0);
        }
    }
    Ok(())
}

#[actix_rt::test]
async fn targets_that_ask_for_a_pause_get_no_requests_until_its_end() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("pause", 1, 2).await?;
    // The second target is tried after the first one has asked for a pause.
    let answer = fleet.send("POST", "/once/pause-2", "pause").await;
    assert_eq!(status_of(&answer), 503, "{answer}");
    assert_eq!(fleet.arrivals("pause").len(), 2);
    for _ in 0..5 {
        let answer = fleet.send("GET", "/safe/ok", "held").await;
        assert_eq!(status_of(&answer), 503, "{answer}");
        let mut lines = answer.lines();
        let retry = lines.find_map(|line| line.strip_prefix("retry-after: "));
        let retry: f64 = retry.expect("a retry-after header").parse()?;
        assert!((1.0..=2.2).contains(&retry), "{answer}");
    }
    assert!(fleet.arrivals("held").is_empty());
    sleep(Duration::from_secs(2)).await;
    let answer = fleet.send("GET", "/safe/ok", "after").await;
    assert_eq!(status_of(&answer), 200, "{answer}");
    Ok(())
}

#[actix_rt::test]
async fn response_without_end_is_given_up_before_the_deadline() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("endless", 1, 1).await?;
    for part in ["head", "informational", "other", "extension"] {
        let path = format!("/once/endless-{part}");
        let answer = fleet.send("POST", &path, part).await;
        // At the deadline the status would be 504.
        assert_eq!(status_of(&answer), 502, "{part}: {answer}");
        assert_eq!(fleet.arrivals(part).len(), 1);
    }
    Ok(())
}
