//! Deduplication of idempotency keys that run at most once.
//!
//! The agent calls [`DedupStore::decide`] for each offer with a key, before any
//! other check: a refusal because of a missing slot, a drain or a quarantine may say
//! "not run" only for a key that this store covers and has not started. On
//! [`DedupDecision::Start`] the agent either refuses the offer and frees the key with
//! [`DedupStore::release`], or calls [`DedupStore::begin_send`] immediately before
//! the first byte is sent to the target, and [`DedupStore::record_answer`],
//! [`DedupStore::record_refusal`] or [`DedupStore::record_loss`] when the attempt
//! ends. The driver holds the bytes of answers and drops those that `record_answer`
//! and [`DedupStore::expire`] return. An offer that follows a running attempt ends
//! together with that attempt and with the same result.
//!
//! A store covers a ticket that names its agent and incarnation, and a caller's key
//! that was issued more than two skews after the start of the incarnation, because no
//! earlier incarnation can have started such a key.
//!
//! Invariants:
//! - A key is sent to the target at most once by an incarnation of the agent, and only
//!   by the incarnation that its ticket names or by the confirmed home whose store
//!   covers it.
//! - A key that was sent is remembered until it expires.
//! - `Refuse` is returned only if the key provably has not run anywhere.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use entity::{
    AttemptId, Fingerprint, IdempotencyKey, Incarnation, NotSent, Now, Reason, Refusal,
    RetryAdvice, SendPermit, Sent, Tag, Ticket,
};

use crate::home::{Bounds, RosterLease};

/// The maximum time between the decision to start an attempt and its send to the target.
pub const MAX_SEND_DELAY: Duration = Duration::from_secs(5);

/// The delay after which a caller may retry a key whose home is not confirmed.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// The agent of a store, and the limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct DedupSettings {
    /// The agent.
    pub agent: Tag,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The start of this incarnation by its own wall clock.
    pub started: SystemTime,
    /// The bounds that all processes of the fleet share.
    pub bounds: Bounds,
    /// The maximum number of keys.
    pub max_keys: usize,
    /// The maximum total size of stored answers in bytes.
    pub max_bytes: u64,
    /// The maximum time between the decision to start an attempt and its send to the target.
    pub max_send_delay: Duration,
}

/// The decision about an offered key.
#[derive(Clone, PartialEq, Debug)]
pub enum DedupDecision {
    /// Run the attempt.
    Start,
    /// Answer with the answer of this running attempt when it ends.
    Follow(AttemptId),
    /// Answer with the stored answer of this attempt.
    Replay(AttemptId),
    /// Refuse the offer as not run.
    Refuse {
        /// The refusal to answer with.
        refusal: Refusal,
        /// The proof that the key was not sent.
        proof: NotSent,
    },
    /// Answer that the outcome is unknown: the key may have run.
    Unknown(Refusal),
}

#[derive(Debug)]
enum State {
    Accepted { at: Now, permit: SendPermit },
    Running(Sent),
    Answered { bytes: u64, number: u64 },
    AnswerEvicted,
    OutcomeUnknown,
}

#[derive(Debug)]
struct Entry {
    fingerprint: Fingerprint,
    attempt: AttemptId,
    expires: SystemTime,
    state: State,
}

/// The keys that one incarnation of an agent has started, and their states.
#[derive(Debug)]
pub struct DedupStore {
    settings: DedupSettings,
    entries: BTreeMap<IdempotencyKey, Entry>,
    attempts: BTreeMap<AttemptId, IdempotencyKey>,
    expiries: BTreeSet<(SystemTime, IdempotencyKey)>,
    /// The keys with a stored answer; answers are numbered in the order of their arrival.
    answered: BTreeMap<u64, IdempotencyKey>,
    answer_bytes: u64,
    next_answer: u64,
    latest_wall: SystemTime,
}

