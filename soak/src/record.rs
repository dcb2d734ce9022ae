//! The observations of callers and targets, and the faults that were injected.

use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

use crate::schedule::{Component, FaultKind, PlannedFault};

/// The kind of a route, which decides how its requests may be retried.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum RouteKind {
    /// May run any number of times.
    Safe,
    /// Runs at most once.
    AtMostOnce,
    /// A stream that runs at most once.
    Stream,
    /// A stream that another attempt may resume.
    Resumable,
}

impl RouteKind {
    /// Whether requests run at most once.
    pub fn is_at_most_once(self) -> bool {
        matches!(self, Self::AtMostOnce | Self::Stream)
    }

    /// Whether the response is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// How a request ended for its caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// A response, possibly incomplete.
    Response(Response),
    /// The connection closed before a response began.
    ConnectionClosed,
    /// No connection could be opened, or a reused one was closed before a response began.
    ConnectFailed,
    /// No complete response arrived within the caller's timeout.
    TimedOut,
    /// The caller cancelled the request.
    Cancelled,
}

/// A response as received by a caller.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Response {
    /// The HTTP status; 0 if it cannot be parsed.
    pub status: u16,
    /// The request id in the response headers.
    pub id: String,
    /// Whether it has the seal of a target.
    pub is_signed: bool,
    /// Whether it has a `retry-after` header.
    pub has_retry_after: bool,
    /// The part of the body that was received.
    pub body: String,
    /// Whether the body was received to its end.
    pub is_complete: bool,
}

impl Response {
    /// Whether the status guarantees that the request was not executed.
    pub fn guarantees_not_executed(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// A request of a caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Request {
    /// The request id.
    pub id: String,
    /// The kind of its route.
    pub route_kind: RouteKind,
    /// The script that the target runs, without its parameter.
    pub script: &'static str,
    /// Whether it uses the key that [`FaultKind::WithdrawKey`] revokes.
    pub uses_revocable_key: bool,
    /// The index of the router that it was sent to.
    pub router: usize,
    /// When the caller began to send it, or to open a connection for it.
    pub sent: Instant,
    /// When the outcome was known to the caller.
    pub ended: Instant,
    /// How it ended.
    pub outcome: Outcome,
}

/// A request as received by a target.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Attempt {
    /// The request id.
    pub id: String,
    /// The index of the target.
    pub target: usize,
    /// When the target read it.
    pub at: Instant,
    /// Whether the target executed it.
    pub executed: bool,
    /// The headers, with names in lower case.
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

/// A fault as it was injected.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct InjectedFault {
    /// The fault as scheduled.
    pub planned: PlannedFault,
    /// When its injection started. For a write to the store, this is just before the write.
    pub began: Instant,
    /// When it was fully reverted.
    pub ended: Instant,
}

/// The bounds that a run is checked against.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Bounds {
    /// The timeout of all routes.
    pub timeout: Duration,
    /// The time within which a revoked key stops working.
    pub revocation_limit: Duration,
    /// The time after which a draining target receives no further requests.
    pub drain_limit: Duration,
    /// The maximum duration of a planned stop.
    pub stop_limit: Duration,
    /// The time that routers may need after a fault to reach a steady state.
    pub settle_time: Duration,
    /// The allowed retries per request.
    pub retry_ratio: f64,
    /// The allowed retries in a window beyond that ratio.
    pub retry_slack: f64,
    /// The window in which retries are counted.
    pub retry_window: Duration,
    /// The maximum number of requests that a cold target may receive in one second.
    pub max_cold_arrivals: f64,
    /// How long a restarted target is cold.
    pub cold_duration: Duration,
}

/// The observations of one run.
#[derive(Clone, Debug)]
pub struct Record {
    /// The bounds to check against.
    pub bounds: Bounds,
    /// The number of targets.
    pub targets: usize,
    /// The requests that callers sent while faults were injected.
    pub requests: Vec<Request>,
    /// The requests that callers sent after recovery.
    pub recovery_requests: Vec<Request>,
    /// The requests that reached targets.
    pub attempts: Vec<Attempt>,
    /// When targets observed the cancellation of a request, by request id.
    pub cancellations: FxHashMap<String, Instant>,
    /// The injected faults.
    pub faults: Vec<InjectedFault>,
    /// The routers that exited without being stopped, and when this was observed.
    pub unexpected_exits: Vec<(usize, Instant)>,
    /// The duration of each planned stop, with the index of the router.
    pub stop_durations: Vec<(usize, Duration)>,
}

impl Record {
    /// The attempts of each request.
    pub fn attempts_by_id(&self) -> FxHashMap<&str, Vec<&Attempt>> {
        let mut by_id: FxHashMap<&str, Vec<&Attempt>> = FxHashMap::default();
        for attempt in &self.attempts {
            by_id.entry(&attempt.id).or_default().push(attempt);
        }
        by_id
    }

    /// Whether no fault other than a planned operation affected the store or this router in the
    /// interval or in the settle time before it.
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

    /// Whether [`Record::is_unaffected`] holds and no target was affected either.
    pub fn is_unaffected_with_targets(&self, router: usize, from: Instant, to: Instant) -> bool {
        let affects_target = |fault: &InjectedFault| {
            fault.planned.kind.component() == Component::Target
                && !fault.planned.kind.is_planned_operation()
        };
        self.is_unaffected(router, from, to) && self.no_fault_overlaps(from, to, affects_target)
    }

    /// Whether no fault other than a planned operation affected the store or any router.
    pub fn is_fleet_unaffected(&self, from: Instant, to: Instant) -> bool {
        self.no_fault_overlaps(from, to, |fault| {
            fault.planned.kind.component() != Component::Target
                && !fault.planned.kind.is_planned_operation()
        })
    }

    /// Whether a target was drained at this time, or returned from it so recently that
    /// routers may not know.
    pub fn is_drained(&self, target: usize, at: Instant) -> bool {
        let mut drains = self.faults_of_kind(FaultKind::DrainTarget);
        drains.any(|fault| {
            fault.planned.subject == target
                && fault.began <= at
                && at <= fault.ended + self.bounds.drain_limit
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

    /// The injected faults of one kind.
    pub fn faults_of_kind(&self, kind: FaultKind) -> impl Iterator<Item = &InjectedFault> {
        self.faults
            .iter()
            .filter(move |fault| fault.planned.kind == kind)
    }
}
