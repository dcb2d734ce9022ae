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
use crate::fleet::{COLD, COLD_OVER, COLD_RATE, Fleet, STOP, TIMEOUT};
use crate::proxy::Mode;
use crate::record::{Bounds, Call, Harm, Record, Run};
use crate::schedule::{Kind, Schedule, Size, Step};

/// The time in which a withdrawn key stops working.
const REVOKE: Duration = Duration::from_secs(5);

/// The time after which a target that leaves gets nothing more.
const DRAIN: Duration = Duration::from_secs(2);

/// How long a target that left stays away.
const AWAY: Duration = Duration::from_secs(1);

/// The delay of a slow path.
const DELAY: Duration = Duration::from_millis(150);

/// How long routers may need to trust what they see after a fault. The longest
/// rest of a target and the time in which lapsed entries return are shorter.
const SETTLE: Duration = Duration::from_secs(4);

/// The time after the last fault until all has to be well.
const RECOVER: Duration = Duration::from_secs(6);

/// Plain requests that each caller sends at the end.
const PROBES: usize = 5;

/// How often routers are asked whether they still run.
const WATCH: Duration = Duration::from_millis(100);

/// What is noted while the faults are carried out.
#[derive(Default)]
struct Notes {
    harms: Vec<Harm>,
    stops: Vec<(usize, Duration)>,
    exits: Vec<(usize, Instant)>,
}

/// Plays a schedule; processes write their logs to `folder`.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started or harmed as planned.
pub async fn play(
    schedule: &Schedule,
    size: Size,
    callers: usize,
    seed: u64,
    folder: &Path,
) -> eyre::Result<Record> {
    let fleet = Arc::new(Fleet::start(folder, size).await?);
    let began = Instant::now();
    let until = began + size.length;
    let notes = Arc::new(Mutex::new(Notes::default()));
    let steps = schedule.steps.iter();
    let steps = steps.map(|&step| carry_out(fleet.clone(), notes.clone(), step, began));
    let sending = (0..callers).map(|number| {
        let random = ChaCha8Rng::seed_from_u64(seed << 8 | number as u64);
        let caller = Caller::new(fleet.clone(), number, random);
        let calls: tokio::task::JoinHandle<Vec<Call>> = tokio::spawn(caller.run(until));
        calls
    });
    let sending: Vec<_> = sending.collect();
    let watching = tokio::spawn(watch(fleet.clone(), notes.clone()));
    let balancing = (0..size.routers).map(|number| {
        let fleet = fleet.clone();
        tokio::spawn(async move { fleet.balance(number).await })
    });
    let balancing: Vec<_> = balancing.collect();
    try_join_all(steps).await?;
    sleep_until(until.into()).await;
    let calls = try_join_all(sending).await?.concat();
    sleep(RECOVER).await;
    let probing = (0..callers).map(|number| {
        let random = ChaCha8Rng::seed_from_u64(seed << 8 | number as u64);
        tokio::spawn(Caller::new(fleet.clone(), callers + number, random).probe(PROBES))
    });
    let last_calls = try_join_all(probing).await?.concat();
    watching.abort();
    balancing.iter().for_each(tokio::task::JoinHandle::abort);
    let mut notes = notes.lock().unwrap_or_else(PoisonError::into_inner);
    let mut record = Record {
        bounds: bounds(),
        calls,
        last_calls,
        runs: Vec::new(),
        left: rustc_hash::FxHashMap::default(),
        harms: std::mem::take(&mut notes.harms),
        exits: std::mem::take(&mut notes.exits),
        stops: std::mem::take(&mut notes.stops),
    };
    for (number, target) in fleet.targets() {
        let runs = target.arrivals().into_iter().map(|arrival| Run {
            id: arrival
                .request
                .header("x-knapweedgate-request-id")
                .unwrap_or_default()
                .to_owned(),
            target: number,
            at: arrival.at,
            ran: !arrival.request.path().ends_with("/shed"),
            headers: arrival.request.headers,
        });
        record.runs.extend(runs);
        let left = target.disconnects().into_iter();
        record.left.extend(left.map(|it| (it.request, it.at)));
    }
    Ok(record)
}

fn bounds() -> Bounds {
    Bounds {
        timeout: TIMEOUT,
        revoke: REVOKE,
        drain: DRAIN,
        stop: STOP,
        settle: SETTLE,
        retry_ratio: 0.2,
        retry_slack: 20.0,
        retry_window: Duration::from_secs(10),
        cold_most: f64::from(COLD_RATE) * COLD_OVER.0 + COLD_OVER.1,
        cold: COLD,
    }
}

