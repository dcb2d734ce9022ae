//! What the daemons share: settings, control links, the operators' listener,
//! decision records, metrics and log events.
//!
//! The crate performs I/O on behalf of the decision logic and decides nothing
//! about requests.
//!
//! Invariant: control state lives on one thread; other threads reach it through
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
