//! What this router turned away before it knew the team, for one log line an interval.
//!
//! Such connections and requests appear in no line of their own while lines are
//! dropped, and in the rates of no team.
//!
//! Invariant: the line of an interval does not depend on the number of rejections.

use std::cell::Cell;
use std::time::{Duration, Instant};

use node::event::{self, Event, Field};

use crate::metrics::{Rejection, TrafficMetrics};

/// The time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a line tells beside the counts, at the end of an interval.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouterState {
    /// The callers' connections.
    pub(crate) connections: usize,
    /// The requests in progress.
    pub(crate) requests: usize,
    /// The peers and relays whose reports are in use.
    pub(crate) reports: usize,
    /// The age of the oldest of those reports.
    pub(crate) oldest_report: Duration,
}

/// Counts of the current interval.
#[derive(Debug)]
pub(crate) struct Rejections {
    interval_start: Cell<Instant>,
    accepted: Cell<u32>,
    shed: Cell<u32>,
    strained: Cell<u32>,
    limited: Cell<u32>,
    max_lag: Cell<Duration>,
    accept_pause: Cell<Duration>,
}

impl Rejections {
    /// Creates an empty state; the first interval begins at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            interval_start: Cell::new(now),
            accepted: Cell::default(),
            shed: Cell::default(),
            strained: Cell::default(),
            limited: Cell::default(),
            max_lag: Cell::default(),
            accept_pause: Cell::default(),
        }
    }

    /// Counts an accepted connection.
    pub(crate) fn record_accepted(&self) {
        self.accepted.set(self.accepted.get() + 1);
    }

    /// Counts what was turned away.
    pub(crate) fn record(&self, rejection: Rejection, metrics: &TrafficMetrics) {
        let count = match rejection {
            Rejection::Connection => &self.shed,
            Rejection::Request => &self.strained,
            Rejection::Limit => &self.limited,
        };
        count.set(count.get() + 1);
        metrics.record_rejection(rejection);
    }

    /// Records the lag of a periodic task.
    pub(crate) fn record_lag(&self, lag: Duration) {
        self.max_lag.set(self.max_lag.get().max(lag));
    }

    /// Records a pause between two batches of accepted connections.
    pub(crate) fn record_pause(&self, pause: Duration) {
        self.accept_pause.set(self.accept_pause.get() + pause);
    }

    /// Logs the counts, once an interval in which anything was turned away.
    pub(crate) fn log_if_due(&self, state: impl FnOnce() -> RouterState, now: Instant) {
        if now.saturating_duration_since(self.interval_start.get()) < LOG_INTERVAL {
            return;
        }
        self.interval_start.set(now);
        let (accepted, shed) = (self.accepted.take(), self.shed.take());
        let (strained, limited) = (self.strained.take(), self.limited.take());
        let lag = self.max_lag.take().as_millis();
        let pause = self.accept_pause.take().as_millis();
        if shed == 0 && strained == 0 && limited == 0 {
            return;
        }
        let state = state();
        let fields: [Field<'_>; 10] = [
            ("accepted", &accepted),
            ("shed", &shed),
            ("strained", &strained),
            ("limited", &limited),
            ("lag_ms", &lag),
            ("pause_ms", &pause),
            ("connections", &state.connections),
            ("requests", &state.requests),
            ("reports", &state.reports),
            ("oldest_ms", &state.oldest_report.as_millis()),
        ];
        event::log(Event::LoadRejected, &fields);
    }
}
