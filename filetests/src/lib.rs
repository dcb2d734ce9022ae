//! Scenario tests: drives routers and agents in simulated time.

pub mod case;
pub mod fleet;
pub mod record;
pub mod scenario;
pub mod sim;
pub mod verify;
