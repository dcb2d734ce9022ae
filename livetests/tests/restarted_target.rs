//! Targets that start again under the id that they had.

use std::cell::Cell;
use std::time::{Duration, Instant};

use entity::{Clock, SystemClock};
use knapweed_livetests::edge::{EdgeConfig, EdgeFleet, RED_KEY};
use serde_json::json;
use standins::platform::ScriptedTarget;
use tokio::time::sleep;

const COLD_PER_S: f64 = 4.0;

/// The requests that a cold target may get in a second: its rate by the multiple, and the
/// slack, of [`BOUNDS`].
const COLD_BOUND: usize = 11;

const BOUNDS: &str = "  cold_over: 1.5\n  cold_slack: 5.0\n";

const COLD_TIME: Duration = Duration::from_secs(3);

/// For how long the targets are down; different parts of the period at which their list is
/// read.
const DOWNTIMES: [Duration; 3] = [
    Duration::from_millis(1_700),
    Duration::from_millis(2_000),
    Duration::from_millis(2_300),
];

/// For how long targets are silent before they start again, and the timeout of the routes in
/// milliseconds. After the longest silence no request waits any more.
const SILENCES: [(Duration, u64); 3] = [
    (Duration::ZERO, 5_000),
    (Duration::from_millis(500), 5_000),
    (Duration::from_millis(2_500), 800),
];

/// The number of targets that start again, at different parts of the period at which their
/// list is read.
const RESTARTS: usize = 3;

const ROUTERS: usize = 2;

const CALLERS: usize = 32;

/// The most arrivals within any second.
fn worst_second(arrivals: &[Instant]) -> usize {
    let within = |from: Instant| {
        let later = arrivals.iter().filter(|&&at| at >= from);
        later
            .filter(|&&at| at < from + Duration::from_secs(1))
            .count()
    };
    let worst = arrivals.iter().map(|&at| within(at)).max();
    worst.unwrap_or(0)
}

/// A fleet before targets with a cold rate, with callers that keep it busy until `trouble` ends.
async fn run_under_load<T>(
    name: &str,
    timeout_ms: u64,
    trouble: impl AsyncFnOnce(&EdgeFleet) -> eyre::Result<T>,
) -> eyre::Result<T> {
    let mut fleet = EdgeFleet::start(name, 0, 4).await?;
    fleet.more_settings = BOUNDS;
    let config = EdgeConfig {
        version: 2,
        cold_per_s: COLD_PER_S,
        timeout_ms,
        ..EdgeConfig::default()
    };
    fleet.store.put("op/config", &config.to_json());
    for _ in 0..ROUTERS {
        fleet.add_router().await?;
    }
    sleep(Duration::from_secs(4)).await;
    let is_over = Cell::new(false);
    let (fleet, is_over) = (&fleet, &is_over);
    let callers = (0..CALLERS).map(|caller| async move {
        let mut number = 0;
        while !is_over.get() {
            let id = format!("{caller}-{number}");
            let router = caller % ROUTERS;
            fleet
                .send_to(router, "GET", "/safe/slow-10", &id, Some(RED_KEY))
                .await;
            sleep(Duration::from_millis(40)).await;
            number += 1;
        }
    });
    let trouble = async {
        let result = trouble(fleet).await;
        is_over.set(true);
        result
    };
    let (_, result) = futures::join!(futures::future::join_all(callers), trouble);
    result
}

/// Routers sent a target that had started again its full part of the traffic while it was
/// cold, until they read the list of targets again.
#[actix_rt::test]
async fn target_that_starts_again_under_its_id_gets_its_cold_rate_at_once() -> eyre::Result<()> {
    let worst = run_under_load("reborn", 5_000, async |fleet: &EdgeFleet| {
        let (mut worst, mut targets) = (Vec::new(), fleet.targets.clone());
        for downtime in DOWNTIMES {
            sleep(Duration::from_secs(1)).await;
            worst.push(crash_and_restart(fleet, &mut targets, downtime).await?);
        }
        Ok(worst)
    })
    .await?;
    assert!(worst.iter().all(|&it| it <= COLD_BOUND), "{worst:?}");
    assert!(worst.iter().any(|&it| it > 0), "{worst:?}");
    Ok(())
}

/// Crashes a target, starts it again, and returns its arrivals in its worst second while it
/// was cold.
async fn crash_and_restart(
    fleet: &EdgeFleet,
    targets: &mut [ScriptedTarget],
    downtime: Duration,
) -> eyre::Result<usize> {
    // Runs at one target only.
    fleet.send("POST", "/once/die", "fatal").await;
    let crashed = targets.iter_mut().find(|target| target.has_crashed());
    let target = crashed.expect("a target crashes");
    sleep(downtime).await;
    *target = target.start_again().await?;
    arrivals_while_cold(fleet, target).await
}

/// Registers a new incarnation of a target, and returns its arrivals in its worst second while
/// it is cold.
async fn arrivals_while_cold(fleet: &EdgeFleet, target: &ScriptedTarget) -> eyre::Result<usize> {
    let started = Instant::now();
    let mut entry = target.entry("desk", "ready");
    let born = SystemClock.now().wall;
    let born = born.duration_since(std::time::UNIX_EPOCH)?.as_millis();
    entry["born"] = json!(born as u64);
    entry["coldRemainingMs"] = json!(COLD_TIME.as_millis() as u64);
    fleet.store.put(&target.key(), &entry);
    sleep(COLD_TIME).await;
    let arrivals = target.arrivals();
    let arrivals = arrivals.iter().map(|it| it.at);
    let arrivals: Vec<Instant> = arrivals.filter(|&at| at >= started).collect();
    Ok(worst_second(&arrivals))
}

/// Only a refused connection counted as a sign of a new start. A target whose connections were
/// closed or reset, or that had been silent, got its full part of the traffic while it was cold.
#[actix_rt::test]
async fn target_that_starts_again_without_refusing_a_connection_gets_its_cold_rate()
-> eyre::Result<()> {
    let fleets = SILENCES.map(|(silence, timeout_ms)| async move {
        let name = format!("unrefused-{}", silence.as_millis());
        let counts = run_under_load(&name, timeout_ms, async |fleet: &EdgeFleet| {
            let mut counts = Vec::new();
            for target in fleet.targets.iter().take(RESTARTS) {
                sleep(Duration::from_millis(1_300)).await;
                target.set_silent(true);
                sleep(silence).await;
                target.replace_process();
                target.set_silent(false);
                counts.push(arrivals_while_cold(fleet, target).await?);
            }
            Ok(counts)
        });
        eyre::Ok((silence, counts.await?))
    });
    let worst = futures::future::try_join_all(fleets).await?;
    for (silence, counts) in &worst {
        let most = counts.iter().max().copied().unwrap_or(0);
        assert!((1..=COLD_BOUND).contains(&most), "{silence:?}: {worst:?}");
    }
    Ok(())
}
