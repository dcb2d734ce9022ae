//! Which agent may start a key.
//!
//! A caller's key has a home: the rendezvous choice over the seats of its pool's
//! [`Roster`] that cover the key's issue time. A [`Ticket`] names its agent.
//!
//! A router calls [`Roster::home`] to pick the agent for a caller's key and
//! [`TicketMint::mint`] for a request that came without a key. An agent keeps a
//! [`Vouch`] beside its roster and asks it before it starts a caller's key.
//!
//! Invariants:
//! - The home depends on the key and the roster only, never on who is reachable.
//! - Two processes that both vouch for a key agree on its home, provided that
//!   each roster change is published at least the lead time before the issue
//!   times that it affects. A change without that lead is held: see [`Hold`].

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use entity::{Fingerprint, IdempotencyKey, Incarnation, Now, PoolId, Revision, Tag, Ticket};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rules::Config;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Stands for no end of a seat: the distance of an issue time past all others from the epoch.
const FOREVER: Duration = Duration::from_secs(1 << 40);

/// The issue times for which one agent may be home.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Seat {
    /// The agent.
    pub agent: Tag,
    /// The first issue time, unlimited if `None`.
    pub from: Option<SystemTime>,
    /// The first issue time after the seat ends, unlimited if `None`.
    pub until: Option<SystemTime>,
}

impl Seat {
    fn covers(&self, issued: SystemTime) -> bool {
        let begun = self.from.is_none_or(|from| from <= issued);
        begun && self.until.is_none_or(|until| issued < until)
    }

    fn begin(&self) -> SystemTime {
        self.from.unwrap_or(UNIX_EPOCH)
    }

    fn end(&self) -> SystemTime {
        self.until.unwrap_or(UNIX_EPOCH + FOREVER)
    }

    /// The issue times that this seat and the agent's other seat treat differently.
    fn difference(&self, other: Option<&Self>) -> Hold {
        let Some(other) = other else {
            return Hold {
                from: self.begin(),
                until: self.end(),
            };
        };
        let from = match self.begin() == other.begin() {
            true => self.end().min(other.end()),
            false => self.begin().min(other.begin()),
        };
        let until = match self.end() == other.end() {
            true => self.begin().max(other.begin()),
            false => self.end().max(other.end()),
        };
        Hold { from, until }
    }
}

/// The agents of one pool by one revision of the rules.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Roster {
    revision: Revision,
    seats: Vec<Seat>,
}

impl Roster {
    /// Creates a roster; the order of `seats` does not matter.
    pub fn new(revision: Revision, mut seats: Vec<Seat>) -> Self {
        seats.sort_by_key(|seat| seat.agent);
        Self { revision, seats }
    }

    /// The roster of `pool` in `config`; empty if the pool has no rule.
    pub fn of_pool(config: &Config, pool: PoolId) -> Self {
        let targets = config.pools[pool].iter().flat_map(|pool| &pool.targets);
        let seats = targets.filter_map(|&id| {
            let target = config.targets[id].as_ref()?;
            Some(Seat {
                agent: config.names.targets.tag(id),
                from: target.from,
                until: target.until,
            })
        });
        Self::new(config.revision, seats.collect())
    }

    /// The revision of the rules.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The agent that may start `key`, if there is one.
    pub fn home(&self, key: &IdempotencyKey) -> Option<Tag> {
        match key {
            IdempotencyKey::Ticket(ticket) => Some(ticket.agent),
            IdempotencyKey::Caller(uuid) => choose(self.seats.iter(), uuid.as_u128(), key.issued()),
        }
    }

    /// The agent that runs `fingerprint` while it is suspected of crashing targets.
    ///
    /// Agents that are not `usable` are passed over; processes that disagree on
    /// them may try the request on more than one target.
    pub fn trial_home(
        &self,
        fingerprint: Fingerprint,
        now: Now,
        usable: impl Fn(Tag) -> bool,
    ) -> Option<Tag> {
        let seats = self.seats.iter().filter(|seat| usable(seat.agent));
        choose(seats, fingerprint.0, now.wall)
    }

    /// The issue times whose home may differ between the two rosters.
    pub fn difference(&self, other: &Self) -> Option<Hold> {
        let here = lone_seats(&self.seats, &other.seats);
        let there = lone_seats(&other.seats, &self.seats);
        here.chain(there).reduce(Hold::join)
    }
}

/// The rendezvous choice of `value` among the seats that cover `issued`.
fn choose<'a>(
    seats: impl Iterator<Item = &'a Seat>,
    value: u128,
    issued: SystemTime,
) -> Option<Tag> {
    let agents = seats
        .filter(|seat| seat.covers(issued))
        .map(|seat| seat.agent);
    let score = |agent: Tag| xxh3_64_with_seed(&value.to_be_bytes(), agent.0);
    agents.max_by_key(|&agent| (score(agent), agent))
}

