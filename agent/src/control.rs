//! The controller that connects traffic threads with [`policy::Agent`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use entity::{AttemptId, Cost, Decision, Incarnation, Machine, Now, Refusal, RequestId, TargetId};
use node::host::{FleetMachine, Outbox, Outgoing, Readiness, Role};
use node::trace::Trace;
use policy::fleet::{Broadcast, Role as FleetRole};
use policy::message::{Endpoint, Load, Offer};
use policy::window::Report;
use policy::{Agent, AgentAction, AgentEvent, AgentSettings, AttemptEnd};
use rules::Config;
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;
use wire::Message;

use crate::answers::Answers;

/// The number of requests whose decisions are kept.
const TRACE_CAPACITY: usize = 10_000;

/// The agent's incarnation, as traffic threads read it.
pub type SharedIncarnation = Arc<AtomicU64>;

/// What traffic threads and the watch over the target tell the control thread.
#[derive(Debug)]
pub enum Input {
    /// A router offers an attempt.
    Offered {
        /// The offer.
        offer: Box<Offer>,
        /// Where the decision goes.
        order: oneshot::Sender<Decided>,
    },
    /// The target streamed part of an answer.
    Streamed {
        /// The attempt.
        attempt: AttemptId,
        /// The cost of the part.
        cost: Cost,
    },
    /// An attempt on the target ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
    /// The target reported its load.
    Report(Report),
    /// The target answers after it had not.
    TargetUp,
    /// The target stopped answering or restarted.
    TargetDown,
}

/// The decision about an offer, with the load after it.
#[derive(Debug)]
pub struct Decided {
    /// What to do.
    pub order: Order,
    /// The agent's load.
    pub load: Load,
}

/// What a traffic thread does with an offered attempt.
#[derive(Debug)]
pub enum Order {
    /// Hand it to the target, until the channel closes.
    Start(oneshot::Receiver<()>),
    /// Refuse it: nothing was handed over.
    Reject(Refusal),
    /// Answer that the target may have run it.
    Unknown(Refusal),
    /// Answer with what this attempt left or leaves behind.
    Follow(AttemptId),
}

/// The control state of an agent.
pub struct AgentRole {
    agent: Agent,
    answers: Answers,
    incarnation: SharedIncarnation,
    offers: FxHashMap<AttemptId, oneshot::Sender<Decided>>,
    cancels: FxHashMap<AttemptId, oneshot::Sender<()>>,
    trace: Trace,
    config: Option<Arc<Config>>,
    actions: Vec<AgentAction>,
    readiness: Readiness,
    /// Started attempts whose router left before it read the decision.
    lost: Vec<AttemptId>,
    pulls: BTreeMap<u64, Endpoint>,
    routers: Vec<Endpoint>,
    next_router: usize,
}

impl AgentRole {
    /// Creates the state of an agent that has no configuration yet.
    pub fn new(settings: AgentSettings, answers: Answers, incarnation: SharedIncarnation) -> Self {
        Self {
            agent: Agent::new(settings),
            answers,
            incarnation,
            offers: FxHashMap::default(),
            cancels: FxHashMap::default(),
            trace: Trace::new(TRACE_CAPACITY),
            config: None,
            actions: Vec::new(),
            readiness: Readiness::NotReady("no configuration in force"),
            lost: Vec::new(),
            pulls: BTreeMap::new(),
            routers: Vec::new(),
            next_router: 0,
        }
    }

    fn handle(&mut self, now: Now, event: AgentEvent, out: &mut Outbox) {
        let mut actions = std::mem::take(&mut self.actions);
        self.agent.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action, out);
        }
        self.actions = actions;
        for attempt in std::mem::take(&mut self.lost) {
            self.handle(
                now,
                AgentEvent::Ended {
                    attempt,
                    end: AttemptEnd::Unsent,
                },
                out,
            );
        }
    }

    fn carry_out(&mut self, action: AgentAction, out: &mut Outbox) {
        match action {
            AgentAction::Start(attempt) => {
                let (cancel, cancelled) = oneshot::channel();
                self.cancels.insert(attempt, cancel);
                self.decide(attempt, Order::Start(cancelled));
            }
            AgentAction::Reject {
                attempt, refusal, ..
            } => {
                self.decide(attempt, Order::Reject(refusal));
            }
            AgentAction::Unknown { attempt, refusal } => {
                self.decide(attempt, Order::Unknown(refusal));
            }
            AgentAction::Replay { attempt, original }
            | AgentAction::Follow { attempt, original } => {
                self.decide(attempt, Order::Follow(original));
            }
            AgentAction::Cancel(attempt) => {
                self.cancels.remove(&attempt);
            }
            AgentAction::Pull { router, pull } => {
                self.pulls.insert(pull.sequence, router);
                out.send(router.control, Message::Pull(pull));
            }
            AgentAction::Solicit(solicit) => {
                if let Some(router) = self.next_router() {
                    out.send(router.control, Message::Solicit(solicit));
                }
            }
            AgentAction::Ledger { target, delta } => {
                if let Some(to) = self.control_address(target) {
                    out.send(to, Message::Ledger(delta));
                }
            }
            AgentAction::Decided(decision) => self.trace.record(decision),
            AgentAction::Stopped => self.readiness = Readiness::Stopped,
        }
    }

    fn decide(&mut self, attempt: AttemptId, order: Order) {
        let Some(reply) = self.offers.remove(&attempt) else {
            debug_assert!(false, "a decision without an offer");
            return;
        };
        let starts = matches!(order, Order::Start(_));
        let load = self.agent.load();
        if reply.send(Decided { order, load }).is_err() && starts {
            // The router left between offer and decision: nothing was handed over.
            self.lost.push(attempt);
        }
    }

    /// The known routers in turn.
    fn next_router(&mut self) -> Option<Endpoint> {
        self.next_router = (self.next_router + 1) % self.routers.len().max(1);
        self.routers.get(self.next_router).copied()
    }

    fn control_address(&self, target: TargetId) -> Option<std::net::SocketAddr> {
        let config = self.config.as_ref()?;
        config.targets[target].as_ref().map(|target| target.control)
    }
}

