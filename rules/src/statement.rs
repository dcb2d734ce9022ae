//! The statements of the rules language and their canonical text.

use core::fmt;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use derive_more::{Display, From};
use entity::{Class, Cost, Name, Revision, Weight};

use crate::config::{Fencing, KeyHash, Limits, PoolKind, RateLimit, Repeat, Window};
use crate::value;

/// One statement, without its comment.
#[derive(Clone, PartialEq, Eq, Debug, Display, From)]
pub enum Statement {
    /// The document's revision.
    #[display("revision {_0}")]
    Revision(Revision),
    /// A data centre.
    #[display("data-centre {_0}")]
    #[from(skip)]
    DataCentre(Name),
    /// A pool.
    Pool(PoolStatement),
    /// A target.
    Target(TargetStatement),
    /// A team.
    Team(TeamStatement),
    /// An API key of a team.
    Key(KeyStatement),
    /// A route.
    Route(RouteStatement),
    /// A model.
    Model(ModelStatement),
    /// A drain of a data centre or a target.
    Drain(DrainStatement),
    /// A reference to another value whose lines belong to the document.
    Part(PartStatement),
    /// The end of the root document.
    #[display("end")]
    #[from(skip)]
    End,
}

/// `pool NAME kind model|service [cold N] [max N]`
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PoolStatement {
    /// The name.
    pub name: Name,
    /// The kind of back end.
    pub kind: PoolKind,
    /// The window of a newly started target, in concurrent requests.
    pub cold: Option<u32>,
    /// The window of a warm target, in concurrent requests.
    pub max: Option<u32>,
}

/// `target NAME pool P data-centre D data IP:PORT control IP:PORT ...`
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct TargetStatement {
    /// The name.
    pub name: Name,
    /// The pool.
    pub pool: Name,
    /// The data centre.
    pub centre: Name,
    /// The agent's address for requests.
    pub data: SocketAddr,
    /// The agent's address for control messages.
    pub control: SocketAddr,
    /// How the target handles fencing numbers.
    pub fencing: Option<Fencing>,
    /// The earliest issue time of keys that may be assigned to the target.
    pub from: Option<SystemTime>,
    /// The issue time from which keys are no longer assigned to the target.
    pub until: Option<SystemTime>,
}

/// `team NAME [weight N] [class C] [in-flight N] [rate N/s] [burst N] [queue N]`
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct TeamStatement {
    /// The name.
    pub name: Name,
    /// The weight.
    pub weight: Option<u32>,
    /// The class.
    pub class: Option<Class>,
    /// The maximum number of requests in flight at one router.
    pub in_flight: Option<u32>,
    /// The maximum arrival rate at one router, in requests per second.
    pub rate: Option<u32>,
    /// The capacity of the rate limit's token bucket, in requests.
    pub burst: Option<u32>,
    /// The maximum number of queued requests at one router.
    pub queue: Option<u32>,
}

/// `key TEAM sha256:HEX`
#[derive(Clone, PartialEq, Eq, Debug, Display)]
#[display("key {team} {hash}")]
pub struct KeyStatement {
    /// The team.
    pub team: Name,
    /// The hash of the key.
    pub hash: KeyHash,
}

/// `route NAME METHOD PATH pool P idempotent|once [class C] [cost N] [timeout T]`
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RouteStatement {
    /// The name.
    pub name: Name,
    /// The HTTP method.
    pub method: Name,
    /// The path; a final `*` matches any rest.
    pub path: Name,
    /// The pool.
    pub pool: Name,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// The class, which overrides the team's.
    pub class: Option<Class>,
    /// The assumed cost of a request.
    pub cost: Option<Cost>,
    /// The time limit if the caller specifies none.
    pub timeout: Option<Duration>,
}

/// `model NAME pool P version V replicas N`
#[derive(Clone, PartialEq, Eq, Debug, Display)]
#[display("model {name} pool {pool} version {version} replicas {replicas}")]
pub struct ModelStatement {
    /// The name.
    pub name: Name,
    /// The pool.
    pub pool: Name,
    /// The version.
    pub version: Name,
    /// The number of targets that load the model.
    pub replicas: u32,
}

