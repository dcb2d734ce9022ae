//! The agent's memory of keys that run at most once.
//!
//! The agent calls [`OnceMemory::offered`] for each offer with a key, before any
//! other check: a refusal for want of a slot, by a drain or by quarantine is true
//! only for a key that this memory covers and has not started. On [`OnceVerdict::Start`] it either frees the key with
//! [`OnceMemory::release`] and refuses, or calls
//! [`OnceMemory::may_hand_over`] right before the first byte goes to the target
//! and [`OnceMemory::ended`] or [`OnceMemory::lost`] when the attempt ends. The
//! driver holds the bytes of answers and drops those that `ended` and
//! [`OnceMemory::tick`] return. An offer that follows an attempt ends as that
//! attempt ends, at the same moment.
//!
//! Invariants:
//! - A key is handed over at most once in the life of the agent, and only by
//!   the life that its ticket names or by the confirmed home whose memory covers it.
//! - A key that was handed over is remembered until it expires.
//! - `Refuse` is returned only where the key provably has not run anywhere.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use entity::{
    AttemptId, Fingerprint, IdempotencyKey, Incarnation, NotSent, Now, Reason, Refusal,
    RetryAdvice, SendPermit, Sent, Tag, Ticket,
};

use crate::home::{Bounds, Vouch};

/// The longest time between the decision to start an attempt and its hand-over.
pub const HAND_OVER: Duration = Duration::from_secs(5);

/// How long a caller waits before it repeats a key whose home is in doubt.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// What the memory knows of its agent, and its limits.
#[derive(Clone, Copy, Debug)]
pub struct OnceSettings {
    /// The agent.
    pub agent: Tag,
    /// Its life.
    pub incarnation: Incarnation,
    /// When this life began, by its own wall clock.
    pub started: SystemTime,
    /// The bounds that the whole fleet shares.
    pub bounds: Bounds,
    /// The greatest number of keys.
    pub max_keys: usize,
    /// The greatest size of all held answers in bytes.
    pub max_bytes: u64,
    /// The longest time between the decision to start and the hand-over.
    pub hand_over: Duration,
}

/// What to do with an offered key.
#[derive(Clone, PartialEq, Debug)]
pub enum OnceVerdict {
    /// Run the attempt.
    Start,
    /// Answer with the answer of this running attempt.
    Follow(AttemptId),
    /// Answer with the held answer of this attempt.
    Replay(AttemptId),
    /// Refuse: not run.
    Refuse {
        /// Why.
        refusal: Refusal,
        /// The proof.
        proof: NotSent,
    },
    /// Answer that the key may have run.
    Unknown(Refusal),
}

#[derive(Debug)]
enum State {
    Decided { at: Now, right: SendPermit },
    Running(Sent),
    Held { bytes: u64, order: u64 },
    Dropped,
    Lost,
}

#[derive(Debug)]
struct Entry {
    fingerprint: Fingerprint,
    attempt: AttemptId,
    expires: SystemTime,
    state: State,
}

/// The keys that one life of an agent has started.
#[derive(Debug)]
pub struct OnceMemory {
    settings: OnceSettings,
    entries: BTreeMap<IdempotencyKey, Entry>,
    attempts: BTreeMap<AttemptId, IdempotencyKey>,
    expiries: BTreeSet<(SystemTime, IdempotencyKey)>,
    held: BTreeMap<u64, IdempotencyKey>,
    bytes: u64,
    order: u64,
    latest: SystemTime,
}

