//! Counters and histograms of the traffic thread and of the exchange among routers.

use std::cell::Cell;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

use policy::direct::kept_watch::Call;
use policy::direct::operator_entries::AskOutcome;

use crate::target::BodyFraming;

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 10.0,
];

/// What an overloaded router turns away.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Rejection {
    /// A connection whose request is not parsed.
    Connection,
    /// A request whose team is not looked up.
    Request,
    /// A request beyond the limit on requests in progress.
    Limit,
}

impl Rejection {
    fn label(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Request => "request",
            Self::Limit => "limit",
        }
    }
}

/// The instruments of the traffic thread.
#[derive(Debug)]
pub(crate) struct TrafficMetrics {
    requests: Counter<u64>,
    shed_connections: Counter<u64>,
    rejections: Counter<u64>,
    held_requests: Counter<u64>,
    excess_requests: Counter<u64>,
    rotation_decisions: Counter<u64>,
    attempts: Counter<u64>,
    first_event: Histogram<f64>,
    full_response: Histogram<f64>,
    connections: Counter<u64>,
    body_ends: Counter<u64>,
    stream_origins: Counter<u64>,
    stream_placements: Counter<u64>,
    rate_changes: Counter<u64>,
    leaving_targets: Counter<u64>,
    pauses: Counter<u64>,
    limits: Counter<u64>,
    incarnations: Counter<u64>,
    full_targets: Counter<u64>,
    evicted_parts: Counter<u64>,
    part_verdicts: Counter<u64>,
    reported_connections: Cell<u64>,
}

