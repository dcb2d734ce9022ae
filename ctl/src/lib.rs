//! The commands of `knapweedctl`.
//!
//! Each command returns a [`Report`], which is printed as text for people or
//! as JSON for programs. The crate writes no state: it reads files and asks the
//! operators' listeners of running processes.

pub mod check;
pub mod client;
pub mod diff;
pub mod drain;
pub mod dump;
pub mod report;
pub mod status;
pub mod story;
pub mod table;
pub mod why;

pub use report::{Exit, Report};
