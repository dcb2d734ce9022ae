//! Slot sharing policies that a scenario can select.

use std::time::Instant;

use cranelift_entity::EntityRef;
use entity::{ProcessId, TeamId, Weight};
use policy::fair::{Charge, Consumer, Fifo, Rank, RouterQuota, SharingPolicy, TeamDirectory};
use policy::ledger::{Extrapolation, Ledger, LedgerSettings};
use policy::message::{Endpoint, LedgerDelta};

use super::plan::Plan;
use crate::scenario::{PlantedBug, PolicyName};

/// The selected policy, with an optional team that ranks first.
#[derive(Debug)]
pub(super) struct ScenarioShare {
    kind: Kind,
    favoured_team: Option<TeamId>,
}

#[derive(Debug)]
enum Kind {
    Ledger(Box<Ledger>),
    Fifo(Fifo),
    Quota(RouterQuota),
}

/// Calls a method of the policy in use.
macro_rules! dispatch {
    ($kind:expr, $share:ident => $call:expr) => {
        match $kind {
            Kind::Ledger($share) => $call,
            Kind::Fifo($share) => $call,
            Kind::Quota($share) => $call,
        }
    };
}

impl ScenarioShare {
    pub(super) fn new(plan: &Plan, endpoint: Endpoint) -> Self {
        let ledger = |gossip, extrapolation| {
            let settings = LedgerSettings {
                agent: endpoint.id,
                incarnation: endpoint.incarnation,
                gossip,
                extrapolation,
            };
            Kind::Ledger(Box::new(Ledger::new(settings)))
        };
        let kind = match plan.policy {
            PolicyName::Fair => ledger(Some(plan.gossip), Extrapolation::default()),
            PolicyName::OwnCounter => ledger(None, Extrapolation::Nothing),
            PolicyName::PushFifo => Kind::Fifo(Fifo),
            PolicyName::Quota => Kind::Quota(RouterQuota::default()),
        };
        let favoured_team = plan.planted_bugs.iter().find_map(|plant| match plant {
            PlantedBug::Favour(name) => plan.team(name),
            _ => None,
        });
        Self {
            kind,
            favoured_team: favoured_team.map(TeamId::new),
        }
    }
}

impl SharingPolicy for ScenarioShare {
    fn backlogged(&mut self, now: Instant, team: TeamId, weight: Weight) {
        dispatch!(&mut self.kind, share => share.backlogged(now, team, weight));
    }

    fn rank(&self, now: Instant, team: TeamId) -> Rank {
        match self.favoured_team {
            Some(favoured_team) if favoured_team == team => Rank(i64::MIN / 2),
            _ => dispatch!(&self.kind, share => share.rank(now, team)),
        }
    }

    fn router_rank(&self, router: ProcessId) -> Rank {
        dispatch!(&self.kind, share => share.router_rank(router))
    }

    fn unreported_service(&self, now: Instant) -> i64 {
        dispatch!(&self.kind, share => share.unreported_service(now))
    }

    fn recent_service(&self, team: TeamId) -> i64 {
        dispatch!(&self.kind, share => share.recent_service(team))
    }

    fn record_choice(&mut self, rank: Rank) {
        dispatch!(&mut self.kind, share => share.record_choice(rank));
    }

    fn charge(&mut self, now: Instant, party: Consumer, charge: Charge) {
        dispatch!(&mut self.kind, share => share.charge(now, party, charge));
    }

    fn merge(&mut self, now: Instant, delta: &LedgerDelta, teams: &impl TeamDirectory) {
        dispatch!(&mut self.kind, share => share.merge(now, delta, teams));
    }

    fn delta(&mut self, now: Instant, teams: &impl TeamDirectory) -> Option<LedgerDelta> {
        dispatch!(&mut self.kind, share => share.delta(now, teams))
    }

    fn prune(&mut self, now: Instant, is_active: impl Fn(TeamId) -> bool) {
        dispatch!(&mut self.kind, share => share.prune(now, is_active));
    }
}
