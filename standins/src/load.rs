//! An open-loop load generator that verifies the guarantees to callers.
//!
//! Latency is measured from the scheduled time of a request, so that a slow
//! system under test cannot hide queueing delay (coordinated omission).

pub mod check;
pub mod client;
pub mod compare;
pub mod driver;
pub mod gap;
pub mod http1;
pub mod mix;
pub mod observe;
pub mod plot;
pub mod promise;
pub mod report;
pub mod schedule;
pub mod stats;
pub mod table;
