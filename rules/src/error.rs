//! Errors in a rules document.

use derive_more::{Display, Error};

/// An error in a document, with its position.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Display, Error)]
#[display("line {line}, column {column}: found {found}, expected {expected}")]
pub struct RuleError {
    /// The line, from 1.
    pub line: u32,
    /// The column in characters, from 1.
    pub column: u32,
    /// What was found at this position.
    pub found: String,
    /// What is accepted at this position.
    pub expected: String,
}

impl RuleError {
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

/// Quotes document text for an error message, truncating long text.
pub(crate) fn quote(text: &str) -> String {
    const MAX_QUOTED_CHARS: usize = 40;
    let shown: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    let rest = if shown.len() < text.len() { "..." } else { "" };
    format!("`{}{rest}`", shown.escape_debug())
}
