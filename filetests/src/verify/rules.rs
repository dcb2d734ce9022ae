//! Configurations, drains, leaving targets and planned stops.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use entity::{Name, Reason, Revision};

use super::{Findings, blocks, settled, trace};
use crate::record::{Entry, Subject, What};
use crate::scenario::Promise;
use crate::sim::Run;

/// The time after which a drained or leaving target gets no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// The time within which an accepted configuration is in force everywhere.
const SPREAD_LIMIT: Duration = Duration::from_secs(17);

/// The time within which a stopping process has ended its requests and stopped.
const STOP_LIMIT: Duration = Duration::from_secs(60);

pub(super) fn drain(run: &Run) -> Findings {
    no_work(run, Promise::Drain, &What::Drained)
}

pub(super) fn leaving(run: &Run) -> Findings {
    no_work(run, Promise::Leaving, &What::Leaves)
}

/// Finds starts on targets that take no new work since `sign`.
fn no_work(run: &Run, promise: Promise, sign: &What) -> Findings {
    let mut findings = Findings::default();
    let blocks = blocks(run);
    let mut closed: BTreeMap<&Name, Duration> = BTreeMap::new();
    for entry in &run.entries {
        let Some(target) = &entry.subject.target else {
            continue;
        };
        match &entry.what {
            what if what == sign => {
                findings.cases += 1;
                if let Some(from) = settled(&blocks, entry.at, DRAIN_LIMIT) {
                    closed.insert(target, from + DRAIN_LIMIT);
                }
            }
            What::Undrained => drop(closed.remove(target)),
            What::Started if closed.get(target).is_some_and(|&from| entry.at > from) => {
                let detail = format!("{} started too late", entry.subject);
                let request = Subject {
                    request: entry.subject.request,
                    ..Subject::default()
                };
                let mut entries = trace(run, &request, entry.at);
                entries.extend(signs(run, target, sign));
                entries.sort_by_key(|entry| entry.at);
                findings.violation(promise, entry.at, detail, entries);
            }
            _ => {}
        }
    }
    findings
}

fn signs<'a>(run: &'a Run, target: &'a Name, sign: &'a What) -> impl Iterator<Item = Entry> + 'a {
    let entries = run.entries.iter();
    let signs = entries
        .filter(move |entry| entry.what == *sign && entry.subject.target.as_ref() == Some(target));
    signs.cloned()
}

/// What a process has in force.
#[derive(Clone, Copy, Default, Debug)]
struct InForce {
    revision: Revision,
    started: Duration,
    stopped: bool,
}

pub(super) fn configuration(run: &Run) -> Findings {
    let mut findings = Findings::default();
    reverts(run, &mut findings);
    let blocks = blocks(run);
    for entry in &run.entries {
        let What::Published {
            revision,
            valid: true,
        } = entry.what
        else {
            continue;
        };
        let Some(from) = settled(&blocks, entry.at, SPREAD_LIMIT) else {
            continue;
        };
        let due = from + SPREAD_LIMIT;
        if due <= run.length {
            findings.cases += 1;
            spread(run, revision, due, &mut findings);
        }
    }
    findings
}

/// Finds processes that go back to a lower revision, or take work under one.
fn reverts(run: &Run, findings: &mut Findings) {
    let mut state: BTreeMap<&Name, InForce> = BTreeMap::new();
    let mut spread: Vec<(Duration, Revision)> = Vec::new();
    for entry in &run.entries {
        let Some(process) = &entry.subject.process else {
            continue;
        };
        let known = state.entry(process).or_default();
        let wrong = match entry.what {
            What::Restarted => {
                *known = InForce::default();
                false
            }
            What::Adopted(revision) => {
                let is_lower = revision < known.revision;
                known.revision = revision;
                spread.push((entry.at, revision));
                is_lower
            }
            What::Ready => {
                let old = spread
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

/// Finds processes that do not have `revision` in force when it is due.
fn spread(run: &Run, revision: Revision, due: Duration, findings: &mut Findings) {
    let mut state: BTreeMap<&Name, InForce> = BTreeMap::new();
    for entry in run.entries.iter().filter(|entry| entry.at <= due) {
        let Some(process) = &entry.subject.process else {
            continue;
        };
        let known = state.entry(process).or_default();
        match entry.what {
            What::Restarted => {
                *known = InForce {
                    started: entry.at,
                    ..InForce::default()
                };
            }
            What::Adopted(revision) => known.revision = revision,
            What::Stopped => known.stopped = true,
            _ => {}
        }
    }
    for (process, known) in state {
        let is_young = known.started + SPREAD_LIMIT > due && known.started > Duration::ZERO;
        let woke_late = run.wakes(process).any(|woke| woke + SPREAD_LIMIT > due);
        if known.stopped || is_young || woke_late {
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
            entries.retain(|entry| !matches!(entry.what, What::Arrived));
            findings.violation(Promise::Configuration, due, detail, entries);
        }
    }
}

pub(super) fn planned_stop(run: &Run) -> Findings {
    let mut findings = Findings::default();
    for entry in &run.entries {
        let (What::Stopping, Some(process)) = (&entry.what, &entry.subject.process) else {
            continue;
        };
        findings.cases += 1;
        cut_requests(run, process, entry.at, &mut findings);
        let due = entry.at + STOP_LIMIT;
        let has_stopped = run.entries.iter().any(|other| {
            other.what == What::Stopped && other.subject == entry.subject && other.at >= entry.at
        });
        if !has_stopped && due <= run.length {
            let detail = format!("{process} has not stopped");
            let trace = vec![entry.clone()];
            findings.violation(Promise::PlannedStop, due, detail, trace);
        }
    }
    findings
}

/// Finds requests of a stopping process that were cut.
fn cut_requests(run: &Run, process: &Name, since: Duration, findings: &mut Findings) {
    let mut here = BTreeSet::new();
    for entry in &run.entries {
        let Some(request) = entry.subject.request else {
            continue;
        };
        let by_router = entry.subject.process.as_ref() == Some(process);
        let by_agent = entry.subject.target.as_ref() == Some(process);
        match entry.what {
            What::Arrived if by_router && entry.at <= since => drop(here.insert(request)),
            What::Started if by_agent => drop(here.insert(request)),
            What::Completed => drop(here.remove(&request)),
            // A request that has outlived its deadline ends with or without a stop.
            What::Unknown(Reason::DeadlinePassed) if entry.at >= run.deadlines[&request] => {}
            What::Lost | What::Unknown(_) if entry.at >= since && here.contains(&request) => {
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
