//! The promises to callers, checked against what the stand-ins ran.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::driver::Event;
use super::mix::Team;
use super::tally::{KeyClaim, Tally};
use super::watch::{Observation, TargetSpec, Truth};

/// The time after which a data centre that is taken out gets no new work.
pub const DRAIN_TIME: Duration = Duration::from_secs(5);

/// The number of requests from which a team that got no answer counts as starved.
const STARVED_FROM: u64 = 5;

/// The greatest number of examples that a broken promise names.
const EXAMPLES: usize = 5;

/// A promise.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A key ran at most once.
    #[display("at most one run for each key")]
    AtMostOnce,
    /// What was refused as not run did not run.
    #[display("\"not run\" is true")]
    NotRunTrue,
    /// Answers that ended cleanly were whole and the caller's own.
    #[display("whole answers of the caller's own")]
    WholeAnswers,
    /// Each team that asked got answers.
    #[display("no team starves")]
    NoStarvation,
    /// No target got more than it can carry.
    #[display("no cold target is overrun")]
    NoOverrun,
    /// A data centre that was taken out got no new work.
    #[display("no new work for a drained data centre")]
    Drained,
    /// The stand-ins could be read, so that the checks mean something.
    #[display("all targets were read")]
    Read,
}

/// A checked promise.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Checked {
    /// The promise.
    pub promise: Promise,
    /// How many cases were looked at.
    pub cases: u64,
    /// How often it was broken.
    pub broken: u64,
    /// Some of the cases that broke it.
    pub examples: Vec<String>,
}

impl Checked {
    fn new(promise: Promise, cases: usize, broken: Vec<String>) -> Self {
        Self {
            promise,
            cases: cases as u64,
            broken: broken.len() as u64,
            examples: broken.into_iter().take(EXAMPLES).collect(),
        }
    }
}

/// A time in which a data centre was out of service.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Outage {
    /// The data centre.
    pub data_centre: String,
    /// When the operators took it out.
    pub from: Duration,
    /// When they brought it back, or the end of the run.
    pub to: Duration,
}

/// All that the checks look at.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// The teams of the mix.
    pub teams: &'a [Team],
    /// What callers saw.
    pub tally: &'a Tally,
    /// What the targets ran.
    pub truth: &'a Truth,
    /// The observed targets.
    pub targets: &'a [TargetSpec],
    /// The observations of the run, in order.
    pub observations: &'a [Observation],
    /// The outages of the run.
    pub outages: &'a [Outage],
    /// Deaths of targets that the run itself ordered.
    pub ordered_deaths: u64,
}

/// Checks all promises.
pub fn check(evidence: Evidence<'_>) -> Vec<Checked> {
    vec![
        at_most_once(evidence),
        not_run_true(evidence),
        whole_answers(evidence),
        no_starvation(evidence),
        no_overrun(evidence),
        drained(evidence),
        read(evidence),
    ]
}

/// The sent keys that ran more than once, by the targets' counts or by an answer.
pub fn doubled_keys<'a>(
    tally: &'a Tally,
    truth: &Truth,
) -> impl Iterator<Item = (&'a str, KeyClaim)> {
    let runs = |key: &str| truth.by_key.get(key).copied().unwrap_or(0);
    let keys = tally.claims.keys.iter();
    keys.filter(move |(key, claim)| claim.doubled || runs(key) > 1)
        .map(|(key, claim)| (key.as_str(), *claim))
}

fn at_most_once(evidence: Evidence<'_>) -> Checked {
    let doubled = doubled_keys(evidence.tally, evidence.truth);
    let broken = doubled.map(|(key, _)| key.to_owned()).collect();
    Checked::new(
        Promise::AtMostOnce,
        evidence.tally.claims.keys.len(),
        broken,
    )
}

fn not_run_true(evidence: Evidence<'_>) -> Checked {
    let claims = &evidence.tally.claims;
    let truth = evidence.truth;
    let requests = claims
        .not_run
        .iter()
        .filter(|request| truth.by_request.contains_key(*request))
        .map(|request| format!("request {request}"));
    let refused_keys = claims.keys.iter().filter(|(_, claim)| claim.not_run);
    let keys = refused_keys
        .clone()
        .filter(|(key, _)| truth.by_key.contains_key(*key))
        .map(|(key, _)| format!("key {key}"));
    let cases = claims.not_run.len() + refused_keys.count();
    Checked::new(Promise::NotRunTrue, cases, requests.chain(keys).collect())
}

fn whole_answers(evidence: Evidence<'_>) -> Checked {
    let tallies = evidence.teams.iter().zip(&evidence.tally.teams);
    let answered: u64 = evidence.tally.teams.iter().map(|t| t.answered).sum();
    let broken: Vec<String> = tallies
        .flat_map(|(team, tally)| (0..tally.wrong).map(|_| format!("team {}", team.name)))
        .collect();
    let cases = usize::try_from(answered).unwrap_or(usize::MAX) + broken.len();
    Checked::new(Promise::WholeAnswers, cases, broken)
}

fn no_starvation(evidence: Evidence<'_>) -> Checked {
    let asking = || {
        let tallies = evidence.teams.iter().zip(&evidence.tally.teams);
        tallies.filter(|(_, tally)| tally.asked >= STARVED_FROM)
    };
    let broken = asking()
        .filter(|(_, tally)| tally.answered == 0)
        .map(|(team, _)| format!("team {}", team.name))
        .collect();
    Checked::new(Promise::NoStarvation, asking().count(), broken)
}

fn no_overrun(evidence: Evidence<'_>) -> Checked {
    let deaths = |observation: &Observation| -> u64 {
        let totals = observation.totals.iter().flatten();
        totals.map(|totals| totals.deaths).sum()
    };
    let first = evidence.observations.first().map_or(0, deaths);
    let last = evidence.observations.last().map_or(0, deaths);
    let broken = last.saturating_sub(first + evidence.ordered_deaths);
    let broken = (0..broken).map(|_| "a target died".to_owned()).collect();
    Checked::new(Promise::NoOverrun, evidence.targets.len(), broken)
}

fn drained(evidence: Evidence<'_>) -> Checked {
    let mut cases = 0;
    let mut broken = Vec::new();
    for outage in evidence.outages {
        let mut out = evidence
            .observations
            .iter()
            .filter(|o| o.at >= outage.from + DRAIN_TIME && o.at < outage.to);
        let (Some(first), Some(last)) = (out.clone().next(), out.next_back()) else {
            continue;
        };
        for (at, target) in evidence.targets.iter().enumerate() {
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

fn read(evidence: Evidence<'_>) -> Checked {
    let unread = evidence.truth.unread.clone();
    Checked::new(Promise::Read, evidence.targets.len(), unread)
}

/// The outages that a list of events makes, in a run that ends at `end`.
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
