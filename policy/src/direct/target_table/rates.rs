//! The rates of all targets of a router.
//!
//! Invariant: nothing is learned or applied before [`TargetTable::learn_rates`].

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

use super::{TargetEntry, TargetEntryId, TargetTable};
use crate::direct::target_rate::RateRow;

/// The time between two updates of the rates of targets.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

impl TargetTable {
    /// Turns on that the rate of each target is learned.
    pub fn learn_rates(&mut self) {
        self.learns_rates = true;
    }

    /// Records the time between two events of a stream.
    pub fn record_step(&mut self, id: TargetEntryId, step: Duration, now: Instant) {
        if self.learns_rates {
            self.entries[id].rate.record_step(step, now);
        }
    }

    /// Applies the rates that peers report.
    pub fn set_peer_rates(&mut self, rows: &[RateRow], now: Instant) {
        if !self.learns_rates {
            return;
        }
        let rows: FxHashMap<u64, RateRow> = rows.iter().map(|row| (row.target, *row)).collect();
        for entry in self.entries.values_mut() {
            if let Some(row) = rows.get(&entry.tag) {
                entry.rate.set_peers(*row, now);
            }
        }
    }

    /// Ends an interval of observations of each target and updates the rates if that is
    /// due, given the `configured` rate of the settings. Returns the targets whose level
    /// changed.
    ///
    /// The observations count only if the router was on time.
    pub fn update_rates(
        &mut self,
        is_on_time: bool,
        configured: f64,
        now: Instant,
    ) -> Vec<TargetEntryId> {
        if !self.learns_rates {
            return Vec::new();
        }
        for entry in self.entries.values_mut() {
            entry.rate.end_interval(is_on_time, now);
        }
        let elapsed = self.rates_at.map(|at| now.saturating_duration_since(at));
        if elapsed.is_some_and(|elapsed| elapsed < UPDATE_INTERVAL) {
            return Vec::new();
        }
        self.rates_at = Some(now);
        let mut changed = Vec::new();
        for ids in self.by_service.values() {
            let mut known = Vec::new();
            for &id in ids {
                let entry = &mut self.entries[id];
                entry.learned_rate = entry.rate.prefill(configured, now);
                let level = entry.rate.update_level(entry.learned_rate, configured);
                if let Some(level) = level {
                    if level != entry.home_level {
                        changed.push(id);
                    }
                    entry.home_level = level;
                    known.push(level);
                }
            }
            known.sort_unstable();
            // A target of unknown rate is as likely a home as the middle one, so that the
            // first rates that become known move few homes.
            let middle = known.get(known.len() / 2).copied().unwrap_or(0);
            for &id in ids {
                let entry = &mut self.entries[id];
                if entry.learned_rate.is_none() {
                    entry.home_level = middle;
                }
            }
        }
        changed.sort_unstable();
        changed
    }

    /// What this router observed itself, to be reported to peers.
    pub fn rate_rows(&self, now: Instant) -> Vec<RateRow> {
        let open = self.entries.values().filter(|entry| entry.accepts_requests);
        let row = |entry: &TargetEntry| entry.rate.own_row(entry.tag, now);
        open.filter_map(row).collect()
    }
}
