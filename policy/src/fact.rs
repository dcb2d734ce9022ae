//! Facts about deliveries that every process should learn.
//!
//! The daemons spread a [`Fact`] as a broadcast of the fleet machine, with the
//! key, version and expiry that it states.
//!
//! Invariant: two facts with one key differ only in their version, and the one
//! with the greater version makes the other superfluous.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use entity::{Fingerprint, ProcessId, Tag};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::home::{Bounds, Hold};
use crate::quarantine::{CrashId, CrashNote, QuarantineNotice};

/// The greatest number of fingerprints in one fact, so that it fits into a broadcast.
const MAX_PRESENT: usize = 40;

/// How long a crash or a completion is spread; the memory of the quarantine.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(3600);

/// Something that a process found out.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Fact {
    /// A target crashed while these requests ran, or a part of them.
    Crashed {
        /// The crash.
        id: CrashId,
        /// When, and what ran.
        note: CrashNote,
    },
    /// A request that was present at a crash gave a whole answer.
    Completed {
        /// The request.
        fingerprint: Fingerprint,
        /// When.
        at: SystemTime,
    },
    /// The homes of some keys are in doubt.
    Held {
        /// The agent that noticed it.
        agent: ProcessId,
        /// The pool.
        pool: Tag,
        /// When it noticed.
        at: SystemTime,
        /// The issue times.
        hold: Hold,
    },
}

impl Fact {
    /// The facts of one crash: several if many requests ran.
    pub fn of_crash(id: CrashId, note: &CrashNote) -> Vec<Self> {
        let present: Vec<_> = note.present.iter().copied().collect();
        // Parts of nearly equal size: a part of one would look like a run alone.
        let parts = present.len().div_ceil(MAX_PRESENT).max(1);
        let size = present.len().div_ceil(parts).max(1);
        let part = |part: &[Fingerprint]| Self::Crashed {
            id,
            note: CrashNote {
                at: note.at,
                present: part.iter().copied().collect::<BTreeSet<_>>(),
            },
        };
        present.chunks(size).map(part).collect()
    }

    /// Identifies the fact among all that are spread.
    pub fn key(&self) -> u64 {
        let mut hash = Xxh3::new();
        match self {
            Self::Crashed { id, note } => {
                hash.update(b"crashed");
                hash.update(&id.agent.0.to_le_bytes());
                hash.update(&id.incarnation.0.to_le_bytes());
                hash.update(&id.sequence.to_le_bytes());
                let first = note.present.first().map_or(0, |first| first.0);
                hash.update(&first.to_le_bytes());
            }
            Self::Completed { fingerprint, .. } => {
                hash.update(b"completed");
                hash.update(&fingerprint.0.to_le_bytes());
            }
            Self::Held { agent, pool, .. } => {
                hash.update(b"held");
                hash.update(&agent.0.0.to_le_bytes());
                hash.update(&pool.0.to_le_bytes());
            }
        }
        hash.digest()
    }

    /// Grows with time; the greater version of one key wins.
    pub fn version(&self) -> u64 {
        let at = match self {
            Self::Crashed { note, .. } => note.at,
            Self::Completed { at, .. } | Self::Held { at, .. } => *at,
        };
        let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
        since.as_millis() as u64
    }

    /// When the fact is of no use any more.
    pub fn expires(&self) -> SystemTime {
        match self {
            Self::Crashed { note, .. } => note.at + EVIDENCE_LIFETIME,
            Self::Completed { at, .. } => *at + EVIDENCE_LIFETIME,
            Self::Held { hold, .. } => {
                let Bounds { lifetime, skew, .. } = Bounds::default();
                hold.until + lifetime + skew
            }
        }
    }

    /// The evidence in the fact, if it is about a crash.
    pub fn evidence(&self) -> Option<QuarantineNotice> {
        let mut notice = QuarantineNotice::default();
        match self {
            Self::Crashed { id, note } => {
                notice.crashes.insert(*id, note.clone());
            }
            Self::Completed { fingerprint, at } => {
                notice.completions.insert(*fingerprint, *at);
            }
            Self::Held { .. } => return None,
        }
        Some(notice)
    }
}