impl DedupStore {
    /// Creates the empty store of a new incarnation.
    pub fn new(settings: DedupSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            attempts: BTreeMap::new(),
            expiries: BTreeSet::new(),
            answered: BTreeMap::new(),
            answer_bytes: 0,
            next_answer: 0,
            latest_wall: settings.started,
        }
    }

    /// Sets a later incarnation; tickets for the earlier one are no longer accepted.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.settings.incarnation = incarnation;
    }

    /// The number of remembered keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The total size of the stored answers in bytes.
    pub fn answer_bytes(&self) -> u64 {
        self.answer_bytes
    }

    /// Decides how to handle an offered key.
    pub fn decide(
        &mut self,
        now: Now,
        lease: &RosterLease,
        attempt: AttemptId,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
    ) -> DedupDecision {
        // A wall clock that steps back must not revive a key that has already expired.
        self.latest_wall = self.latest_wall.max(now.wall);
        let known = self.entries.get(&key);
        if let Some(entry) = known.filter(|entry| self.latest_wall < entry.expires) {
            return decide_known(entry, attempt, fingerprint);
        }
        if let Err(decision) = self.check_may_start(lease, &key) {
            return decision;
        }
        if self.attempts.contains_key(&attempt) {
            return unknown(Reason::EarlierRunUnknown, RetryAdvice::VerifyFirst);
        }
        if self.entries.len() >= self.settings.max_keys {
            let first = self.expiries.first().map(|&(at, _)| at);
            let wait = first.and_then(|at| at.duration_since(self.latest_wall).ok());
            let wait = RetryAdvice::After(wait.unwrap_or(RETRY_DELAY));
            return refuse(Reason::KeyMemoryFull, wait);
        }
        self.insert(now, attempt, key, fingerprint);
        DedupDecision::Start
    }

    /// Uses the attempt's permit if the attempt may still be sent to the target.
    ///
    /// The agent calls this immediately before the send. After `Ok` the key counts as
    /// run. After `Err` for an attempt that was accepted, the key is free again, and
    /// offers that follow the attempt end in the same way.
    ///
    /// # Errors
    ///
    /// Returns the decision to answer with if the process was paused since the
    /// decision, the key has expired, or its home is no longer confirmed.
    pub fn begin_send(
        &mut self,
        now: Now,
        lease: &RosterLease,
        attempt: AttemptId,
    ) -> Result<(), DedupDecision> {
        self.latest_wall = self.latest_wall.max(now.wall);
        let key = self.attempts.get(&attempt).copied();
        let entry = key.and_then(|key| self.entries.get(&key));
        let (Some(key), Some(Entry { state, .. })) = (key, entry) else {
            return Err(unknown(Reason::KeyExpired, RetryAdvice::VerifyFirst));
        };
        let State::Accepted { at, .. } = state else {
            return Err(unknown(Reason::EarlierRunUnknown, RetryAdvice::VerifyFirst));
        };
        let late = max_elapsed(*at, now) > self.settings.max_send_delay;
        let checked = match self.check_may_start(lease, &key) {
            Ok(()) if late => Err(refuse(
                Reason::HandOverLate,
                RetryAdvice::After(Duration::ZERO),
            )),
            checked => checked,
        };
        if let Err(decision) = checked {
            self.remove(&key);
            return Err(decision);
        }
        let entry = self.entries.get_mut(&key).expect("entry was found");
        if let State::Accepted { permit, .. } =
            std::mem::replace(&mut entry.state, State::OutcomeUnknown)
        {
            entry.state = State::Running(permit.begin());
        }
        Ok(())
    }

    /// Frees the key of an attempt that was not sent.
    ///
    /// The key of an attempt that was sent is kept.
    pub fn release(&mut self, attempt: AttemptId) {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let entry = self.entries.get(&key);
        if entry.is_some_and(|entry| matches!(entry.state, State::Accepted { .. })) {
            self.remove(&key);
        }
    }

    /// Frees the key of an attempt that the target refused without running anything.
    pub fn record_refusal(&mut self, attempt: AttemptId) {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let entry = self.entries.get(&key);
        let open =
            |entry: &Entry| matches!(entry.state, State::Accepted { .. } | State::Running(_));
        if entry.is_some_and(open) {
            self.remove(&key);
        }
    }

    /// Records that the attempt's whole answer of `bytes` bytes is stored.
    ///
    /// Returns the attempts whose answers the driver must drop, oldest first.
    pub fn record_answer(&mut self, attempt: AttemptId, bytes: u64) -> Vec<AttemptId> {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            return vec![attempt];
        };
        let number = self.next_answer;
        let entry = self
            .entries
            .get_mut(&key)
            .expect("each attempt has an entry");
        if !matches!(entry.state, State::Running(_)) {
            return Vec::new();
        }
        entry.state = State::Answered { bytes, number };
        self.answered.insert(number, key);
        self.next_answer += 1;
        self.answer_bytes += bytes;
        self.evict_answers()
    }

    /// Records that the attempt ended without a whole answer after its send.
    pub fn record_loss(&mut self, attempt: AttemptId) {
        let key = self.attempts.get(&attempt).copied();
        let entry = key.and_then(|key| self.entries.get_mut(&key));
        if let Some(entry) = entry.filter(|entry| matches!(entry.state, State::Running(_))) {
            entry.state = State::OutcomeUnknown;
        }
    }

    /// Removes expired keys and returns the attempts whose answers the driver must drop.
    pub fn expire(&mut self, now: Now) -> Vec<AttemptId> {
        self.latest_wall = self.latest_wall.max(now.wall);
        let mut evicted = Vec::new();
        while let Some(&(at, key)) = self.expiries.first() {
            if self.latest_wall < at {
                break;
            }
            let entry = self.remove(&key).expect("each expiry has an entry");
            if matches!(entry.state, State::Answered { .. }) {
                evicted.push(entry.attempt);
            }
        }
        evicted
    }

    /// Checks that this incarnation may start a key, apart from what it remembers of the key.
    fn check_may_start(
        &self,
        lease: &RosterLease,
        key: &IdempotencyKey,
    ) -> Result<(), DedupDecision> {
        let bounds = self.settings.bounds;
        let issued = key.issued();
        // No clock of the fleet can have reached this issue time, so no agent has started the key.
        if issued > self.latest_wall + 2 * bounds.skew {
            return Err(refuse(Reason::KeyFuture, RetryAdvice::Never));
        }
        match key {
            IdempotencyKey::Ticket(ticket) => self.check_ticket(ticket)?,
            IdempotencyKey::Caller(_) => self.check_home(lease, key)?,
        }
        if self.latest_wall >= key.expires(bounds.lifetime) {
            return Err(unknown(Reason::KeyExpired, RetryAdvice::VerifyFirst));
        }
        match issued.duration_since(self.latest_wall + bounds.skew) {
            Ok(ahead) if !ahead.is_zero() => {
                Err(refuse(Reason::KeyFuture, RetryAdvice::After(ahead)))
            }
            _ => Ok(()),
        }
    }

    fn check_ticket(&self, ticket: &Ticket) -> Result<(), DedupDecision> {
        let named = (ticket.agent, ticket.incarnation);
        let longest = self.settings.bounds.lifetime.as_millis() as u64;
        match named == (self.settings.agent, self.settings.incarnation) {
            false => Err(unknown(Reason::KeyNotCovered, RetryAdvice::VerifyFirst)),
            true if ticket.expires.saturating_sub(ticket.issued) > longest => {
                Err(refuse(Reason::KeyMalformed, RetryAdvice::Never))
            }
            true => Ok(()),
        }
    }

    fn check_home(&self, lease: &RosterLease, key: &IdempotencyKey) -> Result<(), DedupDecision> {
        let issued = key.issued();
        let home = lease.roster().home(key) == Some(self.settings.agent);
        // An earlier incarnation may have accepted a key issued up to one skew ahead of its
        // own clock, which may itself be one skew ahead of this clock.
        let covered = issued > self.settings.started + 2 * self.settings.bounds.skew;
        match () {
            // Retrying does not help: no later confirmation of the home allows this
            // incarnation to start the key.
            () if home && !covered => Err(unknown(Reason::KeyNotCovered, RetryAdvice::VerifyFirst)),
            () if !home || !lease.confirms_home(issued) => Err(unknown(
                Reason::HomeUnconfirmed,
                RetryAdvice::After(RETRY_DELAY),
            )),
            () => Ok(()),
        }
    }

    fn insert(
        &mut self,
        now: Now,
        attempt: AttemptId,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
    ) {
        let expires = key.expires(self.settings.bounds.lifetime);
        let state = State::Accepted {
            at: now,
            permit: SendPermit::new(),
        };
        self.expiries.insert((expires, key));
        self.attempts.insert(attempt, key);
        let entry = Entry {
            fingerprint,
            attempt,
            expires,
            state,
        };
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &IdempotencyKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.attempts.remove(&entry.attempt);
        self.expiries.remove(&(entry.expires, *key));
        if let State::Answered { bytes, number } = entry.state {
            self.answered.remove(&number);
            self.answer_bytes -= bytes;
        }
        Some(entry)
    }

    fn evict_answers(&mut self) -> Vec<AttemptId> {
        let mut evicted = Vec::new();
        while self.answer_bytes > self.settings.max_bytes {
            let (_, key) = self
                .answered
                .pop_first()
                .expect("stored bytes belong to an answered key");
            let entry = self
                .entries
                .get_mut(&key)
                .expect("each answered key has an entry");
            if let State::Answered { bytes, .. } = entry.state {
                self.answer_bytes -= bytes;
            }
            entry.state = State::AnswerEvicted;
            evicted.push(entry.attempt);
        }
        evicted
    }
}

