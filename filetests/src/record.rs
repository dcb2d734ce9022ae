//! The event log of a run.

use core::fmt;
use std::time::Duration;

use derive_more::Display;
use entity::{Name, Reason, RequestId, Revision};

/// One event of a run.
#[derive(Clone, PartialEq, Debug)]
pub struct Entry {
    /// The time since the start of the scenario.
    pub at: Duration,
    /// The objects that the event concerns.
    pub subject: Subject,
    /// The kind of event.
    pub kind: EntryKind,
}

/// The objects that an entry concerns.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Subject {
    /// The request.
    pub request: Option<RequestId>,
    /// The number of the idempotency key.
    pub key: Option<u32>,
    /// The team.
    pub team: Option<Name>,
    /// The target.
    pub target: Option<Name>,
    /// The process.
    pub process: Option<Name>,
}

/// The kind of an event.
#[derive(Clone, PartialEq, Eq, Debug, Display)]
pub enum EntryKind {
    /// A caller sent a request to a router.
    #[display("arrived")]
    Arrived,
    /// An agent handed the request to its target.
    #[display("started")]
    Started,
    /// An agent refused it.
    #[display("refused by the agent: {_0}")]
    Refused(Reason),
    /// The target completed it.
    #[display("completed")]
    Completed,
    /// Execution was interrupted.
    #[display("broke off")]
    Broken,
    /// The caller received an answer.
    #[display("answered with the answer to {body:?}, whole: {whole}")]
    Answered {
        /// The request to which the received answer belongs.
        body: RequestId,
        /// Whether the answer is complete.
        whole: bool,
    },
    /// The caller was told that the request did not run.
    #[display("ended as not run: {_0}")]
    NotRun(Reason),
    /// The caller was told that the request may have run.
    #[display("ended as unknown: {_0}")]
    Unknown(Reason),
    /// The caller lost its connection.
    #[display("caller's connection lost")]
    Lost,
    /// A target was given more attempts than it can run.
    #[display("runs {running}, can carry {limit}")]
    Overrun {
        /// The number of attempts that it runs.
        running: u32,
        /// The number of attempts that it can run.
        limit: u32,
    },
    /// A request crashed its target.
    #[display("died of the request")]
    Died,
    /// A document was published.
    #[display("published revision {revision}, valid: {valid}")]
    Published {
        /// The revision of the document.
        revision: Revision,
        /// Whether processes should accept it.
        valid: bool,
    },
    /// A process applied a revision.
    #[display("revision {_0} in force")]
    Adopted(Revision),
    /// A process is ready for work.
    #[display("ready")]
    Ready,
    /// A process was told to stop.
    #[display("told to stop")]
    Stopping,
    /// A process has stopped.
    #[display("stopped")]
    Stopped,
    /// A process restarted without state.
    #[display("restarted")]
    Restarted,
    /// A data centre or target was drained by a rule.
    #[display("drained")]
    Drained,
    /// A data centre or target is no longer drained.
    #[display("undrained")]
    Undrained,
    /// The VM list marks the VM of the target as leaving.
    #[display("leaves by the VM list")]
    Leaves,
    /// Another event of the scenario.
    #[display("{_0}")]
    Fault(String),
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>10.4}s", self.at.as_secs_f64())?;
        self.subject.fmt(f)?;
        write!(f, " {}", self.kind)
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(request) = self.request {
            write!(f, " {request:?}")?;
        }
        if let Some(key) = self.key {
            write!(f, " key {key}")?;
        }
        let names = [
            ("team", &self.team),
            ("target", &self.target),
            ("process", &self.process),
        ];
        let mut names = names
            .into_iter()
            .filter_map(|(word, name)| Some((word, name.as_ref()?)));
        names.try_for_each(|(word, name)| write!(f, " {word} {name}"))
    }
}

impl Subject {
    /// Whether every field that is set in `self` has the same value in `other`.
    pub fn covers(&self, other: &Self) -> bool {
        fn unset_or_equal<T: PartialEq>(one: &Option<T>, two: &Option<T>) -> bool {
            one.is_none() || one == two
        }
        unset_or_equal(&self.request, &other.request)
            && unset_or_equal(&self.key, &other.key)
            && unset_or_equal(&self.team, &other.team)
            && unset_or_equal(&self.target, &other.target)
            && unset_or_equal(&self.process, &other.process)
    }
}
