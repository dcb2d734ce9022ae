//! How many connections this router accepts and how many requests it has in progress.
//!
//! The load: a flood at a VM of little capacity. Each connection and each refusal costs
//! processor time at once, each request in progress as long as it lasts. The lag of a
//! periodic task shows that it is too much of both, not which of them. Refusals bring
//! callers little, so the rate of arrivals is cut first, and the limit on requests
//! in progress only if the router is still late at the lowest rate.
//!
//! A connection that is not accepted waits in the backlog, and fails at once when that is
//! full; its caller then tries another router.
//!
//! Invariants:
//! - Connections are accepted at [`MIN_ARRIVAL_RATE`] at least.
//! - The limit on requests in progress is at least [`MIN_REQUEST_LIMIT`].

use std::time::{Duration, Instant};

use super::overload::{ACCEPT_BATCH, MAX_LAG, SUSPENSION_LAG};

/// The lag of a periodic task above which less is allowed.
pub const LIMIT_LAG: Duration = Duration::from_millis(80);

/// The minimum rate of arrivals per second. With a shorter backlog than this, no
/// connection waits there for a second, after which its caller leaves.
pub const MIN_ARRIVAL_RATE: f64 = 300.0;

/// The factor by which the rate of arrivals falls at each late task.
const RATE_DECREASE: f64 = 0.7;

/// The relative rise of the rate of arrivals at each task that is on time, and what is
/// added to it at each without lag.
const RATE_INCREASE: f64 = 0.1;
const RATE_GROWTH: f64 = 0.2;

/// The rate of arrivals that is unused, as a time. Longer bursts are spread out.
const MAX_BURST: Duration = Duration::from_millis(30);

/// The minimum limit on requests in progress.
pub const MIN_REQUEST_LIMIT: f64 = 32.0;

/// The factor by which the limit falls at each late task.
const LIMIT_DECREASE: f64 = 0.8;

/// The least rise of the limit at each task that is on time, and the relative rise at each
/// without lag.
const LIMIT_INCREASE: f64 = 2.0;
const LIMIT_GROWTH: f64 = 0.08;

/// The lag at which relative rises end: about what one rise of the limit beyond the
/// processor adds by the next task. Requests in progress last for several tasks, so a
/// limit that rises until a task is late is far too high by then.
const MAX_GROWTH_LAG: Duration = Duration::from_millis(10);

/// The part of the limit that must be in use for it to rise: a limit that is not reached
/// says nothing about the processor.
const MIN_LIMIT_USE: f64 = 0.8;

/// The part of the requests lately carried on time below which the limit does not fall.
const CARRIED_FRACTION: f64 = 0.7;

/// The weight of a task that is on time in the requests lately carried.
const CARRIED_WEIGHT: f64 = 0.2;

/// The factor by which these fall at a late task: to a half within a second.
const CARRIED_DECAY: f64 = 0.93;

/// The multiple of the limit that applies to teams within their share.
const WITHIN_SHARE_FACTOR: f64 = 1.5;

/// How late a periodic task is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Lateness {
    OnTime,
    Slightly,
    Late,
}

impl Lateness {
    fn of(lag: Duration) -> Self {
        match lag {
            // The process was suspended.
            lag if lag >= SUSPENSION_LAG => Self::Slightly,
            lag if lag > LIMIT_LAG => Self::Late,
            lag if lag > MAX_LAG => Self::Slightly,
            _ => Self::OnTime,
        }
    }
}

/// The part of a relative rise that a task with this lag allows.
fn headroom(lag: Duration) -> f64 {
    (1.0 - lag.as_secs_f64() / MAX_GROWTH_LAG.as_secs_f64()).max(0.0)
}

/// The rate at which connections are accepted.
///
/// There is no limit before the first late task.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalRate {
    /// In arrivals per second.
    limit: Option<f64>,
    /// The arrivals allowed at once.
    credit: f64,
    updated_at: Instant,
    /// The arrivals since the last recorded lag, and when that was.
    arrivals: u32,
    recorded_at: Instant,
    /// Whether a connection had to wait since then.
    was_reached: bool,
}

impl ArrivalRate {
    /// Creates an unlimited rate.
    pub fn new(now: Instant) -> Self {
        Self {
            limit: None,
            credit: 0.0,
            updated_at: now,
            arrivals: 0,
            recorded_at: now,
            was_reached: false,
        }
    }

