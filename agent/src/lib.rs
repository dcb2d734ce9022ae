//! The agent daemon. One agent runs beside each target; all requests to the
//! target pass through it.
//!
//! The crate contains the relay between routers and the target, the store of
//! answers, the target monitor and the controller that connects them to
//! [`policy::Agent`].
//!
//! Invariants:
//! - No byte is sent to the target before [`policy::AgentAction::Start`].
//! - A request that may run at most once is sent to the target by one task that
//!   outlives the routers' connections; its complete answer is stored.

pub mod answers;
pub mod control;
pub mod events;
pub mod orders;
pub mod relay;
pub mod run;
pub mod service;
pub mod stream;
pub mod target;
