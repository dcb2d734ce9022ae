//! How the places of the requests in progress at this router are divided among teams.
//!
//! The load: a team that sends ten times the requests of another to the same router.
//! By order of arrival it takes ten times the places, whatever the other gets from the
//! fleet.
//!
//! Invariant: a team that asks for less than an even part of the places is refused by
//! none of the others' demand.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

/// The time over which refused requests count as demand.
pub const DEMAND_TIME: Duration = Duration::from_secs(1);

/// The requests of a team.
#[derive(Clone, Copy, Default, Debug)]
struct TeamDemand {
    in_progress: usize,
    /// Refused in the current and in the previous [`DEMAND_TIME`].
    refused: [usize; 2],
}

impl TeamDemand {
    fn total(self) -> usize {
        self.in_progress + self.refused.into_iter().max().unwrap_or(0)
    }
}

/// The requests of all teams at this router.
#[derive(Clone, Debug)]
pub struct TeamPlaces {
    teams: FxHashMap<u64, TeamDemand>,
    /// The places of a team that asks for more; infinite while all demand fits.
    max_places: f64,
    interval_start: Option<Instant>,
}

impl Default for TeamPlaces {
    fn default() -> Self {
        Self {
            teams: FxHashMap::default(),
            max_places: f64::INFINITY,
            interval_start: None,
        }
    }
}

impl TeamPlaces {
    /// Records that a request of a team began.
    pub fn begin(&mut self, team: u64) {
        self.teams.entry(team).or_default().in_progress += 1;
    }

    /// Records that a request of a team ended.
    pub fn end(&mut self, team: u64) {
        if let Some(demand) = self.teams.get_mut(&team) {
            demand.in_progress = demand.in_progress.saturating_sub(1);
        }
    }

    /// Records that a request of a team was refused for lack of places.
    pub fn record_refused(&mut self, team: u64) {
        self.teams.entry(team).or_default().refused[0] += 1;
    }

    /// Divides this number of places, if there is a limit, by the demand of
    /// [`DEMAND_TIME`].
    pub fn divide(&mut self, places: Option<f64>, now: Instant) {
        let interval_start = *self.interval_start.get_or_insert(now);
        if now.saturating_duration_since(interval_start) >= DEMAND_TIME {
            self.interval_start = Some(now);
            for demand in self.teams.values_mut() {
                demand.refused = [0, demand.refused[0]];
            }
            self.teams.retain(|_, demand| demand.total() > 0);
        }
        let demands = self.teams.values().map(|demand| demand.total());
        self.max_places = match places {
            Some(places) => max_min_places(demands.collect(), places),
            None => f64::INFINITY,
        };
    }

    /// Whether a team may have one more request in progress.
    pub fn allows(&self, team: u64) -> bool {
        let in_progress = self.teams.get(&team).map_or(0, |demand| demand.in_progress);
        (in_progress as f64) < self.max_places
    }
}

/// The number to which demands must be capped so that their sum is `places`; infinite if
/// it is not above that.
fn max_min_places(mut demands: SmallVec<[usize; 32]>, places: f64) -> f64 {
    demands.sort_unstable();
    let mut remaining = places;
    let mut teams = demands.len();
    for demand in demands {
        let even = remaining / teams as f64;
        if demand as f64 > even {
            return even.max(1.0);
        }
        remaining -= demand as f64;
        teams -= 1;
    }
    f64::INFINITY
}
