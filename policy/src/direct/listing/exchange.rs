//! The exchange of the listing of targets among routers.
//!
//! The router that reads the store sends what changed to all others, in steps if it does
//! not fit one message. Steps are staged in any order until the listing has the digest
//! that the last of them states. A router that lacks something states the digests of
//! ranges of its listing, and gets the ranges that differ, its relay's first.
//!
//! Invariants:
//! - A listing is adopted as a whole. A part of a change does not count as a reading.
//! - An earlier reading never replaces a later one.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustc_hash::{FxHashMap, FxHashSet};

use super::message::{
    Adopted, ListingMessage, Part, RangeAnswer, RangeQuery, ReceivedListing, Step, Update,
};
use super::{ListingChange, ranges, sort_listing};
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

/// The minimum time between two questions.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// The time after the last message of a change before the rest is asked for; datagrams
/// may overtake each other.
const SETTLING_TIME: Duration = Duration::from_millis(50);

/// The number of questions in a row of which one is put to the router that told of the
/// change, and one more asks for the whole listing, which earlier versions answer.
const QUESTION_CYCLE: u32 = 4;

/// A listing of which parts are missing.
#[derive(Clone, Debug)]
struct Staged {
    targets: Vec<Target>,
    /// The latest revision of the messages that led to it.
    revision: u64,
    /// The digest of the complete listing, once known, and when it was read.
    complete: Option<(u64, Instant)>,
    /// The router that sent the latest message, and when it arrived.
    from: SocketAddr,
    heard_at: Instant,
}

/// The listing as known to one router.
#[derive(Clone, Debug)]
pub struct ListingExchange {
    digest_of: fn(&[Target]) -> u64,
    targets: Vec<Target>,
    digest: u64,
    revision: u64,
    read_at: Option<Instant>,
    staged: Option<Staged>,
    /// The received parts of incomplete listings.
    partial: FxHashMap<(SocketAddr, u64), Vec<Option<Vec<Target>>>>,
    /// When a router was last asked, and the number of questions in a row.
    asked: Option<(Instant, u32)>,
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
            digest: digest_of(&[]),
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
        self.staged
            .take_if(|staged| staged.revision <= adopted.revision);
        if self.staged.is_none() {
            self.asked = None;
        }
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

    /// Applies a message.
    pub fn receive(
        &mut self,
        message: ListingMessage,
        from: SocketAddr,
        now: Instant,
    ) -> ReceivedListing {
        let mut received = ReceivedListing::default();
        match message {
            ListingMessage::Step(step) => received.adopted = self.receive_step(&step, from, now),
            ListingMessage::Unchanged { revision, digest } => {
                let step = Step {
                    base: digest,
                    digest,
                    is_last: true,
                    revision,
                    change: ListingChange::default(),
                };
                received.adopted = self.receive_step(&step, from, now);
            }
            ListingMessage::Query => received.sent = self.answers(from, now),
            ListingMessage::Part(part) => return self.receive_part(part, from, now),
            ListingMessage::RangeQuery(query) => {
                received.sent = self.range_answers(&query, from, now);
            }
            ListingMessage::RangeAnswer(answer) => match ranges::is_valid(answer.count.into()) {
                true => received.adopted = self.receive_ranges(answer, from, now),
                false => received.is_malformed = true,
            },
        }
        received
    }

    /// Applies a step; returns the listing if it is complete.
    fn receive_step(&mut self, step: &Step, from: SocketAddr, now: Instant) -> Option<Adopted> {
        let staged_revision = self.staged.as_ref().map_or(0, |staged| staged.revision);
        if step.revision < self.revision.max(staged_revision) {
            // It was overtaken by a later reading.
            return None;
        }
        if step.revision == self.revision && !step.is_last {
            // It was overtaken by an answer.
            return None;
        }
        if step.digest == self.digest {
            // A step that leads to the known listing says nothing new unless it is the last.
            return step.is_last.then(|| Adopted {
                targets: self.targets.clone(),
                revision: step.revision,
                age: Duration::ZERO,
            });
        }
        let complete = step.is_last.then_some((step.digest, now));
        self.stage(step.revision, complete, from, now, |targets| {
            *targets = step.change.apply(targets);
        })
    }

    /// Changes the staged listing; returns it if it is complete then.
    fn stage(
        &mut self,
        revision: u64,
        complete: Option<(u64, Instant)>,
        from: SocketAddr,
        now: Instant,
        change: impl FnOnce(&mut Vec<Target>),
    ) -> Option<Adopted> {
        let staged = self.staged.get_or_insert_with(|| Staged {
            targets: self.targets.clone(),
            revision,
            complete: None,
            from,
            heard_at: now,
        });
        change(&mut staged.targets);
        if revision > staged.revision {
            // Steps of the later change are still to come.
            staged.complete = None;
        }
        staged.complete = complete.or(staged.complete);
        (staged.revision, staged.from, staged.heard_at) = (revision, from, now);
        let (digest, read_at) = staged.complete?;
        let age = now.saturating_duration_since(read_at);
        let is_later = self.read_at.is_none_or(|known| known < read_at);
        let is_complete = is_later && (self.digest_of)(&staged.targets) == digest;
        is_complete.then(|| Adopted {
            targets: staged.targets.clone(),
            revision,
            age,
        })
    }

