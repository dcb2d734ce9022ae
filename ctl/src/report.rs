//! What a command prints and how it exits.

use std::process::ExitCode;

use derive_more::Display;
use serde::Serialize;
use serde_json::Value;

/// How a command ended.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Display)]
pub enum Exit {
    /// It did what was asked.
    Done = 0,
    /// A document or settings file is refused.
    Refused = 1,
    /// The flags are wrong or a file cannot be read.
    Usage = 2,
    /// A process could not be reached or did not answer.
    Unreachable = 3,
    /// No process holds the record.
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
    /// For people; without a final line break.
    pub text: String,
    /// For programs.
    pub json: Value,
    /// How the command ended.
    pub exit: Exit,
}

impl Report {
    /// Creates a report.
    ///
    /// # Panics
    ///
    /// Panics if `value` has no JSON form, which no value of this crate causes.
    pub fn new(exit: Exit, text: impl Into<String>, value: &impl Serialize) -> Self {
        Self {
            text: text.into(),
            json: serde_json::to_value(value).expect("the value has a JSON form"),
            exit,
        }
    }

    /// What is printed.
    pub fn output(&self, json: bool) -> String {
        match json {
            true => format!("{:#}", self.json),
            false => self.text.clone(),
        }
    }
}
