//! The interface between the control thread and the router- or agent-specific code.

use std::net::SocketAddr;
use std::sync::Arc;

use entity::{Decision, Incarnation, Now, RequestId};
use policy::fleet::Broadcast;
use policy::message::Endpoint;
use rules::Config;
use wire::Message;

use super::FleetMachine;

/// Messages to another process.
#[derive(Clone, PartialEq, Debug)]
pub struct Outgoing {
    /// The control address of the recipient.
    pub to: SocketAddr,
    /// The messages.
    pub messages: Vec<Message>,
}

/// Actions that a role requests while handling an event.
#[derive(Default, Debug)]
pub struct Outbox {
    pub(super) messages: Vec<Outgoing>,
    pub(super) broadcasts: Vec<Broadcast>,
    pub(super) leaving: Option<bool>,
}

impl Outbox {
    /// Queues a message; messages to the same address are sent in one envelope.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        match self.messages.iter_mut().find(|outgoing| outgoing.to == to) {
            Some(outgoing) => outgoing.messages.push(message),
            None => self.messages.push(Outgoing {
                to,
                messages: vec![message],
            }),
        }
    }

    /// Broadcasts a fact to all processes.
    pub fn publish(&mut self, broadcast: Broadcast) {
        self.broadcasts.push(broadcast);
    }

    /// Announces to the fleet whether this process or its target stops accepting new work.
    pub fn announce(&mut self, leaving: bool) {
        self.leaving = Some(leaving);
    }
}

/// Whether a role can serve requests.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Readiness {
    /// The role accepts requests.
    Ready,
    /// The role does not accept requests, for this reason.
    NotReady(&'static str),
    /// The role has stopped; the process may exit.
    Stopped,
}

/// The part of a daemon that is specific to a router or an agent.
pub trait Role: 'static {
    /// Events reported by traffic threads.
    type Input: Send + 'static;

    /// Called when a configuration comes into force.
    fn config_changed(&mut self, now: Now, config: Arc<Config>, out: &mut Outbox);
    /// Called when a traffic thread reports an event.
    fn input(&mut self, now: Now, input: Self::Input, out: &mut Outbox);
    /// Called when a message arrives; returns the replies to it.
    fn received(
        &mut self,
        now: Now,
        sender: Endpoint,
        message: Message,
        out: &mut Outbox,
    ) -> Vec<Message>;
    /// Called when messages could not be delivered or received no reply.
    fn delivery_failed(&mut self, now: Now, lost: Outgoing, out: &mut Outbox);
    /// Called after a fleet tick and when the fleet's members may have changed.
    fn members_updated(&mut self, now: Now, fleet: &FleetMachine, out: &mut Outbox);
    /// Called when another process broadcasts a fact.
    fn broadcast_received(&mut self, now: Now, broadcast: Broadcast, out: &mut Outbox);
    /// Called when the incarnation of this process is raised; only before it is ready.
    fn incarnation_changed(&mut self, incarnation: Incarnation);
    /// Called at a fixed interval.
    fn tick(&mut self, now: Now, out: &mut Outbox);
    /// Begins a planned stop: the role stops once its work has completed.
    fn stop(&mut self, now: Now, out: &mut Outbox);
    /// Whether the role can serve requests.
    fn readiness(&self) -> Readiness;
    /// The requests that would be aborted if the process exited now, in order.
    fn unfinished(&self) -> Vec<RequestId>;
    /// The complete state, for operators.
    fn dump(&self, now: Now) -> serde_json::Value;
    /// The recorded decisions about a request.
    fn why(&self, request: RequestId) -> Option<Vec<Decision>>;
}
