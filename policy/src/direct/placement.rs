//! Selection of the target for a request.
//!
//! A prompt is prefilled fastest on a target that has its shared parts cached.
//! All routers compute the same home target for a shared part, by rendezvous
//! hashing over the eligible targets, so its requests meet there without
//! coordination. A request is sent elsewhere if the wait at its home is longer
//! than prefilling the parts again.
//!
//! A request is refused if the prompts waiting at every eligible target exceed
//! what its objective allows. Engines admit requests in the order of arrival, so
//! sending it could not shorten the wait.
//!
//! Invariant: a target that accepts no requests, is full or has used up its cold
//! rate is never chosen. A target that is avoided is chosen only if most of the
//! available ones are avoided.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::Display;
use entity::Name;
use xxhash_rust::xxh3::xxh3_64;

use super::cold::{ColdLimit, Members};
use super::config::{Engine, Service};
use super::target::VersionTag;
use super::target_table::{Prompt, TargetEntry, TargetEntryId, TargetTable};

/// The settings of placement.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PlacementSettings {
    /// The prefill rate of an engine, in tokens per millisecond.
    pub prefill_rate: f64,
    /// The fraction of an objective that requests may wait at a target.
    pub max_wait_fraction: f64,
    /// The cost of prefilling a token, relative to the time that it takes.
    pub prefill_cost: f64,
    /// The cost of copying shared parts, relative to the time that it takes.
    pub copy_cost: f64,
    /// The cost of a copy because it evicts other parts from a target's memory,
    /// in milliseconds.
    pub eviction_cost_millis: f64,
    /// The exponent with which requests with a longer objective yield to others.
    pub objective_exponent: f64,
    /// The cost of sending a request to another data centre, in milliseconds.
    pub remote_cost_millis: f64,
    /// The cost of opening a connection to a target, in milliseconds.
    pub connection_cost_millis: f64,
    /// The fleet-wide limit on requests to cold targets.
    pub cold_limit: ColdLimit,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            prefill_rate: 50.0,
            max_wait_fraction: 0.75,
            prefill_cost: 4.0,
            copy_cost: 3.0,
            eviction_cost_millis: 60.0,
            objective_exponent: 1.0,
            remote_cost_millis: 4.0,
            connection_cost_millis: 8.0,
            cold_limit: ColdLimit::default(),
        }
    }
}

/// The minimum number of tokens for which a copy from another target is
/// worthwhile.
const MIN_COPY_TOKENS: u32 = 64;

/// The time to prefill the shared parts, in milliseconds, above which a request
/// is sent only to targets that have the parts cached, can copy them, or are one
/// of their two homes.
const MAX_UNCACHED_PREFILL_MILLIS: f64 = 25.0;

/// The fraction of a target's memory that may be in use.
const MAX_MEMORY_FRACTION: f64 = 0.9;

/// The minimum fraction of the wait limit, which applies to prompts that take too
/// long to be prefilled within their objective.
const MIN_LIMIT_FRACTION: f64 = 0.4;

/// The number of attempts at a target without an engine, as a multiple of its
/// slots, from which on a request is refused.
const PLAIN_MAX_UTILISATION: f64 = 2.5;

/// The cost of sending a request to a target without an engine in another data
/// centre, as a fraction of its slots.
const PLAIN_REMOTE_COST: f64 = 0.3;

/// The cost of opening a connection to a target without an engine, as a fraction of its
/// slots.
const PLAIN_CONNECTION_COST: f64 = 0.2;

/// The time after which a caller is asked to retry if no target may run its request.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

/// The minimum time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(40);

/// A request for which a target is selected.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a Service,
    /// The prompt, if the request is a generation.
    pub prompt: Option<&'a Prompt>,
    /// The shortest objective of the routes to the service. It determines how much
    /// may wait at a target, since a request with this objective waits for all that
    /// arrived before it.
    pub min_objective: Duration,
    /// The objective of the request's own route.
    pub objective: Duration,
    /// The factor by which the allowed wait of its team is multiplied; 1 for a
    /// team within its share.
    pub wait_factor: f64,
    /// The data centre of this router.
    pub centre: &'a Name,
    /// The only software version at which the request may run, if it continues a stream.
    pub version: Option<VersionTag>,
    /// Targets that were already tried.
    pub tried: &'a [TargetEntryId],
    /// The routers among which limits are divided.
    pub members: &'a Members,
}

