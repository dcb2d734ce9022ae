//! Configuration and load of a simulated fleet.

use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::EntityRef;
use entity::{
    Class, Cost, DataCentreId, Directory, Incarnation, Name, PoolId, ProcessId, Revision, RouteId,
    RuleRef, TargetId, TeamId, Weight,
};
use policy::message::Endpoint;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rules::{
    Config, DataCentre, Fencing, Limits, Pool, PoolKind, Repeat, Route, Target, Team, Window,
};

/// The load of a team.
#[derive(Clone, Debug)]
pub struct TeamLoad {
    /// The weight.
    pub weight: u32,
    /// The median cost of a request.
    pub median: f64,
    /// The standard deviation of the logarithm of the cost.
    pub sigma: f64,
    /// The factor by which cost hints are randomly too high or too low.
    pub error: f64,
    /// The routers that receive its requests.
    pub routers: Range<usize>,
    /// The number of requests kept open; 0 for no closed-loop load.
    pub open: usize,
}

/// The settings of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The seed.
    pub seed: u64,
    /// The number of routers.
    pub routers: usize,
    /// The number of agents.
    pub agents: usize,
    /// The number of data centres; processes are assigned round-robin.
    pub centres: usize,
    /// The admission window of each target.
    pub window: Window,
    /// The number of attempts that a warm target can actually run.
    ///
    /// A target starts at the cold window size and gains one slot per completion.
    pub limit: u32,
    /// One-way delay within a data centre.
    pub local_delay: Duration,
    /// One-way delay between data centres.
    pub remote_delay: Duration,
    /// The execution time per token.
    pub token_time: Duration,
    /// The interval between ledger deltas; `None` for no gossip.
    pub gossip: Option<Duration>,
    /// The fraction of control messages that is lost.
    pub loss: f64,
    /// The fraction of control messages that is delivered twice.
    pub duplication: f64,
    /// The timeout of requests.
    pub timeout: Duration,
    /// The teams and their loads.
    pub teams: Vec<TeamLoad>,
}

impl TeamLoad {
    pub(super) fn sample_cost(&self, rng: &mut ChaCha8Rng) -> Cost {
        let cost = self.median * (self.sigma * sample_normal(rng)).exp();
        Cost(cost.round().max(1.0) as i64)
    }

    pub(super) fn hint(&self, cost: Cost, rng: &mut ChaCha8Rng) -> Cost {
        let factor = match rng.random_range(0..2) {
            0 => self.error,
            _ => 1.0 / self.error,
        };
        Cost((cost.0 as f64 * factor).round().max(1.0) as i64)
    }
}

/// Samples the standard normal distribution by the Box-Muller method.
fn sample_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = rng.random_range(f64::EPSILON..1.0);
    let angle: f64 = rng.random_range(0.0..core::f64::consts::TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}

pub(super) fn centre(index: usize, centres: usize) -> Name {
    Name::new(&format!("dc{}", index % centres))
}

pub(super) fn endpoint(kind: &str, index: usize, epoch: u64) -> Endpoint {
    Endpoint {
        id: process(kind, index),
        incarnation: Incarnation(epoch),
        control: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
    }
}

fn process(kind: &str, index: usize) -> ProcessId {
    ProcessId(Name::new(&format!("{kind}-{index}")).tag())
}

pub(super) fn router_index(router: ProcessId, routers: usize) -> usize {
    let index = (0..routers).find(|&index| process("router", index) == router);
    index.expect("the router belongs to the fleet")
}

pub(super) fn config(settings: &FleetSettings) -> Config {
    let mut names = Directory::default();
    let pool = names.pools.intern(&Name::new("pool"));
    let route = names.routes.intern(&Name::new("route"));
    let mut config = Config {
        revision: Revision(1),
        ..Config::default()
    };
    for index in 0..settings.centres {
        let id = names.centres.intern(&centre(index, settings.centres));
        config.centres[id] = Some(DataCentre {
            rule: rule(),
            drain: None,
        });
    }
    for index in 0..settings.agents {
        let id = names.targets.intern(&Name::new(&format!("agent-{index}")));
        config.targets[id] = Some(target(pool, index % settings.centres));
    }
    for (index, load) in settings.teams.iter().enumerate() {
        let id: TeamId = names.teams.intern(&Name::new(&format!("team-{index}")));
        config.teams[id] = Some(Team {
            rule: rule(),
            weight: Weight::new(load.weight).expect("weights are above 0"),
            class: Class::Standard,
            limits: Limits {
                queue: 10_000,
                ..Limits::default()
            },
        });
    }
    config.pools[pool] = Some(Pool {
        rule: rule(),
        kind: PoolKind::Model,
        targets: (0..settings.agents).map(TargetId::new).collect(),
        window: settings.window,
    });
    config.routes[route] = Some(plain_route(pool, settings.timeout));
    config.names = Arc::new(names);
    let _: RouteId = route;
    config
}

fn target(pool: PoolId, centre: usize) -> Target {
    let unused_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Target {
        rule: rule(),
        pool,
        centre: DataCentreId::new(centre),
        data: unused_address,
        control: unused_address,
        fencing: Fencing::Checked,
        drain: None,
        from: None,
        until: None,
    }
}

fn plain_route(pool: PoolId, timeout: Duration) -> Route {
    Route {
        rule: rule(),
        method: Name::new("POST"),
        path: Name::new("/"),
        pool,
        repeat: Repeat::Idempotent,
        class: None,
        hint: Cost(1),
        timeout,
    }
}

fn rule() -> RuleRef {
    RuleRef {
        revision: Revision(1),
        line: 1,
    }
}