/// Whether it is too late to send an attempt that was accepted at `decided`.
///
/// The thread that sends the attempt calls this immediately before its send, with its own
/// reading of the clocks.
pub fn is_send_late(decided: Now, now: Now) -> bool {
    max_elapsed(decided, now) > MAX_SEND_DELAY
}

/// The longer of the two clocks' intervals, because a suspended VM may stop its monotonic clock.
fn max_elapsed(from: Now, to: Now) -> Duration {
    let mono = to.mono.saturating_duration_since(from.mono);
    let wall = to.wall.duration_since(from.wall).unwrap_or_default();
    mono.max(wall)
}

fn decide_known(entry: &Entry, attempt: AttemptId, fingerprint: Fingerprint) -> DedupDecision {
    if entry.fingerprint != fingerprint {
        // The caller may have changed the body of a request that has run.
        return unknown(Reason::KeyReused, RetryAdvice::VerifyFirst);
    }
    match entry.state {
        // An attempt that is delivered twice must not wait for itself.
        State::Accepted { .. } | State::Running(_) if entry.attempt == attempt => {
            unknown(Reason::EarlierRunUnknown, RetryAdvice::VerifyFirst)
        }
        State::Accepted { .. } | State::Running(_) => DedupDecision::Follow(entry.attempt),
        State::Answered { .. } => DedupDecision::Replay(entry.attempt),
        State::AnswerEvicted => unknown(Reason::AnswerDropped, RetryAdvice::VerifyFirst),
        State::OutcomeUnknown => unknown(Reason::EarlierRunUnknown, RetryAdvice::VerifyFirst),
    }
}

fn refuse(reason: Reason, retry: RetryAdvice) -> DedupDecision {
    DedupDecision::Refuse {
        refusal: Refusal::new(reason, retry),
        proof: SendPermit::new().cancel(),
    }
}

fn unknown(reason: Reason, retry: RetryAdvice) -> DedupDecision {
    DedupDecision::Unknown(Refusal::new(reason, retry))
}
