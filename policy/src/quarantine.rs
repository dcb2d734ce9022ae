//! Quarantine of requests that crash every target on which they run.
//!
//! The agent calls [`Quarantine::admit`] for each offer,
//! [`Quarantine::record_completion`] for each whole answer and
//! [`Quarantine::record_crash`] when its target ended without an order to stop. It
//! gossips [`Quarantine::evidence_for_peers`] and merges the evidence of its peers. A
//! router merges evidence as well, refuses a request that [`Quarantine::status`]
//! reports as quarantined before it queues it, and sends a suspect only to the
//! trial agent that [`Roster::trial_agent`](crate::home::Roster::trial_agent) names. On
//! [`Admission::Alone`] the caller runs the request only while nothing else runs on the
//! target. [`Quarantine::explain`] gives the detail of the decision record.
//!
//! Evidence is a set of crash notes and of completions, so merging is idempotent and
//! commutative. The status of a fingerprint is a function of the evidence and the time:
//! - A note of a crash at which other requests ran as well counts only against a
//!   fingerprint without a retained completion. A note of a crash at which the
//!   request ran alone counts if it is later than the request's last completion.
//! - Two counted crashes make a fingerprint suspect. A suspect runs only alone and only
//!   on its trial agent, so that all routers and agents together try it on one target.
//! - A suspect is quarantined if it ran alone at one of the crashes, or if there are at
//!   least three crashes and no other counted fingerprint was present at all of them.
//! - A quarantine ends after [`QuarantineSettings::quarantine_time`]. The fingerprint is
//!   then a suspect until its notes are no longer retained.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use derive_more::Display;
use entity::{Fingerprint, Incarnation, Now, Reason, Refusal, RetryAdvice, Tag};
use serde::{Deserialize, Serialize};

/// The number of counted crashes that makes a fingerprint suspect.
pub const MIN_SUSPECT_CRASHES: usize = 2;

/// The number of crashes at which other requests ran as well that can quarantine a fingerprint.
pub const MIN_SHARED_CRASHES: usize = 3;

/// The maximum number of targets that one fingerprint crashes before it is
/// quarantined, if each copy is sent to a target only after its agent has learned of
/// the crashes of earlier copies.
///
/// Each copy that is sent earlier may crash one more target.
pub const MAX_CRASHED_TARGETS: usize = MIN_SUSPECT_CRASHES + 1;

/// The maximum number of crash notes that are kept.
const MAX_CRASH_NOTES: usize = 256;

/// The maximum number of completions that are kept.
const MAX_COMPLETIONS: usize = 4096;

/// The time settings of the quarantine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QuarantineSettings {
    /// How long a quarantine lasts after the last crash.
    pub quarantine_time: Duration,
    /// How long evidence is kept; longer than `quarantine_time`.
    pub retention: Duration,
    /// The delay before a refused suspect is offered again.
    pub retry_delay: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            quarantine_time: Duration::from_secs(600),
            retention: Duration::from_secs(3600),
            retry_delay: Duration::from_secs(1),
        }
    }
}

/// Identifies one crash of one target.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct CrashId {
    /// The agent of the target.
    pub agent: Tag,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// Increases with each crash in that incarnation.
    pub sequence: u32,
}

/// The time of a crash and the requests that ran on the target.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CrashNote {
    /// The time of the crash by the agent's wall clock.
    pub at: SystemTime,
    /// The requests that ran, at least one.
    pub present: BTreeSet<Fingerprint>,
}

/// Evidence that processes exchange.
#[derive(Clone, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct QuarantineEvidence {
    /// The crashes of targets.
    pub crashes: BTreeMap<CrashId, CrashNote>,
    /// The last known completion of each fingerprint that was present at a crash.
    pub completions: BTreeMap<Fingerprint, SystemTime>,
}

/// The status of a fingerprint according to the evidence.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum QuarantineStatus {
    /// There is not enough evidence against it.
    #[display("clear")]
    Clear,
    /// It may crash targets.
    #[display("suspect")]
    Suspect,
    /// It is refused until this time.
    #[display("quarantined")]
    Quarantined(SystemTime),
}

