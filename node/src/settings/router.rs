//! Settings of a router.

use std::net::SocketAddr;
use std::time::Duration;

use super::{
    DEFAULT_HEAD_TIMEOUT, DEFAULT_STOP_LIMIT, DEFAULT_WORKERS, Section, Settings,
    check_distinct_addresses, default_operators, value,
};

/// The settings of `knapweed-router`.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RouterSettings {
    /// The name, unique in the fleet.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// Listen address for callers; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Listen address for control messages from agents and routers; port 0 selects a free
    /// port.
    pub control: SocketAddr,
    /// Listen address for operators; port 0 selects a free port.
    pub operators: SocketAddr,
    /// Base URLs of the configuration service, tried in order.
    pub service: Vec<String>,
    /// Control addresses of other processes, contacted at startup in addition to the VM list.
    pub peers: Vec<SocketAddr>,
    /// Number of traffic threads.
    pub workers: usize,
    /// Time after which a planned stop aborts requests that are still running.
    pub stop_limit: Duration,
    /// Limits on requests from callers.
    pub limits: RouterLimits,
}

/// Limits on requests that callers send to a router.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RouterLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time allowed for a caller to send the head of a request.
    pub head_timeout: Duration,
    /// Maximum number of connections.
    pub connections: usize,
}

impl Settings for RouterSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let name = section.require("name", value::name);
        let data_centre = section.require("data_centre", value::name);
        let listen = section.require("listen", value::address);
        let control = section.require("control", value::advertised_address);
        let operators = section.value_or("operators", default_operators(), value::address);
        let service = section.require("service", value::urls);
        let peers = section.value_or("peers", Vec::new(), value::peers);
        let workers = section.value_or("workers", DEFAULT_WORKERS, value::threads);
        let stop_limit = section.value_or("stop_limit", DEFAULT_STOP_LIMIT, value::duration);
        let limits = section.section("limits");
        check_distinct_addresses(
            section,
            &[
                ("listen", listen),
                ("control", control),
                ("operators", operators),
            ],
        );
        Some(Self {
            name: name?,
            data_centre: data_centre?,
            listen: listen?,
            control: control?,
            operators: operators?,
            service: service?,
            peers: peers?,
            workers: workers?,
            stop_limit: stop_limit?,
            limits: limits?,
        })
    }
}

impl Settings for RouterLimits {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let default = Self::default();
        let head_bytes = section.value_or("head_bytes", default.head_bytes, value::size);
        let body_bytes = section.value_or("body_bytes", default.body_bytes, value::size);
        let head_timeout = section.value_or("head_timeout", default.head_timeout, value::duration);
        let connections = section.value_or("connections", default.connections, value::count);
        Some(Self {
            head_bytes: head_bytes?,
            body_bytes: body_bytes?,
            head_timeout: head_timeout?,
            connections: connections?,
        })
    }
}

impl Default for RouterLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            connections: 10_000,
        }
    }
}
