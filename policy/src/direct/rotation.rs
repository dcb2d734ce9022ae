//! Which overloaded routers of a data centre leave the load balancer's rotation.
//!
//! Load that it answers: one client whose connections the balancer sends to one router
//! asks for more than that router carries. If each router decided alone, the weak ones
//! would hand the flood round, and once fewer than half of the data centre is in
//! rotation the balancer ignores readiness and uses all of it. Each router therefore
//! decides by what all routers of the data centre say of themselves:
//!
//! - Routers that are overloaded leave in the order of what they carry, the weakest
//!   first, and only while at least half of the data centre stays. Those that cannot be
//!   reached, start or stop count as having left.
//! - Those that left return one at a time, the strongest first, once none that stayed has
//!   clearly more requests than the returning one could carry: their callers would return
//!   with it. One that stayed and is overloaded by fewer is relieved by the return.
//!
//! Hysteresis keeps routers of nearly equal strength from taking turns: one that has left
//! counts as weaker than it is.
//!
//! Invariants:
//! - If all routers know the same, at least half of them are in rotation.
//! - A router that is not overloaded is out for at most [`MAX_UNREADY_TIME`], and a
//!   little longer if others return first.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::overload::MAX_UNREADY_TIME;

/// The time for which a router counts as strained after a late task or a refusal.
const STRAIN_TIME: Duration = Duration::from_secs(3);

/// The minimum time between the returns of two routers: the balancer needs up to a second
/// to send callers, and these need a second or two to show their load.
const RETURN_INTERVAL: Duration = Duration::from_secs(3);

/// The time in which the balancer notices that a router left: two of its checks.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// The time after which a router that is no longer known does not count as a part of the
/// data centre. Longer than a restart or a partition lasts.
const FORGET_TIME: Duration = Duration::from_secs(600);

/// The time in which the record of what a router carried falls to half: a router that
/// gets few requests may still carry many.
const CARRIED_HALF_LIFE: Duration = Duration::from_secs(60);

/// The least record of what a router carried: below it the record shows how few callers
/// the router had.
const MIN_CARRIED: f64 = 64.0;

/// The part by which the record of what a router carried approaches the requests in
/// progress at a late task: requests that just began have cost little yet.
const LATE_WEIGHT: f64 = 0.2;

/// A router that has left counts as weaker by this factor.
const OUT_FACTOR: u16 = 3;

/// What a router says of its readiness.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether it has left rotation because it is overloaded.
    pub is_out: bool,
    /// Whether it should leave, by its own load.
    pub is_overloaded: bool,
    /// Whether it was late, or refused requests because it might be, a short time ago.
    pub is_strained: bool,
    /// The requests in progress.
    pub requests: u16,
    /// The requests in progress that it carried without delay.
    pub carried: u16,
}

/// Another router of the data centre.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Neighbour {
    /// The address by which all routers know it.
    pub address: SocketAddr,
    /// What it says, unless it cannot be reached, starts or stops.
    pub readiness: Option<Readiness>,
}

/// The load of this router at a periodic task.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OwnLoad {
    /// Whether the task was late.
    pub is_late: bool,
    /// Whether the router is overloaded; see [`super::overload::OverloadState`].
    pub is_overloaded: bool,
    /// The requests in progress.
    pub requests: usize,
}

/// The number of routers of the data centre by what is known of them.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Counts {
    /// Those in rotation, without this one.
    pub others_in: usize,
    /// Those that cannot be reached, start, stop or have left, without this one.
    pub others_out: usize,
}

/// The decision of one router.
#[derive(Clone, Debug)]
pub struct Rotation {
    address: SocketAddr,
    own: Readiness,
    carried: f64,
    /// When this router left.
    out_since: Option<Instant>,
    /// When a router of the data centre was last seen to return.
    returned_at: Option<Instant>,
    strained_at: Option<Instant>,
    updated_at: Option<Instant>,
    /// The other routers, and when each was last named.
    known: BTreeMap<SocketAddr, (Option<Readiness>, Instant)>,
}

