//! Detection of requests that crash the targets on which they run.
//!
//! When a target dies while it runs a request, the router records a crash of that
//! request. Routers exchange these records, since a caller may retry such a
//! request at any router. A request with enough recorded crashes is rejected for
//! a while.
//!
//! A completed run shows that a request does not crash its target. Requests of several
//! callers may be alike, so runs elsewhere count as well: a router tells the others of a
//! run once crashes of its request are known.
//!
//! Invariants:
//! - Crashes before the last completed run of a request, or within [`RUN_VALIDITY`] after
//!   it, do not count.
//! - Merging records is idempotent and commutative.

use std::time::{Duration, Instant};

use entity::Fingerprint;
use rustc_hash::FxHashMap;

/// The number of targets that may crash while running a request before it is
/// rejected.
///
/// A single crash may hit a request that only ran next to the one that caused it.
pub const MAX_CRASHED_TARGETS: usize = 3;

/// How long after the latest crash a request is rejected.
pub const CRASH_RECORD_TTL: Duration = Duration::from_secs(60);

/// How long after a completed run a request is taken not to crash targets, so that several
/// targets that die at once cause no rejection of the requests that all of them ran.
pub const RUN_VALIDITY: Duration = Duration::from_secs(3);

/// The maximum number of requests with recorded crashes; the oldest entries are
/// evicted.
const MAX_RECORDED_REQUESTS: usize = 1024;

/// The maximum number of requests of which a run within [`RUN_VALIDITY`] is remembered;
/// runs of further ones are not.
const MAX_RECENT_RUNS: usize = 4_096;

/// A record that a target died while it ran a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct CrashRecord {
    /// The fingerprint of the request.
    pub request: Fingerprint,
    /// The tag of the target's incarnation.
    pub target: u64,
}

/// A run of a request that completed with a response.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct CompletedRun {
    /// The fingerprint of the request.
    pub request: Fingerprint,
    /// When the run completed.
    pub at: Instant,
}

#[derive(Clone, Default, Debug)]
struct RequestRecord {
    /// When each target crashed.
    crashes: FxHashMap<u64, Instant>,
    completed_at: Option<Instant>,
}

impl RequestRecord {
    fn is_counted(&self, crashed_at: Instant) -> bool {
        self.completed_at
            .is_none_or(|at| crashed_at > at + RUN_VALIDITY)
    }

    /// The targets whose crashes count, and when each crashed.
    fn counted(&self) -> impl Iterator<Item = (u64, Instant)> {
        let crashes = self.crashes.iter().map(|(&target, &at)| (target, at));
        crashes.filter(|(_, at)| self.is_counted(*at))
    }

    /// When the latest crash was, if the request is rejected for it.
    fn rejected_since(&self) -> Option<Instant> {
        let has_enough = self.counted().count() >= MAX_CRASHED_TARGETS;
        let last_crash = self.counted().map(|(_, at)| at).max();
        last_crash.filter(|_| has_enough)
    }

    fn last_change(&self) -> Option<Instant> {
        self.crashes.values().copied().max().max(self.completed_at)
    }
}

/// Runs that completed here a short time ago.
#[derive(Clone, Default, Debug)]
struct RecentRuns {
    current: FxHashMap<Fingerprint, Instant>,
    /// The runs of the [`RUN_VALIDITY`] before.
    former: FxHashMap<Fingerprint, Instant>,
    rotated_at: Option<Instant>,
}

impl RecentRuns {
    fn add(&mut self, run: CompletedRun) {
        let age = |at| run.at.saturating_duration_since(at);
        if self.rotated_at.is_none_or(|at| age(at) >= RUN_VALIDITY) {
            self.former = std::mem::take(&mut self.current);
            self.rotated_at = Some(run.at);
        }
        if self.current.len() < MAX_RECENT_RUNS || self.current.contains_key(&run.request) {
            self.current.insert(run.request, run.at);
        }
    }

