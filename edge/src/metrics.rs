//! Counters and histograms of the traffic thread.

use std::cell::Cell;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

/// Bounds of latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 10.0,
];

/// The instruments of the traffic thread.
#[derive(Debug)]
pub(crate) struct TrafficMetrics {
    requests: Counter<u64>,
    shed: Counter<u64>,
    attempts: Counter<u64>,
    first: Histogram<f64>,
    whole: Histogram<f64>,
    connections: Counter<u64>,
    counted: Cell<u64>,
}

impl TrafficMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let histogram = |name| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build()
        };
        Self {
            requests: meter.u64_counter("knapweed_edge_requests").build(),
            attempts: meter.u64_counter("knapweed_edge_attempts").build(),
            first: histogram("knapweed_edge_first_event"),
            whole: histogram("knapweed_edge_whole_answer"),
            shed: meter.u64_counter("knapweed_edge_shed_connections").build(),
            connections: meter
                .u64_counter("knapweed_edge_target_connections")
                .build(),
            counted: Cell::new(0),
        }
    }

    /// Counts a request that ended.
    pub(crate) fn ended(&self, kind: &'static str, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
        self.whole.record(took.as_secs_f64(), &labels);
    }

    /// Counts a connection that was turned away.
    pub(crate) fn shed(&self) {
        self.shed.add(1, &[]);
    }

    /// Counts an attempt by what its target answered.
    pub(crate) fn attempt(&self, result: &'static str) {
        self.attempts.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records the time to the first byte of an answer.
    pub(crate) fn first(&self, kind: &'static str, took: Duration) {
        self.first
            .record(took.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }

    /// Records how many connections to targets were opened so far.
    pub(crate) fn opened(&self, total: u64) {
        self.connections
            .add(total - self.counted.replace(total), &[]);
    }
}
