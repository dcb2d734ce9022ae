//! Control thread state that connects the traffic threads to [`policy::Router`].
//!
//! Invariant: a request has an entry in the table of command senders from its
//! submission to its last command; after its removal, the traffic thread gets no
//! further commands.

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

/// The maximum number of requests whose decisions are kept for traces.
const TRACE_CAPACITY: usize = 10_000;

/// The readiness message of a router without a configuration.
const NO_CONFIG: &str = "no configuration in force";

/// Messages from the traffic threads to the control thread.
#[derive(Debug)]
pub enum Input {
    /// A request passed the filters.
    Submit(Box<Submission>),
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// An agent reported its load.
    LoadReported {
        /// The agent's target.
        target: TargetId,
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// The load.
        load: Load,
    },
    /// The caller closed its connection.
    CallerGone(RequestId),
    /// An agent's answer names a different attempt than the one that was sent.
    Mismatched {
        /// The attempt that was sent.
        expected: AttemptId,
        /// The attempt that the answer names.
        answered: AttemptId,
    },
    /// Decisions about a request that is not submitted to the control thread.
    Recorded(Vec<Decision>),
    /// A filter rejected a request after these decisions.
    Rejected {
        /// The reason.
        reason: Reason,
        /// The decisions.
        decisions: Vec<Decision>,
    },
    /// A caller requests a ticket.
    Ticket {
        /// The request that the ticket is for.
        arrival: Box<Arrival>,
        /// Receives the ticket.
        reply: oneshot::Sender<Result<Ticket, Refusal>>,
    },
}

/// A request submitted to the control thread.
#[derive(Debug)]
pub struct Submission {
    /// The request.
    pub arrival: Arrival,
    /// The decisions of the filters.
    pub decisions: Vec<Decision>,
    /// Receives the commands for the request.
    pub commands: mpsc::UnboundedSender<Command>,
}

/// A command of the control thread to the traffic thread of a request.
#[derive(Debug)]
pub enum Command {
    /// Send an attempt.
    Dispatch(Box<DispatchOrder>),
    /// End the request without an answer.
    Finish(Outcome),
    /// Cancel the running attempt.
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

    /// Submits a request; returns `false` if the control thread is overloaded.
    pub fn submit(&self, submission: Submission) -> bool {
        self.0.try_send(Input::Submit(Box::new(submission))).is_ok()
    }

    /// Sends a report that must not be lost; if the channel is full, a separate task waits for room.
    pub fn report(&self, input: Input) {
        if let Err(mpsc::error::TrySendError::Full(input)) = self.0.try_send(input) {
            let inputs = self.0.clone();
            actix_rt::spawn(async move { inputs.send(input).await });
        }
    }
}

/// The state of an agent according to the fleet.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
struct AgentState {
    /// The fleet members consider it failed.
    is_dead: bool,
    /// It gets no new work because it is leaving by the VM list or its own announcement.
    is_leaving: bool,
}

/// The control state of a router.
pub struct RouterRole {
    stop_limit: Duration,
    /// The time at which a planned stop refuses the waiting requests.
    refuse_waiting_at: Option<Instant>,
    router: Router,
    data_centre: Name,
    command_senders: FxHashMap<RequestId, mpsc::UnboundedSender<Command>>,
    trace: DecisionStore,
    config: Option<Arc<Config>>,
    actions: Vec<RouterAction>,
    readiness: Readiness,
    agent_states: FxHashMap<TargetId, AgentState>,
    superseded: bool,
    mismatches: u64,
    metrics: OutcomeMetrics,
    finished: u64,
}

impl RouterRole {
    /// Creates the state of a router without a configuration.
    ///
    /// A planned stop refuses the requests that still wait after half of `stop_limit`.
    pub fn new(settings: RouterSettings, stop_limit: Duration, meter: &Meter) -> Self {
        Self {
            stop_limit,
            refuse_waiting_at: None,
            data_centre: settings.centre.clone(),
            router: Router::new(settings),
            command_senders: FxHashMap::default(),
            trace: DecisionStore::new(TRACE_CAPACITY),
            config: None,
            actions: Vec::new(),
            readiness: Readiness::NotReady(NO_CONFIG),
            agent_states: FxHashMap::default(),
            superseded: false,
            mismatches: 0,
            metrics: OutcomeMetrics::new(meter, "knapweed_requests"),
            finished: 0,
        }
    }

