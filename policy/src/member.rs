//! The member table: all known processes and their health.
//!
//! [`Members`] merges claims about processes. Each claim concerns one
//! incarnation of a process id, so a process that restarts under the same name,
//! or at the same address, is told apart from its former run.
//!
//! Invariants:
//! - Merging is idempotent and independent of order: a later incarnation wins,
//!   then a higher round, then the worse health. The entry of the VM list is
//!   merged separately, by the index of the list.
//! - The VM list only adds members of unknown health; it never changes the
//!   health of a member.
//! - Only the process itself raises its round, so a suspicion ends either by
//!   refutation or by timeout.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::{Duration, Instant};

use entity::{Incarnation, ProcessId, Tag};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::message::{Claim, Health, Listing, Role};
use crate::message::Endpoint;

pub mod probe;

/// How long a suspect may refute the suspicion before it is considered dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a dead member stays in the table.
pub const DEAD_RETENTION: Duration = Duration::from_secs(6 * 3600);

/// How long a process counts as reachable after a direct message from it.
pub const CONTACT_VALIDITY: Duration = Duration::from_secs(10);

/// The maximum number of members; claims about further processes are dropped.
pub const MAX_MEMBERS: usize = 4096;

/// The maximum number of claims piggybacked on one probe or answer.
pub const PIGGYBACK_CLAIMS: usize = 6;

/// The entry of one process in the member table.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Member {
    /// The merged claim.
    pub claim: Claim,
    /// When the health or the incarnation last changed.
    pub since: Instant,
    /// When the last direct message of this incarnation arrived.
    last_contact: Option<Instant>,
    /// The position in the send queue; `None` once the claim was sent often enough.
    queue_position: Option<QueuePosition>,
}

/// The sort key of a claim in the send queue.
///
/// Claims that only say that a process has started come last. Within each group, those sent least
/// often come first, then the newest.
type QueuePosition = (bool, u32, Reverse<u64>, ProcessId);

impl Member {
    /// Whether the process is considered running.
    pub fn is_live(&self) -> bool {
        matches!(self.claim.health, Health::Alive | Health::Suspect)
    }

    /// Whether messages are expected to reach the process.
    ///
    /// A process that sent a message within [`CONTACT_VALIDITY`] is reachable even if other
    /// processes still consider it dead.
    pub fn is_reachable(&self, now: Instant) -> bool {
        let recent = |contact| now.saturating_duration_since(contact) < CONTACT_VALIDITY;
        self.claim.health != Health::Dead || self.last_contact.is_some_and(recent)
    }

    /// Whether the process announced that it takes no new work, or the VM list marks it as leaving.
    pub fn is_leaving(&self) -> bool {
        self.claim.leaving || self.claim.listing.leaving
    }
}

/// The effect of merging a claim.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MergeOutcome {
    /// Nothing changed.
    Unchanged,
    /// The member changed; the change can spread with the next probes.
    Changed,
    /// Whether the member takes new work has changed; this is urgent.
    Leaving,
    /// The claim is about this process and must be refuted.
    Refute,
    /// The claim is about a later incarnation of this process.
    Superseded(Incarnation),
}

/// The table of all known processes except this one.
#[derive(Clone, Debug)]
pub struct Members {
    own: Claim,
    others: BTreeMap<ProcessId, Member>,
    send_queue: BTreeSet<QueuePosition>,
    /// The number of claims queued so far, which orders them by age.
    changes: u64,
    digest: u64,
}

