//! The `knapweed-edge` program.

use std::path::PathBuf;
use std::process::ExitCode;

use knapweed_edge::run;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Accepts callers' requests and forwards them directly to targets.
        ///
        /// Exit codes: 0 stopped with all work ended; 1 cannot start; 2 settings
        /// or flags are wrong; 3 stopped by the stop limit while requests ran.
        cmd knapweed-edge {
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
    let flags = flags::KnapweedEdge::from_env_or_exit();
    if flags.version {
        println!("knapweed-edge {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let path = flags.settings.unwrap_or_else(|| PathBuf::from("edge.yaml"));
    let file = path.clone();
    node::start::main_with_logger(&path, flags.check, run::install_log, |settings| {
        run::run(settings, file)
    })
}
