//! Test cases: scenario files with their expected verdicts.
//!
//! A case file holds a scenario, a line `---` and the verdict of each `expect`
//! line. A case passes if the verdicts match. Outside the `planted` directory a case
//! also fails if a promise is broken or not exercised, even if the file expects that.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error, From};

use crate::scenario::{ParseError, Promise, Scenario, Statement};
use crate::sim::{PlanError, Run, run};
use crate::verify::{Verdict, verify};

/// The line between a scenario and its expected results.
const SEPARATOR: &str = "---";

/// The directory of the cases in which at least one promise must be broken.
const PLANTED: &str = "planted";

/// The extension of case files.
const EXTENSION: &str = "kwt";

/// Why a case did not run.
#[derive(Debug, Display, Error, From)]
pub enum CaseError {
    /// The file cannot be read or written.
    #[display("{_0}")]
    File(std::io::Error),
    /// The scenario cannot be read.
    #[display("{_0}")]
    Parse(ParseError),
    /// The scenario cannot be resolved.
    #[display("{_0}")]
    Plan(PlanError),
    /// The scenario has no `expect` statement.
    #[display("no `expect` line")]
    Empty,
}

/// A test case.
#[derive(Clone, Debug)]
pub struct Case {
    /// The path of the case file.
    pub path: PathBuf,
    /// Whether at least one promise must be broken.
    pub is_planted: bool,
    /// The parsed scenario.
    pub scenario: Scenario,
    source: String,
    expected: String,
    /// Whether the seed differs from the one in the file.
    is_reseeded: bool,
}

/// The result of a case.
#[derive(Clone, Debug)]
pub struct Report {
    /// The verdict of each promise that the scenario expects.
    pub verdicts: Vec<(Promise, Verdict)>,
    /// The recorded run.
    pub run: Run,
}

impl Report {
    /// Formats the verdicts as in a case file.
    pub fn results(&self) -> String {
        let lines = self.verdicts.iter();
        let lines = lines.map(|(promise, verdict)| format!("{promise}: {verdict}\n"));
        lines.collect()
    }

    /// Formats the violations with their traces.
    pub fn violations(&self) -> String {
        let broken = self
            .verdicts
            .iter()
            .filter_map(|(_, verdict)| match verdict {
                Verdict::Broken(violations) => Some(violations),
                _ => None,
            });
        broken.flatten().map(ToString::to_string).collect()
    }
}

impl Case {
    /// Reads a case file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file or its scenario cannot be read.
    pub fn read(path: &Path) -> Result<Self, CaseError> {
        let text = std::fs::read_to_string(path)?;
        let separator = format!("\n{SEPARATOR}\n");
        let (source, expected) = match text.split_once(&separator) {
            Some((source, expected)) => (format!("{source}\n"), expected.to_owned()),
            None => (text.clone(), String::new()),
        };
        let scenario = Scenario::parse(&source)?;
        let mut parents = path.components();
        Ok(Self {
            path: path.to_owned(),
            is_planted: parents.any(|part| part.as_os_str() == PLANTED),
            scenario,
            source,
            expected,
            is_reseeded: false,
        })
    }

    /// Returns the case with another seed.
    #[must_use]
    pub fn with_seed(&self, seed: u64) -> Self {
        let mut case = self.clone();
        case.scenario.statements.push(Statement::Seed(seed));
        case.is_reseeded = true;
        case
    }

    /// Runs the case; paths of rules files are relative to `root`.
    ///
    /// # Errors
    ///
    /// Returns an error if the scenario cannot be resolved or has no `expect` statement.
    pub fn run(&self, root: &Path) -> Result<Report, CaseError> {
        let promises = self.scenario.statements.iter();
        let promises = promises.filter_map(|statement| match statement {
            Statement::Expect(promise) => Some(*promise),
            _ => None,
        });
        let promises: Vec<_> = promises.collect();
        if promises.is_empty() {
            return Err(CaseError::Empty);
        }
        let run = run(&self.scenario, root)?;
        let verdict = |promise: Promise| (promise, verify(promise, &run));
        Ok(Report {
            verdicts: promises.into_iter().map(verdict).collect(),
            run,
        })
    }

    /// Returns why the case fails, or `None` if it passes.
    ///
    /// With another seed a promise may happen not to be exercised, so only violations count.
    pub fn failure(&self, report: &Report) -> Option<String> {
        let results = report.results();
        let verdicts = || report.verdicts.iter().map(|(_, verdict)| verdict);
        let is_broken = |verdict: &Verdict| matches!(verdict, Verdict::Broken(_));
        let violations = report.violations();
        if self.is_reseeded {
            let fails = !self.is_planted && verdicts().any(is_broken);
            return fails.then_some(violations);
        }
        if verdicts().any(|verdict| *verdict == Verdict::NotExercised) {
            return Some(format!("a promise was not exercised:\n{results}"));
        }
        match self.is_planted {
            true if !verdicts().any(is_broken) => {
                Some("the planted fault was not found".to_owned())
            }
            false if verdicts().any(is_broken) => Some(violations),
            _ if results != self.expected => Some(format!(
                "expected:\n{}found:\n{results}{violations}",
                self.expected
            )),
            _ => None,
        }
    }

    /// Writes the verdicts into the case file.
    ///
    /// Outside the `planted` directory the file is left unchanged if a promise was broken
    /// or not exercised.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn update(&self, report: &Report) -> Result<(), CaseError> {
        let mut verdicts = report.verdicts.iter();
        if !self.is_planted && verdicts.any(|(_, verdict)| *verdict != Verdict::Kept) {
            return Ok(());
        }
        let text = format!("{}{SEPARATOR}\n{}", self.source, report.results());
        Ok(std::fs::write(&self.path, text)?)
    }
}

/// Finds the case files at and below a path, sorted.
///
/// # Errors
///
/// Returns an error if a directory cannot be read.
pub fn find(path: &Path) -> Result<Vec<PathBuf>, CaseError> {
    if path.is_file() {
        return Ok(vec![path.to_owned()]);
    }
    let mut found = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let path = entry?.path();
        match path.extension() {
            _ if path.is_dir() => found.extend(find(&path)?),
            Some(extension) if extension == EXTENSION => found.push(path),
            _ => {}
        }
    }
    found.sort();
    Ok(found)
}

/// The repository root, to which paths of rules files are relative.
pub fn repository() -> PathBuf {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    here.parent().unwrap_or(here).to_owned()
}
