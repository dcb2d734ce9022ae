//! The promises that a scenario can check.

use derive_more::Display;

/// A promise to the users.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Display)]
pub enum Promise {
    /// Between two backlogged teams the service gap stays within its bound.
    #[display("gap")]
    Gap,
    /// No backlogged team waits for longer than its bound without a start.
    #[display("no-starvation")]
    NoStarvation,
    /// Below 1 % of slot time is idle while work waits.
    #[display("utilisation")]
    Utilisation,
    /// No target is started on more than it can carry.
    #[display("cold-limit")]
    ColdLimit,
    /// A drained data centre or target gets no new work after 5 s.
    #[display("drain")]
    Drain,
    /// A leaving target gets no new work after 5 s.
    #[display("leaving")]
    Leaving,
    /// Each answer is whole and goes to the caller whose request it answers.
    #[display("whole-answers")]
    WholeAnswers,
    /// A request that ended as not run did not run.
    #[display("not-run")]
    NotRun,
    /// A key runs at most once.
    #[display("once")]
    Once,
    /// A planned stop cuts no request.
    #[display("planned-stop")]
    PlannedStop,
    /// An accepted configuration is in force everywhere within 17 s and never reverts.
    #[display("configuration")]
    Configuration,
    /// Every request gets one ending by its deadline.
    #[display("endings")]
    Endings,
    /// A request that crashes targets takes down a bounded number of them.
    #[display("quarantine")]
    Quarantine,
}

impl Promise {
    /// All promises, in order.
    pub const ALL: [Self; 13] = [
        Self::Gap,
        Self::NoStarvation,
        Self::Utilisation,
        Self::ColdLimit,
        Self::Drain,
        Self::Leaving,
        Self::WholeAnswers,
        Self::NotRun,
        Self::Once,
        Self::PlannedStop,
        Self::Configuration,
        Self::Endings,
        Self::Quarantine,
    ];
}
