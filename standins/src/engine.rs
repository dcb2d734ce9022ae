//! A stand-in for a model engine with continuous batching.
//!
//! Each step generates one token for each running sequence, and the duration of
//! a step grows with the number of running sequences. A cold engine that
//! exceeds its concurrency limit crashes and restarts cold with a new
//! generation number.

mod answer;
mod batch;
mod cache;
mod core;
mod fault;
mod front;
mod order;
mod record;
mod report;
mod request;
mod text;

pub use answer::{Choice, Completion, DONE, Text, Usage};
pub use batch::{Batch, Limits, Phase, SequenceId, Step, Token};
pub use cache::{CacheEvent, CacheEventKind, EventLog, PrefixCache};
pub use core::{Admitted, Engine, EngineCounts, EngineOptions, EngineRequest, Rejection, Resumed};
pub use fault::Fault;
pub use front::run;
pub use order::{Fencing, Order, OrderError, Orders};
pub use report::{DelayedLoadReport, EngineReport, LoadReport};
pub use request::{ChatRequest, Message, RequestError};
pub use text::{AnswerText, CRASH_MARKER, digest};
