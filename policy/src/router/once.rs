//! Which target may run a request: homes of keys, tickets and suspects.

use std::time::Duration;

use entity::{
    IdempotencyKey, Incarnation, Now, Reason, Refusal, RequestId, RetryAdvice, Step, TargetId,
    Ticket,
};
use rules::{Config, Repeat};

use super::{Arrival, Place, RETRY_DELAY, Router, RouterAction};
use crate::attempt::Delivery;
use crate::fact::Fact;
use crate::home::Roster;
use crate::quarantine::QuarantineStatus;
use crate::queue::QueueKey;

/// How long a suspect waits if no target may try it.
const TRIAL_DELAY: Duration = Duration::from_secs(1);

impl Router {
    /// The life of the agent beside `target`, as last seen.
    pub(super) fn life(&self, target: TargetId) -> Option<Incarnation> {
        self.lives[target]
    }

    /// Takes in the life of an agent.
    pub(super) fn alive(&mut self, target: TargetId, incarnation: Incarnation) {
        let known = &mut self.lives[target];
        *known = (*known).max(Some(incarnation));
    }

    pub(super) fn learned(&mut self, now: Now, fact: &Fact) {
        if let Some(notice) = fact.evidence() {
            self.quarantine.merge(now, &notice);
        }
    }

    /// Whether and under which key a request may be sent again.
    pub(super) fn delivery(config: Option<&Config>, arrival: &Arrival) -> Delivery {
        let route = config.and_then(|config| config.routes[arrival.route].as_ref());
        let once = route.is_some_and(|route| route.repeat == Repeat::Once);
        match arrival.key {
            Some(_) => Delivery::OnceSupplied,
            None if once => Delivery::OnceMinted,
            None => Delivery::Repeatable,
        }
    }

    /// Refuses what may run nowhere: quarantined requests and keys without a home.
    pub(super) fn examine(
        &self,
        now: Now,
        config: &Config,
        arrival: &Arrival,
        actions: &mut Vec<RouterAction>,
    ) -> Result<QueueKey, Refusal> {
        let fingerprint = arrival.fingerprint;
        let judgement = self.quarantine.status(now, fingerprint);
        if judgement != QuarantineStatus::Clear {
            let detail = self.quarantine.explain(now, fingerprint);
            let request = arrival.request;
            self.decide(now, request, Step::Quarantine, None, &detail, actions);
        }
        let quarantined = |wait| Refusal::new(Reason::Quarantined, RetryAdvice::After(wait));
        if let QuarantineStatus::Quarantined(until) = judgement {
            let wait = until.duration_since(now.wall).unwrap_or_default();
            return Err(quarantined(wait));
        }
        let home = match (&arrival.key, judgement) {
            (Some(key), _) => Some(home(config, arrival, key)?),
            (None, QuarantineStatus::Suspect) => {
                let trial = self.trial(now, config, arrival);
                Some(trial.ok_or_else(|| quarantined(TRIAL_DELAY))?)
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

    /// Whether the home of a supplied key may be asked although it gets no new work.
    ///
    /// It answers repeats of keys that it has run, and only it can say of others
    /// that they have not run.
    pub(super) fn may_ask(
        &self,
        now: Now,
        config: &Config,
        arrival: &Arrival,
        home: TargetId,
    ) -> bool {
        let is_named = arrival.key.is_some() && config.targets[home].is_some();
        is_named && self.loads.is_reachable(now.mono, home)
    }

    /// The home to ask at once, because it gets no new work from a queue.
    pub(super) fn home_to_ask(
        &self,
        now: Now,
        config: &Config,
        arrival: &Arrival,
        key: QueueKey,
    ) -> Option<TargetId> {
        let home = key.home.filter(|&home| !self.is_open(now, config, home))?;
        self.may_ask(now, config, arrival, home).then_some(home)
    }

    /// Asks the home of a request that waits for it; returns whether it was asked.
    pub(super) fn ask_waiting(
        &mut self,
        now: Now,
        config: &Config,
        request: RequestId,
        actions: &mut Vec<RouterAction>,
    ) -> bool {
        let Some(pending) = self.pending.get(&request) else {
            return false;
        };
        let Place::Waiting(key) = pending.place else {
            return false;
        };
        let arrival = pending.arrival.clone();
        let Some(home) = self.home_to_ask(now, config, &arrival, key) else {
            return false;
        };
        self.queues.remove(key, request);
        self.limits.dequeue(now.mono, arrival.team);
        self.send(now, config, request, home, false, actions)
    }

    /// The target that tries a suspect.
    fn trial(&self, now: Now, config: &Config, arrival: &Arrival) -> Option<TargetId> {
        let usable = |tag| {
            let target = config.names.targets.by_tag(tag);
            target.is_some_and(|target| config.drain_rule(target).is_none())
        };
        let roster = Roster::of_pool(config, arrival.pool);
        let trial = roster.trial_agent(arrival.fingerprint, now, usable)?;
        config.names.targets.by_tag(trial)
    }

    /// The targets among which a request may choose.
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
        let minted = Self::delivery(Some(config), arrival) == Delivery::OnceMinted;
        let fits = |target: &TargetId| !minted || self.life(*target).is_some();
        let targets: Vec<_> = pool.targets.iter().copied().filter(fits).collect();
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
            Delivery::OnceMinted => {
                let ticket = self.mint(now, config, target)?;
                Some(IdempotencyKey::Ticket(ticket))
            }
        }
    }

    fn mint(&mut self, now: Now, config: &Config, target: TargetId) -> Option<Ticket> {
        let incarnation = self.life(target)?;
        let agent = config.names.targets.tag(target);
        Some(self.mint.issue(now, agent, incarnation))
    }

    /// Mints a ticket that a caller of `arrival`'s route may use as its key.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the route needs no key or no target can be used.
    pub fn ticket(&mut self, now: Now, arrival: &Arrival) -> Result<Ticket, Refusal> {
        let later = RetryAdvice::After(RETRY_DELAY);
        let Some(config) = self
            .config
            .clone()
            .filter(|_| !self.stopping && !self.superseded)
        else {
            return Err(Refusal::new(Reason::NotConfigured, later));
        };
        if Self::delivery(Some(&config), arrival) != Delivery::OnceMinted {
            return Err(Refusal::new(Reason::NoRoute, RetryAdvice::Never));
        }
        let mut targets = self.candidates(&config, arrival, None, &[]);
        targets.retain(|&target| self.is_open(now, &config, target));
        // Tickets are spread evenly; when they are used is up to the callers.
        let chosen = targets.get(self.minted % targets.len().max(1)).copied();
        self.minted = self.minted.wrapping_add(1);
        let ticket = chosen.and_then(|target| self.mint(now, &config, target));
        ticket.ok_or_else(|| Refusal::new(Reason::NoTarget, later))
    }
}

/// The target that may run `key`; a ticket must name a target of the request's pool.
fn home(config: &Config, arrival: &Arrival, key: &IdempotencyKey) -> Result<TargetId, Refusal> {
    let agent = Roster::of_pool(config, arrival.pool).home(key);
    let target = agent.and_then(|agent| config.names.targets.by_tag(agent));
    let fits = |target: &TargetId| {
        let rule = config.targets[*target].as_ref();
        rule.is_some_and(|rule| rule.pool == arrival.pool)
    };
    target.filter(fits).ok_or_else(|| {
        let retry = match key {
            IdempotencyKey::Ticket(_) => RetryAdvice::VerifyFirst,
            IdempotencyKey::Caller(_) => RetryAdvice::After(RETRY_DELAY),
        };
        Refusal::new(Reason::HomeUnreachable, retry)
    })
}