impl TrafficMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let histogram = |name| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS_SECONDS.to_vec())
                .build()
        };
        Self {
            requests: meter.u64_counter("knapweed_edge_requests").build(),
            attempts: meter.u64_counter("knapweed_edge_attempts").build(),
            first_event: histogram("knapweed_edge_first_event"),
            full_response: histogram("knapweed_edge_whole_answer"),
            shed_connections: meter.u64_counter("knapweed_edge_shed_connections").build(),
            rejections: meter.u64_counter("knapweed_edge_rejections").build(),
            held_requests: meter.u64_counter("knapweed_edge_held_requests").build(),
            excess_requests: meter.u64_counter("knapweed_edge_excess_requests").build(),
            rotation_decisions: meter
                .u64_counter("knapweed_edge_rotation_decisions")
                .build(),
            connections: meter
                .u64_counter("knapweed_edge_target_connections")
                .build(),
            full_targets: meter.u64_counter("knapweed_edge_full_targets").build(),
            pauses: meter.u64_counter("knapweed_edge_target_pauses").build(),
            limits: meter.u64_counter("knapweed_edge_target_limits").build(),
            incarnations: meter
                .u64_counter("knapweed_edge_target_incarnations")
                .build(),
            rate_changes: meter
                .u64_counter("knapweed_edge_target_rate_changes")
                .build(),
            evicted_parts: meter.u64_counter("knapweed_edge_evicted_parts").build(),
            part_verdicts: meter.u64_counter("knapweed_edge_part_verdicts").build(),
            leaving_targets: meter.u64_counter("knapweed_edge_leaving_targets").build(),
            stream_origins: meter.u64_counter("knapweed_edge_stream_origins").build(),
            stream_placements: meter.u64_counter("knapweed_edge_stream_placements").build(),
            body_ends: meter.u64_counter("knapweed_edge_body_ends").build(),
            reported_connections: Cell::new(0),
        }
    }

    /// Records a completed request.
    pub(crate) fn record_request(
        &self,
        kind: &'static str,
        outcome: &'static str,
        elapsed: Duration,
    ) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
        self.full_response.record(elapsed.as_secs_f64(), &labels);
    }

    /// Counts what was turned away by load shedding.
    pub(crate) fn record_rejection(&self, rejection: Rejection) {
        if rejection == Rejection::Connection {
            self.shed_connections.add(1, &[]);
        }
        self.rejections
            .add(1, &[KeyValue::new("what", rejection.label())]);
    }

    /// Counts a request that was sent although its team is beyond its share.
    pub(crate) fn record_excess(&self) {
        self.excess_requests.add(1, &[]);
    }

    /// Counts a request held because another team is left behind.
    pub(crate) fn record_held(&self) {
        self.held_requests.add(1, &[]);
    }

    /// Counts a decision on whether this router is in rotation.
    pub(crate) fn record_rotation(&self, decision: &'static str) {
        self.rotation_decisions
            .add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Counts an attempt by its result.
    pub(crate) fn record_attempt(&self, result: &'static str) {
        self.attempts.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records the time to the first byte of a response.
    pub(crate) fn record_first_event(&self, kind: &'static str, elapsed: Duration) {
        self.first_event
            .record(elapsed.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }

    /// Counts the end of a body by its framing and by whether it was inside an event.
    pub(crate) fn record_body_end(&self, framing: BodyFraming, is_inside_event: bool) {
        let labels = [
            KeyValue::new("framing", framing.to_string()),
            KeyValue::new("inside_event", is_inside_event),
        ];
        self.body_ends.add(1, &labels);
    }

    /// Counts a stream that was sent to a target or refused, and why; `is_taken_up` tells
    /// whether its caller has events of it already.
    pub(crate) fn record_stream_placement(&self, is_taken_up: bool, result: &'static str) {
        let stream = if is_taken_up { "taken-up" } else { "new" };
        let labels = [
            KeyValue::new("stream", stream),
            KeyValue::new("result", result),
        ];
        self.stream_placements.add(1, &labels);
    }

    /// Counts a stream that a caller takes up by how its version became known.
    pub(crate) fn record_stream_origin(&self, origin: &'static str) {
        self.stream_origins
            .add(1, &[KeyValue::new("origin", origin)]);
    }

    /// Counts a request that a target turned away since all its slots were in use.
    pub(crate) fn record_full_target(&self) {
        self.full_targets.add(1, &[]);
    }

    /// Counts a target that said that it is leaving, to this router or to a peer.
    pub(crate) fn record_leaving(&self, from: &'static str) {
        self.leaving_targets.add(1, &[KeyValue::new("from", from)]);
    }

    /// Counts a target whose learned rate reached another level.
    pub(crate) fn record_rate_change(&self) {
        self.rate_changes.add(1, &[]);
    }

    /// Counts a response in which a target asked for a pause.
    pub(crate) fn record_pause(&self) {
        self.pauses.add(1, &[]);
    }

    /// Counts a change of a limit that a target names, to this router or to a peer.
    pub(crate) fn record_limit(&self, change: &'static str, from: &'static str) {
        let labels = [KeyValue::new("change", change), KeyValue::new("from", from)];
        self.limits.add(1, &labels);
    }

    /// Counts targets that may have started again, or have not.
    pub(crate) fn record_incarnation(&self, change: &'static str, by: &str) {
        let labels = [
            KeyValue::new("change", change),
            KeyValue::new("by", by.to_owned()),
        ];
        self.incarnations.add(1, &labels);
    }

    /// Counts prompt parts that are rejected, or are accepted again.
    pub(crate) fn record_part_verdict(&self, is_rejected: bool) {
        let verdict = if is_rejected { "rejected" } else { "cleared" };
        self.part_verdicts
            .add(1, &[KeyValue::new("verdict", verdict)]);
    }

    /// Counts targets that had evicted parts which they were expected to keep.
    pub(crate) fn record_evicted_parts(&self, count: u64) {
        self.evicted_parts.add(count, &[]);
    }

    /// Updates the counter of connections to targets from the number opened so far.
    pub(crate) fn record_connections(&self, opened: u64) {
        self.connections
            .add(opened - self.reported_connections.replace(opened), &[]);
    }
}

/// The instruments of the exchange with the other routers.
#[derive(Debug)]
pub(crate) struct ExchangeMetrics {
    sent_bytes: Counter<u64>,
    received_bytes: Counter<u64>,
    sent: Counter<u64>,
    ignored: Counter<u64>,
}

impl ExchangeMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        Self {
            sent_bytes: meter.u64_counter("knapweed_edge_peer_sent_bytes").build(),
            received_bytes: meter
                .u64_counter("knapweed_edge_peer_received_bytes")
                .build(),
            sent: meter.u64_counter("knapweed_edge_peer_datagrams").build(),
            ignored: meter.u64_counter("knapweed_edge_ignored_datagrams").build(),
        }
    }

    /// Counts a datagram sent to a router.
    pub(crate) fn record_sent(&self, bytes: usize) {
        self.sent.add(1, &[]);
        self.sent_bytes.add(bytes as u64, &[]);
    }

    /// Counts the bytes of a received datagram.
    pub(crate) fn record_received(&self, bytes: usize) {
        self.received_bytes.add(bytes as u64, &[]);
    }

    /// Counts a received datagram that was ignored.
    pub(crate) fn record_ignored(&self, reason: &str) {
        self.ignored
            .add(1, &[KeyValue::new("reason", reason.to_owned())]);
    }
}

/// The instruments of what is known of prompt parts that targets keep.
#[derive(Debug)]
pub(crate) struct KeptMetrics {
    calls: Counter<u64>,
    rows: Counter<u64>,
}

impl KeptMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        Self {
            calls: meter.u64_counter("knapweed_edge_kept_calls").build(),
            rows: meter.u64_counter("knapweed_edge_kept_rows").build(),
        }
    }

    /// Counts a call to a target by its result.
    pub(crate) fn record_call(&self, call: Call, result: &'static str) {
        let call = match call {
            Call::Events { .. } => "events",
            Call::List => "list",
        };
        let labels = [KeyValue::new("call", call), KeyValue::new("result", result)];
        self.calls.add(1, &labels);
    }

    /// Counts rows by where they come from.
    pub(crate) fn record_rows(&self, from: &'static str, count: usize) {
        self.rows.add(count as u64, &[KeyValue::new("from", from)]);
    }
}

/// The instruments of the store's reader.
#[derive(Debug)]
pub(crate) struct EntriesMetrics {
    asked: Counter<u64>,
}

impl EntriesMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        Self {
            asked: meter.u64_counter("knapweed_edge_entries_asked").build(),
        }
    }

    /// Counts a question to a peer for the operators' entries.
    pub(crate) fn record_asked(&self, outcome: AskOutcome) {
        let label = KeyValue::new("outcome", outcome.to_string());
        self.asked.add(1, &[label]);
    }
}
