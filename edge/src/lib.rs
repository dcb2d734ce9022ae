//! The edge router: forwards callers' requests directly to targets.
//!
//! It runs on the entry VMs of a platform whose targets are reachable from every VM
//! and registered in the platform's store. The control thread reads the store and
//! exchanges datagrams with the other routers. The traffic thread serves requests
//! from the snapshots that the control thread publishes. Decisions are made by
//! `policy::direct`; names on the wire are decoded by `platform`.

mod attempt;
mod bound_log;
mod caller;
mod clock;
mod connection_limit;
mod context;
mod crashes;
pub mod events;
mod gossip;
mod http_listener;
mod kept_events;
mod kept_log;
pub mod latest;
mod metrics;
mod operators;
mod origin;
mod refused_teams;
mod rejections;
mod request;
pub mod run;
mod serve;
mod session;
mod shared;
mod shed;
mod spare_log;
mod store;
pub mod supervise;
mod target;
mod tcp;
