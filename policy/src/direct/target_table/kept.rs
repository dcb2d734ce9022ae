//! What targets keep, as the load of a target counts it.
//!
//! Invariant: nothing here has an effect until [`TargetTable::weigh_kept_parts`].

use std::time::{Duration, Instant};

use entity::Name;
use rustc_hash::FxHashSet;

use super::load::{AttemptCost, Belief};
use super::{TargetEntryId, TargetTable};
use crate::direct::config::Engine;
use crate::direct::memory::{HorizonScale, MAX_HORIZON, MemoryReading, TokenStay};
use crate::direct::prompt::Prompt;

/// The interval at which uses that are too old are removed.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(10);

/// The least number of kept tokens whose eviction shows in the time to the first event.
const MIN_EVIDENT_TOKENS: u32 = 1_000;

/// The part of the time to read the kept tokens by which a first event must be late.
const EVIDENT_FRACTION: f64 = 0.8;

/// The time of a first event that is not prefill: steps and the network.
const EVENT_OVERHEAD: Duration = Duration::from_millis(25);

/// The state of the weighing.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weighing {
    stay: TokenStay,
    updated_at: Option<Instant>,
    removed_at: Option<Instant>,
    prefill_rate: f64,
    evicted_count: u64,
    scale: HorizonScale,
}

impl TargetTable {
    /// Turns on the weighing of what targets keep. `prefill_rate` is in tokens per
    /// millisecond.
    pub fn weigh_kept_parts(&mut self, prefill_rate: f64) {
        self.weighing = Some(Weighing {
            stay: TokenStay::default(),
            updated_at: None,
            removed_at: None,
            prefill_rate,
            evicted_count: 0,
            scale: HorizonScale::default(),
        });
    }

    /// Whether it is weighed what targets keep.
    pub fn weighs_kept_parts(&self) -> bool {
        self.weighing.is_some()
    }

    /// The number of times that a target had evicted parts which it was believed to keep.
    pub fn evicted_count(&self) -> u64 {
        self.weighing.map_or(0, |weighing| weighing.evicted_count)
    }

    /// Updates what is known of the memory of all targets, given the engine of a service and
    /// the prefill rate in tokens per millisecond. Called about ten times a second.
    pub fn update_memory(
        &mut self,
        engine: impl Fn(&Name) -> Option<Engine>,
        prefill_rate: f64,
        now: Instant,
    ) {
        let Some(weighing) = &mut self.weighing else {
            return;
        };
        weighing.prefill_rate = prefill_rate;
        let updated_at = weighing.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(updated_at);
        let is_recent = |at| now.saturating_duration_since(at) < REMOVAL_INTERVAL;
        if !weighing.removed_at.is_some_and(is_recent) {
            weighing.removed_at = Some(now);
            self.kept.remove_old(now);
        }
        let own_tokens = self.entries.values().map(|it| it.own_load.memory_tokens);
        weighing.stay.record_occupied(own_tokens.sum(), elapsed);
        let stay = weighing.stay.seconds();
        let scale = weighing.scale.factor();
        for entry in self.entries.values_mut().filter(|it| it.accepts_requests) {
            let Some(engine) = engine(&entry.service) else {
                continue;
            };
            let horizon = entry.memory.horizon(now);
            // Without a known stay, nothing ran long enough to pin parts for long.
            let pinned = stay.map_or(Duration::ZERO, Duration::from_secs_f64);
            let reading = MemoryReading {
                capacity: engine.memory,
                running_tokens: entry.load().memory_tokens,
                shared_tokens: self.kept.shared_tokens(entry.tag, horizon, now),
                pinned_tokens: self.kept.shared_tokens(entry.tag, pinned, now),
                stay,
                scale,
            };
            entry.memory.update(&reading, elapsed);
        }
    }

    /// Removes what was kept by targets that are no longer registered.
    pub(super) fn retain_kept_parts(&mut self) {
        if self.weighing.is_none() {
            return;
        }
        let registered = self.by_service.values().flatten();
        let tags: FxHashSet<u64> = registered.map(|&id| self.entries[id].tag).collect();
        self.kept.retain_targets(|tag| tags.contains(&tag));
    }

