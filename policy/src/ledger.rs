//! The service that each team has received from the whole pool.
//!
//! Each agent owns one row: the total service that it gave to each team. Rows are
//! gossiped as deltas. From the rows an agent maintains, for each active team, a
//! counter of service per weight, and serves the team with the lowest counter.
//!
//! Invariants:
//! - Only the owner of a row changes it. Other agents keep the newest total of the
//!   owner's newest incarnation, so late and repeated deltas have no effect.
//! - A counter changes only by newly reported service. Removing a row or adding a
//!   new one changes no counter.
//! - A team that was idle starts at the counter of the team served last, so it
//!   gains no credit for idle time.
//! - An update from a row after a silence changes a counter by at most the clamp; see
//!   [`CLAMP_INTERVAL`].

mod row;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use entity::{Cost, Incarnation, ProcessId, TeamId, Weight};
use rustc_hash::FxHashMap;

use crate::fair::{Charge, Consumer, Rank, SharingPolicy, TeamDirectory};
use crate::message::{LedgerDelta, TeamTotal};
use row::Row;

/// Counter steps for one cost unit at weight 1.
pub const STEPS_PER_COST: i64 = 1000;

/// The time after which the state of an inactive team is dropped.
const TEAM_TTL: Duration = Duration::from_secs(30);

/// The time without a delta after which another agent's row is removed.
const ROW_TTL: Duration = Duration::from_secs(90);

/// The time without a delta after which the next update from a row is clamped.
const CLAMP_SILENCE: Duration = Duration::from_secs(10);

/// The interval that sets the clamp, the maximum change of a counter by a late update.
///
/// The clamp is a team's fair portion of the pool's service in this time.
pub const CLAMP_INTERVAL: Duration = Duration::from_secs(4);

/// The number of successive deltas that include a change, to tolerate lost messages.
const DELTA_REPEATS: u64 = 3;

/// How an agent estimates the service of other agents between their deltas.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub enum Extrapolation {
    /// The other agents serve no team.
    Nothing,
    /// Each of the other agents gives each team the same service as this agent does.
    Mirror,
    /// The other agents serve the teams with the lowest counters.
    #[default]
    Fill,
}

/// Inputs of the bound on the service gap between two teams that always have waiting requests.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct GapBound {
    /// The maximum total cost that is in flight in the pool at any time.
    pub in_flight: Cost,
    /// The service of the pool in cost units per second.
    pub service_rate: f64,
    /// The gossip interval plus the maximum delay of a delta.
    pub delay: Duration,
    /// The sum of the weights of all waiting teams.
    pub total_weight: f64,
    /// The lower weight of the two teams.
    pub min_weight: Weight,
    /// Whether any row was silent long enough for its next update to be clamped.
    pub has_silent_row: bool,
}

impl GapBound {
    /// The bound in cost units per weight:
    ///
    /// `(in_flight + service_rate × delay) / min_weight + clamp`, where the clamp is
    /// `service_rate × CLAMP_INTERVAL / total_weight` for each of the two teams if a row was
    /// silent, else 0.
    pub fn cost(&self) -> f64 {
        let unreported = self.service_rate * self.delay.as_secs_f64();
        let lag = (self.in_flight.0 as f64 + unreported) / f64::from(self.min_weight.get());
        let clamp = match self.has_silent_row {
            true => 2.0 * self.service_rate * CLAMP_INTERVAL.as_secs_f64() / self.total_weight,
            false => 0.0,
        };
        lag + clamp
    }
}

/// The settings of a ledger.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LedgerSettings {
    /// The agent that owns the ledger's own row.
    pub agent: ProcessId,
    /// The incarnation of that agent.
    pub incarnation: Incarnation,
    /// The interval between deltas; `None` disables sending and merging of deltas.
    pub gossip: Option<Duration>,
    /// How the service of other agents is estimated between deltas.
    pub extrapolation: Extrapolation,
}

