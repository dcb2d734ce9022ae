//! The events and actions of a router.

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
    /// A hash that is equal for equal requests.
    pub fingerprint: Fingerprint,
    /// The hash of the prompt's leading part.
    pub prefix: Option<PrefixHash>,
}

/// How an attempt ended, as observed by the relay.
#[derive(Clone, PartialEq, Debug)]
pub enum AttemptResult {
    /// The complete answer was sent to the caller.
    Answered {
        /// The true cost, as far as the relay could count it.
        cost: Cost,
    },
    /// The agent reported that it sent nothing to the target.
    NotRun(Refusal),
    /// The agent reported that the target may have run the request.
    Unknown(Refusal),
    /// The connection failed before a byte left this process.
    Unsent,
    /// The connection broke after bytes left this process.
    Broken {
        /// Whether a byte of the answer was sent to the caller.
        delivered: bool,
    },
}

/// An input to the router.
#[derive(Clone, Debug)]
pub enum RouterEvent {
    /// A configuration became active.
    Configured(Arc<Config>),
    /// A request passed the filters.
    Arrived(Arrival),
    /// An agent's load became known.
    LoadReported {
        /// The agent's target.
        target: TargetId,
        /// Its load.
        load: Load,
    },
    /// An agent's incarnation was observed.
    IncarnationSeen {
        /// The agent's target.
        target: TargetId,
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// A fact broadcast by another process arrived.
    FactReceived(Fact),
    /// The membership protocol reports an agent as reachable.
    Reachable(TargetId),
    /// The membership protocol reports an agent as unreachable.
    Unreachable(TargetId),
    /// An agent or its target is about to leave and must get no new work, or no longer leaves.
    Leaving {
        /// The agent's target.
        target: TargetId,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
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
    /// The router must stop once its requests have ended.
    Stop,
    /// The time limit of a planned stop is near: refuse all waiting requests.
    RefuseWaiting,
    /// A later incarnation of the router exists: start nothing from now on and refuse all
    /// waiting requests.
    Superseded,
}

/// An attempt for the driver to send.
#[derive(Clone, PartialEq, Debug)]
pub struct DispatchOrder {
    /// The target whose agent receives it.
    pub target: TargetId,
    /// The agent's address for requests.
    pub data: SocketAddr,
    /// The offer to send to the agent.
    pub offer: Offer,
}

/// An action for the driver to execute.
#[derive(Debug)]
pub enum RouterAction {
    /// Send an attempt.
    Dispatch(DispatchOrder),
    /// End a request without an answer.
    Finish {
        /// The request.
        request: RequestId,
        /// The outcome; never [`Outcome::Answered`].
        outcome: Outcome,
    },
    /// Cancel an attempt whose caller disconnected or whose deadline passed.
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
