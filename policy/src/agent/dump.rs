//! The state of an agent, for a dump.

use std::collections::BTreeMap;

use super::Agent;
use crate::dump::{AgentDump, team_dump};

impl Agent {
    /// The state, for a dump.
    pub fn dump(&self) -> AgentDump {
        let mut teams: BTreeMap<_, (i64, u64)> = BTreeMap::new();
        for (team, service) in self.share.own_totals() {
            teams.entry(team).or_default().0 = service.0;
        }
        for team in self.bids.teams() {
            let waiting = self
                .bids
                .lots(team)
                .map(|lot| u64::from(lot.bid.waiting))
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
