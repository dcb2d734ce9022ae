//! Per-team limits at one router.
//!
//! A refusal carries a retry delay: the time until the token bucket gains a token,
//! or until the queue shrinks by one request at its recent drain rate.

use std::time::{Duration, Instant};

use entity::{Reason, Refusal, RetryAdvice, TeamId};
use rules::Team;
use rustc_hash::FxHashMap;

/// The minimum and maximum retry delay in a refusal.
const RETRY_DELAY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(60));

/// The retry delay in a refusal while the drain rate is unknown.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The time over which the drain rate is averaged.
const DRAIN_WINDOW: Duration = Duration::from_secs(5);

/// The price of one request, in thousandths of a token.
const REQUEST_PRICE: u64 = 1000;

/// The limit usage of one team at the router.
#[derive(Clone, Debug)]
struct Usage {
    in_flight: u32,
    waiting: u32,
    tokens: u64,
    refilled_at: Instant,
    dequeued: u32,
    drain_window_start: Instant,
    rate: f64,
}

/// The limit usage of all teams with requests at this router.
#[derive(Clone, Default, Debug)]
pub struct Limiter {
    usage: FxHashMap<TeamId, Usage>,
}

impl Limiter {
    /// Admits an arriving request, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the team is over a limit.
    pub fn admit(&mut self, now: Instant, id: TeamId, team: &Team) -> Result<(), Refusal> {
        let burst = team
            .limits
            .rate
            .map_or(0, |rate| u64::from(rate.burst.max(1)) * REQUEST_PRICE);
        let usage = self
            .usage
            .entry(id)
            .or_insert_with(|| Usage::new(now, burst));
        if let Some(rate) = team.limits.rate {
            usage.refill(now, rate.rate, burst);
        }
        let total = usage.in_flight + usage.waiting;
        let refuse = |reason, wait: Duration| {
            let wait = wait.clamp(RETRY_DELAY_BOUNDS.0, RETRY_DELAY_BOUNDS.1);
            Err(Refusal::new(reason, RetryAdvice::After(wait)).by_rule(team.rule))
        };
        match team.limits.rate {
            _ if total >= team.limits.in_flight => {
                refuse(Reason::TeamLimit, usage.drain_time(now, 1))
            }
            Some(rate) if usage.tokens < REQUEST_PRICE => {
                let missing = REQUEST_PRICE - usage.tokens;
                let millis = missing.div_ceil(u64::from(rate.rate.max(1)));
                refuse(Reason::TeamLimit, Duration::from_millis(millis))
            }
            Some(_) => {
                usage.tokens -= REQUEST_PRICE;
                usage.in_flight += 1;
                Ok(())
            }
            None => {
                usage.in_flight += 1;
                Ok(())
            }
        }
    }

    /// Moves an admitted request to the queue, or refuses it when the queue is full.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the queue is full; the request then no longer counts as in flight.
    pub fn enqueue(&mut self, now: Instant, id: TeamId, team: &Team) -> Result<(), Refusal> {
        let usage = self.usage.get_mut(&id).expect("the request was admitted");
        if usage.waiting >= team.limits.queue {
            let over = usage.waiting - team.limits.queue + 1;
            let wait = usage.drain_time(now, over);
            self.remove_in_flight(id);
            let wait = wait.clamp(RETRY_DELAY_BOUNDS.0, RETRY_DELAY_BOUNDS.1);
            return Err(
                Refusal::new(Reason::QueueFull, RetryAdvice::After(wait)).by_rule(team.rule)
            );
        }
        usage.in_flight -= 1;
        usage.waiting += 1;
        Ok(())
    }

    /// Moves a request whose attempt did not run back to the queue, even beyond the queue limit.
    pub fn requeue(&mut self, id: TeamId) {
        if let Some(usage) = self.usage.get_mut(&id) {
            usage.in_flight -= 1;
            usage.waiting += 1;
        }
    }

    /// Moves a waiting request to those in flight.
    pub fn dequeue(&mut self, now: Instant, id: TeamId) {
        if let Some(usage) = self.usage.get_mut(&id) {
            usage.waiting -= 1;
            usage.in_flight += 1;
            usage.record_dequeue(now);
        }
    }

    /// Removes a waiting request that was never sent.
    pub fn remove_waiting(&mut self, id: TeamId) {
        if let Some(usage) = self.usage.get_mut(&id) {
            usage.waiting -= 1;
        }
    }

    /// Removes a request in flight.
    pub fn remove_in_flight(&mut self, id: TeamId) {
        if let Some(usage) = self.usage.get_mut(&id) {
            usage.in_flight -= 1;
        }
    }

    /// The estimated time until a request at the end of a team's queue is dequeued, at the
    /// recent drain rate.
    pub fn drain_time(&self, now: Instant, id: TeamId) -> Duration {
        let usage = self.usage.get(&id);
        let time = usage.map_or(RETRY_DELAY_BOUNDS.0, |usage| {
            usage.drain_time(now, usage.waiting.max(1))
        });
        time.clamp(RETRY_DELAY_BOUNDS.0, RETRY_DELAY_BOUNDS.1)
    }

    /// The number of requests of a team at this router, waiting or in flight.
    pub fn total(&self, id: TeamId) -> u32 {
        self.usage
            .get(&id)
            .map_or(0, |usage| usage.in_flight + usage.waiting)
    }

    /// Drops teams without requests whose token bucket has had time to refill.
    pub fn prune(&mut self, now: Instant) {
        self.usage.retain(|_, usage| {
            let idle = usage.in_flight + usage.waiting == 0;
            !(idle && now > usage.refilled_at.max(usage.drain_window_start) + RETRY_DELAY_BOUNDS.1)
        });
    }
}

impl Usage {
    fn new(now: Instant, tokens: u64) -> Self {
        Self {
            in_flight: 0,
            waiting: 0,
            tokens,
            refilled_at: now,
            dequeued: 0,
            drain_window_start: now,
            rate: 0.0,
        }
    }

    fn refill(&mut self, now: Instant, rate: u32, burst: u64) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let gained = elapsed.as_micros() as u64 * u64::from(rate) / 1000;
        if gained > 0 {
            self.tokens = (self.tokens + gained).min(burst);
            self.refilled_at = now;
        }
    }

    fn record_dequeue(&mut self, now: Instant) {
        self.dequeued += 1;
        let elapsed = now.saturating_duration_since(self.drain_window_start);
        if elapsed >= DRAIN_WINDOW {
            self.rate = f64::from(self.dequeued) / elapsed.as_secs_f64();
            self.dequeued = 0;
            self.drain_window_start = now;
        }
    }

    fn drain_time(&self, now: Instant, requests: u32) -> Duration {
        let age = now.saturating_duration_since(self.drain_window_start);
        if self.rate == 0.0 && self.dequeued == 0 && age < DRAIN_WINDOW {
            return DEFAULT_RETRY_DELAY;
        }
        let elapsed = age.as_secs_f64();
        let current = f64::from(self.dequeued) / elapsed.max(1.0);
        let rate = self.rate.max(current);
        let seconds = f64::from(requests) / rate.max(1.0 / RETRY_DELAY_BOUNDS.1.as_secs_f64());
        Duration::from_secs_f64(seconds.min(RETRY_DELAY_BOUNDS.1.as_secs_f64()))
    }
}
