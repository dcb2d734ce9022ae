//! State dumps of routers and agents.
//!
//! The values are for operators and for `knapweedctl status`; no decision depends on them.

use entity::{Name, Now};
use rules::Config;
use serde::Serialize;

/// The state of one team at one process.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct TeamDump {
    /// The team.
    pub team: Name,
    /// The current weight.
    pub weight: u32,
    /// The total cost that this process has served since its start, in cost units.
    pub service: i64,
    /// Requests that wait at this process or are announced to it by bids.
    pub waiting: u64,
}

/// A router's view of one target.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct TargetDump {
    /// The target.
    pub target: Name,
    /// Whether the target may get new work.
    pub usable: bool,
    /// The rule that drains it, if one does.
    pub drain: Option<String>,
}

/// The decision state of a router.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct RouterDump {
    /// Requests that wait or run.
    pub pending: usize,
    /// Teams with waiting requests.
    pub teams: Vec<TeamDump>,
    /// Targets in the active configuration.
    pub targets: Vec<TargetDump>,
}

/// The decision state of an agent.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct AgentDump {
    /// Attempts running on the target.
    pub running: usize,
    /// Slots reserved by pulls.
    pub reserved: u16,
    /// Bids that the agent holds.
    pub bids: usize,
    /// Teams that the agent has served or holds bids for.
    pub teams: Vec<TeamDump>,
}

/// The dump of one team; `None` if the active configuration does not define it.
pub(crate) fn team_dump(
    config: &Config,
    team: entity::TeamId,
    service: i64,
    waiting: u64,
) -> Option<TeamDump> {
    let rule = config.teams[team].as_ref()?;
    let name = config.names.teams.name(team).clone();
    Some(TeamDump {
        team: name,
        weight: rule.weight.get(),
        service,
        waiting,
    })
}

/// The dump of the targets, in order of their indices.
pub(crate) fn target_dumps(
    config: &Config,
    now: Now,
    is_usable: impl Fn(Now, entity::TargetId) -> bool,
) -> Vec<TargetDump> {
    let known = config.targets.iter().filter(|(_, target)| target.is_some());
    let dump = known.map(|(id, _)| TargetDump {
        target: config.names.targets.name(id).clone(),
        usable: config.drain_rule(id).is_none() && is_usable(now, id),
        drain: config.drain_rule(id).map(|rule| rule.to_string()),
    });
    dump.collect()
}
