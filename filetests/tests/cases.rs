//! Runs every case as a test; `KW_UPDATE=1` writes the verdicts into the files.

use std::process::ExitCode;

use knapweed_filetests::case::{Case, find, repository};
use libtest_mimic::{Arguments, Failed, Trial};

fn main() -> ExitCode {
    let arguments = Arguments::from_args();
    let root = repository().join("filetests/cases");
    let files = find(&root).expect("the cases can be listed");
    let trials = files.into_iter().map(|file| {
        let name = file.strip_prefix(&root).unwrap_or(&file);
        Trial::test(name.display().to_string(), move || check(&file))
    });
    libtest_mimic::run(&arguments, trials.collect()).exit_code()
}

fn check(file: &std::path::Path) -> Result<(), Failed> {
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
