//! Control thread state that connects the traffic threads to [`policy::Agent`].

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

use crate::answers::{AnswerStore, Entry, OutcomeReceiver, StoredOutcome};
use crate::orders::{EngineOrders, OrderResult};

/// The maximum number of requests whose decisions are kept for traces.
const TRACE_CAPACITY: usize = 10_000;

/// The agent's incarnation, shared with the traffic threads.
pub type SharedIncarnation = Arc<AtomicU64>;

/// Messages from the traffic threads and the target monitor to the control thread.
#[derive(Debug)]
pub enum Input {
    /// A router offers an attempt.
    Offered {
        /// The offer.
        offer: Box<Offer>,
        /// Receives the decision.
        reply: oneshot::Sender<OfferDecision>,
    },
    /// The target streamed a part of an answer.
    Streamed {
        /// The attempt.
        attempt: AttemptId,
        /// The cost of the part.
        cost: Cost,
    },
    /// The complete answer to an attempt that runs at most once is stored.
    AnswerStored {
        /// The attempt.
        attempt: AttemptId,
        /// The size of the answer in bytes.
        bytes: u64,
    },
    /// An attempt on the target ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The target reported its load.
    LoadReported(Report),
    /// The target reported its loaded models.
    Models(BTreeSet<ModelVersion>),
    /// An order to the engine ended.
    OrderEnded(OrderResult),
    /// The target answers again, or for the first time.
    TargetUp,
    /// The target stopped answering or restarted.
    TargetDown,
}

/// The decision about an offer, with the agent's load after the decision.
#[derive(Debug)]
pub struct OfferDecision {
    /// The action for the traffic thread.
    pub action: OfferAction,
    /// The agent's load.
    pub load: Load,
}

/// What a traffic thread must do with an offered attempt.
#[derive(Debug)]
pub enum OfferAction {
    /// Send it to the target; the closing of the channel cancels it.
    Start(oneshot::Receiver<()>),
    /// Send it to the target unless it is too late, and store the answer.
    StartOnce {
        /// Closes when the attempt is cancelled.
        cancelled: oneshot::Receiver<()>,
        /// The time of the decision.
        decided_at: Now,
        /// The entry that receives the outcome.
        entry: Entry,
    },
    /// Refuse it: nothing was sent to the target.
    Reject(Refusal),
    /// Reply that the target may have run it.
    Unknown(Refusal),
    /// Reply with the outcome of another attempt once it is known.
    Follow(OutcomeReceiver),
}

/// An offer without a decision yet.
struct PendingOffer {
    reply: oneshot::Sender<OfferDecision>,
    runs_once: bool,
}

/// The control state of an agent.
pub struct AgentRole {
    agent: Agent,
    slot_metrics: SlotMetrics,
    end_metrics: OutcomeMetrics,
    target_tag: Tag,
    answers: AnswerStore,
    incarnation: SharedIncarnation,
    pending_offers: FxHashMap<AttemptId, PendingOffer>,
    cancel_senders: FxHashMap<AttemptId, oneshot::Sender<()>>,
    trace: DecisionStore,
    config: Option<Arc<Config>>,
    actions: Vec<AgentAction>,
    readiness: Readiness,
    /// Started attempts whose router disconnected before it received the decision.
    undelivered_starts: Vec<AttemptId>,
    pending_pulls: BTreeMap<u64, Endpoint>,
    routers: Vec<Endpoint>,
    members: Vec<Endpoint>,
    next_router: usize,
    /// A raised incarnation that has not been passed to `agent` yet.
    raised_incarnation: Option<Incarnation>,
    superseded: bool,
    engine_orders: EngineOrders,
}

impl AgentRole {
    /// Creates the state of an agent without a configuration.
    ///
    /// `max_answer_bytes` limits the total size of the stored answers.
    pub fn new(
        settings: AgentSettings,
        max_answer_bytes: u64,
        incarnation: SharedIncarnation,
        engine_orders: EngineOrders,
        meter: &Meter,
    ) -> Self {
        Self {
            slot_metrics: SlotMetrics::new(meter),
            end_metrics: OutcomeMetrics::new(meter, "knapweed_attempts"),
            target_tag: settings.endpoint.id.0,
            agent: Agent::new(settings).with_max_answer_bytes(max_answer_bytes),
            answers: AnswerStore::default(),
            incarnation,
            pending_offers: FxHashMap::default(),
            cancel_senders: FxHashMap::default(),
            trace: DecisionStore::new(TRACE_CAPACITY),
            config: None,
            actions: Vec::new(),
            readiness: Readiness::NotReady("no configuration in force"),
            undelivered_starts: Vec::new(),
            pending_pulls: BTreeMap::new(),
            routers: Vec::new(),
            members: Vec::new(),
            next_router: 0,
            raised_incarnation: None,
            superseded: false,
            engine_orders,
        }
    }

