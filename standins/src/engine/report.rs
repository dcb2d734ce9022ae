//! The load report, which is delayed as that of a real engine.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The load of an engine at one time.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running sequences.
    pub running: usize,
    /// Waiting sequences.
    pub queued: usize,
    /// The engine's generation number.
    pub generation: u64,
    /// The time of the sample since the Unix epoch, in milliseconds.
    pub at_millis: u64,
}

/// The load report and the loaded models of an engine.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EngineReport {
    /// The load, delayed.
    #[serde(flatten)]
    pub load: LoadReport,
    /// The loaded models.
    pub models: BTreeSet<String>,
}

/// Stores load samples and reports them with a delay.
#[derive(Clone, Debug)]
pub struct DelayedLoadReport {
    lag: Duration,
    samples: VecDeque<LoadReport>,
}

impl DelayedLoadReport {
    /// Creates a report that is delayed by `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    /// Adds a sample; samples must be added in chronological order.
    pub fn add_sample(&mut self, report: LoadReport) {
        let cutoff = report.at_millis.saturating_sub(millis(self.lag));
        self.samples.push_back(report);
        while self
            .samples
            .get(1)
            .is_some_and(|next| next.at_millis <= cutoff)
        {
            self.samples.pop_front();
        }
    }

    /// The newest sample that is at least `lag` old at `now`, or the oldest if there is none.
    pub fn report(&self, now: Duration) -> LoadReport {
        let cutoff = millis(now.saturating_sub(self.lag));
        self.samples
            .iter()
            .rev()
            .find(|add_sample| add_sample.at_millis <= cutoff)
            .or(self.samples.front())
            .copied()
            .unwrap_or_default()
    }
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