impl Rotation {
    /// Creates the state of a router that is in rotation and knows no other.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            own: Readiness::default(),
            carried: MIN_CARRIED,
            out_since: None,
            returned_at: None,
            strained_at: None,
            updated_at: None,
            known: BTreeMap::new(),
        }
    }

    /// What this router says of its readiness.
    pub fn readiness(&self) -> Readiness {
        self.own
    }

    /// Replaces what is known of the other routers of the data centre.
    pub fn set_neighbours(&mut self, neighbours: &[Neighbour], now: Instant) {
        let is_listed = |address: &SocketAddr| neighbours.iter().any(|it| it.address == *address);
        for (address, (readiness, _)) in &mut self.known {
            if !is_listed(address) {
                *readiness = None;
            }
        }
        for neighbour in neighbours {
            let known = (neighbour.readiness, now);
            let previous = self.known.insert(neighbour.address, known);
            let was_out =
                previous.is_some_and(|(readiness, _)| readiness.is_none_or(|it| it.is_out));
            if was_out && neighbour.readiness.is_some_and(|it| !it.is_out) {
                self.returned_at = Some(now);
            }
        }
        self.known
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < FORGET_TIME);
    }

    /// Records that a request was refused because this router is or may be overloaded.
    pub fn record_refused(&mut self, now: Instant) {
        self.strained_at = Some(now);
    }

    /// Records the own load and decides whether this router is in rotation.
    pub fn update(&mut self, load: OwnLoad, now: Instant) -> Readiness {
        if load.is_late {
            self.strained_at = Some(now);
        }
        self.record_carried(load, now);
        let is_strained = self
            .strained_at
            .is_some_and(|at| now.saturating_duration_since(at) < STRAIN_TIME);
        let to_count = |value: f64| value.min(u16::MAX.into()) as u16;
        self.own = Readiness {
            is_out: self.own.is_out,
            is_overloaded: load.is_overloaded,
            is_strained,
            requests: to_count(load.requests as f64),
            carried: to_count(self.carried),
        };
        let is_out = match self.own.is_out {
            false => load.is_overloaded && self.has_vacancy() && self.may_be_out(),
            true => self.may_be_out() && !self.may_return(now),
        };
        match (self.own.is_out, is_out) {
            (false, true) => self.out_since = Some(now),
            (true, false) => self.returned_at = Some(now),
            _ => {}
        }
        self.own.is_out = is_out;
        self.own
    }

    /// The numbers of other routers in and out of rotation.
    pub fn counts(&self) -> Counts {
        let others_in = self.others_in().count();
        Counts {
            others_in,
            others_out: self.known.len() - others_in,
        }
    }

    /// Whether another router in rotation has room for callers.
    pub fn has_room_elsewhere(&self) -> bool {
        self.others_in().any(|(_, it)| !it.is_strained)
    }

    /// Whether a refused caller that tries again reaches another router, one with room:
    /// its next connection comes back here unless the balancer has noticed that this
    /// router left.
    pub fn moves_retries(&self, now: Instant) -> bool {
        let is_noticed = self
            .out_since
            .is_some_and(|at| now.saturating_duration_since(at) >= NOTICE_TIME);
        self.own.is_out && is_noticed && self.has_room_elsewhere()
    }

    /// Whether connections are closed after a response, or after a refusal. Callers that
    /// reconnect while this router is in rotation come back to it.
    pub fn closes_connections(&self, is_refusal: bool) -> bool {
        self.own.is_out && (is_refusal || self.has_room_elsewhere())
    }

    fn record_carried(&mut self, load: OwnLoad, now: Instant) {
        let elapsed = self
            .updated_at
            .replace(now)
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let halvings = elapsed.as_secs_f64() / CARRIED_HALF_LIFE.as_secs_f64();
        let decayed = self.carried * (-halvings).exp2();
        let requests = load.requests as f64;
        self.carried = match load.is_late {
            true if requests < decayed => decayed + (requests - decayed) * LATE_WEIGHT,
            true => decayed,
            false => decayed.max(requests),
        };
        self.carried = self.carried.max(MIN_CARRIED);
    }

    fn reachable(&self) -> impl Iterator<Item = (SocketAddr, Readiness)> {
        let known = self.known.iter();
        known.filter_map(|(address, (readiness, _))| Some((*address, (*readiness)?)))
    }

    fn others_in(&self) -> impl Iterator<Item = (SocketAddr, Readiness)> {
        self.reachable().filter(|(_, it)| !it.is_out)
    }

    /// The number of routers that may be missing from rotation.
    fn max_out(&self) -> usize {
        self.known.len().div_ceil(2)
    }

    /// Whether another router may leave. One that is to give way returns first.
    fn has_vacancy(&self) -> bool {
        self.counts().others_out < self.max_out()
    }

    /// Whether this router is among the weakest that leave at least half in rotation.
    fn may_be_out(&self) -> bool {
        let missing = self.known.values().filter(|(it, _)| it.is_none()).count();
        let own = (order(&self.own), self.address);
        let others = self
            .reachable()
            .filter(|(_, it)| it.is_out || it.is_overloaded);
        let weaker = others.filter(|(address, it)| (order(it), *address) < own);
        missing + weaker.count() < self.max_out()
    }

    /// Whether it is this router's turn to return, and it could carry what comes with it.
    fn may_return(&self, now: Instant) -> bool {
        let since = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        if self.own.is_overloaded || since(self.returned_at).is_some_and(|it| it < RETURN_INTERVAL)
        {
            return false;
        }
        let own = (self.own.carried, self.address);
        let mut waiting = self
            .reachable()
            .filter(|(_, it)| it.is_out && !it.is_overloaded);
        if waiting.any(|(address, it)| (it.carried, address) > own) {
            return false;
        }
        let is_calm = self
            .others_in()
            .all(|(_, it)| it.requests <= self.own.carried / 2 * 3);
        is_calm || since(self.out_since).is_none_or(|it| it >= MAX_UNREADY_TIME)
    }
}

/// The order in which overloaded routers leave.
fn order(readiness: &Readiness) -> u16 {
    match readiness.is_out {
        true => readiness.carried / OUT_FACTOR,
        false => readiness.carried,
    }
}
