//! The VM list of the configuration service.

use std::net::SocketAddr;

use derive_more::Display;
use entity::Name;
use serde::Deserialize;

use super::message::Role;

/// The state of a VM.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListState {
    /// The VM is in service.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// One entry of the VM list.
#[derive(Clone, PartialEq, Eq, Debug, Deserialize)]
pub struct VmEntry {
    /// The name of the process on the VM.
    pub name: Name,
    /// The role of the process.
    pub role: Role,
    /// The data centre of the VM.
    pub data_centre: Name,
    /// The address for control messages.
    pub control: SocketAddr,
    /// The state of the VM.
    pub state: ListState,
}

/// The error of a malformed VM list.
#[derive(Clone, PartialEq, Eq, Debug, Display)]
#[display("malformed VM list: {reason}")]
pub struct VmListError {
    /// The parser's error message.
    pub reason: String,
}

/// Parses a VM list.
///
/// # Errors
///
/// Returns an error if any part of the list is malformed; no entry is used then.
pub fn parse_vm_list(bytes: &[u8]) -> Result<Vec<VmEntry>, VmListError> {
    serde_json::from_slice(bytes).map_err(|error| VmListError {
        reason: error.to_string(),
    })
}
