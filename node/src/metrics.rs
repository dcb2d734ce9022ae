//! Metrics through `opentelemetry`, exported in the Prometheus text format.

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
    /// Creates an empty set of metrics.
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

/// What a control thread measures about itself.
#[derive(Clone, Debug)]
pub struct HostMetrics {
    sent: Counter<u64>,
    received: Counter<u64>,
    exchanges: Counter<u64>,
    rejected: Counter<u64>,
    revision: Gauge<u64>,
    members: Gauge<u64>,
    links: Gauge<u64>,
    last: HostSample,
}

/// Totals of a control thread at one point in time.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct HostSample {
    /// Bytes of control messages that were sent.
    pub sent: u64,
    /// Bytes of control messages that were received.
    pub received: u64,
    /// Exchanges that this process started.
    pub exchanges: u64,
    /// Messages that could not be read.
    pub rejected: u64,
    /// The revision in force.
    pub revision: u64,
    /// The members that are known.
    pub members: u64,
    /// The open control connections.
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
            last: HostSample::default(),
        }
    }

    /// Records the present totals.
    pub fn record(&mut self, sample: HostSample) {
        let last = std::mem::replace(&mut self.last, sample);
        self.sent.add(sample.sent - last.sent, &[]);
        self.received.add(sample.received - last.received, &[]);
        self.exchanges.add(sample.exchanges - last.exchanges, &[]);
        self.rejected.add(sample.rejected - last.rejected, &[]);
        self.revision.record(sample.revision, &[]);
        self.members.record(sample.members, &[]);
        self.links.record(sample.links, &[]);
    }
}

/// Counts how requests, or attempts on a target, ended.
#[derive(Clone, Debug)]
pub struct EndMetrics(Counter<u64>);

impl EndMetrics {
    /// Creates the counter `name`.
    pub fn new(meter: &Meter, name: &'static str) -> Self {
        Self(meter.u64_counter(name).build())
    }

    /// Counts one ending; `reason` is empty for an answer.
    pub fn count(&self, outcome: &'static str, reason: String) {
        let labels = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.0.add(1, &labels);
    }
}

/// The load of an agent's target, as it is at the last tick.
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

    /// Records the present slots.
    pub fn record(&self, load: Load) {
        self.window.record(load.window.into(), &[]);
        self.running.record(load.running.into(), &[]);
    }
}
