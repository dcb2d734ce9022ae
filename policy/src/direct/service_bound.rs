//! The bound on the rates of teams while another team is left behind.
//!
//! A factor on the allowed wait tells teams apart only where requests wait. If one
//! team's requests hardly reach the pool, the others meet free targets and get
//! several times as much as it, whatever their wait factors. While a team is refused
//! without a pause and gets much less than the best served team and than it requests,
//! the teams that get more are held to a multiple of its rate.
//!
//! Invariants:
//! - While no team is left behind, no team is held.
//! - The team that is left behind is not held, and each other one may send as much as
//!   that one gets, and its fair share.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

use crate::direct::fair_share::{HALF_LIFE, MIN_TRACKED_RATE, TeamRate, decay};

/// The interval over which requested and admitted work are compared.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a team must have been refused before it counts as left behind.
const ONSET_TIME: Duration = Duration::from_millis(1_500);

/// How long a team counts as refused after the last interval in which it was. It spans
/// the pause in which the balancer moves the team's callers to another router.
const RELEASE_TIME: Duration = Duration::from_millis(1_000);

/// How long a team counts as refused without reports of the routers that refused it.
const MISSING_TIME: Duration = Duration::from_secs(3);

/// The part of a decayed rate below which a rate shows that reports are missing: no
/// rate falls faster than it decays.
const MISSING_FRACTION: f64 = 0.9;

/// The part of a team's mean demand that must be refused in an interval for the team
/// to count as refused there.
const REFUSED_FRACTION: f64 = 0.1;

/// The multiple of its rate that a team must request to be left behind.
const DEMAND_RATIO: f64 = 2.0;

/// The ratio of the best served team's rate to its own at which a team is left behind.
const BEHIND_RATIO: f64 = 1.6;

/// The ratio of the best served team's rate below which the others do not press against
/// the limit.
const NEAR_RATIO: f64 = 1.2;

/// How long the others must not press against the limit until they are free. It spans a
/// burst of the team that is left behind.
const NEAR_TIME: Duration = Duration::from_secs(2);

/// The multiple of the least rate up to which others may send as much as that multiple.
const HELD_RATIO: f64 = 1.4;

/// The multiple of the least rate at which others may send nothing. A ratio of two is
/// unfair.
const MAX_RATIO: f64 = 1.7;

/// The time for which unused work can be saved up. Short, since routers hear late of
/// what others send.
const BURST_TIME: Duration = Duration::from_millis(200);

/// The maximum time for which a request is held.
const MAX_HELD_TIME: Duration = Duration::from_secs(1);

/// What is known of one team.
#[derive(Clone, Copy, Default, Debug)]
struct TeamState {
    /// Its rates. They fall no faster than they decay, so that they outlast the last
    /// report of a router.
    rate: TeamRate,
    /// Its rates at the last sample.
    sampled: TeamRate,
    /// The first and the last sample of the series in which it was refused.
    refused: Option<(Instant, Instant)>,
    /// Whether reports on it are missing.
    is_missing: bool,
    is_behind: bool,
    /// Since when no team gets more than [`NEAR_RATIO`] times as much.
    near_since: Option<Instant>,
}

impl TeamState {
    /// Compares what was requested and admitted since the last sample. The difference
    /// of two decaying rates shows it, and ends with the demand.
    fn sample(&mut self, elapsed: Duration, now: Instant) {
        let remaining = decay(elapsed);
        let requested = self.rate.requested - self.sampled.requested * remaining;
        let admitted = self.rate.admitted - self.sampled.admitted * remaining;
        self.sampled = self.rate;
        let mean_requested = self.rate.requested * (1.0 - remaining);
        let is_refused = requested - admitted > mean_requested * REFUSED_FRACTION;
        let release_time = match self.is_missing {
            true => MISSING_TIME,
            false => RELEASE_TIME,
        };
        self.refused = match self.refused {
            Some((from, _)) if is_refused => Some((from, now)),
            Some((_, last)) if now.saturating_duration_since(last) > release_time => None,
            None if is_refused => Some((now, now)),
            series => series,
        };
    }

    /// Once left behind, a team remains so until its demand is met or the others stay
    /// below the limit by themselves: while they are held they are close to its rate.
    /// `spared` is the rate by which it may fall short.
    fn update_behind(&mut self, best: f64, spared: f64, now: Instant) {
        let is_refused = self
            .refused
            .is_some_and(|(from, last)| last.saturating_duration_since(from) >= ONSET_TIME);
        let rate = self.rate.admitted + spared;
        let lacks = self.rate.requested > rate * DEMAND_RATIO;
        self.near_since = match best < rate * NEAR_RATIO {
            true => self.near_since.or(Some(now)),
            false => None,
        };
        let is_near = self
            .near_since
            .is_some_and(|since| now.saturating_duration_since(since) >= NEAR_TIME);
        let was_behind = self.is_behind && !is_near;
        self.is_behind = is_refused && lacks && (was_behind || best > rate * BEHIND_RATIO);
    }
}

/// The work that a router may still send for a team.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    tokens: f64,
    updated_at: Instant,
}

