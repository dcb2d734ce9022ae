//! Checks a document as a whole.
//!
//! The result depends only on the document, so every process accepts and rejects
//! the same documents.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use entity::{Name, Tag};

use crate::config::{KeyHash, PoolKind, Window};
use crate::document::Document;
use crate::end;
use crate::error::{RuleError, quote};
use crate::parse;
use crate::scan::Word;
use crate::statement::{
    DrainStatement, KeyStatement, ModelStatement, PartStatement, PoolStatement, RouteStatement,
    Statement, TargetStatement, TeamStatement,
};

/// The maximum admission window of a target, in concurrent requests.
pub const MAX_WINDOW: u32 = 65_535;

/// The position of an error within its line.
#[derive(Clone, Copy)]
enum Position {
    /// The word with this index.
    Word(usize),
    /// The value of this key.
    Value(&'static str),
}

/// The defined names of one kind of entity, with the lines that define them.
#[derive(Default)]
struct Definitions {
    kind: &'static str,
    lines: BTreeMap<Name, u32>,
    tags: BTreeMap<Tag, Name>,
}

impl Definitions {
    fn new(kind: &'static str) -> Self {
        Self {
            kind,
            ..Self::default()
        }
    }

    fn contains(&self, name: &Name) -> bool {
        self.lines.contains_key(name)
    }
}

/// The state of the check.
struct Verifier<'a> {
    document: &'a Document,
    errors: Vec<RuleError>,
    centres: Definitions,
    pools: Definitions,
    targets: Definitions,
    teams: Definitions,
    routes: Definitions,
    models: Definitions,
    parts: Definitions,
    kinds: BTreeMap<&'a Name, PoolKind>,
    target_counts: BTreeMap<&'a Name, u32>,
    addresses: BTreeMap<SocketAddr, u32>,
    keys: BTreeMap<KeyHash, u32>,
    patterns: BTreeMap<(&'a Name, &'a Name), u32>,
    drains: BTreeMap<&'a DrainStatement, u32>,
    revision: Option<u32>,
}

/// Checks `document` as a whole.
///
/// # Errors
///
/// Returns all errors, in order of line and column.
pub fn verify(document: &Document) -> Result<(), Vec<RuleError>> {
    let mut verifier = Verifier::new(document);
    for (line, rule) in document.rules() {
        verifier.define(line, &rule.statement);
    }
    for (line, rule) in document.rules() {
        verifier.check_references(line, &rule.statement);
    }
    if verifier.revision.is_none() {
        let error = RuleError::new(1, 1, "no revision", "one `revision N` in the document");
        verifier.errors.push(error);
    }
    verifier.errors.extend(end::check_document(document));
    verifier.errors.sort();
    match verifier.errors.is_empty() {
        true => Ok(()),
        false => Err(verifier.errors),
    }
}

/// Returns the value of `key` on a line. The pairs of a route start after three
/// positional arguments and may have flags between them.
fn value_of<'w>(words: &'w [Word<'w>], key: &str) -> Option<&'w Word<'w>> {
    let is_route = words.first()?.text == "route";
    let pairs = words.get(if is_route { 4 } else { 2 }..)?;
    let is_flag = |word: &Word<'_>| is_route && parse::REPEAT_FLAGS.contains(&word.text);
    let mut pairs = pairs.iter().filter(|word| !is_flag(word));
    while let (Some(found), value) = (pairs.next(), pairs.next()) {
        if found.text == key {
            return value;
        }
    }
    None
}

impl<'a> Verifier<'a> {
    fn new(document: &'a Document) -> Self {
        Self {
            document,
            errors: Vec::new(),
            centres: Definitions::new("data centre"),
            pools: Definitions::new("pool"),
            targets: Definitions::new("target"),
            teams: Definitions::new("team"),
            routes: Definitions::new("route"),
            models: Definitions::new("model"),
            parts: Definitions::new("part"),
            kinds: BTreeMap::new(),
            target_counts: BTreeMap::new(),
            addresses: BTreeMap::new(),
            keys: BTreeMap::new(),
            patterns: BTreeMap::new(),
            drains: BTreeMap::new(),
            revision: None,
        }
    }

