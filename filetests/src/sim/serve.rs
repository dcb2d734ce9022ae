//! Drives routers and agents: delivers their events and executes their actions.

use std::time::Duration;

use entity::{AttemptId, Reason, Refusal, RequestId, RetryAdvice, StateMachine};
use policy::fact::Fact;
use policy::fleet::FleetEvent;
use policy::message::{Load, Offer};
use policy::{
    AgentAction, AgentEvent, AttemptEnd, AttemptResult, DispatchOrder, RouterAction, RouterEvent,
};
use rand::RngExt;
use wire::Message;

use super::link::REFUSAL_DELAY;
use super::process::Role;
use super::target::Run;
use super::{Answer, Sim, Step, plant};
use crate::record::{EntryKind, Subject};

/// The time until an answer that cannot be delivered is reported as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// The maximum extra delay of a duplicated answer.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_millis(100);

/// The interval between streamed chunks of a target.
pub(super) const STREAM_INTERVAL: Duration = Duration::from_millis(50);

/// How long a crash request runs before it crashes its target.
const CRASH_DELAY: Duration = Duration::from_millis(100);

/// The retry delay advised when the target is not available.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl Sim {
    pub(super) fn drive_router(&mut self, router: usize, event: RouterEvent) {
        let now = self.now(router);
        let mut actions = Vec::new();
        let Role::Router(machine) = &mut self.processes[router].role else {
            unreachable!("routers precede agents in the process list");
        };
        machine.handle(now, event, &mut actions);
        for action in actions {
            self.router_action(router, action);
        }
    }

    fn router_action(&mut self, router: usize, action: RouterAction) {
        match action {
            RouterAction::Dispatch(order) => self.dispatch(router, order),
            RouterAction::Finish { request, outcome } => self.finished(request, &outcome),
            RouterAction::Cancel(attempt) => self.cancel(router, attempt),
            RouterAction::Bid { target, update } => {
                let config = self.processes[router].config.as_ref();
                let target = config.and_then(|config| config.targets[target].as_ref());
                if let Some(to) = target.map(|target| target.control) {
                    self.send(router, to, Message::Bids(update));
                }
            }
            RouterAction::PullReply { agent, pulled } => {
                self.send(router, agent.control, Message::Pulled(pulled));
            }
            RouterAction::Stopped => self.stopped(router),
            _ => {}
        }
    }

    fn dispatch(&mut self, router: usize, order: DispatchOrder) {
        let attempt = order.offer.attempt;
        let epoch = self.processes[router].epoch;
        let config = self.processes[router].config.as_ref();
        let config = config.expect("a router dispatches under a configuration");
        let name = config.names.targets.name(order.target).clone();
        let agent = self
            .plan
            .target_index(&name)
            .expect("the set of targets is fixed");
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.attempt = Some((attempt, agent));
        }
        let process = self.agent_process(agent);
        let link = self.link_delay(router, process);
        match link.filter(|_| !self.processes[process].stopped) {
            Some(delay) => {
                let offer = Box::new(order.offer);
                let step = Step::Offer {
                    agent,
                    router,
                    epoch,
                    offer,
                };
                self.schedule(delay, step);
            }
            None => {
                let result = AttemptResult::Unsent;
                let event = Box::new(RouterEvent::Ended { attempt, result });
                let step = Step::Router {
                    router,
                    epoch,
                    event,
                };
                self.schedule(REFUSAL_DELAY, step);
            }
        }
    }

    /// Closes the connection of an attempt to its agent.
    fn cancel(&mut self, router: usize, attempt: AttemptId) {
        let request = self.requests.get(&attempt.request);
        let Some((_, agent)) = request.and_then(|request| request.attempt) else {
            return;
        };
        self.router_disconnected(router, agent, attempt);
    }

    pub(super) fn router_disconnected(&mut self, router: usize, agent: usize, attempt: AttemptId) {
        let process = self.agent_process(agent);
        let delay = self.link_delay(router, process).unwrap_or_default();
        let epoch = self.processes[process].epoch;
        let event = Box::new(AgentEvent::RouterDisconnected(attempt));
        self.schedule(
            delay,
            Step::Agent {
                agent,
                epoch,
                event,
            },
        );
    }

    pub(super) fn offered(&mut self, agent: usize, router: usize, epoch: u64, offer: Offer) {
        let attempt = offer.attempt;
        if self.processes[self.agent_process(agent)].stopped {
            let result = AttemptResult::Unsent;
            let event = Box::new(RouterEvent::Ended { attempt, result });
            let step = Step::Router {
                router,
                epoch,
                event,
            };
            return self.schedule(REFUSAL_DELAY, step);
        }
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.sender = Some((router, epoch));
        }
        self.drive_agent(agent, AgentEvent::Offered(offer));
    }

    pub(super) fn drive_agent(&mut self, agent: usize, event: AgentEvent) {
        let process = self.agent_process(agent);
        let now = self.now(process);
        let mut actions = Vec::new();
        let event = plant::agent_event(&self.plan, event);
        let Role::Agent(machine) = &mut self.processes[process].role else {
            unreachable!("agents follow routers in the process list");
        };
        machine.handle(now, event, &mut actions);
        for action in actions {
            if let Some(action) = plant::agent_action(&self.plan, action) {
                self.agent_action(agent, action);
            }
        }
        let load = self.load_of(agent);
        let leaves = self.leaving.contains(&agent);
        let is_open = self.engines[agent].is_up && !load.draining && !leaves;
        self.slots[agent] = if is_open { u32::from(load.window) } else { 0 };
    }

    pub(super) fn load_of(&self, agent: usize) -> Load {
        match &self.processes[self.agent_process(agent)].role {
            Role::Agent(machine) => machine.load(),
            Role::Router(_) => unreachable!("agents follow routers in the process list"),
        }
    }

    fn agent_action(&mut self, agent: usize, action: AgentAction) {
        let process = self.agent_process(agent);
        match action {
            AgentAction::Start(attempt) => self.start(agent, attempt),
            AgentAction::Reject {
                attempt, refusal, ..
            } => {
                let kind = EntryKind::Refused(refusal.reason);
                self.log_entry(self.attempt_subject(agent, attempt), kind);
                let result = AttemptResult::NotRun(refusal);
                self.answer(agent, attempt, result.clone(), attempt.request);
                self.answer_followers(agent, attempt, &result);
            }
            AgentAction::Unknown { attempt, refusal } => {
                let result = AttemptResult::Unknown(refusal);
                self.answer(agent, attempt, result, attempt.request);
            }
            AgentAction::Replay { attempt, original }
            | AgentAction::Follow { attempt, original } => self.follow(agent, attempt, original),
            AgentAction::Cancel(attempt) => self.cancel_run(agent, attempt),
            AgentAction::Pull { router, pull } => {
                self.send(process, router.control, Message::Pull(pull));
            }
            AgentAction::Solicit(solicit) => {
                let known = &mut self.processes[process];
                known.next_router = (known.next_router + 1) % known.routers.len().max(1);
                if let Some(router) = known.routers.get(known.next_router).copied() {
                    self.send(process, router.control, Message::Solicit(solicit));
                }
            }
            AgentAction::Ledger { target, delta } => {
                let config = self.processes[process].config.as_ref();
                let target = config.and_then(|config| config.targets[target].as_ref());
                if let Some(to) = target.map(|target| target.control) {
                    self.send(process, to, Message::Ledger(delta));
                }
            }
            AgentAction::Evict(attempt) => {
                self.processes[process].answers.remove(&attempt);
            }
            AgentAction::Broadcast(fact) => self.broadcast_fact(process, &fact),
            AgentAction::Stopped => self.stopped(process),
            AgentAction::Decided(_) => {}
        }
    }

    /// Broadcasts a fact: directly to live members, and by gossip to all others.
    fn broadcast_fact(&mut self, process: usize, fact: &Fact) {
        self.notify_fleet(process, FleetEvent::Publish(wire::encode_fact(fact)));
        for member in self.processes[process].members.clone() {
            self.send(process, member.control, Message::Fact(fact.clone()));
        }
    }

    pub(super) fn stopped(&mut self, process: usize) {
        let subject = self.process_subject(process);
        self.log_entry(subject, EntryKind::Stopped);
        self.processes[process].stopped = true;
    }

    pub(super) fn attempt_subject(&self, agent: usize, attempt: AttemptId) -> Subject {
        Subject {
            target: Some(self.plan.targets[agent].name.clone()),
            ..self.request_subject(attempt.request)
        }
    }

    fn start(&mut self, agent: usize, attempt: AttemptId) {
        let Some(request) = self.requests.get(&attempt.request) else {
            return self.failed_starts.push_back((agent, attempt));
        };
        if !self.engines[agent].is_up {
            return self.failed_starts.push_back((agent, attempt));
        }
        let (team, cost, crashes_target) = (request.team, request.cost, request.crashes_target);
        let subject = self.attempt_subject(agent, attempt);
        self.log_entry(subject.clone(), EntryKind::Started);
        self.started(attempt.request);
        let engine = &mut self.engines[agent];
        let run = Run::new(team, cost, self.at, self.plan.token);
        engine.running.insert(attempt, run);
        let (limit, running) = (engine.limit(), engine.running.len() as u32);
        let generation = engine.generation;
        if running > limit {
            self.log_entry(subject, EntryKind::Overrun { running, limit });
            return self.crash_engine(agent);
        }
        let step = run.end().saturating_sub(self.at).min(STREAM_INTERVAL);
        let stream = Step::Stream {
            agent,
            generation,
            attempt,
        };
        self.schedule(step, stream);
        if crashes_target {
            self.schedule(CRASH_DELAY, Step::Crash { agent, attempt });
        }
    }

    /// Ends an attempt that could not be sent to the target.
    pub(super) fn unsent(&mut self, agent: usize, attempt: AttemptId) {
        let end = AttemptEnd::Unsent;
        self.drive_agent(agent, AgentEvent::Ended { attempt, end });
        let refusal = Refusal::new(Reason::NoTarget, RetryAdvice::After(RETRY_DELAY));
        let result = AttemptResult::NotRun(refusal);
        self.answer(agent, attempt, result.clone(), attempt.request);
        self.answer_followers(agent, attempt, &result);
    }

    /// Answers an attempt with the stored or pending result of another attempt.
    fn follow(&mut self, agent: usize, attempt: AttemptId, original: AttemptId) {
        let process = self.agent_process(agent);
        let kept = self.processes[process].answers.get(&original).copied();
        match kept {
            Some((cost, body)) => {
                let result = AttemptResult::Answered { cost };
                self.answer(agent, attempt, result, body);
            }
            None if self.engines[agent].running.contains_key(&original) => {
                let followers = &mut self.processes[process].followers;
                followers.entry(original).or_default().push(attempt);
            }
            None => {
                let refusal = Refusal::new(Reason::AnswerDropped, RetryAdvice::VerifyFirst);
                let result = AttemptResult::Unknown(refusal);
                self.answer(agent, attempt, result, attempt.request);
            }
        }
    }

    pub(super) fn answer_followers(
        &mut self,
        agent: usize,
        original: AttemptId,
        result: &AttemptResult,
    ) {
        let process = self.agent_process(agent);
        let followers = self.processes[process].followers.remove(&original);
        for attempt in followers.unwrap_or_default() {
            self.answer(agent, attempt, result.clone(), original.request);
        }
    }

    /// Sends the result of an attempt to its router.
    pub(super) fn answer(
        &mut self,
        agent: usize,
        attempt: AttemptId,
        result: AttemptResult,
        body: RequestId,
    ) {
        let sender = self.requests.get(&attempt.request);
        let Some((router, epoch)) = sender.and_then(|request| request.sender) else {
            return;
        };
        let link = self.link_delay(self.agent_process(agent), router);
        let (delay, result) = match link {
            Some(delay) => (delay, plant::result(&self.plan, result)),
            None => (
                ANSWER_TIMEOUT,
                AttemptResult::Broken {
                    delivered: matches!(result, AttemptResult::Answered { .. }),
                },
            ),
        };
        let answer = Box::new(Answer {
            agent,
            attempt,
            load: self.load_of(agent),
            incarnation: self.processes[self.agent_process(agent)]
                .fleet
                .endpoint()
                .incarnation,
            result,
            body,
        });
        if self.chance(self.plan.double.0) {
            let late = delay + MAX_DUPLICATE_DELAY.mul_f64(self.rng.random());
            let answer = answer.clone();
            let step = Step::Answer {
                router,
                epoch,
                answer,
            };
            self.schedule(late, step);
        }
        let step = Step::Answer {
            router,
            epoch,
            answer,
        };
        self.schedule(delay, step);
    }
}
