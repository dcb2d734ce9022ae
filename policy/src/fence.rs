//! Who may give orders to an engine, and with which number.
//!
//! Invariants:
//! - Fencing numbers rise: within a life with each order, between lives with
//!   the incarnation.
//! - A [`Permit`] is given only to a life that holds the target exclusively, that
//!   no later life has replaced and that has run without a pause since it last
//!   looked; it must be used at once.

use std::time::{Duration, Instant};

use derive_more::Display;
use entity::Incarnation;
use serde::{Deserialize, Serialize};

/// The time between two looks at the clock after which a process counts as paused.
pub const MAX_GAP: Duration = Duration::from_millis(500);

/// How long after it was given a permit may be used.
pub const PERMIT_LIFE: Duration = Duration::from_millis(100);

/// A fencing number; an engine that checks them refuses lower ones than it has seen.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

/// The number of low bits that hold the sequence of orders within a life.
///
/// Incarnations are microseconds since the epoch, which leaves room for these until 2112.
const SEQUENCE_BITS: u32 = 12;

impl FencingNumber {
    /// The number of an order of a life; `None` if the life has used all of its numbers.
    fn new(incarnation: Incarnation, sequence: u64) -> Option<Self> {
        let fits = sequence < 1 << SEQUENCE_BITS;
        fits.then_some(Self(incarnation.0 << SEQUENCE_BITS | sequence))
    }
}

/// The right to give one order now.
#[derive(PartialEq, Eq, Debug)]
#[must_use]
pub struct Permit {
    number: FencingNumber,
    until: Instant,
}

impl Permit {
    /// The number to send with the order; `None` if the permit is too old to be used.
    pub fn redeem(self, now: Instant) -> Option<FencingNumber> {
        (now < self.until).then_some(self.number)
    }
}

/// Why no permit is given.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum Denied {
    /// The process does not hold the target exclusively.
    #[display("no exclusive hold")]
    NotHeld,
    /// A later life of the agent exists.
    #[display("superseded")]
    Superseded,
    /// The process was paused; the hold must be proved again.
    #[display("paused")]
    Paused,
    /// The life has used all of its numbers and must be started again.
    #[display("no fencing number left")]
    Exhausted,
}

/// One life's right to give orders to its target.
#[derive(Clone, Debug)]
pub struct Fence {
    incarnation: Incarnation,
    sequence: u64,
    held: bool,
    superseded: bool,
    looked: Option<Instant>,
}

impl Fence {
    /// Creates the fence of a life that holds nothing yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            held: false,
            superseded: false,
            looked: None,
        }
    }

    /// Notes whether the process holds the target: its exclusive local port is bound.
    pub fn hold(&mut self, now: Instant, held: bool) {
        self.held = held;
        self.looked = Some(now);
    }

    /// Notes that a later life of the agent exists; this one gives no order any more.
    pub fn supersede(&mut self) {
        self.superseded = true;
    }

    /// Looks at the clock, which has to happen at least once per [`MAX_GAP`].
    pub fn tick(&mut self, now: Instant) {
        if self.paused(now) {
            self.held = false;
        }
        self.looked = Some(now);
    }

    /// Gives the right to one order.
    ///
    /// # Errors
    ///
    /// Returns why no order may be given.
    pub fn permit(&mut self, now: Instant) -> Result<Permit, Denied> {
        match () {
            () if self.superseded => Err(Denied::Superseded),
            () if self.paused(now) => {
                self.held = false;
                self.looked = Some(now);
                Err(Denied::Paused)
            }
            () if !self.held => Err(Denied::NotHeld),
            () => {
                self.sequence += 1;
                let number = FencingNumber::new(self.incarnation, self.sequence);
                let until = now + PERMIT_LIFE;
                let permit = number.map(|number| Permit { number, until });
                permit.ok_or(Denied::Exhausted)
            }
        }
    }

    fn paused(&self, now: Instant) -> bool {
        let gap = |looked| now.saturating_duration_since(looked) > MAX_GAP;
        self.looked.is_none_or(gap)
    }
}