/// Why a request is refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum RefusalReason {
    /// No target of the service accepts requests.
    #[display("no-target")]
    NoTarget,
    /// No target of the software version that began the stream accepts requests.
    #[display("no-target-of-version")]
    NoTargetOfVersion,
    /// Every target that accepts requests has asked for a pause.
    #[display("paused")]
    Paused,
    /// The wait at every target is too long.
    #[display("busy")]
    Busy,
    /// No target has capacity: each of them lacks a free slot or memory, has used
    /// up its cold rate, or would have to prefill too many shared tokens.
    #[display("full")]
    Full,
}

impl RefusalReason {
    /// Whether the request would run if its service had less load.
    pub fn is_for_load(self) -> bool {
        matches!(self, Self::Busy | Self::Full)
    }
}

/// The shortest wait by which a request exceeded its limit.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ExceededWait {
    /// The wait, in milliseconds.
    pub wait_millis: f64,
    /// The limit, in milliseconds.
    pub limit_millis: f64,
}

impl ExceededWait {
    fn excess_millis(self) -> f64 {
        self.wait_millis - self.limit_millis
    }
}

/// A target from which cached parts of a prompt are copied.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CopySource {
    /// The target.
    pub target: TargetEntryId,
    /// The number of tokens to copy.
    pub tokens: u32,
}

/// The result of a placement.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Placement {
    /// The request is sent to a target.
    Target {
        /// The target.
        target: TargetEntryId,
        /// The predicted wait at the target, in milliseconds.
        wait_millis: f64,
        /// Whether the target is the home of the prompt's shared part.
        is_home: bool,
        /// The target from which shared parts are copied, if any.
        copy_source: Option<CopySource>,
    },
    /// The request is refused.
    Refused {
        /// The reason.
        reason: RefusalReason,
        /// The time after which capacity is expected.
        retry_after: Duration,
        /// The wait that was too long, if a wait is the reason.
        exceeded: Option<ExceededWait>,
    },
}

/// The connections to targets that are open and idle.
///
/// A router that spreads its requests evenly over hundreds of targets uses each
/// connection so rarely that the target closes it before its next use.
pub trait IdleConnections {
    /// Whether there is an idle connection to the target at this address.
    fn has_idle(&self, address: SocketAddr) -> bool;
}

/// No idle connections.
impl IdleConnections for () {
    fn has_idle(&self, _address: SocketAddr) -> bool {
        false
    }
}

/// Selects a target. If the target is cold, uses up one of this router's requests
/// to it.
pub fn select_target(
    table: &mut TargetTable,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    connections: &impl IdleConnections,
    now: Instant,
) -> Placement {
    let placement = match (request.service.engine, request.prompt) {
        (Some(engine), Some(prompt)) => {
            select_engine_target(table, settings, request, connections, (engine, prompt), now)
        }
        _ => select_plain_target(table, settings, request, connections, now),
    };
    if let Placement::Target { target, .. } = placement
        && let Some(share) = cold_rate_share(table.target(target), settings, request, now)
    {
        table.spend_cold_request(target, share, now);
    }
    placement
}

