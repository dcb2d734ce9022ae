//! The listing of the targets, from the store and from peers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use entity::{Clock, SystemClock};
use node::event::{self, Event};
use platform::record::{self, StoreKey};
use platform::store::{Item, TARGETS_PREFIX};
use policy::direct::confirmation::Uptime;
use policy::direct::listing::{ListingChange, sort_listing};
use policy::direct::polling;
use policy::direct::store_revision::StoreRevision;
use policy::direct::target::Target;
use tokio::time::sleep;
use wire::{Unchanged, listing_digest};

use super::{PeerUpdate, ReadLoop, StoreReader};
use crate::clock::{BootClock, SystemBootClock};

/// The period at which a router that starts checks whether a peer has sent the targets.
const FIRST_READ_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// The age at which a reading of the targets is no longer sent to peers.
const MAX_UPDATE_AGE: Duration = Duration::from_millis(400);

impl StoreReader {
    /// Reads the targets for as long as the process runs.
    pub(crate) async fn follow_targets(self: Rc<Self>) {
        self.wait_for_first_listing().await;
        loop {
            let due = self.targets_due();
            if due > Duration::ZERO {
                sleep(due).await;
                continue;
            }
            let sent = SystemBootClock.uptime();
            match self.range(TARGETS_PREFIX).await {
                Ok((items, as_of)) => {
                    self.record_success(ReadLoop::Targets);
                    self.adopt_items(&items, as_of, sent);
                }
                Err(error) => {
                    self.record_failure(ReadLoop::Targets, &error);
                    self.wait_to_retry(ReadLoop::Targets).await;
                }
            }
        }
    }

    /// Waits until a peer has sent the targets, or until this router should read them.
    async fn wait_for_first_listing(&self) {
        let started = SystemClock.now().mono;
        while !self.has_listing() {
            let elapsed = SystemClock.now().mono.saturating_duration_since(started);
            let reachable = self.state.borrow().reachable_peers.clone();
            let count = reachable.len();
            let rank = polling::rank(self.address, reachable.into_iter());
            if elapsed >= polling::first_read_delay(rank, count) {
                return;
            }
            sleep(FIRST_READ_CHECK_PERIOD).await;
        }
    }

    fn targets_due(&self) -> Duration {
        let now = SystemClock.now().mono;
        let rank = self.rank();
        let state = self.state.borrow();
        let due = self
            .poll_intervals
            .targets_due(rank, state.registry.age(now));
        state
            .registry
            .next_removal(now)
            .map_or(due, |removal| removal.min(due))
    }

    /// Takes the update about the targets that was not yet sent to peers.
    ///
    /// Peers count its age from its arrival, so an old update is discarded. It can be
    /// old because there was no peer at the time or because this process was suspended.
    pub(crate) fn take_peer_update(&self) -> Option<PeerUpdate> {
        let (sent, update) = self.state.borrow_mut().pending_update.take()?;
        let is_fresh = SystemBootClock.uptime().since(sent) < MAX_UPDATE_AGE;
        is_fresh.then_some(update)
    }

    /// Adopts a peer's notice that the targets are unchanged; returns `false` if this
    /// router has another listing.
    pub(crate) fn adopt_unchanged(&self, unchanged: Unchanged) -> bool {
        let Unchanged { revision, digest } = unchanged;
        self.adopt_change(digest, digest, revision, &ListingChange::default())
    }

    /// Adopts a change of the listing with the digest `base`; returns `false` if this
    /// router has neither that listing nor the one to which the change leads.
    pub(crate) fn adopt_change(
        &self,
        base: u64,
        digest: u64,
        revision: u64,
        change: &ListingChange,
    ) -> bool {
        let state = self.state.borrow();
        if revision < state.targets_revision {
            // It was overtaken by a later reading.
            return true;
        }
        let staged = state.staged_listing.as_ref();
        let targets = match (state.digest, staged) {
            (known, _) if known == digest => state.listing.clone(),
            (known, _) if known == base => change.apply(&state.listing),
            (_, Some((known, targets))) if *known == base => change.apply(targets),
            _ => return false,
        };
        drop(state);
        if listing_digest(&targets) != digest {
            return false;
        }
        self.adopt_targets(targets, revision, Duration::ZERO);
        true
    }