/// How an agent may run an offered request.
#[derive(Clone, PartialEq, Debug)]
pub enum Admission {
    /// Run it along with other requests.
    Run,
    /// Run it only while nothing else runs on the target.
    Alone,
    /// Do not run it now or on this agent.
    Refuse(Refusal),
}

/// The evidence that one process holds, and the decisions based on it.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    evidence: QuarantineEvidence,
    sequence: u32,
}

impl Quarantine {
    /// Creates a quarantine without evidence.
    pub fn new(settings: QuarantineSettings) -> Self {
        debug_assert!(
            settings.quarantine_time < settings.retention,
            "evidence must be kept longer than a quarantine lasts"
        );
        Self {
            settings,
            evidence: QuarantineEvidence::default(),
            sequence: 0,
        }
    }

    /// Records that the target of this agent crashed while `present` ran on it.
    ///
    /// Returns the evidence to send to peers, or `None` if nothing ran.
    pub fn record_crash(
        &mut self,
        now: Now,
        agent: Tag,
        incarnation: Incarnation,
        present: impl IntoIterator<Item = Fingerprint>,
    ) -> Option<(CrashId, CrashNote)> {
        let present: BTreeSet<_> = present.into_iter().collect();
        if present.is_empty() {
            return None;
        }
        let sequence = self.sequence;
        self.sequence += 1;
        let id = CrashId {
            agent,
            incarnation,
            sequence,
        };
        let note = CrashNote {
            at: now.wall,
            present,
        };
        self.evidence.crashes.insert(id, note.clone());
        self.remove_old(now);
        Some((id, note))
    }

    /// Whether `fingerprint` was present at a recorded crash.
    pub fn was_present_at_crash(&self, fingerprint: Fingerprint) -> bool {
        let mut notes = self.evidence.crashes.values();
        notes.any(|note| note.present.contains(&fingerprint))
    }

    /// Records that a run of `fingerprint` gave a whole answer.
    pub fn record_completion(&mut self, now: Now, fingerprint: Fingerprint) {
        self.evidence.completions.insert(fingerprint, now.wall);
        if self.evidence.completions.len() > MAX_COMPLETIONS {
            self.remove_old(now);
        }
    }

    /// The evidence to send to peers; it has completions only of fingerprints that were
    /// present at crashes.
    pub fn evidence_for_peers(&self) -> QuarantineEvidence {
        let crashes = self.evidence.crashes.clone();
        let present = crashes.values().flat_map(|note| &note.present);
        let present: BTreeSet<_> = present.collect();
        let completions = present.into_iter().filter_map(|fingerprint| {
            let at = self.evidence.completions.get(fingerprint)?;
            Some((*fingerprint, *at))
        });
        QuarantineEvidence {
            completions: completions.collect(),
            crashes,
        }
    }

    /// Merges the evidence of a peer; returns whether any of it was new.
    pub fn merge(&mut self, now: Now, evidence: &QuarantineEvidence) -> bool {
        let mut changed = false;
        for (&id, note) in &evidence.crashes {
            if !self.is_retained(now, note.at) {
                continue;
            }
            // A crash during which many requests ran arrives in several parts.
            let existing = self.evidence.crashes.entry(id);
            let existing = existing.or_insert_with(|| CrashNote {
                at: note.at,
                present: BTreeSet::new(),
            });
            let before = existing.present.len();
            existing.present.extend(&note.present);
            changed |= existing.present.len() > before;
        }
        for (&fingerprint, &at) in &evidence.completions {
            let existing = self.evidence.completions.get(&fingerprint);
            if self.is_retained(now, at) && existing.is_none_or(|&existing| existing < at) {
                self.evidence.completions.insert(fingerprint, at);
                changed = true;
            }
        }
        self.remove_old(now);
        changed
    }

    /// Describes the evidence against `fingerprint` for a decision record.
    pub fn explain(&self, now: Now, fingerprint: Fingerprint) -> String {
        let notes = self.counted_notes(now, fingerprint);
        let alone = notes.iter().filter(|note| note.present.len() == 1).count();
        let status = self.status(now, fingerprint);
        format!(
            "{fingerprint} is {status}: present at {} crashes, alone at {alone}",
            notes.len()
        )
    }

