//! What a target saves of a prompt, and what the rest costs there.
//!
//! The shared parts that a target does not keep are read again or copied from a target
//! that keeps them, and either evicts other parts. These costs are weighed against the
//! wait, so a part that is asked for often spreads to as many targets as its load needs,
//! and a full target loses to an idle one. The load that this answers: shared parts that
//! do not fit into the memory of their home, and parts that are asked for unevenly.
//!
//! If it is not known what targets keep, the home of the shared part is assumed to keep
//! it. Where no target is known to keep any of it, the home is where the routers meet.
//!
//! Invariant: a copy is never made from the target itself, and never counts more tokens
//! than its source is known or assumed to keep.

use std::time::Instant;

use entity::Name;

use super::home::home_targets;
use super::{CopySource, PlacementSettings};
use crate::direct::config::Engine;
use crate::direct::target_table::{Prompt, TargetEntryId, TargetTable};

/// The minimum number of tokens for which a copy from another target is
/// worthwhile.
const MIN_COPY_TOKENS: u32 = 64;

/// The time to prefill the shared parts, in milliseconds, above which a request
/// is sent only to targets that have the parts cached, can copy them, or are one
/// of their two homes.
const MAX_UNCACHED_PREFILL_MILLIS: f64 = 25.0;

/// How much longer a copy takes between data centres.
const REMOTE_COPY_FACTOR: f64 = 2.0;

/// The probability that an evicted shared part would have been used again.
const REUSE_PROBABILITY: f64 = 0.5;

/// How a target would get a prompt's parts.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) struct Reading {
    /// The tokens to prefill.
    pub(super) prefill_tokens: u32,
    /// The tokens that are new in the target's memory.
    pub(super) new_tokens: u32,
    /// The target from which parts are copied, if any.
    pub(super) copy_source: Option<CopySource>,
    /// The cost of copying and of evicting other parts, in milliseconds.
    pub(super) cost_millis: f64,
}

/// A target that keeps more of the prompt than the others of its data centre.
#[derive(Clone, Copy, Debug)]
struct Source<'a> {
    target: TargetEntryId,
    centre: &'a Name,
    tokens: u32,
}

/// What is known of the targets that keep parts of one prompt.
#[derive(Clone, Debug)]
enum Keepers<'a> {
    /// Only this router's own requests are known. The home is assumed to keep the shared
    /// parts, and may be copied from if it is known to.
    Assumed { source: Option<TargetEntryId> },
    /// The best source in each data centre, and the tokens that each target keeps, in the
    /// order of the eligible targets.
    Known {
        sources: Vec<Source<'a>>,
        kept: Vec<u32>,
    },
}

/// The weighing of one prompt.
pub(super) struct Saving<'a> {
    table: &'a TargetTable,
    settings: &'a PlacementSettings,
    engine: Engine,
    prompt: &'a Prompt,
    own_tokens: u32,
    home: Option<TargetEntryId>,
    second_home: Option<TargetEntryId>,
    keepers: Keepers<'a>,
    now: Instant,
}

