//! The engine's state machine, without sockets or clocks.
//!
//! Times are durations since the Unix epoch and are passed in by the caller.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::batch::{Batch, Limits, Phase, SequenceId, Step};
use super::cache::{CacheEvent, CacheEventKind, EventLog, PrefixCache};
use super::order::{Fencing, Order, OrderError, Orders};
use super::record::ResumableRequests;
use super::report::{DelayedLoadReport, LoadReport, millis};
use super::request::{ChatRequest, RequestError};
use super::text::{AnswerText, CRASH_MARKER};
use crate::counts::{Runs, Totals};

/// The configuration of an engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EngineOptions {
    /// The concurrency limits and the speed.
    pub limits: Limits,
    /// The time between a crash and the restart.
    pub down: Duration,
    /// The delay of the load report.
    pub report_lag: Duration,
    /// The delay until a cache event becomes visible.
    pub event_lag: Duration,
    /// Every `event_gap`-th cache event is lost; 0 loses none.
    pub event_gap: u64,
    /// The size of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Whether the engine checks fencing numbers.
    pub fencing: Fencing,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            limits: Limits::default(),
            down: Duration::from_millis(1500),
            report_lag: Duration::from_millis(300),
            event_lag: Duration::from_millis(500),
            event_gap: 7,
            cache_tokens: 4096,
            fencing: Fencing::Checked,
        }
    }
}

/// A chat-completions request to the engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// The `x-request-id`.
    pub request_id: String,
    /// The `Idempotency-Key`.
    pub key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A request that the engine runs.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Admitted {
    /// The sequence.
    pub sequence: SequenceId,
    /// The text of the answer.
    pub answer_text: AnswerText,
    /// Whether the answer is streamed.
    pub streamed: bool,
}

/// Why a request was not started.
#[derive(Debug)]
pub enum Rejection {
    /// The body is not a valid request.
    Malformed(RequestError),
    /// The engine is down.
    Down,
    /// The request exceeded the limit and crashed the engine, which aborted these sequences.
    Crashed(Vec<SequenceId>),
}

/// The result of resuming a stream.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Resumed {
    /// The sequence runs; the first `tokens_generated` tokens exist.
    Running {
        /// The sequence.
        sequence: SequenceId,
        /// The text of the answer.
        answer_text: AnswerText,
        /// The number of tokens generated so far.
        tokens_generated: u32,
    },
    /// All tokens have been generated.
    Finished(AnswerText),
    /// The request is not known.
    Unknown,
    /// The engine is down.
    Down,
    /// Resuming exceeded the limit and crashed the engine, which aborted these sequences.
    Crashed(Vec<SequenceId>),
}

/// The counters of an engine.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EngineCounts {
    /// The current phase.
    pub phase: Phase,
    /// The generation number, which each restart increments.
    pub generation: u64,
    /// The runs.
    pub runs: Runs,
    /// Tokens generated.
    pub tokens: u64,
    /// The greatest number of concurrent sequences.
    pub peak: usize,
    /// Crashes of the engine.
    pub deaths: u64,
    /// Resumed streams.
    pub resumes: u64,
    /// Prompts whose prefix was cached.
    pub hits: u64,
    /// The time with at least one running sequence, in milliseconds.
    pub busy_millis: u64,
    /// The integral of the number of running sequences over time, in sequence milliseconds.
    pub held_millis: u64,
    /// The integral of the current limit over the time the engine is up, in sequence milliseconds.
    pub limit_millis: u64,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    options: EngineOptions,
    batch: Batch,
    cache: PrefixCache,
    events: EventLog,
    reporter: DelayedLoadReport,
    orders: Orders,
    records: ResumableRequests,
    counts: EngineCounts,
    measured_until: Duration,
}

