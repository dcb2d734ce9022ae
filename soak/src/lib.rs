//! A soak test of edge routers as real processes under overlapping faults.
//!
//! A seed determines a schedule of faults ([`schedule`]). The schedule is run against a
//! fleet of real router processes with stand-ins for the store, the targets and the callers
//! ([`fleet`], [`proxy`], [`caller`], [`runner`]). The observations of callers and targets are
//! recorded ([`record`]) and checked afterwards ([`check`]).
//!
//! Invariants:
//! - The same seed and size always give the same schedule.
//! - The checks depend only on the record, so they can be tested with modified records.
//! - A time bound is checked only where no fault affects the processes and connections on the
//!   path of the request.

pub mod caller;
pub mod check;
pub mod fleet;
pub mod proxy;
pub mod record;
pub mod runner;
pub mod schedule;