/// The bound that is in force.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Bound {
    /// The least served team that is left behind.
    pub team: u64,
    /// The rates of that team.
    pub rate: TeamRate,
    /// The work in tokens per second that each other team may send.
    pub limit: f64,
    /// The rate at which another team may send nothing.
    pub max_rate: f64,
}

/// Finds teams that are left behind, and holds the others.
#[derive(Clone, Debug, Default)]
pub struct ServiceBound {
    teams: FxHashMap<u64, TeamState>,
    updated_at: Option<Instant>,
    sampled_at: Option<Instant>,
    bound: Option<Bound>,
    /// What this router may send, by team.
    allowances: FxHashMap<u64, Allowance>,
}

impl ServiceBound {
    /// Updates the bound from the rates of all teams and the fair share. A team is not
    /// left behind if it falls short by less than `spared` tokens per second.
    pub fn update(
        &mut self,
        rates: &[(u64, TeamRate)],
        fair_share: f64,
        spared: f64,
        now: Instant,
    ) {
        self.record_rates(rates, now);
        self.sample_if_due(now);
        let admitted = self.teams.values().map(|team| team.rate.admitted);
        let best = admitted.fold(0.0, f64::max);
        for team in self.teams.values_mut() {
            team.update_behind(best, spared, now);
        }
        let behind = self.teams.iter().filter(|(_, team)| team.is_behind);
        let least = behind.min_by(|(a, x), (b, y)| {
            let by_rate = x.rate.admitted.total_cmp(&y.rate.admitted);
            by_rate.then(a.cmp(b))
        });
        // With an infinite share the pool covers all demand.
        let least = least.filter(|_| fair_share.is_finite());
        self.bound = least.map(|(&team, state)| {
            let rate = state.rate.admitted + spared;
            Bound {
                team,
                rate: state.rate,
                limit: (rate * HELD_RATIO).max(fair_share),
                max_rate: (rate * MAX_RATIO).max(fair_share * (MAX_RATIO / HELD_RATIO)),
            }
        });
        if self.bound.is_none() {
            self.allowances.clear();
        }
    }

    /// The bound, while a team is left behind.
    pub fn bound(&self) -> Option<Bound> {
        self.bound
    }

    /// How long to hold back a request of a team, if it is held, given the team's rates
    /// at this router and in the fleet.
    ///
    /// Routers share the limit in proportion to the team's demand at each, so that they
    /// meet it although they hear late of what others send.
    pub fn held_for(
        &mut self,
        team: u64,
        own: TeamRate,
        total: TeamRate,
        now: Instant,
    ) -> Option<Duration> {
        let bound = self.bound.filter(|bound| bound.team != team)?;
        let above = (total.admitted - bound.limit) / (bound.max_rate - bound.limit);
        let limit = bound.limit * (1.0 - above).clamp(0.0, 1.0);
        let own_part = own.requested / total.requested.max(MIN_TRACKED_RATE);
        let own_limit = (limit * own_part.min(1.0)).max(MIN_TRACKED_RATE);
        let full = own_limit * BURST_TIME.as_secs_f64();
        let allowance = self.allowances.entry(team).or_insert(Allowance {
            tokens: full,
            updated_at: now,
        });
        let elapsed = now.saturating_duration_since(allowance.updated_at);
        allowance.updated_at = now;
        allowance.tokens = (allowance.tokens + own_limit * elapsed.as_secs_f64()).min(full);
        if allowance.tokens > 0.0 && limit > 0.0 {
            return None;
        }
        let refilled = Duration::try_from_secs_f64(-allowance.tokens / own_limit);
        let decayed = time_to_decay(total.admitted, bound.limit);
        let after = refilled.unwrap_or(MAX_HELD_TIME).max(decayed);
        Some(after.min(MAX_HELD_TIME))
    }

    /// Records work of a team that is sent from this router; negative for work that did
    /// not begin.
    pub fn record_sent(&mut self, team: u64, tokens: f64) {
        if let Some(allowance) = self.allowances.get_mut(&team) {
            allowance.tokens -= tokens;
        }
    }

    fn record_rates(&mut self, rates: &[(u64, TeamRate)], now: Instant) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let remaining = decay(now.saturating_duration_since(updated_at));
        for team in self.teams.values_mut() {
            team.rate.requested *= remaining;
            team.rate.admitted *= remaining;
            team.is_missing = true;
        }
        for &(team, rate) in rates {
            let known = self.teams.entry(team).or_default();
            known.is_missing = rate.requested < known.rate.requested * MISSING_FRACTION;
            known.rate.requested = known.rate.requested.max(rate.requested);
            known.rate.admitted = known.rate.admitted.max(rate.admitted);
        }
        self.teams
            .retain(|_, team| team.rate.requested > MIN_TRACKED_RATE);
    }

    fn sample_if_due(&mut self, now: Instant) {
        let sampled_at = *self.sampled_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(sampled_at);
        if elapsed < SAMPLE_INTERVAL {
            return;
        }
        self.sampled_at = Some(now);
        for team in self.teams.values_mut() {
            team.sample(elapsed, now);
        }
    }
}

/// The time in which a rate decays to another one.
fn time_to_decay(from: f64, to: f64) -> Duration {
    HALF_LIFE.mul_f64((from / to.max(MIN_TRACKED_RATE)).log2().max(0.0))
}
