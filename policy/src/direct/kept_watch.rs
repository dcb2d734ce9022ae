//! Which targets this router asks what they keep, and when.
//!
//! A target tells who asks which prompt parts it added and evicted. One relay of the
//! exchange asks for all: the first in the hash order of the target, and the next one when
//! that one falls silent. Relays hear each other, so they notice within seconds, while
//! the loss of another router becomes known only through its relay. Load that it answers: hundreds of routers before
//! hundreds of targets, each of which keeps only a few calls waiting and is delayed by a
//! call for its whole list.
//!
//! Invariants:
//! - At most one call is under way to a target, and at most [`MAX_CALLS`] at all.
//! - A target is called at most once in [`CALL_PERIOD`], and asked for its whole list at
//!   most once in [`LIST_PERIOD`]; this router asks for at most one list in
//!   [`LIST_SPACING`].
//! - An event is dated by [`EVENT_DELAY`] before its arrival, additions and evictions
//!   alike, so that a target's events keep their order and a use in between prevails over
//!   an eviction.
//! - What a target is believed to hold is bounded by [`MAX_HELD`] parts.
//! - A target that leaves is asked once at most, for its whole list and before others. What it
//!   held is remembered for [`ORIGIN_TTL`], for streams that began there; other routers are
//!   not told of its parts, since they could not use them.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use derive_more::Display;
use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::xxh3_64;

use super::kept::KeptRow;
use super::stream_origin::ORIGIN_TTL;
use super::target::VersionTag;

/// The time from the end of one call to a target to the start of the next. A request's
/// objective is near it, so an eviction is known before most callers meet it.
pub const CALL_PERIOD: Duration = Duration::from_secs(1);

/// How long a target may keep a call waiting for events.
pub const CALL_WAIT: Duration = Duration::from_secs(1);

/// The time between two calls for the whole list of one target, which delay its work.
pub const LIST_PERIOD: Duration = Duration::from_secs(5);

/// The time between two calls for whole lists by this router.
pub const LIST_SPACING: Duration = Duration::from_millis(250);

/// The maximum number of calls under way.
pub const MAX_CALLS: usize = 32;

/// The time after which a call is no longer waited for.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How late a target's events are taken to arrive.
pub const EVENT_DELAY: Duration = Duration::from_secs(1);

/// The age that is stated for a part of a list, whose last use is not known: it is held, or
/// was evicted so recently that the event has not arrived.
pub const LISTED_AGE: Duration = EVENT_DELAY.saturating_add(CALL_PERIOD);

/// The longest time between two calls to a target that fails or refuses them.
const MAX_PAUSE: Duration = Duration::from_secs(16);

/// The time after its start at which a router asks; the first heartbeats have passed.
pub const START_DELAY: Duration = Duration::from_millis(500);

/// The maximum number of parts that one target is believed to hold.
pub const MAX_HELD: usize = 4_096;

/// The maximum number of parts of a list that are passed on at once, the longest first;
/// others are passed on when some router uses them.
pub const MAX_LISTED_ROWS: usize = 64;

/// The maximum number of targets that left and of which it is remembered what they held.
const MAX_DEPARTED: usize = 256;

/// A call to a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum Call {
    /// For the events since a number.
    #[display("events")]
    Events {
        /// The number.
        since: u64,
    },
    /// For everything that it keeps.
    #[display("list")]
    List,
}

/// A change of what a target keeps.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct KeptEvent {
    /// The part.
    pub part: u64,
    /// Its length in tokens; 0 if it was evicted.
    pub tokens: u32,
}

/// What a target answered.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Answer {
    /// The events since the number of the call.
    Events {
        /// Changes at each start of the target.
        epoch: u64,
        /// The number from which the next call goes on.
        next: u64,
        /// Whether events are missing.
        is_gap: bool,
        /// The events in order.
        events: Vec<KeptEvent>,
    },
    /// Everything that the target keeps.
    List {
        /// Changes at each start of the target.
        epoch: u64,
        /// The number from which the next call goes on.
        next: u64,
        /// The parts.
        held: Vec<KeptEvent>,
    },
    /// The target keeps as many calls waiting as it may.
    Refused,
    /// The target wants nothing from this router for a while.
    Paused,
    /// No answer in time, or one that cannot be read.
    Failed,
}

/// What is known of prompt parts from other sources than the target itself.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct KnownParts {
    /// The parts that some target is believed to hold.
    pub used: FxHashSet<u64>,
    /// Those that this target is believed to hold.
    pub believed: FxHashSet<u64>,
}

