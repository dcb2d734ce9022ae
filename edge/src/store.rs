//! Reads the platform's store: configuration, drained data centres and targets.
//!
//! Two loops run on the control thread, one for the operators' entries and one for
//! the targets. `policy::direct::polling` decides which calls a router makes itself
//! and what it learns from peers. The result is published as a snapshot.
//!
//! Invariants:
//! - A configuration is replaced only by one with a higher version.
//! - An invalid entry does not affect other entries.
//! - Entries of a peer are adopted under the same rules as those of the store.
//! - After an outage a missing target is kept until its entry had time to reappear.

mod call;
mod peers;
mod targets;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use entity::{Clock, Name, SystemClock};
use node::event::{self, Event};
use platform::record::{self, StoreKey};
use platform::store::{self, HISTORY_LOST, Item, OPERATORS_PREFIX};
use policy::direct::confirmation::{Confirmation, Uptime};
use policy::direct::listing::exchange::ListingExchange;
use policy::direct::listing::message::Update;
use policy::direct::operator_entries::PeerEntries;
use policy::direct::polling::{self, PollIntervals};
use policy::direct::store_revision::{StoreEra, StoreRevision};
use policy::direct::target::TargetRegistry;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashSet;
use tokio::sync::Notify;
use tokio::time::timeout;
use wire::listing_digest;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::{BootClock, SystemBootClock};
use crate::metrics::EntriesMetrics;
use crate::shared::Shared;
use call::CallError;

/// Reads the store and publishes configuration and targets.
pub(crate) struct StoreReader {
    client: awc::Client,
    base: String,
    poll_intervals: PollIntervals,
    /// This router's address among its peers.
    address: SocketAddr,
    shared: Arc<Shared>,
    state: RefCell<State>,
    rng: RefCell<ChaCha8Rng>,
    metrics: EntriesMetrics,
    /// Wakes the operators' loop to read the store.
    read_due: Notify,
    /// Wakes the task that asks peers for the operators' entries.
    ask_due: Notify,
    /// Wakes the gossip task when there is an update to send to peers at once.
    update_ready: Notify,
}

struct State {
    confirmation: Confirmation,
    registry: TargetRegistry,
    era: StoreEra,
    /// What is known of operators' entries of peers.
    peer_entries: PeerEntries,
    /// The configuration as it is in the store, and its revision.
    config_value: Option<(Arc<[u8]>, u64)>,
    /// A revision of the store at which the known operators' entries were complete.
    entries_as_of: StoreRevision,
    /// The other routers on which this one relies to read the store.
    readers: Vec<SocketAddr>,
    /// The other reachable routers.
    reachable_peers: Vec<SocketAddr>,
    /// The number of failed calls in a row, of each loop.
    failures: [u32; 2],
    /// The latest target listing, and what is known of those of others.
    listing: ListingExchange,
    /// The update not yet sent to peers, and when its call to the store was made.
    pending_update: Option<(Uptime, Update)>,
    /// Whether the last call of each loop succeeded.
    reachable: [bool; 2],
    /// The keys of rejected entries, to log each key once.
    rejected_keys: FxHashSet<Name>,
}

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, derive_more::Display)]
enum ConfigSource {
    #[display("store")]
    Store,
    #[display("{_0}")]
    Peer(SocketAddr),
}

/// The two loops that read the store.
#[derive(Clone, Copy)]
enum ReadLoop {
    Operators = 0,
    Targets = 1,
}

