//! Max-min fair sharing of the pool among teams.
//!
//! The pool's token rate, as configured or as observed from admitted requests, is
//! divided max-min fairly: a team that requests less than an equal share gets all
//! it requests, and the remainder is divided equally among the others. Each
//! router measures the request and admission rates of teams and adds those
//! reported by its peers.
//!
//! Invariant: rates decay with the same half-life for every team, so their order
//! does not depend on when a team was last active.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::direct::continued::ContinuedWork;
use crate::direct::service_bound::{Bound, ServiceBound};
use crate::direct::spare_capacity::SpareCapacity;

/// The half-life of a measured rate without new requests.
pub(crate) const HALF_LIFE: Duration = Duration::from_millis(1500);

/// The interval at which the fair share is recomputed.
const FAIR_SHARE_INTERVAL: Duration = Duration::from_millis(100);

/// The rate in tokens per second below which a team is no longer tracked.
pub(crate) const MIN_TRACKED_RATE: f64 = 1.0;

/// The factor on the admitted rate that allows for requests in flight.
const IN_FLIGHT_FACTOR: f64 = 1.02;

/// The wait factor of a team that just reached its share.
const OVER_SHARE_FACTOR: f64 = 0.8;

/// The exponent with which the wait factor falls beyond the share.
const OVER_SHARE_EXPONENT: f64 = 2.0;

/// The exponent with which the wait factor within the share depends on the
/// admitted rate.
const ADMITTED_EXPONENT: f64 = 0.5;

/// The minimum wait factor of a team within its share.
pub const MIN_WAIT_FACTOR: f64 = 0.65;

/// The maximum wait factor.
pub const MAX_WAIT_FACTOR: f64 = 1.8;

/// The half-life of the size of the largest requests, in half-lives of a rate.
const LARGEST_REQUEST_HALF_LIVES: u32 = 4;

/// The number of the largest requests in [`SPARED_WINDOW`] by which a team may fall
/// short of what is fair.
const SPARED_REQUESTS: f64 = 3.0;

const SPARED_WINDOW: Duration = Duration::from_secs(6);

/// The rates of one team, in tokens per second.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct TeamRate {
    /// The rate of all requests that some target could run, with an estimate of those
    /// that were not read.
    pub requested: f64,
    /// The rate of requests that were sent to a target, without those that ended before
    /// they began to run.
    pub admitted: f64,
}

/// A team's rates and share as known to one router.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct TeamUsage {
    /// The rates of requests at this router.
    pub own: TeamRate,
    /// The rates of requests at all routers.
    pub total: TeamRate,
    /// The fair share in tokens per second; infinite while the pool covers all demands.
    pub fair_share: f64,
}

#[derive(Clone, Copy, Debug)]
struct Meter {
    rate: TeamRate,
    /// The part of the requested rate that was read.
    read: Arrivals,
    updated_at: Instant,
}

/// A decaying sum of requests.
#[derive(Clone, Copy, Default, Debug)]
struct Arrivals {
    tokens: f64,
    requests: f64,
}

impl Meter {
    fn decay_to(&mut self, now: Instant) {
        let factor = decay(now.saturating_duration_since(self.updated_at));
        self.rate.requested *= factor;
        self.rate.admitted *= factor;
        self.read.tokens *= factor;
        self.read.requests *= factor;
        self.updated_at = now;
    }
}

/// The rates and fair shares of teams, keyed by the tag of the team's name.
#[derive(Clone, Debug)]
pub struct FairShares {
    pool_rate: f64,
    own: FxHashMap<u64, Meter>,
    peers: FxHashMap<u64, TeamRate>,
    fair_share: f64,
    /// The admitted rate of an average team.
    mean_admitted: f64,
    team_count: usize,
    computed_at: Option<Instant>,
    /// The requests shed since the last report.
    shed: u32,
    largest_request: LargestRequest,
    service_bound: ServiceBound,
    /// What teams beyond their share may use, if they may.
    spare_capacity: Option<SpareCapacity>,
    continued: ContinuedWork,
}

/// The size of the largest requests seen, which falls slowly.
#[derive(Clone, Copy, Debug, Default)]
struct LargestRequest {
    tokens: f64,
    updated_at: Option<Instant>,
}

