//! The report of a run, which can be saved as JSON and compared.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::driver::{Event, GapPoint, RunResult};
use super::mix::Team;
use super::observe::{Observation, TargetRuns, TargetSpec};
use super::promise::{Checked, Outage, outages, repeated_keys};
use super::stats::TeamStats;
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
    /// The maximum.
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

/// The results of one team.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct TeamReport {
    /// The team.
    pub name: String,
    /// Its weight.
    pub weight: u32,
    /// Requests sent.
    pub asked: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests that ended with an error status of a target.
    pub failed: u64,
    /// Requests that ended with a lost connection or the caller's timeout.
    pub lost: u64,
    /// Incorrect answers whose transfer ended without an error.
    pub wrong: u64,
    /// Keys that ran more than once.
    pub doubled: u64,
    /// Attempts after the first.
    pub repeats: u64,
    /// Tokens received.
    pub tokens: u64,
    /// The team's fraction of all tokens.
    pub portion: f64,
    /// The greatest fairness gap to another team, in tokens per unit of weight.
    pub gap: f64,
    /// From the scheduled time to the end of the answer.
    pub whole: Latency,
    /// From the scheduled time to the first token.
    pub first: Latency,
}

/// One point of a time series.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct Point {
    /// The time since the start of the run, in seconds.
    pub at: f64,
    /// The value.
    pub value: f64,
}

/// The time series of a run.
#[derive(Clone, Default, PartialEq, Debug, Serialize, Deserialize)]
pub struct Series {
    /// The greatest fairness gap, in tokens per unit of weight.
    pub gap: Vec<Point>,
    /// The fraction of the engines' slots in use.
    pub utilisation: Vec<Point>,
    /// Control traffic, in bytes per second.
    pub control: Vec<Point>,
    /// Requests answered per second.
    pub answered: Vec<Point>,
    /// Runs started per second, by data centre.
    pub started: BTreeMap<String, Vec<Point>>,
}

/// An operation on the fleet during the run.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct EventReport {
    /// The time since the start of the run, in seconds.
    pub at: f64,
    /// The description of the operation.
    pub note: String,
}

/// The report of a run.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The mix.
    pub mix: String,
    /// The seed of the schedule.
    pub seed: u64,
    /// Whether requests were sent directly to the targets.
    pub direct: bool,
    /// The length of the schedule, in seconds.
    pub scheduled_seconds: f64,
    /// The duration of the run, in seconds.
    pub seconds: f64,
    /// The results by team.
    pub teams: Vec<TeamReport>,
    /// The latency from the scheduled time to the end of the answer, over all teams.
    pub whole: Latency,
    /// The latency from the scheduled time to the first token, over all teams.
    pub first: Latency,
    /// Keys that ran more than once.
    pub doubled: u64,
    /// The number of attempts that ended without a correct answer, by reason.
    pub reasons: BTreeMap<String, u64>,
    /// The greatest fairness gap, in tokens per unit of weight.
    pub gap: f64,
    /// The mean fraction of the engines' slots in use.
    pub utilisation: Option<f64>,
    /// The mean fraction of the engines' slots in use while model requests were waiting.
    pub busy_utilisation: Option<f64>,
    /// The control bytes of all processes during the run.
    pub control_bytes: Option<f64>,
    /// The number of target crashes during the run.
    pub deaths: u64,
    /// The checked promises.
    pub promises: Vec<Checked>,
    /// The operations on the fleet.
    pub events: Vec<EventReport>,
    /// The series.
    pub series: Series,
}

impl Report {
    /// Sums a count over all teams.
    pub fn sum(&self, count: impl Fn(&TeamReport) -> u64) -> u64 {
        self.teams.iter().map(count).sum()
    }

    /// Whether a promise was broken.
    pub fn is_broken(&self) -> bool {
        self.promises.iter().any(|checked| checked.broken > 0)
    }
}

/// The parameters of a run that its report needs.
#[derive(Clone, Debug)]
pub struct RunConfig<'a> {
    /// The mix.
    pub mix: String,
    /// The seed of the schedule.
    pub seed: u64,
    /// Whether requests were sent directly to the targets.
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

/// Builds the report of a run.
pub fn build_report(
    config: &RunConfig<'_>,
    result: &RunResult,
    target_runs: &TargetRuns,
    promises: Vec<Checked>,
) -> Report {
    let stats = &result.stats;
    let total_tokens: u64 = stats.teams.iter().map(|team| team.tokens).sum();
    let rows = config.teams.iter().zip(&stats.teams);
    let mut teams: Vec<TeamReport> = rows
        .zip(&result.max_gaps)
        .map(|((team, counts), gap)| team_report(team, counts, *gap, total_tokens))
        .collect();
    for (_, key_outcomes) in repeated_keys(stats, target_runs) {
        teams[key_outcomes.team].doubled += 1;
    }
    let observations = &result.observations;
    let outages = outages(config.events, result.time);
    let mut intervals = intervals(observations);
    for interval in &mut intervals {
        exclude_outage_capacity(interval, config.targets, &outages);
    }
    let was_backlogged = |at: Duration| is_backlogged(&result.gaps, at);
    Report {
        mix: config.mix.clone(),
        seed: config.seed,
        direct: config.direct,
        scheduled_seconds: config.scheduled.as_secs_f64(),
        seconds: result.time.as_secs_f64(),
        whole: merged(stats.teams.iter().map(|team| &team.latency)),
        first: merged(stats.teams.iter().map(|team| &team.first_token_latency)),
        teams,
        doubled: repeated_keys(stats, target_runs).count() as u64,
        reasons: stats.reported.reasons.clone(),
        gap: result.max_gaps.iter().copied().fold(0.0, f64::max),
        utilisation: utilisation(intervals.iter()),
        busy_utilisation: utilisation(
            intervals
                .iter()
                .filter(|interval| was_backlogged(interval.at)),
        ),
        control_bytes: total_control_bytes(observations),
        deaths: deaths(observations),
        promises,
        events: events(config.events),
        series: series(config.targets, result, &intervals),
    }
}

