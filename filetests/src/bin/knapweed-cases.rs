//! Runs test cases and prints a summary by promise.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use knapweed_filetests::case::{Case, Report, find, repository};
use knapweed_filetests::scenario::Promise;
use knapweed_filetests::verify::{Verdict, figures};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs scenario cases and prints what passed and failed by promise.
        cmd knapweed-cases {
            /// Case files or folders of them; all cases if absent.
            repeated paths: PathBuf
            /// Write the verdicts into the case files.
            optional --update
            /// Run each case under this many further seeds.
            optional --seeds count: u64
            /// Print what was measured beside its bounds.
            optional --figures
            /// Print everything that happened.
            optional --trace
        }
    }
}

/// The check results of one promise.
#[derive(Clone, Copy, Default)]
struct Tally {
    passed: u32,
    failed: u32,
    /// Checks in which the promise was not exercised.
    untested: u32,
}

fn main() -> ExitCode {
    let flags = flags::KnapweedCases::from_env_or_exit();
    match run(&flags) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all cases; returns the number that failed.
fn run(flags: &flags::KnapweedCases) -> eyre::Result<usize> {
    eyre::ensure!(
        !flags.update || flags.seeds.is_none(),
        "--update takes the seed of each case"
    );
    let root = repository();
    let paths = match flags.paths.is_empty() {
        true => vec![root.join("filetests/cases")],
        false => flags.paths.clone(),
    };
    let mut files: Vec<PathBuf> = Vec::new();
    for path in &paths {
        files.extend(find(path)?);
    }
    let mut tallies: BTreeMap<Promise, Tally> = BTreeMap::new();
    let mut failed = 0;
    for file in &files {
        let case = Case::read(file).map_err(|error| eyre::eyre!("{}: {error}", file.display()))?;
        let more = (1..=flags.seeds.unwrap_or(0)).map(|seed| case.with_seed(seed));
        for case in std::iter::once(case.clone()).chain(more) {
            let report = case
                .run(&root)
                .map_err(|error| eyre::eyre!("{}: {error}", file.display()))?;
            if flags.trace {
                report
                    .run
                    .entries
                    .iter()
                    .for_each(|entry| println!("{entry}"));
            }
            if flags.figures {
                print!("{}", figures(&report.run));
            }
            if flags.update {
                case.update(&report)?;
            }
            failed += usize::from(!report_case(&case, &report, &mut tallies, flags.update));
        }
    }
    print_tallies(&tallies);
    println!("{} cases, {failed} failed", files.len());
    Ok(failed)
}

/// Counts and prints the result of one case; returns whether it passed.
fn report_case(
    case: &Case,
    report: &Report,
    tallies: &mut BTreeMap<Promise, Tally>,
    updated: bool,
) -> bool {
    for (promise, verdict) in &report.verdicts {
        let tally = tallies.entry(*promise).or_default();
        let found = matches!(verdict, Verdict::Broken(_));
        match (verdict, case.is_planted) {
            (Verdict::NotExercised, _) => tally.untested += 1,
            (_, planted) if found == planted => tally.passed += 1,
            _ => tally.failed += 1,
        }
    }
    let failure = match updated {
        true => Case::read(&case.path)
            .ok()
            .and_then(|case| case.failure(report)),
        false => case.failure(report),
    };
    let name = case.path.display();
    match &failure {
        None => println!("passed {name}"),
        Some(failure) => println!("FAILED {name}\n{failure}"),
    }
    failure.is_none()
}

fn print_tallies(tallies: &BTreeMap<Promise, Tally>) {
    println!(
        "{:<16} {:>7} {:>7} {:>9}",
        "promise", "passed", "failed", "untested"
    );
    for (promise, tally) in tallies {
        let Tally {
            passed,
            failed,
            untested,
        } = tally;
        let promise = promise.to_string();
        println!("{promise:<16} {passed:>7} {failed:>7} {untested:>9}");
    }
}
