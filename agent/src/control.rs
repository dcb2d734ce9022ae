//! The controller that connects traffic threads with [`policy::Agent`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use entity::{
    AttemptId, Cost, Decision, Incarnation, Name, Now, ProcessId, Reason, Refusal, RequestId,
    RetryAdvice, StateMachine, Tag, TargetId,
};
use node::event::{self, Event, Field};
use node::host::{FleetMachine, Outbox, Outgoing, Readiness, Role};
use node::metrics::{OutcomeMetrics, SlotMetrics};
use node::trace::DecisionStore;
use opentelemetry::metrics::Meter;
use policy::fact::Fact;
use policy::fleet::{Broadcast, Role as FleetRole};
use policy::message::{Endpoint, Load, Offer};
use policy::placement::ModelVersion;
use policy::window::Report;
use policy::{Agent, AgentAction, AgentEvent, AgentSettings, AttemptEnd};
use rules::Config;
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;
use wire::Message;

use crate::answers::{Answers, Entry, Follower, Kept};
use crate::orders::{Ended, EngineOrders};

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
    /// The whole answer to an attempt that runs at most once is held.
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
    /// The target reported its load.
    Report(Report),
    /// The target reported the models that it holds.
    Models(BTreeSet<ModelVersion>),
    /// An order to the target ended.
    Ordered(Ended),
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
    /// Hand it to the target unless that is late, and keep its answer.
    StartOnce {
        /// Closes when the attempt is cancelled.
        cancelled: oneshot::Receiver<()>,
        /// When it was decided.
        decided: Now,
        /// Where the answer goes.
        entry: Entry,
    },
    /// Refuse it: nothing was handed over.
    Reject(Refusal),
    /// Answer that the target may have run it.
    Unknown(Refusal),
    /// Answer with what this attempt left or leaves behind.
    Follow(Follower),
}

/// An offer that waits for its decision.
struct Offered {
    order: oneshot::Sender<Decided>,
    once: bool,
}

/// The control state of an agent.
pub struct AgentRole {
    agent: Agent,
    slots: SlotMetrics,
    ends: OutcomeMetrics,
    target: Tag,
    answers: Answers,
    incarnation: SharedIncarnation,
    offers: FxHashMap<AttemptId, Offered>,
    cancels: FxHashMap<AttemptId, oneshot::Sender<()>>,
    trace: DecisionStore,
    config: Option<Arc<Config>>,
    actions: Vec<AgentAction>,
    readiness: Readiness,
    /// Started attempts whose router left before it read the decision.
    lost: Vec<AttemptId>,
    pulls: BTreeMap<u64, Endpoint>,
    routers: Vec<Endpoint>,
    members: Vec<Endpoint>,
    next_router: usize,
    /// A later incarnation that the agent has not been told.
    raise: Option<Incarnation>,
    superseded: bool,
    orders: EngineOrders,
}

impl AgentRole {
    /// Creates the state of an agent that has no configuration yet.
    ///
    /// `answers` is the greatest size of all kept answers in bytes.
    pub fn new(
        settings: AgentSettings,
        answers: u64,
        incarnation: SharedIncarnation,
        orders: EngineOrders,
        meter: &Meter,
    ) -> Self {
        Self {
            slots: SlotMetrics::new(meter),
            ends: OutcomeMetrics::new(meter, "knapweed_attempts"),
            target: settings.endpoint.id.0,
            agent: Agent::new(settings).with_max_answer_bytes(answers),
            answers: Answers::default(),
            incarnation,
            offers: FxHashMap::default(),
            cancels: FxHashMap::default(),
            trace: DecisionStore::new(TRACE_CAPACITY),
            config: None,
            actions: Vec::new(),
            readiness: Readiness::NotReady("no configuration in force"),
            lost: Vec::new(),
            pulls: BTreeMap::new(),
            routers: Vec::new(),
            members: Vec::new(),
            next_router: 0,
            raise: None,
            superseded: false,
            orders,
        }
    }

