//! Runs a schedule against a fleet and records the observations.

use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures::future::try_join_all;
use livetests::process::Signal;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::platform::StoreMode;
use tokio::time::{sleep, sleep_until};

use crate::caller::Caller;
use crate::fleet::{
    COLD_DURATION, COLD_REQUESTS_PER_SECOND, COLD_TOLERANCE, Fleet, ROUTE_TIMEOUT, STOP_LIMIT,
};
use crate::proxy::LinkMode;
use crate::record::{Attempt, Bounds, InjectedFault, Record, Request};
use crate::schedule::{FaultKind, FleetSize, PlannedFault, Schedule};

/// The time within which a revoked key must stop working.
const KEY_REVOCATION_LIMIT: Duration = Duration::from_secs(5);

/// The time after which a draining target must receive no further requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// How long a drained target stays deregistered.
const TARGET_ABSENCE: Duration = Duration::from_secs(1);

/// The latency that a slow link adds.
const LATENCY: Duration = Duration::from_millis(150);

/// The time that routers may need after a fault to reach a steady state. It exceeds the longest
/// time that a target rests and the time that lapsed entries have to return.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// The time after the last fault until requests must succeed again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// The number of recovery requests of each caller.
const PROBES_PER_CALLER: usize = 5;

/// The interval for checking that routers are still running.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What is recorded while faults are injected.
#[derive(Default)]
struct Observations {
    faults: Vec<InjectedFault>,
    stop_durations: Vec<(usize, Duration)>,
    unexpected_exits: Vec<(usize, Instant)>,
}

/// Runs a schedule and returns the record; processes write their logs to `directory`.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started or a fault cannot be injected.
pub async fn run_schedule(
    schedule: &Schedule,
    size: FleetSize,
    callers: usize,
    seed: u64,
    directory: &Path,
) -> eyre::Result<Record> {
    let fleet = Arc::new(Fleet::start(directory, size).await?);
    let started = Instant::now();
    let until = started + size.length;
    let observations = Arc::new(Mutex::new(Observations::default()));
    let faults = schedule.faults.iter();
    let faults =
        faults.map(|&planned| inject_fault(fleet.clone(), observations.clone(), planned, started));
    let caller_tasks = (0..callers).map(|number| {
        let rng = ChaCha8Rng::seed_from_u64(seed << 8 | number as u64);
        let caller = Caller::new(fleet.clone(), number, rng);
        let requests: tokio::task::JoinHandle<Vec<Request>> =
            tokio::spawn(caller.send_until(until));
        requests
    });
    let caller_tasks: Vec<_> = caller_tasks.collect();
    let exit_watch = tokio::spawn(watch_exits(fleet.clone(), observations.clone()));
    let health_checks = (0..size.routers).map(|number| {
        let fleet = fleet.clone();
        tokio::spawn(async move { fleet.run_health_checks(number).await })
    });
    let health_checks: Vec<_> = health_checks.collect();
    try_join_all(faults).await?;
    sleep_until(until.into()).await;
    let requests = try_join_all(caller_tasks).await?.concat();
    sleep(RECOVERY_TIME).await;
    let probes = (0..callers).map(|number| {
        let rng = ChaCha8Rng::seed_from_u64(seed << 8 | number as u64);
        tokio::spawn(
            Caller::new(fleet.clone(), callers + number, rng).send_probes(PROBES_PER_CALLER),
        )
    });
    let recovery_requests = try_join_all(probes).await?.concat();
    exit_watch.abort();
    health_checks
        .iter()
        .for_each(tokio::task::JoinHandle::abort);
    let mut observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
    let mut record = Record {
        bounds: bounds(),
        targets: fleet.targets().count(),
        requests,
        recovery_requests,
        attempts: Vec::new(),
        cancellations: rustc_hash::FxHashMap::default(),
        faults: std::mem::take(&mut observations.faults),
        unexpected_exits: std::mem::take(&mut observations.unexpected_exits),
        stop_durations: std::mem::take(&mut observations.stop_durations),
    };
    for (number, target) in fleet.targets() {
        let attempts = target.arrivals().into_iter().map(|arrival| Attempt {
            id: arrival
                .request
                .header("x-knapweedgate-request-id")
                .unwrap_or_default()
                .to_owned(),
            target: number,
            at: arrival.at,
            executed: !arrival.request.path().ends_with("/shed"),
            headers: arrival.request.headers,
        });
        record.attempts.extend(attempts);
        let cancellations = target.disconnects().into_iter();
        record
            .cancellations
            .extend(cancellations.map(|it| (it.request, it.at)));
    }
    Ok(record)
}

fn bounds() -> Bounds {
    Bounds {
        timeout: ROUTE_TIMEOUT,
        revocation_limit: KEY_REVOCATION_LIMIT,
        drain_limit: DRAIN_LIMIT,
        stop_limit: STOP_LIMIT,
        settle_time: SETTLE_TIME,
        retry_ratio: 0.2,
        retry_slack: 20.0,
        retry_window: Duration::from_secs(10),
        max_cold_arrivals: f64::from(COLD_REQUESTS_PER_SECOND) * COLD_TOLERANCE.0
            + COLD_TOLERANCE.1,
        cold_duration: COLD_DURATION,
    }
}

