//! The load of targets, as caused by one router and as reported by its peers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

/// The half-life of the waiting tokens in a peer's report.
const WAITING_HALF_LIFE: Duration = Duration::from_millis(150);

/// The age at which a peer's report is discarded.
pub const REPORT_TTL: Duration = Duration::from_secs(2);

/// The load that one attempt adds to a target.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct AttemptCost {
    /// Tokens to prefill before the first event.
    pub prefill_tokens: u32,
    /// Tokens of memory used while it runs.
    pub memory_tokens: u32,
    pub(super) sequence: u64,
    /// Tokens that the target cannot have cached.
    pub(super) certain_tokens: u32,
    pub(super) sent: Option<Instant>,
    /// What the target was believed to keep, if kept parts are weighed.
    pub(super) belief: Option<Belief>,
}

/// What a router believed of a target when it sent an attempt.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) struct Belief {
    /// The tokens that the target was believed to keep.
    pub(super) kept_tokens: u32,
    /// The tokens of parts that it once had and was believed to have evicted.
    pub(super) evicted_tokens: u32,
    /// The time since the least recent use of one of its parts.
    pub(super) age: Duration,
    /// The tokens that waited at the target, with those of the attempt that it reads.
    pub(super) waiting_tokens: f64,
}

/// The load of a target.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct TargetLoad {
    /// Tokens to prefill of attempts without a first event.
    pub waiting_tokens: f64,
    /// The number of attempts.
    pub attempts: u32,
    /// Tokens of memory that the attempts use.
    pub memory_tokens: f64,
}

/// The load that one router reports for one target.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct LoadReport {
    /// The tag of the target's incarnation.
    pub target: u64,
    /// The load caused by the router.
    pub load: TargetLoad,
}

/// The reports of one peer.
#[derive(Clone, PartialEq, Debug)]
pub struct PeerLoadReport {
    /// The time at which the reports were received.
    pub received_at: Instant,
    /// The reports, which do not change between two messages of the peer.
    pub reports: Arc<[LoadReport]>,
}

/// Sums up reports by target. What waited when a report was made has been prefilled in
/// part since.
pub fn sum_loads<'a>(
    reports: impl Iterator<Item = &'a PeerLoadReport>,
    now: Instant,
) -> FxHashMap<u64, TargetLoad> {
    let mut sums: FxHashMap<u64, TargetLoad> = FxHashMap::default();
    for report in reports {
        let age = now.saturating_duration_since(report.received_at);
        if age >= REPORT_TTL {
            continue;
        }
        let remaining = 0.5_f64.powf(age.as_secs_f64() / WAITING_HALF_LIFE.as_secs_f64());
        for LoadReport { target, load } in report.reports.iter() {
            let sum = sums.entry(*target).or_default();
            sum.waiting_tokens += load.waiting_tokens * remaining;
            // A wrong report must not wrap the sum around to a small one.
            sum.attempts = sum.attempts.saturating_add(load.attempts);
            sum.memory_tokens += load.memory_tokens;
        }
    }
    sums
}
