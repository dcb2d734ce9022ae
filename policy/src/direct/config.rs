//! The active configuration, indexed for lookup by request.
//!
//! Invariant: a [`Config`] never changes after it is built; a newer version
//! replaces it as a whole.

use std::time::Duration;

use cranelift_entity::{EntityRef, PrimaryMap, entity_impl};
use entity::Name;
use rustc_hash::FxHashMap;

/// Identifies a route within one configuration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteIndex(u32);
entity_impl!(RouteIndex, "route");

/// Identifies a team within one configuration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamIndex(u32);
entity_impl!(TeamIndex, "team");

/// Whether the requests of a route may be retried.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RetryPolicy {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Never,
    /// The response is an event stream; it may be resumed on another target if
    /// `resumable`.
    Stream {
        /// Whether the stream can be resumed after the last event that was
        /// delivered.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Whether a request that may already have run can be sent again.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::Never | Self::Stream { resumable: false })
    }

    /// Whether the response is an event stream.
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
    /// The path prefix, starting and ending with a slash.
    pub prefix: Name,
    /// Whether requests may be retried.
    pub retry_policy: RetryPolicy,
    /// The maximum time that a caller waits.
    pub timeout: Duration,
    /// The latency objective for the response, or for its first event.
    pub objective: Duration,
    /// The services and their weights; not empty.
    pub split: Vec<(Name, u32)>,
    /// The maximum number of targets on which one request may run.
    pub attempts: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
}

impl Route {
    /// Selects the service for the request with this hash, in proportion to the
    /// weights.
    pub fn service(&self, hash: u64) -> &Name {
        let total: u64 = self
            .split
            .iter()
            .map(|&(_, weight)| u64::from(weight))
            .sum();
        let mut offset = hash % total.max(1);
        for (name, weight) in &self.split {
            match offset.checked_sub(u64::from(*weight)) {
                Some(remaining) => offset = remaining,
                None => return name,
            }
        }
        &self.split[0].0
    }
}

/// The inference engine on the targets of a service.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Engine {
    /// The number of requests that run concurrently on one target.
    pub slots: u32,
    /// The capacity of a target's memory, in tokens.
    pub memory: u64,
    /// Tokens per millisecond that a target copies from another target; 0 if
    /// targets do not copy from each other.
    pub copy_rate: f64,
}

/// One service.
#[derive(Clone, PartialEq, Debug)]
pub struct Service {
    /// The name.
    pub name: Name,
    /// The maximum number of connections to one target from all routers.
    pub connections: u32,
    /// Requests per second that a cold target can handle.
    pub cold_rate: f64,
    /// The engine, if the targets run a model.
    pub engine: Option<Engine>,
}

/// One team.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Team {
    /// The name.
    pub name: Name,
    /// The API keys of its callers.
    pub keys: Vec<Name>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallerLimits {
    /// The maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// The time within which a caller must send a request's head.
    pub head_time: Duration,
    /// The time after which an idle connection is closed.
    pub idle_time: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The services, by name.
    pub services: FxHashMap<Name, Service>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Tokens per second that all targets together generate; 0 if not configured.
    pub pool_rate: f64,
    /// Whether callers need an API key, except on public routes.
    pub needs_keys: bool,
    routes: PrimaryMap<RouteIndex, Route>,
    teams: PrimaryMap<TeamIndex, Team>,
    by_host: FxHashMap<Name, Vec<RouteIndex>>,
    by_key: FxHashMap<Name, TeamIndex>,
    objectives: FxHashMap<Name, Duration>,
}

impl Config {
    /// Builds a configuration and its indexes. Callers need an API key if teams are
    /// configured; an empty list of teams admits nobody.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Option<Vec<Team>>,
        limits: CallerLimits,
        pool_rate: f64,
    ) -> Self {
        let routes: PrimaryMap<RouteIndex, Route> = routes.into_iter().collect();
        let needs_keys = teams.is_some();
        let teams: PrimaryMap<TeamIndex, Team> = teams.into_iter().flatten().collect();
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
                let shortest = objectives.entry(service.clone()).or_insert(route.objective);
                *shortest = route.objective.min(*shortest);
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
            needs_keys,
            by_host,
            by_key,
            objectives,
            routes,
            teams,
        }
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteIndex> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let lowercase_host = host.to_ascii_lowercase();
        let routes = self.by_host.get(lowercase_host.as_str())?;
        let mut matching = routes.iter().copied();
        matching.find(|&index| path.starts_with(self.routes[index].prefix.as_str()))
    }

    /// Returns the team to which an API key belongs.
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

    /// The shortest objective among the routes to a service.
    pub fn min_objective(&self, service: &str) -> Option<Duration> {
        self.objectives.get(service).copied()
    }

    /// The name of the team with a tag, found by a search through all teams.
    pub fn team_of_tag(&self, tag: u64) -> Option<&Name> {
        let mut names = self.teams.values().map(|team| &team.name);
        names.find(|name| name.tag().0 == tag)
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }
}

/// Used as the label of the route in metrics.
impl RouteIndex {
    /// The index, starting at 0.
    pub fn as_usize(self) -> usize {
        self.index()
    }
}
