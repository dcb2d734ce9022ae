//! Broadcasts of other subsystems.
//!
//! Invariants:
//! - Merging is idempotent and independent of order: of one key the greater
//!   version wins, of one version the greater body.
//! - At most [`MAX_ITEMS`] items of at most [`MAX_BODY_BYTES`] bytes are held; beyond
//!   that the item that expires first is dropped.

use std::collections::BTreeMap;
use std::time::SystemTime;

use xxhash_rust::xxh3::xxh3_64;

use super::message::{Broadcast, Held};

/// The greatest number of items held.
pub const MAX_ITEMS: usize = 512;

/// The greatest size of an item's body in bytes.
pub const MAX_BODY_BYTES: usize = 1024;

/// The greatest size of the items on one probe or answer in bytes.
const PIGGYBACK_BYTES: usize = 512;

/// The greatest size of the items in answer to a list of what is held, in bytes.
const ANSWER_BYTES: usize = 64 * 1024;

/// An item and how often it was sent.
#[derive(Clone, Debug)]
struct Entry {
    item: Broadcast,
    times_sent: u32,
}

/// The broadcasts that a process holds.
#[derive(Clone, Default, Debug)]
pub struct Broadcasts {
    entries: BTreeMap<u64, Entry>,
    digest: u64,
}

impl Broadcasts {
    /// Takes an item in; returns whether it is news.
    pub fn merge(&mut self, wall: SystemTime, item: Broadcast) -> bool {
        if item.body.len() > MAX_BODY_BYTES || item.expires <= wall {
            return false;
        }
        let held = self.entries.get(&item.key).map(|entry| &entry.item);
        if held.is_some_and(|held| precedence(held) >= precedence(&item)) {
            return false;
        }
        let key = item.key;
        self.remove(key);
        self.digest ^= item_hash(&item);
        self.entries.insert(
            key,
            Entry {
                item,
                times_sent: 0,
            },
        );
        self.evict_excess();
        self.entries.contains_key(&key)
    }

    /// Drops what has expired.
    pub fn expire(&mut self, wall: SystemTime) {
        let past = |entry: &Entry| entry.item.expires <= wall;
        let expired: Vec<_> = self.entries.values().filter(|entry| past(entry)).collect();
        let keys: Vec<_> = expired.iter().map(|entry| entry.item.key).collect();
        for key in keys {
            self.remove(key);
        }
    }

    /// The items to put on one message: those that were sent least, fewer than `limit` times.
    pub fn piggyback(&mut self, limit: u32) -> Vec<Broadcast> {
        let mut fresh: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| entry.times_sent < limit)
            .collect();
        fresh.sort_by_key(|entry| (entry.times_sent, entry.item.key));
        let mut room = PIGGYBACK_BYTES.max(MAX_BODY_BYTES);
        let mut items = Vec::new();
        for entry in fresh {
            if entry.item.body.len() > room {
                break;
            }
            room -= entry.item.body.len();
            entry.times_sent += 1;
            items.push(entry.item.clone());
        }
        items
    }

    /// The items that a peer with these lacks, bounded by `ANSWER_BYTES`.
    pub fn missing_from(&self, held: &[Held]) -> Vec<Broadcast> {
        let held: BTreeMap<_, _> = held.iter().map(|held| (held.key, held.version)).collect();
        let mut room = ANSWER_BYTES;
        let mut items = Vec::new();
        for Entry { item, .. } in self.entries.values() {
            let known = held.get(&item.key).is_some_and(|&at| at >= item.version);
            let size = item.body.len() + size_of::<Held>();
            if known || size > room {
                continue;
            }
            room -= size;
            items.push(item.clone());
        }
        items
    }

    /// The keys and versions of all items.
    pub fn held_versions(&self) -> Vec<Held> {
        let held = |entry: &Entry| Held {
            key: entry.item.key,
            version: entry.item.version,
        };
        self.entries.values().map(held).collect()
    }

    /// The items, in order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Broadcast> {
        self.entries.values().map(|entry| &entry.item)
    }

    /// A value that differs, but for accident, between sets that differ.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn remove(&mut self, key: u64) {
        if let Some(entry) = self.entries.remove(&key) {
            self.digest ^= item_hash(&entry.item);
        }
    }

    fn evict_excess(&mut self) {
        if self.entries.len() <= MAX_ITEMS {
            return;
        }
        let first = |entry: &&Entry| (entry.item.expires, entry.item.key);
        let first = self.entries.values().min_by_key(first);
        let key = first.expect("more than the maximum is held").item.key;
        self.remove(key);
    }
}

fn precedence(item: &Broadcast) -> (u64, &[u8], SystemTime) {
    (item.version, &item.body, item.expires)
}

fn item_hash(item: &Broadcast) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&item.key.to_le_bytes());
    bytes[8..].copy_from_slice(&item.version.to_le_bytes());
    xxh3_64(&bytes)
}
