//! A router's view of the load of each target.
//!
//! Invariants:
//! - A load hint is used for at most as many dispatches as it has free slots.
//! - A target whose load is unknown or outdated gets one probe at a time.

use std::time::{Duration, Instant};

use cranelift_entity::SecondaryMap;
use entity::TargetId;

use crate::message::Load;

/// The age at which a load hint expires and the load counts as unknown.
const HINT_TTL: Duration = Duration::from_secs(1);

/// How long an unanswered probe blocks the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a target is avoided after a failed connection.
const AVOID_DURATION: Duration = Duration::from_millis(500);

/// Whether an attempt may be sent to a target without a pull.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Availability {
    /// An unexpired hint reports this number of free slots.
    Free(u16),
    /// The load is unknown; one probe may be sent.
    Unknown,
    /// The target has no free slot, its agent holds bids, or a probe is outstanding.
    Full,
    /// The target accepts no new work or is unreachable.
    Unusable,
}

/// The state of one target as the router sees it.
#[derive(Clone, Copy, Default, Debug)]
struct LoadHint {
    load: Load,
    updated_at: Option<Instant>,
    probed_at: Option<Instant>,
    avoid_until: Option<Instant>,
    unreachable: bool,
    leaving: bool,
}

/// The load hints of all targets.
#[derive(Clone, Default, Debug)]
pub struct LoadTable {
    hints: SecondaryMap<TargetId, LoadHint>,
}

impl LoadTable {
    /// Stores the load that an agent reported for its target.
    pub fn update(&mut self, now: Instant, target: TargetId, load: Load) {
        self.hints[target] = LoadHint {
            load,
            updated_at: Some(now),
            probed_at: None,
            avoid_until: None,
            unreachable: self.hints[target].unreachable,
            leaving: self.hints[target].leaving,
        };
    }

    /// Records that an attempt is sent to `target` without a pull.
    pub fn record_dispatch(&mut self, now: Instant, target: TargetId) {
        let availability = self.availability(now, target);
        let hint = &mut self.hints[target];
        match availability {
            Availability::Free(free) => hint.load.free = free - 1,
            _ => hint.probed_at = Some(now),
        }
    }

    /// Records that the agent rejected an attempt because it had no free slot.
    pub fn record_no_slot(&mut self, now: Instant, target: TargetId) {
        let hint = &mut self.hints[target];
        hint.load.free = 0;
        hint.updated_at = Some(now);
        hint.probed_at = None;
    }

    /// Records that the agent accepts no new work.
    pub fn record_draining(&mut self, now: Instant, target: TargetId) {
        self.record_no_slot(now, target);
        self.hints[target].load.draining = true;
    }

    /// Records that the agent could not be reached.
    pub fn record_failure(&mut self, now: Instant, target: TargetId) {
        self.hints[target] = LoadHint {
            avoid_until: Some(now + AVOID_DURATION),
            unreachable: self.hints[target].unreachable,
            leaving: self.hints[target].leaving,
            ..LoadHint::default()
        };
    }

    /// Records whether the membership protocol reports the agent as reachable.
    pub fn set_reachable(&mut self, target: TargetId, reachable: bool) {
        let hint = &mut self.hints[target];
        hint.unreachable = !reachable;
        hint.avoid_until = None;
    }

    /// Records whether the target is about to leave and must get no new work.
    pub fn set_leaving(&mut self, target: TargetId, leaving: bool) {
        self.hints[target].leaving = leaving;
    }

    /// Whether the target is about to leave and must get no new work.
    pub fn is_leaving(&self, target: TargetId) -> bool {
        self.hints[target].leaving
    }

    /// Whether the agent of `target` is believed to be reachable, even if it accepts no
    /// new work.
    pub fn is_reachable(&self, now: Instant, target: TargetId) -> bool {
        let hint = &self.hints[target];
        let avoided = hint.avoid_until.is_some_and(|until| now < until);
        !(hint.unreachable || avoided)
    }

    /// Whether an attempt may be sent to `target` without a pull.
    pub fn availability(&self, now: Instant, target: TargetId) -> Availability {
        let hint = &self.hints[target];
        let fresh = hint
            .updated_at
            .is_some_and(|updated_at| now < updated_at + HINT_TTL);
        match hint.load {
            _ if !self.is_usable(now, target) => Availability::Unusable,
            load if fresh && load.free > 0 && !load.congested => Availability::Free(load.free),
            _ if fresh => Availability::Full,
            _ if hint.probed_at.is_some_and(|at| now < at + PROBE_TIMEOUT) => Availability::Full,
            _ => Availability::Unknown,
        }
    }

    /// Whether `target` is believed to be reachable and to accept new work.
    pub fn is_usable(&self, now: Instant, target: TargetId) -> bool {
        let hint = &self.hints[target];
        let fresh = hint
            .updated_at
            .is_some_and(|updated_at| now < updated_at + HINT_TTL);
        let refuses_work = hint.leaving || fresh && hint.load.draining;
        self.is_reachable(now, target) && !refuses_work
    }
}
