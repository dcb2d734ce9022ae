//! Ends of attempts and requests.

use std::sync::Arc;

use entity::{
    AttemptId, HandOver, HandedOver, NotHandedOver, Now, Outcome, PoolId, Reason, Refusal,
    RequestId, RetryAdvice, TargetId,
};
use rules::Config;

use super::{AttemptResult, Pending, Place, RETRY_DELAY, Router, RouterAction};

impl Router {
    pub(super) fn ended(
        &mut self,
        now: Now,
        attempt: AttemptId,
        result: AttemptResult,
        actions: &mut Vec<RouterAction>,
    ) {
        let request = attempt.request;
        let Some(target) = self.flight(attempt) else {
            return;
        };
        match result {
            AttemptResult::Answered { .. } => {
                self.close(request);
            }
            AttemptResult::NotRun(refusal) if may_go_elsewhere(refusal.reason) => {
                match refusal.reason {
                    Reason::NoSlot => self.loads.rejected(now.mono, target),
                    _ => self.loads.draining(now.mono, target),
                }
                self.handed_back(now, request, actions);
            }
            AttemptResult::Unsent => {
                self.loads.failed(now.mono, target);
                self.outbox.forget(target);
                self.handed_back(now, request, actions);
            }
            AttemptResult::NotRun(refusal) => {
                let sent = self.close(request).expect("an attempt is in flight");
                self.finish_not_run(request, refusal, sent.disclaimed(), actions);
            }
            AttemptResult::Unknown(refusal) => {
                self.close(request);
                self.finish(request, Outcome::Unknown { refusal }, actions);
            }
            AttemptResult::Broken { .. } => {
                self.close(request);
                let refusal = Refusal::new(Reason::ConnectionLost, RetryAdvice::VerifyFirst);
                self.finish(request, Outcome::Unknown { refusal }, actions);
            }
        }
    }

    /// The target of an attempt, if that attempt is in flight.
    fn flight(&self, attempt: AttemptId) -> Option<TargetId> {
        let pending = self.pending.get(&attempt.request)?;
        match pending.place {
            Place::Sent { target, .. } if pending.attempts == attempt.number + 1 => Some(target),
            _ => None,
        }
    }

    fn handed_back(&mut self, now: Now, request: RequestId, actions: &mut Vec<RouterAction>) {
        let config = self
            .config
            .clone()
            .expect("requests are admitted under a configuration");
        self.send_again(now, &config, request, actions);
    }

    /// Forgets a request; returns the hand-over of its attempt in flight.
    fn close(&mut self, request: RequestId) -> Option<HandedOver> {
        let pending = self.pending.remove(&request)?;
        let team = pending.arrival.team;
        match pending.place {
            Place::Waiting(key) => {
                self.queues.remove(key, request);
                self.limits.abandon(team);
                if let Some(config) = self.config.clone() {
                    self.note(&config, key);
                }
                None
            }
            Place::Sent { sent, .. } => {
                self.limits.leave(team);
                Some(sent)
            }
        }
    }

    pub(super) fn caller_gone(&mut self, request: RequestId, actions: &mut Vec<RouterAction>) {
        if let Some(attempt) = self.pending.get(&request).and_then(Pending::attempt) {
            actions.push(RouterAction::Cancel(attempt));
        }
        self.close(request);
    }

    /// Ends the requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Now, actions: &mut Vec<RouterAction>) {
        let due = |(_, pending): &(&RequestId, &Pending)| pending.arrival.deadline <= now.mono;
        let due = self.pending.iter().filter(due).map(|(&request, _)| request);
        let mut due: Vec<_> = due.collect();
        due.sort();
        for request in due {
            let attempt = self.pending[&request].attempt();
            let retry = match attempt {
                Some(_) => RetryAdvice::VerifyFirst,
                None => RetryAdvice::After(
                    self.limits
                        .drain_time(now.mono, self.pending[&request].arrival.team),
                ),
            };
            let refusal = Refusal::new(Reason::DeadlinePassed, retry);
            self.close(request);
            match attempt {
                Some(attempt) => {
                    actions.push(RouterAction::Cancel(attempt));
                    self.finish(request, Outcome::Unknown { refusal }, actions);
                }
                None => self.refuse(request, refusal, actions),
            }
        }
    }

    /// Refuses what waits for targets of `pool` when none of them can be used.
    pub(super) fn give_up(
        &mut self,
        now: Now,
        config: &Config,
        pool: PoolId,
        actions: &mut Vec<RouterAction>,
    ) {
        let is_open = self.any_open(now, config, pool);
        let mut stranded = Vec::new();
        for (key, queue) in self.queues.of_pool(pool) {
            let reason = match key.home {
                Some(home) if !self.is_open(now, config, home) => Reason::HomeUnreachable,
                None if !is_open => Reason::NoTarget,
                _ => continue,
            };
            stranded.extend(queue.iter().map(|waiting| (waiting.request, reason)));
        }
        for (request, reason) in stranded {
            self.close(request);
            let refusal = Refusal::new(reason, RetryAdvice::After(RETRY_DELAY));
            self.refuse(request, refusal, actions);
        }
    }

    pub(super) fn configured(
        &mut self,
        now: Now,
        config: &Arc<Config>,
        actions: &mut Vec<RouterAction>,
    ) {
        self.config = Some(config.clone());
        for pool in self.queues.pools() {
            self.give_up(now, config, pool, actions);
        }
    }

    pub(super) fn unreachable(
        &mut self,
        now: Now,
        target: TargetId,
        actions: &mut Vec<RouterAction>,
    ) {
        self.loads.set_reachable(target, false);
        self.outbox.forget(target);
        let Some(config) = self.config.clone() else {
            return;
        };
        if let Some(rule) = &config.targets[target] {
            self.give_up(now, &config, rule.pool, actions);
        }
    }

    /// Refuses a request of which nothing was sent.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        refusal: Refusal,
        actions: &mut Vec<RouterAction>,
    ) {
        let proof = HandOver::new().give_up();
        self.finish_not_run(request, refusal, proof, actions);
    }

    fn finish_not_run(
        &self,
        request: RequestId,
        refusal: Refusal,
        proof: NotHandedOver,
        actions: &mut Vec<RouterAction>,
    ) {
        self.finish(request, Outcome::NotRun { refusal, proof }, actions);
    }

    fn finish(&self, request: RequestId, outcome: Outcome, actions: &mut Vec<RouterAction>) {
        actions.push(RouterAction::Finish { request, outcome });
    }
}

impl Pending {
    /// The attempt in flight, if there is one.
    fn attempt(&self) -> Option<AttemptId> {
        match self.place {
            Place::Waiting(_) => None,
            Place::Sent { .. } => Some(AttemptId {
                request: self.arrival.request,
                number: self.attempts - 1,
            }),
        }
    }
}

/// Whether another target may run what this one refused.
fn may_go_elsewhere(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoSlot | Reason::Draining | Reason::Stopping | Reason::NotConfigured
    )
}
