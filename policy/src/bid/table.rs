//! The bids that an agent has received from routers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use entity::{Class, Cost, ProcessId, TeamId};

use super::{BID_TTL, BidKey};
use crate::message::{BidUpdate, Endpoint, Left};
use crate::queue::head_start;

/// One router's waiting requests of one team and class.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RouterBid {
    /// Number of waiting requests, minus those already pulled.
    pub waiting: u32,
    /// Arrival time of the oldest request, by this process's clock.
    pub since: Instant,
    /// Expected cost of one request.
    pub hint: Cost,
}

/// A bid together with its router, team and class.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BidEntry {
    /// The team and class.
    pub key: BidKey,
    /// The router.
    pub router: Endpoint,
    /// The bid.
    pub bid: RouterBid,
}

impl BidEntry {
    /// Arrival time of the oldest request, moved earlier by the head start of its class.
    ///
    /// Within a team, the bid with the earliest virtual arrival is served first.
    pub fn virtual_arrival(&self) -> Option<Instant> {
        self.bid.since.checked_sub(head_start(self.key.class))
    }
}

#[derive(Clone, Copy, Debug)]
struct RouterState {
    endpoint: Endpoint,
    sequence: u64,
    last_update: Instant,
}

/// All bids that an agent holds.
///
/// Invariant: an entry of `teams` holds at least one bid, and each bid has at least
/// one waiting request.
#[derive(Clone, Default, Debug)]
pub struct BidTable {
    routers: BTreeMap<ProcessId, RouterState>,
    teams: BTreeMap<TeamId, BTreeMap<(ProcessId, Class), RouterBid>>,
}

impl BidTable {
    /// Applies an update; `team` resolves the tags of the teams that this process knows.
    ///
    /// Returns the teams that had no bid before.
    pub fn update(
        &mut self,
        now: Instant,
        update: &BidUpdate,
        team: impl Fn(entity::Tag) -> Option<TeamId>,
    ) -> Vec<TeamId> {
        let router = update.router;
        match self.routers.get(&router.id) {
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
        let state = RouterState {
            endpoint: router,
            sequence: update.sequence,
            last_update: now,
        };
        self.routers.insert(router.id, state);
        let before: Vec<_> = self.teams.keys().copied().collect();
        if update.full {
            self.remove_bids(router.id);
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

    /// Applies the remaining number of requests that a reply to a pull reports.
    pub fn update_remaining(&mut self, now: Instant, router: ProcessId, key: BidKey, left: Left) {
        if !self.routers.contains_key(&router) {
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

    /// Subtracts one pulled request from its bid.
    pub fn record_pull(&mut self, router: ProcessId, key: BidKey) {
        let Some(bid) = self.bid(router, key) else {
            return;
        };
        let waiting = bid.waiting - 1;
        self.set(key.team, router, key.class, RouterBid { waiting, ..bid });
    }

    /// Drops all bids and the sequence state of a router.
    pub fn drop_router(&mut self, router: ProcessId) {
        self.routers.remove(&router);
        self.remove_bids(router);
    }

    /// Drops the bids of routers that sent no update for [`BID_TTL`].
    pub fn expire(&mut self, now: Instant) {
        let expired = |state: &&RouterState| now >= state.last_update + BID_TTL;
        let expired: Vec<_> = self
            .routers
            .values()
            .filter(expired)
            .map(|state| state.endpoint.id)
            .collect();
        for router in expired {
            self.drop_router(router);
        }
    }

    /// Whether there are no bids.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Whether any router has a bid for `team`.
    pub fn is_backlogged(&self, team: TeamId) -> bool {
        self.teams.contains_key(&team)
    }

    /// The teams that have bids, in order of their ids.
    pub fn teams(&self) -> impl Iterator<Item = TeamId> {
        self.teams.keys().copied()
    }

    /// The bids of a team, in order of router and class.
    pub fn entries(&self, team: TeamId) -> impl Iterator<Item = BidEntry> {
        let bids = self.teams.get(&team).into_iter().flatten();
        bids.map(move |(&(router, class), &bid)| BidEntry {
            key: BidKey { team, class },
            router: self.routers[&router].endpoint,
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

    fn remove_bids(&mut self, router: ProcessId) {
        self.teams.retain(|_, bids| {
            bids.retain(|(bidder, _), _| *bidder != router);
            !bids.is_empty()
        });
    }
}
