//! The software versions at which streams began.
//!
//! What two versions of a target's software write does not fit together, so a stream may
//! go on only at the version that began it. A router that resumes a stream itself knows
//! that version. A caller, however, may take its stream up at another router, after the
//! one that began it has ended. So while a service has targets of several versions, each
//! router sends what it begins to a few holders, which all routers derive from the
//! stream and the members; the router at which the caller returns asks them.
//!
//! Invariants:
//! - A version is stated only if a record says so, or if the service is known to have had a
//!   single one for as long as a stream can be taken up: from this router's own watch, from
//!   a router that watched for so long, or from the age of the targets.
//! - The version of a target that keeps the own part of a stream's prompt is taken for the
//!   stream's only if all targets that keep it have that version.
//! - If no target is known to keep it, the stream began at one that left before any router
//!   asked it. A version is taken for that target's only if it is the single one that has
//!   served for [`MAX_STREAM_AGE`]: the targets of the others have just started.
//! - Records are kept for [`ORIGIN_TTL`], and at most [`MAX_ORIGINS`] of them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use derive_more::Display;
use entity::Name;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::kept_watch::{LIST_SPACING, START_DELAY};
use super::target::VersionTag;

/// How long after its begin a stream can be taken up; longer than any caller waits.
pub const ORIGIN_TTL: Duration = Duration::from_secs(30);

/// The age of a target from which it shows that its version served when a stream began that
/// can still be taken up: longer than a caller waits and a target that is replaced takes to
/// leave.
pub const SETTLED_AGE: Duration = Duration::from_secs(20);

/// The greatest age of a stream that is taken up; callers wait less.
pub const MAX_STREAM_AGE: Duration = Duration::from_secs(15);

/// The maximum number of streams whose origin is kept; the oldest are evicted.
pub const MAX_ORIGINS: usize = 65_536;

/// How long the answers on the targets that keep a prompt part are used.
const HOLDER_TTL: Duration = Duration::from_secs(1);

/// The maximum number of prompt parts of which such answers are kept.
const MAX_HOLDERS: usize = 16_384;

/// The number of routers that hold the origin of a stream besides the one that began it.
pub const HOLDERS: usize = 3;

/// Identifies a stream: the hash of the id of the attempt that brought its first event.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the id of the stream whose first event this attempt brought.
    pub fn of_attempt(attempt: &str) -> Self {
        Self(xxh3_64(attempt.as_bytes()))
    }
}

/// What is known of the version at which a stream began.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Origin {
    /// A record states the version.
    Recorded(VersionTag),
    /// The service has had no other version.
    Single(VersionTag),
    /// The targets that keep the own part of its prompt have this version.
    Kept(VersionTag),
    /// It began at a target that left, and no other version has served for so long.
    Established(VersionTag),
    /// The targets that keep the own part of its prompt have several versions.
    Ambiguous,
    /// Other routers may know it.
    Unknown,
}

impl Origin {
    /// Returns the version, if it is known.
    pub fn version(self) -> Option<VersionTag> {
        match self {
            Self::Recorded(version)
            | Self::Single(version)
            | Self::Kept(version)
            | Self::Established(version) => Some(version),
            Self::Ambiguous | Self::Unknown => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    version: VersionTag,
    at: Instant,
}

/// A registered target, as far as it tells which versions a service has had.
#[derive(Clone, Copy, Debug)]
pub struct VersionSighting<'a> {
    /// The service.
    pub service: &'a Name,
    /// The version of the target's software.
    pub version: VersionTag,
    /// The time since the start of the target.
    pub age: Duration,
}

/// A service that had a single version for as long as a stream can be taken up.
pub type SingleVersion = (u64, VersionTag);

/// The registered targets of one service.
#[derive(Default)]
struct Sighted {
    /// Each version, with the age of its oldest target.
    versions: SmallVec<[(VersionTag, Duration); 2]>,
    targets: usize,
    settled: usize,
}

/// The versions of the targets of one service.
#[derive(Clone, Default, Debug)]
struct VersionHistory {
    current: SmallVec<[VersionTag; 2]>,
    targets: usize,
    /// When the oldest target of each current version started.
    started: SmallVec<[Option<Instant>; 2]>,
    /// When this router first saw the service.
    watched_since: Option<Instant>,
    /// Whether no other version served shortly before that.
    is_single_before: bool,
    /// Versions without a target, with the time at which the last one was gone.
    past: SmallVec<[(VersionTag, Instant); 2]>,
}

impl VersionHistory {
    fn update(&mut self, sighted: Sighted, now: Instant) {
        let Sighted {
            versions,
            targets,
            settled,
        } = sighted;
        self.targets = targets;
        let current: SmallVec<[_; 2]> = versions.iter().map(|&(version, _)| version).collect();
        self.started = versions
            .iter()
            .map(|&(_, age)| now.checked_sub(age))
            .collect();
        if !current.is_empty() {
            self.watched_since.get_or_insert(now);
        }
        let gone = self.current.iter().filter(|it| !current.contains(it));
        let gone: SmallVec<[_; 2]> = gone.map(|&version| (version, now)).collect();
        self.past.extend(gone);
        self.past.retain(|(version, gone_at)| {
            !current.contains(version) && now.saturating_duration_since(*gone_at) < ORIGIN_TTL
        });
        self.current = current;
        // A version that has just replaced another one has new targets for the most part.
        if settled * 2 >= targets {
            self.confirm_single_before();
        }
    }

