//! The router daemon: accepts callers' requests and sends attempts to agents.
//!
//! The crate contains the filter chain for requests, the relay of answers and
//! the controller that connects them to [`policy::Router`], which makes all
//! decisions about order, targets and retries.
//!
//! Invariants:
//! - Every request that is read gets one response or its connection is closed.
//! - A body whose source broke ends with an error, never as a complete body.

pub mod control;
pub mod exchange;
pub mod filter;
pub mod relay;
pub mod respond;
pub mod run;
pub mod service;
