//! The rates of one target, learned from its responses and from peers.
//!
//! Load that it answers: engines of one service on machines of different strength. With
//! one rate for all of them, the predicted wait is too long at fast targets, which stay
//! idle, and too short at slow ones, where requests are late.
//!
//! The prefill rate comes from the time between sending a prompt and its first event, or
//! since the previous first event if that came later: engines prefill in the order of
//! arrival. An observation is a lower bound, since prompts of other routers may have been
//! prefilled in that time, so a high quantile is used. What passes besides prefill is the
//! time that short prompts take. The decode step is the median time between two events of a
//! stream. Both contain the delay of this router; those of intervals in which it was
//! late are discarded. One router sends few long prompts to one target, so the rates of
//! peers count by the number of their observations.
//!
//! Invariants:
//! - A rate is unknown until [`MIN_OBSERVATIONS`] were made by all routers together.
//! - [`OUTLIERS`] observations, however fast, do not raise the rate of a router, nor do
//!   those made while the target states an unusual pace.
//! - Peers move a rate that this router observed itself by at most [`MAX_PEER_FACTOR`].
//! - An observation counts for [`RATE_TTL`].

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::prefill_rate::{MAX_RATE_FACTOR, MIN_RATE_FACTOR};

/// The number of observations from which on a rate is known.
pub const MIN_OBSERVATIONS: usize = 5;

/// The number of fastest observations that are ignored.
pub const OUTLIERS: usize = 2;

/// The time for which an observation counts.
pub const RATE_TTL: Duration = Duration::from_secs(60);

/// The maximum factor by which peers move a rate that this router observed itself.
pub const MAX_PEER_FACTOR: f64 = 1.5;

/// The maximum number of observations that are kept.
pub const MAX_OBSERVATIONS: usize = 32;

/// The minimum number of tokens of an observation. For fewer, engine steps and the
/// network dominate the time.
pub const MIN_TOKENS: f64 = 3_000.0;

/// The maximum number of tokens of a prompt that shows the time to the first event besides
/// prefill.
const MAX_SHORT_TOKENS: f64 = 1_000.0;

/// The fraction of short prompts with at most the time that is taken as such: others
/// waited.
const SHORT_QUANTILE: f64 = 0.25;

/// The minimum time in which the tokens of an observation were prefilled, in milliseconds:
/// about one step of an engine.
const MIN_PREFILL_MILLIS: f64 = 4.0;

/// The paces at which a target works as usual, as a multiple of the usual time.
const USUAL_PACE: (f64, f64) = (0.8, 1.25);

/// The fraction of one router's observations at or below the rate.
const QUANTILE: f64 = 0.9;

/// The fraction of the weight of several routers at or below the merged rate.
const MERGE_QUANTILE: f64 = 0.75;

/// The longest time between two events that is believed.
const MAX_STEP: Duration = Duration::from_secs(1);

/// The maximum number of decode steps recorded in one interval.
const MAX_STEPS_PER_INTERVAL: usize = 4;

/// The number of levels per doubling of the rate.
const LEVELS_PER_OCTAVE: f64 = 2.0;

/// The distance from the middle of a level at which it is left, in levels. It is beyond
/// the border to the next one, so that small changes of a rate move no homes.
const LEVEL_HYSTERESIS: f64 = 0.75;

/// The learned rates of one target, as one router or several report them.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RateRow {
    /// The tag of the target's incarnation.
    pub target: u64,
    /// The prefill rate, in tokens per second.
    pub prefill: u32,
    /// The time between two events of a stream, in microseconds; 0 if not known.
    pub step: u32,
    /// The number of observations, which is the weight of the row.
    pub weight: u16,
    /// The age of the latest observation, in milliseconds.
    pub age: u32,
    /// The level of the prefill rate by which homes are weighted, if the rate is known.
    pub level: Option<i8>,
}

/// An observed value and its time.
type Sample = (f32, Instant);

/// The observations of one router at one target.
#[derive(Clone, Default, Debug)]
struct Samples {
    kept: VecDeque<Sample>,
    /// Those of the current interval.
    recent: Vec<Sample>,
}

impl Samples {
    fn end_interval(&mut self, is_on_time: bool) {
        let recent = std::mem::take(&mut self.recent);
        if is_on_time {
            self.kept.extend(recent);
        }
        let excess = self.kept.len().saturating_sub(MAX_OBSERVATIONS);
        self.kept.drain(..excess);
    }

    fn expire(&mut self, now: Instant) {
        let is_current = |at| now.saturating_duration_since(at) < RATE_TTL;
        self.kept.retain(|&(_, at)| is_current(at));
    }

