//! Detection of prompt parts that crash the targets on which they run.
//!
//! Requests that are never alike may share a part of their prompts under which each
//! target dies that begins to answer, so records of whole requests ([`super::crash`]) do
//! not meet. Each request that was waiting or had just begun when its target died is a
//! suspect, and so is each of its shared parts. Load that it answers: a target that dies
//! breaks dozens of sound requests besides the one that killed it, whose parts are
//! suspects as well.
//!
//! A part is rejected after [`MIN_ROUNDS`] crashes, each of a request that was sent after
//! the one before: it was tried again, and not once did a run complete. Of several such
//! parts, the one that is involved in most crashes explains these crashes, and they no
//! longer count against the others. Parts that were involved in exactly the same crashes
//! cannot be told apart; a request is rejected if it has all of them.
//!
//! Invariants:
//! - Merging records is idempotent and commutative.
//! - Crashes before the last completed run with a part do not count against it.
//! - The last part of a prompt, which no other request shares, is never a suspect.

use std::time::{Duration, Instant};

use rustc_hash::{FxHashMap, FxHashSet};
use smallvec::SmallVec;

use super::prompt::Prompt;

/// The number of crashes in sequence after which a part is rejected.
pub const MIN_ROUNDS: usize = 4;

/// How long after its last crash a part is rejected and its records are kept.
pub const PART_TTL: Duration = Duration::from_secs(300);

/// The time since the first byte of its response after which a request is no suspect.
pub const MAX_SUSPECT_AGE: Duration = Duration::from_secs(1);

/// The maximum number of parts with records; further ones are not recorded.
const MAX_PARTS: usize = 8_192;

/// The maximum number of crashes of a part that are kept; further ones change nothing.
const MAX_CRASHES: usize = 64;

/// The hashes of prompt parts.
pub type PartIds = SmallVec<[u64; 4]>;

/// A target that died while it ran a request with a part, or before.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PartCrash {
    /// The hash of the part.
    pub part: u64,
    /// The tag of the target's incarnation.
    pub target: u64,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the connection to the target broke.
    pub broken_at: Instant,
}

/// A change of the rejected parts, to be logged.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct VerdictChange {
    /// The parts.
    pub parts: PartIds,
    /// The number of crashes that they explain; 0 if they are no longer rejected.
    pub crashes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    target: u64,
    sent_at: Instant,
    broken_at: Instant,
}

#[derive(Clone, Default, Debug)]
struct PartRecord {
    crashes: Vec<Crash>,
    completed_at: Option<Instant>,
}

impl PartRecord {
    /// The crashes that count, in the order of their times.
    fn counted(&self, explained: &FxHashSet<u64>) -> Vec<Crash> {
        let crashes = self.crashes.iter().copied();
        let counted = crashes.filter(|crash| {
            Some(crash.broken_at) > self.completed_at && !explained.contains(&crash.target)
        });
        let mut counted: Vec<Crash> = counted.collect();
        counted.sort_unstable_by_key(|crash| (crash.broken_at, crash.sent_at, crash.target));
        counted
    }

    fn last_change(&self) -> Option<Instant> {
        let last_crash = self.crashes.iter().map(|crash| crash.broken_at).max();
        last_crash.max(self.completed_at)
    }
}

/// Parts that are rejected together.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Verdict {
    /// In ascending order.
    parts: PartIds,
    crashes: usize,
    until: Instant,
}

/// What is known of parts that may crash targets.
#[derive(Clone, Default, Debug)]
pub struct PartHistory {
    records: FxHashMap<u64, PartRecord>,
    verdicts: Vec<Verdict>,
    changes: Vec<VerdictChange>,
    /// Whether records have changed since the rejected parts were derived. A target that dies
    /// brings many records at once.
    is_stale: bool,
}

