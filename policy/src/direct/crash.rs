//! Detection of requests that crash the targets on which they run.
//!
//! When a target dies while it runs a request, the router records a crash of that
//! request. Routers exchange these records, since a caller may retry such a
//! request at any router. A request with enough recorded crashes is rejected for
//! a while.
//!
//! Invariants:
//! - A completed run clears the crashes of a request, since it shows that the
//!   request does not crash its target.
//! - Merging records is idempotent and commutative.

use std::time::{Duration, Instant};

use entity::Fingerprint;
use rustc_hash::{FxHashMap, FxHashSet};

/// The number of targets that may crash while running a request before it is
/// rejected.
///
/// A single crash may hit a request that only ran next to the one that caused it.
pub const MAX_CRASHED_TARGETS: usize = 3;

/// How long after the latest crash a request is rejected.
pub const CRASH_RECORD_TTL: Duration = Duration::from_secs(60);

/// The maximum number of requests with recorded crashes; the oldest entries are
/// evicted.
const MAX_RECORDED_REQUESTS: usize = 1024;

/// A record that a target died while it ran a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct CrashRecord {
    /// The fingerprint of the request.
    pub request: Fingerprint,
    /// The tag of the target's incarnation.
    pub target: u64,
}

#[derive(Clone, Debug)]
struct RequestCrashes {
    targets: FxHashSet<u64>,
    last_crash: Instant,
}

/// The crash records known to this router.
#[derive(Clone, Default, Debug)]
pub struct CrashHistory {
    crashes: FxHashMap<Fingerprint, RequestCrashes>,
}

impl CrashHistory {
    /// Adds a record, of a crash that this router or a peer noticed at `at`. Returns whether
    /// it is new.
    pub fn add(&mut self, record: CrashRecord, at: Instant) -> bool {
        self.evict(at);
        let new_entry = || RequestCrashes {
            targets: FxHashSet::default(),
            last_crash: at,
        };
        let crashes = self.crashes.entry(record.request).or_insert_with(new_entry);
        let is_new = crashes.targets.insert(record.target);
        if is_new {
            crashes.last_crash = crashes.last_crash.max(at);
        }
        is_new
    }

    /// Clears the records of a request after one of its runs completed with a
    /// response.
    pub fn record_completed(&mut self, request: Fingerprint) {
        self.crashes.remove(&request);
    }

    /// Returns the remaining time for which a request is rejected, or `None` if
    /// it is accepted.
    pub fn rejected_for(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let crashes = self.crashes.get(&request)?;
        let remaining = (crashes.last_crash + CRASH_RECORD_TTL).checked_duration_since(now)?;
        (crashes.targets.len() >= MAX_CRASHED_TARGETS && !remaining.is_zero()).then_some(remaining)
    }

    /// The records of rejected requests, each with the time of the latest crash of its request;
    /// at most `limit`.
    pub fn rejected(&self, limit: usize, now: Instant) -> Vec<(CrashRecord, Instant)> {
        let requests = self.crashes.iter();
        let rejected = requests.filter(|(request, _)| self.rejected_for(**request, now).is_some());
        let records = rejected.flat_map(|(&request, crashes)| {
            let targets = crashes.targets.iter();
            targets.map(move |&target| (CrashRecord { request, target }, crashes.last_crash))
        });
        records.take(limit).collect()
    }

    fn evict(&mut self, now: Instant) {
        if self.crashes.len() < MAX_RECORDED_REQUESTS {
            return;
        }
        let is_current = |crashes: &RequestCrashes| {
            now.saturating_duration_since(crashes.last_crash) < CRASH_RECORD_TTL
        };
        self.crashes.retain(|_, crashes| is_current(crashes));
        if self.crashes.len() < MAX_RECORDED_REQUESTS {
            return;
        }
        let oldest = self
            .crashes
            .iter()
            .min_by_key(|(_, crashes)| crashes.last_crash);
        if let Some(request) = oldest.map(|(&request, _)| request) {
            self.crashes.remove(&request);
        }
    }
}
