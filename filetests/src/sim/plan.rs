//! The setup of a scenario with all names resolved.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use cranelift_entity::EntityRef;
use derive_more::{Display, Error, From};
use entity::{Directory, Name, PoolId, Revision};
use rules::{Config, Repeat};

use crate::scenario::{
    Change, Event, Load, Percent, Place, PlantedBug, PolicyName, Promise, Scenario, Statement,
};

/// The control port of routers.
const ROUTER_PORT: u16 = 7101;

/// Why a scenario cannot run.
#[derive(Debug, Display, Error, From)]
pub enum PlanError {
    /// The rules file cannot be read.
    #[display("cannot read the rules file: {_0}")]
    Read(std::io::Error),
    /// The rules are not valid.
    #[display("invalid rules: {_0}")]
    #[from(skip)]
    Rules(#[error(not(source))] String),
    /// A name is not defined.
    #[display("unknown {kind} `{name}`")]
    #[from(skip)]
    Unknown {
        /// The kind of object.
        kind: &'static str,
        /// The name.
        name: String,
    },
}

/// A target and its agent.
#[derive(Clone, Debug)]
pub(super) struct TargetPlan {
    pub(super) name: Name,
    pub(super) pool: usize,
    pub(super) centre: Name,
    pub(super) control: SocketAddr,
}

/// A pool and the routes to it.
#[derive(Clone, Debug)]
pub(super) struct PoolPlan {
    pub(super) name: Name,
    pub(super) slots: u32,
    pub(super) cold: u32,
    pub(super) idempotent: Option<Name>,
    pub(super) once: Option<Name>,
}

/// A team.
#[derive(Clone, Debug)]
pub(super) struct TeamPlan {
    pub(super) name: Name,
    pub(super) weight: u32,
}

/// A source of requests.
#[derive(Clone, Debug)]
pub(super) struct Source {
    pub(super) team: usize,
    pub(super) pool: usize,
    pub(super) kind: SourceKind,
    pub(super) load: Load,
}

/// The arrival process of a source.
#[derive(Clone, Copy, Debug)]
pub(super) enum SourceKind {
    Every(Duration),
    Open(u32),
}

/// The resolved setup of a scenario.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) seed: u64,
    pub(super) routers: u32,
    pub(super) text: String,
    pub(super) centres: Vec<Name>,
    pub(super) targets: Vec<TargetPlan>,
    pub(super) pools: Vec<PoolPlan>,
    pub(super) teams: Vec<TeamPlan>,
    pub(super) delay: Duration,
    pub(super) delays: Vec<(Name, Name, Duration)>,
    pub(super) loss: Percent,
    pub(super) double: Percent,
    pub(super) gossip: Duration,
    pub(super) token: Duration,
    pub(super) policy: PolicyName,
    pub(super) planted_bugs: Vec<PlantedBug>,
    pub(super) sources: Vec<Source>,
    pub(super) events: Vec<(Duration, Event)>,
    pub(super) run: Duration,
    pub(super) promises: Vec<Promise>,
}

impl Plan {
    /// Resolves a scenario; paths of rules files are relative to `root`.
    pub(super) fn new(scenario: &Scenario, root: &Path) -> Result<Self, PlanError> {
        let text = rules_text(scenario, root)?;
        let mut plan = Self::from_rules(text)?;
        for statement in &scenario.statements {
            plan.apply_setting(statement)?;
        }
        for statement in &scenario.statements {
            plan.add_source_or_event(statement)?;
        }
        Ok(plan)
    }

    fn from_rules(text: String) -> Result<Self, PlanError> {
        let config = rules::load(&text, &Directory::default()).map_err(|faults| {
            let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
            PlanError::Rules(faults.join("; "))
        })?;
        let names = &config.names;
        let centres = config
            .centres
            .keys()
            .map(|id| names.centres.name(id).clone());
        let pools = config.pools.keys().map(|id| pool(&config, id));
        let targets = config.targets.iter().filter_map(|(id, target)| {
            let target = target.as_ref()?;
            Some(TargetPlan {
                name: names.targets.name(id).clone(),
                pool: target.pool.index(),
                centre: names.centres.name(target.centre).clone(),
                control: target.control,
            })
        });
        let teams = config.teams.iter().filter_map(|(id, team)| {
            Some(TeamPlan {
                name: names.teams.name(id).clone(),
                weight: team.as_ref()?.weight.get(),
            })
        });
        Ok(Self {
            centres: centres.collect(),
            pools: pools.collect(),
            targets: targets.collect(),
            teams: teams.collect(),
            text,
            seed: 1,
            routers: 1,
            delay: Duration::from_micros(500),
            delays: Vec::new(),
            loss: Percent(0.0),
            double: Percent(0.0),
            gossip: policy::AgentSettings::GOSSIP_INTERVAL,
            token: Duration::from_millis(10),
            policy: PolicyName::default(),
            planted_bugs: Vec::new(),
            sources: Vec::new(),
            events: Vec::new(),
            run: Duration::ZERO,
            promises: Vec::new(),
        })
    }

