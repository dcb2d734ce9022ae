//! Which routers relay the reports of which others.
//!
//! Load that it answers: hundreds of routers, each of which needs the sums of all. If
//! every router sends its report to every other, messages and bytes grow with the square
//! of the fleet, and reports become older the more routers there are. So the routers of a
//! data centre report to one of a few relays there; relays exchange sums.
//!
//! The relays are those with the lowest hash of their address, so that all routers with
//! the same members derive the same relays without coordination. Routers whose members
//! differ may derive different ones for a while: a router is a relay as soon as another
//! reports to it.

use std::net::SocketAddr;

use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

use super::message::CentreTag;

/// The number of routers up to which each is its own relay: sending every report to all
/// others takes no more messages then, and one hop instead of three.
pub const MAX_DIRECT_ROUTERS: usize = 9;

/// The maximum number of routers of a data centre for each of its relays.
pub const MAX_GROUP_SIZE: usize = 24;

/// A router whose data centre is known.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Located {
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: CentreTag,
}

/// The relays of a fleet.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Topology {
    relays: FxHashMap<SocketAddr, CentreTag>,
}

impl Topology {
    /// Derives the relays of a fleet of these routers; the flag tells whether a router is
    /// steady, neither starting nor stopping.
    ///
    /// In a data centre with as many steady routers as others, only steady ones relay.
    pub fn new(routers: &[(Located, bool)]) -> Self {
        if routers.len() <= MAX_DIRECT_ROUTERS {
            let relays = routers.iter().map(|(it, _)| (it.address, it.centre));
            return Self {
                relays: relays.collect(),
            };
        }
        let mut centres: FxHashMap<CentreTag, Vec<(SocketAddr, bool)>> = FxHashMap::default();
        for (router, is_steady) in routers {
            let centre = centres.entry(router.centre).or_default();
            centre.push((router.address, *is_steady));
        }
        let mut relays = FxHashMap::default();
        for (centre, mut routers) in centres {
            let count = routers.len().div_ceil(MAX_GROUP_SIZE);
            let steady = routers.iter().filter(|(_, is_steady)| *is_steady).count();
            if steady * 2 >= routers.len() {
                routers.retain(|(_, is_steady)| *is_steady);
            }
            let mut addresses: Vec<SocketAddr> = routers.into_iter().map(|it| it.0).collect();
            addresses.sort_unstable_by_key(|&address| (address_hash(address), address));
            relays.extend(addresses.into_iter().take(count).map(|it| (it, centre)));
        }
        Self { relays }
    }

    /// Whether a router is a relay.
    pub fn is_relay(&self, router: SocketAddr) -> bool {
        self.relays.contains_key(&router)
    }

    /// The data centre of a relay.
    pub fn centre_of(&self, relay: SocketAddr) -> Option<CentreTag> {
        self.relays.get(&relay).copied()
    }

    /// The relays, in no particular order.
    pub fn relays(&self) -> impl Iterator<Item = SocketAddr> {
        self.relays.keys().copied()
    }

    /// The relays in the order in which a router chooses among them: those of its data
    /// centre first, and by a hash that spreads routers over relays.
    pub fn preferred_relays(&self, router: Located) -> Vec<SocketAddr> {
        let rank = |&(&relay, &centre): &(&SocketAddr, &CentreTag)| {
            let pair = address_hash(router.address) ^ address_hash(relay).rotate_left(32);
            let score = xxh3_64(&pair.to_le_bytes());
            (centre != router.centre, score, relay)
        };
        let mut relays: Vec<_> = self.relays.iter().collect();
        relays.sort_unstable_by_key(rank);
        relays.into_iter().map(|(&relay, _)| relay).collect()
    }
}

/// Returns the hash by which all routers rank a router.
pub(super) fn address_hash(address: SocketAddr) -> u64 {
    let mut bytes = [0; 18];
    match address {
        SocketAddr::V4(it) => bytes[..4].copy_from_slice(&it.ip().octets()),
        SocketAddr::V6(it) => bytes[..16].copy_from_slice(&it.ip().octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    xxh3_64(&bytes)
}
