//! Overload detection of this router.
//!
//! The load balancer distributes callers evenly over VMs of unequal capacity. An
//! overloaded small VM delays all its callers while a larger one next to it has
//! capacity to spare. A router whose periodic tasks run late is therefore overloaded
//! for a while; [`super::rotation`] decides whether it leaves the balancer's rotation
//! then. Once back, a router gets as many callers from the load balancer as before, so
//! each relapse shortly after a recovery doubles the time of the overload.
//!
//! Connections that are already open stay; [`super::admission`] limits what a router
//! takes on.
//!
//! Invariant: a router is overloaded for at most [`MAX_UNREADY_TIME`] after the last
//! late task.

use std::time::{Duration, Instant};

/// The lag of a periodic task above which a router is overloaded. A request is
/// delayed by the lag at each of its steps.
pub const MAX_LAG: Duration = Duration::from_millis(30);

/// The lag of a periodic task above which new connections are rejected. Their
/// requests would be delayed at each step and complete too late to be useful.
pub const SHED_LAG: Duration = Duration::from_millis(150);

/// How long connections are rejected after such a lag.
pub const SHED_DURATION: Duration = Duration::from_millis(300);

/// The lag from which on the process is taken to have been suspended, in which
/// case there is no backlog. A loaded router can be late by a second and a half.
pub const SUSPENSION_LAG: Duration = Duration::from_millis(3_000);

/// The time for which a router is not ready after its first overload.
pub const MIN_UNREADY_TIME: Duration = Duration::from_secs(8);

/// The maximum time for which a router is not ready.
pub const MAX_UNREADY_TIME: Duration = Duration::from_secs(30);

/// The number of connections accepted between two pauses.
pub const ACCEPT_BATCH: u32 = 8;

/// The lag as a multiple of the pause between two batches of connections.
const ACCEPT_PAUSE_DIVISOR: u32 = 8;

/// The overload state of a router.
#[derive(Clone, Copy, Debug)]
pub struct OverloadState {
    unready_time: Duration,
    unready_until: Option<Instant>,
    shed_until: Option<Instant>,
    /// The last lag above [`SHED_LAG`].
    shed_lag: Duration,
}

impl Default for OverloadState {
    fn default() -> Self {
        Self {
            unready_time: MIN_UNREADY_TIME,
            unready_until: None,
            shed_until: None,
            shed_lag: Duration::ZERO,
        }
    }
}

impl OverloadState {
    /// Records the lag of a periodic task, and whether the connection limit is
    /// almost reached. Returns whether the router is overloaded.
    pub fn record_lag(
        &mut self,
        lag: Duration,
        is_near_connection_limit: bool,
        now: Instant,
    ) -> bool {
        let is_late = lag > MAX_LAG && lag < SUSPENSION_LAG;
        if is_late && lag > SHED_LAG {
            self.shed_until = Some(now + SHED_DURATION);
            self.shed_lag = lag;
        }
        if is_late || is_near_connection_limit {
            if !self.is_overloaded(now) {
                let is_relapse = self
                    .unready_until
                    .is_some_and(|until| now < until + self.unready_time);
                self.unready_time = match is_relapse {
                    true => (self.unready_time * 2).min(MAX_UNREADY_TIME),
                    false => MIN_UNREADY_TIME,
                };
            }
            self.unready_until = Some(now + self.unready_time);
        }
        self.is_overloaded(now)
    }

    /// Whether new connections, and requests on existing connections, are
    /// rejected.
    pub fn rejects_connections(&self, now: Instant) -> bool {
        self.shed_until.is_some_and(|until| now < until)
    }

    /// How long to wait after accepting [`ACCEPT_BATCH`] connections.
    ///
    /// Accepting and rejecting connections takes processor time from the requests in
    /// progress. Connections that are not accepted in time are tried elsewhere.
    pub fn accept_pause(&self, now: Instant) -> Option<Duration> {
        self.rejects_connections(now)
            .then(|| self.shed_lag / ACCEPT_PAUSE_DIVISOR)
    }

    fn is_overloaded(&self, now: Instant) -> bool {
        self.unready_until.is_some_and(|until| now < until)
    }
}
