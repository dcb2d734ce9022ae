//! Selection among targets without an engine by the wait for their slots.
//!
//! The queue of a target is shared by all routers, so a request that waits there gets the
//! next free slot; one that waits in a router would let slots idle until the router hears
//! of them. Nothing is therefore held: a request is sent while some target has a free slot
//! or a wait within the limit of its objective, and refused at once otherwise, with the
//! time after which the shortest wait has fallen to the limit.
//!
//! Invariants:
//! - A target with a free slot is never full, however long its requests take.
//! - Requests are spread over all targets within the limit, fewer where they take longer.

use std::time::{Duration, Instant};

use super::{
    ExceededWait, Placement, PlacementRequest, PlacementSettings, RefusalReason, eligible_targets,
    is_cold_rate_used_up, refuse_without_target,
};
use crate::direct::target_table::{TargetEntry, TargetEntryId, TargetTable};

/// The additional time of a request to another data centre.
const REMOTE_TIME: Duration = Duration::from_millis(4);

/// The power of the expected time to which the number of requests at a target is inverse:
/// with 2, a target that takes twice as long gets a fourth.
const TIME_POWER: i32 = 2;

/// The least expected time in seconds, below which targets count as equally fast.
const MIN_SECONDS: f64 = 1e-3;

/// How a target would serve the request.
struct Estimate {
    target: TargetEntryId,
    wait: Duration,
    limit: Duration,
    has_slot: bool,
    weight: f64,
}

impl Estimate {
    fn new(
        (target, entry): (TargetEntryId, &TargetEntry),
        settings: &PlacementSettings,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> Self {
        let state = entry.slot_state();
        let ahead = entry.occupancy(now);
        let objective = request.objective;
        let wait = state.wait(ahead, entry.slots, objective);
        let time = state.request_time(objective);
        let distance = match entry.centre == *request.centre {
            true => Duration::ZERO,
            false => REMOTE_TIME,
        };
        let seconds = (wait + time + distance).as_secs_f64().max(MIN_SECONDS);
        let (failed, answered) = state.failures();
        let answers = 1.0 - failed / answered.max(1.0);
        let left = objective.saturating_sub(time + distance);
        Self {
            target,
            wait,
            limit: left.mul_f64(settings.max_wait_fraction.min(1.0)),
            has_slot: ahead < f64::from(entry.slots),
            weight: answers / seconds.powi(TIME_POWER),
        }
    }

    fn has_room(&self) -> bool {
        self.has_slot || self.wait <= self.limit
    }
}

pub(super) fn select_by_slots(
    table: &mut TargetTable,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    now: Instant,
) -> Placement {
    let eligible = eligible_targets(table, settings, request, now);
    if eligible.is_empty() {
        return refuse_without_target(table, request, now);
    }
    let estimates = eligible.iter().filter_map(|&target| {
        let entry = table.target(target);
        let is_used_up = is_cold_rate_used_up(entry, settings, request, now);
        (!is_used_up).then(|| Estimate::new((target, entry), settings, request, now))
    });
    let estimates: Vec<Estimate> = estimates.collect();
    let with_room: Vec<&Estimate> = estimates.iter().filter(|it| it.has_room()).collect();
    if with_room.is_empty() {
        return refuse_full(&estimates, request);
    }
    let sum: f64 = with_room.iter().map(|it| it.weight).sum();
    let part = |it: &Estimate| match sum > 0.0 {
        true => it.weight / sum,
        false => 1.0 / with_room.len() as f64,
    };
    let owed = with_room
        .iter()
        .map(|it| (table.slot_state(it.target).owe(part(it)), *it));
    let owed: Vec<(f64, &Estimate)> = owed.collect();
    let (_, chosen) = owed
        .into_iter()
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .expect("a target has room");
    table.slot_state(chosen.target).settle();
    Placement::Target {
        target: chosen.target,
        wait_millis: chosen.wait.as_secs_f64() * 1e3,
        is_home: false,
        copy_source: None,
    }
}

/// Refuses until the shortest wait has fallen to its limit: a queue that gets nothing more
/// shortens by one millisecond each millisecond. Counts say nothing of a time that is
/// further away than the objective.
fn refuse_full(estimates: &[Estimate], request: &PlacementRequest<'_>) -> Placement {
    let excess = |it: &Estimate| it.wait.saturating_sub(it.limit);
    let shortest = estimates.iter().min_by_key(|it| excess(it));
    Placement::Refused {
        reason: RefusalReason::Full,
        retry_after: shortest
            .map_or(request.objective / 2, excess)
            .min(request.objective),
        exceeded: shortest.map(|it| ExceededWait {
            wait_millis: it.wait.as_secs_f64() * 1e3,
            limit_millis: it.limit.as_secs_f64() * 1e3,
        }),
    }
}
