//! Admission of offers: an attempt is started, held for the next free slot or rejected.

use std::time::Duration;

use entity::{
    AttemptId, Cost, Fingerprint, Now, Reason, Refusal, RetryAdvice, RouteId, Step, TeamId,
};

use super::keys::rejection;
use super::{Agent, AgentAction, Running, weight};
use crate::bid::BidKey;
use crate::fair::{Charge, Consumer, SharingPolicy};
use crate::message::Offer;
use crate::quarantine::Admission;

/// The retry delay advised to routers when no better estimate exists.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// An attempt that was offered but has not started, such as a pulled request that arrived
/// before its slot was free.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldAttempt {
    pub(super) attempt: AttemptId,
    pub(super) consumer: Consumer,
    pub(super) route: Option<RouteId>,
    pub(super) expected: Cost,
    pub(super) fingerprint: Fingerprint,
    /// Whether the request may run at most once.
    pub(super) once: bool,
}

impl<S: SharingPolicy> Agent<S> {
    pub(super) fn offered(&mut self, now: Now, offer: &Offer, actions: &mut Vec<AgentAction>) {
        let attempt = offer.attempt;
        if !self.admit_key(now, offer, actions) {
            return;
        }
        let Some(config) = self.config.clone() else {
            return self.reject(now, attempt, Reason::NotConfigured, actions);
        };
        let Some(team) = config.names.teams.by_tag(offer.team) else {
            return self.reject(now, attempt, Reason::NotConfigured, actions);
        };
        let admission = self.check_quarantine(now, &config, offer, actions);
        if let Admission::Refuse(refusal) = admission {
            self.release_offered_slot(now, offer);
            return self.refuse(now, attempt, refusal, actions);
        }
        let route = config.names.routes.by_tag(offer.route);
        let consumer = Consumer {
            team,
            weight: weight(&config, team),
            router: offer.router,
        };
        let key = BidKey {
            team,
            class: offer.class,
        };
        let reserved = match offer.pulled {
            true => self.pulls.consume(now.mono, offer.router, key),
            false => None,
        };
        let expected = self.costs.estimate(team, route, offer.hint);
        let held = HeldAttempt {
            attempt,
            consumer,
            route,
            expected,
            fingerprint: offer.fingerprint,
            once: offer.key.is_some(),
        };
        let is_suspect = admission == Admission::Alone;
        match reserved {
            Some((reservation, age)) => {
                self.pacing.record_round_trip(age);
                let adjustment = Charge::pending(expected - reservation.charge);
                self.share.charge(now.mono, consumer, adjustment);
                match is_suspect {
                    _ if self.superseded => {
                        self.reject_held(now, held, Reason::Stopping, actions);
                    }
                    true => self.hold_suspect(now, held, actions),
                    false => self.held.push_back(held),
                }
            }
            None if self.superseded => self.reject(now, attempt, Reason::Stopping, actions),
            None if self.is_draining() => self.reject(now, attempt, Reason::Draining, actions),
            None if self.crashes.down => self.reject(now, attempt, Reason::NoTarget, actions),
            None if self.free() > 0 && self.may_precede_bids(now, consumer) => {
                self.share
                    .charge(now.mono, consumer, Charge::pending(expected));
                match is_suspect {
                    true => self.hold_suspect(now, held, actions),
                    false => self.start(now, held, actions),
                }
            }
            None => self.reject(now, attempt, Reason::NoSlot, actions),
        }
    }

    /// Reserves the target for a suspect, unless it is reserved for another one.
    fn hold_suspect(&mut self, now: Now, held: HeldAttempt, actions: &mut Vec<AgentAction>) {
        match self.crashes.is_reserved() {
            true => self.reject_held(now, held, Reason::NoSlot, actions),
            false => self.crashes.suspect = Some(held),
        }
    }

