//! Messages between routers and agents.
//!
//! Names travel as tags, because dense indices differ between processes.

use std::net::SocketAddr;
use std::time::Duration;

use entity::{
    AttemptId, Class, Cost, Fingerprint, IdempotencyKey, Incarnation, PrefixHash, ProcessId,
    Refusal, Tag,
};
use serde::{Deserialize, Serialize};

/// How to reach a process and which life of it is meant.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct Endpoint {
    /// The process.
    pub id: ProcessId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its address for control messages.
    pub control: SocketAddr,
}

/// One attempt, offered by a router to an agent along with the request.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Offer {
    /// The attempt.
    pub attempt: AttemptId,
    /// The router.
    pub router: ProcessId,
    /// The team.
    pub team: Tag,
    /// The route.
    pub route: Tag,
    /// The class within the team's portion.
    pub class: Class,
    /// The expected cost.
    pub hint: Cost,
    /// The time left until the caller's deadline.
    pub remaining: Option<Duration>,
    /// The key, if the request may run at most once.
    pub key: Option<IdempotencyKey>,
    /// Identifies equal requests.
    pub fingerprint: Fingerprint,
    /// The hash of the prompt's leading part.
    pub prefix: Option<PrefixHash>,
    /// Whether the agent pulled this request.
    pub pulled: bool,
}

/// What an agent says of its target; it rides on responses and replies.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Load {
    /// Slots that are free and promised to nobody.
    pub free: u16,
    /// The admission window in slots.
    pub window: u16,
    /// Attempts that run.
    pub running: u16,
    /// Whether bids of any router wait at the agent.
    pub congested: bool,
    /// Whether the agent takes no new work.
    pub draining: bool,
}

/// How an agent answers an offer; it rides on the response's head.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// The attempt that is answered.
    pub attempt: AttemptId,
    /// The agent's life.
    pub incarnation: Incarnation,
    /// What became of the attempt.
    pub verdict: Verdict,
    /// The agent's load after the decision.
    pub load: Load,
}

/// What became of an offered attempt.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Verdict {
    /// The response that follows is the target's.
    Answered,
    /// Nothing was handed to the target.
    NotRun(Refusal),
    /// The target may have run the request.
    Unknown(Refusal),
}

/// The waiting requests of one team and class at one router.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Bid {
    /// The team.
    pub team: Tag,
    /// The class.
    pub class: Class,
    /// The number that waits; 0 withdraws the bid.
    pub waiting: u32,
    /// The age of the oldest.
    pub oldest: Duration,
    /// The expected cost of one.
    pub hint: Cost,
}

/// A router's bids for one pool.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct BidUpdate {
    /// The router.
    pub router: Endpoint,
    /// Rises with each update of one life of the router.
    pub sequence: u64,
    /// The pool.
    pub pool: Tag,
    /// Whether bids that are not listed are withdrawn.
    pub full: bool,
    /// The bids.
    pub bids: Vec<Bid>,
}

/// An agent's demand for waiting requests.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Pull {
    /// The agent.
    pub agent: Endpoint,
    /// Rises with each pull of one life of the agent.
    pub sequence: u64,
    /// What is wanted, in order.
    pub picks: Vec<Pick>,
}

/// Requests of one team and class that an agent has slots for.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Pick {
    /// The team.
    pub team: Tag,
    /// The class.
    pub class: Class,
    /// The number of slots.
    pub count: u16,
}

/// A router's answer to a [`Pull`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Pulled {
    /// The router.
    pub router: ProcessId,
    /// The sequence number of the pull.
    pub sequence: u64,
    /// For each pick, the number of requests that are on their way.
    pub counts: Vec<u16>,
    /// For each pick, what still waits.
    pub left: Vec<Left>,
}

/// What still waits of one team and class after a pull.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Left {
    /// The number of requests.
    pub waiting: u32,
    /// The age of the oldest, in milliseconds.
    pub oldest: u32,
}

/// An agent's question for work when it has free slots and no bids.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Solicit {
    /// The agent.
    pub agent: Endpoint,
    /// Its pool.
    pub pool: Tag,
    /// Its load.
    pub load: Load,
}

/// Changes to one agent's row of the ledger.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct LedgerDelta {
    /// The agent whose row it is.
    pub agent: ProcessId,
    /// The life of that agent.
    pub incarnation: Incarnation,
    /// Rises with each delta of the row.
    pub sequence: u64,
    /// The total service of each team that changed.
    pub totals: Vec<TeamTotal>,
}

/// The service that one agent has given to one team in its life.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct TeamTotal {
    /// The team.
    pub team: Tag,
    /// The service; it never falls in one life of the agent.
    pub service: Cost,
    /// The cost that its running and pulled requests are expected to add.
    pub pending: Cost,
    /// The service at the time when the team last became active at the agent.
    ///
    /// A receiver that holds no earlier total of the team counts from here.
    pub base: Cost,
}
