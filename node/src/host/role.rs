//! The interface between the control thread and what is particular to a router or an agent.

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
    /// The address for control messages.
    pub to: SocketAddr,
    /// The messages.
    pub messages: Vec<Message>,
}

/// What a role wants done after an event.
#[derive(Default, Debug)]
pub struct Outbox {
    pub(super) messages: Vec<Outgoing>,
    pub(super) broadcasts: Vec<Broadcast>,
    pub(super) leaving: Option<bool>,
}

impl Outbox {
    /// Sends a message; messages to one address travel together.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        match self.messages.iter_mut().find(|known| known.to == to) {
            Some(known) => known.messages.push(message),
            None => self.messages.push(Outgoing {
                to,
                messages: vec![message],
            }),
        }
    }

    /// Spreads a fact to every process.
    pub fn publish(&mut self, broadcast: Broadcast) {
        self.broadcasts.push(broadcast);
    }

    /// Announces to the fleet whether this process, or its target, takes no new work.
    pub fn announce(&mut self, leaving: bool) {
        self.leaving = Some(leaving);
    }
}

/// Whether a role can serve.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Readiness {
    /// It takes requests.
    Ready,
    /// It does not, for this reason.
    NotReady(&'static str),
    /// It has stopped: the process may exit.
    Stopped,
}

/// The part of a daemon that differs between router and agent.
pub trait Role: 'static {
    /// What traffic threads tell it.
    type Input: Send + 'static;

    /// A configuration is in force.
    fn configured(&mut self, now: Now, config: Arc<Config>, out: &mut Outbox);
    /// A traffic thread reports.
    fn input(&mut self, now: Now, input: Self::Input, out: &mut Outbox);
    /// A message arrived; what is returned is its direct answer.
    fn received(
        &mut self,
        now: Now,
        sender: Endpoint,
        message: Message,
        out: &mut Outbox,
    ) -> Vec<Message>;
    /// Messages could not be delivered or were not answered.
    fn undelivered(&mut self, now: Now, lost: Outgoing, out: &mut Outbox);
    /// The fleet's members may have changed, or time has passed there.
    fn surveyed(&mut self, now: Now, fleet: &FleetMachine, out: &mut Outbox);
    /// Another process published a fact.
    fn delivered(&mut self, now: Now, broadcast: Broadcast, out: &mut Outbox);
    /// The process's own incarnation is this one from now on; only before it is ready.
    fn raised(&mut self, incarnation: Incarnation);
    /// Time has passed.
    fn tick(&mut self, now: Now, out: &mut Outbox);
    /// The process is to stop when its work has ended.
    fn stop(&mut self, now: Now, out: &mut Outbox);
    /// Whether the role can serve.
    fn readiness(&self) -> Readiness;
    /// The requests that would be cut if the process ended at once, in order.
    fn unfinished(&self) -> Vec<RequestId>;
    /// The whole state.
    fn dump(&self, now: Now) -> serde_json::Value;
    /// The decisions about a request.
    fn why(&self, request: RequestId) -> Option<Vec<Decision>>;
}
