//! The scenario language.
//!
//! A scenario is a list of statements, one a line: a fleet, its load, faults at
//! given times and the promises that are checked. [`Scenario::parse`] reads one and
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
    /// Its statements, in order.
    pub statements: Vec<Statement>,
}

/// One line of a scenario.
#[derive(Clone, PartialEq, Debug)]
pub enum Statement {
    /// The seed of all random choices.
    Seed(u64),
    /// Routers and data centres.
    Fleet {
        /// The number of routers.
        routers: u32,
        /// The number of data centres, named `dc1`, `dc2` and so on.
        centres: u32,
    },
    /// A rules file that takes the place of `pool` and `team` statements.
    Rules(FilePath),
    /// A pool, with targets named after it.
    Pool(PoolStatement),
    /// A team.
    Team(TeamStatement),
    /// The one-way delay of messages.
    Delay {
        /// The delay.
        time: Duration,
        /// The data centres between which it holds; everywhere else if absent.
        between: Option<(Name, Name)>,
    },
    /// The part of control messages that is lost.
    Loss(Percent),
    /// The part of messages that arrives a second time, later.
    Double(Percent),
    /// The interval between deltas of a ledger row.
    Gossip(Duration),
    /// The time that a target takes for one cost unit.
    Token(Duration),
    /// How agents divide their slots.
    Policy(PolicyName),
    /// A broken part, to prove that a check finds it.
    PlantedBug(PlantedBug),
    /// Requests at a steady rate.
    Arrive {
        /// The team.
        team: Name,
        /// The time between two of them.
        every: Duration,
        /// The rest.
        load: Load,
    },
    /// A number of requests that a team keeps open.
    Backlog {
        /// The team.
        team: Name,
        /// The number.
        open: u32,
        /// The rest.
        load: Load,
    },
    /// Something that happens at a point in time.
    At {
        /// When.
        time: Duration,
        /// What.
        event: Event,
    },
    /// How long the scenario lasts.
    Run(Duration),
    /// A promise that has to hold.
    Expect(Promise),
}

/// The path of a file, relative to the repository's root.
#[derive(Clone, PartialEq, Eq, Debug, derive_more::Display)]
pub struct FilePath(pub String);

/// A part of a whole, in percent.
#[derive(Clone, Copy, PartialEq, Debug, derive_more::Display)]
#[display("{_0}%")]
pub struct Percent(pub f64);

/// A pool.
#[derive(Clone, PartialEq, Debug)]
pub struct PoolStatement {
    /// Its name.
    pub name: Name,
    /// What runs behind it.
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
    /// Its name.
    pub name: Name,
    /// Its weight.
    pub weight: u32,
    /// The class of its requests.
    pub class: Class,
}

/// How requests of one source look and where they arrive.
#[derive(Clone, Default, PartialEq, Debug)]
pub struct Load {
    /// The pool; the first one if absent.
    pub pool: Option<Name>,
    /// The number of the router at which they arrive; any if absent.
    pub router: Option<u32>,
    /// Their cost.
    pub cost: Option<CostDistribution>,
    /// The factor by which hints are wrong, up or down; absent for exact hints.
    pub hint: Option<u32>,
    /// When the first one arrives.
    pub from: Option<Duration>,
    /// When no more arrive.
    pub until: Option<Duration>,
    /// Their idempotency keys, if they may run at most once.
    pub key: Option<KeyChoice>,
    /// The number of times that each is sent; once if absent.
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

/// Which idempotency key a request bears.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum KeyChoice {
    /// A new one for each request; its repeats bear the same.
    Fresh,
    /// None of the caller's own: the router mints a ticket for each request.
    Ticket,
    /// One key for all, by name.
    Named(Name),
}

/// The ways to divide a target's slots between teams.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, derive_more::Display)]
pub enum PolicyName {
    /// The policy in use.
    #[default]
    #[display("fair")]
    Fair,
    /// First come, first served.
    #[display("push-fifo")]
    PushFifo,
    /// Equal service to every router.
    #[display("quota")]
    Quota,
    /// Fair by the counters of each agent alone.
    #[display("own-counter")]
    OwnCounter,
}