/// The differences of the counters between two observations.
#[derive(Clone, Debug)]
struct Interval {
    at: Duration,
    time: Duration,
    targets: Vec<Option<Totals>>,
    control: Option<f64>,
}

impl Interval {
    fn per_second(&self, amount: f64) -> f64 {
        amount / self.time.as_secs_f64().max(f64::EPSILON)
    }
}

fn intervals(observations: &[Observation]) -> Vec<Interval> {
    let pairs = observations.iter().zip(observations.iter().skip(1));
    pairs
        .map(|(before, after)| interval(before, after))
        .collect()
}

fn interval(before: &Observation, after: &Observation) -> Interval {
    let targets = before.totals.iter().zip(&after.totals);
    Interval {
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

/// Excludes the slots of drained data centres from the utilisation.
fn exclude_outage_capacity(interval: &mut Interval, targets: &[TargetSpec], outages: &[Outage]) {
    for (target, totals) in targets.iter().zip(&mut interval.targets) {
        let is_out = outages.iter().any(|outage| {
            outage.data_centre == target.data_centre
                && (outage.from..outage.to).contains(&interval.at)
        });
        if let Some(totals) = totals
            && is_out
        {
            totals.held_millis = 0;
            totals.limit_millis = 0;
        }
    }
}

fn utilisation<'a>(intervals: impl Iterator<Item = &'a Interval>) -> Option<f64> {
    let totals = intervals.flat_map(|interval| interval.targets.iter().flatten());
    let (held, limit) = totals.fold((0, 0), |(held, limit), totals| {
        (held + totals.held_millis, limit + totals.limit_millis)
    });
    (limit > 0).then(|| held as f64 / limit as f64)
}

fn is_backlogged(gaps: &[GapPoint], at: Duration) -> bool {
    let before = gaps.partition_point(|point| point.at <= at);
    before > 0 && gaps[before - 1].backlogged
}

fn total_control_bytes(observations: &[Observation]) -> Option<f64> {
    let first = observations
        .iter()
        .find_map(|observation| observation.control)?;
    let last = observations
        .iter()
        .rev()
        .find_map(|observation| observation.control)?;
    Some((last - first).max(0.0))
}

fn deaths(observations: &[Observation]) -> u64 {
    let sum = |observation: &Observation| {
        observation
            .totals
            .iter()
            .flatten()
            .map(|t| t.deaths)
            .sum::<u64>()
    };
    let first = observations.first().map_or(0, sum);
    let last = observations.last().map_or(0, sum);
    last.saturating_sub(first)
}

fn events(events: &[Event]) -> Vec<EventReport> {
    let to_report = |event: &Event| EventReport {
        at: event.at_millis as f64 / 1000.0,
        note: event.note.clone(),
    };
    events.iter().map(to_report).collect()
}

fn series(targets: &[TargetSpec], result: &RunResult, intervals: &[Interval]) -> Series {
    let point = |at: Duration, value| Point {
        at: at.as_secs_f64(),
        value,
    };
    let mut started: BTreeMap<String, Vec<Point>> = BTreeMap::new();
    for interval in intervals {
        for (data_centre, runs) in started_by_data_centre(targets, interval) {
            let value = interval.per_second(runs as f64);
            let points = started.entry(data_centre).or_default();
            points.push(point(interval.at, value));
        }
    }
    Series {
        gap: result
            .gaps
            .iter()
            .map(|gap| point(gap.at, gap.gap.tokens))
            .collect(),
        utilisation: intervals
            .iter()
            .filter_map(|interval| Some(point(interval.at, utilisation([interval].into_iter())?)))
            .collect(),
        control: intervals
            .iter()
            .filter_map(|interval| Some(point(interval.at, interval.per_second(interval.control?))))
            .collect(),
        answered: answered(&result.gaps),
        started,
    }
}

fn started_by_data_centre(targets: &[TargetSpec], interval: &Interval) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for (target, totals) in targets.iter().zip(&interval.targets) {
        let started = totals.map_or(0, |totals| totals.started);
        *runs.entry(target.data_centre.clone()).or_default() += started;
    }
    runs
}

/// The number of fairness-gap samples per point of the answered rate.
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

fn team_report(team: &Team, counts: &TeamStats, gap: f64, total_tokens: u64) -> TeamReport {
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
        portion: counts.tokens as f64 / total_tokens.max(1) as f64,
        gap,
        whole: Latency::from(&counts.latency),
        first: Latency::from(&counts.first_token_latency),
    }
}
