//! The state of the plain service: a concurrency limit, run counters by
//! idempotency key, and injected faults.
//!
//! Invariant: a run is counted when it starts, before a fault can affect it, so
//! the counters include failed runs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::counts::{Runs, Totals};

/// The configuration of a service.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServiceOptions {
    /// The duration of one run.
    pub service_time: Duration,
    /// The maximum number of concurrent runs.
    pub limit: usize,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(8),
            limit: 8,
        }
    }
}

/// A fault that the service simulates.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Closes the connection without a run, for the next `times` requests.
    DieBefore {
        /// The number of requests still to be affected.
        times: u64,
    },
    /// Closes the connection after the run, for the next `times` runs.
    DieAfter {
        /// The number of requests still to be affected.
        times: u64,
    },
    /// Adds to the duration of each run.
    Slow {
        /// The additional duration in milliseconds.
        millis: u64,
    },
}

/// How to handle a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StartDecision {
    /// Run it; the run has been counted.
    Run {
        /// How often the key has run, counted from 1 with this run included.
        run: u64,
        /// The duration of the run.
        time: Duration,
    },
    /// Reject it because the concurrency limit is reached.
    Busy,
    /// Close the connection without a response.
    Disconnect,
}

/// How to end a request after its run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FinishDecision {
    /// Send the response.
    Answer,
    /// Close the connection without a response.
    Disconnect,
}

/// The counters of a service.
#[derive(Clone, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// The runs.
    pub runs: Runs,
    /// Requests rejected at the concurrency limit.
    pub busy: u64,
    /// The maximum number of concurrent runs.
    pub peak: usize,
    /// The current number of concurrent runs.
    pub running: usize,
}

/// The state of a service.
#[derive(Clone, Debug)]
pub struct ServiceState {
    options: ServiceOptions,
    fault: Fault,
    counts: ServiceCounts,
}

impl ServiceState {
    /// Creates an idle service.
    pub fn new(options: ServiceOptions) -> Self {
        Self {
            options,
            fault: Fault::None,
            counts: ServiceCounts::default(),
        }
    }

    /// Sets the fault in force.
    pub fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
    }

    /// All counters.
    pub fn counts(&self) -> &ServiceCounts {
        &self.counts
    }

    /// The summary counters.
    pub fn totals(&self) -> Totals {
        Totals {
            started: self.counts.runs.started,
            completed: self.counts.runs.completed,
            running: self.counts.running as u64,
            ..Totals::default()
        }
    }

    /// Decides how to handle a request and counts its run.
    pub fn try_start(&mut self, request: Option<&str>, key: Option<&str>) -> StartDecision {
        if let Fault::DieBefore { times } = &mut self.fault
            && consume_fault(times)
        {
            return StartDecision::Disconnect;
        }
        if self.counts.running >= self.options.limit {
            self.counts.busy += 1;
            return StartDecision::Busy;
        }
        self.counts.running += 1;
        self.counts.peak = self.counts.peak.max(self.counts.running);
        let run = self.counts.runs.start(request, key);
        let extra = match self.fault {
            Fault::Slow { millis } => Duration::from_millis(millis),
            _ => Duration::ZERO,
        };
        let time = self.options.service_time + extra;
        StartDecision::Run { run, time }
    }

    /// Records the end of a run and decides how to end its request.
    pub fn finish(&mut self) -> FinishDecision {
        debug_assert!(self.counts.running > 0, "a run that ends was started");
        self.counts.running -= 1;
        if let Fault::DieAfter { times } = &mut self.fault
            && consume_fault(times)
        {
            self.counts.runs.crashed += 1;
            return FinishDecision::Disconnect;
        }
        self.counts.runs.completed += 1;
        FinishDecision::Answer
    }

    /// Records the end of a run whose client disconnected. The run still counts as started.
    pub fn cancel(&mut self) {
        debug_assert!(self.counts.running > 0, "a run that ends was started");
        self.counts.running -= 1;
        self.counts.runs.cancelled += 1;
    }
}

fn consume_fault(times: &mut u64) -> bool {
    let remaining = *times;
    *times = remaining.saturating_sub(1);
    remaining > 0
}
