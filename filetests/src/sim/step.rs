//! The queue of what is to happen.

use std::net::SocketAddr;
use std::time::Duration;

use entity::{AttemptId, Incarnation, RequestId};
use policy::message::{Load, Offer};
use policy::reader::{ServiceKey, ServiceResult};
use policy::{AgentEvent, AttemptResult, RouterEvent};

use super::link::Packet;

/// Something that happens at a point in time.
#[derive(Debug)]
pub(super) enum Step {
    /// A process is told that time has passed.
    Tick { process: usize, epoch: u64 },
    /// A message arrives.
    Deliver { process: usize, packet: Box<Packet> },
    /// A message turns out lost.
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
    /// An event of an agent.
    Agent {
        agent: usize,
        epoch: u64,
        event: Box<AgentEvent>,
    },
    /// An event of a router.
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
    /// A read of the configuration service ends.
    Read {
        process: usize,
        epoch: u64,
        key: ServiceKey,
        result: ServiceResult,
    },
    /// The watches whose time has come end.
    Watches,
    /// A target streams.
    Stream {
        agent: usize,
        generation: u64,
        attempt: AttemptId,
    },
    /// A target reports its load.
    Poll { agent: usize },
    /// A target is up again.
    EngineUp { agent: usize },
    /// A request kills its target.
    Crash { agent: usize, attempt: AttemptId },
    /// A flow sends its next request.
    Flow { flow: usize },
    /// A caller sends a request.
    Send { request: RequestId },
    /// The scenario's next event.
    Fault { index: usize },
    /// Service is sampled.
    Sample,
}

/// What an agent sends back for an attempt.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) agent: usize,
    pub(super) attempt: AttemptId,
    pub(super) load: Load,
    pub(super) incarnation: Incarnation,
    pub(super) result: AttemptResult,
    /// The request whose answer it is.
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
