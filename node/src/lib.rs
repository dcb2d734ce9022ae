//! Code shared by the daemons: settings, control links, the operators' listener,
//! decision records, metrics and log events.
//!
//! The crate performs I/O for the decision logic and makes no decisions about
//! requests itself.
//!
//! Invariant: control state is owned by one thread; other threads send to it over
//! bounded channels and read it through snapshots.

pub mod body;
pub mod client;
pub mod control;
pub mod daemon;
pub mod event;
pub mod host;
pub mod http;
pub mod metrics;
pub mod ops;
pub mod settings;
pub mod sink;
pub mod start;
pub mod trace;
pub mod watch;
