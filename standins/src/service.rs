//! The stand-in for a plain service, such as an order desk or a case service.

mod desk;
mod front;

pub use desk::{Begin, Desk, DeskOptions, End, Fault, ServiceCounts};
pub use front::{Receipt, run};
