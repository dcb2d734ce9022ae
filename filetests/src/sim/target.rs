//! A target that streams tokens at a constant rate and crashes when it is overloaded.

use std::collections::BTreeMap;
use std::time::Duration;

use entity::{AttemptId, Cost};

/// A running attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) team: usize,
    pub(super) cost: Cost,
    started: Duration,
    time: Duration,
    reported: Cost,
}

impl Run {
    pub(super) fn new(team: usize, cost: Cost, started: Duration, token: Duration) -> Self {
        Self {
            team,
            cost,
            started,
            time: token * cost.0 as u32,
            reported: Cost::ZERO,
        }
    }

    /// Returns the cost delivered by `at`.
    pub(super) fn delivered(&self, at: Duration) -> Cost {
        let passed = at.saturating_sub(self.started).min(self.time);
        match self.time.is_zero() {
            true => self.cost,
            false => {
                Cost((self.cost.0 as f64 * passed.as_secs_f64() / self.time.as_secs_f64()) as i64)
            }
        }
    }

    /// Returns when the attempt completes.
    pub(super) fn end(&self) -> Duration {
        self.started + self.time
    }
}

/// A simulated target.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    slots: u32,
    cold: u32,
    completions: u32,
    pub(super) is_up: bool,
    pub(super) generation: u64,
    pub(super) running: BTreeMap<AttemptId, Run>,
}

impl Engine {
    pub(super) fn new(slots: u32, cold: u32) -> Self {
        Self {
            slots,
            cold,
            completions: 0,
            is_up: true,
            generation: 1,
            running: BTreeMap::new(),
        }
    }

    /// Returns the actual capacity: each completion since the start warms one more slot.
    pub(super) fn limit(&self) -> u32 {
        self.slots.min(self.cold + self.completions)
    }

    /// Returns the cost streamed since the last call; `None` if the attempt is not running.
    pub(super) fn advance(&mut self, attempt: AttemptId, at: Duration) -> Option<Cost> {
        let run = self.running.get_mut(&attempt)?;
        let delivered = run.delivered(at);
        let new_cost = delivered - run.reported;
        run.reported = delivered;
        Some(new_cost)
    }

    pub(super) fn complete(&mut self, attempt: AttemptId) -> Option<Run> {
        let run = self.running.remove(&attempt)?;
        self.completions += 1;
        Some(run)
    }

    /// Crashes the target; returns the attempts that were running.
    pub(super) fn crash(&mut self) -> BTreeMap<AttemptId, Run> {
        self.completions = 0;
        self.generation += 1;
        core::mem::take(&mut self.running)
    }
}
