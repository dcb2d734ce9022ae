//! Decision records, from which `knapweedctl why` answers.

use std::time::SystemTime;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Name, RequestId, RuleRef};

/// The name of the process that decided.
pub type ProcessName = Name;

/// The stage at which a decision was made.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The team was found by its API key.
    #[display("identify")]
    Identify,
    /// A route was matched.
    #[display("match")]
    Match,
    /// Limits were applied.
    #[display("admit")]
    Admit,
    /// The idempotency key was examined.
    #[display("once")]
    Once,
    /// The request was compared with the quarantine.
    #[display("quarantine")]
    Quarantine,
    /// The request was put into a queue.
    #[display("queue")]
    Queue,
    /// A target was chosen.
    #[display("dispatch")]
    Dispatch,
    /// The agent accepted or rejected the attempt.
    #[display("accept")]
    Accept,
    /// Another attempt was decided on.
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
    /// When, by the wall clock of the deciding process.
    pub at: SystemTime,
    /// The stage.
    pub step: Step,
    /// The rules that made the decision.
    pub rules: Vec<RuleRef>,
    /// What was decided, in words.
    pub detail: String,
}
