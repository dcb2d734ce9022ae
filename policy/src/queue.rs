//! The request queues of a router.
//!
//! Invariants:
//! - A request waits in at most one queue.
//! - An empty queue has no entry, so memory use is proportional to the number of waiting requests.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use entity::{Class, PoolId, RequestId, TargetId, TeamId};

/// The head start of a class over batch requests of the same team.
///
/// A batch request is served before a request of another class once it has waited longer
/// than that request by the head start of that class, so no class starves.
pub fn head_start(class: Class) -> Duration {
    match class {
        Class::Interactive => Duration::from_secs(30),
        Class::Standard => Duration::from_secs(10),
        Class::Batch => Duration::ZERO,
    }
}

/// The three classes, from highest to lowest priority.
pub const CLASSES: [Class; 3] = [Class::Interactive, Class::Standard, Class::Batch];

/// Identifies a queue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct QueueKey {
    /// The pool.
    pub pool: PoolId,
    /// The only target that may run the requests, if they are pinned to one.
    pub home: Option<TargetId>,
    /// The team.
    pub team: TeamId,
    /// The class.
    pub class: Class,
}

/// One waiting request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Waiting {
    /// The request.
    pub request: RequestId,
    /// When it arrived at the router.
    pub arrived: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// All queues of a router.
#[derive(Clone, Default, Debug)]
pub struct Queues {
    queues: BTreeMap<QueueKey, VecDeque<Waiting>>,
}

impl Queues {
    /// Appends a request.
    pub fn push(&mut self, key: QueueKey, waiting: Waiting) {
        self.queues.entry(key).or_default().push_back(waiting);
    }

    /// Puts a request back at the front of its queue.
    pub fn push_front(&mut self, key: QueueKey, waiting: Waiting) {
        self.queues.entry(key).or_default().push_front(waiting);
    }

    /// Removes and returns the first request of a queue.
    pub fn pop(&mut self, key: QueueKey) -> Option<Waiting> {
        let queue = self.queues.get_mut(&key)?;
        let waiting = queue.pop_front();
        if queue.is_empty() {
            self.queues.remove(&key);
        }
        waiting
    }

    /// Removes a request; returns whether it was in the queue.
    pub fn remove(&mut self, key: QueueKey, request: RequestId) -> bool {
        let Some(queue) = self.queues.get_mut(&key) else {
            return false;
        };
        let before = queue.len();
        queue.retain(|waiting| waiting.request != request);
        let removed = queue.len() < before;
        if queue.is_empty() {
            self.queues.remove(&key);
        }
        removed
    }

    /// The number of requests in a queue.
    pub fn len(&self, key: QueueKey) -> usize {
        self.queues.get(&key).map_or(0, VecDeque::len)
    }

    /// The first request of a queue.
    pub fn first(&self, key: QueueKey) -> Option<&Waiting> {
        self.queues.get(&key)?.front()
    }

    /// The queue of `team` from which `target` should get the next request.
    ///
    /// A non-empty queue of class `wanted` takes precedence; otherwise the request with
    /// the longest wait, head start included, is next.
    pub fn next(
        &self,
        pool: PoolId,
        target: TargetId,
        team: TeamId,
        wanted: Class,
    ) -> Option<QueueKey> {
        let key = |home, class| QueueKey {
            pool,
            home,
            team,
            class,
        };
        let virtual_arrival = |key: &QueueKey| {
            let first = self.first(*key)?;
            Some(first.arrived.checked_sub(head_start(key.class)))
        };
        let homes = [Some(target), None];
        let oldest = |classes: &[Class]| {
            let keys = homes
                .iter()
                .flat_map(|&home| classes.iter().map(move |&class| key(home, class)));
            keys.filter_map(|key| {
                virtual_arrival(&key).map(|virtual_arrival| (virtual_arrival, key))
            })
            .min()
            .map(|(_, key)| key)
        };
        oldest(&[wanted]).or_else(|| oldest(&CLASSES))
    }

    /// The non-empty queues of a pool, in order of their keys.
    pub fn in_pool(&self, pool: PoolId) -> impl Iterator<Item = (QueueKey, &VecDeque<Waiting>)> {
        let all = self.queues.iter().map(|(&key, queue)| (key, queue));
        all.filter(move |(key, _)| key.pool == pool)
    }

    /// The pools with waiting requests, in order of their ids.
    pub fn pools(&self) -> Vec<PoolId> {
        let mut pools: Vec<_> = self.queues.keys().map(|key| key.pool).collect();
        pools.dedup();
        pools
    }

    /// Whether no request waits in the queues of `pool` with this `home`.
    pub fn is_idle(&self, pool: PoolId, home: Option<TargetId>) -> bool {
        !self.in_pool(pool).any(|(key, _)| key.home == home)
    }

    /// Removes every request whose deadline is not after `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<RequestId> {
        self.remove_if(|_, waiting| waiting.deadline <= now)
    }

    /// Removes every request for which `predicate` holds.
    pub fn remove_if(&mut self, predicate: impl Fn(QueueKey, &Waiting) -> bool) -> Vec<RequestId> {
        let mut removed = Vec::new();
        for (&key, queue) in &mut self.queues {
            queue.retain(|waiting| {
                let keep = !predicate(key, waiting);
                if !keep {
                    removed.push(waiting.request);
                }
                keep
            });
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        removed
    }
}
