//! What a dump of the process shows of the fleet.

use std::fmt;
use std::time::Duration;

use entity::{Incarnation, Now, ProcessId, Revision};
use serde::Serialize;

use super::message::{Health, Version};
use super::{Fleet, Role};
use crate::member::Member;
use crate::revision::DocumentCompiler;

/// The state of a fleet machine.
#[derive(Clone, Debug, Serialize)]
pub struct FleetDump {
    /// The process.
    pub process: ProcessId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The version in force.
    pub version: Version,
    /// Where it was learned.
    pub source: Option<String>,
    /// The version that is being fetched.
    pub wanted: Option<Version>,
    /// The age of the last confirmation by the service.
    pub confirmed: Option<Duration>,
    /// Why the process reads the service.
    pub duty: String,
    /// Why the process is not ready.
    pub waiting: Option<String>,
    /// For how long no peer was heard.
    pub isolated: Option<Duration>,
    /// The life that replaced this one.
    pub superseded: Option<Incarnation>,
    /// The other processes.
    pub members: Vec<MemberDump>,
    /// The number of broadcasts held.
    pub items: usize,
}

/// The state of one member.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// The process.
    pub process: ProcessId,
    /// Its life.
    pub incarnation: Incarnation,
    /// What it does.
    pub role: Role,
    /// Its address for control messages.
    pub control: std::net::SocketAddr,
    /// Its health.
    pub health: Health,
    /// For how long it has had that health.
    pub age: Duration,
    /// Why it gets no new work, by its own word or the VM list's.
    pub leaving: Option<String>,
}

impl<C: DocumentCompiler> Fleet<C> {
    /// The state, for a dump.
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
