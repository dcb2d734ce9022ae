//! The admission window: how many attempts a target may run at once.
//!
//! The window starts at the cold size and grows by one after as many completions
//! as it has slots. Completions count only while the window is full and first-token
//! latency is normal. Any sign that the target is cold shrinks the window to the cold
//! size at once, where it stays for a hold time. Growth from the cold size also lets a
//! window recover that shrank without cause. A target that fails soon after growth was
//! still cold, so the hold time doubles; it halves with each new shrink that no recent
//! growth preceded.
//!
//! Invariants:
//! - The window is between the cold size and the greatest size of the pool, or 0
//!   while the target is down.
//! - Growth depends on the agent's own counts only; a report of the target can only lower
//!   the window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rules::Window as Bounds;

/// The minimum and maximum time for which the window does not grow after a shrink.
const HOLD_TIME_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// The time after growth during which a shrink shows that the target was still cold.
const GROWTH_TRIAL_TIME: Duration = Duration::from_secs(10);

/// A first-token latency above this multiple of the average is a spike.
const SPIKE_FACTOR: u32 = 4;

/// First-token latencies up to this value are never spikes.
const SPIKE_MIN_LATENCY: Duration = Duration::from_millis(250);

/// The number of consecutive spikes that shrink the window.
const SPIKE_COUNT: u32 = 3;

/// Target reports older than this are ignored.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// The tolerance on the age of a report.
const REPORT_AGE_TOLERANCE: Duration = Duration::from_millis(250);

/// How long the agent's running counts are kept for comparison with reports.
const HISTORY_TIME: Duration = Duration::from_secs(5);

/// A sign that the target is cold.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ColdSign {
    /// The target restarted.
    Restarted,
    /// The target refused an attempt or closed its connection.
    Refused,
    /// First-token latency is far above average.
    Slow,
    /// Requests wait inside the target.
    Queued,
}

/// The admission window of one target.
#[derive(Clone, Debug)]
pub struct AdmissionWindow {
    bounds: Bounds,
    size: u32,
    up: bool,
    completions: u32,
    hold_until: Option<Instant>,
    hold_time: Duration,
    grown_at: Option<Instant>,
    average_latency: Option<Duration>,
    spikes: u32,
    generation: Option<u64>,
    external_load: u32,
    history: VecDeque<(Instant, u32)>,
}

impl AdmissionWindow {
    /// Creates the window of a target that is assumed to be cold.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            size: bounds.cold.min(bounds.max),
            up: true,
            completions: 0,
            hold_until: None,
            hold_time: HOLD_TIME_BOUNDS.0,
            grown_at: None,
            average_latency: None,
            spikes: 0,
            generation: None,
            external_load: 0,
            history: VecDeque::new(),
        }
    }

    /// Applies the bounds of a new configuration.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.size = self.size.clamp(bounds.cold.min(bounds.max), bounds.max);
    }

    /// The number of attempts that may run.
    pub fn limit(&self) -> u32 {
        match self.up {
            true => self.size.saturating_sub(self.external_load),
            false => 0,
        }
    }

    /// Records the current number of running attempts.
    pub fn record(&mut self, now: Instant, running: u32) {
        self.hold_until.get_or_insert(now + self.hold_time);
        self.history.push_back((now, running));
        while self.history.len() > 2 && self.history[1].0 + HISTORY_TIME < now {
            self.history.pop_front();
        }
    }

    /// Records a completed attempt; `running` includes the attempt itself.
    pub fn completed(&mut self, now: Instant, running: u32) {
        let is_holding = self.hold_until.is_some_and(|until| now < until);
        if running < self.limit() || is_holding || self.spikes > 0 {
            return;
        }
        self.completions += 1;
        if self.completions >= self.size {
            self.completions = 0;
            self.grow(now);
        }
    }

    fn grow(&mut self, now: Instant) {
        if self.size < self.bounds.max {
            self.size += 1;
            self.grown_at = Some(now);
        }
    }

    /// Records the first-token latency of an attempt; returns whether the window shrank.
    pub fn first_token(&mut self, now: Instant, latency: Duration) -> bool {
        let Some(average) = self.average_latency else {
            self.average_latency = Some(latency);
            return false;
        };
        let is_spike = latency > SPIKE_MIN_LATENCY && latency > average * SPIKE_FACTOR;
        if !is_spike {
            self.spikes = 0;
            self.average_latency = Some((average * 7 + latency) / 8);
            return false;
        }
        self.spikes += 1;
        if self.spikes < SPIKE_COUNT {
            return false;
        }
        self.average_latency = Some(latency);
        self.shrink(now, ColdSign::Slow);
        true
    }

    /// Shrinks the window to the cold size.
    pub fn shrink(&mut self, now: Instant, sign: ColdSign) {
        if sign == ColdSign::Restarted {
            self.average_latency = None;
            self.external_load = 0;
        }
        self.size = self.bounds.cold.min(self.bounds.max);
        self.completions = 0;
        self.spikes = 0;
        let is_trial = self
            .grown_at
            .take()
            .is_some_and(|at| now < at + GROWTH_TRIAL_TIME);
        let is_new = self.hold_until.is_none_or(|until| now >= until);
        self.hold_time = match is_trial {
            true => (self.hold_time * 2).min(HOLD_TIME_BOUNDS.1),
            false if is_new => (self.hold_time / 2).max(HOLD_TIME_BOUNDS.0),
            false => self.hold_time,
        };
        self.hold_until = Some(now + self.hold_time);
    }

    /// Records that the target is down.
    pub fn down(&mut self, now: Instant) {
        self.shrink(now, ColdSign::Restarted);
        self.up = false;
    }

    /// Records that the target accepts connections again.
    pub fn up(&mut self, now: Instant) {
        self.shrink(now, ColdSign::Restarted);
        self.up = true;
    }

    /// Applies a load report of the target; returns whether the window shrank.
    ///
    /// Requests that the report counts beyond the maximum that the agent ran around the
    /// time of the report are external load, which the agent did not send.
    pub fn reported(&mut self, now: Instant, report: Report) -> bool {
        let is_restart = self
            .generation
            .is_some_and(|known| known != report.generation);
        self.generation = Some(report.generation);
        if is_restart {
            self.shrink(now, ColdSign::Restarted);
            return true;
        }
        if report.age > REPORT_TTL {
            self.external_load = 0;
            return false;
        }
        let at = now.checked_sub(report.age).unwrap_or(now);
        let own = self.max_running_around(at);
        let total = report.running + report.queued;
        self.external_load = total.saturating_sub(own).min(self.size);
        let is_queueing = report.queued > 0 && self.size > report.running.max(1);
        if is_queueing && self.hold_until.is_none_or(|until| now >= until) {
            self.shrink(now, ColdSign::Queued);
            return true;
        }
        false
    }

    /// The maximum number of attempts running around `at`.
    fn max_running_around(&self, at: Instant) -> u32 {
        let from = at.checked_sub(REPORT_AGE_TOLERANCE).unwrap_or(at);
        let before = self.history.iter().rev().find(|(time, _)| *time <= from);
        let around = self
            .history
            .iter()
            .filter(|(time, _)| *time > from && *time <= at + REPORT_AGE_TOLERANCE);
        let counts = before
            .into_iter()
            .chain(around)
            .map(|&(_, running)| running);
        counts.max().unwrap_or(0)
    }
}

/// A load report of the target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Report {
    /// Requests that the target runs.
    pub running: u32,
    /// Requests queued inside the target.
    pub queued: u32,
    /// Changes with each restart of the target.
    pub generation: u64,
    /// Age of the report.
    pub age: Duration,
}
