//! Settings of an edge router.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Section, Settings, check_distinct_addresses, value};

/// The settings of `knapweed-edge`.
#[derive(Clone, PartialEq, Debug)]
pub struct EdgeSettings {
    /// The name, unique in the fleet.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Address for datagrams from peers; all routers use the same port.
    pub control: SocketAddr,
    /// Listen address for operators and the load balancer's health check.
    pub operators: SocketAddr,
    /// Listen address for metrics, if other than `operators`.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of some other routers; any port is accepted.
    pub peers: Vec<SocketAddr>,
    /// Time limit that the platform sets for a planned stop.
    pub stop_limit: Duration,
    /// Number of file descriptors available to the process.
    pub descriptors: usize,
    /// Limits set by operators.
    pub bounds: EdgeBounds,
    /// Performance parameters of the engines.
    pub engine: EngineSettings,
    /// Decisions under load that operators turn on.
    pub routing: RoutingSettings,
}

/// Limits that operators set for all routers together.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct EdgeBounds {
    /// Time within which a revoked key stops working; `None` if there is no bound.
    pub revoke: Option<Duration>,
    /// Time after which a leaving target receives no more requests.
    pub drain: Duration,
    /// Time within which a configuration comes into force.
    pub config: Duration,
    /// Number of retries allowed per request.
    pub retry_ratio: f64,
    /// Number of retries allowed beyond the ratio, over all routers.
    pub retry_slack: f64,
    /// Time window over which retries are counted.
    pub retry_window: Duration,
    /// Request rate to a cold target, as a multiple of the rate per second that it advertises.
    pub cold_over: f64,
    /// Number of requests allowed beyond that rate.
    pub cold_slack: f64,
}

/// Performance parameters of the engines.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct EngineSettings {
    /// Prompt tokens that an engine processes per millisecond while streams are running.
    pub read_rate: f64,
    /// Fraction of the latency objective that work may spend waiting at a target.
    pub wait_share: f64,
    /// Cost of processing a token again, relative to processing it once.
    pub reread: f64,
    /// Strength with which request kinds with a longer latency objective yield to others.
    pub yielding: f64,
}

/// Decisions under load that operators turn on; all are off by default.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct RoutingSettings {
    /// Whether the rate of each target is learned and shared.
    pub target_rates: bool,
    /// Whether routers share which prompt parts targets keep, and weigh what that saves.
    pub kept_parts: bool,
    /// Whether teams beyond their share may use targets that would be idle.
    pub spare_capacity: bool,
    /// Whether targets without an engine are selected by the wait for their slots.
    pub slot_counts: bool,
}

impl Settings for RoutingSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let target_rates = section.value_or("target_rates", false, value::boolean);
        let kept_parts = section.value_or("kept_parts", false, value::boolean);
        let spare_capacity = section.value_or("spare_capacity", false, value::boolean);
        let slot_counts = section.value_or("slot_counts", false, value::boolean);
        Some(Self {
            target_rates: target_rates?,
            kept_parts: kept_parts?,
            spare_capacity: spare_capacity?,
            slot_counts: slot_counts?,
        })
    }
}

impl Settings for EdgeSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let name = section.require("name", value::name);
        let data_centre = section.require("data_centre", value::name);
        let listen = section.require("listen", value::address);
        let control = section.require("control", value::advertised_address);
        let operators = section.require("operators", value::address);
        let metrics = section.value_or("metrics", None, |node| value::address(node).map(Some));
        let store = section.require("store", value::advertised_address);
        let peers = section.value_or("peers", Vec::new(), value::peers);
        let stop_limit = section.value_or("stop_limit", Duration::from_secs(60), value::duration);
        let descriptors = section.value_or("descriptors", 4_096, value::count);
        let bounds = section.section("bounds");
        let engine = section.section("engine");
        let routing = section.section("routing");
        let listeners = [
            ("listen", listen),
            ("operators", operators),
            ("metrics", metrics.flatten()),
            ("control", control),
        ];
        check_distinct_addresses(section, &listeners);
        Some(Self {
            name: name?,
            data_centre: data_centre?,
            listen: listen?,
            control: control?,
            operators: operators?,
            metrics: metrics?,
            store: store?,
            peers: peers?,
            stop_limit: stop_limit?,
            descriptors: descriptors?,
            bounds: bounds?,
            engine: engine?,
            routing: routing?,
        })
    }
}

impl Settings for EdgeBounds {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let revoke = section.value_or("revoke", None, |node| value::duration(node).map(Some));
        let drain = section.value_or("drain", Duration::from_secs(2), value::duration);
        let config = section.value_or("config", Duration::from_secs(2), value::duration);
        let retry_ratio = section.value_or("retry_ratio", 0.2, value::non_negative);
        let retry_slack = section.value_or("retry_slack", 20.0, value::non_negative);
        let retry_window =
            section.value_or("retry_window", Duration::from_secs(10), value::duration);
        let cold_over = section.value_or("cold_over", 1.0, value::non_negative);
        let cold_slack = section.value_or("cold_slack", 0.0, value::non_negative);
        Some(Self {
            revoke: revoke?,
            drain: drain?,
            config: config?,
            retry_ratio: retry_ratio?,
            retry_slack: retry_slack?,
            retry_window: retry_window?,
            cold_over: cold_over?,
            cold_slack: cold_slack?,
        })
    }
}

impl Settings for EngineSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let read_rate = section.value_or("read_rate", 50.0, value::non_negative);
        let wait_share = section.value_or("wait_share", 0.75, value::non_negative);
        let yielding = section.value_or("yielding", 1.0, value::non_negative);
        let reread = section.value_or("reread", 4.0, value::non_negative);
        Some(Self {
            read_rate: read_rate?,
            wait_share: wait_share?,
            reread: reread?,
            yielding: yielding?,
        })
    }
}
