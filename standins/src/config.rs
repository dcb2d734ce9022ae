//! A stand-in for the configuration service and the VM list.

mod front;
mod store;

pub use front::{ConfigService, run};
pub use store::{Calls, Fault, MAX_VALUE_BYTES, ReadResult, Store, Vm, VmRole, VmState};
