//! Which faults come when.
//!
//! The text form has a line for each fault: the time of its beginning and its
//! length in milliseconds, its kind, and the number of the process that it hits.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, FromStr};
use eyre::{WrapErr, eyre};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The time without faults at the beginning.
const LEAD: Duration = Duration::from_millis(1_500);

/// The shortest and the longest fault, in milliseconds.
const SPANS: (u64, u64) = (300, 3_500);

/// The time between two faults of one process, in which it starts again.
const CLEAR: Duration = Duration::from_millis(1_500);

/// The longest time between the beginnings of two faults, in milliseconds; most
/// faults overlap the next one.
const GAP: u64 = 1_400;

/// What a fault does.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, FromStr)]
pub enum Kind {
    /// A router is suspended.
    PauseRouter,
    /// A router is killed, and started again.
    KillRouter,
    /// A router is asked to stop, and started again.
    StopRouter,
    /// A router's settings file changes, and it is told so.
    HangUpRouter,
    /// A router is cut off from the store.
    CutStore,
    /// The store turns calls away.
    BusyStore,
    /// The store does not answer.
    SilentStore,
    /// The store resets connections.
    ResetStore,
    /// The store forgets its history.
    CompactStore,
    /// The key of some callers is withdrawn, and given back.
    WithdrawKey,
    /// A new version of the configuration comes into force.
    NewConfig,
    /// Connections to a target are reset.
    ResetTarget,
    /// Connections to a target go silent for good.
    SilentTarget,
    /// Answers of a target do not arrive.
    OneWayTarget,
    /// Bytes to and from a target are delayed.
    SlowTarget,
    /// A target is gone without a word, and comes back cold in a new life.
    CrashTarget,
    /// A target says that it leaves, leaves, and comes back.
    DrainTarget,
}

/// What a kind of fault hits.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Subject {
    /// One router.
    Router,
    /// The store, and with it every router.
    Store,
    /// One target.
    Target,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 17] = [
        Self::PauseRouter,
        Self::KillRouter,
        Self::StopRouter,
        Self::HangUpRouter,
        Self::CutStore,
        Self::BusyStore,
        Self::SilentStore,
        Self::ResetStore,
        Self::CompactStore,
        Self::WithdrawKey,
        Self::NewConfig,
        Self::ResetTarget,
        Self::SilentTarget,
        Self::OneWayTarget,
        Self::SlowTarget,
        Self::CrashTarget,
        Self::DrainTarget,
    ];

    /// What it hits.
    pub fn subject(self) -> Subject {
        match self {
            Self::PauseRouter
            | Self::KillRouter
            | Self::StopRouter
            | Self::HangUpRouter
            | Self::CutStore => Subject::Router,
            Self::BusyStore
            | Self::SilentStore
            | Self::ResetStore
            | Self::CompactStore
            | Self::WithdrawKey
            | Self::NewConfig => Subject::Store,
            Self::ResetTarget
            | Self::SilentTarget
            | Self::OneWayTarget
            | Self::SlowTarget
            | Self::CrashTarget
            | Self::DrainTarget => Subject::Target,
        }
    }

    /// The shortest length, where what is asked for takes longer than others: the
    /// bound of a withdrawn key and requests to judge, the limit of a stop, the
    /// time of a drain.
    fn least_span(self) -> Duration {
        match self {
            Self::WithdrawKey => Duration::from_secs(7),
            Self::StopRouter => Duration::from_secs(9),
            Self::DrainTarget => Duration::from_secs(3),
            _ => Duration::ZERO,
        }
    }

    /// Whether it changes the same as another, of the same subject. What is written
    /// to the store is changed whether the store answers or not.
    fn hits_same(self, other: Self) -> bool {
        let is_written = |kind| matches!(kind, Self::WithdrawKey | Self::NewConfig);
        match (self.subject(), other.subject()) {
            (Subject::Store, Subject::Store) if is_written(self) || is_written(other) => {
                self == other
            }
            (own, others) => own == others,
        }
    }

    /// Whether it only asks for something that routers carry out without harm.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::StopRouter
                | Self::HangUpRouter
                | Self::WithdrawKey
                | Self::NewConfig
                | Self::DrainTarget
        )
    }
}

/// One fault.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
#[display("{} {} {kind} {subject}", at.as_millis(), span.as_millis())]
pub struct Step {
    /// When it begins, from the start of traffic.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// What it does.
    pub kind: Kind,
    /// Which router or target it hits; 0 for the store.
    pub subject: usize,
}

impl Step {
    /// When it ends, from the start of traffic.
    pub fn end(&self) -> Duration {
        self.at + self.span
    }
}

impl FromStr for Step {
    type Err = eyre::Report;

    fn from_str(line: &str) -> eyre::Result<Self> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [at, span, kind, subject] = words[..] else {
            return Err(eyre!("four words are expected: {line}"));
        };
        let millis = |word: &str| word.parse().map(Duration::from_millis);
        let kind: Kind = kind.parse().map_err(|_| eyre!("no such fault: {kind}"))?;
        Ok(Self {
            at: millis(at).wrap_err("time")?,
            span: millis(span).wrap_err("length")?,
            kind,
            subject: subject.parse().wrap_err("number")?,
        })
    }
}

/// The size of a fleet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Size {
    /// Routers.
    pub routers: usize,
    /// Targets.
    pub targets: usize,
    /// The time in which faults begin and end.
    pub length: Duration,
}

/// All faults of a play, in the order of their beginnings.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Schedule {
    /// The faults.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// The schedule of a seed.
    pub fn draw(seed: u64, size: Size) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut steps: Vec<Step> = Vec::new();
        let mut at = LEAD;
        while at < size.length {
            let kind = Kind::ALL[random.random_range(0..Kind::ALL.len())];
            let subject = match kind.subject() {
                Subject::Router => random.random_range(0..size.routers),
                Subject::Target => random.random_range(0..size.targets),
                Subject::Store => 0,
            };
            let span = Duration::from_millis(random.random_range(SPANS.0..=SPANS.1));
            let span = span.max(kind.least_span());
            let step = Step {
                at,
                span,
                kind,
                subject,
            };
            // Two faults of one process at once would undo each other's end.
            let overlaps = |other: &Step| {
                other.kind.hits_same(kind) && other.subject == subject && other.end() + CLEAR > at
            };
            if step.end() <= size.length && !steps.iter().any(overlaps) {
                steps.push(step);
            }
            at += Duration::from_millis(random.random_range(50..=GAP));
        }
        Self { steps }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.steps.iter().try_for_each(|step| writeln!(f, "{step}"))
    }
}

impl FromStr for Schedule {
    type Err = eyre::Report;

    /// Reads the text form; empty lines and those that begin with `#` are left out.
    fn from_str(text: &str) -> eyre::Result<Self> {
        let lines = text.lines().map(str::trim);
        let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
        let steps: eyre::Result<Vec<Step>> = lines.map(str::parse).collect();
        Ok(Self { steps: steps? })
    }
}
