//! The VM list.

use std::net::SocketAddr;

use derive_more::Display;
use entity::Name;
use serde::Deserialize;

use super::message::Role;

/// Whether a VM stays.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListState {
    /// It stays.
    Live,
    /// It is about to go.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, PartialEq, Eq, Debug, Deserialize)]
pub struct VmEntry {
    /// The name of the process on it.
    pub name: Name,
    /// What the process does.
    pub role: Role,
    /// Its data centre.
    pub data_centre: Name,
    /// Its address for control messages.
    pub control: SocketAddr,
    /// Whether the VM stays.
    pub state: ListState,
}

/// Why bytes are not a VM list.
#[derive(Clone, PartialEq, Eq, Debug, Display)]
#[display("malformed VM list: {reason}")]
pub struct VmListError {
    /// The complaint.
    pub reason: String,
}

/// Reads a VM list.
///
/// # Errors
///
/// Returns an error if the bytes are not a whole list; none of it is used then.
pub fn parse_vm_list(bytes: &[u8]) -> Result<Vec<VmEntry>, VmListError> {
    serde_json::from_slice(bytes).map_err(|error| VmListError {
        reason: error.to_string(),
    })
}
