//! Envelopes to and from other processes, and the fleet machine behind them.

use std::net::SocketAddr;
use std::rc::Rc;

use entity::{Clock, StateMachine};
use policy::fleet::{FleetAction, FleetEvent, Version};
use policy::reader::ReadRequest;
use wire::{Envelope, Message};

use super::operators::tell_operators;
use super::{Host, Outbox, Outgoing, Role};
use crate::event::{self, Event};

impl<R: Role> Host<R> {
    pub(super) fn survey(self: &Rc<Self>) {
        let fleet = self.fleet.borrow();
        let mut out = Outbox::default();
        self.role
            .borrow_mut()
            .surveyed(self.clock.now(), &fleet, &mut out);
        drop(fleet);
        self.carry_out(out);
    }

    /// Processes an event of the fleet machine.
    pub(super) fn tell_fleet(self: &Rc<Self>, event: FleetEvent) {
        for answer in self.ask_fleet(event, None) {
            debug_assert!(false, "an answer without an asker: {answer:?}");
        }
    }

    /// Processes an event of the fleet machine; messages to `asker` are returned.
    fn ask_fleet(self: &Rc<Self>, event: FleetEvent, asker: Option<SocketAddr>) -> Vec<Message> {
        let mut actions = Vec::new();
        self.fleet
            .borrow_mut()
            .handle(self.clock.now(), event, &mut actions);
        let mut answers = Vec::new();
        for action in actions {
            match action {
                FleetAction::Send { to, message } if Some(to) == asker => {
                    answers.push(Message::Fleet(message));
                }
                FleetAction::Send { to, message } => {
                    let outgoing = Outgoing {
                        to,
                        messages: vec![Message::Fleet(message)],
                    };
                    let host = self.clone();
                    actix_rt::spawn(async move { host.deliver(outgoing).await });
                }
                FleetAction::ReadService(order) => {
                    let host = self.clone();
                    actix_rt::spawn(async move { host.read(order).await });
                }
                FleetAction::Adopt(config) => self.adopt(config),
                FleetAction::Deliver(broadcast) => {
                    self.step(|role, now, out| role.delivered(now, broadcast, out));
                }
                FleetAction::Alarm(alarm) => {
                    tell_operators(&alarm);
                    self.survey();
                }
                FleetAction::MembersChanged => self.survey(),
                FleetAction::Incarnation(incarnation) => self.role.borrow_mut().raised(incarnation),
                FleetAction::Ready => event::log(Event::ProcessReady, &[("process", &self.name)]),
            }
        }
        answers
    }

    async fn read(self: Rc<Self>, order: ReadRequest) {
        let result = self.service.read(&order).await;
        self.tell_fleet(FleetEvent::ServiceAnswer {
            key: order.key,
            result,
        });
    }

    pub(super) async fn deliver(self: Rc<Self>, outgoing: Outgoing) {
        let envelope = self.envelope(&outgoing.messages);
        match self.links.exchange(outgoing.to, &envelope).await {
            Ok(answer) => {
                let answers = self.dispatch(&answer);
                debug_assert!(answers.is_empty(), "answers are not answered");
            }
            Err(_) => {
                self.tell_fleet(FleetEvent::SendFailed { to: outgoing.to });
                self.step(|role, now, out| role.undelivered(now, outgoing, out));
            }
        }
    }

    /// Processes an envelope; the direct answers are returned.
    pub(super) fn dispatch(self: &Rc<Self>, envelope: &Envelope) -> Vec<Message> {
        let (messages, skipped) = envelope.messages();
        self.rejected.set(self.rejected.get() + skipped as u64);
        let sender = envelope.sender;
        let version = Version {
            revision: envelope.revision,
            hash: envelope.hash,
        };
        self.tell_fleet(FleetEvent::PeerVersion {
            endpoint: sender,
            version,
        });
        let mut answers = Vec::new();
        for message in messages {
            match message {
                Message::Fleet(message) => {
                    let event = FleetEvent::Received {
                        from: sender,
                        message,
                    };
                    answers.extend(self.ask_fleet(event, Some(sender.control)));
                }
                message => self.step(|role, now, out| {
                    answers.extend(role.received(now, sender, message, out));
                }),
            }
        }
        answers
    }

    pub(super) fn envelope(&self, messages: &[Message]) -> Envelope {
        let fleet = self.fleet.borrow();
        let Version { revision, hash } = fleet.version();
        Envelope::new(fleet.endpoint(), revision, hash, messages)
    }
}
