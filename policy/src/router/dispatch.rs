//! Arrivals, the choice between sending and queueing, and pulls.

use std::sync::Arc;

use entity::{
    AttemptId, Cost, Decision, Now, PoolId, ProcessId, Reason, Refusal, RequestId, RetryAdvice,
    RuleRef, Step, TargetId,
};
use rules::Config;

use super::{Arrival, DispatchOrder, MAX_UNPULLED, Pending, Place, Router, RouterAction};
use crate::attempt::Plan;
use crate::bid::BidKey;
use crate::choose::Chooser;
use crate::message::{Left, Offer, Pick, Pull, Pulled};
use crate::queue::{QueueKey, Waiting};

impl Router {
    pub(super) fn arrived(&mut self, now: Now, arrival: Arrival, actions: &mut Vec<RouterAction>) {
        let request = arrival.request;
        self.attempts.open(Plan {
            request,
            team: arrival.team,
            delivery: Self::delivery(self.config.as_deref(), &arrival),
            deadline: arrival.deadline,
        });
        let (config, key) = match self.admit(now, &arrival, actions) {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(now, request, refusal, actions),
        };
        let team = arrival.team;
        let rule = config.teams[team].as_ref().map(|rule| rule.rule);
        self.decide(now, request, Step::Admit, rule, "admitted", actions);
        if let Some(home) = self.home_to_ask(now, &config, &arrival, key) {
            self.pending
                .insert(request, Pending::new(now, arrival, key));
            self.send(now, &config, request, home, false, actions);
            return;
        }
        let is_idle = self.queues.is_idle(key.pool, key.home);
        match is_idle
            .then(|| self.choose(now, &config, &arrival, key.home, &[]))
            .flatten()
        {
            Some(target) => {
                self.loads.sent(now.mono, target);
                let pending = Pending::new(now, arrival, key);
                self.pending.insert(request, pending);
                self.send(now, &config, request, target, false, actions);
            }
            None => {
                let rule = config.teams[team].as_ref();
                let queued = rule.map_or(Ok(()), |rule| self.limits.enqueue(now.mono, team, rule));
                if let Err(refusal) = queued {
                    return self.refuse(now, request, refusal, actions);
                }
                let pending = Pending::new(now, arrival, key);
                self.queues.push(key, waiting(&pending));
                self.pending.insert(request, pending);
                let detail = describe(&config, key);
                let rule = rule.map(|rule| rule.rule);
                self.decide(now, request, Step::Queue, rule, &detail, actions);
                self.note(&config, key);
            }
        }
    }

    /// Checks what can be refused at once; returns the configuration to decide by.
    fn admit(
        &mut self,
        now: Now,
        arrival: &Arrival,
        actions: &mut Vec<RouterAction>,
    ) -> Result<(Arc<Config>, QueueKey), Refusal> {
        let later = RetryAdvice::After(super::RETRY_DELAY);
        let config = match &self.config {
            _ if self.stopping || self.superseded => {
                return Err(Refusal::new(Reason::Stopping, later));
            }
            None => return Err(Refusal::new(Reason::NotConfigured, later)),
            Some(config) => config.clone(),
        };
        if arrival.deadline <= now.mono {
            return Err(Refusal::new(Reason::DeadlinePassed, RetryAdvice::Never));
        }
        let key = self.examine(now, &config, arrival, actions)?;
        match key.home {
            Some(home) if self.may_ask(now, &config, arrival, home) => {}
            Some(home) if !self.is_open(now, &config, home) => {
                return Err(Refusal::new(Reason::HomeUnreachable, later));
            }
            None if !self.any_open(now, &config, key.pool) => {
                return Err(Refusal::new(Reason::NoTarget, later));
            }
            _ => {}
        }
        if let Some(team) = &config.teams[arrival.team] {
            self.limits.admit(now.mono, arrival.team, team)?;
        }
        Ok((config, key))
    }

    /// Whether `target` may get new work, as far as the router knows.
    pub(super) fn is_open(&self, now: Now, config: &Config, target: TargetId) -> bool {
        config.targets[target].is_some()
            && config.drain_rule(target).is_none()
            && self.loads.is_usable(now.mono, target)
    }

