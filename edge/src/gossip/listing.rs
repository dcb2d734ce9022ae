//! The exchange of the list of targets: its changes, or the whole in parts that fit a
//! datagram.

use std::net::SocketAddr;
use std::time::Duration;

use entity::{Clock, SystemClock};
use node::event::{self, Event};
use policy::direct::exchange::PERIOD;
use policy::direct::listing::ListingChange;
use policy::direct::target::Target;
use wire::{
    AgedListing, ChangedListing, Datagram, Listing, Unchanged, VersionedListing, listing_digest,
};

use super::Gossip;

/// The number of targets in a part of a listing, chosen so that a part fits a datagram.
const TARGETS_PER_PART: usize = 64;

/// The maximum number of parts of a listing.
const MAX_LISTING_PARTS: u16 = 256;

/// The maximum number of listings being reassembled.
const MAX_PARTIAL_LISTINGS: usize = 16;

/// The maximum number of targets sent in one period to routers that asked for the listing.
const MAX_ANSWERED_TARGETS: usize = 8_000;

/// The minimum time between two questions for the whole listing.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(250);

impl Gossip {
    /// Sends what changed between two listings, in steps that fit a datagram; mostly in one.
    pub(super) fn send_change(
        &self,
        revision: u64,
        old: &[Target],
        new: &[Target],
        to: &[SocketAddr],
    ) {
        let steps = ListingChange::between(old, new).into_steps(TARGETS_PER_PART);
        let count = steps.len();
        let mut listing = old.to_vec();
        for (index, step) in steps.into_iter().enumerate() {
            let base = listing_digest(&listing);
            listing = step.apply(&listing);
            let datagram = Datagram::ChangedListing(ChangedListing {
                base,
                digest: listing_digest(&listing),
                is_last: index + 1 == count,
                removed: step.removed,
                changed: VersionedListing::new(Listing {
                    revision,
                    part: 0,
                    parts: 1,
                    targets: step.changed,
                }),
            });
            for &address in to {
                self.send(&datagram, address);
            }
        }
    }

    /// Applies a change to the listing on which it is based.
    pub(super) fn receive_change(&mut self, change: ChangedListing, from: SocketAddr) {
        let ChangedListing {
            base,
            digest,
            is_last,
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
        let is_applied = match is_last {
            true => self.store.adopt_change(base, digest, revision, &change),
            false => self.store.stage_change(base, digest, &change),
        };
        if !is_applied {
            self.ask_for_listing(from);
        }
    }

    /// Applies the notice that the listing is unchanged.
    pub(super) fn receive_unchanged(&mut self, unchanged: Unchanged, from: SocketAddr) {
        if !self.store.adopt_unchanged(unchanged) {
            self.ask_for_listing(from);
        }
    }

    /// Asks for the whole listing: the relay of this router, since the reader has many to
    /// answer, and by turns the router that has it for certain.
    fn ask_for_listing(&mut self, from: SocketAddr) {
        let now = SystemClock.now().mono;
        let is_recent = |at| now.saturating_duration_since(at) < MIN_QUERY_INTERVAL;
        if self.listing_asked.is_some_and(|(at, _)| is_recent(at)) {
            return;
        }
        let asked_relay = self.listing_asked.is_some_and(|(_, relay)| relay);
        let relay = self.exchange.relay().filter(|_| !asked_relay);
        self.listing_asked = Some((now, relay.is_some()));
        self.send(&Datagram::ListingQuery, relay.unwrap_or(from));
    }

    /// Asks a router for the listing if this one has none yet.
    pub(super) fn ask_for_first_listing(&mut self, from: SocketAddr) {
        if !self.store.has_listing() {
            self.ask_for_listing(from);
        }
    }

    /// Sends the whole listing with its age, unless many others were sent it just now.
    pub(super) fn answer_listing_query(&mut self, to: SocketAddr) {
        let Some((revision, age, targets)) = self.store.listing() else {
            return;
        };
        let now = SystemClock.now().mono;
        if now.saturating_duration_since(self.answered.0) >= PERIOD {
            self.answered = (now, 0);
        }
        if self.answered.1 >= MAX_ANSWERED_TARGETS {
            return;
        }
        self.answered.1 += targets.len();
        let chunks: Vec<&[Target]> = targets.chunks(TARGETS_PER_PART).collect();
        let parts = chunks.len() as u16;
        // Rounded up, so that the listing never appears more recent than it is.
        let age = age.as_millis() as u32 + 1;
        for (part, chunk) in chunks.into_iter().enumerate() {
            let listing = VersionedListing::new(Listing {
                revision,
                part: part as u16,
                parts,
                targets: chunk.to_vec(),
            });
            self.send(&Datagram::AgedListing(AgedListing { age, listing }), to);
        }
    }

    pub(super) fn receive_listing(&mut self, listing: Listing, age: Duration, from: SocketAddr) {
        let Listing {
            revision,
            part,
            parts,
            targets,
        } = listing;
        if parts == 1 {
            self.store.adopt_listing(revision, age, targets);
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
            self.store.adopt_listing(revision, age, targets);
        }
    }
}
