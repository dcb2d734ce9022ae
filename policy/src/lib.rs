//! The decision logic of the fleet, as state machines without I/O.
//!
//! The crate holds all decisions of routers and agents. It opens no sockets, reads no
//! clock, has no entropy source and keeps no global state: time and seeds are passed in.
//! [`Router`] and [`Agent`] combine the smaller state machines; the daemons and the
//! scenario runner drive the same two types.

pub mod attempt;
pub mod bid;
pub mod choose;
pub mod cost;
pub mod direct;
pub mod dump;
pub mod fact;
pub mod fair;
pub mod fence;
pub mod fleet;
pub mod home;
pub mod ledger;
pub mod limit;
pub mod load;
pub mod member;
pub mod message;
pub mod once;
pub mod order;
pub mod placement;
pub mod pull;
pub mod quarantine;
pub mod queue;
pub mod reader;
pub mod retry;
pub mod revision;
pub mod status;
pub mod window;

mod agent;
mod router;

pub use agent::{Agent, AgentAction, AgentEvent, AgentSettings, AttemptEnd, Slots};
pub use router::{
    Arrival, AttemptResult, DispatchOrder, Router, RouterAction, RouterEvent, RouterSettings,
};
