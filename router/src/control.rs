//! The controller that connects traffic threads with [`policy::Router`].
//!
//! Invariant: a request's entry in the order table lives from its submission to
//! its last order; traffic threads whose entry is gone get no further orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use entity::{
    AttemptId, Decision, Incarnation, Name, Now, Outcome, ProcessId, Reason, Refusal, RequestId,
    StateMachine, TargetId, Ticket,
};
use node::event::{self, Event, Field};
use node::host::{FleetMachine, Outbox, Outgoing, Readiness, Role};
use node::metrics::OutcomeMetrics;
use node::trace::DecisionStore;
use opentelemetry::metrics::Meter;
use policy::fleet::Broadcast;
use policy::message::{Endpoint, Load};
use policy::status::{ANSWERED, NOT_RUN, UNKNOWN};
use policy::{
    Arrival, AttemptResult, DispatchOrder, Router, RouterAction, RouterEvent, RouterSettings,
};
use rules::Config;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use wire::Message;

/// The number of requests whose decisions are kept.
const TRACE_CAPACITY: usize = 10_000;

/// Why a router without rules is not ready.
const NO_CONFIG: &str = "no configuration in force";

/// What traffic threads tell the control thread.
#[derive(Debug)]
pub enum Input {
    /// A request passed the filters.
    Submit(Box<Submission>),
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        result: AttemptResult,
    },
    /// An agent stated its load.
    Loaded {
        /// The agent's target.
        target: TargetId,
        /// The agent's life.
        incarnation: Incarnation,
        /// The load.
        load: Load,
    },
    /// The caller closed its connection.
    CallerGone(RequestId),
    /// An agent answered another attempt than the one that was sent.
    Mismatched {
        /// The attempt that was sent.
        expected: AttemptId,
        /// The attempt that the answer names.
        answered: AttemptId,
    },
    /// Decisions about a request that is not submitted.
    Recorded(Vec<Decision>),
    /// A filter rejected a request after these decisions.
    Rejected {
        /// The reason.
        reason: Reason,
        /// The decisions.
        decisions: Vec<Decision>,
    },
    /// A caller asks for a ticket.
    Ticket {
        /// The request that the ticket is for.
        arrival: Box<Arrival>,
        /// Where the ticket goes.
        reply: oneshot::Sender<Result<Ticket, Refusal>>,
    },
}

/// A request handed to the control thread.
#[derive(Debug)]
pub struct Submission {
    /// The request.
    pub arrival: Arrival,
    /// The decisions of the filters.
    pub decisions: Vec<Decision>,
    /// Where the request's orders go.
    pub orders: mpsc::UnboundedSender<Order>,
}

/// What the control thread tells the traffic thread of a request.
#[derive(Debug)]
pub enum Order {
    /// Send an attempt.
    Dispatch(Box<DispatchOrder>),
    /// End the request without an answer.
    Finish(Outcome),
    /// Abandon the attempt in flight.
    Cancel(AttemptId),
}

/// The channel from traffic threads to the control thread.
#[derive(Clone, Debug)]
pub struct Reporter(mpsc::Sender<Input>);

impl Reporter {
    /// Creates a reporter.
    pub fn new(inputs: mpsc::Sender<Input>) -> Self {
        Self(inputs)
    }

    /// Submits a request; `false` if the control thread is overloaded.
    pub fn submit(&self, submission: Submission) -> bool {
        self.0.try_send(Input::Submit(Box::new(submission))).is_ok()
    }

    /// Reports what must not be lost: waits for room on a task of its own if the channel is full.
    pub fn report(&self, input: Input) {
        if let Err(mpsc::error::TrySendError::Full(input)) = self.0.try_send(input) {
            let inputs = self.0.clone();
            actix_rt::spawn(async move { inputs.send(input).await });
        }
    }
}

/// What the fleet knows of an agent.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
struct Standing {
    /// Its members hold it for failed.
    dead: bool,
    /// It gets no new work, by the VM list or by its own word.
    leaving: bool,
}

