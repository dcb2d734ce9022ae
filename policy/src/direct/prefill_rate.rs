//! Estimate of the prefill rate of a service's engines.
//!
//! The settings give a rate, but engines on other hardware prefill at another rate,
//! and every predicted wait depends on it. The actual rate is estimated from the
//! time between sending a prompt and its first event.
//!
//! Each observation is a lower bound of the actual rate: prompts of other routers
//! may have been prefilled in the same time. A high quantile is therefore used,
//! which is near the actual rate while some prompts meet an idle engine. An
//! observation also contains the delay of the router itself, so those of intervals
//! in which the router was late are discarded.
//!
//! An estimate close to the configured rate is ignored, one far from it is fully
//! applied, and its weight is interpolated linearly in between.
//!
//! Invariant: the rate stays within [`MIN_RATE_FACTOR`] and [`MAX_RATE_FACTOR`] times
//! the configured rate, and equals the configured rate until observations of
//! [`MIN_OBSERVED_TOKENS`] were made.

use std::time::Duration;

/// The minimum rate, as a multiple of the configured rate.
pub const MIN_RATE_FACTOR: f64 = 0.1;
/// The maximum rate, as a multiple of the configured rate.
pub const MAX_RATE_FACTOR: f64 = 6.0;

/// The factor of the configured rate below which estimates are fully applied,
/// and the one from which they are ignored.
const SLOW_RANGE: (f64, f64) = (0.35, 0.5);

/// The factor above which estimates are fully applied, and the one up to which
/// they are ignored.
const FAST_RANGE: (f64, f64) = (2.2, 1.5);

/// The minimum number of tokens of an observation. For fewer, engine steps and
/// the network dominate the time.
const MIN_TOKENS: f64 = 2_000.0;

/// The part of the time to the first event that is not prefill: the first step
/// and the network round trip, in milliseconds.
const OVERHEAD_MILLIS: f64 = 12.0;

/// The number of tokens that must have been observed before the estimate is used.
pub const MIN_OBSERVED_TOKENS: f64 = 30_000.0;

/// The number of observed tokens at which all weights are halved.
const MAX_OBSERVED_TOKENS: f64 = 2_000_000.0;

/// The fraction of observed tokens that were prefilled at the estimated rate or a
/// lower one.
const QUANTILE: f64 = 0.9;

/// The number of histogram buckets per doubling of the rate.
const BUCKETS_PER_OCTAVE: f64 = 8.0;

/// The number of buckets; the first one begins at 1 token per millisecond.
const BUCKETS: usize = 96;

/// Observed tokens by rate.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Histogram([f64; BUCKETS]);

impl Default for Histogram {
    fn default() -> Self {
        Self([0.0; BUCKETS])
    }
}

impl Histogram {
    fn add(&mut self, rate: f64, tokens: f64) {
        let bucket = (rate.log2() * BUCKETS_PER_OCTAVE).max(0.0) as usize;
        self.0[bucket.min(BUCKETS - 1)] += tokens;
    }

    fn sum(&self) -> f64 {
        self.0.iter().sum()
    }

    /// The rate at the middle of the bucket that contains [`QUANTILE`].
    fn quantile(&self) -> f64 {
        let mut remaining = self.sum() * QUANTILE;
        let is_reached = |tokens: &f64| {
            remaining -= tokens;
            remaining <= 0.0
        };
        let bucket = self.0.iter().position(is_reached).unwrap_or(BUCKETS - 1);
        ((bucket as f64 + 0.5) / BUCKETS_PER_OCTAVE).exp2()
    }
}

/// The observations of a service's engines.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct PrefillRate {
    observed: Histogram,
    /// The observations of the current interval.
    recent: Histogram,
}

impl PrefillRate {
    /// Records that a prompt of which at least `tokens` were prefilled had its first event
    /// `elapsed` after it was sent.
    pub fn record_prefill(&mut self, tokens: f64, elapsed: Duration) {
        let millis = elapsed.as_secs_f64() * 1e3 - OVERHEAD_MILLIS;
        if tokens >= MIN_TOKENS && millis > 0.0 {
            self.recent.add(tokens / millis, tokens);
        }
    }

    /// Ends an interval of observations, which count only if the router was on time
    /// during all of it.
    pub fn end_interval(&mut self, is_on_time: bool) {
        let recent = std::mem::take(&mut self.recent);
        if !is_on_time {
            return;
        }
        let observed = &mut self.observed;
        for (sum, tokens) in observed.0.iter_mut().zip(recent.0) {
            *sum += tokens;
        }
        if observed.sum() > MAX_OBSERVED_TOKENS {
            observed.0.iter_mut().for_each(|tokens| *tokens /= 2.0);
        }
    }

    /// The estimated rate in tokens per millisecond, given the `configured` rate of
    /// the settings.
    pub fn tokens_per_milli(&self, configured: f64) -> f64 {
        if self.observed.sum() < MIN_OBSERVED_TOKENS {
            return configured;
        }
        let factor = match self.observed.quantile() / configured {
            factor if factor < SLOW_RANGE.1 => interpolate(factor, SLOW_RANGE),
            factor if factor > FAST_RANGE.1 => interpolate(factor, FAST_RANGE),
            _ => 1.0,
        };
        configured * factor.clamp(MIN_RATE_FACTOR, MAX_RATE_FACTOR)
    }
}

/// Returns the factor to apply: `factor` itself beyond `applied`, 1 at `ignored`,
/// interpolated in between.
fn interpolate(factor: f64, (applied, ignored): (f64, f64)) -> f64 {
    let weight = ((factor - ignored) / (applied - ignored)).min(1.0);
    1.0 + (factor - 1.0) * weight
}
