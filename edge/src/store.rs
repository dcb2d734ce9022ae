//! Reads the platform's store: configuration, drained data centres and targets.
//!
//! Two loops run on the control thread, one for what operators write and one for
//! the targets. Which calls a router makes itself and what it learns from peers is
//! decided by `policy::direct::polling`. What is known is published as a snapshot.
//!
//! Invariants:
//! - A configuration is replaced only by one with a higher version.
//! - An entry that cannot be read hides no other entry.
//! - After an outage a missing target is kept until entries had time to return.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use awc::http::StatusCode;
use entity::{Clock, Name, SystemClock};
use node::event::{self, Event};
use platform::record::{self, StoreKey};
use platform::store::{self, HISTORY_LOST, Item, OPERATORS_PREFIX, Page, TARGETS_PREFIX};
use policy::direct::confirmation::{Confirmation, Uptime};
use policy::direct::polling::{self, PollIntervals};
use policy::direct::target::{Target, TargetRegistry};
use rustc_hash::FxHashSet;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use wire::{Unchanged, listing_digest};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::{BootClock, SystemBootClock};
use crate::shared::Shared;

/// The time that an answer may take beyond the wait that was asked for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// The delay before a call is made again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The age of a reading at which peers are not told of it any more.
const NEWS_AGE: Duration = Duration::from_millis(400);

/// The greatest size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Why a call gave nothing.
#[derive(Clone, PartialEq, Eq, Debug, derive_more::Display)]
enum CallError {
    /// No answer in time, or a broken connection.
    #[display("unreachable")]
    Unreachable,
    /// The store turned the call away.
    #[display("status {_0}")]
    Status(u16),
    /// The answer cannot be read.
    #[display("{_0}")]
    Unreadable(String),
}

/// The reader of the store.
pub(crate) struct StoreReader {
    client: awc::Client,
    base: String,
    pace: PollIntervals,
    /// This router's address among its peers.
    address: SocketAddr,
    shared: Arc<Shared>,
    state: RefCell<State>,
    /// Wakes the loop of operators' values: a peer knows others.
    differs: Notify,
    /// Wakes the gossip: there is something that peers should know at once.
    news: Notify,
}

struct State {
    confirmation: Confirmation,
    roster: TargetRegistry,
    /// The store's revision of the targets in the roster.
    listed: u64,
    /// The last digest of a peer that differed from the own one.
    foreign: Option<u64>,
    /// The other routers that are live.
    live: Vec<SocketAddr>,
    /// The targets that were listed last, and their digest.
    listing: Vec<Target>,
    digest: u64,
    /// The digest of the last listing that was told to the peers.
    told: Option<u64>,
    /// What peers have not heard yet, and when the call for it was sent.
    outbox: Option<(Uptime, News)>,
    /// Whether each of the two loops got its last answer.
    reached: [bool; 2],
    /// Keys of entries that were refused, to log each once.
    refused: FxHashSet<Name>,
}

/// A reading of the targets, for the peers.
pub(crate) enum News {
    /// The store's revision and the targets.
    Listing(u64, Vec<Target>),
    /// They are as in the last listing that was told.
    Unchanged(Unchanged),
}

/// Which of the two loops reports.
#[derive(Clone, Copy)]
enum Part {
    Operators = 0,
    Targets = 1,
}

impl StoreReader {
    /// Creates a reader of the store at this address.
    pub(crate) fn new(
        store: SocketAddr,
        address: SocketAddr,
        revoke: Option<Duration>,
        pace: PollIntervals,
        shared: Arc<Shared>,
    ) -> Rc<Self> {
        let client = awc::Client::builder().disable_redirects().disable_timeout();
        Rc::new(Self {
            client: client.finish(),
            base: format!("http://{store}"),
            pace,
            address,
            shared,
            differs: Notify::new(),
            news: Notify::new(),
            state: RefCell::new(State {
                confirmation: Confirmation::new(revoke),
                roster: TargetRegistry::default(),
                listed: 0,
                foreign: None,
                live: Vec::new(),
                listing: Vec::new(),
                digest: 0,
                told: None,
                outbox: None,
                reached: [true; 2],
                refused: FxHashSet::default(),
            }),
        })
    }