#[derive(Clone, Copy, Debug)]
struct OwnTotal {
    served: Cost,
    pending: Cost,
    /// The completed service when the team last became active after [`TEAM_TTL`] without
    /// service.
    base: Cost,
    /// The sequence number of the first delta that includes the last change.
    last_changed: u64,
    last_used: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    /// The start value plus the known service of the pool per weight, in steps.
    counter: i64,
    inverse_weight: f64,
    /// The service of this agent since the account was created, in steps.
    own_service: i64,
    /// The sum over all rows of `own_service` at the time of the row's last delta.
    own_at_deltas: i64,
    last_used: Instant,
}

/// The ledger of one agent: its own row, the rows of other agents and the counters.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    sequence: u64,
    /// When the next delta is due. The first is offset by the agent's tag, so that agents
    /// do not send at the same time.
    next_delta: Option<Instant>,
    own: FxHashMap<TeamId, OwnTotal>,
    rows: BTreeMap<ProcessId, Row>,
    accounts: FxHashMap<TeamId, Account>,
    /// The counter at which an idle team starts.
    start_counter: i64,
    /// The service of this agent since `service_rate` was last updated.
    served: Cost,
    rate_updated: Option<Instant>,
    /// The smoothed service of this agent in cost units per second.
    service_rate: f64,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(settings: LedgerSettings) -> Self {
        Self {
            settings,
            sequence: 0,
            next_delta: None,
            own: FxHashMap::default(),
            rows: BTreeMap::new(),
            accounts: FxHashMap::default(),
            start_counter: 0,
            served: Cost::ZERO,
            rate_updated: None,
            service_rate: 0.0,
        }
    }

    /// The number of teams for which state is kept.
    pub fn active_teams(&self) -> usize {
        self.accounts.len()
    }

    /// The counter of a team in cost units per weight, if the team is active.
    pub fn counter(&self, now: Instant, team: TeamId) -> Option<Cost> {
        self.accounts
            .contains_key(&team)
            .then(|| Cost(self.rank(now, team).0 / STEPS_PER_COST))
    }

    /// The service of this agent to a team in this incarnation.
    pub fn own_total(&self, team: TeamId) -> Cost {
        self.own.get(&team).map_or(Cost::ZERO, |own| own.served)
    }

    /// The service of this agent to each team in this incarnation, in unspecified order.
    pub fn own_totals(&self) -> impl Iterator<Item = (TeamId, Cost)> {
        self.own.iter().map(|(&team, own)| (team, own.served))
    }

    /// The maximum change of a counter by an update from a row that was silent for
    /// longer than [`CLAMP_SILENCE`], in steps.
    fn clamp(&self) -> i64 {
        let pool = self.service_rate * (1 + self.rows.len()) as f64;
        let weights: f64 = self
            .accounts
            .values()
            .map(|account| 1.0 / account.inverse_weight)
            .sum();
        let portion = pool * CLAMP_INTERVAL.as_secs_f64() / weights.max(1.0);
        (portion * STEPS_PER_COST as f64) as i64
    }

    fn account(&mut self, now: Instant, team: TeamId, weight: Weight) -> &mut Account {
        let start_counter = self.start_counter;
        self.accounts.entry(team).or_insert_with(|| Account {
            counter: start_counter,
            inverse_weight: 1.0 / f64::from(weight.get()),
            own_service: 0,
            own_at_deltas: 0,
            last_used: now,
        })
    }

    /// The estimated service that other agents have given since their last deltas, in steps.
    fn extrapolated(&self, account: &Account) -> i64 {
        match self.settings.extrapolation {
            Extrapolation::Nothing | Extrapolation::Fill => 0,
            Extrapolation::Mirror => {
                self.rows.len() as i64 * account.own_service - account.own_at_deltas
            }
        }
    }

    /// Removes the rows of agents from which no delta arrived for [`ROW_TTL`].
    ///
    /// The extrapolated service of those agents is added to the counters, so that ranks
    /// do not jump.
    fn remove_silent_rows(&mut self, now: Instant) {
        let is_old = |row: &Row| now >= row.last_heard + ROW_TTL;
        let old = self.rows.iter().filter(|(_, row)| is_old(row));
        let old: Vec<_> = old.map(|(&agent, _)| agent).collect();
        for agent in old {
            self.remove_row(agent);
        }
    }

    fn remove_row(&mut self, agent: ProcessId) {
        let extrapolation = self.settings.extrapolation;
        let Some(row) = self.rows.remove(&agent) else {
            return;
        };
        for (team, account) in &mut self.accounts {
            let known = row.totals.get(team).copied().unwrap_or_default();
            let extrapolated = match extrapolation {
                Extrapolation::Nothing | Extrapolation::Fill => 0,
                Extrapolation::Mirror => account.own_service - known.own_at_delta,
            };
            account.counter += extrapolated;
            account.own_at_deltas -= known.own_at_delta;
            account.counter -=
                (known.pending.0 as f64 * account.inverse_weight * STEPS_PER_COST as f64) as i64;
        }
    }

    /// Updates a counter by the service that a row newly reports for a team.
    fn apply_update(
        &mut self,
        now: Instant,
        row: &mut Row,
        clamp: Option<i64>,
        team: TeamId,
        gain: Cost,
    ) {
        let extrapolation = self.settings.extrapolation;
        let Some(account) = self.accounts.get_mut(&team) else {
            return;
        };
        let known = row.totals.entry(team).or_default();
        let gain = (gain.0 as f64 * account.inverse_weight * STEPS_PER_COST as f64) as i64;
        let extrapolated = match extrapolation {
            Extrapolation::Nothing | Extrapolation::Fill => 0,
            Extrapolation::Mirror => account.own_service - known.own_at_delta,
        };
        let net = gain - extrapolated;
        account.counter += match clamp {
            Some(clamp) => extrapolated + net.clamp(-clamp, clamp),
            None => gain,
        };
        account.own_at_deltas += account.own_service - known.own_at_delta;
        known.own_at_delta = account.own_service;
        known.last_updated = Some(now);
    }
}

