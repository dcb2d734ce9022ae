//! The common start of the daemons: settings, logging, exit codes.

use std::net::TcpListener;
use std::path::Path;
use std::process::ExitCode;
use std::time::UNIX_EPOCH;

use entity::{Clock, Incarnation, Name, ProcessId};
use eyre::WrapErr;
use policy::message::Endpoint;

use crate::host::Exit;
use crate::settings::{self, Settings};

/// The exit code when the program cannot start.
const CANNOT_START: u8 = 1;

/// The exit code when settings or flags are wrong.
const BAD_SETTINGS: u8 = 2;

/// The exit code when running work was cut.
const WORK_CUT: u8 = 3;

/// Reads the settings and runs `daemon` with them, or only checks them.
pub fn main<S: Settings>(
    path: &Path,
    check: bool,
    daemon: impl FnOnce(S) -> eyre::Result<Exit>,
) -> ExitCode {
    main_with(path, check, install_log, daemon)
}

/// As [`main`], with another log.
pub fn main_with<S: Settings>(
    path: &Path,
    check: bool,
    install_log: impl FnOnce() -> eyre::Result<()>,
    daemon: impl FnOnce(S) -> eyre::Result<Exit>,
) -> ExitCode {
    let settings = match settings::load(path) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if check {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    match install_log().and_then(|()| daemon(settings)) {
        Ok(Exit::Finished) => ExitCode::SUCCESS,
        Ok(Exit::Aborted(_)) => ExitCode::from(WORK_CUT),
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::from(CANNOT_START)
        }
    }
}

fn install_log() -> eyre::Result<()> {
    let default = env_logger::Env::default().default_filter_or("info,actix_server=warn");
    env_logger::Builder::from_env(default).try_init()?;
    Ok(())
}

/// The endpoint of this process, in a new life.
///
/// # Errors
///
/// Returns an error if the listener has no address.
pub fn endpoint(name: &Name, control: &TcpListener, clock: &impl Clock) -> eyre::Result<Endpoint> {
    let since = clock
        .now()
        .wall
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = Incarnation(since.as_micros() as u64);
    let control = control
        .local_addr()
        .wrap_err("the control listener has no address")?;
    Ok(Endpoint {
        id: ProcessId(name.tag()),
        incarnation,
        control,
    })
}

/// Prints the addresses that the process listens on, so that port 0 can be used.
pub fn announce(listeners: &[(&str, &TcpListener)]) {
    let mut line = "listening".to_owned();
    for (name, listener) in listeners {
        if let Ok(address) = listener.local_addr() {
            line.push_str(&format!(" {name}={address}"));
        }
    }
    println!("{line}");
}
