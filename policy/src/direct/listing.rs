//! The differences between two listings of the targets.
//!
//! Load that it answers: thousands of targets of which a few change between two reads.
//! The router that reads the store sends the others what changed ([`exchange`]).
//!
//! Invariant: a listing is ordered by name, so equal targets give equal listings.

pub mod exchange;
pub mod message;
mod ranges;

use std::cmp::Ordering;

use entity::Name;
use rustc_hash::FxHashSet;

use super::target::Target;

/// The difference between two listings.
#[derive(Clone, Default, PartialEq, Debug)]
pub struct ListingChange {
    /// The targets that are new or differ.
    pub changed: Vec<Target>,
    /// The names of the targets that are gone.
    pub removed: Vec<Name>,
}

/// Orders targets as in a listing. Of several with one name the first is kept.
pub fn sort_listing(targets: &mut Vec<Target>) {
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    targets.dedup_by(|later, first| later.name == first.name);
}

impl ListingChange {
    /// Returns what leads from one listing to another.
    pub fn between(old: &[Target], new: &[Target]) -> Self {
        let mut change = Self::default();
        let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
        loop {
            let order = match (old.peek(), new.peek()) {
                (None, None) => return change,
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(a), Some(b)) => a.name.cmp(&b.name),
            };
            let before = if order.is_le() { old.next() } else { None };
            let after = if order.is_ge() { new.next() } else { None };
            match (before, after) {
                (Some(gone), None) => change.removed.push(gone.name.clone()),
                (before, Some(target)) if before != Some(target) => {
                    change.changed.push(target.clone());
                }
                _ => {}
            }
        }
    }

    /// The number of targets and names in which the listings differ.
    pub fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Whether the listings are equal.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Splits the change into steps of at most `limit` targets and names; there is at
    /// least one. Each concerns few ranges, so that one that is lost is soon replaced.
    pub fn into_steps(mut self, limit: usize) -> Vec<Self> {
        self.removed.sort_by_key(|name| name.tag().0);
        self.changed.sort_by_key(|target| target.name.tag().0);
        let mut steps = vec![Self::default()];
        let mut size = 0;
        let mut step_for = |steps: &mut Vec<Self>| {
            if size == limit {
                size = 0;
                steps.push(Self::default());
            }
            size += 1;
            steps.len() - 1
        };
        for name in self.removed {
            let step = step_for(&mut steps);
            steps[step].removed.push(name);
        }
        for target in self.changed {
            let step = step_for(&mut steps);
            steps[step].changed.push(target);
        }
        steps
    }

    /// Returns the listing to which the change leads.
    pub fn apply(&self, old: &[Target]) -> Vec<Target> {
        let changed = self.changed.iter().map(|target| &target.name);
        let replaced: FxHashSet<&Name> = changed.chain(&self.removed).collect();
        let kept = old.iter().filter(|target| !replaced.contains(&target.name));
        let mut targets: Vec<Target> = kept.chain(&self.changed).cloned().collect();
        sort_listing(&mut targets);
        targets
    }
}
