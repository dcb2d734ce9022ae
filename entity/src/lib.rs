//! Basic types shared by all crates of the workspace.
//!
//! The crate defines typed identifiers, the directory that maps names to dense
//! indices, costs, keys, outcomes, decision records and the clock interface.
//!
//! Invariants:
//! - An index of a [`Directory`] is valid for the lifetime of the process and is
//!   never reused; messages between processes refer to a name by its [`Tag`].
//! - An [`Outcome::NotRun`] can only be built from a [`NotSent`] proof.
//!
//! The crate performs no I/O and depends on no other crate of the workspace.

mod cost;
mod decision;
mod directory;
mod id;
mod key;
mod outcome;
mod reason;
mod state_machine;
mod time;

pub use cost::{Cost, Weight};
pub use decision::{Decision, ProcessName, Step};
pub use directory::{Directory, NameTable};
pub use id::{
    AttemptId, Class, DataCentreId, DocumentHash, Fingerprint, Incarnation, ModelId, Name, PoolId,
    PrefixHash, ProcessId, RequestId, Revision, RouteId, RuleRef, Tag, TargetId, TeamId,
};
pub use key::{IdempotencyKey, KeyError, Ticket};
pub use outcome::{NotSent, Outcome, Refusal, SendPermit, Sent};
pub use reason::{Reason, RetryAdvice};
pub use state_machine::StateMachine;
pub use time::{Clock, ManualClock, Now, SystemClock};
