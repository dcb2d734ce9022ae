//! Selection among targets without an engine.
//!
//! Invariant: a target is chosen only while its attempts are within a multiple of its
//! slots.

use std::time::Instant;

use super::{
    BestCandidates, Candidate, IdleConnections, PlacementRequest, PlacementSettings, RefusalReason,
    Selection, eligible_targets, is_cold_rate_used_up, limit_wait, refuse_without_target,
};
use crate::direct::target_table::TargetTable;

/// The number of attempts at a target without an engine, as a multiple of its
/// slots, from which on a request is refused.
const PLAIN_MAX_UTILISATION: f64 = 2.5;

/// The cost of sending a request to a target without an engine in another data
/// centre, as a fraction of its slots.
const PLAIN_REMOTE_COST: f64 = 0.3;

/// The cost of opening a connection to a target without an engine, as a fraction of its
/// slots.
const PLAIN_CONNECTION_COST: f64 = 0.2;

pub(super) fn select_plain_target(
    table: &TargetTable,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    connections: &impl IdleConnections,
    now: Instant,
) -> Selection {
    let eligible = eligible_targets(table, settings, request, now);
    if eligible.is_empty() {
        return refuse_without_target(table, request, now).into();
    }
    let mut best = BestCandidates::default();
    for &target in &eligible {
        let entry = table.target(target);
        let utilisation = f64::from(entry.load().attempts) / f64::from(entry.slots.max(1));
        if utilisation >= PLAIN_MAX_UTILISATION
            || is_cold_rate_used_up(entry, settings, request, connections, now)
        {
            continue;
        }
        let Some(limit_wait) = limit_wait(entry, request, now) else {
            continue;
        };
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
        let candidate = Candidate {
            target,
            wait_millis: 0.0,
            cost,
            is_home: false,
            copy_source: None,
        };
        best.add(candidate, limit_wait);
    }
    best.into_selection(table, || (RefusalReason::Full, request.objective / 2, None))
}