    /// Applies a change that others follow. Until the last of them the listing is not
    /// complete, and must not count as read.
    pub(crate) fn stage_change(&self, base: u64, digest: u64, change: &ListingChange) -> bool {
        let mut state = self.state.borrow_mut();
        let targets = match &state.staged_listing {
            _ if state.digest == base => change.apply(&state.listing),
            Some((known, targets)) if *known == base => change.apply(targets),
            _ => return state.digest == digest,
        };
        state.staged_listing = Some((digest, targets));
        true
    }

    /// Adopts a peer's listing that was read `age` ago, unless a later one is known.
    pub(crate) fn adopt_listing(&self, revision: u64, age: Duration, mut targets: Vec<Target>) {
        let state = self.state.borrow();
        let known_age = state.registry.age(SystemClock.now().mono);
        let is_later = revision >= state.targets_revision && known_age.is_none_or(|it| it > age);
        drop(state);
        if is_later {
            sort_listing(&mut targets);
            self.adopt_targets(targets, revision, age);
        }
    }

    /// Returns the revision, the age and the targets of the latest listing, if any.
    pub(crate) fn listing(&self) -> Option<(u64, Duration, Vec<Target>)> {
        let state = self.state.borrow();
        let age = state.registry.age(SystemClock.now().mono)?;
        Some((state.targets_revision, age, state.listing.clone()))
    }

    /// Whether there is a listing.
    pub(crate) fn has_listing(&self) -> bool {
        let state = self.state.borrow();
        state.registry.age(SystemClock.now().mono).is_some()
    }

    fn adopt_items(&self, items: &[Item], as_of: StoreRevision, sent: Uptime) {
        let as_of = as_of.0;
        let mut state = self.state.borrow_mut();
        let mut targets = Vec::with_capacity(items.len());
        for item in items {
            let StoreKey::Target(id) = record::parse_key(item.key.as_str()) else {
                continue;
            };
            let read = match &item.value {
                Some(value) => record::parse_target(&id, value).map_err(|error| error.to_string()),
                None => Err("no value".to_owned()),
            };
            match read {
                Ok(target) => targets.push(target),
                Err(why) if state.rejected_keys.insert(item.key.clone()) => {
                    let fields: [event::Field<'_>; 2] = [("key", &item.key), ("why", &why)];
                    event::log(Event::EntryRefused, &fields);
                }
                Err(_) => {}
            }
        }
        sort_listing(&mut targets);
        let digest = listing_digest(&targets);
        let is_first = state.listing.is_empty();
        let update = match is_first || state.digest == digest {
            true => PeerUpdate::Unchanged(Unchanged {
                revision: as_of,
                digest,
            }),
            false => PeerUpdate::Change {
                revision: as_of,
                old: state.listing.clone(),
                new: targets.clone(),
            },
        };
        state.pending_update = Some((sent, update));
        drop(state);
        self.adopt_targets(targets, as_of, Duration::ZERO);
        self.update_ready.notify_one();
    }

    /// Adopts a listing that was read `age` ago.
    fn adopt_targets(&self, targets: Vec<Target>, revision: u64, age: Duration) {
        self.observe_era(StoreRevision(revision).era());
        let now = SystemClock.now().mono;
        let now = now.checked_sub(age).unwrap_or(now);
        let mut state = self.state.borrow_mut();
        state.targets_revision = revision;
        if state.listing != targets {
            state.digest = listing_digest(&targets);
            state.listing.clone_from(&targets);
        }
        let change = state.registry.replace(targets, now);
        for (event, names) in [
            (Event::TargetAppeared, &change.added),
            (Event::TargetLeaving, &change.leaving),
            (Event::TargetGone, &change.removed),
        ] {
            for name in names {
                event::log(event, &[("target", name)]);
            }
        }
        let read_at = SystemBootClock.uptime().0.saturating_sub(age);
        self.shared.publish_targets_read(Uptime(read_at));
        self.shared.registry.store(Arc::new(state.registry.clone()));
    }
}
