//! Execution of attempts, from start to answer.

use std::time::Duration;

use cranelift_entity::EntityRef;
use entity::{AttemptId, Outcome, RequestId, TargetId};
use policy::fair::SharingPolicy;
use policy::{AgentEvent, AttemptEnd, AttemptResult, RouterEvent};
use rand::RngExt;

use super::{Event, Fleet, Process, STREAM_INTERVAL};

impl<S: SharingPolicy> Fleet<S> {
    pub(super) fn start(&mut self, index: usize, attempt: AttemptId) {
        let Some(request) = self.requests.get(&attempt.request).copied() else {
            return self.cancel(index, attempt);
        };
        let wait = self.at.saturating_sub(request.arrived);
        self.counts.longest_wait = self.counts.longest_wait.max(wait);
        let time = self.settings.token_time * request.cost.0 as u32;
        let over = self.engines[index].start(attempt, request.team, request.cost, self.at, time);
        self.counts.overload = self.counts.overload.max(over);
        let epoch = self.engines[index].epoch();
        self.schedule(
            time.min(STREAM_INTERVAL),
            Event::Stream(index, epoch, attempt),
        );
    }

    pub(super) fn stream(&mut self, index: usize, attempt: AttemptId) {
        let at = self.at;
        let Some(progress) = self.engines[index].advance(attempt, at) else {
            return;
        };
        let streamed = AgentEvent::Streamed {
            attempt,
            cost: progress.cost,
        };
        self.drive_agent(index, streamed);
        if !progress.left.is_zero() {
            let epoch = self.engines[index].epoch();
            let step = progress.left.min(STREAM_INTERVAL);
            return self.schedule(step, Event::Stream(index, epoch, attempt));
        }
        let run = self.engines[index].end(attempt);
        self.gaps.ended(run.team, run.cost);
        let cost = run.cost;
        let end = AttemptEnd::Answered { cost };
        self.drive_agent(index, AgentEvent::Ended { attempt, end });
        self.answer(index, attempt, AttemptResult::Answered { cost });
    }

    /// Reports the disconnection of a router to the agent that received the attempt.
    pub(super) fn router_disconnected(&mut self, attempt: AttemptId) {
        let receivers = self.offered.iter().enumerate();
        let receivers = receivers.filter(|(_, offered)| offered.contains(&attempt));
        let receivers: Vec<_> = receivers.map(|(index, _)| index).collect();
        for index in receivers {
            self.offered[index].remove(&attempt);
            self.agent_event(
                self.settings.local_delay,
                index,
                AgentEvent::RouterDisconnected(attempt),
            );
        }
    }

    pub(super) fn cancel(&mut self, index: usize, attempt: AttemptId) {
        self.engines[index].cancel(attempt);
        self.offered[index].remove(&attempt);
        let end = AttemptEnd::Cancelled;
        self.agent_event(Duration::ZERO, index, AgentEvent::Ended { attempt, end });
    }

    /// Sends the result of an attempt and the load of the agent to the router.
    pub(super) fn answer(&mut self, index: usize, attempt: AttemptId, result: AttemptResult) {
        self.offered[index].remove(&attempt);
        let Some(request) = self.requests.get(&attempt.request).copied() else {
            return;
        };
        let load = self.agents[index].load();
        let target = TargetId::new(index);
        let (to, from) = (Process::Router(request.router), Process::Agent(index));
        let (delay, result) = match self.link_delay(from, to) {
            Some(delay) => (delay, result),
            None => (
                Duration::from_millis(1),
                AttemptResult::Broken { delivered: false },
            ),
        };
        let is_answered = matches!(result, AttemptResult::Answered { .. });
        let loaded = RouterEvent::LoadReported { target, load };
        self.schedule(delay, Event::Router(request.router, loaded));
        let ended = RouterEvent::Ended { attempt, result };
        self.schedule(delay, Event::Router(request.router, ended));
        if is_answered {
            self.counts.answered += 1;
            self.end_request(attempt.request);
        }
    }

    pub(super) fn finish(&mut self, request: RequestId, outcome: &Outcome) {
        match outcome {
            Outcome::NotRun { .. } => self.counts.not_run += 1,
            _ => self.counts.unknown += 1,
        }
        self.end_request(request);
    }

    /// Ends a request; a closed-loop load then sends the next one.
    fn end_request(&mut self, request: RequestId) {
        let Some(ended) = self.requests.remove(&request) else {
            return;
        };
        let load = &self.settings.teams[ended.team];
        if load.open > 0 {
            let routers = load.routers.clone();
            let router = self.rng.random_range(routers);
            self.arrive(Duration::from_millis(2), ended.team, router);
        }
    }
}
