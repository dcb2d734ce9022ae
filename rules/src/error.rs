//! Faults of a rules document.

use derive_more::{Display, Error};

/// One fault of a document, with its place.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Display, Error)]
#[display("line {line}, column {column}: found {found}, expected {expected}")]
pub struct RuleError {
    /// The line, from 1.
    pub line: u32,
    /// The column in characters, from 1.
    pub column: u32,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub expected: String,
}

impl RuleError {
    /// Creates a fault.
    pub(crate) fn new(
        line: u32,
        column: u32,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> Self {
        Self {
            line,
            column,
            found: found.into(),
            expected: expected.into(),
        }
    }
}

/// Quotes document text for a message, shortened if it is long.
pub(crate) fn quote(text: &str) -> String {
    const MAX_QUOTED_CHARS: usize = 40;
    let shown: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    let rest = if shown.len() < text.len() { "..." } else { "" };
    format!("`{}{rest}`", shown.escape_debug())
}
