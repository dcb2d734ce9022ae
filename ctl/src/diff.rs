//! `diff`: the changes between two rules documents, and the teams and pools they affect.

use std::path::Path;

use crate::check::load;
use crate::report::{Exit, Report};

/// Compares two rules documents.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn run(old: &Path, new: &Path) -> eyre::Result<Report> {
    let before = match load(old, None)? {
        Ok(config) => config,
        Err(report) => return Ok(report),
    };
    let after = match load(new, None)? {
        Ok(config) => config,
        Err(report) => return Ok(report),
    };
    let diff = rules::diff(&before, &after);
    let note = match before.revision < after.revision {
        true => "",
        false => "\n! the revision does not rise, so no process would adopt the new document",
    };
    Ok(Report::new(Exit::Done, format!("{diff}{note}"), &diff))
}
