//! Commands that read files: `check`, `diff` and `drain`.

use std::path::{Path, PathBuf};

use knapweed_ctl::check::{self, ProcessKind};
use knapweed_ctl::drain::{self, DrainKind, DrainRequest};
use knapweed_ctl::{Exit, Report, diff};

const HALVORSEN_RULES: &str = "../examples/halvorsen/rules.kw";
const SMALL_RULES: &str = "../rules/tests/data/small.kw";

fn rules(path: &str) -> Report {
    check::rules(Path::new(path), None).expect("the file can be read")
}

fn malformed() -> Vec<PathBuf> {
    let folder = Path::new("../rules/tests/data/malformed");
    let files = folder.read_dir().expect("the folder is there");
    let mut files: Vec<_> = files.map(|file| file.expect("a file").path()).collect();
    files.sort();
    files
}

#[test]
fn malformed_documents_are_rejected() {
    let reports = malformed().into_iter().map(|path| {
        let report = rules(path.to_str().expect("the path is UTF-8"));
        let faults = report.json["faults"].as_array().map_or(0, Vec::len);
        let first = report.text.lines().next().unwrap_or_default();
        format!("{:?}, {faults} faults\n    {first}", report.exit)
    });
    let reports: Vec<_> = reports.collect();
    assert_eq!(reports.len(), 13);
    insta::assert_snapshot!(reports.join("\n"));
}

#[test]
fn a_valid_document_is_summarized() {
    insta::assert_snapshot!(rules(SMALL_RULES).text);
    insta::assert_snapshot!(rules(SMALL_RULES).output(true));
    assert_eq!(rules(HALVORSEN_RULES).exit, Exit::Done);
}

#[test]
fn errors_are_printed_as_json() {
    let path = "../rules/tests/data/malformed/06-hashes.kw";
    insta::assert_snapshot!(rules(path).output(true));
}

#[test]
fn errors_in_parts_name_the_part() {
    let folder = Path::new("tests/data/parts");
    let document = check::rules(&folder.join("rules.kw"), None).expect("readable");
    insta::assert_snapshot!(document.text);
    let missing_parts =
        check::rules(&folder.join("rules.kw"), Some(Path::new("tests"))).expect("readable");
    insta::assert_snapshot!(missing_parts.text);
    let invalid = check::rules(&folder.join("faulty.kw"), Some(folder)).expect("readable");
    insta::assert_snapshot!(invalid.text);
}

#[test]
fn settings_are_checked_for_the_given_process_kind() {
    let path = Path::new("../agent.example.yaml");
    assert_eq!(check::settings(path, ProcessKind::Agent).exit, Exit::Done);
    let rejected = check::settings(path, ProcessKind::Router);
    assert_eq!(rejected.exit, Exit::Refused);
    insta::assert_snapshot!(rejected.text);
    insta::assert_snapshot!(rejected.output(true));
}

#[test]
fn a_file_that_cannot_be_read_is_an_error() {
    let error = check::rules(Path::new("no-such-file.kw"), None).expect_err("no such file");
    insta::assert_snapshot!(format!("{error:#}"));
}

#[test]
fn a_diff_warns_if_the_revision_does_not_increase() {
    let report = diff::run(Path::new(SMALL_RULES), Path::new(SMALL_RULES)).expect("readable");
    insta::assert_snapshot!(report.text);
    let rejected = Path::new("../rules/tests/data/malformed/06-hashes.kw");
    let report = diff::run(Path::new(SMALL_RULES), rejected).expect("readable");
    assert_eq!(report.exit, Exit::Refused);
}

fn request(kind: DrainKind, name: &str, revision: u64) -> DrainRequest {
    DrainRequest {
        kind,
        name: name.to_owned(),
        asker: "operations, 2026-11-05".to_owned(),
        revision,
    }
}

#[test]
fn a_drain_prints_the_lines_to_publish() {
    let lines = drain::run(&request(DrainKind::DataCentre, "north", 2), None).expect("no file");
    assert_eq!(lines.exit, Exit::Done);
    insta::assert_snapshot!(lines.text);
    let bad_asker = DrainRequest {
        asker: "nobody, soon".to_owned(),
        ..request(DrainKind::Target, "llm 1", 0)
    };
    let rejected = drain::run(&bad_asker, None).expect("no file");
    assert_eq!(rejected.exit, Exit::Refused);
    insta::assert_snapshot!(rejected.text);
}

#[test]
fn a_drain_extends_a_document_only_if_it_stays_valid() {
    let file = Some(Path::new(HALVORSEN_RULES));
    let run = |kind, name, revision| {
        drain::run(&request(kind, name, revision), file).expect("the file can be read")
    };
    let document = run(DrainKind::DataCentre, "mill", 2);
    assert_eq!(document.exit, Exit::Done);
    let changed = document.text.lines();
    let changed: Vec<_> = changed
        .filter(|line| line.ends_with("# asked by: operations, 2026-11-05"))
        .collect();
    insta::assert_snapshot!(changed.join("\n"));
    assert_eq!(run(DrainKind::Target, "mill", 2).exit, Exit::Refused);
    assert_eq!(run(DrainKind::DataCentre, "mill", 1).exit, Exit::Refused);
}
