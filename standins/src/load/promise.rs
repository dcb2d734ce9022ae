//! Checks the guarantees to callers against the run counters of the stand-ins.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::driver::Event;
use super::mix::Team;
use super::observe::{Observation, TargetRuns, TargetSpec};
use super::stats::{KeyOutcomes, LoadStats};

/// The time after the start of a drain from which a data centre must get no new work.
pub const DRAIN_GRACE: Duration = Duration::from_secs(5);

/// A team without any answer counts as starved if it sent at least this many requests.
const MIN_REQUESTS_FOR_STARVATION: u64 = 5;

/// The maximum number of examples that are listed for a broken promise.
const MAX_EXAMPLES: usize = 5;

/// A guarantee to callers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A key ran at most once.
    #[display("at most one run for each key")]
    AtMostOnce,
    /// A request that was refused as not run did not run.
    #[display("\"not run\" is true")]
    NotRunTrue,
    /// Answers that ended without an error were complete and belonged to the request.
    #[display("whole answers of the caller's own")]
    WholeAnswers,
    /// Each team that sent requests got answers.
    #[display("no team starves")]
    NoStarvation,
    /// No target was overloaded until it crashed.
    #[display("no cold target is overrun")]
    NoOverrun,
    /// A drained data centre got no new work.
    #[display("no new work for a drained data centre")]
    Drained,
    /// The counters of all stand-ins could be read; otherwise the other checks are incomplete.
    #[display("all targets were read")]
    Read,
}

/// The result of checking a promise.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Checked {
    /// The promise.
    pub promise: Promise,
    /// The number of cases that were checked.
    pub cases: u64,
    /// The number of violations.
    pub broken: u64,
    /// Some of the violations.
    pub examples: Vec<String>,
}

impl Checked {
    fn new(promise: Promise, cases: usize, broken: Vec<String>) -> Self {
        Self {
            promise,
            cases: cases as u64,
            broken: broken.len() as u64,
            examples: broken.into_iter().take(MAX_EXAMPLES).collect(),
        }
    }
}

/// A period in which a data centre was drained.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Outage {
    /// The data centre.
    pub data_centre: String,
    /// The start of the drain.
    pub from: Duration,
    /// The return to service, or the end of the run.
    pub to: Duration,
}

/// The input of the checks.
#[derive(Clone, Copy, Debug)]
pub struct CheckInput<'a> {
    /// The teams of the mix.
    pub teams: &'a [Team],
    /// The outcomes that callers saw.
    pub stats: &'a LoadStats,
    /// The runs that the targets counted.
    pub target_runs: &'a TargetRuns,
    /// The observed targets.
    pub targets: &'a [TargetSpec],
    /// The observations of the run, in chronological order.
    pub observations: &'a [Observation],
    /// The outages of the run.
    pub outages: &'a [Outage],
    /// The number of target crashes caused by the run's own events.
    pub expected_crashes: u64,
}

/// Checks all promises.
pub fn check(input: CheckInput<'_>) -> Vec<Checked> {
    vec![
        check_at_most_once(input),
        check_not_run(input),
        check_complete_answers(input),
        check_no_starvation(input),
        check_no_overload(input),
        check_drained(input),
        check_all_read(input),
    ]
}

/// The keys that ran more than once according to the targets' counters or to an answer.
pub fn repeated_keys<'a>(
    stats: &'a LoadStats,
    target_runs: &TargetRuns,
) -> impl Iterator<Item = (&'a str, KeyOutcomes)> {
    let runs = |key: &str| target_runs.by_key.get(key).copied().unwrap_or(0);
    let keys = stats.reported.keys.iter();
    keys.filter(move |(key, key_outcomes)| key_outcomes.doubled || runs(key) > 1)
        .map(|(key, key_outcomes)| (key.as_str(), *key_outcomes))
}

fn check_at_most_once(input: CheckInput<'_>) -> Checked {
    let doubled = repeated_keys(input.stats, input.target_runs);
    let broken = doubled.map(|(key, _)| key.to_owned()).collect();
    Checked::new(Promise::AtMostOnce, input.stats.reported.keys.len(), broken)
}

