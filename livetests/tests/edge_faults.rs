//! Edge routers when the store, a target, a caller or a router fails.

use std::time::Duration;

use knapweed_livetests::edge::{
    EdgeConfig, EdgeFleet, RED_KEY, body_of, http_get, is_complete_chunked, status_of,
};
use knapweed_livetests::process::Signal;
use knapweed_livetests::wait_until;
use standins::platform::StoreMode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// A time in which every router has read the store or heard of it.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

fn api_key(name: &'static str) -> Option<&'static str> {
    Some(name)
}

#[actix_rt::test]
async fn keys_are_refused_while_nothing_confirms_them() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("unconfirmed", 2, 1).await?;
    fleet.store.set_mode(StoreMode::Silent);
    // The bound of withdrawal in the settings is 5 s.
    sleep(Duration::from_secs(5)).await;
    for router in 0..2 {
        let answer = fleet
            .send_to(router, "GET", "/safe/ok", "k", api_key(RED_KEY))
            .await;
        assert_eq!(status_of(&answer), 503, "{answer}");
        assert!(answer.contains("retry-after"), "{answer}");
        let open = fleet.send_to(router, "GET", "/open/ok", "o", None).await;
        assert_eq!(status_of(&open), 200, "{open}");
    }
    assert!(fleet.arrivals("k").is_empty());
    fleet.store.set_mode(StoreMode::Up);
    fleet
        .wait_for_status(0, "/safe/ok", api_key(RED_KEY), 200)
        .await;
    Ok(())
}

#[actix_rt::test]
async fn a_withdrawn_key_stops_working_on_all_routers() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("withdrawn", 4, 1).await?;
    let config = EdgeConfig {
        version: 3,
        keys: vec!["another"],
        ..EdgeConfig::default()
    };
    fleet.store.put("op/config", &config.to_json());
    sleep(PROPAGATION_TIME).await;
    for router in 0..4 {
        let answer = fleet
            .send_to(router, "GET", "/safe/ok", "w", api_key(RED_KEY))
            .await;
        assert_eq!(status_of(&answer), 401, "router {router}: {answer}");
    }
    assert!(fleet.arrivals("w").is_empty());
    Ok(())
}

#[actix_rt::test]
async fn the_others_read_when_the_one_that_watches_does_not() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("watcher", 3, 1).await?;
    sleep(PROPAGATION_TIME).await;
    for paused in 0..3 {
        // Whichever router watches, it is suspended in one of the rounds.
        fleet.signal(paused, Signal::Pause)?;
        sleep(Duration::from_millis(100)).await;
        let config = EdgeConfig {
            version: 2 + paused as u64,
            keys: vec![["one", "two", "three"][paused]],
            ..EdgeConfig::default()
        };
        fleet.store.put("op/config", &config.to_json());
        sleep(PROPAGATION_TIME).await;
        for router in (0..3).filter(|router| *router != paused) {
            let answer = fleet
                .send_to(router, "GET", "/safe/ok", "x", Some(config.keys[0]))
                .await;
            assert_eq!(status_of(&answer), 200, "router {router}: {answer}");
        }
        fleet.signal(paused, Signal::Resume)?;
        sleep(PROPAGATION_TIME).await;
    }
    Ok(())
}

#[actix_rt::test]
async fn an_older_version_is_never_taken_back() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("versions", 1, 1).await?;
    let newer = EdgeConfig {
        version: 9,
        keys: vec!["another"],
        ..EdgeConfig::default()
    };
    fleet.store.put("op/config", &newer.to_json());
    fleet
        .wait_for_status(0, "/safe/ok", api_key("another"), 200)
        .await;
    fleet
        .store
        .put("op/config", &EdgeConfig::default().to_json());
    sleep(PROPAGATION_TIME).await;
    let answer = fleet.send("GET", "/safe/ok", "v").await;
    assert_eq!(status_of(&answer), 401, "{answer}");
    Ok(())
}

#[actix_rt::test]
async fn a_lost_history_is_read_anew() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("history", 2, 1).await?;
    fleet.store.compact();
    let newer = EdgeConfig {
        version: 2,
        keys: vec!["another"],
        ..EdgeConfig::default()
    };
    fleet.store.put("op/config", &newer.to_json());
    for router in 0..2 {
        fleet
            .wait_for_status(router, "/safe/ok", api_key("another"), 200)
            .await;
    }
    Ok(())
}

