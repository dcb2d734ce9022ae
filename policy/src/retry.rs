//! Retry budget and backoff.
//!
//! Each arrival adds a fraction of a token to the bucket of its team and to that of the
//! router; a retry takes one token from both. Buckets start full, so that a router that
//! just started retries its first requests. Because every router limits its retries to
//! a fraction of its own arrivals, retries across the fleet stay within the same fraction
//! of all arrivals plus one burst per router, without coordination.
//!
//! [`Attempts`](crate::attempt::Attempts) owns the budget; callers pass only the settings
//! and a seed.

use std::time::Duration;

use cranelift_entity::SecondaryMap;
use entity::TeamId;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// The price of one retry, in thousandths of a token.
const RETRY_PRICE: u32 = 1000;

/// The limits of retries.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RetrySettings {
    /// Retries per thousand arrivals of one team.
    pub team_share: u32,
    /// Retries per thousand arrivals of all teams.
    pub total_share: u32,
    /// The capacity of each token bucket, in retries.
    pub burst: u32,
    /// The maximum delay before the first retry.
    pub base_delay: Duration,
    /// The maximum delay before any retry.
    pub max_delay: Duration,
    /// The maximum number of attempts per request.
    pub max_attempts: u16,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            team_share: 200,
            total_share: 100,
            burst: 10,
            base_delay: Duration::from_millis(20),
            max_delay: Duration::from_secs(1),
            max_attempts: 4,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket(u32);

impl Bucket {
    fn full(burst: u32) -> Self {
        Self(burst * RETRY_PRICE)
    }

    fn credit(&mut self, share: u32, burst: u32) {
        self.0 = (self.0 + share).min(Self::full(burst).0);
    }
}

/// The retry token buckets of one router.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    teams: SecondaryMap<TeamId, Bucket>,
    total: Bucket,
    rng: ChaCha8Rng,
}

impl RetryBudget {
    /// Creates a budget whose buckets are full.
    pub fn new(settings: RetrySettings, seed: u64) -> Self {
        let full = Bucket::full(settings.burst);
        Self {
            settings,
            teams: SecondaryMap::with_default(full),
            total: full,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The limits.
    pub fn settings(&self) -> RetrySettings {
        self.settings
    }

    /// Credits the buckets for a new request of `team`.
    pub fn record_arrival(&mut self, team: TeamId) {
        let RetrySettings {
            team_share,
            total_share,
            burst,
            ..
        } = self.settings;
        self.teams[team].credit(team_share, burst);
        self.total.credit(total_share, burst);
    }

    /// Takes the tokens of one retry of `team`; returns whether both buckets had enough.
    pub fn try_spend(&mut self, team: TeamId) -> bool {
        let bucket = &mut self.teams[team];
        let affordable = bucket.0 >= RETRY_PRICE && self.total.0 >= RETRY_PRICE;
        if affordable {
            bucket.0 -= RETRY_PRICE;
            self.total.0 -= RETRY_PRICE;
        }
        affordable
    }

    /// The delay before retry `number`, counted from 1: uniformly random up to a limit that
    /// doubles with each retry.
    pub fn delay(&mut self, number: u16) -> Duration {
        let doublings = u32::from(number.saturating_sub(1)).min(16);
        let limit = self.settings.base_delay * (1 << doublings);
        let limit = limit.min(self.settings.max_delay).as_micros() as u64;
        Duration::from_micros(self.rng.next_u64() % (limit + 1))
    }
}
