//! Another agent's row, as far as it is known.

use std::time::Instant;

use entity::{Cost, Incarnation, TeamId};
use rustc_hash::FxHashMap;

use crate::message::LedgerDelta;

/// What is known of one team in a row.
#[derive(Clone, Copy, Default, Debug)]
pub(super) struct Known {
    /// The newest total of service.
    pub(super) service: Option<Cost>,
    /// What was expected at that time of running and pulled requests.
    pub(super) pending: Cost,
    /// The reader's own service when the row was last heard, in steps.
    pub(super) snap: i64,
    /// When the row was last heard.
    pub(super) touched: Option<Instant>,
}

/// One row.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) heard: Instant,
    /// When the row was first heard. Until a team's time of rest has passed since
    /// then, the first total of a team may date from before.
    pub(super) met: Instant,
    pub(super) totals: FxHashMap<TeamId, Known>,
}

impl Row {
    pub(super) fn new(now: Instant, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            heard: now,
            met: now,
            totals: FxHashMap::default(),
        }
    }

    /// Whether a delta tells nothing new.
    pub(super) fn is_stale(&self, delta: &LedgerDelta) -> bool {
        let theirs = (delta.incarnation, delta.sequence);
        theirs <= (self.incarnation, self.sequence)
    }
}