impl StoreReader {
    /// Creates a reader of the store at this address.
    pub(crate) fn new(
        store: SocketAddr,
        address: SocketAddr,
        revoke: Option<Duration>,
        poll_intervals: PollIntervals,
        shared: Arc<Shared>,
        metrics: EntriesMetrics,
        seed: u64,
    ) -> Rc<Self> {
        let client = awc::Client::builder().disable_redirects().disable_timeout();
        Rc::new(Self {
            client: client.finish(),
            base: format!("http://{store}"),
            poll_intervals,
            address,
            shared,
            metrics,
            read_due: Notify::new(),
            ask_due: Notify::new(),
            update_ready: Notify::new(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            state: RefCell::new(State {
                confirmation: Confirmation::new(revoke),
                registry: TargetRegistry::default(),
                era: StoreEra::default(),
                peer_entries: PeerEntries::new(),
                config_value: None,
                entries_as_of: StoreRevision::default(),
                readers: Vec::new(),
                reachable_peers: Vec::new(),
                failures: [0; 2],
                listing: ListingExchange::new(listing_digest, SystemClock.now().mono),
                pending_update: None,
                reachable: [true; 2],
                rejected_keys: FxHashSet::default(),
            }),
        })
    }

    /// Reads the operators' entries for as long as the process runs.
    pub(crate) async fn follow_operators(self: Rc<Self>) {
        let mut after = None;
        loop {
            after = match after {
                None if self.is_confirmed_by_peers() => match self.wait_for_changes().await {
                    true => self.read_operators().await,
                    false => None,
                },
                None => self.read_operators().await,
                Some(_) if self.is_rewritten() => self.read_operators().await,
                Some(revision) if self.is_reader() => self.watch_operators(revision).await,
                Some(revision) => match self.wait_for_changes().await {
                    true => self.read_operators().await,
                    false => Some(revision),
                },
            };
        }
    }

    /// Whether the operators had time to write again what the store had lost, and this
    /// router has not read it since.
    fn is_rewritten(&self) -> bool {
        let rewritten = self.state.borrow().era.rewritten_in(SystemClock.now().mono);
        rewritten.is_some_and(|rest| rest.is_zero())
    }

    /// Whether the configuration is known and peers confirm it, so that this router need
    /// not read it.
    fn is_confirmed_by_peers(&self) -> bool {
        let age = self.confirmation().age(SystemBootClock.uptime());
        let due = self.poll_intervals.confirmation_due(self.rank(), age);
        !self.is_reader() && !due.is_zero() && self.shared.config.load().is_some()
    }

    /// Waits until the operators' entries should be read; returns `false` if peers may
    /// have confirmed them in the meantime.
    async fn wait_for_changes(&self) -> bool {
        let age = self.confirmation().age(SystemBootClock.uptime());
        let due = self.poll_intervals.confirmation_due(self.rank(), age);
        let rewritten = self.state.borrow().era.rewritten_in(SystemClock.now().mono);
        let due = rewritten.map_or(due, |rewritten| rewritten.min(due));
        if due.is_zero() {
            return true;
        }
        timeout(due, self.read_due.notified()).await.is_ok()
    }

    /// Returns this router's rank among those on which others rely to read the store.
    fn rank(&self) -> usize {
        polling::rank(self.address, self.state.borrow().readers.iter().copied())
    }

    /// Whether this router reads the store for the others.
    pub(crate) fn is_reader(&self) -> bool {
        polling::watches_config(self.rank())
    }

    /// Returns the intervals between calls to the store.
    pub(crate) fn poll_intervals(&self) -> PollIntervals {
        self.poll_intervals
    }

    /// Sets the other routers on which this one relies to read the store, and all others
    /// that are reachable.
    pub(crate) fn set_peers(&self, readers: Vec<SocketAddr>, reachable: Vec<SocketAddr>) {
        let mut state = self.state.borrow_mut();
        state.readers = readers;
        state.reachable_peers = reachable;
    }

    /// Returns when the operators' entries were last known to be current.
    pub(crate) fn confirmation(&self) -> Confirmation {
        self.state.borrow().confirmation
    }

    /// The version of the configuration; 0 if there is none.
    fn version(&self) -> u64 {
        let config = self.shared.config.load();
        config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the digest of the operators' entries; equal on routers with equal entries.
    pub(crate) fn digest(&self) -> u64 {
        let version = self.version();
        let state = self.state.borrow();
        let mut drained: Vec<&str> = state.registry.drained.iter().map(Name::as_str).collect();
        drained.sort_unstable();
        // Peers that read different copies of the store do not confirm each other.
        let era = match state.era.get() {
            0 => String::new(),
            era => format!(" era {era}"),
        };
        xxh3_64(format!("{version} {}{era}", drained.join(" ")).as_bytes())
    }

    /// Waits until there is an update to send to peers at once.
    pub(crate) async fn wait_for_update(&self) {
        self.update_ready.notified().await;
    }

    async fn read_operators(&self) -> Option<StoreRevision> {
        let sent = SystemBootClock.uptime();
        match self.range(OPERATORS_PREFIX).await {
            Ok((items, as_of)) => {
                self.record_success(ReadLoop::Operators);
                let drained = items.iter().filter(|item| item.value.is_some());
                let drained =
                    drained.filter_map(|item| match record::parse_key(item.key.as_str()) {
                        StoreKey::Drain(centre) => Some(centre),
                        _ => None,
                    });
                self.adopt_listed_drained(drained.collect());
                for item in &items {
                    self.adopt_item(item);
                }
                self.record_entries_as_of(as_of);
                self.confirm(|confirmation| confirmation.record_read(sent));
                self.record_read(true);
                Some(as_of)
            }
            Err(error) => {
                self.record_failure(ReadLoop::Operators, &error);
                self.record_read(false);
                self.wait_to_retry(ReadLoop::Operators).await;
                None
            }
        }
    }

    /// Records that a call for the operators' entries ended.
    fn record_read(&self, is_success: bool) {
        self.state.borrow_mut().peer_entries.record_read(is_success);
        self.ask_due.notify_one();
    }

    fn record_entries_as_of(&self, as_of: StoreRevision) {
        let mut state = self.state.borrow_mut();
        state.entries_as_of = state.entries_as_of.max(as_of);
    }

    async fn watch_operators(&self, after: StoreRevision) -> Option<StoreRevision> {
        let sent = SystemBootClock.uptime();
        let wait = self.poll_intervals.watch_wait;
        let path = store::watch_path(OPERATORS_PREFIX, after.number(), wait);
        let response = self.get(&path, wait).await;
        let changes = response.and_then(|answer| {
            let changes = store::parse_changes(&answer.body);
            let changes = changes.map_err(|error| CallError::Unreadable(error.to_string()))?;
            Ok((changes, answer.era))
        });
        let changes = match changes {
            // The revision of the watch means nothing in another era.
            Ok((_, era)) if era != after.era() => return self.read_operators().await,
            Ok((changes, _)) => changes,
            Err(CallError::Status(HISTORY_LOST)) => {
                event::log(Event::HistoryLost, &[("after", &after)]);
                return self.read_operators().await;
            }
            Err(error) => {
                self.record_failure(ReadLoop::Operators, &error);
                self.record_read(false);
                self.wait_to_retry(ReadLoop::Operators).await;
                return None;
            }
        };
        self.record_success(ReadLoop::Operators);
        let as_of = StoreRevision::new(after.era(), changes.as_of).max(after);
        for item in &changes.items {
            self.adopt_item(item);
            self.adopt_drain(item);
        }
        let now = SystemBootClock.uptime();
        match changes.items.is_empty() {
            true => self.confirm(|it| it.record_unchanged(sent, wait, now)),
            false => {
                self.record_entries_as_of(as_of);
                self.confirm(|it| it.record_read(sent));
            }
        }
        self.record_read(true);
        // Peers derive the age of their confirmation from this router's datagrams.
        self.update_ready.notify_one();
        Some(as_of)
    }

    fn confirm(&self, confirm: impl FnOnce(&mut Confirmation)) {
        let mut state = self.state.borrow_mut();
        confirm(&mut state.confirmation);
        self.shared.publish_confirmation(&state.confirmation);
    }

    /// Adopts the configuration if the item is that.
    fn adopt_item(&self, item: &Item) {
        if let (StoreKey::Config, Some(value)) = (record::parse_key(item.key.as_str()), &item.value)
        {
            self.adopt_config((value, item.revision), ConfigSource::Store);
        }
    }

    fn adopt_config(&self, (value, revision): (&[u8], u64), source: ConfigSource) {
        let current = self.shared.config.load();
        match record::parse_config(value) {
            Ok(config)
                if current
                    .as_ref()
                    .is_some_and(|old| old.version >= config.version) => {}
            Ok(config) => {
                let (version, routes) = (config.version, config.route_count());
                let fields: [event::Field<'_>; 4] = [
                    ("version", &version),
                    ("revision", &revision),
                    ("routes", &routes),
                    ("source", &source),
                ];
                event::log(Event::ConfigAdopted, &fields);
                self.state.borrow_mut().config_value = Some((Arc::from(value), revision));
                self.shared.config.store(Some(Arc::new(config)));
                self.update_ready.notify_one();
            }
            Err(error) => {
                let fields: [event::Field<'_>; 3] = [
                    ("revision", &revision),
                    ("source", &source),
                    ("why", &error),
                ];
                event::log(Event::ConfigRefused, &fields);
            }
        }
    }

    fn adopt_drain(&self, item: &Item) {
        let StoreKey::Drain(centre) = record::parse_key(item.key.as_str()) else {
            return;
        };
        let mut drained = self.state.borrow().registry.drained.clone();
        match item.value {
            Some(_) => drained.insert(centre),
            None => drained.remove(&centre),
        };
        self.adopt_drained(drained);
    }

    /// Adopts a complete list of drained data centres. While the operators write again
    /// what a store lost that came back from an older copy, known ones stay drained.
    fn adopt_listed_drained(&self, mut drained: FxHashSet<Name>) {
        let now = SystemClock.now().mono;
        let mut state = self.state.borrow_mut();
        match state.era.is_being_rewritten(now) {
            true => drained.extend(state.registry.drained.iter().cloned()),
            false => state.era.end_rewrite(),
        }
        drop(state);
        self.adopt_drained(drained);
    }

    fn adopt_drained(&self, drained: FxHashSet<Name>) {
        let mut state = self.state.borrow_mut();
        if state.registry.drained == drained {
            return;
        }
        for (centre, is_drained) in changed_names(&state.registry.drained, &drained) {
            let fields: [event::Field<'_>; 2] = [("centre", centre), ("drained", &is_drained)];
            event::log(Event::CentreDrained, &fields);
        }
        state.registry.drained = drained;
        self.update_ready.notify_one();
        self.shared.registry.store(Arc::new(state.registry.clone()));
    }
}

impl ReadLoop {
    fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Targets => "targets",
        }
    }
}

/// Returns the names that are in only one of the sets, and whether they are in `new`.
fn changed_names<'a>(
    old: &'a FxHashSet<Name>,
    new: &'a FxHashSet<Name>,
) -> impl Iterator<Item = (&'a Name, bool)> {
    let added = new.difference(old).map(|name| (name, true));
    let removed = old.difference(new).map(|name| (name, false));
    added.chain(removed)
}