    /// Processes one event; returns the direct replies to the event's sender.
    fn handle(&mut self, now: Now, event: RouterEvent, out: &mut Outbox) -> Vec<Message> {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        let mut replies = Vec::new();
        for action in actions.drain(..) {
            self.apply(action, out, &mut replies);
        }
        self.actions = actions;
        replies
    }

    fn apply(&mut self, action: RouterAction, out: &mut Outbox, replies: &mut Vec<Message>) {
        match action {
            RouterAction::Dispatch(order) => {
                let request = order.offer.attempt.request;
                self.send(request, Command::Dispatch(Box::new(order)));
            }
            RouterAction::Finish { request, outcome } => {
                self.finished += 1;
                log_outcome(request, &outcome);
                self.count_outcome(&outcome);
                self.send(request, Command::Finish(outcome));
                self.command_senders.remove(&request);
            }
            RouterAction::Cancel(attempt) => self.send(attempt.request, Command::Cancel(attempt)),
            RouterAction::Bid { target, update } => {
                if let Some(to) = self.control_address(target) {
                    out.send(to, Message::Bids(update));
                }
            }
            RouterAction::PullReply { pulled, .. } => replies.push(Message::Pulled(pulled)),
            RouterAction::Decided(decision) => self.trace.record(decision),
            RouterAction::Stopped => self.readiness = Readiness::Stopped,
        }
    }

