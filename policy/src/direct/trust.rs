//! Which targets fail requests though they look healthy.
//!
//! Health answers and registrations are hints. What requests to a target show
//! counts: a target whose recent requests failed too often is rested for a
//! while and then tried again.
//!
//! Invariant: a rest never lasts longer than [`LONGEST_REST`] without a new failure.

use std::time::{Duration, Instant};

/// The time in which the weight of an observation halves.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The share of failures above which a target rests.
const FAILURE_LIMIT: f64 = 0.25;

/// The weight of observations below which no judgement is made.
const LEAST_WEIGHT: f64 = 3.0;

/// The first rest after too many failures.
const FIRST_REST: Duration = Duration::from_millis(800);

/// The longest rest.
pub const LONGEST_REST: Duration = Duration::from_secs(4);

/// The rest after a connection could not be opened.
const CONNECT_REST: Duration = Duration::from_millis(500);

/// The record of one target.
#[derive(Clone, Copy, Default, Debug)]
pub struct Trust {
    good: f64,
    bad: f64,
    seen: Option<Instant>,
    rested: u32,
    until: Option<Instant>,
}

impl Trust {
    /// A request ended well.
    pub fn good(&mut self, now: Instant) {
        self.fade(now);
        self.good += 1.0;
        if self.bad < 0.5 {
            self.rested = 0;
        }
    }

    /// A request failed on the target; returns whether a rest begins.
    pub fn bad(&mut self, now: Instant) -> bool {
        self.fade(now);
        self.bad += 1.0;
        let weight = self.good + self.bad;
        let is_over = weight >= LEAST_WEIGHT && self.bad > weight * FAILURE_LIMIT;
        if !is_over || self.rests(now) {
            return false;
        }
        let rest = (FIRST_REST * (1 << self.rested.min(4))).min(LONGEST_REST);
        self.rested += 1;
        self.until = Some(now + rest);
        self.good = 0.0;
        self.bad = 0.0;
        true
    }

    /// No connection could be opened; returns whether a rest begins.
    pub fn unreachable(&mut self, now: Instant) -> bool {
        let began = !self.rests(now);
        self.until = self.until.max(Some(now + CONNECT_REST));
        began
    }

    /// Whether the target rests at `now`.
    pub fn rests(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }

    /// The share of failures among recent requests.
    pub fn failures(&self) -> f64 {
        match self.good + self.bad {
            weight if weight > 0.0 => self.bad / weight,
            _ => 0.0,
        }
    }

    fn fade(&mut self, now: Instant) {
        if let Some(seen) = self.seen {
            let passed = now.saturating_duration_since(seen).as_secs_f64();
            let factor = 0.5_f64.powf(passed / HALF_LIFE.as_secs_f64());
            self.good *= factor;
            self.bad *= factor;
        }
        self.seen = Some(now);
    }
}