/// `drain data-centre D` or `drain target T`
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Display)]
pub enum DrainStatement {
    /// Drains a data centre.
    #[display("drain data-centre {_0}")]
    DataCentre(Name),
    /// Drains a target.
    #[display("drain target {_0}")]
    Target(Name),
}

/// `part KEY sha256:HEX`
#[derive(Clone, PartialEq, Eq, Debug, Display)]
#[display("part {key} {hash}")]
pub struct PartStatement {
    /// The key in the configuration service.
    pub key: Name,
    /// The hash of the value.
    pub hash: KeyHash,
}

/// The time limit of a route whose rule specifies none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// The assumed cost of a request whose route specifies none.
pub const DEFAULT_HINT: Cost = Cost(100);

impl PoolStatement {
    /// Returns the admission window, with defaults for omitted values.
    pub fn window(&self) -> Window {
        let default = Window::default();
        Window {
            cold: self.cold.unwrap_or(default.cold),
            max: self.max.unwrap_or(default.max),
        }
    }
}

impl TargetStatement {
    /// Returns how the target handles fencing numbers; they count as ignored unless the
    /// rule specifies otherwise.
    pub fn fencing(&self) -> Fencing {
        self.fencing.unwrap_or(Fencing::Ignored)
    }
}

impl TeamStatement {
    /// Returns the weight, which defaults to 1.
    pub fn weight(&self) -> Weight {
        self.weight.and_then(Weight::new).unwrap_or_default()
    }

    /// Returns the limits, with defaults for omitted values.
    pub fn limits(&self) -> Limits {
        let default = Limits::default();
        let rate = self.rate.map(|rate| RateLimit {
            rate,
            burst: self.burst.unwrap_or(rate),
        });
        Limits {
            in_flight: self.in_flight.unwrap_or(default.in_flight),
            rate,
            queue: self.queue.unwrap_or(default.queue),
        }
    }
}

impl RouteStatement {
    /// Returns the assumed cost of a request.
    pub fn hint(&self) -> Cost {
        self.cost.unwrap_or(DEFAULT_HINT)
    }

    /// Returns the time limit if the caller specifies none.
    pub fn timeout(&self) -> Duration {
        self.timeout.unwrap_or(DEFAULT_TIMEOUT)
    }
}

/// Writes ` key value` if the value is present.
fn option<T: fmt::Display>(f: &mut fmt::Formatter<'_>, key: &str, value: Option<T>) -> fmt::Result {
    match value {
        Some(value) => write!(f, " {key} {value}"),
        None => Ok(()),
    }
}

impl fmt::Display for PoolStatement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "pool {} kind {}", self.name, self.kind)?;
        option(f, "cold", self.cold)?;
        option(f, "max", self.max)
    }
}

impl fmt::Display for TargetStatement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "target {} pool {}", self.name, self.pool)?;
        write!(f, " data-centre {}", self.centre)?;
        write!(f, " data {} control {}", self.data, self.control)?;
        option(f, "fencing", self.fencing)?;
        option(f, "from", self.from.map(value::format_time))?;
        option(f, "until", self.until.map(value::format_time))
    }
}

impl fmt::Display for TeamStatement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "team {}", self.name)?;
        option(f, "weight", self.weight)?;
        option(f, "class", self.class)?;
        option(f, "in-flight", self.in_flight)?;
        option(f, "rate", self.rate.map(|rate| format!("{rate}/s")))?;
        option(f, "burst", self.burst)?;
        option(f, "queue", self.queue)
    }
}

impl fmt::Display for RouteStatement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            method,
            path,
            pool,
            repeat,
            ..
        } = self;
        write!(f, "route {name} {method} {path} pool {pool} {repeat}")?;
        option(f, "class", self.class)?;
        option(f, "cost", self.cost)?;
        option(f, "timeout", self.timeout.map(value::format_timeout))
    }
}