    /// Asks for what this router lacks, if messages of a change were lost. To be called in
    /// each period.
    pub fn ask_for_rest(
        &mut self,
        relay: Option<SocketAddr>,
        now: Instant,
    ) -> Option<(SocketAddr, ListingMessage)> {
        let staged = self.staged.as_ref()?;
        let is_settled = now.saturating_duration_since(staged.heard_at) >= SETTLING_TIME;
        let from = staged.from;
        is_settled.then(|| self.ask(from, relay, now)).flatten()
    }

    /// Asks for what this router lacks: its relay, since the reader has many to answer,
    /// and now and then the router that has it for certain.
    fn ask(
        &mut self,
        from: SocketAddr,
        relay: Option<SocketAddr>,
        now: Instant,
    ) -> Option<(SocketAddr, ListingMessage)> {
        let is_recent = |at| now.saturating_duration_since(at) < MIN_QUERY_INTERVAL;
        let count = match self.asked {
            Some((at, _)) if is_recent(at) => return None,
            Some((_, count)) => count + 1,
            None => 0,
        };
        self.asked = Some((now, count));
        let turn = count % QUESTION_CYCLE;
        let to = relay.filter(|_| turn + 2 < QUESTION_CYCLE).unwrap_or(from);
        if turn + 1 == QUESTION_CYCLE {
            return Some((to, ListingMessage::Query));
        }
        let (revision, targets) = match &self.staged {
            Some(staged) => (staged.revision, &staged.targets),
            None => (self.revision, &self.targets),
        };
        let digests = match targets.as_slice() {
            [] => Vec::new(),
            targets => ranges::digests(targets, ranges::count(targets.len()), self.digest_of),
        };
        let query = RangeQuery { revision, digests };
        Some((to, ListingMessage::RangeQuery(query)))
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

    /// Whether this router may send targets, unless it sent many just now.
    fn may_answer(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.answered.0) >= PERIOD {
            self.answered = (now, 0);
        }
        self.answered.1 < MAX_ANSWERED_TARGETS
    }

    /// Returns the ranges that differ from those of a router that has not everything of
    /// this listing, if this router has it.
    fn range_answers(
        &mut self,
        query: &RangeQuery,
        to: SocketAddr,
        now: Instant,
    ) -> Vec<(SocketAddr, ListingMessage)> {
        let Some(age) = self.age(now).filter(|_| self.revision >= query.revision) else {
            return Vec::new();
        };
        let count = match query.digests.len() {
            0 => ranges::count(self.targets.len()),
            count => count,
        };
        if !ranges::is_valid(count) || !self.may_answer(now) {
            return Vec::new();
        }
        let own = ranges::digests(&self.targets, count, self.digest_of);
        let differs = |range: usize| query.digests.get(range) != Some(&own[range]);
        let differing = ranges::split(&self.targets, count).into_iter().enumerate();
        let mut answers = Vec::new();
        let mut answer = RangeAnswer {
            age,
            revision: self.revision,
            digest: self.digest,
            count: count as u16,
            ranges: Vec::new(),
            targets: Vec::new(),
        };
        let empty = answer.clone();
        for (range, targets) in differing.filter(|(range, _)| differs(*range)) {
            self.answered.1 += targets.len();
            let size = answer.targets.len() + targets.len();
            if size > TARGETS_PER_MESSAGE && !answer.ranges.is_empty() {
                answers.push(std::mem::replace(&mut answer, empty.clone()));
            }
            answer.ranges.push(range as u16);
            answer.targets.extend(targets.into_iter().cloned());
        }
        // Without any range it says that nothing is missing.
        answers.push(answer);
        let message = |answer| (to, ListingMessage::RangeAnswer(answer));
        answers.into_iter().map(message).collect()
    }

    /// Replaces ranges of the staged listing; returns it if it is complete then.
    fn receive_ranges(
        &mut self,
        answer: RangeAnswer,
        from: SocketAddr,
        now: Instant,
    ) -> Option<Adopted> {
        let RangeAnswer {
            age,
            revision,
            digest,
            count,
            ranges,
            targets,
        } = answer;
        let staged_revision = self.staged.as_ref().map_or(0, |staged| staged.revision);
        let is_later = self.age(now).is_none_or(|known| known > age);
        if !is_later || revision < self.revision.max(staged_revision) {
            return None;
        }
        let read_at = now.checked_sub(age).unwrap_or(now);
        let ranges: FxHashSet<usize> = ranges.into_iter().map(usize::from).collect();
        self.stage(revision, Some((digest, read_at)), from, now, |known| {
            known.retain(|it| !ranges.contains(&ranges::range_of(&it.name, count.into())));
            known.extend(targets);
            sort_listing(known);
        })
    }

    /// Returns the whole listing with its age, unless many others were sent it just now.
    fn answers(&mut self, to: SocketAddr, now: Instant) -> Vec<(SocketAddr, ListingMessage)> {
        let Some(age) = self.age(now) else {
            return Vec::new();
        };
        if !self.may_answer(now) {
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
