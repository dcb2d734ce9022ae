//! Which processes there are.
//!
//! [`Members`] merges claims about lives of processes. A life is a process id
//! and an incarnation, so a process that starts again under an old name, or at
//! an old address, is another life.
//!
//! Invariants:
//! - Merging is idempotent and independent of order: a later incarnation wins,
//!   then a higher round, then the worse health. The VM list's word is merged
//!   apart from that, by the index of the list.
//! - The VM list creates unknown members only; it neither kills nor revives.
//! - Only the process itself raises its round, so a suspicion ends by
//!   refutation or by time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use entity::{Incarnation, ProcessId, Tag};

use crate::fleet::message::{Claim, Health, Listing, Role};
use crate::message::Endpoint;

pub mod probe;

/// How long a suspect may refute before it counts as dead.
pub const SUSPICION: Duration = Duration::from_secs(4);

/// How long a dead member that nothing names is remembered.
pub const FORGET_DEAD: Duration = Duration::from_secs(6 * 3600);

/// The greatest number of members; claims about more are dropped.
pub const MAX_MEMBERS: usize = 4096;

/// The greatest number of claims on one probe or answer.
pub const PIGGYBACK_CLAIMS: usize = 8;

/// What is known of one process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Member {
    /// The merged claim.
    pub claim: Claim,
    /// Since when its health is what it is.
    pub since: Instant,
    /// How often the claim was passed on since it changed; `None` when often enough.
    sent: Option<u32>,
}

impl Member {
    /// Whether the process is thought to run.
    pub fn is_live(&self) -> bool {
        matches!(self.claim.health, Health::Alive | Health::Suspect)
    }

    /// Whether the process or the VM list says that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.claim.leaving || self.claim.listing.leaving
    }
}

/// What a claim changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Merged {
    /// Nothing.
    Nothing,
    /// Something that may spread with the next probes.
    Changed,
    /// Whether the process takes new work.
    Leaving,
    /// The claim is about this process and must be refuted.
    Refute,
    /// The claim names a later life of this process.
    Superseded(Incarnation),
}

/// All processes that are known, this one apart.
#[derive(Clone, Debug)]
pub struct Members {
    own: Claim,
    others: BTreeMap<ProcessId, Member>,
    queue: BTreeSet<(u32, ProcessId)>,
}

impl Members {
    /// Creates a table that knows only this process.
    pub fn new(endpoint: Endpoint, role: Role, centre: Tag) -> Self {
        let own = Claim {
            endpoint,
            role,
            centre,
            round: 0,
            health: Health::Alive,
            leaving: false,
            listing: Listing::default(),
        };
        Self {
            own,
            others: BTreeMap::new(),
            queue: BTreeSet::new(),
        }
    }

    /// This process's claim about itself.
    pub fn own(&self) -> Claim {
        self.own
    }

    /// The other processes in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    /// The member with this id.
    pub fn get(&self, id: ProcessId) -> Option<&Member> {
        self.others.get(&id)
    }

    /// The number of other processes known.
    pub fn len(&self) -> usize {
        self.others.len()
    }

    /// Whether no other process is known.
    pub fn is_empty(&self) -> bool {
        self.others.is_empty()
    }

    /// Raises this process's incarnation above one that a peer remembers.
    pub fn raise(&mut self, above: Incarnation) {
        self.own.endpoint.incarnation = Incarnation(above.0 + 1);
        self.own.round = 0;
    }

    /// Announces whether this process takes new work; returns whether that changed.
    pub fn announce(&mut self, leaving: bool) -> bool {
        if self.own.leaving == leaving {
            return false;
        }
        self.own.leaving = leaving;
        self.own.round += 1;
        true
    }

    /// Merges a claim.
    pub fn merge(&mut self, now: Instant, claim: &Claim) -> Merged {
        if claim.endpoint.id == self.own.endpoint.id {
            return self.merge_own(claim);
        }
        let Some(member) = self.others.get(&claim.endpoint.id) else {
            return self.insert(now, *claim);
        };
        let before = *member;
        let after = merged(&before.claim, claim);
        if after == before.claim {
            return Merged::Nothing;
        }
        let same = after.health == before.claim.health;
        let same = same && after.endpoint.incarnation == before.claim.endpoint.incarnation;
        let since = if same { before.since } else { now };
        let member = Member {
            claim: after,
            since,
            sent: before.sent,
        };
        self.others.insert(after.endpoint.id, member);
        self.enqueue(after.endpoint.id);
        match before.is_leaving() == member.is_leaving() {
            true => Merged::Changed,
            false => Merged::Leaving,
        }
    }

    /// Names a process that the VM list or the rules mention and nobody has heard of.
    pub fn name(&mut self, now: Instant, endpoint: Endpoint, role: Role, centre: Tag) {
        if let Some(member) = self.others.get_mut(&endpoint.id) {
            // Nobody answers at the old address, so the list's word is worth a try.
            if !member.is_live() {
                member.claim.endpoint.control = endpoint.control;
            }
            return;
        }
        if endpoint.id == self.own.endpoint.id || self.others.len() >= MAX_MEMBERS {
            return;
        }
        let claim = Claim {
            endpoint,
            role,
            centre,
            round: 0,
            health: Health::Unknown,
            leaving: false,
            listing: Listing::default(),
        };
        let member = Member {
            claim,
            since: now,
            sent: None,
        };
        self.others.insert(endpoint.id, member);
    }

