//! How many repeats this router may send to a service.
//!
//! The operators bound the arrivals at a service beyond the first of each
//! request, over all routers, by a share of the requests plus a slack in a
//! sliding window. Each router spends a share of its own requests and an even
//! part of the slack, so that the sum stays within the bound without talk.
//!
//! Invariant: in any window the repeats are at most the share of the requests of
//! that window and the one before it, plus this router's part of the slack.

use std::time::{Duration, Instant};

use entity::Name;
use rustc_hash::FxHashMap;

/// The part of the operators' share that is spent; the rest covers requests
/// that are counted in another window than their repeats.
const USED_SHARE: f64 = 0.5;

/// The operators' bound on repeats.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct BudgetBound {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats beyond the ratio, over all routers.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled: Instant,
}

/// The repeats that this router may still send, by service.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    bound: BudgetBound,
    buckets: FxHashMap<Name, Bucket>,
}

impl RepeatBudget {
    /// Creates a budget that starts full.
    pub fn new(bound: BudgetBound) -> Self {
        Self {
            bound,
            buckets: FxHashMap::default(),
        }
    }

    /// A request for `service` arrived.
    pub fn arrived(&mut self, service: &Name, routers: usize, now: Instant) {
        let earned = self.bound.ratio * USED_SHARE;
        let cap = self.cap(routers);
        let bucket = self.bucket(service, routers, now);
        bucket.tokens = (bucket.tokens + earned).min(cap);
    }

    /// Takes a repeat for `service`; returns whether there was one.
    pub fn spend(&mut self, service: &Name, routers: usize, now: Instant) -> bool {
        let bucket = self.bucket(service, routers, now);
        let affordable = bucket.tokens >= 1.0;
        if affordable {
            bucket.tokens -= 1.0;
        }
        affordable
    }

    /// The greatest number of repeats that can be saved up.
    fn cap(&self, routers: usize) -> f64 {
        (self.bound.slack / 2.0 / routers.max(1) as f64).max(1.0)
    }

    fn bucket(&mut self, service: &Name, routers: usize, now: Instant) -> &mut Bucket {
        let cap = self.cap(routers);
        let rate = cap / self.bound.window.as_secs_f64();
        let full = Bucket {
            tokens: cap,
            refilled: now,
        };
        let bucket = self.buckets.entry(service.clone()).or_insert(full);
        let passed = now.saturating_duration_since(bucket.refilled).as_secs_f64();
        bucket.tokens = (bucket.tokens + passed * rate).min(cap);
        bucket.refilled = now;
        bucket
    }
}
