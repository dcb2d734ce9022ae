//! Another agent's row, as far as it is known.

use std::time::Instant;

use entity::{Cost, Incarnation, TeamId};
use rustc_hash::FxHashMap;

use crate::message::LedgerDelta;

/// The part of a new rate in the average, for each second that it spans.
const RATE_GAIN: f64 = 0.5;

/// What is known of one team in a row.
#[derive(Clone, Copy, Default, Debug)]
pub(super) struct Known {
    /// The newest total.
    pub(super) total: Option<Cost>,
    /// The reader's own service when the row was last heard, in steps.
    pub(super) snap: i64,
    /// The rate at which the row grows, in steps per second.
    pub(super) rate: f64,
    /// When the row was last heard.
    pub(super) touched: Option<Instant>,
}

impl Known {
    /// The rate after a growth by `gained` steps in `elapsed` seconds.
    pub(super) fn next_rate(&self, gained: i64, elapsed: f64) -> f64 {
        if elapsed <= 0.0 {
            return self.rate;
        }
        let gain = (RATE_GAIN * elapsed).min(1.0);
        self.rate + (gained as f64 / elapsed - self.rate) * gain
    }
}

/// One row.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) heard: Instant,
    /// When the row was last heard, in seconds since the reader's start.
    pub(super) at: f64,
    pub(super) totals: FxHashMap<TeamId, Known>,
}

impl Row {
    pub(super) fn new(now: Instant, at: f64, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            heard: now,
            at,
            totals: FxHashMap::default(),
        }
    }

    /// Whether a delta tells nothing new.
    pub(super) fn is_stale(&self, delta: &LedgerDelta) -> bool {
        let theirs = (delta.incarnation, delta.sequence);
        theirs <= (self.incarnation, self.sequence)
    }
}
