//! Whether a router has more to do than it can.
//!
//! The balancer spreads callers evenly over VMs of unequal strength. A weak one
//! that falls behind makes all its callers wait, while a strong one beside it has
//! time. So a router that is late with its own periods says that it is not ready
//! and closes connections after their answers, and its callers go elsewhere. It
//! closes none for longer than that takes: where they come back all the same,
//! every router of the data centre is strained and new connections only cost more. When
//! it is ready again the balancer sends it as many as before, so it stays away the
//! longer the sooner it falls behind again.
//!
//! Invariant: a router is strained no longer than [`LONGEST_REST`] after it last
//! fell behind.

use std::time::{Duration, Instant};

/// The delay of a period from which on a router has fallen behind: what a request
/// waits there is spent at each of its steps.
pub const LAG_LIMIT: Duration = Duration::from_millis(30);

/// How long connections are closed after their answers. The balancer notices
/// within two of its checks, one a second.
pub const CLOSE_TIME: Duration = Duration::from_secs(3);

/// The delay of a period from which on new connections are turned away: what is
/// taken in then waits so long at each step that even its end comes too late.
pub const SHED_LAG: Duration = Duration::from_millis(150);

/// How long connections are turned away after such a delay.
pub const SHED_TIME: Duration = Duration::from_millis(300);

/// The delay from which on the process was suspended: it has nothing to catch up with.
/// A router under load was seen to be late by a second and a half.
pub const SUSPENDED: Duration = Duration::from_millis(3_000);

/// How long a router stays away the first time.
pub const FIRST_REST: Duration = Duration::from_secs(8);

/// The longest time for which it stays away.
pub const LONGEST_REST: Duration = Duration::from_secs(30);

/// Whether a router is strained, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Strain {
    rest: Duration,
    until: Option<Instant>,
    /// When the present strain began.
    began: Option<Instant>,
    shed: Option<Instant>,
}

impl Default for Strain {
    fn default() -> Self {
        Self {
            rest: FIRST_REST,
            until: None,
            began: None,
            shed: None,
        }
    }
}

impl Strain {
    /// Notes how late a period began, and whether few more connections can be
    /// taken; returns whether the router is strained.
    pub fn note(&mut self, lag: Duration, is_crowded: bool, now: Instant) -> bool {
        let is_behind = lag > LAG_LIMIT && lag < SUSPENDED;
        if is_behind && lag > SHED_LAG {
            self.shed = Some(now + SHED_TIME);
        }
        if is_behind || is_crowded {
            if !self.is_strained(now) {
                self.began = Some(now);
                let is_early = self.until.is_some_and(|until| now < until + self.rest);
                self.rest = match is_early {
                    true => (self.rest * 2).min(LONGEST_REST),
                    false => FIRST_REST,
                };
            }
            self.until = Some(now + self.rest);
        }
        self.is_strained(now)
    }

    /// Whether connections are closed after their answers.
    pub fn closes(&self, now: Instant) -> bool {
        self.is_strained(now) && self.began.is_some_and(|began| now < began + CLOSE_TIME)
    }

    /// Whether new connections, and requests on old ones, are turned away.
    pub fn sheds(&self, now: Instant) -> bool {
        self.shed.is_some_and(|until| now < until)
    }

    fn is_strained(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
