//! Reads statements from the words of a line.

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
/// The flags of a route.
pub(crate) const REPEATS: [&str; 2] = ["idempotent", "once"];

/// The words of one line that are still to be read.
struct Reader<'a, 'e> {
    line: u32,
    words: core::slice::Iter<'a, Word<'a>>,
    end: u32,
    errors: &'e mut Vec<RuleError>,
}

/// The `key value` pairs of one line.
struct Options<'a> {
    pairs: Vec<(Word<'a>, Option<Word<'a>>)>,
}

/// Reads the statement of a line that has at least one word.
///
/// Returns `None` if it appended to `errors`.
pub(crate) fn statement(
    line: u32,
    scan: &Scan<'_>,
    errors: &mut Vec<RuleError>,
) -> Option<Statement> {
    let before = errors.len();
    let mut reader = Reader {
        line,
        words: scan.words.iter(),
        end: scan.end,
        errors,
    };
    let keyword = reader.words.next()?;
    let statement = match keyword.text {
        "revision" => revision(&mut reader),
        "data-centre" => data_centre(&mut reader),
        "pool" => pool(&mut reader),
        "target" => target(&mut reader),
        "team" => team(&mut reader),
        "key" => key(&mut reader),
        "route" => route(&mut reader),
        "model" => model(&mut reader),
        "drain" => drain(&mut reader),
        "part" => part(&mut reader),
        "end" => end(&mut reader),
        _ => {
            reader.fault(*keyword, STATEMENTS);
            None
        }
    };
    statement.filter(|_| errors.len() == before)
}

