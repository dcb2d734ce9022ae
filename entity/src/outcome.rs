//! How a request ends.
//!
//! Invariant: [`Outcome::NotRun`] needs a [`NotSent`], and the only way
//! to get one is from a [`SendPermit`] that was given up, or from a [`Sent`]
//! that the receiving agent disclaimed. An attempt that gave bytes to a target
//! therefore cannot be reported as not run.

use serde::{Deserialize, Serialize};

use crate::{Cost, Reason, RetryAdvice, RuleRef};

/// The right to hand one attempt over to a target, not yet used.
#[derive(PartialEq, Eq, Debug)]
#[must_use]
pub struct SendPermit(());

impl SendPermit {
    /// Creates the right for one new attempt.
    ///
    /// Call this once where the attempt is created, never to rebuild a right that was used.
    pub fn new() -> Self {
        Self(())
    }

    /// Uses the right: from now on bytes may reach the target.
    pub fn begin(self) -> Sent {
        Sent(())
    }

    /// Gives the right up and proves that nothing was handed over.
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
    /// Proves that nothing reached the target: the agent that received the
    /// attempt answered that it handed nothing over.
    pub fn rejected_unsent(self) -> NotSent {
        NotSent(())
    }
}

/// Proof that an attempt handed nothing to a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct NotSent(());

/// A refusal to run, with what the caller needs to know.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// The rule that made the decision, if a rule did.
    pub rule: Option<RuleRef>,
    /// Whether and when to try again.
    pub retry: RetryAdvice,
}

impl Refusal {
    /// A refusal that no single rule made.
    pub fn new(reason: Reason, retry: RetryAdvice) -> Self {
        Self {
            reason,
            rule: None,
            retry,
        }
    }

    /// The same refusal, attributed to `rule`.
    #[must_use]
    pub fn by_rule(self, rule: RuleRef) -> Self {
        Self {
            rule: Some(rule),
            ..self
        }
    }
}

/// The ending of a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// The target answered; the whole answer went to the caller.
    Answered {
        /// The true cost.
        cost: Cost,
    },
    /// Provably nothing was handed to a target.
    NotRun {
        /// Why.
        refusal: Refusal,
        /// The proof.
        proof: NotSent,
    },
    /// A target may have run the request.
    Unknown {
        /// Why.
        refusal: Refusal,
    },
}