    fn latest(&self) -> Option<Instant> {
        self.kept.iter().map(|&(_, at)| at).max()
    }

    /// The value below which this fraction of all but the greatest `ignored` lies.
    fn quantile(&self, fraction: f64, ignored: usize) -> Option<f64> {
        let mut values: Vec<f32> = self.kept.iter().map(|&(value, _)| value).collect();
        values.sort_by(f32::total_cmp);
        let last = values.len().checked_sub(1)?;
        let index = (fraction * last as f64) as usize;
        let index = index.min(last.saturating_sub(ignored));
        Some(f64::from(values[index]))
    }
}

/// What peers report of a target.
#[derive(Clone, Copy, PartialEq, Debug)]
struct PeerRate {
    row: RateRow,
    received: Instant,
}

/// The time in which a prompt was prefilled.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PrefillTime {
    /// The tokens that were prefilled at least.
    pub tokens: f64,
    /// The time between sending the prompt, or the previous first event, and its own.
    pub elapsed: Duration,
    /// Whether it waited for a prompt of this router; the network and the first step of
    /// the engine then passed in the time of that one.
    pub is_queued: bool,
}

/// The rates of one target.
#[derive(Clone, Default, Debug)]
pub struct TargetRate {
    prefill: Samples,
    /// The time to the first event of short prompts, in milliseconds.
    short: Samples,
    steps: Samples,
    peers: Option<PeerRate>,
    /// The level of the known rate.
    level: Option<i8>,
}

impl TargetRate {
    /// Records the time in which a prompt was prefilled, at a stated `pace`.
    pub fn record_prefill(&mut self, prefill: PrefillTime, pace: f64, now: Instant) {
        let millis = prefill.elapsed.as_secs_f64() * 1e3;
        let (least, most) = USUAL_PACE;
        let is_usual = least <= pace && pace <= most;
        match prefill.tokens {
            _ if !is_usual => {}
            ..=MAX_SHORT_TOKENS if !prefill.is_queued => {
                self.short.recent.push((millis as f32, now));
            }
            tokens @ MIN_TOKENS.. => {
                let millis = millis - self.overhead_millis(prefill.is_queued);
                if millis >= MIN_PREFILL_MILLIS {
                    let rate = tokens / millis;
                    self.prefill.recent.push((rate as f32, now));
                }
            }
            _ => {}
        }
    }

    /// The time to the first event besides prefill, in milliseconds. It contains the
    /// prefill of short prompts, so the rate is overestimated by their part of a long one,
    /// at most [`MAX_SHORT_TOKENS`] of [`MIN_TOKENS`].
    fn overhead_millis(&self, is_queued: bool) -> f64 {
        let short = self.short.quantile(SHORT_QUANTILE, 0);
        let is_known = !is_queued && self.short.kept.len() >= MIN_OBSERVATIONS;
        short.filter(|_| is_known).unwrap_or(0.0)
    }

    /// Records the time between two events of a stream.
    pub fn record_step(&mut self, step: Duration, now: Instant) {
        if self.steps.recent.len() < MAX_STEPS_PER_INTERVAL {
            self.steps.recent.push((step.as_secs_f32() * 1e6, now));
        }
    }

    /// Replaces what peers report.
    pub fn set_peers(&mut self, row: RateRow, now: Instant) {
        self.peers = Some(PeerRate { row, received: now });
    }

    /// Ends an interval of observations, which count only if the router was on time
    /// during all of it.
    pub fn end_interval(&mut self, is_on_time: bool, now: Instant) {
        for samples in [&mut self.prefill, &mut self.short, &mut self.steps] {
            samples.end_interval(is_on_time);
            samples.expire(now);
        }
        self.peers = self.peers.filter(|it| it.age(now) < RATE_TTL);
    }

    /// The prefill rate in tokens per millisecond, if it is known, given the `configured`
    /// rate of the settings.
    pub fn prefill(&self, configured: f64, now: Instant) -> Option<f64> {
        let own_weight = self.prefill.kept.len();
        let peers = self.peers.map(|it| (it.rate(), it.weight(now)));
        let peer_weight = peers.map_or(0.0, |(_, weight)| weight);
        if own_weight as f64 + peer_weight < MIN_OBSERVATIONS as f64 {
            return None;
        }
        let own = self.prefill.quantile(QUANTILE, OUTLIERS);
        let own = own.filter(|_| own_weight >= MIN_OBSERVATIONS);
        let rate = match (own, peers) {
            (Some(own), Some((peers, weight))) => {
                let peers = peers.clamp(own / MAX_PEER_FACTOR, own * MAX_PEER_FACTOR);
                let share = weight / (weight + own_weight as f64);
                own * (peers / own).powf(share)
            }
            (Some(own), None) => own,
            (None, Some((peers, weight))) if weight >= 1.0 => peers,
            (None, _) => return None,
        };
        Some(rate.clamp(configured * MIN_RATE_FACTOR, configured * MAX_RATE_FACTOR))
    }