impl<'a> Reader<'a, '_> {
    fn fault(&mut self, word: Word<'_>, expected: impl Into<String>) {
        let error = RuleError::new(self.line, word.column, quote(word.text), expected);
        self.errors.push(error);
    }

    fn ended(&mut self, expected: impl Into<String>) {
        let error = RuleError::new(self.line, self.end, "the end of the rule", expected);
        self.errors.push(error);
    }

    /// Reads the next word as a value; `what` names it if it is missing.
    fn next<T>(&mut self, what: &str, read: impl FnOnce(&str) -> Result<T, Expected>) -> Option<T> {
        let Some(&word) = self.words.next() else {
            self.ended(what);
            return None;
        };
        self.read(word, read)
    }

    fn read<T>(
        &mut self,
        word: Word<'_>,
        read: impl FnOnce(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        match read(word.text) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.fault(word, expected);
                None
            }
        }
    }

    /// Reports the words that are left.
    fn finish(&mut self) {
        if let Some(&word) = self.words.next() {
            self.fault(word, "the end of the rule");
        }
    }

    /// Reads the rest as pairs of a known key and a value, and flags without a value.
    fn options(&mut self, known: &[&str], flags: &[&str]) -> Options<'a> {
        let mut pairs: Vec<(Word<'a>, Option<Word<'a>>)> = Vec::new();
        while let Some(&key) = self.words.next() {
            let is_flag = flags.contains(&key.text);
            let is_known = is_flag || known.contains(&key.text);
            let mut following = self.words.clone();
            let next = following.next().copied();
            let value = match next {
                _ if is_flag => None,
                Some(word) if is_known || !known.contains(&word.text) => {
                    self.words = following;
                    Some(word)
                }
                _ => None,
            };
            let twice = pairs.iter().any(|(other, _)| other.text == key.text);
            match value {
                _ if !is_known => self.fault(key, one_of(known, flags)),
                _ if twice => self.fault(key, "each key once"),
                None if !is_flag => self.ended(format!("a value for `{}`", key.text)),
                _ => pairs.push((key, value)),
            }
        }
        Options { pairs }
    }

    /// The value of `key`, if the key was given.
    fn option<T>(
        &mut self,
        options: &Options<'a>,
        key: &str,
        read: impl FnOnce(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        let word = options.value(key)?;
        self.read(word, read)
    }

    /// The value of `key`, which must be given.
    fn require<T>(
        &mut self,
        options: &Options<'a>,
        key: &str,
        read: impl FnOnce(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        match options.value(key) {
            Some(word) => self.read(word, read),
            None => {
                let missing = !options.has(key);
                missing.then(|| self.ended(format!("`{key}` and its value")));
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

fn revision(reader: &mut Reader<'_, '_>) -> Option<Statement> {
    let revision = reader.next("a revision number above 0", value::revision);
    reader.finish();
    Some(Revision(revision?).into())
}

fn data_centre(reader: &mut Reader<'_, '_>) -> Option<Statement> {
    let name = reader.next("a name", value::name);
    reader.finish();
    Some(Statement::DataCentre(name?))
}

fn pool(reader: &mut Reader<'_, '_>) -> Option<Statement> {
    let name = reader.next("a name", value::name);
    let options = reader.options(&["kind", "cold", "max"], &[]);
    let kind = reader.require(&options, "kind", value::kind);
    let cold = reader.option(&options, "cold", value::positive);
    let max = reader.option(&options, "max", value::positive);
    let statement = PoolStatement {
        name: name?,
        kind: kind?,
        cold,
        max,
    };
    Some(statement.into())
}

fn target(reader: &mut Reader<'_, '_>) -> Option<Statement> {
    const KEYS: [&str; 7] = [
        "pool",
        "data-centre",
        "data",
        "control",
        "fencing",
        "from",
        "until",
    ];
    let name = reader.next("a name", value::name);
    let options = reader.options(&KEYS, &[]);
    let pool = reader.require(&options, "pool", value::name);
    let centre = reader.require(&options, "data-centre", value::name);
    let data = reader.require(&options, "data", value::address);
    let control = reader.require(&options, "control", value::address);
    let fencing = reader.option(&options, "fencing", value::fencing);
    let from = reader.option(&options, "from", value::time);
    let until = reader.option(&options, "until", value::time);
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

fn team(reader: &mut Reader<'_, '_>) -> Option<Statement> {
    const KEYS: [&str; 6] = ["weight", "class", "in-flight", "rate", "burst", "queue"];
    let name = reader.next("a name", value::name);
    let options = reader.options(&KEYS, &[]);
    let statement = TeamStatement {
        weight: reader.option(&options, "weight", value::positive),
        class: reader.option(&options, "class", value::class),
        in_flight: reader.option(&options, "in-flight", value::positive),
        rate: reader.option(&options, "rate", value::rate),
        burst: reader.option(&options, "burst", value::positive),
        queue: reader.option(&options, "queue", value::number),
        name: name?,
    };
    Some(statement.into())
}

fn key(reader: &mut Reader<'_, '_>) -> Option<Statement> {
    let team = reader.next("the name of a team", value::name);
    let hash = reader.next("`sha256:` and 64 hexadecimal digits", value::hash);
    reader.finish();
    let statement = KeyStatement {
        team: team?,
        hash: hash?,
    };
    Some(statement.into())
}

fn route(reader: &mut Reader<'_, '_>) -> Option<Statement> {
    const KEYS: [&str; 4] = ["pool", "class", "cost", "timeout"];
    let name = reader.next("a name", value::name);
    let method = reader.next("an HTTP method", value::method);
    let path = reader.next("a path", value::path);
    let options = reader.options(&KEYS, &REPEATS);
    let pool = reader.require(&options, "pool", value::name);
    let repeat = repeat(reader, &options);
    let class = reader.option(&options, "class", value::class);
    let cost = reader.option(&options, "cost", value::positive);
    let timeout = reader.option(&options, "timeout", value::timeout);
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

fn repeat(reader: &mut Reader<'_, '_>, options: &Options<'_>) -> Option<Repeat> {
    let mut flags = options
        .pairs
        .iter()
        .filter(|(word, _)| REPEATS.contains(&word.text));
    match (flags.next(), flags.next()) {
        (Some((word, _)), None) if word.text == "once" => Some(Repeat::Once),
        (Some(_), None) => Some(Repeat::Idempotent),
        (Some(_), Some((word, _))) => {
            reader.fault(*word, "only one of `idempotent` and `once`");
            None
        }
        (None, _) => {
            reader.ended("`idempotent` or `once`");
            None
        }
    }
}

fn model(reader: &mut Reader<'_, '_>) -> Option<Statement> {
    let name = reader.next("a name", value::name);
    let options = reader.options(&["pool", "version", "replicas"], &[]);
    let pool = reader.require(&options, "pool", value::name);
    let version = reader.require(&options, "version", value::name);
    let replicas = reader.require(&options, "replicas", value::positive);
    let statement = ModelStatement {
        name: name?,
        pool: pool?,
        version: version?,
        replicas: replicas?,
    };
    Some(statement.into())
}

fn drain(reader: &mut Reader<'_, '_>) -> Option<Statement> {
    let expected = "`data-centre` or `target`";
    let wrap: Option<fn(Name) -> DrainStatement> = reader.next(expected, |text| match text {
        "data-centre" => Ok(DrainStatement::DataCentre as fn(Name) -> DrainStatement),
        "target" => Ok(DrainStatement::Target as fn(Name) -> DrainStatement),
        _ => Err(expected),
    });
    let name = reader.next("a name", value::name);
    reader.finish();
    Some(wrap?(name?).into())
}

fn end(reader: &mut Reader<'_, '_>) -> Option<Statement> {
    reader.finish();
    Some(Statement::End)
}

fn part(reader: &mut Reader<'_, '_>) -> Option<Statement> {
    let key = reader.next("a key of the configuration service", value::name);
    let hash = reader.next("`sha256:` and 64 hexadecimal digits", value::hash);
    reader.finish();
    let statement = PartStatement {
        key: key?,
        hash: hash?,
    };
    Some(statement.into())
}
