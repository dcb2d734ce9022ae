//! The `knapweed-agent` program.

use std::path::PathBuf;
use std::process::ExitCode;

use knapweed_agent::run;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs beside one target and forwards requests to it within its capacity.
        ///
        /// Exit codes: 0 stopped after all requests ended; 1 cannot start;
        /// 2 settings or flags are invalid; 3 stopped by a second signal or at
        /// the stop limit while requests ran.
        cmd knapweed-agent {
            /// The settings file, in YAML.
            optional --settings file: PathBuf
            /// Only check the settings.
            optional --check
            /// Print the version.
            optional --version
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::KnapweedAgent::from_env_or_exit();
    if flags.version {
        println!("knapweed-agent {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let path = flags
        .settings
        .unwrap_or_else(|| PathBuf::from("agent.yaml"));
    node::start::main(&path, flags.check, run::run)
}
