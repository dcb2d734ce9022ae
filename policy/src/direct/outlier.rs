//! Outlier detection: ejects targets that fail requests although their health
//! checks pass.
//!
//! Health checks and registrations are only hints. A target is judged by the
//! requests sent to it: if too many of the recent ones failed, it is ejected for
//! a while and then tried again.
//!
//! Invariant: an ejection lasts at most [`MAX_EJECTION_TIME`] without a new failure.

use std::time::{Duration, Instant};

/// The half-life of the weight of an observation.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The fraction of failures above which a target is ejected.
const MAX_FAILURE_FRACTION: f64 = 0.25;

/// The total weight of observations below which no target is ejected.
const MIN_WEIGHT: f64 = 3.0;

/// The duration of the first ejection; it doubles with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(800);

/// The maximum duration of an ejection.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// The duration of an ejection after a failed connection attempt.
const CONNECT_FAILURE_EJECTION_TIME: Duration = Duration::from_millis(500);

/// The recent results of requests to one target.
#[derive(Clone, Copy, Default, Debug)]
pub struct OutlierDetector {
    successes: f64,
    failures: f64,
    updated_at: Option<Instant>,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl OutlierDetector {
    /// Records a successful request.
    pub fn record_success(&mut self, now: Instant) {
        self.decay(now);
        self.successes += 1.0;
        if self.failures < 0.5 {
            self.ejections = 0;
        }
    }

    /// Records a failed request. Returns whether an ejection begins.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.decay(now);
        self.failures += 1.0;
        let weight = self.successes + self.failures;
        let is_outlier = weight >= MIN_WEIGHT && self.failures > weight * MAX_FAILURE_FRACTION;
        if !is_outlier || self.is_ejected(now) {
            return false;
        }
        let ejection_time =
            (BASE_EJECTION_TIME * (1 << self.ejections.min(4))).min(MAX_EJECTION_TIME);
        self.ejections += 1;
        self.ejected_until = Some(now + ejection_time);
        self.successes = 0.0;
        self.failures = 0.0;
        true
    }

    /// Records a failed connection attempt. Returns whether an ejection begins.
    pub fn record_connect_failure(&mut self, now: Instant) -> bool {
        let begins = !self.is_ejected(now);
        self.ejected_until = self
            .ejected_until
            .max(Some(now + CONNECT_FAILURE_EJECTION_TIME));
        begins
    }

    /// Whether the target is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// The fraction of recent requests that failed.
    pub fn failure_fraction(&self) -> f64 {
        match self.successes + self.failures {
            weight if weight > 0.0 => self.failures / weight,
            _ => 0.0,
        }
    }

    fn decay(&mut self, now: Instant) {
        if let Some(updated_at) = self.updated_at {
            let elapsed = now.saturating_duration_since(updated_at).as_secs_f64();
            let factor = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
            self.successes *= factor;
            self.failures *= factor;
        }
        self.updated_at = Some(now);
    }
}
