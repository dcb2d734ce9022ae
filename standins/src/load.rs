//! Open-loop load against routers, with a check of what callers are promised.
//!
//! Latency is measured from the scheduled time of a request, so a slow system
//! does not slow its own measurement down.

pub mod check;
pub mod client;
pub mod compare;
pub mod driver;
pub mod gap;
pub mod http1;
pub mod mix;
pub mod plot;
pub mod promise;
pub mod report;
pub mod schedule;
pub mod table;
pub mod tally;
pub mod watch;
