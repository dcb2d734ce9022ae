//! The decision records of a process, from which `why` is answered.
//!
//! Invariant: the store holds at most its capacity of requests; the oldest
//! request is dropped first, and a dropped record is reported as such.

use std::collections::VecDeque;

use entity::{Decision, RequestId};
use rustc_hash::FxHashMap;

/// The greatest number of decisions kept for one request.
const MAX_DECISIONS: usize = 64;

/// A bounded store of decisions by request.
#[derive(Debug)]
pub struct Trace {
    capacity: usize,
    order: VecDeque<RequestId>,
    decisions: FxHashMap<RequestId, Vec<Decision>>,
}

impl Trace {
    /// Creates a store for `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            order: VecDeque::new(),
            decisions: FxHashMap::default(),
        }
    }

    /// Records a decision.
    pub fn record(&mut self, decision: Decision) {
        let request = decision.request;
        let known = self.decisions.entry(request).or_default();
        if known.is_empty() {
            self.order.push_back(request);
        }
        if known.len() < MAX_DECISIONS {
            known.push(decision);
        }
        if self.order.len() > self.capacity {
            let oldest = self.order.pop_front().expect("the order is not empty");
            self.decisions.remove(&oldest);
        }
    }

    /// The decisions of a request in order, or `None` if none is kept.
    pub fn why(&self, request: RequestId) -> Option<&[Decision]> {
        self.decisions.get(&request).map(Vec::as_slice)
    }

    /// The number of requests with records.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