/// Notes routers that end without being asked to.
async fn watch(fleet: Arc<Fleet>, notes: Arc<Mutex<Notes>>) -> eyre::Result<()> {
    loop {
        for router in 0..fleet.router_count() {
            let Some(at) = fleet.has_ended(router)? else {
                continue;
            };
            let mut notes = notes.lock().unwrap_or_else(PoisonError::into_inner);
            let is_known = notes.exits.iter().any(|(known, _)| *known == router);
            if !is_known && !is_stopping(&notes, router) {
                notes.exits.push((router, at));
            }
        }
        sleep(WATCH).await;
    }
}

/// Whether a planned stop of the router has not ended.
fn is_stopping(notes: &Notes, router: usize) -> bool {
    let mut harms = notes.harms.iter();
    harms.any(|harm| {
        harm.step.kind == Kind::StopRouter
            && harm.step.subject == router
            && harm.ended > Instant::now()
    })
}

/// Carries out one fault from its beginning to its end.
async fn carry_out(
    fleet: Arc<Fleet>,
    notes: Arc<Mutex<Notes>>,
    step: Step,
    began: Instant,
) -> eyre::Result<()> {
    sleep_until((began + step.at).into()).await;
    let harm = Harm {
        step,
        began: Instant::now(),
        // Until it is known when it ended.
        ended: Instant::now() + Duration::from_secs(3_600),
    };
    let index = {
        let mut notes = notes.lock().unwrap_or_else(PoisonError::into_inner);
        notes.harms.push(harm);
        notes.harms.len() - 1
    };
    let took = harm_and_heal(&fleet, step).await?;
    let mut notes = notes.lock().unwrap_or_else(PoisonError::into_inner);
    notes.harms[index].ended = Instant::now();
    notes.stops.extend(took.map(|took| (step.subject, took)));
    Ok(())
}

/// Does what a step says, waits, and puts all back; returns how long a planned
/// stop took.
async fn harm_and_heal(fleet: &Fleet, step: Step) -> eyre::Result<Option<Duration>> {
    let Step {
        span,
        kind,
        subject,
        ..
    } = step;
    match kind {
        Kind::PauseRouter => {
            fleet.signal(subject, Signal::Pause)?;
            sleep(span).await;
            fleet.signal(subject, Signal::Resume)?;
        }
        Kind::KillRouter => {
            fleet.kill(subject)?;
            sleep(span).await;
            fleet.start_router(subject).await?;
        }
        Kind::StopRouter => {
            fleet.signal(subject, Signal::Terminate)?;
            let took = fleet.stopped(subject, span).await?;
            sleep(span.saturating_sub(took)).await;
            fleet.start_router(subject).await?;
            return Ok(Some(took));
        }
        Kind::HangUpRouter => {
            fleet.rewrite_settings(subject)?;
            fleet.signal(subject, Signal::HangUp)?;
            sleep(span).await;
        }
        Kind::CutStore => {
            fleet.set_store_path(subject, Mode::Silent);
            sleep(span).await;
            fleet.set_store_path(subject, Mode::Reset);
            fleet.set_store_path(subject, Mode::Pass);
        }
        Kind::BusyStore => during_store(fleet, StoreMode::Busy, span).await,
        Kind::SilentStore => during_store(fleet, StoreMode::Silent, span).await,
        Kind::ResetStore => during_store(fleet, StoreMode::Reset, span).await,
        Kind::CompactStore => {
            fleet.compact();
            sleep(span).await;
        }
        Kind::WithdrawKey => {
            fleet.set_loose(false);
            sleep(span).await;
            fleet.set_loose(true);
        }
        Kind::NewConfig => {
            fleet.configure();
            sleep(span).await;
        }
        Kind::ResetTarget => during_path(fleet, subject, Mode::Reset, span).await,
        Kind::SilentTarget => during_path(fleet, subject, Mode::Silent, span).await,
        Kind::OneWayTarget => during_path(fleet, subject, Mode::OneWay, span).await,
        Kind::SlowTarget => during_path(fleet, subject, Mode::Delay(DELAY), span).await,
        Kind::CrashTarget => {
            fleet.set_target_path(subject, Mode::Reset);
            sleep(span).await;
            fleet.revive(subject);
            fleet.set_target_path(subject, Mode::Pass);
        }
        Kind::DrainTarget => {
            fleet.register(subject, "draining");
            sleep(span).await;
            fleet.forget(subject);
            sleep(AWAY).await;
            fleet.revive(subject);
        }
    }
    Ok(None)
}

async fn during_store(fleet: &Fleet, mode: StoreMode, span: Duration) {
    fleet.set_store(mode);
    sleep(span).await;
    fleet.set_store(StoreMode::Up);
}

async fn during_path(fleet: &Fleet, target: usize, mode: Mode, span: Duration) {
    fleet.set_target_path(target, mode);
    sleep(span).await;
    fleet.set_target_path(target, Mode::Pass);
}
