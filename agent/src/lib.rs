//! The agent daemon: one beside each target, the only way to it.
//!
//! The crate owns the relay between routers and the target, the store of kept
//! answers, the watch over the target and the controller that connects
//! [`policy::Agent`] with them.
//!
//! Invariants:
//! - No byte goes to the target before [`policy::AgentAction::Start`].
//! - A request that may run at most once is sent to the target by one task that
//!   outlives the routers' connections; its whole answer is kept.

pub mod answers;
pub mod control;
pub mod events;
pub mod orders;
pub mod relay;
pub mod run;
pub mod service;
pub mod stream;
pub mod target;
