//! What callers and targets saw, and which faults there were.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

use crate::schedule::{Component, FaultKind, PlannedFault};

/// How the route of a request lets it be repeated.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum RouteKind {
    /// As often as needed.
    Safe,
    /// Once at most.
    AtMostOnce,
    /// A stream that runs once at most.
    Stream,
    /// A stream that another run may go on with.
    Resumable,
}

impl RouteKind {
    /// Whether it runs once at most.
    pub fn is_at_most_once(self) -> bool {
        matches!(self, Self::AtMostOnce | Self::Stream)
    }

    /// Whether its answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// What a caller got.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// An answer, perhaps without its end.
    Response(Response),
    /// The connection ended before an answer began.
    ConnectionClosed,
    /// No connection could be opened.
    ConnectFailed,
    /// Nothing came for as long as the caller waited.
    TimedOut,
    /// The caller left.
    Cancelled,
}

/// An answer.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The id that it states.
    pub id: String,
    /// Whether it bears a target's signature.
    pub is_signed: bool,
    /// Whether it states when to come back.
    pub has_retry_after: bool,
    /// The body, as far as it came.
    pub body: String,
    /// Whether the body came to its end.
    pub is_complete: bool,
}

impl Response {
    /// Whether its status promises that the request did not run.
    pub fn guarantees_not_executed(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// One request of a caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// How it may be repeated.
    pub route_kind: RouteKind,
    /// What the target is asked to do.
    pub script: &'static str,
    /// Whether it bears the key that is withdrawn at times.
    pub uses_revocable_key: bool,
    /// The router that it was sent to.
    pub router: usize,
    /// When its first byte was sent.
    pub sent: Instant,
    /// When the caller had all that it got.
    pub ended: Instant,
    /// What it got.
    pub outcome: Outcome,
}

/// One request at a target.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Attempt {
    /// The request's id.
    pub id: String,
    /// The target's number.
    pub target: usize,
    /// When it was read.
    pub at: Instant,
    /// Whether the target worked on it.
    pub executed: bool,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Attempt {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }
}

/// A fault as it was carried out.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct InjectedFault {
    /// What was planned.
    pub planned: PlannedFault,
    /// When it was in effect: for what is written to the store, when the store had it.
    pub began: Instant,
    /// When all was as before.
    pub ended: Instant,
}

/// The bounds that operators set in a play.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Bounds {
    /// The limit of all routes.
    pub timeout: Duration,
    /// The time in which a withdrawn key stops working.
    pub revocation_limit: Duration,
    /// The time after which a target that leaves gets nothing more.
    pub drain_limit: Duration,
    /// The time that a planned stop may take.
    pub stop_limit: Duration,
    /// How long routers may need to trust what they see after a fault.
    pub settle_time: Duration,
    /// Repeats per request.
    pub retry_ratio: f64,
    /// Repeats beyond that in a window.
    pub retry_slack: f64,
    /// The window in which repeats are counted.
    pub retry_window: Duration,
    /// Arrivals in one second that a cold target takes.
    pub max_cold_arrivals: f64,
    /// How long a target that comes back is cold.
    pub cold_duration: Duration,
}

/// All that was seen.
#[derive(Clone, Debug)]
pub struct Record {
    /// The bounds.
    pub bounds: Bounds,
    /// What callers sent under faults.
    pub requests: Vec<Request>,
    /// What callers sent when all was well again.
    pub recovery_requests: Vec<Request>,
    /// What reached targets.
    pub attempts: Vec<Attempt>,
    /// When targets noticed that the caller of a request had left.
    pub cancellations: FxHashMap<String, Instant>,
    /// The faults.
    pub faults: Vec<InjectedFault>,
    /// Routers that ended without being asked to, and when that was seen.
    pub unexpected_exits: Vec<(usize, Instant)>,
    /// How long each planned stop took.
    pub stop_durations: Vec<(usize, Duration)>,
}

impl Record {
    /// The runs of each request.
    pub fn attempts_by_id(&self) -> FxHashMap<&str, Vec<&Attempt>> {
        let mut by_id: FxHashMap<&str, Vec<&Attempt>> = FxHashMap::default();
        for attempt in &self.attempts {
            by_id.entry(&attempt.id).or_default().push(attempt);
        }
        by_id
    }

    /// Whether nothing unplanned touched the store or this router in the time
    /// between and in the settling time before it.
    pub fn is_unaffected(&self, router: usize, from: Instant, to: Instant) -> bool {
        let affects = |fault: &&InjectedFault| match fault.planned.kind.component() {
            Component::Store => true,
            Component::Router => fault.planned.subject == router,
            Component::Target => false,
        };
        self.no_fault_overlaps(from, to, |fault| {
            !fault.planned.kind.is_planned_operation() && affects(&fault)
        })
    }

    /// Whether, besides, no target was harmed.
    pub fn is_unaffected_with_targets(&self, router: usize, from: Instant, to: Instant) -> bool {
        let affects_target = |fault: &InjectedFault| {
            fault.planned.kind.component() == Component::Target
                && !fault.planned.kind.is_planned_operation()
        };
        self.is_unaffected(router, from, to) && self.no_fault_overlaps(from, to, affects_target)
    }

    /// Whether no router was harmed, besides what [`Record::is_unaffected`] asks for.
    pub fn is_fleet_unaffected(&self, from: Instant, to: Instant) -> bool {
        self.no_fault_overlaps(from, to, |fault| {
            fault.planned.kind.component() != Component::Target
                && !fault.planned.kind.is_planned_operation()
        })
    }

    fn no_fault_overlaps(
        &self,
        from: Instant,
        to: Instant,
        affects: impl Fn(&InjectedFault) -> bool,
    ) -> bool {
        let settle_time = self.bounds.settle_time;
        let overlaps =
            |fault: &InjectedFault| fault.began <= to && fault.ended + settle_time >= from;
        !self
            .faults
            .iter()
            .any(|fault| overlaps(fault) && affects(fault))
    }

    /// The faults of one kind.
    pub fn faults_of_kind(&self, kind: FaultKind) -> impl Iterator<Item = &InjectedFault> {
        self.faults
            .iter()
            .filter(move |fault| fault.planned.kind == kind)
    }
}
