//! Selection among targets that run a model.
//!
//! Invariant: a target is chosen only if its wait is within the limit of the request
//! and it has a free slot and memory for the request.

use std::time::{Duration, Instant};

use super::saving::{Reading, Saving};
use super::{
    BestCandidates, Candidate, ExceededWait, IdleConnections, MIN_RETRY_AFTER, PlacementRequest,
    PlacementSettings, RefusalReason, Selection, eligible_targets, is_cold_rate_used_up,
    limit_wait, refuse_without_target,
};
use crate::direct::config::Engine;
use crate::direct::memory::{Needed, Running};
use crate::direct::target_table::{Prompt, TargetEntry, TargetEntryId, TargetTable};

/// The fraction of a target's memory that may be in use.
const MAX_MEMORY_FRACTION: f64 = 0.9;

/// The minimum fraction of the wait limit, which applies to prompts that take too
/// long to be prefilled within their objective.
const MIN_LIMIT_FRACTION: f64 = 0.4;

/// The fraction of a target's slots and memory up to which it counts as idle.
const MAX_SPARE_FRACTION: f64 = 0.5;

pub(super) fn select_engine_target(
    table: &TargetTable,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    connections: &impl IdleConnections,
    (engine, prompt): (Engine, &Prompt),
    now: Instant,
) -> Selection {
    let eligible = eligible_targets(table, settings, request, now);
    if eligible.is_empty() {
        return refuse_without_target(table, request, now).into();
    }
    let saving = Saving::new(table, settings, &eligible, (engine, prompt), now);
    let base_limit = wait_limit(settings, request);
    let objective = request.objective.as_secs_f64() * 1e3;
    let mean_wait = mean_wait(table, settings, &eligible, now);
    let mut best = BestCandidates::default();
    let mut min_exceeded: Option<ExceededWait> = None;
    for (index, &target) in eligible.iter().enumerate() {
        let entry = table.target(target);
        if is_cold_rate_used_up(entry, settings, request, connections, now) {
            continue;
        }
        let Some(limit_wait) = limit_wait(entry, request, now) else {
            continue;
        };
        let Some(reading) = saving.reading(index, target) else {
            continue;
        };
        if !has_room(table, entry, &reading, (engine, prompt)) {
            continue;
        }
        let rate = entry.prefill_rate(settings.prefill_rate, now);
        let wait_millis = entry.waiting_tokens(settings.prefill_rate, now) / rate;
        let prefill_millis = f64::from(reading.prefill_tokens) / rate;
        let wait_limit = match request.version {
            // Its first event, to which the objective applies, has been delivered.
            Some(_) => base_limit,
            // A long prompt meets its objective only if little waits before it.
            None => base_limit * (1.0 - prefill_millis / objective).max(MIN_LIMIT_FRACTION),
        };
        // Frequent requests find each target just when nothing waits there, so
        // the mean wait of the pool is taken into account as well.
        let exceeded = ExceededWait {
            wait_millis: wait_millis.max(mean_wait),
            limit_millis: wait_limit,
        };
        let added_millis = mean_wait.max(wait_millis + prefill_millis);
        let is_spare = || has_spare_capacity(entry, engine, request, added_millis);
        if exceeded.excess_millis() > 0.0 && !is_spare() {
            let is_less = |it: ExceededWait| exceeded.excess_millis() < it.excess_millis();
            if min_exceeded.is_none_or(is_less) {
                min_exceeded = Some(exceeded);
            }
            continue;
        }
        let remote_cost = match entry.centre == *request.centre {
            true => 0.0,
            false => settings.remote_cost_millis,
        };
        let connection_cost = match connections.has_idle(entry.address) {
            true => 0.0,
            false => settings.connection_cost_millis,
        };
        let prefill_millis = settings.prefill_cost * f64::from(reading.prefill_tokens) / rate;
        let cost = wait_millis
            + prefill_millis
            + reading.cost_millis
            + remote_cost
            + connection_cost
            + concurrency_cost(entry);
        let candidate = Candidate {
            target,
            wait_millis,
            cost,
            is_home: saving.is_home(target),
            copy_source: reading.copy_source,
        };
        best.add(candidate, limit_wait);
    }
    best.into_selection(table, || match min_exceeded {
        Some(exceeded) => {
            let excess = Duration::from_secs_f64(exceeded.excess_millis() / 1e3);
            let retry_after = excess.max(MIN_RETRY_AFTER);
            (RefusalReason::Busy, retry_after, Some(exceeded))
        }
        None => (RefusalReason::Full, request.objective / 4, None),
    })
}