/// The control state of a router.
pub struct RouterRole {
    stop_limit: Duration,
    /// When a planned stop refuses what waits.
    hand_back: Option<Instant>,
    router: Router,
    centre: Name,
    orders: FxHashMap<RequestId, mpsc::UnboundedSender<Order>>,
    trace: DecisionStore,
    config: Option<Arc<Config>>,
    actions: Vec<RouterAction>,
    readiness: Readiness,
    standings: FxHashMap<TargetId, Standing>,
    superseded: bool,
    mismatches: u64,
    ends: OutcomeMetrics,
    finished: u64,
}

impl RouterRole {
    /// Creates the state of a router that has no configuration yet.
    ///
    /// A planned stop refuses what still waits after half of `stop_limit`.
    pub fn new(settings: RouterSettings, stop_limit: Duration, meter: &Meter) -> Self {
        Self {
            stop_limit,
            hand_back: None,
            centre: settings.centre.clone(),
            router: Router::new(settings),
            orders: FxHashMap::default(),
            trace: DecisionStore::new(TRACE_CAPACITY),
            config: None,
            actions: Vec::new(),
            readiness: Readiness::NotReady(NO_CONFIG),
            standings: FxHashMap::default(),
            superseded: false,
            mismatches: 0,
            ends: OutcomeMetrics::new(meter, "knapweed_requests"),
            finished: 0,
        }
    }

    /// Processes one event; direct answers to the event's sender are returned.
    fn handle(&mut self, now: Now, event: RouterEvent, out: &mut Outbox) -> Vec<Message> {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        let mut answers = Vec::new();
        for action in actions.drain(..) {
            self.carry_out(action, out, &mut answers);
        }
        self.actions = actions;
        answers
    }

    fn carry_out(&mut self, action: RouterAction, out: &mut Outbox, answers: &mut Vec<Message>) {
        match action {
            RouterAction::Dispatch(order) => {
                let request = order.offer.attempt.request;
                self.order(request, Order::Dispatch(Box::new(order)));
            }
            RouterAction::Finish { request, outcome } => {
                self.finished += 1;
                log_ending(request, &outcome);
                self.count(&outcome);
                self.order(request, Order::Finish(outcome));
                self.orders.remove(&request);
            }
            RouterAction::Cancel(attempt) => self.order(attempt.request, Order::Cancel(attempt)),
            RouterAction::Bid { target, update } => {
                if let Some(to) = self.control_address(target) {
                    out.send(to, Message::Bids(update));
                }
            }
            RouterAction::PullReply { pulled, .. } => answers.push(Message::Pulled(pulled)),
            RouterAction::Decided(decision) => self.trace.record(decision),
            RouterAction::Stopped => self.readiness = Readiness::Stopped,
        }
    }

