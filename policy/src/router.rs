//! What a router decides.
//!
//! [`Router`] composes the machines of a router. The driver feeds it
//! [`RouterEvent`]s and carries out the [`RouterAction`]s.
//!
//! Invariants:
//! - A request that arrived gets exactly one [`RouterAction::Finish`], unless its
//!   answer was relayed or its caller left.
//! - A request has at most one attempt in flight.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranelift_entity::SecondaryMap;
use entity::{
    AttemptId, Class, Cost, Decision, Fingerprint, IdempotencyKey, Incarnation, Machine, Name, Now,
    Outcome, PoolId, PrefixHash, ProcessId, Refusal, RequestId, RouteId, TargetId, TeamId,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rules::Config;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::attempt::{AttemptCounts, Attempts};
use crate::bid::Outbox;
use crate::choose::PrefixTable;
use crate::fact::Fact;
use crate::home::{Bounds, TicketMint};
use crate::limit::Limiter;
use crate::load::LoadTable;
use crate::message::{BidUpdate, Endpoint, Load, Offer, Pull, Pulled, Solicit};
use crate::pull::SequenceWindow;
use crate::quarantine::{Quarantine, QuarantineSettings};
use crate::queue::{QueueKey, Queues};
use crate::retry::RetrySettings;

mod bids;
mod dispatch;
mod dump;
mod ending;
mod once;
mod retry;

/// How long a refused caller should wait when nothing better is known.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The greatest number of attempts without a pull before a request is queued.
const MAX_UNPULLED: u16 = 3;

/// What a router knows of itself.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// How agents reach the router.
    pub endpoint: Endpoint,
    /// The data centre that the router is in.
    pub centre: Name,
    /// The seed of the router's random choices.
    pub seed: u64,
}

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

/// Where a request is.
#[derive(Debug)]
enum Place {
    /// It waits in a queue.
    Waiting(QueueKey),
    /// It waits until it may be sent again.
    Backoff {
        after: Instant,
        avoid: SmallVec<[TargetId; 4]>,
    },
    /// An attempt is in flight.
    Sent(TargetId),
}

#[derive(Debug)]
struct Pending {
    arrival: Arrival,
    arrived: Instant,
    attempts: u16,
    place: Place,
}

/// The decisions of one router.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    config: Option<Arc<Config>>,
    rng: ChaCha8Rng,
    pending: FxHashMap<RequestId, Pending>,
    queues: Queues,
    loads: LoadTable,
    prefixes: PrefixTable,
    limits: Limiter,
    outbox: Outbox,
    pulls: FxHashMap<ProcessId, SequenceWindow>,
    attempts: Attempts,
    quarantine: Quarantine,
    mint: TicketMint,
    minted: usize,
    lives: SecondaryMap<TargetId, Option<Incarnation>>,
    stopping: bool,
    superseded: bool,
    stopped: bool,
}

impl Router {
    /// Creates a router that has no configuration yet.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            attempts: Attempts::new(RetrySettings::default(), settings.seed),
            quarantine: Quarantine::new(QuarantineSettings::default()),
            mint: TicketMint::new(Bounds::default().lifetime, settings.seed),
            minted: 0,
            lives: SecondaryMap::new(),
            settings,
            config: None,
            pending: FxHashMap::default(),
            queues: Queues::default(),
            loads: LoadTable::default(),
            prefixes: PrefixTable::default(),
            limits: Limiter::default(),
            outbox: Outbox::default(),
            pulls: FxHashMap::default(),
            stopping: false,
            superseded: false,
            stopped: false,
        }
    }

    /// The number of requests that wait or run.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// The number of requests that wait in queues for `pool`.
    pub fn waiting(&self, pool: PoolId) -> usize {
        self.queues
            .of_pool(pool)
            .map(|(_, queue)| queue.len())
            .sum()
    }

    /// What attempts did so far.
    pub fn counts(&self) -> AttemptCounts {
        self.attempts.counts()
    }

    fn tick(&mut self, now: Now, actions: &mut Vec<RouterAction>) {
        self.expire(now, actions);
        self.retry_due(now, actions);
        self.limits.prune(now.mono);
        let Some(config) = self.config.clone() else {
            return;
        };
        for pool in self.queues.pools() {
            self.give_up(now, &config, pool, actions);
        }
        self.refresh(now, &config, actions);
    }

    fn report_stopped(&mut self, actions: &mut Vec<RouterAction>) {
        if self.stopping && !self.stopped && self.pending.is_empty() {
            self.stopped = true;
            actions.push(RouterAction::Stopped);
        }
    }
}

impl Machine for Router {
    type Event = RouterEvent;
    type Action = RouterAction;

    fn handle(&mut self, now: Now, event: RouterEvent, actions: &mut Vec<RouterAction>) {
        match event {
            RouterEvent::Configured(config) => self.configured(now, &config, actions),
            RouterEvent::Arrived(arrival) => self.arrived(now, arrival, actions),
            RouterEvent::Loaded { target, load } => self.loads.update(now.mono, target, load),
            RouterEvent::Alive {
                target,
                incarnation,
            } => self.alive(target, incarnation),
            RouterEvent::Learned(fact) => self.learned(now, &fact),
            RouterEvent::Reachable(target) => self.loads.set_reachable(target, true),
            RouterEvent::Leaving { target, leaving } => {
                self.leaving(now, target, leaving, actions);
            }
            RouterEvent::Unreachable(target) => self.unreachable(now, target, actions),
            RouterEvent::Ended { attempt, result } => self.ended(now, attempt, result, actions),
            RouterEvent::CallerGone(request) => self.caller_gone(now, request, actions),
            RouterEvent::Pull(pull) => self.pulled(now, &pull, actions),
            RouterEvent::Solicit(solicit) => self.solicited(now, &solicit, actions),
            RouterEvent::Tick => self.tick(now, actions),
            RouterEvent::Stop => self.stopping = true,
            RouterEvent::HandBack => self.hand_back(now, actions),
            RouterEvent::Superseded => self.superseded = true,
        }
        if self.superseded {
            self.hand_back(now, actions);
        }
        self.send_bids(now, actions);
        self.report_stopped(actions);
    }
}
