//! What operators are told.

use std::time::Duration;

use derive_more::Display;
use entity::{DocumentHash, Incarnation};

use super::message::Version;
use crate::reader::ServiceKey;
use crate::revision::Source;

/// An event that operators should know of.
#[derive(Clone, PartialEq, Eq, Debug, Display)]
pub enum Alarm {
    /// A document was refused; the one in force stays.
    #[display("rules {hash} from {source} refused: {reason}")]
    Invalid {
        /// The hash of its text.
        hash: DocumentHash,
        /// Where it came from.
        source: Source,
        /// The complaint.
        reason: String,
    },
    /// Two documents were published under one revision.
    #[display("two documents under one revision: {kept} is in force, {dropped} is not")]
    Conflict {
        /// The one in force.
        kept: Version,
        /// The other one.
        dropped: Version,
    },
    /// The service offers an older document than the one in force.
    #[display("the service is stale: it offers rules {offered}, {current} is in force")]
    StaleService {
        /// What it offers.
        offered: Version,
        /// What is in force.
        current: Version,
    },
    /// The service's answer makes no sense.
    #[display("the service answered {key} with garbage")]
    Garbage {
        /// The key.
        key: ServiceKey,
    },
    /// The service does not know a key.
    #[display("the service does not know {key}")]
    Missing {
        /// The key.
        key: ServiceKey,
    },
    /// A peer sent a document whose hash is not the one it promised.
    #[display("a peer sent corrupt rules {version}")]
    Corrupt {
        /// What was promised.
        version: Version,
    },
    /// Peers suspected this process; it has refuted that.
    #[display("peers suspected this process")]
    Suspected,
    /// A later life of this process exists; this one must start nothing any more.
    #[display("a later life {incarnation} of this process exists")]
    Superseded {
        /// The later life.
        incarnation: Incarnation,
    },
    /// This process did not run for a while.
    #[display("this process was paused for {gap:?}")]
    Paused {
        /// For how long.
        gap: Duration,
    },
}
