//! The state of the traffic thread.
//!
//! Invariant: every attempt that was begun on the board is ended when its
//! [`Attempt`] is dropped, however its request ends.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use actix_http::ServiceConfig;
use entity::{Fingerprint, Name};
use node::event::{self, Event};
use node::settings::EdgeSettings;
use policy::direct::budget::{RetryBudget, RetryLimit};
use policy::direct::cold::ColdLimit;
use policy::direct::config::Config;
use policy::direct::crash::{CrashHistory, CrashRecord};
use policy::direct::fair_share::FairShares;
use policy::direct::overload::OverloadState;
use policy::direct::placement::{CopySource, PlacementSettings};
use policy::direct::target::TargetRegistry;
use policy::direct::target_table::{AttemptCost, Prompt, TargetId, TargetTable};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashSet;
use tokio::sync::Notify;

use crate::latest::LatestSnapshot;
use crate::metrics::TrafficMetrics;
use crate::shared::{LocalReport, PeerState, Shared};
use crate::target::ConnectionPool;

/// How often the traffic thread publishes what it has in hand, and sweeps.
pub(crate) const UPKEEP_PERIOD: Duration = Duration::from_millis(100);

/// The age up to which the peers' reports are used as they were last summed up.
const PEERS_AGE: Duration = Duration::from_millis(25);

/// The change of the engines' rate that is logged, as a natural logarithm: a fifth.
const RATE_CHANGE: f64 = 0.2;

/// The time after a broken attempt in which its target's death is laid to it.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

/// The greatest number of teams in a report.
const REPORTED_TEAMS: usize = 48;

/// An attempt that broke on a target which may have died of it.
struct Suspect {
    spot: TargetId,
    request: Fingerprint,
    at: Instant,
}

/// Descriptors that are left for files, the store, peers and targets.
const RESERVED_DESCRIPTORS: usize = 1_000;

/// How many callers' connections there are and may be.
pub(crate) struct Connections {
    open: Cell<usize>,
    most: usize,
}

impl Connections {
    fn new(descriptors: usize) -> Self {
        Self {
            open: Cell::new(0),
            most: descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(1),
        }
    }

    /// Takes a connection in, if there is room.
    pub(crate) fn enter(&self) -> bool {
        let has_room = self.open.get() < self.most;
        if has_room {
            self.open.set(self.open.get() + 1);
        }
        has_room
    }

    /// A connection has ended.
    pub(crate) fn leave(&self) {
        self.open.set(self.open.get() - 1);
    }

    /// Whether few more connections can be taken.
    fn are_nearly_all(&self) -> bool {
        self.open.get() > self.most / 4 * 3
    }

    /// Whether connections should not be kept after their answer.
    ///
    /// Callers that were refused come back on new connections and leave the old
    /// ones idle.
    pub(crate) fn are_many(&self) -> bool {
        self.open.get() > self.most / 3
    }
}

/// The state of the traffic thread.
pub(crate) struct Context {
    pub(crate) shared: Arc<Shared>,
    pub(crate) centre: Name,
    pub(crate) place: Cell<PlacementSettings>,
    /// The rate at which engines read by the settings, in tokens per millisecond.
    stated_rate: f64,
    /// The rate that was logged last.
    logged_rate: Cell<f64>,
    pub(crate) board: RefCell<TargetTable>,
    pub(crate) shares: RefCell<FairShares>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) crashes: RefCell<CrashHistory>,
    pub(crate) random: RefCell<ChaCha8Rng>,
    pub(crate) connection_pool: ConnectionPool,
    pub(crate) http: ServiceConfig,
    pub(crate) metrics: TrafficMetrics,
    /// The bounds on callers' connections.
    pub(crate) connections: Connections,
    /// Tells idle connections that they are closed.
    pub(crate) closing: Notify,
    /// Tells that some target is quiet.
    quiet: Notify,
    suspects: RefCell<Vec<Suspect>>,
    /// The targets that are avoided, as the log has it.
    avoided: RefCell<FxHashSet<TargetId>>,
    strain: RefCell<OverloadState>,
    /// The roster on the board.
    roster: LatestSnapshot<TargetRegistry>,
    /// What the peers said, as it was last taken over.
    peers: LatestSnapshot<PeerState>,
    /// When their reports were last summed up.
    summed: Cell<Option<Instant>>,
}

