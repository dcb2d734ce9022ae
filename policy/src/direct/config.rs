//! The configuration in force, compiled for look-ups by request.
//!
//! Invariant: a [`Config`] never changes after it is built; a newer version
//! replaces it as a whole.

use std::time::Duration;

use cranelift_entity::{EntityRef, PrimaryMap, entity_impl};
use entity::Name;
use rustc_hash::FxHashMap;

/// A route of one configuration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteIndex(u32);
entity_impl!(RouteIndex, "route");

/// A team of one configuration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamIndex(u32);
entity_impl!(TeamIndex, "team");

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Repeat {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Never,
    /// A stream of events; it may go on at another target if `resumable`.
    Stream {
        /// Whether a run may go on after the last event that was delivered.
        resumable: bool,
    },
}

impl Repeat {
    /// Whether a request that may have run can be sent again.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::Never | Self::Stream { resumable: false })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One route.
#[derive(Clone, PartialEq, Debug)]
pub struct Route {
    /// The name.
    pub name: Name,
    /// The host that callers address, in lower case.
    pub host: Name,
    /// The leading part of the path, with a slash at both ends.
    pub prefix: Name,
    /// What may be repeated.
    pub repeat: Repeat,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is wanted.
    pub objective: Duration,
    /// The services and their weights; at least one.
    pub split: Vec<(Name, u32)>,
    /// The greatest number of targets on which one request may run.
    pub attempts: u32,
    /// Whether callers need no key.
    pub open: bool,
}

impl Route {
    /// The service of the request with this hash.
    pub fn service(&self, hash: u64) -> &Name {
        let total: u64 = self
            .split
            .iter()
            .map(|&(_, weight)| u64::from(weight))
            .sum();
        let mut point = hash % total.max(1);
        for (name, weight) in &self.split {
            match point.checked_sub(u64::from(*weight)) {
                Some(rest) => point = rest,
                None => return name,
            }
        }
        &self.split[0].0
    }
}

/// The engine of a service's targets.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Engine {
    /// Requests that run at once on one target.
    pub slots: u32,
    /// Tokens that fit a target's memory.
    pub memory: u64,
    /// Tokens per millisecond that a target copies from another one; 0 if targets
    /// do not copy from each other.
    pub copy_rate: f64,
}

/// One service.
#[derive(Clone, PartialEq, Debug)]
pub struct Service {
    /// The name.
    pub name: Name,
    /// The greatest number of connections to one target from all routers.
    pub connections: u32,
    /// Requests per second that a cold target carries.
    pub cold_rate: f64,
    /// The engine, if the service's targets are model engines.
    pub engine: Option<Engine>,
}

/// One team.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Team {
    /// The name.
    pub name: Name,
    /// The secret keys of its callers.
    pub keys: Vec<Name>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallerLimits {
    /// The greatest size of a request's head in bytes.
    pub head_bytes: usize,
    /// The greatest size of a request's body in bytes.
    pub body_bytes: usize,
    /// The time for a caller to send a request's head.
    pub head_time: Duration,
    /// The time that a connection may be idle.
    pub idle_time: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The services by name.
    pub services: FxHashMap<Name, Service>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// Tokens per second that all targets together produce; 0 if not stated.
    pub pool_rate: f64,
    routes: PrimaryMap<RouteIndex, Route>,
    teams: PrimaryMap<TeamIndex, Team>,
    by_host: FxHashMap<Name, Vec<RouteIndex>>,
    by_key: FxHashMap<Name, TeamIndex>,
    objectives: FxHashMap<Name, Duration>,
}

impl Config {
    /// Compiles a configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Vec<Team>,
        limits: CallerLimits,
        pool_rate: f64,
    ) -> Self {
        let routes: PrimaryMap<RouteIndex, Route> = routes.into_iter().collect();
        let teams: PrimaryMap<TeamIndex, Team> = teams.into_iter().collect();
        let mut by_host: FxHashMap<Name, Vec<RouteIndex>> = FxHashMap::default();
        for (index, route) in &routes {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(routes[index].prefix.as_str().len()));
        }
        let keys = teams.iter().flat_map(|(index, team)| {
            let keys = team.keys.iter();
            keys.map(move |key| (key.clone(), index))
        });
        let by_key = keys.collect();
        let mut objectives: FxHashMap<Name, Duration> = FxHashMap::default();
        for route in routes.values() {
            for (service, _) in &route.split {
                let least = objectives.entry(service.clone()).or_insert(route.objective);
                *least = route.objective.min(*least);
            }
        }
        let services = services.into_iter();
        Self {
            version,
            services: services
                .map(|service| (service.name.clone(), service))
                .collect(),
            limits,
            pool_rate,
            by_host,
            by_key,
            objectives,
            routes,
            teams,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteIndex> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let lower = host.to_ascii_lowercase();
        let routes = self.by_host.get(lower.as_str())?;
        let mut matching = routes.iter().copied();
        matching.find(|&index| path.starts_with(self.routes[index].prefix.as_str()))
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<TeamIndex> {
        self.by_key.get(key).copied()
    }

    /// A route by its index.
    pub fn route_at(&self, index: RouteIndex) -> &Route {
        &self.routes[index]
    }

    /// A team by its index.
    pub fn team_at(&self, index: TeamIndex) -> &Team {
        &self.teams[index]
    }

    /// The least objective of the routes that lead to a service.
    pub fn least_objective(&self, service: &str) -> Option<Duration> {
        self.objectives.get(service).copied()
    }

    /// Whether callers of some route need a key.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }
}

/// A stable number of a route index, for labels of metrics.
impl RouteIndex {
    /// The number from 0.
    pub fn number(self) -> usize {
        self.index()
    }
}
