//! Streams while targets of several software versions serve one service.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures::future::{join, join_all};
use knapweed_livetests::edge::{EdgeConfig, EdgeFleet, body_of, looks_complete, status_of};
use serde_json::json;
use tokio::time::sleep;

/// The versions of the targets of a fleet, by the number in their ids.
const VERSIONS: [&str; 4] = ["v1", "v1.1", "v1", "v1.1"];

/// A stream of ten events with 20 ms between them.
const SLOW_STREAM: &str = "/resume/slow-20";

/// The number of streams in a test.
const STREAMS: usize = 16;

/// The time within which routers exchange what they know of a stream.
const EXCHANGE_TIME: Duration = Duration::from_millis(600);

/// The versions of the targets that a request reached.
fn versions_of(fleet: &EdgeFleet, id: &str) -> Vec<&'static str> {
    let arrivals = fleet.arrivals(id).into_iter();
    let numbers = arrivals.map(|it| it.target.trim_start_matches('t').parse::<usize>());
    numbers
        .map(|number| VERSIONS[number.expect("the number of a target")])
        .collect()
}

/// Begins streams at the first router, which spreads them over its targets, and returns the
/// version of each.
async fn begin_streams(fleet: &EdgeFleet) -> eyre::Result<Vec<&'static str>> {
    let ids: Vec<String> = (0..STREAMS)
        .map(|number| format!("begin{number}"))
        .collect();
    let streams = ids.iter().map(|id| fleet.receive("GET", SLOW_STREAM, id));
    for response in join_all(streams).await {
        let response = response?;
        assert!(looks_complete(&response), "{response:?}");
    }
    let begun = ids.iter().flat_map(|id| versions_of(fleet, id));
    Ok(begun.collect())
}

