//! Fencing of the orders that an agent sends to its engine.
//!
//! Invariants:
//! - Fencing numbers increase with each order of an incarnation, and with each
//!   new incarnation.
//! - A [`Permit`] is issued only to an incarnation that holds the target
//!   exclusively, that no later incarnation has replaced and that has not been
//!   paused since its last tick. A permit expires after [`PERMIT_LIFETIME`].

use std::time::{Duration, Instant};

use derive_more::Display;
use entity::Incarnation;
use serde::{Deserialize, Serialize};

/// The longest time between two ticks before the process counts as paused.
pub const MAX_TICK_GAP: Duration = Duration::from_millis(500);

/// How long a permit is valid after it was issued.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(100);

/// A fencing number; an engine that checks them refuses one that is lower than the highest
/// it has seen.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

/// The number of low bits that hold the sequence number of an order within an incarnation.
///
/// Incarnations are microseconds since the epoch, so the shifted value fits into 64 bits
/// until 2112.
const SEQUENCE_BITS: u32 = 12;

impl FencingNumber {
    /// Composes the number of an order; `None` if the incarnation has used all of its numbers.
    fn new(incarnation: Incarnation, sequence: u64) -> Option<Self> {
        let fits = sequence < 1 << SEQUENCE_BITS;
        fits.then_some(Self(incarnation.0 << SEQUENCE_BITS | sequence))
    }
}

/// Permission to send one order within [`PERMIT_LIFETIME`].
#[derive(PartialEq, Eq, Debug)]
#[must_use]
pub struct Permit {
    number: FencingNumber,
    until: Instant,
}

impl Permit {
    /// Consumes the permit; `None` if it has expired.
    pub fn into_number(self, now: Instant) -> Option<FencingNumber> {
        (now < self.until).then_some(self.number)
    }
}

/// Why no permit is issued.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum PermitError {
    /// The process does not hold the target exclusively.
    #[display("no exclusive hold")]
    NotHeld,
    /// A later incarnation of the agent exists.
    #[display("superseded")]
    Superseded,
    /// The process was paused; it must prove again that it holds the target.
    #[display("paused")]
    Paused,
    /// The incarnation has used all of its numbers; the agent must restart.
    #[display("no fencing number left")]
    Exhausted,
}

/// Issues the permits of one incarnation for orders to its target.
#[derive(Clone, Debug)]
pub struct Fence {
    incarnation: Incarnation,
    sequence: u64,
    held: bool,
    superseded: bool,
    last_tick: Option<Instant>,
}

impl Fence {
    /// Creates the fence of an incarnation that does not hold its target yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            held: false,
            superseded: false,
            last_tick: None,
        }
    }

    /// Records whether the process holds the target, that is, has bound its exclusive local port.
    pub fn set_held(&mut self, now: Instant, held: bool) {
        self.held = held;
        self.last_tick = Some(now);
    }

    /// Records that a later incarnation of the agent exists; this one issues no more permits.
    pub fn supersede(&mut self) {
        self.superseded = true;
    }

    /// Records the time. A gap longer than [`MAX_TICK_GAP`] between calls counts as a pause.
    pub fn tick(&mut self, now: Instant) {
        if self.is_paused(now) {
            self.held = false;
        }
        self.last_tick = Some(now);
    }

    /// Issues a permit for one order.
    ///
    /// # Errors
    ///
    /// Returns why no order may be sent.
    pub fn permit(&mut self, now: Instant) -> Result<Permit, PermitError> {
        match () {
            () if self.superseded => Err(PermitError::Superseded),
            () if self.is_paused(now) => {
                self.held = false;
                self.last_tick = Some(now);
                Err(PermitError::Paused)
            }
            () if !self.held => Err(PermitError::NotHeld),
            () => {
                self.sequence += 1;
                let number = FencingNumber::new(self.incarnation, self.sequence);
                let until = now + PERMIT_LIFETIME;
                let permit = number.map(|number| Permit { number, until });
                permit.ok_or(PermitError::Exhausted)
            }
        }
    }

    fn is_paused(&self, now: Instant) -> bool {
        let is_gap = |last_tick| now.saturating_duration_since(last_tick) > MAX_TICK_GAP;
        self.last_tick.is_none_or(is_gap)
    }
}
