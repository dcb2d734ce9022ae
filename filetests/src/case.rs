//! Cases: scenarios in files, with their expected results.
//!
//! A case file holds a scenario, a line `---` and the verdict of each `expect`
//! line. A case passes if the verdicts are as expected; outside the folder
//! `has_bug`, no promise may be broken or stay without a test, whatever is expected.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error, From};

use crate::scenario::{ParseError, Promise, Scenario, Statement};
use crate::sim::{PlanError, Run, run};
use crate::verify::{Verdict, verify};

/// The line between a scenario and its expected results.
const SEPARATOR: &str = "---";

/// The folder of the cases in which a promise has to break.
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
    /// The scenario expects nothing.
    #[display("no `expect` line")]
    Empty,
}

/// A case.
#[derive(Clone, Debug)]
pub struct Case {
    /// Its file.
    pub path: PathBuf,
    /// Whether a promise has to break in it.
    pub is_planted: bool,
    /// Its scenario.
    pub scenario: Scenario,
    source: String,
    expected: String,
    /// Whether it runs under another seed than its own.
    is_reseeded: bool,
}

/// The result of a case.
#[derive(Clone, Debug)]
pub struct Report {
    /// The verdict of each promise that the scenario expects.
    pub verdicts: Vec<(Promise, Verdict)>,
    /// What happened.
    pub run: Run,
}

impl Report {
    /// The verdicts as they stand in a case file.
    pub fn results(&self) -> String {
        let lines = self.verdicts.iter();
        let lines = lines.map(|(promise, verdict)| format!("{promise}: {verdict}\n"));
        lines.collect()
    }

    /// The violations with their traces.
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
    /// Reads a case.
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

    /// The case under another seed.
    #[must_use]
    pub fn with_seed(&self, seed: u64) -> Self {
        let mut case = self.clone();
        case.scenario.statements.push(Statement::Seed(seed));
        case.is_reseeded = true;
        case
    }

    /// Runs the case; rules files are looked for below `root`.
    ///
    /// # Errors
    ///
    /// Returns an error if the scenario cannot be resolved or expects nothing.
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

    /// Why the case fails; `None` if it passes.
    ///
    /// Under another seed than its own, chance may leave a promise without a test;
    /// only violations count then.
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

    /// Writes the verdicts into the case's file.
    ///
    /// Outside `has_bug`, a file keeps its results when a promise was broken or not
    /// exercised.
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

/// The case files at and below a path, in order.
///
/// # Errors
///
/// Returns an error if a folder cannot be read.
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

/// The root of the repository, from which rules files are named.
pub fn repository() -> PathBuf {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    here.parent().unwrap_or(here).to_owned()
}
