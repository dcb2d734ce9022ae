//! Processes under test.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};

/// The begin of the line that states the addresses of a process.
const LISTENING: &str = "listening ";

/// The maximum time for a process to start listening.
const START_LIMIT: Duration = Duration::from_secs(30);

/// The interval for reading the log of a starting process.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A signal to a process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Signal {
    /// Asks the process to stop (SIGTERM).
    Terminate,
    /// Suspends the process (SIGSTOP).
    Pause,
    /// Resumes a suspended process (SIGCONT).
    Resume,
    /// Tells the process to reload its settings (SIGHUP).
    HangUp,
}

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The addresses of its `listening` line by name; an address without a name is `listen`.
    pub addresses: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// Starts the program `name` of the workspace with stderr going to the file `log`, and waits for
    /// its `listening` line.
    ///
    /// # Errors
    ///
    /// Returns an error if the program is missing or exits before it listens.
    pub fn start<S: AsRef<str>>(name: &str, args: &[S], log: &Path) -> eyre::Result<Self> {
        let program = program_path(name)?;
        let file = File::create(log).wrap_err("cannot create the log file")?;
        let mut child = Command::new(&program)
            .args(args.iter().map(AsRef::as_ref))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", program.display()))?;
        let stdout = child.stdout.take().expect("stdout is piped");
        // Lines of the log may come before it.
        let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
        let line = lines.find(|line| line.starts_with(LISTENING));
        let addresses = parse_addresses(&line.unwrap_or_default());
        match addresses.is_empty() {
            false => Ok(Self { child, addresses }),
            true => {
                let status = child.wait()?;
                let text = std::fs::read_to_string(log).unwrap_or_default();
                Err(eyre!(
                    "{name} exited with {status} before it listened: {text}"
                ))
            }
        }
    }

    /// Starts the program `name` with its output appended to the file `log`, and waits for its
    /// `listening` line.
    ///
    /// # Errors
    ///
    /// Returns an error if the program is missing or does not listen in time.
    pub async fn start_appending<S: AsRef<str>>(
        name: &str,
        args: &[S],
        log: &Path,
    ) -> eyre::Result<Self> {
        let program = program_path(name)?;
        let mut options = File::options();
        let file = options.create(true).append(true).open(log)?;
        let offset = file.metadata()?.len() as usize;
        let mut child = Command::new(&program)
            .args(args.iter().map(AsRef::as_ref))
            .stdin(Stdio::null())
            .stderr(file.try_clone()?)
            .stdout(file)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", program.display()))?;
        let started = Instant::now();
        while started.elapsed() < START_LIMIT {
            let text = std::fs::read(log)?;
            let text = String::from_utf8_lossy(&text[offset.min(text.len())..]).into_owned();
            let mut lines = text.lines();
            let line = lines.find(|line| line.starts_with(LISTENING));
            let addresses = parse_addresses(line.unwrap_or_default());
            if !addresses.is_empty() && text.ends_with('\n') {
                return Ok(Self { child, addresses });
            }
            if let Some(status) = child.try_wait()? {
                return Err(eyre!("{name} exited with {status} before it listened"));
            }
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
        Err(eyre!("{name} did not listen in time"))
    }

    /// The address that the process printed under `name`.
    ///
    /// # Panics
    ///
    /// Panics if it printed none.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let option = match signal {
            Signal::Terminate => "-TERM",
            Signal::Pause => "-STOP",
            Signal::Resume => "-CONT",
            Signal::HangUp => "-HUP",
        };
        let status = Command::new("kill")
            .arg(option)
            .arg(self.child.id().to_string())
            .status()?;
        status
            .success()
            .then_some(())
            .ok_or_else(|| eyre!("kill {option} failed"))
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// The exit status, if the process has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the state of the process cannot be read.
    pub fn exit_status(&mut self) -> eyre::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error means that the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn parse_addresses(line: &str) -> BTreeMap<String, SocketAddr> {
    let fields = line.trim().strip_prefix(LISTENING).unwrap_or_default();
    let parse = |field: &str| {
        let (name, address) = field.split_once('=').unwrap_or(("listen", field));
        Some((name.to_owned(), address.parse().ok()?))
    };
    fields.split(' ').filter_map(parse).collect()
}

/// The path of a program of the workspace, next to the running test or program.
///
/// # Errors
///
/// Returns an error if the program is not built.
pub fn program_path(name: &str) -> eyre::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    // Test executables are in a subdirectory of the directory of the programs.
    let directories = executable.ancestors().skip(1).take(2);
    let mut programs = directories.map(|directory| directory.join(name));
    programs
        .find(|program| program.is_file())
        .ok_or_else(|| eyre!("{name} is not built: run cargo build --workspace"))
}
