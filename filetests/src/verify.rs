//! Checks whether a run kept its promises.
//!
//! [`verify`] checks one promise and returns each violation with a short trace: the
//! entries of the request, key, team, target or process concerned.

mod delivery;
mod rules;
mod scheduling;

use core::fmt;
use std::time::Duration;

pub use scheduling::figures;

use derive_more::Display;

use crate::record::{Entry, EntryKind, Subject};
use crate::scenario::Promise;
use crate::sim::Run;

/// The maximum number of entries in a trace.
const MAX_TRACE: usize = 12;

/// The maximum number of violations reported per promise.
const MAX_VIOLATIONS: usize = 5;

/// A violation of a promise.
#[derive(Clone, PartialEq, Debug)]
pub struct Violation {
    /// The broken promise.
    pub promise: Promise,
    /// The time of the violation, since the start of the scenario.
    pub at: Duration,
    /// A description of the violation.
    pub detail: String,
    /// The relevant entries.
    pub trace: Vec<Entry>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        writeln!(f, "{} broken at {at:.4}s: {}", self.promise, self.detail)?;
        self.trace
            .iter()
            .try_for_each(|entry| writeln!(f, "  {entry}"))
    }
}

/// The result of a check.
#[derive(Clone, PartialEq, Debug, Display)]
pub enum Verdict {
    /// The promise was kept.
    #[display("kept")]
    Kept,
    /// No event of the run exercised the promise.
    #[display("not exercised")]
    NotExercised,
    /// The promise was broken.
    #[display("broken")]
    Broken(Vec<Violation>),
}

/// The results of one check.
#[derive(Clone, Default, Debug)]
struct Findings {
    /// How many times the promise was exercised.
    checks: usize,
    violations: Vec<Violation>,
}

impl Findings {
    fn violation(&mut self, promise: Promise, at: Duration, detail: String, trace: Vec<Entry>) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation {
                promise,
                at,
                detail,
                trace,
            });
        }
    }
}

/// Checks one promise.
pub fn verify(promise: Promise, run: &Run) -> Verdict {
    let findings = match promise {
        Promise::Gap => scheduling::gap(run),
        Promise::NoStarvation => scheduling::starvation(run),
        Promise::Utilisation => scheduling::utilisation(run),
        Promise::ColdLimit => scheduling::cold_limit(run),
        Promise::Drain => rules::drain(run),
        Promise::Leaving => rules::leaving(run),
        Promise::Configuration => rules::configuration(run),
        Promise::PlannedStop => rules::planned_stop(run),
        Promise::WholeAnswers => delivery::whole_answers(run),
        Promise::NotRun => delivery::not_run(run),
        Promise::Once => delivery::once(run),
        Promise::Endings => delivery::endings(run),
        Promise::Quarantine => delivery::quarantine(run),
    };
    match findings.violations.is_empty() {
        false => Verdict::Broken(findings.violations),
        true if findings.checks == 0 => Verdict::NotExercised,
        true => Verdict::Kept,
    }
}

/// Returns the last entries about a subject until a time, at most `MAX_TRACE`.
fn trace(run: &Run, subject: &Subject, until: Duration) -> Vec<Entry> {
    let entries = run.entries.iter();
    let about = entries.filter(|entry| entry.at <= until && subject.covers(&entry.subject));
    let about: Vec<_> = about.cloned().collect();
    let skip = about.len().saturating_sub(MAX_TRACE);
    about[skip..].to_vec()
}

/// A period in which a fault prevents updates from propagating.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Duration,
    until: Duration,
}

/// Returns the periods in which the service or a partition of the fleet is unreachable.
fn outages(run: &Run) -> Vec<Outage> {
    let mut outages = Vec::new();
    let (mut service, mut cut) = (None, None);
    for entry in &run.entries {
        let EntryKind::Fault(text) = &entry.kind else {
            continue;
        };
        match text.as_str() {
            "service up" => outages.extend(service.take().map(|from| Outage {
                from,
                until: entry.at,
            })),
            "heal" => outages.extend(cut.take().map(|from| Outage {
                from,
                until: entry.at,
            })),
            text if text.starts_with("service ") => service = service.or(Some(entry.at)),
            text if text.starts_with("cut ") && !text.contains(" from ") => {
                cut = cut.or(Some(entry.at));
            }
            _ => {}
        }
    }
    let open = [service, cut].into_iter().flatten();
    outages.extend(open.map(|from| Outage {
        from,
        until: Duration::MAX,
    }));
    outages.sort_by_key(|outage| outage.from);
    outages
}

/// Returns the earliest time, from `at` on, that is followed by `limit` without an outage.
fn after_outages(outages: &[Outage], at: Duration, limit: Duration) -> Option<Duration> {
    let mut start = at;
    for outage in outages {
        if outage.from <= start + limit && outage.until > start {
            start = outage.until;
        }
    }
    (start < Duration::MAX).then_some(start)
}