/// This router's share of the rate of a cold target in requests per second, or
/// `None` if requests are not limited.
fn cold_rate_share(
    entry: &TargetEntry,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Option<f64> {
    let rate = request.service.cold_rate;
    let is_limited = rate > 0.0 && entry.is_cold(now);
    is_limited.then(|| {
        let share = request
            .members
            .cold_rate_share(entry.tag, rate, settings.cold_limit);
        share.unwrap_or(0.0)
    })
}

/// Whether this router has used up its requests to a target that is cold.
fn is_cold_rate_used_up(
    entry: &TargetEntry,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> bool {
    let share = cold_rate_share(entry, settings, request, now);
    share.is_some_and(|share| share == 0.0 || !entry.may_send_cold(share, now))
}

struct Candidate {
    target: TargetEntryId,
    wait_millis: f64,
    cost: f64,
    is_home: bool,
    copy_source: Option<CopySource>,
}

impl Candidate {
    fn into_placement(self) -> Placement {
        Placement::Target {
            target: self.target,
            wait_millis: self.wait_millis,
            is_home: self.is_home,
            copy_source: self.copy_source,
        }
    }
}

fn select_engine_target(
    table: &TargetTable,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    connections: &impl IdleConnections,
    (engine, prompt): (Engine, &Prompt),
    now: Instant,
) -> Placement {
    let eligible = eligible_targets(table, settings, request, now);
    if eligible.is_empty() {
        return refuse_without_target(table, request, now);
    }
    let (home, second_home) = home_targets(table, prompt, &eligible);
    let memory_tokens = f64::from(prompt.input_tokens + prompt.max_output_tokens);
    let own_tokens = prompt.own_tokens();
    let copy_source =
        home.filter(|&home| table.target(home).prefill_tokens(prompt, now) <= own_tokens);
    let base_limit = wait_limit(settings, request);
    let objective = request.objective.as_secs_f64() * 1e3;
    let waiting_tokens = eligible.iter().map(|&target| {
        table
            .target(target)
            .waiting_tokens(settings.prefill_rate, now)
    });
    let mean_wait = waiting_tokens.sum::<f64>() / eligible.len() as f64 / settings.prefill_rate;
    let mut best: Option<Candidate> = None;
    let mut min_exceeded: Option<ExceededWait> = None;
    for &target in &eligible {
        let entry = table.target(target);
        if is_cold_rate_used_up(entry, settings, request, now) {
            continue;
        }
        let load = entry.load();
        let is_home = home == Some(target);
        let uncached_tokens = entry.prefill_tokens(prompt, now).saturating_sub(own_tokens);
        let can_copy = engine.copy_rate > 0.0 && uncached_tokens >= MIN_COPY_TOKENS;
        let copy_source = copy_source.filter(|copy_source| can_copy && *copy_source != target);
        let copy_source = copy_source.map(|target| CopySource {
            target,
            tokens: uncached_tokens,
        });
        let must_prefill = copy_source.is_none() && !is_home;
        let prefill_tokens = own_tokens + if must_prefill { uncached_tokens } else { 0 };
        if must_prefill
            && f64::from(uncached_tokens) / settings.prefill_rate > MAX_UNCACHED_PREFILL_MILLIS
            && second_home != Some(target)
        {
            continue;
        }
        let has_room = load.attempts < entry.slots.min(engine.slots)
            && load.memory_tokens + memory_tokens <= engine.memory as f64 * MAX_MEMORY_FRACTION;
        if !has_room {
            continue;
        }
        let rate = settings.prefill_rate / entry.pace(now);
        let wait_millis = entry.waiting_tokens(settings.prefill_rate, now) / rate;
        // A long prompt meets its objective only if little waits before it.
        let prefill_millis = f64::from(prefill_tokens) / rate;
        let wait_limit = base_limit * (1.0 - prefill_millis / objective).max(MIN_LIMIT_FRACTION);
        // Frequent requests find each target just when nothing waits there, so
        // the mean wait of the pool is taken into account as well.
        let exceeded = ExceededWait {
            wait_millis: wait_millis.max(mean_wait),
            limit_millis: wait_limit,
        };
        if exceeded.excess_millis() > 0.0 {
            let is_less = |it: ExceededWait| exceeded.excess_millis() < it.excess_millis();
            if min_exceeded.is_none_or(is_less) {
                min_exceeded = Some(exceeded);
            }
            continue;
        }
        let is_home = home == Some(target);
        let copy_cost = match copy_source {
            Some(_) => {
                settings.eviction_cost_millis
                    + settings.copy_cost * f64::from(uncached_tokens) / engine.copy_rate
            }
            None => 0.0,
        };
        let remote_cost = match entry.centre == *request.centre {
            true => 0.0,
            false => settings.remote_cost_millis,
        };
        let connection_cost = match connections.has_idle(entry.address) {
            true => 0.0,
            false => settings.connection_cost_millis,
        };
        let prefill_millis = settings.prefill_cost * f64::from(prefill_tokens) / rate;
        let cost = wait_millis
            + prefill_millis
            + copy_cost
            + remote_cost
            + connection_cost
            + concurrency_cost(entry);
        if best.as_ref().is_none_or(|best| cost < best.cost) {
            best = Some(Candidate {
                target,
                wait_millis,
                cost,
                is_home,
                copy_source,
            });
        }
    }
    match (best, min_exceeded) {
        (Some(best), _) => best.into_placement(),
        (None, Some(exceeded)) => Placement::Refused {
            reason: RefusalReason::Busy,
            retry_after: Duration::from_secs_f64(exceeded.excess_millis() / 1e3)
                .max(MIN_RETRY_AFTER),
            exceeded: Some(exceeded),
        },
        (None, None) => Placement::Refused {
            reason: RefusalReason::Full,
            retry_after: request.objective / 4,
            exceeded: None,
        },
    }
}

/// The maximum wait at a target to which a request is sent, in milliseconds.
///
/// Under load, requests with a longer objective are refused before those with a
/// shorter one.
fn wait_limit(settings: &PlacementSettings, request: &PlacementRequest<'_>) -> f64 {
    let min_objective = request.min_objective.as_secs_f64();
    let own_objective = request.objective.as_secs_f64().max(min_objective);
    let ratio = if own_objective > 0.0 {
        min_objective / own_objective
    } else {
        1.0
    };
    min_objective
        * 1e3
        * settings.max_wait_fraction
        * ratio.powf(settings.objective_exponent)
        * request.wait_factor
}

/// The cost of concurrent attempts in milliseconds, since each of them makes the
/// decoding steps of all others longer.
fn concurrency_cost(entry: &TargetEntry) -> f64 {
    let utilisation = f64::from(entry.load().attempts) / f64::from(entry.slots.max(1));
    20.0 * utilisation
}

/// The two targets with the highest rendezvous hash for the prompt's shared part:
/// the home, which caches it, and the second home, which takes the overflow.
fn home_targets(
    table: &TargetTable,
    prompt: &Prompt,
    eligible: &[TargetEntryId],
) -> (Option<TargetEntryId>, Option<TargetEntryId>) {
    let Some(part) = prompt.shared_part() else {
        return (None, None);
    };
    let score = |target: TargetEntryId| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&part.id.to_le_bytes());
        bytes[8..].copy_from_slice(&table.target(target).tag.to_le_bytes());
        (xxh3_64(&bytes), target)
    };
    let (mut first, mut second) = (None, None);
    for &target in eligible {
        let candidate = Some(score(target));
        if candidate > first {
            second = first;
            first = candidate;
        } else if candidate > second {
            second = candidate;
        }
    }
    (
        first.map(|(_, target)| target),
        second.map(|(_, target)| target),
    )
}

