//! Broadcast items of other subsystems.
//!
//! Invariants:
//! - Merging is idempotent and independent of order: for one key the greater
//!   version wins, for one version the greater body.
//! - At most [`MAX_ITEMS`] items of at most [`MAX_BODY_BYTES`] bytes are stored; when
//!   there are more, the item that expires first is dropped.

use std::collections::BTreeMap;
use std::time::SystemTime;

use xxhash_rust::xxh3::xxh3_64;

use super::message::{Broadcast, Held};

/// The maximum number of stored items.
pub const MAX_ITEMS: usize = 512;

/// The maximum size of an item's body in bytes.
pub const MAX_BODY_BYTES: usize = 1024;

/// The maximum total body size of the items piggybacked on one probe or answer, in bytes;
/// raised to [`MAX_BODY_BYTES`] so that one item of any size fits.
const PIGGYBACK_BYTES: usize = 512;

/// The maximum size of the items in one answer to a list of stored items, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// An item and the number of times it was piggybacked.
#[derive(Clone, Debug)]
struct Entry {
    item: Broadcast,
    times_sent: u32,
}

/// The broadcast items that a process stores.
#[derive(Clone, Default, Debug)]
pub struct Broadcasts {
    entries: BTreeMap<u64, Entry>,
    digest: u64,
}

impl Broadcasts {
    /// Merges an item; returns whether it is new and was stored.
    pub fn merge(&mut self, wall: SystemTime, item: Broadcast) -> bool {
        if item.body.len() > MAX_BODY_BYTES || item.expires <= wall {
            return false;
        }
        let stored = self.entries.get(&item.key).map(|entry| &entry.item);
        if stored.is_some_and(|stored| precedence(stored) >= precedence(&item)) {
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

    /// Drops expired items.
    pub fn expire(&mut self, wall: SystemTime) {
        let is_expired = |entry: &Entry| entry.item.expires <= wall;
        let expired: Vec<_> = self
            .entries
            .values()
            .filter(|entry| is_expired(entry))
            .collect();
        let keys: Vec<_> = expired.iter().map(|entry| entry.item.key).collect();
        for key in keys {
            self.remove(key);
        }
    }

    /// Selects the items to piggyback on one message: those sent least often, and fewer than
    /// `limit` times.
    pub fn piggyback(&mut self, limit: u32) -> Vec<Broadcast> {
        let mut pending: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| entry.times_sent < limit)
            .collect();
        pending.sort_by_key(|entry| (entry.times_sent, entry.item.key));
        let mut remaining_bytes = PIGGYBACK_BYTES.max(MAX_BODY_BYTES);
        let mut items = Vec::new();
        for entry in pending {
            if entry.item.body.len() > remaining_bytes {
                break;
            }
            remaining_bytes -= entry.item.body.len();
            entry.times_sent += 1;
            items.push(entry.item.clone());
        }
        items
    }

    /// The items that a peer with the items `held` is missing, up to `MAX_ANSWER_BYTES`.
    pub fn missing_from(&self, held: &[Held]) -> Vec<Broadcast> {
        let held: BTreeMap<_, _> = held.iter().map(|held| (held.key, held.version)).collect();
        let mut remaining_bytes = MAX_ANSWER_BYTES;
        let mut items = Vec::new();
        for Entry { item, .. } in self.entries.values() {
            let known = held.get(&item.key).is_some_and(|&at| at >= item.version);
            let size = item.body.len() + size_of::<Held>();
            if known || size > remaining_bytes {
                continue;
            }
            remaining_bytes -= size;
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

    /// The items in ascending order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Broadcast> {
        self.entries.values().map(|entry| &entry.item)
    }

    /// A hash of the set of keys and versions, to compare sets between processes.
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
        let expiry = |entry: &&Entry| (entry.item.expires, entry.item.key);
        let first = self.entries.values().min_by_key(expiry);
        let key = first
            .expect("there are more items than the maximum")
            .item
            .key;
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
