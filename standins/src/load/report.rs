//! The report of a run, as it is written and compared.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::driver::{Event, GapPoint, Outcome};
use super::mix::Team;
use super::promise::{Checked, Outage, doubled_keys, outages};
use super::tally::TeamTally;
use super::watch::{Observation, TargetSpec, Truth};
use crate::counts::Totals;

/// Latencies in milliseconds.
#[derive(Clone, Copy, Default, PartialEq, Debug, Serialize, Deserialize)]
pub struct Latency {
    /// The number of values.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The greatest.
    pub max: f64,
}

impl From<&Histogram<u64>> for Latency {
    fn from(histogram: &Histogram<u64>) -> Self {
        let millis = |micros: u64| micros as f64 / 1000.0;
        match histogram.len() {
            0 => Self::default(),
            count => Self {
                count,
                p50: millis(histogram.value_at_quantile(0.5)),
                p90: millis(histogram.value_at_quantile(0.9)),
                p99: millis(histogram.value_at_quantile(0.99)),
                max: millis(histogram.max()),
            },
        }
    }
}

/// One team's part of the report.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct TeamReport {
    /// The team.
    pub name: String,
    /// Its weight.
    pub weight: u32,
    /// Requests that were due.
    pub asked: u64,
    /// Answered whole.
    pub answered: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Ended as unknown.
    pub unknown: u64,
    /// Ended with an error status of a target.
    pub failed: u64,
    /// Ended by a broken connection or the caller's patience.
    pub lost: u64,
    /// Wrong answers that ended cleanly.
    pub wrong: u64,
    /// Keys that ran more than once.
    pub doubled: u64,
    /// Attempts after the first.
    pub repeats: u64,
    /// Tokens received.
    pub tokens: u64,
    /// The team's part of all tokens.
    pub portion: f64,
    /// The greatest fairness gap with another team, in tokens per unit of weight.
    pub gap: f64,
    /// From the scheduled time to the end of the answer.
    pub whole: Latency,
    /// From the scheduled time to the first token.
    pub first: Latency,
}

/// One point of the series.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct Point {
    /// Since the start of the run, in seconds.
    pub at: f64,
    /// The value.
    pub value: f64,
}

/// The series of a run.
#[derive(Clone, Default, PartialEq, Debug, Serialize, Deserialize)]
pub struct Series {
    /// The greatest fairness gap, in tokens per unit of weight.
    pub gap: Vec<Point>,
    /// The part of the engines' slots in use.
    pub utilisation: Vec<Point>,
    /// Control traffic, in bytes per second.
    pub control: Vec<Point>,
    /// Requests answered per second.
    pub answered: Vec<Point>,
    /// Runs started per second, by data centre.
    pub started: BTreeMap<String, Vec<Point>>,
}

/// Something that was done to the fleet.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct EventReport {
    /// Since the start of the run, in seconds.
    pub at: f64,
    /// What it was.
    pub note: String,
}

/// The report of a run.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The mix.
    pub mix: String,
    /// The seed of the schedule.
    pub seed: u64,
    /// Whether targets were called without routers.
    pub direct: bool,
    /// The length of the schedule, in seconds.
    pub scheduled_seconds: f64,
    /// How long the run took, in seconds.
    pub seconds: f64,
    /// By team.
    pub teams: Vec<TeamReport>,
    /// Latencies of all teams.
    pub whole: Latency,
    /// Latencies of all teams to the first token.
    pub first: Latency,
    /// Keys that ran more than once.
    pub doubled: u64,
    /// Reasons why attempts ended without an answer.
    pub reasons: BTreeMap<String, u64>,
    /// The greatest fairness gap, in tokens per unit of weight.
    pub gap: f64,
    /// The mean part of the engines' slots in use.
    pub utilisation: Option<f64>,
    /// The same while model work waited.
    pub busy_utilisation: Option<f64>,
    /// Control bytes of all processes in the run.
    pub control_bytes: Option<f64>,
    /// Deaths of targets in the run.
    pub deaths: u64,
    /// The promises.
    pub promises: Vec<Checked>,
    /// What was done to the fleet.
    pub events: Vec<EventReport>,
    /// The series.
    pub series: Series,
}

impl Report {
    /// Requests of all teams, by a count of a team.
    pub fn sum(&self, count: impl Fn(&TeamReport) -> u64) -> u64 {
        self.teams.iter().map(count).sum()
    }

