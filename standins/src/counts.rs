//! What a stand-in really ran.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The runs that a target started, by request and by key.
#[derive(Clone, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Runs {
    /// Runs started.
    pub started: u64,
    /// Runs that ended with a whole answer.
    pub completed: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// Runs that a crash ended.
    pub crashed: u64,
    /// Runs started for each `x-request-id`.
    pub by_request: BTreeMap<String, u64>,
    /// Runs started for each `Idempotency-Key`.
    pub by_key: BTreeMap<String, u64>,
}

impl Runs {
    /// Counts the start of a run and returns how often the key has run, this run included.
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
    pub fn doubled(&self) -> impl Iterator<Item = &str> {
        self.by_key
            .iter()
            .filter(|(_, runs)| **runs > 1)
            .map(|(key, _)| key.as_str())
    }
}

/// A short account of a target, cheap enough to be read often.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Totals {
    /// Runs started.
    pub started: u64,
    /// Runs that ended with a whole answer.
    pub completed: u64,
    /// Runs at present.
    pub running: u64,
    /// Tokens made.
    pub tokens: u64,
    /// How often the target died.
    pub deaths: u64,
    /// The time integral of runs, in run milliseconds.
    pub held_millis: u64,
    /// The time integral of the limit while up, in run milliseconds.
    pub limit_millis: u64,
}
