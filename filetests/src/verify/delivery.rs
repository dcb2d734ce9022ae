//! Checks of answers, refusals and at-most-once execution.

use std::collections::BTreeMap;
use std::time::Duration;

use entity::{Reason, RequestId};
use policy::quarantine::MAX_CRASHED_TARGETS;

use super::{Findings, trace};
use crate::record::{EntryKind, Subject};
use crate::scenario::Promise;
use crate::sim::Run;

/// How long after its deadline a request may still end.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);

fn of_request(request: RequestId) -> Subject {
    Subject {
        request: Some(request),
        ..Subject::default()
    }
}

pub(super) fn whole_answers(run: &Run) -> Findings {
    let mut findings = Findings::default();
    let mut keys: BTreeMap<RequestId, Option<u32>> = BTreeMap::new();
    for entry in &run.entries {
        let Some(request) = entry.subject.request else {
            continue;
        };
        match entry.kind {
            EntryKind::Arrived => drop(keys.insert(request, entry.subject.key)),
            EntryKind::Answered { body, whole } => {
                findings.checks += 1;
                let key = keys.get(&request).copied().flatten();
                let is_same = key.is_some() && keys.get(&body).copied().flatten() == key;
                if whole && (body == request || is_same) {
                    continue;
                }
                let part = if whole { "the" } else { "part of the" };
                let detail = format!("{request:?} was answered with {part} answer to {body:?}");
                let trace = trace(run, &of_request(request), entry.at);
                findings.violation(Promise::WholeAnswers, entry.at, detail, trace);
            }
            _ => {}
        }
    }
    findings
}

pub(super) fn not_run(run: &Run) -> Findings {
    let mut findings = Findings::default();
    let mut starts: BTreeMap<RequestId, u32> = BTreeMap::new();
    let mut refused = BTreeMap::new();
    for entry in &run.entries {
        let Some(request) = entry.subject.request else {
            continue;
        };
        match entry.kind {
            EntryKind::Started => *starts.entry(request).or_default() += 1,
            EntryKind::NotRun(_) => drop(refused.insert(request, entry.at)),
            _ => {}
        }
    }
    findings.checks = refused.len();
    for (request, at) in refused {
        let runs = starts.get(&request).copied().unwrap_or_default();
        if runs > 0 {
            let detail = format!("{request:?} ended as not run and was started {runs} times");
            let trace = trace(run, &of_request(request), Duration::MAX);
            findings.violation(Promise::NotRun, at, detail, trace);
        }
    }
    findings
}

pub(super) fn once(run: &Run) -> Findings {
    let mut findings = Findings::default();
    let mut runs: BTreeMap<u32, u32> = BTreeMap::new();
    for entry in &run.entries {
        let (EntryKind::Started, Some(key)) = (&entry.kind, entry.subject.key) else {
            continue;
        };
        findings.checks += 1;
        let count = runs.entry(key).or_default();
        *count += 1;
        if *count == 2 {
            let detail = format!("key {key} ran a second time");
            let subject = Subject {
                key: Some(key),
                ..Subject::default()
            };
            let trace = trace(run, &subject, entry.at);
            findings.violation(Promise::Once, entry.at, detail, trace);
        }
    }
    findings
}

pub(super) fn endings(run: &Run) -> Findings {
    let mut findings = Findings::default();
    let mut endings: BTreeMap<RequestId, Vec<Duration>> = BTreeMap::new();
    for entry in &run.entries {
        let Some(request) = entry.subject.request else {
            continue;
        };
        let ends = endings.entry(request).or_default();
        if matches!(
            entry.kind,
            EntryKind::Answered { .. }
                | EntryKind::NotRun(_)
                | EntryKind::Unknown(_)
                | EntryKind::Lost
        ) {
            ends.push(entry.at);
        }
    }
    findings.checks = endings.len();
    for (request, ends) in endings {
        let due = run.deadlines[&request] + DEADLINE_GRACE;
        let detail = match ends.as_slice() {
            [] if due <= run.length => "has no ending",
            [at] if *at > due => "ended after its deadline",
            [_, _, ..] => "has several endings",
            _ => continue,
        };
        let detail = format!("{request:?} {detail}");
        let at = ends.last().copied().unwrap_or(due);
        let trace = trace(run, &of_request(request), Duration::MAX);
        findings.violation(Promise::Endings, at, detail, trace);
    }
    findings
}

pub(super) fn quarantine(run: &Run) -> Findings {
    let mut findings = Findings::default();
    let ordered = |kind: &EntryKind| match kind {
        EntryKind::Fault(text) => text.starts_with("crash-request "),
        _ => false,
    };
    let requests = run.entries.iter().filter(|entry| ordered(&entry.kind));
    let bound = requests.count() * MAX_CRASHED_TARGETS;
    let mut deaths = Vec::new();
    for entry in &run.entries {
        match (&entry.kind, entry.subject.request) {
            (EntryKind::Died, _) => {
                findings.checks += 1;
                deaths.push(entry.clone());
                if findings.checks == bound + 1 {
                    let detail = format!("more than {bound} targets died of crash requests");
                    findings.violation(Promise::Quarantine, entry.at, detail, deaths.clone());
                }
            }
            (EntryKind::NotRun(Reason::Quarantined), Some(request))
                if !run.crashing_requests.contains(&request) =>
            {
                let detail = format!("{request:?} was quarantined and kills nothing");
                let trace = trace(run, &of_request(request), entry.at);
                findings.violation(Promise::Quarantine, entry.at, detail, trace);
            }
            _ => {}
        }
    }
    findings
}