    /// Whether some target of `pool` may get new work.
    pub(super) fn any_open(&self, now: Now, config: &Config, pool: PoolId) -> bool {
        let rule = config.pools[pool].as_ref();
        rule.is_some_and(|rule| {
            let mut targets = rule.targets.iter();
            targets.any(|&target| self.is_open(now, config, target))
        })
    }

    /// The target to send a request to at once, if one has room.
    pub(super) fn choose(
        &mut self,
        now: Now,
        config: &Config,
        arrival: &Arrival,
        home: Option<TargetId>,
        avoid: &[TargetId],
    ) -> Option<TargetId> {
        let targets = self.candidates(config, arrival, home, avoid);
        let chooser = Chooser {
            config,
            loads: &self.loads,
            prefixes: &self.prefixes,
            centre: config.names.centres.by_tag(self.settings.centre.tag()),
        };
        chooser.choose(now.mono, &mut self.rng, arrival.prefix, &targets)
    }

    /// Sends a pending request that is in no queue; returns whether it was sent.
    pub(super) fn send(
        &mut self,
        now: Now,
        config: &Config,
        request: RequestId,
        target: TargetId,
        pulled: bool,
        actions: &mut Vec<RouterAction>,
    ) -> bool {
        let rule = config.targets[target]
            .as_ref()
            .expect("only targets in force are chosen");
        let arrival = self.pending[&request].arrival.clone();
        let Some(attempt) = self.attempts.start(now, request, target) else {
            self.rest(request);
            return false;
        };
        let key = self.key_for(now, config, &arrival, target);
        let router = self.settings.endpoint.id;
        let mut offer = offer(config, router, attempt, &arrival, pulled, now);
        offer.key = key;
        let pending = self.pending.get_mut(&request);
        let pending = pending.expect("the request is pending");
        pending.attempts += 1;
        pending.place = Place::Sent(target);
        if let Some(prefix) = arrival.prefix {
            self.prefixes.record(prefix, target);
        }
        let name = config.names.targets.name(target);
        let detail = match pulled {
            true => format!("pulled by {name}"),
            false => format!("sent to {name}"),
        };
        self.decide(
            now,
            request,
            Step::Dispatch,
            Some(rule.rule),
            &detail,
            actions,
        );
        if let (None, Some(key)) = (arrival.key, key) {
            let detail = format!("minted {key}");
            self.decide(now, request, Step::Once, None, &detail, actions);
        }
        actions.push(RouterAction::Dispatch(DispatchOrder {
            target,
            data: rule.data,
            offer,
        }));
        true
    }

    /// Takes back an attempt that the agent did not start.
    ///
    /// It is sent to another target at once if nothing else waits and one has
    /// room; otherwise it waits before all others of its queue.
    pub(super) fn send_again(
        &mut self,
        now: Now,
        config: &Config,
        request: RequestId,
        actions: &mut Vec<RouterAction>,
    ) {
        let pending = &self.pending[&request];
        let is_direct = pending.attempts < MAX_UNPULLED;
        let arrival = pending.arrival.clone();
        let key = match self.examine(now, config, &arrival, actions) {
            Ok(key) => key,
            Err(refusal) => {
                self.close(request);
                return self.refuse(now, request, refusal, actions);
            }
        };
        let is_direct = is_direct && !self.superseded && self.queues.is_idle(key.pool, key.home);
        match is_direct
            .then(|| self.choose(now, config, &arrival, key.home, &[]))
            .flatten()
        {
            Some(target) => {
                self.loads.sent(now.mono, target);
                self.send(now, config, request, target, false, actions);
            }
            None => self.queue_again(now, config, request, key, actions),
        }
    }

    /// Lets a request that was in flight wait before all others of its queue.
    pub(super) fn queue_again(
        &mut self,
        now: Now,
        config: &Config,
        request: RequestId,
        key: QueueKey,
        actions: &mut Vec<RouterAction>,
    ) {
        let pending = self.pending.get_mut(&request);
        let pending = pending.expect("the request is pending");
        pending.place = Place::Waiting(key);
        self.limits.requeue(pending.arrival.team);
        self.queues.push_front(key, waiting(pending));
        self.decide(now, request, Step::Queue, None, "queued again", actions);
        self.note(config, key);
        self.give_up(now, config, key.pool, actions);
    }

