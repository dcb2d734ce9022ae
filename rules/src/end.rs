//! Checks that a document is complete.
//!
//! A read from the configuration service may be truncated between two lines. The
//! last rule of the root document is `end`, so a truncated document is rejected.
//! Parts are referenced by their hashes and need no `end`.

use std::collections::BTreeSet;

use crate::document::Document;
use crate::error::{RuleError, quote};
use crate::part::PART_COMMENT;
use crate::scan::Word;
use crate::statement::Statement;

/// Checks a root document that is not joined with its parts.
pub(crate) fn check_root(root: &Document) -> Vec<RuleError> {
    check(root, &BTreeSet::new())
}

/// Checks a document that is joined with its parts.
pub(crate) fn check_document(document: &Document) -> Vec<RuleError> {
    let keys = document.parts().map(|part| part.key.as_str());
    check(document, &keys.collect())
}

/// Checks that there is one `end` and that only the parts in `keys` have rules after it.
fn check(document: &Document, keys: &BTreeSet<&str>) -> Vec<RuleError> {
    let mut errors = Vec::new();
    let mut end = None;
    let mut last = 1;
    let mut is_part = false;
    for (line, text, rule) in document.lines() {
        last = line;
        let key = text.strip_prefix(PART_COMMENT);
        match (rule.map(|rule| &rule.statement), end) {
            (None, Some(_)) => is_part |= key.is_some_and(|key| keys.contains(key)),
            (Some(Statement::End), None) => end = Some(line),
            (Some(Statement::End), Some(first)) => {
                let expected = format!("it once; line {first} has it already");
                errors.push(error_at(document, line, expected));
            }
            (Some(_), Some(first)) if !is_part => {
                let expected = format!("no rule after `end` on line {first}");
                errors.push(error_at(document, line, expected));
            }
            _ => {}
        }
    }
    if end.is_none() {
        let found = "the end of the document";
        let expected = "`end` as the last rule of the root document";
        errors.push(RuleError::new(last, 1, found, expected));
    }
    errors
}

fn error_at(document: &Document, line: u32, expected: String) -> RuleError {
    let words = document.words(line);
    let first = words.first();
    let column = first.map_or(1, |word| word.column);
    let found = first.map_or("", |Word { text, .. }| text);
    RuleError::new(line, column, quote(found), expected)
}
