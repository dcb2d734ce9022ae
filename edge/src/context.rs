//! The state of the traffic thread.
//!
//! Invariant: it is used by the traffic thread only; other threads see what it publishes.

mod targets;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, UNIX_EPOCH};

use actix_http::ServiceConfig;
use entity::{Clock, Name, SystemClock};
use node::event::{self, Event};
use node::settings::EdgeSettings;
use policy::direct::admission::{ArrivalRate, RequestLimit};
use policy::direct::budget::{RetryBudget, RetryLimit};
use policy::direct::cold::ColdLimit;
use policy::direct::config::Config;
use policy::direct::fair_share::FairShares;
use policy::direct::overload::{MAX_LAG, OverloadState, SUSPENSION_LAG};
use policy::direct::placement::PlacementSettings;
use policy::direct::rotation::{OwnLoad, Rotation};
use policy::direct::stream_origin::VersionSighting;
use policy::direct::target::TargetRegistry;
use policy::direct::target_limit::LimitReport;
use policy::direct::target_rate::RateRow;
use policy::direct::target_table::{TargetEntryId, TargetTable};
use policy::direct::team_places::TeamPlaces;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashSet;
use tokio::sync::Notify;

use crate::bound_log::BoundLog;
use crate::connection_limit::ConnectionLimit;
use crate::crashes::Crashes;
use crate::kept_log::KeptLog;
use crate::latest::LatestSnapshot;
use crate::metrics::{Rejection, TrafficMetrics};
use crate::refused_teams::RefusedTeams;
use crate::rejections::{Rejections, RouterState};
use crate::shared::{LocalReport, PeerState, Shared};
use crate::spare_log::SpareLog;
use crate::target::ConnectionPool;

/// The period of the traffic thread's maintenance: publishing its load report and
/// closing expired connections.
pub(crate) const MAINTENANCE_PERIOD: Duration = Duration::from_millis(100);

/// The minimum time between two summations of the peers' load reports. Without new
/// reports the minimum is 4 times as long.
const PEER_SUM_PERIOD: Duration = Duration::from_millis(25);

/// The change of the observed prefill rate that is logged, as a natural logarithm:
/// about a fifth.
const LOGGED_RATE_CHANGE: f64 = 0.2;

/// The least retry delay of requests refused for strain whose callers reach another router
/// that has room, and what is added at random.
const MOVED_RETRY_DELAY: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_millis(20));

/// The same where callers come back to this router. The balancer takes up to 2 s to notice the overload, and
/// a caller's objective is not much longer.
const STRAINED_RETRY_DELAY: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(100));

/// The maximum number of uses of prompt parts handed to the control thread in a period.
const MAX_KEPT_ROWS: usize = 256;

/// The maximum number of teams in a report.
const MAX_REPORTED_TEAMS: usize = 48;

/// A place of a team among the requests in progress; given back when dropped.
pub(crate) struct Place {
    context: Rc<Context>,
    team: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.context.team_places.borrow_mut().end(self.team);
    }
}

/// The state of the traffic thread.
pub(crate) struct Context {
    pub(crate) shared: Arc<Shared>,
    pub(crate) data_centre: Name,
    pub(crate) placement: Cell<PlacementSettings>,
    /// The prefill rate of engines from the settings, in tokens per millisecond.
    configured_rate: f64,
    /// The prefill rate that was logged last.
    logged_rate: Cell<f64>,
    pub(crate) target_table: RefCell<TargetTable>,
    pub(crate) fair_shares: RefCell<FairShares>,
    pub(crate) refused_teams: RefCell<RefusedTeams>,
    pub(crate) rejections: Rejections,
    pub(crate) bound_log: RefCell<BoundLog>,
    pub(crate) spare_log: RefCell<SpareLog>,
    kept_log: RefCell<KeptLog>,
    /// The requests that full targets turned away since the last line, and when that was.
    turned_away: Cell<u32>,
    full_logged_at: Cell<Option<Instant>>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) crashes: Crashes,
    pub(crate) rng: RefCell<ChaCha8Rng>,
    pub(crate) connection_pool: ConnectionPool,
    pub(crate) http: ServiceConfig,
    pub(crate) metrics: TrafficMetrics,
    /// The limit on callers' connections.
    pub(crate) connections: ConnectionLimit,
    /// Notifies idle connections that they must close.
    pub(crate) closing: Notify,
    /// Notifies waiting requests that some target has stalled.
    target_stalled: Notify,
    /// The targets last logged as avoided.
    avoided: RefCell<FxHashSet<TargetEntryId>>,
    overload: RefCell<OverloadState>,
    arrival_rate: RefCell<ArrivalRate>,
    request_limit: RefCell<RequestLimit>,
    rotation: RefCell<Rotation>,
    team_places: RefCell<TeamPlaces>,
    /// The registry last applied to the target table.
    registry: LatestSnapshot<TargetRegistry>,
    /// The peer state that was last applied.
    peers: LatestSnapshot<PeerState>,
    /// When the peers' load reports were last summed up.
    peers_summed_at: Cell<Option<Instant>>,
    /// The rates of targets that peers observed, as last applied.
    peer_rates: LatestSnapshot<Vec<RateRow>>,
    /// The limits of targets that peers report, as last applied.
    peer_limits: LatestSnapshot<Vec<LimitReport>>,
    /// Whether routers tell each other which prompt parts targets keep.
    pub(crate) shares_kept: bool,
}

