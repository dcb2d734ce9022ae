//! Run counters of the stand-ins.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts the runs of a target, by request id and by idempotency key.
#[derive(Clone, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Runs {
    /// Runs started.
    pub started: u64,
    /// Runs that ended with a complete response.
    pub completed: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// Runs that a crash aborted.
    pub crashed: u64,
    /// Runs started for each `x-request-id`.
    pub by_request: BTreeMap<String, u64>,
    /// Runs started for each `Idempotency-Key`.
    pub by_key: BTreeMap<String, u64>,
}

impl Runs {
    /// Counts the start of a run and returns how often its key has run, this run included.
    pub fn start(&mut self, request: Option<&str>, key: Option<&str>) -> u64 {
        self.started += 1;
        if let Some(request) = request {
            *self.by_request.entry(request.to_owned()).or_default() += 1;
        }
        let Some(key) = key else { return 1 };
        let runs = self.by_key.entry(key.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    /// The keys that ran more than once.
    pub fn repeated_keys(&self) -> impl Iterator<Item = &str> {
        self.by_key
            .iter()
            .filter(|(_, runs)| **runs > 1)
            .map(|(key, _)| key.as_str())
    }
}

/// Summary counters of a target, small enough for frequent polling.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Totals {
    /// Runs started.
    pub started: u64,
    /// Runs that ended with a complete response.
    pub completed: u64,
    /// Runs in progress.
    pub running: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Crashes of the target.
    pub deaths: u64,
    /// The integral of the number of concurrent runs over time, in run milliseconds.
    pub held_millis: u64,
    /// The integral of the concurrency limit over the time the target is up, in run milliseconds.
    pub limit_millis: u64,
}
