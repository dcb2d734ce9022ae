//! Policies that choose the team to which a free slot goes.
//!
//! [`SharingPolicy`] is the interface of all policies. Agents use
//! [`Ledger`](crate::ledger::Ledger); [`Fifo`] and [`RouterQuota`] are baselines
//! for comparison.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use entity::{Cost, ProcessId, Tag, TeamId, Weight};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use crate::message::LedgerDelta;

/// The origin of a request, to which service is charged.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Consumer {
    /// The team.
    pub team: TeamId,
    /// The weight of the team.
    pub weight: Weight,
    /// The router where the request is or was queued.
    pub router: ProcessId,
}

/// A change to the service that is attributed to a team.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Charge {
    /// Additional completed service; never negative.
    pub served: Cost,
    /// Change of the expected service of running and pulled requests.
    pub pending: Cost,
}

impl Charge {
    /// Creates a change of the expected service only.
    pub fn pending(pending: Cost) -> Self {
        Self {
            served: Cost::ZERO,
            pending,
        }
    }

    /// The change of completed and expected service together.
    pub fn total(self) -> Cost {
        self.served + self.pending
    }
}

/// A position in the order of service; the lowest rank is served first.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Rank(pub i64);

/// Divides a target's slots between teams.
pub trait SharingPolicy {
    /// Records that a team without waiting requests now has some.
    fn backlogged(&mut self, now: Instant, team: TeamId, weight: Weight);

    /// The rank of a team among the waiting teams.
    fn rank(&self, now: Instant, team: TeamId) -> Rank;

    /// The rank of a router among those that hold waiting requests of one team.
    fn router_rank(&self, router: ProcessId) -> Rank;

    /// The estimated service that other agents have given since their last deltas, in
    /// steps of rank at weight 1.
    fn unreported_service(&self, _now: Instant) -> i64 {
        0
    }

    /// The service that this agent has given a team since the other agents' last
    /// deltas, in steps of rank.
    fn recent_service(&self, _team: TeamId) -> i64 {
        0
    }

    /// Records the rank of the team that was chosen.
    fn record_choice(&mut self, rank: Rank);

    /// Applies a charge to a consumer.
    fn charge(&mut self, now: Instant, consumer: Consumer, charge: Charge);

    /// Merges a delta of another agent's row.
    fn merge(&mut self, now: Instant, delta: &LedgerDelta, teams: &impl TeamDirectory);

    /// Returns the delta of this agent's row to send, if one is due and not empty.
    fn delta(&mut self, now: Instant, teams: &impl TeamDirectory) -> Option<LedgerDelta>;

    /// Drops the state of teams and agents that are no longer active.
    fn prune(&mut self, now: Instant, is_active: impl Fn(TeamId) -> bool);
}

/// A waiting team, as input to [`choose_team`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct WaitingTeam {
    /// The rank of the team.
    pub rank: Rank,
    /// The team.
    pub team: TeamId,
    /// The weight of the team.
    pub weight: Weight,
}

/// Chooses the team for a slot when the ranks do not yet include `unreported` service
/// of other agents.
///
/// The other agents are assumed to serve the lowest ranks first, as this agent does.
/// The unreported service is therefore added to the lowest ranks until they are level,
/// like water filling. Of the teams that are then level, the function chooses the one to
/// which this agent has given the least service since the other agents' last deltas
/// (`recent_service`), and breaks ties at random. Without unreported service it chooses
/// the lowest rank. Agents with the same stale ranks thus choose different teams, and
/// together they raise the ranks evenly.
pub fn choose_team(
    rng: &mut ChaCha8Rng,
    unreported: i64,
    waiting: impl Iterator<Item = WaitingTeam>,
    recent_service: impl Fn(TeamId) -> i64,
) -> Option<TeamId> {
    let mut heap: BinaryHeap<_> = waiting.map(Reverse).collect();
    let mut remaining = unreported;
    let Reverse(lowest) = heap.pop()?;
    let mut level = lowest.rank;
    let mut weights = i64::from(lowest.weight.get());
    let mut level_teams = vec![lowest.team];
    while let Some(&Reverse(next)) = heap.peek() {
        let needed = (next.rank.0 - level.0).saturating_mul(weights);
        if needed >= remaining {
            break;
        }
        remaining -= needed;
        level = next.rank;
        weights += i64::from(next.weight.get());
        level_teams.push(next.team);
        heap.pop();
    }
    let key = |team: &TeamId| (recent_service(*team), rng.random::<u32>());
    level_teams.into_iter().min_by_key(key)
}

/// Looks up tags and weights of teams.
pub trait TeamDirectory {
    /// The team with this tag, if it is known.
    fn by_tag(&self, tag: Tag) -> Option<TeamId>;
    /// The tag of a team.
    fn tag(&self, team: TeamId) -> Tag;
    /// The weight of a team.
    fn weight(&self, team: TeamId) -> Weight;
}

/// Baseline: first come, first served, regardless of the team.
#[derive(Clone, Copy, Default, Debug)]
pub struct Fifo;

impl SharingPolicy for Fifo {
    fn backlogged(&mut self, _now: Instant, _team: TeamId, _weight: Weight) {}

    fn rank(&self, _now: Instant, _team: TeamId) -> Rank {
        Rank::default()
    }

    fn router_rank(&self, _router: ProcessId) -> Rank {
        Rank::default()
    }

    fn record_choice(&mut self, _rank: Rank) {}

    fn charge(&mut self, _now: Instant, _consumer: Consumer, _charge: Charge) {}

    fn merge(&mut self, _now: Instant, _delta: &LedgerDelta, _teams: &impl TeamDirectory) {}

    fn delta(&mut self, _now: Instant, _teams: &impl TeamDirectory) -> Option<LedgerDelta> {
        None
    }

    fn prune(&mut self, _now: Instant, _is_active: impl Fn(TeamId) -> bool) {}
}

/// Baseline: equal service for every router that bids, first come, first served within a router.
#[derive(Clone, Default, Debug)]
pub struct RouterQuota {
    served: FxHashMap<ProcessId, i64>,
}

impl SharingPolicy for RouterQuota {
    fn backlogged(&mut self, _now: Instant, _team: TeamId, _weight: Weight) {}

    fn rank(&self, _now: Instant, _team: TeamId) -> Rank {
        Rank::default()
    }

    fn router_rank(&self, router: ProcessId) -> Rank {
        Rank(self.served.get(&router).copied().unwrap_or(0))
    }

    fn record_choice(&mut self, _rank: Rank) {}

    fn charge(&mut self, _now: Instant, consumer: Consumer, charge: Charge) {
        let lowest = self.served.values().copied().min().unwrap_or(0);
        *self.served.entry(consumer.router).or_insert(lowest) += charge.total().0;
    }

    fn merge(&mut self, _now: Instant, _delta: &LedgerDelta, _teams: &impl TeamDirectory) {}

    fn delta(&mut self, _now: Instant, _teams: &impl TeamDirectory) -> Option<LedgerDelta> {
        None
    }

    fn prune(&mut self, _now: Instant, _is_active: impl Fn(TeamId) -> bool) {}
}
