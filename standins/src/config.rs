//! The stand-in for the configuration service and the VM list.

mod front;
mod store;

pub use front::{ConfigService, run};
pub use store::{Calls, Fault, Read, Store, VALUE_LIMIT, Vm, VmRole, VmState};
