//! What the configuration service says about targets and data centres.
//!
//! Invariant: an entry that cannot be read names no target; it never hides
//! another entry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entity::Name;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

/// Whether a target takes new requests by its own word.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// One target as it registered itself.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Target {
    /// The id of this life of the target.
    pub name: Name,
    /// The service that it serves.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre.
    pub centre: Name,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: TargetState,
    /// How long it stays cold, from the moment it was read.
    pub cold: Duration,
    /// Its start, in milliseconds since the Unix epoch; 0 if not stated.
    pub born: u64,
}

/// The time without a reading after which entries may have lapsed; three
/// heartbeats of a target are longer.
pub const OUTAGE: Duration = Duration::from_millis(2_500);

/// The time in which entries that lapsed in an outage return.
pub const RETURN_TIME: Duration = Duration::from_millis(2_000);

/// The targets and drained data centres at one moment.
///
/// A target whose entry is missing is gone at once, unless the reading is the
/// first after an outage: the entry may have lapsed because the target could not
/// renew it, so the target is kept until such entries had time to return.
#[derive(Clone, Default, Debug)]
pub struct Roster {
    /// The targets by name, with the time at which each cold time was first stated.
    pub targets: FxHashMap<Name, (Target, Option<Instant>)>,
    /// The data centres that operators took out of service.
    pub drained: FxHashSet<Name>,
    read: Option<Instant>,
    lapsed: FxHashMap<Name, Instant>,
}

impl Roster {
    /// Adopts a complete reading of the targets.
    pub fn replace(&mut self, targets: Vec<Target>, now: Instant) -> Change {
        let mut change = Change::default();
        let mut next = FxHashMap::default();
        for target in targets {
            self.lapsed.remove(&target.name);
            let entry = self.targets.remove(&target.name);
            match &entry {
                Some((old, _)) if old.born == target.born && old.state == target.state => {}
                Some(_) if target.state == TargetState::Leaving => {
                    change.leaving.push(target.name.clone());
                }
                _ => change.appeared.push(target.name.clone()),
            }
            // A cold time counts from the reading that first stated it.
            let since = match entry {
                Some((old, since)) if old.cold == target.cold && old.born == target.born => since,
                _ => Some(now),
            };
            next.insert(target.name.clone(), (target, since));
        }
        let since_read = self.read.map(|read| now.saturating_duration_since(read));
        let follows_outage = since_read.is_some_and(|silence| silence >= OUTAGE);
        for (name, entry) in self.targets.drain() {
            if follows_outage {
                self.lapsed.insert(name.clone(), now + RETURN_TIME);
            }
            match self.lapsed.get(&name) {
                Some(&until) if until > now => {
                    next.insert(name, entry);
                }
                _ => {
                    self.lapsed.remove(&name);
                    change.gone.push(name);
                }
            }
        }
        change.gone.sort();
        self.targets = next;
        self.read = Some(now);
        change
    }

    /// The age of the last reading.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.read.map(|read| now.saturating_duration_since(read))
    }

    /// The time until a target that lapsed is given up, if there is one.
    pub fn lapse_due(&self, now: Instant) -> Option<Duration> {
        let first = self.lapsed.values().min()?;
        Some(first.saturating_duration_since(now))
    }
}

/// What a reading changed.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Change {
    /// Targets that are new, or in a new life.
    pub appeared: Vec<Name>,
    /// Targets that began to leave.
    pub leaving: Vec<Name>,
    /// Targets whose entry is missing.
    pub gone: Vec<Name>,
}
