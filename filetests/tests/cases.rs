//! Runs every case as a test; `KW_UPDATE=1` writes the verdicts into the files.
//!
//! Cases listed in `KNOWN-RED.txt` run too: their violations are printed. The test fails
//! once such a case passes, so that its entry gets removed.

use std::path::Path;
use std::process::ExitCode;

use knapweed_filetests::case::{Case, find, repository};
use libtest_mimic::{Arguments, Failed, Trial};

fn main() -> ExitCode {
    let arguments = Arguments::from_args();
    let root = repository();
    let known = std::fs::read_to_string(root.join("KNOWN-RED.txt")).unwrap_or_default();
    let files = find(&root.join("filetests/cases")).expect("the cases can be listed");
    let trials = files.into_iter().map(|file| {
        let name = file.strip_prefix(&root).unwrap_or(&file);
        let name = name.display().to_string();
        let is_known = known.contains(&name);
        let kind = if is_known { "known-red" } else { "" };
        let run = move || {
            if is_known {
                check_known(&file)
            } else {
                check(&file)
            }
        };
        Trial::test(name, run).with_kind(kind)
    });
    libtest_mimic::run(&arguments, trials.collect()).exit_code()
}

fn check(file: &Path) -> Result<(), Failed> {
    let mut case = Case::read(file)?;
    let report = case.run(&repository())?;
    if std::env::var_os("KW_UPDATE").is_some() {
        case.update(&report)?;
        case = Case::read(file)?;
    }
    match case.failure(&report) {
        Some(failure) => Err(failure.into()),
        None => Ok(()),
    }
}

fn check_known(file: &Path) -> Result<(), Failed> {
    let case = Case::read(file)?;
    let report = case.run(&repository())?;
    match case.failure(&report) {
        Some(failure) => {
            eprintln!("known red: {}\n{failure}", file.display());
            Ok(())
        }
        None => Err("passes now; take it off KNOWN-RED.txt".into()),
    }
}
