//! A parsed rules document, which retains the original text of its lines.

use core::fmt;

use entity::{Name, Revision};

use crate::error::{RuleError, quote};
use crate::scan::{Word, scan};
use crate::statement::{PartStatement, Statement};
use crate::{parse, value};

/// The maximum size of a document including all its parts, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// The maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 1024;

/// A document in which every line is valid.
///
/// [`Display`](fmt::Display) reproduces the original text byte for byte.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Document {
    lines: Vec<Line>,
    has_final_newline: bool,
}

#[derive(Clone, PartialEq, Eq, Debug)]
struct Line {
    text: Name,
    rule: Option<Rule>,
}

/// A rule and its source.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Rule {
    /// The statement.
    pub statement: Statement,
    /// The source of the statement.
    pub source: RuleSource,
}

/// The source text of a rule and who requested it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RuleSource {
    /// The text of the rule without its comment.
    pub text: Name,
    /// Who requested the rule, with the date if one was given.
    pub asker: Name,
}

impl Document {
    /// Parses a document.
    ///
    /// # Errors
    ///
    /// Returns the errors of all lines, in order.
    pub fn parse(text: &str) -> Result<Self, Vec<RuleError>> {
        if text.len() > MAX_DOCUMENT_BYTES {
            let found = format!("a document of {} bytes", text.len());
            let expected = format!("at most {MAX_DOCUMENT_BYTES} bytes");
            return Err(vec![RuleError::new(1, 1, found, expected)]);
        }
        let body = text.strip_suffix('\n');
        let has_final_newline = body.is_some();
        let body = body.unwrap_or(text);
        let mut errors = Vec::new();
        let lines = if text.is_empty() {
            Vec::new()
        } else {
            let lines = body.split('\n').zip(1..);
            lines
                .map(|(text, number)| parse_line(number, text, &mut errors))
                .collect()
        };
        errors.sort();
        match errors.is_empty() {
            true => Ok(Self {
                lines,
                has_final_newline,
            }),
            false => Err(errors),
        }
    }

    /// Returns the rules with their line numbers, from 1.
    pub fn rules(&self) -> impl Iterator<Item = (u32, &Rule)> {
        let lines = self.lines.iter().zip(1..);
        lines.filter_map(|(line, number)| Some((number, line.rule.as_ref()?)))
    }

    /// Returns the rule of a line, numbered from 1.
    pub fn rule(&self, line: u32) -> Option<&Rule> {
        let index = usize::try_from(line).ok()?.checked_sub(1)?;
        self.lines.get(index)?.rule.as_ref()
    }

    /// Returns the revision, if the document specifies one.
    pub fn revision(&self) -> Option<Revision> {
        self.rules().find_map(|(_, rule)| match rule.statement {
            Statement::Revision(revision) => Some(revision),
            _ => None,
        })
    }

    /// Returns the parts that the document references, in order.
    pub fn parts(&self) -> impl Iterator<Item = &PartStatement> {
        self.rules().filter_map(|(_, rule)| match &rule.statement {
            Statement::Part(part) => Some(part),
            _ => None,
        })
    }

    /// Returns the lines with their numbers, from 1.
    pub(crate) fn lines(&self) -> impl Iterator<Item = (u32, &str, Option<&Rule>)> {
        let lines = self.lines.iter().zip(1..);
        lines.map(|(line, number)| (number, line.text.as_str(), line.rule.as_ref()))
    }

    /// Returns the words of a line, which give the column of an error.
    pub(crate) fn words(&self, line: u32) -> Vec<Word<'_>> {
        let index = usize::try_from(line).unwrap_or(usize::MAX).wrapping_sub(1);
        let line = self.lines.get(index);
        line.map_or_else(Vec::new, |line| scan(line.text.as_str()).words)
    }
}

impl fmt::Display for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, line) in self.lines.iter().enumerate() {
            let separator = if index > 0 { "\n" } else { "" };
            write!(f, "{separator}{}", line.text)?;
        }
        f.write_str(if self.has_final_newline { "\n" } else { "" })
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}  # asked by: {}", self.statement, self.source.asker)
    }
}

fn parse_line(number: u32, text: &str, errors: &mut Vec<RuleError>) -> Line {
    let rule = match text.len() {
        0..=MAX_LINE_BYTES => parse_rule(number, text, errors),
        length => {
            let found = format!("a line of {length} bytes");
            let expected = format!("at most {MAX_LINE_BYTES} bytes");
            errors.push(RuleError::new(number, 1, found, expected));
            None
        }
    };
    Line {
        text: Name::new(text),
        rule,
    }
}

fn parse_rule(number: u32, text: &str, errors: &mut Vec<RuleError>) -> Option<Rule> {
    let scan = scan(text);
    if scan.words.is_empty() {
        return None;
    }
    let statement = parse::statement(number, &scan, errors);
    let (column, found, asker) = match scan.comment {
        Some(word) => (
            word.column,
            quote(word.text.trim_end()),
            value::asker(word.text),
        ),
        None => {
            let found = "the end of the line".to_owned();
            (scan.end, found, value::asker(""))
        }
    };
    let asker = asker.map_err(|expected| {
        errors.push(RuleError::new(number, column, found, expected));
    });
    let written = text.strip_suffix('\r').unwrap_or(text);
    let comment_bytes = scan.comment.map_or(0, |comment| comment.text.len());
    let written = written[..written.len() - comment_bytes].trim();
    Some(Rule {
        statement: statement?,
        source: RuleSource {
            text: Name::new(written),
            asker: asker.ok()?,
        },
    })
}