    fn apply_setting(&mut self, statement: &Statement) -> Result<(), PlanError> {
        match statement {
            Statement::Seed(seed) => self.seed = *seed,
            Statement::Fleet { routers, .. } => self.routers = *routers,
            Statement::Delay {
                time,
                between: None,
            } => self.delay = *time,
            Statement::Delay {
                time,
                between: Some((one, two)),
            } => {
                self.centre(one)?;
                self.centre(two)?;
                self.delays.push((one.clone(), two.clone(), *time));
            }
            Statement::Loss(part) => self.loss = *part,
            Statement::Double(part) => self.double = *part,
            Statement::Gossip(time) => self.gossip = *time,
            Statement::Token(time) => self.token = *time,
            Statement::Policy(policy) => self.policy = *policy,
            Statement::Run(time) => self.run = *time,
            Statement::Expect(promise) => self.promises.push(*promise),
            Statement::PlantedBug(plant) => {
                if let PlantedBug::Favour(team) = plant {
                    self.team_index(team)?;
                }
                self.planted_bugs.push(plant.clone());
            }
            _ => {}
        }
        Ok(())
    }

    fn add_source_or_event(&mut self, statement: &Statement) -> Result<(), PlanError> {
        match statement {
            Statement::Arrive { team, every, load } => {
                self.source(team, SourceKind::Every(*every), load)
            }
            Statement::Backlog { team, open, load } => {
                self.source(team, SourceKind::Open(*open), load)
            }
            Statement::At { time, event } => {
                self.check_event(event)?;
                self.events.push((*time, event.clone()));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn source(&mut self, team: &Name, kind: SourceKind, load: &Load) -> Result<(), PlanError> {
        let pool = match &load.pool {
            None => 0,
            Some(name) => {
                let pool = self.pools.iter().position(|pool| pool.name == *name);
                pool.ok_or_else(|| unknown("pool", name.as_str()))?
            }
        };
        if let Some(router) = load.router {
            self.check_place(&Place::Router(router))?;
        }
        self.sources.push(Source {
            team: self.team_index(team)?,
            pool,
            kind,
            load: load.clone(),
        });
        Ok(())
    }

    fn check_event(&self, event: &Event) -> Result<(), PlanError> {
        match event {
            Event::Cut { place, from } => {
                self.check_place(place)?;
                from.as_ref().map_or(Ok(()), |from| self.check_place(from))
            }
            Event::Pause { place, .. }
            | Event::Restart(place)
            | Event::Stop(place)
            | Event::Skew { place, .. } => self.check_place(place),
            Event::Crash(team) | Event::Flood { team, .. } => self.team_index(team).map(drop),
            Event::Cold(target) | Event::Leaves(target) => self.target_index(target).map(drop),
            Event::Publish(Change::DrainTarget(target) | Change::UndrainTarget(target)) => {
                self.target_index(target).map(drop)
            }
            Event::Publish(Change::DrainCentre(centre) | Change::UndrainCentre(centre)) => {
                self.centre(centre)
            }
            Event::Publish(Change::Invalid) | Event::Heal | Event::Service(_) => Ok(()),
        }
    }

    fn check_place(&self, place: &Place) -> Result<(), PlanError> {
        match place {
            Place::Router(number) if (1..=self.routers).contains(number) => Ok(()),
            Place::Router(number) => Err(unknown("router", &number.to_string())),
            Place::Agent(target) => self.target_index(target).map(drop),
            Place::Centre(centre) => self.centre(centre),
            Place::Service => Ok(()),
        }
    }

    fn centre(&self, name: &Name) -> Result<(), PlanError> {
        match self.centres.contains(name) {
            true => Ok(()),
            false => Err(unknown("data centre", name.as_str())),
        }
    }

    fn team_index(&self, name: &Name) -> Result<usize, PlanError> {
        self.team(name)
            .ok_or_else(|| unknown("team", name.as_str()))
    }

    /// Returns the index of a team in the document.
    pub(super) fn team(&self, name: &Name) -> Option<usize> {
        self.teams.iter().position(|team| team.name == *name)
    }

    pub(super) fn target_index(&self, name: &Name) -> Result<usize, PlanError> {
        let found = self.targets.iter().position(|target| target.name == *name);
        found.ok_or_else(|| unknown("target", name.as_str()))
    }

    /// Whether the scenario plants a bug.
    pub(super) fn has_bug(&self, plant: &PlantedBug) -> bool {
        self.planted_bugs.contains(plant)
    }

    pub(super) fn router_name(number: u32) -> Name {
        Name::new(&format!("router-{number}"))
    }

    pub(super) fn router_address(number: u32) -> SocketAddr {
        let [_, _, high, low] = number.to_be_bytes();
        SocketAddr::from((Ipv4Addr::new(10, 255, high, low), ROUTER_PORT))
    }

    /// The data centre of a router.
    pub(super) fn router_centre(&self, number: u32) -> &Name {
        &self.centres[(number as usize - 1) % self.centres.len()]
    }

    /// The one-way delay between two data centres.
    pub(super) fn delay_between(&self, one: &Name, two: &Name) -> Duration {
        let matches =
            |(a, b, _): &&(Name, Name, Duration)| (a == one && b == two) || (a == two && b == one);
        self.delays
            .iter()
            .find(matches)
            .map_or(self.delay, |&(_, _, time)| time)
    }

    /// Returns the rules document under a later revision with `drains` added.
    pub(super) fn revised_rules(
        &self,
        revision: Revision,
        drains: &[Change],
        valid: bool,
    ) -> String {
        let is_end = |line: &&str| line.split_whitespace().next() == Some("end");
        let lines = self.text.lines().filter(|line| !is_end(line));
        let lines = lines.map(|line| match line.starts_with("revision ") {
            true => format!("revision {revision}  # asked by: scenario"),
            false => line.to_owned(),
        });
        let drains = drains
            .iter()
            .map(|drain| format!("{drain}  # asked by: scenario"));
        let extra = (!valid).then(|| "nonsense  # asked by: scenario".to_owned());
        let end = "end  # asked by: scenario".to_owned();
        let lines: Vec<_> = lines.chain(drains).chain(extra).chain([end]).collect();
        lines.join("\n") + "\n"
    }
}

fn unknown(kind: &'static str, name: &str) -> PlanError {
    PlanError::Unknown {
        kind,
        name: name.to_owned(),
    }
}

fn pool(config: &Config, id: PoolId) -> PoolPlan {
    let window = config.pools[id].as_ref().map(|pool| pool.window);
    let window = window.unwrap_or_default();
    let route = |repeat: Repeat| {
        let routes = config.routes.iter();
        let mut routes = routes.filter_map(|(id, route)| Some((id, route.as_ref()?)));
        let found = routes.find(|(_, route)| route.pool == id && route.repeat == repeat);
        found.map(|(id, _)| config.names.routes.name(id).clone())
    };
    PoolPlan {
        name: config.names.pools.name(id).clone(),
        slots: window.max,
        cold: window.cold,
        idempotent: route(Repeat::Idempotent),
        once: route(Repeat::Once),
    }
}

/// Returns the rules document of a scenario.
fn rules_text(scenario: &Scenario, root: &Path) -> Result<String, PlanError> {
    let mut file = scenario
        .statements
        .iter()
        .filter_map(|statement| match statement {
            Statement::Rules(path) => Some(path),
            _ => None,
        });
    match file.next() {
        Some(path) => Ok(std::fs::read_to_string(root.join(&path.0))?),
        None => Ok(generated_rules(scenario)),
    }
}

/// Generates the rules document from `fleet`, `pool` and `team` statements.
fn generated_rules(scenario: &Scenario) -> String {
    let mut lines = vec!["revision 1".to_owned()];
    let mut centres = 1;
    let mut pools = 0;
    for statement in &scenario.statements {
        match statement {
            Statement::Fleet { centres: count, .. } => centres = *count,
            Statement::Pool(pool) => {
                pools += 1;
                let name = &pool.name;
                lines.push(format!(
                    "pool {name} kind {} cold {} max {}",
                    pool.kind, pool.cold, pool.slots
                ));
                lines.push(format!(
                    "route {name} POST /{name} pool {name} idempotent timeout 30s"
                ));
                lines.push(format!(
                    "route {name}-once POST /{name}-once pool {name} once timeout 30s"
                ));
                lines.extend((1..=pool.targets).map(|number| {
                    let centre = (number - 1) % centres + 1;
                    let [_, _, high, low] = number.to_be_bytes();
                    let address = format!("10.{pools}.{high}.{low}");
                    format!("target {name}-{number} pool {name} data-centre dc{centre} data {address}:7100 control {address}:7101")
                }));
            }
            Statement::Team(team) => lines.push(format!(
                "team {} weight {} class {} queue 100000",
                team.name, team.weight, team.class
            )),
            _ => {}
        }
    }
    lines.extend((1..=centres).map(|number| format!("data-centre dc{number}")));
    lines.push("end".to_owned());
    let lines: Vec<_> = lines
        .iter()
        .map(|line| format!("{line}  # asked by: scenario\n"))
        .collect();
    lines.concat()
}
