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
//! - No team is held that gets less than the team that is left behind, or that is
//!   within its fair share.

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

/// The ratio at which requests of a team begin to be held, and below which no team is
/// left behind any more.
const HELD_RATIO: f64 = 1.3;

/// The ratio at which all requests of a team are held. A ratio of two is unfair.
const MAX_RATIO: f64 = 1.8;

/// The largest part of a team's demand that is sent while it is held, as a multiple of
/// [`MAX_RATIO`] times the least rate. Without it a team with a large demand swings
/// between all and nothing, since routers hear of each other late.
const MAX_SENT_RATIO: f64 = 2.0;

/// The part of the fair share below which no bound lies.
const FLOOR_FRACTION: f64 = 0.5;

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

    /// `spared` is the rate by which the team may fall short.
    fn update_behind(&mut self, best: f64, spared: f64) {
        let is_refused = self
            .refused
            .is_some_and(|(from, last)| last.saturating_duration_since(from) >= ONSET_TIME);
        let rate = self.rate.admitted + spared;
        let ratio = match self.is_behind {
            true => HELD_RATIO,
            false => BEHIND_RATIO,
        };
        self.is_behind =
            is_refused && self.rate.requested > rate * DEMAND_RATIO && best > rate * ratio;
    }
}

/// The bound that is in force.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Bound {
    /// The least served team that is left behind.
    pub team: u64,
    /// The rates of that team.
    pub rate: TeamRate,
    /// The rate in tokens per second at which requests of other teams begin to be held.
    pub start: f64,
    /// The rate at which all their requests are held.
    pub end: f64,
}

/// Finds teams that are left behind, and holds the others.
#[derive(Clone, Debug, Default)]
pub struct ServiceBound {
    teams: FxHashMap<u64, TeamState>,
    updated_at: Option<Instant>,
    sampled_at: Option<Instant>,
    fair_share: f64,
    bound: Option<Bound>,
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
        self.fair_share = fair_share;
        let admitted = self.teams.values().map(|team| team.rate.admitted);
        let best = admitted.fold(0.0, f64::max);
        for team in self.teams.values_mut() {
            team.update_behind(best, spared);
        }
        let behind = self.teams.iter().filter(|(_, team)| team.is_behind);
        let least = behind.min_by(|(a, x), (b, y)| {
            let by_rate = x.rate.admitted.total_cmp(&y.rate.admitted);
            by_rate.then(a.cmp(b))
        });
        self.bound = least.map(|(&team, state)| {
            let floor = fair_share * FLOOR_FRACTION;
            let rate = state.rate.admitted + spared;
            Bound {
                team,
                rate: state.rate,
                start: (rate * HELD_RATIO).max(floor),
                end: (rate * MAX_RATIO).max(floor * MAX_RATIO / HELD_RATIO),
            }
        });
    }

    /// The bound, while a team is left behind.
    pub fn bound(&self) -> Option<Bound> {
        self.bound
    }

    /// How long to hold back a request of a team with these rates, if it is held.
    /// `draw` is a random number from 0 to 1: a bound that holds a part of the requests
    /// is met in the mean by many routers that know of each other late.
    pub fn held_for(&self, rate: TeamRate, draw: f64) -> Option<Duration> {
        let bound = self.bound?;
        let admitted = rate.admitted;
        if admitted <= self.fair_share.max(bound.start) {
            return None;
        }
        let below_end = (bound.end - admitted) / (bound.end - bound.start);
        let sent = bound.end * MAX_SENT_RATIO / rate.requested.max(admitted);
        let is_sent = draw < below_end.max(0.0) * sent.min(1.0);
        (!is_sent).then(|| time_to_decay(admitted, bound.start))
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
