//! Estimate of the prefill rate of a service's engines.
//!
//! The settings give a rate, but engines on other hardware, or with more
//! concurrent streams, prefill at another rate, and every predicted wait depends
//! on it. The actual rate is estimated from the time between sending a prompt and
//! its first event, and from the tokens to prefill in that time.
//!
//! The observed rate is lower than the actual one, since prompts that other
//! routers have in flight are unknown, and it varies with the load. An
//! observation close to the configured rate is therefore ignored, one far from it
//! is fully applied, and its weight is interpolated linearly in between.
//!
//! Invariant: the rate stays within [`MIN_RATE_FACTOR`] and [`MAX_RATE_FACTOR`] times
//! the configured rate, and equals the configured rate before the first
//! observation.

use std::time::Duration;

/// The minimum rate, as a multiple of the configured rate.
pub const MIN_RATE_FACTOR: f64 = 0.1;
/// The maximum rate, as a multiple of the configured rate.
pub const MAX_RATE_FACTOR: f64 = 6.0;

/// The factor of the configured rate below which observations are fully applied,
/// and the one from which they are ignored.
const SLOW_RANGE: (f64, f64) = (0.35, 0.5);

/// The factor above which observations are fully applied, and the one up to which
/// they are ignored.
const FAST_RANGE: (f64, f64) = (2.2, 1.5);

/// The minimum number of tokens of an observation. For fewer, engine steps and
/// the network dominate the time.
const MIN_TOKENS: f64 = 2_000.0;

/// The part of the time to the first event that is not prefill: the first step
/// and the network round trip, in milliseconds.
const OVERHEAD_MILLIS: f64 = 12.0;

/// The weight of the configured rate, in milliseconds of prefill time.
const CONFIGURED_RATE_WEIGHT_MILLIS: f64 = 500.0;

/// The total weight of observations at which all weights are halved, in
/// milliseconds of prefill time.
const MAX_WEIGHT_MILLIS: f64 = 20_000.0;

/// The observations of a service's engines.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct PrefillRate {
    tokens: f64,
    millis: f64,
}

impl PrefillRate {
    /// Records that a prompt had its first event `elapsed` after it was sent.
    /// `tokens` is the number of tokens the target had to prefill at that time,
    /// including the prompt itself.
    pub fn record_prefill(&mut self, tokens: f64, elapsed: Duration) {
        let millis = elapsed.as_secs_f64() * 1e3 - OVERHEAD_MILLIS;
        if tokens < MIN_TOKENS || millis <= 0.0 {
            return;
        }
        self.tokens += tokens;
        self.millis += millis;
        if self.millis > MAX_WEIGHT_MILLIS {
            self.tokens /= 2.0;
            self.millis /= 2.0;
        }
    }

    /// The estimated rate in tokens per millisecond, given the `configured` rate of
    /// the settings.
    pub fn tokens_per_milli(&self, configured: f64) -> f64 {
        let observed = (self.tokens + configured * CONFIGURED_RATE_WEIGHT_MILLIS)
            / (self.millis + CONFIGURED_RATE_WEIGHT_MILLIS);
        let factor = match observed / configured {
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
