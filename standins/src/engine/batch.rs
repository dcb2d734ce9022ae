//! Continuous batching with a concurrency limit that grows as the engine warms up.
//!
//! Invariants:
//! - At most `Limits::warm` sequences run; further ones wait in order of arrival.
//! - A cold engine never holds more sequences than its current limit: a sequence
//!   that would exceed the limit crashes the engine.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::text::AnswerText;

/// Identifies a sequence; unique for the lifetime of the process.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
pub struct SequenceId(pub u64);

/// The concurrency limits and the speed of an engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Limits {
    /// The concurrency limit of a cold engine, in sequences.
    pub cold: usize,
    /// The concurrency limit of a warm engine, in sequences.
    pub warm: usize,
    /// The number of completions after which a cold engine is warm.
    pub warm_after: u64,
    /// The fixed part of a step's duration.
    pub step_base: Duration,
    /// The duration that each running sequence adds to a step.
    pub step_each: Duration,
    /// The number of prompt tokens that one step processes for a sequence.
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

/// The operating phase of an engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Accepts fewer sequences than its full capacity.
    Cold,
    /// Runs at its full capacity.
    Warm,
    /// Crashed and not yet restarted.
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

/// The result of one step.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Step {
    /// The generated tokens, ordered by sequence.
    pub tokens: Vec<Token>,
    /// The sequences that a crash aborted.
    pub crashed: Vec<SequenceId>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Sequence {
    next: u32,
    length: u32,
    prefill: u32,
    crashes_engine: bool,
}

/// The running and waiting sequences of an engine.
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
    /// Creates the empty batch of a cold engine.
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

    /// The generation number, which each restart increments.
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

    /// The operating phase of an engine.
    pub fn phase(&self) -> Phase {
        match self {
            _ if self.down => Phase::Down,
            _ if self.completions >= self.limits.warm_after => Phase::Warm,
            _ => Phase::Cold,
        }
    }

    /// The current concurrency limit, which rises with the number of completions.
    pub fn limit(&self) -> usize {
        let range = self.limits.warm.saturating_sub(self.limits.cold) as u64;
        let done = self.completions.min(self.limits.warm_after);
        let increase = range * done / self.limits.warm_after.max(1);
        self.limits.cold + usize::try_from(increase).expect("at most the difference of the limits")
    }

    /// The duration of the next step.
    pub fn step_time(&self) -> Duration {
        let each = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.limits.step_base + self.limits.step_each * each
    }

    /// Adds a sequence to the batch.
    ///
    /// # Errors
    ///
    /// Returns the aborted sequences if this one exceeded the limit of a cold engine and so
    /// crashed it.
    pub fn admit(
        &mut self,
        answer_text: AnswerText,
        offset: u32,
        prefill_tokens: u32,
        crashes_engine: bool,
    ) -> Result<SequenceId, Vec<SequenceId>> {
        if self.phase() == Phase::Cold && self.running.len() + 1 > self.limit() {
            return Err(self.crash());
        }
        self.last_id += 1;
        let id = SequenceId(self.last_id);
        let sequence = Sequence {
            next: offset,
            length: answer_text.length(),
            prefill: prefill_tokens / self.limits.prefill.max(1),
            crashes_engine,
        };
        self.waiting.push_back((id, sequence));
        self.start_waiting();
        Ok(id)
    }

    /// Removes a sequence; returns false if it is not in the batch.
    pub fn cancel(&mut self, id: SequenceId) -> bool {
        let waiting = self.waiting.len();
        self.waiting.retain(|(other, _)| *other != id);
        let removed = self.running.remove(&id).is_some() || self.waiting.len() < waiting;
        self.start_waiting();
        removed
    }

    /// Generates one token for each running sequence whose prompt has been processed.
    pub fn step(&mut self) -> Step {
        if self
            .running
            .values()
            .any(|sequence| sequence.crashes_engine && sequence.prefill == 0)
        {
            return Step {
                tokens: Vec::new(),
                crashed: self.crash(),
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
        self.start_waiting();
        Step {
            tokens,
            crashed: Vec::new(),
        }
    }

    /// Crashes the engine and returns the sequences that it aborted.
    pub fn crash(&mut self) -> Vec<SequenceId> {
        self.down = true;
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        running
            .into_keys()
            .chain(waiting.into_iter().map(|(id, _)| id))
            .collect()
    }

    /// Restarts the engine, cold and with a new generation number.
    pub fn restart(&mut self) {
        self.down = false;
        self.generation += 1;
        self.completions = 0;
    }

    /// Makes the engine cold without a restart.
    pub fn cool(&mut self) {
        self.completions = 0;
    }

    fn start_waiting(&mut self) {
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
