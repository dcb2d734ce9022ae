//! Metrics, collected with `opentelemetry` and exported in the Prometheus text format.

use eyre::WrapErr;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use policy::message::Load;
use prometheus::{Registry, TextEncoder};

/// The metrics of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates an empty registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be built.
    pub fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .wrap_err("cannot build the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// The meter that creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("knapweed")
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

/// Metrics of a control thread.
#[derive(Clone, Debug)]
pub struct HostMetrics {
    sent: Counter<u64>,
    received: Counter<u64>,
    exchanges: Counter<u64>,
    rejected: Counter<u64>,
    revision: Gauge<u64>,
    members: Gauge<u64>,
    links: Gauge<u64>,
    previous: HostSample,
}

/// Totals of a control thread at one point in time.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct HostSample {
    /// Bytes of control messages sent.
    pub sent: u64,
    /// Bytes of control messages received.
    pub received: u64,
    /// Exchanges initiated by this process.
    pub exchanges: u64,
    /// Messages that could not be decoded.
    pub rejected: u64,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Number of known fleet members.
    pub members: u64,
    /// Number of open control connections.
    pub links: u64,
}

impl HostMetrics {
    /// Creates the instruments.
    pub fn new(meter: &Meter) -> Self {
        Self {
            sent: meter.u64_counter("knapweed_control_bytes_sent").build(),
            received: meter.u64_counter("knapweed_control_bytes_received").build(),
            exchanges: meter.u64_counter("knapweed_control_exchanges").build(),
            rejected: meter.u64_counter("knapweed_control_rejected").build(),
            revision: meter.u64_gauge("knapweed_revision").build(),
            members: meter.u64_gauge("knapweed_members").build(),
            links: meter.u64_gauge("knapweed_control_links").build(),
            previous: HostSample::default(),
        }
    }

    /// Records the current totals.
    pub fn record(&mut self, sample: HostSample) {
        let previous = std::mem::replace(&mut self.previous, sample);
        self.sent.add(sample.sent - previous.sent, &[]);
        self.received.add(sample.received - previous.received, &[]);
        self.exchanges
            .add(sample.exchanges - previous.exchanges, &[]);
        self.rejected.add(sample.rejected - previous.rejected, &[]);
        self.revision.record(sample.revision, &[]);
        self.members.record(sample.members, &[]);
        self.links.record(sample.links, &[]);
    }
}

/// Counts requests, or attempts on a target, by outcome.
#[derive(Clone, Debug)]
pub struct OutcomeMetrics(Counter<u64>);

impl OutcomeMetrics {
    /// Creates the counter `name`.
    pub fn new(meter: &Meter, name: &'static str) -> Self {
        Self(meter.u64_counter(name).build())
    }

    /// Counts one outcome; `reason` is empty if it is an answer.
    pub fn count(&self, outcome: &'static str, reason: String) {
        let labels = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.0.add(1, &labels);
    }
}

/// The load of an agent's target at the last tick.
#[derive(Clone, Debug)]
pub struct SlotMetrics {
    window: Gauge<u64>,
    running: Gauge<u64>,
}

impl SlotMetrics {
    /// Creates the instruments.
    pub fn new(meter: &Meter) -> Self {
        Self {
            window: meter.u64_gauge("knapweed_slots_window").build(),
            running: meter.u64_gauge("knapweed_slots_running").build(),
        }
    }

    /// Records the current slots.
    pub fn record(&self, load: Load) {
        self.window.record(load.window.into(), &[]);
        self.running.record(load.running.into(), &[]);
    }
}
