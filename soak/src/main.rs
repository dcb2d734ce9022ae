//! The `knapweed-soak` program.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use eyre::WrapErr;
use knapweed_soak::check::{Finding, check};
use knapweed_soak::record::{Outcome, Request};
use knapweed_soak::runner::run_schedule;
use knapweed_soak::schedule::{FleetSize, Schedule};
use tokio::signal::unix::{SignalKind, signal};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs seeded fault schedules against real router processes and checks what callers and
        /// targets observe.
        ///
        /// Exit codes: 0 no violations; 1 some violations; 2 a run could not be carried out.
        cmd knapweed-soak {
            /// The first seed. Default: 1
            optional --seed seed: u64
            /// The number of consecutive seeds. Default: 1
            optional --seeds seeds: u64
            /// The number of routers. Default: 4
            optional --routers routers: usize
            /// The number of targets. Default: 3
            optional --targets targets: usize
            /// The number of callers. Default: 12
            optional --callers callers: usize
            /// The duration of fault injection, in seconds. Default: 20
            optional --seconds seconds: u64
            /// A schedule file to use instead of the schedule of the seed.
            optional --schedule file: PathBuf
            /// Print the schedules without running them.
            optional --print
            /// The directory for settings and logs; those of seeds with violations are kept. Default:
            /// the system's temporary directory.
            optional --folder folder: PathBuf
        }
    }
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let flags = flags::KnapweedSoak::from_env_or_exit();
    let result = tokio::select! {
        result = run(&flags) => result,
        // Cancelling the run drops the fleet, which kills the router processes.
        result = interrupted() => result.and_then(|()| Err(eyre::eyre!("interrupted"))),
    };
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("knapweed-soak: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Completes when the program gets SIGTERM or SIGINT.
async fn interrupted() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}

/// Runs all seeds and returns the number of violations.
async fn run(flags: &flags::KnapweedSoak) -> eyre::Result<usize> {
    let first = flags.seed.unwrap_or(1);
    let size = FleetSize {
        routers: flags.routers.unwrap_or(4),
        targets: flags.targets.unwrap_or(3),
        length: Duration::from_secs(flags.seconds.unwrap_or(20)),
    };
    let root = flags.folder.clone().unwrap_or_else(std::env::temp_dir);
    let mut violations = 0;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        let schedule = schedule(flags, seed, size)?;
        if flags.print {
            print!("# seed {seed}\n{schedule}");
            continue;
        }
        let directory = root.join(format!("knapweed-soak-{}-{seed}", std::process::id()));
        let callers = flags.callers.unwrap_or(12);
        let record = run_schedule(&schedule, size, callers, seed, &directory).await;
        let record = record.wrap_err_with(|| format!("seed {seed}"))?;
        let findings = check(&record);
        println!(
            "seed {seed}: {} faults, {} requests ({}), {} runs, {} broken",
            schedule.faults.len(),
            record.requests.len(),
            count_outcomes(&record.requests),
            record.attempts.len(),
            findings.len()
        );
        report(&findings, &schedule, &directory)?;
        violations += findings.len();
    }
    Ok(violations)
}

fn schedule(flags: &flags::KnapweedSoak, seed: u64, size: FleetSize) -> eyre::Result<Schedule> {
    match &flags.schedule {
        Some(file) => std::fs::read_to_string(file)
            .wrap_err_with(|| format!("cannot read {}", file.display()))?
            .parse(),
        None => Ok(Schedule::generate(seed, size)),
    }
}

/// The number of requests by outcome.
fn count_outcomes(requests: &[Request]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for request in requests {
        let outcome = match &request.outcome {
            Outcome::Response(response) if response.is_complete => response.status.to_string(),
            Outcome::Response(_) => "cut".to_owned(),
            Outcome::ConnectionClosed => "closed".to_owned(),
            Outcome::ConnectFailed => "unconnected".to_owned(),
            Outcome::TimedOut => "silence".to_owned(),
            Outcome::Cancelled => "left".to_owned(),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    let counts: Vec<String> = counts
        .iter()
        .map(|(ended, count)| format!("{ended}: {count}"))
        .collect();
    counts.join(", ")
}

/// Prints the findings; removes the logs of a run without findings.
fn report(findings: &[Finding], schedule: &Schedule, directory: &Path) -> eyre::Result<()> {
    if findings.is_empty() {
        std::fs::remove_dir_all(directory)?;
        return Ok(());
    }
    let path: PathBuf = directory.join("schedule.txt");
    std::fs::write(&path, schedule.to_string())?;
    for finding in findings {
        println!("  {finding}");
    }
    println!("  logs and schedule: {}", directory.display());
    Ok(())
}
