//! Which teams are beyond their share of the pool.
//!
//! The pool's rate, as operators state it or as it shows in what is placed, is
//! divided max-min: a team that asks for less than an even
//! share gets all it asks for, and the rest is divided evenly among the others.
//! Each router measures what teams ask for and get from it and adds what its
//! peers report.
//!
//! Invariant: rates decay with the same half-life for every team, so their order
//! does not depend on when a team was last seen.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

/// The time in which a measured rate halves without new requests.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// How often the level is worked out anew.
const LEVEL_AGE: Duration = Duration::from_millis(100);

/// The rate in tokens per second below which a team is forgotten.
const LEAST_RATE: f64 = 1.0;

/// The factor on what is placed that allows for requests under way.
const PRODUCED_SLACK: f64 = 1.02;

/// The factor for a team that just reached its share.
const OVER_FAVOUR: f64 = 0.8;

/// How strongly the factor falls beyond the share.
const OVER_EXPONENT: f64 = 2.0;

/// How strongly the factor depends on what was placed for a team.
const SIZE_EXPONENT: f64 = 0.5;

/// The least factor for a team within its share.
pub const LEAST_FAVOUR: f64 = 0.65;

/// The greatest factor.
const MOST_FAVOUR: f64 = 1.8;

/// Tokens per second that a team asks for and gets.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct TeamRate {
    /// What it asks for.
    pub asked: f64,
    /// What was placed for it.
    pub placed: f64,
}

#[derive(Clone, Copy, Debug)]
struct Meter {
    rate: TeamRate,
    seen: Instant,
}

impl Meter {
    fn fade(&mut self, now: Instant) {
        let factor = decay(now.saturating_duration_since(self.seen));
        self.rate.asked *= factor;
        self.rate.placed *= factor;
        self.seen = now;
    }
}

/// The rates of teams, by the tag of the team's name.
#[derive(Clone, Debug)]
pub struct Shares {
    pool: f64,
    own: FxHashMap<u64, Meter>,
    peers: FxHashMap<u64, TeamRate>,
    level: f64,
    even: f64,
    levelled: Option<Instant>,
}

impl Shares {
    /// Creates shares of a pool that produces `pool` tokens per second.
    pub fn new(pool: f64) -> Self {
        Self {
            pool,
            own: FxHashMap::default(),
            peers: FxHashMap::default(),
            level: f64::INFINITY,
            even: 0.0,
            levelled: None,
        }
    }

    /// Sets the rate that operators state, in tokens per second; 0 if they do not.
    pub fn set_pool(&mut self, pool: f64) {
        self.pool = pool;
    }

    /// A team asked for `tokens`.
    pub fn asked(&mut self, team: u64, tokens: f64, now: Instant) {
        self.meter(team, now).rate.asked += tokens / time_constant();
    }

    /// A request of a team was placed.
    pub fn placed(&mut self, team: u64, tokens: f64, now: Instant) {
        self.meter(team, now).rate.placed += tokens / time_constant();
    }

    /// Replaces the sum of what the peers report.
    pub fn set_peers(&mut self, peers: FxHashMap<u64, TeamRate>) {
        self.peers = peers;
    }

    /// What was placed for a team, as a multiple of its max-min share.
    pub fn standing(&mut self, team: u64, now: Instant) -> f64 {
        self.relevel(now);
        let placed = self.total(team, now).placed;
        match self.level.is_finite() {
            true => placed / self.level.max(LEAST_RATE),
            false => 0.0,
        }
    }

    /// The factor of the wait at targets that a team is allowed.
    ///
    /// A team beyond its share waits only where nobody else does. Below that, a
    /// team for which little was placed goes before one for which much was, so
    /// that teams which ask for more than there is end up with the same.
    pub fn favour(&mut self, team: u64, now: Instant) -> f64 {
        let standing = self.standing(team, now);
        if standing > 1.0 {
            // Several teams may be beyond it: the one that got most waits longest.
            return OVER_FAVOUR / standing.powf(OVER_EXPONENT);
        }
        let placed = self.total(team, now).placed;
        match self.even > 0.0 && placed > 0.0 {
            true => (self.even / placed)
                .powf(SIZE_EXPONENT)
                .clamp(LEAST_FAVOUR, MOST_FAVOUR),
            // Nothing was placed for it lately.
            false => MOST_FAVOUR,
        }
    }

    /// The share of a team that asks for more than it gets, in tokens per second;
    /// infinite while nobody does.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The rates of this router, greatest first, at most `most` teams.
    pub fn report(&mut self, most: usize, now: Instant) -> Vec<(u64, TeamRate)> {
        let meters = self.own.iter_mut().map(|(&team, meter)| {
            meter.fade(now);
            (team, meter.rate)
        });
        let mut rates: Vec<_> = meters.filter(|(_, rate)| rate.asked > LEAST_RATE).collect();
        self.own.retain(|_, meter| meter.rate.asked > LEAST_RATE);
        rates.sort_by(|a, b| b.1.asked.total_cmp(&a.1.asked).then(a.0.cmp(&b.0)));
        rates.truncate(most);
        rates
    }

    fn meter(&mut self, team: u64, now: Instant) -> &mut Meter {
        let fresh = || Meter {
            rate: TeamRate::default(),
            seen: now,
        };
        let meter = self.own.entry(team).or_insert_with(fresh);
        meter.fade(now);
        meter
    }

    fn total(&self, team: u64, now: Instant) -> TeamRate {
        let own = self.own.get(&team).map_or(TeamRate::default(), |meter| {
            let factor = decay(now.saturating_duration_since(meter.seen));
            TeamRate {
                asked: meter.rate.asked * factor,
                placed: meter.rate.placed * factor,
            }
        });
        let peers = self.peers.get(&team).copied().unwrap_or_default();
        TeamRate {
            asked: own.asked + peers.asked,
            placed: own.placed + peers.placed,
        }
    }

    fn relevel(&mut self, now: Instant) {
        let is_fresh = |at| now.saturating_duration_since(at) < LEVEL_AGE;
        if self.levelled.is_some_and(is_fresh) {
            return;
        }
        self.levelled = Some(now);
        let teams = self.own.keys().chain(self.peers.keys());
        let mut teams: SmallVec<[u64; 64]> = teams.copied().collect();
        teams.sort_unstable();
        teams.dedup();
        let asked = teams.iter().map(|&team| self.total(team, now).asked);
        let asked: Vec<f64> = asked.collect();
        let placed = teams.iter().map(|&team| self.total(team, now).placed);
        let placed: f64 = placed.sum();
        self.even = placed / asked.len().max(1) as f64;
        // What the pool produces now shows in what is placed while some is refused.
        let produced = placed * PRODUCED_SLACK;
        let pool = if self.pool > 0.0 {
            self.pool.min(produced)
        } else {
            produced
        };
        self.level = max_min_level(asked, pool);
    }
}

/// The level at which demands are cut so that their sum is `pool`; infinite if
/// the pool covers all of them or is not known.
fn max_min_level(mut asked: Vec<f64>, pool: f64) -> f64 {
    if pool <= 0.0 || asked.iter().sum::<f64>() <= pool {
        return f64::INFINITY;
    }
    asked.sort_by(f64::total_cmp);
    let mut rest = pool;
    for (index, &demand) in asked.iter().enumerate() {
        let even = rest / (asked.len() - index) as f64;
        if demand > even {
            return even;
        }
        rest -= demand;
    }
    f64::INFINITY
}

fn decay(passed: Duration) -> f64 {
    0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// The time over which a decaying sum of events averages their rate, in seconds.
fn time_constant() -> f64 {
    HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2
}