#[actix_rt::test]
async fn a_stream_whose_target_goes_silent_goes_on_at_another() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("quiet", 1, 3).await?;
    let answer = fleet.send("GET", "/resume/stall-4", "q").await;
    let body = body_of(&answer);
    let ids: Vec<&str> = body
        .lines()
        .filter_map(|it| it.strip_prefix("id: "))
        .collect();
    let all: Vec<String> = (1..=10).map(|id| id.to_string()).collect();
    assert_eq!(ids, all, "{answer}");
    assert!(is_complete_chunked(&answer), "{answer}");
    assert_eq!(fleet.arrivals("q").len(), 2);
    // The silent target was told that its run is not wanted any more.
    let left: usize = fleet.targets.iter().map(|it| it.left().len()).sum();
    assert_eq!(left, 1);
    Ok(())
}

#[actix_rt::test]
async fn a_stream_that_runs_once_waits_for_its_silent_target() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("quiet-once", 1, 3).await?;
    let answer = fleet.send("POST", "/stream/stall-4", "q").await;
    assert!(!is_complete_chunked(&answer), "{answer}");
    assert_eq!(fleet.arrivals("q").len(), 1);
    Ok(())
}

#[actix_rt::test]
async fn few_routers_call_the_store() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("readers", 6, 1).await?;
    sleep(PROPAGATION_TIME).await;
    let before = fleet.store.calls();
    let span = Duration::from_secs(6);
    sleep(span).await;
    let calls = fleet.store.calls() - before;
    // One reader and one watch: under two calls a second, whatever the fleet.
    assert!(calls < 2 * span.as_secs(), "{calls} calls");
    Ok(())
}

#[actix_rt::test]
async fn each_of_many_routers_hears_all_others() -> eyre::Result<()> {
    // More than the addresses that one beat carries.
    const ROUTERS: usize = 20;
    let fleet = EdgeFleet::start("many", ROUTERS, 1).await?;
    for router in &fleet.routers {
        let operators = router.address("operators");
        wait_until("the router knows all others", || async move {
            let dump = http_get(operators, "/dump").await?;
            dump.contains(&format!("\"routers\": {ROUTERS},"))
                .then_some(())
        })
        .await;
    }
    Ok(())
}

#[actix_rt::test]
async fn leaving_targets_and_drained_centres_get_nothing() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("leaving", 3, 2).await?;
    let leaving = &fleet.targets[0];
    fleet
        .store
        .put(&leaving.key(), &leaving.entry("desk", "draining"));
    sleep(PROPAGATION_TIME).await;
    let before = fleet.arrival_count(0);
    for number in 0..12 {
        let answer = fleet
            .send_to(number % 3, "GET", "/safe/ok", "l", api_key(RED_KEY))
            .await;
        assert_eq!(status_of(&answer), 200);
    }
    assert_eq!(fleet.arrival_count(0), before);
    fleet.store.put("op/evacuate/north", &serde_json::json!({}));
    sleep(PROPAGATION_TIME).await;
    for router in 0..3 {
        let answer = fleet
            .send_to(router, "GET", "/safe/ok", "d", api_key(RED_KEY))
            .await;
        assert_eq!(status_of(&answer), 503, "{answer}");
    }
    fleet.store.delete("op/evacuate/north");
    for router in 0..3 {
        fleet
            .wait_for_status(router, "/safe/ok", api_key(RED_KEY), 200)
            .await;
    }
    Ok(())
}

#[actix_rt::test]
async fn an_entry_that_lapsed_in_an_outage_is_used_until_it_had_time_to_return() -> eyre::Result<()>
{
    let fleet = EdgeFleet::start("lapse", 1, 1).await?;
    fleet.store.set_mode(StoreMode::Busy);
    sleep(Duration::from_secs(4)).await;
    fleet.store.delete(&fleet.targets[0].key());
    fleet.store.set_mode(StoreMode::Up);
    sleep(Duration::from_secs(1)).await;
    let answer = fleet.send_to(0, "GET", "/open/ok", "p", None).await;
    assert_eq!(status_of(&answer), 200, "{answer}");
    fleet.wait_for_status(0, "/open/ok", None, 503).await;
    Ok(())
}

#[actix_rt::test]
async fn an_entry_that_cannot_be_read_hides_no_other() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("entries", 1, 1).await?;
    fleet
        .store
        .put_bytes("servers/a-garbage", b"\xff\x00not json");
    fleet.store.put(
        "servers/b-odd",
        &serde_json::json!({ "service": 7, "state": "ready" }),
    );
    sleep(PROPAGATION_TIME).await;
    let answer = fleet.send("GET", "/safe/ok", "g").await;
    assert_eq!(status_of(&answer), 200, "{answer}");
    Ok(())
}