impl Context {
    pub(crate) fn new(
        settings: &EdgeSettings,
        shared: Arc<Shared>,
        metrics: TrafficMetrics,
        seed: u64,
    ) -> Rc<Self> {
        let http = ServiceConfig::default();
        let stated_rate = settings.engine.read_rate.max(1.0);
        let bound = RetryLimit {
            ratio: settings.bounds.retry_ratio,
            slack: settings.bounds.retry_slack as f64,
            window: settings.bounds.retry_window,
        };
        Rc::new(Self {
            shared,
            centre: Name::new(&settings.data_centre),
            place: Cell::new(PlacementSettings {
                prefill_rate: stated_rate,
                max_wait_fraction: settings.engine.wait_share,
                prefill_cost: settings.engine.reread,
                objective_exponent: settings.engine.yielding,
                cold_limit: ColdLimit {
                    rate_multiple: settings.bounds.cold_over,
                    extra_requests: settings.bounds.cold_slack,
                },
                ..PlacementSettings::default()
            }),
            stated_rate,
            logged_rate: Cell::new(stated_rate),
            board: RefCell::default(),
            shares: RefCell::new(FairShares::new(0.0)),
            budget: RefCell::new(RetryBudget::new(bound)),
            crashes: RefCell::default(),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            connection_pool: ConnectionPool::new(http.clone()),
            http,
            metrics,
            connections: Connections::new(settings.descriptors),
            closing: Notify::new(),
            quiet: Notify::new(),
            suspects: RefCell::default(),
            avoided: RefCell::default(),
            strain: RefCell::default(),
            roster: LatestSnapshot::default(),
            peers: LatestSnapshot::default(),
            summed: Cell::new(None),
        })
    }

    /// Whether connections are closed after their answer.
    pub(crate) fn closes(&self) -> bool {
        self.shared.is_stopping()
            || self.connections.are_many()
            || self.strain.borrow().closes_connections(Instant::now())
    }

    /// Notes how late a period of the traffic thread began.
    ///
    /// A router that falls behind, or runs out of connections, gets no new ones
    /// for a while: the balancer does not know which VMs are weak.
    pub(crate) fn note_lag(&self, lag: Duration, now: Instant) {
        let is_crowded = self.connections.are_nearly_all();
        let is_strained = self.strain.borrow_mut().record_lag(lag, is_crowded, now);
        let was_strained = self.shared.overloaded.swap(is_strained, Ordering::Relaxed);
        if is_strained == was_strained {
            return;
        }
        let open = self.connections.open.get();
        let lag = lag.as_millis();
        let fields: [event::Field<'_>; 3] = [
            ("reason", &"strained"),
            ("lag_ms", &lag),
            ("connections", &open),
        ];
        let event = if is_strained {
            Event::ProcessUnready
        } else {
            Event::ProcessReady
        };
        event::log(event, &fields);
    }

    /// Whether new connections, and requests on old ones, are turned away.
    pub(crate) fn sheds(&self, now: Instant) -> bool {
        self.strain.borrow().rejects_connections(now)
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.shared.config.load_full()
    }

    /// Takes over what the control thread has published.
    pub(crate) fn refresh(&self, now: Instant) {
        if let Some(roster) = self.roster.take_if_new(&self.shared.registry) {
            self.board.borrow_mut().apply_registry(&roster, now);
            if let Some(config) = self.config() {
                self.shares.borrow_mut().set_pool(config.pool_rate);
            }
        }
        let passed = self
            .summed
            .get()
            .map(|at| now.saturating_duration_since(at));
        if passed.is_some_and(|passed| passed < PEERS_AGE) {
            return;
        }
        let news = self.peers.take_if_new(&self.shared.peers);
        // Without news the reports only grow older.
        if news.is_none() && passed.is_some_and(|passed| passed < PEERS_AGE * 4) {
            return;
        }
        self.summed.set(Some(now));
        let mut board = self.board.borrow_mut();
        board.set_peer_loads(self.shared.peers.load().reports.iter(), now);
        if let Some(peers) = news {
            board.set_problem_reports(&peers.problem_counts);
            self.shares.borrow_mut().set_peers(peers.teams.clone());
        }
    }

