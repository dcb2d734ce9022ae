//! The limits of a team at one router.
//!
//! A refusal states when to come back: after the time in which the bucket gains
//! a token, or in which the queue drains by one at the rate seen lately.

use std::time::{Duration, Instant};

use entity::{Reason, Refusal, RetryAdvice, TeamId};
use rules::Team;
use rustc_hash::FxHashMap;

/// The least and the greatest time that a refused caller is told to wait.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(60));

/// How long a refused caller should wait before a drain rate was seen.
const RETRY_UNKNOWN: Duration = Duration::from_secs(1);

/// The time over which the drain rate is averaged.
const DRAIN_WINDOW: Duration = Duration::from_secs(5);

/// Milli-tokens that one request costs.
const TOKEN: u64 = 1000;

/// What one team holds at the router.
#[derive(Clone, Debug)]
struct Usage {
    in_flight: u32,
    waiting: u32,
    tokens: u64,
    filled: Instant,
    drained: u32,
    since: Instant,
    rate: f64,
}

/// The use of limits by all teams that hold anything.
#[derive(Clone, Default, Debug)]
pub struct Limiter {
    usage: FxHashMap<TeamId, Usage>,
}

impl Limiter {
    /// Counts an arrival in, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the team is over a limit.
    pub fn admit(&mut self, now: Instant, id: TeamId, team: &Team) -> Result<(), Refusal> {
        let burst = team
            .limits
            .rate
            .map_or(0, |rate| u64::from(rate.burst.max(1)) * TOKEN);
        let usage = self
            .usage
            .entry(id)
            .or_insert_with(|| Usage::new(now, burst));
        if let Some(rate) = team.limits.rate {
            usage.fill(now, rate.rate, burst);
        }
        let held = usage.in_flight + usage.waiting;
        let refuse = |reason, wait: Duration| {
            let wait = wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
            Err(Refusal::new(reason, RetryAdvice::After(wait)).by_rule(team.rule))
        };
        match team.limits.rate {
            _ if held >= team.limits.in_flight => {
                refuse(Reason::TeamLimit, usage.drain_time(now, 1))
            }
            Some(rate) if usage.tokens < TOKEN => {
                let missing = TOKEN - usage.tokens;
                let millis = missing.div_ceil(u64::from(rate.rate.max(1)));
                refuse(Reason::TeamLimit, Duration::from_millis(millis))
            }
            Some(_) => {
                usage.tokens -= TOKEN;
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
    /// Returns the refusal if the queue is full; the request is then counted out.
    pub fn enqueue(&mut self, now: Instant, id: TeamId, team: &Team) -> Result<(), Refusal> {
        let usage = self.usage.get_mut(&id).expect("the request was admitted");
        if usage.waiting >= team.limits.queue {
            let over = usage.waiting - team.limits.queue + 1;
            let wait = usage.drain_time(now, over);
            self.leave(id);
            let wait = wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
            return Err(
                Refusal::new(Reason::QueueFull, RetryAdvice::After(wait)).by_rule(team.rule)
            );
        }
        usage.in_flight -= 1;
        usage.waiting += 1;
        Ok(())
    }

    /// Puts an attempt that was handed back among the waiting, over the limit if need be.
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
            usage.drain(now);
        }
    }

    /// Counts a waiting request out that was never sent.
    pub fn abandon(&mut self, id: TeamId) {
        if let Some(usage) = self.usage.get_mut(&id) {
            usage.waiting -= 1;
        }
    }

    /// Counts a request in flight out.
    pub fn leave(&mut self, id: TeamId) {
        if let Some(usage) = self.usage.get_mut(&id) {
            usage.in_flight -= 1;
        }
    }

    /// The time in which the queue of a team drains by one at the rate seen lately.
    pub fn drain_time(&self, now: Instant, id: TeamId) -> Duration {
        let usage = self.usage.get(&id);
        let time = usage.map_or(RETRY_BOUNDS.0, |usage| {
            usage.drain_time(now, usage.waiting.max(1))
        });
        time.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1)
    }

    /// The number of requests that a team holds here.
    pub fn held(&self, id: TeamId) -> u32 {
        self.usage
            .get(&id)
            .map_or(0, |usage| usage.in_flight + usage.waiting)
    }

    /// Forgets teams that hold nothing and whose bucket has had time to fill.
    pub fn prune(&mut self, now: Instant) {
        self.usage.retain(|_, usage| {
            let idle = usage.in_flight + usage.waiting == 0;
            !(idle && now > usage.filled.max(usage.since) + RETRY_BOUNDS.1)
        });
    }
}

impl Usage {
    fn new(now: Instant, tokens: u64) -> Self {
        Self {
            in_flight: 0,
            waiting: 0,
            tokens,
            filled: now,
            drained: 0,
            since: now,
            rate: 0.0,
        }
    }

    fn fill(&mut self, now: Instant, rate: u32, burst: u64) {
        let elapsed = now.saturating_duration_since(self.filled);
        let gained = elapsed.as_micros() as u64 * u64::from(rate) / 1000;
        if gained > 0 {
            self.tokens = (self.tokens + gained).min(burst);
            self.filled = now;
        }
    }

    fn drain(&mut self, now: Instant) {
        self.drained += 1;
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed >= DRAIN_WINDOW {
            self.rate = f64::from(self.drained) / elapsed.as_secs_f64();
            self.drained = 0;
            self.since = now;
        }
    }

    fn drain_time(&self, now: Instant, requests: u32) -> Duration {
        let age = now.saturating_duration_since(self.since);
        if self.rate == 0.0 && self.drained == 0 && age < DRAIN_WINDOW {
            return RETRY_UNKNOWN;
        }
        let elapsed = age.as_secs_f64();
        let current = f64::from(self.drained) / elapsed.max(1.0);
        let rate = self.rate.max(current);
        let seconds = f64::from(requests) / rate.max(1.0 / RETRY_BOUNDS.1.as_secs_f64());
        Duration::from_secs_f64(seconds.min(RETRY_BOUNDS.1.as_secs_f64()))
    }
}
