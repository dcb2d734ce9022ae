//! The events and actions of an agent.

use std::sync::Arc;

use entity::{AttemptId, Cost, Decision, Incarnation, NotSent, Now, Refusal, Revision, TargetId};
use rules::Config;

use crate::fact::Fact;
use crate::message::{BidUpdate, Endpoint, LedgerDelta, Offer, Pull, Pulled, Solicit};
use crate::window::Report;

/// How an attempt on the target ended, as observed by the agent's relay.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptEnd {
    /// The target sent a complete answer.
    Answered {
        /// The true cost.
        cost: Cost,
    },
    /// The target refused the request before running it.
    Refused,
    /// No connection to the target could be opened; nothing was sent.
    Unsent,
    /// Nothing was sent: the process was paused or the router left before the request was sent.
    Withheld,
    /// The connection to the target broke after bytes were sent.
    Broken,
    /// The attempt was cancelled on request.
    Cancelled,
}

/// An input to the agent.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A configuration became active.
    Configured(Arc<Config>),
    /// A router offers an attempt.
    Offered(Offer),
    /// The target streamed tokens of an attempt.
    Streamed {
        /// The attempt.
        attempt: AttemptId,
        /// The cost of what was streamed since the last such event.
        cost: Cost,
    },
    /// The driver has stored the complete answer to an attempt with a key.
    ///
    /// This event precedes the end of the attempt.
    AnswerStored {
        /// The attempt.
        attempt: AttemptId,
        /// The size of the answer.
        bytes: u64,
    },
    /// An attempt on the target ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The configuration service confirmed the active revision as the latest.
    Confirmed {
        /// The revision.
        revision: Revision,
        /// When the query was sent.
        at: Now,
    },
    /// A fact broadcast by another process arrived.
    FactReceived(Fact),
    /// The agent's incarnation number was raised; sent only before the first offer.
    IncarnationRaised(Incarnation),
    /// The router of an attempt closed its connection.
    RouterDisconnected(AttemptId),
    /// A router's bids.
    Bids(BidUpdate),
    /// A router's answer to a pull.
    Pulled(Pulled),
    /// A pull could not be delivered or was not answered in time.
    PullLost {
        /// The router.
        router: Endpoint,
        /// The sequence number of the pull.
        sequence: u64,
    },
    /// Changes to another agent's ledger row.
    Ledger(LedgerDelta),
    /// The target reported its load.
    Report(Report),
    /// The target accepts connections again.
    TargetUp,
    /// The target died or restarted.
    TargetDown,
    /// Time has passed.
    Tick,
    /// The agent must stop once its attempts have ended.
    Stop,
    /// A later incarnation of the agent exists: start nothing from now on.
    Superseded,
    /// Whether the VM list marks the target's VM as leaving.
    Leaving(bool),
}

/// An action for the driver to execute.
#[derive(Debug)]
pub enum AgentAction {
    /// Send the attempt to the target.
    Start(AttemptId),
    /// Refuse the attempt.
    Reject {
        /// The attempt.
        attempt: AttemptId,
        /// The reason.
        refusal: Refusal,
        /// The proof that nothing was sent to the target.
        proof: NotSent,
    },
    /// Answer that the target may have run the request.
    Unknown {
        /// The attempt.
        attempt: AttemptId,
        /// The reason.
        refusal: Refusal,
    },
    /// Answer with the stored answer of an earlier attempt.
    Replay {
        /// The attempt to answer.
        attempt: AttemptId,
        /// The attempt whose answer is stored.
        original: AttemptId,
    },
    /// Answer with the answer of a running attempt once that is complete.
    Follow {
        /// The attempt to answer.
        attempt: AttemptId,
        /// The attempt that runs.
        original: AttemptId,
    },
    /// Discard the stored answer of an attempt; it will not be replayed again.
    Evict(AttemptId),
    /// Broadcast a fact to all processes of the fleet.
    Broadcast(Fact),
    /// Cancel a running attempt on the target.
    Cancel(AttemptId),
    /// Send a pull to a router.
    Pull {
        /// The router.
        router: Endpoint,
        /// The pull.
        pull: Pull,
    },
    /// Ask a router for bids; the driver picks one at random among the routers it knows.
    Solicit(Solicit),
    /// Send a ledger change to the agent of `target`.
    Ledger {
        /// The receiving agent's target.
        target: TargetId,
        /// The change.
        delta: LedgerDelta,
    },
    /// Record a decision.
    Decided(Decision),
    /// Every attempt has ended and the agent may exit.
    Stopped,
}