/// The mean wait at the targets that take what they can carry, in milliseconds; at all of them
/// if each names a limit, which keeps them idle while requests wait for others.
fn mean_wait(
    table: &TargetTable,
    settings: &PlacementSettings,
    eligible: &[TargetEntryId],
    now: Instant,
) -> f64 {
    let entries = || eligible.iter().map(|&target| table.target(target));
    let all_limited = entries().all(|entry| entry.limit().rate().is_some());
    let counted = entries().filter(|entry| all_limited || entry.limit().rate().is_none());
    let (tokens, rates) = counted.fold((0.0, 0.0), |(tokens, rates), entry| {
        (
            tokens + entry.waiting_tokens(settings.prefill_rate, now),
            rates + entry.usual_rate(settings.prefill_rate),
        )
    });
    tokens / rates
}

/// Whether a target has a free slot and memory for the request.
fn has_room(
    table: &TargetTable,
    entry: &TargetEntry,
    reading: &Reading,
    (engine, prompt): (Engine, &Prompt),
) -> bool {
    let load = entry.load();
    let has_slot = load.attempts < entry.slots.min(engine.slots);
    let memory_tokens = table.memory_tokens(prompt, reading.new_tokens);
    let has_memory = match table.weighs_kept_parts() {
        true => {
            let running = Running {
                attempts: load.attempts,
                tokens: load.memory_tokens,
            };
            let missing_tokens = reading.new_tokens.saturating_sub(prompt.own_tokens());
            let needed = Needed {
                new_tokens: memory_tokens.saturating_add(missing_tokens),
                kept_tokens: prompt.input_tokens.saturating_sub(reading.new_tokens),
                spread: prompt.output_spread(),
            };
            entry.memory.has_room(engine.memory, running, &needed)
        }
        false => {
            load.memory_tokens + f64::from(memory_tokens)
                <= engine.memory as f64 * MAX_MEMORY_FRACTION
        }
    };
    has_slot && has_memory
}

/// The maximum wait at a target to which a request is sent, in milliseconds.
///
/// Under load, requests with a longer objective are refused before those with a
/// shorter one, unless they continue a stream.
fn wait_limit(settings: &PlacementSettings, request: &PlacementRequest<'_>) -> f64 {
    let min_objective = request.min_objective.as_secs_f64();
    let own_objective = request.objective.as_secs_f64().max(min_objective);
    let ratio = if own_objective > 0.0 && request.version.is_none() {
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

/// Whether a target runs so little that a request of a team beyond its share, which takes
/// `added_millis` until its first event, delays others by no more than allowed.
fn has_spare_capacity(
    entry: &TargetEntry,
    engine: Engine,
    request: &PlacementRequest<'_>,
    added_millis: f64,
) -> bool {
    let Some(max_delay) = request.excess_delay else {
        return false;
    };
    let load = entry.load();
    let slots = f64::from(entry.slots.min(engine.slots));
    added_millis <= max_delay.as_secs_f64() * 1e3
        && f64::from(load.attempts) < slots * MAX_SPARE_FRACTION
        && load.memory_tokens < engine.memory as f64 * MAX_SPARE_FRACTION
}

/// The cost of concurrent attempts in milliseconds, since each of them makes the
/// decoding steps of all others longer.
fn concurrency_cost(entry: &TargetEntry) -> f64 {
    let utilisation = f64::from(entry.load().attempts) / f64::from(entry.slots.max(1));
    20.0 * utilisation
}