impl SharingPolicy for Ledger {
    fn backlogged(&mut self, now: Instant, team: TeamId, weight: Weight) {
        let start_counter = self.start_counter;
        let extrapolated = self
            .accounts
            .get(&team)
            .map(|account| self.extrapolated(account));
        let account = self.account(now, team, weight);
        account.inverse_weight = 1.0 / f64::from(weight.get());
        let counter = account.counter + extrapolated.unwrap_or(0);
        account.counter += (start_counter - counter).max(0);
        account.last_used = now;
    }

    fn rank(&self, _now: Instant, team: TeamId) -> Rank {
        let account = self.accounts.get(&team);
        Rank(account.map_or(self.start_counter, |account| {
            account.counter + self.extrapolated(account)
        }))
    }

    fn router_rank(&self, _router: ProcessId) -> Rank {
        Rank::default()
    }

    fn unreported_service(&self, now: Instant) -> i64 {
        if self.settings.extrapolation != Extrapolation::Fill {
            return 0;
        }
        let ages = self
            .rows
            .values()
            .map(|row| now.saturating_duration_since(row.last_heard).as_secs_f64());
        let seconds: f64 = ages.sum();
        (seconds * self.service_rate * STEPS_PER_COST as f64) as i64
    }

    fn recent_service(&self, team: TeamId) -> i64 {
        let account = self.accounts.get(&team);
        account.map_or(0, |account| {
            self.rows.len() as i64 * account.own_service - account.own_at_deltas
        })
    }

    fn record_choice(&mut self, rank: Rank) {
        self.start_counter = rank.0;
    }

