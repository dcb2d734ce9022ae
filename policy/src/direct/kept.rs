//! Which shared prompt parts targets keep in memory, as known to one router.
//!
//! A router knows what it sent to a target itself, and peers tell it of the same in
//! [`KeptRow`]s. An engine evicts the part that was used least recently, so each use has
//! an age, and a part counts for as long as its target is expected to keep an unused
//! one. The load that this answers: more shared parts than one target has memory for.
//!
//! Invariants:
//! - A row never makes a part appear more recently used than the row states, and never
//!   restores a part whose eviction is known, unless it tells of a later use.
//! - Lengths of prompts come from the requests themselves, never from a row.
//! - The number of targets, of parts of one, and of rows not yet sent is bounded.

use std::time::{Duration, Instant};

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use super::prompt::{Prompt, PromptPart};

/// The maximum number of targets whose parts are tracked.
pub const MAX_TARGETS: usize = 2_048;

/// The maximum number of parts tracked for one target.
pub const MAX_PARTS: usize = 4_096;

/// The maximum number of parts tracked for all targets: about 8 MB.
pub const MAX_ALL_PARTS: usize = 100_000;

/// The maximum number of uses that wait to be sent to peers.
pub const MAX_PENDING_ROWS: usize = 4_096;

/// The least time between two uses of a part at a target of which peers are told.
pub const ROW_INTERVAL: Duration = Duration::from_secs(1);

/// The age above which a use is neither recorded nor sent.
pub const MAX_ROW_AGE: Duration = Duration::from_secs(120);

/// How much later than the last known use a row must be to restore an evicted part: a
/// row's age does not include the time for which it was under way.
const EVICTION_MARGIN: Duration = Duration::from_secs(1);

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
    /// Whether it was evicted after that use.
    is_evicted: bool,
    /// Whether more than one request used it.
    is_shared: bool,
    /// The last use that peers know of.
    told_use: Option<Instant>,
}

impl KeptPart {
    fn new(tokens: u32, used_at: Instant) -> Self {
        Self {
            tokens,
            used_at,
            is_evicted: false,
            is_shared: true,
            told_use: None,
        }
    }

    fn is_kept(&self, horizon: Duration, now: Instant) -> bool {
        !self.is_evicted && now.saturating_duration_since(self.used_at) < horizon
    }

    fn is_untold(&self) -> bool {
        let since = |told| self.used_at.saturating_duration_since(told);
        self.is_shared
            && !self.is_evicted
            && self.told_use.is_none_or(|told| since(told) >= ROW_INTERVAL)
    }

    fn row(&self, (target, part): PartKey, now: Instant) -> Option<KeptRow> {
        let age = now.saturating_duration_since(self.used_at);
        let is_sent = self.is_shared && !self.is_evicted && age <= MAX_ROW_AGE;
        is_sent.then_some(KeptRow {
            target,
            part,
            tokens: self.tokens,
            age: age.as_millis() as u32,
        })
    }
}

/// The tag of a target and the hash of a part.
type PartKey = (u64, u64);

/// The parts kept by all targets, as known to one router.
#[derive(Clone, Default, Debug)]
pub struct KeptParts {
    targets: FxHashMap<u64, FxHashMap<u64, KeptPart>>,
    /// At least the number of parts of all targets.
    part_count: usize,
    /// Parts of whose last use peers are to be told.
    pending: FxHashSet<PartKey>,
}

impl KeptParts {
    /// Records that a prompt was sent to a target, which uses all its parts in order. The
    /// last one belongs to the request, so peers are told of it only after a second use.
    pub fn record_use(&mut self, target: u64, parts: &[PromptPart], now: Instant) {
        let last = parts.len().saturating_sub(1);
        for (index, part) in parts.iter().enumerate() {
            let Some(mut kept) = self.slot(target, part.id, now) else {
                return;
            };
            let is_known = kept.is_some();
            let kept = kept.get_or_insert(KeptPart::new(part.tokens, now));
            kept.is_shared = index < last || is_known;
            kept.tokens = part.tokens;
            kept.used_at = now;
            kept.is_evicted = false;
            let kept = *kept;
            self.store(target, part.id, kept);
            if kept.is_untold() && self.pending.len() < MAX_PENDING_ROWS {
                self.pending.insert((target, part.id));
            }
        }
    }

