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

use entity::{
    AttemptId, Class, Cost, Decision, Fingerprint, HandOver, HandedOver, IdempotencyKey, Machine,
    Now, Outcome, PoolId, PrefixHash, Reason, Refusal, RequestId, RetryAdvice, RouteId, Step,
    TargetId, TeamId,
};
use rules::Config;
use rustc_hash::FxHashMap;

use crate::message::{BidUpdate, Endpoint, Load, Offer, Pull, Pulled, Solicit};

/// How long a refused caller should wait when nothing better is known.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a router knows of itself.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// How agents reach the router.
    pub endpoint: Endpoint,
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

#[derive(Debug)]
struct Pending {
    arrival: Arrival,
    attempts: u16,
    sent: Option<HandedOver>,
}

/// The decisions of one router.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    config: Option<Arc<Config>>,
    pending: FxHashMap<RequestId, Pending>,
}

impl Router {
    /// Creates a router that has no configuration yet.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            settings,
            config: None,
            pending: FxHashMap::default(),
        }
    }

    fn arrived(&mut self, now: Now, arrival: Arrival, actions: &mut Vec<RouterAction>) {
        let request = arrival.request;
        let Some(config) = self.config.clone() else {
            let refusal = Refusal::new(Reason::NotConfigured, RetryAdvice::After(RETRY_DELAY));
            let outcome = Outcome::NotRun {
                refusal,
                proof: HandOver::new().give_up(),
            };
            actions.push(RouterAction::Finish { request, outcome });
            return;
        };
        let target = config.pools[arrival.pool].as_ref().and_then(|pool| {
            let mut usable = pool
                .targets
                .iter()
                .filter(|&&target| config.drained(target).is_none());
            usable.next().copied()
        });
        let Some(target) = target else {
            let refusal = Refusal::new(Reason::NoTarget, RetryAdvice::After(RETRY_DELAY));
            let outcome = Outcome::NotRun {
                refusal,
                proof: HandOver::new().give_up(),
            };
            actions.push(RouterAction::Finish { request, outcome });
            return;
        };
        let offer = offer(&config, &self.settings, &arrival, now);
        let sent = Some(HandOver::new().begin());
        self.pending.insert(
            request,
            Pending {
                arrival,
                attempts: 1,
                sent,
            },
        );
        let data = config.targets[target]
            .as_ref()
            .expect("pool lists known targets")
            .data;
        actions.push(RouterAction::Decided(Decision {
            request,
            at: now.wall,
            step: Step::Dispatch,
            rules: Vec::new(),
            detail: format!("sent to {}", config.names.targets.name(target)),
        }));
        actions.push(RouterAction::Dispatch(DispatchOrder {
            target,
            data,
            offer,
        }));
    }

    fn ended(
        &mut self,
        attempt: AttemptId,
        result: AttemptResult,
        actions: &mut Vec<RouterAction>,
    ) {
        let request = attempt.request;
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        debug_assert_eq!(pending.attempts, attempt.number + 1);
        debug_assert_eq!(pending.arrival.request, request);
        let sent = pending.sent.expect("an attempt is in flight");
        let outcome = match result {
            AttemptResult::Answered { .. } => return,
            AttemptResult::NotRun(refusal) => Outcome::NotRun {
                refusal,
                proof: sent.disclaimed(),
            },
            AttemptResult::Unsent => Outcome::NotRun {
                refusal: Refusal::new(Reason::NoTarget, RetryAdvice::After(RETRY_DELAY)),
                proof: sent.disclaimed(),
            },
            AttemptResult::Unknown(refusal) => Outcome::Unknown { refusal },
            AttemptResult::Broken { .. } => Outcome::Unknown {
                refusal: Refusal::new(Reason::ConnectionLost, RetryAdvice::VerifyFirst),
            },
        };
        actions.push(RouterAction::Finish { request, outcome });
    }
}

fn offer(config: &Config, settings: &RouterSettings, arrival: &Arrival, now: Now) -> Offer {
    let route = config.routes[arrival.route].as_ref();
    let hint = arrival
        .hint
        .or(route.map(|route| route.hint))
        .unwrap_or(Cost(1));
    Offer {
        attempt: AttemptId {
            request: arrival.request,
            number: 0,
        },
        router: settings.endpoint.id,
        team: config.names.teams.tag(arrival.team),
        route: config.names.routes.tag(arrival.route),
        class: arrival.class,
        hint,
        remaining: Some(arrival.deadline.saturating_duration_since(now.mono)),
        key: arrival.key,
        fingerprint: arrival.fingerprint,
        prefix: arrival.prefix,
        pulled: false,
    }
}

impl Machine for Router {
    type Event = RouterEvent;
    type Action = RouterAction;

    fn handle(&mut self, now: Now, event: RouterEvent, actions: &mut Vec<RouterAction>) {
        match event {
            RouterEvent::Configured(config) => self.config = Some(config),
            RouterEvent::Arrived(arrival) => self.arrived(now, arrival, actions),
            RouterEvent::Ended { attempt, result } => self.ended(attempt, result, actions),
            RouterEvent::CallerGone(request) => {
                self.pending.remove(&request);
            }
            RouterEvent::Loaded { .. }
            | RouterEvent::Pull(_)
            | RouterEvent::Solicit(_)
            | RouterEvent::Tick => {}
            RouterEvent::Stop => actions.push(RouterAction::Stopped),
        }
    }
}
