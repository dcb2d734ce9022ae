//! The routers that are known, from themselves or from a relay.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustc_hash::FxHashSet;

use super::message::{MemberRow, Scope};
use super::topology::{Located, Topology};
use super::{Exchange, MAX_ROUTERS, MEMBER_TIMEOUT, Member, PEER_TIMEOUT, PeerEvent};

/// The time since it was last listed after which a router that does not send its
/// heartbeats here is unreachable. Longer than [`PEER_TIMEOUT`], so that the replacement
/// of a relay does not make the routers behind it unreachable.
const LISTED_TIMEOUT: Duration = Duration::from_secs(3);

/// The age of a group member's last heartbeat from which on another relay's claim to it
/// is believed.
const HANDOVER_AGE: Duration = Duration::from_millis(350);

impl Exchange {
    /// Records that a router was heard or listed.
    pub(super) fn see(&mut self, address: SocketAddr, seen: Member) {
        self.contacts.remove(&address);
        if self.members.len() >= MAX_ROUTERS && !self.members.contains_key(&address) {
            return;
        }
        if self.members.is_empty() {
            self.met_at = Some(seen.seen_at);
        }
        let previous = self.members.insert(address, seen);
        let is_same = |old: Member| {
            Member {
                seen_at: seen.seen_at,
                ..old
            } == seen
        };
        if !previous.is_some_and(is_same) {
            self.roster += 1;
        }
        if !previous.is_some_and(|old| old.is_reachable) {
            self.events.push(PeerEvent::Reachable(address));
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        let (own, relay) = (self.own.address, self.relay);
        let count = self.members.len();
        for (&address, member) in &mut self.members {
            let peer = self.peers.get(&address);
            let is_direct = peer.is_some_and(|peer| peer.reports_to(own, relay));
            let limit = match is_direct {
                true => PEER_TIMEOUT,
                false => LISTED_TIMEOUT,
            };
            let silence = now.saturating_duration_since(member.seen_at);
            if member.is_reachable && silence >= limit {
                member.is_reachable = false;
                self.roster += 1;
                self.events.push(PeerEvent::Failed(address));
            }
        }
        self.members
            .retain(|_, member| now.saturating_duration_since(member.seen_at) < MEMBER_TIMEOUT);
        if self.members.len() != count {
            self.roster += 1;
        }
        if self.members.is_empty() {
            self.met_at = None;
        }
        let members = &self.members;
        self.peers
            .retain(|address, _| members.contains_key(address));
        self.contacts
            .retain(|_, &mut heard_at| now.saturating_duration_since(heard_at) < MEMBER_TIMEOUT);
        self.resting_relays.retain(|_, &mut until| until > now);
    }

    /// Derives the relays anew if the members have changed.
    pub(super) fn update_topology(&mut self, now: Instant) {
        let basis = (self.roster, self.is_settled(now), self.is_stopping);
        if self.topology_basis.replace(basis) == Some(basis) {
            return;
        }
        let topology = self.topology_of(|_| true);
        if topology != self.topology {
            self.topology = topology;
            self.topology_since = now;
            self.preferred = self.topology.preferred_relays(self.located());
        }
    }

    fn located(&self) -> Located {
        Located {
            address: self.own.address,
            centre: self.own.centre,
        }
    }

    /// Derives the relays among this router and the reachable ones that the function
    /// accepts.
    pub(super) fn topology_of(&self, accepts: impl Fn(&SocketAddr) -> bool) -> Topology {
        let own_is_steady = self.is_settled(self.ticked_at) && !self.is_stopping;
        let mut routers = vec![(self.located(), own_is_steady)];
        let reachable = self.members.iter().filter(|(_, it)| it.is_reachable);
        for (&address, member) in reachable.filter(|(address, _)| accepts(address)) {
            if let Some(centre) = member.centre {
                routers.push((Located { address, centre }, member.is_steady));
            }
        }
        Topology::new(&routers)
    }

    /// Marks routers that are missing from a complete list of this router's relay.
    pub(super) fn drop_unlisted(&mut self, listed: &FxHashSet<SocketAddr>, now: Instant) {
        for (address, member) in &mut self.members {
            let heard_at = self.peers.get(address).map(|peer| peer.heard_at);
            let is_heard =
                heard_at.is_some_and(|at| now.saturating_duration_since(at) < PEER_TIMEOUT);
            // Routers without a data centre are not listed.
            let is_gone = member.centre.is_some() && !is_heard && !listed.contains(address);
            if is_gone && member.is_reachable {
                member.is_reachable = false;
                self.roster += 1;
                self.events.push(PeerEvent::Failed(*address));
            }
        }
    }

    pub(super) fn merge_members(
        &mut self,
        from: SocketAddr,
        scope: Scope,
        rows: &[MemberRow],
        now: Instant,
    ) {
        let own = Some(self.own.address);
        for row in rows.iter().filter(|row| Some(row.address) != own) {
            if let Some(peer) = self.peers.get_mut(&row.address) {
                let age = now.saturating_duration_since(peer.heard_at);
                match &mut peer.beat.place {
                    // It reports to the other relay now.
                    Some(place)
                        if scope == Scope::Group && row.address != from && age >= HANDOVER_AGE =>
                    {
                        place.relay = from;
                    }
                    // What it says of itself is later.
                    _ if age < PEER_TIMEOUT => {
                        if let Some(member) = self.members.get_mut(&row.address) {
                            member.seen_at = now;
                        }
                        continue;
                    }
                    _ => {}
                }
            }
            self.see(
                row.address,
                Member {
                    centre: Some(row.centre),
                    seen_at: now,
                    is_reachable: true,
                    is_steady: row.steady,
                    reads: row.reads,
                },
            );
        }
    }
}
