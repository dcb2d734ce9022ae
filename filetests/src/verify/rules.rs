//! Checks of configurations, drains, leaving targets and planned stops.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use entity::{Name, Reason, Revision};

use super::{Findings, after_outages, outages, trace};
use crate::record::{Entry, EntryKind, Subject};
use crate::scenario::Promise;
use crate::sim::Run;

/// The time after which a drained or leaving target must get no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// The time within which an accepted configuration must be in force everywhere.
const SPREAD_LIMIT: Duration = Duration::from_secs(17);

/// The time within which a stopping process must end its requests and stop.
const STOP_LIMIT: Duration = Duration::from_secs(60);

pub(super) fn drain(run: &Run) -> Findings {
    late_starts(run, Promise::Drain, &EntryKind::Drained)
}

pub(super) fn leaving(run: &Run) -> Findings {
    late_starts(run, Promise::Leaving, &EntryKind::Leaves)
}

/// Finds starts on a target later than `DRAIN_LIMIT` after the entry `closing`.
fn late_starts(run: &Run, promise: Promise, closing: &EntryKind) -> Findings {
    let mut findings = Findings::default();
    let outages = outages(run);
    let mut closed: BTreeMap<&Name, Duration> = BTreeMap::new();
    for entry in &run.entries {
        let Some(target) = &entry.subject.target else {
            continue;
        };
        match &entry.kind {
            kind if kind == closing => {
                findings.checks += 1;
                if let Some(from) = after_outages(&outages, entry.at, DRAIN_LIMIT) {
                    closed.insert(target, from + DRAIN_LIMIT);
                }
            }
            EntryKind::Undrained => drop(closed.remove(target)),
            EntryKind::Started if closed.get(target).is_some_and(|&from| entry.at > from) => {
                let detail = format!("{} started too late", entry.subject);
                let request = Subject {
                    request: entry.subject.request,
                    ..Subject::default()
                };
                let mut entries = trace(run, &request, entry.at);
                entries.extend(closing_entries(run, target, closing));
                entries.sort_by_key(|entry| entry.at);
                findings.violation(promise, entry.at, detail, entries);
            }
            _ => {}
        }
    }
    findings
}

fn closing_entries<'a>(
    run: &'a Run,
    target: &'a Name,
    closing: &'a EntryKind,
) -> impl Iterator<Item = Entry> + 'a {
    let entries = run.entries.iter();
    let closing_entries = entries.filter(move |entry| {
        entry.kind == *closing && entry.subject.target.as_ref() == Some(target)
    });
    closing_entries.cloned()
}

/// The configuration state of a process.
#[derive(Clone, Copy, Default, Debug)]
struct InForce {
    revision: Revision,
    started: Duration,
    stopped: bool,
}

pub(super) fn configuration(run: &Run) -> Findings {
    let mut findings = Findings::default();
    check_reverts(run, &mut findings);
    let outages = outages(run);
    for entry in &run.entries {
        let EntryKind::Published {
            revision,
            valid: true,
        } = entry.kind
        else {
            continue;
        };
        let Some(from) = after_outages(&outages, entry.at, SPREAD_LIMIT) else {
            continue;
        };
        let due = from + SPREAD_LIMIT;
        if due <= run.length {
            findings.checks += 1;
            check_adoption(run, revision, due, &mut findings);
        }
    }
    findings
}

/// Finds processes that revert to a lower revision or become ready under an outdated one.
fn check_reverts(run: &Run, findings: &mut Findings) {
    let mut state: BTreeMap<&Name, InForce> = BTreeMap::new();
    let mut adoptions: Vec<(Duration, Revision)> = Vec::new();
    for entry in &run.entries {
        let Some(process) = &entry.subject.process else {
            continue;
        };
        let known = state.entry(process).or_default();
        let wrong = match entry.kind {
            EntryKind::Restarted => {
                *known = InForce::default();
                false
            }
            EntryKind::Adopted(revision) => {
                let is_lower = revision < known.revision;
                known.revision = revision;
                adoptions.push((entry.at, revision));
                is_lower
            }
            EntryKind::Ready => {
                let old = adoptions
                    .iter()
                    .filter(|(at, _)| *at + SPREAD_LIMIT < entry.at);
                let greatest = old.map(|&(_, revision)| revision).max();
                greatest.is_some_and(|greatest| known.revision < greatest)
            }
            _ => false,
        };
        if wrong {
            let detail = format!("{process} went back to revision {}", known.revision);
            let subject = entry.subject.clone();
            let trace = trace(run, &subject, entry.at);
            findings.violation(Promise::Configuration, entry.at, detail, trace);
        }
    }
}

