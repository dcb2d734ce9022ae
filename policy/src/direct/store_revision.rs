//! Revisions of a store that may come back from an older copy of itself.
//!
//! A store that does so gives out revisions again; its era rises by one each time. A
//! revision is therefore ordered by its era first.
//!
//! Invariant: a revision of a later era is greater than any of an earlier one.

use std::time::{Duration, Instant};

use derive_more::Display;

use super::target::REREGISTRATION_TIME;

/// The number of bits of a revision within its era.
const REVISION_BITS: u32 = 48;

/// The greatest revision within an era; a greater one counts as this one.
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;

/// The greatest era; a greater one counts as this one.
const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// How long after the era rose entries of the operators may still be missing, since they
/// are written again.
pub const REWRITE_TIME: Duration = REREGISTRATION_TIME;

/// A revision of the store, with its era. Revisions of the first era are the numbers that
/// the store states.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
#[display("{}.{}", self.era(), self.number())]
pub struct StoreRevision(pub u64);

impl StoreRevision {
    /// Creates a revision.
    pub fn new(era: u64, number: u64) -> Self {
        Self(era.min(MAX_ERA) << REVISION_BITS | number.min(MAX_REVISION))
    }

    /// The era.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// The number that the store states.
    pub fn number(self) -> u64 {
        self.0 & MAX_REVISION
    }
}

/// The era of the store as known to one router.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct StoreEra {
    era: Option<u64>,
    risen_at: Option<Instant>,
}

/// What an answer of the store says of its era.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EraChange {
    /// It is the known one, or the first.
    Same,
    /// The store came back from an older copy.
    Risen,
    /// The answer is of a copy that was left behind.
    Old,
}

impl StoreEra {
    /// Records the era of an answer of the store, or of a peer's listing.
    pub fn observe(&mut self, era: u64, now: Instant) -> EraChange {
        let era = era.min(MAX_ERA);
        match self.era.replace(era) {
            Some(known) if era > known => {
                self.risen_at = Some(now);
                EraChange::Risen
            }
            Some(known) if era < known => {
                self.era = Some(known);
                EraChange::Old
            }
            _ => EraChange::Same,
        }
    }

    /// The era; 0 until one is known.
    pub fn get(&self) -> u64 {
        self.era.unwrap_or(0)
    }

    /// Whether what the operators wrote may still be missing from the store.
    pub fn is_being_rewritten(&self, now: Instant) -> bool {
        self.rewritten_in(now).is_some_and(|rest| !rest.is_zero())
    }

    /// The time until what the operators wrote is there again, if the era rose.
    pub fn rewritten_in(&self, now: Instant) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.risen_at?);
        Some(REWRITE_TIME.saturating_sub(elapsed))
    }

    /// Records that the operators' entries were read after they were written again.
    pub fn end_rewrite(&mut self) {
        self.risen_at = None;
    }
}
