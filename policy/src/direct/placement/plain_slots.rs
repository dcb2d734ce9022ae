//! Selection among targets without an engine by the wait for their slots.
//!
//! A request is sent while some target has a free slot or a wait within the limit of its
//! objective, and refused at once otherwise, with the time after which the shortest wait
//! has fallen to the limit. Requests wait in the queues of targets only, which all routers
//! share.
//!
//! Invariants:
//! - A target with a free slot is never full, however long its requests take.
//! - Requests are spread over all targets within the limit, fewer where they take longer.

use std::time::{Duration, Instant};

use super::{
    ExceededWait, IdleConnections, MIN_RETRY_AFTER, Placement, PlacementRequest, PlacementSettings,
    RefusalReason, Selection, eligible_targets, is_cold_rate_used_up, limit_wait,
    refuse_without_target,
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
    is_full: bool,
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
        let (failed, answered) = state.failures(now);
        // One failure alone must not exclude a target.
        let answers = 1.0 - failed / (answered + 1.0);
        let left = objective.saturating_sub(time + distance);
        Self {
            target,
            wait,
            limit: left.mul_f64(settings.max_wait_fraction.min(1.0)),
            is_full: state.is_full(ahead, now),
            has_slot: ahead < f64::from(entry.slots),
            weight: answers / seconds.powi(TIME_POWER),
        }
    }

    fn has_room(&self) -> bool {
        !self.is_full && (self.has_slot || self.wait <= self.limit)
    }
}

pub(super) fn select_by_slots(
    table: &mut TargetTable,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    connections: &impl IdleConnections,
    now: Instant,
) -> Selection {
    let eligible = eligible_targets(table, settings, request, now);
    if eligible.is_empty() {
        return refuse_without_target(table, request, now).into();
    }
    let estimates = eligible.iter().filter_map(|&target| {
        let entry = table.target(target);
        let is_used_up = is_cold_rate_used_up(entry, settings, request, connections, now);
        let limit_wait = limit_wait(entry, request, now).filter(|_| !is_used_up)?;
        let estimate = Estimate::new((target, entry), settings, request, now);
        Some((limit_wait, estimate))
    });
    let estimates: Vec<(Duration, Estimate)> = estimates.collect();
    let with_room = estimates.iter().filter(|(_, it)| it.has_room());
    let (open, limited): (Vec<_>, Vec<_>) = with_room.partition(|(wait, _)| wait.is_zero());
    // Without limits the requests would be spread over all of them.
    let rank = |it: &Estimate| it.weight / (1.0 + table.target(it.target).limit().need(now));
    let all = open.iter().chain(&limited).map(|(_, it)| it);
    let needed = all.max_by(|a, b| rank(a).total_cmp(&rank(b)));
    let needed = needed.map(|it| it.target);
    let needed = needed.filter(|&target| table.target(target).limit().rate().is_some());
    let limited_wait = limited.iter().map(|(wait, _)| *wait).min();
    let placement = match (open.is_empty(), limited_wait) {
        (false, _) => {
            let open: Vec<&Estimate> = open.into_iter().map(|(_, it)| it).collect();
            select_by_weight(table, &open)
        }
        (true, Some(wait)) => Placement::Refused {
            reason: RefusalReason::Limited,
            retry_after: wait.max(MIN_RETRY_AFTER),
            exceeded: None,
        },
        (true, None) => refuse_full(&estimates, request),
    };
    Selection { placement, needed }
}

/// Selects one of the targets with room, each in proportion to its weight.
fn select_by_weight(table: &mut TargetTable, with_room: &[&Estimate]) -> Placement {
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
        opened_before: None,
    }
}

/// Refuses until the shortest wait has fallen to its limit: a queue that gets nothing more
/// shortens by one millisecond each millisecond. Counts say nothing of a time that is
/// further away than the objective.
fn refuse_full(estimates: &[(Duration, Estimate)], request: &PlacementRequest<'_>) -> Placement {
    let excess = |it: &Estimate| it.wait.saturating_sub(it.limit);
    let estimates = estimates.iter().map(|(_, it)| it);
    let shortest = estimates.min_by_key(|it| excess(it));
    Placement::Refused {
        reason: RefusalReason::Full,
        retry_after: shortest
            .map_or(request.objective / 2, excess)
            .min(request.objective)
            .max(MIN_RETRY_AFTER),
        exceeded: shortest.map(|it| ExceededWait {
            wait_millis: it.wait.as_secs_f64() * 1e3,
            limit_millis: it.limit.as_secs_f64() * 1e3,
        }),
    }
}
