//! `drain`: generates the lines to publish to take a data centre or target out of service.

use std::path::Path;
use std::str::FromStr;

use derive_more::{Display, Error};
use entity::{Directory, Name, Revision};
use rules::{Document, DrainStatement, Statement};
use serde::Serialize;

use crate::check::{read, refused_report};
use crate::report::{Exit, Report};

/// The kind of object that is taken out of service.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DrainKind {
    /// A data centre.
    DataCentre,
    /// A target.
    Target,
}

/// The text is not a kind of object that can be drained.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
#[display("expected `data-centre` or `target`")]
pub struct DrainKindError;

impl FromStr for DrainKind {
    type Err = DrainKindError;

    fn from_str(text: &str) -> Result<Self, DrainKindError> {
        match text {
            "data-centre" => Ok(Self::DataCentre),
            "target" => Ok(Self::Target),
            _ => Err(DrainKindError),
        }
    }
}

/// The parameters of a drain.
#[derive(Clone, Debug)]
pub struct DrainRequest {
    /// The kind of object to take out of service.
    pub kind: DrainKind,
    /// The name of the object.
    pub name: String,
    /// The person or group that requests the drain, optionally with a date.
    pub asker: String,
    /// The revision that the document will have.
    pub revision: u64,
}

#[derive(Serialize)]
struct Lines {
    lines: Vec<String>,
}

/// Generates the lines to publish, or the complete new document if a document is given.
///
/// # Errors
///
/// Returns an error if the document cannot be read.
pub fn run(request: &DrainRequest, document: Option<&Path>) -> eyre::Result<Report> {
    let lines = lines(request);
    let text = lines.join("\n");
    if let Err(errors) = Document::parse(&text) {
        return Ok(refused_report(Path::new("the lines"), &errors));
    }
    match document {
        None => Ok(Report::new(Exit::Done, text, &Lines { lines })),
        Some(path) => insert_into_document(path, &lines),
    }
}

fn lines(request: &DrainRequest) -> Vec<String> {
    let name = Name::new(&request.name);
    let drain = match request.kind {
        DrainKind::DataCentre => DrainStatement::DataCentre(name),
        DrainKind::Target => DrainStatement::Target(name),
    };
    let statements = [Revision(request.revision).into(), Statement::from(drain)];
    let asker = &request.asker;
    let line = |statement| format!("{statement}  # asked by: {asker}");
    statements.iter().map(line).collect()
}

/// Inserts the lines into a document, which must be valid before and after.
fn insert_into_document(path: &Path, lines: &[String]) -> eyre::Result<Report> {
    let text = read(path)?;
    let old = match rules::load(&text, &Directory::default()) {
        Ok(config) => config,
        Err(errors) => return Ok(refused_report(path, &errors)),
    };
    let is_revision = |line: &str| line.split_whitespace().next() == Some("revision");
    let replaced = text.lines().map(|line| match is_revision(line) {
        true => lines[0].as_str(),
        false => line,
    });
    let mut new_document: Vec<_> = replaced.map(str::to_owned).collect();
    let is_end = |line: &String| line.split_whitespace().next() == Some("end");
    let end = new_document
        .iter()
        .position(is_end)
        .unwrap_or(new_document.len());
    new_document.splice(end..end, lines[1..].iter().cloned());
    let report = match rules::load(&new_document.join("\n"), &Directory::default()) {
        Err(errors) => refused_report(path, &errors),
        Ok(new) if new.revision <= old.revision => {
            let text = format!(
                "revision {} is in force; a higher one is needed",
                old.revision
            );
            Report::new(Exit::Refused, text, &Lines { lines: Vec::new() })
        }
        Ok(_) => Report::new(
            Exit::Done,
            new_document.join("\n"),
            &Lines {
                lines: new_document,
            },
        ),
    };
    Ok(report)
}
