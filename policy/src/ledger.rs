//! The service that each team has had from the whole pool.
//!
//! Each agent writes one row: the total service that it gave to each team. Rows
//! spread as deltas. From them an agent keeps, for each active team, a counter of
//! service per weight, and serves the team with the least.
//!
//! Invariants:
//! - Only the owner of a row changes it; others take the newest total of the
//!   newest life of the owner, so late and repeated deltas change nothing.
//! - A counter moves only by service that is newly learned of. Dropping a row or
//!   meeting a new one moves no counter.
//! - A team that was idle starts at the counter of the team served last, so idle
//!   time earns nothing.
//! - After a silence the news of one row moves a counter by at most the clamp.

mod row;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use entity::{Cost, Incarnation, ProcessId, TeamId, Weight};
use rustc_hash::FxHashMap;

use crate::fair::{Charge, Party, Rank, Share, Teams};
use crate::message::{LedgerDelta, TeamTotal};
use row::Row;

/// Counter steps for one cost unit at weight 1.
pub const STEPS: i64 = 1000;

/// The time after which an inactive team is forgotten.
const TEAM_TTL: Duration = Duration::from_secs(30);

/// The silence after which another agent's row is dropped.
const ROW_TTL: Duration = Duration::from_secs(90);

/// The silence from which the news of a row is clamped.
const SILENCE: Duration = Duration::from_secs(10);

/// The clamp: what a team gets of the pool in this time as its fair portion.
pub const CLAMP_TIME: Duration = Duration::from_secs(4);

/// The number of successive deltas in which a change is repeated.
const REPEATS: u64 = 3;

/// What an agent assumes of the others between their deltas.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub enum Extrapolation {
    /// They serve nobody.
    Nothing,
    /// They serve each team as this agent does.
    Mirror,
    /// They serve the teams that have had least.
    #[default]
    Fill,
}

/// What bounds the service gap between two teams that wait all the time.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct GapBound {
    /// The greatest total cost that runs in the pool at one moment.
    pub in_flight: Cost,
    /// The service of the pool in cost units per second.
    pub pace: f64,
    /// The gossip interval and the greatest delay of a delta.
    pub delay: Duration,
    /// The sum of the weights of the teams that wait.
    pub weights: f64,
    /// The least weight of the two teams.
    pub least: Weight,
    /// Whether some row was silent for longer than the clamp ignores.
    pub silence: bool,
}

impl GapBound {
    /// The bound in cost units per weight:
    ///
    /// `(in_flight + pace × delay) / least + clamp`, where the clamp is
    /// `pace × CLAMP_TIME / weights` on either side if a row was silent, else 0.
    pub fn cost(&self) -> f64 {
        let unseen = self.pace * self.delay.as_secs_f64();
        let lag = (self.in_flight.0 as f64 + unseen) / f64::from(self.least.get());
        let clamp = match self.silence {
            true => 2.0 * self.pace * CLAMP_TIME.as_secs_f64() / self.weights,
            false => 0.0,
        };
        lag + clamp
    }
}

/// How a ledger works.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LedgerSettings {
    /// The agent whose row it writes.
    pub agent: ProcessId,
    /// The life of that agent.
    pub incarnation: Incarnation,
    /// The interval between deltas; `None` keeps the row to itself.
    pub gossip: Option<Duration>,
    /// What is assumed between deltas.
    pub extrapolation: Extrapolation,
}

#[derive(Clone, Copy, Debug)]
struct OwnTotal {
    served: Cost,
    pending: Cost,
    base: Cost,
    changed: u64,
    touched: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    counter: i64,
    per_weight: f64,
    /// Own service since the account was opened, in steps.
    own: i64,
    /// The sum over rows of `own` at their last delta.
    snaps: i64,
    touched: Instant,
}