#[actix_rt::test]
async fn an_address_that_serves_another_target_now_runs_nothing() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("reuse", 1, 2).await?;
    // The entry of a target that is gone names the address of another one.
    let old = fleet.targets[1].entry("desk", "ready");
    fleet.store.put("servers/gone", &old);
    sleep(PROPAGATION_TIME).await;
    for number in 0..8 {
        let id = format!("m{number}");
        let answer = fleet.send("POST", "/once/ok", &id).await;
        assert_eq!(status_of(&answer), 200, "{answer}");
        assert_eq!(fleet.arrivals(&id).len(), 1);
    }
    Ok(())
}

#[actix_rt::test]
async fn a_request_without_an_answer_ends_at_its_routes_limit() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("limit", 1, 1).await?;
    let config = EdgeConfig {
        version: 2,
        timeout_ms: 1_000,
        ..EdgeConfig::default()
    };
    fleet.store.put("op/config", &config.to_json());
    sleep(PROPAGATION_TIME).await;
    let started = Instant::now();
    let answer = fleet.send("POST", "/once/mute", "n").await;
    assert_eq!(status_of(&answer), 504, "{answer}");
    assert!(started.elapsed() < Duration::from_millis(1_500));
    Ok(())
}

#[actix_rt::test]
async fn a_target_is_left_when_the_caller_leaves() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("left", 1, 1).await?;
    let mut stream = TcpStream::connect(fleet.routers[0].address("callers")).await?;
    let request = format!(
        "POST /once/mute HTTP/1.1\r\nHost: desk.example\r\nX-Knapweedgate-Request-Id: q\r\n\
         Authorization: Bearer {RED_KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    wait_until("the request arrives", || async {
        (!fleet.arrivals("q").is_empty()).then_some(())
    })
    .await;
    drop(stream);
    let left = wait_until("the target is left", || async {
        (!fleet.targets[0].left().is_empty()).then_some(())
    });
    timeout(Duration::from_millis(500), left).await?;
    Ok(())
}

#[actix_rt::test]
async fn a_planned_stop_cuts_no_request() -> eyre::Result<()> {
    let mut fleet = EdgeFleet::start("stop", 1, 1).await?;
    let address = fleet.routers[0].address("callers");
    // Ten events, 200 ms apart.
    let request = format!(
        "POST /stream/slow-200 HTTP/1.1\r\nHost: desk.example\r\nX-Knapweedgate-Request-Id: y\r\n\
         Authorization: Bearer {RED_KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    let mut idle = TcpStream::connect(address).await?;
    let stream = actix_rt::spawn(async move {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        std::io::Result::Ok(String::from_utf8_lossy(&answer).into_owned())
    });
    wait_until("the request arrives", || async {
        (!fleet.arrivals("y").is_empty()).then_some(())
    })
    .await;
    fleet.signal(0, Signal::Terminate)?;
    // A caller that did not notice is served still.
    let answer = fleet.send_to(0, "GET", "/open/ok", "late", None).await;
    assert_eq!(status_of(&answer), 200, "{answer}");
    let answer = stream.await??;
    assert!(
        is_complete_chunked(&answer) && body_of(&answer).contains("token 10"),
        "{answer}"
    );
    // Idle connections are closed, so that none brings a request to a process that ends.
    let mut byte = [0];
    assert_eq!(idle.read(&mut byte).await?, 0);
    let router = &mut fleet.routers[0];
    let status = loop {
        match router.exit_status()? {
            Some(status) => break status,
            None => sleep(Duration::from_millis(20)).await,
        }
    };
    assert!(status.success(), "{status}");
    Ok(())
}

#[actix_rt::test]
async fn a_suspended_router_acts_on_no_withdrawn_key() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("suspended", 2, 1).await?;
    fleet.signal(0, Signal::Pause)?;
    let config = EdgeConfig {
        version: 2,
        keys: vec!["another"],
        ..EdgeConfig::default()
    };
    fleet.store.put("op/config", &config.to_json());
    sleep(Duration::from_secs(5)).await;
    let address = fleet.routers[0].address("callers");
    let request = format!(
        "GET /safe/ok HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\
         X-Knapweedgate-Request-Id: paused\r\nAuthorization: Bearer {RED_KEY}\r\n\r\n"
    );
    // The request waits in the router's socket when it wakes.
    let waiting =
        actix_rt::spawn(async move { knapweed_livetests::edge::raw_call(address, &request).await });
    sleep(Duration::from_millis(100)).await;
    fleet.signal(0, Signal::Resume)?;
    let answer = waiting.await??;
    assert!(matches!(status_of(&answer), 401 | 503), "{answer}");
    assert!(fleet.arrivals("paused").is_empty());
    Ok(())
}
