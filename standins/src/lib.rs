//! Stand-ins for the platform's services in tests and demonstrations, and a
//! load generator that verifies the guarantees to callers.
//!
//! The crate contains the stand-ins for the configuration service, the model
//! engine and the plain service, and `knapweed-load`. The logic is in state
//! machines without sockets or clocks; the HTTP modules handle transport and
//! timing. Each stand-in counts its own runs, so that the load generator can
//! verify results independently of the system under test.

pub mod config;
pub mod counts;
pub mod engine;
pub mod http;
pub mod load;
pub mod platform;
pub mod service;
