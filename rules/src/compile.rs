//! Compiles a checked document into the tables of [`Config`].

use std::sync::Arc;

use entity::{Directory, DocumentHash, Name, Revision, RuleRef};
use xxhash_rust::xxh3::xxh3_64;

use crate::config::{Config, DataCentre, Model, Pool, Route, Target, Team};
use crate::document::Document;
use crate::error::RuleError;
use crate::statement::{
    DrainStatement, ModelStatement, PoolStatement, RouteStatement, Statement, TargetStatement,
    TeamStatement,
};
use crate::verify::verify;

/// Parses, checks and compiles a document.
///
/// # Errors
///
/// Returns all errors; the document is checked as a whole only if every line parses.
pub fn load(text: &str, names: &Directory) -> Result<Config, Vec<RuleError>> {
    let document = Document::parse(text)?;
    verify(&document)?;
    Ok(compile(&document, names))
}

/// Compiles a document that [`verify`] accepts.
///
/// The directory of the result is `names` extended with the document's names.
pub fn compile(document: &Document, names: &Directory) -> Config {
    let mut compiler = Compiler {
        revision: document.revision().unwrap_or_default(),
        names: names.clone(),
        config: Config::default(),
    };
    for (line, rule) in document.rules() {
        compiler.add_rule(line, &rule.statement);
    }
    for (line, rule) in document.rules() {
        compiler.apply_drain(line, &rule.statement);
    }
    compiler.finish(document)
}

/// The state of the compilation.
struct Compiler {
    revision: Revision,
    names: Directory,
    config: Config,
}

impl Compiler {
    fn rule(&self, line: u32) -> RuleRef {
        RuleRef {
            revision: self.revision,
            line,
        }
    }

    fn add_rule(&mut self, line: u32, statement: &Statement) {
        match statement {
            Statement::DataCentre(name) => self.add_centre(line, name),
            Statement::Pool(pool) => self.add_pool(line, pool),
            Statement::Target(target) => self.add_target(line, target),
            Statement::Team(team) => self.add_team(line, team),
            Statement::Key(key) => {
                let team = self.names.teams.intern(&key.team);
                self.config.keys.insert(key.hash, team);
            }
            Statement::Route(route) => self.add_route(line, route),
            Statement::Model(model) => self.add_model(line, model),
            Statement::Revision(_) | Statement::Drain(_) | Statement::Part(_) | Statement::End => {}
        }
    }

    fn add_centre(&mut self, line: u32, name: &Name) {
        let centre = self.names.centres.intern(name);
        self.config.centres[centre] = Some(DataCentre {
            rule: self.rule(line),
            drain: None,
        });
    }

    fn add_pool(&mut self, line: u32, statement: &PoolStatement) {
        let pool = self.names.pools.intern(&statement.name);
        self.config.pools[pool] = Some(Pool {
            rule: self.rule(line),
            kind: statement.kind,
            targets: Vec::new(),
            window: statement.window(),
        });
    }

    fn add_target(&mut self, line: u32, statement: &TargetStatement) {
        let target = self.names.targets.intern(&statement.name);
        self.config.targets[target] = Some(Target {
            rule: self.rule(line),
            pool: self.names.pools.intern(&statement.pool),
            centre: self.names.centres.intern(&statement.centre),
            data: statement.data,
            control: statement.control,
            fencing: statement.fencing(),
            drain: None,
            from: statement.from,
            until: statement.until,
        });
    }

    fn add_team(&mut self, line: u32, statement: &TeamStatement) {
        let team = self.names.teams.intern(&statement.name);
        self.config.teams[team] = Some(Team {
            rule: self.rule(line),
            weight: statement.weight(),
            class: statement.class.unwrap_or_default(),
            limits: statement.limits(),
        });
    }

    fn add_route(&mut self, line: u32, statement: &RouteStatement) {
        let route = self.names.routes.intern(&statement.name);
        let (method, path) = (statement.method.as_str(), statement.path.as_str());
        self.config.route_table.insert(method, path, route);
        self.config.routes[route] = Some(Route {
            rule: self.rule(line),
            method: statement.method.clone(),
            path: statement.path.clone(),
            pool: self.names.pools.intern(&statement.pool),
            repeat: statement.repeat,
            class: statement.class,
            hint: statement.hint(),
            timeout: statement.timeout(),
        });
    }

    fn add_model(&mut self, line: u32, statement: &ModelStatement) {
        let model = self.names.models.intern(&statement.name);
        self.config.models[model] = Some(Model {
            rule: self.rule(line),
            pool: self.names.pools.intern(&statement.pool),
            version: statement.version.clone(),
            replicas: statement.replicas,
        });
    }

    fn apply_drain(&mut self, line: u32, statement: &Statement) {
        let rule = self.rule(line);
        match statement {
            Statement::Drain(DrainStatement::DataCentre(name)) => {
                let centre = self.names.centres.intern(name);
                if let Some(centre) = &mut self.config.centres[centre] {
                    centre.drain = Some(rule);
                }
            }
            Statement::Drain(DrainStatement::Target(name)) => {
                let target = self.names.targets.intern(name);
                if let Some(target) = &mut self.config.targets[target] {
                    target.drain = Some(rule);
                }
            }
            _ => {}
        }
    }

    /// Collects the targets of each pool and completes the configuration.
    fn finish(self, document: &Document) -> Config {
        let Self {
            revision,
            names,
            mut config,
        } = self;
        let ids = config.targets.keys();
        let mut ids: Vec<_> = ids
            .filter(|&target| config.targets[target].is_some())
            .collect();
        ids.sort_by(|&a, &b| names.targets.name(a).cmp(names.targets.name(b)));
        for id in ids {
            let pool = config.targets[id].as_ref().map(|target| target.pool);
            let pool = pool.and_then(|pool| config.pools[pool].as_mut());
            if let Some(pool) = pool {
                pool.targets.push(id);
            }
        }
        config.revision = revision;
        config.hash = DocumentHash(xxh3_64(document.to_string().as_bytes()));
        config.names = Arc::new(names);
        config.document = Arc::new(document.clone());
        config
    }
}