    fn record(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            self.trace.record(decision);
        }
    }

    /// Counts the ending of a request that got no answer.
    fn count(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Answered { .. } => {}
            Outcome::NotRun { refusal, .. } => {
                self.ends.count(NOT_RUN, refusal.reason.to_string());
            }
            Outcome::Unknown { refusal } => self.ends.count(UNKNOWN, refusal.reason.to_string()),
        }
    }

    /// Gives an order to a request's traffic thread, unless its caller left.
    fn order(&mut self, request: RequestId, order: Order) {
        let lost = match self.orders.get(&request) {
            Some(orders) => orders.send(order).is_err(),
            None => false,
        };
        if lost {
            self.orders.remove(&request);
        }
    }

    /// What the fleet knows of the agent beside each target.
    fn standings(&self, now: Now, fleet: &FleetMachine) -> Vec<(TargetId, Standing)> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let targets = config.targets.iter().filter(|(_, target)| target.is_some());
        let standing = |target| {
            let agent = ProcessId(config.names.targets.tag(target));
            Standing {
                dead: !fleet.is_reachable(now, agent),
                leaving: fleet.process_leaving(agent).is_some(),
            }
        };
        targets
            .map(|(target, _)| (target, standing(target)))
            .collect()
    }

    /// The lives of the agents that the fleet knows.
    fn lives(&self, fleet: &FleetMachine) -> Vec<(TargetId, Incarnation)> {
        let members = fleet.members().iter().filter(|member| member.is_live());
        let life = |endpoint: Endpoint| Some((self.target_of(endpoint)?, endpoint.incarnation));
        members
            .filter_map(|member| life(member.claim.endpoint))
            .collect()
    }

    /// The target beside which an agent runs.
    fn target_of(&self, agent: Endpoint) -> Option<TargetId> {
        let config = self.config.as_ref()?;
        config.names.targets.by_tag(agent.id.0)
    }

    fn control_address(&self, target: TargetId) -> Option<std::net::SocketAddr> {
        let config = self.config.as_ref()?;
        config.targets[target].as_ref().map(|target| target.control)
    }

    /// The number of requests that wait for each pool, by name.
    fn waiting(&self) -> BTreeMap<String, usize> {
        let config = self.config.iter();
        let pools = config.flat_map(|config| {
            let pools = config.pools.iter().filter(|(_, pool)| pool.is_some());
            pools.map(|(pool, _)| (config.names.pools.name(pool).to_string(), pool))
        });
        pools
            .map(|(name, pool)| (name, self.router.waiting(pool)))
            .collect()
    }

    fn submitted(&mut self, now: Now, submission: Submission, out: &mut Outbox) {
        let Submission {
            arrival,
            decisions,
            orders,
        } = submission;
        self.orders.insert(arrival.request, orders);
        self.record(decisions);
        self.handle(now, RouterEvent::Arrived(arrival), out);
    }
}

impl Role for RouterRole {
    type Input = Input;

    fn config_changed(&mut self, now: Now, config: Arc<Config>, out: &mut Outbox) {
        self.config = Some(config.clone());
        if self.readiness == Readiness::NotReady(NO_CONFIG) {
            self.readiness = Readiness::Ready;
        }
        self.handle(now, RouterEvent::Configured(config), out);
    }

