//! The end of attempts and requests.

use std::sync::Arc;

use entity::{
    AttemptId, Now, Outcome, PoolId, Reason, Refusal, RequestId, RetryAdvice, Step, TargetId,
};
use rules::Config;

use super::{AttemptResult, Pending, RETRY_DELAY, RequestPhase, Router, RouterAction};
use crate::attempt::NextStep;

impl Router {
    pub(super) fn ended(
        &mut self,
        now: Now,
        attempt: AttemptId,
        result: AttemptResult,
        actions: &mut Vec<RouterAction>,
    ) {
        let request = attempt.request;
        let Some(target) = self.in_flight_target(attempt) else {
            self.attempts.accepts(attempt);
            return;
        };
        self.update_load(now, target, &result);
        self.record_end(now, attempt, target, &result, actions);
        match self.attempts.record_end(now, attempt, result) {
            NextStep::Ignore => {}
            NextStep::Requeue => self.resend_not_run(now, request, actions),
            NextStep::Retry { after, avoid } => self.back_off(now, request, after, avoid, actions),
            NextStep::Finish(outcome) => {
                self.remove_pending(request);
                self.finish(now, request, outcome, actions);
            }
        }
    }

    /// Records how an attempt ended, unless its answer was sent to the caller.
    fn record_end(
        &self,
        now: Now,
        attempt: AttemptId,
        target: TargetId,
        result: &AttemptResult,
        actions: &mut Vec<RouterAction>,
    ) {
        let ending = match result {
            AttemptResult::Answered { .. } => return,
            AttemptResult::NotRun(refusal) => format!("did not run it: {}", refusal.reason),
            AttemptResult::Unknown(refusal) => format!("may have run it: {}", refusal.reason),
            AttemptResult::Unsent => "could not be reached".to_owned(),
            AttemptResult::Broken { .. } => "broke off".to_owned(),
        };
        let config = self.config.as_deref();
        let rule = config.and_then(|config| config.targets[target].as_ref());
        let name = config.map(|config| config.names.targets.name(target).to_string());
        let detail = format!("{} {ending}", name.unwrap_or_default());
        let rule = rule.map(|rule| rule.rule);
        self.record_decision(now, attempt.request, Step::Accept, rule, &detail, actions);
    }

    /// Updates the load hint of a target from the end of an attempt.
    fn update_load(&mut self, now: Now, target: TargetId, result: &AttemptResult) {
        match result {
            AttemptResult::NotRun(refusal) => match refusal.reason {
                Reason::NoSlot => self.loads.record_no_slot(now.mono, target),
                Reason::Draining | Reason::Stopping | Reason::NotConfigured => {
                    self.loads.record_draining(now.mono, target);
                }
                Reason::NoTarget => self.loads.record_failure(now.mono, target),
                _ => {}
            },
            AttemptResult::Unsent => {
                self.loads.record_failure(now.mono, target);
                self.outbox.drop_agent(target);
            }
            _ => {}
        }
    }

    /// The target of an attempt, if that attempt is in flight.
    fn in_flight_target(&self, attempt: AttemptId) -> Option<TargetId> {
        let pending = self.pending.get(&attempt.request)?;
        match pending.phase {
            RequestPhase::Sent(target) if pending.attempts == attempt.number + 1 => Some(target),
            _ => None,
        }
    }

    fn resend_not_run(&mut self, now: Now, request: RequestId, actions: &mut Vec<RouterAction>) {
        let config = self
            .config
            .clone()
            .expect("requests are admitted under a configuration");
        self.resend_or_queue(now, &config, request, actions);
    }

    /// Removes a request from the pending requests and from its queue.
    pub(super) fn remove_pending(&mut self, request: RequestId) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let team = pending.arrival.team;
        match pending.phase {
            RequestPhase::Waiting(key) => {
                self.queues.remove(key, request);
                self.limits.remove_waiting(team);
                if let Some(config) = self.config.clone() {
                    self.queue_changed(&config, key);
                }
            }
            RequestPhase::Backoff { .. } | RequestPhase::Sent(_) => {
                self.limits.remove_in_flight(team);
            }
        }
    }

    pub(super) fn caller_gone(
        &mut self,
        now: Now,
        request: RequestId,
        actions: &mut Vec<RouterAction>,
    ) {
        if self.pending.contains_key(&request) {
            self.record_decision(now, request, Step::End, None, "the caller left", actions);
        }
        if let Some(attempt) = self.attempts.drop_request(request) {
            actions.push(RouterAction::Cancel(attempt));
        }
        self.remove_pending(request);
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
            self.remove_pending(request);
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

    /// Refuses the requests queued for `pool` that no target can accept.
    pub(super) fn refuse_stranded(
        &mut self,
        now: Now,
        config: &Config,
        pool: PoolId,
        actions: &mut Vec<RouterAction>,
    ) {
        let accepts_work = self.any_accepts_work(now, config, pool);
        let mut stranded = Vec::new();
        for (key, queue) in self.queues.in_pool(pool) {
            let reason = match key.home {
                Some(home) if !self.accepts_work(now, config, home) => Reason::HomeUnreachable,
                None if !accepts_work => Reason::NoTarget,
                _ => continue,
            };
            stranded.extend(queue.iter().map(|waiting| (waiting.request, reason)));
        }
        for (request, reason) in stranded {
            if self.send_waiting_to_home(now, config, request, actions) {
                continue;
            }
            self.remove_pending(request);
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
            self.refuse_stranded(now, config, pool, actions);
        }
    }

    pub(super) fn unreachable(
        &mut self,
        now: Now,
        target: TargetId,
        actions: &mut Vec<RouterAction>,
    ) {
        self.loads.set_reachable(target, false);
        self.outbox.drop_agent(target);
        let Some(config) = self.config.clone() else {
            return;
        };
        if let Some(rule) = &config.targets[target] {
            self.refuse_stranded(now, &config, rule.pool, actions);
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
            self.refuse_stranded(now, config, rule.pool, actions);
        }
    }

    /// Refuses every request that has no attempt in flight.
    pub(super) fn refuse_waiting(&mut self, now: Now, actions: &mut Vec<RouterAction>) {
        let waiting = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.is_waiting());
        let mut waiting: Vec<_> = waiting.map(|(&request, _)| request).collect();
        waiting.sort();
        for request in waiting {
            self.remove_pending(request);
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

    /// Records the end of a request and answers its caller, unless an answer was relayed.
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
        self.record_decision(now, request, Step::End, rule, &detail, actions);
        if !matches!(outcome, Outcome::Answered { .. }) {
            actions.push(RouterAction::Finish { request, outcome });
        }
    }
}

impl Pending {
    /// Whether no attempt is in flight.
    fn is_waiting(&self) -> bool {
        !matches!(self.phase, RequestPhase::Sent(_))
    }
}
