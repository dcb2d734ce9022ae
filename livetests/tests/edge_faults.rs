//! Edge routers under faults of the store, targets, callers and routers.

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

/// The time within which every router learns of a change in the store, from the store or from
/// a peer.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

fn api_key(name: &'static str) -> Option<&'static str> {
    Some(name)
}

#[actix_rt::test]
async fn keys_are_refused_while_the_store_does_not_confirm_them() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("unconfirmed", 2, 1).await?;
    fleet.store.set_mode(StoreMode::Silent);
    // The revocation bound in the settings is 5 s.
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
async fn revoked_key_stops_working_on_all_routers() -> eyre::Result<()> {
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

/// An empty list of teams was taken for none at all: every key worked, revoked and forged ones,
/// and requests without one ran as well.
#[actix_rt::test]
async fn no_request_is_admitted_once_the_last_team_is_removed() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("last-team", 2, 1).await?;
    for version in [2, 4] {
        let without_team = EdgeConfig {
            version,
            has_team: false,
            ..EdgeConfig::default()
        };
        fleet.store.put("op/config", &without_team.to_json());
        sleep(PROPAGATION_TIME).await;
        for router in 0..2 {
            for key in [Some(RED_KEY), Some("forged"), None] {
                for path in ["/safe/ok", "/once/ok", "/resume/stream-3"] {
                    let answer = fleet.send_to(router, "GET", path, "l", key).await;
                    assert_eq!(status_of(&answer), 401, "{path} {key:?}: {answer}");
                }
            }
            let open = fleet.send_to(router, "GET", "/open/ok", "o", None).await;
            assert_eq!(status_of(&open), 200, "{open}");
        }
        assert!(fleet.arrivals("l").is_empty());
        let with_team = EdgeConfig {
            version: version + 1,
            ..EdgeConfig::default()
        };
        fleet.store.put("op/config", &with_team.to_json());
        fleet
            .wait_for_status(0, "/safe/ok", api_key(RED_KEY), 200)
            .await;
    }
    Ok(())
}

#[actix_rt::test]
async fn routers_read_the_store_when_the_watching_router_is_suspended() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("watcher", 3, 1).await?;
    sleep(PROPAGATION_TIME).await;
    for paused in 0..3 {
        // Each router is suspended once, so one of the rounds suspends the watching router.
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
async fn older_config_version_is_ignored() -> eyre::Result<()> {
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
async fn routers_reread_the_store_after_a_compaction() -> eyre::Result<()> {
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
async fn resumable_stream_moves_to_another_target_when_its_target_goes_silent() -> eyre::Result<()>
{
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
    // The silent target was notified that its run is cancelled.
    let cancelled: usize = fleet.targets.iter().map(|it| it.disconnects().len()).sum();
    assert_eq!(cancelled, 1);
    Ok(())
}

#[actix_rt::test]
async fn non_resumable_stream_is_not_retried_when_its_target_goes_silent() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("quiet-once", 1, 3).await?;
    let answer = fleet.send("POST", "/stream/stall-4", "q").await;
    assert!(!is_complete_chunked(&answer), "{answer}");
    assert_eq!(fleet.arrivals("q").len(), 1);
    Ok(())
}

#[actix_rt::test]
async fn store_requests_do_not_grow_with_the_fleet() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("readers", 6, 1).await?;
    sleep(PROPAGATION_TIME).await;
    let before = fleet.store.calls();
    let window = Duration::from_secs(6);
    sleep(window).await;
    let calls = fleet.store.calls() - before;
    // One reader and one watch make less than two calls per second, whatever the size of the fleet.
    assert!(calls < 2 * window.as_secs(), "{calls} calls");
    Ok(())
}

#[actix_rt::test]
async fn every_router_of_a_large_fleet_knows_all_others() -> eyre::Result<()> {
    // More routers than the addresses that fit into one heartbeat.
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
    // They are in one data centre, so all but one report to that one.
    wait_until("all report to one relay", || async {
        let mut relays = Vec::new();
        for router in &fleet.routers {
            let dump = http_get(router.address("operators"), "/dump").await?;
            let relay = dump.lines().find(|line| line.contains("\"relay\": \""));
            relays.extend(relay.map(str::to_owned));
        }
        let count = relays.len();
        relays.dedup();
        (count == ROUTERS - 1 && relays.len() == 1).then_some(())
    })
    .await;
    Ok(())
}

#[actix_rt::test]
async fn leaving_targets_and_drained_data_centres_get_no_requests() -> eyre::Result<()> {
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
async fn entry_that_lapsed_in_a_store_outage_is_kept_until_it_had_time_to_return()
-> eyre::Result<()> {
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
async fn unreadable_entry_does_not_hide_other_entries() -> eyre::Result<()> {
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

/// A cold time that overflows the clock ended the loops of every router.
#[actix_rt::test]
async fn entry_with_an_impossible_cold_time_stops_no_router() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("impossible", 2, 1).await?;
    let mut entry = fleet.targets[0].entry("another", "ready");
    entry["coldRemainingMs"] = serde_json::json!(1e22);
    fleet.store.put("servers/a", &entry);
    sleep(PROPAGATION_TIME).await;
    for router in 0..2 {
        for number in 0..5 {
            let id = format!("i-{router}-{number}");
            let answer = fleet
                .send_to(router, "GET", "/safe/ok", &id, api_key(RED_KEY))
                .await;
            assert_eq!(status_of(&answer), 200, "{answer}");
        }
    }
    Ok(())
}

#[actix_rt::test]
async fn requests_for_a_former_target_do_not_run_at_a_reused_address() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("reuse", 1, 2).await?;
    // The entry of a removed target has the address of another target.
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
async fn request_without_a_response_ends_at_the_route_timeout() -> eyre::Result<()> {
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
async fn target_is_notified_when_the_caller_disconnects() -> eyre::Result<()> {
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
    let cancelled = wait_until("the target is notified", || async {
        (!fleet.targets[0].disconnects().is_empty()).then_some(())
    });
    timeout(Duration::from_millis(500), cancelled).await?;
    Ok(())
}

#[actix_rt::test]
async fn planned_stop_interrupts_no_request() -> eyre::Result<()> {
    let mut fleet = EdgeFleet::start("stop", 1, 1).await?;
    let address = fleet.routers[0].address("callers");
    // Ten events at intervals of 200 ms.
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
    // A caller that still sends requests to the stopping router is served.
    let answer = fleet.send_to(0, "GET", "/open/ok", "late", None).await;
    assert_eq!(status_of(&answer), 200, "{answer}");
    let answer = stream.await??;
    assert!(
        is_complete_chunked(&answer) && body_of(&answer).contains("token 10"),
        "{answer}"
    );
    // Idle connections are closed so that no request arrives at an exiting process.
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
async fn resumed_router_does_not_accept_a_revoked_key() -> eyre::Result<()> {
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
    // The request is already in the socket buffer of the router when the router resumes.
    let waiting =
        actix_rt::spawn(async move { knapweed_livetests::edge::raw_call(address, &request).await });
    sleep(Duration::from_millis(100)).await;
    fleet.signal(0, Signal::Resume)?;
    let answer = waiting.await??;
    assert!(matches!(status_of(&answer), 401 | 503), "{answer}");
    assert!(fleet.arrivals("paused").is_empty());
    Ok(())
}

#[actix_rt::test]
async fn a_router_that_starts_gets_the_targets_from_another() -> eyre::Result<()> {
    let mut fleet = EdgeFleet::start("joins", 3, 2).await?;
    sleep(PROPAGATION_TIME).await;
    // It cannot read the targets itself, and its callers are served all the same.
    fleet.store.refuse("servers/");
    fleet.add_router().await?;
    let answer = fleet
        .send_to(3, "GET", "/safe/ok", "j", api_key(RED_KEY))
        .await;
    assert_eq!(status_of(&answer), 200, "{answer}");
    Ok(())
}

#[actix_rt::test]
async fn a_store_that_goes_back_takes_no_target_and_no_revocation_away() -> eyre::Result<()> {
    let mut fleet = EdgeFleet::start("goes-back", 3, 0).await?;
    let copy = fleet.store.copy();
    fleet.add_target("v1").await?;
    let config = EdgeConfig {
        version: 4,
        keys: vec!["another"],
        ..EdgeConfig::default()
    };
    fleet.store.put("op/config", &config.to_json());
    sleep(PROPAGATION_TIME).await;
    fleet.store.go_back(copy);
    // The target has until 2 s after the return to register again.
    sleep(Duration::from_millis(1_000)).await;
    for router in 0..3 {
        let old = fleet
            .send_to(router, "GET", "/safe/ok", "g", api_key(RED_KEY))
            .await;
        assert_eq!(status_of(&old), 401, "the revocation stays: {old}");
        let new = fleet
            .send_to(router, "GET", "/safe/ok", "h", api_key("another"))
            .await;
        assert_eq!(status_of(&new), 200, "the target stays: {new}");
    }
    // What is written under revisions that are given out again is taken over.
    fleet.store.put("op/config", &config.to_json());
    fleet.add_target("v1").await?;
    sleep(PROPAGATION_TIME * 3).await;
    assert!(fleet.arrival_count(1) == 0);
    for router in 0..3 {
        let answer = fleet
            .send_to(router, "GET", "/safe/ok", "i", api_key("another"))
            .await;
        assert_eq!(status_of(&answer), 200, "{answer}");
    }
    // The first target did not register again and is gone.
    assert_eq!(fleet.arrival_count(1), 3);
    Ok(())
}
