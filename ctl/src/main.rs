//! The `knapweedctl` program.

use std::process::ExitCode;

use entity::RequestId;
use knapweed_ctl::drain::DrainRequest;
use knapweed_ctl::{Exit, Report, check, diff, drain, dump, status, timeline, why};

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    use knapweed_ctl::check::ProcessKind;
    use knapweed_ctl::drain::DrainKind;

    xflags::xflags! {
        /// Checks rules and settings, explains decisions and shows the state of the fleet.
        /// It modifies nothing: operators publish its output.
        ///
        /// Exit codes: 0 done; 1 a document or settings file is refused; 2 the flags are
        /// invalid or a file cannot be read; 3 a process did not respond; 4 no queried
        /// process has the record.
        cmd knapweedctl {
            /// Print the result as JSON.
            optional --json
            /// Print the version.
            optional --version

            /// Check a rules document, or a settings file with --settings.
            cmd check {
                /// The file to check.
                required file: PathBuf
                /// The folder with the parts of the document, each in a file named by its key;
                /// by default the folder of the document.
                optional --parts folder: PathBuf
                /// The process whose settings the file holds: `router` or `agent`.
                optional --settings kind: ProcessKind
            }
            /// Show what changes between two rules documents, and for which teams and pools.
            cmd diff {
                /// The document in force.
                required old: PathBuf
                /// The document to publish.
                required new: PathBuf
            }
            /// Print the lines to publish to take a data centre or target out of service.
            cmd drain {
                /// `data-centre` or `target`.
                required kind: DrainKind
                /// The name of the data centre or target.
                required name: String
                /// The person or group that requests it: `NAME` or `NAME, DATE`.
                required --asker asker: String
                /// The revision that the document will have.
                required --revision revision: u64
                /// The document in force; the complete new document is printed.
                optional --rules file: PathBuf
            }
            /// Explain the decisions about a request, with the rules that made them, by asking
            /// processes (--addr) or from collected logs (--log).
            cmd why {
                /// The request id, as in the response.
                required request: String
                /// The operators' address of a process; repeat it for each process.
                repeated --addr address: SocketAddr
                /// A file with the output of one or more edge routers; repeat it for each file.
                repeated --log file: PathBuf
            }
            /// Print the complete state of a process as YAML.
            cmd dump {
                /// The operators' address of the process.
                required address: SocketAddr
            }
            /// Show revisions, targets, teams and quarantine of the fleet.
            cmd status {
                /// The operators' addresses of processes.
                repeated address: SocketAddr
            }
        }
    }
}

use flags::{Knapweedctl, KnapweedctlCmd};

fn main() -> ExitCode {
    if std::env::args()
        .skip(1)
        .any(|argument| argument == "--version")
    {
        println!("knapweedctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Knapweedctl {
        json, subcommand, ..
    } = Knapweedctl::from_env_or_exit();
    let report = actix_rt::System::new().block_on(run(subcommand, json));
    match report {
        Ok(report) => {
            println!("{}", report.output(json));
            report.exit.into()
        }
        Err(error) => {
            eprintln!("{error:#}");
            Exit::Usage.into()
        }
    }
}

async fn run(command: KnapweedctlCmd, json: bool) -> eyre::Result<Report> {
    match command {
        KnapweedctlCmd::Check(flags) => match flags.settings {
            Some(kind) => Ok(check::settings(&flags.file, kind)),
            None => check::rules(&flags.file, flags.parts.as_deref()),
        },
        KnapweedctlCmd::Diff(flags) => diff::run(&flags.old, &flags.new),
        KnapweedctlCmd::Drain(flags) => drain(flags),
        KnapweedctlCmd::Why(flags) => {
            if !flags.log.is_empty() {
                return timeline::run(&flags.request, &flags.log);
            }
            eyre::ensure!(
                !flags.addr.is_empty(),
                "at least one --addr or --log is needed"
            );
            let request = flags.request.parse::<RequestId>();
            let request =
                request.map_err(|_| eyre::eyre!("`{}` is no request id", flags.request))?;
            Ok(why::run(request, &flags.addr).await)
        }
        KnapweedctlCmd::Dump(flags) => {
            let report = dump::run(flags.address, json).await;
            Ok(report.unwrap_or_else(|error| unreachable_report(&error.to_string())))
        }
        KnapweedctlCmd::Status(flags) => {
            eyre::ensure!(!flags.address.is_empty(), "at least one address is needed");
            Ok(status::run(&flags.address).await)
        }
    }
}

fn drain(flags: flags::Drain) -> eyre::Result<Report> {
    let request = DrainRequest {
        kind: flags.kind,
        name: flags.name,
        asker: flags.asker,
        revision: flags.revision,
    };
    drain::run(&request, flags.rules.as_deref())
}

fn unreachable_report(failure: &str) -> Report {
    Report::new(Exit::Unreachable, format!("! {failure}"), &[failure])
}
