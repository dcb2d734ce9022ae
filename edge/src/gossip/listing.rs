//! The exchange of the list of targets, in parts that fit a datagram.

use std::net::SocketAddr;

use node::event::{self, Event};
use policy::direct::target::Target;
use wire::{Datagram, Listing, VersionedListing};

use super::Gossip;

/// The number of targets in a part of a listing, chosen so that a part fits a datagram.
const TARGETS_PER_PART: usize = 64;

/// The maximum number of parts of a listing.
const MAX_LISTING_PARTS: u16 = 256;

/// The maximum number of listings being reassembled.
const MAX_PARTIAL_LISTINGS: usize = 16;

impl Gossip {
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
