//! Short runs of fixed seeds.

use std::path::PathBuf;
use std::time::Duration;

use knapweed_soak::check::check;
use knapweed_soak::runner::run_schedule;
use knapweed_soak::schedule::{FleetSize, Schedule};

const SIZE: FleetSize = FleetSize {
    routers: 3,
    targets: 3,
    length: Duration::from_secs(9),
};

const CALLERS: usize = 6;

fn directory(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("knapweed-soak-{}-{name}", std::process::id()))
}

/// Runs a schedule and fails with its findings; the logs of a failed run are kept.
async fn assert_promises_kept(
    name: &str,
    schedule: &Schedule,
    size: FleetSize,
) -> eyre::Result<()> {
    let directory = directory(name);
    let record = run_schedule(schedule, size, CALLERS, 1, &directory).await?;
    let findings: Vec<String> = check(&record).iter().map(ToString::to_string).collect();
    assert!(
        findings.is_empty(),
        "{}\n{schedule}logs: {}",
        findings.join("\n"),
        directory.display()
    );
    std::fs::remove_dir_all(directory)?;
    Ok(())
}

#[test]
fn schedules_are_deterministic_and_their_text_form_round_trips() -> eyre::Result<()> {
    for seed in 0..200 {
        let schedule = Schedule::generate(seed, SIZE);
        assert_eq!(schedule, Schedule::generate(seed, SIZE));
        assert_eq!(schedule.to_string().parse::<Schedule>()?, schedule);
        assert!(
            schedule
                .faults
                .iter()
                .all(|planned| planned.end() <= SIZE.length)
        );
    }
    Ok(())
}

#[actix_rt::test]
async fn seed_1_keeps_all_promises() -> eyre::Result<()> {
    assert_promises_kept("seed-1", &Schedule::generate(1, SIZE), SIZE).await
}

#[actix_rt::test]
async fn seed_2_keeps_all_promises() -> eyre::Result<()> {
    assert_promises_kept("seed-2", &Schedule::generate(2, SIZE), SIZE).await
}

/// Random schedules hardly judge planned stops, since something else is mostly harmed.
///
/// A stream that its target breaks is not counted here; see `KNOWN-RED.txt`, seed 9004.
#[actix_rt::test]
async fn stops_in_series_lose_no_request_that_its_target_goes_on_with() -> eyre::Result<()> {
    const STOPS: &str = "1000 4500 StopRouter 0\n3000 4500 StopRouter 1\n5500 4500 StopRouter 2\n";
    const MANY_CALLERS: usize = 16;
    let size = FleetSize {
        length: Duration::from_secs(10),
        ..SIZE
    };
    let directory = directory("stops");
    let record = run_schedule(&STOPS.parse()?, size, MANY_CALLERS, 1, &directory).await?;
    let findings = check(&record).into_iter().map(|it| it.to_string());
    let is_broken_off = |it: &str| it.contains("(halt)") || it.contains("(torn)");
    let findings: Vec<String> = findings.filter(|it| !is_broken_off(it)).collect();
    assert!(findings.is_empty(), "{findings:?}: {}", directory.display());
    std::fs::remove_dir_all(directory)?;
    Ok(())
}
