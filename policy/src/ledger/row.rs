//! The row of another agent, as received in its deltas.

use std::time::Instant;

use entity::{Cost, Incarnation, TeamId};
use rustc_hash::FxHashMap;

use crate::message::LedgerDelta;

/// The entry of one team in a row.
#[derive(Clone, Copy, Default, Debug)]
pub(super) struct TeamEntry {
    /// The newest total of completed service.
    pub(super) service: Option<Cost>,
    /// The expected service of running and pulled requests at that time.
    pub(super) pending: Cost,
    /// The receiving agent's own service when the row's last delta arrived, in steps.
    pub(super) own_at_delta: i64,
    /// When the entry was last updated.
    pub(super) last_updated: Option<Instant>,
}

/// The row of one agent.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    pub(super) last_heard: Instant,
    /// When the row's first delta arrived. Until the time after which an inactive team is
    /// dropped has passed since then, the first total of a team may include service that
    /// was given before.
    pub(super) first_heard: Instant,
    pub(super) totals: FxHashMap<TeamId, TeamEntry>,
}

impl Row {
    pub(super) fn new(now: Instant, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            last_heard: now,
            first_heard: now,
            totals: FxHashMap::default(),
        }
    }

    /// Whether a delta is not newer than the row.
    pub(super) fn is_stale(&self, delta: &LedgerDelta) -> bool {
        let theirs = (delta.incarnation, delta.sequence);
        theirs <= (self.incarnation, self.sequence)
    }
}
