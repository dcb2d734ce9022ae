//! Targets and data centres as listed by the configuration service.
//!
//! Invariant: an entry that cannot be parsed is skipped and does not affect other
//! entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::{Display, From};
use entity::Name;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

/// The state that a target reports of itself.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts requests.
    Ready,
    /// Drains: finishes its requests and accepts no new ones.
    Leaving,
}

/// The version of the software that a target runs.
#[derive(
    Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, From, Serialize, Deserialize,
)]
pub struct SoftwareVersion(Name);

impl SoftwareVersion {
    /// Creates a version from the text of a registration.
    pub fn new(text: &str) -> Self {
        Self(Name::new(text))
    }

    /// The hash that identifies the version between routers.
    pub fn tag(&self) -> VersionTag {
        VersionTag(self.0.tag().0)
    }
}

/// The hash of a software version.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct VersionTag(pub u64);

impl Default for SoftwareVersion {
    /// The version of a target that states none.
    fn default() -> Self {
        Self::new("")
    }
}

/// A target's registration.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Target {
    /// The id of this incarnation of the target.
    pub name: Name,
    /// The service.
    pub service: Name,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The data centre.
    pub centre: Name,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: TargetState,
    /// How long it stays cold, counted from when the registration was read.
    pub cold: Duration,
    /// The start time in milliseconds since the Unix epoch; 0 if unknown.
    pub born: u64,
    /// The version of its software. Not part of the encoding, which is that of routers
    /// that know no versions.
    #[serde(skip)]
    pub version: SoftwareVersion,
}

/// The longest time for which a target counts as cold, so that a wrong value neither keeps it
/// out of full use for good nor exceeds what the clock can express.
pub const MAX_COLD: Duration = Duration::from_secs(3_600);

impl Target {
    /// The time until which the target is cold, given when its registration was read.
    pub fn cold_until(&self, read_at: Instant) -> Instant {
        read_at + self.cold.min(MAX_COLD)
    }
}

/// The time without a successful read after which registrations may have expired.
/// It is shorter than three heartbeats of a target.
pub const MIN_OUTAGE: Duration = Duration::from_millis(2_500);

/// The time within which registrations that expired during an outage are
/// restored.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2_000);

/// The registered targets and the drained data centres.
///
/// A target whose registration is missing is removed immediately, unless the read
/// is the first one after an outage. In that case the registration may have
/// expired because the target could not renew it, so the target is kept until
/// such registrations had time to be restored.
#[derive(Clone, Default, Debug)]
pub struct TargetRegistry {
    /// The targets by name, with the time at which their cold time was first
    /// reported.
    pub targets: FxHashMap<Name, (Target, Option<Instant>)>,
    /// The data centres that operators drained.
    pub drained: FxHashSet<Name>,
    last_read: Option<Instant>,
    /// Whether the next list may lack registrations that are written again.
    may_lack_entries: bool,
    kept_until: FxHashMap<Name, Instant>,
}

impl TargetRegistry {
    /// Replaces the targets by a complete list that was read from the service at `now`,
    /// which may be in the past but not before an earlier one.
    pub fn replace(&mut self, targets: Vec<Target>, now: Instant) -> TargetChanges {
        let mut changes = TargetChanges::default();
        let mut updated = FxHashMap::default();
        for target in targets {
            self.kept_until.remove(&target.name);
            let entry = self.targets.remove(&target.name);
            match &entry {
                Some((previous, _))
                    if previous.born == target.born && previous.state == target.state => {}
                Some(_) if target.state == TargetState::Leaving => {
                    changes.leaving.push(target.name.clone());
                }
                _ => changes.added.push(target.name.clone()),
            }
            // The cold time is counted from the read that first reported it.
            let reported_at = match entry {
                Some((previous, reported_at))
                    if previous.cold == target.cold && previous.born == target.born =>
                {
                    reported_at
                }
                _ => Some(now),
            };
            updated.insert(target.name.clone(), (target, reported_at));
        }
        let time_since_read = self
            .last_read
            .map(|last_read| now.saturating_duration_since(last_read));
        let follows_outage = std::mem::take(&mut self.may_lack_entries)
            || time_since_read.is_some_and(|elapsed| elapsed >= MIN_OUTAGE);
        for (name, entry) in self.targets.drain() {
            if follows_outage {
                self.kept_until
                    .insert(name.clone(), now + REREGISTRATION_TIME);
            }
            match self.kept_until.get(&name) {
                Some(&until) if until > now => {
                    updated.insert(name, entry);
                }
                _ => {
                    self.kept_until.remove(&name);
                    changes.removed.push(name);
                }
            }
        }
        changes.removed.sort();
        self.targets = updated;
        self.last_read = Some(now);
        changes
    }

    /// Records that the service came back from an older copy, so that registrations may
    /// be missing until targets have written them again.
    pub fn expect_missing_entries(&mut self) {
        self.may_lack_entries = true;
    }

    /// The time since the last read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_read
            .map(|last_read| now.saturating_duration_since(last_read))
    }

    /// The time until the next target with an expired registration is removed, if
    /// any.
    pub fn next_removal(&self, now: Instant) -> Option<Duration> {
        let first = self.kept_until.values().min()?;
        Some(first.saturating_duration_since(now))
    }
}

/// The differences between two lists of targets.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct TargetChanges {
    /// Targets that are new or have a new incarnation.
    pub added: Vec<Name>,
    /// Targets that started to drain.
    pub leaving: Vec<Name>,
    /// Targets whose registration is missing.
    pub removed: Vec<Name>,
}