/// The ledger of one agent.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    sequence: u64,
    /// When the next delta is due; the first is offset so that agents take turns.
    due: Option<Instant>,
    own: FxHashMap<TeamId, OwnTotal>,
    rows: BTreeMap<ProcessId, Row>,
    accounts: FxHashMap<TeamId, Account>,
    floor: i64,
    served: Cost,
    rated: Option<Instant>,
    /// Own service in cost units per second.
    pace: f64,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(settings: LedgerSettings) -> Self {
        Self {
            settings,
            sequence: 0,
            due: None,
            own: FxHashMap::default(),
            rows: BTreeMap::new(),
            accounts: FxHashMap::default(),
            floor: 0,
            served: Cost::ZERO,
            rated: None,
            pace: 0.0,
        }
    }

    /// The number of teams that use memory.
    pub fn active_teams(&self) -> usize {
        self.accounts.len()
    }

    /// The counter of a team in cost units per weight, if the team is active.
    pub fn counter(&self, now: Instant, team: TeamId) -> Option<Cost> {
        self.accounts
            .contains_key(&team)
            .then(|| Cost(self.rank(now, team).0 / STEPS))
    }

    /// The service of this agent to a team in this life.
    pub fn own_total(&self, team: TeamId) -> Cost {
        self.own.get(&team).map_or(Cost::ZERO, |own| own.served)
    }

    /// The service of this agent to each team in this life, in no order.
    pub fn own_totals(&self) -> impl Iterator<Item = (TeamId, Cost)> {
        self.own.iter().map(|(&team, own)| (team, own.served))
    }

    /// The greatest movement of a counter by the news of a row that was silent, in steps.
    fn clamp(&self) -> i64 {
        let pool = self.pace * (1 + self.rows.len()) as f64;
        let weights: f64 = self
            .accounts
            .values()
            .map(|account| 1.0 / account.per_weight)
            .sum();
        let portion = pool * CLAMP_TIME.as_secs_f64() / weights.max(1.0);
        (portion * STEPS as f64) as i64
    }

    fn account(&mut self, now: Instant, team: TeamId, weight: Weight) -> &mut Account {
        let floor = self.floor;
        self.accounts.entry(team).or_insert_with(|| Account {
            counter: floor,
            per_weight: 1.0 / f64::from(weight.get()),
            own: 0,
            snaps: 0,
            touched: now,
        })
    }

    /// Service that others are assumed to have given since their last deltas, in steps.
    fn assumed(&self, account: &Account) -> i64 {
        match self.settings.extrapolation {
            Extrapolation::Nothing | Extrapolation::Fill => 0,
            Extrapolation::Mirror => self.rows.len() as i64 * account.own - account.snaps,
        }
    }

    /// Drops rows of agents that were silent for long.
    ///
    /// What was assumed of them becomes part of the counters, so nothing jumps.
    fn drop_rows(&mut self, now: Instant) {
        let is_old = |row: &Row| now >= row.heard + ROW_TTL;
        let old = self.rows.iter().filter(|(_, row)| is_old(row));
        let old: Vec<_> = old.map(|(&agent, _)| agent).collect();
        for agent in old {
            self.drop_row(agent);
        }
    }

    fn drop_row(&mut self, agent: ProcessId) {
        let extrapolation = self.settings.extrapolation;
        let Some(row) = self.rows.remove(&agent) else {
            return;
        };
        for (team, account) in &mut self.accounts {
            let known = row.totals.get(team).copied().unwrap_or_default();
            let assumed = match extrapolation {
                Extrapolation::Nothing | Extrapolation::Fill => 0,
                Extrapolation::Mirror => account.own - known.snap,
            };
            account.counter += assumed;
            account.snaps -= known.snap;
            account.counter -= (known.pending.0 as f64 * account.per_weight * STEPS as f64) as i64;
        }
    }

    /// Moves a counter by what a row newly says of a team.
    fn learn(
        &mut self,
        now: Instant,
        row: &mut Row,
        clamp: Option<i64>,
        team: TeamId,
        gained: Cost,
    ) {
        let extrapolation = self.settings.extrapolation;
        let Some(account) = self.accounts.get_mut(&team) else {
            return;
        };
        let known = row.totals.entry(team).or_default();
        let gained = (gained.0 as f64 * account.per_weight * STEPS as f64) as i64;
        let assumed = match extrapolation {
            Extrapolation::Nothing | Extrapolation::Fill => 0,
            Extrapolation::Mirror => account.own - known.snap,
        };
        let net = gained - assumed;
        account.counter += match clamp {
            Some(clamp) => assumed + net.clamp(-clamp, clamp),
            None => gained,
        };
        account.snaps += account.own - known.snap;
        known.snap = account.own;
        known.touched = Some(now);
    }
}

impl Share for Ledger {
    fn backlogged(&mut self, now: Instant, team: TeamId, weight: Weight) {
        let floor = self.floor;
        let assumed = self
            .accounts
            .get(&team)
            .map(|account| self.assumed(account));
        let account = self.account(now, team, weight);
        account.per_weight = 1.0 / f64::from(weight.get());
        let counter = account.counter + assumed.unwrap_or(0);
        account.counter += (floor - counter).max(0);
        account.touched = now;
    }

