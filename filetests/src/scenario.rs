//! The scenario language.
//!
//! A scenario is a list of statements, one per line: a fleet, its load, faults at
//! given times and the promises to check. [`Scenario::parse`] reads one and
//! [`Display`](core::fmt::Display) writes it; `docs/scenarios.md` describes it.

mod parse;
mod promise;
mod write;

use std::time::Duration;

use entity::{Class, Name};
use rules::PoolKind;

pub use parse::ParseError;
pub use promise::Promise;

/// A scenario.
#[derive(Clone, Default, PartialEq, Debug)]
pub struct Scenario {
    /// The statements, in order.
    pub statements: Vec<Statement>,
}

/// One line of a scenario.
#[derive(Clone, PartialEq, Debug)]
pub enum Statement {
    /// The seed of all random choices.
    Seed(u64),
    /// The numbers of routers and data centres.
    Fleet {
        /// The number of routers.
        routers: u32,
        /// The number of data centres, named `dc1`, `dc2` and so on.
        centres: u32,
    },
    /// A rules file, used instead of `pool` and `team` statements.
    Rules(FilePath),
    /// A pool, with targets named after it.
    Pool(PoolStatement),
    /// A team.
    Team(TeamStatement),
    /// The one-way delay of messages.
    Delay {
        /// The delay.
        time: Duration,
        /// The two data centres to which it applies; if absent, the default delay.
        between: Option<(Name, Name)>,
    },
    /// The fraction of control messages that is lost.
    Loss(Percent),
    /// The fraction of messages that is delivered a second time, later.
    Double(Percent),
    /// The interval between ledger deltas.
    Gossip(Duration),
    /// The execution time per cost unit on a target.
    Token(Duration),
    /// The policy by which agents share their slots between teams.
    Policy(PolicyName),
    /// A bug planted to verify that a check detects it.
    PlantedBug(PlantedBug),
    /// Requests at a constant rate.
    Arrive {
        /// The team.
        team: Name,
        /// The interval between requests.
        every: Duration,
        /// The request options.
        load: Load,
    },
    /// A constant number of open requests of a team.
    Backlog {
        /// The team.
        team: Name,
        /// The number of open requests.
        open: u32,
        /// The request options.
        load: Load,
    },
    /// An event at a point in time.
    At {
        /// The time since the start of the scenario.
        time: Duration,
        /// The event.
        event: Event,
    },
    /// The length of the scenario.
    Run(Duration),
    /// A promise to check.
    Expect(Promise),
}

/// The path of a file, relative to the repository's root.
#[derive(Clone, PartialEq, Eq, Debug, derive_more::Display)]
pub struct FilePath(pub String);

/// A fraction, in percent.
#[derive(Clone, Copy, PartialEq, Debug, derive_more::Display)]
#[display("{_0}%")]
pub struct Percent(pub f64);

/// A pool.
#[derive(Clone, PartialEq, Debug)]
pub struct PoolStatement {
    /// The name.
    pub name: Name,
    /// The kind of its targets.
    pub kind: PoolKind,
    /// The number of targets.
    pub targets: u32,
    /// The requests that a warm target can run at once.
    pub slots: u32,
    /// The requests that a cold target can run at once.
    pub cold: u32,
}

/// A team.
#[derive(Clone, PartialEq, Debug)]
pub struct TeamStatement {
    /// The name.
    pub name: Name,
    /// The weight.
    pub weight: u32,
    /// The class of its requests.
    pub class: Class,
}

/// The properties of the requests from one source.
#[derive(Clone, Default, PartialEq, Debug)]
pub struct Load {
    /// The pool; the first one if absent.
    pub pool: Option<Name>,
    /// The number of the router that receives them; any if absent.
    pub router: Option<u32>,
    /// The cost distribution.
    pub cost: Option<CostDistribution>,
    /// The factor by which cost hints are too high or too low; absent for exact hints.
    pub hint: Option<u32>,
    /// When the first request arrives.
    pub from: Option<Duration>,
    /// When arrivals stop.
    pub until: Option<Duration>,
    /// The idempotency keys, if the requests may run at most once.
    pub key: Option<KeyChoice>,
    /// How many times each request is sent; once if absent.
    pub repeat: Option<u32>,
}

/// The distribution of the cost of requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CostDistribution {
    /// The cost, or the median of the costs.
    pub median: u32,
    /// Whether costs are log-normal, with a standard deviation of the logarithm of 1.
    pub lognormal: bool,
}

/// Which idempotency key a request carries.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum KeyChoice {
    /// A new key for each request, shared by its repeats.
    Fresh,
    /// No key from the caller; the router issues a ticket for each request.
    Ticket,
    /// A named key shared by all requests.
    Named(Name),
}