impl<'a> Saving<'a> {
    pub(super) fn new(
        table: &'a TargetTable,
        settings: &'a PlacementSettings,
        eligible: &[TargetEntryId],
        (engine, prompt): (Engine, &'a Prompt),
        now: Instant,
    ) -> Self {
        let (home, second_home) = home_targets(table, prompt, eligible);
        let own_tokens = prompt.own_tokens();
        let keepers = match table.weighs_kept_parts() {
            true => known_keepers(table, eligible, prompt, now),
            false => Keepers::Assumed {
                source: home
                    .filter(|&home| table.target(home).prefill_tokens(prompt, now) <= own_tokens),
            },
        };
        Self {
            table,
            settings,
            engine,
            prompt,
            own_tokens,
            home,
            second_home,
            keepers,
            now,
        }
    }

    /// Whether the target is the home of the prompt's shared part.
    pub(super) fn is_home(&self, target: TargetEntryId) -> bool {
        self.home == Some(target)
    }

    /// How the eligible target with this index would get the prompt's parts, or `None` if
    /// it would read too many shared tokens that its homes are to keep.
    pub(super) fn reading(&self, index: usize, target: TargetEntryId) -> Option<Reading> {
        let reading = match &self.keepers {
            Keepers::Assumed { source } => self.assumed_reading(target, *source),
            Keepers::Known { sources, kept } => self.known_reading(target, kept[index], sources),
        };
        let shared_tokens = reading.prefill_tokens.saturating_sub(self.own_tokens);
        let shared_millis = f64::from(shared_tokens) / self.usual_rate(target);
        let is_home = [self.home, self.second_home].contains(&Some(target));
        (is_home || shared_millis <= MAX_UNCACHED_PREFILL_MILLIS).then_some(reading)
    }

    fn assumed_reading(&self, target: TargetEntryId, source: Option<TargetEntryId>) -> Reading {
        let prefill_tokens = self
            .table
            .target(target)
            .prefill_tokens(self.prompt, self.now);
        let uncached_tokens = prefill_tokens.saturating_sub(self.own_tokens);
        let copy_source = source
            .filter(|&source| source != target && self.can_copy(uncached_tokens))
            .map(|target| CopySource {
                target,
                tokens: uncached_tokens,
            });
        let must_prefill = copy_source.is_none() && !self.is_home(target);
        let read_tokens = if must_prefill { uncached_tokens } else { 0 };
        let cost_millis = match copy_source {
            Some(_) => {
                self.settings.eviction_cost_millis
                    + self.settings.copy_cost * f64::from(uncached_tokens) / self.engine.copy_rate
            }
            None => 0.0,
        };
        Reading {
            prefill_tokens: self.own_tokens + read_tokens,
            new_tokens: prefill_tokens,
            copy_source,
            cost_millis,
        }
    }

    fn known_reading(&self, target: TargetEntryId, kept: u32, sources: &[Source<'_>]) -> Reading {
        let uncached_tokens = self.prompt.input_tokens.saturating_sub(kept);
        let copy = self.best_copy(target, kept, sources);
        let (copy_source, copy_millis) = copy.unzip();
        let copied_tokens = copy_source.map_or(0, |source: CopySource| source.tokens);
        let missing_tokens = uncached_tokens.saturating_sub(self.own_tokens);
        let is_meeting_place = sources.is_empty() && self.is_home(target);
        let (prefill_tokens, evicting_tokens) = match is_meeting_place {
            true => (uncached_tokens.min(self.own_tokens), 0),
            false => (uncached_tokens - copied_tokens, missing_tokens),
        };
        let copy_millis = copy_millis.unwrap_or(0.0);
        Reading {
            prefill_tokens,
            new_tokens: uncached_tokens,
            copy_source,
            cost_millis: self.settings.copy_cost * copy_millis
                + self.eviction_millis(target, evicting_tokens),
        }
    }

    /// The fastest copy to a target of what it does not keep, and its time in
    /// milliseconds.
    fn best_copy(
        &self,
        target: TargetEntryId,
        kept: u32,
        sources: &[Source<'_>],
    ) -> Option<(CopySource, f64)> {
        let centre = &self.table.target(target).centre;
        let rate = self.usual_rate(target);
        let copies = sources.iter().filter_map(|source| {
            let tokens = source.tokens.saturating_sub(kept);
            let is_possible = source.target != target && self.can_copy(tokens);
            is_possible.then(|| {
                let factor = match source.centre == centre {
                    true => 1.0,
                    false => REMOTE_COPY_FACTOR,
                };
                let millis = factor * f64::from(tokens) / self.engine.copy_rate;
                let saved = f64::from(tokens) / rate - millis;
                let target = source.target;
                (saved, (CopySource { target, tokens }, millis))
            })
        });
        let worthwhile = copies.filter(|(saved, _)| *saved > 0.0);
        let best = worthwhile.max_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, copy)| copy)
    }

    /// The rate at which a target prefills at its usual pace, in tokens per millisecond.
    fn usual_rate(&self, target: TargetEntryId) -> f64 {
        let entry = self.table.target(target);
        entry.usual_rate(self.settings.prefill_rate)
    }

    fn can_copy(&self, tokens: u32) -> bool {
        self.engine.copy_rate > 0.0 && tokens >= MIN_COPY_TOKENS
    }

    /// The cost of evicting as many tokens from a target: those that belong to shared parts
    /// may have to be read again.
    fn eviction_millis(&self, target: TargetEntryId, tokens: u32) -> f64 {
        let shared_fraction = self.table.target(target).memory.shared_fraction();
        let read_millis = f64::from(tokens) / self.usual_rate(target);
        self.settings.prefill_cost * read_millis * shared_fraction * REUSE_PROBABILITY
    }
}

fn known_keepers<'a>(
    table: &'a TargetTable,
    eligible: &[TargetEntryId],
    prompt: &Prompt,
    now: Instant,
) -> Keepers<'a> {
    let mut sources: Vec<Source<'a>> = Vec::new();
    let mut kept = Vec::with_capacity(eligible.len());
    for &target in eligible {
        let tokens = table.kept_tokens(target, prompt, now);
        kept.push(tokens);
        if tokens == 0 {
            continue;
        }
        let centre = &table.target(target).centre;
        let source = Source {
            target,
            centre,
            tokens,
        };
        match sources.iter_mut().find(|it| it.centre == centre) {
            Some(best) if best.tokens < tokens => *best = source,
            Some(_) => {}
            None => sources.push(source),
        }
    }
    Keepers::Known { sources, kept }
}