    fn input(&mut self, now: Now, input: Input, out: &mut Outbox) {
        match input {
            Input::Submit(submission) => self.submitted(now, *submission, out),
            Input::Ended { attempt, result } => {
                if matches!(result, AttemptResult::Answered { .. }) {
                    self.ends.count(ANSWERED, String::new());
                    self.orders.remove(&attempt.request);
                }
                self.handle(now, RouterEvent::Ended { attempt, result }, out);
            }
            Input::Loaded {
                target,
                incarnation,
                load,
            } => {
                let alive = RouterEvent::IncarnationSeen {
                    target,
                    incarnation,
                };
                self.handle(now, alive, out);
                self.handle(now, RouterEvent::LoadReported { target, load }, out);
            }
            Input::CallerGone(request) => {
                self.orders.remove(&request);
                self.handle(now, RouterEvent::CallerGone(request), out);
            }
            Input::Mismatched { expected, answered } => {
                self.mismatches += 1;
                let fields: &[Field<'_>] = &[("expected", &expected), ("answered", &answered)];
                event::log(Event::AnswerMismatched, fields);
            }
            Input::Ticket { arrival, reply } => {
                let ticket = self.router.ticket(now, &arrival);
                // A caller that has left needs no ticket.
                let _ = reply.send(ticket);
            }
            Input::Rejected { reason, decisions } => {
                self.ends.count(NOT_RUN, reason.to_string());
                self.record(decisions);
            }
            Input::Recorded(decisions) => self.record(decisions),
        }
    }

    fn received(
        &mut self,
        now: Now,
        sender: Endpoint,
        message: Message,
        out: &mut Outbox,
    ) -> Vec<Message> {
        match message {
            Message::Pull(pull) => self.handle(now, RouterEvent::Pull(pull), out),
            Message::Solicit(solicit) => self.handle(now, RouterEvent::Solicit(solicit), out),
            Message::Load(load) => {
                let target = self.target_of(sender);
                let event = target.map(|target| RouterEvent::LoadReported { target, load });
                event.map_or_else(Vec::new, |event| self.handle(now, event, out))
            }
            Message::Fact(fact) => self.handle(now, RouterEvent::FactReceived(fact), out),
            // Other messages are for agents; a router that gets one ignores it.
            _ => Vec::new(),
        }
    }

    fn delivery_failed(&mut self, _now: Now, _lost: Outgoing, _out: &mut Outbox) {}

    fn members_updated(&mut self, now: Now, fleet: &FleetMachine, out: &mut Outbox) {
        if !self.superseded && fleet.superseded_by().is_some() {
            self.superseded = true;
            self.handle(now, RouterEvent::Superseded, out);
        }
        for (target, incarnation) in self.lives(fleet) {
            let event = RouterEvent::IncarnationSeen {
                target,
                incarnation,
            };
            self.handle(now, event, out);
        }
        for (target, standing) in self.standings(now, fleet) {
            let known = self.standings.insert(target, standing);
            let known = known.unwrap_or_default();
            if known.dead != standing.dead {
                let event = match standing.dead {
                    false => RouterEvent::Reachable(target),
                    true => RouterEvent::Unreachable(target),
                };
                self.handle(now, event, out);
            }
            if known.leaving != standing.leaving {
                let leaving = standing.leaving;
                self.handle(now, RouterEvent::Leaving { target, leaving }, out);
            }
        }
    }

    fn broadcast_received(&mut self, now: Now, broadcast: Broadcast, out: &mut Outbox) {
        if let Some(fact) = wire::decode_fact(&broadcast) {
            self.handle(now, RouterEvent::FactReceived(fact), out);
        }
    }

    fn incarnation_changed(&mut self, _incarnation: Incarnation) {}

    fn tick(&mut self, now: Now, out: &mut Outbox) {
        self.handle(now, RouterEvent::Tick, out);
        if self.hand_back.take_if(|at| *at <= now.mono).is_some() {
            self.handle(now, RouterEvent::RefuseWaiting, out);
        }
    }

    fn stop(&mut self, now: Now, out: &mut Outbox) {
        self.readiness = Readiness::NotReady("stopping");
        self.hand_back = Some(now.mono + self.stop_limit / 2);
        out.announce(true);
        self.handle(now, RouterEvent::Stop, out);
    }

    fn readiness(&self) -> Readiness {
        self.readiness.clone()
    }

    fn unfinished(&self) -> Vec<RequestId> {
        let mut requests: Vec<_> = self.orders.keys().copied().collect();
        requests.sort_unstable();
        requests
    }

    fn dump(&self, now: Now) -> serde_json::Value {
        let state = self.router.dump(now);
        serde_json::json!({
            "kind": "router",
            "data_centre": self.centre,
            "pending": state.pending,
            "teams": state.teams,
            "targets": state.targets,
            "waiting": self.waiting(),
            "requests": self.orders.len(),
            "finished": self.finished,
            "mismatches": self.mismatches + self.router.counts().mismatched,
            "attempts": self.router.counts().started,
            "retries": self.router.counts().retried,
            "traces": self.trace.len(),
        })
    }

    fn why(&self, request: RequestId) -> Option<Vec<Decision>> {
        self.trace.decisions(request).map(<[Decision]>::to_vec)
    }
}

/// Logs the endings that operators look into.
fn log_ending(request: RequestId, outcome: &Outcome) {
    let (event, refusal) = match outcome {
        Outcome::Unknown { refusal } => (Event::OutcomeUnknown, refusal),
        Outcome::NotRun { refusal, .. } if refusal.reason == Reason::Quarantined => {
            (Event::RequestQuarantined, refusal)
        }
        _ => return,
    };
    event::log(event, &[("request", &request), ("reason", &refusal.reason)]);
}
