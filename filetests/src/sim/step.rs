//! Entries of the simulator event queue.

use std::net::SocketAddr;
use std::time::Duration;

use entity::{AttemptId, Incarnation, RequestId};
use policy::message::{Load, Offer};
use policy::reader::{ServiceKey, ServiceResult};
use policy::{AgentEvent, AttemptResult, RouterEvent};

use super::link::Packet;

/// A scheduled event.
#[derive(Debug)]
pub(super) enum Step {
    /// A process receives a tick.
    Tick { process: usize, epoch: u64 },
    /// A message arrives.
    Deliver { process: usize, packet: Box<Packet> },
    /// A sender learns that its message was not delivered.
    DeliveryFailed {
        process: usize,
        epoch: u64,
        to: SocketAddr,
        message: Box<wire::Message>,
    },
    /// An offer arrives at an agent.
    Offer {
        agent: usize,
        router: usize,
        epoch: u64,
        offer: Box<Offer>,
    },
    /// An event for an agent.
    Agent {
        agent: usize,
        epoch: u64,
        event: Box<AgentEvent>,
    },
    /// An event for a router.
    Router {
        router: usize,
        epoch: u64,
        event: Box<RouterEvent>,
    },
    /// An answer arrives at a router.
    Answer {
        router: usize,
        epoch: u64,
        answer: Box<Answer>,
    },
    /// A read of the configuration service completes.
    Read {
        process: usize,
        epoch: u64,
        key: ServiceKey,
        result: ServiceResult,
    },
    /// Watches expire.
    Watches,
    /// A target streams tokens.
    Stream {
        agent: usize,
        generation: u64,
        attempt: AttemptId,
    },
    /// A target reports its load.
    Poll { agent: usize },
    /// A target has restarted.
    EngineUp { agent: usize },
    /// A request crashes its target.
    Crash { agent: usize, attempt: AttemptId },
    /// A flow sends its next request.
    Flow { flow: usize },
    /// A caller sends a request.
    Send { request: RequestId },
    /// An event of the scenario.
    Fault { index: usize },
    /// The service of all teams is sampled.
    Sample,
}

/// The response of an agent to an attempt.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) agent: usize,
    pub(super) attempt: AttemptId,
    pub(super) load: Load,
    pub(super) incarnation: Incarnation,
    pub(super) result: AttemptResult,
    /// The request that the answer belongs to.
    pub(super) body: RequestId,
}

#[derive(Debug)]
pub(super) struct Scheduled {
    pub(super) at: Duration,
    pub(super) order: u64,
    pub(super) step: Step,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<core::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> core::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
