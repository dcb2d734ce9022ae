//! Decision records, which `knapweedctl why` reads.

use std::time::SystemTime;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Name, RequestId, RuleRef};

/// The name of the process that made a decision.
pub type ProcessName = Name;

/// The stage at which a decision was made.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The API key was resolved to a team.
    #[display("identify")]
    Identify,
    /// A route was matched.
    #[display("match")]
    Match,
    /// The team's limits were checked.
    #[display("admit")]
    Admit,
    /// The idempotency key was checked.
    #[display("once")]
    Once,
    /// The quarantine was checked for the request's fingerprint.
    #[display("quarantine")]
    Quarantine,
    /// The request was queued.
    #[display("queue")]
    Queue,
    /// A target was chosen.
    #[display("dispatch")]
    Dispatch,
    /// An agent accepted or rejected the attempt.
    #[display("accept")]
    Accept,
    /// A further attempt was scheduled.
    #[display("retry")]
    Retry,
    /// The request ended.
    #[display("end")]
    End,
}

/// One decision about one request.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// The wall-clock time in the process that made the decision.
    pub at: SystemTime,
    /// The stage.
    pub step: Step,
    /// The rules that determined the decision.
    pub rules: Vec<RuleRef>,
    /// A human-readable description of the decision.
    pub detail: String,
}