fn lone_seats<'a>(seats: &'a [Seat], others: &'a [Seat]) -> impl Iterator<Item = Hold> + 'a {
    let lone = seats.iter().filter(|seat| !others.contains(seat));
    lone.map(|seat| {
        let other = others.iter().find(|other| other.agent == seat.agent);
        seat.difference(other)
    })
}

/// Issue times whose home is in doubt, because a roster change came without lead.
///
/// Peers exchange holds, so that a process that starts empty learns of them.
/// Merging is idempotent and commutative.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Hold {
    /// The first issue time in doubt.
    pub from: SystemTime,
    /// The first issue time that is in doubt no longer.
    pub until: SystemTime,
}

impl Hold {
    fn join(self, other: Self) -> Self {
        Self {
            from: self.from.min(other.from),
            until: self.until.max(other.until),
        }
    }
}

/// The bounds on which at-most-once execution rests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Bounds {
    /// The greatest difference between any two wall clocks, callers' included.
    pub skew: Duration,
    /// How long before its first affected issue time a roster change is published.
    pub lead: Duration,
    /// How long a caller's key lives, and the longest life of a ticket.
    pub lifetime: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            skew: Duration::from_secs(2),
            lead: Duration::from_secs(300),
            lifetime: Duration::from_secs(24 * 3600),
        }
    }
}

/// Up to which issue time a process may rely on its roster.
#[derive(Clone, Debug)]
pub struct Vouch {
    bounds: Bounds,
    roster: Roster,
    configured: bool,
    confirmed: Option<SystemTime>,
    hold: Option<Hold>,
}

impl Vouch {
    /// Creates the state of a process that has no roster yet.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            roster: Roster::default(),
            configured: false,
            confirmed: None,
            hold: None,
        }
    }

    /// The roster in force.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The hold to tell to peers, if there is one.
    pub fn hold(&self) -> Option<Hold> {
        self.hold
    }

    /// Takes a newer roster into force; an older or equal revision is ignored.
    pub fn configure(&mut self, now: Now, roster: Roster) {
        if self.configured && roster.revision <= self.roster.revision {
            return;
        }
        let change = self.roster.difference(&roster);
        if let (true, Some(change)) = (self.configured, change) {
            // Published at the latest now, so stale processes vouch up to now + lead.
            let until = now.wall + self.bounds.skew + self.bounds.lead;
            let until = until.min(change.until);
            let from = change.from;
            if from < until {
                self.merge_hold(now, Hold { from, until });
            }
        }
        self.roster = roster;
        self.configured = true;
    }

    /// Learns a hold from a peer; a hold whose keys have all expired is ignored.
    pub fn merge_hold(&mut self, now: Now, hold: Hold) {
        let Bounds { skew, lifetime, .. } = self.bounds;
        let live = |hold: &Hold| now.wall <= hold.until + lifetime + skew;
        let own = self.hold.filter(live);
        let other = Some(hold).filter(live);
        self.hold = own.into_iter().chain(other).reduce(Hold::join);
    }

    /// The configuration service named `revision` the latest.
    ///
    /// `asked` is when this process sent its question to the service or to the
    /// relaying peer; `age` is the age that the peer stated, 0 for the service
    /// itself. A confirmation of another revision than the one in force is ignored.
    pub fn confirm(&mut self, revision: Revision, asked: Now, age: Duration) {
        if !self.configured || revision != self.roster.revision {
            return;
        }
        let at = asked.wall.checked_sub(age).unwrap_or(UNIX_EPOCH);
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Whether the roster's home of a key issued at `issued` is the home everywhere.
    pub fn vouches(&self, issued: SystemTime) -> bool {
        let Bounds { skew, lead, .. } = self.bounds;
        let held = self
            .hold
            .is_some_and(|hold| hold.from <= issued && issued < hold.until);
        let confirmed = self.confirmed.is_some_and(|at| issued + skew < at + lead);
        confirmed && !held
    }
}

/// Makes tickets for requests that came without a key.
#[derive(Clone, Debug)]
pub struct TicketMint {
    lifetime: Duration,
    random: ChaCha8Rng,
}

impl TicketMint {
    /// Creates a mint; `seed` must differ between all lives of all routers.
    ///
    /// `lifetime` must not exceed [`Bounds::lifetime`], or agents refuse the tickets.
    pub fn new(lifetime: Duration, seed: u64) -> Self {
        Self {
            lifetime,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Mints a ticket for the life of `agent` that a recent response named.
    pub fn mint(&mut self, now: Now, agent: Tag, incarnation: Incarnation) -> Ticket {
        let since = now.wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        let issued = since.as_millis() as u64;
        Ticket {
            agent,
            incarnation,
            issued,
            expires: issued + self.lifetime.as_millis() as u64,
            serial: self.random.next_u64(),
        }
    }
}
