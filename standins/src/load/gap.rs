//! The fairness gap over time.
//!
//! For two teams that both had work waiting over a whole interval, the gap is
//! the difference of the service they got in it, each divided by its weight.
//! The tracker reports the greatest such difference over all pairs of teams and
//! all intervals that end now.

use serde::{Deserialize, Serialize};

/// A team at one sample.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Sample {
    /// Service so far, divided by the team's weight.
    pub service: f64,
    /// Whether work waits.
    pub waiting: bool,
}

/// The greatest gap at one time.
#[derive(Clone, Copy, Default, PartialEq, Debug, Serialize, Deserialize)]
pub struct Gap {
    /// The gap, in tokens per unit of weight.
    pub tokens: f64,
    /// The teams with the gap, the better served one first.
    pub teams: Option<(usize, usize)>,
}

#[derive(Clone, Copy, Debug)]
struct Range {
    least: f64,
    most: f64,
}

/// Follows the gap of all pairs of teams.
#[derive(Clone, Debug)]
pub struct GapTracker {
    teams: usize,
    pairs: Vec<Option<Range>>,
    greatest: Vec<f64>,
}

impl GapTracker {
    /// Creates a tracker for a number of teams.
    pub fn new(teams: usize) -> Self {
        Self {
            teams,
            pairs: vec![None; teams * teams],
            greatest: vec![0.0; teams],
        }
    }

    /// Takes a sample of all teams and returns the greatest gap now.
    pub fn sample(&mut self, samples: &[Sample]) -> Gap {
        debug_assert_eq!(samples.len(), self.teams, "one sample for each team");
        let mut worst = Gap::default();
        for (a, first) in samples.iter().enumerate() {
            for (b, second) in samples.iter().enumerate().skip(a + 1) {
                let pair = &mut self.pairs[a * self.teams + b];
                if !first.waiting || !second.waiting {
                    *pair = None;
                    continue;
                }
                let difference = first.service - second.service;
                let range = pair.get_or_insert(Range {
                    least: difference,
                    most: difference,
                });
                range.least = range.least.min(difference);
                range.most = range.most.max(difference);
                let ahead = difference - range.least;
                let behind = range.most - difference;
                let (tokens, teams) = match ahead >= behind {
                    true => (ahead, (a, b)),
                    false => (behind, (b, a)),
                };
                self.greatest[a] = self.greatest[a].max(tokens);
                self.greatest[b] = self.greatest[b].max(tokens);
                if tokens > worst.tokens {
                    let teams = Some(teams);
                    worst = Gap { tokens, teams };
                }
            }
        }
        worst
    }

    /// The greatest gap that each team was part of.
    pub fn greatest(&self) -> &[f64] {
        &self.greatest
    }
}
