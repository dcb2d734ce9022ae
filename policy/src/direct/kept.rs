//! Which shared prompt parts targets keep in memory, as known to one router.
//!
//! A router knows what it sent to a target itself, and peers tell it of the same in
//! [`KeptRow`]s. Each row has an age: a part that was not used for long has been
//! evicted.
//!
//! Invariants:
//! - A row never makes a part appear more recently used than it was.
//! - The number of rows, and of rows sent in one period, is bounded.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use super::prompt::PromptPart;

/// The use of one part at one target.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct KeptRow {
    /// The tag of the target's incarnation.
    pub target: u64,
    /// The part.
    pub part: u64,
    /// The length of the part in tokens.
    pub tokens: u32,
    /// The time since it was last used there, in milliseconds.
    pub age: u32,
}

/// The last use of a part at a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct KeptPart {
    /// Its length in tokens.
    pub tokens: u32,
    /// When it was last used.
    pub used_at: Instant,
}

/// The parts kept by all targets, as known to one router.
#[derive(Clone, Default, Debug)]
pub struct KeptParts {
    targets: FxHashMap<u64, FxHashMap<u64, KeptPart>>,
}

impl KeptParts {
    /// Records that parts of a prompt were used at a target.
    pub fn record_use(&mut self, target: u64, parts: &[PromptPart], now: Instant) {
        let kept = self.targets.entry(target).or_default();
        for part in parts {
            let tokens = part.tokens;
            kept.insert(
                part.id,
                KeptPart {
                    tokens,
                    used_at: now,
                },
            );
        }
    }

    /// Applies a row of a peer, received at `now`.
    pub fn apply(&mut self, row: &KeptRow, now: Instant) {
        let age = Duration::from_millis(row.age.into());
        let Some(used_at) = now.checked_sub(age) else {
            return;
        };
        let tokens = row.tokens;
        let kept = self.targets.entry(row.target).or_default();
        let part = kept.entry(row.part).or_insert(KeptPart { tokens, used_at });
        part.used_at = part.used_at.max(used_at);
    }

    /// The last use of a part at a target.
    pub fn last_use(&self, target: u64, part: u64) -> Option<KeptPart> {
        self.targets.get(&target)?.get(&part).copied()
    }
}
