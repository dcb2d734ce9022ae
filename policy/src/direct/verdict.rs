//! What a target's answer says about the request.
//!
//! Invariant: [`Verdict::NotRun`] is given only where the target itself says
//! that it did not run the request.

use derive_more::Display;

/// The facts of an answer's head that decide what it means.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AnswerFacts {
    /// The HTTP status.
    pub status: u16,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether the answer bears the target's signature.
    pub signed: bool,
    /// Whether the body is encoded, which no caller asks for.
    pub encoded: bool,
}

/// What an answer means for the request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum Verdict {
    /// The target's answer; it goes to the caller as it is.
    #[display("answer")]
    Answer,
    /// The target's own failure; it goes to the caller unless a repeat is allowed.
    #[display("failed")]
    Failed,
    /// The target did not run the request.
    #[display("not-run")]
    NotRun,
    /// Not an answer of the target to this request; the request may have run.
    #[display("garbled")]
    Garbled,
}

/// Statuses that promise to the caller that its request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The meaning of an answer.
pub fn judge(facts: AnswerFacts) -> Verdict {
    let AnswerFacts { status, .. } = facts;
    match status {
        421 => Verdict::NotRun,
        _ if facts.not_run && status >= 400 => Verdict::NotRun,
        _ if facts.encoded => Verdict::Garbled,
        // Without the target's word these would tell the caller a false promise.
        _ if PROMISES.contains(&status) => Verdict::Garbled,
        200..=299 if !facts.signed => Verdict::Garbled,
        500.. if facts.signed => Verdict::Failed,
        500.. => Verdict::Garbled,
        _ if !facts.signed => Verdict::Garbled,
        _ => Verdict::Answer,
    }
}
