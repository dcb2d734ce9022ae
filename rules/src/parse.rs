//! Parses statements from the words of a line.

use entity::{Cost, Name, Revision};

use crate::config::Repeat;
use crate::error::{RuleError, quote};
use crate::scan::{Scan, Word};
use crate::statement::{
    DrainStatement, KeyStatement, ModelStatement, PartStatement, PoolStatement, RouteStatement,
    Statement, TargetStatement, TeamStatement,
};
use crate::value::{self, Expected};

const STATEMENTS: Expected = "`revision`, `data-centre`, `pool`, `target`, `team`, `key`, `route`, `model`, `drain`, `part` or `end`";
/// The flags of a route that specify whether requests may be repeated.
pub(crate) const REPEAT_FLAGS: [&str; 2] = ["idempotent", "once"];

/// A parser over the remaining words of a line.
struct Parser<'a, 'e> {
    line: u32,
    words: core::slice::Iter<'a, Word<'a>>,
    end: u32,
    errors: &'e mut Vec<RuleError>,
}

/// The `key value` pairs and flags of a line.
struct Options<'a> {
    pairs: Vec<(Word<'a>, Option<Word<'a>>)>,
}

/// Parses the statement of a line that has at least one word.
///
/// Returns `None` if it reported an error.
pub(crate) fn statement(
    line: u32,
    scan: &Scan<'_>,
    errors: &mut Vec<RuleError>,
) -> Option<Statement> {
    let before = errors.len();
    let mut parser = Parser {
        line,
        words: scan.words.iter(),
        end: scan.end,
        errors,
    };
    let keyword = parser.words.next()?;
    let statement = match keyword.text {
        "revision" => revision(&mut parser),
        "data-centre" => data_centre(&mut parser),
        "pool" => pool(&mut parser),
        "target" => target(&mut parser),
        "team" => team(&mut parser),
        "key" => key(&mut parser),
        "route" => route(&mut parser),
        "model" => model(&mut parser),
        "drain" => drain(&mut parser),
        "part" => part(&mut parser),
        "end" => end(&mut parser),
        _ => {
            parser.unexpected(*keyword, STATEMENTS);
            None
        }
    };
    statement.filter(|_| errors.len() == before)
}

impl<'a> Parser<'a, '_> {
    fn unexpected(&mut self, word: Word<'_>, expected: impl Into<String>) {
        let error = RuleError::new(self.line, word.column, quote(word.text), expected);
        self.errors.push(error);
    }

    fn missing(&mut self, expected: impl Into<String>) {
        let error = RuleError::new(self.line, self.end, "the end of the rule", expected);
        self.errors.push(error);
    }

    /// Parses the next word; `what` describes it in the error if it is missing.
    fn next<T>(
        &mut self,
        what: &str,
        parse: impl FnOnce(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        let Some(&word) = self.words.next() else {
            self.missing(what);
            return None;
        };
        self.parse_word(word, parse)
    }

    fn parse_word<T>(
        &mut self,
        word: Word<'_>,
        parse: impl FnOnce(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        match parse(word.text) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.unexpected(word, expected);
                None
            }
        }
    }

    /// Reports an error if any words remain.
    fn finish(&mut self) {
        if let Some(&word) = self.words.next() {
            self.unexpected(word, "the end of the rule");
        }
    }

    /// Parses the remaining words as known keys with values and as flags without values.
    fn options(&mut self, known: &[&str], flags: &[&str]) -> Options<'a> {
        let mut pairs: Vec<(Word<'a>, Option<Word<'a>>)> = Vec::new();
        while let Some(&key) = self.words.next() {
            let is_flag = flags.contains(&key.text);
            let is_recognized = is_flag || known.contains(&key.text);
            let mut rest = self.words.clone();
            let next = rest.next().copied();
            let value = match next {
                _ if is_flag => None,
                Some(word) if is_recognized || !known.contains(&word.text) => {
                    self.words = rest;
                    Some(word)
                }
                _ => None,
            };
            let is_duplicate = pairs.iter().any(|(other, _)| other.text == key.text);
            match value {
                _ if !is_recognized => self.unexpected(key, one_of(known, flags)),
                _ if is_duplicate => self.unexpected(key, "each key once"),
                None if !is_flag => self.missing(format!("a value for `{}`", key.text)),
                _ => pairs.push((key, value)),
            }
        }
        Options { pairs }
    }

    /// Parses the value of `key`, if the key is present.
    fn option<T>(
        &mut self,
        options: &Options<'a>,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        let word = options.value(key)?;
        self.parse_word(word, parse)
    }

    /// Parses the value of `key`, which is mandatory.
    fn require<T>(
        &mut self,
        options: &Options<'a>,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        match options.value(key) {
            Some(word) => self.parse_word(word, parse),
            None => {
                let is_absent = !options.has(key);
                is_absent.then(|| self.missing(format!("`{key}` and its value")));
                None
            }
        }
    }
}

impl<'a> Options<'a> {
    fn has(&self, key: &str) -> bool {
        self.pairs.iter().any(|(word, _)| word.text == key)
    }

    fn value(&self, key: &str) -> Option<Word<'a>> {
        let mut pairs = self.pairs.iter();
        pairs.find(|(word, _)| word.text == key)?.1
    }
}

fn one_of(known: &[&str], flags: &[&str]) -> String {
    let keys: Vec<_> = known.iter().chain(flags).collect();
    let quoted: Vec<_> = keys.iter().map(|key| format!("`{key}`")).collect();
    format!("one of {}", quoted.join(", "))
}

fn revision(parser: &mut Parser<'_, '_>) -> Option<Statement> {
    let revision = parser.next("a revision number above 0", value::revision);
    parser.finish();
    Some(Revision(revision?).into())
}

