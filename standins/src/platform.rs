//! Stand-ins for the store and the targets that an edge router uses on the
//! users' platform.
//!
//! Both run inside the test process and write HTTP messages directly to the
//! socket, so that a test can produce responses that an HTTP library would not.

mod http;
mod store;
mod target;

pub use http::{RawRequest, RawResponse, raw_call, raw_exchange};
pub use store::{Store, StoreCopy, StoreMode};
pub use target::{Arrival, ClientDisconnect, ScriptedTarget};
