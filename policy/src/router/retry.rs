//! Requests that wait until they may be sent again.

use std::time::Instant;

use entity::{Now, RequestId, Step, TargetId};
use smallvec::SmallVec;

use super::{Pending, Place, Router, RouterAction};

impl Router {
    /// Lets a request whose attempt failed wait until it may be sent again.
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
        self.decide(now, request, Step::Retry, None, &detail, actions);
        let pending = self.pending.get_mut(&request);
        let pending = pending.expect("the request is pending");
        pending.place = Place::Backoff { after, avoid };
    }

    /// Keeps a request that is past its deadline until the next tick ends it.
    pub(super) fn rest(&mut self, request: RequestId) {
        let pending = self.pending.get_mut(&request);
        let pending = pending.expect("the request is pending");
        pending.place = Place::Backoff {
            after: pending.arrival.deadline,
            avoid: SmallVec::new(),
        };
    }

    /// Sends the requests again whose back-off has passed.
    pub(super) fn retry_due(&mut self, now: Now, actions: &mut Vec<RouterAction>) {
        let is_due = |pending: &Pending| {
            let live = now.mono < pending.arrival.deadline;
            live && matches!(pending.place, Place::Backoff { after, .. } if after <= now.mono)
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
        let Place::Backoff { avoid, .. } = &pending.place else {
            return;
        };
        let (arrival, avoid) = (pending.arrival.clone(), avoid.clone());
        let key = match self.examine(now, &config, &arrival, actions) {
            Ok(key) => key,
            Err(refusal) => {
                self.close(request);
                return self.refuse(now, request, refusal, actions);
            }
        };
        let is_idle = self.queues.is_idle(key.pool, key.home);
        match is_idle
            .then(|| self.choose(now, &config, &arrival, key.home, &avoid))
            .flatten()
        {
            Some(target) => {
                self.loads.sent(now.mono, target);
                self.send(now, &config, request, target, false, actions);
            }
            None => self.queue_again(now, &config, request, key, actions),
        }
    }
}
