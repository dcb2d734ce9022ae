//! A target that streams tokens at a constant rate.

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
    /// Returns the tokens delivered by `at`.
    pub(super) fn delivered(&self, at: Duration) -> Cost {
        let passed = at.saturating_sub(self.started).min(self.time);
        let part = passed.as_secs_f64() / self.time.as_secs_f64();
        Cost((self.cost.0 as f64 * part) as i64)
    }
}

/// The progress of a stream since the last step.
pub(super) struct Progress {
    pub(super) cost: Cost,
    pub(super) left: Duration,
}

/// A simulated target.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    cold: u32,
    max: u32,
    completions: u32,
    epoch: u64,
    running: BTreeMap<AttemptId, Run>,
}

impl Engine {
    pub(super) fn new(cold: u32, max: u32) -> Self {
        Self {
            cold,
            max,
            completions: 0,
            epoch: 1,
            running: BTreeMap::new(),
        }
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn len(&self) -> usize {
        self.running.len()
    }

    pub(super) fn running(&self) -> impl Iterator<Item = &Run> {
        self.running.values()
    }

    /// Starts an attempt; returns the number of attempts above the actual limit.
    pub(super) fn start(
        &mut self,
        attempt: AttemptId,
        team: usize,
        cost: Cost,
        started: Duration,
        time: Duration,
    ) -> u32 {
        let run = Run {
            team,
            cost,
            started,
            time,
            reported: Cost::ZERO,
        };
        self.running.insert(attempt, run);
        (self.running.len() as u32).saturating_sub(self.limit())
    }

    /// Returns the tokens since the last call; `None` if the attempt no longer runs.
    pub(super) fn advance(&mut self, attempt: AttemptId, at: Duration) -> Option<Progress> {
        let run = self.running.get_mut(&attempt)?;
        let delivered = run.delivered(at);
        let cost = delivered - run.reported;
        run.reported = delivered;
        let left = (run.started + run.time).saturating_sub(at);
        Some(Progress { cost, left })
    }

    pub(super) fn end(&mut self, attempt: AttemptId) -> Run {
        self.completions += 1;
        self.running.remove(&attempt).expect("the attempt runs")
    }

    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
    }

    /// Returns the current actual limit of the target.
    fn limit(&self) -> u32 {
        (self.cold + self.completions).min(self.max)
    }

    /// Crashes the target; returns the attempts that were running.
    pub(super) fn crash(&mut self) -> Vec<AttemptId> {
        self.epoch += 1;
        self.completions = 0;
        core::mem::take(&mut self.running).into_keys().collect()
    }
}
