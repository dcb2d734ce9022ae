//! The compiled form of a rules document.
//!
//! Tables are dense maps keyed by the indices of [`Config::names`]; an entry is
//! `None` when the document in force has no rule for a name that an earlier one had.

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

/// The SHA-256 hash of an API key; the time of a comparison does not depend on the hashes.
#[derive(Clone, Copy, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// The hash of `key`.
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

/// A rules document, checked and compiled.
#[derive(Clone, Default, Debug)]
pub struct Config {
    /// The revision.
    pub revision: Revision,
    /// The hash of the document's text.
    pub hash: DocumentHash,
    /// All names that the process has met, for the indices below.
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
    /// Whether `target` takes no new work by rule, and the rule that says so.
    pub fn drain_rule(&self, target: TargetId) -> Option<RuleRef> {
        let target = self.targets[target].as_ref()?;
        let centre = self.centres[target.centre].as_ref();
        target
            .drain
            .or_else(|| centre.and_then(|centre| centre.drain))
    }

    /// The team whose API key is `key`.
    pub fn team_by_key(&self, key: &str) -> Option<TeamId> {
        self.keys.get(&KeyHash::of(key)).copied()
    }

    /// What was written for `rule`, if it is a rule of this revision.
    pub fn source(&self, rule: RuleRef) -> Option<&RuleSource> {
        let found = self.document.rule(rule.line);
        found
            .filter(|_| rule.revision == self.revision)
            .map(|found| &found.source)
    }

    /// The route of a request, by its path without the query.
    ///
    /// An exact path wins over a pattern, a longer pattern over a shorter one.
    pub fn match_route(&self, method: &str, path: &str) -> Option<RouteId> {
        self.route_table.find(method, path)
    }
}

/// A team.
#[derive(Clone, PartialEq, Debug)]
pub struct Team {
    /// The rule that defines the team.
    pub rule: RuleRef,
    /// Its portion relative to other teams.
    pub weight: Weight,
    /// The class of its requests where the route states none.
    pub class: Class,
    /// What it may hold at one router.
    pub limits: Limits,
}

/// The limits of a team at each router.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Limits {
    /// The greatest number of requests in flight.
    pub in_flight: u32,
    /// The greatest rate of arrivals, if limited.
    pub rate: Option<RateLimit>,
    /// The greatest number of requests that wait.
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
    /// The depth of the bucket in requests.
    pub burst: u32,
}

/// What runs behind a pool.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Display, Serialize, Deserialize)]
pub enum PoolKind {
    /// Language-model engines.
    #[display("model")]
    Model,
    /// Plain services.
    #[display("service")]
    Service,
}

/// A pool of targets.
#[derive(Clone, PartialEq, Debug)]
pub struct Pool {
    /// The rule that defines the pool.
    pub rule: RuleRef,
    /// What runs behind it.
    pub kind: PoolKind,
    /// Its targets, in order of their names.
    pub targets: Vec<TargetId>,
    /// The admission window of its targets.
    pub window: Window,
}

/// The bounds of a target's admission window, in concurrent requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Window {
    /// What a freshly started target can carry.
    pub cold: u32,
    /// What a warm target can carry.
    pub max: u32,
}

impl Default for Window {
    fn default() -> Self {
        Self { cold: 1, max: 16 }
    }
}

/// Whether a target refuses orders with an old fencing number.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Display, Serialize, Deserialize)]
pub enum Fencing {
    /// It refuses them.
    #[display("checked")]
    Checked,
    /// It carries out every order.
    #[display("ignored")]
    Ignored,
}

/// A target and the agent beside it.
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
    /// How the target treats fencing numbers.
    pub fencing: Fencing,
    /// The rule that drains the target, if one does.
    pub drain: Option<RuleRef>,
    /// The issue time of the first key that the target is home to.
    pub from: Option<SystemTime>,
    /// The issue time of the first key that the target is no longer home to.
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
    /// Where matching requests run.
    pub pool: PoolId,
    /// Whether they may be repeated.
    pub repeat: Repeat,
    /// Their class, if it differs from the team's.
    pub class: Option<Class>,
    /// The cost that is assumed before the first end is seen.
    pub hint: Cost,
    /// The time limit where the caller states none.
    pub timeout: Duration,
}

/// A data centre.
#[derive(Clone, PartialEq, Debug)]
pub struct DataCentre {
    /// The rule that defines the data centre.
    pub rule: RuleRef,
    /// The rule that drains it, if one does.
    pub drain: Option<RuleRef>,
}

/// A model and where it is to be loaded.
#[derive(Clone, PartialEq, Debug)]
pub struct Model {
    /// The rule that defines the model.
    pub rule: RuleRef,
    /// The pool whose engines load it.
    pub pool: PoolId,
    /// The version.
    pub version: Name,
    /// The number of targets that hold it.
    pub replicas: u32,
}
