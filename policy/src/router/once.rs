//! Home targets of keys, tickets and quarantine trials.

use std::time::Duration;

use entity::{
    IdempotencyKey, Incarnation, Now, Reason, Refusal, RequestId, RetryAdvice, Step, TargetId,
    Ticket,
};
use rules::{Config, Repeat};

use super::{Arrival, RETRY_DELAY, RequestPhase, Router, RouterAction};
use crate::attempt::Delivery;
use crate::fact::Fact;
use crate::home::Roster;
use crate::quarantine::QuarantineStatus;
use crate::queue::QueueKey;

/// The retry delay advised to the caller of a suspect request that no target may run alone.
const TRIAL_DELAY: Duration = Duration::from_secs(1);

impl Router {
    /// The last known incarnation of the agent of `target`.
    pub(super) fn incarnation_of(&self, target: TargetId) -> Option<Incarnation> {
        self.incarnations[target]
    }

    /// Records the incarnation of an agent.
    pub(super) fn incarnation_seen(&mut self, target: TargetId, incarnation: Incarnation) {
        let known = &mut self.incarnations[target];
        *known = (*known).max(Some(incarnation));
    }

    pub(super) fn fact_received(&mut self, now: Now, fact: &Fact) {
        if let Some(evidence) = fact.evidence() {
            self.quarantine.merge(now, &evidence);
        }
    }

    /// Whether and under which key a request may be sent again.
    pub(super) fn delivery(config: Option<&Config>, arrival: &Arrival) -> Delivery {
        let route = config.and_then(|config| config.routes[arrival.route].as_ref());
        let once = route.is_some_and(|route| route.repeat == Repeat::Once);
        match arrival.key {
            Some(_) => Delivery::OnceSupplied,
            None if once => Delivery::OnceIssued,
            None => Delivery::Repeatable,
        }
    }

    /// Determines the queue of a request; refuses quarantined requests and keys without a home.
    pub(super) fn resolve_queue(
        &self,
        now: Now,
        config: &Config,
        arrival: &Arrival,
        actions: &mut Vec<RouterAction>,
    ) -> Result<QueueKey, Refusal> {
        let fingerprint = arrival.fingerprint;
        let status = self.quarantine.status(now, fingerprint);
        if status != QuarantineStatus::Clear {
            let detail = self.quarantine.explain(now, fingerprint);
            let request = arrival.request;
            self.record_decision(now, request, Step::Quarantine, None, &detail, actions);
        }
        let quarantined = |wait| Refusal::new(Reason::Quarantined, RetryAdvice::After(wait));
        if let QuarantineStatus::Quarantined(until) = status {
            let wait = until.duration_since(now.wall).unwrap_or_default();
            return Err(quarantined(wait));
        }
        let home = match (&arrival.key, status) {
            (Some(key), _) => Some(home(config, arrival, key)?),
            (None, QuarantineStatus::Suspect) => {
                let trial_target = self.trial_target(now, config, arrival);
                Some(trial_target.ok_or_else(|| quarantined(TRIAL_DELAY))?)
            }
            (None, _) => None,
        };
        Ok(QueueKey {
            pool: arrival.pool,
            home,
            team: arrival.team,
            class: arrival.class,
        })
    }

    /// Whether a request may be sent to the home of its supplied key although the home
    /// accepts no new work.
    ///
    /// The home answers repeats of keys that it has run, and only the home can tell that
    /// other keys have not run.
    pub(super) fn may_send_to_home(
        &self,
        now: Now,
        config: &Config,
        arrival: &Arrival,
        home: TargetId,
    ) -> bool {
        let has_configured_home = arrival.key.is_some() && config.targets[home].is_some();
        has_configured_home && self.loads.is_reachable(now.mono, home)
    }

    /// The home to which a request must be sent at once, because the home pulls no new work.
    pub(super) fn home_for_immediate_dispatch(
        &self,
        now: Now,
        config: &Config,
        arrival: &Arrival,
        key: QueueKey,
    ) -> Option<TargetId> {
        let home = key
            .home
            .filter(|&home| !self.accepts_work(now, config, home))?;
        self.may_send_to_home(now, config, arrival, home)
            .then_some(home)
    }

    /// Sends a waiting request to its home; returns whether it was sent.
    pub(super) fn send_waiting_to_home(
        &mut self,
        now: Now,
        config: &Config,
        request: RequestId,
        actions: &mut Vec<RouterAction>,
    ) -> bool {
        let Some(pending) = self.pending.get(&request) else {
            return false;
        };
        let RequestPhase::Waiting(key) = pending.phase else {
            return false;
        };
        let arrival = pending.arrival.clone();
        let Some(home) = self.home_for_immediate_dispatch(now, config, &arrival, key) else {
            return false;
        };
        self.queues.remove(key, request);
        self.limits.dequeue(now.mono, arrival.team);
        self.send(now, config, request, home, false, actions)
    }

