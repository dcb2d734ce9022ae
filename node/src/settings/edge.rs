//! Settings of an edge router.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Section, Settings, distinct, value};

/// The settings of `knapweed-edge`.
#[derive(Clone, PartialEq, Debug)]
pub struct EdgeSettings {
    /// The name; unique in the fleet.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where peers send datagrams; all routers use the same port.
    pub control: SocketAddr,
    /// Where operators and the balancer's health check connect.
    pub operators: SocketAddr,
    /// Where metrics are read, if not at `operators`.
    pub metrics: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Addresses of some other routers, with any port.
    pub peers: Vec<SocketAddr>,
    /// The time that the platform gives a planned stop.
    pub stop_limit: Duration,
    /// File descriptors that the process may use.
    pub descriptors: usize,
    /// Bounds that operators set.
    pub bounds: EdgeBounds,
    /// What is known of the engines.
    pub engine: EngineSettings,
}

/// Bounds that operators set for all routers together.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct EdgeBounds {
    /// The time within which a withdrawn key stops working; none if it may lag.
    pub revoke: Option<Duration>,
    /// The time after which a target that leaves gets nothing more.
    pub drain: Duration,
    /// The time within which a configuration is in force.
    pub config: Duration,
    /// Repeats per request.
    pub retry_ratio: f64,
    /// Repeats beyond the ratio, over all routers.
    pub retry_slack: usize,
    /// The window in which repeats are counted.
    pub retry_window: Duration,
    /// What a cold target gets in a second, as a multiple of the rate that it states.
    pub cold_over: f64,
    /// Arrivals beyond that.
    pub cold_slack: f64,
}

/// What is known of the engines.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct EngineSettings {
    /// Tokens that an engine reads per millisecond beside running streams.
    pub read_rate: f64,
    /// The share of an objective up to which work may wait at a target.
    pub wait_share: f64,
    /// The cost of reading a token again, relative to reading it once.
    pub reread: f64,
    /// How strongly kinds of requests with a longer objective yield to others.
    pub yielding: f64,
}

impl Settings for EdgeSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let name = section.require("name", value::name);
        let data_centre = section.require("data_centre", value::name);
        let listen = section.require("listen", value::address);
        let control = section.require("control", value::reachable);
        let operators = section.require("operators", value::address);
        let has_metrics = section.value("metrics", None, |node| value::address(node).map(Some));
        let store = section.require("store", value::reachable);
        let peers = section.value("peers", Vec::new(), value::peers);
        let stop_limit = section.value("stop_limit", Duration::from_secs(60), value::time);
        let descriptors = section.value("descriptors", 4_096, value::count);
        let bounds = section.section("bounds");
        let engine = section.section("engine");
        distinct(section, &[("listen", listen), ("operators", operators)]);
        Some(Self {
            name: name?,
            data_centre: data_centre?,
            listen: listen?,
            control: control?,
            operators: operators?,
            metrics: has_metrics?,
            store: store?,
            peers: peers?,
            stop_limit: stop_limit?,
            descriptors: descriptors?,
            bounds: bounds?,
            engine: engine?,
        })
    }
}

impl Settings for EdgeBounds {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let revoke = section.value("revoke", None, |node| value::time(node).map(Some));
        let drain = section.value("drain", Duration::from_secs(2), value::time);
        let config = section.value("config", Duration::from_secs(2), value::time);
        let retry_ratio = section.value("retry_ratio", 0.2, value::number);
        let retry_slack = section.value("retry_slack", 20, value::count);
        let retry_window = section.value("retry_window", Duration::from_secs(10), value::time);
        let cold_over = section.value("cold_over", 1.0, value::number);
        let cold_slack = section.value("cold_slack", 0.0, value::number);
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
        let read_rate = section.value("read_rate", 50.0, value::number);
        let wait_share = section.value("wait_share", 0.75, value::number);
        let yielding = section.value("yielding", 1.0, value::number);
        let reread = section.value("reread", 4.0, value::number);
        Some(Self {
            read_rate: read_rate?,
            wait_share: wait_share?,
            reread: reread?,
            yielding: yielding?,
        })
    }
}
