//! Idempotency keys, and the key homes that the agent confirms.

use std::time::Duration;

use entity::{AttemptId, Cost, Incarnation, Now, Refusal, Revision, SendPermit, Step};
use rules::Config;

use super::admit::HeldAttempt;
use super::{Agent, AgentAction};
use crate::bid::BidKey;
use crate::fact::Fact;
use crate::fair::{Charge, SharingPolicy};
use crate::home::{Bounds, Hold, Roster, RosterLease};
use crate::message::{Endpoint, Offer};
use crate::once::{DedupDecision, DedupSettings, DedupStore, MAX_SEND_DELAY};
use crate::pull::Reservation;

/// The maximum number of stored keys.
const MAX_KEYS: usize = 1_000_000;

/// The default limit on the total size of stored answers, in bytes.
const MAX_ANSWER_BYTES: u64 = 128 << 20;

/// The state of idempotency keys; the store is created at the agent's first event.
#[derive(Debug)]
pub(super) struct KeyState {
    store: Option<DedupStore>,
    roster_lease: RosterLease,
    max_answer_bytes: u64,
    announced_hold: Option<Hold>,
}

impl Default for KeyState {
    fn default() -> Self {
        Self {
            store: None,
            roster_lease: RosterLease::new(Bounds::default()),
            max_answer_bytes: MAX_ANSWER_BYTES,
            announced_hold: None,
        }
    }
}

impl KeyState {
    /// Creates the store at the agent's first event.
    ///
    /// A start time that is too late is safe: it only means that fewer keys are covered.
    pub(super) fn create_store(&mut self, now: Now, endpoint: Endpoint) {
        let max_bytes = self.max_answer_bytes;
        self.store.get_or_insert_with(|| {
            DedupStore::new(DedupSettings {
                agent: endpoint.id.0,
                incarnation: endpoint.incarnation,
                started: now.wall,
                bounds: Bounds::default(),
                max_keys: MAX_KEYS,
                max_bytes,
                max_send_delay: MAX_SEND_DELAY,
            })
        });
    }

    /// The active roster.
    pub(super) fn roster(&self) -> &Roster {
        self.roster_lease.roster()
    }

    /// Releases the key of an attempt that was not started.
    pub(super) fn release(&mut self, attempt: AttemptId) {
        self.store_and_lease().0.release(attempt);
    }

    fn store_and_lease(&mut self) -> (&mut DedupStore, &RosterLease) {
        let store = self.store.as_mut();
        let store = store.expect("the store is created before the first event is handled");
        (store, &self.roster_lease)
    }
}

impl<S: SharingPolicy> Agent<S> {
    /// Sets the limit on the total size of stored answers in bytes; call it before the first
    /// event.
    #[must_use]
    pub fn with_max_answer_bytes(mut self, bytes: u64) -> Self {
        self.keys.max_answer_bytes = bytes;
        self
    }

    /// The number of stored keys and the total size of stored answers in bytes.
    pub fn key_memory_usage(&self) -> (usize, u64) {
        let store = self.keys.store.as_ref();
        store.map_or((0, 0), |store| (store.len(), store.answer_bytes()))
    }

    pub(super) fn incarnation_raised(&mut self, incarnation: Incarnation) {
        self.settings.endpoint.incarnation = incarnation;
        self.keys.store_and_lease().0.set_incarnation(incarnation);
    }

    pub(super) fn confirmed(&mut self, revision: Revision, at: Now) {
        self.keys.roster_lease.confirm(revision, at, Duration::ZERO);
    }

    /// Activates the roster of the agent's pool.
    pub(super) fn update_roster(
        &mut self,
        now: Now,
        config: &Config,
        actions: &mut Vec<AgentAction>,
    ) {
        let rule = self.target.and_then(|own| config.targets[own].as_ref());
        let roster = match rule {
            Some(rule) => Roster::of_pool(config, rule.pool),
            None => Roster::new(config.revision, Vec::new()),
        };
        self.keys.roster_lease.configure(now, roster);
        self.announce_hold(now, config, actions);
    }

    /// Broadcasts the agent's hold if it has changed.
    fn announce_hold(&mut self, now: Now, config: &Config, actions: &mut Vec<AgentAction>) {
        let hold = self.keys.roster_lease.hold();
        let rule = self.target.and_then(|own| config.targets[own].as_ref());
        let (Some(hold), Some(rule)) = (hold, rule) else {
            return;
        };
        if self.keys.announced_hold.replace(hold) != Some(hold) {
            actions.push(AgentAction::Broadcast(Fact::Held {
                agent: self.settings.endpoint.id,
                pool: config.names.pools.tag(rule.pool),
                at: now.wall,
                hold,
            }));
        }
    }

    pub(super) fn fact_received(&mut self, now: Now, fact: &Fact) {
        if let Some(evidence) = fact.evidence() {
            self.crashes.merge(now, &evidence);
        }
        let own = self.target.zip(self.config.as_deref());
        let pool = own.and_then(|(own, config)| {
            let rule = config.targets[own].as_ref()?;
            Some(config.names.pools.tag(rule.pool))
        });
        match fact {
            // An agent without a configuration does not know its pool and merges every hold.
            Fact::Held {
                pool: held_pool,
                hold,
                ..
            } if pool.is_none_or(|pool| pool == *held_pool) => {
                self.keys.roster_lease.merge_hold(now, *hold);
            }
            _ => {}
        }
    }