    /// Publishes what is in hand and takes in what the peers noted.
    pub(crate) fn upkeep(&self, now: Instant) {
        self.refresh(now);
        self.learn_rate();
        let local_report = LocalReport {
            loads: self
                .board
                .borrow()
                .load_reports(self.place.get().prefill_rate, now),
            teams: self.shares.borrow_mut().report(REPORTED_TEAMS, now),
            problem_targets: self
                .board
                .borrow()
                .problem_targets(self.place.get().prefill_rate, now),
        };
        self.shared.local_report.store(Arc::new(local_report));
        self.note_trouble(now);
        self.note_quiet(now);
        let mut crashes = self.crashes.borrow_mut();
        for note in self.shared.take_peer_crashes() {
            crashes.add(note, now);
        }
        let is_recent = |at| now.saturating_duration_since(at) < CRASH_WINDOW;
        self.suspects.borrow_mut().retain(|it| is_recent(it.at));
        self.connection_pool.close_expired(now);
        self.metrics
            .record_connections(self.connection_pool.opened_count());
    }

    /// Takes over how fast engines are seen to read.
    fn learn_rate(&self) {
        let mut board = self.board.borrow_mut();
        let rate = board.observed_rate().tokens_per_milli(self.stated_rate);
        board.set_prefill_rate(rate);
        let mut place = self.place.get();
        place.prefill_rate = rate;
        self.place.set(place);
        let logged = self.logged_rate.get();
        if (rate / logged).ln().abs() > RATE_CHANGE {
            self.logged_rate.set(rate);
            let (rate, stated) = (format!("{rate:.1}"), self.stated_rate);
            event::log(Event::SpeedLearned, &[("rate", &rate), ("stated", &stated)]);
        }
    }

    /// Waits until a target is quiet.
    pub(crate) async fn silence(&self, spot: TargetId) {
        loop {
            self.quiet.notified().await;
            let now = Instant::now();
            if self
                .board
                .borrow()
                .target(spot)
                .is_stalled(self.place.get().prefill_rate, now)
            {
                return;
            }
        }
    }

    /// Wakes those that wait for the silence of a target, if any is quiet.
    fn note_quiet(&self, now: Instant) {
        let board = self.board.borrow();
        let mut busy = board
            .targets()
            .filter(|(_, place)| place.own_load().attempts > 0);
        if busy.any(|(_, place)| place.is_stalled(self.place.get().prefill_rate, now)) {
            self.quiet.notify_waiters();
        }
    }

    /// Logs which targets are avoided from now on, and which no longer are.
    fn note_trouble(&self, now: Instant) {
        let board = self.board.borrow();
        let mut avoided = self.avoided.borrow_mut();
        let open = board.targets().filter(|(_, place)| place.accepts_requests);
        for (spot, place) in open {
            let trouble = place.avoid_reason(self.place.get().prefill_rate, now);
            let known = avoided.contains(&spot);
            let Some(event) = avoidance(known, trouble.is_some()) else {
                continue;
            };
            match trouble {
                Some(_) => avoided.insert(spot),
                None => avoided.remove(&spot),
            };
            let why = trouble.map_or_else(|| "-".to_owned(), |trouble| trouble.to_string());
            let failures = format!("{:.2}", place.outlier_detector.failure_fraction());
            let in_hand = place.own_load().attempts;
            let fields: [event::Field<'_>; 4] = [
                ("target", &place.name),
                ("why", &why),
                ("failures", &failures),
                ("own_in_hand", &in_hand),
            ];
            event::log(event, &fields);
        }
    }