    /// Records that only the present version served before this router began to watch.
    fn confirm_single_before(&mut self) {
        self.is_single_before |= self.current.len() == 1 && self.past.is_empty();
    }

    /// Whether this many routers, if they all started with this one, have asked all targets
    /// what they keep.
    fn are_targets_asked(&self, watchers: usize, now: Instant) -> bool {
        let lists = self.targets.div_ceil(watchers.max(1));
        let needed = START_DELAY + LIST_SPACING * u32::try_from(lists).unwrap_or(u32::MAX);
        let watched_since = self.watched_since;
        watched_since.is_some_and(|at| now.saturating_duration_since(at) >= needed)
    }

    /// Returns the only version that has served for [`MAX_STREAM_AGE`], if there is one.
    fn established(&self, now: Instant) -> Option<VersionTag> {
        let has_served = |started: Option<Instant>| {
            started.is_none_or(|at| now.saturating_duration_since(at) >= MAX_STREAM_AGE)
        };
        let versions = self.current.iter().zip(&self.started);
        let mut versions = versions.filter(|&(_, &started)| has_served(started));
        let first = versions.next();
        let (&version, _) = first.filter(|_| versions.next().is_none())?;
        Some(version)
    }

    /// Returns the only version that streams can have begun at, if there is one.
    fn single(&self, now: Instant) -> Option<VersionTag> {
        let is_recent = |gone_at| now.saturating_duration_since(gone_at) < ORIGIN_TTL;
        let has_past = self.past.iter().any(|&(_, gone_at)| is_recent(gone_at));
        let has_watched = self
            .watched_since
            .is_some_and(|at| now.saturating_duration_since(at) >= ORIGIN_TTL);
        match self.current.as_slice() {
            &[version] if !has_past && (has_watched || self.is_single_before) => Some(version),
            _ => None,
        }
    }
}

/// The origins of the streams that this router began or holds for others.
#[derive(Default, Debug)]
pub struct StreamOrigins {
    records: FxHashMap<StreamId, Record>,
    /// The records in the order of their arrival.
    order: VecDeque<(StreamId, Instant)>,
    /// Streams begun by this router that were not yet sent to their holders.
    unsent: VecDeque<(StreamId, VersionTag, Instant)>,
    versions: FxHashMap<Name, VersionHistory>,
    /// The version of the targets that keep a prompt part, and when that was last heard; no
    /// version if they have several.
    holders: FxHashMap<u64, (Option<VersionTag>, Instant)>,
}

impl StreamOrigins {
    /// Updates the versions of the registered targets.
    pub fn observe_versions<'a>(
        &mut self,
        targets: impl Iterator<Item = VersionSighting<'a>>,
        now: Instant,
    ) {
        let mut current: FxHashMap<&Name, Sighted> = FxHashMap::default();
        for target in targets {
            let sighted = current.entry(target.service).or_default();
            sighted.targets += 1;
            sighted.settled += usize::from(target.age >= SETTLED_AGE);
            let mut versions = sighted.versions.iter_mut();
            match versions.find(|(version, _)| *version == target.version) {
                Some((_, age)) => *age = target.age.max(*age),
                None => sighted.versions.push((target.version, target.age)),
            }
        }
        for service in current.keys() {
            if !self.versions.contains_key(*service) {
                let history = VersionHistory::default();
                self.versions.insert((*service).clone(), history);
            }
        }
        for (service, history) in &mut self.versions {
            history.update(current.remove(service).unwrap_or_default(), now);
        }
    }

    /// The services that had a single version for as long as a stream can be taken up.
    pub fn single_versions(&self, now: Instant) -> Vec<SingleVersion> {
        let versions = self.versions.iter();
        let single =
            versions.filter_map(|(service, history)| Some((service.tag().0, history.single(now)?)));
        let mut single: Vec<SingleVersion> = single.collect();
        single.sort_unstable();
        single
    }

    /// Records that a router which has watched for so long saw a single version. Returns
    /// whether that is news.
    pub fn record_single(&mut self, single: &[SingleVersion]) -> bool {
        let mut is_news = false;
        for (service, history) in &mut self.versions {
            let is_same = |it: &&SingleVersion| {
                it.0 == service.tag().0 && history.current.as_slice() == [it.1]
            };
            if !history.is_single_before && single.iter().any(|it| is_same(&it)) {
                history.confirm_single_before();
                is_news |= history.is_single_before;
            }
        }
        is_news
    }

