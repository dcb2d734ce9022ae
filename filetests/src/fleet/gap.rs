//! Measurement of the service gap between teams.

use entity::Cost;

use super::FleetSettings;

/// Measures the largest difference of service per weight between teams over any interval.
///
/// Keeps the minimum and maximum service difference for each pair of teams; the gap is
/// the distance between the two.
#[derive(Clone, Debug)]
pub struct ServiceGaps {
    weights: Vec<f64>,
    ended: Vec<f64>,
    service: Vec<f64>,
    range: Vec<(f64, f64)>,
    /// The maximum actual cost in flight.
    pub in_flight: Cost,
}

impl ServiceGaps {
    pub(super) fn new(settings: &FleetSettings) -> Self {
        let teams = settings.teams.len();
        Self {
            weights: settings
                .teams
                .iter()
                .map(|team| f64::from(team.weight))
                .collect(),
            ended: vec![0.0; teams],
            service: vec![0.0; teams],
            range: Vec::new(),
            in_flight: Cost::ZERO,
        }
    }

    pub(super) fn ended(&mut self, team: usize, cost: Cost) {
        self.ended[team] += cost.0 as f64;
    }

    /// Samples the service of all teams.
    pub(super) fn sample(&mut self, running: impl Iterator<Item = (usize, Cost, Cost)>) {
        self.service.clone_from(&self.ended);
        let mut in_flight = Cost::ZERO;
        for (team, delivered, cost) in running {
            self.service[team] += delivered.0 as f64;
            in_flight += cost;
        }
        self.in_flight = self.in_flight.max(in_flight);
        let teams = self.service.len();
        let mut differences = Vec::with_capacity(teams * teams / 2);
        for one in 0..teams {
            for two in one + 1..teams {
                let portion = |team: usize| self.service[team] / self.weights[team];
                differences.push(portion(one) - portion(two));
            }
        }
        if self.range.is_empty() {
            self.range = differences
                .iter()
                .map(|&difference| (difference, difference))
                .collect();
        }
        for (range, difference) in self.range.iter_mut().zip(differences) {
            range.0 = range.0.min(difference);
            range.1 = range.1.max(difference);
        }
    }

    /// Starts a new measurement.
    pub fn reset(&mut self) {
        self.range.clear();
    }

    /// The gap in cost units per weight.
    pub fn max_gap(&self) -> f64 {
        let gaps = self.range.iter().map(|(least, most)| most - least);
        gaps.fold(0.0, f64::max)
    }

    /// The service of each team.
    pub fn service(&self) -> &[f64] {
        &self.service
    }
}
