//! The messages of the exchange.
//!
//! A heartbeat ([`Beat`]) states its sender's own load. A [`Summary`] states what a
//! relay knows of the routers behind it.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, From};
use entity::Name;
use serde::{Deserialize, Serialize};

use crate::direct::kept::KeptRow;
use crate::direct::rotation::Readiness;
pub use crate::direct::target_rate::RateRow;
use crate::direct::target_table::{LoadReport, TargetLoad};

/// The hash of a data centre's name.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, From, Serialize, Deserialize,
)]
#[display("{_0:08x}")]
#[serde(transparent)]
pub struct CentreTag(pub u32);

impl CentreTag {
    /// Returns the tag of a data centre, which is the same on all routers.
    pub fn new(centre: &Name) -> Self {
        Self(centre.tag().0 as u32)
    }
}

/// Where a router stands in the exchange.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Place {
    /// Its data centre.
    pub centre: CentreTag,
    /// The relay to which it reports; its own address if it is a relay itself.
    pub relay: SocketAddr,
    /// Whether it had time to discover the others since its start.
    pub is_settled: bool,
}

/// The heartbeat of a router: its state and load.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Beat {
    /// The address at which the sender receives datagrams.
    pub from: SocketAddr,
    /// The sender's incarnation; a later one has a higher number.
    pub life: u64,
    /// The sequence number of the heartbeat within the incarnation.
    pub number: u32,
    /// The last heartbeat that the sender received from the receiver's current incarnation.
    pub echo: Option<Echo>,
    /// The digest of the operators' settings known to the sender.
    pub digest: u64,
    /// The time since the sender last confirmed these settings, in milliseconds.
    pub confirmed: Option<u32>,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Other routers from which the sender recently received datagrams.
    pub peers: Vec<SocketAddr>,
    /// The sender's in-flight load at each target; empty if a summary contains it.
    pub loads: Vec<LoadRow>,
    /// The requested and placed work of each team at the sender; empty if a summary
    /// contains it.
    pub teams: Vec<TeamRow>,
    /// Target crashes, with the request that was running.
    pub crashes: Vec<CrashRow>,
    /// The sender's place, unless it runs a version that knows no relays. It follows
    /// the encoding of the other fields, where that version does not look.
    #[serde(skip)]
    pub place: Option<Place>,
    /// The sender's readiness, unless it runs a version that does not state it. It follows
    /// the place, where that version does not look.
    #[serde(skip)]
    pub readiness: Option<Readiness>,
}

/// Identifies a heartbeat of the receiver.
///
/// It shows the receiver that the message was written after that heartbeat was
/// sent, regardless of the delay of the message.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's incarnation.
    pub life: u64,
    /// The sequence number of the heartbeat.
    pub number: u32,
}

/// The in-flight load of one or several routers at one target.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LoadRow {
    /// The tag of the target's incarnation.
    pub target: u64,
    /// The prompt tokens of attempts that have not produced their first event.
    pub waiting: u32,
    /// The number of attempts.
    pub count: u32,
    /// The memory in use, in tokens.
    pub memory: u32,
}

impl From<&LoadReport> for LoadRow {
    fn from(report: &LoadReport) -> Self {
        Self {
            target: report.target,
            waiting: report.load.waiting_tokens as u32,
            count: report.load.attempts,
            memory: report.load.memory_tokens as u32,
        }
    }
}

impl From<&LoadRow> for LoadReport {
    fn from(row: &LoadRow) -> Self {
        Self {
            target: row.target,
            load: TargetLoad {
                waiting_tokens: row.waiting.into(),
                attempts: row.count,
                memory_tokens: row.memory.into(),
            },
        }
    }
}

/// The requested and placed work of one team, in tokens per second.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct TeamRow {
    /// The tag of the team's name.
    pub team: u64,
    /// The requested work.
    pub asked: u32,
    /// The work placed at targets.
    pub placed: u32,
}

/// A crash of a target while it ran a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct CrashRow {
    /// The request's fingerprint.
    pub request: u128,
    /// The tag of the target's incarnation.
    pub target: u64,
}

/// A crash of a target while it ran a request that is rejected.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct AgedCrashRow {
    /// The request's fingerprint.
    pub request: u128,
    /// The tag of the target's incarnation.
    pub target: u64,
    /// The time since the latest crash of the request was noticed, in milliseconds.
    pub age: u32,
}

impl AgedCrashRow {
    /// The crash without its age.
    pub fn crash(&self) -> CrashRow {
        CrashRow {
            request: self.request,
            target: self.target,
        }
    }
}

impl From<CrashRow> for AgedCrashRow {
    /// A crash that was just noticed.
    fn from(row: CrashRow) -> Self {
        Self {
            request: row.request,
            target: row.target,
            age: 0,
        }
    }
}

/// A crash of a target while it ran a request with a prompt part, or before.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PartCrashRow {
    /// The hash of the part.
    pub part: u64,
    /// The tag of the target's incarnation.
    pub target: u64,
    /// The time since the request was sent, in milliseconds.
    pub sent: u32,
    /// The time since the connection to the target broke, in milliseconds.
    pub broken: u32,
}

/// A completed run of a request with a prompt part against which crashes had been counted.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PartRunRow {
    /// The hash of the part.
    pub part: u64,
    /// The time since the run completed, in milliseconds.
    pub age: u32,
}