    /// Records that a target of a version keeps a prompt part.
    pub fn record_holder(&mut self, part: u64, version: VersionTag, now: Instant) {
        if self.holders.len() >= MAX_HOLDERS {
            let is_recent = |at: &Instant| now.saturating_duration_since(*at) < HOLDER_TTL;
            self.holders.retain(|_, (_, at)| is_recent(at));
        }
        if self.holders.len() >= MAX_HOLDERS {
            return;
        }
        let (known, at) = self.holders.entry(part).or_insert((Some(version), now));
        match known {
            _ if now.saturating_duration_since(*at) >= HOLDER_TTL => *known = Some(version),
            Some(known_version) if *known_version != version => *known = None,
            _ => {}
        }
        *at = now;
    }

    /// Returns the version of all targets that are known to keep a prompt part.
    pub fn version_of_holders(&self, part: u64, now: Instant) -> Origin {
        let known = self.holders.get(&part);
        let known = known.filter(|(_, at)| now.saturating_duration_since(*at) < HOLDER_TTL);
        match known {
            Some(&(Some(version), _)) => Origin::Kept(version),
            Some((None, _)) => Origin::Ambiguous,
            None => Origin::Unknown,
        }
    }

    /// Returns the version of a stream of a service whose prompt no target is known to keep,
    /// after the time in which `watchers` routers have asked all targets.
    pub fn version_of_departed(&self, service: &Name, watchers: usize, now: Instant) -> Origin {
        let history = self.versions.get(service);
        let history = history.filter(|history| history.are_targets_asked(watchers, now));
        let established = history.and_then(|history| history.established(now));
        established.map_or(Origin::Unknown, Origin::Established)
    }

    /// Records a stream that this router began.
    pub fn record_begun(&mut self, stream: StreamId, version: VersionTag, now: Instant) {
        self.record(stream, version, now);
        let is_expired = |at| now.saturating_duration_since(at) >= ORIGIN_TTL;
        while let Some(&(_, _, at)) = self.unsent.front()
            && (is_expired(at) || self.unsent.len() >= MAX_ORIGINS)
        {
            self.unsent.pop_front();
        }
        self.unsent.push_back((stream, version, now));
    }

    /// Records a stream that another router began.
    pub fn record(&mut self, stream: StreamId, version: VersionTag, now: Instant) {
        self.evict(now);
        let record = Record { version, at: now };
        if self.records.insert(stream, record).is_none() {
            self.order.push_back((stream, now));
        }
    }

    fn evict(&mut self, now: Instant) {
        let is_expired = |at| now.saturating_duration_since(at) >= ORIGIN_TTL;
        while let Some(&(stream, at)) = self.order.front() {
            if !is_expired(at) && self.order.len() < MAX_ORIGINS {
                return;
            }
            self.order.pop_front();
            self.records.remove(&stream);
        }
    }

    /// Returns the recorded version of a stream.
    pub fn recorded(&self, stream: StreamId, now: Instant) -> Option<VersionTag> {
        let record = self.records.get(&stream)?;
        let is_current = now.saturating_duration_since(record.at) < ORIGIN_TTL;
        is_current.then_some(record.version)
    }

    /// Returns the version at which a stream of a service began. `is_current` tells
    /// whether the registered targets were read recently.
    pub fn origin(
        &self,
        stream: Option<StreamId>,
        service: &Name,
        is_current: bool,
        now: Instant,
    ) -> Origin {
        if let Some(version) = stream.and_then(|stream| self.recorded(stream, now)) {
            return Origin::Recorded(version);
        }
        let history = self.versions.get(service).filter(|_| is_current);
        let single = history.and_then(|history| history.single(now));
        single.map_or(Origin::Unknown, Origin::Single)
    }

    /// Takes the streams to be sent to their holders: none while each service has a
    /// single version.
    pub fn take_unsent(&mut self, now: Instant) -> Vec<(StreamId, VersionTag)> {
        let has_several = self
            .versions
            .values()
            .any(|history| !history.current.is_empty() && history.single(now).is_none());
        if !has_several {
            return Vec::new();
        }
        let is_current = |at| now.saturating_duration_since(at) < ORIGIN_TTL;
        let unsent = self.unsent.drain(..);
        let current = unsent.filter(|&(_, _, at)| is_current(at));
        current
            .map(|(stream, version, _)| (stream, version))
            .collect()
    }
}

/// Returns the members that hold the origin of a stream, by rendezvous hashing: as many
/// as it takes to include [`HOLDERS`] that are reachable.
///
/// `members` are pairs of a member's tag and whether it is reachable. An unreachable one
/// is included since it may be reachable for others.
pub fn holders(stream: StreamId, members: &[(u64, bool)]) -> SmallVec<[usize; 8]> {
    let score = |index: &usize| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&stream.0.to_le_bytes());
        bytes[8..].copy_from_slice(&members[*index].0.to_le_bytes());
        xxh3_64(&bytes)
    };
    let mut ranked: Vec<usize> = (0..members.len()).collect();
    ranked.sort_unstable_by_key(|index| std::cmp::Reverse(score(index)));
    let mut reachable = 0;
    let needed = ranked.iter().take_while(|&&index| {
        let is_needed = reachable < HOLDERS;
        reachable += usize::from(members[index].1);
        is_needed
    });
    needed.copied().collect()
}