/// What is known of a target that this router watches.
#[derive(Clone, Default, Debug)]
struct Watched {
    /// The epoch and the number from which its next events are asked for.
    position: Option<(u64, u64)>,
    held: FxHashMap<u64, u32>,
    /// The parts of which the other routers were told that it holds them.
    told: FxHashSet<u64>,
    call: Option<(Call, Instant)>,
    due_at: Option<Instant>,
    listed_at: Option<Instant>,
    failures: u32,
}

/// A target that left.
#[derive(Clone, Debug)]
struct Departed {
    target: u64,
    version: VersionTag,
    held: FxHashMap<u64, u32>,
    at: Instant,
}

/// The targets that this router watches.
#[derive(Clone, Default, Debug)]
pub struct KeptWatch {
    leaving: FxHashSet<u64>,
    departed: VecDeque<Departed>,
    /// Ordered, so that calls are made in a fixed order.
    targets: BTreeMap<u64, Watched>,
    listed_at: Option<Instant>,
}

/// Whether a relay watches a target: it ranks first among all relays. Relays are identified
/// by hashes of their names.
pub fn is_watcher(target: u64, own: u64, others: &[u64]) -> bool {
    let score = |relay: u64| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&relay.to_le_bytes());
        bytes[8..].copy_from_slice(&target.to_le_bytes());
        (xxh3_64(&bytes), relay)
    };
    let own = score(own);
    others.iter().all(|&other| score(other) > own)
}

impl KeptWatch {
    /// Sets the targets that this router watches.
    pub fn set_targets(&mut self, targets: &FxHashSet<u64>) {
        self.targets.retain(|target, _| targets.contains(target));
        self.departed.retain(|it| !targets.contains(&it.target));
        for &target in targets {
            self.targets.entry(target).or_default();
        }
    }

    /// Sets the targets that are leaving.
    pub fn set_leaving(&mut self, leaving: FxHashSet<u64>) {
        self.leaving = leaving;
    }

    /// Remembers what watched targets held that can no longer be asked; `version` is that of
    /// a target's software, `None` if it can be asked.
    pub fn retire(&mut self, version: impl Fn(u64) -> Option<VersionTag>, now: Instant) {
        let retired = self
            .targets
            .extract_if(.., |&target, _| version(target).is_some());
        for (target, watched) in retired {
            let Some(version) = version(target).filter(|_| !watched.held.is_empty()) else {
                continue;
            };
            self.departed.push_back(Departed {
                target,
                version,
                held: watched.held,
                at: now,
            });
        }
        while let Some(first) = self.departed.front()
            && (now.saturating_duration_since(first.at) >= ORIGIN_TTL
                || self.departed.len() > MAX_DEPARTED)
        {
            self.departed.pop_front();
        }
    }

    /// The versions of targets that left and held a part.
    pub fn departed_versions(&self, part: u64) -> impl Iterator<Item = VersionTag> {
        let departed = self.departed.iter();
        let holding = departed.filter(move |it| it.held.contains_key(&part));
        holding.map(|it| it.version)
    }

    /// The number of targets watched, of calls under way, and of parts believed held.
    pub fn counts(&self) -> (usize, usize, usize) {
        let held = self.targets.values().map(|it| it.held.len()).sum();
        (self.targets.len(), self.calls(), held)
    }

    fn calls(&self) -> usize {
        self.targets.values().filter(|it| it.call.is_some()).count()
    }