    /// Reads what operators write, for as long as the process runs.
    pub(crate) async fn follow_operators(self: Rc<Self>) {
        let mut after = None;
        loop {
            after = match after {
                None => self.read_operators().await,
                Some(revision) if polling::watches_config(self.rank()) => {
                    self.watch_operators(revision).await
                }
                Some(revision) => match self.wait_for_difference().await {
                    true => self.read_operators().await,
                    false => Some(revision),
                },
            };
            if after.is_none() {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Reads the targets, for as long as the process runs.
    pub(crate) async fn follow_targets(self: Rc<Self>) {
        loop {
            let due = self.targets_due();
            if due > Duration::ZERO {
                sleep(due).await;
                continue;
            }
            let sent = SystemBootClock.uptime();
            match self.range(TARGETS_PREFIX).await {
                Ok((items, as_of)) => {
                    self.reached(Part::Targets);
                    self.adopt_items(&items, as_of, sent);
                }
                Err(error) => {
                    self.failed(Part::Targets, &error);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn targets_due(&self) -> Duration {
        let now = SystemClock.now().mono;
        let rank = self.rank();
        let state = self.state.borrow();
        let due = self.pace.targets_due(rank, state.roster.age(now));
        state
            .roster
            .next_removal(now)
            .map_or(due, |lapse| lapse.min(due))
    }

    /// Waits until what operators write should be read; returns `false` if peers
    /// have confirmed it meanwhile.
    async fn wait_for_difference(&self) -> bool {
        let age = self.confirmation().age(SystemBootClock.uptime());
        let due = self.pace.confirmation_due(age);
        if due.is_zero() {
            return true;
        }
        timeout(due, self.differs.notified()).await.is_ok()
    }

    /// This router's rank among those that are live.
    fn rank(&self) -> usize {
        polling::rank(self.address, self.state.borrow().live.iter().copied())
    }

    /// How often the store is called.
    pub(crate) fn pace(&self) -> PollIntervals {
        self.pace
    }

    /// Sets the other routers that are live.
    pub(crate) fn set_live(&self, live: Vec<SocketAddr>) {
        self.state.borrow_mut().live = live;
    }

    /// When what operators wrote was last known to be current.
    pub(crate) fn confirmation(&self) -> Confirmation {
        self.state.borrow().confirmation
    }

    /// The digest of what operators wrote, the same on all routers that know the same.
    pub(crate) fn digest(&self) -> u64 {
        let version = self
            .shared
            .config
            .load()
            .as_ref()
            .map_or(0, |config| config.version);
        let state = self.state.borrow();
        let mut drained: Vec<&str> = state.roster.drained.iter().map(Name::as_str).collect();
        drained.sort_unstable();
        xxh3_64(format!("{version} {}", drained.join(" ")).as_bytes())
    }

    /// A peer knew what operators wrote to be current at `at`.
    pub(crate) fn peer_confirmed(&self, digest: u64, at: Uptime) {
        if digest == self.digest() {
            self.confirm(|confirmation| confirmation.record_read(at));
            return;
        }
        // Which of two digests is the older one is not told by them, so each new
        // one is a reason to ask the store, once.
        let known = self.state.borrow_mut().foreign.replace(digest);
        if known != Some(digest) {
            self.differs.notify_one();
        }
    }

    /// Waits until there is something that peers should know at once.
    pub(crate) async fn news(&self) {
        self.news.notified().await;
    }

    /// Takes the reading of the targets that peers have not heard of yet.
    ///
    /// Peers count its age from when they hear of it, so an old one is kept back:
    /// there was no peer at the time, or this process was suspended since.
    pub(crate) fn take_listing(&self) -> Option<News> {
        let (sent, news) = self.state.borrow_mut().outbox.take()?;
        let is_fresh = SystemBootClock.uptime().since(sent) < NEWS_AGE;
        is_fresh.then_some(news)
    }

    /// Takes over that the targets were read again and are as before. A router that
    /// missed the listing has others; it reads for itself when they are too old.
    pub(crate) fn adopt_unchanged(&self, unchanged: Unchanged) {
        let Unchanged { revision, digest } = unchanged;
        let state = self.state.borrow();
        if digest != state.digest || revision < state.listed {
            return;
        }
        let targets = state.listing.clone();
        drop(state);
        self.adopt_targets(targets, revision);
    }

    /// Adopts a listing of a peer, unless a later one is known.
    pub(crate) fn adopt_listing(&self, revision: u64, targets: Vec<Target>) {
        if revision >= self.state.borrow().listed {
            self.adopt_targets(targets, revision);
        }
    }

    async fn read_operators(&self) -> Option<u64> {
        let sent = SystemBootClock.uptime();
        match self.range(OPERATORS_PREFIX).await {
            Ok((items, as_of)) => {
                self.reached(Part::Operators);
                let drained = items.iter().filter(|item| item.value.is_some());
                let drained =
                    drained.filter_map(|item| match record::parse_key(item.key.as_str()) {
                        StoreKey::Drain(centre) => Some(centre),
                        _ => None,
                    });
                self.adopt_drained(drained.collect());
                for item in &items {
                    self.adopt_config(item);
                }
                self.confirm(|confirmation| confirmation.record_read(sent));
                Some(as_of)
            }
            Err(error) => {
                self.failed(Part::Operators, &error);
                None
            }
        }
    }

    async fn watch_operators(&self, after: u64) -> Option<u64> {
        let sent = SystemBootClock.uptime();
        let wait = self.pace.watch_wait;
        let path = store::watch_path(OPERATORS_PREFIX, after, wait);
        let answer = self.get(&path, wait).await;
        let changes = answer.and_then(|body| {
            store::parse_changes(&body).map_err(|error| CallError::Unreadable(error.to_string()))
        });
        let changes = match changes {
            Ok(changes) => changes,
            Err(CallError::Status(HISTORY_LOST)) => {
                event::log(Event::HistoryLost, &[("after", &after)]);
                return self.read_operators().await;
            }
            Err(error) => {
                self.failed(Part::Operators, &error);
                return None;
            }
        };
        self.reached(Part::Operators);
        for item in &changes.items {
            self.adopt_config(item);
            self.adopt_drain(item);
        }
        let now = SystemBootClock.uptime();
        match changes.items.is_empty() {
            true => self.confirm(|it| it.record_unchanged(sent, wait, now)),
            false => self.confirm(|it| it.record_read(sent)),
        }
        // Peers count the age of their confirmation from what they hear.
        self.news.notify_one();
        Some(changes.as_of.max(after))
    }

    fn confirm(&self, confirm: impl FnOnce(&mut Confirmation)) {
        let mut state = self.state.borrow_mut();
        confirm(&mut state.confirmation);
        self.shared.publish_confirmation(&state.confirmation);
    }

    fn adopt_config(&self, item: &Item) {
        let (StoreKey::Config, Some(value)) = (record::parse_key(item.key.as_str()), &item.value)
        else {
            return;
        };
        let current = self.shared.config.load();
        match record::parse_config(value) {
            Ok(config)
                if current
                    .as_ref()
                    .is_some_and(|old| old.version >= config.version) => {}
            Ok(config) => {
                let (version, routes) = (config.version, config.route_count());
                let fields: [event::Field<'_>; 3] = [
                    ("version", &version),
                    ("revision", &item.revision),
                    ("routes", &routes),
                ];
                event::log(Event::ConfigAdopted, &fields);
                self.shared.config.store(Some(Arc::new(config)));
                self.news.notify_one();
            }
            Err(error) => {
                let fields: [event::Field<'_>; 2] = [("revision", &item.revision), ("why", &error)];
                event::log(Event::ConfigRefused, &fields);
            }
        }
    }

    fn adopt_drain(&self, item: &Item) {
        let StoreKey::Drain(centre) = record::parse_key(item.key.as_str()) else {
            return;
        };
        let mut drained = self.state.borrow().roster.drained.clone();
        match item.value {
            Some(_) => drained.insert(centre),
            None => drained.remove(&centre),
        };
        self.adopt_drained(drained);
    }

    fn adopt_drained(&self, drained: FxHashSet<Name>) {
        let mut state = self.state.borrow_mut();
        if state.roster.drained == drained {
            return;
        }
        for (centre, is_drained) in difference(&state.roster.drained, &drained) {
            let fields: [event::Field<'_>; 2] = [("centre", centre), ("drained", &is_drained)];
            event::log(Event::CentreDrained, &fields);
        }
        state.roster.drained = drained;
        self.news.notify_one();
        self.shared.registry.store(Arc::new(state.roster.clone()));
    }

    fn adopt_items(&self, items: &[Item], as_of: u64, sent: Uptime) {
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
                Err(why) if state.refused.insert(item.key.clone()) => {
                    let fields: [event::Field<'_>; 2] = [("key", &item.key), ("why", &why)];
                    event::log(Event::EntryRefused, &fields);
                }
                Err(_) => {}
            }
        }
        let digest = listing_digest(&targets);
        let is_told = state.told.replace(digest) == Some(digest);
        let news = match is_told {
            true => News::Unchanged(Unchanged {
                revision: as_of,
                digest,
            }),
            false => News::Listing(as_of, targets.clone()),
        };
        state.outbox = Some((sent, news));
        drop(state);
        self.adopt_targets(targets, as_of);
        self.news.notify_one();
    }

    fn adopt_targets(&self, targets: Vec<Target>, revision: u64) {
        let now = SystemClock.now().mono;
        let mut state = self.state.borrow_mut();
        state.listed = revision;
        if state.listing != targets {
            state.digest = listing_digest(&targets);
            state.listing.clone_from(&targets);
        }
        let change = state.roster.replace(targets, now);
        for (event, names) in [
            (Event::TargetAppeared, &change.added),
            (Event::TargetLeaving, &change.leaving),
            (Event::TargetGone, &change.removed),
        ] {
            for name in names {
                event::log(event, &[("target", name)]);
            }
        }
        self.shared.registry.store(Arc::new(state.roster.clone()));
    }

    /// Reads all pages of a prefix; the revision is that of the first page.
    async fn range(&self, prefix: &str) -> Result<(Vec<Item>, u64), CallError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first = None;
        loop {
            let after = items.last().map(|item| &item.key);
            let body = self
                .get(&store::range_path(prefix, after), Duration::ZERO)
                .await?;
            let page = store::parse_page(&body);
            let Page {
                items: more_items,
                more,
                as_of,
            } = page.map_err(|error| CallError::Unreadable(error.to_string()))?;
            let as_of = *first.get_or_insert(as_of);
            let is_last = !more || more_items.is_empty();
            items.extend(more_items);
            if is_last {
                return Ok((items, as_of));
            }
        }
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<Vec<u8>, CallError> {
        let call = async {
            let url = format!("{}{path}", self.base);
            let sent = self.client.get(url).send().await;
            let mut response = sent.map_err(|_| CallError::Unreachable)?;
            if response.status() != StatusCode::OK {
                return Err(CallError::Status(response.status().as_u16()));
            }
            let body = response.body().limit(MAX_ANSWER_BYTES).await;
            body.map(|body| body.to_vec())
                .map_err(|_| CallError::Unreachable)
        };
        let answer = timeout(wait + ANSWER_TIMEOUT, call).await;
        answer.unwrap_or(Err(CallError::Unreachable))
    }

    fn reached(&self, part: Part) {
        let mut state = self.state.borrow_mut();
        if !std::mem::replace(&mut state.reached[part as usize], true) {
            event::log(Event::ServiceReachable, &[("part", &part.name())]);
        }
    }

    fn failed(&self, part: Part, error: &CallError) {
        let mut state = self.state.borrow_mut();
        if std::mem::replace(&mut state.reached[part as usize], false) {
            let age = state.confirmation.age(SystemBootClock.uptime());
            let age = age.map_or_else(
                || "never".to_owned(),
                |age| format!("{}ms", age.as_millis()),
            );
            let fields: [event::Field<'_>; 3] =
                [("part", &part.name()), ("why", error), ("confirmed", &age)];
            event::log(Event::ServiceUnreachable, &fields);
        }
    }
}

impl Part {
    fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Targets => "targets",
        }
    }
}

/// The members of one set only, with whether they are in `new`.
fn difference<'a>(
    old: &'a FxHashSet<Name>,
    new: &'a FxHashSet<Name>,
) -> impl Iterator<Item = (&'a Name, bool)> {
    let added = new.difference(old).map(|name| (name, true));
    let removed = old.difference(new).map(|name| (name, false));
    added.chain(removed)
}
