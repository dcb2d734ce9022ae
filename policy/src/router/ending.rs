//! Ends of attempts and requests.

use std::sync::Arc;

use entity::{
    AttemptId, Now, Outcome, PoolId, Reason, Refusal, RequestId, RetryAdvice, Step, TargetId,
};
use rules::Config;

use super::{AttemptResult, Pending, Place, RETRY_DELAY, Router, RouterAction};
use crate::attempt::Next;

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
            self.attempts.accepts(attempt);
            return;
        };
        self.note_load(now, target, &result);
        self.record_end(now, attempt, target, &result, actions);
        match self.attempts.ended(now, attempt, result) {
            Next::Ignore => {}
            Next::Requeue => self.handed_back(now, request, actions),
            Next::Retry { after, avoid } => self.back_off(now, request, after, avoid, actions),
            Next::Finish(outcome) => {
                self.close(request);
                self.finish(now, request, outcome, actions);
            }
        }
    }

    /// Records how an attempt ended, unless its answer went to the caller.
    fn record_end(
        &self,
        now: Now,
        attempt: AttemptId,
        target: TargetId,
        result: &AttemptResult,
        actions: &mut Vec<RouterAction>,
    ) {
        let what = match result {
            AttemptResult::Answered { .. } => return,
            AttemptResult::NotRun(refusal) => format!("did not run it: {}", refusal.reason),
            AttemptResult::Unknown(refusal) => format!("may have run it: {}", refusal.reason),
            AttemptResult::Unsent => "could not be reached".to_owned(),
            AttemptResult::Broken { .. } => "broke off".to_owned(),
        };
        let config = self.config.as_deref();
        let rule = config.and_then(|config| config.targets[target].as_ref());
        let name = config.map(|config| config.names.targets.name(target).to_string());
        let detail = format!("{} {what}", name.unwrap_or_default());
        let rule = rule.map(|rule| rule.rule);
        self.decide(now, attempt.request, Step::Accept, rule, &detail, actions);
    }

    /// Learns from the end of an attempt what its target can take.
    fn note_load(&mut self, now: Now, target: TargetId, result: &AttemptResult) {
        match result {
            AttemptResult::NotRun(refusal) => match refusal.reason {
                Reason::NoSlot => self.loads.rejected(now.mono, target),
                Reason::Draining | Reason::Stopping | Reason::NotConfigured => {
                    self.loads.draining(now.mono, target);
                }
                Reason::NoTarget => self.loads.failed(now.mono, target),
                _ => {}
            },
            AttemptResult::Unsent => {
                self.loads.failed(now.mono, target);
                self.outbox.forget(target);
            }
            _ => {}
        }
    }

    /// The target of an attempt, if that attempt is in flight.
    fn flight(&self, attempt: AttemptId) -> Option<TargetId> {
        let pending = self.pending.get(&attempt.request)?;
        match pending.place {
            Place::Sent(target) if pending.attempts == attempt.number + 1 => Some(target),
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

    /// Forgets where a request is.
    pub(super) fn close(&mut self, request: RequestId) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let team = pending.arrival.team;
        match pending.place {
            Place::Waiting(key) => {
                self.queues.remove(key, request);
                self.limits.abandon(team);
                if let Some(config) = self.config.clone() {
                    self.note(&config, key);
                }
            }
            Place::Backoff { .. } | Place::Sent(_) => self.limits.leave(team),
        }
    }

    pub(super) fn caller_gone(
        &mut self,
        now: Now,
        request: RequestId,
        actions: &mut Vec<RouterAction>,
    ) {
        if self.pending.contains_key(&request) {
            self.decide(now, request, Step::End, None, "the caller left", actions);
        }
        if let Some(attempt) = self.attempts.gone(request) {
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
            let team = self.pending[&request].arrival.team;
            let wait = self.limits.drain_time(now.mono, team);
            self.close(request);
            let Some(mut expiry) = self.attempts.expire(request) else {
                continue;
            };
            match (&expiry.cancel, &mut expiry.outcome) {
                (Some(attempt), _) => actions.push(RouterAction::Cancel(*attempt)),
                (None, Outcome::NotRun { refusal, .. }) => {
                    refusal.retry = RetryAdvice::After(wait);
                }
                _ => {}
            }
            self.finish(now, request, expiry.outcome, actions);
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
            if self.ask_waiting(now, config, request, actions) {
                continue;
            }
            self.close(request);
            let refusal = Refusal::new(reason, RetryAdvice::After(RETRY_DELAY));
            self.refuse(now, request, refusal, actions);
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

    pub(super) fn leaving(
        &mut self,
        now: Now,
        target: TargetId,
        leaving: bool,
        actions: &mut Vec<RouterAction>,
    ) {
        self.loads.set_leaving(target, leaving);
        let config = self.config.clone();
        let rule = config.as_ref().and_then(|it| it.targets[target].as_ref());
        if let (Some(config), Some(rule)) = (&config, rule) {
            self.give_up(now, config, rule.pool, actions);
        }
    }

    /// Refuses every request that has no attempt in flight.
    pub(super) fn hand_back(&mut self, now: Now, actions: &mut Vec<RouterAction>) {
        let waits = self.pending.iter().filter(|(_, pending)| pending.waits());
        let mut waits: Vec<_> = waits.map(|(&request, _)| request).collect();
        waits.sort();
        for request in waits {
            self.close(request);
            let refusal = Refusal::new(Reason::Stopping, RetryAdvice::After(RETRY_DELAY));
            self.refuse(now, request, refusal, actions);
        }
    }

    /// Ends a request that has no attempt in flight.
    pub(super) fn refuse(
        &mut self,
        now: Now,
        request: RequestId,
        refusal: Refusal,
        actions: &mut Vec<RouterAction>,
    ) {
        let outcome = self.attempts.refuse(request, refusal);
        let outcome = outcome.expect("the request has no attempt in flight");
        self.finish(now, request, outcome, actions);
    }

    /// Records the end of a request and tells its caller, unless the answer was relayed.
    fn finish(
        &self,
        now: Now,
        request: RequestId,
        outcome: Outcome,
        actions: &mut Vec<RouterAction>,
    ) {
        let (rule, detail) = match &outcome {
            Outcome::Answered { .. } => (None, "answered whole".to_owned()),
            Outcome::NotRun { refusal, .. } => {
                (refusal.rule, format!("not run: {}", refusal.reason))
            }
            Outcome::Unknown { refusal } => (refusal.rule, format!("unknown: {}", refusal.reason)),
        };
        self.decide(now, request, Step::End, rule, &detail, actions);
        if !matches!(outcome, Outcome::Answered { .. }) {
            actions.push(RouterAction::Finish { request, outcome });
        }
    }
}

impl Pending {
    /// Whether no attempt is in flight.
    fn waits(&self) -> bool {
        !matches!(self.place, Place::Sent(_))
    }
}