    fn handle(&mut self, now: Now, event: AgentEvent, out: &mut Outbox) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(incarnation) = self.raised_incarnation.take() {
            self.agent.handle(
                now,
                AgentEvent::IncarnationRaised(incarnation),
                &mut actions,
            );
        }
        self.agent.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply(now, action, out);
        }
        self.actions = actions;
        for attempt in std::mem::take(&mut self.undelivered_starts) {
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

    fn apply(&mut self, now: Now, action: AgentAction, out: &mut Outbox) {
        match action {
            AgentAction::Start(attempt) => self.start(now, attempt),
            AgentAction::Reject {
                attempt, refusal, ..
            } => {
                if refusal.reason == Reason::Quarantined {
                    event::log(Event::RequestQuarantined, &[("request", &attempt.request)]);
                }
                self.answers
                    .complete(attempt, StoredOutcome::NotRun(refusal.clone()));
                self.send_decision(attempt, OfferAction::Reject(refusal));
            }
            AgentAction::Unknown { attempt, refusal } => {
                let fields: &[Field<'_>] =
                    &[("request", &attempt.request), ("reason", &refusal.reason)];
                event::log(Event::OutcomeUnknown, fields);
                self.send_decision(attempt, OfferAction::Unknown(refusal));
            }
            AgentAction::Replay { attempt, original }
            | AgentAction::Follow { attempt, original } => {
                let outcome = self.answers.entry(original).subscribe();
                self.send_decision(attempt, OfferAction::Follow(outcome));
            }
            AgentAction::Evict(attempt) => self.answers.evict(attempt),
            AgentAction::Broadcast(fact) => self.broadcast(&fact, out),
            AgentAction::Cancel(attempt) => {
                self.cancel_senders.remove(&attempt);
            }
            AgentAction::Pull { router, pull } => {
                self.pending_pulls.insert(pull.sequence, router);
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
        self.cancel_senders.insert(attempt, cancel);
        let runs_once = self
            .pending_offers
            .get(&attempt)
            .is_some_and(|offer| offer.runs_once);
        let action = match runs_once {
            true => OfferAction::StartOnce {
                cancelled,
                decided_at: now,
                entry: self.answers.entry(attempt),
            },
            false => OfferAction::Start(cancelled),
        };
        self.send_decision(attempt, action);
    }

    fn send_decision(&mut self, attempt: AttemptId, action: OfferAction) {
        let Some(PendingOffer { reply: sender, .. }) = self.pending_offers.remove(&attempt) else {
            debug_assert!(false, "decision without a pending offer");
            return;
        };
        let starts = matches!(
            action,
            OfferAction::Start(_) | OfferAction::StartOnce { .. }
        );
        let load = self.agent.load();
        if sender.send(OfferDecision { action, load }).is_err() && starts {
            // The router disconnected before the decision, so nothing was sent to the target.
            self.cancel_senders.remove(&attempt);
            let refusal = Refusal::new(Reason::CallerGone, RetryAdvice::After(Duration::ZERO));
            self.answers
                .complete(attempt, StoredOutcome::NotRun(refusal));
            self.undelivered_starts.push(attempt);
        }
    }

    /// Sends a fact to all live members directly and publishes it for the rest of the fleet.
    fn broadcast(&self, fact: &Fact, out: &mut Outbox) {
        out.publish(wire::encode_fact(fact));
        for &member in &self.members {
            out.send(member.control, Message::Fact(fact.clone()));
        }
    }

    /// Returns the next of the known routers in round-robin order.
    fn next_router(&mut self) -> Option<Endpoint> {
        self.next_router = (self.next_router + 1) % self.routers.len().max(1);
        self.routers.get(self.next_router).copied()
    }

    /// Returns the target's data centre according to the current rules.
    fn data_centre(&self) -> Option<&Name> {
        let config = self.config.as_ref()?;
        let target = config.names.targets.by_tag(self.target_tag)?;
        let target = config.targets[target].as_ref()?;
        Some(config.names.centres.name(target.centre))
    }

    /// Returns the target that another agent serves.
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
            Input::Models(models) => return self.engine_orders.record_models(now.mono, models),
            Input::OrderEnded(result) => return self.engine_orders.record_result(result),
            Input::Offered { offer, reply } => {
                let runs_once = offer.key.is_some();
                self.pending_offers
                    .insert(offer.attempt, PendingOffer { reply, runs_once });
                AgentEvent::Offered(*offer)
            }
            Input::Streamed { attempt, cost } => AgentEvent::Streamed { attempt, cost },
            Input::AnswerStored { attempt, bytes } => AgentEvent::AnswerStored { attempt, bytes },
            Input::Ended { attempt, end } => {
                self.cancel_senders.remove(&attempt);
                self.end_metrics.count(end_label(end), String::new());
                AgentEvent::Ended { attempt, end }
            }
            Input::LoadReported(report) => AgentEvent::Report(report),
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
                self.pending_pulls.remove(&pulled.sequence);
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
            Message::AskModels => vec![Message::Models(self.engine_orders.loaded_models())],
            Message::Models(models) => {
                if let Some(target) = self.target_of(sender) {
                    self.engine_orders
                        .record_peer_models(now.mono, target, models);
                }
                Vec::new()
            }
            // The remaining messages are meant for routers and are ignored.
            _ => Vec::new(),
        }
    }

    fn delivery_failed(&mut self, now: Now, lost: Outgoing, out: &mut Outbox) {
        for message in lost.messages {
            let Message::Pull(pull) = message else {
                continue;
            };
            let sequence = pull.sequence;
            if let Some(router) = self.pending_pulls.remove(&sequence) {
                self.handle(now, AgentEvent::PullLost { router, sequence }, out);
            }
        }
    }

    fn members_updated(&mut self, now: Now, fleet: &FleetMachine, out: &mut Outbox) {
        if !self.superseded && fleet.superseded_by().is_some() {
            self.superseded = true;
            self.engine_orders.supersede();
            self.handle(now, AgentEvent::Superseded, out);
        }
        let leaving = fleet.process_leaving(ProcessId(self.target_tag)).is_some();
        self.handle(now, AgentEvent::Leaving(leaving), out);
        if let Some(config) = &self.config {
            let leaving = |target| fleet.leaving(target).is_some();
            self.engine_orders
                .update_placement(now.mono, config, leaving);
        }
        let members = fleet.members().iter().filter(|member| member.is_live());
        self.members = members.map(|member| member.claim.endpoint).collect();
        // Includes routers considered dead: a reply from one ends a partition early.
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
        self.raised_incarnation = Some(incarnation);
        self.engine_orders.set_incarnation(incarnation);
    }

    fn tick(&mut self, now: Now, out: &mut Outbox) {
        self.handle(now, AgentEvent::Tick, out);
        self.slot_metrics.record(self.agent.load());
        self.engine_orders.tick(now.mono);
        for target in self.engine_orders.targets_to_query(now.mono) {
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
        let mut requests: Vec<_> = self.cancel_senders.keys().map(|it| it.request).collect();
        requests.sort_unstable();
        requests
    }

    fn dump(&self, _now: Now) -> serde_json::Value {
        let load = self.agent.load();
        let state = self.agent.dump();
        serde_json::json!({
            "kind": "agent",
            "data_centre": self.data_centre(),
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
            "orders": self.engine_orders.dump(),
        })
    }

    fn why(&self, request: RequestId) -> Option<Vec<Decision>> {
        self.trace.decisions(request).map(<[Decision]>::to_vec)
    }
}

/// Returns the metric label for the end of an attempt.
fn end_label(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Answered { .. } => "answered",
        AttemptEnd::Refused => "refused",
        AttemptEnd::Unsent => "unsent",
        AttemptEnd::Broken => "broken",
        AttemptEnd::Cancelled => "cancelled",
        AttemptEnd::Withheld => "withheld",
    }
}
