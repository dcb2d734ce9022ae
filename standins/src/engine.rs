//! The stand-in for a model engine.
//!
//! Requests are batched continuously: each step makes one token for each
//! running sequence, and a step takes longer when more sequences run. A cold
//! engine that gets more than it can carry dies and comes back cold with a new
//! generation.

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
pub use core::{Admitted, Arrival, Engine, EngineCounts, EngineOptions, Rejection, Resumed};
pub use fault::Fault;
pub use front::run;
pub use order::{Fencing, Order, OrderError, Orders};
pub use report::{EngineReport, LoadReport, Reporter};
pub use request::{ChatRequest, Message, RequestError};
pub use text::{CRASH_MARKER, Script, digest};
