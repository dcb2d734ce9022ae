//! What an agent decides.
//!
//! [`Agent`] composes the machines of an agent. The driver feeds it
//! [`AgentEvent`]s and carries out the [`AgentAction`]s.
//!
//! Invariants:
//! - The agent is the only authority over its target's slots: an attempt runs
//!   only after [`AgentAction::Start`].
//! - An offered attempt gets exactly one of `Start`, `Reject`, `Unknown`,
//!   `Replay` or `Follow`.

use std::sync::Arc;

use entity::{
    AttemptId, Cost, Decision, HandOver, HandedOver, Machine, NotHandedOver, Now, Reason, Refusal,
    RetryAdvice, TargetId,
};
use rules::Config;
use rustc_hash::FxHashMap;
use std::time::Duration;

use crate::message::{BidUpdate, Endpoint, LedgerDelta, Load, Offer, Pull, Pulled, Solicit};

/// How long a refused router should wait when nothing better is known.
const RETRY_DELAY: Duration = Duration::from_millis(200);

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
    /// An attempt on the target ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
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
    Report {
        /// Requests that the target runs, by its own count.
        running: u32,
        /// Requests that wait inside the target.
        queued: u32,
        /// How old the report is.
        age: Duration,
    },
    /// The target accepted connections after it had not.
    TargetUp,
    /// The target died or restarted.
    TargetDown,
    /// Time has passed.
    Tick,
    /// The agent is to stop when its attempts have ended.
    Stop,
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
        proof: NotHandedOver,
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

/// What an agent knows of itself.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// How routers and other agents reach it.
    pub endpoint: Endpoint,
    /// The seed of the agent's random choices.
    pub seed: u64,
}

/// The decisions of one agent.
#[derive(Debug)]
pub struct Agent {
    settings: AgentSettings,
    config: Option<Arc<Config>>,
    running: FxHashMap<AttemptId, HandedOver>,
}

impl Agent {
    /// Creates an agent that has no configuration yet.
    pub fn new(settings: AgentSettings) -> Self {
        Self {
            settings,
            config: None,
            running: FxHashMap::default(),
        }
    }

    /// The load that rides on responses.
    pub fn load(&self) -> Load {
        let window = self.window();
        let running = self.running.len() as u16;
        Load {
            free: window.saturating_sub(running),
            window,
            running,
            congested: false,
            draining: false,
        }
    }

    fn window(&self) -> u16 {
        let Some(config) = &self.config else { return 0 };
        let target = config.names.targets.by_tag(self.settings.endpoint.id.0);
        let target = target.and_then(|target| config.targets[target].as_ref());
        let pool = target.and_then(|target| config.pools[target.pool].as_ref());
        pool.map_or(0, |pool| pool.window.max as u16)
    }

    fn offered(&mut self, offer: &Offer, actions: &mut Vec<AgentAction>) {
        let attempt = offer.attempt;
        if self.load().free == 0 {
            let refusal = Refusal::new(Reason::NoSlot, RetryAdvice::After(RETRY_DELAY));
            let proof = HandOver::new().give_up();
            actions.push(AgentAction::Reject {
                attempt,
                refusal,
                proof,
            });
            return;
        }
        self.running.insert(attempt, HandOver::new().begin());
        actions.push(AgentAction::Start(attempt));
    }
}

impl Machine for Agent {
    type Event = AgentEvent;
    type Action = AgentAction;

    fn handle(&mut self, _now: Now, event: AgentEvent, actions: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::Configured(config) => self.config = Some(config),
            AgentEvent::Offered(offer) => self.offered(&offer, actions),
            AgentEvent::Ended { attempt, .. } => {
                self.running.remove(&attempt);
            }
            AgentEvent::RouterGone(attempt) => actions.push(AgentAction::Cancel(attempt)),
            AgentEvent::Stop => actions.push(AgentAction::Stopped),
            AgentEvent::Streamed { .. }
            | AgentEvent::Bids(_)
            | AgentEvent::Pulled(_)
            | AgentEvent::PullLost { .. }
            | AgentEvent::Ledger(_)
            | AgentEvent::Report { .. }
            | AgentEvent::TargetUp
            | AgentEvent::TargetDown
            | AgentEvent::Tick => {}
        }
    }
}
