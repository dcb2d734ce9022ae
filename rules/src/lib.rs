//! The operators' rules: parser, checker and compiled tables.
//!
//! The crate defines the grammar of the rules file and the [`Config`] that the
//! decision logic reads. It performs no I/O.
//!
//! Invariant: checking and compiling are deterministic, so every process and
//! `knapweedctl check` accept and reject the same documents.

mod compile;
mod config;
mod diff;
mod document;
mod end;
mod error;
mod history;
mod parse;
mod part;
mod route;
mod scan;
mod statement;
mod value;
mod verify;

pub use compile::{compile, load};
pub use config::{
    Config, DataCentre, Fencing, KeyHash, Limits, Model, Pool, PoolKind, RateLimit, Repeat, Route,
    Target, Team, Window,
};
pub use diff::{
    Change, ChangeKind, Diff, FieldChange, PoolEffect, Portion, Subject, TeamEffect, Whom, diff,
};
pub use document::{Document, MAX_DOCUMENT_BYTES, MAX_LINE_BYTES, Rule, RuleSource};
pub use error::RuleError;
pub use history::{History, MAX_REVISIONS};
pub use part::{MAX_VALUE_BYTES, Origin, assemble, origin, part_hash, parts};
pub use route::RouteTable;
pub use statement::{
    DEFAULT_HINT, DEFAULT_TIMEOUT, DrainStatement, KeyStatement, ModelStatement, PartStatement,
    PoolStatement, RouteStatement, Statement, TargetStatement, TeamStatement,
};
pub use value::{MAX_NAME_BYTES, MAX_TIMEOUT, format_instant, format_time};
pub use verify::{MAX_WINDOW, verify};
