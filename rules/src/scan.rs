//! Splits a line into words and a comment.

use winnow::Parser;
use winnow::combinator::{opt, preceded, repeat, terminated};
use winnow::error::ContextError;
use winnow::stream::LocatingSlice;
use winnow::token::{rest, take_while};

/// A word and its position.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Word<'a> {
    /// The text.
    pub(crate) text: &'a str,
    /// The column of its first character, from 1.
    pub(crate) column: u32,
}

/// A line split into words and a comment.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Scan<'a> {
    /// The words before the comment.
    pub(crate) words: Vec<Word<'a>>,
    /// The comment with its `#`.
    pub(crate) comment: Option<Word<'a>>,
    /// The column after the last word.
    pub(crate) end: u32,
}

type Input<'a> = LocatingSlice<&'a str>;

/// Splits `line`, which may contain any text.
///
/// Words are separated by spaces and tabs only; a final carriage return is ignored.
pub(crate) fn scan(line: &str) -> Scan<'_> {
    let line = line.strip_suffix('\r').unwrap_or(line);
    let (words, comment) = line_parts
        .parse(LocatingSlice::new(line))
        .expect("every line splits into words and a comment");
    let end = words.last().map_or(0, |(_, span)| span.end);
    Scan {
        words: words.into_iter().map(|word| to_word(line, word)).collect(),
        comment: comment.map(|comment| to_word(line, comment)),
        end: column(line, end),
    }
}

fn to_word<'a>(line: &str, (text, span): Spanned<'a>) -> Word<'a> {
    Word {
        text,
        column: column(line, span.start),
    }
}

/// Returns the column of a byte offset.
fn column(line: &str, offset: usize) -> u32 {
    let before = line[..offset].chars().count();
    u32::try_from(before + 1).unwrap_or(u32::MAX)
}

type Spanned<'a> = (&'a str, core::ops::Range<usize>);
type LineParts<'a> = (Vec<Spanned<'a>>, Option<Spanned<'a>>);

fn line_parts<'a>(input: &mut Input<'a>) -> Result<LineParts<'a>, ContextError> {
    let words = repeat(0.., terminated(word.with_span(), whitespace));
    preceded(whitespace, (words, opt(comment.with_span()))).parse_next(input)
}

fn is_whitespace(c: char) -> bool {
    matches!(c, ' ' | '\t')
}

fn whitespace<'a>(input: &mut Input<'a>) -> Result<&'a str, ContextError> {
    take_while(0.., is_whitespace).parse_next(input)
}

/// Parses a word. A comment can only start where a word could, so a word may contain `#`.
fn word<'a>(input: &mut Input<'a>) -> Result<&'a str, ContextError> {
    let first = take_while(1, |c: char| c != '#' && !is_whitespace(c));
    let others = take_while(0.., |c: char| !is_whitespace(c));
    (first, others).take().parse_next(input)
}

fn comment<'a>(input: &mut Input<'a>) -> Result<&'a str, ContextError> {
    ('#', rest).take().parse_next(input)
}
