//! The mapping of outcomes to HTTP responses.
//!
//! [`Ending::of`] is the only place that maps an [`Outcome`] to a status, the
//! `kw-outcome` header and `Retry-After`. The router's HTTP server calls it for
//! each finished request and sends [`ANSWERED`] with a target's response.

use std::time::Duration;

use entity::{Outcome, Reason, Refusal, RetryAdvice};

/// The response header that states the outcome.
pub const OUTCOME_HEADER: &str = "kw-outcome";

/// The value of [`OUTCOME_HEADER`] on a target's response.
pub const ANSWERED: &str = "answered";

/// The value of [`OUTCOME_HEADER`] if the request was not sent to a target.
pub const NOT_RUN: &str = "not-run";

/// The value of [`OUTCOME_HEADER`] if a target may have run the request.
pub const UNKNOWN: &str = "unknown";

/// The HTTP response for an outcome other than [`Outcome::Answered`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Ending {
    /// The status code.
    pub status: u16,
    /// The value of [`OUTCOME_HEADER`].
    pub outcome: &'static str,
    /// The value of `Retry-After` in seconds, if the header is sent.
    pub retry_after: Option<u64>,
}

impl Ending {
    /// Maps an outcome; `None` for [`Outcome::Answered`], which keeps the target's status.
    pub fn of(outcome: &Outcome) -> Option<Self> {
        match outcome {
            Outcome::Answered { .. } => None,
            Outcome::NotRun { refusal, .. } => Some(Self::new(NOT_RUN, refusal)),
            Outcome::Unknown { refusal } => Some(Self::new(UNKNOWN, refusal)),
        }
    }

    fn new(outcome: &'static str, refusal: &Refusal) -> Self {
        let retry_after = match refusal.retry {
            RetryAdvice::After(delay) => Some(retry_after_seconds(delay)),
            RetryAdvice::Never | RetryAdvice::VerifyFirst => None,
        };
        Self {
            status: status(refusal.reason),
            outcome,
            retry_after,
        }
    }
}

fn status(reason: Reason) -> u16 {
    match reason {
        Reason::Malformed | Reason::KeyRequired | Reason::KeyMalformed => 400,
        Reason::KeyFuture => 400,
        Reason::Unauthorized => 401,
        Reason::NoRoute => 404,
        Reason::KeyNotCovered | Reason::EarlierRunUnknown => 409,
        Reason::KeyExpired | Reason::AnswerDropped => 410,
        Reason::TooLarge => 413,
        Reason::KeyReused => 422,
        Reason::QueueFull | Reason::TeamLimit => 429,
        Reason::CallerGone => 499,
        Reason::ConnectionLost | Reason::TargetDied => 502,
        Reason::NoTarget | Reason::NoSlot | Reason::Draining | Reason::Stopping => 503,
        Reason::NotConfigured | Reason::Quarantined | Reason::RetryBudget => 503,
        Reason::HomeUnconfirmed | Reason::HomeUnreachable => 503,
        Reason::KeyMemoryFull | Reason::HandOverLate => 503,
        Reason::DeadlinePassed => 504,
    }
}

/// Rounds up to whole seconds, at least one: zero would invite an immediate retry.
fn retry_after_seconds(delay: Duration) -> u64 {
    let fraction = u64::from(delay.subsec_nanos() > 0);
    (delay.as_secs() + fraction).max(1)
}
