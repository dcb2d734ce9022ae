//! Finds the request that crashes every target that runs it.
//!
//! The agent calls [`Quarantine::admit`] for each offer, [`Quarantine::completed`]
//! for each whole answer and [`Quarantine::crashed`] when its target died without
//! being told to. It gossips [`Quarantine::notice`] and merges what peers send.
//! A router merges notices too, refuses what [`Quarantine::judge`] calls
//! quarantined before it queues it, and sends a suspect to its trial home only.
//! [`Admission::Alone`] means that the composite runs the request only while
//! nothing else runs on the target. [`Quarantine::explain`] gives the detail of
//! the decision record.
//!
//! Evidence is a set of crash notes and of completions, so merging notices is
//! idempotent and commutative. The judgement of a fingerprint is a function of
//! the evidence and the time:
//! - A completion proves innocence: notes of crashes among others count only for
//!   a fingerprint that has not completed within the memory; notes of crashes
//!   while alone count if they are later than its last completion.
//! - Two counted crashes make a suspect, which runs only alone and only on its
//!   trial home, so that all routers and agents together try it on one target.
//! - A suspect is quarantined if one of the crashes was while alone, or if there
//!   are three and no other counted fingerprint was present at all of them.
//! - A quarantine ends after [`QuarantineSettings::term`]; the fingerprint is
//!   then a suspect until its notes leave the memory.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use derive_more::Display;
use entity::{Fingerprint, Incarnation, Now, Reason, Refusal, RetryAdvice, Tag};
use serde::{Deserialize, Serialize};

/// The number of crashes that makes a fingerprint suspect.
pub const SUSPECT_CRASHES: usize = 2;

/// The number of crashes among others that can quarantine a fingerprint.
pub const SHARED_CRASHES: usize = 3;

/// The greatest number of targets that one fingerprint takes down before it is
/// quarantined, if each copy is handed over after the crashes of earlier copies
/// are known to its agent.
///
/// Copies that were handed over before that add one target each.
pub const TARGET_LOSS: usize = SUSPECT_CRASHES + 1;

/// The greatest number of crash notes that are kept.
const MAX_NOTES: usize = 256;

/// The greatest number of completions that are kept.
const MAX_COMPLETIONS: usize = 4096;

/// The times of the quarantine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QuarantineSettings {
    /// How long a quarantine lasts after the last crash.
    pub term: Duration,
    /// How long evidence is kept; longer than `term`.
    pub memory: Duration,
    /// How long a suspect waits before it is offered again elsewhere.
    pub delay: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(600),
            memory: Duration::from_secs(3600),
            delay: Duration::from_secs(1),
        }
    }
}

/// Identifies one crash of one target.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct CrashId {
    /// The agent beside the target.
    pub agent: Tag,
    /// The life of the agent.
    pub incarnation: Incarnation,
    /// Rises with each crash in that life.
    pub sequence: u32,
}

/// What ran on a target when it crashed.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CrashNote {
    /// When, by the agent's wall clock.
    pub at: SystemTime,
    /// The requests that ran, at least one.
    pub present: BTreeSet<Fingerprint>,
}

/// Evidence that travels between processes.
#[derive(Clone, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// Crashes.
    pub crashes: BTreeMap<CrashId, CrashNote>,
    /// The last known completion of fingerprints that were present at crashes.
    pub completions: BTreeMap<Fingerprint, SystemTime>,
}

/// What the evidence says of a fingerprint.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum Judgement {
    /// Nothing speaks against it.
    #[display("clear")]
    Clear,
    /// It may crash targets.
    #[display("suspect")]
    Suspect,
    /// It is refused until then.
    #[display("quarantined")]
    Quarantined(SystemTime),
}

/// How an agent may run an offered request.
#[derive(Clone, PartialEq, Debug)]
pub enum Admission {
    /// Among others.
    Run,
    /// With nothing else on the target.
    Alone,
    /// Not now, or not here.
    Refuse(Refusal),
}

/// The evidence that one process holds.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    evidence: QuarantineNotice,
    sequence: u32,
}

impl Quarantine {
    /// Creates a process without evidence.
    pub fn new(settings: QuarantineSettings) -> Self {
        debug_assert!(settings.term < settings.memory, "evidence outlives a term");
        Self {
            settings,
            evidence: QuarantineNotice::default(),
            sequence: 0,
        }
    }

    /// Notes that the target of this agent crashed while `present` ran on it.
    ///
    /// Returns what peers should learn, unless nothing ran.
    pub fn crashed(
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
        self.trim(now);
        Some((id, note))
    }

    /// Whether `fingerprint` was present at a remembered crash.
    pub fn is_present(&self, fingerprint: Fingerprint) -> bool {
        let mut notes = self.evidence.crashes.values();
        notes.any(|note| note.present.contains(&fingerprint))
    }

    /// Notes that a run of `fingerprint` gave a whole answer.
    pub fn completed(&mut self, now: Now, fingerprint: Fingerprint) {
        self.evidence.completions.insert(fingerprint, now.wall);
        if self.evidence.completions.len() > MAX_COMPLETIONS {
            self.trim(now);
        }
    }

