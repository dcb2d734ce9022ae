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
//! Invariant: a target that accepts no requests, is full, has used up its cold rate, or of
//! whose named limit this router has used up its part is never chosen. A target that is
//! avoided is chosen only if most of the available ones are avoided.

mod engine;
mod home;
mod plain;
mod plain_slots;
mod saving;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::Display;
use entity::Name;

use super::cold::{ColdLimit, Members};
use super::config::Service;
use super::target::VersionTag;
use super::target_table::{Prompt, TargetEntry, TargetEntryId, TargetTable};
use engine::select_engine_target;
use plain::select_plain_target;
use plain_slots::select_by_slots;

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
    /// Whether targets without an engine are selected by the wait for their slots.
    pub uses_slots: bool,
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
            uses_slots: false,
        }
    }
}

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
    /// The time by which it may delay others although its team is beyond its share.
    pub excess_delay: Option<Duration>,
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
    /// Targets with capacity name limits, of which this router has used up its part.
    #[display("limited")]
    Limited,
}

impl RefusalReason {
    /// Whether the request would run if its service had less load.
    pub fn is_for_load(self) -> bool {
        matches!(self, Self::Busy | Self::Full | Self::Limited)
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
        /// If the target may have started again, the time before which the connection must
        /// have been opened to lead to the incarnation that was selected.
        opened_before: Option<Instant>,
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

    /// Whether there is one that was opened before this time and is still open.
    fn has_idle_opened_before(&self, address: SocketAddr, time: Instant) -> bool;
}

/// No idle connections.
impl IdleConnections for () {
    fn has_idle(&self, _address: SocketAddr) -> bool {
        false
    }

    fn has_idle_opened_before(&self, _address: SocketAddr, _time: Instant) -> bool {
        false
    }
}

/// Selects a target. If the target is cold or names a limit, uses up one of this router's
/// requests to it.
pub fn select_target(
    table: &mut TargetTable,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    connections: &impl IdleConnections,
    now: Instant,
) -> Placement {
    let selection = match (request.service.engine, request.prompt) {
        (Some(engine), Some(prompt)) => {
            select_engine_target(table, settings, request, connections, (engine, prompt), now)
        }
        (None, _) if settings.uses_slots => {
            select_by_slots(table, settings, request, connections, now)
        }
        _ => select_plain_target(table, settings, request, connections, now),
    };
    if let Some(target) = selection.needed {
        table.record_limit_need(target, now);
    }
    let mut placement = selection.placement;
    if let Placement::Target {
        target,
        opened_before,
        ..
    } = &mut placement
    {
        match cold_limit(table.target(*target), settings, request, connections, now) {
            ColdRequests::Unlimited => {}
            ColdRequests::OpenedBefore(time) => *opened_before = Some(time),
            ColdRequests::Share(share) => table.spend_cold_request(*target, share, now),
        }
        if let Some(part) = limit_part(table.target(*target), request, now) {
            table.spend_limited_request(*target, part, now);
        }
    }
    placement
}

/// A placement, and the target that the request would have used without named limits, if
/// that names one.
struct Selection {
    placement: Placement,
    needed: Option<TargetEntryId>,
}

impl From<Placement> for Selection {
    fn from(placement: Placement) -> Self {
        Self {
            placement,
            needed: None,
        }
    }
}

/// The best target that may get the request, and the best of those whose limit prevents it.
#[derive(Default)]
struct BestCandidates {
    open: Option<Candidate>,
    limited: Option<Candidate>,
    /// The time until the first of the limited ones may get a request.
    limited_wait: Option<Duration>,
}

impl BestCandidates {
    /// Adds a target to which this router may send after a time.
    fn add(&mut self, candidate: Candidate, wait: Duration) {
        let best = match wait.is_zero() {
            true => &mut self.open,
            false => {
                let first = self.limited_wait.map_or(wait, |known| known.min(wait));
                self.limited_wait = Some(first);
                &mut self.limited
            }
        };
        if best.as_ref().is_none_or(|best| candidate.cost < best.cost) {
            *best = Some(candidate);
        }
    }

    /// The target that would be the best one without limits, if it names one.
    fn needed(&self, table: &TargetTable) -> Option<TargetEntryId> {
        let all = self.open.iter().chain(&self.limited);
        let best = all.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        let names_limit = table.target(best.target).limit().rate().is_some();
        names_limit.then_some(best.target)
    }

    /// The placement on the best target; `refuse` gives the reason, the retry time and the
    /// exceeded wait of a refusal for other reasons than a limit.
    fn into_selection(
        self,
        table: &TargetTable,
        refuse: impl FnOnce() -> (RefusalReason, Duration, Option<ExceededWait>),
    ) -> Selection {
        let needed = self.needed(table);
        let placement = match (self.open, self.limited_wait) {
            (Some(open), _) => open.into_placement(),
            (None, limited_wait) => {
                let (reason, retry_after, exceeded) = refuse();
                let limited_wait = limited_wait.map(|wait| wait.max(MIN_RETRY_AFTER));
                Placement::Refused {
                    reason: match (limited_wait, exceeded) {
                        (Some(_), None) => RefusalReason::Limited,
                        _ => reason,
                    },
                    retry_after: match (limited_wait, exceeded) {
                        (Some(wait), None) => wait,
                        (Some(wait), Some(_)) => wait.min(retry_after),
                        (None, _) => retry_after,
                    },
                    exceeded,
                }
            }
        };
        Selection { placement, needed }
    }
}

/// This router's part of the limit that a target names, in requests per second.
fn limit_part(entry: &TargetEntry, request: &PlacementRequest<'_>, now: Instant) -> Option<f64> {
    entry.limit().part(entry.tag, request.members, now)
}

/// The time until this router may send a request to a target, by the limit that the target
/// names; `None` if other routers use the limit up.
fn limit_wait(
    entry: &TargetEntry,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Option<Duration> {
    match limit_part(entry, request, now) {
        None => Some(Duration::ZERO),
        Some(part) if part > 0.0 => Some(entry.limit().wait(part, now)),
        Some(_) => None,
    }
}

/// What this router may send to a target that is cold, or may be.
enum ColdRequests {
    /// The target is warm.
    Unlimited,
    /// The target may have started again, but there are idle connections that were opened
    /// before this time and lead to the incarnation before that.
    OpenedBefore(Instant),
    /// This router's share of the target's rate, in requests per second.
    Share(f64),
}

fn cold_limit(
    entry: &TargetEntry,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    connections: &impl IdleConnections,
    now: Instant,
) -> ColdRequests {
    let rate = request.service.cold_rate;
    if rate <= 0.0 || !entry.is_cold(now) {
        return ColdRequests::Unlimited;
    }
    let warm_before = entry.warm_before(now);
    let has_idle = |time: &Instant| connections.has_idle_opened_before(entry.address, *time);
    match warm_before.filter(has_idle) {
        Some(time) => ColdRequests::OpenedBefore(time),
        None => {
            let members = request.members;
            let share = members.cold_rate_share(entry.tag, rate, settings.cold_limit);
            ColdRequests::Share(share.unwrap_or(0.0))
        }
    }
}

/// Whether this router has used up its requests to a target that is cold.
fn is_cold_rate_used_up(
    entry: &TargetEntry,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    connections: &impl IdleConnections,
    now: Instant,
) -> bool {
    match cold_limit(entry, settings, request, connections, now) {
        ColdRequests::Unlimited | ColdRequests::OpenedBefore(_) => false,
        ColdRequests::Share(share) => share == 0.0 || !entry.may_send_cold(share, now),
    }
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
            opened_before: None,
        }
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
