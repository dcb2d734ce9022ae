//! The edge router: callers' requests straight to targets.
//!
//! It runs on the entry VMs of a platform whose targets everyone reaches and
//! whose store says where they are. The control thread reads the store and
//! talks to the other routers; the traffic thread serves requests from the
//! snapshots that the control thread publishes. Every decision is made by
//! `policy::direct`; every name on the wire is decoded by `platform`.

mod caller;
mod clock;
mod context;
pub mod events;
mod gossip;
pub mod latest;
mod metrics;
mod operators;
mod request;
pub mod run;
mod serve;
mod session;
mod shared;
mod shed;
mod store;
mod target;
mod tcp;
