//! The decision records of a process, queried by `knapweedctl why`.
//!
//! Invariant: the store holds records of at most `capacity` requests; the oldest
//! request is evicted first, and an evicted record is reported as such.

use std::collections::VecDeque;

use entity::{Decision, RequestId};
use rustc_hash::FxHashMap;

/// Maximum number of decisions stored per request.
const MAX_DECISIONS: usize = 64;

/// A bounded store of decisions, keyed by request.
#[derive(Debug)]
pub struct DecisionStore {
    capacity: usize,
    insertion_order: VecDeque<RequestId>,
    decisions: FxHashMap<RequestId, Vec<Decision>>,
}

impl DecisionStore {
    /// Creates a store for up to `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            insertion_order: VecDeque::new(),
            decisions: FxHashMap::default(),
        }
    }

    /// Records a decision.
    pub fn record(&mut self, decision: Decision) {
        let request = decision.request;
        let recorded = self.decisions.entry(request).or_default();
        if recorded.is_empty() {
            self.insertion_order.push_back(request);
        }
        if recorded.len() < MAX_DECISIONS {
            recorded.push(decision);
        }
        if self.insertion_order.len() > self.capacity {
            let oldest = self
                .insertion_order
                .pop_front()
                .expect("the order is not empty");
            self.decisions.remove(&oldest);
        }
    }

    /// The decisions of a request in order, or `None` if none are stored.
    pub fn decisions(&self, request: RequestId) -> Option<&[Decision]> {
        self.decisions.get(&request).map(Vec::as_slice)
    }

    /// The number of requests with records.
    pub fn len(&self) -> usize {
        self.insertion_order.len()
    }

    /// Whether the store is empty.
    pub fn is_empty(&self) -> bool {
        self.insertion_order.is_empty()
    }
}
