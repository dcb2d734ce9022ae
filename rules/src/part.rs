//! Joins the values of the configuration service that make up a document.
//!
//! The text of the document is the root value followed by the referenced parts in
//! order, each preceded by a comment line with its key. Parts may not reference
//! further parts.

use std::collections::BTreeMap;

use entity::Name;

use crate::config::KeyHash;
use crate::document::{Document, MAX_DOCUMENT_BYTES};
use crate::end;
use crate::error::RuleError;
use crate::statement::{PartStatement, Statement};

/// The start of the comment line before a part.
pub(crate) const PART_COMMENT: &str = "# part ";

/// The maximum size of a value of the configuration service, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Returns the parts that a root document references, in order.
pub fn parts(root: &Document) -> Vec<PartStatement> {
    root.parts().cloned().collect()
}

/// Returns the hash by which a root document references `text` as a part.
pub fn part_hash(text: &str) -> KeyHash {
    KeyHash::of(text)
}

/// The original location of a line of a joined document.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Origin {
    /// The key of the part; `None` for the root document.
    pub part: Option<Name>,
    /// The line in that value, from 1.
    pub line: u32,
}

/// Returns the original location of `line` of the joined `text`.
pub fn origin(text: &str, line: u32) -> Origin {
    let earlier = text.lines().zip(1..line);
    let comments =
        earlier.filter_map(|(text, number)| Some((text.strip_prefix(PART_COMMENT)?, number)));
    let comments = comments.filter(|(key, _)| is_part_key(text, key));
    match comments.last() {
        Some((key, number)) => Origin {
            part: Some(Name::new(key)),
            line: line - number,
        },
        None => Origin { part: None, line },
    }
}

/// Returns whether a rule in `text` references the part `key`.
fn is_part_key(text: &str, key: &str) -> bool {
    let mut named = text.lines().map(str::split_whitespace);
    named.any(|mut words| words.next() == Some("part") && words.next() == Some(key))
}

/// Joins a root document with its parts and returns the resulting text.
///
/// The result is determined by the root and the parts.
///
/// # Errors
///
/// Returns all errors: a root without `end`; a part that is missing, is too large, does
/// not match its hash or references further parts; a document that is too large.
pub fn assemble(
    root: &Document,
    values: &BTreeMap<Name, String>,
) -> Result<String, Vec<RuleError>> {
    let mut errors = Vec::new();
    errors.extend(end::check_root(root));
    let mut text = root.to_string();
    if text.len() > MAX_VALUE_BYTES {
        errors.push(too_large(
            1,
            "the root document",
            text.len(),
            MAX_VALUE_BYTES,
        ));
    }
    for (line, rule) in root.rules() {
        let Statement::Part(part) = &rule.statement else {
            continue;
        };
        match check(line, part, values.get(&part.key)) {
            Ok(value) => append(&mut text, &part.key, value),
            Err(error) => errors.push(error),
        }
    }
    if text.len() > MAX_DOCUMENT_BYTES {
        errors.push(too_large(1, "the document", text.len(), MAX_DOCUMENT_BYTES));
    }
    match errors.is_empty() {
        true => Ok(text),
        false => Err(errors),
    }
}

fn append(text: &mut String, key: &Name, value: &str) {
    if !text.ends_with('\n') {
        text.push('\n');
    }
    text.push_str(PART_COMMENT);
    text.push_str(key.as_str());
    text.push('\n');
    text.push_str(value);
}

fn check<'a>(
    line: u32,
    part: &PartStatement,
    value: Option<&'a String>,
) -> Result<&'a str, RuleError> {
    let key = &part.key;
    let Some(value) = value else {
        let found = format!("no value for part `{key}`");
        return Err(RuleError::new(line, 1, found, "each part that is named"));
    };
    if value.len() > MAX_VALUE_BYTES {
        let what = format!("part `{key}`");
        return Err(too_large(line, &what, value.len(), MAX_VALUE_BYTES));
    }
    let hash = part_hash(value);
    if hash != part.hash {
        let found = format!("part `{key}` with {hash}");
        return Err(RuleError::new(line, 1, found, part.hash.to_string()));
    }
    let nested = |line: &str| matches!(line.split_whitespace().next(), Some("part"));
    if value.lines().any(nested) {
        let found = format!("part `{key}` that names a part");
        return Err(RuleError::new(
            line,
            1,
            found,
            "parts named by the root only",
        ));
    }
    Ok(value)
}

fn too_large(line: u32, what: &str, size: usize, limit: usize) -> RuleError {
    let found = format!("{what} of {size} bytes");
    RuleError::new(line, 1, found, format!("at most {limit} bytes"))
}