    /// Applies a row of a peer, received at `now`.
    pub fn apply(&mut self, row: &KeptRow, now: Instant) {
        let age = Duration::from_millis(row.age.into());
        let used_at = now.checked_sub(age).filter(|_| age <= MAX_ROW_AGE);
        let Some(used_at) = used_at else {
            return;
        };
        let Some(known) = self.slot(row.target, row.part, now) else {
            return;
        };
        let kept = match known {
            None => KeptPart {
                told_use: Some(used_at),
                ..KeptPart::new(row.tokens, used_at)
            },
            Some(kept) if kept.is_evicted && used_at <= kept.used_at + EVICTION_MARGIN => return,
            Some(kept) => KeptPart {
                used_at: kept.used_at.max(used_at),
                is_evicted: false,
                is_shared: true,
                told_use: kept.told_use.max(Some(used_at)),
                ..kept
            },
        };
        self.store(row.target, row.part, kept);
    }

    /// Records that a target has evicted a part.
    pub fn forget(&mut self, target: u64, part: u64) {
        let parts = self.targets.get_mut(&target);
        if let Some(kept) = parts.and_then(|parts| parts.get_mut(&part)) {
            kept.is_evicted = true;
        }
    }

    /// Records that a target has evicted all its parts, or that what is known of them is
    /// wrong.
    pub fn clear_target(&mut self, target: u64) {
        let parts = self.targets.get_mut(&target);
        for kept in parts.into_iter().flat_map(|parts| parts.values_mut()) {
            kept.is_evicted = true;
        }
    }

    /// Removes what was used longer than [`MAX_ROW_AGE`] ago.
    pub fn remove_old(&mut self, now: Instant) {
        for parts in self.targets.values_mut() {
            parts.retain(|_, kept| now.saturating_duration_since(kept.used_at) <= MAX_ROW_AGE);
        }
        self.targets.retain(|_, parts| !parts.is_empty());
        self.part_count = self.targets.values().map(FxHashMap::len).sum();
    }

    /// Removes the targets for which the function returns false.
    pub fn retain_targets(&mut self, mut is_used: impl FnMut(u64) -> bool) {
        self.targets.retain(|&target, _| is_used(target));
        let targets = &self.targets;
        self.pending
            .retain(|(target, _)| targets.contains_key(target));
    }

    /// Takes uses of which peers do not know, at most `max`, the longest parts first. Peers
    /// are told of a part at a target at most once in [`ROW_INTERVAL`].
    pub fn take_new_rows(&mut self, max: usize, now: Instant) -> Vec<KeptRow> {
        let keys = std::mem::take(&mut self.pending);
        let untold = keys.into_iter().filter_map(|key| {
            let kept = self.part(key).filter(KeptPart::is_untold)?;
            kept.row(key, now)
        });
        let mut rows: Vec<KeptRow> = untold.collect();
        sort_by_tokens(&mut rows);
        let rest = rows.split_off(rows.len().min(max));
        self.pending
            .extend(rest.into_iter().map(|row| (row.target, row.part)));
        for row in &rows {
            let parts = self.targets.get_mut(&row.target);
            if let Some(kept) = parts.and_then(|parts| parts.get_mut(&row.part)) {
                kept.told_use = Some(kept.used_at);
            }
        }
        rows
    }

