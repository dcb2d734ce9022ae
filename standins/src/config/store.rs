//! The versioned value store of the configuration service, with call counters and injected
//! faults.
//!
//! Invariant: each write gets an index that is greater than all earlier ones.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The maximum value size of the platform's configuration service, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A fault that the service simulates.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Closes each connection without a response.
    Down,
    /// Returns an older version.
    Stale {
        /// How many versions the response is behind.
        behind: usize,
    },
    /// Alternates between the latest and an older version.
    Flapping {
        /// How many versions the older one is behind.
        behind: usize,
    },
    /// Returns bytes that are not a valid document.
    Garbage,
    /// Returns the first half of the value.
    Half,
    /// Delays each response.
    Slow {
        /// The delay in milliseconds.
        millis: u64,
    },
    /// Returns a value larger than [`MAX_VALUE_BYTES`].
    Oversize,
}

/// The role of a listed VM.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// Runs a router.
    Router,
    /// Runs an agent beside a target.
    Agent,
}

/// The state of a listed VM.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be removed.
    Leaving,
}

/// One entry of the VM list.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Vm {
    /// The process's name.
    pub name: String,
    /// Its role.
    pub role: VmRole,
    /// Its data centre.
    pub data_centre: String,
    /// Its control address.
    pub control: String,
    /// Its state.
    pub state: VmState,
}

/// Request counters of the service.
#[derive(Clone, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Calls {
    /// All requests; a long poll counts once.
    pub total: u64,
    /// Long polls.
    pub watches: u64,
    /// Requests by key.
    pub by_key: BTreeMap<String, u64>,
    /// Bytes of values that were sent.
    pub sent_bytes: u64,
}

/// The result of a read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReadResult {
    /// A value and its index.
    Value {
        /// The index of the write that stored it.
        index: u64,
        /// The value.
        body: Bytes,
    },
    /// No version is newer than the caller's index.
    NotNewer,
    /// No such key.
    Unknown,
    /// The service is down.
    Down,
}

#[derive(Clone, Debug)]
struct Version {
    index: u64,
    body: Bytes,
}

/// The stored values and the fault in force.
#[derive(Clone, Default, Debug)]
pub struct Store {
    index: u64,
    values: BTreeMap<String, Vec<Version>>,
    fault: Fault,
    reads_served: u64,
    calls: Calls,
}

impl Store {
    /// Writes a value and returns its index.
    pub fn put(&mut self, key: &str, body: Bytes) -> u64 {
        self.index += 1;
        let version = Version {
            index: self.index,
            body,
        };
        self.values.entry(key.to_owned()).or_default().push(version);
        self.index
    }

    /// Sets the fault in force.
    pub fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
    }

    /// The fault in force.
    pub fn fault(&self) -> Fault {
        self.fault
    }

    /// Counts one request; `waits` is true for a long poll.
    pub fn record_call(&mut self, key: &str, waits: bool) {
        self.calls.total += 1;
        self.calls.watches += u64::from(waits);
        *self.calls.by_key.entry(key.to_owned()).or_default() += 1;
    }

    /// The request counters.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// Reads a value if it is newer than `after`, subject to the fault in force.
    pub fn read(&mut self, key: &str, after: Option<u64>) -> ReadResult {
        let Some(version) = self
            .values
            .get(key)
            .and_then(|versions| self.select_version(versions))
        else {
            return match self.fault {
                Fault::Down => ReadResult::Down,
                _ => ReadResult::Unknown,
            };
        };
        let version = version.clone();
        match self.fault {
            Fault::Down => ReadResult::Down,
            _ if after.is_some_and(|after| version.index <= after) => ReadResult::NotNewer,
            _ => self.serve_version(version),
        }
    }

    fn select_version<'a>(&self, versions: &'a [Version]) -> Option<&'a Version> {
        let behind = match self.fault {
            Fault::Stale { behind } => behind,
            Fault::Flapping { behind } if self.reads_served % 2 == 1 => behind,
            _ => 0,
        };
        let latest = versions.len().checked_sub(1)?;
        versions.get(latest.saturating_sub(behind))
    }

    fn serve_version(&mut self, version: Version) -> ReadResult {
        let body = match self.fault {
            Fault::Garbage => Bytes::from_static(b"\xff\xfe{{]] garbage \x00\x01"),
            Fault::Half => version.body.slice(..version.body.len() / 2),
            Fault::Oversize => padded_over_limit(&version.body),
            _ => version.body,
        };
        self.reads_served += 1;
        self.calls.sent_bytes += body.len() as u64;
        ReadResult::Value {
            index: version.index,
            body,
        }
    }
}

fn padded_over_limit(body: &Bytes) -> Bytes {
    let mut long = body.to_vec();
    while long.len() <= MAX_VALUE_BYTES {
        long.extend_from_slice(b"\n# filler filler filler filler filler filler filler");
    }
    long.into()
}
