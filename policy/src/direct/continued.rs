//! The work of a team's streams that have begun, which is admitted before new requests.
//!
//! A stream that lost its target or its router goes on elsewhere. Part of its work is done,
//! and its caller has waited longer than any other. Admitted as a new request, it would be
//! refused whenever its team is beyond its share. The load: a target with 64 streams dies,
//! or all routers restart, while a team requests several times its share.
//!
//! Invariants:
//! - The preferred work of a team is bounded by its share of [`MAX_BURST`] and of
//!   [`REFILL_FRACTION`] of the time, divided among routers by its demand at each; the last
//!   stream may exceed it, and a router that has just started takes all demand for its own.
//! - Preferred work is charged to the team like any other.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

/// The time whose share a team may use at once: all of its streams are lost with a target or
/// the routers, and come back within seconds.
pub const MAX_BURST: Duration = Duration::from_secs(4);

/// The part of a team's share that it may use all the time.
pub const REFILL_FRACTION: f64 = 0.25;

/// The preferred work of a team that its share has not covered yet.
#[derive(Clone, Copy, Debug)]
struct Debt {
    tokens: f64,
    updated_at: Instant,
}

/// The preferred work of teams, keyed by the tag of the team's name.
#[derive(Clone, Default, Debug)]
pub struct ContinuedWork {
    debts: FxHashMap<u64, Debt>,
}

impl ContinuedWork {
    /// Whether a stream of a team is preferred; `share` is the part of the team's share that
    /// this router may use, in tokens per second, infinite while the pool covers all demands.
    pub fn is_preferred(&self, team: u64, share: f64, now: Instant) -> bool {
        let max_debt = share * MAX_BURST.as_secs_f64();
        self.debt(team, share, now) < max_debt
    }

    /// Records that a preferred stream of a team was sent to a target.
    pub fn record(&mut self, team: u64, tokens: f64, share: f64, now: Instant) {
        let tokens = self.debt(team, share, now) + tokens;
        let updated_at = now;
        self.debts
            .retain(|_, debt| debt.remaining(share, now) > 0.0);
        self.debts.insert(team, Debt { tokens, updated_at });
    }

    fn debt(&self, team: u64, share: f64, now: Instant) -> f64 {
        let debt = self.debts.get(&team);
        debt.map_or(0.0, |debt| debt.remaining(share, now))
    }
}

impl Debt {
    fn remaining(&self, share: f64, now: Instant) -> f64 {
        if share.is_infinite() {
            return 0.0;
        }
        let elapsed = now.saturating_duration_since(self.updated_at);
        (self.tokens - share * REFILL_FRACTION * elapsed.as_secs_f64()).max(0.0)
    }
}
