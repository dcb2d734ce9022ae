//! Settings files of the daemons.
//!
//! A file is read into a tree with places first and then key by key, so that
//! every fault of a file is listed and not only the first. Unknown keys are
//! faults.

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
pub use edge::{EdgeBounds, EdgeSettings, EngineSettings};
pub use read::Section;
pub use router::{RouterLimits, RouterSettings};

/// The greatest size of a settings file in bytes.
pub const MAX_SETTINGS_BYTES: u64 = 256 * 1024;

/// The operators' address of a process whose settings state none.
pub const DEFAULT_OPERATORS: &str = "127.0.0.1:7190";

/// The number of traffic threads of a process whose settings state none.
pub const DEFAULT_WORKERS: usize = 2;

/// The time for a peer to send a request's head if the settings state none.
pub const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The limit of a planned stop if the settings state none; it covers long requests.
pub const DEFAULT_STOP_LIMIT: Duration = Duration::from_secs(60 * 60);

/// The settings of one kind of process.
pub trait Settings: Sized {
    /// Reads the settings and reports every fault to `section`.
    ///
    /// Returns `None` if a fault was reported that leaves no value.
    fn read(section: &mut Section<'_>) -> Option<Self>;
}

/// One fault of a settings file.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Display)]
#[display("line {line}, {key}: found {found}, expected {expected}")]
pub struct SettingsFault {
    /// The line, from 1.
    pub line: u64,
    /// The key with its parents, such as `limits.body`; empty for the whole file.
    pub key: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub expected: String,
}

/// All faults of a settings file.
#[derive(Clone, PartialEq, Eq, Debug, derive_more::Error)]
pub struct SettingsFaults {
    /// The file.
    pub file: PathBuf,
    /// The faults, in order of their lines; at least one.
    pub faults: Vec<SettingsFault>,
}

impl fmt::Display for SettingsFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            let separator = if index > 0 { "\n" } else { "" };
            write!(f, "{separator}{}: {fault}", self.file.display())?;
        }
        Ok(())
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// Returns every fault of the file, or why the file cannot be read.
pub fn load<T: Settings>(path: &Path) -> Result<T, SettingsFaults> {
    let refuse = |faults| SettingsFaults {
        file: path.to_owned(),
        faults,
    };
    let text = read_file(path).map_err(|fault| refuse(vec![fault]))?;
    parse(&text).map_err(refuse)
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// Returns every fault of the text.
pub fn parse<T: Settings>(text: &str) -> Result<T, Vec<SettingsFault>> {
    let tree = tree::parse(text).map_err(|fault| vec![fault])?;
    let mut faults = Vec::new();
    let settings = Section::new(&tree, "", &mut faults).and_then(|mut root| {
        let settings = T::read(&mut root);
        root.finish();
        settings
    });
    faults.sort();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

fn read_file(path: &Path) -> Result<String, SettingsFault> {
    let fault = |found: String, expected: &str| SettingsFault {
        line: 1,
        key: "file".to_owned(),
        found,
        expected: expected.to_owned(),
    };
    let size = fs::metadata(path).map(|file| file.len());
    match size {
        Ok(size) if size > MAX_SETTINGS_BYTES => {
            let found = format!("{size} bytes");
            Err(fault(found, &format!("at most {MAX_SETTINGS_BYTES} bytes")))
        }
        _ => fs::read_to_string(path)
            .map_err(|error| fault(error.to_string(), "a readable file in UTF-8")),
    }
}

/// Reports addresses that two listeners would share.
fn distinct(section: &mut Section<'_>, listeners: &[(&'static str, Option<SocketAddr>)]) {
    for (index, &(key, address)) in listeners.iter().enumerate() {
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        let mut earlier = listeners[..index].iter();
        let same = earlier.find(|(_, other)| *other == Some(address));
        if let Some((other, _)) = same {
            let expected = format!("an address other than that of `{other}`");
            section.fault(key, format!("`{address}`"), expected);
        }
    }
}

fn default_operators() -> SocketAddr {
    DEFAULT_OPERATORS
        .parse()
        .expect("the default is an address")
}
