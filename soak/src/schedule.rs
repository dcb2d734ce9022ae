//! Fault schedules.
//!
//! The text form has one line per fault: its start time and duration in milliseconds,
//! its kind, and the index of the affected process.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, FromStr};
use eyre::{WrapErr, eyre};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The time before the first fault.
const INITIAL_DELAY: Duration = Duration::from_millis(1_500);

/// The minimum and maximum duration of a fault, in milliseconds.
const FAULT_MILLIS: (u64, u64) = (300, 3_500);

/// The minimum time between two faults of one process, in which it can restart.
const MIN_RECOVERY: Duration = Duration::from_millis(1_500);

/// The maximum time between the starts of two faults, in milliseconds. Shorter than most
/// faults, so that most overlap the next one.
const MAX_START_INTERVAL_MILLIS: u64 = 1_400;

/// The kind of a fault.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, FromStr)]
pub enum FaultKind {
    /// A router is suspended.
    PauseRouter,
    /// A router is killed and restarted.
    KillRouter,
    /// A router is asked to stop and is restarted.
    StopRouter,
    /// A router's settings file is rewritten and the router gets a hangup signal.
    HangUpRouter,
    /// The connection between a router and the store drops all data.
    CutStore,
    /// The store rejects requests as busy.
    BusyStore,
    /// The store does not answer.
    SilentStore,
    /// The store resets connections.
    ResetStore,
    /// The store compacts its history.
    CompactStore,
    /// The key of some callers is revoked and restored.
    WithdrawKey,
    /// A new version of the configuration is published.
    NewConfig,
    /// Connections to a target are reset.
    ResetTarget,
    /// Connections to a target drop all data and do not recover.
    SilentTarget,
    /// Responses of a target are dropped.
    OneWayTarget,
    /// Bytes to and from a target are delayed.
    SlowTarget,
    /// A target fails without notice and returns cold in a new incarnation.
    CrashTarget,
    /// A target announces a drain, deregisters and returns.
    DrainTarget,
}

/// The component that a kind of fault affects.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Component {
    /// One router.
    Router,
    /// The store and, through it, every router.
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

    /// The component that it affects.
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

    /// The minimum duration, for kinds that take longer than others: the revocation bound plus
    /// time for requests to check, the limit of a stop, the time of a drain.
    fn min_duration(self) -> Duration {
        match self {
            Self::WithdrawKey => Duration::from_secs(7),
            Self::StopRouter => Duration::from_secs(9),
            Self::DrainTarget => Duration::from_secs(3),
            _ => Duration::ZERO,
        }
    }

    /// Whether it changes the same state as `other` if both have the same subject. Writes to the
    /// store conflict only with their own kind, because they take effect whether or not the
    /// store answers.
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

    /// Whether it is an operation that routers must handle without losing requests.
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

/// A scheduled fault.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
#[display("{} {} {kind} {subject}", at.as_millis(), span.as_millis())]
pub struct PlannedFault {
    /// When it starts, relative to the start of traffic.
    pub at: Duration,
    /// Its duration.
    pub span: Duration,
    /// Its kind.
    pub kind: FaultKind,
    /// The index of the affected router or target; 0 for the store.
    pub subject: usize,
}

impl PlannedFault {
    /// When it ends, relative to the start of traffic.
    pub fn end(&self) -> Duration {
        self.at + self.span
    }
}

impl FromStr for PlannedFault {
    type Err = eyre::Report;

    fn from_str(line: &str) -> eyre::Result<Self> {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [at, span, kind, subject] = fields[..] else {
            return Err(eyre!(
                "expected start time, duration, kind and index: {line}"
            ));
        };
        let millis = |field: &str| field.parse().map(Duration::from_millis);
        let kind: FaultKind = kind
            .parse()
            .map_err(|_| eyre!("unknown kind of fault: {kind}"))?;
        Ok(Self {
            at: millis(at).wrap_err("invalid start time")?,
            span: millis(span).wrap_err("invalid duration")?,
            kind,
            subject: subject.parse().wrap_err("invalid index")?,
        })
    }
}

/// The size of a fleet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FleetSize {
    /// The number of routers.
    pub routers: usize,
    /// The number of targets.
    pub targets: usize,
    /// The time within which all faults start and end.
    pub length: Duration,
}

/// The faults of a run, in the order of their start times.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Schedule {
    /// The scheduled faults.
    pub faults: Vec<PlannedFault>,
}

impl Schedule {
    /// Generates the schedule of a seed.
    pub fn generate(seed: u64, size: FleetSize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults: Vec<PlannedFault> = Vec::new();
        let mut at = INITIAL_DELAY;
        while at < size.length {
            let kind = FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len())];
            let subject = match kind.component() {
                Component::Router => rng.random_range(0..size.routers),
                Component::Target => rng.random_range(0..size.targets),
                Component::Store => 0,
            };
            let span = Duration::from_millis(rng.random_range(FAULT_MILLIS.0..=FAULT_MILLIS.1));
            let span = span.max(kind.min_duration());
            let planned = PlannedFault {
                at,
                span,
                kind,
                subject,
            };
            // Overlapping faults of one process would revert each other.
            let overlaps = |other: &PlannedFault| {
                other.kind.conflicts_with(kind)
                    && other.subject == subject
                    && other.end() + MIN_RECOVERY > at
            };
            if planned.end() <= size.length && !faults.iter().any(overlaps) {
                faults.push(planned);
            }
            at += Duration::from_millis(rng.random_range(50..=MAX_START_INTERVAL_MILLIS));
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

    /// Parses the text form; empty lines and lines that start with `#` are ignored.
    fn from_str(text: &str) -> eyre::Result<Self> {
        let lines = text.lines().map(str::trim);
        let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
        let faults: eyre::Result<Vec<PlannedFault>> = lines.map(str::parse).collect();
        Ok(Self { faults: faults? })
    }
}
