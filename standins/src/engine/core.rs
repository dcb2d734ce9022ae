//! The engine's whole state without sockets.
//!
//! Times are measured from the Unix epoch and passed in.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::batch::{Batch, Limits, Phase, SequenceId, Step};
use super::cache::{CacheEvent, CacheEventKind, EventLog, PrefixCache};
use super::order::{Fencing, Order, OrderError, Orders};
use super::record::Records;
use super::report::{LoadReport, Reporter, millis};
use super::request::{ChatRequest, RequestError};
use super::text::{CRASH_MARKER, Script};
use crate::counts::{Runs, Totals};

/// How an engine behaves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EngineOptions {
    /// How much it carries and how fast it is.
    pub limits: Limits,
    /// How long it is down after it died.
    pub down: Duration,
    /// How far its load report lags.
    pub report_lag: Duration,
    /// How late cache events are.
    pub event_lag: Duration,
    /// Every how many-th cache event is lost; 0 loses none.
    pub event_gap: u64,
    /// The size of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Whether it compares fencing numbers.
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

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The `x-request-id`.
    pub request: String,
    /// The `Idempotency-Key`.
    pub key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A request that the engine runs.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Admitted {
    /// Its sequence.
    pub sequence: SequenceId,
    /// Its answer.
    pub script: Script,
    /// Whether the answer is streamed.
    pub streamed: bool,
}

/// Why a request does not run.
#[derive(Debug)]
pub enum Rejection {
    /// The body is no request.
    Malformed(RequestError),
    /// The engine is down.
    Down,
    /// The request was too much: the engine died with these sequences.
    Died(Vec<SequenceId>),
}

/// The answer to a resume.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Resumed {
    /// The sequence runs; tokens before `made` exist.
    Running {
        /// The sequence.
        sequence: SequenceId,
        /// Its answer.
        script: Script,
        /// The tokens made so far.
        made: u32,
    },
    /// All tokens exist.
    Finished(Script),
    /// The request is not known.
    Unknown,
    /// The engine is down.
    Down,
    /// The engine died of it with these sequences.
    Died(Vec<SequenceId>),
}