impl Role for AgentRole {
    type Input = Input;

    fn configured(&mut self, now: Now, config: Arc<Config>, out: &mut Outbox) {
        self.config = Some(config.clone());
        if matches!(
            self.readiness,
            Readiness::NotReady("no configuration in force")
        ) {
            self.readiness = Readiness::Ready;
        }
        self.handle(now, AgentEvent::Configured(config), out);
    }

    fn input(&mut self, now: Now, input: Input, out: &mut Outbox) {
        let event = match input {
            Input::Offered { offer, order } => {
                self.offers.insert(offer.attempt, order);
                AgentEvent::Offered(*offer)
            }
            Input::Streamed { attempt, cost } => AgentEvent::Streamed { attempt, cost },
            Input::Ended { attempt, end } => {
                self.cancels.remove(&attempt);
                AgentEvent::Ended { attempt, end }
            }
            Input::Report(report) => AgentEvent::Report(report),
            Input::TargetUp => AgentEvent::TargetUp,
            Input::TargetDown => AgentEvent::TargetDown,
        };
        self.handle(now, event, out);
    }

    fn received(
        &mut self,
        now: Now,
        _sender: Endpoint,
        message: Message,
        out: &mut Outbox,
    ) -> Vec<Message> {
        match message {
            Message::Bids(update) => {
                self.handle(now, AgentEvent::Bids(update), out);
                vec![Message::Load(self.agent.load())]
            }
            Message::Pulled(pulled) => {
                self.pulls.remove(&pulled.sequence);
                self.handle(now, AgentEvent::Pulled(pulled), out);
                Vec::new()
            }
            Message::Ledger(delta) => {
                self.handle(now, AgentEvent::Ledger(delta), out);
                Vec::new()
            }
            // Other messages are for routers; an agent that gets one ignores it.
            _ => Vec::new(),
        }
    }

    fn undelivered(&mut self, now: Now, lost: Outgoing, out: &mut Outbox) {
        for message in lost.messages {
            let Message::Pull(pull) = message else {
                continue;
            };
            let sequence = pull.sequence;
            if let Some(router) = self.pulls.remove(&sequence) {
                self.handle(now, AgentEvent::PullLost { router, sequence }, out);
            }
        }
    }

    fn surveyed(&mut self, _now: Now, fleet: &FleetMachine, _out: &mut Outbox) {
        let members = fleet.members().iter().filter(|member| member.is_live());
        let routers = members.filter(|member| member.claim.role == FleetRole::Router);
        self.routers = routers.map(|member| member.claim.endpoint).collect();
    }

    fn delivered(&mut self, _now: Now, _broadcast: Broadcast, _out: &mut Outbox) {}

    fn raised(&mut self, incarnation: Incarnation) {
        self.incarnation.store(incarnation.0, Ordering::Relaxed);
    }

    fn tick(&mut self, now: Now, out: &mut Outbox) {
        self.handle(now, AgentEvent::Tick, out);
    }

    fn stop(&mut self, now: Now, out: &mut Outbox) {
        self.readiness = Readiness::NotReady("stopping");
        self.handle(now, AgentEvent::Stop, out);
    }

    fn readiness(&self) -> Readiness {
        self.readiness.clone()
    }

    fn unfinished(&self) -> usize {
        self.cancels.len()
    }

    fn dump(&self, _now: Now) -> serde_json::Value {
        let load = self.agent.load();
        serde_json::json!({
            "kind": "agent",
            "load": load,
            "answers": self.answers.len(),
            "traces": self.trace.len(),
        })
    }

    fn why(&self, request: RequestId) -> Option<Vec<Decision>> {
        self.trace.why(request).map(<[Decision]>::to_vec)
    }
}
