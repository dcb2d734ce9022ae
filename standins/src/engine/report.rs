//! The load report, which lags.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What an engine says about its load.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running sequences.
    pub running: usize,
    /// Waiting sequences.
    pub queued: usize,
    /// The number of the engine's life.
    pub generation: u64,
    /// The time of the sample since the Unix epoch, in milliseconds.
    pub at_millis: u64,
}

/// The whole report of an engine.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EngineReport {
    /// The load, which lags.
    #[serde(flatten)]
    pub load: LoadReport,
    /// The loaded models.
    pub models: BTreeSet<String>,
}

/// Keeps samples and shows one that is as old as the lag.
#[derive(Clone, Debug)]
pub struct Reporter {
    lag: Duration,
    samples: VecDeque<LoadReport>,
}

impl Reporter {
    /// Creates a reporter that is `lag` behind.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    /// Adds a sample; samples are added in the order of their times.
    pub fn sample(&mut self, report: LoadReport) {
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

    /// The newest sample that is at least the lag old at `now`, else the oldest.
    pub fn report(&self, now: Duration) -> LoadReport {
        let cutoff = millis(now.saturating_sub(self.lag));
        self.samples
            .iter()
            .rev()
            .find(|sample| sample.at_millis <= cutoff)
            .or(self.samples.front())
            .copied()
            .unwrap_or_default()
    }
}

/// A time in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
