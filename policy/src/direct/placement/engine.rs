//! Selection among targets that run a model.
//!
//! Invariant: a target is chosen only if its wait is within the limit of the request
//! and it has a free slot and memory for the request.

use std::time::{Duration, Instant};

use super::home::home_targets;
use super::{
    Candidate, CopySource, ExceededWait, IdleConnections, Placement, PlacementRequest,
    PlacementSettings, RefusalReason, eligible_targets, is_cold_rate_used_up,
    refuse_without_target,
};
use crate::direct::config::Engine;
use crate::direct::target_table::{Prompt, TargetEntry, TargetTable};

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

/// The minimum time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(40);

pub(super) fn select_engine_target(
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
    let rates = eligible.iter().map(|&target| {
        let entry = table.target(target);
        entry.usual_rate(settings.prefill_rate)
    });
    let mean_wait = waiting_tokens.sum::<f64>() / rates.sum::<f64>();
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
        let rate = entry.prefill_rate(settings.prefill_rate, now);
        let must_prefill = copy_source.is_none() && !is_home;
        let prefill_tokens = own_tokens + if must_prefill { uncached_tokens } else { 0 };
        if must_prefill
            && f64::from(uncached_tokens) / entry.usual_rate(settings.prefill_rate)
                > MAX_UNCACHED_PREFILL_MILLIS
            && second_home != Some(target)
        {
            continue;
        }
        let has_room = load.attempts < entry.slots.min(engine.slots)
            && load.memory_tokens + memory_tokens <= engine.memory as f64 * MAX_MEMORY_FRACTION;
        if !has_room {
            continue;
        }
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
