//! The budget and the back-off of retries.
//!
//! Each arrival earns a share of a token for its team and for the router; a
//! retry spends one token of both. Because every router holds its retries to a
//! share of its own arrivals, the fleet's retries stay within the same share of
//! the fleet's arrivals plus one burst per router, without coordination.
//!
//! [`Attempts`](crate::attempt::Attempts) owns the budget; a composite only
//! passes the settings and a seed.

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
    /// The greatest number of retries that can be saved up, of a team or of all.
    pub burst: u32,
    /// The greatest delay before the first retry.
    pub base: Duration,
    /// The greatest delay before any retry.
    pub cap: Duration,
    /// The greatest number of attempts of one request.
    pub attempts: u16,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            team_share: 200,
            total_share: 100,
            burst: 10,
            base: Duration::from_millis(20),
            cap: Duration::from_secs(1),
            attempts: 4,
        }
    }
}

#[derive(Clone, Copy, Default, Debug)]
struct Bucket(u32);

impl Bucket {
    fn earn(&mut self, share: u32, burst: u32) {
        self.0 = (self.0 + share).min(burst * RETRY_PRICE);
    }
}

/// The retry tokens of one router.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    teams: SecondaryMap<TeamId, Bucket>,
    total: Bucket,
    random: ChaCha8Rng,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new(settings: RetrySettings, seed: u64) -> Self {
        Self {
            settings,
            teams: SecondaryMap::new(),
            total: Bucket::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The limits.
    pub fn settings(&self) -> RetrySettings {
        self.settings
    }

    /// A new request of `team` arrived.
    pub fn arrived(&mut self, team: TeamId) {
        let RetrySettings {
            team_share,
            total_share,
            burst,
            ..
        } = self.settings;
        self.teams[team].earn(team_share, burst);
        self.total.earn(total_share, burst);
    }

    /// Spends a retry of `team`; returns whether both budgets had one.
    pub fn spend(&mut self, team: TeamId) -> bool {
        let bucket = &mut self.teams[team];
        let affordable = bucket.0 >= RETRY_PRICE && self.total.0 >= RETRY_PRICE;
        if affordable {
            bucket.0 -= RETRY_PRICE;
            self.total.0 -= RETRY_PRICE;
        }
        affordable
    }

    /// The delay before retry number `number`, from 1: uniform up to a doubling limit.
    pub fn delay(&mut self, number: u16) -> Duration {
        let doublings = u32::from(number.saturating_sub(1)).min(16);
        let limit = self.settings.base * (1 << doublings);
        let limit = limit.min(self.settings.cap).as_micros() as u64;
        Duration::from_micros(self.random.next_u64() % (limit + 1))
    }
}
