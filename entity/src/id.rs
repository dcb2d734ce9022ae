//! Typed identifiers.

use core::fmt;
use std::sync::Arc;

use cranelift_entity::entity_impl;
use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// An immutable, reference-counted name.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

/// Allows lookup by `&str` in maps keyed by `Name`; both hash and compare alike.
impl std::borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl Name {
    /// Creates a name from text.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the hash that represents the name in messages between processes.
    pub fn tag(&self) -> Tag {
        Tag(xxh3_64(self.0.as_bytes()))
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

impl AsRef<str> for Name {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

/// The 64-bit hash of a name, sent between processes in place of the name.
///
/// The rules checker rejects documents in which two names of one kind share a tag.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Tag(pub u64);

macro_rules! dense_id {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u32);
        entity_impl!($name, $prefix);
    };
}

dense_id! {
    /// A team in this process's [`Directory`](crate::Directory).
    TeamId, "team"
}
dense_id! {
    /// A pool of interchangeable targets.
    PoolId, "pool"
}
dense_id! {
    /// A target: a back end that runs requests.
    TargetId, "target"
}
dense_id! {
    /// A data centre.
    DataCentreId, "dc"
}
dense_id! {
    /// A route: a rule that maps a method and path to a pool.
    RouteId, "route"
}
dense_id! {
    /// A language model that engines can load.
    ModelId, "model"
}
/// A process of the fleet, identified by the tag of its name.
///
/// An agent has the name of its target, so its id is the target's tag.
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Debug,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct ProcessId(pub Tag);

/// The revision of a rules document; a higher revision supersedes a lower one.
#[derive(
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Debug,
    Display,
    From,
    Into,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// The 64-bit hash of the text of a rules document.
#[derive(
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Debug,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct DocumentHash(pub u64);

/// Distinguishes successive runs of one process; a later run has a higher number.
///
/// The number is the wall-clock time of the start in microseconds since the
/// Unix epoch, raised above any higher number that a peer reports.
#[derive(
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Debug,
    Display,
    From,
    Into,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifies a caller's request from its arrival at a router to its outcome.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "req-{:x}", self.0)
    }
}

impl core::str::FromStr for RequestId {
    type Err = core::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Identifies one attempt to run a request on a target; a request may have several.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The index of the attempt within the request, from 0.
    pub number: u16,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

impl core::str::FromStr for AttemptId {
    type Err = core::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (request, number) = text.split_once('.').unwrap_or((text, ""));
        Ok(Self {
            request: request.parse()?,
            number: number.parse()?,
        })
    }
}

/// Identifies equal requests of a team regardless of their request ids.
///
/// The fingerprint is a hash of the team, the route and the body.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

/// The hash of a prompt's prefix, used for prefix-cache affinity.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// The priority class of a request within its team's share.
#[derive(
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Debug,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A person is waiting for the response.
    #[display("interactive")]
    Interactive,
    /// The default class.
    #[default]
    #[display("standard")]
    Standard,
    /// No person is waiting; served after the other classes of the same team.
    #[display("batch")]
    Batch,
}

/// A reference to a rule by document revision and line.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[display("r{revision}:{line}")]
pub struct RuleRef {
    /// The revision of the document.
    pub revision: Revision,
    /// The line number in the document, from 1.
    pub line: u32,
}
