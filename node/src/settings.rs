//! Settings files of the daemons.
//!
//! A file is first parsed into a tree of values with line numbers and then read key
//! by key, so that all errors of a file are reported and not only the first. Unknown
//! keys are errors.

mod agent;
mod edge;
mod read;
mod router;
mod tree;
mod value;

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use derive_more::Display;

pub use agent::{AgentLimits, AgentSettings};
pub use edge::{EdgeBounds, EdgeSettings, EngineSettings, RoutingSettings};
pub use read::Section;
pub use router::{RouterLimits, RouterSettings};

/// Maximum size of a settings file in bytes.
pub const MAX_SETTINGS_BYTES: u64 = 256 * 1024;

/// Default address of the operators' listener.
pub const DEFAULT_OPERATORS: &str = "127.0.0.1:7190";

/// Default number of traffic threads.
pub const DEFAULT_WORKERS: usize = 2;

/// Default time allowed for a peer to send the head of a request.
pub const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Default time limit of a planned stop; it leaves time for long requests.
pub const DEFAULT_STOP_LIMIT: Duration = Duration::from_secs(60 * 60);

/// The settings of one kind of process, or a section of them.
pub trait Settings: Sized {
    /// Reads the settings and reports all errors to `section`.
    ///
    /// Returns `None` if a reported error leaves a setting without a value.
    fn read(section: &mut Section<'_>) -> Option<Self>;
}

/// An error in a settings file.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Display)]
#[display("line {line}, {key}: found {found}, expected {expected}")]
pub struct SettingsError {
    /// The line number, from 1.
    pub line: u64,
    /// The key with its parent sections, such as `limits.body`; empty for the whole file.
    pub key: String,
    /// What the file contains there.
    pub found: String,
    /// What is accepted there.
    pub expected: String,
}

/// All errors in a settings file.
#[derive(Clone, PartialEq, Eq, Debug, derive_more::Error)]
pub struct SettingsErrors {
    /// The file.
    pub file: PathBuf,
    /// The errors, ordered by line; at least one.
    pub errors: Vec<SettingsError>,
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            let separator = if index > 0 { "\n" } else { "" };
            write!(f, "{separator}{}: {error}", self.file.display())?;
        }
        Ok(())
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// Returns all errors in the file, or the reason why it cannot be read.
pub fn load<T: Settings>(path: &Path) -> Result<T, SettingsErrors> {
    let with_path = |errors| SettingsErrors {
        file: path.to_owned(),
        errors,
    };
    let text = read_file(path).map_err(|error| with_path(vec![error]))?;
    parse(&text).map_err(with_path)
}

/// Parses the text of a settings file.
///
/// # Errors
///
/// Returns all errors in the text.
pub fn parse<T: Settings>(text: &str) -> Result<T, Vec<SettingsError>> {
    let tree = tree::parse(text).map_err(|error| vec![error])?;
    let mut errors = Vec::new();
    let settings = Section::new(&tree, "", &mut errors).and_then(|mut root| {
        let settings = T::read(&mut root);
        root.report_unread_keys();
        settings
    });
    errors.sort();
    match settings {
        Some(settings) if errors.is_empty() => Ok(settings),
        _ => Err(errors),
    }
}

fn read_file(path: &Path) -> Result<String, SettingsError> {
    let file_error = |found: String, expected: &str| SettingsError {
        line: 1,
        key: "file".to_owned(),
        found,
        expected: expected.to_owned(),
    };
    let size = fs::metadata(path).map(|file| file.len());
    match size {
        Ok(size) if size > MAX_SETTINGS_BYTES => {
            let found = format!("{size} bytes");
            Err(file_error(
                found,
                &format!("at most {MAX_SETTINGS_BYTES} bytes"),
            ))
        }
        _ => fs::read_to_string(path)
            .map_err(|error| file_error(error.to_string(), "a readable file in UTF-8")),
    }
}

/// Reports listeners that have the same address; port 0 never conflicts.
fn check_distinct_addresses(
    section: &mut Section<'_>,
    listeners: &[(&'static str, Option<SocketAddr>)],
) {
    for (index, &(key, address)) in listeners.iter().enumerate() {
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        let mut earlier = listeners[..index].iter();
        let same = earlier.find(|(_, other)| *other == Some(address));
        if let Some((other, _)) = same {
            let expected = format!("an address other than that of `{other}`");
            section.report_error(key, format!("`{address}`"), expected);
        }
    }
}

fn default_operators() -> SocketAddr {
    DEFAULT_OPERATORS
        .parse()
        .expect("the default is a valid address")
}
