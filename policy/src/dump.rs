//! What dumps show of a router's and an agent's decisions.
//!
//! The values are for people and for `knapweedctl status`; nothing reads them to decide.

use entity::{Name, Now};
use rules::Config;
use serde::Serialize;

/// One team at one process.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct TeamDump {
    /// The team.
    pub team: Name,
    /// The weight in force.
    pub weight: u32,
    /// The service that this process gave in its life, in cost units.
    pub service: i64,
    /// Requests that wait at this process, or that bids announce to it.
    pub waiting: u64,
}

/// One target as a router sees it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct TargetDump {
    /// The target.
    pub target: Name,
    /// Whether new work may go to it.
    pub usable: bool,
    /// The rule that drains it, if one does.
    pub drain: Option<String>,
}

/// The state of a router's decisions.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct RouterDump {
    /// Requests that wait or run.
    pub pending: usize,
    /// Teams with waiting requests.
    pub teams: Vec<TeamDump>,
    /// Targets of the rules in force.
    pub targets: Vec<TargetDump>,
}

/// The state of an agent's decisions.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct AgentDump {
    /// Attempts that run on the target.
    pub running: usize,
    /// Slots that pulls have reserved.
    pub reserved: u16,
    /// Bids that the agent holds.
    pub bids: usize,
    /// Teams that the agent served or holds bids for.
    pub teams: Vec<TeamDump>,
}

/// The dump of one team; `None` if the rules in force do not define it.
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
