//! Targets that may have started again since the list of targets was read.
//!
//! A process that ends takes its connections with it, and may start again under its name and
//! address. It is cold then, and the list shows the former incarnation until it is read again.
//! So a connection that ends unannounced leaves a doubt: the target counts as cold until the
//! list shows another incarnation, or it is certain that the former one goes on.
//!
//! Only a connection opened after the first sign can lead to another incarnation. Requests on
//! earlier ones need no limit, and a response to one of them settles the doubt.
//!
//! Invariants:
//! - A doubt ends with a list that was read [`REGISTRATION_TTL`] after the last sign and shows
//!   the same incarnation, at the latest.
//! - A response on a connection opened after the first sign ends no doubt.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::Display;

/// The time after the end of a target within which its registration is removed, or replaced
/// by that of its next incarnation.
pub const REGISTRATION_TTL: Duration = Duration::from_secs(4);

/// The time without a byte from a target after which a request that is given up counts as
/// unanswered.
pub const UNANSWERED_TIME: Duration = Duration::from_millis(500);

/// How a connection to a target ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum EndCause {
    /// The target refused it.
    #[display("refused")]
    Refused,
    /// It was not established in time.
    #[display("timeout")]
    TimedOut,
    /// It was closed or reset while it was idle.
    #[display("idle")]
    Idle,
    /// It was closed or reset before the end of a response.
    #[display("broken")]
    Broken,
    /// This router gave up on a request to which nothing came back.
    #[display("unanswered")]
    Unanswered,
}

/// The unannounced end of a connection to a target, or of the attempt to open one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionEnd {
    /// The address of the target.
    pub address: SocketAddr,
    /// How it ended.
    pub cause: EndCause,
    /// The last time at which the connection was known to be sound, or at which it was to be
    /// opened.
    pub since: Instant,
    /// When this router noticed.
    pub at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// When this router noticed the first sign.
    begun_at: Instant,
    /// Connections opened earlier lead to the listed incarnation.
    since: Instant,
    /// The last sign.
    last: Instant,
}

/// What connections show of an incarnation.
#[derive(Clone, Copy, Default, Debug)]
pub struct IncarnationCheck {
    doubt: Option<Doubt>,
    /// The last time at which the incarnation is known to have run.
    alive_at: Option<Instant>,
}

impl IncarnationCheck {
    /// Records that a connection ended. Returns whether a doubt begins.
    pub fn record_end(&mut self, end: ConnectionEnd) -> bool {
        let ConnectionEnd { since, at, .. } = end;
        let is_refuted = |alive_at: Instant| match end.cause {
            EndCause::Unanswered => alive_at > since,
            _ => alive_at > at,
        };
        if self.alive_at.is_some_and(is_refuted) {
            return false;
        }
        let since = self.alive_at.map_or(since, |alive_at| alive_at.max(since));
        match &mut self.doubt {
            Some(doubt) => {
                doubt.since = doubt.since.min(since);
                doubt.last = doubt.last.max(at);
                false
            }
            None => {
                self.doubt = Some(Doubt {
                    begun_at: at,
                    since,
                    last: at,
                });
                true
            }
        }
    }

    /// Records that the target responded to a request that was sent at `sent_at` on a connection
    /// opened at `opened_at`. If this ends a doubt, returns when that began.
    pub fn record_response(&mut self, opened_at: Instant, sent_at: Instant) -> Option<Instant> {
        match self.doubt {
            Some(doubt) if opened_at >= doubt.since => None,
            _ => self.confirm(sent_at, |last| last < sent_at),
        }
    }

    /// Records that a list of targets that was read at `read_at` shows this incarnation. If
    /// this ends a doubt, returns when that began.
    pub fn record_listed(&mut self, read_at: Instant) -> Option<Instant> {
        self.doubt?;
        let alive_at = read_at.checked_sub(REGISTRATION_TTL)?;
        self.confirm(alive_at, |last| last <= alive_at)
    }

    /// Records that the incarnation ran at this time; `is_before` tells whether a sign came
    /// before it. If this ends a doubt, returns when that began.
    fn confirm(
        &mut self,
        alive_at: Instant,
        is_before: impl Fn(Instant) -> bool,
    ) -> Option<Instant> {
        self.alive_at = self.alive_at.max(Some(alive_at));
        if let Some(ended) = self.doubt.take_if(|doubt| is_before(doubt.last)) {
            return Some(ended.begun_at);
        }
        if let Some(doubt) = &mut self.doubt {
            doubt.since = doubt.since.max(alive_at);
        }
        None
    }

    /// Whether another incarnation may have replaced it.
    pub fn is_doubtful(&self) -> bool {
        self.doubt.is_some()
    }

    /// While there is a doubt, the time before which a connection must have been opened to
    /// lead to this incarnation.
    pub fn doubted_since(&self) -> Option<Instant> {
        self.doubt.map(|doubt| doubt.since)
    }
}
