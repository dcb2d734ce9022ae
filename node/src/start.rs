//! Startup code shared by the daemons: settings, logging, exit codes.

use std::net::TcpListener;
use std::path::Path;
use std::process::ExitCode;
use std::time::UNIX_EPOCH;

use entity::{Clock, Incarnation, Name, ProcessId};
use eyre::WrapErr;
use policy::message::Endpoint;

use crate::host::Exit;
use crate::settings::{self, Settings};

/// Exit code if the program cannot start.
const EXIT_CANNOT_START: u8 = 1;

/// Exit code if the settings or flags are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Exit code if running requests were aborted.
const EXIT_ABORTED: u8 = 3;

/// Reads the settings and runs `daemon` with them; with `check`, only validates them.
pub fn main<S: Settings>(
    path: &Path,
    check: bool,
    daemon: impl FnOnce(S) -> eyre::Result<Exit>,
) -> ExitCode {
    main_with_logger(path, check, install_logger, daemon)
}

/// Like [`main`], with a custom logger.
pub fn main_with_logger<S: Settings>(
    path: &Path,
    check: bool,
    install_logger: impl FnOnce() -> eyre::Result<()>,
    daemon: impl FnOnce(S) -> eyre::Result<Exit>,
) -> ExitCode {
    let settings = match settings::load(path) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if check {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    match install_logger().and_then(|()| daemon(settings)) {
        Ok(Exit::Finished) => ExitCode::SUCCESS,
        Ok(Exit::Aborted(_)) => ExitCode::from(EXIT_ABORTED),
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::from(EXIT_CANNOT_START)
        }
    }
}

fn install_logger() -> eyre::Result<()> {
    let default = env_logger::Env::default().default_filter_or("info,actix_server=warn");
    env_logger::Builder::from_env(default).try_init()?;
    Ok(())
}

/// Creates the endpoint of this process with a new incarnation.
///
/// # Errors
///
/// Returns an error if the listener has no address.
pub fn endpoint(name: &Name, control: &TcpListener, clock: &impl Clock) -> eyre::Result<Endpoint> {
    let since_epoch = clock
        .now()
        .wall
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = Incarnation(since_epoch.as_micros() as u64);
    let control = control
        .local_addr()
        .wrap_err("the control listener has no address")?;
    Ok(Endpoint {
        id: ProcessId(name.tag()),
        incarnation,
        control,
    })
}

/// Prints the listen addresses of the process, so that the port chosen for port 0 is known.
pub fn print_listeners(listeners: &[(&str, &TcpListener)]) {
    let mut line = "listening".to_owned();
    for (name, listener) in listeners {
        if let Ok(address) = listener.local_addr() {
            line.push_str(&format!(" {name}={address}"));
        }
    }
    println!("{line}");
}