    /// Returns the calls to make now, to targets that `may_call` accepts; each is followed by
    /// one [`Self::record`].
    pub fn due(&mut self, may_call: impl Fn(u64) -> bool, now: Instant) -> Vec<(u64, Call)> {
        let mut room = MAX_CALLS.saturating_sub(self.calls());
        let is_spaced = |at: Option<Instant>, period: Duration| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= period)
        };
        let mut due = Vec::new();
        let (leaving, staying) = self
            .targets
            .keys()
            .partition::<Vec<u64>, _>(|&target| self.leaving.contains(target));
        for target in leaving.into_iter().chain(staying) {
            let Some(watched) = self.targets.get_mut(&target) else {
                continue;
            };
            let is_done = self.leaving.contains(&target) && watched.listed_at.is_some();
            let is_due = !is_done && watched.due_at.is_none_or(|at| now >= at);
            if watched.call.is_some() || !is_due || room == 0 || !may_call(target) {
                continue;
            }
            let call = match watched.position {
                Some((_, since)) => Call::Events { since },
                None if is_spaced(watched.listed_at, LIST_PERIOD)
                    && is_spaced(self.listed_at, LIST_SPACING) =>
                {
                    watched.listed_at = Some(now);
                    self.listed_at = Some(now);
                    Call::List
                }
                None => continue,
            };
            watched.call = Some((call, now));
            room -= 1;
            due.push((target, call));
        }
        due
    }

    /// Records the answer to a call; returns the rows for the other routers.
    pub fn record(
        &mut self,
        target: u64,
        answer: Answer,
        known: &KnownParts,
        now: Instant,
    ) -> Vec<KeptRow> {
        let Some(watched) = self.targets.get_mut(&target) else {
            return Vec::new();
        };
        let Some((call, _)) = watched.call.take() else {
            return Vec::new();
        };
        watched.due_at = Some(now + CALL_PERIOD);
        match (call, answer) {
            (
                Call::Events { .. },
                Answer::Events {
                    epoch,
                    next,
                    is_gap,
                    events,
                },
            ) => {
                watched.failures = 0;
                let is_same = watched
                    .position
                    .is_some_and(|it| it.0 == epoch && it.1 <= next);
                if is_gap || !is_same {
                    watched.position = None;
                    watched.due_at = Some(now);
                    return Vec::new();
                }
                watched.position = Some((epoch, next));
                watched.apply(target, &events, known)
            }
            (Call::List, Answer::List { epoch, next, held }) => {
                watched.failures = 0;
                watched.position = Some((epoch, next));
                let rows = watched.replace(target, &held, known);
                match self.leaving.contains(&target) {
                    true => Vec::new(),
                    false => rows,
                }
            }
            // No failure: the time of the next call is up to `may_call`.
            (_, Answer::Paused) => Vec::new(),
            _ => {
                watched.failures = watched.failures.saturating_add(1);
                let pause = CALL_PERIOD * 2_u32.saturating_pow(watched.failures.min(8));
                watched.due_at = Some(now + pause.min(MAX_PAUSE));
                Vec::new()
            }
        }
    }

    /// The watched targets that hold a part.
    pub fn holders(&self, part: u64) -> impl Iterator<Item = u64> {
        let targets = self.targets.iter();
        let holding = targets.filter(move |(_, watched)| watched.held.contains_key(&part));
        holding.map(|(&target, _)| target)
    }

    /// Returns rows of the watched targets that hold parts which another router has just
    /// begun to use.
    pub fn rows_of_used(&mut self, parts: impl IntoIterator<Item = u64>) -> Vec<KeptRow> {
        let mut rows = Vec::new();
        for part in parts {
            for (&target, watched) in &mut self.targets {
                if let Some(&tokens) = watched.held.get(&part)
                    && watched.told.insert(part)
                {
                    rows.push(row(target, part, tokens, LISTED_AGE));
                }
            }
        }
        rows
    }
}

impl Watched {
    fn apply(&mut self, target: u64, events: &[KeptEvent], known: &KnownParts) -> Vec<KeptRow> {
        // Only the last event of a part counts.
        let mut last: BTreeMap<u64, u32> = BTreeMap::new();
        last.extend(events.iter().map(|event| (event.part, event.tokens)));
        let mut rows = Vec::new();
        for (part, tokens) in last {
            let was_told = self.told.contains(&part) || known.used.contains(&part);
            match tokens {
                0 => {
                    self.held.remove(&part);
                    self.told.remove(&part);
                }
                _ if self.held.len() < MAX_HELD || self.held.contains_key(&part) => {
                    self.held.insert(part, tokens);
                    if was_told {
                        self.told.insert(part);
                    }
                }
                _ => continue,
            }
            if was_told {
                rows.push(row(target, part, tokens, EVENT_DELAY));
            }
        }
        rows
    }

    fn replace(&mut self, target: u64, held: &[KeptEvent], known: &KnownParts) -> Vec<KeptRow> {
        let mut longest: Vec<&KeptEvent> = held.iter().filter(|it| it.tokens > 0).collect();
        longest.sort_unstable_by_key(|it| (std::cmp::Reverse(it.tokens), it.part));
        longest.truncate(MAX_HELD);
        self.held = longest.iter().map(|it| (it.part, it.tokens)).collect();
        let told = std::mem::take(&mut self.told);
        let mut rows = Vec::new();
        let mut gone: Vec<u64> = told.union(&known.believed).copied().collect();
        gone.retain(|part| !self.held.contains_key(part));
        gone.sort_unstable();
        let gone = gone.into_iter();
        rows.extend(gone.map(|part| row(target, part, 0, EVENT_DELAY)));
        for (index, event) in longest.into_iter().enumerate() {
            if index < MAX_LISTED_ROWS || known.used.contains(&event.part) {
                self.told.insert(event.part);
                rows.push(row(target, event.part, event.tokens, LISTED_AGE));
            }
        }
        rows
    }
}

fn row(target: u64, part: u64, tokens: u32, age: Duration) -> KeptRow {
    let age = age.as_millis() as u32;
    KeptRow {
        target,
        part,
        tokens,
        age,
    }
}
