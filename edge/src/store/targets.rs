//! The listing of the targets, from the store and from peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use entity::{Clock, SystemClock};
use node::event::{self, Event};
use platform::record::{self, StoreKey};
use platform::store::{Item, TARGETS_PREFIX};
use policy::direct::confirmation::Uptime;
use policy::direct::listing::message::{Adopted, ListingMessage};
use policy::direct::polling;
use policy::direct::store_revision::StoreRevision;
use tokio::time::sleep;

use super::{ReadLoop, StoreReader};
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

    /// Takes the messages about the targets that were not yet sent to peers.
    ///
    /// Peers count their age from their arrival, so an old update is discarded. It can be
    /// old because there was no peer at the time or because this process was suspended.
    pub(crate) fn take_peer_update(&self) -> Option<Vec<ListingMessage>> {
        let mut state = self.state.borrow_mut();
        let (sent, update) = state.pending_update.take()?;
        let is_fresh = SystemBootClock.uptime().since(sent) < MAX_UPDATE_AGE;
        is_fresh.then(|| state.listing.messages(update))
    }

    /// Applies a peer's message about the targets; returns what is to be sent.
    pub(crate) fn receive_listing(
        &self,
        message: ListingMessage,
        from: SocketAddr,
    ) -> Vec<(SocketAddr, ListingMessage)> {
        let now = SystemClock.now().mono;
        let mut state = self.state.borrow_mut();
        let received = state.listing.receive(message, from, now);
        drop(state);
        if received.is_malformed {
            event::log(Event::MessageRefused, &[("peer", &from)]);
        }
        if let Some(adopted) = received.adopted {
            self.adopt_targets(adopted);
        }
        received.sent
    }

    /// Returns the question for what was lost of a change. `relay` is the router to which
    /// this one reports.
    pub(crate) fn ask_for_rest(
        &self,
        relay: Option<SocketAddr>,
    ) -> Option<(SocketAddr, ListingMessage)> {
        let now = SystemClock.now().mono;
        self.state.borrow_mut().listing.ask_for_rest(relay, now)
    }

    /// Returns the question for the listing if this router has none yet.
    pub(crate) fn ask_for_first_listing(
        &self,
        from: SocketAddr,
        relay: Option<SocketAddr>,
    ) -> Option<(SocketAddr, ListingMessage)> {
        let now = SystemClock.now().mono;
        let mut state = self.state.borrow_mut();
        state.listing.ask_for_first(from, relay, now)
    }

    /// Whether there is a listing.
    fn has_listing(&self) -> bool {
        let state = self.state.borrow();
        state.listing.age(SystemClock.now().mono).is_some()
    }

    fn adopt_items(&self, items: &[Item], as_of: StoreRevision, sent: Uptime) {
        let rank = self.rank();
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
        let (adopted, update) = state.listing.read(targets, as_of.0, rank);
        state.pending_update = Some((sent, update));
        drop(state);
        self.adopt_targets(adopted);
        self.update_ready.notify_one();
    }

    fn adopt_targets(&self, adopted: Adopted) {
        self.observe_era(StoreRevision(adopted.revision).era());
        let now = SystemClock.now().mono;
        let mut state = self.state.borrow_mut();
        state.listing.adopt(&adopted, now);
        let Adopted { targets, age, .. } = adopted;
        let change = state
            .registry
            .replace(targets, now.checked_sub(age).unwrap_or(now));
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