    /// An attempt broke while its target worked on it.
    pub(crate) fn broke(&self, spot: TargetId, request: Fingerprint, now: Instant) {
        self.suspects.borrow_mut().push(Suspect {
            spot,
            request,
            at: now,
        });
    }

    /// A target cannot be reached: attempts that broke on it lately may be the cause.
    pub(crate) fn unreachable(&self, spot: TargetId, now: Instant) {
        let mut board = self.board.borrow_mut();
        board.outlier_detector(spot).record_connect_failure(now);
        let target = board.target(spot).tag;
        let mut suspects = self.suspects.borrow_mut();
        let is_recent = |at| now.saturating_duration_since(at) < CRASH_WINDOW;
        let blamed = suspects.extract_if(.., |it| it.spot == spot && is_recent(it.at));
        let notes: Vec<CrashRecord> = blamed
            .map(|it| CrashRecord {
                request: it.request,
                target,
            })
            .collect();
        let mut crashes = self.crashes.borrow_mut();
        let new = notes.into_iter().filter(|&note| crashes.add(note, now));
        self.shared.add_local_crashes(new.collect::<Vec<_>>());
    }

    /// What an attempt showed of its target.
    pub(crate) fn showed(&self, spot: TargetId, good: bool, now: Instant) {
        let mut board = self.board.borrow_mut();
        if good {
            board.outlier_detector(spot).record_success(now);
            return;
        }
        board.outlier_detector(spot).record_failure(now);
    }

    /// The state of the traffic thread for operators.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let now = Instant::now();
        let board = self.board.borrow();
        let targets = board
            .targets()
            .filter(|(_, place)| place.accepts_requests || place.own_load().attempts > 0);
        let targets = targets.map(|(_, place)| {
            serde_json::json!({
                "target": place.name.as_str(),
                "service": place.service.as_str(),
                "centre": place.centre.as_str(),
                "open": place.accepts_requests,
                "trouble": place.avoid_reason(self.place.get().prefill_rate, now).map(|it| it.to_string()),
                "cold": place.is_cold(now),
                "own": { "count": place.own_load().attempts, "waiting": place.own_load().waiting_tokens },
                "all": { "count": place.load().attempts, "waiting": place.load().waiting_tokens },
            })
        });
        serde_json::json!({
            "config": self.config().map(|config| config.version),
            "routers": self.shared.router_count(),
            "open": self.shared.open_requests.load(Ordering::Relaxed),
            "targets": targets.collect::<Vec<_>>(),
        })
    }
}

/// The event of a change in whether a target is avoided.
fn avoidance(was: bool, is: bool) -> Option<Event> {
    match (was, is) {
        (false, true) => Some(Event::TargetResting),
        (true, false) => Some(Event::TargetTrusted),
        _ => None,
    }
}

/// An attempt on the board.
pub(crate) struct Attempt {
    context: Rc<Context>,
    pub(crate) spot: TargetId,
    /// Where the target copies shared parts from.
    pub(crate) keeper: Option<CopySource>,
    take: AttemptCost,
    started: Cell<bool>,
}

impl Attempt {
    pub(crate) fn begin(
        context: &Rc<Context>,
        spot: TargetId,
        prompt: Option<&Prompt>,
        keeper: Option<CopySource>,
        now: Instant,
    ) -> Self {
        let copied = keeper.map_or(0, |keeper| keeper.tokens);
        let mut board = context.board.borrow_mut();
        let take = board.begin_attempt(spot, prompt, copied, now);
        drop(board);
        Self {
            context: context.clone(),
            spot,
            keeper,
            take,
            started: Cell::new(false),
        }
    }

    /// Tokens that the target has to read.
    pub(crate) fn fresh(&self) -> u32 {
        self.take.prefill_tokens
    }

    /// The first event came.
    pub(crate) fn started(&self) {
        if !self.started.replace(true) {
            let mut board = self.context.board.borrow_mut();
            board.record_first_event(self.spot, self.take, Instant::now());
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let mut board = self.context.board.borrow_mut();
        board.end_attempt(self.spot, self.take, self.started.get());
    }
}
