//! The fairness gap over time.
//!
//! For two teams that both had work waiting throughout an interval, the gap is
//! the difference between the service they received in it, each divided by the
//! team's weight. The tracker reports the maximum over all pairs of teams and
//! all intervals that end at the current sample.

use serde::{Deserialize, Serialize};

/// The state of a team at one sample.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Sample {
    /// The service received so far, divided by the team's weight.
    pub service: f64,
    /// Whether the team has work waiting.
    pub waiting: bool,
}

/// The greatest gap at one sample.
#[derive(Clone, Copy, Default, PartialEq, Debug, Serialize, Deserialize)]
pub struct Gap {
    /// The gap, in tokens per unit of weight.
    pub tokens: f64,
    /// The two teams, the one that received more service first.
    pub teams: Option<(usize, usize)>,
}

#[derive(Clone, Copy, Debug)]
struct Range {
    min: f64,
    max: f64,
}

/// Tracks the gap between all pairs of teams.
#[derive(Clone, Debug)]
pub struct GapTracker {
    teams: usize,
    pairs: Vec<Option<Range>>,
    max_gaps: Vec<f64>,
}

impl GapTracker {
    /// Creates a tracker for a number of teams.
    pub fn new(teams: usize) -> Self {
        Self {
            teams,
            pairs: vec![None; teams * teams],
            max_gaps: vec![0.0; teams],
        }
    }

    /// Adds a sample of all teams and returns the current greatest gap.
    pub fn sample(&mut self, samples: &[Sample]) -> Gap {
        debug_assert_eq!(samples.len(), self.teams, "one sample for each team");
        let mut greatest_now = Gap::default();
        for (a, first) in samples.iter().enumerate() {
            for (b, second) in samples.iter().enumerate().skip(a + 1) {
                let pair = &mut self.pairs[a * self.teams + b];
                if !first.waiting || !second.waiting {
                    *pair = None;
                    continue;
                }
                let difference = first.service - second.service;
                let range = pair.get_or_insert(Range {
                    min: difference,
                    max: difference,
                });
                range.min = range.min.min(difference);
                range.max = range.max.max(difference);
                let ahead = difference - range.min;
                let behind = range.max - difference;
                let (tokens, teams) = match ahead >= behind {
                    true => (ahead, (a, b)),
                    false => (behind, (b, a)),
                };
                self.max_gaps[a] = self.max_gaps[a].max(tokens);
                self.max_gaps[b] = self.max_gaps[b].max(tokens);
                if tokens > greatest_now.tokens {
                    let teams = Some(teams);
                    greatest_now = Gap { tokens, teams };
                }
            }
        }
        greatest_now
    }

    /// The greatest gap so far that involved each team.
    pub fn max_gaps(&self) -> &[f64] {
        &self.max_gaps
    }
}
