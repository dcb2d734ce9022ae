//! Pulls: asking routers for the requests that free slots go to.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use entity::{Cost, Now, ProcessId, TeamId};
use rand::RngExt;

use super::{Agent, AgentAction, count, weight};
use crate::bid::{BidKey, Lot};
use crate::fair::{Charge, Consumer, SharingPolicy, WaitingTeam, choose_team};
use crate::message::{Endpoint, Pick, Pull, Pulled, Solicit};
use crate::pull::Reservation;

/// The first and the greatest delay between two solicits.
const SOLICIT_DELAYS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// The part of a slot's time lost to round trips from which the agent pulls ahead.
const IDLE_PART: f64 = 0.005;

/// The growing delay between solicits.
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
    /// Starts again with the least delay.
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

/// How fast slots become free and how long a pull takes.
#[derive(Clone, Copy, Default, Debug)]
pub(super) struct Pace {
    trip: Option<Duration>,
    gap: Option<f64>,
    ended: Option<Instant>,
}

impl Pace {
    /// Notes the time from a pull to the arrival of a request.
    pub(super) fn round_trip(&mut self, age: Duration) {
        self.trip = Some(self.trip.map_or(age, |trip| (trip * 7 + age) / 8));
    }

    /// Notes that a slot became free.
    pub(super) fn completed(&mut self, now: Instant) {
        let gap = self
            .ended
            .map(|ended| now.saturating_duration_since(ended).as_secs_f64());
        self.ended = Some(now);
        self.gap = match (self.gap, gap) {
            (Some(mean), Some(gap)) => Some(mean + (gap - mean) / 16.0),
            (mean, gap) => mean.or(gap),
        };
    }

    /// The number of requests to pull before a slot is free.
    pub(super) fn ahead(&self) -> u32 {
        let (Some(trip), Some(gap)) = (self.trip, self.gap) else {
            return 0;
        };
        let completions = trip.as_secs_f64() / gap.max(1e-6);
        (completions - IDLE_PART).ceil().max(0.0) as u32
    }
}

impl<S: SharingPolicy> Agent<S> {
    /// Pulls for every slot that is free or about to be.
    pub(super) fn fill(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let limit = self.window.limit();
        if limit == 0 || self.is_draining() || self.crashes.is_reserved() {
            return;
        }
        let mut open = (limit + self.pace.ahead()).saturating_sub(self.used());
        let mut picks: BTreeMap<ProcessId, (Endpoint, Vec<Reservation>)> = BTreeMap::new();
        while open > 0 {
            let Some(lot) = self.choose(now) else { break };
            self.bids.pulled(lot.router.id, lot.key);
            let charge = self.costs.expect(lot.key.team, None, lot.bid.hint);
            self.charge(now, lot.router.id, lot.key.team, charge);
            let (_, asked) = picks
                .entry(lot.router.id)
                .or_insert((lot.router, Vec::new()));
            add(asked, lot.key, charge);
            open -= 1;
        }
        for (router, asked) in picks.into_values() {
            self.send_pull(now, router, asked, actions);
        }
        if open > 0 && self.free() > 0 {
            self.solicit(now, actions);
        }
    }

    /// The bid to serve next: the team first in the order of service, and of its
    /// bids the one with the longest wait, head start included.
    fn choose(&mut self, now: Now) -> Option<Lot> {
        let rank = |team| self.share.rank(now.mono, team);
        let least = self.bids.teams().map(rank).min()?;
        let order = |lot: &Lot| (self.share.router_rank(lot.router.id), lot.virtual_arrival());
        let lot = match self.share.unreported_service(now.mono) {
            0 => {
                let teams = self.bids.teams().filter(|&team| rank(team) == least);
                teams
                    .flat_map(|team| self.bids.lots(team))
                    .min_by_key(order)
            }
            unseen => {
                let config = self.config.as_deref()?;
                let teams = self.bids.teams();
                let contenders = teams.map(|team| WaitingTeam {
                    rank: rank(team),
                    team,
                    weight: weight(config, team),
                });
                let recent = |team| self.share.recent_service(team);
                let team = choose_team(&mut self.rng, unseen, contenders, recent)?;
                self.bids.lots(team).min_by_key(order)
            }
        };
        self.share.record_choice(least);
        lot
    }

    fn send_pull(
        &mut self,
        now: Now,
        router: Endpoint,
        asked: Vec<Reservation>,
        actions: &mut Vec<AgentAction>,
    ) {
        let config = self
            .config
            .clone()
            .expect("bids are taken under a configuration");
        let picks = asked.iter().map(|pick| Pick {
            team: config.names.teams.tag(pick.key.team),
            class: pick.key.class,
            count: pick.count,
        });
        let picks = picks.collect();
        let sequence = self.pulls.open(now.mono, router.id, asked);
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
        if self.solicit.is_due(now.mono) {
            let jitter = self
                .rng
                .random_range(0..=self.solicit.delay.as_millis() as u64 / 4);
            self.solicit.next = self
                .solicit
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
        let returned = self
            .pulls
            .answered(pulled.router, pulled.sequence, &pulled.counts);
        for (pick, &left) in returned.iter().zip(&pulled.left) {
            self.bids.left(now.mono, pulled.router, pick.key, left);
        }
        self.release_from(now, pulled.router, returned);
    }

    pub(super) fn pull_lost(&mut self, now: Now, router: Endpoint, sequence: u64) {
        let returned = self.pulls.lost(router.id, sequence);
        self.release_from(now, router.id, returned);
        self.forget_router(router.id);
    }

    /// Takes charges back for slots that were given back.
    pub(super) fn release(&mut self, now: Now, returned: Vec<(ProcessId, Reservation)>) {
        for (router, pick) in returned {
            let total = Cost(pick.charge.0 * i64::from(pick.count));
            self.charge(now, router, pick.key.team, Cost::ZERO - total);
        }
    }

    fn release_from(&mut self, now: Now, router: ProcessId, returned: Vec<Reservation>) {
        let returned = returned.into_iter().map(|pick| (router, pick)).collect();
        self.release(now, returned);
    }

    fn charge(&mut self, now: Now, router: ProcessId, team: TeamId, cost: Cost) {
        let weight = self
            .config
            .as_ref()
            .map_or_else(Default::default, |config| weight(config, team));
        let party = Consumer {
            team,
            weight,
            router,
        };
        self.share.charge(now.mono, party, Charge::pending(cost));
    }
}

/// Adds one slot for `key`.
fn add(asked: &mut Vec<Reservation>, key: BidKey, charge: Cost) {
    match asked.iter_mut().find(|pick| pick.key == key) {
        Some(pick) => pick.count = count(u32::from(pick.count) + 1),
        None => asked.push(Reservation {
            key,
            count: 1,
            charge,
        }),
    }
}
