//! Retry budget of this router, per service.
//!
//! Operators limit the attempts beyond the first of each request. The limit
//! applies to all routers together and consists of a ratio of the requests plus a
//! constant allowance per sliding window. Each router spends a ratio of its own
//! requests and an equal share of the allowance, so that the fleet stays within
//! the limit without coordination.
//!
//! Invariant: in any window the number of retries is at most the ratio times the
//! requests of that window and the previous one, plus this router's share of the
//! allowance.

use std::time::{Duration, Instant};

use entity::Name;
use rustc_hash::FxHashMap;

/// The fraction of the configured ratio that is spent. The remainder covers
/// requests that fall into a different window than their retries.
const USED_RATIO_FRACTION: f64 = 0.5;

/// The fleet-wide limit on retries.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RetryLimit {
    /// Retries per request.
    pub ratio: f64,
    /// The constant allowance: retries in addition to the ratio, over all routers.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

/// Token buckets for retries, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    buckets: FxHashMap<Name, Bucket>,
}

impl RetryBudget {
    /// Creates a budget whose buckets start full.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            buckets: FxHashMap::default(),
        }
    }

    /// Credits the budget for a new request to `service`.
    pub fn record_request(&mut self, service: &Name, routers: usize, now: Instant) {
        let credit = self.limit.ratio * USED_RATIO_FRACTION;
        let capacity = self.capacity(routers);
        let bucket = self.bucket(service, routers, now);
        bucket.tokens = (bucket.tokens + credit).min(capacity);
    }

    /// Spends one retry for `service`. Returns false if the budget is exhausted.
    pub fn try_spend(&mut self, service: &Name, routers: usize, now: Instant) -> bool {
        let bucket = self.bucket(service, routers, now);
        let has_token = bucket.tokens >= 1.0;
        if has_token {
            bucket.tokens -= 1.0;
        }
        has_token
    }

    /// The capacity of a bucket, in retries. It is half of this router's share of
    /// the allowance, since a bucket that is full at the start of a window is
    /// refilled once within it, but at least one retry.
    fn capacity(&self, routers: usize) -> f64 {
        (self.limit.slack / 2.0 / routers.max(1) as f64).max(1.0)
    }

    fn bucket(&mut self, service: &Name, routers: usize, now: Instant) -> &mut Bucket {
        let capacity = self.capacity(routers);
        let rate = capacity / self.limit.window.as_secs_f64();
        let full_bucket = Bucket {
            tokens: capacity,
            refilled_at: now,
        };
        let bucket = self.buckets.entry(service.clone()).or_insert(full_bucket);
        let elapsed = now
            .saturating_duration_since(bucket.refilled_at)
            .as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(capacity);
        bucket.refilled_at = now;
        bucket
    }
}