    /// The time between two events of a stream, if it is known.
    pub fn step(&self) -> Option<Duration> {
        let own = self.steps.quantile(0.5, 0);
        let own = own.filter(|_| self.steps.kept.len() >= MIN_OBSERVATIONS);
        let peers = self.peers.map(|it| f64::from(it.row.step));
        let micros = own.or(peers.filter(|&micros| micros > 0.0))?;
        Some(Duration::from_secs_f64(micros / 1e6).min(MAX_STEP))
    }

    /// Updates the level from the known rate, and returns it.
    ///
    /// A level is kept while the rate is near it. The level of the peers is adopted while
    /// the rate is near that one, so that routers agree.
    pub fn update_level(&mut self, rate: Option<f64>, configured: f64) -> Option<i8> {
        let peers = self.peers.and_then(|it| it.row.level);
        self.level = rate.map(|rate| {
            let exact = (rate / configured).log2() * LEVELS_PER_OCTAVE;
            let is_near = |level: &i8| (exact - f64::from(*level)).abs() <= LEVEL_HYSTERESIS;
            let kept = peers.filter(is_near).or(self.level.filter(is_near));
            kept.unwrap_or(exact.round() as i8)
        });
        self.level
    }

    /// What this router observed itself, to be reported to peers.
    pub fn own_row(&self, target: u64, now: Instant) -> Option<RateRow> {
        let rate = self.prefill.quantile(QUANTILE, OUTLIERS)?;
        let age = now.saturating_duration_since(self.prefill.latest()?);
        let step = self.steps.quantile(0.5, 0).unwrap_or(0.0);
        Some(RateRow {
            target,
            prefill: (rate * 1e3) as u32,
            step: step as u32,
            weight: self.prefill.kept.len() as u16,
            age: age.as_millis() as u32,
            level: self.level,
        })
    }
}

impl PeerRate {
    fn age(self, now: Instant) -> Duration {
        now.saturating_duration_since(self.received) + Duration::from_millis(self.row.age.into())
    }

    fn rate(self) -> f64 {
        f64::from(self.row.prefill) / 1e3
    }

    fn weight(self, now: Instant) -> f64 {
        aged_weight(self.row.weight, self.age(now))
    }
}

/// The weight of a row that is this old: it falls linearly to 0 at [`RATE_TTL`].
pub fn aged_weight(weight: u16, age: Duration) -> f64 {
    let remaining = 1.0 - age.as_secs_f64() / RATE_TTL.as_secs_f64();
    f64::from(weight) * remaining.max(0.0)
}

/// The weight of a home at this level.
pub fn level_weight(level: i8) -> f64 {
    (f64::from(level) / LEVELS_PER_OCTAVE).exp2()
}

/// Merges rows about one target: the weighted quantile of their rates, so that no minority
/// of the weight raises it. Ages are as of now. Returns `None` without rows that count.
pub fn merge_rows(rows: &mut [RateRow]) -> Option<RateRow> {
    rows.sort_unstable_by_key(|row| (row.prefill, row.step, row.weight));
    let weight = |row: &RateRow| aged_weight(row.weight, Duration::from_millis(row.age.into()));
    let total: f64 = rows.iter().map(weight).sum();
    if total <= 0.0 {
        return None;
    }
    let mut remaining = total * MERGE_QUANTILE;
    let is_reached = |row: &&RateRow| {
        remaining -= weight(row);
        remaining <= 0.0
    };
    let at = rows.iter().find(is_reached).or(rows.last())?;
    let mut steps: Vec<u32> = rows.iter().map(|it| it.step).filter(|&it| it > 0).collect();
    steps.sort_unstable();
    let mut levels: Vec<i8> = rows.iter().filter_map(|row| row.level).collect();
    levels.sort_unstable();
    Some(RateRow {
        step: steps.get(steps.len() / 2).copied().unwrap_or(0),
        weight: total.clamp(1.0, f64::from(u16::MAX)) as u16,
        age: rows.iter().map(|row| row.age).min().unwrap_or(0),
        level: levels.get(levels.len() / 2).copied(),
        ..*at
    })
}
