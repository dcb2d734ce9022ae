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
const INITIAL_DELAY: Duration = Duration::from_millis(1_500);

/// The shortest and the longest fault, in milliseconds.
const FAULT_MILLIS: (u64, u64) = (300, 3_500);

/// The time between two faults of one process, in which it starts again.
const MIN_RECOVERY: Duration = Duration::from_millis(1_500);

/// The longest time between the beginnings of two faults, in milliseconds; most
/// faults overlap the next one.
const MAX_START_INTERVAL_MILLIS: u64 = 1_400;

/// What a fault does.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, FromStr)]
pub enum FaultKind {
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
pub enum Component {
    /// One router.
    Router,
    /// The store, and with it every router.
    Store,
    /// One target.
    Target,
}

impl FaultKind {
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
    pub fn component(self) -> Component {
        match self {
            Self::PauseRouter
            | Self::KillRouter
            | Self::StopRouter
            | Self::HangUpRouter
            | Self::CutStore => Component::Router,
            Self::BusyStore
            | Self::SilentStore
            | Self::ResetStore
            | Self::CompactStore
            | Self::WithdrawKey
            | Self::NewConfig => Component::Store,
            Self::ResetTarget
            | Self::SilentTarget
            | Self::OneWayTarget
            | Self::SlowTarget
            | Self::CrashTarget
            | Self::DrainTarget => Component::Target,
        }
    }

    /// The shortest length, where what is asked for takes longer than others: the
    /// bound of a withdrawn key and requests to judge, the limit of a stop, the
    /// time of a drain.
    fn min_duration(self) -> Duration {
        match self {
            Self::WithdrawKey => Duration::from_secs(7),
            Self::StopRouter => Duration::from_secs(9),
            Self::DrainTarget => Duration::from_secs(3),
            _ => Duration::ZERO,
        }
    }

    /// Whether it changes the same as another, of the same subject. What is written
    /// to the store is changed whether the store answers or not.
    fn conflicts_with(self, other: Self) -> bool {
        let is_store_write = |kind| matches!(kind, Self::WithdrawKey | Self::NewConfig);
        match (self.component(), other.component()) {
            (Component::Store, Component::Store)
                if is_store_write(self) || is_store_write(other) =>
            {
                self == other
            }
            (left, right) => left == right,
        }
    }

    /// Whether it only asks for something that routers carry out without harm.
    pub fn is_planned_operation(self) -> bool {
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
pub struct PlannedFault {
    /// When it begins, from the start of traffic.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// What it does.
    pub kind: FaultKind,
    /// Which router or target it hits; 0 for the store.
    pub subject: usize,
}

impl PlannedFault {
    /// When it ends, from the start of traffic.
    pub fn end(&self) -> Duration {
        self.at + self.span
    }
}

impl FromStr for PlannedFault {
    type Err = eyre::Report;

    fn from_str(line: &str) -> eyre::Result<Self> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [at, span, kind, subject] = words[..] else {
            return Err(eyre!("four words are expected: {line}"));
        };
        let millis = |word: &str| word.parse().map(Duration::from_millis);
        let kind: FaultKind = kind.parse().map_err(|_| eyre!("no such fault: {kind}"))?;
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
pub struct FleetSize {
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
    pub faults: Vec<PlannedFault>,
}

impl Schedule {
    /// The schedule of a seed.
    pub fn generate(seed: u64, size: FleetSize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut faults: Vec<PlannedFault> = Vec::new();
        let mut at = INITIAL_DELAY;
        while at < size.length {
            let kind = FaultKind::ALL[random.random_range(0..FaultKind::ALL.len())];
            let subject = match kind.component() {
                Component::Router => random.random_range(0..size.routers),
                Component::Target => random.random_range(0..size.targets),
                Component::Store => 0,
            };
            let span = Duration::from_millis(random.random_range(FAULT_MILLIS.0..=FAULT_MILLIS.1));
            let span = span.max(kind.min_duration());
            let planned = PlannedFault {
                at,
                span,
                kind,
                subject,
            };
            // Two faults of one process at once would undo each other's end.
            let overlaps = |other: &PlannedFault| {
                other.kind.conflicts_with(kind)
                    && other.subject == subject
                    && other.end() + MIN_RECOVERY > at
            };
            if planned.end() <= size.length && !faults.iter().any(overlaps) {
                faults.push(planned);
            }
            at += Duration::from_millis(random.random_range(50..=MAX_START_INTERVAL_MILLIS));
        }
        Self { faults }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.faults
            .iter()
            .try_for_each(|planned| writeln!(f, "{planned}"))
    }
}

impl FromStr for Schedule {
    type Err = eyre::Report;

    /// Reads the text form; empty lines and those that begin with `#` are left out.
    fn from_str(text: &str) -> eyre::Result<Self> {
        let lines = text.lines().map(str::trim);
        let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
        let faults: eyre::Result<Vec<PlannedFault>> = lines.map(str::parse).collect();
        Ok(Self { faults: faults? })
    }
}