impl Context {
    pub(crate) fn new(
        settings: &EdgeSettings,
        shared: Arc<Shared>,
        metrics: TrafficMetrics,
        seed: u64,
    ) -> Rc<Self> {
        let http = ServiceConfig::default();
        let configured_rate = settings.engine.read_rate.max(1.0);
        let retry_limit = RetryLimit {
            ratio: settings.bounds.retry_ratio,
            slack: settings.bounds.retry_slack,
            window: settings.bounds.retry_window,
        };
        let mut fair_shares = FairShares::new(0.0);
        if settings.routing.spare_capacity {
            fair_shares.use_spare_capacity(Instant::now());
        }
        let mut target_table = TargetTable::default();
        if settings.routing.target_rates {
            target_table.learn_rates();
        }
        if settings.routing.kept_parts {
            target_table.weigh_kept_parts(configured_rate);
        }
        Rc::new(Self {
            shared,
            data_centre: Name::new(&settings.data_centre),
            placement: Cell::new(PlacementSettings {
                prefill_rate: configured_rate,
                max_wait_fraction: settings.engine.wait_share,
                prefill_cost: settings.engine.reread,
                objective_exponent: settings.engine.yielding,
                cold_limit: ColdLimit {
                    rate_multiple: settings.bounds.cold_over,
                    extra_requests: settings.bounds.cold_slack,
                },
                uses_slots: settings.routing.slot_counts,
                ..PlacementSettings::default()
            }),
            configured_rate,
            logged_rate: Cell::new(configured_rate),
            target_table: RefCell::new(target_table),
            fair_shares: RefCell::new(fair_shares),
            refused_teams: RefCell::new(RefusedTeams::new(Instant::now())),
            rejections: Rejections::new(Instant::now()),
            bound_log: RefCell::default(),
            spare_log: RefCell::default(),
            kept_log: RefCell::default(),
            turned_away: Cell::new(0),
            full_logged_at: Cell::new(None),
            retry_budget: RefCell::new(RetryBudget::new(retry_limit)),
            crashes: Crashes::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            connection_pool: ConnectionPool::new(http.clone()),
            http,
            metrics,
            connections: ConnectionLimit::new(settings.descriptors),
            closing: Notify::new(),
            target_stalled: Notify::new(),
            avoided: RefCell::default(),
            overload: RefCell::default(),
            arrival_rate: RefCell::new(ArrivalRate::new(Instant::now())),
            request_limit: RefCell::default(),
            rotation: RefCell::new(Rotation::new(settings.control)),
            team_places: RefCell::default(),
            registry: LatestSnapshot::default(),
            peers: LatestSnapshot::default(),
            peers_summed_at: Cell::new(None),
            peer_rates: LatestSnapshot::default(),
            peer_limits: LatestSnapshot::default(),
            shares_kept: settings.routing.kept_parts,
        })
    }

    /// Whether connections are closed after their response.
    pub(crate) fn closes_after_response(&self) -> bool {
        self.shared.is_stopping()
            || self.connections.exceeds_keep_alive_share()
            || self.rotation.borrow().closes_connections(false)
    }

    /// Whether connections are closed after a refusal for strain.
    pub(crate) fn closes_after_refusal(&self) -> bool {
        self.closes_after_response()
            || self.arrival_rate.borrow().closes_refused()
            || self.rotation.borrow().closes_connections(true)
    }

