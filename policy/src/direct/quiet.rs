//! Which targets say nothing while they should.
//!
//! A target that lost its power or its way here resets no connection: requests
//! that went there get no answer until their patience ends, and each new one joins
//! them. A working engine sends events on its streams all the time, whatever it
//! reads besides, so silence on all streams of a target shows within a fraction of
//! a second that something is wrong. Without a stream the oldest prompt tells: it
//! should have been read by now.
//!
//! Invariant: one byte of the target ends the judgement.

use std::time::{Duration, Instant};

/// The time without a byte on any stream after which a target is quiet. Routes
/// allow pauses of half of it within one stream.
pub const STREAM_SILENCE: Duration = Duration::from_millis(500);

/// The time beyond the expected one after which a target with prompts only is quiet.
pub const PROMPT_SILENCE: Duration = Duration::from_millis(600);

/// The factor on the predicted time to read what waits at a target.
const READ_FACTOR: f64 = 2.0;

/// The number of peers that have to report a target for it to be avoided here:
/// a single one may have lost its own way.
pub const LEAST_PEERS: u32 = 2;

/// What shows whether a target is quiet.
#[derive(Clone, Copy, Default, Debug)]
pub struct Signs {
    /// When the last byte came.
    heard: Option<Instant>,
    /// Answers that have begun and not ended.
    streams: u32,
}

/// The oldest attempt without an answer.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Oldest {
    /// When it was sent.
    pub sent: Instant,
    /// The predicted time to read all that waits at the target, in milliseconds.
    pub read: f64,
}

impl Signs {
    /// A byte came.
    pub fn heard(&mut self, now: Instant) {
        self.heard = Some(now);
    }

    /// An answer began.
    pub fn opened(&mut self, now: Instant) {
        self.heard(now);
        self.streams += 1;
    }

    /// An answer ended.
    pub fn closed(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    /// The time since the last byte.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        self.heard.map(|heard| now.saturating_duration_since(heard))
    }

    /// Whether the target is quiet; `oldest` is the oldest attempt without an answer.
    pub fn is_quiet(&self, oldest: Option<Oldest>, now: Instant) -> bool {
        if self.streams > 0 {
            return self
                .silence(now)
                .is_none_or(|silence| silence > STREAM_SILENCE);
        }
        oldest.is_some_and(|Oldest { sent, read }| {
            let since = self.heard.map_or(sent, |heard| heard.max(sent));
            let expected = PROMPT_SILENCE + Duration::from_secs_f64(read * READ_FACTOR / 1e3);
            now.saturating_duration_since(since) > expected
        })
    }
}
