//! Continuous batching with a true limit that depends on warmth.
//!
//! Invariants:
//! - At most the warm limit of sequences run; more wait in order of arrival.
//! - A cold engine never has more than its present limit in it: the sequence
//!   that would exceed it kills the engine instead.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::text::Script;

/// Identifies a sequence for the life of the process.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
pub struct SequenceId(pub u64);

/// How much an engine can carry and how fast it is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Limits {
    /// Sequences that a cold engine carries.
    pub cold: usize,
    /// Sequences that a warm engine runs at once.
    pub warm: usize,
    /// Completions that make a cold engine warm.
    pub warm_after: u64,
    /// Time of a step that does not depend on the batch.
    pub step_base: Duration,
    /// Time that each running sequence adds to a step.
    pub step_each: Duration,
    /// Prompt tokens that one step processes for a sequence.
    pub prefill: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            cold: 2,
            warm: 8,
            warm_after: 12,
            step_base: Duration::from_millis(2),
            step_each: Duration::from_micros(250),
            prefill: 64,
        }
    }
}

/// Whether the engine can take work.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Carries little.
    Cold,
    /// Carries its full load.
    Warm,
    /// Dead until it is restarted.
    Down,
}

/// One token of a sequence.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Token {
    /// The sequence.
    pub sequence: SequenceId,
    /// The token's index.
    pub index: u32,
    /// True for the last token of the sequence.
    pub last: bool,
}

/// What one step did.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Step {
    /// The tokens made, ordered by sequence.
    pub tokens: Vec<Token>,
    /// The sequences that a crash ended.
    pub crashed: Vec<SequenceId>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Sequence {
    next: u32,
    length: u32,
    prefill: u32,
    fatal: bool,
}

/// The engine's batch.
#[derive(Clone, Debug)]
pub struct Batch {
    limits: Limits,
    generation: u64,
    completions: u64,
    down: bool,
    running: BTreeMap<SequenceId, Sequence>,
    waiting: VecDeque<(SequenceId, Sequence)>,
    last_id: u64,
}

impl Batch {
    /// Creates a cold, empty engine.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            generation: 1,
            completions: 0,
            down: false,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            last_id: 0,
        }
    }

    /// The number of the engine's present life.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The number of running sequences.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The number of waiting sequences.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the engine can take work.
    pub fn phase(&self) -> Phase {
        match self {
            _ if self.down => Phase::Down,
            _ if self.completions >= self.limits.warm_after => Phase::Warm,
            _ => Phase::Cold,
        }
    }

    /// The number of sequences that the engine carries at present.
    pub fn limit(&self) -> usize {
        let spread = self.limits.warm.saturating_sub(self.limits.cold) as u64;
        let done = self.completions.min(self.limits.warm_after);
        let gained = spread * done / self.limits.warm_after.max(1);
        self.limits.cold + usize::try_from(gained).expect("at most the spread")
    }

    /// The time that the next step takes.
    pub fn step_time(&self) -> Duration {
        let each = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.limits.step_base + self.limits.step_each * each
    }

    /// Takes a sequence in.
    ///
    /// # Errors
    ///
    /// Returns the sequences that died with the engine if this one was too much for it.
    pub fn admit(
        &mut self,
        script: Script,
        offset: u32,
        prefill_tokens: u32,
        fatal: bool,
    ) -> Result<SequenceId, Vec<SequenceId>> {
        if self.phase() == Phase::Cold && self.running.len() + 1 > self.limit() {
            return Err(self.die());
        }
        self.last_id += 1;
        let id = SequenceId(self.last_id);
        let sequence = Sequence {
            next: offset,
            length: script.length(),
            prefill: prefill_tokens / self.limits.prefill.max(1),
            fatal,
        };
        self.waiting.push_back((id, sequence));
        self.fill();
        Ok(id)
    }

    /// Removes a sequence; false if it is not here.
    pub fn cancel(&mut self, id: SequenceId) -> bool {
        let waiting = self.waiting.len();
        self.waiting.retain(|(other, _)| *other != id);
        let removed = self.running.remove(&id).is_some() || self.waiting.len() < waiting;
        self.fill();
        removed
    }

    /// Makes one token for each running sequence that has read its prompt.
    pub fn step(&mut self) -> Step {
        if self.running.values().any(|s| s.fatal && s.prefill == 0) {
            return Step {
                tokens: Vec::new(),
                crashed: self.die(),
            };
        }
        let mut tokens = Vec::new();
        for (id, sequence) in &mut self.running {
            tokens.extend(advance(*id, sequence));
        }
        for token in tokens.iter().filter(|token| token.last) {
            self.running.remove(&token.sequence);
            self.completions += 1;
        }
        self.fill();
        Step {
            tokens,
            crashed: Vec::new(),
        }
    }

    /// Kills the engine and returns what it held.
    pub fn die(&mut self) -> Vec<SequenceId> {
        self.down = true;
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        running
            .into_keys()
            .chain(waiting.into_iter().map(|(id, _)| id))
            .collect()
    }

    /// Starts the engine again, cold and with a new generation.
    pub fn restart(&mut self) {
        self.down = false;
        self.generation += 1;
        self.completions = 0;
    }

    /// Turns the engine cold without a restart.
    pub fn cool(&mut self) {
        self.completions = 0;
    }

    fn fill(&mut self) {
        while self.running.len() < self.limit().max(1) {
            let Some((id, sequence)) = self.waiting.pop_front() else {
                return;
            };
            self.running.insert(id, sequence);
        }
    }
}

fn advance(id: SequenceId, sequence: &mut Sequence) -> Option<Token> {
    if sequence.prefill > 0 {
        sequence.prefill -= 1;
        return None;
    }
    let index = sequence.next;
    sequence.next += 1;
    Some(Token {
        sequence: id,
        index,
        last: sequence.next >= sequence.length,
    })
}
