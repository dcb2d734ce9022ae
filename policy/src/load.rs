//! What a router knows of the targets' loads.
//!
//! Invariants:
//! - A hint of free slots is used at most as often as it states.
//! - A target whose load is unknown or outdated gets one probe at a time.

use std::time::{Duration, Instant};

use cranelift_entity::SecondaryMap;
use entity::TargetId;

use crate::message::Load;

/// The age from which a hint counts as unknown.
const HINT_TTL: Duration = Duration::from_secs(1);

/// How long an unanswered probe holds back the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a target is avoided after a failed connection.
const AVOID_TIME: Duration = Duration::from_millis(500);

/// Whether a target may get an attempt without a pull.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Room {
    /// It has, by a fresh hint, this number of free slots.
    Free(u16),
    /// Nothing is known; one probe may be sent.
    Unknown,
    /// It has no free slot or holds waiting bids.
    Full,
    /// It takes no new work or cannot be reached.
    Unusable,
}

/// The state of one target as the router sees it.
#[derive(Clone, Copy, Default, Debug)]
struct Hint {
    load: Load,
    seen: Option<Instant>,
    probed: Option<Instant>,
    avoided: Option<Instant>,
    absent: bool,
    leaving: bool,
}

/// The hints of all targets.
#[derive(Clone, Default, Debug)]
pub struct LoadTable {
    hints: SecondaryMap<TargetId, Hint>,
}

impl LoadTable {
    /// Takes in what an agent said of its target.
    pub fn update(&mut self, now: Instant, target: TargetId, load: Load) {
        self.hints[target] = Hint {
            load,
            seen: Some(now),
            probed: None,
            avoided: None,
            absent: self.hints[target].absent,
            leaving: self.hints[target].leaving,
        };
    }

    /// Notes that an attempt goes to `target` without a pull.
    pub fn sent(&mut self, now: Instant, target: TargetId) {
        let room = self.room(now, target);
        let hint = &mut self.hints[target];
        match room {
            Room::Free(free) => hint.load.free = free - 1,
            _ => hint.probed = Some(now),
        }
    }

    /// Notes that the agent rejected an attempt for want of a slot.
    pub fn rejected(&mut self, now: Instant, target: TargetId) {
        let hint = &mut self.hints[target];
        hint.load.free = 0;
        hint.seen = Some(now);
        hint.probed = None;
    }

    /// Notes that the agent takes no new work.
    pub fn draining(&mut self, now: Instant, target: TargetId) {
        self.rejected(now, target);
        self.hints[target].load.draining = true;
    }

    /// Notes that the agent could not be reached.
    pub fn failed(&mut self, now: Instant, target: TargetId) {
        self.hints[target] = Hint {
            avoided: Some(now + AVOID_TIME),
            absent: self.hints[target].absent,
            leaving: self.hints[target].leaving,
            ..Hint::default()
        };
    }

    /// Takes in what the membership says of the agent.
    pub fn set_reachable(&mut self, target: TargetId, reachable: bool) {
        let hint = &mut self.hints[target];
        hint.absent = !reachable;
        hint.avoided = None;
    }

    /// Takes in whether the target is about to leave and gets no new work.
    pub fn set_leaving(&mut self, target: TargetId, leaving: bool) {
        self.hints[target].leaving = leaving;
    }

    /// Whether the agent beside `target` can be asked, as far as is known, also if
    /// it takes no new work.
    pub fn is_reachable(&self, now: Instant, target: TargetId) -> bool {
        let hint = &self.hints[target];
        let avoided = hint.avoided.is_some_and(|until| now < until);
        !(hint.absent || avoided)
    }

    /// Whether `target` may get an attempt without a pull.
    pub fn room(&self, now: Instant, target: TargetId) -> Room {
        let hint = &self.hints[target];
        let fresh = hint.seen.is_some_and(|seen| now < seen + HINT_TTL);
        match hint.load {
            _ if !self.is_usable(now, target) => Room::Unusable,
            load if fresh && load.free > 0 && !load.congested => Room::Free(load.free),
            _ if fresh => Room::Full,
            _ if hint.probed.is_some_and(|at| now < at + PROBE_TIMEOUT) => Room::Full,
            _ => Room::Unknown,
        }
    }

    /// Whether `target` can be reached and takes new work, as far as is known.
    pub fn is_usable(&self, now: Instant, target: TargetId) -> bool {
        let hint = &self.hints[target];
        let fresh = hint.seen.is_some_and(|seen| now < seen + HINT_TTL);
        let is_closed = hint.leaving || fresh && hint.load.draining;
        self.is_reachable(now, target) && !is_closed
    }
}
