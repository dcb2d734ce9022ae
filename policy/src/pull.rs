//! Pulls: slots that an agent has promised to waiting requests.
//!
//! Invariant: a reserved slot is given back exactly once, by the arrival of a
//! request, by an answer with a smaller count, or by the loss of the pull.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use entity::{Cost, Incarnation, ProcessId};

use crate::bid::BidKey;

/// How long an agent keeps slots for a pull that is not answered.
pub const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Slots reserved for the requests of one team and class.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Reservation {
    /// The team and class.
    pub key: BidKey,
    /// The number of slots.
    pub count: u16,
    /// What the team was charged for each.
    pub charge: Cost,
}

#[derive(Clone, Debug)]
struct Open {
    router: ProcessId,
    sent: Instant,
    asked: Vec<Reservation>,
    arrived: Vec<u16>,
    answered: bool,
}

impl Open {
    /// Whether it was answered and every request has arrived.
    fn is_done(&self) -> bool {
        self.answered && self.asked.iter().all(|pick| pick.count == 0)
    }
}

/// The pulls of an agent that are under way.
#[derive(Clone, Default, Debug)]
pub struct PullTable {
    open: BTreeMap<u64, Open>,
    sequence: u64,
    reserved: u16,
}

impl PullTable {
    /// Reserves slots for a new pull and returns its sequence number.
    pub fn open(&mut self, now: Instant, router: ProcessId, asked: Vec<Reservation>) -> u64 {
        self.sequence += 1;
        self.reserved += asked.iter().map(|pick| pick.count).sum::<u16>();
        let arrived = vec![0; asked.len()];
        let open = Open {
            router,
            sent: now,
            asked,
            arrived,
            answered: false,
        };
        self.open.insert(self.sequence, open);
        self.sequence
    }

    /// The number of slots that are reserved.
    pub fn reserved(&self) -> u16 {
        self.reserved
    }

    /// Uses a reservation for a request that arrived; returns it and the age of the pull.
    pub fn arrive(
        &mut self,
        now: Instant,
        router: ProcessId,
        key: BidKey,
    ) -> Option<(Reservation, Duration)> {
        let fits = |pick: &Reservation| pick.count > 0 && pick.key.team == key.team;
        let (&sequence, index) = self.open.iter().find_map(|(sequence, open)| {
            let index = open.asked.iter().position(fits)?;
            (open.router == router).then_some((sequence, index))
        })?;
        let open = self.open.get_mut(&sequence).expect("found above");
        open.asked[index].count -= 1;
        open.arrived[index] += 1;
        let pick = Reservation {
            count: 1,
            ..open.asked[index]
        };
        let age = now.saturating_duration_since(open.sent);
        self.reserved -= 1;
        if open.is_done() {
            self.open.remove(&sequence);
        }
        Some((pick, age))
    }

    /// Takes in an answer; returns the picks and the slots that were given back for each.
    pub fn answered(
        &mut self,
        router: ProcessId,
        sequence: u64,
        counts: &[u16],
    ) -> Vec<Reservation> {
        let Some(open) = self.open.get_mut(&sequence) else {
            return Vec::new();
        };
        if open.router != router {
            return Vec::new();
        }
        let mut returned = Vec::with_capacity(open.asked.len());
        for (index, pick) in open.asked.iter_mut().enumerate() {
            let granted = counts.get(index).copied().unwrap_or(0);
            let due = granted.saturating_sub(open.arrived[index]);
            let surplus = pick.count.saturating_sub(due);
            pick.count -= surplus;
            self.reserved -= surplus;
            returned.push(Reservation {
                count: surplus,
                ..*pick
            });
        }
        open.answered = true;
        if open.is_done() {
            self.open.remove(&sequence);
        }
        returned
    }

    /// Gives up a pull; returns the slots that were given back.
    pub fn lost(&mut self, router: ProcessId, sequence: u64) -> Vec<Reservation> {
        match self.open.get(&sequence) {
            Some(open) if open.router == router => self.close(sequence),
            _ => Vec::new(),
        }
    }

    /// Gives up pulls older than [`PULL_TIMEOUT`]; returns the slots that were given back.
    pub fn expire(&mut self, now: Instant) -> Vec<(ProcessId, Reservation)> {
        let old = |(_, open): &(&u64, &Open)| now >= open.sent + PULL_TIMEOUT;
        let old: Vec<_> = self
            .open
            .iter()
            .filter(old)
            .map(|(&sequence, _)| sequence)
            .collect();
        let mut returned = Vec::new();
        for sequence in old {
            let router = self.open[&sequence].router;
            let picks = self.close(sequence);
            returned.extend(picks.into_iter().map(|pick| (router, pick)));
        }
        returned
    }

    fn close(&mut self, sequence: u64) -> Vec<Reservation> {
        let open = self.open.remove(&sequence).expect("the pull is open");
        self.reserved -= open.asked.iter().map(|pick| pick.count).sum::<u16>();
        open.asked
    }
}

/// Recognises repeated pulls of one agent.
#[derive(Clone, Copy, Default, Debug)]
pub struct SequenceWindow {
    incarnation: Incarnation,
    top: u64,
    seen: u64,
}

impl SequenceWindow {
    /// Whether this number is met for the first time; numbers far below the
    /// greatest count as met.
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
        if sequence > self.top {
            let shift = sequence - self.top;
            self.seen = self.seen.checked_shl(shift.min(64) as u32).unwrap_or(0) | 1;
            self.top = sequence;
            return true;
        }
        let bit = self.top - sequence;
        let fresh = bit < 64 && self.seen & (1 << bit) == 0;
        if fresh {
            self.seen |= 1 << bit;
        }
        fresh
    }
}