    /// The rows for a router that starts, at most `max`, the longest parts first.
    pub fn rows(&self, max: usize, now: Instant) -> Vec<KeptRow> {
        let targets = self.targets.iter();
        let rows = targets.flat_map(|(&target, parts)| {
            let parts = parts.iter();
            parts.filter_map(move |(&part, kept)| kept.row((target, part), now))
        });
        let mut rows: Vec<KeptRow> = rows.collect();
        sort_by_tokens(&mut rows);
        rows.truncate(max);
        rows
    }

    /// The tokens of a prompt that a target keeps, if it keeps an unused part for
    /// `horizon`. A part counts only if all parts before it are kept.
    pub fn kept_tokens(
        &self,
        target: u64,
        prompt: &Prompt,
        horizon: Duration,
        now: Instant,
    ) -> u32 {
        let Some(parts) = self.targets.get(&target) else {
            return 0;
        };
        let prefix = prompt.parts.iter().take_while(|part| {
            let kept = parts.get(&part.id);
            kept.is_some_and(|kept| kept.is_kept(horizon, now))
        });
        let tokens = prefix.fold(0_u32, |sum, part| sum.saturating_add(part.tokens));
        tokens.min(prompt.input_tokens)
    }

    /// The tokens of the shared parts that a target keeps, if it keeps an unused part for
    /// `horizon`.
    pub fn shared_tokens(&self, target: u64, horizon: Duration, now: Instant) -> u64 {
        let parts = self.targets.get(&target).into_iter();
        let parts = parts.flat_map(|parts| parts.values());
        let kept = parts.filter(|kept| kept.is_shared && kept.is_kept(horizon, now));
        kept.map(|kept| u64::from(kept.tokens)).sum()
    }

    /// The last use of a part at a target, unless its eviction is known.
    pub fn last_use(&self, target: u64, part: u64) -> Option<KeptPart> {
        self.part((target, part)).filter(|kept| !kept.is_evicted)
    }

    /// The number of targets and of parts that are tracked.
    pub fn counts(&self) -> (usize, usize) {
        let parts = self.targets.values().map(FxHashMap::len).sum();
        (self.targets.len(), parts)
    }

    fn part(&self, (target, part): PartKey) -> Option<KeptPart> {
        self.targets.get(&target)?.get(&part).copied()
    }

    /// What is known of a part, or `None` if there is no room for it.
    fn slot(&mut self, target: u64, part: u64, now: Instant) -> Option<Option<KeptPart>> {
        let is_full = self.part_count >= MAX_ALL_PARTS;
        let has_room = !is_full && self.targets.len() < MAX_TARGETS;
        match self.targets.get_mut(&target) {
            None => has_room.then_some(None),
            Some(parts) if is_full && !parts.contains_key(&part) => None,
            Some(parts) => {
                if parts.len() >= MAX_PARTS && !parts.contains_key(&part) {
                    evict_oldest_half(parts, now);
                }
                Some(parts.get(&part).copied())
            }
        }
    }

    fn store(&mut self, target: u64, part: u64, kept: KeptPart) {
        let parts = self.targets.entry(target).or_default();
        self.part_count += usize::from(parts.insert(part, kept).is_none());
    }
}

/// Removes the half of the parts that were used least recently.
fn evict_oldest_half(parts: &mut FxHashMap<u64, KeptPart>, now: Instant) {
    let mut ages: Vec<Duration> = parts
        .values()
        .map(|kept| now.saturating_duration_since(kept.used_at))
        .collect();
    let middle = ages.len() / 2;
    let (_, &mut median, _) = ages.select_nth_unstable(middle);
    let mut removed = 0;
    parts.retain(|_, kept| {
        let is_old = now.saturating_duration_since(kept.used_at) >= median;
        let is_removed = is_old && removed < middle;
        removed += usize::from(is_removed);
        !is_removed
    });
}

fn sort_by_tokens(rows: &mut [KeptRow]) {
    rows.sort_unstable_by_key(|row| (std::cmp::Reverse(row.tokens), row.target, row.part));
}
