//! Whom a free slot goes to.
//!
//! [`Share`] is the interface of the ways to divide a pool between teams;
//! [`Ledger`](crate::ledger::Ledger) is the one in use, the others are baselines
//! to compare it with.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use entity::{Cost, ProcessId, Tag, TeamId, Weight};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use crate::message::LedgerDelta;

/// Who is served or waits.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Party {
    /// The team.
    pub team: TeamId,
    /// Its weight.
    pub weight: Weight,
    /// The router where the request waits or waited.
    pub router: ProcessId,
}

/// A change of what a team has had.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Charge {
    /// Service that was given; never negative.
    pub served: Cost,
    /// Change of the service that is expected of running and pulled requests.
    pub pending: Cost,
}

impl Charge {
    /// A change of what is expected.
    pub fn pending(pending: Cost) -> Self {
        Self {
            served: Cost::ZERO,
            pending,
        }
    }

    /// The change of the sum of both.
    pub fn total(self) -> Cost {
        self.served + self.pending
    }
}

/// A position in the order of service; the least goes first.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Rank(pub i64);

/// A way to divide a target's slots between teams.
pub trait Share {
    /// Notes that requests of a team wait that had none waiting.
    fn backlogged(&mut self, now: Instant, team: TeamId, weight: Weight);

    /// The rank of a team among those that wait.
    fn rank(&self, now: Instant, team: TeamId) -> Rank;

    /// The rank of a router among those where requests of one team wait.
    fn router_rank(&self, router: ProcessId) -> Rank;

    /// The service that others are expected to have given since they were last
    /// heard, in steps of rank at weight 1.
    fn unseen(&self, _now: Instant) -> i64 {
        0
    }

    /// What this agent gave a team since it heard of the others, in steps.
    fn recent(&self, _team: TeamId) -> i64 {
        0
    }

    /// Notes which rank was chosen.
    fn chosen(&mut self, rank: Rank);

    /// Charges a team.
    fn charge(&mut self, now: Instant, party: Party, charge: Charge);

    /// Takes in another agent's row.
    fn merge(&mut self, now: Instant, delta: &LedgerDelta, teams: &impl Teams);

    /// The change of the own row to send, if there is any.
    fn delta(&mut self, now: Instant, teams: &impl Teams) -> Option<LedgerDelta>;

    /// Forgets what is no longer needed.
    fn prune(&mut self, now: Instant, is_active: impl Fn(TeamId) -> bool);
}

/// A team that waits, as the choice between teams sees it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Contender {
    /// Its rank.
    pub rank: Rank,
    /// The team.
    pub team: TeamId,
    /// Its weight.
    pub weight: Weight,
}

/// Chooses the team for a slot when `unseen` service of others is not yet in the ranks.
///
/// The others are assumed to serve the least ranks first, as this agent would. So
/// the least ranks are raised by `unseen`, and of the teams that are then level the
/// one goes first to which this agent itself gave least since it heard of the
/// others (`recent`); among equals a random one. Without unseen service it is the
/// least rank. Agents with the same stale ranks thus choose different teams, and
/// together they fill the ranks up evenly.
pub fn choose_team(
    rng: &mut ChaCha8Rng,
    unseen: i64,
    contenders: impl Iterator<Item = Contender>,
    recent: impl Fn(TeamId) -> i64,
) -> Option<TeamId> {
    let mut heap: BinaryHeap<_> = contenders.map(Reverse).collect();
    let mut rest = unseen;
    let Reverse(least) = heap.pop()?;
    let mut level = least.rank;
    let mut weights = i64::from(least.weight.get());
    let mut filled = vec![least.team];
    while let Some(&Reverse(next)) = heap.peek() {
        let volume = (next.rank.0 - level.0).saturating_mul(weights);
        if volume >= rest {
            break;
        }
        rest -= volume;
        level = next.rank;
        weights += i64::from(next.weight.get());
        filled.push(next.team);
        heap.pop();
    }
    let order = |team: &TeamId| (recent(*team), rng.random::<u32>());
    filled.into_iter().min_by_key(order)
}

/// Names and weights of teams.
pub trait Teams {
    /// The team with this tag, if it is known.
    fn by_tag(&self, tag: Tag) -> Option<TeamId>;
    /// The tag of a team.
    fn tag(&self, team: TeamId) -> Tag;
    /// The weight of a team.
    fn weight(&self, team: TeamId) -> Weight;
}

/// Baseline: first come, first served, whatever the team.
#[derive(Clone, Copy, Default, Debug)]
pub struct Fifo;

impl Share for Fifo {
    fn backlogged(&mut self, _now: Instant, _team: TeamId, _weight: Weight) {}

    fn rank(&self, _now: Instant, _team: TeamId) -> Rank {
        Rank::default()
    }

    fn router_rank(&self, _router: ProcessId) -> Rank {
        Rank::default()
    }

    fn chosen(&mut self, _rank: Rank) {}

    fn charge(&mut self, _now: Instant, _party: Party, _charge: Charge) {}

    fn merge(&mut self, _now: Instant, _delta: &LedgerDelta, _teams: &impl Teams) {}

    fn delta(&mut self, _now: Instant, _teams: &impl Teams) -> Option<LedgerDelta> {
        None
    }

    fn prune(&mut self, _now: Instant, _is_active: impl Fn(TeamId) -> bool) {}
}

/// Baseline: equal service to every router that bids, first come first served there.
#[derive(Clone, Default, Debug)]
pub struct RouterQuota {
    served: FxHashMap<ProcessId, i64>,
}

impl Share for RouterQuota {
    fn backlogged(&mut self, _now: Instant, _team: TeamId, _weight: Weight) {}

    fn rank(&self, _now: Instant, _team: TeamId) -> Rank {
        Rank::default()
    }

    fn router_rank(&self, router: ProcessId) -> Rank {
        Rank(self.served.get(&router).copied().unwrap_or(0))
    }

    fn chosen(&mut self, _rank: Rank) {}

    fn charge(&mut self, _now: Instant, party: Party, charge: Charge) {
        let least = self.served.values().copied().min().unwrap_or(0);
        *self.served.entry(party.router).or_insert(least) += charge.total().0;
    }

    fn merge(&mut self, _now: Instant, _delta: &LedgerDelta, _teams: &impl Teams) {}

    fn delta(&mut self, _now: Instant, _teams: &impl Teams) -> Option<LedgerDelta> {
        None
    }

    fn prune(&mut self, _now: Instant, _is_active: impl Fn(TeamId) -> bool) {}
}