impl PartHistory {
    /// Adds a crash that this router or a peer saw. Returns whether it is new.
    pub fn add_crash(&mut self, crash: PartCrash, now: Instant) -> bool {
        let Some(record) = self.record_mut(crash.part, now) else {
            return false;
        };
        let mut known = record.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.target == crash.target) {
            // Of several requests at one target the one that was sent last counts.
            let sent_at = known.sent_at.max(crash.sent_at);
            let broken_at = known.broken_at.min(crash.broken_at);
            if (sent_at, broken_at) != (known.sent_at, known.broken_at) {
                (known.sent_at, known.broken_at) = (sent_at, broken_at);
                self.is_stale = true;
            }
            return false;
        }
        if record.crashes.len() >= MAX_CRASHES {
            return false;
        }
        record.crashes.push(Crash {
            target: crash.target,
            sent_at: crash.sent_at,
            broken_at: crash.broken_at,
        });
        self.is_stale = true;
        true
    }

    /// Records that a request with these parts ran to the end of its response here.
    /// Returns the parts against which crashes had been counted.
    pub fn record_run(&mut self, parts: &[u64], now: Instant) -> PartIds {
        if self.records.is_empty() {
            return PartIds::new();
        }
        let cleared = parts.iter().filter(|part| {
            let record = self.records.get(part);
            record.is_some_and(|it| !it.counted(&FxHashSet::default()).is_empty())
        });
        let cleared: PartIds = cleared.copied().collect();
        for &part in &cleared {
            self.record_peer_run(part, now, now);
        }
        cleared
    }

    /// Records that a run with a part completed at `at`, as a peer saw.
    pub fn record_peer_run(&mut self, part: u64, at: Instant, now: Instant) {
        let Some(record) = self.record_mut(part, now) else {
            return;
        };
        if record.completed_at < Some(at) {
            record.completed_at = Some(at);
            self.is_stale = true;
        }
    }

    /// Returns the remaining time for which a prompt is rejected, or `None` if it is
    /// accepted.
    pub fn rejected_for(&mut self, prompt: &Prompt, now: Instant) -> Option<Duration> {
        self.judge_if_stale(now);
        if self.verdicts.is_empty() {
            return None;
        }
        let parts = suspect_parts(prompt);
        let verdicts = self.verdicts.iter();
        let matching = verdicts.filter(|it| it.parts.iter().all(|part| parts.contains(part)));
        let remaining = matching.filter_map(|it| it.until.checked_duration_since(now));
        remaining.filter(|remaining| !remaining.is_zero()).max()
    }

    /// The number of rejected parts, or groups of parts.
    pub fn rejected_count(&self) -> usize {
        self.verdicts.len()
    }

    /// Takes the changes of rejected parts since the last call.
    pub fn take_changes(&mut self, now: Instant) -> Vec<VerdictChange> {
        self.judge_if_stale(now);
        std::mem::take(&mut self.changes)
    }

    /// Forgets old records.
    pub fn expire(&mut self, now: Instant) {
        let count = self.records.len();
        let is_recent = |at| now.saturating_duration_since(at) < PART_TTL;
        self.records
            .retain(|_, record| record.last_change().is_some_and(is_recent));
        self.is_stale |= self.records.len() < count;
    }

    fn record_mut(&mut self, part: u64, now: Instant) -> Option<&mut PartRecord> {
        if self.records.len() >= MAX_PARTS && !self.records.contains_key(&part) {
            self.expire(now);
        }
        let has_room = self.records.len() < MAX_PARTS || self.records.contains_key(&part);
        has_room.then(|| self.records.entry(part).or_default())
    }

    fn judge_if_stale(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_stale) {
            self.judge(now);
        }
    }

    /// Derives the rejected parts from the records.
    fn judge(&mut self, now: Instant) {
        let mut explained = FxHashSet::default();
        let mut verdicts = Vec::new();
        while let Some(verdict) = self.next_verdict(&explained) {
            let parts = verdict.parts.iter();
            let targets = parts.flat_map(|part| self.records[part].counted(&explained));
            let targets: Vec<u64> = targets.map(|crash| crash.target).collect();
            explained.extend(targets);
            verdicts.push(verdict);
        }
        verdicts.retain(|verdict| verdict.until > now);
        let ended = self.verdicts.iter().filter(|old| {
            let mut new = verdicts.iter();
            !new.any(|new| new.parts == old.parts)
        });
        self.changes.extend(ended.map(|verdict| VerdictChange {
            parts: verdict.parts.clone(),
            crashes: 0,
        }));
        let begun = verdicts.iter().filter(|new| {
            let mut old = self.verdicts.iter();
            !old.any(|old| old.parts == new.parts)
        });
        self.changes.extend(begun.map(|verdict| VerdictChange {
            parts: verdict.parts.clone(),
            crashes: verdict.crashes,
        }));
        self.verdicts = verdicts;
    }

    /// The part, or the parts that cannot be told apart, with the most crashes that are
    /// not yet explained.
    fn next_verdict(&self, explained: &FxHashSet<u64>) -> Option<Verdict> {
        let records = self.records.iter();
        let records = records.filter(|(_, record)| record.crashes.len() >= MIN_ROUNDS);
        let candidates = records.filter_map(|(&part, record)| {
            let counted = record.counted(explained);
            let rounds = count_rounds(&counted);
            (rounds >= MIN_ROUNDS).then_some((counted, part))
        });
        let candidates: Vec<(Vec<Crash>, u64)> = candidates.collect();
        let most = candidates.iter().map(|(counted, _)| counted.len()).max()?;
        let leaders = candidates.iter().filter(|(it, _)| it.len() == most);
        let (first, _) = leaders.clone().min_by_key(|(_, part)| *part)?;
        let targets = |crashes: &[Crash]| -> FxHashSet<u64> {
            crashes.iter().map(|crash| crash.target).collect()
        };
        let group = leaders.filter(|(it, _)| targets(it) == targets(first));
        let mut parts: PartIds = group.map(|(_, part)| *part).collect();
        parts.sort_unstable();
        let last = first.iter().map(|crash| crash.broken_at).max()?;
        Some(Verdict {
            parts,
            crashes: most,
            until: last + PART_TTL,
        })
    }
}

/// The parts of a prompt that other requests may share.
pub fn suspect_parts(prompt: &Prompt) -> PartIds {
    let shared = prompt.parts.len().saturating_sub(1);
    prompt.parts[..shared].iter().map(|part| part.id).collect()
}

/// The number of crashes in sequence: of requests that were each sent after the crash
/// before.
fn count_rounds(crashes: &[Crash]) -> usize {
    let mut rounds = 0;
    let mut last: Option<Instant> = None;
    for crash in crashes {
        if last.is_none_or(|last| crash.sent_at >= last) {
            rounds += 1;
            last = Some(crash.broken_at);
        }
    }
    rounds
}
