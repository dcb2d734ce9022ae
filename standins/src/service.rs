//! A stand-in for a plain service, such as an order desk or a case service.

mod front;
mod state;

pub use front::{Receipt, run};
pub use state::{
    Fault, FinishDecision, ServiceCounts, ServiceOptions, ServiceState, StartDecision,
};
