//! State dumps of an agent.

use std::collections::BTreeMap;

use serde::Serialize;

use super::Agent;
use crate::dump::{AgentDump, team_dump};

/// The use of an agent's slots.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
pub struct Slots {
    /// The number of attempts that may run.
    pub window: u32,
    /// Running attempts.
    pub running: u32,
    /// Pulled requests that wait at the agent for a slot.
    pub held: u32,
    /// Slots reserved by pulls for waiting requests.
    pub reserved: u32,
    /// The number of requests to pull before a slot is free.
    pub ahead: u32,
}

impl Agent {
    /// The use of the agent's slots.
    pub fn slots(&self) -> Slots {
        Slots {
            window: self.window.limit(),
            running: self.running.len() as u32,
            held: self.held.len() as u32,
            reserved: u32::from(self.pulls.reserved()),
            ahead: self.pacing.ahead(),
        }
    }

    /// Dumps the agent's state.
    pub fn dump(&self) -> AgentDump {
        let mut teams: BTreeMap<_, (i64, u64)> = BTreeMap::new();
        for (team, service) in self.share.own_totals() {
            teams.entry(team).or_default().0 = service.0;
        }
        for team in self.bids.teams() {
            let waiting = self
                .bids
                .entries(team)
                .map(|entry| u64::from(entry.bid.waiting))
                .sum();
            teams.entry(team).or_default().1 = waiting;
        }
        let dump =
            |(team, (service, waiting))| team_dump(self.config.as_deref()?, team, service, waiting);
        AgentDump {
            running: self.running.len(),
            reserved: self.pulls.reserved(),
            bids: self.bids.len(),
            teams: teams.into_iter().filter_map(dump).collect(),
        }
    }
}
