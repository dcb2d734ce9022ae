//! Scenarios: routers and agents driven in simulated time.

pub mod fleet;
