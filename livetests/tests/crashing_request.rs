//! Requests that crash the targets that run them.

use std::time::Duration;

use knapweed_livetests::edge::{EdgeFleet, RED_KEY, status_of};
use tokio::time::sleep;

/// The number of targets that a request may crash before all routers must know it.
const KNOWN_CRASHES: usize = 3;

/// The number of further arrivals at targets that are allowed.
const ALLOWED_ARRIVALS: usize = 3;

/// The time within which all routers know.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The pause between two of the requests.
const PAUSE: Duration = Duration::from_millis(400);

fn crash_count(fleet: &EdgeFleet) -> usize {
    let targets = fleet.targets.iter();
    targets.filter(|target| target.has_crashed()).count()
}

fn arrival_count(fleet: &EdgeFleet) -> usize {
    fleet.targets.iter().map(|it| it.arrivals().len()).sum()
}

/// Sends the request to the routers in turn until it has crashed [`KNOWN_CRASHES`] targets.
async fn crash_targets(fleet: &EdgeFleet, path: &str, routers: usize) {
    for number in 0..2 * KNOWN_CRASHES {
        if crash_count(fleet) >= KNOWN_CRASHES {
            break;
        }
        let id = format!("first{number}");
        fleet
            .send_to(number % routers, "GET", path, &id, Some(RED_KEY))
            .await;
        sleep(PAUSE).await;
    }
    assert!(crash_count(fleet) >= KNOWN_CRASHES, "the targets crash");
}

/// A crash within the answer left no record, so the request was accepted for ever.
#[actix_rt::test]
async fn request_that_crashes_targets_within_their_answer_is_refused() -> eyre::Result<()> {
    const ROUTERS: usize = 2;
    let fleet = EdgeFleet::start("die", ROUTERS, 16).await?;
    crash_targets(&fleet, "/safe/die", ROUTERS).await;
    sleep(STABLE_WINDOW).await;
    let before = arrival_count(&fleet);
    for number in 0..6 {
        let id = format!("later{number}");
        let answer = fleet
            .send_to(number % ROUTERS, "GET", "/safe/die", &id, Some(RED_KEY))
            .await;
        assert_ne!(status_of(&answer), 200, "{answer}");
        sleep(PAUSE).await;
    }
    let arrivals = arrival_count(&fleet) - before;
    assert!(arrivals <= ALLOWED_ARRIVALS, "{arrivals} arrivals");
    let sound = fleet.send("GET", "/safe/ok", "sound").await;
    assert_eq!(status_of(&sound), 200, "{sound}");
    Ok(())
}

/// A router that started was not told what the others knew.
#[actix_rt::test]
async fn routers_that_start_know_which_requests_crash_their_targets() -> eyre::Result<()> {
    const OLD_ROUTERS: usize = 2;
    let mut fleet = EdgeFleet::start("die-start", OLD_ROUTERS, 24).await?;
    crash_targets(&fleet, "/safe/die", OLD_ROUTERS).await;
    let mut arrivals = 0;
    for router in OLD_ROUTERS..OLD_ROUTERS + 2 {
        fleet.add_router().await?;
        sleep(STABLE_WINDOW).await;
        let before = arrival_count(&fleet);
        for number in 0..3 {
            let id = format!("later{router}-{number}");
            fleet
                .send_to(router, "GET", "/safe/die", &id, Some(RED_KEY))
                .await;
            sleep(PAUSE).await;
        }
        arrivals += arrival_count(&fleet) - before;
    }
    assert!(arrivals <= ALLOWED_ARRIVALS, "{arrivals} arrivals");
    Ok(())
}

/// A router that started refused sound requests that had been at several targets when these
/// died, although they had completed since.
#[actix_rt::test]
async fn sound_requests_beside_crashes_are_served_by_routers_that_start() -> eyre::Result<()> {
    const PATH: &str = "/resume/slow-60";
    const STREAMS: usize = 12;
    let mut fleet = EdgeFleet::start("die-beside", 1, 0).await?;
    fleet.add_fragile_targets(12, "f00").await?;
    sleep(STABLE_WINDOW).await;
    for number in 0..KNOWN_CRASHES {
        let ids: Vec<String> = (0..STREAMS).map(|it| format!("s{number}-{it}")).collect();
        let streams = ids.iter().map(|id| fleet.send("GET", PATH, id));
        let fatal = async {
            sleep(Duration::from_millis(200)).await;
            let parts = format!("f00:300,{number}:200");
            let id = format!("fatal{number}");
            fleet.send_prompt(0, "/resume/stream-3", &id, &parts).await
        };
        futures::join!(futures::future::join_all(streams), fatal);
        let sound = fleet.send("GET", PATH, &format!("sound{number}")).await;
        assert_eq!(status_of(&sound), 200, "{sound}");
        sleep(PAUSE).await;
    }
    assert!(crash_count(&fleet) >= KNOWN_CRASHES, "the targets crash");
    sleep(STABLE_WINDOW).await;
    fleet.add_router().await?;
    sleep(STABLE_WINDOW).await;
    let answer = fleet
        .send_to(1, "GET", PATH, "started", Some(RED_KEY))
        .await;
    assert_eq!(status_of(&answer), 200, "{answer}");
    Ok(())
}

/// A run that completed was told to nobody, so the other routers refused the request.
#[actix_rt::test]
async fn request_that_completes_at_one_router_is_served_by_all() -> eyre::Result<()> {
    const PATH: &str = "/once/slow-60";
    const STREAMS: usize = 24;
    let mut fleet = EdgeFleet::start("die-complete", 2, 0).await?;
    fleet.add_fragile_targets(8, "f00").await?;
    sleep(STABLE_WINDOW).await;
    let ids: Vec<String> = (0..STREAMS).map(|it| format!("s{it}")).collect();
    let streams = ids.iter().map(|id| fleet.send("GET", PATH, id));
    let fatal = async {
        sleep(Duration::from_millis(200)).await;
        for number in 0..KNOWN_CRASHES {
            let parts = format!("f00:300,{number}:200");
            let id = format!("fatal{number}");
            fleet.send_prompt(0, "/once/stream-3", &id, &parts).await;
        }
    };
    let (answers, ()) = futures::join!(futures::future::join_all(streams), fatal);
    assert!(crash_count(&fleet) >= KNOWN_CRASHES, "the targets crash");
    let mut statuses = answers.iter().map(|answer| status_of(answer));
    assert!(statuses.any(|status| status == 200), "a stream completes");
    sleep(STABLE_WINDOW).await;
    for router in 0..2 {
        let id = format!("later{router}");
        let answer = fleet.send_to(router, "GET", PATH, &id, Some(RED_KEY)).await;
        assert_eq!(status_of(&answer), 200, "router {router}: {answer}");
    }
    Ok(())
}
