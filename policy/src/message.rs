//! Messages between routers and agents.
//!
//! Names are encoded as tags, because dense indices differ between processes.

use std::net::SocketAddr;
use std::time::Duration;

use entity::{
    AttemptId, Class, Cost, Fingerprint, IdempotencyKey, Incarnation, PrefixHash, ProcessId,
    Refusal, Tag,
};
use serde::{Deserialize, Serialize};

/// The address of a process and the incarnation that is meant.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct Endpoint {
    /// The id of the process.
    pub id: ProcessId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The address for control messages.
    pub control: SocketAddr,
}

/// One attempt that a router offers to an agent along with the request.
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
    /// The request's class within the team's share.
    pub class: Class,
    /// The expected cost.
    pub hint: Cost,
    /// The time left until the caller's deadline.
    pub remaining: Option<Duration>,
    /// The idempotency key, if the request may run at most once.
    pub key: Option<IdempotencyKey>,
    /// A fingerprint that equal requests share.
    pub fingerprint: Fingerprint,
    /// The hash of the prompt's prefix.
    pub prefix: Option<PrefixHash>,
    /// Whether this offer answers a [`Pull`].
    pub pulled: bool,
}

/// The load of an agent's target, piggybacked on responses and replies.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Load {
    /// Slots that are free and not reserved.
    pub free: u16,
    /// The admission window in slots.
    pub window: u16,
    /// The number of running attempts.
    pub running: u16,
    /// Whether any router's bids are pending at the agent.
    pub congested: bool,
    /// Whether the agent takes no new work.
    pub draining: bool,
}

/// An agent's answer to an offer, carried in the response's headers.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// The attempt that is answered.
    pub attempt: AttemptId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The outcome of the attempt.
    pub verdict: Verdict,
    /// The agent's load after the decision.
    pub load: Load,
}

/// The outcome of an offered attempt.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Verdict {
    /// The target answered; its response follows.
    Answered,
    /// The request was not sent to the target.
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
    /// The number of waiting requests; 0 withdraws the bid.
    pub waiting: u32,
    /// The age of the oldest waiting request.
    pub oldest: Duration,
    /// The expected cost of one request.
    pub hint: Cost,
}

/// A router's bids for one pool.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct BidUpdate {
    /// The router.
    pub router: Endpoint,
    /// Incremented with each update within one incarnation of the router.
    pub sequence: u64,
    /// The pool.
    pub pool: Tag,
    /// Whether bids that are not listed are withdrawn.
    pub full: bool,
    /// The bids.
    pub bids: Vec<Bid>,
}

/// An agent's request for waiting requests of a router.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Pull {
    /// The agent.
    pub agent: Endpoint,
    /// Incremented with each pull within one incarnation of the agent.
    pub sequence: u64,
    /// The requested teams and classes, in order.
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
    /// For each pick, the number of requests that the router is sending.
    pub counts: Vec<u16>,
    /// For each pick, the requests that are still waiting.
    pub left: Vec<Left>,
}

/// The requests of one team and class that are still waiting after a pull.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Left {
    /// The number of requests.
    pub waiting: u32,
    /// The age of the oldest request, in milliseconds.
    pub oldest: u32,
}

/// An agent's request for bids when it has free slots and no bids.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Solicit {
    /// The agent.
    pub agent: Endpoint,
    /// The agent's pool.
    pub pool: Tag,
    /// The agent's load.
    pub load: Load,
}

/// Changes to one agent's row in the ledger.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct LedgerDelta {
    /// The agent that owns the row.
    pub agent: ProcessId,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// Incremented with each delta of the row.
    pub sequence: u64,
    /// The total service of each team that changed.
    pub totals: Vec<TeamTotal>,
}

/// The service that one agent has given to one team within its incarnation.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct TeamTotal {
    /// The team.
    pub team: Tag,
    /// The service; it never decreases within one incarnation of the agent.
    pub service: Cost,
    /// The cost that the team's running and pulled requests are expected to add.
    pub pending: Cost,
    /// The service at the time when the team last became active at the agent.
    ///
    /// A receiver without an earlier total of the team counts service from this value.
    pub base: Cost,
}
