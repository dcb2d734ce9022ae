//! Plays a schedule on a fleet and collects what was seen.

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

/// The time in which a withdrawn key stops working.
const KEY_REVOCATION_LIMIT: Duration = Duration::from_secs(5);

/// The time after which a target that leaves gets nothing more.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// How long a target that left stays away.
const TARGET_ABSENCE: Duration = Duration::from_secs(1);

/// The delay of a slow path.
const LINK_DELAY: Duration = Duration::from_millis(150);

/// How long routers may need to trust what they see after a fault. The longest
/// rest of a target and the time in which lapsed entries return are shorter.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// The time after the last fault until all has to be well.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Plain requests that each caller sends at the end.
const PROBES_PER_CALLER: usize = 5;

/// How often routers are asked whether they still run.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What is noted while the faults are carried out.
#[derive(Default)]
struct Observations {
    faults: Vec<InjectedFault>,
    stop_durations: Vec<(usize, Duration)>,
    unexpected_exits: Vec<(usize, Instant)>,
}

/// Plays a schedule; processes write their logs to `folder`.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started or harmed as planned.
pub async fn play(
    schedule: &Schedule,
    size: FleetSize,
    callers: usize,
    seed: u64,
    folder: &Path,
) -> eyre::Result<Record> {
    let fleet = Arc::new(Fleet::start(folder, size).await?);
    let began = Instant::now();
    let until = began + size.length;
    let observations = Arc::new(Mutex::new(Observations::default()));
    let faults = schedule.faults.iter();
    let faults =
        faults.map(|&planned| inject_fault(fleet.clone(), observations.clone(), planned, began));
    let callers_running = (0..callers).map(|number| {
        let random = ChaCha8Rng::seed_from_u64(seed << 8 | number as u64);
        let caller = Caller::new(fleet.clone(), number, random);
        let requests: tokio::task::JoinHandle<Vec<Request>> =
            tokio::spawn(caller.send_until(until));
        requests
    });
    let callers_running: Vec<_> = callers_running.collect();
    let exit_watch = tokio::spawn(watch_exits(fleet.clone(), observations.clone()));
    let health_checks = (0..size.routers).map(|number| {
        let fleet = fleet.clone();
        tokio::spawn(async move { fleet.run_health_checks(number).await })
    });
    let health_checks: Vec<_> = health_checks.collect();
    try_join_all(faults).await?;
    sleep_until(until.into()).await;
    let requests = try_join_all(callers_running).await?.concat();
    sleep(RECOVERY_TIME).await;
    let probes = (0..callers).map(|number| {
        let random = ChaCha8Rng::seed_from_u64(seed << 8 | number as u64);
        tokio::spawn(
            Caller::new(fleet.clone(), callers + number, random).send_probes(PROBES_PER_CALLER),
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
        let cancellations = target.left().into_iter();
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

/// Notes routers that end without being asked to.
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
                .any(|(known, _)| *known == router);
            if !is_recorded && !is_stopping(&observations, router) {
                observations.unexpected_exits.push((router, at));
            }
        }
        sleep(EXIT_CHECK_INTERVAL).await;
    }
}

/// Whether a planned stop of the router has not ended.
fn is_stopping(observations: &Observations, router: usize) -> bool {
    let mut faults = observations.faults.iter();
    faults.any(|fault| {
        fault.planned.kind == FaultKind::StopRouter
            && fault.planned.subject == router
            && fault.ended > Instant::now()
    })
}

/// Carries out one fault from its beginning to its end.
async fn inject_fault(
    fleet: Arc<Fleet>,
    observations: Arc<Mutex<Observations>>,
    planned: PlannedFault,
    began: Instant,
) -> eyre::Result<()> {
    sleep_until((began + planned.at).into()).await;
    let fault = InjectedFault {
        planned,
        began: Instant::now(),
        // Until it is known when it ended.
        ended: Instant::now() + Duration::from_secs(3_600),
    };
    let index = {
        let mut observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
        observations.faults.push(fault);
        observations.faults.len() - 1
    };
    let took = apply_and_revert(&fleet, planned).await?;
    let mut observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
    observations.faults[index].ended = Instant::now();
    observations
        .stop_durations
        .extend(took.map(|took| (planned.subject, took)));
    Ok(())
}

/// Does what a step says, waits, and puts all back; returns how long a planned
/// stop took.
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
            let took = fleet.wait_until_stopped(subject, span).await?;
            sleep(span.saturating_sub(took)).await;
            fleet.start_router(subject).await?;
            return Ok(Some(took));
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
        FaultKind::ResetTarget => with_link_mode(fleet, subject, LinkMode::Reset, span).await,
        FaultKind::SilentTarget => with_link_mode(fleet, subject, LinkMode::Blackhole, span).await,
        FaultKind::OneWayTarget => {
            with_link_mode(fleet, subject, LinkMode::DropResponses, span).await
        }
        FaultKind::SlowTarget => {
            with_link_mode(fleet, subject, LinkMode::Delay(LINK_DELAY), span).await
        }
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

async fn with_link_mode(fleet: &Fleet, target: usize, mode: LinkMode, span: Duration) {
    fleet.set_target_link_mode(target, mode);
    sleep(span).await;
    fleet.set_target_link_mode(target, LinkMode::Forward);
}