fn data_centre(parser: &mut Parser<'_, '_>) -> Option<Statement> {
    let name = parser.next("a name", value::name);
    parser.finish();
    Some(Statement::DataCentre(name?))
}

fn pool(parser: &mut Parser<'_, '_>) -> Option<Statement> {
    let name = parser.next("a name", value::name);
    let options = parser.options(&["kind", "cold", "max"], &[]);
    let kind = parser.require(&options, "kind", value::kind);
    let cold = parser.option(&options, "cold", value::positive);
    let max = parser.option(&options, "max", value::positive);
    let statement = PoolStatement {
        name: name?,
        kind: kind?,
        cold,
        max,
    };
    Some(statement.into())
}

fn target(parser: &mut Parser<'_, '_>) -> Option<Statement> {
    const KEYS: [&str; 7] = [
        "pool",
        "data-centre",
        "data",
        "control",
        "fencing",
        "from",
        "until",
    ];
    let name = parser.next("a name", value::name);
    let options = parser.options(&KEYS, &[]);
    let pool = parser.require(&options, "pool", value::name);
    let centre = parser.require(&options, "data-centre", value::name);
    let data = parser.require(&options, "data", value::address);
    let control = parser.require(&options, "control", value::address);
    let fencing = parser.option(&options, "fencing", value::fencing);
    let from = parser.option(&options, "from", value::time);
    let until = parser.option(&options, "until", value::time);
    let statement = TargetStatement {
        name: name?,
        pool: pool?,
        centre: centre?,
        data: data?,
        control: control?,
        fencing,
        from,
        until,
    };
    Some(statement.into())
}

fn team(parser: &mut Parser<'_, '_>) -> Option<Statement> {
    const KEYS: [&str; 6] = ["weight", "class", "in-flight", "rate", "burst", "queue"];
    let name = parser.next("a name", value::name);
    let options = parser.options(&KEYS, &[]);
    let statement = TeamStatement {
        weight: parser.option(&options, "weight", value::positive),
        class: parser.option(&options, "class", value::class),
        in_flight: parser.option(&options, "in-flight", value::positive),
        rate: parser.option(&options, "rate", value::rate),
        burst: parser.option(&options, "burst", value::positive),
        queue: parser.option(&options, "queue", value::number),
        name: name?,
    };
    Some(statement.into())
}

fn key(parser: &mut Parser<'_, '_>) -> Option<Statement> {
    let team = parser.next("the name of a team", value::name);
    let hash = parser.next("`sha256:` and 64 hexadecimal digits", value::hash);
    parser.finish();
    let statement = KeyStatement {
        team: team?,
        hash: hash?,
    };
    Some(statement.into())
}

fn route(parser: &mut Parser<'_, '_>) -> Option<Statement> {
    const KEYS: [&str; 4] = ["pool", "class", "cost", "timeout"];
    let name = parser.next("a name", value::name);
    let method = parser.next("an HTTP method", value::method);
    let path = parser.next("a path", value::path);
    let options = parser.options(&KEYS, &REPEAT_FLAGS);
    let pool = parser.require(&options, "pool", value::name);
    let repeat = repeat(parser, &options);
    let class = parser.option(&options, "class", value::class);
    let cost = parser.option(&options, "cost", value::positive);
    let timeout = parser.option(&options, "timeout", value::timeout);
    let statement = RouteStatement {
        name: name?,
        method: method?,
        path: path?,
        pool: pool?,
        repeat: repeat?,
        class,
        cost: cost.map(|cost| Cost(i64::from(cost))),
        timeout,
    };
    Some(statement.into())
}

fn repeat(parser: &mut Parser<'_, '_>, options: &Options<'_>) -> Option<Repeat> {
    let mut flags = options
        .pairs
        .iter()
        .filter(|(word, _)| REPEAT_FLAGS.contains(&word.text));
    match (flags.next(), flags.next()) {
        (Some((word, _)), None) if word.text == "once" => Some(Repeat::Once),
        (Some(_), None) => Some(Repeat::Idempotent),
        (Some(_), Some((word, _))) => {
            parser.unexpected(*word, "only one of `idempotent` and `once`");
            None
        }
        (None, _) => {
            parser.missing("`idempotent` or `once`");
            None
        }
    }
}

fn model(parser: &mut Parser<'_, '_>) -> Option<Statement> {
    let name = parser.next("a name", value::name);
    let options = parser.options(&["pool", "version", "replicas"], &[]);
    let pool = parser.require(&options, "pool", value::name);
    let version = parser.require(&options, "version", value::name);
    let replicas = parser.require(&options, "replicas", value::positive);
    let statement = ModelStatement {
        name: name?,
        pool: pool?,
        version: version?,
        replicas: replicas?,
    };
    Some(statement.into())
}

fn drain(parser: &mut Parser<'_, '_>) -> Option<Statement> {
    let expected = "`data-centre` or `target`";
    let variant: Option<fn(Name) -> DrainStatement> = parser.next(expected, |text| match text {
        "data-centre" => Ok(DrainStatement::DataCentre as fn(Name) -> DrainStatement),
        "target" => Ok(DrainStatement::Target as fn(Name) -> DrainStatement),
        _ => Err(expected),
    });
    let name = parser.next("a name", value::name);
    parser.finish();
    Some(variant?(name?).into())
}

fn end(parser: &mut Parser<'_, '_>) -> Option<Statement> {
    parser.finish();
    Some(Statement::End)
}

fn part(parser: &mut Parser<'_, '_>) -> Option<Statement> {
    let key = parser.next("a key of the configuration service", value::name);
    let hash = parser.next("`sha256:` and 64 hexadecimal digits", value::hash);
    parser.finish();
    let statement = PartStatement {
        key: key?,
        hash: hash?,
    };
    Some(statement.into())
}