    /// The target for the trial of a suspect.
    fn trial_target(&self, now: Now, config: &Config, arrival: &Arrival) -> Option<TargetId> {
        let usable = |tag| {
            let target = config.names.targets.by_tag(tag);
            target.is_some_and(|target| config.drain_rule(target).is_none())
        };
        let roster = Roster::of_pool(config, arrival.pool);
        let trial_target = roster.trial_agent(arrival.fingerprint, now, usable)?;
        config.names.targets.by_tag(trial_target)
    }

    /// The candidate targets of a request.
    pub(super) fn candidates(
        &self,
        config: &Config,
        arrival: &Arrival,
        home: Option<TargetId>,
        avoid: &[TargetId],
    ) -> Vec<TargetId> {
        let Some(pool) = &config.pools[arrival.pool] else {
            return Vec::new();
        };
        if let Some(home) = home {
            return vec![home];
        }
        let needs_ticket = Self::delivery(Some(config), arrival) == Delivery::OnceIssued;
        let is_eligible =
            |target: &TargetId| !needs_ticket || self.incarnation_of(*target).is_some();
        let targets: Vec<_> = pool.targets.iter().copied().filter(is_eligible).collect();
        let others = targets.iter().copied();
        let others: Vec<_> = others.filter(|target| !avoid.contains(target)).collect();
        match others.is_empty() {
            true => targets,
            false => others,
        }
    }

    /// The key under which an attempt on `target` runs.
    pub(super) fn key_for(
        &mut self,
        now: Now,
        config: &Config,
        arrival: &Arrival,
        target: TargetId,
    ) -> Option<IdempotencyKey> {
        match Self::delivery(Some(config), arrival) {
            Delivery::Repeatable => None,
            Delivery::OnceSupplied => arrival.key,
            Delivery::OnceIssued => {
                let ticket = self.issue_ticket(now, config, target)?;
                Some(IdempotencyKey::Ticket(ticket))
            }
        }
    }

    fn issue_ticket(&mut self, now: Now, config: &Config, target: TargetId) -> Option<Ticket> {
        let incarnation = self.incarnation_of(target)?;
        let agent = config.names.targets.tag(target);
        Some(self.ticket_issuer.issue(now, agent, incarnation))
    }

    /// Issues a ticket that a caller of `arrival`'s route may use as its key.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the route needs no key or no target can be used.
    pub fn ticket(&mut self, now: Now, arrival: &Arrival) -> Result<Ticket, Refusal> {
        let retry = RetryAdvice::After(RETRY_DELAY);
        let Some(config) = self
            .config
            .clone()
            .filter(|_| !self.stopping && !self.superseded)
        else {
            return Err(Refusal::new(Reason::NotConfigured, retry));
        };
        if Self::delivery(Some(&config), arrival) != Delivery::OnceIssued {
            return Err(Refusal::new(Reason::NoRoute, RetryAdvice::Never));
        }
        let mut targets = self.candidates(&config, arrival, None, &[]);
        targets.retain(|&target| self.accepts_work(now, &config, target));
        // Tickets are spread evenly over the targets by count: callers decide when to use them,
        // and the load of a target may be different by then.
        let chosen = targets
            .get(self.ticket_requests % targets.len().max(1))
            .copied();
        self.ticket_requests = self.ticket_requests.wrapping_add(1);
        let ticket = chosen.and_then(|target| self.issue_ticket(now, &config, target));
        ticket.ok_or_else(|| Refusal::new(Reason::NoTarget, retry))
    }
}

/// The target that may run `key`; a ticket must name a target of the request's pool.
fn home(config: &Config, arrival: &Arrival, key: &IdempotencyKey) -> Result<TargetId, Refusal> {
    let agent = Roster::of_pool(config, arrival.pool).home(key);
    let target = agent.and_then(|agent| config.names.targets.by_tag(agent));
    let is_eligible = |target: &TargetId| {
        let rule = config.targets[*target].as_ref();
        rule.is_some_and(|rule| rule.pool == arrival.pool)
    };
    target.filter(is_eligible).ok_or_else(|| {
        let retry = match key {
            IdempotencyKey::Ticket(_) => RetryAdvice::VerifyFirst,
            IdempotencyKey::Caller(_) => RetryAdvice::After(RETRY_DELAY),
        };
        Refusal::new(Reason::HomeUnreachable, retry)
    })
}
