//! The outcome of a request.
//!
//! Invariant: [`Outcome::NotRun`] requires a [`NotSent`], which can only be
//! obtained by cancelling a [`SendPermit`] or from a [`Sent`] whose receiving
//! agent rejected the attempt without sending it on. An attempt that sent bytes to
//! a target therefore cannot be reported as not run.

use serde::{Deserialize, Serialize};

use crate::{Cost, Reason, RetryAdvice, RuleRef};

/// An unused permit to send one attempt to a target.
#[derive(PartialEq, Eq, Debug)]
#[must_use]
pub struct SendPermit(());

impl SendPermit {
    /// Creates the permit of a new attempt.
    ///
    /// Call this once, where the attempt is created, and never to replace a permit that
    /// was used.
    pub fn new() -> Self {
        Self(())
    }

    /// Consumes the permit; from now on bytes may reach the target.
    pub fn begin(self) -> Sent {
        Sent(())
    }

    /// Cancels the attempt, which proves that nothing was sent.
    pub fn cancel(self) -> NotSent {
        NotSent(())
    }
}

impl Default for SendPermit {
    fn default() -> Self {
        Self::new()
    }
}

/// An attempt whose bytes left this process.
#[derive(PartialEq, Eq, Debug)]
pub struct Sent(());

impl Sent {
    /// Proves that nothing reached the target, because the agent that received the
    /// attempt replied that it sent nothing.
    pub fn rejected_unsent(self) -> NotSent {
        NotSent(())
    }
}

/// Proof that an attempt sent nothing to a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct NotSent(());

/// The rejection of a request, with the information for the caller.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The rule that caused the rejection, if any.
    pub rule: Option<RuleRef>,
    /// Whether and when to retry.
    pub retry: RetryAdvice,
}

impl Refusal {
    /// Creates a refusal that is not attributed to a rule.
    pub fn new(reason: Reason, retry: RetryAdvice) -> Self {
        Self {
            reason,
            rule: None,
            retry,
        }
    }

    /// Attributes the refusal to `rule`.
    #[must_use]
    pub fn by_rule(self, rule: RuleRef) -> Self {
        Self {
            rule: Some(rule),
            ..self
        }
    }
}

/// The outcome of a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// The target responded, and the complete response was sent to the caller.
    Answered {
        /// The actual cost.
        cost: Cost,
    },
    /// Nothing was sent to a target.
    NotRun {
        /// The reason and retry advice.
        refusal: Refusal,
        /// The proof.
        proof: NotSent,
    },
    /// A target may have run the request.
    Unknown {
        /// The reason and retry advice.
        refusal: Refusal,
    },
}
