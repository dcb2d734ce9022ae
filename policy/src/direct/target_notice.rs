//! What targets say of themselves in the heads of responses.
//!
//! Invariant: what a target says holds for every call to it, whatever the call was to which
//! it said so.

use std::time::{Duration, Instant};

use super::target_limit::StatedLimit;

/// What the head of a response says of its target.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct TargetNotice {
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// The time for which it wants nothing from this router, if it turned this call away.
    pub pause: Option<Duration>,
    /// The limit on requests that it names.
    pub limit: StatedLimit,
}

/// A notice in the response to a call that is not part of a caller's request.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct CallNotice {
    /// The tag of the target's incarnation.
    pub target: u64,
    /// The notice.
    pub notice: TargetNotice,
    /// When the response was received.
    pub at: Instant,
}
