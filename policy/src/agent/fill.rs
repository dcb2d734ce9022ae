//! Pulls: requesting work from routers for free slots.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use entity::{Cost, Now, ProcessId, TeamId};
use rand::RngExt;

use super::{Agent, AgentAction, saturating_u16, weight};
use crate::bid::{BidEntry, BidKey};
use crate::fair::{Charge, Consumer, SharingPolicy, WaitingTeam, choose_team};
use crate::message::{Endpoint, Pick, Pull, Pulled, Solicit};
use crate::pull::Reservation;

/// The initial and the maximum delay between two solicits.
const SOLICIT_DELAYS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// The fraction of slot time lost to round trips above which the agent pulls ahead.
const IDLE_FRACTION: f64 = 0.005;

/// The exponential backoff between solicits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    delay: Duration,
    next: Option<Instant>,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            delay: SOLICIT_DELAYS.0,
            next: None,
        }
    }
}

impl Backoff {
    /// Resets the delay to its initial value.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    fn is_due(&mut self, now: Instant) -> bool {
        let delay = self.delay;
        let next = *self.next.get_or_insert(now + delay);
        if now < next {
            return false;
        }
        self.delay = (delay * 2).min(SOLICIT_DELAYS.1);
        self.next = Some(now + self.delay);
        true
    }
}

/// Estimates of the pull latency and of the interval between completions.
#[derive(Clone, Copy, Default, Debug)]
pub(super) struct PullPacing {
    pull_latency: Option<Duration>,
    completion_interval: Option<f64>,
    last_completion: Option<Instant>,
}

impl PullPacing {
    /// Records the time from a pull to the arrival of a request.
    pub(super) fn record_round_trip(&mut self, age: Duration) {
        self.pull_latency = Some(
            self.pull_latency
                .map_or(age, |pull_latency| (pull_latency * 7 + age) / 8),
        );
    }

    /// Records that a slot became free.
    pub(super) fn record_completion(&mut self, now: Instant) {
        let completion_interval = self
            .last_completion
            .map(|last_completion| now.saturating_duration_since(last_completion).as_secs_f64());
        self.last_completion = Some(now);
        self.completion_interval = match (self.completion_interval, completion_interval) {
            (Some(mean), Some(completion_interval)) => {
                Some(mean + (completion_interval - mean) / 16.0)
            }
            (mean, completion_interval) => mean.or(completion_interval),
        };
    }

    /// The number of requests to pull before a slot is free.
    pub(super) fn ahead(&self) -> u32 {
        let (Some(pull_latency), Some(completion_interval)) =
            (self.pull_latency, self.completion_interval)
        else {
            return 0;
        };
        let completions = pull_latency.as_secs_f64() / completion_interval.max(1e-6);
        (completions - IDLE_FRACTION).ceil().max(0.0) as u32
    }
}

impl<S: SharingPolicy> Agent<S> {
    /// Sends pulls for every slot that is free or expected to become free.
    pub(super) fn fill(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let limit = self.window.limit();
        if limit == 0 || self.is_draining() || self.crashes.is_reserved() {
            return;
        }
        let mut free_slots = (limit + self.pacing.ahead()).saturating_sub(self.used());
        let mut reservations: BTreeMap<ProcessId, (Endpoint, Vec<Reservation>)> = BTreeMap::new();
        while free_slots > 0 {
            let Some(entry) = self.choose_bid(now) else {
                break;
            };
            self.bids.record_pull(entry.router.id, entry.key);
            let charge = self.costs.estimate(entry.key.team, None, entry.bid.hint);
            self.charge(now, entry.router.id, entry.key.team, charge);
            let (_, requested) = reservations
                .entry(entry.router.id)
                .or_insert((entry.router, Vec::new()));
            add_slot(requested, entry.key, charge);
            free_slots -= 1;
        }
        for (router, requested) in reservations.into_values() {
            self.send_pull(now, router, requested, actions);
        }
        if free_slots > 0 && self.free() > 0 {
            self.solicit(now, actions);
        }
    }

