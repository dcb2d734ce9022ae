//! What is known of the prompt parts that targets keep, between the exchange, the calls to
//! targets and the traffic thread.

use std::time::Duration;

use policy::direct::exchange::Moment;
use policy::direct::kept::KeptRow;
use policy::direct::kept_watch::START_DELAY;
use policy::direct::target_table::incarnation_tag;
use rustc_hash::FxHashSet;

use super::{Gossip, member_tag};
use crate::kept_events::KeptEvents;
use crate::shared::KeptCounts;

/// The time after which targets are divided anew although no router came or went: their
/// list may have changed.
const DIVIDE_PERIOD: Duration = Duration::from_millis(500);

impl Gossip {
    /// Hands uses of the traffic thread, and what targets said, to the exchange.
    pub(super) fn update_kept(&mut self, now: Moment) {
        let own = self.shared.take_local_kept();
        let Some(kept_events) = &mut self.kept_events else {
            return;
        };
        kept_events.metrics().record_rows("self", own.len());
        let mut rows = kept_events.rows_of_used(&own);
        rows.extend(kept_events.take_rows(|target| self.exchange.known_parts(target), now.mono));
        kept_events.metrics().record_rows("target", rows.len());
        self.exchange.add_kept(own, now);
        self.exchange.add_kept(rows.iter().copied(), now);
        self.shared.add_peer_kept(rows);
        if now.mono.saturating_duration_since(self.started) < START_DELAY {
            return;
        }
        let since = now.mono.saturating_duration_since(self.divided_at);
        let basis = self.exchange.roster(now.mono);
        if self.divided_by.replace(basis) != Some(basis) || since >= DIVIDE_PERIOD {
            self.divided_at = now.mono;
            self.divide_targets(now);
        }
        if let Some(kept_events) = &mut self.kept_events {
            kept_events.start_calls(now.mono);
        }
    }

    /// Divides the targets among the routers that ask them.
    fn divide_targets(&mut self, now: Moment) {
        let Some(kept_events) = &mut self.kept_events else {
            return;
        };
        let registry = self.shared.registry.load();
        let config = self.shared.config.load();
        kept_events.set_registry(&registry, config.as_ref(), now.mono);
        match self.exchange.watchers() {
            Some((own, others)) => {
                let others: Vec<u64> = others.into_iter().map(member_tag).collect();
                kept_events.set_watchers(Some((member_tag(own), &others)));
            }
            None => kept_events.set_watchers(None),
        }
        // Before the first listing nothing is known to be gone.
        if !registry.targets.is_empty() {
            let targets = registry.targets.values();
            let tags = targets.map(|(target, _)| incarnation_tag(&target.name, target.born));
            let tags: FxHashSet<u64> = tags.collect();
            self.exchange.retain_kept_targets(|tag| tags.contains(&tag));
        }
    }

    /// Hands news of other routers to the traffic thread.
    pub(super) fn receive_kept(&mut self, rows: Vec<KeptRow>, now: Moment) {
        let Some(kept_events) = self.kept_events.as_mut().filter(|_| !rows.is_empty()) else {
            return;
        };
        kept_events.metrics().record_rows("peer", rows.len());
        let held = kept_events.rows_of_used(&rows);
        self.exchange.add_kept(held.iter().copied(), now);
        self.shared.add_peer_kept(rows);
        self.shared.add_peer_kept(held);
    }

    pub(super) fn kept_counts(&self) -> KeptCounts {
        let (known, waiting) = self.exchange.kept_counts();
        let counts = self.kept_events.as_ref().map(KeptEvents::counts);
        let (watched, calls, held) = counts.unwrap_or_default();
        KeptCounts {
            known,
            waiting,
            watched,
            calls,
            held,
        }
    }
}
