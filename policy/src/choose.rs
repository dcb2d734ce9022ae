//! Target selection for requests that are dispatched without queueing.
//!
//! Targets with free slots are preferred to those of unknown load, then the local
//! data centre to others, then a cached prefix to none. Among equally ranked targets
//! the router samples two at random and takes the one with more free slots, so that
//! routers with the same load hints do not all choose the same target.

use std::time::Instant;

use entity::{DataCentreId, PrefixHash, TargetId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rules::Config;
use rustc_hash::FxHashMap;

use crate::load::{Availability, LoadTable};

/// The greatest number of entries in the prefix table.
const MAX_PREFIXES: usize = 4096;

/// The target that last served each prompt prefix.
#[derive(Clone, Default, Debug)]
pub struct PrefixTable {
    targets: FxHashMap<PrefixHash, TargetId>,
}

impl PrefixTable {
    /// Records that `target` has cached `prefix`; clears the table when it is full.
    pub fn record(&mut self, prefix: PrefixHash, target: TargetId) {
        if self.targets.len() >= MAX_PREFIXES {
            self.targets.clear();
        }
        self.targets.insert(prefix, target);
    }

    fn holds(&self, prefix: Option<PrefixHash>, target: TargetId) -> bool {
        prefix.is_some_and(|prefix| self.targets.get(&prefix) == Some(&target))
    }
}

/// The inputs to target selection.
#[derive(Clone, Copy, Debug)]
pub struct TargetSelector<'a> {
    /// The active configuration.
    pub config: &'a Config,
    /// The last known load of each target.
    pub loads: &'a LoadTable,
    /// The last known location of each prefix.
    pub prefixes: &'a PrefixTable,
    /// The router's data centre, if the configuration defines it.
    pub centre: Option<DataCentreId>,
}

impl TargetSelector<'_> {
    /// Chooses among `targets`; `None` if none of them can accept an attempt.
    pub fn select(
        &self,
        now: Instant,
        rng: &mut ChaCha8Rng,
        prefix: Option<PrefixHash>,
        targets: &[TargetId],
    ) -> Option<TargetId> {
        let rank = |target: TargetId| match self.loads.availability(now, target) {
            _ if self.config.drain_rule(target).is_some() => None,
            Availability::Free(_) => Some((
                0,
                self.is_remote(target),
                !self.prefixes.holds(prefix, target),
            )),
            Availability::Unknown => Some((
                1,
                self.is_remote(target),
                !self.prefixes.holds(prefix, target),
            )),
            Availability::Full | Availability::Unusable => None,
        };
        let best = targets.iter().filter_map(|&target| rank(target)).min()?;
        let best_ranked: Vec<_> = targets
            .iter()
            .copied()
            .filter(|&target| rank(target) == Some(best))
            .collect();
        let first = best_ranked[rng.random_range(0..best_ranked.len())];
        let second = best_ranked[rng.random_range(0..best_ranked.len())];
        let prefer_second =
            self.loads.availability(now, second) > self.loads.availability(now, first);
        Some(if prefer_second { second } else { first })
    }

    fn is_remote(&self, target: TargetId) -> bool {
        let rule = self.config.targets[target].as_ref();
        rule.map(|rule| rule.centre) != self.centre
    }
}