    fn latest(&self, request: Fingerprint) -> Option<Instant> {
        let current = self.current.get(&request);
        current.or_else(|| self.former.get(&request)).copied()
    }
}

/// The crash records known to this router.
#[derive(Clone, Default, Debug)]
pub struct CrashHistory {
    records: FxHashMap<Fingerprint, RequestRecord>,
    recent_runs: RecentRuns,
    news: Vec<CompletedRun>,
}

impl CrashHistory {
    /// Adds a record, of a crash that this router or a peer noticed at `at`. Returns whether
    /// it is new.
    pub fn add(&mut self, record: CrashRecord, at: Instant) -> bool {
        let request = record.request;
        let run = self.recent_runs.latest(request);
        let run = run.filter(|&run| at <= run + RUN_VALIDITY);
        let entry = self.entry(request, at);
        let known = entry.crashes.get(&record.target).copied();
        // The first report is the closest to the crash.
        let crashed_at = known.map_or(at, |known| known.min(at));
        entry.crashes.insert(record.target, crashed_at);
        match run {
            Some(run) if entry.is_counted(at) => self.clear(CompletedRun { request, at: run }, at),
            _ => {}
        }
        known.is_none()
    }

    /// Records that a run completed here with a response.
    pub fn record_completed(&mut self, run: CompletedRun) {
        self.recent_runs.add(run);
        let record = self.records.get(&run.request);
        if record.is_some_and(|record| record.counted().next().is_some()) {
            self.clear(run, run.at);
        }
    }

    /// Records a completed run that a peer saw.
    pub fn record_peer_run(&mut self, run: CompletedRun, now: Instant) {
        let record = self.entry(run.request, now);
        record.completed_at = record.completed_at.max(Some(run.at));
    }

    /// Takes the runs of which the peers are to be told.
    pub fn take_news(&mut self) -> Vec<CompletedRun> {
        std::mem::take(&mut self.news)
    }

    /// Returns the remaining time for which a request is rejected, or `None` if
    /// it is accepted.
    pub fn rejected_for(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let since = self.records.get(&request)?.rejected_since()?;
        let remaining = (since + CRASH_RECORD_TTL).checked_duration_since(now)?;
        (!remaining.is_zero()).then_some(remaining)
    }

    /// The records of rejected requests, each with the time of the latest crash of its request;
    /// at most `limit`.
    pub fn rejected(&self, limit: usize, now: Instant) -> Vec<(CrashRecord, Instant)> {
        let records = self.records.iter();
        let rejected = records.filter(|(request, _)| self.rejected_for(**request, now).is_some());
        let crashes = rejected.flat_map(|(&request, record)| {
            let since = record.rejected_since();
            let counted = record.counted();
            counted.filter_map(move |(target, _)| Some((CrashRecord { request, target }, since?)))
        });
        crashes.take(limit).collect()
    }

    /// Records a run after which crashes no longer count, as the peers are told.
    fn clear(&mut self, run: CompletedRun, now: Instant) {
        self.record_peer_run(run, now);
        self.news.push(run);
    }

    fn entry(&mut self, request: Fingerprint, now: Instant) -> &mut RequestRecord {
        if !self.records.contains_key(&request) {
            self.evict(now);
        }
        self.records.entry(request).or_default()
    }

    /// Makes room for one more request.
    fn evict(&mut self, now: Instant) {
        if self.records.len() < MAX_RECORDED_REQUESTS {
            return;
        }
        let is_current = |at| now.saturating_duration_since(at) < CRASH_RECORD_TTL;
        self.records
            .retain(|_, record| record.last_change().is_some_and(is_current));
        if self.records.len() < MAX_RECORDED_REQUESTS {
            return;
        }
        let records = self.records.iter();
        let oldest = records.min_by_key(|(_, record)| record.last_change());
        if let Some(request) = oldest.map(|(&request, _)| request) {
            self.records.remove(&request);
        }
    }
}
