//! `check`: parses and validates a rules document or a settings file.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::str::FromStr;

use derive_more::{Display, Error};
use entity::{Directory, Name};
use eyre::WrapErr;
use node::settings::{self, AgentSettings, RouterSettings, Settings, SettingsErrors};
use rules::{Config, Document, Origin, RuleError};
use serde::Serialize;

use crate::report::{Exit, Report};

/// The kind of process that a settings file is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ProcessKind {
    /// A router.
    Router,
    /// An agent.
    Agent,
}

/// The text is not a kind of process.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
#[display("expected `router` or `agent`")]
pub struct ProcessKindError;

impl FromStr for ProcessKind {
    type Err = ProcessKindError;

    fn from_str(text: &str) -> Result<Self, ProcessKindError> {
        match text {
            "router" => Ok(Self::Router),
            "agent" => Ok(Self::Agent),
            _ => Err(ProcessKindError),
        }
    }
}

/// The errors in one file.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub(crate) struct Faults {
    file: String,
    faults: Vec<Fault>,
}

#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
struct Fault {
    #[serde(skip_serializing_if = "Option::is_none")]
    part: Option<Name>,
    line: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    column: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    found: String,
    expected: String,
}

#[derive(Serialize)]
struct Summary {
    file: String,
    revision: u64,
    hash: String,
    centres: usize,
    pools: usize,
    targets: usize,
    teams: usize,
    keys: usize,
    routes: usize,
    models: usize,
}

/// Checks a rules document; its parts are files named by their keys in `parts`, or in the
/// directory of the document.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub fn rules(path: &Path, parts: Option<&Path>) -> eyre::Result<Report> {
    let report = match load(path, parts)? {
        Ok(config) => summary(path, &config),
        Err(report) => report,
    };
    Ok(report)
}

/// Checks a settings file.
pub fn settings(path: &Path, kind: ProcessKind) -> Report {
    match kind {
        ProcessKind::Router => check_settings::<RouterSettings>(path),
        ProcessKind::Agent => check_settings::<AgentSettings>(path),
    }
}

/// Reads, assembles, validates and compiles a document; errors in it are returned as a report.
///
/// Parts are read from `parts`, or from the directory of the document.
pub(crate) fn load(path: &Path, parts: Option<&Path>) -> eyre::Result<Result<Config, Report>> {
    let root = read(path)?;
    let document_folder = path.parent().unwrap_or(Path::new(""));
    let text = match assemble_parts(&root, parts.unwrap_or(document_folder))? {
        Ok(text) => text,
        Err(errors) => return Ok(Err(refused_report(path, &errors))),
    };
    let config = rules::load(&text, &Directory::default());
    Ok(config.map_err(|errors| refused_report_with_text(path, &text, &errors)))
}

fn assemble_parts(text: &str, folder: &Path) -> eyre::Result<Result<String, Vec<RuleError>>> {
    let root = match Document::parse(text) {
        Ok(root) => root,
        Err(errors) => return Ok(Err(errors)),
    };
    let mut values: BTreeMap<Name, String> = BTreeMap::new();
    for part in rules::parts(&root) {
        let path = folder.join(part.key.as_str());
        if path.exists() {
            values.insert(part.key, read(&path)?);
        }
    }
    Ok(rules::assemble(&root, &values))
}

pub(crate) fn read(path: &Path) -> eyre::Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}

/// Creates the report on an invalid document.
pub(crate) fn refused_report(path: &Path, errors: &[RuleError]) -> Report {
    refused_report_with_text(path, "", errors)
}

/// Creates the report on an invalid document whose assembled text is `text`.
fn refused_report_with_text(path: &Path, text: &str, errors: &[RuleError]) -> Report {
    let file = path.display().to_string();
    let mut lines = Vec::new();
    let mut faults = Vec::new();
    for error in errors {
        let Origin { part, line } = rules::origin(text, error.line);
        let error = RuleError {
            line,
            ..error.clone()
        };
        lines.push(match &part {
            Some(part) => format!("{file}, part {part}: {error}"),
            None => format!("{file}: {error}"),
        });
        faults.push(Fault {
            part,
            line: line.into(),
            column: Some(error.column),
            key: None,
            found: error.found,
            expected: error.expected,
        });
    }
    Report::new(Exit::Refused, lines.join("\n"), &Faults { file, faults })
}

fn summary(path: &Path, config: &Config) -> Report {
    let summary = Summary {
        file: path.display().to_string(),
        revision: config.revision.0,
        hash: config.hash.to_string(),
        centres: config.names.centres.len(),
        pools: config.names.pools.len(),
        targets: config.names.targets.len(),
        teams: config.names.teams.len(),
        keys: config.keys.len(),
        routes: config.names.routes.len(),
        models: config.names.models.len(),
    };
    let text = format!(
        "{}: ok, revision {}, hash {}: {} data centres, {} pools, {} targets, {} teams, {} keys, {} routes, {} models",
        summary.file,
        summary.revision,
        summary.hash,
        summary.centres,
        summary.pools,
        summary.targets,
        summary.teams,
        summary.keys,
        summary.routes,
        summary.models,
    );
    Report::new(Exit::Done, text, &summary)
}

fn check_settings<T: Settings>(path: &Path) -> Report {
    let file = path.display().to_string();
    match settings::load::<T>(path) {
        Ok(_) => {
            let faults = Vec::new();
            Report::new(Exit::Done, format!("{file}: ok"), &Faults { file, faults })
        }
        Err(errors) => settings_report(file, &errors),
    }
}

fn settings_report(file: String, errors: &SettingsErrors) -> Report {
    let faults = errors.errors.iter().map(|error| Fault {
        part: None,
        line: error.line,
        column: None,
        key: Some(error.key.clone()),
        found: error.found.clone(),
        expected: error.expected.clone(),
    });
    let faults = faults.collect();
    Report::new(Exit::Refused, errors.to_string(), &Faults { file, faults })
}
