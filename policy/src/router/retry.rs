//! Retries of requests after their backoff delay.

use std::time::Instant;

use entity::{Now, RequestId, Step, TargetId};
use smallvec::SmallVec;

use super::{Pending, RequestPhase, Router, RouterAction};

impl Router {
    /// Starts the retry delay of a request whose attempt failed.
    pub(super) fn back_off(
        &mut self,
        now: Now,
        request: RequestId,
        after: Instant,
        avoid: SmallVec<[TargetId; 4]>,
        actions: &mut Vec<RouterAction>,
    ) {
        let wait = after.saturating_duration_since(now.mono);
        let detail = format!("sent again after {} ms", wait.as_millis());
        self.record_decision(now, request, Step::Retry, None, &detail, actions);
        let pending = self.pending.get_mut(&request);
        let pending = pending.expect("the request is pending");
        pending.phase = RequestPhase::Backoff { after, avoid };
    }

    /// Keeps a request that is past its deadline pending until the next tick expires it.
    pub(super) fn wait_for_expiry(&mut self, request: RequestId) {
        let pending = self.pending.get_mut(&request);
        let pending = pending.expect("the request is pending");
        pending.phase = RequestPhase::Backoff {
            after: pending.arrival.deadline,
            avoid: SmallVec::new(),
        };
    }

    /// Retries the requests whose retry delay has passed.
    pub(super) fn retry_due(&mut self, now: Now, actions: &mut Vec<RouterAction>) {
        let is_due = |pending: &Pending| {
            let before_deadline = now.mono < pending.arrival.deadline;
            before_deadline
                && matches!(pending.phase, RequestPhase::Backoff { after, .. } if after <= now.mono)
        };
        let due = self.pending.iter().filter(|(_, pending)| is_due(pending));
        let mut due: Vec<_> = due.map(|(&request, _)| request).collect();
        due.sort();
        for request in due {
            self.retry(now, request, actions);
        }
    }

    fn retry(&mut self, now: Now, request: RequestId, actions: &mut Vec<RouterAction>) {
        let config = self.config.clone();
        let config = config.expect("requests are admitted under a configuration");
        let pending = &self.pending[&request];
        let RequestPhase::Backoff { avoid, .. } = &pending.phase else {
            return;
        };
        let (arrival, avoid) = (pending.arrival.clone(), avoid.clone());
        let key = match self.resolve_queue(now, &config, &arrival, actions) {
            Ok(key) => key,
            Err(refusal) => {
                self.remove_pending(request);
                return self.refuse(now, request, refusal, actions);
            }
        };
        let is_idle = self.queues.is_idle(key.pool, key.home);
        match is_idle
            .then(|| self.select_target(now, &config, &arrival, key.home, &avoid))
            .flatten()
        {
            Some(target) => {
                self.loads.record_dispatch(now.mono, target);
                self.send(now, &config, request, target, false, actions);
            }
            None => self.requeue_front(now, &config, request, key, actions),
        }
    }
}