impl Engine {
    /// Creates a cold engine that starts at `now`.
    pub fn new(now: Duration, options: EngineOptions) -> Self {
        let batch = Batch::new(options.limits);
        let counts = EngineCounts {
            phase: batch.phase(),
            generation: batch.generation(),
            runs: Runs::default(),
            tokens: 0,
            peak: 0,
            deaths: 0,
            resumes: 0,
            hits: 0,
            busy_millis: 0,
            held_millis: 0,
            limit_millis: 0,
        };
        Self {
            batch,
            cache: PrefixCache::new(options.cache_tokens),
            events: EventLog::new(options.event_lag, options.event_gap),
            reporter: DelayedLoadReport::new(options.report_lag),
            orders: Orders::new(options.fencing),
            records: ResumableRequests::default(),
            counts,
            measured_until: now,
            options,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.batch.phase()
    }

    /// True if no sequence runs.
    pub fn is_idle(&self) -> bool {
        self.batch.running() == 0
    }

    /// The duration of the next step.
    pub fn step_time(&self) -> Duration {
        self.batch.step_time()
    }

    /// The time between a crash and the restart.
    pub fn down_time(&self) -> Duration {
        self.options.down
    }

    /// Starts a request.
    ///
    /// # Errors
    ///
    /// Returns why the request was not started.
    pub fn start(&mut self, now: Duration, request: &EngineRequest) -> Result<Admitted, Rejection> {
        if self.phase() == Phase::Down {
            return Err(Rejection::Down);
        }
        let chat = ChatRequest::parse(&request.body).map_err(Rejection::Malformed)?;
        let answer_text = AnswerText::new(&request.body, chat.max_tokens);
        let crashes_engine = contains_bytes(&request.body, CRASH_MARKER.as_bytes());
        let prefill = self.prefill_tokens(now, &chat);
        self.counts
            .runs
            .start(Some(&request.request_id), request.key.as_deref());
        let sequence = self
            .admit(now, answer_text, 0, prefill, crashes_engine)
            .map_err(Rejection::Crashed)?;
        self.records
            .start(&request.request_id, answer_text, prefill, sequence);
        Ok(Admitted {
            sequence,
            answer_text,
            streamed: chat.stream,
        })
    }

    /// Resumes the answer of a request at the token `offset`.
    pub fn resume(&mut self, now: Duration, request_id: &str, offset: u32) -> Resumed {
        if self.phase() == Phase::Down {
            return Resumed::Down;
        }
        let Some(record) = self.records.get(request_id) else {
            return Resumed::Unknown;
        };
        self.counts.resumes += 1;
        let answer_text = record.answer_text;
        match record.sequence {
            Some(sequence) => Resumed::Running {
                sequence,
                answer_text,
                tokens_generated: record.tokens_generated,
            },
            None if record.tokens_generated >= answer_text.length()
                || offset >= answer_text.length() =>
            {
                Resumed::Finished(answer_text)
            }
            None => match self.admit(now, answer_text, offset, record.prefill, false) {
                Ok(sequence) => {
                    self.records
                        .start(request_id, answer_text, record.prefill, sequence);
                    Resumed::Running {
                        sequence,
                        answer_text,
                        tokens_generated: offset,
                    }
                }
                Err(crashed_sequences) => Resumed::Crashed(crashed_sequences),
            },
        }
    }

    /// Generates one token for each running sequence.
    pub fn step(&mut self, now: Duration) -> Step {
        self.update_integrals(now);
        let step = self.batch.step();
        self.counts.tokens += step.tokens.len() as u64;
        for token in &step.tokens {
            self.records
                .set_tokens_generated(token.sequence, token.index + 1);
            if token.last {
                self.counts.runs.completed += 1;
                self.records.release(token.sequence);
            }
        }
        if !step.crashed.is_empty() {
            self.record_crash(now, &step.crashed);
        }
        self.sample_load(now);
        step
    }

    /// Cancels a sequence; returns false if the engine does not hold it.
    pub fn cancel(&mut self, now: Duration, sequence: SequenceId) -> bool {
        self.update_integrals(now);
        let found = self.batch.cancel(sequence);
        if found {
            self.counts.runs.cancelled += 1;
            self.records.release(sequence);
            self.sample_load(now);
        }
        found
    }

    /// The sequence of a request, if it is running or waiting.
    pub fn sequence_of(&self, request_id: &str) -> Option<SequenceId> {
        self.records.get(request_id)?.sequence
    }

    /// Crashes the engine and returns the sequences that it aborted.
    pub fn crash(&mut self, now: Duration) -> Vec<SequenceId> {
        self.update_integrals(now);
        let crashed_sequences = self.batch.crash();
        self.record_crash(now, &crashed_sequences);
        crashed_sequences
    }

    /// Restarts a crashed engine.
    pub fn restart(&mut self, now: Duration) {
        self.update_integrals(now);
        self.orders.clear();
        self.batch.restart();
        self.sample_load(now);
    }

    /// Makes the engine cold without a restart and clears its cache.
    pub fn cool(&mut self, now: Duration) {
        self.update_integrals(now);
        self.batch.cool();
        self.clear_cache(now);
    }

    /// The delayed load report.
    pub fn load(&self, now: Duration) -> LoadReport {
        self.reporter.report(now)
    }

    /// The cache events after number `after` that are visible at `now`.
    pub fn cache_events(&self, now: Duration, after: u64) -> Vec<CacheEvent> {
        self.events.visible(now, after)
    }

    /// The number of tokens of a cached prefix, for an export.
    pub fn export(&self, prefix: u64) -> Option<u32> {
        self.cache.tokens(prefix)
    }

    /// Stores an imported prefix.
    pub fn import(&mut self, now: Duration, prefix: u64, tokens: u32) {
        self.store_prefix(now, prefix, tokens);
    }

    /// Accepts or rejects an order.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine checks fencing numbers and this one is stale or missing.
    pub fn order(&mut self, number: Option<u64>, order: Order) -> Result<(), OrderError> {
        self.orders.apply(number, order)
    }

    /// The accepted orders.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// All counters up to `now`.
    pub fn counts(&mut self, now: Duration) -> EngineCounts {
        self.update_integrals(now);
        self.counts.phase = self.batch.phase();
        self.counts.generation = self.batch.generation();
        self.counts.clone()
    }

    /// The summary counters up to `now`.
    pub fn totals(&mut self, now: Duration) -> Totals {
        self.update_integrals(now);
        Totals {
            started: self.counts.runs.started,
            completed: self.counts.runs.completed,
            running: self.batch.running() as u64,
            tokens: self.counts.tokens,
            deaths: self.counts.deaths,
            held_millis: self.counts.held_millis,
            limit_millis: self.counts.limit_millis,
        }
    }

    fn admit(
        &mut self,
        now: Duration,
        answer_text: AnswerText,
        offset: u32,
        prefill: u32,
        crashes_engine: bool,
    ) -> Result<SequenceId, Vec<SequenceId>> {
        self.update_integrals(now);
        let admitted = self
            .batch
            .admit(answer_text, offset, prefill, crashes_engine);
        match &admitted {
            Ok(_) => {
                let in_engine = self.batch.running() + self.batch.waiting();
                self.counts.peak = self.counts.peak.max(in_engine);
                self.sample_load(now);
            }
            Err(crashed_sequences) => {
                self.counts.runs.crashed += 1;
                self.record_crash(now, &crashed_sequences.clone());
            }
        }
        admitted
    }

    fn prefill_tokens(&mut self, now: Duration, chat: &ChatRequest) -> u32 {
        let prefix = chat.prefix();
        let prompt_tokens = chat.prompt_tokens();
        if self.cache.mark_used(prefix) {
            self.counts.hits += 1;
            return prompt_tokens.saturating_sub(chat.prefix_tokens());
        }
        self.store_prefix(now, prefix, chat.prefix_tokens());
        prompt_tokens
    }

    fn store_prefix(&mut self, now: Duration, prefix: u64, tokens: u32) {
        let evicted = self.cache.insert(prefix, tokens);
        self.events.push(now, CacheEventKind::Stored, prefix);
        for prefix in evicted {
            self.events.push(now, CacheEventKind::Evicted, prefix);
        }
    }

    fn clear_cache(&mut self, now: Duration) {
        self.cache.clear();
        self.events.push(now, CacheEventKind::Cleared, 0);
    }

    fn record_crash(&mut self, now: Duration, crashed_sequences: &[SequenceId]) {
        self.counts.deaths += 1;
        self.counts.runs.crashed += crashed_sequences.len() as u64;
        self.records = ResumableRequests::default();
        self.clear_cache(now);
    }

    fn sample_load(&mut self, now: Duration) {
        self.reporter.add_sample(LoadReport {
            running: self.batch.running(),
            queued: self.batch.waiting(),
            generation: self.batch.generation(),
            at_millis: millis(now),
        });
    }

    fn update_integrals(&mut self, now: Duration) {
        let elapsed = millis(now) - millis(self.measured_until.min(now));
        self.measured_until = self.measured_until.max(now);
        if self.phase() == Phase::Down {
            return;
        }
        let running = self.batch.running() as u64;
        self.counts.busy_millis += if running > 0 { elapsed } else { 0 };
        self.counts.held_millis += running * elapsed;
        self.counts.limit_millis += self.batch.limit() as u64 * elapsed;
    }
}

fn contains_bytes(haystack: &[u8], needle: &[u8]) -> bool {
    haystack
        .windows(needle.len())
        .any(|window| window == needle)
}