    fn rank(&self, _now: Instant, team: TeamId) -> Rank {
        let account = self.accounts.get(&team);
        Rank(account.map_or(self.floor, |account| {
            account.counter + self.assumed(account)
        }))
    }

    fn router_rank(&self, _router: ProcessId) -> Rank {
        Rank::default()
    }

    fn unseen(&self, now: Instant) -> i64 {
        if self.settings.extrapolation != Extrapolation::Fill {
            return 0;
        }
        let ages = self
            .rows
            .values()
            .map(|row| now.saturating_duration_since(row.heard).as_secs_f64());
        let seconds: f64 = ages.sum();
        (seconds * self.pace * STEPS as f64) as i64
    }

    fn recent(&self, team: TeamId) -> i64 {
        let account = self.accounts.get(&team);
        account.map_or(0, |account| {
            self.rows.len() as i64 * account.own - account.snaps
        })
    }

    fn chosen(&mut self, rank: Rank) {
        self.floor = rank.0;
    }

    fn charge(&mut self, now: Instant, party: Party, charge: Charge) {
        let sequence = self.sequence + 1;
        self.served += charge.served;
        let own = self.own.entry(party.team).or_insert(OwnTotal {
            served: Cost::ZERO,
            pending: Cost::ZERO,
            base: Cost::ZERO,
            changed: 0,
            touched: now,
        });
        if now > own.touched + TEAM_TTL {
            own.base = own.served;
        }
        own.served += charge.served;
        own.pending += charge.pending;
        own.changed = sequence;
        own.touched = now;
        let account = self.account(now, party.team, party.weight);
        let steps = (charge.total().0 as f64 * account.per_weight * STEPS as f64) as i64;
        account.counter += steps;
        account.own += steps;
        account.touched = now;
    }

    fn merge(&mut self, now: Instant, delta: &LedgerDelta, teams: &impl Teams) {
        if delta.agent == self.settings.agent || self.settings.gossip.is_none() {
            return;
        }
        let known = self.rows.get(&delta.agent);
        match known {
            Some(row) if row.is_stale(delta) => return,
            Some(row) if row.incarnation < delta.incarnation => self.drop_row(delta.agent),
            _ => {}
        }
        let mut row = self
            .rows
            .remove(&delta.agent)
            .unwrap_or_else(|| Row::new(now, delta.incarnation));
        let silence = now.saturating_duration_since(row.heard);
        let clamp = (silence > SILENCE).then(|| self.clamp());
        for total in &delta.totals {
            let Some(team) = teams.by_tag(total.team) else {
                continue;
            };
            self.account(now, team, teams.weight(team)).touched = now;
            let known = row.totals.entry(team).or_default();
            let before = known.service.replace(total.service);
            let expected = total.pending - known.pending;
            known.pending = total.pending;
            let gained = match before {
                Some(before) => (total.service - before).max(Cost::ZERO),
                None if now <= row.met + TEAM_TTL => Cost::ZERO,
                None => total.service - total.base,
            };
            self.learn(now, &mut row, clamp, team, gained + expected);
        }
        let active: Vec<_> = self.accounts.keys().copied().collect();
        for team in active {
            let known = row.totals.get(&team);
            if known.is_none_or(|known| known.touched != Some(now)) {
                self.learn(now, &mut row, clamp, team, Cost::ZERO);
            }
        }
        row.heard = now;
        row.sequence = delta.sequence;
        self.rows.insert(delta.agent, row);
    }

    fn delta(&mut self, now: Instant, teams: &impl Teams) -> Option<LedgerDelta> {
        let gossip = self.settings.gossip?;
        let phase = gossip.mul_f64(self.settings.agent.0.0 as f64 / u64::MAX as f64);
        let due = *self.due.get_or_insert(now + phase);
        if now < due {
            return None;
        }
        self.sequence += 1;
        self.due = Some(now.max(due + gossip));
        let recent = self.sequence.saturating_sub(REPEATS);
        let changed = self.own.iter().filter(|(_, own)| own.changed > recent);
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
            .rated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        if elapsed < Duration::from_secs(1) && self.rated.is_some() {
            return;
        }
        if !elapsed.is_zero() {
            let pace = self.served.0 as f64 / elapsed.as_secs_f64();
            self.pace += (pace - self.pace) / 4.0;
        }
        self.served = Cost::ZERO;
        self.rated = Some(now);
        self.drop_rows(now);
        self.accounts
            .retain(|&team, account| is_active(team) || now <= account.touched + TEAM_TTL);
        let accounts = &self.accounts;
        for row in self.rows.values_mut() {
            row.totals.retain(|team, _| accounts.contains_key(team));
        }
    }
}
