//! The exchange of the listing of targets among routers.
//!
//! The router that reads the store sends what changed to all others. One that has another
//! listing than that on which a change is based asks for the whole, its relay first.
//!
//! Invariants:
//! - A listing is adopted as a whole. A part of a change does not count as a reading.
//! - An earlier reading never replaces a later one.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

use super::{ListingChange, sort_listing};
use crate::direct::exchange::PERIOD;
use crate::direct::target::Target;

/// The number of targets in a message, chosen so that a message fits a datagram.
pub const TARGETS_PER_MESSAGE: usize = 64;

/// The number of routers, the first in rank, that tell all others of changes of any size.
const TELLING_ROUTERS: usize = 2;

/// The maximum number of parts of a listing.
const MAX_PARTS: u16 = 256;

/// The maximum number of listings being reassembled.
const MAX_PARTIAL_LISTINGS: usize = 16;

/// The maximum number of targets sent in one period to routers that asked for the listing.
const MAX_ANSWERED_TARGETS: usize = 8_000;

/// The minimum time between two questions for the whole listing.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// A step of a change.
#[derive(Clone, PartialEq, Debug)]
pub struct Step {
    /// The digest of the listing that changes.
    pub base: u64,
    /// The digest of the listing after the step.
    pub digest: u64,
    /// Whether the listing is complete with this step, or further ones follow.
    pub is_last: bool,
    /// The revision of the store at the time of the read.
    pub revision: u64,
    /// What changes.
    pub change: ListingChange,
}

/// A part of a whole listing.
#[derive(Clone, PartialEq, Debug)]
pub struct Part {
    /// The time since the listing was read from the store.
    pub age: Duration,
    /// The revision of the store at the time of the read.
    pub revision: u64,
    /// The index of this part, from 0.
    pub part: u16,
    /// The number of parts.
    pub parts: u16,
    /// The targets in this part.
    pub targets: Vec<Target>,
}

/// A message about the listing.
#[derive(Clone, PartialEq, Debug)]
pub enum ListingMessage {
    /// A step of a change.
    Step(Step),
    /// A later read of the store returned the listing with this digest again.
    Unchanged {
        /// The revision of the store at the time of the read.
        revision: u64,
        /// The digest.
        digest: u64,
    },
    /// A question for the whole listing.
    Query,
    /// A part of the answer.
    Part(Part),
}

/// What a reading of the store says to the other routers.
#[derive(Clone, PartialEq, Debug)]
pub enum Update {
    /// The targets differ from those of the last listing.
    Change {
        /// The store revision.
        revision: u64,
        /// The last listing.
        old: Vec<Target>,
        /// The targets.
        new: Vec<Target>,
    },
    /// The targets are the same as in the last listing, or this router doesn't tell the
    /// others of them: those that have a different listing ask.
    Unchanged {
        /// The store revision.
        revision: u64,
        /// The digest of the targets.
        digest: u64,
    },
}

/// A listing that is now in force.
#[derive(Clone, PartialEq, Debug)]
pub struct Adopted {
    /// The targets.
    pub targets: Vec<Target>,
    /// The store revision.
    pub revision: u64,
    /// The time since they were read.
    pub age: Duration,
}

/// What follows from a message.
#[derive(Clone, Default, PartialEq, Debug)]
pub struct ReceivedListing {
    /// The listing to put in force, if it is newer.
    pub adopted: Option<Adopted>,
    /// Messages to be sent.
    pub sent: Vec<(SocketAddr, ListingMessage)>,
    /// Whether the message contradicts itself.
    pub is_malformed: bool,
}

/// The listing as known to one router.
#[derive(Clone, Debug)]
pub struct ListingExchange {
    digest_of: fn(&[Target]) -> u64,
    targets: Vec<Target>,
    digest: u64,
    revision: u64,
    read_at: Option<Instant>,
    /// A listing to which not all steps were applied yet, and its digest.
    staged: Option<(u64, Vec<Target>)>,
    /// The received parts of incomplete listings.
    partial: FxHashMap<(SocketAddr, u64), Vec<Option<Vec<Target>>>>,
    /// When a router was last asked for the whole listing, and whether it was the relay.
    asked: Option<(Instant, bool)>,
    /// The begin of a period, and the targets sent in it to routers that asked for them.
    answered: (Instant, usize),
}

