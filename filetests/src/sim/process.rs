//! A process: a fleet state machine and a router or agent, connected as in the daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use entity::{AttemptId, Cost, Incarnation, Name, ProcessId, RequestId, StateMachine, TargetId};
use policy::fact::Fact;
use policy::fleet::{
    Fleet, FleetAction, FleetEvent, FleetSettings, Role as FleetRole, RulesCompiler,
};
use policy::message::Endpoint;
use policy::{Agent, AgentEvent, AgentSettings, Router, RouterEvent, RouterSettings};
use rand::RngExt;
use rules::Config;
use wire::Message;

use super::plan::Plan;
use super::share::ScenarioShare;
use super::{Sim, Step, TICK_INTERVAL, WALL_CLOCK_START};
use crate::record::{EntryKind, Subject};
use crate::scenario::PlantedBug;

/// The maximum total size of the answers stored by an agent, in bytes.
const ANSWER_BYTES: u64 = 256 * 1024 * 1024;

/// The router or agent of a process.
#[derive(Debug)]
pub(super) enum Role {
    Router(Box<Router>),
    Agent(Box<Agent<ScenarioShare>>),
}

/// The state of an agent as seen by the fleet state machine of a router process.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
struct AgentStatus {
    is_absent: bool,
    is_leaving: bool,
}

/// A simulated process.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) name: Name,
    pub(super) centre: Name,
    pub(super) control: SocketAddr,
    pub(super) role: Role,
    pub(super) fleet: Fleet<RulesCompiler>,
    pub(super) epoch: u64,
    pub(super) paused: Option<Duration>,
    pub(super) stopping: bool,
    pub(super) stopped: bool,
    pub(super) skew: (bool, Duration),
    pub(super) config: Option<Arc<Config>>,
    pub(super) first_config: Option<Arc<Config>>,
    pub(super) members: Vec<Endpoint>,
    pub(super) routers: Vec<Endpoint>,
    pub(super) next_router: usize,
    /// The stored answers of the agent: cost and answered request.
    pub(super) answers: BTreeMap<AttemptId, (Cost, RequestId)>,
    /// The attempts that wait for the answer of another attempt.
    pub(super) followers: BTreeMap<AttemptId, Vec<AttemptId>>,
    /// The last generation of the target that the agent observed.
    pub(super) generation: Option<u64>,
    agent_statuses: BTreeMap<TargetId, AgentStatus>,
    fleet_tick: Duration,
}

impl Process {
    /// Whether the load balancer sends it requests.
    pub(super) fn is_ready(&self) -> bool {
        self.fleet.is_ready() && self.config.is_some() && !self.stopping && !self.stopped
    }
}

impl Sim {
    /// Creates a newly started process; `epoch` counts its starts.
    pub(super) fn new_process(&mut self, index: usize, epoch: u64) -> Process {
        let target = self
            .target_of(index)
            .map(|target| self.plan.targets[target].clone());
        let number = index as u32 + 1;
        let (name, centre, control) = match &target {
            Some(target) => (target.name.clone(), target.centre.clone(), target.control),
            None => (
                Plan::router_name(number),
                self.plan.router_centre(number).clone(),
                Plan::router_address(number),
            ),
        };
        let endpoint = Endpoint {
            id: ProcessId(name.tag()),
            incarnation: Incarnation((WALL_CLOCK_START + self.at).as_micros() as u64),
            control,
        };
        let seed = self.rng.random();
        let role = match target {
            Some(_) => {
                let settings = AgentSettings {
                    endpoint,
                    seed,
                    gossip: self.plan.gossip,
                };
                let share = ScenarioShare::new(&self.plan, endpoint);
                let agent = Agent::with_share(settings, share);
                Role::Agent(Box::new(agent.with_max_answer_bytes(ANSWER_BYTES)))
            }
            None => Role::Router(Box::new(Router::new(RouterSettings {
                endpoint,
                centre: centre.clone(),
                seed,
            }))),
        };
        let fleet = FleetSettings {
            endpoint,
            role: match role {
                Role::Router(_) => FleetRole::Router,
                Role::Agent(_) => FleetRole::Agent,
            },
            centre: centre.tag(),
            seeds: Vec::new(),
            seed: self.rng.random(),
        };
        Process {
            name,
            centre,
            control,
            role,
            fleet: Fleet::new(fleet, RulesCompiler, self.now(index)),
            epoch,
            paused: None,
            stopping: false,
            stopped: false,
            skew: (false, Duration::ZERO),
            config: None,
            first_config: None,
            members: Vec::new(),
            routers: Vec::new(),
            next_router: 0,
            answers: BTreeMap::new(),
            followers: BTreeMap::new(),
            generation: None,
            agent_statuses: BTreeMap::new(),
            fleet_tick: self.at,
        }
    }

    pub(super) fn process_subject(&self, process: usize) -> Subject {
        Subject {
            process: Some(self.processes[process].name.clone()),
            ..Subject::default()
        }
    }

    pub(super) fn tick(&mut self, process: usize) {
        match self.target_of(process) {
            Some(agent) => self.drive_agent(agent, AgentEvent::Tick),
            None => self.drive_router(process, RouterEvent::Tick),
        }
        if self.at >= self.processes[process].fleet_tick {
            self.processes[process].fleet_tick = self.at + policy::fleet::TICK;
            self.notify_fleet(process, FleetEvent::Tick);
            self.sync_members(process);
        }
        let epoch = self.processes[process].epoch;
        self.schedule(TICK_INTERVAL, Step::Tick { process, epoch });
    }