    /// The status of `fingerprint`.
    pub fn status(&self, now: Now, fingerprint: Fingerprint) -> QuarantineStatus {
        let notes = self.counted_notes(now, fingerprint);
        let Some(last) = notes.iter().map(|note| note.at).max() else {
            return QuarantineStatus::Clear;
        };
        if notes.len() < MIN_SUSPECT_CRASHES {
            return QuarantineStatus::Clear;
        }
        let alone = notes.iter().any(|note| note.present.len() == 1);
        let shared =
            notes.len() >= MIN_SHARED_CRASHES && self.is_sole_candidate(now, fingerprint, &notes);
        let until = last + self.settings.quarantine_time;
        match alone || shared {
            true if now.wall < until => QuarantineStatus::Quarantined(until),
            _ => QuarantineStatus::Suspect,
        }
    }

    /// Decides how this agent may run an offered request.
    ///
    /// `is_trial_agent` states whether this agent may run the request while it is suspect;
    /// see [`Roster::trial_agent`](crate::home::Roster::trial_agent).
    pub fn admit(&self, now: Now, fingerprint: Fingerprint, is_trial_agent: bool) -> Admission {
        let wait = match self.status(now, fingerprint) {
            QuarantineStatus::Clear => return Admission::Run,
            QuarantineStatus::Suspect if is_trial_agent => return Admission::Alone,
            QuarantineStatus::Suspect => self.settings.retry_delay,
            QuarantineStatus::Quarantined(until) => {
                until.duration_since(now.wall).unwrap_or_default()
            }
        };
        let retry = RetryAdvice::After(wait);
        Admission::Refuse(Refusal::new(Reason::Quarantined, retry))
    }

    /// The crash notes that count against `fingerprint`.
    fn counted_notes(&self, now: Now, fingerprint: Fingerprint) -> Vec<&CrashNote> {
        let completed = self.evidence.completions.get(&fingerprint);
        let completed = completed.filter(|&&at| self.is_retained(now, at));
        let counts = |note: &&CrashNote| match completed {
            None => true,
            Some(&at) => note.present.len() == 1 && note.at > at,
        };
        let notes = self.evidence.crashes.values();
        let notes = notes.filter(|note| self.is_retained(now, note.at));
        let notes = notes.filter(|note| note.present.contains(&fingerprint));
        notes.filter(counts).collect()
    }

    /// Whether no other fingerprint with counted crashes was present at all of `notes`.
    fn is_sole_candidate(&self, now: Now, fingerprint: Fingerprint, notes: &[&CrashNote]) -> bool {
        let others = notes[0].present.iter().filter(|&&it| it != fingerprint);
        let mut others = others.filter(|it| notes.iter().all(|note| note.present.contains(it)));
        others.all(|&it| self.counted_notes(now, it).is_empty())
    }

    fn is_retained(&self, now: Now, at: SystemTime) -> bool {
        now.wall <= at + self.settings.retention
    }

    fn remove_old(&mut self, now: Now) {
        let retention = self.settings.retention;
        let live = |at: SystemTime| now.wall <= at + retention;
        self.evidence.crashes.retain(|_, note| live(note.at));
        self.evidence.completions.retain(|_, &mut at| live(at));
        remove_oldest(&mut self.evidence.crashes, MAX_CRASH_NOTES, |note| note.at);
        remove_oldest(&mut self.evidence.completions, MAX_COMPLETIONS, |&at| at);
    }
}

/// Removes the oldest entries until at most `limit` are left.
fn remove_oldest<K: Ord + Copy, V>(
    map: &mut BTreeMap<K, V>,
    limit: usize,
    at: impl Fn(&V) -> SystemTime,
) {
    let Some(excess) = map.len().checked_sub(limit).filter(|&excess| excess > 0) else {
        return;
    };
    let mut order: Vec<_> = map.iter().map(|(&key, value)| (at(value), key)).collect();
    order.sort_unstable();
    for &(_, key) in &order[..excess] {
        map.remove(&key);
    }
}
