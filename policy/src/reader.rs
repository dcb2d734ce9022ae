//! Selection of the processes that read the configuration service, and the schedule of their reads.
//!
//! The service handles about two thousand calls a second for all clients
//! together, and a pending watch counts as one call. Of `n` processes,
//! [`reader_count`] read: those with the lowest hashes of their ids, so that every
//! process computes the same set. The others learn from peers and read only while
//! no peer sends messages, or at a low rate while no confirmation reaches them.
//!
//! Invariant: two reads of one key by one process are at least [`MIN_SPACING`]
//! apart, and after a failure at least a jittered, growing delay apart.

use std::time::{Duration, Instant};

use derive_more::Display;
use entity::{Name, ProcessId};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The minimum time between two reads of one key by one process.
pub const MIN_SPACING: Duration = Duration::from_secs(1);

/// How long the service may keep a watch open.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// The interval between reads that request the value itself instead of a change.
pub const FULL_READ_INTERVAL: Duration = Duration::from_secs(60);

/// The span over which the first reads of processes that start together are spread.
pub const START_SPREAD: Duration = Duration::from_secs(2);

/// The maximum delay after failures.
pub const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// The time without a message of any peer after which a process reads the service itself.
pub const PEER_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// The age of the last confirmation after which every process reads, at a low rate.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(180);

/// A key of the configuration service.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize)]
pub enum ServiceKey {
    /// The root document of the rules.
    #[display("rules")]
    Rules,
    /// The VM list.
    #[display("vms")]
    Vms,
    /// A part of the rules that the root document names.
    #[display("{_0}")]
    Part(Name),
}

/// How a read of the service ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ServiceResult {
    /// The service returned a value.
    Value {
        /// The index of the value.
        index: u64,
        /// The bytes of the value.
        body: Vec<u8>,
    },
    /// No newer value appeared within the wait.
    Unchanged,
    /// The service does not know the key.
    Missing,
    /// No answer arrived in time.
    Unreachable,
    /// The answer is not a value: a wrong status, no index, too large or truncated.
    Malformed,
}

/// A read that the driver must carry out.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ReadRequest {
    /// The key to read.
    pub key: ServiceKey,
    /// Only a value with a greater index is returned; 0 requests any value.
    pub after: u64,
    /// How long the service may wait for such a value.
    pub wait: Duration,
}

/// Why a process reads the configuration service.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum ReadReason {
    /// The process is one of the readers.
    #[display("reader")]
    Reader,
    /// The process receives nothing from its peers, or has no document.
    #[display("alone")]
    Alone,
    /// No confirmation arrived within [`CONFIRMATION_TIMEOUT`].
    #[display("overdue")]
    Overdue,
    /// The process does not read.
    #[display("none")]
    None,
}

/// The number of readers among `n` processes: `min(n, 4 + ceil(sqrt(n)))`.
pub fn reader_count(n: usize) -> usize {
    let floor = n.isqrt();
    let ceiling = floor + usize::from(floor * floor < n);
    n.min(4 + ceiling)
}

/// Whether `own` is among the readers of the fleet that consists of `own` and `others`.
pub fn is_reader(own: ProcessId, others: impl Iterator<Item = ProcessId>) -> bool {
    let own_rank = reader_rank(own);
    let mut total = 1;
    let mut lower_ranks = 0;
    for id in others {
        total += 1;
        lower_ranks += usize::from(reader_rank(id) < own_rank);
    }
    lower_ranks < reader_count(total)
}

fn reader_rank(id: ProcessId) -> (u64, ProcessId) {
    (xxh3_64(&id.0.0.to_le_bytes()), id)
}

/// The schedule of one process's reads of one key.
#[derive(Clone, Debug)]
pub struct Reader {
    key: ServiceKey,
    /// The index of the last value.
    index: u64,
    /// When the read that is in progress was started.
    started: Option<Instant>,
    next_read_at: Instant,
    last_full_read: Option<Instant>,
    failures: u32,
}

impl Reader {
    /// Creates a reader whose first read falls within [`START_SPREAD`].
    pub fn new(key: ServiceKey, now: Instant, rng: &mut ChaCha8Rng) -> Self {
        Self {
            key,
            index: 0,
            started: None,
            next_read_at: now + jitter(START_SPREAD, rng),
            last_full_read: None,
            failures: 0,
        }
    }

    /// Starts the next read if it is due.
    pub fn start_if_due(&mut self, now: Instant, reason: ReadReason) -> Option<ReadRequest> {
        if reason == ReadReason::None || self.started.is_some() || now < self.next_read_at {
            return None;
        }
        let age = self
            .last_full_read
            .map(|full| now.saturating_duration_since(full));
        let full = reason == ReadReason::Overdue || age.is_none_or(|age| age >= FULL_READ_INTERVAL);
        self.started = Some(now);
        if full {
            self.last_full_read = Some(now);
        }
        let (after, wait) = match full {
            true => (0, Duration::ZERO),
            false => (self.index, WATCH_TIMEOUT),
        };
        Some(ReadRequest {
            key: self.key.clone(),
            after,
            wait,
        })
    }

    /// Handles the result of a read; returns when the read was started.
    pub fn finish(
        &mut self,
        now: Instant,
        result: &ServiceResult,
        reason: ReadReason,
        rng: &mut ChaCha8Rng,
    ) -> Option<Instant> {
        let started = self.started.take()?;
        match result {
            ServiceResult::Value { index, .. } => {
                self.index = *index;
                self.failures = 0;
            }
            ServiceResult::Unchanged => self.failures = 0,
            _ => {
                self.failures = self.failures.saturating_add(1);
                self.last_full_read = None;
            }
        }
        self.next_read_at = match (self.failures, reason) {
            (0, ReadReason::Overdue) => now + MAX_BACKOFF + jitter(MAX_BACKOFF, rng),
            (0, _) => started + MIN_SPACING,
            (failures, _) => now + backoff(failures, rng),
        };
        Some(started)
    }

    /// Counts a value that turned out invalid as a failure, and requests the value itself next
    /// time.
    pub fn reject_value(&mut self, now: Instant, rng: &mut ChaCha8Rng) {
        self.failures = self.failures.saturating_add(1);
        self.last_full_read = None;
        self.next_read_at = now + backoff(self.failures, rng);
    }
}

/// The delay after `failures` failures: a random time between half and all of an exponential delay.
fn backoff(failures: u32, rng: &mut ChaCha8Rng) -> Duration {
    let doubled = MIN_SPACING.saturating_mul(1 << failures.clamp(1, 5));
    let span = doubled.min(MAX_BACKOFF);
    span / 2 + jitter(span / 2, rng)
}

fn jitter(span: Duration, rng: &mut ChaCha8Rng) -> Duration {
    span.mul_f64(rng.random::<f64>())
}
