//! What requests cost, learned from their ends.
//!
//! Invariant: an estimate is never below one unit.

use std::collections::VecDeque;

use entity::{Cost, RouteId, TeamId};
use rustc_hash::FxHashMap;

/// The ends that an estimate remembers; an older end counts less.
const MEMORY: f64 = 64.0;

/// The greatest number of (team, route) pairs that are remembered.
const MAX_PAIRS: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f64,
    count: f64,
}

/// Mean costs by team and route, and by team.
#[derive(Clone, Default, Debug)]
pub struct CostTable {
    pairs: FxHashMap<(TeamId, RouteId), Mean>,
    teams: FxHashMap<TeamId, Mean>,
    order: VecDeque<(TeamId, RouteId)>,
}

impl CostTable {
    /// Learns the true cost of a request.
    pub fn learn(&mut self, team: TeamId, route: RouteId, cost: Cost) {
        if !self.pairs.contains_key(&(team, route)) {
            self.order.push_back((team, route));
        }
        if self.order.len() > MAX_PAIRS {
            let oldest = self.order.pop_front().expect("more than the limit");
            self.pairs.remove(&oldest);
            self.teams.remove(&oldest.0);
        }
        self.pairs.entry((team, route)).or_default().add(cost);
        self.teams.entry(team).or_default().add(cost);
    }

    /// The expected cost of a request; `hint` is used until an end was seen.
    pub fn expect(&self, team: TeamId, route: Option<RouteId>, hint: Cost) -> Cost {
        let pair = route.and_then(|route| self.pairs.get(&(team, route)));
        let mean = pair.or_else(|| self.teams.get(&team));
        let cost = mean.map_or(hint, |mean| Cost(mean.value.round() as i64));
        cost.max(Cost(1))
    }
}

impl Default for Mean {
    fn default() -> Self {
        Self {
            value: 0.0,
            count: 0.0,
        }
    }
}

impl Mean {
    fn add(&mut self, cost: Cost) {
        self.count = (self.count + 1.0).min(MEMORY);
        self.value += (cost.0 as f64 - self.value) / self.count;
    }
}
