//! The `knapweed-router` program.

use std::path::PathBuf;
use std::process::ExitCode;

use knapweed_router::run;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Accepts callers' requests and sends them to agents.
        ///
        /// Exit codes: 0 stopped after all requests ended; 1 cannot start;
        /// 2 settings or flags are invalid; 3 stopped by a second signal or at
        /// the stop limit while requests ran.
        cmd knapweed-router {
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
    let flags = flags::KnapweedRouter::from_env_or_exit();
    if flags.version {
        println!("knapweed-router {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let path = flags
        .settings
        .unwrap_or_else(|| PathBuf::from("router.yaml"));
    node::start::main(&path, flags.check, run::run)
}
