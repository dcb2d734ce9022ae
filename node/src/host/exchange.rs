//! Exchange of envelopes with other processes, and the fleet state machine that drives it.

use std::net::SocketAddr;
use std::rc::Rc;

use entity::{Clock, StateMachine};
use policy::fleet::{FleetAction, FleetEvent, Version};
use policy::reader::ReadRequest;
use wire::{Envelope, Message};

use super::operators::log_alarm;
use super::{Host, Outbox, Outgoing, Role};
use crate::event::{self, Event};

impl<R: Role> Host<R> {
    pub(super) fn update_members(self: &Rc<Self>) {
        let fleet = self.fleet.borrow();
        let mut out = Outbox::default();
        self.role
            .borrow_mut()
            .members_updated(self.clock.now(), &fleet, &mut out);
        drop(fleet);
        self.apply_outbox(out);
    }

    /// Passes an event without a sender to the fleet state machine.
    pub(super) fn handle_fleet_event(self: &Rc<Self>, event: FleetEvent) {
        for reply in self.fleet_replies(event, None) {
            debug_assert!(false, "a reply without a requester: {reply:?}");
        }
    }

    /// Passes an event to the fleet state machine and returns the messages addressed to
    /// `requester`; other actions are performed.
    fn fleet_replies(
        self: &Rc<Self>,
        event: FleetEvent,
        requester: Option<SocketAddr>,
    ) -> Vec<Message> {
        let mut actions = Vec::new();
        self.fleet
            .borrow_mut()
            .handle(self.clock.now(), event, &mut actions);
        let mut replies = Vec::new();
        for action in actions {
            match action {
                FleetAction::Send { to, message } if Some(to) == requester => {
                    replies.push(Message::Fleet(message));
                }
                FleetAction::Send { to, message } => {
                    let outgoing = Outgoing {
                        to,
                        messages: vec![Message::Fleet(message)],
                    };
                    let host = self.clone();
                    actix_rt::spawn(async move { host.deliver(outgoing).await });
                }
                FleetAction::ReadService(read_order) => {
                    let host = self.clone();
                    actix_rt::spawn(async move { host.read_service(read_order).await });
                }
                FleetAction::Adopt(config) => self.apply_config(config),
                FleetAction::Deliver(broadcast) => {
                    self.with_role(|role, now, out| role.broadcast_received(now, broadcast, out));
                }
                FleetAction::Alarm(alarm) => {
                    log_alarm(&alarm);
                    self.update_members();
                }
                FleetAction::MembersChanged => self.update_members(),
                FleetAction::Incarnation(raised) => {
                    self.role.borrow_mut().incarnation_changed(raised);
                }
                FleetAction::Ready => event::log(Event::ProcessReady, &[("process", &self.name)]),
            }
        }
        replies
    }

    async fn read_service(self: Rc<Self>, read_order: ReadRequest) {
        let result = self.service.read(&read_order).await;
        self.handle_fleet_event(FleetEvent::ServiceAnswer {
            key: read_order.key,
            result,
        });
    }

    pub(super) async fn deliver(self: Rc<Self>, outgoing: Outgoing) {
        let envelope = self.envelope(&outgoing.messages);
        match self.links.exchange(outgoing.to, &envelope).await {
            Ok(reply) => {
                let replies = self.dispatch(&reply);
                debug_assert!(replies.is_empty(), "replies to a reply");
            }
            Err(_) => {
                self.handle_fleet_event(FleetEvent::SendFailed { to: outgoing.to });
                self.with_role(|role, now, out| role.delivery_failed(now, outgoing, out));
            }
        }
    }

    /// Processes the messages of an envelope and returns the replies.
    pub(super) fn dispatch(self: &Rc<Self>, envelope: &Envelope) -> Vec<Message> {
        let (messages, skipped) = envelope.messages();
        self.rejected.set(self.rejected.get() + skipped as u64);
        let sender = envelope.sender;
        let version = Version {
            revision: envelope.revision,
            hash: envelope.hash,
        };
        self.handle_fleet_event(FleetEvent::PeerVersion {
            endpoint: sender,
            version,
        });
        let mut replies = Vec::new();
        for message in messages {
            match message {
                Message::Fleet(message) => {
                    let event = FleetEvent::Received {
                        from: sender,
                        message,
                    };
                    replies.extend(self.fleet_replies(event, Some(sender.control)));
                }
                message => self.with_role(|role, now, out| {
                    replies.extend(role.received(now, sender, message, out));
                }),
            }
        }
        replies
    }

    pub(super) fn envelope(&self, messages: &[Message]) -> Envelope {
        let fleet = self.fleet.borrow();
        let Version { revision, hash } = fleet.version();
        Envelope::new(fleet.endpoint(), revision, hash, messages)
    }
}