    /// The bid to serve next: that of the team with the least rank, and among its bids
    /// the one with the longest wait, head start included.
    fn choose_bid(&mut self, now: Now) -> Option<BidEntry> {
        let rank = |team| self.share.rank(now.mono, team);
        let least = self.bids.teams().map(rank).min()?;
        let bid_order = |entry: &BidEntry| {
            (
                self.share.router_rank(entry.router.id),
                entry.virtual_arrival(),
            )
        };
        let entry = match self.share.unreported_service(now.mono) {
            0 => {
                let teams = self.bids.teams().filter(|&team| rank(team) == least);
                teams
                    .flat_map(|team| self.bids.entries(team))
                    .min_by_key(bid_order)
            }
            unreported => {
                let config = self.config.as_deref()?;
                let teams = self.bids.teams();
                let contenders = teams.map(|team| WaitingTeam {
                    rank: rank(team),
                    team,
                    weight: weight(config, team),
                });
                let recent = |team| self.share.recent_service(team);
                let team = choose_team(&mut self.rng, unreported, contenders, recent)?;
                self.bids.entries(team).min_by_key(bid_order)
            }
        };
        self.share.record_choice(least);
        entry
    }

    fn send_pull(
        &mut self,
        now: Now,
        router: Endpoint,
        requested: Vec<Reservation>,
        actions: &mut Vec<AgentAction>,
    ) {
        let config = self
            .config
            .clone()
            .expect("bids are taken under a configuration");
        let picks = requested.iter().map(|reservation| Pick {
            team: config.names.teams.tag(reservation.key.team),
            class: reservation.key.class,
            count: reservation.count,
        });
        let picks = picks.collect();
        let sequence = self.pulls.open(now.mono, router.id, requested);
        let pull = Pull {
            agent: self.settings.endpoint,
            sequence,
            picks,
        };
        actions.push(AgentAction::Pull { router, pull });
    }

    fn solicit(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let (Some(config), Some(target)) = (&self.config, self.target) else {
            return;
        };
        let Some(rule) = &config.targets[target] else {
            return;
        };
        let pool = config.names.pools.tag(rule.pool);
        if self.solicit_backoff.is_due(now.mono) {
            let jitter = self
                .rng
                .random_range(0..=self.solicit_backoff.delay.as_millis() as u64 / 4);
            self.solicit_backoff.next = self
                .solicit_backoff
                .next
                .map(|next| next + Duration::from_millis(jitter));
            actions.push(AgentAction::Solicit(Solicit {
                agent: self.settings.endpoint,
                pool,
                load: self.load(),
            }));
        }
    }

    pub(super) fn pulled(&mut self, now: Now, pulled: &Pulled) {
        let released = self
            .pulls
            .apply_reply(pulled.router, pulled.sequence, &pulled.counts);
        for (reservation, &left) in released.iter().zip(&pulled.left) {
            self.bids
                .update_remaining(now.mono, pulled.router, reservation.key, left);
        }
        self.release_slots_of(now, pulled.router, released);
    }

    pub(super) fn pull_lost(&mut self, now: Now, router: Endpoint, sequence: u64) {
        let released = self.pulls.abandon(router.id, sequence);
        self.release_slots_of(now, router.id, released);
        self.forget_router(router.id);
    }

    /// Reverts the charges of released slots.
    pub(super) fn release_slots(&mut self, now: Now, released: Vec<(ProcessId, Reservation)>) {
        for (router, reservation) in released {
            let total = Cost(reservation.charge.0 * i64::from(reservation.count));
            self.charge(now, router, reservation.key.team, Cost::ZERO - total);
        }
    }

    fn release_slots_of(&mut self, now: Now, router: ProcessId, released: Vec<Reservation>) {
        let released = released
            .into_iter()
            .map(|reservation| (router, reservation))
            .collect();
        self.release_slots(now, released);
    }

    fn charge(&mut self, now: Now, router: ProcessId, team: TeamId, cost: Cost) {
        let weight = self
            .config
            .as_ref()
            .map_or_else(Default::default, |config| weight(config, team));
        let consumer = Consumer {
            team,
            weight,
            router,
        };
        self.share.charge(now.mono, consumer, Charge::pending(cost));
    }
}

/// Adds one slot for `key` to the requested reservations.
fn add_slot(requested: &mut Vec<Reservation>, key: BidKey, charge: Cost) {
    match requested
        .iter_mut()
        .find(|reservation| reservation.key == key)
    {
        Some(reservation) => reservation.count = saturating_u16(u32::from(reservation.count) + 1),
        None => requested.push(Reservation {
            key,
            count: 1,
            charge,
        }),
    }
}