/// Policies for sharing the slots of a target between teams.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, derive_more::Display)]
pub enum PolicyName {
    /// The production policy.
    #[default]
    #[display("fair")]
    Fair,
    /// First come, first served.
    #[display("push-fifo")]
    PushFifo,
    /// Equal service to every router.
    #[display("quota")]
    Quota,
    /// Fair sharing based only on the counters of each agent.
    #[display("own-counter")]
    OwnCounter,
}

/// A bug planted in the fleet.
#[derive(Clone, PartialEq, Eq, Debug, derive_more::Display)]
pub enum PlantedBug {
    /// Agents rank this team before all others.
    #[display("favour {_0}")]
    Favour(Name),
    /// Agents start attempts that they should reject because no slot is free.
    #[display("overrun")]
    Overrun,
    /// Agents and routers ignore drains.
    #[display("ignore-drain")]
    IgnoreDrain,
    /// Fleet state machines never see VMs marked as leaving in the VM list.
    #[display("ignore-list")]
    IgnoreList,
    /// Agents answer `not run` for requests that a target may have run.
    #[display("false-refusal")]
    FalseRefusal,
    /// Agents do not receive idempotency keys.
    #[display("drop-keys")]
    DropKeys,
    /// A planned stop ends the process immediately.
    #[display("cut-on-stop")]
    CutOnStop,
    /// Processes never replace their first configuration.
    #[display("stale-rules")]
    StaleRules,
    /// A process reverts to its first configuration.
    #[display("revert-rules")]
    RevertRules,
    /// Agents lose every second pull.
    #[display("lose-pulls")]
    LosePulls,
    /// Targets mix up answers and routers relay them without checking their ids.
    #[display("cross-answers")]
    CrossAnswers,
    /// Agents report a truncated answer of a crashed target as complete.
    #[display("cut-answers")]
    CutAnswers,
    /// Agents do not receive fingerprints.
    #[display("drop-fingerprints")]
    DropFingerprints,
    /// Agents report every rejection as a quarantine.
    #[display("blame-all")]
    BlameAll,
    /// Routers lose every hundredth request.
    #[display("forget-requests")]
    ForgetRequests,
}

/// A process, a set of processes or the configuration service.
#[derive(Clone, PartialEq, Eq, Debug, derive_more::Display)]
pub enum Place {
    /// A router, by number from 1.
    #[display("router {_0}")]
    Router(u32),
    /// The agent beside a target.
    #[display("agent {_0}")]
    Agent(Name),
    /// All processes of a data centre.
    #[display("data-centre {_0}")]
    Centre(Name),
    /// The configuration service.
    #[display("service")]
    Service,
}

/// An event at a point in time.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Event {
    /// A network partition.
    Cut {
        /// One side.
        place: Place,
        /// The other side; everything else if absent.
        from: Option<Place>,
    },
    /// All partitions end.
    Heal,
    /// Processes are suspended.
    Pause {
        /// The processes.
        place: Place,
        /// The duration.
        time: Duration,
    },
    /// Processes crash and restart without state.
    Restart(Place),
    /// Processes begin a planned stop.
    Stop(Place),
    /// A target crashes and restarts cold.
    Cold(Name),
    /// A caller repeatedly sends a request that crashes every target that runs it.
    Crash(Name),
    /// A team sends a burst of requests.
    Flood {
        /// The team.
        team: Name,
        /// Requests per second.
        rate: u32,
        /// The duration.
        time: Duration,
    },
    /// The configuration service changes its behaviour.
    Service(ServiceMode),
    /// A new revision of the rules is published.
    Publish(Change),
    /// The VM list marks the VM of a target as leaving.
    Leaves(Name),
    /// The wall clock of a process jumps.
    Skew {
        /// The processes.
        place: Place,
        /// Whether it jumps backwards.
        back: bool,
        /// The offset.
        by: Duration,
    },
}

/// The behaviour of the configuration service.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, derive_more::Display)]
pub enum ServiceMode {
    /// It answers reads.
    #[default]
    #[display("up")]
    Up,
    /// It does not answer.
    #[display("down")]
    Down,
    /// It answers with the values from when it became stale.
    #[display("stale")]
    Stale,
    /// It answers with garbage.
    #[display("garbage")]
    Garbage,
}

/// The change made by a new revision of the rules.
#[derive(Clone, PartialEq, Eq, Debug, derive_more::Display)]
pub enum Change {
    /// A data centre is drained.
    #[display("drain data-centre {_0}")]
    DrainCentre(Name),
    /// The drain of a data centre ends.
    #[display("undrain data-centre {_0}")]
    UndrainCentre(Name),
    /// A target is drained.
    #[display("drain target {_0}")]
    DrainTarget(Name),
    /// The drain of a target ends.
    #[display("undrain target {_0}")]
    UndrainTarget(Name),
    /// The revision is not valid.
    #[display("invalid")]
    Invalid,
}
