//! Small processes that take the platform's place in tests and demonstrations,
//! and the load generator that checks what callers are promised.
//!
//! The crate owns the stand-ins for the configuration service, the model engine
//! and the plain service, and `knapweed-load`. Decisions are state machines
//! without sockets or clocks; the HTTP fronts only move bytes and time. Each
//! stand-in counts what it really ran, so a report never rests on the word of
//! the system under test.

pub mod config;
pub mod counts;
pub mod engine;
pub mod http;
pub mod load;
pub mod platform;
pub mod service;
