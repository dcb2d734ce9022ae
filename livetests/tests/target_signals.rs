//! What targets say of themselves in their responses, and responses without end.

use std::time::{Duration, Instant};

use knapweed_livetests::edge::{EdgeFleet, RED_KEY, start_with_kept_calls, status_of};
use knapweed_livetests::wait_until;
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

/// The time after a target asked for a pause in which calls may still arrive.
const GRACE: Duration = Duration::from_millis(500);

#[actix_rt::test]
async fn pause_that_a_target_asks_for_in_another_call_holds_for_requests() -> eyre::Result<()> {
    let fleet = start_with_kept_calls("pause-kept").await?;
    let target = &fleet.targets[0];
    let before = target.kept_calls().len();
    target.pause_next_kept_call(3);
    wait_until("a call is turned away", || async {
        (target.kept_calls().len() > before).then_some(())
    })
    .await;
    sleep(GRACE).await;
    for _ in 0..5 {
        let answer = fleet.send("GET", "/safe/ok", "held").await;
        assert_eq!(status_of(&answer), 503, "{answer}");
        sleep(GRACE / 2).await;
    }
    assert!(fleet.arrivals("held").is_empty());
    sleep(Duration::from_secs(2)).await;
    let answer = fleet.send("GET", "/safe/ok", "after").await;
    assert_eq!(status_of(&answer), 200, "{answer}");
    Ok(())
}

#[actix_rt::test]
async fn target_is_not_asked_what_it_keeps_in_a_pause_or_while_it_leaves() -> eyre::Result<()> {
    for (name, path) in [("pause", "/once/pause-4"), ("leave", "/once/leave")] {
        let fleet = start_with_kept_calls(&format!("kept-{name}")).await?;
        fleet.send("POST", path, "asks").await;
        sleep(GRACE).await;
        let from = Instant::now();
        sleep(Duration::from_secs(3)).await;
        let calls = fleet.targets[0].kept_calls();
        let late = calls.iter().filter(|&&at| at > from).count();
        assert_eq!(late, 0, "{name}");
    }
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
