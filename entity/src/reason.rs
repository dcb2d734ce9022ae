//! Why a decision was made.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The reason of a refusal or of an unknown outcome.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The API key is missing or unknown.
    #[display("unknown API key")]
    Unauthorized,
    /// No route matches the method and path.
    #[display("no route")]
    NoRoute,
    /// The request is malformed.
    #[display("malformed request")]
    Malformed,
    /// The request head or body is over a limit.
    #[display("request too large")]
    TooLarge,
    /// The team's queue is full.
    #[display("queue full")]
    QueueFull,
    /// The team is over its rate or in-flight limit.
    #[display("team limit reached")]
    TeamLimit,
    /// The caller's deadline passed.
    #[display("deadline passed")]
    DeadlinePassed,
    /// The caller closed its connection.
    #[display("caller gone")]
    CallerGone,
    /// No target of the pool can be used.
    #[display("no target available")]
    NoTarget,
    /// The agent has no free slot.
    #[display("no free slot")]
    NoSlot,
    /// The target or its data centre takes no new work.
    #[display("draining")]
    Draining,
    /// The process is stopping.
    #[display("stopping")]
    Stopping,
    /// The process has no configuration in force.
    #[display("not configured")]
    NotConfigured,
    /// The request is suspected of crashing targets.
    #[display("quarantined")]
    Quarantined,
    /// An idempotency key is required on this route.
    #[display("idempotency key required")]
    KeyRequired,
    /// The idempotency key is malformed.
    #[display("malformed idempotency key")]
    KeyMalformed,
    /// The key was used before with another body.
    #[display("key reused with another body")]
    KeyReused,
    /// The key has expired.
    #[display("key expired")]
    KeyExpired,
    /// The key was issued before this agent's memory begins, or names another life of it.
    #[display("key not covered by this agent's memory")]
    KeyNotCovered,
    /// The home of the key is not confirmed by a recent configuration.
    #[display("key home not confirmed")]
    HomeUnconfirmed,
    /// The agent that the key names cannot be reached.
    #[display("key home unreachable")]
    HomeUnreachable,
    /// The answer of an earlier run is no longer held.
    #[display("answer no longer held")]
    AnswerDropped,
    /// The connection to the agent or the target broke after the hand-over.
    #[display("connection lost")]
    ConnectionLost,
    /// The target died while it ran the request.
    #[display("target died")]
    TargetDied,
    /// The retry budget is used up.
    #[display("retry budget exhausted")]
    RetryBudget,
    /// The outcome of an earlier run of this key is not known.
    #[display("earlier run has no known outcome")]
    EarlierRunUnknown,
    /// The key was issued in the future, beyond the bound on clock skew.
    #[display("key issued in the future")]
    KeyFuture,
    /// The agent remembers as many keys as it can.
    #[display("key memory full")]
    KeyMemoryFull,
    /// The process was paused between the decision to start and the hand-over.
    #[display("paused before the hand-over")]
    HandOverLate,
}

/// Whether and when a caller should send a refused request again.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryAdvice {
    /// Sending the same request again cannot help.
    Never,
    /// Send it again, with the same key if it had one, after this time.
    After(Duration),
    /// Ask for the outcome before sending it again: it may have run.
    VerifyFirst,
}
