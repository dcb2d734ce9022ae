//! Targets that may have started again since the list of targets was read.
//!
//! A refused connection shows that no process listens, so the incarnation has ended. The
//! target may start again under its name and address; it is cold then, and the list shows the
//! former incarnation until it is read again. Until the list shows another incarnation, or it
//! is certain that the former one goes on, a target that refused a connection counts as cold.
//!
//! Invariant: doubt ends with a list that was read [`REGISTRATION_TTL`] after the last refusal
//! and shows the same incarnation, at the latest.

use std::time::{Duration, Instant};

/// The time after the end of a target within which its registration is removed, or replaced
/// by that of its next incarnation.
pub const REGISTRATION_TTL: Duration = Duration::from_secs(4);

/// What refused connections show of an incarnation.
#[derive(Clone, Copy, Default, Debug)]
pub struct IncarnationCheck {
    /// When the target last refused a connection, if that leaves a doubt.
    refused_at: Option<Instant>,
}

impl IncarnationCheck {
    /// Records that the target refused a connection. Returns whether a doubt begins.
    pub fn record_refused(&mut self, now: Instant) -> bool {
        self.refused_at.replace(now).is_none()
    }

    /// Records that the target responded to a request that was sent at `sent_at` on a connection
    /// opened at `opened_at`. A target refuses connections beyond its limit as well; then its
    /// earlier connections go on.
    pub fn record_response(&mut self, opened_at: Instant, sent_at: Instant) {
        self.refused_at
            .take_if(|refused_at| opened_at < *refused_at && *refused_at < sent_at);
    }

    /// Records that a list of targets that was read at `read_at` shows this incarnation.
    pub fn record_listed(&mut self, read_at: Instant) {
        self.refused_at
            .take_if(|refused_at| read_at >= *refused_at + REGISTRATION_TTL);
    }

    /// Whether another incarnation may have replaced it.
    pub fn is_doubtful(&self) -> bool {
        self.refused_at.is_some()
    }
}
