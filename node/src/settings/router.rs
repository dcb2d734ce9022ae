//! Settings of a router.

use std::net::SocketAddr;
use std::time::Duration;

use super::{
    DEFAULT_HEAD_TIMEOUT, DEFAULT_STOP_LIMIT, DEFAULT_WORKERS, Section, Settings,
    default_operators, distinct, value,
};

/// The settings of `knapweed-router`.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RouterSettings {
    /// The name; unique in the fleet.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// Where callers connect; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Where agents and routers connect; port 0 takes a free port.
    pub control: SocketAddr,
    /// Where operators connect; port 0 takes a free port.
    pub operators: SocketAddr,
    /// The base URLs of the configuration service, tried in order.
    pub service: Vec<String>,
    /// Control addresses of other processes, asked at the start beside those of the VM list.
    pub peers: Vec<SocketAddr>,
    /// The number of traffic threads.
    pub workers: usize,
    /// The time after which a planned stop ends requests that still run.
    pub stop_limit: Duration,
    /// Bounds on what callers may send.
    pub limits: RouterLimits,
}

/// Bounds on what callers may send to a router.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RouterLimits {
    /// The greatest size of a request's head in bytes.
    pub head_bytes: usize,
    /// The greatest size of a request's body in bytes.
    pub body_bytes: usize,
    /// The time for a caller to send a request's head.
    pub head_timeout: Duration,
    /// The greatest number of connections.
    pub connections: usize,
}

impl Settings for RouterSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let name = section.require("name", value::name);
        let data_centre = section.require("data_centre", value::name);
        let listen = section.require("listen", value::address);
        let control = section.require("control", value::reachable);
        let operators = section.value("operators", default_operators(), value::address);
        let service = section.require("service", value::urls);
        let peers = section.value("peers", Vec::new(), value::peers);
        let workers = section.value("workers", DEFAULT_WORKERS, value::threads);
        let stop_limit = section.value("stop_limit", DEFAULT_STOP_LIMIT, value::time);
        let limits = section.section("limits");
        distinct(
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
        let head_bytes = section.value("head_bytes", default.head_bytes, value::size);
        let body_bytes = section.value("body_bytes", default.body_bytes, value::size);
        let head_timeout = section.value("head_timeout", default.head_timeout, value::time);
        let connections = section.value("connections", default.connections, value::count);
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