/// A broken part of the fleet.
#[derive(Clone, PartialEq, Eq, Debug, derive_more::Display)]
pub enum PlantedBug {
    /// Agents rank this team before all others.
    #[display("favour {_0}")]
    Favour(Name),
    /// Agents start what they should refuse for want of a slot.
    #[display("overrun")]
    Overrun,
    /// Agents and routers never see a drain.
    #[display("ignore-drain")]
    IgnoreDrain,
    /// Fleet machines never see that the VM list calls a VM leaving.
    #[display("ignore-list")]
    IgnoreList,
    /// Agents answer `not run` for what a target may have run.
    #[display("false-refusal")]
    FalseRefusal,
    /// Agents do not see idempotency keys.
    #[display("drop-keys")]
    DropKeys,
    /// A planned stop ends a process at once.
    #[display("cut-on-stop")]
    CutOnStop,
    /// Processes keep their first configuration.
    #[display("stale-rules")]
    StaleRules,
    /// A process goes back to its first configuration after a while.
    #[display("revert-rules")]
    RevertRules,
    /// Agents lose every second pull.
    #[display("lose-pulls")]
    LosePulls,
    /// Routers relay an answer without a look at its ids, and targets mix answers up.
    #[display("cross-answers")]
    CrossAnswers,
    /// Agents pass the answer of a target that died for a whole one.
    #[display("cut-answers")]
    CutAnswers,
    /// Agents do not see fingerprints.
    #[display("drop-fingerprints")]
    DropFingerprints,
    /// Agents call every refusal a quarantine.
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

/// Something that happens at a point in time.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Event {
    /// Processes lose contact.
    Cut {
        /// One side.
        place: Place,
        /// The other side; everything else if absent.
        from: Option<Place>,
    },
    /// All contact is restored.
    Heal,
    /// Processes stand still.
    Pause {
        /// Which.
        place: Place,
        /// For how long.
        time: Duration,
    },
    /// Processes die and start empty.
    Restart(Place),
    /// Processes are told to stop when their work has ended.
    Stop(Place),
    /// A target restarts cold without warning.
    Cold(Name),
    /// A caller sends a request that crashes each target that runs it, again and again.
    Crash(Name),
    /// A team sends many requests.
    Flood {
        /// The team.
        team: Name,
        /// Requests per second.
        rate: u32,
        /// For how long.
        time: Duration,
    },
    /// The configuration service changes its behaviour.
    Service(ServiceMode),
    /// A new revision of the rules is published.
    Publish(Change),
    /// The VM list calls a target's VM leaving.
    Leaves(Name),
    /// A process's wall clock moves.
    Skew {
        /// Which.
        place: Place,
        /// Whether it moves back.
        back: bool,
        /// By how much.
        by: Duration,
    },
}

/// How the configuration service behaves.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, derive_more::Display)]
pub enum ServiceMode {
    /// It answers.
    #[default]
    #[display("up")]
    Up,
    /// It does not answer.
    #[display("down")]
    Down,
    /// It answers with what it held when it became stale.
    #[display("stale")]
    Stale,
    /// It answers with nonsense.
    #[display("garbage")]
    Garbage,
}

/// What a new revision of the rules changes.
#[derive(Clone, PartialEq, Eq, Debug, derive_more::Display)]
pub enum Change {
    /// A data centre is drained.
    #[display("drain data-centre {_0}")]
    DrainCentre(Name),
    /// A data centre is back.
    #[display("undrain data-centre {_0}")]
    UndrainCentre(Name),
    /// A target is drained.
    #[display("drain target {_0}")]
    DrainTarget(Name),
    /// A target is back.
    #[display("undrain target {_0}")]
    UndrainTarget(Name),
    /// The revision is not valid.
    #[display("invalid")]
    Invalid,
}
