//! The guarantees that a scenario can check.

use derive_more::Display;

/// A guarantee to users of the system.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Display)]
pub enum Promise {
    /// The service gap between any two backlogged teams stays within its bound.
    #[display("gap")]
    Gap,
    /// No backlogged team waits longer than its bound for the next start.
    #[display("no-starvation")]
    NoStarvation,
    /// Below 1 % of slot time is idle while work waits.
    #[display("utilisation")]
    Utilisation,
    /// No target is given more attempts than it can run.
    #[display("cold-limit")]
    ColdLimit,
    /// A drained data centre or target gets no new work after 5 s.
    #[display("drain")]
    Drain,
    /// A leaving target gets no new work after 5 s.
    #[display("leaving")]
    Leaving,
    /// Every answer is complete and reaches the caller that sent the request.
    #[display("whole-answers")]
    WholeAnswers,
    /// A request that ended as not run did not run.
    #[display("not-run")]
    NotRun,
    /// A request with an idempotency key runs at most once.
    #[display("once")]
    Once,
    /// A planned stop interrupts no request.
    #[display("planned-stop")]
    PlannedStop,
    /// An accepted configuration is in force everywhere within 17 s and never reverts.
    #[display("configuration")]
    Configuration,
    /// Every request ends exactly once, by its deadline.
    #[display("endings")]
    Endings,
    /// A crash request takes down a bounded number of targets.
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
