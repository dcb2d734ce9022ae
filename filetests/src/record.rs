//! What happened in a run.

use core::fmt;
use std::time::Duration;

use derive_more::Display;
use entity::{Name, Reason, RequestId, Revision};

/// One thing that happened.
#[derive(Clone, PartialEq, Debug)]
pub struct Entry {
    /// When, since the start of the scenario.
    pub at: Duration,
    /// Whom it concerns.
    pub subject: Subject,
    /// What.
    pub kind: EntryKind,
}

/// Whom an entry concerns.
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

/// What happened.
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
    /// The target ran it to the end.
    #[display("completed")]
    Completed,
    /// The run broke off.
    #[display("broke off")]
    Broken,
    /// The caller got an answer.
    #[display("answered with the answer to {body:?}, whole: {whole}")]
    Answered {
        /// The request that was answered.
        body: RequestId,
        /// Whether it was whole.
        whole: bool,
    },
    /// The caller was told that it did not run.
    #[display("ended as not run: {_0}")]
    NotRun(Reason),
    /// The caller was told that it may have run.
    #[display("ended as unknown: {_0}")]
    Unknown(Reason),
    /// The caller lost its connection.
    #[display("caller's connection lost")]
    Lost,
    /// A target was started on more than it can carry.
    #[display("runs {running}, can carry {limit}")]
    Overrun {
        /// What it runs.
        running: u32,
        /// What it can carry.
        limit: u32,
    },
    /// A target died of a request.
    #[display("died of the request")]
    Died,
    /// A document was published.
    #[display("published revision {revision}, valid: {valid}")]
    Published {
        /// Its revision.
        revision: Revision,
        /// Whether processes should accept it.
        valid: bool,
    },
    /// A process put a revision into force.
    #[display("revision {_0} in force")]
    Adopted(Revision),
    /// A process takes work.
    #[display("ready")]
    Ready,
    /// A process was told to stop.
    #[display("told to stop")]
    Stopping,
    /// A process has stopped.
    #[display("stopped")]
    Stopped,
    /// A process started empty.
    #[display("restarted")]
    Restarted,
    /// A data centre or target was drained, by rule.
    #[display("drained")]
    Drained,
    /// A data centre or target is no longer drained.
    #[display("undrained")]
    Undrained,
    /// The VM list calls the target's VM leaving.
    #[display("leaves by the VM list")]
    Leaves,
    /// Something else that the scenario orders.
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
    /// Whether every name that `self` states is also stated, alike, by `other`.
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