    fn report(
        &mut self,
        line: u32,
        position: Position,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        let words = self.document.words(line);
        let word = match position {
            Position::Word(index) => words.get(index),
            Position::Value(key) => value_of(&words, key),
        };
        let column = word.or(words.first()).map_or(1, |word| word.column);
        self.errors
            .push(RuleError::new(line, column, found, expected));
    }

    /// Reports that `found` on `line` duplicates line `first`.
    fn report_duplicate(&mut self, line: u32, position: Position, found: String, first: u32) {
        let expected = format!("it once; line {first} has it already");
        self.report(line, position, found, expected);
    }

    /// Records the names and values that `statement` defines.
    fn define(&mut self, line: u32, statement: &'a Statement) {
        match statement {
            Statement::Revision(revision) => match self.revision {
                None => self.revision = Some(line),
                Some(first) => {
                    let found = format!("revision {revision}");
                    self.report_duplicate(line, Position::Word(0), found, first);
                }
            },
            Statement::DataCentre(name) => self.define_name(line, name, |all| &mut all.centres),
            Statement::Pool(pool) => self.define_pool(line, pool),
            Statement::Target(target) => self.define_target(line, target),
            Statement::Team(team) => self.define_name(line, &team.name, |all| &mut all.teams),
            Statement::Key(key) => self.define_key(line, key),
            Statement::Route(route) => self.define_route(line, route),
            Statement::Model(model) => self.define_name(line, &model.name, |all| &mut all.models),
            Statement::Drain(drain) => {
                if let Some(first) = self.drains.insert(drain, line) {
                    self.report_duplicate(
                        line,
                        Position::Word(0),
                        quote(&drain.to_string()),
                        first,
                    );
                }
            }
            Statement::Part(PartStatement { key, .. }) => {
                self.define_name(line, key, |all| &mut all.parts);
            }
            Statement::End => {}
        }
    }

    fn define_name(&mut self, line: u32, name: &Name, table: fn(&mut Self) -> &mut Definitions) {
        let names = table(self);
        let kind = names.kind;
        let first = names.lines.get(name).copied();
        let with_same_tag = names.tags.get(&name.tag()).cloned();
        match (first, with_same_tag) {
            (Some(first), _) => {
                self.report_duplicate(
                    line,
                    Position::Word(1),
                    format!("{kind} {}", quote(name.as_str())),
                    first,
                );
            }
            (None, Some(other)) => {
                let found = format!("{kind} {}", quote(name.as_str()));
                let expected = format!("a name whose hash differs from that of `{other}`");
                self.report(line, Position::Word(1), found, expected);
            }
            (None, None) => {
                names.lines.insert(name.clone(), line);
                names.tags.insert(name.tag(), name.clone());
            }
        }
    }

    fn define_pool(&mut self, line: u32, pool: &'a PoolStatement) {
        self.define_name(line, &pool.name, |all| &mut all.pools);
        self.kinds.insert(&pool.name, pool.kind);
    }

    fn define_target(&mut self, line: u32, target: &'a TargetStatement) {
        self.define_name(line, &target.name, |all| &mut all.targets);
        *self.target_counts.entry(&target.pool).or_default() += 1;
        let addresses = [("data", target.data), ("control", target.control)];
        for (key, address) in addresses {
            if let Some(first) = self.addresses.insert(address, line) {
                self.report_duplicate(
                    line,
                    Position::Value(key),
                    format!("address {address}"),
                    first,
                );
            }
        }
    }

    fn define_key(&mut self, line: u32, key: &'a KeyStatement) {
        if let Some(first) = self.keys.insert(key.hash, line) {
            self.report_duplicate(
                line,
                Position::Word(2),
                "the hash of a key".to_owned(),
                first,
            );
        }
    }