    /// Rejects everything that has not started: a later incarnation controls the target now.
    pub(super) fn superseded(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        self.superseded = true;
        let held = self.held.drain(..).chain(self.crashes.suspect.take());
        for held in held.collect::<Vec<_>>() {
            self.reject_held(now, held, Reason::Stopping, actions);
        }
    }

    /// Whether an attempt that was not pulled may start before the outstanding bids.
    fn may_precede_bids(&mut self, now: Now, consumer: Consumer) -> bool {
        if self.bids.is_backlogged(consumer.team) {
            return false;
        }
        self.share
            .backlogged(now.mono, consumer.team, consumer.weight);
        let rank = |team: TeamId| self.share.rank(now.mono, team);
        let least = self.bids.teams().map(rank).min();
        least.is_none_or(|least| rank(consumer.team) < least)
    }

    /// Starts held attempts while slots are free; rejects the excess when the window shrank.
    pub(super) fn start_held(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        self.start_suspect(now, actions);
        let limit = self.window.limit() as usize;
        while self.running.len() < limit && !self.crashes.is_reserved() {
            let Some(held) = self.held.pop_front() else {
                return;
            };
            self.start(now, held, actions);
        }
        let keep = self.pacing.ahead() as usize;
        while self.held.len() > keep || limit == 0 && !self.held.is_empty() {
            let held = self.held.pop_back().expect("checked by the condition");
            let reason = match self.crashes.down {
                true => Reason::NoTarget,
                false => Reason::NoSlot,
            };
            self.reject_held(now, held, reason, actions);
        }
    }

    /// Drops a held attempt whose router disconnected; returns whether it was held.
    pub(super) fn drop_held(&mut self, now: Now, attempt: AttemptId) -> bool {
        let Some(index) = self.held.iter().position(|held| held.attempt == attempt) else {
            return false;
        };
        let held = self.held.remove(index).expect("the index was found");
        self.keys.release(attempt);
        let reversal = Charge::pending(Cost::ZERO - held.expected);
        self.share.charge(now.mono, held.consumer, reversal);
        true
    }

    /// Rejects a held attempt and reverts its charge.
    pub(super) fn reject_held(
        &mut self,
        now: Now,
        held: HeldAttempt,
        reason: Reason,
        actions: &mut Vec<AgentAction>,
    ) {
        let reversal = Charge::pending(Cost::ZERO - held.expected);
        self.share.charge(now.mono, held.consumer, reversal);
        self.reject(now, held.attempt, reason, actions);
    }

    /// Rejects an attempt that was not started.
    pub(super) fn reject(
        &mut self,
        now: Now,
        attempt: AttemptId,
        reason: Reason,
        actions: &mut Vec<AgentAction>,
    ) {
        let retry = RetryAdvice::After(RETRY_DELAY);
        self.refuse(now, attempt, Refusal::new(reason, retry), actions);
    }

    fn refuse(
        &mut self,
        now: Now,
        attempt: AttemptId,
        refusal: Refusal,
        actions: &mut Vec<AgentAction>,
    ) {
        self.keys.release(attempt);
        let detail = format!("rejected: {}", refusal.reason);
        self.record_decision(now, attempt.request, Step::Accept, &detail, actions);
        actions.push(rejection(attempt, refusal));
    }

    pub(super) fn start(&mut self, now: Now, held: HeldAttempt, actions: &mut Vec<AgentAction>) {
        if !self.may_hand_over(now, &held, actions) {
            return;
        }
        let request = held.attempt.request;
        self.record_decision(now, request, Step::Accept, "started", actions);
        let running = Running {
            consumer: held.consumer,
            route: held.route,
            started: now.mono,
            charged: held.expected,
            expected: held.expected,
            streamed: Cost::ZERO,
            cancelled: false,
            fingerprint: held.fingerprint,
            once: held.once,
        };
        self.running.insert(held.attempt, running);
        self.window.record(now.mono, self.running.len() as u32);
        actions.push(AgentAction::Start(held.attempt));
    }
}