    pub(super) fn pulled(&mut self, now: Now, pull: &Pull, actions: &mut Vec<RouterAction>) {
        let config = self.config.as_deref();
        if let Some(target) = config.and_then(|it| it.names.targets.by_tag(pull.agent.id.0)) {
            self.alive(target, pull.agent.incarnation);
        }
        let window = self.pulls.entry(pull.agent.id).or_default();
        if !window.accept(pull.agent.incarnation, pull.sequence) {
            return;
        }
        let mut counts = Vec::with_capacity(pull.picks.len());
        let mut left = Vec::with_capacity(pull.picks.len());
        for &pick in &pull.picks {
            let (count, rest) = self.pick(now, pull, pick, actions);
            counts.push(count);
            left.push(rest);
        }
        let pulled = Pulled {
            router: self.settings.endpoint.id,
            sequence: pull.sequence,
            counts,
            left,
        };
        actions.push(RouterAction::PullReply {
            agent: pull.agent,
            pulled,
        });
    }

    /// Sends what one pick asks for; returns how many and what is left.
    fn pick(
        &mut self,
        now: Now,
        pull: &Pull,
        pick: Pick,
        actions: &mut Vec<RouterAction>,
    ) -> (u16, Left) {
        let none = (0, Left::default());
        let Some(config) = self.config.clone() else {
            return none;
        };
        let Some(target) = config.names.targets.by_tag(pull.agent.id.0) else {
            return none;
        };
        let Some(team) = config.names.teams.by_tag(pick.team) else {
            return none;
        };
        let Some(rule) = config.targets[target].as_ref() else {
            return none;
        };
        // A leaving target's agent may not know it yet and goes on pulling.
        let is_closed = config.drain_rule(target).is_some() || self.loads.is_leaving(target);
        let mut count = 0;
        while count < pick.count && !is_closed {
            let Some(key) = self.queues.next(rule.pool, target, team, pick.class) else {
                break;
            };
            let next = self.queues.pop(key).expect("the queue holds a request");
            self.limits.dequeue(now.mono, team);
            let sent = self.send(now, &config, next.request, target, true, actions);
            self.note(&config, key);
            count += u16::from(sent);
        }
        let key = BidKey {
            team,
            class: pick.class,
        };
        let waiting = self.waiting_for(rule.pool, target, key);
        self.outbox.told(target, key, waiting);
        let oldest = self.oldest_for(now, rule.pool, target, key);
        let oldest = oldest.as_millis().min(u128::from(u32::MAX)) as u32;
        (count, Left { waiting, oldest })
    }

    pub(super) fn decide(
        &self,
        now: Now,
        request: RequestId,
        step: Step,
        rule: Option<RuleRef>,
        detail: &str,
        actions: &mut Vec<RouterAction>,
    ) {
        actions.push(RouterAction::Decided(Decision {
            request,
            at: now.wall,
            step,
            rules: rule.into_iter().collect(),
            detail: detail.to_owned(),
        }));
    }
}

impl Pending {
    fn new(now: Now, arrival: Arrival, key: QueueKey) -> Self {
        Self {
            arrival,
            arrived: now.mono,
            attempts: 0,
            place: Place::Waiting(key),
        }
    }
}

fn waiting(pending: &Pending) -> Waiting {
    Waiting {
        request: pending.arrival.request,
        arrived: pending.arrived,
        deadline: pending.arrival.deadline,
    }
}

/// The reason why a request waits, in words.
fn describe(config: &Config, key: QueueKey) -> String {
    match key.home {
        Some(home) => format!("queued for {}", config.names.targets.name(home)),
        None => "queued".to_owned(),
    }
}

fn offer(
    config: &Config,
    router: ProcessId,
    attempt: AttemptId,
    arrival: &Arrival,
    pulled: bool,
    now: Now,
) -> Offer {
    let route = config.routes[arrival.route].as_ref();
    let hint = arrival.hint.or(route.map(|route| route.hint));
    Offer {
        attempt,
        router,
        team: config.names.teams.tag(arrival.team),
        route: config.names.routes.tag(arrival.route),
        class: arrival.class,
        hint: hint.unwrap_or(Cost(1)),
        remaining: Some(arrival.deadline.saturating_duration_since(now.mono)),
        key: arrival.key,
        fingerprint: arrival.fingerprint,
        prefix: arrival.prefix,
        pulled,
    }
}
