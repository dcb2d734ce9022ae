//! The fleet section of a process dump.

use std::fmt;
use std::time::Duration;

use entity::{Incarnation, Now, ProcessId, Revision};
use serde::Serialize;

use super::message::{Health, Version};
use super::{Fleet, Role};
use crate::member::Member;
use crate::revision::DocumentCompiler;

/// The state of a [`Fleet`].
#[derive(Clone, Debug, Serialize)]
pub struct FleetDump {
    /// The id of the process.
    pub process: ProcessId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The version in force.
    pub version: Version,
    /// The source of the version in force.
    pub source: Option<String>,
    /// The version that is being fetched from a peer.
    pub wanted: Option<Version>,
    /// The time since the service last confirmed the version in force.
    pub confirmed: Option<Duration>,
    /// Why the process reads the configuration service.
    pub duty: String,
    /// Why the process is not ready.
    pub waiting: Option<String>,
    /// How long no message of a peer has arrived.
    pub isolated: Option<Duration>,
    /// The incarnation that superseded this one.
    pub superseded: Option<Incarnation>,
    /// The other members.
    pub members: Vec<MemberDump>,
    /// The number of stored broadcasts.
    pub items: usize,
}

/// The state of one member.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// The id of the process.
    pub process: ProcessId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The role of the process.
    pub role: Role,
    /// The address for control messages.
    pub control: std::net::SocketAddr,
    /// The health of the member.
    pub health: Health,
    /// The time since the health or the incarnation last changed.
    pub age: Duration,
    /// Why the process gets no new work: its own announcement or the VM list.
    pub leaving: Option<String>,
}

impl<C: DocumentCompiler> Fleet<C> {
    /// Returns the state for a dump.
    pub fn dump(&self, now: Now) -> FleetDump {
        let endpoint = self.endpoint();
        let age = |at: Now| now.mono.saturating_duration_since(at.mono);
        let member = |member: &Member| MemberDump {
            process: member.claim.endpoint.id,
            incarnation: member.claim.endpoint.incarnation,
            role: member.claim.role,
            control: member.claim.endpoint.control,
            health: member.claim.health,
            age: now.mono.saturating_duration_since(member.since),
            leaving: self
                .process_leaving(member.claim.endpoint.id)
                .map(|leaving| leaving.to_string()),
        };
        FleetDump {
            process: endpoint.id,
            incarnation: endpoint.incarnation,
            version: self.version(),
            source: self.document().map(|document| document.source.to_string()),
            wanted: self.revisions.fetching(),
            confirmed: self.confirmed_at.map(age),
            duty: self.read_reason.to_string(),
            waiting: self.not_ready(now).map(|waiting| waiting.to_string()),
            isolated: self.isolated_for(now),
            superseded: self.superseded_by,
            members: self.members.iter().map(member).collect(),
            items: self.broadcasts.iter().count(),
        }
    }
}

impl fmt::Display for FleetDump {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let source = self.source.as_deref().unwrap_or("nowhere");
        let none = Version {
            revision: Revision(0),
            ..Version::default()
        };
        writeln!(f, "process {}@{}", self.process, self.incarnation)?;
        match self.version {
            version if version == none => writeln!(f, "rules none")?,
            version => writeln!(f, "rules {version} from {source}")?,
        }
        writeln!(f, "reads {}", self.duty)?;
        if let Some(waiting) = &self.waiting {
            writeln!(f, "not ready: {waiting}")?;
        }
        for member in &self.members {
            writeln!(f, "{member}")?;
        }
        Ok(())
    }
}

impl fmt::Display for MemberDump {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            process,
            incarnation,
            role,
            control,
            health,
            ..
        } = self;
        let age = self.age.as_secs();
        write!(
            f,
            "{role} {process}@{incarnation} at {control}: {health} for {age} s"
        )?;
        match &self.leaving {
            Some(leaving) => write!(f, ", leaving: {leaving}"),
            None => Ok(()),
        }
    }
}
