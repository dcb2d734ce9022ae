//! `diff`: what changes for whom between two documents.

use std::path::Path;

use crate::check::load;
use crate::report::{Exit, Report};

/// Compares two documents.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn run(old: &Path, new: &Path) -> eyre::Result<Report> {
    let before = match load(old, None)? {
        Ok(config) => config,
        Err(refusal) => return Ok(refusal),
    };
    let after = match load(new, None)? {
        Ok(config) => config,
        Err(refusal) => return Ok(refusal),
    };
    let diff = rules::diff(&before, &after);
    let note = match before.revision < after.revision {
        true => "",
        false => "\n! the revision does not rise, so no process would adopt the new document",
    };
    Ok(Report::new(Exit::Done, format!("{diff}{note}"), &diff))
}
