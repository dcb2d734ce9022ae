//! An open-loop load generator that verifies the guarantees to callers.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use eyre::WrapErr as _;
use knapweed_standins::http::init_logging;
use knapweed_standins::load::compare::Comparison;
use knapweed_standins::load::driver::{Event, Plan, RunResult, run};
use knapweed_standins::load::mix::{Mix, team_rules};
use knapweed_standins::load::observe::{fetch_target_runs, observation_client};
use knapweed_standins::load::plot::write_plots;
use knapweed_standins::load::promise::{CheckInput, check, outages};
use knapweed_standins::load::report::{Report, RunConfig, build_report};
use knapweed_standins::load::schedule::{Bounds, plan};
use knapweed_standins::load::table::Table;
use serde::de::DeserializeOwned;

use crate::flags::KnapweedLoad;

/// The exit code of a run that broke a promise.
const BROKEN: u8 = 2;

fn main() -> eyre::Result<ExitCode> {
    init_logging();
    let flags = KnapweedLoad::from_env_or_exit();
    if flags.version {
        println!("knapweed-load {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    if flags.team_rules {
        print!("{}", team_rules(flags.mix.unwrap_or(Mix::Halvorsen)));
        return Ok(ExitCode::SUCCESS);
    }
    if flags.compare {
        return compare(&flags);
    }
    let report = actix_rt::System::new().block_on(measure(&flags))?;
    print!("{}", Table(&report));
    if let Some(file) = &flags.json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(file, text).wrap_err_with(|| file.display().to_string())?;
    }
    if let Some(folder) = &flags.plots {
        write_plots(&report, folder)?;
    }
    Ok(match report.is_broken() {
        true => ExitCode::from(BROKEN),
        false => ExitCode::SUCCESS,
    })
}

fn compare(flags: &KnapweedLoad) -> eyre::Result<ExitCode> {
    let [first, second] = flags.file.as_slice() else {
        eyre::bail!("--compare needs two reports");
    };
    let (first, second): (Report, Report) = (read(first)?, read(second)?);
    let comparison = Comparison {
        first: &first,
        second: &second,
    };
    print!("{comparison}");
    Ok(ExitCode::SUCCESS)
}

async fn measure(flags: &KnapweedLoad) -> eyre::Result<Report> {
    let mix = flags.mix.unwrap_or(Mix::Halvorsen);
    let seed = flags.seed.unwrap_or(1);
    let bounds = Bounds {
        rate: flags.rate.unwrap_or(40.0),
        time: Duration::from_secs(flags.seconds.unwrap_or(10)),
        requests: flags.requests.unwrap_or(10_000),
    };
    let plan = prepare(flags, mix, bounds, seed)?;
    let outcome = run(plan.clone()).await;
    let target_runs = fetch_target_runs(&observation_client(), &plan.targets).await;
    let promises = promises(flags, &plan, &outcome, &target_runs);
    let config = RunConfig {
        mix: mix.to_string(),
        seed,
        direct: flags.direct,
        scheduled: bounds.time,
        teams: &plan.teams,
        targets: &plan.targets,
        events: &plan.events,
    };
    Ok(build_report(&config, &outcome, &target_runs, promises))
}

fn prepare(flags: &KnapweedLoad, mix: Mix, bounds: Bounds, seed: u64) -> eyre::Result<Plan> {
    let targets = flags.targets.as_deref().map(read).transpose()?;
    let events: Option<Vec<Event>> = flags.events.as_deref().map(read).transpose()?;
    let teams = mix.teams();
    match (flags.direct, flags.router.is_empty(), &targets) {
        (true, _, None) => eyre::bail!("--direct needs --targets"),
        (false, true, _) => eyre::bail!("name a --router or use --direct"),
        _ => {}
    }
    Ok(Plan {
        planned: plan(&teams, bounds, seed),
        teams,
        routers: match flags.direct {
            true => Vec::new(),
            false => flags.router.clone(),
        },
        targets: targets.unwrap_or_default(),
        operators: flags.operators.clone(),
        events: events.unwrap_or_default(),
        timeout: Duration::from_secs(flags.patience.unwrap_or(20)),
    })
}

fn promises(
    flags: &KnapweedLoad,
    plan: &Plan,
    outcome: &RunResult,
    target_runs: &knapweed_standins::load::observe::TargetRuns,
) -> Vec<knapweed_standins::load::promise::Checked> {
    if flags.direct {
        return Vec::new();
    }
    check(CheckInput {
        teams: &plan.teams,
        stats: &outcome.stats,
        target_runs,
        targets: &plan.targets,
        observations: &outcome.observations,
        outages: &outages(&plan.events, outcome.time),
        expected_crashes: plan.events.iter().map(|event| event.deaths).sum(),
    })
}

fn read<T: DeserializeOwned>(file: &Path) -> eyre::Result<T> {
    let text = std::fs::read(file).wrap_err_with(|| file.display().to_string())?;
    serde_json::from_slice(&text).wrap_err_with(|| file.display().to_string())
}

mod flags {
    //! Command-line flags.
    #![allow(missing_docs, unreachable_pub)]

    use std::net::SocketAddr;
    use std::path::PathBuf;

    use knapweed_standins::load::mix::Mix;

    xflags::xflags! {
        /// Sends a limited load, checks all answers and prints a report.
        cmd knapweed-load {
            /// Two reports to compare.
            repeated file: PathBuf
            /// Compares two JSON reports instead of running a load.
            optional --compare
            /// Prints the rules that define the teams of the mix and their API keys.
            optional --team-rules
            /// A router's address for callers; may be given several times.
            repeated --router addr: SocketAddr
            /// Sends requests directly to the targets, as a baseline.
            optional --direct
            /// The workload: halvorsen or skogssparbarhetsverket.
            optional --mix name: Mix
            /// Seed of the schedule.
            optional --seed number: u64
            /// Mean rate, in requests per second.
            optional --rate number: f64
            /// Length of the schedule, in seconds.
            optional --seconds count: u64
            /// Maximum number of requests.
            optional --requests count: usize
            /// How long a caller waits for an answer, in seconds.
            optional --patience seconds: u64
            /// JSON file that lists the targets whose stand-ins are read.
            optional --targets file: PathBuf
            /// An operator listener whose metrics are read; may be given several times.
            repeated --operators addr: SocketAddr
            /// JSON file that lists the operations on the fleet during the run.
            optional --events file: PathBuf
            /// Writes the report as JSON.
            optional --json file: PathBuf
            /// Writes plots of the report's time series as SVG files into this directory.
            optional --plots folder: PathBuf
            /// Prints the version.
            optional --version
        }
    }
}
