//! The datagrams about the list of targets.

use std::net::SocketAddr;

use policy::direct::listing::message::ListingMessage;
use wire::Datagram;

use super::Gossip;

impl Gossip {
    /// Sends messages about the targets to other routers.
    pub(super) fn send_listing(&self, messages: Vec<ListingMessage>, to: &[SocketAddr]) {
        for message in messages {
            let datagram = Datagram::from(message);
            for &address in to {
                self.send(&datagram, address);
            }
        }
    }

    pub(super) fn receive_listing(&self, message: ListingMessage, from: SocketAddr) {
        for (to, message) in self.store.receive_listing(message, from) {
            self.send(&Datagram::from(message), to);
        }
    }

    /// Asks for what was lost of a change.
    pub(super) fn ask_for_rest(&self) {
        if let Some((to, message)) = self.store.ask_for_rest(self.exchange.relay()) {
            self.send(&Datagram::from(message), to);
        }
    }

    /// Asks a router for the listing if this one has none yet.
    pub(super) fn ask_for_first_listing(&self, from: SocketAddr) {
        let relay = self.exchange.relay();
        if let Some((to, message)) = self.store.ask_for_first_listing(from, relay) {
            self.send(&Datagram::from(message), to);
        }
    }
}
