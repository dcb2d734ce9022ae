//! The choice of a target for a request that need not wait.
//!
//! The order is: free slots before unknown load, the own data centre before
//! others, a cached prefix before none. Among equals the router compares two at
//! random and takes the one with more free slots, so that routers with the same
//! hints do not all choose the same target.

use std::time::Instant;

use entity::{DataCentreId, PrefixHash, TargetId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rules::Config;
use rustc_hash::FxHashMap;

use crate::load::{LoadTable, Room};

/// The number of prefixes whose last target a router remembers.
const MAX_PREFIXES: usize = 4096;

/// Where prefixes were last served.
#[derive(Clone, Default, Debug)]
pub struct PrefixTable {
    targets: FxHashMap<PrefixHash, TargetId>,
}

impl PrefixTable {
    /// Remembers that `target` holds `prefix`; forgets everything when full.
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

/// What the choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct Chooser<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// The loads as the router knows them.
    pub loads: &'a LoadTable,
    /// Where prefixes are cached.
    pub prefixes: &'a PrefixTable,
    /// The router's data centre, if a rule names it.
    pub centre: Option<DataCentreId>,
}

impl Chooser<'_> {
    /// Chooses among `targets`; `None` if none has room.
    pub fn choose(
        &self,
        now: Instant,
        rng: &mut ChaCha8Rng,
        prefix: Option<PrefixHash>,
        targets: &[TargetId],
    ) -> Option<TargetId> {
        let rank = |target: TargetId| match self.loads.room(now, target) {
            _ if self.config.drain_rule(target).is_some() => None,
            Room::Free(_) => Some((
                0,
                self.is_remote(target),
                !self.prefixes.holds(prefix, target),
            )),
            Room::Unknown => Some((
                1,
                self.is_remote(target),
                !self.prefixes.holds(prefix, target),
            )),
            Room::Full | Room::Unusable => None,
        };
        let best = targets.iter().filter_map(|&target| rank(target)).min()?;
        let equals: Vec<_> = targets
            .iter()
            .copied()
            .filter(|&target| rank(target) == Some(best))
            .collect();
        let one = equals[rng.random_range(0..equals.len())];
        let two = equals[rng.random_range(0..equals.len())];
        let roomier = self.loads.room(now, two) > self.loads.room(now, one);
        Some(if roomier { two } else { one })
    }

    fn is_remote(&self, target: TargetId) -> bool {
        let rule = self.config.targets[target].as_ref();
        rule.map(|rule| rule.centre) != self.centre
    }
}
