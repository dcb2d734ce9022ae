//! State dumps of a router.

use std::collections::BTreeMap;

use entity::Now;

use super::Router;
use crate::dump::{RouterDump, target_dumps, team_dump};

impl Router {
    /// Dumps the router's state.
    pub fn dump(&self, now: Now) -> RouterDump {
        let pending = self.pending.len();
        let Some(config) = &self.config else {
            return RouterDump {
                pending,
                teams: Vec::new(),
                targets: Vec::new(),
            };
        };
        let mut waiting = BTreeMap::new();
        for pool in self.queues.pools() {
            for (key, queue) in self.queues.in_pool(pool) {
                *waiting.entry(key.team).or_insert(0) += queue.len() as u64;
            }
        }
        let teams = waiting.into_iter();
        let teams = teams.filter_map(|(team, waiting)| team_dump(config, team, 0, waiting));
        let usable = |now: Now, target| self.loads.is_usable(now.mono, target);
        RouterDump {
            pending,
            teams: teams.collect(),
            targets: target_dumps(config, now, usable),
        }
    }
}
