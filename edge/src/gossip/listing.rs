//! The exchange of the list of targets: its changes, or the whole in parts that fit a
//! datagram.

use std::net::SocketAddr;
use std::time::Duration;

use entity::{Clock, SystemClock};
use node::event::{self, Event};
use policy::direct::listing::ListingChange;
use policy::direct::target::Target;
use wire::{ChangedListing, Datagram, Listing, MAX_DATAGRAM_BYTES, Unchanged, VersionedListing};

use super::Gossip;

/// The number of targets in a part of a listing, chosen so that a part fits a datagram.
const TARGETS_PER_PART: usize = 64;

/// The maximum number of parts of a listing.
const MAX_LISTING_PARTS: u16 = 256;

/// The maximum number of listings being reassembled.
const MAX_PARTIAL_LISTINGS: usize = 16;

/// The minimum time between two questions for the whole listing.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(500);

impl Gossip {
    /// Sends what changed in the listing, or the whole if that does not fit a datagram.
    pub(super) fn send_change(&self, change: ChangedListing, to: &[SocketAddr]) {
        let datagram = Datagram::ChangedListing(change);
        if datagram.encode().len() > MAX_DATAGRAM_BYTES {
            let (revision, targets) = self.store.listing();
            return self.send_listing(revision, &targets, to);
        }
        for &address in to {
            self.send(&datagram, address);
        }
    }

    /// Applies a change to the listing on which it is based.
    pub(super) fn receive_change(&mut self, change: ChangedListing, from: SocketAddr) {
        let ChangedListing {
            base,
            digest,
            removed,
            changed,
        } = change;
        let Listing {
            revision, targets, ..
        } = changed.into_listing();
        let change = ListingChange {
            changed: targets,
            removed,
        };
        if !self.store.adopt_change(base, digest, revision, &change) {
            self.ask_for_listing(from);
        }
    }

    /// Applies the notice that the listing is unchanged.
    pub(super) fn receive_unchanged(&mut self, unchanged: Unchanged, from: SocketAddr) {
        if !self.store.adopt_unchanged(unchanged) {
            self.ask_for_listing(from);
        }
    }

    /// Asks the router that has just read the store for the whole listing.
    fn ask_for_listing(&mut self, from: SocketAddr) {
        let now = SystemClock.now().mono;
        let is_recent = |at| now.saturating_duration_since(at) < MIN_QUERY_INTERVAL;
        if self.listing_asked.is_some_and(is_recent) {
            return;
        }
        self.listing_asked = Some(now);
        self.send(&Datagram::ListingQuery, from);
    }

    /// Sends the whole listing. An old one is not sent, since its receiver counts its
    /// age from its arrival.
    pub(super) fn answer_listing_query(&self, from: SocketAddr) {
        if self.store.has_fresh_listing() {
            let (revision, targets) = self.store.listing();
            self.send_listing(revision, &targets, &[from]);
        }
    }

    pub(super) fn send_listing(&self, revision: u64, targets: &[Target], to: &[SocketAddr]) {
        let chunks: Vec<&[Target]> = targets.chunks(TARGETS_PER_PART).collect();
        let parts = chunks.len() as u16;
        for (part, chunk) in chunks.into_iter().enumerate() {
            let listing = Datagram::VersionedListing(VersionedListing::new(Listing {
                revision,
                part: part as u16,
                parts,
                targets: chunk.to_vec(),
            }));
            for &address in to {
                self.send(&listing, address);
            }
        }
    }

    pub(super) fn receive_listing(&mut self, listing: Listing, from: SocketAddr) {
        let Listing {
            revision,
            part,
            parts,
            targets,
        } = listing;
        if parts == 1 {
            self.store.adopt_listing(revision, targets);
            return;
        }
        if parts == 0 || part >= parts || parts > MAX_LISTING_PARTS {
            event::log(Event::MessageRefused, &[("peer", &from)]);
            return;
        }
        if self.partial_listings.len() >= MAX_PARTIAL_LISTINGS {
            self.partial_listings.clear();
        }
        let slots = self.partial_listings.entry((from, revision)).or_default();
        slots.resize(parts.into(), None);
        slots[usize::from(part)] = Some(targets);
        if slots.iter().all(Option::is_some) {
            let complete = self
                .partial_listings
                .remove(&(from, revision))
                .unwrap_or_default();
            let targets = complete.into_iter().flatten().flatten().collect();
            self.store.adopt_listing(revision, targets);
        }
    }
}
