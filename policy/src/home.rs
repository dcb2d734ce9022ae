//! The home of an idempotency key: the one agent that may start it.
//!
//! The home of a caller's key is chosen by rendezvous hashing over the entries of
//! its pool's [`Roster`] that cover the key's issue time. A [`Ticket`] names its agent.
//!
//! A router calls [`Roster::home`] to pick the agent for a caller's key and
//! [`TicketIssuer::issue`] for a request that came without a key. An agent keeps its
//! roster in a [`RosterLease`] and consults the lease before it starts a caller's key.
//!
//! Invariants:
//! - The home depends only on the key and the roster, not on which processes are
//!   reachable.
//! - Two processes whose leases both confirm the home of a key agree on it, provided
//!   that each roster change is published at least the lead time before the issue
//!   times that it affects. A change without that lead causes a [`Hold`].

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use entity::{Fingerprint, IdempotencyKey, Incarnation, Now, PoolId, Revision, Tag, Ticket};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rules::Config;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The end of an entry without a limit, as a distance from the epoch past all issue times.
const UNLIMITED: Duration = Duration::from_secs(1 << 40);

/// The range of issue times for which an agent may be the home.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RosterEntry {
    /// The agent.
    pub agent: Tag,
    /// The first issue time, unlimited if `None`.
    pub from: Option<SystemTime>,
    /// The first issue time after the range, unlimited if `None`.
    pub until: Option<SystemTime>,
}

impl RosterEntry {
    fn covers(&self, issued: SystemTime) -> bool {
        let has_started = self.from.is_none_or(|from| from <= issued);
        has_started && self.until.is_none_or(|until| issued < until)
    }

    fn start(&self) -> SystemTime {
        self.from.unwrap_or(UNIX_EPOCH)
    }

    fn end(&self) -> SystemTime {
        self.until.unwrap_or(UNIX_EPOCH + UNLIMITED)
    }

    /// The issue times that are covered by only one of this entry and the agent's `other` entry.
    fn difference(&self, other: Option<&Self>) -> Hold {
        let Some(other) = other else {
            return Hold {
                from: self.start(),
                until: self.end(),
            };
        };
        let from = match self.start() == other.start() {
            true => self.end().min(other.end()),
            false => self.start().min(other.start()),
        };
        let until = match self.end() == other.end() {
            true => self.start().max(other.start()),
            false => self.end().max(other.end()),
        };
        Hold { from, until }
    }
}

/// The agents of one pool in one revision of the rules.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Roster {
    revision: Revision,
    entries: Vec<RosterEntry>,
}

impl Roster {
    /// Creates a roster; the order of `entries` does not matter.
    pub fn new(revision: Revision, mut entries: Vec<RosterEntry>) -> Self {
        entries.sort_by_key(|entry| entry.agent);
        Self { revision, entries }
    }

    /// Creates the roster of `pool` from `config`; empty if the pool has no rule.
    pub fn of_pool(config: &Config, pool: PoolId) -> Self {
        let targets = config.pools[pool].iter().flat_map(|pool| &pool.targets);
        let entries = targets.filter_map(|&id| {
            let target = config.targets[id].as_ref()?;
            Some(RosterEntry {
                agent: config.names.targets.tag(id),
                from: target.from,
                until: target.until,
            })
        });
        Self::new(config.revision, entries.collect())
    }

    /// The revision of the rules.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The agent that may start `key`, if there is one.
    pub fn home(&self, key: &IdempotencyKey) -> Option<Tag> {
        match key {
            IdempotencyKey::Ticket(ticket) => Some(ticket.agent),
            IdempotencyKey::Caller(uuid) => {
                rendezvous_choice(self.entries.iter(), uuid.as_u128(), key.issued())
            }
        }
    }

    /// The agent that may run `fingerprint` while it is suspected of crashing targets.
    ///
    /// Agents that are not `usable` are skipped. Processes that disagree on which
    /// agents are usable may run the request on more than one target.
    pub fn trial_agent(
        &self,
        fingerprint: Fingerprint,
        now: Now,
        usable: impl Fn(Tag) -> bool,
    ) -> Option<Tag> {
        let entries = self.entries.iter().filter(|entry| usable(entry.agent));
        rendezvous_choice(entries, fingerprint.0, now.wall)
    }

    /// A range that contains all issue times whose home may differ between the two rosters;
    /// `None` if they have the same entries.
    pub fn difference(&self, other: &Self) -> Option<Hold> {
        let from_self = changed_entries(&self.entries, &other.entries);
        let from_other = changed_entries(&other.entries, &self.entries);
        from_self.chain(from_other).reduce(Hold::join)
    }
}