impl LargestRequest {
    fn record(&mut self, tokens: f64, now: Instant) {
        self.tokens = self.at(now).max(tokens);
        self.updated_at = Some(now);
    }

    fn at(&self, now: Instant) -> f64 {
        let updated_at = self.updated_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(updated_at);
        self.tokens * decay(elapsed / LARGEST_REQUEST_HALF_LIVES)
    }
}

impl FairShares {
    /// Creates the state for a pool that generates `pool_rate` tokens per second.
    pub fn new(pool_rate: f64) -> Self {
        Self {
            pool_rate,
            own: FxHashMap::default(),
            peers: FxHashMap::default(),
            fair_share: f64::INFINITY,
            mean_admitted: 0.0,
            team_count: 0,
            computed_at: None,
            shed: 0,
            largest_request: LargestRequest::default(),
            service_bound: ServiceBound::default(),
            spare_capacity: None,
            continued: ContinuedWork::default(),
        }
    }

    /// Lets teams beyond their share use capacity that would be idle.
    pub fn use_spare_capacity(&mut self, now: Instant) {
        self.spare_capacity = Some(SpareCapacity::new(now));
    }

    /// Sets the configured rate of the pool in tokens per second; 0 if not
    /// configured.
    pub fn set_pool_rate(&mut self, pool_rate: f64) {
        self.pool_rate = pool_rate;
    }

    /// Records a request of `tokens` by a team.
    pub fn record_request(&mut self, team: u64, tokens: f64, now: Instant) {
        self.largest_request.record(tokens, now);
        let meter = self.meter(team, now);
        meter.rate.requested += tokens / time_constant();
        meter.read.tokens += tokens;
        meter.read.requests += 1.0;
    }

    /// Records that a request cannot run for want of a target, whatever the load.
    pub fn withdraw_request(&mut self, team: u64, tokens: f64, now: Instant) {
        let requested = &mut self.meter(team, now).rate.requested;
        *requested = (*requested - tokens / time_constant()).max(0.0);
    }

    /// Records a request that was shed before its team was known.
    pub fn record_shed(&mut self) {
        self.shed = self.shed.saturating_add(1);
    }

    /// Records that a request of a team was sent to a target.
    pub fn record_admitted(&mut self, team: u64, tokens: f64, now: Instant) {
        self.meter(team, now).rate.admitted += tokens / time_constant();
        self.service_bound.record_sent(team, tokens);
    }

    /// Records that a request sent at `sent_at` ended before it began to run.
    pub fn record_unbegun(&mut self, team: u64, tokens: f64, sent_at: Instant, now: Instant) {
        let remaining = decay(now.saturating_duration_since(sent_at));
        let admitted = &mut self.meter(team, now).rate.admitted;
        *admitted = (*admitted - tokens / time_constant() * remaining).max(0.0);
        self.service_bound.record_sent(team, -tokens);
    }

    /// Replaces the sums of the rates that peers report.
    pub fn set_peers(&mut self, peers: FxHashMap<u64, TeamRate>) {
        self.peers = peers;
    }

    /// The admitted rate of a team as a multiple of its max-min fair share.
    pub fn share_usage(&mut self, team: u64, now: Instant) -> f64 {
        self.update_fair_share(now);
        let admitted = self.total(team, now).admitted;
        match self.fair_share.is_finite() {
            true => admitted / self.fair_share.max(MIN_TRACKED_RATE),
            false => 0.0,
        }
    }

    /// The factor by which a team's allowed wait at targets is multiplied.
    ///
    /// A team beyond its share may wait only at targets where few others wait.
    /// Within the share, teams with a low admitted rate are preferred over those
    /// with a high one, so that teams whose demand exceeds the capacity converge
    /// to equal rates.
    pub fn wait_factor(&mut self, team: u64, now: Instant) -> f64 {
        let share_usage = self.share_usage(team, now);
        if share_usage > 1.0 {
            // Several teams may exceed their share; the one with the highest rate
            // has to wait longest.
            return OVER_SHARE_FACTOR / share_usage.powf(OVER_SHARE_EXPONENT);
        }
        let admitted = self.total(team, now).admitted;
        match self.mean_admitted > 0.0 && admitted > 0.0 {
            true => (self.mean_admitted / admitted)
                .powf(ADMITTED_EXPONENT)
                .clamp(MIN_WAIT_FACTOR, MAX_WAIT_FACTOR),
            // No request of the team was admitted recently.
            false => MAX_WAIT_FACTOR,
        }
    }

