//! Settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use super::{
    DEFAULT_HEAD_TIMEOUT, DEFAULT_STOP_LIMIT, DEFAULT_WORKERS, Section, Settings,
    default_operators, distinct, value,
};

/// The settings of `knapweed-agent`.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct AgentSettings {
    /// The name of the target beside which the agent runs.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// Where routers send requests; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Where routers and agents connect; port 0 takes a free port.
    pub control: SocketAddr,
    /// Where operators connect; port 0 takes a free port.
    pub operators: SocketAddr,
    /// The base URLs of the configuration service, tried in order.
    pub service: Vec<String>,
    /// Control addresses of other processes, asked at the start beside those of the VM list.
    pub peers: Vec<SocketAddr>,
    /// The base URL of the target.
    pub target: String,
    /// The number of traffic threads.
    pub workers: usize,
    /// The time after which a planned stop ends requests that still run.
    pub stop_limit: Duration,
    /// Bounds on what routers may send and what is stored.
    pub limits: AgentLimits,
}

/// Bounds on what routers may send to an agent and what it stores.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AgentLimits {
    /// The greatest size of a request's head in bytes.
    pub head_bytes: usize,
    /// The greatest size of a request's body in bytes.
    pub body_bytes: usize,
    /// The time for a router to send a request's head.
    pub head_timeout: Duration,
    /// The greatest number of connections.
    pub connections: usize,
    /// The greatest size of one stored answer in bytes.
    pub answer_bytes: usize,
    /// The greatest size of all stored answers in bytes.
    pub answers_bytes: usize,
}

impl Settings for AgentSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let name = section.require("name", value::name);
        let data_centre = section.require("data_centre", value::name);
        let listen = section.require("listen", value::reachable);
        let control = section.require("control", value::reachable);
        let operators = section.value("operators", default_operators(), value::address);
        let service = section.require("service", value::urls);
        let peers = section.value("peers", Vec::new(), value::peers);
        let target = section.require("target", value::url);
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
            target: target?,
            workers: workers?,
            stop_limit: stop_limit?,
            limits: limits?,
        })
    }
}

impl Settings for AgentLimits {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let default = Self::default();
        let head_bytes = section.value("head_bytes", default.head_bytes, value::size);
        let body_bytes = section.value("body_bytes", default.body_bytes, value::size);
        let head_timeout = section.value("head_timeout", default.head_timeout, value::time);
        let connections = section.value("connections", default.connections, value::count);
        let answer_bytes = section.value("answer_bytes", default.answer_bytes, value::size);
        let answers_bytes = section.value("answers_bytes", default.answers_bytes, value::size);
        match (answer_bytes, answers_bytes) {
            (Some(one), Some(all)) if one > all => {
                let expected = format!("at most `limits.answers_bytes`, {all}");
                section.fault("answer_bytes", format!("`{one}`"), expected);
            }
            _ => {}
        }
        Some(Self {
            head_bytes: head_bytes?,
            body_bytes: body_bytes?,
            head_timeout: head_timeout?,
            connections: connections?,
            answer_bytes: answer_bytes?,
            answers_bytes: answers_bytes?,
        })
    }
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            head_bytes: 32 << 10,
            body_bytes: 1 << 20,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            connections: 10_000,
            answer_bytes: 1 << 20,
            answers_bytes: 128 << 20,
        }
    }
}
