//! How much capacity teams beyond their share may use.
//!
//! A share is what a team may claim while others wait. While targets are idle and
//! nobody within its share is refused, requests of a team beyond its share may run on
//! them. Such a request is admitted only where the wait and its own prompt together
//! delay whoever arrives next by little, which favours short prompts and idle targets.
//!
//! The delay shrinks at once when a request within its team's share is refused here,
//! and with the demand within shares that the whole fleet turns away. It recovers
//! slowly.
//!
//! Invariants:
//! - The delay is at most [`MAX_DELAY_FRACTION`] of the shortest objective.
//! - Requests within the share of their team are not affected.

use std::time::{Duration, Instant};

use super::fair_share::TeamRate;

/// The maximum delay of others, as a fraction of the shortest objective of a service.
pub const MAX_DELAY_FRACTION: f64 = 0.1;

/// The time in which the delay recovers from zero to its maximum.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// The factor on the delay when a request within its team's share is refused.
const REFUSAL_FACTOR: f64 = 0.5;

/// The minimum time between two reductions for refusals: those of one burst have the
/// same cause.
const REFUSAL_INTERVAL: Duration = Duration::from_millis(100);

/// The part of the demand within shares that the fleet turns away at which nothing is
/// spare.
const MAX_UNMET_FRACTION: f64 = 0.1;

/// The capacity that teams beyond their share may use.
#[derive(Clone, Copy, Debug)]
pub struct SpareCapacity {
    /// The part of the maximum delay that recent refusals at this router leave.
    recovered: f64,
    updated_at: Instant,
    refused_at: Option<Instant>,
    /// The part of the demand within shares that the fleet turns away.
    unmet: f64,
}

impl SpareCapacity {
    /// Creates the state of a router that starts; nothing is spare yet.
    pub fn new(now: Instant) -> Self {
        Self {
            recovered: 0.0,
            updated_at: now,
            refused_at: None,
            unmet: 0.0,
        }
    }

    /// Records that a request within the share of its team was refused for load.
    pub fn record_refused(&mut self, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < REFUSAL_INTERVAL;
        if self.refused_at.is_some_and(is_recent) {
            return;
        }
        self.refused_at = Some(now);
        self.recovered = self.recovered_at(now) * REFUSAL_FACTOR;
        self.updated_at = now;
    }

    /// Updates what the fleet turns away, from the rates of all teams and their share.
    pub fn update(&mut self, rates: impl Iterator<Item = TeamRate>, fair_share: f64) {
        let (mut due, mut missing) = (0.0, 0.0);
        for rate in rates {
            let claim = rate.requested.min(fair_share);
            due += claim;
            missing += (claim - rate.admitted).max(0.0);
        }
        self.unmet = if due > 0.0 { missing / due } else { 0.0 };
    }

    /// The time by which a request beyond its team's share may delay others.
    pub fn max_delay(&self, min_objective: Duration, now: Instant) -> Duration {
        min_objective.mul_f64(MAX_DELAY_FRACTION * self.fraction(now))
    }

    /// The part of the maximum delay that is allowed at the moment, from 0 to 1.
    pub fn fraction(&self, now: Instant) -> f64 {
        let met = (1.0 - self.unmet / MAX_UNMET_FRACTION).max(0.0);
        met * self.recovered_at(now)
    }

    fn recovered_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        (self.recovered + elapsed.as_secs_f64() / RECOVERY_TIME.as_secs_f64()).min(1.0)
    }
}