/// Takes the streams up at a router, all at once, and checks the versions at which they go
/// on.
async fn check_streams_go_on(
    fleet: &EdgeFleet,
    router: usize,
    begun: &[&'static str],
) -> eyre::Result<()> {
    assert_eq!(begun.len(), STREAMS);
    let ids: Vec<String> = (0..STREAMS)
        .map(|number| format!("again{number}"))
        .collect();
    let began: Vec<String> = (0..STREAMS)
        .map(|number| format!("begin{number}"))
        .collect();
    // In another order, so that an even spread does not meet the same targets again.
    let streams = ids.iter().zip(&began).cycle().skip(1).take(STREAMS);
    let streams = streams.map(|(id, began)| fleet.take_up(router, SLOW_STREAM, id, began, 4));
    for response in join_all(streams).await {
        let response = response?;
        assert_eq!(status_of(&response.text), 200, "{response:?}");
        assert!(
            body_of(&response.text).starts_with("id: 5\n"),
            "{response:?}"
        );
    }
    for (id, version) in ids.iter().zip(begun) {
        assert_eq!(versions_of(fleet, id), [*version], "{id}");
    }
    Ok(())
}

#[actix_rt::test]
async fn broken_stream_does_not_go_on_at_another_software_version() -> eyre::Result<()> {
    let fleet = EdgeFleet::start_versions("versions", 1, &VERSIONS[..2]).await?;
    for number in 0..4 {
        let id = format!("halt{number}");
        let response = fleet.receive("GET", "/resume/halt-4", &id).await?;
        assert!(!looks_complete(&response), "{response:?}");
        assert!(!body_of(&response.text).contains("id: 4\n"));
        assert_eq!(fleet.arrivals(&id).len(), 1);
    }
    Ok(())
}

#[actix_rt::test]
async fn broken_stream_goes_on_at_its_software_version() -> eyre::Result<()> {
    let fleet = EdgeFleet::start_versions("version-kept", 1, &VERSIONS).await?;
    for number in 0..4 {
        let id = format!("halt{number}");
        let response = fleet.receive("GET", "/resume/halt-4", &id).await?;
        assert!(looks_complete(&response), "{response:?}");
        let versions = versions_of(&fleet, &id);
        assert_eq!(versions.len(), 2);
        assert_eq!(versions[0], versions[1]);
    }
    Ok(())
}

#[actix_rt::test]
async fn stream_taken_up_at_another_router_goes_on_at_its_software_version() -> eyre::Result<()> {
    let fleet = EdgeFleet::start_versions("version-caller", 3, &VERSIONS).await?;
    let begun = begin_streams(&fleet).await?;
    sleep(EXCHANGE_TIME).await;
    check_streams_go_on(&fleet, 1, &begun).await
}

#[actix_rt::test]
async fn stream_of_a_killed_router_goes_on_at_its_software_version() -> eyre::Result<()> {
    let mut fleet = EdgeFleet::start_versions("version-killed", 5, &VERSIONS).await?;
    let begun = begin_streams(&fleet).await?;
    sleep(EXCHANGE_TIME).await;
    fleet.routers[0].kill()?;
    fleet.routers[1].kill()?;
    check_streams_go_on(&fleet, 2, &begun).await
}

#[actix_rt::test]
async fn stream_of_one_version_goes_on_at_it_after_another_has_appeared() -> eyre::Result<()> {
    let mut fleet = EdgeFleet::start_versions("version-new", 3, &VERSIONS[..1]).await?;
    let begun = begin_streams(&fleet).await?;
    fleet.add_target(VERSIONS[1]).await?;
    sleep(Duration::from_secs(2)).await;
    check_streams_go_on(&fleet, 1, &begun).await
}

#[actix_rt::test]
async fn stream_of_an_unknown_software_version_is_refused_at_once() -> eyre::Result<()> {
    let fleet = EdgeFleet::start_versions("version-unknown", 2, &VERSIONS).await?;
    let response = fleet
        .take_up(0, "/resume/stream-10", "again", "never-begun", 4)
        .await?;
    assert_eq!(status_of(&response.text), 503, "{response:?}");
    assert!(response.text.contains("retry-after"), "{response:?}");
    assert!(fleet.arrivals("again").is_empty());
    Ok(())
}

#[actix_rt::test]
async fn stream_goes_on_without_a_record_while_there_is_one_software_version() -> eyre::Result<()> {
    let fleet = EdgeFleet::start("version-single", 2, 2).await?;
    let response = fleet
        .take_up(0, "/resume/stream-10", "again", "never-begun", 4)
        .await?;
    assert_eq!(status_of(&response.text), 200, "{response:?}");
    Ok(())
}

/// Registers a target of a version whose software was started just now.
async fn add_new_target(fleet: &mut EdgeFleet, version: &str) -> eyre::Result<()> {
    fleet.add_target(version).await?;
    let number = fleet.targets.len() - 1;
    register_aged(fleet, number, "ready", version, Duration::ZERO)
}

/// Registers a target that was started some time ago.
fn register_aged(
    fleet: &EdgeFleet,
    number: usize,
    state: &str,
    version: &str,
    age: Duration,
) -> eyre::Result<()> {
    let target = &fleet.targets[number];
    let mut entry = target.versioned_entry("desk", state, version);
    let born = SystemTime::now().duration_since(UNIX_EPOCH)? - age;
    entry["born"] = json!(born.as_millis() as u64);
    fleet.store.put(&target.key(), &entry);
    Ok(())
}

/// Starts two routers before engines of several versions, none of which is settled.
async fn start_new_engines(name: &str) -> eyre::Result<EdgeFleet> {
    let mut fleet = EdgeFleet::start(name, 2, 0).await?;
    let config = EdgeConfig {
        version: 2,
        has_engine: true,
        ..EdgeConfig::default()
    };
    fleet.store.put("op/config", &config.to_json());
    for version in VERSIONS {
        add_new_target(&mut fleet, version).await?;
    }
    sleep(Duration::from_secs(3)).await;
    Ok(fleet)
}

/// The parts of the prompt of a stream, the last of which is its own.
fn parts_of(number: usize) -> String {
    format!("a1:500,b{number}:300,c{number}:100")
}

/// Begins streams with prompts, and returns the version of each.
async fn begin_prompts(fleet: &EdgeFleet) -> Vec<&'static str> {
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let (id, parts) = (format!("begin{number}"), parts_of(number));
        let answer = fleet.send_prompt(number % 2, SLOW_STREAM, &id, &parts);
        assert_eq!(status_of(&answer.await), 200);
        begun.extend(versions_of(fleet, &id));
    }
    begun
}

