//! Reasons of rejections and unknown outcomes, and retry advice.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The reason for a rejection or for an unknown outcome.
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
    /// The request head or body exceeds a limit.
    #[display("request too large")]
    TooLarge,
    /// The team's queue is full.
    #[display("queue full")]
    QueueFull,
    /// The team exceeds its rate or in-flight limit.
    #[display("team limit reached")]
    TeamLimit,
    /// The caller's deadline passed.
    #[display("deadline passed")]
    DeadlinePassed,
    /// The caller closed its connection.
    #[display("caller gone")]
    CallerGone,
    /// No target of the pool is available.
    #[display("no target available")]
    NoTarget,
    /// The agent has no free slot.
    #[display("no free slot")]
    NoSlot,
    /// The target or its data centre is draining.
    #[display("draining")]
    Draining,
    /// The process is shutting down.
    #[display("stopping")]
    Stopping,
    /// The process has no configuration in force.
    #[display("not configured")]
    NotConfigured,
    /// The request is suspected of crashing targets.
    #[display("quarantined")]
    Quarantined,
    /// The route requires an idempotency key.
    #[display("idempotency key required")]
    KeyRequired,
    /// The idempotency key is malformed.
    #[display("malformed idempotency key")]
    KeyMalformed,
    /// The key was used before with a different body.
    #[display("key reused with another body")]
    KeyReused,
    /// The key has expired.
    #[display("key expired")]
    KeyExpired,
    /// The key was issued before this agent's records begin, or names another
    /// incarnation of the agent.
    #[display("key not covered by this agent's memory")]
    KeyNotCovered,
    /// No recent configuration confirms the home agent of the key.
    #[display("key home not confirmed")]
    HomeUnconfirmed,
    /// The agent that the key names is unreachable.
    #[display("key home unreachable")]
    HomeUnreachable,
    /// The response of an earlier run is no longer stored.
    #[display("answer no longer held")]
    AnswerDropped,
    /// The connection to the agent or the target was lost after the request was sent.
    #[display("connection lost")]
    ConnectionLost,
    /// The target terminated while it ran the request.
    #[display("target died")]
    TargetDied,
    /// The retry budget is exhausted.
    #[display("retry budget exhausted")]
    RetryBudget,
    /// The outcome of an earlier run with this key is unknown.
    #[display("earlier run has no known outcome")]
    EarlierRunUnknown,
    /// The issue time of the key is in the future by more than the maximum clock skew.
    #[display("key issued in the future")]
    KeyFuture,
    /// The agent has reached its maximum number of key records.
    #[display("key memory full")]
    KeyMemoryFull,
    /// The process was paused between the decision to start and sending the request.
    #[display("paused before the hand-over")]
    HandOverLate,
}

/// Whether and when a caller should retry a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryAdvice {
    /// Retrying the same request cannot succeed.
    Never,
    /// Retry after this time, with the same key if it had one.
    After(Duration),
    /// Query the outcome before a retry, because the request may have run.
    VerifyFirst,
}
