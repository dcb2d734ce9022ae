//! Classification of a target's response.
//!
//! Invariant: [`ResponseClass::NotRun`] is returned only if the target itself states
//! that it did not run the request.

use derive_more::Display;

/// The properties of a response head on which its classification depends.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ResponseFacts {
    /// The HTTP status.
    pub status: u16,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether the response carries the target's signature.
    pub signed: bool,
    /// Whether the body has a content encoding, which no caller requests.
    pub encoded: bool,
}

/// The meaning of a response for the request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum ResponseClass {
    /// A valid response, which is forwarded to the caller unchanged.
    #[display("answer")]
    Answer,
    /// A failure of the target, which is forwarded to the caller unless the
    /// request is retried.
    #[display("failed")]
    Failed,
    /// The target did not run the request.
    #[display("not-run")]
    NotRun,
    /// Not a response of the target to this request; the request may have run.
    #[display("garbled")]
    Garbled,
}

/// Statuses which tell the caller that its request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Classifies a response.
pub fn classify(response: ResponseFacts) -> ResponseClass {
    let ResponseFacts { status, .. } = response;
    match status {
        421 => ResponseClass::NotRun,
        _ if response.not_run && status >= 400 => ResponseClass::NotRun,
        _ if response.encoded => ResponseClass::Garbled,
        // Without a statement by the target, these statuses would wrongly tell
        // the caller that its request has not run.
        _ if NOT_RUN_STATUSES.contains(&status) => ResponseClass::Garbled,
        200..=299 if !response.signed => ResponseClass::Garbled,
        500.. if response.signed => ResponseClass::Failed,
        500.. => ResponseClass::Garbled,
        _ if !response.signed => ResponseClass::Garbled,
        _ => ResponseClass::Answer,
    }
}
