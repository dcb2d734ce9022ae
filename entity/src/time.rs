//! The clock interface.
//!
//! Decision logic never reads a clock; it receives a [`Now`] with each event.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// One reading of both clocks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Now {
    /// Monotonic time, for intervals and timeouts.
    pub mono: Instant,
    /// Wall-clock time, for comparison with times made by other processes.
    pub wall: SystemTime,
}

impl Now {
    /// The reading `delay` later on both clocks.
    #[must_use]
    pub fn after(self, delay: Duration) -> Self {
        Self {
            mono: self.mono + delay,
            wall: self.wall + delay,
        }
    }
}

/// A source of time.
pub trait Clock {
    /// Reads both clocks.
    fn now(&self) -> Now;
}

/// The operating system's clocks.
#[derive(Clone, Copy, Default, Debug)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Now {
        Now {
            mono: Instant::now(),
            wall: SystemTime::now(),
        }
    }
}

/// A clock that moves only when told, for tests and scenarios.
#[derive(Debug)]
pub struct ManualClock {
    now: Mutex<Now>,
}

impl ManualClock {
    /// Creates a clock that reads `wall`.
    pub fn new(wall: SystemTime) -> Self {
        Self {
            now: Mutex::new(Now {
                mono: Instant::now(),
                wall,
            }),
        }
    }

    /// Moves both clocks forward.
    ///
    /// # Panics
    ///
    /// Panics if another user of the clock panicked while reading it.
    pub fn advance(&self, by: Duration) {
        let mut now = self.now.lock().expect("clock lock");
        *now = now.after(by);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Now {
        *self.now.lock().expect("clock lock")
    }
}
