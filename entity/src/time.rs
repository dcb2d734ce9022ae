//! The clock interface.
//!
//! Decision logic never reads a clock; it is passed a [`Now`] with each event.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// A reading of the monotonic and the wall clock.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Now {
    /// Monotonic time, for intervals and timeouts.
    pub mono: Instant,
    /// Wall-clock time, for comparison with timestamps of other processes.
    pub wall: SystemTime,
}

impl Now {
    /// Returns the reading advanced by `delay` on both clocks.
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

/// A manually advanced clock for tests and scenarios.
#[derive(Debug)]
pub struct ManualClock {
    now: Mutex<Now>,
}

impl ManualClock {
    /// Creates a clock whose wall-clock time is `wall`.
    pub fn new(wall: SystemTime) -> Self {
        Self {
            now: Mutex::new(Now {
                mono: Instant::now(),
                wall,
            }),
        }
    }

    /// Advances both clocks.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the clock's lock.
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
