//! Detection of stalled targets.
//!
//! A target that loses power or its network route resets no connection: requests
//! sent to it get no response until their timeout, and new requests keep
//! following. A working engine continuously sends events on its streams, even
//! while it prefills other prompts, so silence on all streams of a target
//! indicates a failure within a fraction of a second. Without streams, the target
//! is considered stalled once the oldest prompt should have been prefilled.
//!
//! Invariant: a single byte from the target clears the stalled state.

use std::time::{Duration, Instant};

/// The time without a byte on any stream after which a target is stalled. Routes
/// allow pauses of half of it within one stream.
pub const STREAM_STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The time beyond the predicted prefill time after which a target without
/// streams is stalled.
pub const PREFILL_STALL_MARGIN: Duration = Duration::from_millis(600);

/// The factor on the predicted time to prefill the prompts that wait at a target.
const PREFILL_TIME_FACTOR: f64 = 2.0;

/// The number of peers that must report a target before it is avoided here. A
/// single peer may have lost its own network route.
pub const MIN_REPORTING_PEERS: u32 = 2;

/// The activity of a target, from which stalls are detected.
#[derive(Clone, Copy, Default, Debug)]
pub struct Activity {
    /// The time of the last received byte.
    last_byte: Option<Instant>,
    /// The number of responses in progress.
    streams: u32,
}

/// The oldest attempt without a response.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct OldestAttempt {
    /// When it was sent.
    pub sent: Instant,
    /// The predicted time to prefill everything that waits at the target, in
    /// milliseconds.
    pub prefill_millis: f64,
}

impl Activity {
    /// Records a received byte.
    pub fn record_byte(&mut self, now: Instant) {
        self.last_byte = Some(now);
    }

    /// Records the start of a response.
    pub fn record_start(&mut self, now: Instant) {
        self.record_byte(now);
        self.streams += 1;
    }

    /// Records the end of a response.
    pub fn record_end(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    /// The time of the last received byte.
    pub fn last_byte(&self) -> Option<Instant> {
        self.last_byte
    }

    /// The time since the last byte.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        self.last_byte
            .map(|last_byte| now.saturating_duration_since(last_byte))
    }

    /// Whether the target is stalled; `oldest` is the oldest attempt without a
    /// response.
    pub fn is_stalled(&self, oldest: Option<OldestAttempt>, now: Instant) -> bool {
        if self.streams > 0 {
            return self
                .silence(now)
                .is_none_or(|silence| silence > STREAM_STALL_TIMEOUT);
        }
        oldest.is_some_and(
            |OldestAttempt {
                 sent,
                 prefill_millis,
             }| {
                let since = self.last_byte.map_or(sent, |last_byte| last_byte.max(sent));
                let expected = PREFILL_STALL_MARGIN
                    + Duration::from_secs_f64(prefill_millis * PREFILL_TIME_FACTOR / 1e3);
                now.saturating_duration_since(since) > expected
            },
        )
    }
}