/// A completed run of a request of which crashes are known.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RequestRunRow {
    /// The request's fingerprint.
    pub request: u128,
    /// The time since the run completed, in milliseconds.
    pub age: u32,
}

/// Crashes under prompt parts, and runs that clear parts.
#[derive(Clone, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PartNews {
    /// The crashes.
    pub crashes: Vec<PartCrashRow>,
    /// The runs.
    pub runs: Vec<PartRunRow>,
}

impl PartNews {
    /// Returns the rows after some more time.
    pub fn aged(mut self, time: Duration) -> Self {
        let millis = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        for row in &mut self.crashes {
            row.sent = row.sent.saturating_add(millis);
            row.broken = row.broken.saturating_add(millis);
        }
        for row in &mut self.runs {
            row.age = row.age.saturating_add(millis);
        }
        self
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.runs.is_empty()
    }
}

/// The targets that currently fail for a router, sent before a heartbeat.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Trouble {
    /// The sender's address, as in its heartbeats.
    pub from: SocketAddr,
    /// The sender's incarnation.
    pub life: u64,
    /// The sequence number of the heartbeat that follows; a later heartbeat
    /// invalidates this datagram.
    pub number: u32,
    /// The tags of the target incarnations.
    pub targets: Vec<u64>,
}

/// Whose state a summary contains.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Serialize, Deserialize)]
pub enum Scope {
    /// The sender and the routers that report to it; sent to other relays.
    #[display("group")]
    Group,
    /// All routers but the receiver; sent to the routers that report to the sender.
    #[display("fleet")]
    Fleet,
}

/// A part of what a relay knows of other routers.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The sender's address, as in its heartbeats.
    pub from: SocketAddr,
    /// The sender's incarnation.
    pub life: u64,
    /// The sequence number of the sender's latest heartbeat.
    pub number: u32,
    /// The index of this part, from 0.
    pub part: u8,
    /// The number of parts.
    pub parts: u8,
    /// Whose state it is.
    pub scope: Scope,
    /// The routers that the sender holds reachable; empty in most summaries.
    pub members: Vec<MemberRow>,
    /// The sums of loads.
    pub loads: Vec<LoadRow>,
    /// The sums of the teams' work.
    pub teams: Vec<TeamRow>,
    /// The number of routers for which a target currently fails.
    pub problems: Vec<ProblemRow>,
    /// The readiness of routers of the receiver's data centre that have more than a few
    /// requests, or are strained. It follows the encoding of the other fields, where
    /// versions that do not know it do not look.
    #[serde(skip)]
    pub readiness: Vec<ReadinessRow>,
}

/// The readiness of a router.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ReadinessRow {
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// What it says.
    pub readiness: Readiness,
}

/// A router that a relay holds reachable.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct MemberRow {
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: CentreTag,
    /// Whether it may be a relay: it is neither starting nor stopping.
    pub steady: bool,
    /// Whether others can rely on it to read the store.
    pub reads: bool,
}

/// The number of routers for which a target currently fails.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ProblemRow {
    /// The tag of the target's incarnation.
    pub target: u64,
    /// The number of routers.
    pub count: u32,
}

/// Uses of prompt parts at targets.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct KeptUpdate {
    /// The number of routers that passed the rows on; 0 for rows of the sender itself.
    pub hops: u8,
    /// The rows.
    pub rows: Vec<KeptRow>,
}

/// Whose rows a message contains.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Source {
    /// The sender's.
    Router,
    /// Those of the sender and the routers that report to it.
    Group,
    /// Those of all routers known to the sender.
    Fleet,
}

/// Learned rates of some targets.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RateUpdate {
    /// The sender's address, as in its heartbeats.
    pub from: SocketAddr,
    /// Whose observations they are.
    pub source: Source,
    /// The rows.
    pub rows: Vec<RateRow>,
}

/// What a target said of a limit on its requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct StatedRow {
    /// The limit in thousandths of a request per second; none if it ended.
    pub rate: Option<u32>,
    /// The time since the target said so, in milliseconds.
    pub age: u32,
}

/// The limit of a target, and how much of it one or several routers need.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LimitRow {
    /// The tag of the target's incarnation.
    pub target: u64,
    /// What the target said to these routers last, if it did.
    pub stated: Option<StatedRow>,
    /// The thousandths of a request per second that they would send to it.
    pub needed: u32,
}

/// Limits of some targets.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The sender's address, as in its heartbeats.
    pub from: SocketAddr,
    /// Whose rows they are.
    pub source: Source,
    /// The rows.
    pub rows: Vec<LimitRow>,
}

/// A message between two routers.
#[derive(Clone, PartialEq, Debug)]
pub enum Message {
    /// The state of the sender.
    Beat(Box<Beat>),
    /// The state of routers behind the sender.
    Summary(Box<Summary>),
    /// Targets that currently fail for the sender.
    Trouble(Trouble),
    /// The tags of target incarnations that said that they are leaving.
    Leaving(Vec<u64>),
    /// Uses of prompt parts at targets.
    Kept(KeptUpdate),
    /// The rates of targets.
    Rates(RateUpdate),
    /// Crashes under prompt parts, and runs that clear parts.
    Parts(PartNews),
    /// The limits that targets name.
    Limits(LimitUpdate),
    /// Crashes of targets, with requests that are rejected for it.
    Crashes(Vec<AgedCrashRow>),
    /// Completed runs of requests of which crashes are known.
    RequestRuns(Vec<RequestRunRow>),
}
