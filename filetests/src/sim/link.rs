//! The simulated network: messages between processes and configuration reads.

use std::net::SocketAddr;
use std::time::Duration;

use policy::fleet::{FleetEvent, Version};
use policy::message::Endpoint;
use policy::reader::{ReadRequest, ServiceKey, ServiceResult};
use policy::{AgentEvent, RouterEvent};
use rand::RngExt;
use wire::Message;

use super::process::Process;
use super::service::Watch;
use super::{Sim, Step};
use crate::scenario::{Place, ServiceMode};

/// The timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The time until a refused connection is reported.
pub(super) const REFUSAL_DELAY: Duration = Duration::from_millis(1);

/// The one-way delay to the configuration service.
const SERVICE_DELAY: Duration = Duration::from_millis(2);

/// The maximum extra delay of a duplicated message.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_millis(100);

/// A partition between two sets of processes.
#[derive(Clone, PartialEq, Debug)]
pub(super) struct Cut {
    pub(super) place: Place,
    pub(super) from: Option<Place>,
}

/// A message in transit.
#[derive(Clone, Debug)]
pub(super) struct Packet {
    sender: Endpoint,
    version: Version,
    message: Message,
}

impl Sim {
    /// Sends a message to an address.
    pub(super) fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let receiver = self
            .processes
            .iter()
            .position(|process| process.control == to);
        let reached = receiver.filter(|&receiver| !self.processes[receiver].stopped);
        let delay = reached.and_then(|receiver| Some((receiver, self.link_delay(from, receiver)?)));
        let lost = self.chance(self.plan.loss.0);
        let epoch = self.processes[from].epoch;
        let Some((process, delay)) = delay.filter(|_| !lost) else {
            let failed = Step::DeliveryFailed {
                process: from,
                epoch,
                to,
                message: Box::new(message),
            };
            let after = match receiver.is_some_and(|receiver| self.processes[receiver].stopped) {
                true => REFUSAL_DELAY,
                false => EXCHANGE_TIMEOUT,
            };
            return self.schedule(after, failed);
        };
        let fleet = &self.processes[from].fleet;
        let packet = Packet {
            sender: fleet.endpoint(),
            version: fleet.version(),
            message,
        };
        if self.chance(self.plan.double.0) {
            let late = delay + MAX_DUPLICATE_DELAY.mul_f64(self.rng.random());
            let packet = Box::new(packet.clone());
            self.schedule(late, Step::Deliver { process, packet });
        }
        let packet = Box::new(packet);
        self.schedule(delay, Step::Deliver { process, packet });
    }

    /// Returns true with a probability of `percent`.
    pub(super) fn chance(&mut self, percent: f64) -> bool {
        percent > 0.0 && self.rng.random::<f64>() * 100.0 < percent
    }

    /// Returns the delay between two processes, or `None` if they are partitioned.
    pub(super) fn link_delay(&self, from: usize, to: usize) -> Option<Duration> {
        let (from, to) = (&self.processes[from], &self.processes[to]);
        let cut = self.cuts.iter().any(|cut| separates(cut, from, to));
        (!cut).then(|| self.plan.delay_between(&from.centre, &to.centre))
    }

    pub(super) fn deliver(&mut self, process: usize, packet: Packet) {
        if self.processes[process].stopped {
            return;
        }
        let Packet {
            sender,
            version,
            message,
        } = packet;
        let seen = FleetEvent::PeerVersion {
            endpoint: sender,
            version,
        };
        self.notify_fleet(process, seen);
        match (message, self.target_of(process)) {
            (Message::Fleet(message), _) => {
                let from = sender;
                self.notify_fleet(process, FleetEvent::Received { from, message });
            }
            (Message::Fact(fact), _) => self.deliver_fact(process, fact),
            (message, Some(agent)) => self.agent_message(agent, sender, message),
            (message, None) => self.router_message(process, sender, message),
        }
    }

    fn agent_message(&mut self, agent: usize, sender: Endpoint, message: Message) {
        match message {
            Message::Bids(update) => {
                self.drive_agent(agent, AgentEvent::Bids(update));
                let load = self.load_of(agent);
                let process = self.agent_process(agent);
                self.send(process, sender.control, Message::Load(load));
            }
            Message::Pulled(pulled) => self.drive_agent(agent, AgentEvent::Pulled(pulled)),
            Message::Ledger(delta) => self.drive_agent(agent, AgentEvent::Ledger(delta)),
            // All other messages are sent to routers only.
            _ => {}
        }
    }

    fn router_message(&mut self, router: usize, sender: Endpoint, message: Message) {
        match message {
            Message::Pull(pull) => self.drive_router(router, RouterEvent::Pull(pull)),
            Message::Solicit(solicit) => self.drive_router(router, RouterEvent::Solicit(solicit)),
            Message::Load(load) => {
                let config = self.processes[router].config.as_ref();
                let target = config.and_then(|config| config.names.targets.by_tag(sender.id.0));
                if let Some(target) = target {
                    self.drive_router(router, RouterEvent::LoadReported { target, load });
                }
            }
            // All other messages are sent to agents only.
            _ => {}
        }
    }

    pub(super) fn delivery_failed(&mut self, process: usize, to: SocketAddr, message: &Message) {
        self.notify_fleet(process, FleetEvent::SendFailed { to });
        if let (Message::Pull(pull), Some(agent)) = (message, self.target_of(process)) {
            let sequence = pull.sequence;
            let routers = self.processes[process].routers.iter();
            let router = routers.copied().find(|router| router.control == to);
            if let Some(router) = router {
                self.drive_agent(agent, AgentEvent::PullLost { router, sequence });
            }
        }
    }

    /// Performs a read of the configuration service.
    pub(super) fn read(&mut self, process: usize, order: ReadRequest) {
        let epoch = self.processes[process].epoch;
        let known = &self.processes[process];
        let is_cut = self.cuts.iter().any(|cut| is_cut_from_service(cut, known));
        let is_down = self.service.mode() == ServiceMode::Down;
        if is_cut || is_down {
            let key = order.key;
            let result = ServiceResult::Unreachable;
            let read = Step::Read {
                process,
                epoch,
                key,
                result,
            };
            return self.schedule(EXCHANGE_TIMEOUT, read);
        }
        self.service.calls += 1;
        match self.service.read(&order) {
            Some(result) => self.answer_read(process, epoch, order.key, result),
            None => {
                let ends = self.at + order.wait;
                self.schedule(order.wait, Step::Watches);
                self.service.watches.push(Watch {
                    process,
                    epoch,
                    order,
                    ends,
                });
            }
        }
    }

    fn answer_read(&mut self, process: usize, epoch: u64, key: ServiceKey, result: ServiceResult) {
        let read = Step::Read {
            process,
            epoch,
            key,
            result,
        };
        self.schedule(2 * SERVICE_DELAY, read);
    }

    /// Completes the watches whose value changed or whose wait expired.
    pub(super) fn end_watches(&mut self) {
        for watch in core::mem::take(&mut self.service.watches) {
            let known = &self.processes[watch.process];
            let is_cut = self.cuts.iter().any(|cut| is_cut_from_service(cut, known));
            let result = match self.service.read(&watch.order) {
                _ if is_cut => Some(ServiceResult::Unreachable),
                None if watch.ends <= self.at => Some(ServiceResult::Unchanged),
                result => result,
            };
            match result {
                Some(result) => {
                    self.answer_read(watch.process, watch.epoch, watch.order.key, result);
                }
                None => self.service.watches.push(watch),
            }
        }
    }

    pub(super) fn read_ended(&mut self, process: usize, key: ServiceKey, result: ServiceResult) {
        self.notify_fleet(process, FleetEvent::ServiceAnswer { key, result });
    }
}

/// Whether a process belongs to a place.
pub(super) fn is_in_scope(place: &Place, process: &Process) -> bool {
    match place {
        Place::Router(number) => process.name == super::plan::Plan::router_name(*number),
        Place::Agent(target) => process.name == *target,
        Place::Centre(centre) => process.centre == *centre,
        Place::Service => false,
    }
}

/// Whether a cut separates two processes.
fn separates(cut: &Cut, one: &Process, two: &Process) -> bool {
    let (a, b) = (is_in_scope(&cut.place, one), is_in_scope(&cut.place, two));
    match &cut.from {
        None => a != b,
        Some(from) => (a && is_in_scope(from, two)) || (b && is_in_scope(from, one)),
    }
}

/// Whether a cut separates a process from the configuration service.
fn is_cut_from_service(cut: &Cut, process: &Process) -> bool {
    match (&cut.place, &cut.from) {
        (Place::Service, None) => true,
        (Place::Service, Some(place)) | (place, Some(Place::Service)) => {
            is_in_scope(place, process)
        }
        (place, None) => is_in_scope(place, process),
        _ => false,
    }
}
