//! The decision logic of a router.
//!
//! [`Router`] combines the state machines of a router. The driver passes in
//! [`RouterEvent`]s and executes the [`RouterAction`]s.
//!
//! Invariants:
//! - A request that arrived gets exactly one [`RouterAction::Finish`], unless its
//!   answer was relayed or its caller disconnected.
//! - A request has at most one attempt in flight.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranelift_entity::SecondaryMap;
use entity::{Incarnation, Name, Now, PoolId, ProcessId, RequestId, StateMachine, TargetId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rules::Config;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::attempt::{AttemptCounts, Attempts};
use crate::bid::Outbox;
use crate::choose::PrefixTable;
use crate::home::{Bounds, TicketIssuer};
use crate::limit::Limiter;
use crate::load::LoadTable;
use crate::message::Endpoint;
use crate::pull::SequenceWindow;
use crate::quarantine::{Quarantine, QuarantineSettings};
use crate::queue::{QueueKey, Queues};
use crate::retry::RetrySettings;

mod bids;
mod dispatch;
mod dump;
mod ending;
mod event;
mod once;
mod retry;

pub use event::{Arrival, AttemptResult, DispatchOrder, RouterAction, RouterEvent};

/// The retry delay advised to callers when no better estimate exists.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// After this many attempts, a request that an agent did not start is queued instead of
/// being sent again without a pull.
const MAX_UNPULLED_ATTEMPTS: u16 = 3;

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The router's identity and control address.
    pub endpoint: Endpoint,
    /// The data centre that the router is in.
    pub centre: Name,
    /// The seed of the router's random choices.
    pub seed: u64,
}

/// The state of a pending request.
#[derive(Debug)]
enum RequestPhase {
    /// Waiting in a queue.
    Waiting(QueueKey),
    /// Waiting for its retry delay.
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
    phase: RequestPhase,
}

/// The decision state machine of one router.
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
    ticket_issuer: TicketIssuer,
    ticket_requests: usize,
    incarnations: SecondaryMap<TargetId, Option<Incarnation>>,
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
            ticket_issuer: TicketIssuer::new(Bounds::default().lifetime, settings.seed),
            ticket_requests: 0,
            incarnations: SecondaryMap::new(),
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
            .in_pool(pool)
            .map(|(_, queue)| queue.len())
            .sum()
    }

    /// The attempt counters.
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
            self.refuse_stranded(now, &config, pool, actions);
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

impl StateMachine for Router {
    type Event = RouterEvent;
    type Action = RouterAction;

    fn handle(&mut self, now: Now, event: RouterEvent, actions: &mut Vec<RouterAction>) {
        match event {
            RouterEvent::Configured(config) => self.configured(now, &config, actions),
            RouterEvent::Arrived(arrival) => self.arrived(now, arrival, actions),
            RouterEvent::LoadReported { target, load } => self.loads.update(now.mono, target, load),
            RouterEvent::IncarnationSeen {
                target,
                incarnation,
            } => self.incarnation_seen(target, incarnation),
            RouterEvent::FactReceived(fact) => self.fact_received(now, &fact),
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
            RouterEvent::RefuseWaiting => self.refuse_waiting(now, actions),
            RouterEvent::Superseded => self.superseded = true,
        }
        if self.superseded {
            self.refuse_waiting(now, actions);
        }
        self.send_bids(now, actions);
        self.report_stopped(actions);
    }
}
