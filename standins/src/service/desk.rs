//! Runs by key, a limit on concurrent runs, and scripted faults.
//!
//! Invariant: a run is counted before anything can go wrong with it, so the
//! count never misses a run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::counts::{Runs, Totals};

/// How a service behaves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DeskOptions {
    /// The time of one run.
    pub service_time: Duration,
    /// The greatest number of concurrent runs.
    pub limit: usize,
}

impl Default for DeskOptions {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(8),
            limit: 8,
        }
    }
}

/// What the service does wrong.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Breaks the connection instead of running, this many times.
    DieBefore {
        /// How many requests are left.
        times: u64,
    },
    /// Runs and breaks the connection instead of answering, this many times.
    DieAfter {
        /// How many requests are left.
        times: u64,
    },
    /// Each run takes longer.
    Slow {
        /// The additional time in milliseconds.
        millis: u64,
    },
}

/// What to do with a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Begin {
    /// Run it for a time; the run has been counted.
    Run {
        /// The number of this key's run, from 1.
        run: u64,
        /// How long it takes.
        time: Duration,
    },
    /// Refuse it: too many run.
    Busy,
    /// Break the connection.
    Drop,
}

/// What to do after a run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum End {
    /// Answer.
    Answer,
    /// Break the connection.
    Drop,
}

/// What a service really did.
#[derive(Clone, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// What it ran.
    pub runs: Runs,
    /// Requests refused because too many ran.
    pub busy: u64,
    /// The greatest number of concurrent runs.
    pub peak: usize,
    /// Concurrent runs at present.
    pub running: usize,
}

/// The service's state.
#[derive(Clone, Debug)]
pub struct Desk {
    options: DeskOptions,
    fault: Fault,
    counts: ServiceCounts,
}

impl Desk {
    /// Creates an idle service.
    pub fn new(options: DeskOptions) -> Self {
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

    /// What the service really did.
    pub fn counts(&self) -> &ServiceCounts {
        &self.counts
    }

    /// A short account of what the service did.
    pub fn totals(&self) -> Totals {
        Totals {
            started: self.counts.runs.started,
            completed: self.counts.runs.completed,
            running: self.counts.running as u64,
            ..Totals::default()
        }
    }

    /// Begins a request.
    pub fn begin(&mut self, request: Option<&str>, key: Option<&str>) -> Begin {
        if let Fault::DieBefore { times } = &mut self.fault
            && take(times)
        {
            return Begin::Drop;
        }
        if self.counts.running >= self.options.limit {
            self.counts.busy += 1;
            return Begin::Busy;
        }
        self.counts.running += 1;
        self.counts.peak = self.counts.peak.max(self.counts.running);
        let run = self.counts.runs.start(request, key);
        let extra = match self.fault {
            Fault::Slow { millis } => Duration::from_millis(millis),
            _ => Duration::ZERO,
        };
        let time = self.options.service_time + extra;
        Begin::Run { run, time }
    }

    /// Ends a run.
    pub fn end(&mut self) -> End {
        debug_assert!(self.counts.running > 0, "a run that ends has begun");
        self.counts.running -= 1;
        if let Fault::DieAfter { times } = &mut self.fault
            && take(times)
        {
            self.counts.runs.crashed += 1;
            return End::Drop;
        }
        self.counts.runs.completed += 1;
        End::Answer
    }

    /// Ends a run whose caller went away; the run itself has happened.
    pub fn abandon(&mut self) {
        debug_assert!(self.counts.running > 0, "a run that ends has begun");
        self.counts.running -= 1;
        self.counts.runs.cancelled += 1;
    }
}

fn take(times: &mut u64) -> bool {
    let left = *times;
    *times = left.saturating_sub(1);
    left > 0
}