/// Records routers that exit without being stopped.
async fn watch_exits(
    fleet: Arc<Fleet>,
    observations: Arc<Mutex<Observations>>,
) -> eyre::Result<()> {
    loop {
        for router in 0..fleet.router_count() {
            let Some(at) = fleet.exit_observed_at(router)? else {
                continue;
            };
            let mut observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
            let is_recorded = observations
                .unexpected_exits
                .iter()
                .any(|(recorded, _)| *recorded == router);
            if !is_recorded && !is_stopping(&observations, router) {
                observations.unexpected_exits.push((router, at));
            }
        }
        sleep(EXIT_CHECK_INTERVAL).await;
    }
}

/// Whether a planned stop of the router is in progress.
fn is_stopping(observations: &Observations, router: usize) -> bool {
    let mut faults = observations.faults.iter();
    faults.any(|fault| {
        fault.planned.kind == FaultKind::StopRouter
            && fault.planned.subject == router
            && fault.ended > Instant::now()
    })
}

/// Injects one fault at its scheduled time, and reverts and records it.
async fn inject_fault(
    fleet: Arc<Fleet>,
    observations: Arc<Mutex<Observations>>,
    planned: PlannedFault,
    started: Instant,
) -> eyre::Result<()> {
    sleep_until((started + planned.at).into()).await;
    let fault = InjectedFault {
        planned,
        began: Instant::now(),
        // Replaced when the fault ends; far in the future until then.
        ended: Instant::now() + Duration::from_secs(3_600),
    };
    let index = {
        let mut observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
        observations.faults.push(fault);
        observations.faults.len() - 1
    };
    let stop_duration = apply_and_revert(&fleet, planned).await?;
    let mut observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
    observations.faults[index].ended = Instant::now();
    observations
        .stop_durations
        .extend(stop_duration.map(|stop_duration| (planned.subject, stop_duration)));
    Ok(())
}

/// Applies a fault for its duration and reverts it; returns the duration of a planned stop.
async fn apply_and_revert(fleet: &Fleet, planned: PlannedFault) -> eyre::Result<Option<Duration>> {
    let PlannedFault {
        span,
        kind,
        subject,
        ..
    } = planned;
    match kind {
        FaultKind::PauseRouter => {
            fleet.signal(subject, Signal::Pause)?;
            sleep(span).await;
            fleet.signal(subject, Signal::Resume)?;
        }
        FaultKind::KillRouter => {
            fleet.kill(subject)?;
            sleep(span).await;
            fleet.start_router(subject).await?;
        }
        FaultKind::StopRouter => {
            fleet.signal(subject, Signal::Terminate)?;
            let stop_duration = fleet.wait_until_stopped(subject, span).await?;
            sleep(span.saturating_sub(stop_duration)).await;
            fleet.start_router(subject).await?;
            return Ok(Some(stop_duration));
        }
        FaultKind::HangUpRouter => {
            fleet.rewrite_settings(subject)?;
            fleet.signal(subject, Signal::HangUp)?;
            sleep(span).await;
        }
        FaultKind::CutStore => {
            fleet.set_store_link_mode(subject, LinkMode::Blackhole);
            sleep(span).await;
            fleet.set_store_link_mode(subject, LinkMode::Reset);
            fleet.set_store_link_mode(subject, LinkMode::Forward);
        }
        FaultKind::BusyStore => with_store_mode(fleet, StoreMode::Busy, span).await,
        FaultKind::SilentStore => with_store_mode(fleet, StoreMode::Silent, span).await,
        FaultKind::ResetStore => with_store_mode(fleet, StoreMode::Reset, span).await,
        FaultKind::CompactStore => {
            fleet.compact_store();
            sleep(span).await;
        }
        FaultKind::WithdrawKey => {
            fleet.set_revocable_key(false);
            sleep(span).await;
            fleet.set_revocable_key(true);
        }
        FaultKind::NewConfig => {
            fleet.write_config();
            sleep(span).await;
        }
        FaultKind::ResetTarget => impair_link(fleet, subject, LinkMode::Reset, span).await,
        FaultKind::SilentTarget => impair_link(fleet, subject, LinkMode::Blackhole, span).await,
        FaultKind::OneWayTarget => impair_link(fleet, subject, LinkMode::DropResponses, span).await,
        FaultKind::SlowTarget => impair_link(fleet, subject, LinkMode::Delay(LATENCY), span).await,
        FaultKind::CrashTarget => {
            fleet.set_target_link_mode(subject, LinkMode::Reset);
            sleep(span).await;
            fleet.restart_target(subject);
            fleet.set_target_link_mode(subject, LinkMode::Forward);
        }
        FaultKind::DrainTarget => {
            fleet.write_target_entry(subject, "draining");
            sleep(span).await;
            fleet.delete_target_entry(subject);
            sleep(TARGET_ABSENCE).await;
            fleet.restart_target(subject);
        }
    }
    Ok(None)
}

async fn with_store_mode(fleet: &Fleet, mode: StoreMode, span: Duration) {
    fleet.set_store_mode(mode);
    sleep(span).await;
    fleet.set_store_mode(StoreMode::Up);
}

async fn impair_link(fleet: &Fleet, target: usize, mode: LinkMode, span: Duration) {
    fleet.set_target_link_mode(target, mode);
    sleep(span).await;
    fleet.set_target_link_mode(target, LinkMode::Forward);
}