    /// The tokens of a prompt that a target is expected to keep.
    pub fn kept_tokens(&self, id: TargetEntryId, prompt: &Prompt, now: Instant) -> u32 {
        let entry = &self.entries[id];
        let horizon = entry.memory.horizon(now);
        self.kept.kept_tokens(entry.tag, prompt, horizon, now)
    }

    /// The tokens of a prompt that a target has to prefill.
    pub(super) fn prefill_tokens(&self, id: TargetEntryId, prompt: &Prompt, now: Instant) -> u32 {
        match self.weighs_kept_parts() {
            true => prompt.input_tokens - self.kept_tokens(id, prompt, now),
            false => self.entries[id].prefill_tokens(prompt, now),
        }
    }

    /// The memory of an attempt, of which a target has to prefill `new_tokens`.
    pub fn memory_tokens(&self, prompt: &Prompt, new_tokens: u32) -> u32 {
        match self.weighs_kept_parts() {
            // Shared parts are counted once for all attempts that use them.
            true => {
                let own_tokens = new_tokens.min(prompt.own_tokens());
                own_tokens.saturating_add(prompt.expected_output_tokens)
            }
            false => prompt.input_tokens + prompt.max_output_tokens,
        }
    }

    pub(super) fn belief(
        &self,
        id: TargetEntryId,
        prompt: &Prompt,
        copied_tokens: u32,
        now: Instant,
    ) -> Option<Belief> {
        let weighing = self.weighing?;
        let entry = &self.entries[id];
        let kept_tokens = self.kept_tokens(id, prompt, now);
        let known_tokens = match copied_tokens {
            0 => self.kept.kept_tokens(entry.tag, prompt, MAX_HORIZON, now),
            // The part is there in any case.
            _ => kept_tokens,
        };
        let parts = prompt.parts.iter();
        let uses = parts.filter_map(|part| self.kept.last_use(entry.tag, part.id));
        let ages = uses.map(|kept| now.saturating_duration_since(kept.used_at));
        Some(Belief {
            kept_tokens,
            evicted_tokens: known_tokens - kept_tokens,
            age: ages.max().unwrap_or(MAX_HORIZON),
            waiting_tokens: entry.waiting_tokens(weighing.prefill_rate, now)
                + f64::from((prompt.input_tokens - kept_tokens).saturating_sub(copied_tokens)),
        })
    }

    pub(super) fn record_kept_use(
        &mut self,
        id: TargetEntryId,
        prompt: &Prompt,
        cost: AttemptCost,
        now: Instant,
    ) {
        if let Some(weighing) = &mut self.weighing {
            weighing.stay.record_admitted(cost.memory_tokens);
            let tag = self.entries[id].tag;
            self.kept.record_use(tag, &prompt.parts, now);
        }
    }

    /// Compares the time of a first event with what the target was believed to keep. If
    /// reading these parts again explains the delay, parts that were not used for as long
    /// are no longer believed to be kept there. If the event is earlier than these parts
    /// could be read, parts are kept for longer.
    pub(super) fn check_belief(&mut self, id: TargetEntryId, cost: AttemptCost, now: Instant) {
        let (Some(weighing), Some(belief), Some(sent)) =
            (&mut self.weighing, cost.belief, cost.sent)
        else {
            return;
        };
        let entry = &mut self.entries[id];
        let rate = weighing.prefill_rate / entry.pace(now);
        let millis = |tokens: f64| Duration::from_secs_f64(tokens.max(0.0) / rate / 1e3);
        let kept = f64::from(belief.kept_tokens);
        let expected = millis(belief.waiting_tokens) + EVENT_OVERHEAD;
        let elapsed = now.saturating_duration_since(sent);
        let is_late = elapsed > expected + millis(kept * EVIDENT_FRACTION);
        // Behind a long queue, a delay has other causes.
        let is_evident = belief.kept_tokens >= MIN_EVIDENT_TOKENS && belief.waiting_tokens <= kept;
        if is_late && is_evident {
            weighing.evicted_count += 1;
            weighing.scale.record(false);
            entry.memory.record_evicted(belief.age, now);
        }
        // A target cannot read as many tokens in less time.
        let unread = f64::from(belief.evicted_tokens) * EVIDENT_FRACTION;
        let is_early = elapsed < millis(belief.waiting_tokens - unread);
        if is_early && belief.evicted_tokens >= MIN_EVIDENT_TOKENS {
            weighing.scale.record(true);
        }
    }
}
