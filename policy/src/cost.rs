//! Estimates of request costs, from the costs of completed requests.
//!
//! Invariant: an estimate is at least one cost unit.

use std::collections::VecDeque;

use entity::{Cost, RouteId, TeamId};
use rustc_hash::FxHashMap;

/// The sample count at which a mean becomes a moving average, in which older samples
/// weigh less.
const MAX_SAMPLES: f64 = 64.0;

/// The greatest number of (team, route) pairs in the table.
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
    insertion_order: VecDeque<(TeamId, RouteId)>,
}

impl CostTable {
    /// Records the actual cost of a completed request.
    pub fn record(&mut self, team: TeamId, route: RouteId, cost: Cost) {
        if !self.pairs.contains_key(&(team, route)) {
            self.insertion_order.push_back((team, route));
        }
        if self.insertion_order.len() > MAX_PAIRS {
            let oldest = self
                .insertion_order
                .pop_front()
                .expect("more than the limit");
            self.pairs.remove(&oldest);
            self.teams.remove(&oldest.0);
        }
        self.pairs.entry((team, route)).or_default().add(cost);
        self.teams.entry(team).or_default().add(cost);
    }

    /// Estimates the cost of a request; returns `hint` until a cost has been recorded.
    pub fn estimate(&self, team: TeamId, route: Option<RouteId>, hint: Cost) -> Cost {
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
        self.count = (self.count + 1.0).min(MAX_SAMPLES);
        self.value += (cost.0 as f64 - self.value) / self.count;
    }
}