    fn charge(&mut self, now: Instant, consumer: Consumer, charge: Charge) {
        let sequence = self.sequence + 1;
        self.served += charge.served;
        let own = self.own.entry(consumer.team).or_insert(OwnTotal {
            served: Cost::ZERO,
            pending: Cost::ZERO,
            base: Cost::ZERO,
            last_changed: 0,
            last_used: now,
        });
        if now > own.last_used + TEAM_TTL {
            own.base = own.served;
        }
        own.served += charge.served;
        own.pending += charge.pending;
        own.last_changed = sequence;
        own.last_used = now;
        let account = self.account(now, consumer.team, consumer.weight);
        let steps =
            (charge.total().0 as f64 * account.inverse_weight * STEPS_PER_COST as f64) as i64;
        account.counter += steps;
        account.own_service += steps;
        account.last_used = now;
    }

    fn merge(&mut self, now: Instant, delta: &LedgerDelta, teams: &impl TeamDirectory) {
        if delta.agent == self.settings.agent || self.settings.gossip.is_none() {
            return;
        }
        let known = self.rows.get(&delta.agent);
        match known {
            Some(row) if row.is_stale(delta) => return,
            Some(row) if row.incarnation < delta.incarnation => self.remove_row(delta.agent),
            _ => {}
        }
        let mut row = self
            .rows
            .remove(&delta.agent)
            .unwrap_or_else(|| Row::new(now, delta.incarnation));
        let silence = now.saturating_duration_since(row.last_heard);
        let clamp = (silence > CLAMP_SILENCE).then(|| self.clamp());
        for total in &delta.totals {
            let Some(team) = teams.by_tag(total.team) else {
                continue;
            };
            self.account(now, team, teams.weight(team)).last_used = now;
            let known = row.totals.entry(team).or_default();
            let before = known.service.replace(total.service);
            let expected = total.pending - known.pending;
            known.pending = total.pending;
            let gain = match before {
                Some(before) => (total.service - before).max(Cost::ZERO),
                None if now <= row.first_heard + TEAM_TTL => Cost::ZERO,
                None => total.service - total.base,
            };
            self.apply_update(now, &mut row, clamp, team, gain + expected);
        }
        let active: Vec<_> = self.accounts.keys().copied().collect();
        for team in active {
            let known = row.totals.get(&team);
            if known.is_none_or(|known| known.last_updated != Some(now)) {
                self.apply_update(now, &mut row, clamp, team, Cost::ZERO);
            }
        }
        row.last_heard = now;
        row.sequence = delta.sequence;
        self.rows.insert(delta.agent, row);
    }

    fn delta(&mut self, now: Instant, teams: &impl TeamDirectory) -> Option<LedgerDelta> {
        let gossip = self.settings.gossip?;
        let phase = gossip.mul_f64(self.settings.agent.0.0 as f64 / u64::MAX as f64);
        let due = *self.next_delta.get_or_insert(now + phase);
        if now < due {
            return None;
        }
        self.sequence += 1;
        self.next_delta = Some(now.max(due + gossip));
        let recent = self.sequence.saturating_sub(DELTA_REPEATS);
        let changed = self.own.iter().filter(|(_, own)| own.last_changed > recent);
        let mut totals: Vec<_> = changed
            .map(|(&team, own)| TeamTotal {
                team: teams.tag(team),
                service: own.served,
                pending: own.pending,
                base: own.base,
            })
            .collect();
        totals.sort_by_key(|total| total.team);
        (!totals.is_empty()).then_some(LedgerDelta {
            agent: self.settings.agent,
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            totals,
        })
    }

    fn prune(&mut self, now: Instant, is_active: impl Fn(TeamId) -> bool) {
        let elapsed = self
            .rate_updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        if elapsed < Duration::from_secs(1) && self.rate_updated.is_some() {
            return;
        }
        if !elapsed.is_zero() {
            let measured = self.served.0 as f64 / elapsed.as_secs_f64();
            self.service_rate += (measured - self.service_rate) / 4.0;
        }
        self.served = Cost::ZERO;
        self.rate_updated = Some(now);
        self.remove_silent_rows(now);
        self.accounts
            .retain(|&team, account| is_active(team) || now <= account.last_used + TEAM_TTL);
        let accounts = &self.accounts;
        for row in self.rows.values_mut() {
            row.totals.retain(|team, _| accounts.contains_key(team));
        }
    }
}
