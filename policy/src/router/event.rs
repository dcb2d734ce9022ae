//! What a router is told and what it asks its driver to do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use entity::{
    AttemptId, Class, Cost, Decision, Fingerprint, IdempotencyKey, Incarnation, Outcome, PoolId,
    PrefixHash, Refusal, RequestId, RouteId, TargetId, TeamId,
};
use rules::Config;

use crate::fact::Fact;
use crate::message::{BidUpdate, Endpoint, Load, Offer, Pull, Pulled, Solicit};

/// A request that passed the filters before admission.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Its team.
    pub team: TeamId,
    /// The route that it matched.
    pub route: RouteId,
    /// The pool of the route.
    pub pool: PoolId,
    /// Its class.
    pub class: Class,
    /// The caller's hint of its cost, if there is one.
    pub hint: Option<Cost>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The key, if the route runs at most once.
    pub key: Option<IdempotencyKey>,
    /// Identifies equal requests.
    pub fingerprint: Fingerprint,
    /// The hash of the prompt's leading part.
    pub prefix: Option<PrefixHash>,
}

/// How an attempt ended, as the relay saw it.
#[derive(Clone, PartialEq, Debug)]
pub enum AttemptResult {
    /// The whole answer went to the caller.
    Answered {
        /// The true cost, as far as the relay could count it.
        cost: Cost,
    },
    /// The agent answered that it handed nothing to the target.
    NotRun(Refusal),
    /// The agent answered that the target may have run the request.
    Unknown(Refusal),
    /// The connection failed before a byte left this process.
    Unsent,
    /// The connection broke after bytes left this process.
    Broken {
        /// Whether a byte of the answer went to the caller.
        delivered: bool,
    },
}

/// What a router is told.
#[derive(Clone, Debug)]
pub enum RouterEvent {
    /// A configuration is in force.
    Configured(Arc<Config>),
    /// A request passed the filters.
    Arrived(Arrival),
    /// An agent's load became known.
    Loaded {
        /// The agent's target.
        target: TargetId,
        /// Its load.
        load: Load,
    },
    /// An agent's life became known.
    Alive {
        /// The agent's target.
        target: TargetId,
        /// The life.
        incarnation: Incarnation,
    },
    /// Another process spread a fact.
    Learned(Fact),
    /// The membership holds an agent for reachable.
    Reachable(TargetId),
    /// The membership holds an agent for unreachable.
    Unreachable(TargetId),
    /// An agent or its target is about to leave and gets no new work, or stays after all.
    Leaving {
        /// The agent's target.
        target: TargetId,
        /// Whether it leaves.
        leaving: bool,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        result: AttemptResult,
    },
    /// The caller closed its connection.
    CallerGone(RequestId),
    /// An agent has slots for waiting requests.
    Pull(Pull),
    /// An agent asks for bids.
    Solicit(Solicit),
    /// Time has passed.
    Tick,
    /// The router is to stop when its requests have ended.
    Stop,
    /// The time of a planned stop runs out: refuse what waits.
    HandBack,
    /// A later life of the router exists: start nothing any more, refuse what waits.
    Superseded,
}

/// An attempt that the driver is to send.
#[derive(Clone, PartialEq, Debug)]
pub struct DispatchOrder {
    /// The target whose agent receives it.
    pub target: TargetId,
    /// The agent's address for requests.
    pub data: SocketAddr,
    /// What the agent is told.
    pub offer: Offer,
}

/// What a router asks its driver to do.
#[derive(Debug)]
pub enum RouterAction {
    /// Send an attempt.
    Dispatch(DispatchOrder),
    /// End a request without an answer.
    Finish {
        /// The request.
        request: RequestId,
        /// The ending; never [`Outcome::Answered`].
        outcome: Outcome,
    },
    /// Abandon an attempt; its caller left or its deadline passed.
    Cancel(AttemptId),
    /// Send bids to an agent.
    Bid {
        /// The agent's target.
        target: TargetId,
        /// The bids.
        update: BidUpdate,
    },
    /// Answer a pull.
    PullReply {
        /// The agent.
        agent: Endpoint,
        /// The answer.
        pulled: Pulled,
    },
    /// Record a decision.
    Decided(Decision),
    /// Every request has ended and the router may exit.
    Stopped,
}
