//! Conditions that are reported to operators.

use std::time::Duration;

use derive_more::Display;
use entity::{DocumentHash, Incarnation};

use super::message::Version;
use crate::reader::ServiceKey;
use crate::revision::Source;

/// A condition that operators should know about.
#[derive(Clone, PartialEq, Eq, Debug, Display)]
pub enum Alarm {
    /// A document was refused; the one in force is kept.
    #[display("rules {hash} from {source} refused: {reason}")]
    Invalid {
        /// The hash of the refused text.
        hash: DocumentHash,
        /// Where the document came from.
        source: Source,
        /// The compiler's error message.
        reason: String,
    },
    /// Two documents were published under one revision.
    #[display("two documents under one revision: {kept} is in force, {dropped} is not")]
    Conflict {
        /// The version in force.
        kept: Version,
        /// The other version.
        dropped: Version,
    },
    /// The service offers an older document than the one in force.
    #[display("the service is stale: it offers rules {offered}, {current} is in force")]
    StaleService {
        /// The version that the service offers.
        offered: Version,
        /// The version in force.
        current: Version,
    },
    /// The service returned a malformed answer.
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
    /// A peer sent a document whose hash or revision differs from the version it announced.
    #[display("a peer sent corrupt rules {version}")]
    Corrupt {
        /// The announced version.
        version: Version,
    },
    /// Peers suspected this process, and it has refuted the suspicion.
    #[display("peers suspected this process")]
    Suspected,
    /// A later incarnation of this process exists; this one must start no more work.
    #[display("a later life {incarnation} of this process exists")]
    Superseded {
        /// The later incarnation.
        incarnation: Incarnation,
    },
    /// This process did not run for a while.
    #[display("this process was paused for {gap:?}")]
    Paused {
        /// The length of the pause.
        gap: Duration,
    },
}
