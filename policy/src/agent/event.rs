//! What an agent is told and what it asks its driver to do.

use std::sync::Arc;

use entity::{AttemptId, Cost, Decision, Incarnation, NotSent, Now, Refusal, Revision, TargetId};
use rules::Config;

use crate::fact::Fact;
use crate::message::{BidUpdate, Endpoint, LedgerDelta, Offer, Pull, Pulled, Solicit};
use crate::window::Report;

/// How an attempt on the target ended, as the agent's relay saw it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptEnd {
    /// The target answered whole.
    Answered {
        /// The true cost.
        cost: Cost,
    },
    /// The target refused before it ran anything.
    Refused,
    /// No connection to the target could be opened; nothing was sent.
    Unsent,
    /// Nothing was sent: the process was paused or the router left before the hand-over.
    Withheld,
    /// The connection to the target broke after bytes were sent.
    Broken,
    /// The attempt was cancelled on request.
    Cancelled,
}

/// What an agent is told.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A configuration is in force.
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
    /// The whole answer to an attempt with a key is held by the driver.
    ///
    /// It comes before the attempt's end.
    Kept {
        /// The attempt.
        attempt: AttemptId,
        /// The size of the answer.
        bytes: u64,
    },
    /// An attempt on the target ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
    /// The configuration service named the revision in force the latest.
    Confirmed {
        /// The revision.
        revision: Revision,
        /// When the question was sent.
        at: Now,
    },
    /// Another process spread a fact.
    Learned(Fact),
    /// The agent's incarnation is this one from now on; only before the first offer.
    Raised(Incarnation),
    /// The router of an attempt closed its connection.
    RouterGone(AttemptId),
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
    /// Changes to another agent's row of the ledger.
    Ledger(LedgerDelta),
    /// The target reported its load.
    Report(Report),
    /// The target accepted connections after it had not.
    TargetUp,
    /// The target died or restarted.
    TargetDown,
    /// Time has passed.
    Tick,
    /// The agent is to stop when its attempts have ended.
    Stop,
    /// A later life of the agent exists: start nothing any more.
    Superseded,
    /// The VM list calls the target's VM leaving, or does so no more.
    Leaving(bool),
}

/// What an agent asks its driver to do.
#[derive(Debug)]
pub enum AgentAction {
    /// Hand the attempt to the target.
    Start(AttemptId),
    /// Refuse the attempt.
    Reject {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        refusal: Refusal,
        /// The proof that nothing was handed over.
        proof: NotSent,
    },
    /// Answer that the target may have run the request.
    Unknown {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        refusal: Refusal,
    },
    /// Answer with the stored answer of an earlier attempt.
    Replay {
        /// The attempt to answer.
        attempt: AttemptId,
        /// The attempt whose answer is stored.
        original: AttemptId,
    },
    /// Answer with the answer of a running attempt as soon as that is whole.
    Follow {
        /// The attempt to answer.
        attempt: AttemptId,
        /// The attempt that runs.
        original: AttemptId,
    },
    /// Drop what is held of an attempt's answer; nobody will be answered with it any more.
    Evict(AttemptId),
    /// Tell every process of the fleet.
    Spread(Fact),
    /// Cancel a running attempt on the target.
    Cancel(AttemptId),
    /// Send a pull to a router.
    Pull {
        /// The router.
        router: Endpoint,
        /// The pull.
        pull: Pull,
    },
    /// Ask some router for bids; the driver picks it at random among those it knows.
    Solicit(Solicit),
    /// Send a change of the ledger to the agent beside `target`.
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
