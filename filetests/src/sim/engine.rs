//! Behaviour of targets: streaming, completion, crashes and load reports.

use std::time::Duration;

use entity::{AttemptId, Reason, Refusal, RequestId, RetryAdvice};
use policy::window::Report;
use policy::{AgentEvent, AttemptEnd, AttemptResult};

use super::link::REFUSAL_DELAY;
use super::serve::STREAM_INTERVAL;
use super::{Sim, Step};
use crate::record::EntryKind;
use crate::scenario::PlantedBug;

/// The interval between load reports.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The time for a target to restart.
const ENGINE_RESTART_TIME: Duration = Duration::from_millis(200);

impl Sim {
    pub(super) fn stream(&mut self, agent: usize, generation: u64, attempt: AttemptId) {
        let at = self.at;
        let engine = &mut self.engines[agent];
        if engine.generation != generation {
            return;
        }
        let Some(cost) = engine.advance(attempt, at) else {
            return;
        };
        let end = engine.running[&attempt].end();
        self.notify_agent(agent, AgentEvent::Streamed { attempt, cost });
        if end > at {
            let step = (end - at).min(STREAM_INTERVAL);
            let stream = Step::Stream {
                agent,
                generation,
                attempt,
            };
            return self.schedule(step, stream);
        }
        let run = self.engines[agent]
            .complete(attempt)
            .expect("the attempt runs");
        let pool = self.plan.targets[agent].pool;
        self.meters[pool].team_meters[run.team].service += run.cost.0 as f64;
        self.log_entry(self.attempt_subject(agent, attempt), EntryKind::Completed);
        let cost = run.cost;
        let body = self.body(attempt.request);
        if self.has_key(attempt.request) {
            let process = self.agent_process(agent);
            let answers = &mut self.processes[process].answers;
            answers.insert(attempt, (cost, body));
            let bytes = cost.0 as u64;
            self.notify_agent(agent, AgentEvent::AnswerStored { attempt, bytes });
        }
        let end = AttemptEnd::Answered { cost };
        self.notify_agent(agent, AgentEvent::Ended { attempt, end });
        let result = AttemptResult::Answered { cost };
        self.answer(agent, attempt, result.clone(), body);
        self.answer_followers(agent, attempt, &result);
    }

    /// Returns the request whose answer the target sends; differs with `CrossAnswers`.
    fn body(&mut self, request: RequestId) -> RequestId {
        let others = self.requests.keys().next_back().copied();
        match others {
            Some(other) if self.plan.has_bug(&PlantedBug::CrossAnswers) => other,
            _ => request,
        }
    }

    /// Delivers an event to an agent now, or when it resumes if it is paused.
    fn notify_agent(&mut self, agent: usize, event: AgentEvent) {
        let process = self.agent_process(agent);
        let epoch = self.processes[process].epoch;
        let is_paused = self.processes[process]
            .paused
            .is_some_and(|until| until > self.at);
        match is_paused {
            false if !self.processes[process].stopped => self.drive_agent(agent, event),
            _ => {
                let event = Box::new(event);
                self.schedule(
                    Duration::ZERO,
                    Step::Agent {
                        agent,
                        epoch,
                        event,
                    },
                );
            }
        }
    }

    pub(super) fn cancel_run(&mut self, agent: usize, attempt: AttemptId) {
        if let Some(cost) = self.engines[agent].advance(attempt, self.at) {
            let epoch = self.processes[self.agent_process(agent)].epoch;
            let event = Box::new(AgentEvent::Streamed { attempt, cost });
            self.schedule(
                Duration::ZERO,
                Step::Agent {
                    agent,
                    epoch,
                    event,
                },
            );
        }
        if let Some(run) = self.engines[agent].running.remove(&attempt) {
            let delivered = run.delivered(self.at);
            let pool = self.plan.targets[agent].pool;
            self.meters[pool].team_meters[run.team].service += delivered.0 as f64;
            self.log_entry(self.attempt_subject(agent, attempt), EntryKind::Broken);
        }
        let epoch = self.processes[self.agent_process(agent)].epoch;
        let end = AttemptEnd::Cancelled;
        let event = Box::new(AgentEvent::Ended { attempt, end });
        self.schedule(
            REFUSAL_DELAY,
            Step::Agent {
                agent,
                epoch,
                event,
            },
        );
    }

    /// Crashes a target and interrupts all its attempts.
    pub(super) fn crash_engine(&mut self, agent: usize) {
        let epoch = self.processes[self.agent_process(agent)].epoch;
        let running: Vec<_> = self.engines[agent].running.keys().copied().collect();
        for attempt in running {
            let cost = self.engines[agent].advance(attempt, self.at);
            let cost = cost.expect("listed above");
            let event = Box::new(AgentEvent::Streamed { attempt, cost });
            self.schedule(
                Duration::ZERO,
                Step::Agent {
                    agent,
                    epoch,
                    event,
                },
            );
        }
        let lost = self.engines[agent].crash();
        self.engines[agent].is_up = false;
        self.slots[agent] = 0;
        self.schedule(ENGINE_RESTART_TIME, Step::EngineUp { agent });
        let pool = self.plan.targets[agent].pool;
        let mut results = Vec::new();
        for (attempt, run) in lost {
            let delivered = run.delivered(self.at);
            self.meters[pool].team_meters[run.team].service += delivered.0 as f64;
            self.log_entry(self.attempt_subject(agent, attempt), EntryKind::Broken);
            let refusal = Refusal::new(Reason::TargetDied, RetryAdvice::VerifyFirst);
            let result = match delivered.0 > 0 {
                true if self.plan.has_bug(&PlantedBug::CutAnswers) => {
                    AttemptResult::Answered { cost: delivered }
                }
                true => AttemptResult::Broken { delivered: true },
                false => AttemptResult::Unknown(refusal),
            };
            results.push((attempt, result));
        }
        for (attempt, result) in results {
            self.answer(agent, attempt, result.clone(), attempt.request);
            self.answer_followers(agent, attempt, &result);
            let end = AttemptEnd::Broken;
            let event = Box::new(AgentEvent::Ended { attempt, end });
            self.schedule(
                Duration::ZERO,
                Step::Agent {
                    agent,
                    epoch,
                    event,
                },
            );
        }
    }

    pub(super) fn crash_target(&mut self, agent: usize, attempt: AttemptId) {
        if self.engines[agent].running.contains_key(&attempt) {
            self.log_entry(self.attempt_subject(agent, attempt), EntryKind::Died);
            self.crash_engine(agent);
        }
    }

    pub(super) fn engine_up(&mut self, agent: usize) {
        self.engines[agent].is_up = true;
    }

    /// Polls the load of a target on behalf of its agent, as the daemon does.
    pub(super) fn poll(&mut self, agent: usize) {
        self.schedule(POLL_INTERVAL, Step::Poll { agent });
        let process = self.agent_process(agent);
        if self.processes[process].stopped || !self.engines[agent].is_up {
            return;
        }
        let generation = self.engines[agent].generation;
        let known = self.processes[process].generation.replace(generation);
        if known.is_some_and(|known| known != generation) {
            self.drive_agent(agent, AgentEvent::TargetDown);
        }
        if known != Some(generation) {
            self.drive_agent(agent, AgentEvent::TargetUp);
        }
        let report = Report {
            running: self.engines[agent].running.len() as u32,
            queued: 0,
            generation,
            age: REFUSAL_DELAY,
        };
        self.drive_agent(agent, AgentEvent::Report(report));
    }
}