impl ListingExchange {
    /// Creates the state of a router without a listing. All routers must derive digests
    /// by the same function.
    pub fn new(digest_of: fn(&[Target]) -> u64, now: Instant) -> Self {
        Self {
            digest_of,
            targets: Vec::new(),
            digest: 0,
            revision: 0,
            read_at: None,
            staged: None,
            partial: FxHashMap::default(),
            asked: None,
            answered: (now, 0),
        }
    }

    /// The time since the listing was read, if there is one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let read_at = self.read_at?;
        Some(now.saturating_duration_since(read_at))
    }

    /// The targets, ordered by name.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Records a reading of the store; returns what the others should be told. `rank` is
    /// that of this router among those that read the store for the others.
    ///
    /// Load that it answers: many routers lack a step of one change, and each of them
    /// reads the store for itself. Were each to tell all others what it read, the change
    /// would be sent as often as datagrams are lost.
    pub fn read(
        &mut self,
        mut targets: Vec<Target>,
        revision: u64,
        rank: usize,
    ) -> (Adopted, Update) {
        sort_listing(&mut targets);
        let digest = (self.digest_of)(&targets);
        let change = ListingChange::between(&self.targets, &targets);
        let may_tell = rank < TELLING_ROUTERS || change.len() <= TARGETS_PER_MESSAGE;
        let is_known = self.targets.is_empty() || digest == self.digest;
        let update = match may_tell && !is_known {
            true => Update::Change {
                revision,
                old: self.targets.clone(),
                new: targets.clone(),
            },
            false => Update::Unchanged { revision, digest },
        };
        let adopted = Adopted {
            targets,
            revision,
            age: Duration::ZERO,
        };
        (adopted, update)
    }

    /// Puts a listing in force.
    pub fn adopt(&mut self, adopted: &Adopted, now: Instant) {
        self.read_at = Some(now.checked_sub(adopted.age).unwrap_or(now));
        self.revision = adopted.revision;
        if self.targets != adopted.targets {
            self.digest = (self.digest_of)(&adopted.targets);
            self.targets.clone_from(&adopted.targets);
        }
    }

    /// The messages that tell another router of a reading; a change that does not fit one
    /// goes in steps.
    pub fn messages(&self, update: Update) -> Vec<ListingMessage> {
        let (revision, old, new) = match update {
            Update::Change { revision, old, new } => (revision, old, new),
            Update::Unchanged { revision, digest } => {
                return vec![ListingMessage::Unchanged { revision, digest }];
            }
        };
        let steps = ListingChange::between(&old, &new).into_steps(TARGETS_PER_MESSAGE);
        let count = steps.len();
        let mut listing = old;
        let mut messages = Vec::with_capacity(count);
        for (index, change) in steps.into_iter().enumerate() {
            let base = (self.digest_of)(&listing);
            listing = change.apply(&listing);
            messages.push(ListingMessage::Step(Step {
                base,
                digest: (self.digest_of)(&listing),
                is_last: index + 1 == count,
                revision,
                change,
            }));
        }
        messages
    }

    /// Applies a message. `relay` is the router to which this one reports.
    pub fn receive(
        &mut self,
        message: ListingMessage,
        from: SocketAddr,
        relay: Option<SocketAddr>,
        now: Instant,
    ) -> ReceivedListing {
        match message {
            ListingMessage::Step(step) => self.receive_step(&step, from, relay, now),
            ListingMessage::Unchanged { revision, digest } => {
                let step = Step {
                    base: digest,
                    digest,
                    is_last: true,
                    revision,
                    change: ListingChange::default(),
                };
                self.receive_step(&step, from, relay, now)
            }
            ListingMessage::Query => ReceivedListing {
                sent: self.answers(from, now),
                ..ReceivedListing::default()
            },
            ListingMessage::Part(part) => self.receive_part(part, from, now),
        }
    }

    fn receive_step(
        &mut self,
        step: &Step,
        from: SocketAddr,
        relay: Option<SocketAddr>,
        now: Instant,
    ) -> ReceivedListing {
        let mut received = ReceivedListing::default();
        let is_applied = match step.is_last {
            // It was overtaken by a later reading.
            true if step.revision < self.revision => true,
            true => {
                received.adopted = self.last_step(step);
                received.adopted.is_some()
            }
            false => self.stage(step),
        };
        if !is_applied {
            received.sent.extend(self.ask(from, relay, now));
        }
        received
    }

    /// Returns the listing to which a last step leads, if its base is known.
    fn last_step(&self, step: &Step) -> Option<Adopted> {
        let targets = match (self.digest, &self.staged) {
            (known, _) if known == step.digest => self.targets.clone(),
            (known, _) if known == step.base => step.change.apply(&self.targets),
            (_, Some((known, targets))) if *known == step.base => step.change.apply(targets),
            _ => return None,
        };
        let adopted = Adopted {
            targets,
            revision: step.revision,
            age: Duration::ZERO,
        };
        ((self.digest_of)(&adopted.targets) == step.digest).then_some(adopted)
    }

    /// Applies a step that others follow. Until the last of them the listing is not
    /// complete, and must not count as read.
    fn stage(&mut self, step: &Step) -> bool {
        let targets = match &self.staged {
            _ if self.digest == step.base => step.change.apply(&self.targets),
            Some((known, targets)) if *known == step.base => step.change.apply(targets),
            _ => return self.digest == step.digest,
        };
        self.staged = Some((step.digest, targets));
        true
    }

    /// Asks for the whole listing: the relay of this router, since the reader has many to
    /// answer, and by turns the router that has it for certain.
    fn ask(
        &mut self,
        from: SocketAddr,
        relay: Option<SocketAddr>,
        now: Instant,
    ) -> Option<(SocketAddr, ListingMessage)> {
        let is_recent = |at| now.saturating_duration_since(at) < MIN_QUERY_INTERVAL;
        if self.asked.is_some_and(|(at, _)| is_recent(at)) {
            return None;
        }
        let asked_relay = self.asked.is_some_and(|(_, relay)| relay);
        let relay = relay.filter(|_| !asked_relay);
        self.asked = Some((now, relay.is_some()));
        Some((relay.unwrap_or(from), ListingMessage::Query))
    }

    /// Asks a router for the listing if this one has none yet.
    pub fn ask_for_first(
        &mut self,
        from: SocketAddr,
        relay: Option<SocketAddr>,
        now: Instant,
    ) -> Option<(SocketAddr, ListingMessage)> {
        match self.read_at {
            Some(_) => None,
            None => self.ask(from, relay, now),
        }
    }

    /// Returns the whole listing with its age, unless many others were sent it just now.
    fn answers(&mut self, to: SocketAddr, now: Instant) -> Vec<(SocketAddr, ListingMessage)> {
        let Some(age) = self.age(now) else {
            return Vec::new();
        };
        if now.saturating_duration_since(self.answered.0) >= PERIOD {
            self.answered = (now, 0);
        }
        if self.answered.1 >= MAX_ANSWERED_TARGETS {
            return Vec::new();
        }
        self.answered.1 += self.targets.len();
        let chunks = self.targets.chunks(TARGETS_PER_MESSAGE);
        let parts = chunks.len() as u16;
        let part = |(part, chunk): (usize, &[Target])| {
            let part = Part {
                age,
                revision: self.revision,
                part: part as u16,
                parts,
                targets: chunk.to_vec(),
            };
            (to, ListingMessage::Part(part))
        };
        chunks.enumerate().map(part).collect()
    }

    fn receive_part(&mut self, part: Part, from: SocketAddr, now: Instant) -> ReceivedListing {
        let Part {
            age,
            revision,
            part,
            parts,
            targets,
        } = part;
        let mut received = ReceivedListing::default();
        if parts == 1 {
            received.adopted = self.later(targets, revision, age, now);
            return received;
        }
        if parts == 0 || part >= parts || parts > MAX_PARTS {
            received.is_malformed = true;
            return received;
        }
        if self.partial.len() >= MAX_PARTIAL_LISTINGS {
            self.partial.clear();
        }
        let slots = self.partial.entry((from, revision)).or_default();
        slots.resize(parts.into(), None);
        slots[usize::from(part)] = Some(targets);
        if slots.iter().all(Option::is_some) {
            let complete = self.partial.remove(&(from, revision)).unwrap_or_default();
            let targets = complete.into_iter().flatten().flatten().collect();
            received.adopted = self.later(targets, revision, age, now);
        }
        received
    }

    /// Returns a listing that was read `age` ago, unless a later one is known.
    fn later(
        &self,
        mut targets: Vec<Target>,
        revision: u64,
        age: Duration,
        now: Instant,
    ) -> Option<Adopted> {
        let known_age = self.age(now);
        let is_later = revision >= self.revision && known_age.is_none_or(|it| it > age);
        if !is_later {
            return None;
        }
        sort_listing(&mut targets);
        Some(Adopted {
            targets,
            revision,
            age,
        })
    }
}