impl Members {
    /// Creates a table without other processes.
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
            send_queue: BTreeSet::new(),
            changes: 0,
            digest: 0,
        }
    }

    /// This process's claim about itself.
    pub fn own(&self) -> Claim {
        self.own
    }

    /// The other processes in ascending order of their ids.
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

    /// A hash of the table including this process's claim, to compare tables between processes.
    pub fn digest(&self) -> u64 {
        self.digest ^ claim_hash(&self.own)
    }

    /// Raises this process's incarnation above `above`, which a peer has recorded.
    pub fn raise_incarnation(&mut self, above: Incarnation) {
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

    /// Records a direct message from a process.
    pub fn record_contact(&mut self, now: Instant, from: Endpoint) {
        let member = self.others.get_mut(&from.id);
        let member = member.filter(|m| m.claim.endpoint.incarnation == from.incarnation);
        if let Some(member) = member {
            member.last_contact = Some(now);
        }
    }

    /// Merges a claim.
    pub fn merge(&mut self, now: Instant, claim: &Claim) -> MergeOutcome {
        if claim.endpoint.id == self.own.endpoint.id {
            return self.merge_own(claim);
        }
        let Some(member) = self.others.get(&claim.endpoint.id) else {
            return self.insert(now, *claim);
        };
        let before = *member;
        let claim = join_claims(&before.claim, claim);
        let same_listing = before.claim.listing.leaving == claim.listing.leaving;
        let listing = before.claim.listing;
        let unchanged = same_listing && before.claim == Claim { listing, ..claim };
        let incarnation_and_health = |claim: &Claim| (claim.endpoint.incarnation, claim.health);
        let same = incarnation_and_health(&claim) == incarnation_and_health(&before.claim);
        let since = if same { before.since } else { now };
        let last_contact = before
            .last_contact
            .filter(|_| same_incarnation(&before.claim, &claim));
        let member = Member {
            claim,
            since,
            last_contact,
            ..before
        };
        self.store(member);
        if unchanged {
            return MergeOutcome::Unchanged;
        }
        self.enqueue(claim.endpoint.id);
        match before.is_leaving() == member.is_leaving() {
            true => MergeOutcome::Changed,
            false => MergeOutcome::Leaving,
        }
    }

    /// Merges a claim from a full table; a plain change is not queued for spreading.
    pub fn merge_without_spreading(&mut self, now: Instant, claim: &Claim) -> MergeOutcome {
        let merged = self.merge(now, claim);
        if merged == MergeOutcome::Changed {
            self.dequeue(claim.endpoint.id);
        }
        merged
    }

    /// Adds a process that the VM list or the rules name, with unknown health.
    pub fn add_unknown(&mut self, now: Instant, endpoint: Endpoint, role: Role, centre: Tag) {
        if let Some(member) = self.others.get_mut(&endpoint.id) {
            // The process does not answer at the known address, so the address from the VM list or
            // the rules is tried instead.
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
        self.store(Member {
            claim,
            since: now,
            last_contact: None,
            queue_position: None,
        });
    }

    /// Merges the VM list's entry for a process.
    pub fn apply_listing(&mut self, now: Instant, id: ProcessId, listing: Listing) -> MergeOutcome {
        if id == self.own.endpoint.id {
            self.own.listing = self.own.listing.max(listing);
            return MergeOutcome::Unchanged;
        }
        let Some(member) = self.others.get(&id) else {
            return MergeOutcome::Unchanged;
        };
        if listing.index <= member.claim.listing.index {
            return MergeOutcome::Unchanged;
        }
        let claim = Claim {
            listing,
            ..member.claim
        };
        self.merge(now, &claim)
    }

    /// Suspects an incarnation that did not answer; returns whether this changed the table.
    ///
    /// A member of unknown health is marked dead at once.
    pub fn suspect(&mut self, now: Instant, id: ProcessId, incarnation: Incarnation) -> bool {
        let health = match self.others.get(&id).map(|member| member.claim.health) {
            Some(Health::Unknown) => Health::Dead,
            _ => Health::Suspect,
        };
        self.worsen_health(now, id, incarnation, health)
    }

    /// Marks suspects whose time is over as dead and drops members dead for [`DEAD_RETENTION`];
    /// returns whether the table changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let age = |member: &Member| now.saturating_duration_since(member.since);
        let expired_suspects: Vec<_> = self
            .others
            .values()
            .filter(|member| {
                member.claim.health == Health::Suspect && age(member) >= SUSPICION_TIMEOUT
            })
            .map(|member| member.claim.endpoint)
            .collect();
        for endpoint in &expired_suspects {
            self.worsen_health(now, endpoint.id, endpoint.incarnation, Health::Dead);
        }
        let expired: Vec<_> = self
            .others
            .values()
            .filter(|member| member.claim.health == Health::Dead && age(member) >= DEAD_RETENTION)
            .map(|member| member.claim.endpoint.id)
            .collect();
        for id in &expired {
            self.remove(*id);
        }
        !expired_suspects.is_empty() || !expired.is_empty()
    }

    /// Restarts the timeout of every suspect, after a pause of this process.
    pub fn restart_suspicions(&mut self, now: Instant) {
        let suspects = self.others.values_mut();
        for member in suspects.filter(|member| member.claim.health == Health::Suspect) {
            member.since = now;
        }
    }

    /// Selects the claims to piggyback on one message: those sent least often, and fewer than
    /// `limit` times.
    pub fn piggyback(&mut self, limit: u32) -> Vec<Claim> {
        let chosen: Vec<_> = self
            .send_queue
            .iter()
            .take(PIGGYBACK_CLAIMS)
            .copied()
            .collect();
        let mut claims = Vec::with_capacity(chosen.len());
        for position in chosen {
            let (newly_started, sent, change, id) = position;
            self.dequeue(id);
            let Some(member) = self.others.get_mut(&id) else {
                continue;
            };
            claims.push(member.claim);
            if sent + 1 < limit {
                let position = (newly_started, sent + 1, change, id);
                member.queue_position = Some(position);
                self.send_queue.insert(position);
            }
        }
        claims
    }

    /// Up to `count` claims about members of known health that follow `after` in circular order.
    pub fn page(&self, after: ProcessId, count: usize) -> Vec<Claim> {
        let next = (Bound::Excluded(after), Bound::Unbounded);
        let members = self.others.range(next).chain(self.others.range(..=after));
        let claims = members.map(|(_, member)| member.claim);
        let known = claims.filter(|claim| claim.health != Health::Unknown);
        known.take(count).collect()
    }

    /// Raises this process's round above a claim that must be refuted.
    pub fn refute(&mut self, claim: &Claim) {
        self.own.round = self.own.round.max(claim.round) + 1;
    }

    fn merge_own(&mut self, claim: &Claim) -> MergeOutcome {
        self.own.listing = self.own.listing.max(claim.listing);
        let own = self.own;
        match claim.endpoint.incarnation.cmp(&own.endpoint.incarnation) {
            std::cmp::Ordering::Greater => MergeOutcome::Superseded(claim.endpoint.incarnation),
            std::cmp::Ordering::Less => MergeOutcome::Unchanged,
            std::cmp::Ordering::Equal if claim.round < own.round => MergeOutcome::Unchanged,
            std::cmp::Ordering::Equal => {
                let needs_refutation = claim.health > Health::Alive || claim.leaving != own.leaving;
                match needs_refutation {
                    true => MergeOutcome::Refute,
                    false => MergeOutcome::Unchanged,
                }
            }
        }
    }

    fn insert(&mut self, now: Instant, claim: Claim) -> MergeOutcome {
        if self.others.len() >= MAX_MEMBERS {
            return MergeOutcome::Unchanged;
        }
        let member = Member {
            claim,
            since: now,
            last_contact: None,
            queue_position: None,
        };
        self.store(member);
        match claim.health {
            // A claim of unknown health carries no information worth spreading.
            Health::Unknown => {}
            _ => self.enqueue(claim.endpoint.id),
        }
        match member.is_leaving() {
            true => MergeOutcome::Leaving,
            false => MergeOutcome::Changed,
        }
    }

    fn worsen_health(
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
        self.merge(now, &claim) != MergeOutcome::Unchanged
    }

    fn enqueue(&mut self, id: ProcessId) {
        self.dequeue(id);
        self.changes += 1;
        let member = self.others.get_mut(&id).expect("queued members are known");
        let claim = &member.claim;
        let newly_started =
            claim.health == Health::Alive && claim.round == 0 && !member.is_leaving();
        let position = (newly_started, 0, Reverse(self.changes), id);
        member.queue_position = Some(position);
        self.send_queue.insert(position);
    }

    fn dequeue(&mut self, id: ProcessId) {
        let member = self.others.get_mut(&id);
        if let Some(position) = member.and_then(|member| member.queue_position.take()) {
            self.send_queue.remove(&position);
        }
    }

    fn store(&mut self, member: Member) {
        self.digest ^= claim_hash(&member.claim);
        if let Some(before) = self.others.insert(member.claim.endpoint.id, member) {
            self.digest ^= claim_hash(&before.claim);
        }
    }

    fn remove(&mut self, id: ProcessId) {
        self.dequeue(id);
        if let Some(member) = self.others.remove(&id) {
            self.digest ^= claim_hash(&member.claim);
        }
    }
}

/// The contribution of a claim to the digest; 0 for members without a known incarnation.
fn claim_hash(claim: &Claim) -> u64 {
    if claim.endpoint.incarnation == Incarnation(0) {
        return 0;
    }
    let health = claim.health as u64;
    let state = u64::from(claim.round) << 8 | health << 1 | u64::from(claim.leaving);
    let mut bytes = [0; 24];
    bytes[..8].copy_from_slice(&claim.endpoint.id.0.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&claim.endpoint.incarnation.0.to_le_bytes());
    bytes[16..].copy_from_slice(&state.to_le_bytes());
    xxh3_64(&bytes)
}

fn same_incarnation(a: &Claim, b: &Claim) -> bool {
    a.endpoint.incarnation == b.endpoint.incarnation
}

/// The least upper bound of two claims about one process.
fn join_claims(a: &Claim, b: &Claim) -> Claim {
    let rank = |claim: &Claim| (claim.endpoint.incarnation, claim.round, claim.health);
    let winner = if rank(b) > rank(a) { b } else { a };
    Claim {
        listing: a.listing.max(b.listing),
        ..*winner
    }
}
