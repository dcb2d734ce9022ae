//! Pulls: slots that an agent has reserved for waiting requests.
//!
//! Invariant: a reserved slot is released exactly once, by the arrival of a
//! request, by a reply with a smaller count, or by the loss of the pull.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use entity::{Cost, Incarnation, ProcessId};

use crate::bid::BidKey;

/// How long an agent keeps the slots of an unanswered pull reserved.
pub const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Slots reserved for the requests of one team and class.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Reservation {
    /// The team and class.
    pub key: BidKey,
    /// The number of slots.
    pub count: u16,
    /// The cost charged to the team for each slot.
    pub charge: Cost,
}

#[derive(Clone, Debug)]
struct OutstandingPull {
    router: ProcessId,
    sent: Instant,
    requested: Vec<Reservation>,
    received: Vec<u16>,
    replied: bool,
}

impl OutstandingPull {
    /// Whether the reply and all granted requests have arrived.
    fn is_complete(&self) -> bool {
        self.replied
            && self
                .requested
                .iter()
                .all(|reservation| reservation.count == 0)
    }
}

/// The outstanding pulls of an agent.
#[derive(Clone, Default, Debug)]
pub struct PullTable {
    outstanding: BTreeMap<u64, OutstandingPull>,
    sequence: u64,
    reserved: u16,
}

impl PullTable {
    /// Reserves slots for a new pull and returns its sequence number.
    pub fn open(&mut self, now: Instant, router: ProcessId, requested: Vec<Reservation>) -> u64 {
        self.sequence += 1;
        self.reserved += requested
            .iter()
            .map(|reservation| reservation.count)
            .sum::<u16>();
        let received = vec![0; requested.len()];
        let pull = OutstandingPull {
            router,
            sent: now,
            requested,
            received,
            replied: false,
        };
        self.outstanding.insert(self.sequence, pull);
        self.sequence
    }

    /// The number of slots that are reserved.
    pub fn reserved(&self) -> u16 {
        self.reserved
    }

    /// Consumes the reservation for a request that arrived; returns it and the age of the pull.
    pub fn consume(
        &mut self,
        now: Instant,
        router: ProcessId,
        key: BidKey,
    ) -> Option<(Reservation, Duration)> {
        let fits =
            |reservation: &Reservation| reservation.count > 0 && reservation.key.team == key.team;
        let (&sequence, index) = self.outstanding.iter().find_map(|(sequence, pull)| {
            let index = pull.requested.iter().position(fits)?;
            (pull.router == router).then_some((sequence, index))
        })?;
        let pull = self.outstanding.get_mut(&sequence).expect("found above");
        pull.requested[index].count -= 1;
        pull.received[index] += 1;
        let reservation = Reservation {
            count: 1,
            ..pull.requested[index]
        };
        let age = now.saturating_duration_since(pull.sent);
        self.reserved -= 1;
        if pull.is_complete() {
            self.outstanding.remove(&sequence);
        }
        Some((reservation, age))
    }

    /// Applies a reply; returns each reservation with the number of slots released from it.
    pub fn apply_reply(
        &mut self,
        router: ProcessId,
        sequence: u64,
        counts: &[u16],
    ) -> Vec<Reservation> {
        let Some(pull) = self.outstanding.get_mut(&sequence) else {
            return Vec::new();
        };
        if pull.router != router {
            return Vec::new();
        }
        let mut released = Vec::with_capacity(pull.requested.len());
        for (index, reservation) in pull.requested.iter_mut().enumerate() {
            let granted = counts.get(index).copied().unwrap_or(0);
            let due = granted.saturating_sub(pull.received[index]);
            let surplus = reservation.count.saturating_sub(due);
            reservation.count -= surplus;
            self.reserved -= surplus;
            released.push(Reservation {
                count: surplus,
                ..*reservation
            });
        }
        pull.replied = true;
        if pull.is_complete() {
            self.outstanding.remove(&sequence);
        }
        released
    }

    /// Abandons a pull; returns the released slots.
    pub fn abandon(&mut self, router: ProcessId, sequence: u64) -> Vec<Reservation> {
        match self.outstanding.get(&sequence) {
            Some(pull) if pull.router == router => self.remove(sequence),
            _ => Vec::new(),
        }
    }

    /// Abandons pulls older than [`PULL_TIMEOUT`]; returns the released slots.
    pub fn expire(&mut self, now: Instant) -> Vec<(ProcessId, Reservation)> {
        let expired = |(_, pull): &(&u64, &OutstandingPull)| now >= pull.sent + PULL_TIMEOUT;
        let expired: Vec<_> = self
            .outstanding
            .iter()
            .filter(expired)
            .map(|(&sequence, _)| sequence)
            .collect();
        let mut released = Vec::new();
        for sequence in expired {
            let router = self.outstanding[&sequence].router;
            let reservations = self.remove(sequence);
            released.extend(
                reservations
                    .into_iter()
                    .map(|reservation| (router, reservation)),
            );
        }
        released
    }

    fn remove(&mut self, sequence: u64) -> Vec<Reservation> {
        let pull = self
            .outstanding
            .remove(&sequence)
            .expect("the pull is outstanding");
        self.reserved -= pull
            .requested
            .iter()
            .map(|reservation| reservation.count)
            .sum::<u16>();
        pull.requested
    }
}

/// Replay window that detects duplicate pulls of one agent.
#[derive(Clone, Copy, Default, Debug)]
pub struct SequenceWindow {
    incarnation: Incarnation,
    highest: u64,
    seen: u64,
}

impl SequenceWindow {
    /// Returns whether this number is new; numbers 64 or more below the highest count as
    /// already seen.
    pub fn accept(&mut self, incarnation: Incarnation, sequence: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self {
                incarnation,
                ..Self::default()
            };
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = self.seen.checked_shl(shift.min(64) as u32).unwrap_or(0) | 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        let fresh = age < 64 && self.seen & (1 << age) == 0;
        if fresh {
            self.seen |= 1 << age;
        }
        fresh
    }
}
