//! Checks of fair sharing, utilisation and target capacity.

use std::time::Duration;

use policy::ledger::CLAMP_INTERVAL;

use super::{Findings, MAX_TRACE, trace};
use crate::record::{Entry, EntryKind, Subject};
use crate::scenario::Promise;
use crate::sim::{PoolMeasure, PoolRun, Run, Starvation};

/// The fraction of slot time that may be idle while work waits.
const MAX_IDLE: f64 = 0.01;

/// Returns the bound on the service gap between two teams, in cost units per weight.
///
/// The bound is the sum of the work of both teams in flight, the service of the pool
/// while ledger deltas propagate, and the clamp of the ledger.
fn gap_bound(pool: &PoolRun, teams: (usize, usize)) -> f64 {
    let (one, two) = (pool.weights[teams.0], pool.weights[teams.1]);
    let in_flight = &pool.measure.team_in_flight;
    let in_flight = in_flight[teams.0] / one + in_flight[teams.1] / two;
    let staleness = pool.rate * pool.staleness.as_secs_f64() / one.min(two);
    in_flight + staleness + clamp(pool, one + two)
}

/// Returns how far the clamp of the ledger can move counters, in cost units per weight.
///
/// The clamp takes effect only after faults that isolate agents from each other.
fn clamp(pool: &PoolRun, weights: f64) -> f64 {
    match pool.had_isolation_fault {
        true => pool.rate * CLAMP_INTERVAL.as_secs_f64() / weights,
        false => 0.0,
    }
}

/// Returns the bound on the wait of a team for a start, in cost units of open slots.
///
/// The bound is the sum of three terms: the work that brings all teams level with what
/// the team has in flight; the work until a slot is free, since the least remaining work
/// in flight is at most the mean; and the service of the pool while ledger deltas propagate.
fn wait_bound(pool: &PoolRun, team: usize) -> f64 {
    let total: f64 = pool.weights.iter().sum();
    let staleness = pool.rate * pool.staleness.as_secs_f64();
    let ahead = pool.measure.team_in_flight[team] / pool.weights[team];
    (ahead + clamp(pool, total)) * total + pool.measure.in_flight + 2.0 * staleness
}

/// Returns the capacity of the open slots of a pool during a wait, in cost units.
fn wait_cost(pool: &PoolRun, wait: &Starvation) -> f64 {
    wait.open / pool.token.as_secs_f64()
}

pub(super) fn gap(run: &Run) -> Findings {
    let mut findings = Findings::default();
    for pool in &run.pools {
        let Some(gap) = pool.measure.gap else {
            continue;
        };
        findings.checks += 1;
        let bound = gap_bound(pool, gap.teams);
        if gap.size <= bound {
            continue;
        }
        let at = run.since_start(gap.span.until);
        let detail = format!(
            "pool {}: teams {} and {} drew {:.0} cost units per weight apart within {:.3}s, bound {bound:.0}",
            pool.name,
            run.teams[gap.teams.0],
            run.teams[gap.teams.1],
            gap.size,
            gap.span.length().as_secs_f64(),
        );
        let trace = starts(run, gap.teams, at);
        findings.violation(Promise::Gap, at, detail, trace);
    }
    findings
}

/// Returns the last starts of two teams until a time.
fn starts(run: &Run, teams: (usize, usize), until: Duration) -> Vec<Entry> {
    let (one, two) = (&run.teams[teams.0], &run.teams[teams.1]);
    let entries = run.entries.iter().filter(|entry| {
        let team = entry.subject.team.as_ref();
        let is_theirs = team == Some(one) || team == Some(two);
        is_theirs && entry.at <= until && entry.kind == EntryKind::Started
    });
    let starts: Vec<_> = entries.cloned().collect();
    starts[starts.len().saturating_sub(MAX_TRACE)..].to_vec()
}

/// Formats the measurements of each pool beside their bounds.
pub fn figures(run: &Run) -> String {
    let mut text = String::new();
    for pool in &run.pools {
        let PoolMeasure {
            gap,
            starvation,
            idle,
            slots,
            ..
        } = &pool.measure;
        text += &format!("pool {}:", pool.name);
        if let Some(gap) = gap {
            text += &format!(" gap {:.0} of {:.0}", gap.size, gap_bound(pool, gap.teams));
        }
        if let Some(longest) = starvation {
            let wait = wait_cost(pool, longest);
            text += &format!(", wait {wait:.0} of {:.0}", wait_bound(pool, longest.team));
        }
        if *slots > 0.0 {
            text += &format!(", idle {:.3}% of 1%", idle / slots * 100.0);
        }
        text += "\n";
    }
    let count = |is: fn(&EntryKind) -> bool| {
        let entries = run.entries.iter();
        entries.filter(|entry| is(&entry.kind)).count()
    };
    text += &format!(
        "requests: arrived {}, answered {}, not run {}, unknown {}, lost {}; answers dropped {}, service calls {}\n",
        count(|kind| matches!(kind, EntryKind::Arrived)),
        count(|kind| matches!(kind, EntryKind::Answered { .. })),
        count(|kind| matches!(kind, EntryKind::NotRun(_))),
        count(|kind| matches!(kind, EntryKind::Unknown(_))),
        count(|kind| matches!(kind, EntryKind::Lost)),
        run.dropped,
        run.calls,
    );
    text
}

pub(super) fn starvation(run: &Run) -> Findings {
    let mut findings = Findings::default();
    for pool in &run.pools {
        let Some(longest) = pool.measure.starvation else {
            continue;
        };
        findings.checks += 1;
        let bound = wait_bound(pool, longest.team);
        let wait = wait_cost(pool, &longest);
        if wait <= bound {
            continue;
        }
        let at = run.since_start(longest.span.until);
        let team = run.teams[longest.team].clone();
        let detail = format!(
            "pool {}: team {team} waited {:.3}s without a start, while open slots could give {wait:.0} cost units, bound {bound:.0}",
            pool.name,
            longest.span.length().as_secs_f64(),
        );
        let subject = Subject {
            team: Some(team),
            ..Subject::default()
        };
        findings.violation(Promise::NoStarvation, at, detail, trace(run, &subject, at));
    }
    findings
}

pub(super) fn utilisation(run: &Run) -> Findings {
    let mut findings = Findings::default();
    for pool in run.pools.iter().filter(|pool| pool.measure.slots > 0.0) {
        findings.checks += 1;
        let idle = pool.measure.idle / pool.measure.slots;
        if idle < MAX_IDLE {
            continue;
        }
        let detail = format!(
            "pool {}: {:.2}% of slot time was idle while work waited, bound {:.0}%",
            pool.name,
            idle * 100.0,
            MAX_IDLE * 100.0
        );
        findings.violation(Promise::Utilisation, run.length, detail, Vec::new());
    }
    findings
}

pub(super) fn cold_limit(run: &Run) -> Findings {
    let mut findings = Findings::default();
    for entry in &run.entries {
        match entry.kind {
            EntryKind::Started => findings.checks += 1,
            EntryKind::Overrun { running, limit } => {
                let subject = Subject {
                    target: entry.subject.target.clone(),
                    ..Subject::default()
                };
                let detail = format!("{}: {running} run, {limit} can", entry.subject);
                let trace = trace(run, &subject, entry.at);
                findings.violation(Promise::ColdLimit, entry.at, detail, trace);
            }
            _ => {}
        }
    }
    findings
}
