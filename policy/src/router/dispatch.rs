//! Arrivals, dispatch or queueing of requests, and pulls.

use std::sync::Arc;

use entity::{
    AttemptId, Cost, Decision, Now, PoolId, ProcessId, Reason, Refusal, RequestId, RetryAdvice,
    RuleRef, Step, TargetId,
};
use rules::Config;

use super::{
    Arrival, DispatchOrder, MAX_UNPULLED_ATTEMPTS, Pending, RequestPhase, Router, RouterAction,
};
use crate::attempt::RequestSpec;
use crate::bid::BidKey;
use crate::choose::TargetSelector;
use crate::message::{Left, Offer, Pick, Pull, Pulled};
use crate::queue::{QueueKey, Waiting};

impl Router {
    pub(super) fn arrived(&mut self, now: Now, arrival: Arrival, actions: &mut Vec<RouterAction>) {
        let request = arrival.request;
        self.attempts.admit(RequestSpec {
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
        self.record_decision(now, request, Step::Admit, rule, "admitted", actions);
        if let Some(home) = self.home_for_immediate_dispatch(now, &config, &arrival, key) {
            self.pending
                .insert(request, Pending::new(now, arrival, key));
            self.send(now, &config, request, home, false, actions);
            return;
        }
        let is_idle = self.queues.is_idle(key.pool, key.home);
        match is_idle
            .then(|| self.select_target(now, &config, &arrival, key.home, &[]))
            .flatten()
        {
            Some(target) => {
                self.loads.record_dispatch(now.mono, target);
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
                self.record_decision(now, request, Step::Queue, rule, &detail, actions);
                self.queue_changed(&config, key);
            }
        }
    }

    /// Refuses requests that cannot run; returns the active configuration and the queue of
    /// an admitted request.
    fn admit(
        &mut self,
        now: Now,
        arrival: &Arrival,
        actions: &mut Vec<RouterAction>,
    ) -> Result<(Arc<Config>, QueueKey), Refusal> {
        let retry = RetryAdvice::After(super::RETRY_DELAY);
        let config = match &self.config {
            _ if self.stopping || self.superseded => {
                return Err(Refusal::new(Reason::Stopping, retry));
            }
            None => return Err(Refusal::new(Reason::NotConfigured, retry)),
            Some(config) => config.clone(),
        };
        if arrival.deadline <= now.mono {
            return Err(Refusal::new(Reason::DeadlinePassed, RetryAdvice::Never));
        }
        let key = self.resolve_queue(now, &config, arrival, actions)?;
        match key.home {
            Some(home) if self.may_send_to_home(now, &config, arrival, home) => {}
            Some(home) if !self.accepts_work(now, &config, home) => {
                return Err(Refusal::new(Reason::HomeUnreachable, retry));
            }
            None if !self.any_accepts_work(now, &config, key.pool) => {
                return Err(Refusal::new(Reason::NoTarget, retry));
            }
            _ => {}
        }
        if let Some(team) = &config.teams[arrival.team] {
            self.limits.admit(now.mono, arrival.team, team)?;
        }
        Ok((config, key))
    }

    /// Whether `target` is believed to accept new work.
    pub(super) fn accepts_work(&self, now: Now, config: &Config, target: TargetId) -> bool {
        config.targets[target].is_some()
            && config.drain_rule(target).is_none()
            && self.loads.is_usable(now.mono, target)
    }

    /// Whether any target of `pool` is believed to accept new work.
    pub(super) fn any_accepts_work(&self, now: Now, config: &Config, pool: PoolId) -> bool {
        let rule = config.pools[pool].as_ref();
        rule.is_some_and(|rule| {
            let mut targets = rule.targets.iter();
            targets.any(|&target| self.accepts_work(now, config, target))
        })
    }

    /// Selects the target for an immediate dispatch, if one is available.
    pub(super) fn select_target(
        &mut self,
        now: Now,
        config: &Config,
        arrival: &Arrival,
        home: Option<TargetId>,
        avoid: &[TargetId],
    ) -> Option<TargetId> {
        let targets = self.candidates(config, arrival, home, avoid);
        let selector = TargetSelector {
            config,
            loads: &self.loads,
            prefixes: &self.prefixes,
            centre: config.names.centres.by_tag(self.settings.centre.tag()),
        };
        selector.select(now.mono, &mut self.rng, arrival.prefix, &targets)
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
            .expect("only configured targets are selected");
        let arrival = self.pending[&request].arrival.clone();
        let Some(attempt) = self.attempts.start(now, request, target) else {
            self.wait_for_expiry(request);
            return false;
        };
        let key = self.key_for(now, config, &arrival, target);
        let router = self.settings.endpoint.id;
        let mut offer = offer(config, router, attempt, &arrival, pulled, now);
        offer.key = key;
        let pending = self.pending.get_mut(&request);
        let pending = pending.expect("the request is pending");
        pending.attempts += 1;
        pending.phase = RequestPhase::Sent(target);
        if let Some(prefix) = arrival.prefix {
            self.prefixes.record(prefix, target);
        }
        let name = config.names.targets.name(target);
        let detail = match pulled {
            true => format!("pulled by {name}"),
            false => format!("sent to {name}"),
        };
        self.record_decision(
            now,
            request,
            Step::Dispatch,
            Some(rule.rule),
            &detail,
            actions,
        );
        if let (None, Some(key)) = (arrival.key, key) {
            let detail = format!("issued {key}");
            self.record_decision(now, request, Step::Once, None, &detail, actions);
        }
        actions.push(RouterAction::Dispatch(DispatchOrder {
            target,
            data: rule.data,
            offer,
        }));
        true
    }

    /// Sends or queues a request again whose attempt the agent did not start.
    ///
    /// It is sent to another target at once if nothing else waits and one is available;
    /// otherwise it goes to the front of its queue.
    pub(super) fn resend_or_queue(
        &mut self,
        now: Now,
        config: &Config,
        request: RequestId,
        actions: &mut Vec<RouterAction>,
    ) {
        let pending = &self.pending[&request];
        let may_resend = pending.attempts < MAX_UNPULLED_ATTEMPTS;
        let arrival = pending.arrival.clone();
        let key = match self.resolve_queue(now, config, &arrival, actions) {
            Ok(key) => key,
            Err(refusal) => {
                self.remove_pending(request);
                return self.refuse(now, request, refusal, actions);
            }
        };
        let may_resend = may_resend && !self.superseded && self.queues.is_idle(key.pool, key.home);
        match may_resend
            .then(|| self.select_target(now, config, &arrival, key.home, &[]))
            .flatten()
        {
            Some(target) => {
                self.loads.record_dispatch(now.mono, target);
                self.send(now, config, request, target, false, actions);
            }
            None => self.requeue_front(now, config, request, key, actions),
        }
    }

    /// Puts a request that was in flight at the front of its queue.
    pub(super) fn requeue_front(
        &mut self,
        now: Now,
        config: &Config,
        request: RequestId,
        key: QueueKey,
        actions: &mut Vec<RouterAction>,
    ) {
        let pending = self.pending.get_mut(&request);
        let pending = pending.expect("the request is pending");
        pending.phase = RequestPhase::Waiting(key);
        self.limits.requeue(pending.arrival.team);
        self.queues.push_front(key, waiting(pending));
        self.record_decision(now, request, Step::Queue, None, "queued again", actions);
        self.queue_changed(config, key);
        self.refuse_stranded(now, config, key.pool, actions);
    }

    pub(super) fn pulled(&mut self, now: Now, pull: &Pull, actions: &mut Vec<RouterAction>) {
        let config = self.config.as_deref();
        if let Some(target) = config.and_then(|it| it.names.targets.by_tag(pull.agent.id.0)) {
            self.incarnation_seen(target, pull.agent.incarnation);
        }
        let window = self.pulls.entry(pull.agent.id).or_default();
        if !window.accept(pull.agent.incarnation, pull.sequence) {
            return;
        }
        let mut counts = Vec::with_capacity(pull.picks.len());
        let mut left = Vec::with_capacity(pull.picks.len());
        for &pick in &pull.picks {
            let (count, remaining) = self.pick(now, pull, pick, actions);
            counts.push(count);
            left.push(remaining);
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

    /// Sends the requests for one pick; returns the number sent and what remains queued.
    fn pick(
        &mut self,
        now: Now,
        pull: &Pull,
        pick: Pick,
        actions: &mut Vec<RouterAction>,
    ) -> (u16, Left) {
        let nothing_sent = (0, Left::default());
        let Some(config) = self.config.clone() else {
            return nothing_sent;
        };
        let Some(target) = config.names.targets.by_tag(pull.agent.id.0) else {
            return nothing_sent;
        };
        let Some(team) = config.names.teams.by_tag(pick.team) else {
            return nothing_sent;
        };
        let Some(rule) = config.targets[target].as_ref() else {
            return nothing_sent;
        };
        // The agent of a leaving target may not know this yet and may still send pulls.
        let refuses_work = config.drain_rule(target).is_some() || self.loads.is_leaving(target);
        let mut count = 0;
        while count < pick.count && !refuses_work {
            let Some(key) = self.queues.next(rule.pool, target, team, pick.class) else {
                break;
            };
            let next = self.queues.pop(key).expect("the queue holds a request");
            self.limits.dequeue(now.mono, team);
            let sent = self.send(now, &config, next.request, target, true, actions);
            self.queue_changed(&config, key);
            count += u16::from(sent);
        }
        let key = BidKey {
            team,
            class: pick.class,
        };
        let waiting = self.waiting_for(rule.pool, target, key);
        self.outbox.record_pull_reply(target, key, waiting);
        let oldest = self.oldest_for(now, rule.pool, target, key);
        let oldest = oldest.as_millis().min(u128::from(u32::MAX)) as u32;
        (count, Left { waiting, oldest })
    }

    pub(super) fn record_decision(
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
            phase: RequestPhase::Waiting(key),
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

/// The decision detail for a queued request.
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
