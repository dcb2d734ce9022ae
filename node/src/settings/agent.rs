//! Settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use super::{
    DEFAULT_HEAD_TIMEOUT, DEFAULT_STOP_LIMIT, DEFAULT_WORKERS, Section, Settings,
    check_distinct_addresses, default_operators, value,
};

/// The settings of `knapweed-agent`.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct AgentSettings {
    /// Name of the target that the agent runs next to.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// Listen address for requests from routers; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Listen address for control messages from routers and agents; port 0 selects a free
    /// port.
    pub control: SocketAddr,
    /// Listen address for operators; port 0 selects a free port.
    pub operators: SocketAddr,
    /// Base URLs of the configuration service, tried in order.
    pub service: Vec<String>,
    /// Control addresses of other processes, contacted at startup in addition to the VM list.
    pub peers: Vec<SocketAddr>,
    /// Base URL of the target.
    pub target: String,
    /// Number of traffic threads.
    pub workers: usize,
    /// Time after which a planned stop aborts requests that are still running.
    pub stop_limit: Duration,
    /// Limits on requests from routers and on stored answers.
    pub limits: AgentLimits,
}

/// Limits on requests that routers send to an agent and on the answers that it stores.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AgentLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time allowed for a router to send the head of a request.
    pub head_timeout: Duration,
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum size of one stored answer in bytes.
    pub answer_bytes: usize,
    /// Maximum total size of stored answers in bytes.
    pub answers_bytes: usize,
}

impl Settings for AgentSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let name = section.require("name", value::name);
        let data_centre = section.require("data_centre", value::name);
        let listen = section.require("listen", value::advertised_address);
        let control = section.require("control", value::advertised_address);
        let operators = section.value_or("operators", default_operators(), value::address);
        let service = section.require("service", value::urls);
        let peers = section.value_or("peers", Vec::new(), value::peers);
        let target = section.require("target", value::url);
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
        let head_bytes = section.value_or("head_bytes", default.head_bytes, value::size);
        let body_bytes = section.value_or("body_bytes", default.body_bytes, value::size);
        let head_timeout = section.value_or("head_timeout", default.head_timeout, value::duration);
        let connections = section.value_or("connections", default.connections, value::count);
        let answer_bytes = section.value_or("answer_bytes", default.answer_bytes, value::size);
        let answers_bytes = section.value_or("answers_bytes", default.answers_bytes, value::size);
        match (answer_bytes, answers_bytes) {
            (Some(one), Some(all)) if one > all => {
                let expected = format!("at most `limits.answers_bytes`, {all}");
                section.report_error("answer_bytes", format!("`{one}`"), expected);
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