    fn record_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            self.trace.record(decision);
        }
    }

    /// Counts the end of a request that got no answer.
    fn count_outcome(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Answered { .. } => {}
            Outcome::NotRun { refusal, .. } => {
                self.metrics.count(NOT_RUN, refusal.reason.to_string());
            }
            Outcome::Unknown { refusal } => self.metrics.count(UNKNOWN, refusal.reason.to_string()),
        }
    }

    /// Sends a command to a request's traffic thread, unless its caller disconnected.
    fn send(&mut self, request: RequestId, command: Command) {
        let is_disconnected = match self.command_senders.get(&request) {
            Some(sender) => sender.send(command).is_err(),
            None => false,
        };
        if is_disconnected {
            self.command_senders.remove(&request);
        }
    }

    /// Returns the state of each target's agent according to the fleet.
    fn agent_states(&self, now: Now, fleet: &FleetMachine) -> Vec<(TargetId, AgentState)> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let targets = config.targets.iter().filter(|(_, target)| target.is_some());
        let state = |target| {
            let agent = ProcessId(config.names.targets.tag(target));
            AgentState {
                is_dead: !fleet.is_reachable(now, agent),
                is_leaving: fleet.process_leaving(agent).is_some(),
            }
        };
        targets.map(|(target, _)| (target, state(target))).collect()
    }

    /// Returns the incarnations of the agents that the fleet considers live.
    fn agent_incarnations(&self, fleet: &FleetMachine) -> Vec<(TargetId, Incarnation)> {
        let members = fleet.members().iter().filter(|member| member.is_live());
        let agent_incarnation =
            |endpoint: Endpoint| Some((self.target_of(endpoint)?, endpoint.incarnation));
        members
            .filter_map(|member| agent_incarnation(member.claim.endpoint))
            .collect()
    }

    /// Returns the target that an agent serves.
    fn target_of(&self, agent: Endpoint) -> Option<TargetId> {
        let config = self.config.as_ref()?;
        config.names.targets.by_tag(agent.id.0)
    }

    fn control_address(&self, target: TargetId) -> Option<std::net::SocketAddr> {
        let config = self.config.as_ref()?;
        config.targets[target].as_ref().map(|target| target.control)
    }

    /// Returns the number of requests that wait for each pool, by pool name.
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

    fn submit(&mut self, now: Now, submission: Submission, out: &mut Outbox) {
        let Submission {
            arrival,
            decisions,
            commands,
        } = submission;
        self.command_senders.insert(arrival.request, commands);
        self.record_decisions(decisions);
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
            Input::Submit(submission) => self.submit(now, *submission, out),
            Input::Ended { attempt, result } => {
                if matches!(result, AttemptResult::Answered { .. }) {
                    self.metrics.count(ANSWERED, String::new());
                    self.command_senders.remove(&attempt.request);
                }
                self.handle(now, RouterEvent::Ended { attempt, result }, out);
            }
            Input::LoadReported {
                target,
                incarnation,
                load,
            } => {
                let incarnation_seen = RouterEvent::IncarnationSeen {
                    target,
                    incarnation,
                };
                self.handle(now, incarnation_seen, out);
                self.handle(now, RouterEvent::LoadReported { target, load }, out);
            }
            Input::CallerGone(request) => {
                self.command_senders.remove(&request);
                self.handle(now, RouterEvent::CallerGone(request), out);
            }
            Input::Mismatched { expected, answered } => {
                self.mismatches += 1;
                let fields: &[Field<'_>] = &[("expected", &expected), ("answered", &answered)];
                event::log(Event::AnswerMismatched, fields);
            }
            Input::Ticket { arrival, reply } => {
                let ticket = self.router.ticket(now, &arrival);
                // A caller that disconnected needs no ticket.
                let _ = reply.send(ticket);
            }
            Input::Rejected { reason, decisions } => {
                self.metrics.count(NOT_RUN, reason.to_string());
                self.record_decisions(decisions);
            }
            Input::Recorded(decisions) => self.record_decisions(decisions),
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
            // The remaining messages are meant for agents and are ignored.
            _ => Vec::new(),
        }
    }

    fn delivery_failed(&mut self, _now: Now, _lost: Outgoing, _out: &mut Outbox) {}

    fn members_updated(&mut self, now: Now, fleet: &FleetMachine, out: &mut Outbox) {
        if !self.superseded && fleet.superseded_by().is_some() {
            self.superseded = true;
            self.handle(now, RouterEvent::Superseded, out);
        }
        for (target, incarnation) in self.agent_incarnations(fleet) {
            let event = RouterEvent::IncarnationSeen {
                target,
                incarnation,
            };
            self.handle(now, event, out);
        }
        for (target, state) in self.agent_states(now, fleet) {
            let previous = self.agent_states.insert(target, state);
            let previous = previous.unwrap_or_default();
            if previous.is_dead != state.is_dead {
                let event = match state.is_dead {
                    false => RouterEvent::Reachable(target),
                    true => RouterEvent::Unreachable(target),
                };
                self.handle(now, event, out);
            }
            if previous.is_leaving != state.is_leaving {
                let leaving = state.is_leaving;
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
        if self
            .refuse_waiting_at
            .take_if(|at| *at <= now.mono)
            .is_some()
        {
            self.handle(now, RouterEvent::RefuseWaiting, out);
        }
    }

    fn stop(&mut self, now: Now, out: &mut Outbox) {
        self.readiness = Readiness::NotReady("stopping");
        self.refuse_waiting_at = Some(now.mono + self.stop_limit / 2);
        out.announce(true);
        self.handle(now, RouterEvent::Stop, out);
    }

    fn readiness(&self) -> Readiness {
        self.readiness.clone()
    }

    fn unfinished(&self) -> Vec<RequestId> {
        let mut requests: Vec<_> = self.command_senders.keys().copied().collect();
        requests.sort_unstable();
        requests
    }

    fn dump(&self, now: Now) -> serde_json::Value {
        let state = self.router.dump(now);
        serde_json::json!({
            "kind": "router",
            "data_centre": self.data_centre,
            "pending": state.pending,
            "teams": state.teams,
            "targets": state.targets,
            "waiting": self.waiting(),
            "requests": self.command_senders.len(),
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

/// Logs the outcomes that operators investigate.
fn log_outcome(request: RequestId, outcome: &Outcome) {
    let (event, refusal) = match outcome {
        Outcome::Unknown { refusal } => (Event::OutcomeUnknown, refusal),
        Outcome::NotRun { refusal, .. } if refusal.reason == Reason::Quarantined => {
            (Event::RequestQuarantined, refusal)
        }
        _ => return,
    };
    event::log(event, &[("request", &request), ("reason", &refusal.reason)]);
}