    fn handle(&mut self, now: Now, event: AgentEvent, out: &mut Outbox) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(incarnation) = self.raise.take() {
            self.agent.handle(
                now,
                AgentEvent::IncarnationRaised(incarnation),
                &mut actions,
            );
        }
        self.agent.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action, out);
        }
        self.actions = actions;
        for attempt in std::mem::take(&mut self.lost) {
            self.handle(
                now,
                AgentEvent::Ended {
                    attempt,
                    end: AttemptEnd::Withheld,
                },
                out,
            );
        }
    }

    fn carry_out(&mut self, now: Now, action: AgentAction, out: &mut Outbox) {
        match action {
            AgentAction::Start(attempt) => self.start(now, attempt),
            AgentAction::Reject {
                attempt, refusal, ..
            } => {
                if refusal.reason == Reason::Quarantined {
                    event::log(Event::RequestQuarantined, &[("request", &attempt.request)]);
                }
                self.answers.close(attempt, Kept::NotRun(refusal.clone()));
                self.decide(attempt, Order::Reject(refusal));
            }
            AgentAction::Unknown { attempt, refusal } => {
                let fields: &[Field<'_>] =
                    &[("request", &attempt.request), ("reason", &refusal.reason)];
                event::log(Event::OutcomeUnknown, fields);
                self.decide(attempt, Order::Unknown(refusal));
            }
            AgentAction::Replay { attempt, original }
            | AgentAction::Follow { attempt, original } => {
                let follower = self.answers.entry(original).follow();
                self.decide(attempt, Order::Follow(follower));
            }
            AgentAction::Evict(attempt) => self.answers.evict(attempt),
            AgentAction::Broadcast(fact) => self.spread(&fact, out),
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

    fn start(&mut self, now: Now, attempt: AttemptId) {
        let (cancel, cancelled) = oneshot::channel();
        self.cancels.insert(attempt, cancel);
        let once = self.offers.get(&attempt).is_some_and(|offer| offer.once);
        let order = match once {
            true => Order::StartOnce {
                cancelled,
                decided: now,
                entry: self.answers.entry(attempt),
            },
            false => Order::Start(cancelled),
        };
        self.decide(attempt, order);
    }

    fn decide(&mut self, attempt: AttemptId, order: Order) {
        let Some(Offered { order: reply, .. }) = self.offers.remove(&attempt) else {
            debug_assert!(false, "a decision without an offer");
            return;
        };
        let starts = matches!(order, Order::Start(_) | Order::StartOnce { .. });
        let load = self.agent.load();
        if reply.send(Decided { order, load }).is_err() && starts {
            // The router left between offer and decision: nothing was handed over.
            self.cancels.remove(&attempt);
            let refusal = Refusal::new(Reason::CallerGone, RetryAdvice::After(Duration::ZERO));
            self.answers.close(attempt, Kept::NotRun(refusal));
            self.lost.push(attempt);
        }
    }

    /// Tells the fleet a fact: the members that are known to live at once, all others in time.
    fn spread(&self, fact: &Fact, out: &mut Outbox) {
        out.publish(wire::encode_fact(fact));
        for &member in &self.members {
            out.send(member.control, Message::Fact(fact.clone()));
        }
    }

    /// The known routers in turn.
    fn next_router(&mut self) -> Option<Endpoint> {
        self.next_router = (self.next_router + 1) % self.routers.len().max(1);
        self.routers.get(self.next_router).copied()
    }

    /// The data centre of the target, by the rules in force.
    fn centre(&self) -> Option<&Name> {
        let config = self.config.as_ref()?;
        let target = config.names.targets.by_tag(self.target)?;
        let target = config.targets[target].as_ref()?;
        Some(config.names.centres.name(target.centre))
    }

    /// The target beside which another agent runs.
    fn target_of(&self, agent: Endpoint) -> Option<TargetId> {
        let config = self.config.as_ref()?;
        config.names.targets.by_tag(agent.id.0)
    }

    fn control_address(&self, target: TargetId) -> Option<std::net::SocketAddr> {
        let config = self.config.as_ref()?;
        config.targets[target].as_ref().map(|target| target.control)
    }
}

impl Role for AgentRole {
    type Input = Input;

    fn config_changed(&mut self, now: Now, config: Arc<Config>, out: &mut Outbox) {
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
            Input::Models(models) => return self.orders.reported(now.mono, models),
            Input::Ordered(ended) => return self.orders.ended(ended),
            Input::Offered { offer, order } => {
                let once = offer.key.is_some();
                self.offers.insert(offer.attempt, Offered { order, once });
                AgentEvent::Offered(*offer)
            }
            Input::Streamed { attempt, cost } => AgentEvent::Streamed { attempt, cost },
            Input::Kept { attempt, bytes } => AgentEvent::AnswerStored { attempt, bytes },
            Input::Ended { attempt, end } => {
                self.cancels.remove(&attempt);
                self.ends.count(name(end), String::new());
                AgentEvent::Ended { attempt, end }
            }
            Input::Report(report) => AgentEvent::Report(report),
            Input::TargetUp => {
                event::log(Event::TargetUp, &[]);
                AgentEvent::TargetUp
            }
            Input::TargetDown => {
                event::log(Event::TargetDown, &[]);
                AgentEvent::TargetDown
            }
        };
        self.handle(now, event, out);
    }

    fn received(
        &mut self,
        now: Now,
        sender: Endpoint,
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
            Message::Fact(fact) => {
                self.handle(now, AgentEvent::FactReceived(fact), out);
                Vec::new()
            }
            Message::AskModels => vec![Message::Models(self.orders.models())],
            Message::Models(models) => {
                if let Some(target) = self.target_of(sender) {
                    self.orders.heard(now.mono, target, models);
                }
                Vec::new()
            }
            // Other messages are for routers; an agent that gets one ignores it.
            _ => Vec::new(),
        }
    }

    fn delivery_failed(&mut self, now: Now, lost: Outgoing, out: &mut Outbox) {
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

    fn members_updated(&mut self, now: Now, fleet: &FleetMachine, out: &mut Outbox) {
        if !self.superseded && fleet.superseded_by().is_some() {
            self.superseded = true;
            self.orders.superseded();
            self.handle(now, AgentEvent::Superseded, out);
        }
        let leaving = fleet.process_leaving(ProcessId(self.target)).is_some();
        self.handle(now, AgentEvent::Leaving(leaving), out);
        if let Some(config) = &self.config {
            let leaving = |target| fleet.leaving(target).is_some();
            self.orders.place(now.mono, config, leaving);
        }
        let members = fleet.members().iter().filter(|member| member.is_live());
        self.members = members.map(|member| member.claim.endpoint).collect();
        // Those held dead are asked as well: an answer ends a partition early.
        let members = fleet.members().iter();
        let routers = members.filter(|member| member.claim.role == FleetRole::Router);
        self.routers = routers.map(|member| member.claim.endpoint).collect();
        if let Some(at) = fleet.confirmed_at() {
            let revision = fleet.version().revision;
            self.handle(now, AgentEvent::Confirmed { revision, at }, out);
        }
    }

    fn broadcast_received(&mut self, now: Now, broadcast: Broadcast, out: &mut Outbox) {
        if let Some(fact) = wire::decode_fact(&broadcast) {
            self.handle(now, AgentEvent::FactReceived(fact), out);
        }
    }

    fn incarnation_changed(&mut self, incarnation: Incarnation) {
        self.incarnation.store(incarnation.0, Ordering::Relaxed);
        self.raise = Some(incarnation);
        self.orders.raised(incarnation);
    }

    fn tick(&mut self, now: Now, out: &mut Outbox) {
        self.handle(now, AgentEvent::Tick, out);
        self.slots.record(self.agent.load());
        self.orders.tick(now.mono);
        for target in self.orders.inquiries(now.mono) {
            if let Some(to) = self.control_address(target) {
                out.send(to, Message::AskModels);
            }
        }
    }

    fn stop(&mut self, now: Now, out: &mut Outbox) {
        self.readiness = Readiness::NotReady("stopping");
        out.announce(true);
        self.handle(now, AgentEvent::Stop, out);
    }

    fn readiness(&self) -> Readiness {
        self.readiness.clone()
    }

    fn unfinished(&self) -> Vec<RequestId> {
        let mut requests: Vec<_> = self.cancels.keys().map(|it| it.request).collect();
        requests.sort_unstable();
        requests
    }

    fn dump(&self, _now: Now) -> serde_json::Value {
        let load = self.agent.load();
        let state = self.agent.dump();
        serde_json::json!({
            "kind": "agent",
            "data_centre": self.centre(),
            "running": state.running,
            "reserved": state.reserved,
            "bids": state.bids,
            "teams": state.teams,
            "load": load,
            "slots": self.agent.slots(),
            "answers": self.answers.len(),
            "keys": self.agent.key_memory_usage().0,
            "answer_bytes": self.agent.key_memory_usage().1,
            "traces": self.trace.len(),
            "orders": self.orders.dump(),
        })
    }

    fn why(&self, request: RequestId) -> Option<Vec<Decision>> {
        self.trace.decisions(request).map(<[Decision]>::to_vec)
    }
}

/// How an attempt ended, as a label of a metric.
fn name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Answered { .. } => "answered",
        AttemptEnd::Refused => "refused",
        AttemptEnd::Unsent => "unsent",
        AttemptEnd::Broken => "broken",
        AttemptEnd::Cancelled => "cancelled",
        AttemptEnd::Withheld => "withheld",
    }
}
