//! Output and exit code of a command.

use std::process::ExitCode;

use derive_more::Display;
use serde::Serialize;
use serde_json::Value;

/// Exit status of a command.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Display)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// A document or settings file is invalid.
    Refused = 1,
    /// The flags are invalid or a file cannot be read.
    Usage = 2,
    /// A process could not be reached or did not respond.
    Unreachable = 3,
    /// No process has the record.
    Gone = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// The result of a command.
#[derive(Clone, PartialEq, Debug)]
pub struct Report {
    /// Human-readable output, without a final newline.
    pub text: String,
    /// Machine-readable output.
    pub json: Value,
    /// Exit status.
    pub exit: Exit,
}

impl Report {
    /// Creates a report.
    ///
    /// # Panics
    ///
    /// Panics if `value` cannot be represented as JSON, which does not occur for the types
    /// of this crate.
    pub fn new(exit: Exit, text: impl Into<String>, value: &impl Serialize) -> Self {
        Self {
            text: text.into(),
            json: serde_json::to_value(value).expect("the value can be represented as JSON"),
            exit,
        }
    }

    /// The output to print, as JSON if `json` is set.
    pub fn output(&self, json: bool) -> String {
        match json {
            true => format!("{:#}", self.json),
            false => self.text.clone(),
        }
    }
}