/// Finds processes that have not adopted `revision` by `due`.
fn check_adoption(run: &Run, revision: Revision, due: Duration, findings: &mut Findings) {
    let mut state: BTreeMap<&Name, InForce> = BTreeMap::new();
    for entry in run.entries.iter().filter(|entry| entry.at <= due) {
        let Some(process) = &entry.subject.process else {
            continue;
        };
        let known = state.entry(process).or_default();
        match entry.kind {
            EntryKind::Restarted => {
                *known = InForce {
                    started: entry.at,
                    ..InForce::default()
                };
            }
            EntryKind::Adopted(revision) => known.revision = revision,
            EntryKind::Stopped => known.stopped = true,
            _ => {}
        }
    }
    for (process, known) in state {
        let started_recently = known.started + SPREAD_LIMIT > due && known.started > Duration::ZERO;
        let resumed_late = run
            .resume_times(process)
            .any(|resumed| resumed + SPREAD_LIMIT > due);
        if known.stopped || started_recently || resumed_late {
            continue;
        }
        if known.revision < revision {
            let detail = format!(
                "{process} has revision {} in force, {revision} was due",
                known.revision
            );
            let subject = Subject {
                process: Some(process.clone()),
                ..Subject::default()
            };
            let mut entries = trace(run, &subject, due);
            entries.retain(|entry| !matches!(entry.kind, EntryKind::Arrived));
            findings.violation(Promise::Configuration, due, detail, entries);
        }
    }
}

pub(super) fn planned_stop(run: &Run) -> Findings {
    let mut findings = Findings::default();
    for entry in &run.entries {
        let (EntryKind::Stopping, Some(process)) = (&entry.kind, &entry.subject.process) else {
            continue;
        };
        findings.checks += 1;
        check_cut_requests(run, process, entry.at, &mut findings);
        let due = entry.at + STOP_LIMIT;
        let has_stopped = run.entries.iter().any(|other| {
            other.kind == EntryKind::Stopped
                && other.subject == entry.subject
                && other.at >= entry.at
        });
        if !has_stopped && due <= run.length {
            let detail = format!("{process} has not stopped");
            let trace = vec![entry.clone()];
            findings.violation(Promise::PlannedStop, due, detail, trace);
        }
    }
    findings
}

/// Finds requests that were interrupted by the stop of a process.
fn check_cut_requests(run: &Run, process: &Name, since: Duration, findings: &mut Findings) {
    let mut here = BTreeSet::new();
    for entry in &run.entries {
        let Some(request) = entry.subject.request else {
            continue;
        };
        let by_router = entry.subject.process.as_ref() == Some(process);
        let by_agent = entry.subject.target.as_ref() == Some(process);
        match entry.kind {
            EntryKind::Arrived if by_router && entry.at <= since => drop(here.insert(request)),
            EntryKind::Started if by_agent => drop(here.insert(request)),
            EntryKind::Completed => drop(here.remove(&request)),
            // The deadline ends the request, not the stop.
            EntryKind::Unknown(Reason::DeadlinePassed) if entry.at >= run.deadlines[&request] => {}
            EntryKind::Lost | EntryKind::Unknown(_)
                if entry.at >= since && here.contains(&request) =>
            {
                let detail = format!("{} was cut by the stop of {process}", entry.subject);
                let subject = Subject {
                    request: Some(request),
                    ..Subject::default()
                };
                let trace = trace(run, &subject, entry.at);
                findings.violation(Promise::PlannedStop, entry.at, detail, trace);
            }
            _ => {}
        }
    }
}
