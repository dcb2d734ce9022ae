//! Tracks how recently the active configuration was confirmed to be current.
//!
//! A revoked API key must stop working on every router within a configured time,
//! even on a router that cannot reach the configuration service. A router
//! therefore accepts keys only while its configuration was confirmed recently
//! enough.
//!
//! Invariant: a confirmation is never dated later than the earliest moment at
//! which the service can have produced its response. Times are read from a clock
//! that keeps running while the VM is suspended.

use std::time::Duration;

use derive_more::{Display, From, Into};

/// A timestamp of a clock that includes time spent suspended, relative to an
/// arbitrary origin.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Debug, From, Into, Display)]
#[display("{:.3}s", _0.as_secs_f64())]
pub struct Uptime(pub Duration);

impl Uptime {
    /// The time elapsed since `earlier`, or zero if `earlier` is later than
    /// `self`.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// The part of the revocation time that is reserved for a request to reach a
/// target and start.
pub const REVOCATION_MARGIN: Duration = Duration::from_millis(1200);

/// The maximum delay of an empty watch response beyond the requested wait for
/// which the response is assumed to date from the end of the wait.
const MAX_WATCH_RESPONSE_DELAY: Duration = Duration::from_millis(250);

/// The time at which the active configuration was last confirmed to be current.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Confirmation {
    confirmed_at: Option<Uptime>,
    revocation_time: Option<Duration>,
}

impl Confirmation {
    /// Creates a state without a confirmation. `revocation_time` is the time
    /// within which a revoked key must stop working, if there is such a limit.
    pub fn new(revocation_time: Option<Duration>) -> Self {
        Self {
            confirmed_at: None,
            revocation_time,
        }
    }

    /// Records that a read sent at `sent` returned the current state.
    pub fn record_read(&mut self, sent: Uptime) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// Records that a watch sent at `sent` with a wait of `wait` returned at
    /// `now` without a change.
    ///
    /// The service responds to such a watch when the wait has elapsed, so the
    /// state was current at that time. For a response that arrived early or late,
    /// only the time at which the watch was sent is certain.
    pub fn record_unchanged(&mut self, sent: Uptime, wait: Duration, now: Uptime) {
        let elapsed = now.since(sent);
        let is_on_time = elapsed >= wait && elapsed < wait + MAX_WATCH_RESPONSE_DELAY;
        let confirmed_at = if is_on_time {
            Uptime(sent.0 + wait)
        } else {
            sent
        };
        self.record_read(confirmed_at);
    }

    /// The time since the last confirmation.
    pub fn age(&self, now: Uptime) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.since(confirmed_at))
    }

    /// Whether API keys may be accepted at `now`.
    pub fn allows_keys(&self, now: Uptime) -> bool {
        match (self.age(now), self.revocation_time) {
            (Some(age), Some(revocation_time)) => age + REVOCATION_MARGIN < revocation_time,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// The time of the last confirmation.
    pub fn confirmed_at(&self) -> Option<Uptime> {
        self.confirmed_at
    }
}