/// Kills all routers, and starts one that asks what targets keep.
async fn replace_routers(fleet: &mut EdgeFleet) -> eyre::Result<()> {
    for router in &mut fleet.routers {
        router.kill()?;
    }
    fleet.routers.clear();
    fleet.more_settings = "routing:\n  kept_parts: true\n";
    fleet.add_router().await?;
    // The router asks each target once what it keeps, one every 250 ms.
    sleep(Duration::from_secs(3)).await;
    Ok(())
}

/// Takes the streams of [`begin_prompts`] up, and checks the versions at which they go on.
async fn check_prompts_go_on(fleet: &EdgeFleet, begun: &[&'static str]) {
    assert_eq!(begun.len(), STREAMS);
    for (number, version) in begun.iter().enumerate() {
        let (id, began) = (format!("again{number}"), format!("begin{number}"));
        let names = (id.as_str(), began.as_str());
        let parts = parts_of(number);
        let answer = fleet.take_up_prompt(0, SLOW_STREAM, names, &parts).await;
        assert_eq!(status_of(&answer), 200, "{answer}");
        assert_eq!(versions_of(fleet, &id), [*version]);
    }
}

#[actix_rt::test]
async fn stream_does_not_go_on_at_a_new_version_after_all_routers_were_killed() -> eyre::Result<()>
{
    let mut fleet = EdgeFleet::start_versions("version-herd", 2, &VERSIONS[..1]).await?;
    let response = fleet.receive("GET", SLOW_STREAM, "begin").await?;
    assert!(looks_complete(&response), "{response:?}");
    add_new_target(&mut fleet, VERSIONS[1]).await?;
    let old = fleet.targets[0].key();
    fleet.store.delete(&old);
    for router in &mut fleet.routers {
        router.kill()?;
    }
    fleet.routers.clear();
    fleet.add_router().await?;
    let response = fleet.take_up(0, SLOW_STREAM, "again", "begin", 4).await?;
    assert_eq!(status_of(&response.text), 503, "{response:?}");
    assert!(fleet.arrivals("again").is_empty());
    Ok(())
}

#[actix_rt::test]
async fn stream_goes_on_at_its_version_after_all_routers_were_killed() -> eyre::Result<()> {
    let mut fleet = start_new_engines("version-kept-parts").await?;
    let begun = begin_prompts(&fleet).await;
    replace_routers(&mut fleet).await?;
    check_prompts_go_on(&fleet, &begun).await;
    Ok(())
}

/// A prompt that its target reads for longer than a new request may wait, but not for as long
/// as a stream that has begun; in tokens, at the rate in the settings' defaults.
const BLOCKING_TOKENS: u32 = 17_000;

/// The time after which a target that reads nothing for so long counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(400);

/// The maximum number of times that a test makes its target busy.
const BUSY_ROUNDS: usize = 40;

/// Takes a stream up again between two new requests while a prompt occupies the only target.
/// Returns the answer to it if both new ones were refused as busy.
async fn take_up_while_busy(fleet: &EdgeFleet, round: usize) -> Option<String> {
    let id = |name: &str| format!("{name}{round}");
    let blocking = id("blocking");
    let part = format!("f{round}:{BLOCKING_TOKENS}");
    let blocked = fleet.send_long_prompt(0, "/stream/mute", &blocking, BLOCKING_TOKENS, &part);
    let offered = async {
        let sent_at = Instant::now();
        while fleet.arrivals(&blocking).is_empty() && sent_at.elapsed() < STALL_TIME {
            sleep(Duration::from_millis(1)).await;
        }
        let is_refused = |id: String| async move {
            let answer = fleet.send_prompt(0, "/resume/stream-10", &id, "a1:500,b1:300");
            body_of(&answer.await) == "busy\n"
        };
        let is_before = is_refused(id("before")).await;
        let again = id("again");
        let names = (again.as_str(), "begin");
        let answer = fleet.take_up_prompt(0, "/resume/stream-10", names, "a1:500,b1:300");
        let answer = answer.await;
        let is_busy = is_before && is_refused(id("after")).await;
        (is_busy && sent_at.elapsed() < STALL_TIME).then_some(answer)
    };
    join(blocked, offered).await.1
}

#[actix_rt::test]
async fn stream_taken_up_goes_on_while_new_requests_are_refused_as_busy() -> eyre::Result<()> {
    let mut fleet = EdgeFleet::start("version-busy", 0, 1).await?;
    let config = EdgeConfig {
        version: 2,
        has_engine: true,
        timeout_ms: 600,
        ..EdgeConfig::default()
    };
    fleet.store.put("op/config", &config.to_json());
    fleet.add_router().await?;
    let begun = fleet.send_prompt(0, "/resume/stream-10", "begin", "a1:500,b1:300");
    assert_eq!(status_of(&begun.await), 200);
    for round in 0..BUSY_ROUNDS {
        if let Some(answer) = take_up_while_busy(&fleet, round).await {
            assert_eq!(status_of(&answer), 200, "{answer}");
            return Ok(());
        }
        // The target is trusted again.
        sleep(Duration::from_millis(300)).await;
    }
    panic!("the target was never busy for two requests in a row");
}

#[actix_rt::test]
async fn stream_whose_target_left_goes_on_after_all_routers_were_killed() -> eyre::Result<()> {
    let mut fleet = start_new_engines("version-left").await?;
    let begun = begin_prompts(&fleet).await;
    register_aged(&fleet, 0, "draining", VERSIONS[0], Duration::ZERO)?;
    replace_routers(&mut fleet).await?;
    fleet.store.delete(&fleet.targets[0].key());
    sleep(Duration::from_secs(2)).await;
    check_prompts_go_on(&fleet, &begun).await;
    Ok(())
}

/// Older than any stream that is taken up, and younger than what settles a service's version.
const ESTABLISHED_AGE: Duration = Duration::from_secs(16);

#[actix_rt::test]
async fn stream_whose_target_left_before_all_routers_were_killed_goes_on() -> eyre::Result<()> {
    let mut fleet = start_new_engines("version-departed").await?;
    let begun = begin_prompts(&fleet).await;
    fleet.store.delete(&fleet.targets[0].key());
    register_aged(&fleet, 2, "ready", VERSIONS[2], ESTABLISHED_AGE)?;
    replace_routers(&mut fleet).await?;
    check_prompts_go_on(&fleet, &begun).await;
    Ok(())
}

#[actix_rt::test]
async fn stream_of_a_departed_target_is_refused_while_two_versions_may_have_begun_it()
-> eyre::Result<()> {
    let mut fleet = start_new_engines("version-doubt").await?;
    let begun = begin_prompts(&fleet).await;
    fleet.store.delete(&fleet.targets[0].key());
    for number in [1, 2] {
        register_aged(&fleet, number, "ready", VERSIONS[number], ESTABLISHED_AGE)?;
    }
    replace_routers(&mut fleet).await?;
    let departed = (0..STREAMS).find(|number| {
        let arrivals = fleet.arrivals(&format!("begin{number}"));
        arrivals.iter().all(|it| it.target == "t0")
    });
    let number = departed.expect("a stream that began at the first target");
    assert_eq!(begun[number], VERSIONS[0]);
    let (id, began) = (format!("again{number}"), format!("begin{number}"));
    let names = (id.as_str(), began.as_str());
    let parts = parts_of(number);
    let answer = fleet.take_up_prompt(0, SLOW_STREAM, names, &parts).await;
    assert_eq!(status_of(&answer), 503, "{answer}");
    assert!(fleet.arrivals(&id).is_empty());
    Ok(())
}
