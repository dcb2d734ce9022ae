//! What the configuration service says about targets and data centres.
//!
//! Invariant: an entry that cannot be read names no target; it never hides
//! another entry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entity::Name;
use rustc_hash::{FxHashMap, FxHashSet};

/// Whether a target takes new requests by its own word.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// One target as it registered itself.
#[derive(Clone, PartialEq, Debug)]
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

/// The targets and drained data centres at one moment.
#[derive(Clone, Default, Debug)]
pub struct Roster {
    /// The targets by name, with the time at which each entry last changed here.
    pub targets: FxHashMap<Name, (Target, Option<Instant>)>,
    /// The data centres that operators took out of service.
    pub drained: FxHashSet<Name>,
}

impl Roster {
    /// Replaces all targets by a complete reading.
    pub fn replace(&mut self, targets: Vec<Target>, now: Instant) -> Change {
        let mut change = Change::default();
        let mut next = FxHashMap::default();
        for target in targets {
            let entry = self.targets.remove(&target.name);
            match &entry {
                Some((old, _)) if old.born == target.born && old.state == target.state => {}
                Some((_, _)) if target.state == TargetState::Leaving => {
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
        change.gone = self.targets.drain().map(|(name, _)| name).collect();
        change.gone.sort();
        self.targets = next;
        change
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