    /// The evidence for peers: completions only of those that were present at crashes.
    pub fn notice(&self) -> QuarantineNotice {
        let crashes = self.evidence.crashes.clone();
        let present = crashes.values().flat_map(|note| &note.present);
        let present: BTreeSet<_> = present.collect();
        let completions = present.into_iter().filter_map(|fingerprint| {
            let at = self.evidence.completions.get(fingerprint)?;
            Some((*fingerprint, *at))
        });
        QuarantineNotice {
            completions: completions.collect(),
            crashes,
        }
    }

    /// Merges a peer's evidence; returns whether something was new.
    pub fn merge(&mut self, now: Now, notice: &QuarantineNotice) -> bool {
        let mut news = false;
        for (&id, note) in &notice.crashes {
            if !self.remembers(now, note.at) {
                continue;
            }
            // A crash of many requests arrives in parts.
            let known = self.evidence.crashes.entry(id);
            let known = known.or_insert_with(|| CrashNote {
                at: note.at,
                present: BTreeSet::new(),
            });
            let before = known.present.len();
            known.present.extend(&note.present);
            news |= known.present.len() > before;
        }
        for (&fingerprint, &at) in &notice.completions {
            let known = self.evidence.completions.get(&fingerprint);
            if self.remembers(now, at) && known.is_none_or(|&known| known < at) {
                self.evidence.completions.insert(fingerprint, at);
                news = true;
            }
        }
        self.trim(now);
        news
    }

    /// The evidence against `fingerprint` in words, for a decision record.
    pub fn explain(&self, now: Now, fingerprint: Fingerprint) -> String {
        let notes = self.counted(now, fingerprint);
        let alone = notes.iter().filter(|note| note.present.len() == 1).count();
        let judgement = self.judge(now, fingerprint);
        format!(
            "{fingerprint} is {judgement}: present at {} crashes, alone at {alone}",
            notes.len()
        )
    }

    /// What the evidence says of `fingerprint`.
    pub fn judge(&self, now: Now, fingerprint: Fingerprint) -> Judgement {
        let notes = self.counted(now, fingerprint);
        let Some(last) = notes.iter().map(|note| note.at).max() else {
            return Judgement::Clear;
        };
        if notes.len() < SUSPECT_CRASHES {
            return Judgement::Clear;
        }
        let alone = notes.iter().any(|note| note.present.len() == 1);
        let shared = notes.len() >= SHARED_CRASHES && self.sole(now, fingerprint, &notes);
        let until = last + self.settings.term;
        match alone || shared {
            true if now.wall < until => Judgement::Quarantined(until),
            _ => Judgement::Suspect,
        }
    }

    /// Decides how this agent may run an offered request.
    ///
    /// `trial_agent` says whether this agent is the one that tries the request while
    /// it is suspect; see [`Roster::trial_agent`](crate::home::Roster::trial_agent).
    pub fn admit(&self, now: Now, fingerprint: Fingerprint, trial_agent: bool) -> Admission {
        let wait = match self.judge(now, fingerprint) {
            Judgement::Clear => return Admission::Run,
            Judgement::Suspect if trial_agent => return Admission::Alone,
            Judgement::Suspect => self.settings.delay,
            Judgement::Quarantined(until) => until.duration_since(now.wall).unwrap_or_default(),
        };
        let retry = RetryAdvice::After(wait);
        Admission::Refuse(Refusal::new(Reason::Quarantined, retry))
    }

    /// The crash notes that count against `fingerprint`.
    fn counted(&self, now: Now, fingerprint: Fingerprint) -> Vec<&CrashNote> {
        let completed = self.evidence.completions.get(&fingerprint);
        let completed = completed.filter(|&&at| self.remembers(now, at));
        let counts = |note: &&CrashNote| match completed {
            None => true,
            Some(&at) => note.present.len() == 1 && note.at > at,
        };
        let notes = self.evidence.crashes.values();
        let notes = notes.filter(|note| self.remembers(now, note.at));
        let notes = notes.filter(|note| note.present.contains(&fingerprint));
        notes.filter(counts).collect()
    }

    /// Whether no other fingerprint explains all of `notes`.
    fn sole(&self, now: Now, fingerprint: Fingerprint, notes: &[&CrashNote]) -> bool {
        let others = notes[0].present.iter().filter(|&&it| it != fingerprint);
        let mut others = others.filter(|it| notes.iter().all(|note| note.present.contains(it)));
        others.all(|&it| self.counted(now, it).is_empty())
    }

    fn remembers(&self, now: Now, at: SystemTime) -> bool {
        now.wall <= at + self.settings.memory
    }

    fn trim(&mut self, now: Now) {
        let memory = self.settings.memory;
        let live = |at: SystemTime| now.wall <= at + memory;
        self.evidence.crashes.retain(|_, note| live(note.at));
        self.evidence.completions.retain(|_, &mut at| live(at));
        trim_oldest(&mut self.evidence.crashes, MAX_NOTES, |note| note.at);
        trim_oldest(&mut self.evidence.completions, MAX_COMPLETIONS, |&at| at);
    }
}

/// Removes the oldest entries until at most `limit` are left.
fn trim_oldest<K: Ord + Copy, V>(
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
