//! The commands of `knapweedctl`.
//!
//! Each command returns a [`Report`], which is printed as text or as JSON. The crate
//! modifies no state: it reads files and queries the operators' listeners of running
//! processes.

pub mod check;
pub mod client;
pub mod diff;
pub mod drain;
pub mod dump;
pub mod report;
pub mod status;
pub mod table;
pub mod timeline;
pub mod why;

pub use report::{Exit, Report};
