//! A soak of edge routers as real processes under overlapping faults.
//!
//! A seed gives a schedule of faults ([`schedule`]). The schedule is played on a
//! fleet of real router processes with stand-ins for store, targets and callers
//! ([`fleet`], [`proxy`], [`caller`], [`play`]). What callers and targets saw is
//! recorded ([`record`]) and judged afterwards ([`check`]).
//!
//! Invariants:
//! - The same seed and size give the same schedule.
//! - The checks read the record only, so a record that was changed by hand shows
//!   whether a check notices.
//! - A bound on time is judged only where no fault touches the processes and
//!   connections that the request went through.

pub mod caller;
pub mod check;
pub mod fleet;
pub mod play;
pub mod proxy;
pub mod record;
pub mod schedule;
