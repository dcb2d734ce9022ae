//! The compiled form of a rules document.
//!
//! Tables are dense maps keyed by the indices of [`Config::names`]; an entry is
//! `None` if the active document does not define a name that an earlier one defined.

use core::fmt;
use core::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cranelift_entity::SecondaryMap;
use derive_more::Display;
use entity::{
    Class, Cost, DataCentreId, Directory, DocumentHash, ModelId, Name, PoolId, Revision, RouteId,
    RuleRef, TargetId, TeamId, Weight,
};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::document::{Document, RuleSource};
use crate::route::RouteTable;

/// The SHA-256 hash of an API key, which is compared in constant time.
#[derive(Clone, Copy, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Computes the hash of `key`.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Hash for KeyHash {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("sha256:")?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A checked and compiled rules document.
#[derive(Clone, Default, Debug)]
pub struct Config {
    /// The revision.
    pub revision: Revision,
    /// The hash of the document's text.
    pub hash: DocumentHash,
    /// All names that the process has interned, which the indices below refer to.
    pub names: Arc<Directory>,
    /// Teams.
    pub teams: SecondaryMap<TeamId, Option<Team>>,
    /// Teams by the hash of their API keys.
    pub keys: FxHashMap<KeyHash, TeamId>,
    /// Pools.
    pub pools: SecondaryMap<PoolId, Option<Pool>>,
    /// Targets.
    pub targets: SecondaryMap<TargetId, Option<Target>>,
    /// Routes.
    pub routes: SecondaryMap<RouteId, Option<Route>>,
    /// Data centres.
    pub centres: SecondaryMap<DataCentreId, Option<DataCentre>>,
    /// Models.
    pub models: SecondaryMap<ModelId, Option<Model>>,
    /// Routes by method and path.
    pub route_table: RouteTable,
    /// The document itself.
    pub document: Arc<Document>,
}

impl Config {
    /// Returns the rule that drains `target` or its data centre, if any.
    pub fn drain_rule(&self, target: TargetId) -> Option<RuleRef> {
        let target = self.targets[target].as_ref()?;
        let centre = self.centres[target.centre].as_ref();
        target
            .drain
            .or_else(|| centre.and_then(|centre| centre.drain))
    }

    /// Returns the team whose API key is `key`.
    pub fn team_by_key(&self, key: &str) -> Option<TeamId> {
        self.keys.get(&KeyHash::of(key)).copied()
    }

    /// Returns the source of `rule`, if it is a rule of this revision.
    pub fn source(&self, rule: RuleRef) -> Option<&RuleSource> {
        let found = self.document.rule(rule.line);
        found
            .filter(|_| rule.revision == self.revision)
            .map(|found| &found.source)
    }

    /// Returns the route of a request, by its path without the query.
    ///
    /// An exact path takes precedence over a pattern, and a longer pattern over a
    /// shorter one.
    pub fn match_route(&self, method: &str, path: &str) -> Option<RouteId> {
        self.route_table.find(method, path)
    }
}

/// A team.
#[derive(Clone, PartialEq, Debug)]
pub struct Team {
    /// The rule that defines the team.
    pub rule: RuleRef,
    /// Its share relative to other teams.
    pub weight: Weight,
    /// The class of its requests if the route specifies none.
    pub class: Class,
    /// Its limits at each router.
    pub limits: Limits,
}

/// The limits of a team at each router.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Limits {
    /// The maximum number of requests in flight.
    pub in_flight: u32,
    /// The maximum arrival rate, if limited.
    pub rate: Option<RateLimit>,
    /// The maximum number of queued requests.
    pub queue: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            in_flight: 10_000,
            rate: None,
            queue: 1_000,
        }
    }
}

/// A token-bucket rate limit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RateLimit {
    /// Requests per second.
    pub rate: u32,
    /// The capacity of the bucket, in requests.
    pub burst: u32,
}

/// The kind of back end in a pool.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Display, Serialize, Deserialize)]
pub enum PoolKind {
    /// Language-model engines.
    #[display("model")]
    Model,
    /// Ordinary services.
    #[display("service")]
    Service,
}

/// A pool of targets.
#[derive(Clone, PartialEq, Debug)]
pub struct Pool {
    /// The rule that defines the pool.
    pub rule: RuleRef,
    /// The kind of its targets.
    pub kind: PoolKind,
    /// Its targets, in order of their names.
    pub targets: Vec<TargetId>,
    /// The admission window of its targets.
    pub window: Window,
}

/// The bounds of a target's admission window, in concurrent requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Window {
    /// The window of a newly started target.
    pub cold: u32,
    /// The window of a warm target.
    pub max: u32,
}

impl Default for Window {
    fn default() -> Self {
        Self { cold: 1, max: 16 }
    }
}

/// Whether a target rejects orders with a stale fencing number.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Display, Serialize, Deserialize)]
pub enum Fencing {
    /// It rejects them.
    #[display("checked")]
    Checked,
    /// It executes every order.
    #[display("ignored")]
    Ignored,
}

/// A target and its agent.
#[derive(Clone, PartialEq, Debug)]
pub struct Target {
    /// The rule that defines the target.
    pub rule: RuleRef,
    /// Its pool.
    pub pool: PoolId,
    /// Its data centre.
    pub centre: DataCentreId,
    /// The agent's address for requests.
    pub data: SocketAddr,
    /// The agent's address for control messages.
    pub control: SocketAddr,
    /// How the target handles fencing numbers.
    pub fencing: Fencing,
    /// The rule that drains the target, if any.
    pub drain: Option<RuleRef>,
    /// The earliest issue time of keys that may be assigned to the target.
    pub from: Option<SystemTime>,
    /// The issue time from which keys are no longer assigned to the target.
    pub until: Option<SystemTime>,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Display, Serialize, Deserialize)]
pub enum Repeat {
    /// Idempotent: it may run again.
    #[display("idempotent")]
    Idempotent,
    /// It runs at most once.
    #[display("once")]
    Once,
}

/// A route.
#[derive(Clone, PartialEq, Debug)]
pub struct Route {
    /// The rule that defines the route.
    pub rule: RuleRef,
    /// The HTTP method, in capitals.
    pub method: Name,
    /// The path; a final `*` matches any rest.
    pub path: Name,
    /// The pool that runs matching requests.
    pub pool: PoolId,
    /// Whether they may be repeated.
    pub repeat: Repeat,
    /// Their class, if it differs from the team's.
    pub class: Option<Class>,
    /// The cost that is assumed before the first request completes.
    pub hint: Cost,
    /// The time limit if the caller specifies none.
    pub timeout: Duration,
}

/// A data centre.
#[derive(Clone, PartialEq, Debug)]
pub struct DataCentre {
    /// The rule that defines the data centre.
    pub rule: RuleRef,
    /// The rule that drains it, if any.
    pub drain: Option<RuleRef>,
}

/// A model and its placement.
#[derive(Clone, PartialEq, Debug)]
pub struct Model {
    /// The rule that defines the model.
    pub rule: RuleRef,
    /// The pool whose engines load it.
    pub pool: PoolId,
    /// The version.
    pub version: Name,
    /// The number of targets that load it.
    pub replicas: u32,
}