    /// Notes what the VM list says of a process.
    pub fn list(&mut self, now: Instant, id: ProcessId, listing: Listing) -> Merged {
        if id == self.own.endpoint.id {
            self.own.listing = self.own.listing.max(listing);
            return Merged::Nothing;
        }
        let Some(member) = self.others.get_mut(&id) else {
            return Merged::Nothing;
        };
        let differs = member.claim.listing.leaving != listing.leaving;
        if listing.index <= member.claim.listing.index {
            return Merged::Nothing;
        }
        if !differs {
            // An index that changes nothing need not spread.
            member.claim.listing = listing;
            return Merged::Nothing;
        }
        let claim = Claim {
            listing,
            ..member.claim
        };
        self.merge(now, &claim)
    }

    /// Suspects a life that did not answer; returns whether that is news.
    pub fn suspect(&mut self, now: Instant, id: ProcessId, incarnation: Incarnation) -> bool {
        let health = match self.others.get(&id).map(|member| member.claim.health) {
            Some(Health::Unknown) => Health::Dead,
            _ => Health::Suspect,
        };
        self.degrade(now, id, incarnation, health)
    }

    /// Ends suspicions and drops members that nobody has named for long.
    pub fn tick(&mut self, now: Instant) -> bool {
        let age = |member: &Member| now.saturating_duration_since(member.since);
        let lapsed: Vec<_> = self
            .others
            .values()
            .filter(|member| member.claim.health == Health::Suspect && age(member) >= SUSPICION)
            .map(|member| member.claim.endpoint)
            .collect();
        for endpoint in &lapsed {
            self.degrade(now, endpoint.id, endpoint.incarnation, Health::Dead);
        }
        let expired: Vec<_> = self
            .others
            .values()
            .filter(|member| member.claim.health == Health::Dead && age(member) >= FORGET_DEAD)
            .map(|member| member.claim.endpoint.id)
            .collect();
        for id in &expired {
            self.remove(*id);
        }
        !lapsed.is_empty() || !expired.is_empty()
    }

    /// Gives every suspect its full time again, after this process did not run.
    pub fn resume(&mut self, now: Instant) {
        let suspects = self.others.values_mut();
        for member in suspects.filter(|member| member.claim.health == Health::Suspect) {
            member.since = now;
        }
    }

    /// The claims to put on one message: those passed on least, fewer than `limit` times.
    pub fn piggyback(&mut self, limit: u32) -> Vec<Claim> {
        let chosen: Vec<_> = self.queue.iter().take(PIGGYBACK_CLAIMS).copied().collect();
        let mut claims = Vec::with_capacity(chosen.len());
        for (sent, id) in chosen {
            self.queue.remove(&(sent, id));
            let Some(member) = self.others.get_mut(&id) else {
                continue;
            };
            claims.push(member.claim);
            member.sent = (sent + 1 < limit).then_some(sent + 1);
            if let Some(sent) = member.sent {
                self.queue.insert((sent, id));
            }
        }
        claims
    }

    /// Raises this process's round above a claim that must be refuted.
    pub fn refute(&mut self, claim: &Claim) {
        self.own.round = self.own.round.max(claim.round) + 1;
    }

    fn merge_own(&mut self, claim: &Claim) -> Merged {
        self.own.listing = self.own.listing.max(claim.listing);
        let own = self.own;
        match claim.endpoint.incarnation.cmp(&own.endpoint.incarnation) {
            std::cmp::Ordering::Greater => Merged::Superseded(claim.endpoint.incarnation),
            std::cmp::Ordering::Less => Merged::Nothing,
            std::cmp::Ordering::Equal if claim.round < own.round => Merged::Nothing,
            std::cmp::Ordering::Equal => {
                let bad = claim.health > Health::Alive || claim.leaving != own.leaving;
                match bad {
                    true => Merged::Refute,
                    false => Merged::Nothing,
                }
            }
        }
    }

    fn insert(&mut self, now: Instant, claim: Claim) -> Merged {
        if self.others.len() >= MAX_MEMBERS {
            return Merged::Nothing;
        }
        let member = Member {
            claim,
            since: now,
            sent: None,
        };
        self.others.insert(claim.endpoint.id, member);
        match claim.health {
            // Who names a process without having heard of it has no news.
            Health::Unknown => {}
            _ => self.enqueue(claim.endpoint.id),
        }
        match member.is_leaving() {
            true => Merged::Leaving,
            false => Merged::Changed,
        }
    }

    fn degrade(
        &mut self,
        now: Instant,
        id: ProcessId,
        incarnation: Incarnation,
        health: Health,
    ) -> bool {
        let Some(member) = self.others.get(&id) else {
            return false;
        };
        if member.claim.endpoint.incarnation != incarnation {
            return false;
        }
        let claim = Claim {
            health,
            ..member.claim
        };
        self.merge(now, &claim) != Merged::Nothing
    }

    fn enqueue(&mut self, id: ProcessId) {
        let member = self.others.get_mut(&id).expect("queued members are known");
        if let Some(sent) = member.sent.replace(0) {
            self.queue.remove(&(sent, id));
        }
        self.queue.insert((0, id));
    }

    fn remove(&mut self, id: ProcessId) {
        if let Some(sent) = self.others.remove(&id).and_then(|member| member.sent) {
            self.queue.remove(&(sent, id));
        }
    }
}

/// The join of two claims about one process.
fn merged(a: &Claim, b: &Claim) -> Claim {
    let rank = |claim: &Claim| (claim.endpoint.incarnation, claim.round, claim.health);
    let winner = if rank(b) > rank(a) { b } else { a };
    Claim {
        listing: a.listing.max(b.listing),
        ..*winner
    }
}