/// What an engine really did.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Whether it can take work.
    pub phase: Phase,
    /// The number of its life.
    pub generation: u64,
    /// What it ran.
    pub runs: Runs,
    /// Tokens made.
    pub tokens: u64,
    /// The greatest number of sequences at once.
    pub peak: usize,
    /// How often it died.
    pub deaths: u64,
    /// How often a stream was resumed.
    pub resumes: u64,
    /// Prompts whose prefix was cached.
    pub hits: u64,
    /// The time with at least one running sequence, in milliseconds.
    pub busy_millis: u64,
    /// The time integral of running sequences, in sequence milliseconds.
    pub held_millis: u64,
    /// The time integral of the present limit while up, in sequence milliseconds.
    pub limit_millis: u64,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    options: EngineOptions,
    batch: Batch,
    cache: PrefixCache,
    events: EventLog,
    reporter: Reporter,
    orders: Orders,
    records: Records,
    counts: EngineCounts,
    measured: Duration,
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
            reporter: Reporter::new(options.report_lag),
            orders: Orders::new(options.fencing),
            records: Records::default(),
            counts,
            measured: now,
            options,
        }
    }

    /// Whether the engine can take work.
    pub fn phase(&self) -> Phase {
        self.batch.phase()
    }

    /// True if no sequence runs.
    pub fn is_idle(&self) -> bool {
        self.batch.running() == 0
    }

    /// The time that the next step takes.
    pub fn step_time(&self) -> Duration {
        self.batch.step_time()
    }

    /// How long the engine is down after it died.
    pub fn down_time(&self) -> Duration {
        self.options.down
    }

    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// Returns why it does not run.
    pub fn start(&mut self, now: Duration, arrival: &Arrival) -> Result<Admitted, Rejection> {
        if self.phase() == Phase::Down {
            return Err(Rejection::Down);
        }
        let request = ChatRequest::read(&arrival.body).map_err(Rejection::Malformed)?;
        let script = Script::new(&arrival.body, request.max_tokens);
        let fatal = contains(&arrival.body, CRASH_MARKER.as_bytes());
        let prefill = self.read_prompt(now, &request);
        self.counts
            .runs
            .start(Some(&arrival.request), arrival.key.as_deref());
        let sequence = self
            .admit(now, script, 0, prefill, fatal)
            .map_err(Rejection::Died)?;
        self.records
            .start(&arrival.request, script, prefill, sequence);
        Ok(Admitted {
            sequence,
            script,
            streamed: request.stream,
        })
    }

    /// Goes on with a request's answer from a token.
    pub fn resume(&mut self, now: Duration, request: &str, offset: u32) -> Resumed {
        if self.phase() == Phase::Down {
            return Resumed::Down;
        }
        let Some(record) = self.records.get(request) else {
            return Resumed::Unknown;
        };
        self.counts.resumes += 1;
        let script = record.script;
        match record.sequence {
            Some(sequence) => Resumed::Running {
                sequence,
                script,
                made: record.made,
            },
            None if record.made >= script.length() || offset >= script.length() => {
                Resumed::Finished(script)
            }
            None => match self.admit(now, script, offset, record.prefill, false) {
                Ok(sequence) => {
                    self.records
                        .start(request, script, record.prefill, sequence);
                    Resumed::Running {
                        sequence,
                        script,
                        made: offset,
                    }
                }
                Err(died) => Resumed::Died(died),
            },
        }
    }

    /// Makes one token for each running sequence.
    pub fn step(&mut self, now: Duration) -> Step {
        self.measure(now);
        let step = self.batch.step();
        self.counts.tokens += step.tokens.len() as u64;
        for token in &step.tokens {
            self.records.made(token.sequence, token.index + 1);
            if token.last {
                self.counts.runs.completed += 1;
                self.records.release(token.sequence);
            }
        }
        if !step.crashed.is_empty() {
            self.bury(now, &step.crashed);
        }
        self.sample(now);
        step
    }

    /// Cancels a sequence; false if it does not run.
    pub fn cancel(&mut self, now: Duration, sequence: SequenceId) -> bool {
        self.measure(now);
        let found = self.batch.cancel(sequence);
        if found {
            self.counts.runs.cancelled += 1;
            self.records.release(sequence);
            self.sample(now);
        }
        found
    }

    /// The running sequence of a request.
    pub fn sequence_of(&self, request: &str) -> Option<SequenceId> {
        self.records.get(request)?.sequence
    }

    /// Kills the engine and returns the sequences that died with it.
    pub fn crash(&mut self, now: Duration) -> Vec<SequenceId> {
        self.measure(now);
        let died = self.batch.die();
        self.bury(now, &died);
        died
    }

    /// Starts a dead engine again.
    pub fn restart(&mut self, now: Duration) {
        self.measure(now);
        self.orders.clear();
        self.batch.restart();
        self.sample(now);
    }

    /// Turns the engine cold without a restart.
    pub fn cool(&mut self, now: Duration) {
        self.measure(now);
        self.batch.cool();
        self.clear_cache(now);
    }

    /// The lagging load report.
    pub fn load(&self, now: Duration) -> LoadReport {
        self.reporter.report(now)
    }

    /// The visible cache events.
    pub fn cache_events(&self, now: Duration, after: u64) -> Vec<CacheEvent> {
        self.events.visible(now, after)
    }

    /// The tokens of a cached prefix, for an export.
    pub fn export(&self, prefix: u64) -> Option<u32> {
        self.cache.tokens(prefix)
    }

    /// Stores an imported prefix.
    pub fn import(&mut self, now: Duration, prefix: u64, tokens: u32) {
        self.store_prefix(now, prefix, tokens);
    }

    /// Takes or refuses an order.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine checks fencing numbers and this one is old or missing.
    pub fn order(&mut self, number: Option<u64>, order: Order) -> Result<(), OrderError> {
        self.orders.give(number, order)
    }

    /// The orders taken.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// What the engine really did until `now`.
    pub fn counts(&mut self, now: Duration) -> EngineCounts {
        self.measure(now);
        self.counts.phase = self.batch.phase();
        self.counts.generation = self.batch.generation();
        self.counts.clone()
    }

    /// A short account of what the engine did until `now`.
    pub fn totals(&mut self, now: Duration) -> Totals {
        self.measure(now);
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
        script: Script,
        offset: u32,
        prefill: u32,
        fatal: bool,
    ) -> Result<SequenceId, Vec<SequenceId>> {
        self.measure(now);
        let admitted = self.batch.admit(script, offset, prefill, fatal);
        match &admitted {
            Ok(_) => {
                let held = self.batch.running() + self.batch.waiting();
                self.counts.peak = self.counts.peak.max(held);
                self.sample(now);
            }
            Err(died) => {
                self.counts.runs.crashed += 1;
                self.bury(now, &died.clone());
            }
        }
        admitted
    }

    fn read_prompt(&mut self, now: Duration, request: &ChatRequest) -> u32 {
        let prefix = request.prefix();
        let prompt = request.prompt_tokens();
        if self.cache.touch(prefix) {
            self.counts.hits += 1;
            return prompt.saturating_sub(request.prefix_tokens());
        }
        self.store_prefix(now, prefix, request.prefix_tokens());
        prompt
    }

    fn store_prefix(&mut self, now: Duration, prefix: u64, tokens: u32) {
        let evicted = self.cache.store(prefix, tokens);
        self.events.push(now, CacheEventKind::Stored, prefix);
        for prefix in evicted {
            self.events.push(now, CacheEventKind::Evicted, prefix);
        }
    }

    fn clear_cache(&mut self, now: Duration) {
        self.cache.clear();
        self.events.push(now, CacheEventKind::Cleared, 0);
    }

    fn bury(&mut self, now: Duration, died: &[SequenceId]) {
        self.counts.deaths += 1;
        self.counts.runs.crashed += died.len() as u64;
        self.records = Records::default();
        self.clear_cache(now);
    }

    fn sample(&mut self, now: Duration) {
        self.reporter.sample(LoadReport {
            running: self.batch.running(),
            queued: self.batch.waiting(),
            generation: self.batch.generation(),
            at_millis: millis(now),
        });
    }

    fn measure(&mut self, now: Duration) {
        let passed = millis(now) - millis(self.measured.min(now));
        self.measured = self.measured.max(now);
        if self.phase() == Phase::Down {
            return;
        }
        let running = self.batch.running() as u64;
        self.counts.busy_millis += if running > 0 { passed } else { 0 };
        self.counts.held_millis += running * passed;
        self.counts.limit_millis += self.batch.limit() as u64 * passed;
    }
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}
