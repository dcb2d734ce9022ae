//! The `knapweed-soak` program.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use eyre::WrapErr;
use knapweed_soak::check::{Finding, check};
use knapweed_soak::play::play;
use knapweed_soak::record::{Outcome, Request};
use knapweed_soak::schedule::{FleetSize, Schedule};
use tokio::signal::unix::{SignalKind, signal};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Plays seeded faults on real router processes and checks what callers and targets see.
        ///
        /// Exit codes: 0 all promises kept; 1 some broken; 2 a play could not be carried out.
        cmd knapweed-soak {
            /// The first seed. Default: 1
            optional --seed seed: u64
            /// The number of seeds, one after the other. Default: 1
            optional --seeds seeds: u64
            /// Routers. Default: 4
            optional --routers routers: usize
            /// Targets. Default: 3
            optional --targets targets: usize
            /// Callers. Default: 12
            optional --callers callers: usize
            /// Seconds with faults. Default: 20
            optional --seconds seconds: u64
            /// A file with a schedule, in place of the seed's.
            optional --schedule file: PathBuf
            /// Print the schedules and play nothing.
            optional --print
            /// Where processes write; the folders of broken seeds are kept. Default: the system's
            /// temporary folder.
            optional --folder folder: PathBuf
        }
    }
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let flags = flags::KnapweedSoak::from_env_or_exit();
    let played = tokio::select! {
        played = run(&flags) => played,
        // What is dropped here ends the routers.
        why = interrupted() => why.and_then(|()| Err(eyre::eyre!("interrupted"))),
    };
    match played {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("knapweed-soak: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Returns when the program is asked to end.
async fn interrupted() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}

/// Plays all seeds; returns the number of broken promises.
async fn run(flags: &flags::KnapweedSoak) -> eyre::Result<usize> {
    let first = flags.seed.unwrap_or(1);
    let size = FleetSize {
        routers: flags.routers.unwrap_or(4),
        targets: flags.targets.unwrap_or(3),
        length: Duration::from_secs(flags.seconds.unwrap_or(20)),
    };
    let root = flags.folder.clone().unwrap_or_else(std::env::temp_dir);
    let mut broken = 0;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        let schedule = schedule(flags, seed, size)?;
        if flags.print {
            print!("# seed {seed}\n{schedule}");
            continue;
        }
        let folder = root.join(format!("knapweed-soak-{}-{seed}", std::process::id()));
        let callers = flags.callers.unwrap_or(12);
        let record = play(&schedule, size, callers, seed, &folder).await;
        let record = record.wrap_err_with(|| format!("seed {seed}"))?;
        let findings = check(&record);
        println!(
            "seed {seed}: {} faults, {} requests ({}), {} runs, {} broken",
            schedule.faults.len(),
            record.requests.len(),
            outcomes(&record.requests),
            record.attempts.len(),
            findings.len()
        );
        report(&findings, &schedule, &folder)?;
        broken += findings.len();
    }
    Ok(broken)
}

fn schedule(flags: &flags::KnapweedSoak, seed: u64, size: FleetSize) -> eyre::Result<Schedule> {
    match &flags.schedule {
        Some(file) => std::fs::read_to_string(file)
            .wrap_err_with(|| format!("cannot read {}", file.display()))?
            .parse(),
        None => Ok(Schedule::generate(seed, size)),
    }
}

/// How many requests ended in which way.
fn outcomes(requests: &[Request]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for request in requests {
        let ended = match &request.outcome {
            Outcome::Response(answer) if answer.is_complete => answer.status.to_string(),
            Outcome::Response(_) => "cut".to_owned(),
            Outcome::ConnectionClosed => "closed".to_owned(),
            Outcome::ConnectFailed => "unconnected".to_owned(),
            Outcome::TimedOut => "silence".to_owned(),
            Outcome::Cancelled => "left".to_owned(),
        };
        *counts.entry(ended).or_default() += 1;
    }
    let counts: Vec<String> = counts
        .iter()
        .map(|(ended, count)| format!("{ended}: {count}"))
        .collect();
    counts.join(", ")
}

/// Prints what was found, and keeps the logs of a seed that broke a promise.
fn report(findings: &[Finding], schedule: &Schedule, folder: &Path) -> eyre::Result<()> {
    if findings.is_empty() {
        std::fs::remove_dir_all(folder)?;
        return Ok(());
    }
    let path: PathBuf = folder.join("schedule.txt");
    std::fs::write(&path, schedule.to_string())?;
    for finding in findings {
        println!("  {finding}");
    }
    println!("  logs and schedule: {}", folder.display());
    Ok(())
}