    /// Delivers an event to the fleet state machine of a process.
    pub(super) fn notify_fleet(&mut self, process: usize, event: FleetEvent) {
        let now = self.now(process);
        let mut actions = Vec::new();
        self.processes[process]
            .fleet
            .handle(now, event, &mut actions);
        for action in actions {
            self.fleet_action(process, action);
        }
    }

    fn fleet_action(&mut self, process: usize, action: FleetAction) {
        match action {
            FleetAction::Send { to, message } => self.send(process, to, Message::Fleet(message)),
            FleetAction::ReadService(order) => self.read(process, order),
            FleetAction::Adopt(config) => self.adopt(process, config),
            FleetAction::MembersChanged => self.sync_members(process),
            FleetAction::Ready => {
                let subject = self.process_subject(process);
                self.log_entry(subject, EntryKind::Ready);
            }
            FleetAction::Deliver(broadcast) => {
                if let Some(fact) = wire::decode_fact(&broadcast) {
                    self.deliver_fact(process, fact);
                }
            }
            FleetAction::Incarnation(incarnation) => {
                if let Some(agent) = self.target_of(process) {
                    self.drive_agent(agent, AgentEvent::IncarnationRaised(incarnation));
                }
            }
            FleetAction::Alarm(_) => {}
        }
    }

    /// Delivers a fact from another process to the router or agent.
    pub(super) fn deliver_fact(&mut self, process: usize, fact: Fact) {
        match self.target_of(process) {
            Some(agent) => self.drive_agent(agent, AgentEvent::FactReceived(fact)),
            None => self.drive_router(process, RouterEvent::FactReceived(fact)),
        }
    }

    fn adopt(&mut self, process: usize, config: Arc<Config>) {
        let known = &mut self.processes[process];
        if known.first_config.is_none() {
            known.first_config = Some(config.clone());
        } else if self.plan.has_bug(&PlantedBug::StaleRules) {
            return;
        }
        self.apply_config(process, config);
    }

    pub(super) fn apply_config(&mut self, process: usize, config: Arc<Config>) {
        let subject = self.process_subject(process);
        self.log_entry(subject, EntryKind::Adopted(config.revision));
        self.processes[process].config = Some(config.clone());
        let known = self.processes[process].first_config.clone();
        let config = match self.plan.has_bug(&PlantedBug::IgnoreDrain) {
            true => known.unwrap_or(config),
            false => config,
        };
        match self.target_of(process) {
            Some(agent) => self.drive_agent(agent, AgentEvent::Configured(config)),
            None => self.drive_router(process, RouterEvent::Configured(config)),
        }
    }

    /// Reports fleet membership to the router or agent of a process.
    fn sync_members(&mut self, process: usize) {
        let known = &mut self.processes[process];
        let members = known.fleet.members().iter();
        let live: Vec<_> = members.filter(|member| member.is_live()).collect();
        // Includes routers considered dead: an answer from one ends a partition early.
        let routers = known.fleet.members().iter();
        let routers = routers.filter(|member| member.claim.role == FleetRole::Router);
        known.routers = routers.map(|member| member.claim.endpoint).collect();
        known.members = live.iter().map(|member| member.claim.endpoint).collect();
        match self.target_of(process) {
            Some(agent) => self.sync_confirmation(process, agent),
            None => self.sync_agents(process),
        }
    }

    /// Reports to an agent when the service last confirmed that its revision is the latest.
    fn sync_confirmation(&mut self, process: usize, agent: usize) {
        let fleet = &self.processes[process].fleet;
        let revision = fleet.version().revision;
        let confirmed = fleet.confirmed_at();
        let leaving = fleet.process_leaving(fleet.endpoint().id).is_some();
        self.drive_agent(agent, AgentEvent::Leaving(leaving));
        if let Some(at) = confirmed {
            self.drive_agent(agent, AgentEvent::Confirmed { revision, at });
        }
    }

    /// Reports to a router which agents are live and which targets may get new work.
    fn sync_agents(&mut self, process: usize) {
        let config = self.processes[process].config.clone();
        for member in self.processes[process].members.clone() {
            let config = config.as_ref();
            let target = config.and_then(|config| config.names.targets.by_tag(member.id.0));
            if let Some(target) = target {
                let incarnation = member.incarnation;
                let alive = RouterEvent::IncarnationSeen {
                    target,
                    incarnation,
                };
                self.drive_router(process, alive);
            }
        }
        for (target, status) in self.agent_statuses(process) {
            let known = self.processes[process]
                .agent_statuses
                .insert(target, status);
            let known = known.unwrap_or_default();
            if known.is_absent != status.is_absent {
                let event = match status.is_absent {
                    false => RouterEvent::Reachable(target),
                    true => RouterEvent::Unreachable(target),
                };
                self.drive_router(process, event);
            }
            if known.is_leaving != status.is_leaving {
                let leaving = status.is_leaving;
                self.drive_router(process, RouterEvent::Leaving { target, leaving });
            }
        }
    }

    fn agent_statuses(&self, process: usize) -> Vec<(TargetId, AgentStatus)> {
        let Process { fleet, config, .. } = &self.processes[process];
        let Some(config) = config else {
            return Vec::new();
        };
        let now = self.now(process);
        let targets = config.targets.iter().filter(|(_, target)| target.is_some());
        let status = |target| {
            let agent = ProcessId(config.names.targets.tag(target));
            AgentStatus {
                is_absent: !fleet.is_reachable(now, agent),
                is_leaving: fleet.process_leaving(agent).is_some(),
            }
        };
        targets
            .map(|(target, _)| (target, status(target)))
            .collect()
    }
}