    /// Whether a stream of a team that has begun is preferred to new requests: it is not held
    /// back, and may wait as long as a request of the least served team.
    pub fn is_continued_preferred(&mut self, team: u64, now: Instant) -> bool {
        let share = self.continued_share(team, now);
        self.continued.is_preferred(team, share, now)
    }

    /// Records that a preferred stream was sent to a target.
    pub fn record_continued(&mut self, team: u64, tokens: f64, now: Instant) {
        let share = self.continued_share(team, now);
        self.continued.record(team, tokens, share, now);
    }

    /// The part of a team's share that this router may use for preferred streams, in
    /// proportion to the team's demand here. The admitted rate, from which the fair share is
    /// taken, is low after a restart of all routers, so an even part of the configured rate
    /// counts as well.
    fn continued_share(&mut self, team: u64, now: Instant) -> f64 {
        self.update_fair_share(now);
        let even_share = self.pool_rate / self.team_count.max(1) as f64;
        let own = self.own_rate(team, now).requested;
        let total = self.total(team, now).requested;
        self.fair_share.max(even_share) * (own / total.max(MIN_TRACKED_RATE)).min(1.0)
    }

    /// The time by which a request of a team beyond its share may delay others; `None` if
    /// the team is within its share, or must not use spare capacity.
    pub fn excess_delay(
        &mut self,
        team: u64,
        min_objective: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let is_beyond = self.share_usage(team, now) > 1.0;
        let spare_capacity = self.spare_capacity.filter(|_| is_beyond)?;
        Some(spare_capacity.max_delay(min_objective, now))
    }

    /// The part of the spare capacity that may be used at the moment, from 0 to 1; `None` if
    /// none is ever used.
    pub fn spare_fraction(&mut self, now: Instant) -> Option<f64> {
        self.update_fair_share(now);
        self.spare_capacity.map(|it| it.fraction(now))
    }

    /// Records that a request of a team was refused for load.
    pub fn record_refused(&mut self, team: u64, now: Instant) {
        let is_within = self.share_usage(team, now) <= 1.0;
        if let Some(spare_capacity) = self.spare_capacity.as_mut().filter(|_| is_within) {
            spare_capacity.record_refused(now);
        }
    }

    /// How long to hold back a request of a team while another team is left behind, if
    /// it is held.
    pub fn held_for(&mut self, team: u64, now: Instant) -> Option<Duration> {
        self.update_fair_share(now);
        self.service_bound.bound()?;
        let (own, total) = (self.own_rate(team, now), self.total(team, now));
        self.service_bound.held_for(team, own, total, now)
    }

    /// The bound on the rates of teams, while a team is left behind.
    pub fn bound(&mut self, now: Instant) -> Option<Bound> {
        self.update_fair_share(now);
        self.service_bound.bound()
    }

    /// The fair share in tokens per second of a team that requests more than it
    /// gets; infinite while no team does.
    pub fn fair_share(&self) -> f64 {
        self.fair_share
    }

    /// The rates and the share of a team.
    pub fn team_usage(&mut self, team: u64, now: Instant) -> TeamUsage {
        self.update_fair_share(now);
        TeamUsage {
            own: self.own_rate(team, now),
            total: self.total(team, now),
            fair_share: self.fair_share,
        }
    }

    /// The rates measured by this router for at most `max_teams` teams, highest first.
    pub fn report(&mut self, max_teams: usize, now: Instant) -> Vec<(u64, TeamRate)> {
        self.distribute_shed(now);
        let meters = self.own.iter().map(|(&team, meter)| (team, meter.rate));
        let mut rates: Vec<_> = meters
            .filter(|(_, rate)| rate.requested > MIN_TRACKED_RATE)
            .collect();
        self.own
            .retain(|_, meter| meter.rate.requested > MIN_TRACKED_RATE);
        rates.sort_by(|a, b| b.1.requested.total_cmp(&a.1.requested).then(a.0.cmp(&b.0)));
        rates.truncate(max_teams);
        rates
    }

