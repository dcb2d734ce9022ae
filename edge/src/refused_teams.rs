//! The teams whose requests this router refused lately, for one log line per team
//! and interval.
//!
//! Invariant: the lines of an interval do not depend on the number of refusals, so
//! they are complete when the lines of single refusals are dropped.

use std::time::{Duration, Instant};

use entity::Name;
use policy::direct::fair_share::{FairShares, TeamUsage};
use rustc_hash::FxHashMap;

use node::event::{self, Event, Field};

/// The time between two lines on the same team.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of lines in an interval.
const MAX_LOGGED_TEAMS: usize = 4;

/// The refused requests of a team.
#[derive(Clone, Copy, Default, Debug)]
struct Refused {
    requests: u32,
    tokens: f64,
}

/// Refused requests by team in the current interval.
#[derive(Debug)]
pub(crate) struct RefusedTeams {
    teams: FxHashMap<Name, Refused>,
    interval_start: Instant,
}

impl RefusedTeams {
    /// Creates an empty state; the first interval begins at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            teams: FxHashMap::default(),
            interval_start: now,
        }
    }

    /// Records a refused request of `tokens`.
    pub(crate) fn record(&mut self, team: &Name, tokens: f64) {
        let refused = self.teams.entry(team.clone()).or_default();
        refused.requests += 1;
        refused.tokens += tokens;
    }

    /// Logs the teams with the most refused tokens, once an interval.
    pub(crate) fn log_if_due(&mut self, fair_shares: &mut FairShares, now: Instant) {
        if now.saturating_duration_since(self.interval_start) < LOG_INTERVAL {
            return;
        }
        self.interval_start = now;
        let mut teams: Vec<(Name, Refused)> = self.teams.drain().collect();
        teams.sort_by(|a, b| b.1.tokens.total_cmp(&a.1.tokens).then(a.0.cmp(&b.0)));
        for (team, refused) in teams.iter().take(MAX_LOGGED_TEAMS) {
            log_team(team, *refused, fair_shares.team_usage(team.tag().0, now));
        }
    }
}

fn log_team(team: &Name, refused: Refused, usage: TeamUsage) {
    let whole = |rate: f64| rate as u64;
    let fields: [Field<'_>; 8] = [
        ("team", team),
        ("refused", &refused.requests),
        ("tokens", &whole(refused.tokens)),
        ("requested", &whole(usage.total.requested)),
        ("admitted", &whole(usage.total.admitted)),
        ("own_requested", &whole(usage.own.requested)),
        ("own_admitted", &whole(usage.own.admitted)),
        ("share", &whole(usage.fair_share)),
    ];
    event::log(Event::TeamRefused, &fields);
}
