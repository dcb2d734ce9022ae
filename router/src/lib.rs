//! The router daemon: callers' requests in, attempts to agents out.
//!
//! The crate owns the filter chain for requests, the relay of answers and the
//! controller that connects [`policy::Router`] with them. It decides nothing
//! itself about order, targets or retries.
//!
//! Invariants:
//! - Every request that is read gets one response or a closed connection.
//! - A body whose source broke is never ended cleanly.

pub mod control;
pub mod exchange;
pub mod filter;
pub mod relay;
pub mod respond;
pub mod run;
pub mod service;