    /// Adds the requests shed since the last report to the teams' requested work, as if
    /// they were like those that were read lately.
    fn distribute_shed(&mut self, now: Instant) {
        for meter in self.own.values_mut() {
            meter.decay_to(now);
        }
        let read: f64 = self.own.values().map(|meter| meter.read.requests).sum();
        let shed = f64::from(std::mem::take(&mut self.shed));
        if read <= 0.0 {
            return;
        }
        for meter in self.own.values_mut() {
            let tokens = meter.read.tokens * shed / read;
            meter.rate.requested += tokens / time_constant();
        }
    }

    fn meter(&mut self, team: u64, now: Instant) -> &mut Meter {
        let new_meter = || Meter {
            rate: TeamRate::default(),
            read: Arrivals::default(),
            updated_at: now,
        };
        let meter = self.own.entry(team).or_insert_with(new_meter);
        meter.decay_to(now);
        meter
    }

    fn own_rate(&self, team: u64, now: Instant) -> TeamRate {
        self.own.get(&team).map_or(TeamRate::default(), |meter| {
            let factor = decay(now.saturating_duration_since(meter.updated_at));
            TeamRate {
                requested: meter.rate.requested * factor,
                admitted: meter.rate.admitted * factor,
            }
        })
    }

    fn total(&self, team: u64, now: Instant) -> TeamRate {
        let own = self.own_rate(team, now);
        let peers = self.peers.get(&team).copied().unwrap_or_default();
        TeamRate {
            requested: own.requested + peers.requested,
            admitted: own.admitted + peers.admitted,
        }
    }

    fn update_fair_share(&mut self, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < FAIR_SHARE_INTERVAL;
        if self.computed_at.is_some_and(is_recent) {
            return;
        }
        self.computed_at = Some(now);
        let teams = self.own.keys().chain(self.peers.keys());
        let mut teams: SmallVec<[u64; 64]> = teams.copied().collect();
        teams.sort_unstable();
        teams.dedup();
        let rates = teams.iter().map(|&team| (team, self.total(team, now)));
        let rates: SmallVec<[(u64, TeamRate); 64]> = rates.collect();
        let requested: Vec<f64> = rates.iter().map(|(_, rate)| rate.requested).collect();
        let admitted: f64 = rates.iter().map(|(_, rate)| rate.admitted).sum();
        self.team_count = requested.len();
        self.mean_admitted = admitted / requested.len().max(1) as f64;
        // While some requests are refused, the admitted rate shows the current
        // capacity of the pool.
        let capacity = admitted * IN_FLIGHT_FACTOR;
        let pool_rate = if self.pool_rate > 0.0 {
            self.pool_rate.min(capacity)
        } else {
            capacity
        };
        self.fair_share = max_min_share(requested, pool_rate);
        let spared = self.largest_request.at(now) * SPARED_REQUESTS / SPARED_WINDOW.as_secs_f64();
        self.service_bound
            .update(&rates, self.fair_share, spared, now);
        if let Some(spare_capacity) = &mut self.spare_capacity {
            spare_capacity.update(rates.iter().map(|&(_, rate)| rate), self.fair_share);
        }
    }
}

/// The level to which demands must be capped so that their sum is `pool_rate`;
/// infinite if the pool covers all demands or its rate is unknown.
fn max_min_share(mut requested: Vec<f64>, pool_rate: f64) -> f64 {
    if pool_rate <= 0.0 || requested.iter().sum::<f64>() <= pool_rate {
        return f64::INFINITY;
    }
    requested.sort_by(f64::total_cmp);
    let mut remaining = pool_rate;
    for (index, &demand) in requested.iter().enumerate() {
        let equal_share = remaining / (requested.len() - index) as f64;
        if demand > equal_share {
            return equal_share;
        }
        remaining -= demand;
    }
    f64::INFINITY
}

/// The factor by which a rate falls in a time without new requests.
pub(crate) fn decay(elapsed: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// The time constant of the decaying sums, in seconds. Dividing a sum by it gives
/// the average rate.
fn time_constant() -> f64 {
    HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2
}