    /// True if a promise was broken.
    pub fn is_broken(&self) -> bool {
        self.promises.iter().any(|checked| checked.broken > 0)
    }
}

/// What a report is made from, besides the outcome.
#[derive(Clone, Debug)]
pub struct Setting<'a> {
    /// The mix.
    pub mix: String,
    /// The seed of the schedule.
    pub seed: u64,
    /// Whether targets were called without routers.
    pub direct: bool,
    /// The length of the schedule.
    pub scheduled: Duration,
    /// The teams of the mix.
    pub teams: &'a [Team],
    /// The observed targets.
    pub targets: &'a [TargetSpec],
    /// The events.
    pub events: &'a [Event],
}

/// Makes the report.
pub fn report(
    setting: &Setting<'_>,
    outcome: &Outcome,
    truth: &Truth,
    promises: Vec<Checked>,
) -> Report {
    let tally = &outcome.tally;
    let all: u64 = tally.teams.iter().map(|team| team.tokens).sum();
    let rows = setting.teams.iter().zip(&tally.teams);
    let mut teams: Vec<TeamReport> = rows
        .zip(&outcome.greatest)
        .map(|((team, counts), gap)| team_report(team, counts, *gap, all))
        .collect();
    for (_, claim) in doubled_keys(tally, truth) {
        teams[claim.team].doubled += 1;
    }
    let observations = &outcome.observations;
    let outages = outages(setting.events, outcome.time);
    let mut changes = changes(observations);
    for change in &mut changes {
        leave_out(change, setting.targets, &outages);
    }
    let waits = |at: Duration| is_backlogged(&outcome.gaps, at);
    Report {
        mix: setting.mix.clone(),
        seed: setting.seed,
        direct: setting.direct,
        scheduled_seconds: setting.scheduled.as_secs_f64(),
        seconds: outcome.time.as_secs_f64(),
        whole: merged(tally.teams.iter().map(|team| &team.whole)),
        first: merged(tally.teams.iter().map(|team| &team.first)),
        teams,
        doubled: doubled_keys(tally, truth).count() as u64,
        reasons: tally.claims.reasons.clone(),
        gap: outcome.greatest.iter().copied().fold(0.0, f64::max),
        utilisation: utilisation(changes.iter()),
        busy_utilisation: utilisation(changes.iter().filter(|change| waits(change.at))),
        control_bytes: control_total(observations),
        deaths: deaths(observations),
        promises,
        events: events(setting.events),
        series: series(setting.targets, outcome, &changes),
    }
}

/// What targets did between two observations.
#[derive(Clone, Debug)]
struct Change {
    at: Duration,
    time: Duration,
    targets: Vec<Option<Totals>>,
    control: Option<f64>,
}

impl Change {
    fn per_second(&self, amount: f64) -> f64 {
        amount / self.time.as_secs_f64().max(f64::EPSILON)
    }
}

fn changes(observations: &[Observation]) -> Vec<Change> {
    let pairs = observations.iter().zip(observations.iter().skip(1));
    pairs.map(|(before, after)| change(before, after)).collect()
}

fn change(before: &Observation, after: &Observation) -> Change {
    let targets = before.totals.iter().zip(&after.totals);
    Change {
        at: after.at,
        time: after.at.saturating_sub(before.at),
        targets: targets
            .map(|(before, after)| Some(difference((*before)?, (*after)?)))
            .collect(),
        control: match (before.control, after.control) {
            (Some(before), Some(after)) => Some((after - before).max(0.0)),
            _ => None,
        },
    }
}

fn difference(before: Totals, after: Totals) -> Totals {
    Totals {
        started: after.started.saturating_sub(before.started),
        completed: after.completed.saturating_sub(before.completed),
        running: after.running,
        tokens: after.tokens.saturating_sub(before.tokens),
        deaths: after.deaths.saturating_sub(before.deaths),
        held_millis: after.held_millis.saturating_sub(before.held_millis),
        limit_millis: after.limit_millis.saturating_sub(before.limit_millis),
    }
}

/// Slots of a data centre that is out of service are no capacity.
fn leave_out(change: &mut Change, targets: &[TargetSpec], outages: &[Outage]) {
    for (target, totals) in targets.iter().zip(&mut change.targets) {
        let is_out = outages.iter().any(|outage| {
            outage.data_centre == target.data_centre
                && (outage.from..outage.to).contains(&change.at)
        });
        if let Some(totals) = totals
            && is_out
        {
            totals.held_millis = 0;
            totals.limit_millis = 0;
        }
    }
}