fn select_plain_target(
    table: &TargetTable,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    connections: &impl IdleConnections,
    now: Instant,
) -> Placement {
    let eligible = eligible_targets(table, settings, request, now);
    if eligible.is_empty() {
        return refuse_without_target(table, request, now);
    }
    let mut best: Option<Candidate> = None;
    for &target in &eligible {
        let entry = table.target(target);
        let utilisation = f64::from(entry.load().attempts) / f64::from(entry.slots.max(1));
        if utilisation >= PLAIN_MAX_UTILISATION
            || is_cold_rate_used_up(entry, settings, request, now)
        {
            continue;
        }
        let remote_cost = if entry.centre == *request.centre {
            0.0
        } else {
            PLAIN_REMOTE_COST
        };
        let connection_cost = match connections.has_idle(entry.address) {
            true => 0.0,
            false => PLAIN_CONNECTION_COST,
        };
        let cost = utilisation * entry.pace(now)
            + remote_cost
            + connection_cost
            + entry.outlier_detector.failure_fraction();
        if best.as_ref().is_none_or(|best| cost < best.cost) {
            best = Some(Candidate {
                target,
                wait_millis: 0.0,
                cost,
                is_home: false,
                copy_source: None,
            });
        }
    }
    match best {
        Some(best) => best.into_placement(),
        None => Placement::Refused {
            reason: RefusalReason::Full,
            retry_after: request.objective / 2,
            exceeded: None,
        },
    }
}

/// The available targets, which accept requests, may run the request and were not tried
/// yet. Avoided targets are left out unless they are the majority.
fn eligible_targets(
    table: &TargetTable,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Vec<TargetEntryId> {
    let targets = table
        .targets_of_service(&request.service.name)
        .iter()
        .copied();
    let is_available = |target: &TargetEntryId| {
        let entry = table.target(*target);
        may_run(entry, request)
            && !request.tried.contains(target)
            && entry.remaining_pause(now).is_none()
    };
    let available: Vec<TargetEntryId> = targets.filter(is_available).collect();
    let preferred = available.iter().copied().filter(|&target| {
        table
            .target(target)
            .avoid_reason(settings.prefill_rate, now)
            .is_none()
    });
    let preferred: Vec<TargetEntryId> = preferred.collect();
    // If most targets are avoided, the cause is likely not the targets, or there
    // is no better choice.
    match preferred.len() * 2 >= available.len() {
        true => preferred,
        false => available,
    }
}

/// Whether a target accepts requests and has the software version that the request needs.
fn may_run(entry: &TargetEntry, request: &PlacementRequest<'_>) -> bool {
    let runs_version = |version| entry.version.tag() == version;
    entry.accepts_requests && request.version.is_none_or(runs_version)
}

fn refuse_without_target(
    table: &TargetTable,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Placement {
    let targets = table.targets_of_service(&request.service.name).iter();
    let targets = targets.map(|&target| table.target(target));
    let running = targets.filter(|entry| may_run(entry, request));
    let pause = running.filter_map(|entry| entry.remaining_pause(now)).min();
    let (reason, retry_after) = match (pause, request.version) {
        (Some(pause), _) => (RefusalReason::Paused, pause),
        (None, Some(_)) => (RefusalReason::NoTargetOfVersion, NO_TARGET_RETRY),
        (None, None) => (RefusalReason::NoTarget, NO_TARGET_RETRY),
    };
    Placement::Refused {
        reason,
        retry_after,
        exceeded: None,
    }
}
