//! Stand-ins for what an edge router meets on the users' platform.
//!
//! Both run inside the test and speak the platform's protocol byte by byte, so
//! that a test can make them misbehave in ways that no HTTP library would.

mod http;
mod store;
mod target;

pub use http::{RawRequest, raw_call};
pub use store::{Store, StoreMode};
pub use target::{Arrival, Departure, ScriptedTarget};
