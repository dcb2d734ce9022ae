//! The bids that an agent holds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use entity::{Class, Cost, ProcessId, TeamId};

use super::{BID_TTL, BidKey};
use crate::message::{BidUpdate, Endpoint, Left};
use crate::queue::head_start;

/// One router's waiting requests of one team and class.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RouterBid {
    /// The number that waits, less what was pulled.
    pub waiting: u32,
    /// When the oldest arrived, by this process's clock.
    pub since: Instant,
    /// The expected cost of one.
    pub hint: Cost,
}

/// A bid and where it stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Lot {
    /// The team and class.
    pub key: BidKey,
    /// The router.
    pub router: Endpoint,
    /// The bid.
    pub bid: RouterBid,
}

impl Lot {
    /// When the oldest request would have arrived if it were of class batch.
    ///
    /// Within a team the least of these goes first.
    pub fn virtual_arrival(&self) -> Option<Instant> {
        self.bid.since.checked_sub(head_start(self.key.class))
    }
}

#[derive(Clone, Copy, Debug)]
struct Source {
    endpoint: Endpoint,
    sequence: u64,
    heard: Instant,
}

/// All bids that an agent holds.
///
/// Invariant: an entry of `teams` holds at least one bid, and each bid waits for
/// at least one slot.
#[derive(Clone, Default, Debug)]
pub struct BidTable {
    sources: BTreeMap<ProcessId, Source>,
    teams: BTreeMap<TeamId, BTreeMap<(ProcessId, Class), RouterBid>>,
}

impl BidTable {
    /// Takes in an update; `team` resolves names that this process knows.
    ///
    /// Returns the teams that had no bid before.
    pub fn update(
        &mut self,
        now: Instant,
        update: &BidUpdate,
        team: impl Fn(entity::Tag) -> Option<TeamId>,
    ) -> Vec<TeamId> {
        let router = update.router;
        match self.sources.get(&router.id) {
            Some(known) if known.endpoint.incarnation > router.incarnation => return Vec::new(),
            Some(known)
                if known.endpoint.incarnation == router.incarnation
                    && known.sequence >= update.sequence =>
            {
                return Vec::new();
            }
            Some(known) if known.endpoint.incarnation != router.incarnation => {
                self.drop_router(router.id);
            }
            _ => {}
        }
        let source = Source {
            endpoint: router,
            sequence: update.sequence,
            heard: now,
        };
        self.sources.insert(router.id, source);
        let before: Vec<_> = self.teams.keys().copied().collect();
        if update.full {
            self.withdraw(router.id);
        }
        for bid in &update.bids {
            let Some(team) = team(bid.team) else { continue };
            let since = now.checked_sub(bid.oldest).unwrap_or(now);
            let entry = RouterBid {
                waiting: bid.waiting,
                since,
                hint: bid.hint,
            };
            self.set(team, router.id, bid.class, entry);
        }
        let is_new = |team: &TeamId| before.binary_search(team).is_err();
        self.teams.keys().copied().filter(is_new).collect()
    }

    /// Takes in what an answer to a pull says of what is left.
    pub fn left(&mut self, now: Instant, router: ProcessId, key: BidKey, left: Left) {
        if !self.sources.contains_key(&router) {
            return;
        }
        let hint = self.bid(router, key).map_or(Cost(1), |bid| bid.hint);
        let oldest = Duration::from_millis(u64::from(left.oldest));
        let since = now.checked_sub(oldest).unwrap_or(now);
        let entry = RouterBid {
            waiting: left.waiting,
            since,
            hint,
        };
        self.set(key.team, router, key.class, entry);
    }

    /// Counts one request as pulled.
    pub fn pulled(&mut self, router: ProcessId, key: BidKey) {
        let Some(bid) = self.bid(router, key) else {
            return;
        };
        let waiting = bid.waiting - 1;
        self.set(key.team, router, key.class, RouterBid { waiting, ..bid });
    }

    /// Drops everything that is known of a router.
    pub fn drop_router(&mut self, router: ProcessId) {
        self.sources.remove(&router);
        self.withdraw(router);
    }

    /// Drops the bids of routers that were not heard of for [`BID_TTL`].
    pub fn expire(&mut self, now: Instant) {
        let old = |source: &&Source| now >= source.heard + BID_TTL;
        let old: Vec<_> = self
            .sources
            .values()
            .filter(old)
            .map(|source| source.endpoint.id)
            .collect();
        for router in old {
            self.drop_router(router);
        }
    }

    /// Whether no router bids.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Whether some router bids for `team`.
    pub fn is_backlogged(&self, team: TeamId) -> bool {
        self.teams.contains_key(&team)
    }

    /// The teams for which some router bids, in order.
    pub fn teams(&self) -> impl Iterator<Item = TeamId> {
        self.teams.keys().copied()
    }

    /// The bids for a team, in order of router and class.
    pub fn lots(&self, team: TeamId) -> impl Iterator<Item = Lot> {
        let bids = self.teams.get(&team).into_iter().flatten();
        bids.map(move |(&(router, class), &bid)| Lot {
            key: BidKey { team, class },
            router: self.sources[&router].endpoint,
            bid,
        })
    }

    /// The number of bids.
    pub fn len(&self) -> usize {
        self.teams.values().map(BTreeMap::len).sum()
    }

    fn bid(&self, router: ProcessId, key: BidKey) -> Option<RouterBid> {
        self.teams
            .get(&key.team)?
            .get(&(router, key.class))
            .copied()
    }

    fn set(&mut self, team: TeamId, router: ProcessId, class: Class, bid: RouterBid) {
        let bids = self.teams.entry(team).or_default();
        match bid.waiting {
            0 => bids.remove(&(router, class)),
            _ => bids.insert((router, class), bid),
        };
        if bids.is_empty() {
            self.teams.remove(&team);
        }
    }

    fn withdraw(&mut self, router: ProcessId) {
        self.teams.retain(|_, bids| {
            bids.retain(|(bidder, _), _| *bidder != router);
            !bids.is_empty()
        });
    }
}