    fn define_route(&mut self, line: u32, route: &'a RouteStatement) {
        self.define_name(line, &route.name, |all| &mut all.routes);
        let pattern = (&route.method, &route.path);
        if let Some(first) = self.patterns.insert(pattern, line) {
            let found = format!("route for `{} {}`", route.method, route.path);
            self.report_duplicate(line, Position::Word(2), found, first);
        }
    }

    /// Checks the references and bounds in `statement`.
    fn check_references(&mut self, line: u32, statement: &Statement) {
        match statement {
            Statement::Pool(pool) => self.check_pool(line, pool),
            Statement::Target(target) => self.check_target(line, target),
            Statement::Team(team) => self.check_team(line, team),
            Statement::Key(key) => {
                self.check_reference(line, Position::Word(1), &key.team, |all| &all.teams);
            }
            Statement::Route(route) => {
                self.check_reference(line, Position::Value("pool"), &route.pool, |all| &all.pools);
            }
            Statement::Model(model) => self.check_model(line, model),
            Statement::Drain(DrainStatement::DataCentre(name)) => {
                self.check_reference(line, Position::Word(2), name, |all| &all.centres);
            }
            Statement::Drain(DrainStatement::Target(name)) => {
                self.check_reference(line, Position::Word(2), name, |all| &all.targets);
            }
            Statement::Revision(_)
            | Statement::DataCentre(_)
            | Statement::Part(_)
            | Statement::End => {}
        }
    }

    fn check_reference(
        &mut self,
        line: u32,
        position: Position,
        name: &Name,
        table: fn(&Self) -> &Definitions,
    ) {
        let names = table(self);
        if !names.contains(name) {
            let expected = format!("the name of a {} of this document", names.kind);
            self.report(line, position, quote(name.as_str()), expected);
        }
    }

    fn check_pool(&mut self, line: u32, pool: &PoolStatement) {
        if !self.target_counts.contains_key(&pool.name) {
            let found = format!("pool `{}` without targets", pool.name);
            self.report(line, Position::Word(1), found, "a target in each pool");
        }
        let Window { cold, max } = pool.window();
        if max > MAX_WINDOW {
            let expected = format!("at most {MAX_WINDOW}");
            self.report(line, Position::Value("max"), max.to_string(), expected);
        }
        if cold > max {
            let position = Position::Value(if pool.cold.is_some() { "cold" } else { "max" });
            let found = format!("cold {cold} over max {max}");
            self.report(line, position, found, "cold at most as great as max");
        }
    }

    fn check_target(&mut self, line: u32, target: &TargetStatement) {
        self.check_reference(line, Position::Value("pool"), &target.pool, |all| {
            &all.pools
        });
        self.check_reference(
            line,
            Position::Value("data-centre"),
            &target.centre,
            |all| &all.centres,
        );
        match (target.from, target.until) {
            (Some(from), Some(until)) if from >= until => {
                let found = "an end that is not after the start";
                self.report(
                    line,
                    Position::Value("until"),
                    found,
                    "`until` after `from`",
                );
            }
            _ => {}
        }
    }

    fn check_team(&mut self, line: u32, team: &TeamStatement) {
        if team.burst.is_some() && team.rate.is_none() {
            let expected = "`rate` and its value along with `burst`";
            self.report(
                line,
                Position::Value("burst"),
                "`burst` without `rate`",
                expected,
            );
        }
    }

    fn check_model(&mut self, line: u32, model: &ModelStatement) {
        let position = Position::Value("pool");
        self.check_reference(line, position, &model.pool, |all| &all.pools);
        if self.kinds.get(&model.pool) == Some(&PoolKind::Service) {
            let found = format!("pool `{}` of kind `service`", model.pool);
            self.report(line, position, found, "a pool of kind `model`");
        }
        let size = self.target_counts.get(&model.pool).copied().unwrap_or(0);
        if self.pools.contains(&model.pool) && model.replicas > size {
            let found = format!("{} replicas", model.replicas);
            let expected = format!("at most {size}, the number of targets of `{}`", model.pool);
            self.report(line, Position::Value("replicas"), found, expected);
        }
    }
}