    /// Records a refusal for strain, and returns when the caller should try again: at
    /// once if its next try reaches another router that has room.
    pub(crate) fn strained_retry_delay(&self, now: Instant) -> Duration {
        let mut rotation = self.rotation.borrow_mut();
        rotation.record_refused(now);
        let (least, spread) = match rotation.moves_retries(now) {
            true => MOVED_RETRY_DELAY,
            false => STRAINED_RETRY_DELAY,
        };
        least + spread.mul_f64(self.rng.borrow_mut().random())
    }

    /// Records the delay of a maintenance tick and updates the readiness.
    ///
    /// An overloaded router, or one that runs out of connections, reports itself
    /// unready for a while, because the balancer does not know the capacity of VMs.
    pub(crate) fn record_lag(&self, lag: Duration, now: Instant) {
        self.rejections.record_lag(lag);
        self.target_table
            .borrow_mut()
            .end_rate_interval(lag <= MAX_LAG);
        self.update_target_rates(lag <= MAX_LAG, now);
        let open_requests = self.shared.open_requests.load(Ordering::Relaxed);
        let mut arrival_rate = self.arrival_rate.borrow_mut();
        arrival_rate.record_lag(lag, now);
        self.request_limit.borrow_mut().record_lag(
            lag,
            open_requests,
            arrival_rate.is_at_minimum(),
        );
        drop(arrival_rate);
        let max_places = self.request_limit.borrow().max_places();
        self.team_places.borrow_mut().divide(max_places, now);
        let is_nearly_full = self.connections.is_nearly_full();
        let is_overloaded = self
            .overload
            .borrow_mut()
            .record_lag(lag, is_nearly_full, now);
        let was_held = self.is_held();
        let load = OwnLoad {
            is_late: lag > MAX_LAG && lag < SUSPENSION_LAG,
            is_overloaded,
            requests: open_requests,
        };
        let is_out = self.rotation.borrow_mut().update(load, now).is_out;
        let was_out = self.shared.out.swap(is_out, Ordering::Relaxed);
        match (was_out, is_out) {
            (false, true) => self.log_rotation(Event::ProcessUnready, lag),
            (true, false) => self.log_rotation(Event::ProcessReady, lag),
            _ if !was_held && self.is_held() => self.log_rotation(Event::RotationHeld, lag),
            _ => {}
        }
    }

    /// Whether this router is overloaded and stays in rotation for the data centre.
    fn is_held(&self) -> bool {
        let readiness = self.rotation.borrow().readiness();
        readiness.is_overloaded && !readiness.is_out
    }

    /// Logs a decision with what was known of the data centre.
    fn log_rotation(&self, event: Event, lag: Duration) {
        let rotation = self.rotation.borrow();
        let (counts, own) = (rotation.counts(), rotation.readiness());
        let open = self.connections.open_count();
        let lag = lag.as_millis();
        let fields: [event::Field<'_>; 7] = [
            ("reason", &"strained"),
            ("lag_ms", &lag),
            ("connections", &open),
            ("requests", &own.requests),
            ("carried", &own.carried),
            ("others_in", &counts.others_in),
            ("others_out", &counts.others_out),
        ];
        event::log(event, &fields);
        self.metrics.record_rotation(event.name());
    }

    /// Records an accepted connection; returns how long to wait before the next one.
    pub(crate) fn record_accepted(&self, now: Instant) -> Option<Duration> {
        self.rejections.record_accepted();
        let mut arrival_rate = self.arrival_rate.borrow_mut();
        arrival_rate.record_arrival(now);
        arrival_rate.pause(now)
    }

    /// How long to wait after accepting a batch of connections.
    pub(crate) fn accept_pause(&self, now: Instant) -> Option<Duration> {
        self.overload.borrow().accept_pause(now)
    }

    /// Whether new connections, and requests on existing ones, are rejected.
    pub(crate) fn rejects_connections(&self, now: Instant) -> bool {
        self.overload.borrow().rejects_connections(now)
    }

    /// Counts what was turned away because this router is behind.
    pub(crate) fn record_rejection(&self, rejection: Rejection) {
        self.rejections.record(rejection, &self.metrics);
        match rejection {
            Rejection::Connection | Rejection::Request => {
                self.fair_shares.borrow_mut().record_shed();
            }
            Rejection::Limit => {}
        }
    }

