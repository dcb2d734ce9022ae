//! The admission window: how many attempts a target may run at once.
//!
//! The window starts at the cold size and grows by one after as many completions
//! as it has slots, counted only while it is full and first tokens arrive in
//! time. It falls to the cold size at once on any sign that the target is cold,
//! and holds there before it grows again. Growth from the cold size is also the
//! probe by which a window that fell without cause recovers. A target that fails
//! soon after growth was still cold, so the hold doubles; it halves with each fall
//! that no growth preceded.
//!
//! Invariants:
//! - The window is between the cold size and the greatest size of the pool, or 0
//!   while the target is down.
//! - It depends on the agent's own counts; a report of the target can only lower it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rules::Window as Bounds;

/// The least and the greatest time for which the window holds after a fall.
const HOLD_TIMES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// The time after growth in which a fall shows that the target was still cold.
const GROWTH_TRIAL: Duration = Duration::from_secs(10);

/// The factor over the usual first-token latency from which a latency is a jump.
const JUMP_FACTOR: u32 = 4;

/// The latency below which no latency is a jump.
const JUMP_FLOOR: Duration = Duration::from_millis(250);

/// The number of jumps in a row that make the window fall.
const JUMP_COUNT: u32 = 3;

/// The age from which a report of the target is ignored.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// How far the age of a report may be wrong.
const REPORT_SLACK: Duration = Duration::from_millis(250);

/// How long the agent's own counts are kept for comparison with reports.
const HISTORY_TIME: Duration = Duration::from_secs(5);

/// A sign that the target is cold.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ColdSign {
    /// The target restarted.
    Restarted,
    /// The target refused an attempt or closed its connection.
    Refused,
    /// First tokens take far longer than usual.
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
    credit: u32,
    held: Option<Instant>,
    hold: Duration,
    grown: Option<Instant>,
    latency: Option<Duration>,
    jumps: u32,
    generation: Option<u64>,
    foreign: u32,
    history: VecDeque<(Instant, u32)>,
}

impl AdmissionWindow {
    /// Creates the window of a target that counts as cold.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            size: bounds.cold.min(bounds.max),
            up: true,
            credit: 0,
            held: None,
            hold: HOLD_TIMES.0,
            grown: None,
            latency: None,
            jumps: 0,
            generation: None,
            foreign: 0,
            history: VecDeque::new(),
        }
    }

    /// Replaces the bounds by those of a new configuration.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.size = self.size.clamp(bounds.cold.min(bounds.max), bounds.max);
    }

    /// The number of attempts that may run.
    pub fn limit(&self) -> u32 {
        match self.up {
            true => self.size.saturating_sub(self.foreign),
            false => 0,
        }
    }

    /// Notes that `running` attempts run now.
    pub fn record(&mut self, now: Instant, running: u32) {
        self.held.get_or_insert(now + self.hold);
        self.history.push_back((now, running));
        while self.history.len() > 2 && self.history[1].0 + HISTORY_TIME < now {
            self.history.pop_front();
        }
    }

    /// Notes that an attempt was answered while `running` attempts ran, itself included.
    pub fn completed(&mut self, now: Instant, running: u32) {
        let is_held = self.held.is_some_and(|until| now < until);
        if running < self.limit() || is_held || self.jumps > 0 {
            return;
        }
        self.credit += 1;
        if self.credit >= self.size {
            self.credit = 0;
            self.grow(now);
        }
    }

    fn grow(&mut self, now: Instant) {
        if self.size < self.bounds.max {
            self.size += 1;
            self.grown = Some(now);
        }
    }

    /// Notes the time to the first token of an attempt; returns whether the window fell.
    pub fn first_token(&mut self, now: Instant, latency: Duration) -> bool {
        let Some(usual) = self.latency else {
            self.latency = Some(latency);
            return false;
        };
        let is_jump = latency > JUMP_FLOOR && latency > usual * JUMP_FACTOR;
        if !is_jump {
            self.jumps = 0;
            self.latency = Some((usual * 7 + latency) / 8);
            return false;
        }
        self.jumps += 1;
        if self.jumps < JUMP_COUNT {
            return false;
        }
        self.latency = Some(latency);
        self.fall(now, ColdSign::Slow);
        true
    }

    /// Falls to the cold size.
    pub fn fall(&mut self, now: Instant, sign: ColdSign) {
        if sign == ColdSign::Restarted {
            self.latency = None;
            self.foreign = 0;
        }
        self.size = self.bounds.cold.min(self.bounds.max);
        self.credit = 0;
        self.jumps = 0;
        let is_trial = self.grown.take().is_some_and(|at| now < at + GROWTH_TRIAL);
        let is_new = self.held.is_none_or(|until| now >= until);
        self.hold = match is_trial {
            true => (self.hold * 2).min(HOLD_TIMES.1),
            false if is_new => (self.hold / 2).max(HOLD_TIMES.0),
            false => self.hold,
        };
        self.held = Some(now + self.hold);
    }

    /// Notes that the target is down.
    pub fn down(&mut self, now: Instant) {
        self.fall(now, ColdSign::Restarted);
        self.up = false;
    }

    /// Notes that the target accepts connections again.
    pub fn up(&mut self, now: Instant) {
        self.fall(now, ColdSign::Restarted);
        self.up = true;
    }

    /// Takes in a report of the target; returns whether the window fell.
    ///
    /// Work that the agent did not send is what the report counts beyond the most
    /// that the agent ran around the time of the report.
    pub fn reported(&mut self, now: Instant, report: Report) -> bool {
        let is_restart = self
            .generation
            .is_some_and(|known| known != report.generation);
        self.generation = Some(report.generation);
        if is_restart {
            self.fall(now, ColdSign::Restarted);
            return true;
        }
        if report.age > REPORT_TTL {
            self.foreign = 0;
            return false;
        }
        let at = now.checked_sub(report.age).unwrap_or(now);
        let own = self.most_running(at);
        let total = report.running + report.queued;
        self.foreign = total.saturating_sub(own).min(self.size);
        let is_over = report.queued > 0 && self.size > report.running.max(1);
        if is_over && self.held.is_none_or(|until| now >= until) {
            self.fall(now, ColdSign::Queued);
            return true;
        }
        false
    }

    /// The most attempts that ran around `at`.
    fn most_running(&self, at: Instant) -> u32 {
        let from = at.checked_sub(REPORT_SLACK).unwrap_or(at);
        let before = self.history.iter().rev().find(|(time, _)| *time <= from);
        let around = self
            .history
            .iter()
            .filter(|(time, _)| *time > from && *time <= at + REPORT_SLACK);
        let counts = before
            .into_iter()
            .chain(around)
            .map(|&(_, running)| running);
        counts.max().unwrap_or(0)
    }
}

/// What the target says of itself.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Report {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait inside it.
    pub queued: u32,
    /// Changes when it restarts.
    pub generation: u64,
    /// How old the report is.
    pub age: Duration,
}
