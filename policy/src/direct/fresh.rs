//! Whether the configuration in force may still be acted on.
//!
//! A key that operators withdrew must stop working everywhere within a bound,
//! also on a router that cannot reach the configuration service. So a router
//! acts on keys only while it can show that its configuration was current not
//! long ago.
//!
//! Invariant: a confirmation never claims a later time than the moment at which
//! the service can first have answered. Times are those of a clock that runs
//! while the VM is suspended.

use std::time::Duration;

use derive_more::{Display, From, Into};

/// A reading of a clock that counts suspensions, since an arbitrary origin.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Debug, From, Into, Display)]
#[display("{:.3}s", _0.as_secs_f64())]
pub struct Uptime(pub Duration);

impl Uptime {
    /// The time since an earlier reading; zero if it is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// The part of the bound that is left for a request to reach a target and start.
pub const REVOKE_MARGIN: Duration = Duration::from_millis(1200);

/// The delay of an answer beyond the time that was asked for, up to which an
/// empty answer to a watch is taken to be given at the end of that time.
const PROMPT_ANSWER: Duration = Duration::from_millis(250);

/// When the configuration in force was last known to be current.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Confirmation {
    at: Option<Uptime>,
    bound: Option<Duration>,
}

impl Confirmation {
    /// Nothing is confirmed yet; `bound` is the time within which a withdrawn
    /// key must stop working, if there is one.
    pub fn new(bound: Option<Duration>) -> Self {
        Self { at: None, bound }
    }

    /// A read that was sent at `sent` returned the current state.
    pub fn read(&mut self, sent: Uptime) {
        self.at = self.at.max(Some(sent));
    }

    /// A watch that was sent at `sent` with the wait `wait` returned at `now`
    /// without a change.
    ///
    /// The service answers such a watch when the wait has passed, so the state
    /// was current then. An answer that came early or late is dated back to
    /// when the watch was sent.
    pub fn unchanged(&mut self, sent: Uptime, wait: Duration, now: Uptime) {
        let took = now.since(sent);
        let is_prompt = took >= wait && took < wait + PROMPT_ANSWER;
        let at = if is_prompt {
            Uptime(sent.0 + wait)
        } else {
            sent
        };
        self.read(at);
    }

    /// The age of the confirmation.
    pub fn age(&self, now: Uptime) -> Option<Duration> {
        self.at.map(|at| now.since(at))
    }

    /// Whether keys may be acted on at `now`.
    pub fn allows_keys(&self, now: Uptime) -> bool {
        match (self.age(now), self.bound) {
            (Some(age), Some(bound)) => age + REVOKE_MARGIN < bound,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// When the configuration was last known to be current.
    pub fn at(&self) -> Option<Uptime> {
        self.at
    }
}