/// Chooses the agent of `value` by rendezvous hashing among the entries that cover `time`.
fn rendezvous_choice<'a>(
    entries: impl Iterator<Item = &'a RosterEntry>,
    value: u128,
    time: SystemTime,
) -> Option<Tag> {
    let agents = entries
        .filter(|entry| entry.covers(time))
        .map(|entry| entry.agent);
    let score = |agent: Tag| xxh3_64_with_seed(&value.to_be_bytes(), agent.0);
    agents.max_by_key(|&agent| (score(agent), agent))
}

/// For each entry that `others` lacks or has with another range, the affected issue times.
fn changed_entries<'a>(
    entries: &'a [RosterEntry],
    others: &'a [RosterEntry],
) -> impl Iterator<Item = Hold> + 'a {
    let changed = entries.iter().filter(|entry| !others.contains(entry));
    changed.map(|entry| {
        let other = others.iter().find(|other| other.agent == entry.agent);
        entry.difference(other)
    })
}

/// A range of issue times whose home is in doubt, because a roster change was
/// published without lead.
///
/// Peers exchange holds, so that a process that starts without state learns them.
/// Merging is idempotent and commutative.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Hold {
    /// The first issue time in doubt.
    pub from: SystemTime,
    /// The first issue time after the range.
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

/// The bounds on which at-most-once execution relies.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Bounds {
    /// The maximum difference between any two wall clocks, including those of callers.
    pub skew: Duration,
    /// The minimum time between the publication of a roster change and the first issue
    /// time that it affects.
    pub lead: Duration,
    /// The lifetime of a caller's key, and the maximum lifetime of a ticket.
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

/// A roster, and the issue times for which a process may rely on it.
///
/// The configuration service extends the lease by confirming the roster's revision.
#[derive(Clone, Debug)]
pub struct RosterLease {
    bounds: Bounds,
    roster: Roster,
    configured: bool,
    confirmed: Option<SystemTime>,
    hold: Option<Hold>,
}

impl RosterLease {
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

    /// The current roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The hold to send to peers, if there is one.
    pub fn hold(&self) -> Option<Hold> {
        self.hold
    }

    /// Installs a newer roster; an older or equal revision is ignored.
    pub fn configure(&mut self, now: Now, roster: Roster) {
        if self.configured && roster.revision <= self.roster.revision {
            return;
        }
        let change = self.roster.difference(&roster);
        if let (true, Some(change)) = (self.configured, change) {
            // The change was published at the latest now, so the leases of processes with
            // the old roster end at the latest at now + lead.
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

    /// Merges a hold of a peer; a hold whose keys have all expired is ignored.
    pub fn merge_hold(&mut self, now: Now, hold: Hold) {
        let Bounds { skew, lifetime, .. } = self.bounds;
        let live = |hold: &Hold| now.wall <= hold.until + lifetime + skew;
        let own = self.hold.filter(live);
        let other = Some(hold).filter(live);
        self.hold = own.into_iter().chain(other).reduce(Hold::join);
    }

    /// Records that the configuration service named `revision` as the latest.
    ///
    /// `asked` is the time when this process sent its query to the service or to the
    /// relaying peer. `age` is the age that the peer stated, or 0 for the service
    /// itself. A confirmation of a revision other than the current one is ignored.
    pub fn confirm(&mut self, revision: Revision, asked: Now, age: Duration) {
        if !self.configured || revision != self.roster.revision {
            return;
        }
        let at = asked.wall.checked_sub(age).unwrap_or(UNIX_EPOCH);
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Whether no other process can rely on a different home for a key issued at `issued`.
    pub fn confirms_home(&self, issued: SystemTime) -> bool {
        let Bounds { skew, lead, .. } = self.bounds;
        let held = self
            .hold
            .is_some_and(|hold| hold.from <= issued && issued < hold.until);
        let confirmed = self.confirmed.is_some_and(|at| issued + skew < at + lead);
        confirmed && !held
    }
}

/// Issues tickets for requests that came without a key.
#[derive(Clone, Debug)]
pub struct TicketIssuer {
    lifetime: Duration,
    random: ChaCha8Rng,
}

impl TicketIssuer {
    /// Creates an issuer; `seed` must differ between all incarnations of all routers.
    ///
    /// `lifetime` must not exceed [`Bounds::lifetime`], or agents refuse the tickets.
    pub fn new(lifetime: Duration, seed: u64) -> Self {
        Self {
            lifetime,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Issues a ticket for the incarnation of `agent` that a recent response named.
    pub fn issue(&mut self, now: Now, agent: Tag, incarnation: Incarnation) -> Ticket {
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
