//! Values with an index, the count of calls, and scripted faults.
//!
//! Invariant: the index grows with each write and is never reused.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The greatest value that the platform's service holds, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// What the service does wrong.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Breaks each connection.
    Down,
    /// Answers an older value.
    Stale {
        /// How many writes the answer is behind.
        behind: usize,
    },
    /// Answers the newest and an older value in turn.
    Flapping {
        /// How many writes the older answer is behind.
        behind: usize,
    },
    /// Answers bytes that are no document.
    Garbage,
    /// Answers the first half of the value.
    Half,
    /// Answers late.
    Slow {
        /// The delay in milliseconds.
        millis: u64,
    },
    /// Answers a value over the limit.
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
    /// To be removed soon.
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

/// How often the service was called.
#[derive(Clone, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Calls {
    /// All calls; a waiting watch is one.
    pub total: u64,
    /// Calls that waited.
    pub watches: u64,
    /// Calls for each key.
    pub by_key: BTreeMap<String, u64>,
    /// Bytes of values sent.
    pub sent_bytes: u64,
}

/// The answer to a read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Read {
    /// A value and its index.
    Value {
        /// The index of the write that made it.
        index: u64,
        /// The value.
        body: Bytes,
    },
    /// Nothing newer than the caller's index.
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

/// The values of the service.
#[derive(Clone, Default, Debug)]
pub struct Store {
    index: u64,
    values: BTreeMap<String, Vec<Version>>,
    fault: Fault,
    answers: u64,
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

    /// Counts one call.
    pub fn count(&mut self, key: &str, waits: bool) {
        self.calls.total += 1;
        self.calls.watches += u64::from(waits);
        *self.calls.by_key.entry(key.to_owned()).or_default() += 1;
    }

    /// The calls so far.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// Reads a value that is newer than `after`, under the fault in force.
    pub fn read(&mut self, key: &str, after: Option<u64>) -> Read {
        let Some(version) = self
            .values
            .get(key)
            .and_then(|versions| self.pick(versions))
        else {
            return match self.fault {
                Fault::Down => Read::Down,
                _ => Read::Unknown,
            };
        };
        let version = version.clone();
        match self.fault {
            Fault::Down => Read::Down,
            _ if after.is_some_and(|after| version.index <= after) => Read::NotNewer,
            _ => self.send(version),
        }
    }

    fn pick<'a>(&self, versions: &'a [Version]) -> Option<&'a Version> {
        let behind = match self.fault {
            Fault::Stale { behind } => behind,
            Fault::Flapping { behind } if self.answers % 2 == 1 => behind,
            _ => 0,
        };
        let newest = versions.len().checked_sub(1)?;
        versions.get(newest.saturating_sub(behind))
    }

    fn send(&mut self, version: Version) -> Read {
        let body = match self.fault {
            Fault::Garbage => Bytes::from_static(b"\xff\xfe{{]] garbage \x00\x01"),
            Fault::Half => version.body.slice(..version.body.len() / 2),
            Fault::Oversize => oversize(&version.body),
            _ => version.body,
        };
        self.answers += 1;
        self.calls.sent_bytes += body.len() as u64;
        Read::Value {
            index: version.index,
            body,
        }
    }
}

fn oversize(body: &Bytes) -> Bytes {
    let mut long = body.to_vec();
    while long.len() <= VALUE_LIMIT {
        long.extend_from_slice(b"\n# filler filler filler filler filler filler filler");
    }
    long.into()
}