fn check_not_run(input: CheckInput<'_>) -> Checked {
    let reported = &input.stats.reported;
    let target_runs = input.target_runs;
    let requests = reported
        .not_run
        .iter()
        .filter(|request| target_runs.by_request.contains_key(*request))
        .map(|request| format!("request {request}"));
    let refused_keys = reported
        .keys
        .iter()
        .filter(|(_, key_outcomes)| key_outcomes.not_run);
    let keys = refused_keys
        .clone()
        .filter(|(key, _)| target_runs.by_key.contains_key(*key))
        .map(|(key, _)| format!("key {key}"));
    let cases = reported.not_run.len() + refused_keys.count();
    Checked::new(Promise::NotRunTrue, cases, requests.chain(keys).collect())
}

fn check_complete_answers(input: CheckInput<'_>) -> Checked {
    let team_stats = input.teams.iter().zip(&input.stats.teams);
    let answered: u64 = input.stats.teams.iter().map(|t| t.answered).sum();
    let broken: Vec<String> = team_stats
        .flat_map(|(team, stats)| (0..stats.wrong).map(|_| format!("team {}", team.name)))
        .collect();
    let cases = usize::try_from(answered).unwrap_or(usize::MAX) + broken.len();
    Checked::new(Promise::WholeAnswers, cases, broken)
}

fn check_no_starvation(input: CheckInput<'_>) -> Checked {
    let asking = || {
        let team_stats = input.teams.iter().zip(&input.stats.teams);
        team_stats.filter(|(_, stats)| stats.asked >= MIN_REQUESTS_FOR_STARVATION)
    };
    let broken = asking()
        .filter(|(_, stats)| stats.answered == 0)
        .map(|(team, _)| format!("team {}", team.name))
        .collect();
    Checked::new(Promise::NoStarvation, asking().count(), broken)
}

fn check_no_overload(input: CheckInput<'_>) -> Checked {
    let deaths = |observation: &Observation| -> u64 {
        let totals = observation.totals.iter().flatten();
        totals.map(|totals| totals.deaths).sum()
    };
    let first = input.observations.first().map_or(0, deaths);
    let last = input.observations.last().map_or(0, deaths);
    let broken = last.saturating_sub(first + input.expected_crashes);
    let broken = (0..broken).map(|_| "a target died".to_owned()).collect();
    Checked::new(Promise::NoOverrun, input.targets.len(), broken)
}

fn check_drained(input: CheckInput<'_>) -> Checked {
    let mut cases = 0;
    let mut broken = Vec::new();
    for outage in input.outages {
        let mut during_outage = input.observations.iter().filter(|observation| {
            observation.at >= outage.from + DRAIN_GRACE && observation.at < outage.to
        });
        let (Some(first), Some(last)) = (during_outage.clone().next(), during_outage.next_back())
        else {
            continue;
        };
        for (at, target) in input.targets.iter().enumerate() {
            if target.data_centre != outage.data_centre {
                continue;
            }
            let (Some(before), Some(after)) = (first.totals[at], last.totals[at]) else {
                continue;
            };
            cases += 1;
            if after.started > before.started {
                let runs = after.started - before.started;
                broken.push(format!("{} started {runs}", target.name));
            }
        }
    }
    Checked::new(Promise::Drained, cases, broken)
}

fn check_all_read(input: CheckInput<'_>) -> Checked {
    let unreadable = input.target_runs.unreadable.clone();
    Checked::new(Promise::Read, input.targets.len(), unreadable)
}

/// The outages caused by a list of events in a run that ends at `end`.
pub fn outages(events: &[Event], end: Duration) -> Vec<Outage> {
    let at = |event: &Event| Duration::from_millis(event.at_millis);
    let outage = |(number, event): (usize, &Event)| {
        let data_centre = event.drains.clone()?;
        let back = events
            .iter()
            .skip(number + 1)
            .find(|later| later.returns.as_ref() == Some(&data_centre));
        Some(Outage {
            from: at(event),
            to: back.map_or(end, at),
            data_centre,
        })
    };
    events.iter().enumerate().filter_map(outage).collect()
}
