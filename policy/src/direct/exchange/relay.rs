//! The choice of a relay, and the routers to which this one sends.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Exchange, Peer, PeerEvent};

/// The silence after which a router reports to another relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a router does not report again to a relay that fell silent.
const RELAY_REST: Duration = Duration::from_secs(5);

/// How long routers stay with a relay that is none any more.
const TOPOLOGY_DELAY: Duration = Duration::from_secs(2);

/// The maximum number of unreachable members that get a heartbeat at once.
const MAX_CONTACTED_MEMBERS: usize = 16;

impl Exchange {
    /// Chooses the relay to which this router reports. A relay is kept while it is one.
    pub(super) fn choose_relay(&mut self, now: Instant) {
        let mut silent = None;
        if let Some(relay) = self.relay {
            let heard_at = self.peers.get(&relay).map(|peer| peer.heard_at);
            let since = heard_at.max(Some(self.relay_since)).unwrap_or(now);
            if now.saturating_duration_since(since) >= RELAY_TIMEOUT {
                self.resting_relays.insert(relay, now + RELAY_REST);
                silent = Some(relay);
            }
        }
        let is_rested = |relay: &SocketAddr| !self.resting_relays.contains_key(relay);
        let is_near = |relay: SocketAddr| self.topology.centre_of(relay) == Some(self.own.centre);
        let preferred = self.preferred.iter().copied().find(is_rested);
        let age = now.saturating_duration_since(self.topology_since);
        let may_stay = |&relay: &SocketAddr| match self.topology.is_relay(relay) {
            // A relay of another data centre is left as soon as there is a near one.
            true => is_near(relay) || !preferred.is_some_and(is_near),
            // Members that come and go one after another would move routers each time.
            false => age < TOPOLOGY_DELAY && self.is_eligible(relay),
        };
        let current = self.relay.filter(is_rested).filter(may_stay);
        let relay = match () {
            () if self.topology.is_relay(self.own.address) || self.has_group(now) => None,
            () => current.or(preferred),
        };
        if relay != self.relay {
            // They must not count this router, or its group, twice.
            self.former_partners = self.partners(now);
            self.relay = relay;
            self.relay_since = now;
            self.events.push(PeerEvent::RelayChosen { relay, silent });
        }
    }

    /// Whether a router is known to be reachable and not to be stopping.
    pub(super) fn is_eligible(&self, relay: SocketAddr) -> bool {
        let member = self.members.get(&relay);
        member.is_some_and(|it| it.is_reachable && it.is_steady)
    }

    /// Whether other routers report to this one.
    pub(super) fn has_group(&self, now: Instant) -> bool {
        self.group(now).next().is_some()
    }

    /// The routers that report to this one.
    pub(super) fn group(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let own = Some(self.own.address);
        let live = self.peers.values().filter(move |peer| peer.is_live(now));
        live.filter(move |peer| peer.relay() == own)
    }

    /// The routers to which this one sends its heartbeats, in a fixed order.
    pub(super) fn partners(&self, now: Instant) -> Vec<SocketAddr> {
        let own = self.own.address;
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        // The earlier version knows no relays.
        let mut partners: BTreeSet<SocketAddr> = live
            .clone()
            .filter(|peer| peer.beat.place.is_none())
            .map(|peer| peer.beat.from)
            .collect();
        match self.relay {
            Some(relay) => {
                partners.insert(relay);
            }
            None => {
                let reporting = live.filter(|it| it.is_relay() || it.relay() == Some(own));
                partners.extend(reporting.map(|peer| peer.beat.from));
                partners.extend(self.topology.relays().filter(|&relay| relay != own));
            }
        }
        partners.into_iter().collect()
    }

    /// The addresses at which a router may be that does not know this one.
    pub(super) fn addresses_to_contact(&self) -> Vec<SocketAddr> {
        let is_reachable =
            |address: &SocketAddr| self.members.get(address).is_some_and(|it| it.is_reachable);
        let unreachable: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, member)| !member.is_reachable)
            .map(|(&address, _)| address)
            .collect();
        let first = match unreachable.len() {
            0 => 0,
            count => self.ticks as usize * MAX_CONTACTED_MEMBERS % count,
        };
        let rotated = unreachable.iter().cycle().skip(first);
        let contacted = rotated.take(unreachable.len().min(MAX_CONTACTED_MEMBERS));
        let mut addresses: BTreeSet<SocketAddr> = contacted.copied().collect();
        addresses.extend(self.contacts.keys());
        addresses.extend(self.seeds.iter().filter(|seed| !is_reachable(seed)));
        addresses.into_iter().collect()
    }
}