    /// Records the lag of a periodic task.
    pub fn record_lag(&mut self, lag: Duration, now: Instant) {
        let elapsed = now.saturating_duration_since(self.recorded_at);
        let rate = f64::from(self.arrivals) / elapsed.as_secs_f64().max(1e-3);
        let was_reached = std::mem::take(&mut self.was_reached);
        self.arrivals = 0;
        self.recorded_at = now;
        self.limit = match (Lateness::of(lag), self.limit) {
            (Lateness::Late, limit) => {
                let current = limit.map_or(rate, |limit| limit.min(rate));
                Some((current * RATE_DECREASE).max(MIN_ARRIVAL_RATE))
            }
            (Lateness::OnTime, Some(limit)) if was_reached => {
                Some(limit * (1.0 + RATE_INCREASE + RATE_GROWTH * headroom(lag)))
            }
            (_, limit) => limit,
        };
    }

    /// Records an accepted connection.
    pub fn record_arrival(&mut self, now: Instant) {
        self.refill(now);
        self.arrivals += 1;
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// How long to wait before further connections are accepted: until a whole batch may
    /// be, since each wait ends with a wake-up.
    pub fn pause(&mut self, now: Instant) -> Option<Duration> {
        self.refill(now);
        let limit = self.limit?;
        if self.credit >= 1.0 {
            return None;
        }
        self.was_reached = true;
        Some(Duration::from_secs_f64(
            (f64::from(ACCEPT_BATCH) - self.credit) / limit,
        ))
    }

    /// Whether the connection of a request that is refused for lack of processor time is
    /// closed: no rate would bound what its caller sends next.
    pub fn closes_refused(&self) -> bool {
        self.limit.is_some()
    }

    /// Whether the rate is at its minimum.
    pub fn is_at_minimum(&self) -> bool {
        self.limit.is_some_and(|limit| limit <= MIN_ARRIVAL_RATE)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        let Some(limit) = self.limit else {
            return;
        };
        let max_credit = (limit * MAX_BURST.as_secs_f64()).max(f64::from(ACCEPT_BATCH));
        self.credit = (self.credit + elapsed.as_secs_f64() * limit).min(max_credit);
    }
}

/// The limit on requests in progress at this router, adapted to its processor.
///
/// There is no limit before the first late task.
#[derive(Clone, Copy, Default, Debug)]
pub struct RequestLimit {
    limit: Option<f64>,
    /// The requests in progress at recent tasks that were on time.
    carried: f64,
}

impl RequestLimit {
    /// Records the lag of a periodic task, the number of requests in progress, and whether
    /// the rate of arrivals is at its minimum.
    pub fn record_lag(&mut self, lag: Duration, requests: usize, is_rate_at_minimum: bool) {
        let requests = requests as f64;
        let lateness = Lateness::of(lag);
        match lateness {
            Lateness::OnTime => self.carried += (requests - self.carried) * CARRIED_WEIGHT,
            Lateness::Slightly => {}
            Lateness::Late => self.carried *= CARRIED_DECAY,
        }
        let min_limit = (self.carried * CARRIED_FRACTION).max(MIN_REQUEST_LIMIT);
        self.limit = match self.limit {
            Some(limit) if lateness == Lateness::Late && is_rate_at_minimum => {
                Some((limit.min(requests) * LIMIT_DECREASE).max(min_limit))
            }
            None if lateness == Lateness::Late => Some((requests * LIMIT_DECREASE).max(min_limit)),
            Some(limit) if lateness == Lateness::OnTime && requests >= limit * MIN_LIMIT_USE => {
                Some(limit + (limit * LIMIT_GROWTH * headroom(lag)).max(LIMIT_INCREASE))
            }
            limit => limit,
        };
    }

    /// The greatest number of requests in progress, if there is a limit.
    pub fn max_places(&self) -> Option<f64> {
        self.limit.map(|limit| limit * WITHIN_SHARE_FACTOR)
    }

    /// Whether a request may begin while `requests` others are in progress.
    pub fn allows(&self, requests: usize, is_within_share: bool) -> bool {
        let factor = match is_within_share {
            true => WITHIN_SHARE_FACTOR,
            false => 1.0,
        };
        self.limit
            .is_none_or(|limit| (requests as f64) < limit * factor)
    }
}