impl OnceMemory {
    /// Creates the empty memory of a new life.
    pub fn new(settings: OnceSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            attempts: BTreeMap::new(),
            expiries: BTreeSet::new(),
            held: BTreeMap::new(),
            bytes: 0,
            order: 0,
            latest: settings.started,
        }
    }

    /// Takes a later incarnation; tickets of the earlier one are refused from now on.
    pub fn raise(&mut self, incarnation: Incarnation) {
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

    /// The size of the held answers in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.bytes
    }

    /// Decides about an offered key.
    pub fn offered(
        &mut self,
        now: Now,
        vouch: &Vouch,
        attempt: AttemptId,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
    ) -> OnceVerdict {
        // The wall clock must not step back behind an expiry that was acted on.
        self.latest = self.latest.max(now.wall);
        let known = self.entries.get(&key);
        if let Some(entry) = known.filter(|entry| self.latest < entry.expires) {
            return recall(entry, attempt, fingerprint);
        }
        if let Err(verdict) = self.check(vouch, &key) {
            return verdict;
        }
        if self.attempts.contains_key(&attempt) {
            return unknown(Reason::EarlierRunUnknown, RetryAdvice::VerifyFirst);
        }
        if self.entries.len() >= self.settings.max_keys {
            let first = self.expiries.first().map(|&(at, _)| at);
            let wait = first.and_then(|at| at.duration_since(self.latest).ok());
            let wait = RetryAdvice::After(wait.unwrap_or(RETRY_DELAY));
            return refuse(Reason::KeyMemoryFull, wait);
        }
        self.insert(now, attempt, key, fingerprint);
        OnceVerdict::Start
    }

    /// Decides, right before the send, whether the attempt may still be handed over.
    ///
    /// After `Ok` the key counts as run. After `Err` the key is free again, and
    /// offers that follow the attempt end in the same way.
    ///
    /// # Errors
    ///
    /// Returns the verdict to answer with if the process was paused since the
    /// decision, the key has expired, or its home is no longer certain.
    pub fn may_hand_over(
        &mut self,
        now: Now,
        vouch: &Vouch,
        attempt: AttemptId,
    ) -> Result<(), OnceVerdict> {
        self.latest = self.latest.max(now.wall);
        let key = self.attempts.get(&attempt).copied();
        let entry = key.and_then(|key| self.entries.get(&key));
        let (Some(key), Some(Entry { state, .. })) = (key, entry) else {
            return Err(unknown(Reason::KeyExpired, RetryAdvice::VerifyFirst));
        };
        let State::Decided { at, .. } = state else {
            return Err(unknown(Reason::EarlierRunUnknown, RetryAdvice::VerifyFirst));
        };
        let late = elapsed(*at, now) > self.settings.hand_over;
        let checked = match self.check(vouch, &key) {
            Ok(()) if late => Err(refuse(
                Reason::HandOverLate,
                RetryAdvice::After(Duration::ZERO),
            )),
            checked => checked,
        };
        if let Err(verdict) = checked {
            self.forget(&key);
            return Err(verdict);
        }
        let entry = self.entries.get_mut(&key).expect("entry was found");
        if let State::Decided { right, .. } = std::mem::replace(&mut entry.state, State::Lost) {
            entry.state = State::Running(right.begin());
        }
        Ok(())
    }

    /// Frees the key of an attempt that was not handed over.
    ///
    /// An attempt that was handed over stays remembered.
    pub fn release(&mut self, attempt: AttemptId) {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let entry = self.entries.get(&key);
        if entry.is_some_and(|entry| matches!(entry.state, State::Decided { .. })) {
            self.forget(&key);
        }
    }

    /// Frees the key of an attempt that the target refused before it ran anything.
    pub fn refused(&mut self, attempt: AttemptId) {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let entry = self.entries.get(&key);
        let open = |entry: &Entry| matches!(entry.state, State::Decided { .. } | State::Running(_));
        if entry.is_some_and(open) {
            self.forget(&key);
        }
    }

    /// Notes that the attempt's answer of `bytes` bytes is whole and held.
    ///
    /// Returns the attempts whose answers the driver must drop, oldest first.
    pub fn ended(&mut self, attempt: AttemptId, bytes: u64) -> Vec<AttemptId> {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            return vec![attempt];
        };
        let order = self.order;
        let entry = self.entries.get_mut(&key).expect("attempts name entries");
        if !matches!(entry.state, State::Running(_)) {
            return Vec::new();
        }
        entry.state = State::Held { bytes, order };
        self.held.insert(order, key);
        self.order += 1;
        self.bytes += bytes;
        self.evict()
    }

    /// Notes that the attempt ended without a whole answer after its hand-over.
    pub fn lost(&mut self, attempt: AttemptId) {
        let key = self.attempts.get(&attempt).copied();
        let entry = key.and_then(|key| self.entries.get_mut(&key));
        if let Some(entry) = entry.filter(|entry| matches!(entry.state, State::Running(_))) {
            entry.state = State::Lost;
        }
    }

    /// Forgets expired keys and returns the attempts whose answers the driver must drop.
    pub fn tick(&mut self, now: Now) -> Vec<AttemptId> {
        self.latest = self.latest.max(now.wall);
        let mut dropped = Vec::new();
        while let Some(&(at, key)) = self.expiries.first() {
            if self.latest < at {
                break;
            }
            let entry = self.forget(&key).expect("expiries name entries");
            if matches!(entry.state, State::Held { .. }) {
                dropped.push(entry.attempt);
            }
        }
        dropped
    }

    fn check(&self, vouch: &Vouch, key: &IdempotencyKey) -> Result<(), OnceVerdict> {
        let bounds = self.settings.bounds;
        let issued = key.issued();
        // No clock of the fleet has come near this issue time, so nobody has started it.
        if issued > self.latest + 2 * bounds.skew {
            return Err(refuse(Reason::KeyFuture, RetryAdvice::Never));
        }
        match key {
            IdempotencyKey::Ticket(ticket) => self.check_ticket(ticket)?,
            IdempotencyKey::Caller(_) => self.check_home(vouch, key)?,
        }
        if self.latest >= key.expires(bounds.lifetime) {
            return Err(unknown(Reason::KeyExpired, RetryAdvice::VerifyFirst));
        }
        match issued.duration_since(self.latest + bounds.skew) {
            Ok(ahead) if !ahead.is_zero() => {
                Err(refuse(Reason::KeyFuture, RetryAdvice::After(ahead)))
            }
            _ => Ok(()),
        }
    }

    fn check_ticket(&self, ticket: &Ticket) -> Result<(), OnceVerdict> {
        let life = (ticket.agent, ticket.incarnation);
        let longest = self.settings.bounds.lifetime.as_millis() as u64;
        match life == (self.settings.agent, self.settings.incarnation) {
            false => Err(unknown(Reason::KeyNotCovered, RetryAdvice::VerifyFirst)),
            true if ticket.expires.saturating_sub(ticket.issued) > longest => {
                Err(refuse(Reason::KeyMalformed, RetryAdvice::Never))
            }
            true => Ok(()),
        }
    }

    fn check_home(&self, vouch: &Vouch, key: &IdempotencyKey) -> Result<(), OnceVerdict> {
        let issued = key.issued();
        let home = vouch.roster().home(key) == Some(self.settings.agent);
        // An earlier life may have accepted a key up to one skew ahead of its own
        // clock, which may itself be one skew ahead of this one.
        let covered = issued > self.settings.started + 2 * self.settings.bounds.skew;
        match () {
            // No later confirmation of the home lets this life start the key.
            () if home && !covered => Err(unknown(Reason::KeyNotCovered, RetryAdvice::VerifyFirst)),
            () if !home || !vouch.vouches(issued) => Err(unknown(
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
        let state = State::Decided {
            at: now,
            right: SendPermit::new(),
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

    fn forget(&mut self, key: &IdempotencyKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.attempts.remove(&entry.attempt);
        self.expiries.remove(&(entry.expires, *key));
        if let State::Held { bytes, order } = entry.state {
            self.held.remove(&order);
            self.bytes -= bytes;
        }
        Some(entry)
    }

    fn evict(&mut self) -> Vec<AttemptId> {
        let mut dropped = Vec::new();
        while self.bytes > self.settings.max_bytes {
            let (_, key) = self.held.pop_first().expect("bytes are held");
            let entry = self.entries.get_mut(&key).expect("held names entries");
            if let State::Held { bytes, .. } = entry.state {
                self.bytes -= bytes;
            }
            entry.state = State::Dropped;
            dropped.push(entry.attempt);
        }
        dropped
    }
}

/// Whether an attempt that was decided on may not be handed over any more.
///
/// The traffic thread asks right before its send, by its own reading of the clocks.
pub fn is_late(decided: Now, now: Now) -> bool {
    elapsed(decided, now) > HAND_OVER
}

/// The longer of both clocks' intervals: a suspended VM may stop its monotonic clock.
fn elapsed(from: Now, to: Now) -> Duration {
    let mono = to.mono.saturating_duration_since(from.mono);
    let wall = to.wall.duration_since(from.wall).unwrap_or_default();
    mono.max(wall)
}

fn recall(entry: &Entry, attempt: AttemptId, fingerprint: Fingerprint) -> OnceVerdict {
    if entry.fingerprint != fingerprint {
        // A caller may have changed the body of a request that did run.
        return unknown(Reason::KeyReused, RetryAdvice::VerifyFirst);
    }
    match entry.state {
        // The same attempt delivered twice must not wait for itself.
        State::Decided { .. } | State::Running(_) if entry.attempt == attempt => {
            unknown(Reason::EarlierRunUnknown, RetryAdvice::VerifyFirst)
        }
        State::Decided { .. } | State::Running(_) => OnceVerdict::Follow(entry.attempt),
        State::Held { .. } => OnceVerdict::Replay(entry.attempt),
        State::Dropped => unknown(Reason::AnswerDropped, RetryAdvice::VerifyFirst),
        State::Lost => unknown(Reason::EarlierRunUnknown, RetryAdvice::VerifyFirst),
    }
}

fn refuse(reason: Reason, retry: RetryAdvice) -> OnceVerdict {
    OnceVerdict::Refuse {
        refusal: Refusal::new(reason, retry),
        proof: SendPermit::new().cancel(),
    }
}

fn unknown(reason: Reason, retry: RetryAdvice) -> OnceVerdict {
    OnceVerdict::Unknown(Refusal::new(reason, retry))
}