    /// Takes a place for a generation request of a team, if it may begin, given the
    /// requests in progress.
    pub(crate) fn take_place(self: &Rc<Self>, team: &Name, now: Instant) -> Option<Place> {
        let team = team.tag().0;
        let mut team_places = self.team_places.borrow_mut();
        if !team_places.allows(team) || !self.allows_request(team, now) {
            team_places.record_refused(team);
            return None;
        }
        team_places.begin(team);
        Some(Place {
            context: self.clone(),
            team,
        })
    }

    fn allows_request(&self, team: u64, now: Instant) -> bool {
        // The request itself is already counted.
        let requests = self.shared.open_requests.load(Ordering::Relaxed);
        let requests = requests.saturating_sub(1);
        let request_limit = self.request_limit.borrow();
        if request_limit.allows(requests, false) {
            return true;
        }
        let mut fair_shares = self.fair_shares.borrow_mut();
        let is_within_share = fair_shares.share_usage(team, now) <= 1.0;
        request_limit.allows(requests, is_within_share)
    }

    /// Returns the active configuration.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.shared.config.load_full()
    }

    /// Applies the latest snapshots published by the control thread.
    pub(crate) fn refresh(&self, now: Instant) {
        self.apply_connection_ends();
        if let Some(registry) = self.registry.take_if_new(&self.shared.registry) {
            let mut target_table = self.target_table.borrow_mut();
            let confirmed = target_table.apply_registry(&registry, now);
            drop(target_table);
            for (target_id, doubted_at) in confirmed {
                self.log_confirmed(target_id, "list", doubted_at);
            }
            let wall = SystemClock.now().wall;
            let age = |born: u64| {
                let born = UNIX_EPOCH + Duration::from_millis(born);
                wall.duration_since(born).unwrap_or_default()
            };
            let targets = registry.targets.values().map(|(target, _)| target);
            let versions = targets.map(|target| VersionSighting {
                service: &target.service,
                version: target.version.tag(),
                age: age(target.born),
            });
            self.shared.origins().observe_versions(versions, now);
            if let Some(config) = self.config() {
                self.fair_shares
                    .borrow_mut()
                    .set_pool_rate(config.pool_rate);
            }
        }
        let elapsed = self
            .peers_summed_at
            .get()
            .map(|at| now.saturating_duration_since(at));
        if elapsed.is_some_and(|elapsed| elapsed < PEER_SUM_PERIOD) {
            return;
        }
        let new_peers = self.peers.take_if_new(&self.shared.peers);
        // Without new reports the existing ones only age.
        if new_peers.is_none() && elapsed.is_some_and(|elapsed| elapsed < PEER_SUM_PERIOD * 4) {
            return;
        }
        self.peers_summed_at.set(Some(now));
        let mut target_table = self.target_table.borrow_mut();
        target_table.set_peer_loads(self.shared.peers.load().reports.iter(), now);
        if let Some(peers) = new_peers {
            target_table.set_problem_reports(&peers.problem_counts);
            self.fair_shares.borrow_mut().set_peers(peers.teams.clone());
            self.rotation
                .borrow_mut()
                .set_neighbours(&peers.neighbours, now);
        }
    }

    /// Publishes the load report and applies the peers' crash records.
    pub(crate) fn run_maintenance(&self, now: Instant) {
        self.refresh(now);
        self.apply_peer_limits(now);
        self.apply_call_notices();
        self.publish_withheld(now);
        self.update_prefill_rate();
        self.update_memory(now);
        let limits = self.target_table.borrow_mut().limit_reports(now);
        let local_report = LocalReport {
            loads: self
                .target_table
                .borrow()
                .load_reports(self.placement.get().prefill_rate, now),
            teams: self
                .fair_shares
                .borrow_mut()
                .report(MAX_REPORTED_TEAMS, now),
            problem_targets: self
                .target_table
                .borrow()
                .problem_targets(self.placement.get().prefill_rate, now),
            readiness: self.rotation.borrow().readiness(),
            rates: self.target_table.borrow().rate_rows(now),
            limits,
            rejected: self.crashes.rejected_requests(now),
        };
        self.shared.local_report.store(Arc::new(local_report));
        self.log_avoided_targets(now);
        self.connections.log_rejected();
        self.refused_teams
            .borrow_mut()
            .log_if_due(&mut self.fair_shares.borrow_mut(), now);
        self.rejections.log_if_due(|| self.router_state(now), now);
        if let Some(fraction) = self.fair_shares.borrow_mut().spare_fraction(now) {
            self.spare_log.borrow_mut().log_if_changed(fraction, now);
        }
        if let Some(bound) = self.fair_shares.borrow_mut().bound(now) {
            let mut bound_log = self.bound_log.borrow_mut();
            bound_log.log_if_due(bound, self.config().as_deref(), now);
        }
        if self.shares_kept {
            self.exchange_kept(now);
        }
        self.notify_stalled(now);
        let leaving = self.shared.take_peer_leaving();
        let leaving = self.target_table.borrow_mut().record_leaving_tags(&leaving);
        for target_id in leaving {
            self.log_leaving(target_id, "peer");
        }
        self.crashes
            .run_maintenance(&self.shared, &self.metrics, now);
        self.connection_pool.close_expired(now);
        self.metrics
            .record_connections(self.connection_pool.opened_count());
    }

    fn router_state(&self, now: Instant) -> RouterState {
        let peers = self.shared.peers.load();
        let ages = peers.reports.iter().map(|it| it.received_at);
        RouterState {
            connections: self.connections.open_count(),
            requests: self.shared.open_requests.load(Ordering::Relaxed),
            reports: peers.reports.len(),
            oldest_report: ages
                .map(|at| now.saturating_duration_since(at))
                .max()
                .unwrap_or_default(),
        }
    }

    /// Updates what is known of the targets' memory.
    fn update_memory(&self, now: Instant) {
        let mut target_table = self.target_table.borrow_mut();
        if let Some(config) = self.config().filter(|_| target_table.weighs_kept_parts()) {
            let engine = |service: &Name| config.services.get(service)?.engine;
            target_table.update_memory(engine, self.placement.get().prefill_rate, now);
            let mut kept_log = self.kept_log.borrow_mut();
            kept_log.log_if_due(&target_table, &self.metrics, now);
        }
    }

    /// Updates the prefill rate from the rate observed at the engines.
    fn update_prefill_rate(&self) {
        let rate = self
            .target_table
            .borrow()
            .observed_rate()
            .tokens_per_milli(self.configured_rate);
        let mut placement = self.placement.get();
        placement.prefill_rate = rate;
        self.placement.set(placement);
        let logged = self.logged_rate.get();
        if (rate / logged).ln().abs() > LOGGED_RATE_CHANGE {
            self.logged_rate.set(rate);
            let (rate, configured_rate) = (format!("{rate:.1}"), self.configured_rate);
            event::log(
                Event::SpeedLearned,
                &[("rate", &rate), ("stated", &configured_rate)],
            );
        }
    }

    /// Updates the rate of each target from what was observed here and by the peers.
    fn update_target_rates(&self, is_on_time: bool, now: Instant) {
        let mut target_table = self.target_table.borrow_mut();
        if let Some(rows) = self.peer_rates.take_if_new(&self.shared.peer_rates) {
            target_table.set_peer_rates(&rows, now);
        }
        for id in target_table.update_rates(is_on_time, self.configured_rate, now) {
            let target = target_table.target(id);
            let rate = target.usual_rate(self.configured_rate);
            let (rate, weight) = (format!("{rate:.1}"), format!("{:.2}", target.home_weight()));
            let fields: [event::Field<'_>; 3] = [
                ("target", &target.name),
                ("rate", &rate),
                ("weight", &weight),
            ];
            event::log(Event::TargetRateLearned, &fields);
            self.metrics.record_rate_change();
        }
    }

    /// Waits until a target has stalled.
    pub(crate) async fn wait_until_stalled(&self, target_id: TargetEntryId) {
        loop {
            self.target_stalled.notified().await;
            let now = Instant::now();
            if self
                .target_table
                .borrow()
                .target(target_id)
                .is_stalled(self.placement.get().prefill_rate, now)
            {
                return;
            }
        }
    }

    /// Notifies requests that wait for a stalled target, if any target has stalled.
    fn notify_stalled(&self, now: Instant) {
        let target_table = self.target_table.borrow();
        let mut busy = target_table
            .targets()
            .filter(|(_, target)| target.own_load().attempts > 0);
        if busy.any(|(_, target)| target.is_stalled(self.placement.get().prefill_rate, now)) {
            self.target_stalled.notify_waiters();
        }
    }

    /// Logs changes in the set of avoided targets.
    fn log_avoided_targets(&self, now: Instant) {
        let target_table = self.target_table.borrow();
        let mut avoided = self.avoided.borrow_mut();
        let open = target_table
            .targets()
            .filter(|(_, target)| target.accepts_requests);
        for (target_id, target) in open {
            let reason = target.avoid_reason(self.placement.get().prefill_rate, now);
            let was_avoided = avoided.contains(&target_id);
            let Some(event) = avoidance_event(was_avoided, reason.is_some()) else {
                continue;
            };
            match reason {
                Some(_) => avoided.insert(target_id),
                None => avoided.remove(&target_id),
            };
            let why = reason.map_or_else(|| "-".to_owned(), |reason| reason.to_string());
            let failures = format!("{:.2}", target.outlier_detector.failure_fraction());
            let in_hand = target.own_load().attempts;
            let fields: [event::Field<'_>; 4] = [
                ("target", &target.name),
                ("why", &why),
                ("failures", &failures),
                ("own_in_hand", &in_hand),
            ];
            event::log(event, &fields);
        }
    }

    /// Tells the control thread which parts were used, and applies what peers and targets told.
    fn exchange_kept(&self, now: Instant) {
        let mut target_table = self.target_table.borrow_mut();
        let kept = target_table.kept_mut();
        self.shared
            .add_local_kept(kept.take_new_rows(MAX_KEPT_ROWS, now));
        for row in self.shared.take_peer_kept() {
            let evicted_at = now.checked_sub(Duration::from_millis(row.age.into()));
            match kept.last_use(row.target, row.part) {
                _ if row.tokens > 0 => kept.apply(&row, now),
                Some(part) if Some(part.used_at) < evicted_at => kept.forget(row.target, row.part),
                _ => {}
            }
        }
    }

    fn dump_kept(&self) -> serde_json::Value {
        let counts = self.shared.peers.load().kept;
        let (targets, parts) = self.target_table.borrow().kept().counts();
        serde_json::json!({
            "targets": targets,
            "parts": parts,
            "exchanged": counts.known,
            "waiting": counts.waiting,
            "watched": counts.watched,
            "calls": counts.calls,
            "held": counts.held,
        })
    }

    /// Returns the state of the traffic thread for operators.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let now = Instant::now();
        let target_table = self.target_table.borrow();
        let targets = target_table
            .targets()
            .filter(|(_, target)| target.accepts_requests || target.own_load().attempts > 0);
        let targets = targets.map(|(_, target)| {
            serde_json::json!({
                "target": target.name.as_str(),
                "service": target.service.as_str(),
                "centre": target.centre.as_str(),
                "open": target.accepts_requests,
                "trouble": target.avoid_reason(self.placement.get().prefill_rate, now).map(|it| it.to_string()),
                "cold": target.is_cold(now),
                "limit": target.limit().rate(),
                "rate": target.learned_rate(),
                "step_ms": target.learned_step().map(|step| step.as_secs_f64() * 1e3),
                "home_weight": target.home_weight(),
                "requests": target.occupancy(now),
                "request_ms": target.slot_state().learned_time().map(|time| time.as_secs_f64() * 1e3),
                "own": { "count": target.own_load().attempts, "waiting": target.own_load().waiting_tokens },
                "memory": target_table.weighs_kept_parts().then(|| serde_json::json!({
                    "horizon_ms": target.memory.horizon(now).as_millis() as u64,
                    "turnover": target.memory.turnover(),
                    "shared_fraction": target.memory.shared_fraction(),
                })),
                "all": { "count": target.load().attempts, "waiting": target.load().waiting_tokens },
            })
        });
        serde_json::json!({
            "config": self.config().map(|config| config.version),
            "routers": self.shared.router_count(),
            "kept_exchange": self.dump_kept(),
            "relay": self.shared.peers.load().relay.map(|relay| relay.to_string()),
            "open": self.shared.open_requests.load(Ordering::Relaxed),
            "rejected_parts": self.crashes.rejected_parts(),
            "spare_fraction": self.fair_shares.borrow_mut().spare_fraction(now),
            "kept": target_table.weighs_kept_parts().then(|| {
                let (targets, parts) = target_table.kept().counts();
                serde_json::json!({
                    "targets": targets,
                    "parts": parts,
                    "evicted": target_table.evicted_count(),
                })
            }),
            "targets": targets.collect::<Vec<_>>(),
        })
    }
}

/// Returns the event to log when a target starts or stops being avoided.
fn avoidance_event(was: bool, is: bool) -> Option<Event> {
    match (was, is) {
        (false, true) => Some(Event::TargetResting),
        (true, false) => Some(Event::TargetTrusted),
        _ => None,
    }
}