    /// Checks the key of an offer; returns `false` if the offer has been answered.
    pub(super) fn admit_key(
        &mut self,
        now: Now,
        offer: &Offer,
        actions: &mut Vec<AgentAction>,
    ) -> bool {
        let (attempt, fingerprint) = (offer.attempt, offer.fingerprint);
        let Some(key) = offer.key else {
            return true;
        };
        let (store, roster_lease) = self.keys.store_and_lease();
        let decision = store.decide(now, roster_lease, attempt, key, fingerprint);
        let detail = describe(&decision);
        self.record_decision(now, attempt.request, Step::Once, &detail, actions);
        if decision == DedupDecision::Start {
            return true;
        }
        self.release_offered_slot(now, offer);
        actions.push(answer(attempt, decision));
        false
    }

    /// Checks whether an attempt may be sent to the target; returns `false` if the offer has
    /// been answered.
    pub(super) fn may_hand_over(
        &mut self,
        now: Now,
        held: &HeldAttempt,
        actions: &mut Vec<AgentAction>,
    ) -> bool {
        if !held.once {
            return true;
        }
        let (store, roster_lease) = self.keys.store_and_lease();
        let Err(decision) = store.begin_send(now, roster_lease, held.attempt) else {
            return true;
        };
        let detail = describe(&decision);
        self.record_decision(now, held.attempt.request, Step::Once, &detail, actions);
        self.share.charge(
            now.mono,
            held.consumer,
            Charge::pending(Cost::ZERO - held.expected),
        );
        actions.push(answer(held.attempt, decision));
        false
    }

    /// Records that a complete answer is stored.
    pub(super) fn answer_stored(
        &mut self,
        attempt: AttemptId,
        bytes: u64,
        actions: &mut Vec<AgentAction>,
    ) {
        let dropped = self.keys.store_and_lease().0.record_answer(attempt, bytes);
        actions.extend(dropped.into_iter().map(AgentAction::Evict));
    }

    /// Records that an attempt ended without an answer and did not run.
    pub(super) fn record_not_run(&mut self, attempt: AttemptId, actions: &mut Vec<AgentAction>) {
        self.keys.store_and_lease().0.record_refusal(attempt);
        actions.push(AgentAction::Evict(attempt));
    }

    /// Records that an attempt ended without a complete answer and may have run.
    pub(super) fn record_may_have_run(
        &mut self,
        attempt: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        self.keys.store_and_lease().0.record_loss(attempt);
        actions.push(AgentAction::Evict(attempt));
    }

    pub(super) fn expire_keys(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let dropped = self.keys.store_and_lease().0.expire(now);
        actions.extend(dropped.into_iter().map(AgentAction::Evict));
    }

    /// Releases the slot reserved for an offer that does not run.
    pub(super) fn release_offered_slot(&mut self, now: Now, offer: &Offer) {
        let config = self.config.as_deref();
        let team = config.and_then(|config| config.names.teams.by_tag(offer.team));
        let Some(team) = team.filter(|_| offer.pulled) else {
            return;
        };
        let class = offer.class;
        let key = BidKey { team, class };
        if let Some((reservation, _)) = self.pulls.consume(now.mono, offer.router, key) {
            let reservation = Reservation {
                count: 1,
                ..reservation
            };
            self.release_slots(now, vec![(offer.router, reservation)]);
        }
    }
}

/// The action that answers an offer according to a deduplication decision.
fn answer(attempt: AttemptId, decision: DedupDecision) -> AgentAction {
    match decision {
        DedupDecision::Start => AgentAction::Start(attempt),
        DedupDecision::Follow(original) => AgentAction::Follow { attempt, original },
        DedupDecision::Replay(original) => AgentAction::Replay { attempt, original },
        DedupDecision::Refuse { refusal, proof } => AgentAction::Reject {
            attempt,
            refusal,
            proof,
        },
        DedupDecision::Unknown(refusal) => AgentAction::Unknown { attempt, refusal },
    }
}

fn describe(decision: &DedupDecision) -> String {
    match decision {
        DedupDecision::Start => "new key".to_owned(),
        DedupDecision::Follow(original) => {
            format!("waits for the answer of {original}, which is running")
        }
        DedupDecision::Replay(original) => format!("replays the stored answer of {original}"),
        DedupDecision::Refuse { refusal, .. } => format!("not run: {}", refusal.reason),
        DedupDecision::Unknown(refusal) => format!("unknown: {}", refusal.reason),
    }
}

/// The action that rejects an attempt that was not started.
pub(super) fn rejection(attempt: AttemptId, refusal: Refusal) -> AgentAction {
    AgentAction::Reject {
        attempt,
        refusal,
        proof: SendPermit::new().cancel(),
    }
}
