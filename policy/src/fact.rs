//! Facts about deliveries that are broadcast to every process.
//!
//! The daemons broadcast a [`Fact`] through the fleet's state machine, with the fact's
//! key, version and expiry.
//!
//! Invariant: of two facts with the same key, the one with the greater version
//! supersedes the other.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use entity::{Fingerprint, ProcessId, Tag};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::home::{Bounds, Hold};
use crate::quarantine::{CrashId, CrashNote, QuarantineEvidence};

/// The maximum number of fingerprints in one fact, so that it fits into a broadcast.
const MAX_FINGERPRINTS: usize = 40;

/// How long a crash or a completion is broadcast; equals the retention of the quarantine.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(3600);

/// An observation that one process made.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Fact {
    /// A target crashed while these requests ran. One crash may be split over several facts.
    Crashed {
        /// The crash.
        id: CrashId,
        /// The time of the crash and the requests that ran.
        note: CrashNote,
    },
    /// A request that was running at an earlier crash completed with a whole answer.
    Completed {
        /// The request.
        fingerprint: Fingerprint,
        /// The time of completion.
        at: SystemTime,
    },
    /// The homes of keys in a range of issue times are in doubt.
    Held {
        /// The agent that detected it.
        agent: ProcessId,
        /// The pool.
        pool: Tag,
        /// The time of detection.
        at: SystemTime,
        /// The affected issue times.
        hold: Hold,
    },
}

impl Fact {
    /// Creates the facts of one crash, split into several if many requests ran.
    pub fn from_crash(id: CrashId, note: &CrashNote) -> Vec<Self> {
        let present: Vec<_> = note.present.iter().copied().collect();
        // Parts have nearly equal sizes: a part with a single fingerprint would look
        // like a request that ran alone.
        let parts = present.len().div_ceil(MAX_FINGERPRINTS).max(1);
        let size = present.len().div_ceil(parts).max(1);
        let fact = |part: &[Fingerprint]| Self::Crashed {
            id,
            note: CrashNote {
                at: note.at,
                present: part.iter().copied().collect::<BTreeSet<_>>(),
            },
        };
        present.chunks(size).map(fact).collect()
    }

    /// The key that identifies the fact among all broadcasts.
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

    /// The version, in milliseconds since the epoch; the greatest version of a key wins.
    pub fn version(&self) -> u64 {
        let at = match self {
            Self::Crashed { note, .. } => note.at,
            Self::Completed { at, .. } | Self::Held { at, .. } => *at,
        };
        let since_epoch = at.duration_since(UNIX_EPOCH).unwrap_or_default();
        since_epoch.as_millis() as u64
    }

    /// The time after which the fact is obsolete.
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

    /// The quarantine evidence in the fact; `None` for [`Fact::Held`].
    pub fn evidence(&self) -> Option<QuarantineEvidence> {
        let mut evidence = QuarantineEvidence::default();
        match self {
            Self::Crashed { id, note } => {
                evidence.crashes.insert(*id, note.clone());
            }
            Self::Completed { fingerprint, at } => {
                evidence.completions.insert(*fingerprint, *at);
            }
            Self::Held { .. } => return None,
        }
        Some(evidence)
    }
}
