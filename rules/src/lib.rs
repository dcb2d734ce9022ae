//! The operators' rules: text form, checker and compiled tables.
//!
//! The crate owns the grammar of the rules file and the [`Config`] that the
//! decision logic reads. It performs no I/O.
//!
//! Invariant: checking and compiling are deterministic, so every process and
//! `knapweedctl check` accept and refuse the same documents.

mod config;

pub use config::{
    Config, DataCentre, Fencing, KeyHash, Limits, Model, Pool, PoolKind, RateLimit, Repeat, Route,
    Target, Team, Window,
};