fn utilisation<'a>(changes: impl Iterator<Item = &'a Change>) -> Option<f64> {
    let totals = changes.flat_map(|change| change.targets.iter().flatten());
    let (held, limit) = totals.fold((0, 0), |(held, limit), totals| {
        (held + totals.held_millis, limit + totals.limit_millis)
    });
    (limit > 0).then(|| held as f64 / limit as f64)
}

fn is_backlogged(gaps: &[GapPoint], at: Duration) -> bool {
    let before = gaps.partition_point(|point| point.at <= at);
    before > 0 && gaps[before - 1].backlogged
}

fn control_total(observations: &[Observation]) -> Option<f64> {
    let first = observations.iter().find_map(|o| o.control)?;
    let last = observations.iter().rev().find_map(|o| o.control)?;
    Some((last - first).max(0.0))
}

fn deaths(observations: &[Observation]) -> u64 {
    let sum = |o: &Observation| o.totals.iter().flatten().map(|t| t.deaths).sum::<u64>();
    let first = observations.first().map_or(0, sum);
    let last = observations.last().map_or(0, sum);
    last.saturating_sub(first)
}

fn events(events: &[Event]) -> Vec<EventReport> {
    let report = |event: &Event| EventReport {
        at: event.at_millis as f64 / 1000.0,
        note: event.note.clone(),
    };
    events.iter().map(report).collect()
}

fn series(targets: &[TargetSpec], outcome: &Outcome, changes: &[Change]) -> Series {
    let point = |at: Duration, value| Point {
        at: at.as_secs_f64(),
        value,
    };
    let mut started: BTreeMap<String, Vec<Point>> = BTreeMap::new();
    for change in changes {
        for (data_centre, runs) in started_by_centre(targets, change) {
            let value = change.per_second(runs as f64);
            let points = started.entry(data_centre).or_default();
            points.push(point(change.at, value));
        }
    }
    Series {
        gap: outcome
            .gaps
            .iter()
            .map(|gap| point(gap.at, gap.gap.tokens))
            .collect(),
        utilisation: changes
            .iter()
            .filter_map(|change| Some(point(change.at, utilisation([change].into_iter())?)))
            .collect(),
        control: changes
            .iter()
            .filter_map(|change| Some(point(change.at, change.per_second(change.control?))))
            .collect(),
        answered: answered(&outcome.gaps),
        started,
    }
}

fn started_by_centre(targets: &[TargetSpec], change: &Change) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for (target, totals) in targets.iter().zip(&change.targets) {
        let started = totals.map_or(0, |totals| totals.started);
        *runs.entry(target.data_centre.clone()).or_default() += started;
    }
    runs
}

/// The number of samples of the gap that make one point of the answered rate.
const ANSWERED_SAMPLES: usize = 10;

fn answered(gaps: &[GapPoint]) -> Vec<Point> {
    let sampled: Vec<_> = gaps.iter().step_by(ANSWERED_SAMPLES).collect();
    sampled
        .windows(2)
        .map(|pair| Point {
            at: pair[1].at.as_secs_f64(),
            value: (pair[1].answered - pair[0].answered) as f64
                / (pair[1].at - pair[0].at).as_secs_f64().max(f64::EPSILON),
        })
        .collect()
}

fn merged<'a>(histograms: impl Iterator<Item = &'a Histogram<u64>>) -> Latency {
    histograms
        .cloned()
        .reduce(|mut sum, next| {
            sum.add(&next).expect("the bounds are equal");
            sum
        })
        .map(|sum| Latency::from(&sum))
        .unwrap_or_default()
}

fn team_report(team: &Team, counts: &TeamTally, gap: f64, all: u64) -> TeamReport {
    TeamReport {
        name: team.name.to_owned(),
        weight: team.weight,
        asked: counts.asked,
        answered: counts.answered,
        refused: counts.not_run,
        unknown: counts.unknown,
        failed: counts.failed,
        lost: counts.lost,
        wrong: counts.wrong,
        doubled: 0,
        repeats: counts.repeats,
        tokens: counts.tokens,
        portion: counts.tokens as f64 / all.max(1) as f64,
        gap,
        whole: Latency::from(&counts.whole),
        first: Latency::from(&counts.first),
    }
}
