//! The load and unload orders that an agent sends to its engine.
//!
//! Invariants:
//! - Orders are derived from the difference between the engine's report and the
//!   placement. An order whose effect is missing from the report is retried after
//!   a delay.
//! - Only one order is in progress at a time, and loads are spaced because the
//!   weight store is rate-limited.
//! - A model is warm on a target if a recent report says that the target's engine holds
//!   it. A target unloads a model only while targets on which the model is placed,
//!   and which therefore never unload it under this placement, report it warm.
//!   Two targets that unload at the same time thus cannot remove the last warm
//!   copy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use derive_more::Display;
use entity::TargetId;

use crate::placement::{ModelVersion, Placement};

/// The maximum age of a report; models in an older one do not count as warm.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// The delay before the first retry of an order whose effect is missing from the report.
pub const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(30);

/// The maximum retry delay; the delay doubles with each retry.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(600);

/// The time after a new placement during which nothing is unloaded.
///
/// It is longer than the time that a placement takes to reach every agent plus
/// [`MAX_REPORT_AGE`], so that two agents never unload by different placements at once.
pub const PLACEMENT_SETTLE_TIME: Duration = Duration::from_secs(30);

/// The number of warm targets that must remain, or all replicas if the model has fewer.
pub const MIN_WARM_TARGETS: usize = 2;

/// The number of consecutive equal reports that are required before an unload.
pub const MIN_AGREEING_REPORTS: u32 = 2;

/// An order to an engine.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
pub enum Order {
    /// Load a model; a no-op if the engine already holds it.
    #[display("load {_0}")]
    Load(ModelVersion),
    /// Unload a model; a no-op if the engine does not hold it.
    #[display("unload {_0}")]
    Unload(ModelVersion),
}

/// How an order ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderEnd {
    /// The engine accepted it.
    Accepted,
    /// The engine refused the order's fencing number.
    Fenced,
    /// The engine did not answer or refused the order for another reason.
    Failed,
}

/// The models that an engine holds, as its agent reported them.
#[derive(Clone, PartialEq, Eq, Debug)]
struct ModelReport {
    models: BTreeSet<ModelVersion>,
    at: Instant,
}

/// When an order was last issued, and how often.
#[derive(Clone, Copy, Debug)]
struct IssuedOrder {
    at: Instant,
    attempts: u32,
}

/// The order state of one agent.
#[derive(Clone, Debug)]
pub struct Orders {
    target: TargetId,
    spacing: Duration,
    desired: Placement,
    placed_at: Option<Instant>,
    report: Option<ModelReport>,
    agreeing_reports: u32,
    peer_reports: BTreeMap<TargetId, ModelReport>,
    issued: BTreeMap<Order, IssuedOrder>,
    in_progress: bool,
    last_load: Option<Instant>,
    fenced: bool,
}

impl Orders {
    /// Creates the state for the agent of `target`; `spacing` is the minimum time between two loads.
    pub fn new(target: TargetId, spacing: Duration) -> Self {
        Self {
            target,
            spacing,
            desired: Placement::default(),
            placed_at: None,
            report: None,
            agreeing_reports: 0,
            peer_reports: BTreeMap::new(),
            issued: BTreeMap::new(),
            in_progress: false,
            last_load: None,
            fenced: false,
        }
    }

    /// Replaces the placement; issued orders are forgotten if it differs.
    pub fn set_placement(&mut self, now: Instant, desired: Placement) {
        if self.desired == desired {
            return;
        }
        self.desired = desired;
        self.placed_at = Some(now);
        self.issued.clear();
    }

    /// Records the engine's report of the models that it holds.
    pub fn record_report(&mut self, now: Instant, models: BTreeSet<ModelVersion>) {
        let same = self
            .report
            .as_ref()
            .is_some_and(|last| last.models == models);
        self.agreeing_reports = if same {
            self.agreeing_reports.saturating_add(1)
        } else {
            1
        };
        self.issued.retain(|order, _| !is_satisfied(order, &models));
        self.report = Some(ModelReport { models, at: now });
    }

    /// Sets the minimum time between two loads of this agent.
    pub fn set_spacing(&mut self, spacing: Duration) {
        self.spacing = spacing;
    }

    /// The models in the engine's latest report.
    pub fn loaded_models(&self) -> impl Iterator<Item = &ModelVersion> {
        self.report.iter().flat_map(|report| &report.models)
    }

    /// The targets whose reports decide whether this target may unload models.
    pub fn targets_to_query(&self) -> BTreeSet<TargetId> {
        let wanted: BTreeSet<_> = self.desired.models(self.target).collect();
        let extra = self.loaded_models().filter(|model| !wanted.contains(model));
        let names: BTreeSet<_> = extra.map(|model| &model.name).collect();
        let versions = self.desired.versions();
        let versions = versions.filter(|version| names.contains(&version.name));
        let holders = versions.flat_map(|version| self.desired.holders(version));
        holders.filter(|holder| *holder != self.target).collect()
    }

    /// Records the models that the engine of another target holds, as reported by its agent.
    pub fn record_peer_report(
        &mut self,
        now: Instant,
        target: TargetId,
        models: BTreeSet<ModelVersion>,
    ) {
        self.peer_reports
            .insert(target, ModelReport { models, at: now });
    }

    /// Returns the next order if one is due; the caller must report its end to [`Self::order_ended`].
    pub fn next_order(&mut self, now: Instant) -> Option<Order> {
        let report = self.report.as_ref()?;
        let fresh = now.saturating_duration_since(report.at) < MAX_REPORT_AGE;
        if self.in_progress || self.fenced || !fresh {
            return None;
        }
        let order = self.next_load(now).or_else(|| self.next_unload(now))?;
        self.in_progress = true;
        let issued = self.issued.entry(order.clone());
        let issued = issued.or_insert(IssuedOrder {
            at: now,
            attempts: 0,
        });
        issued.at = now;
        issued.attempts += 1;
        if matches!(order, Order::Load(_)) {
            self.last_load = Some(now);
        }
        Some(order)
    }

    /// Records how the order in progress ended.
    pub fn order_ended(&mut self, end: OrderEnd) {
        self.in_progress = false;
        self.fenced |= end == OrderEnd::Fenced;
    }

    /// Whether the engine refused this incarnation's fencing number, because it has seen a
    /// higher one from a later incarnation.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    fn next_load(&self, now: Instant) -> Option<Order> {
        let recent = |at| now.saturating_duration_since(at) < self.spacing;
        if self.last_load.is_some_and(recent) {
            return None;
        }
        let loaded = &self.report.as_ref()?.models;
        let wanted = self.desired.models(self.target);
        let missing = wanted.filter(|model| !loaded.contains(*model));
        let mut loads = missing.map(|model| Order::Load(model.clone()));
        loads.find(|order| self.is_due(now, order))
    }

    fn next_unload(&self, now: Instant) -> Option<Order> {
        let age = now.saturating_duration_since(self.placed_at?);
        if self.agreeing_reports < MIN_AGREEING_REPORTS || age < PLACEMENT_SETTLE_TIME {
            return None;
        }
        let loaded = &self.report.as_ref()?.models;
        let wanted: BTreeSet<_> = self.desired.models(self.target).collect();
        let extra = loaded.iter().filter(|model| !wanted.contains(model));
        let removable = extra.filter(|model| self.is_safe_to_unload(now, model));
        let mut unloads = removable.map(|model| Order::Unload(model.clone()));
        unloads.find(|order| self.is_due(now, order))
    }

    /// Whether the model stays warm elsewhere after this target unloads it.
    ///
    /// Targets on which the model is placed keep it, so it suffices that
    /// [`MIN_WARM_TARGETS`] of them, or all if there are fewer, report it warm. For a
    /// version that the rules no longer name, this must hold for the version that
    /// replaces it.
    fn is_safe_to_unload(&self, now: Instant, model: &ModelVersion) -> bool {
        let mut versions = self.desired.versions();
        let placed = match self.desired.holders(model).next() {
            Some(_) => Some(model),
            None => versions.find(|next| next.name == model.name),
        };
        let Some(placed) = placed else {
            // The rules no longer name any version of the model.
            return !self.desired.is_empty();
        };
        let holders: Vec<_> = self.desired.holders(placed).collect();
        let warm = holders
            .iter()
            .filter(|&&holder| self.is_warm(now, holder, placed));
        warm.count() >= holders.len().min(MIN_WARM_TARGETS)
    }

    fn is_warm(&self, now: Instant, target: TargetId, model: &ModelVersion) -> bool {
        let report = match target == self.target {
            true => self.report.as_ref(),
            false => self.peer_reports.get(&target),
        };
        let fresh =
            |report: &&ModelReport| now.saturating_duration_since(report.at) < MAX_REPORT_AGE;
        report
            .filter(fresh)
            .is_some_and(|report| report.models.contains(model))
    }

    fn is_due(&self, now: Instant, order: &Order) -> bool {
        self.issued.get(order).is_none_or(|issued| {
            let backoff = INITIAL_RETRY_DELAY * (1 << issued.attempts.saturating_sub(1).min(5));
            now.saturating_duration_since(issued.at) >= backoff.min(MAX_RETRY_DELAY)
        })
    }
}

/// Whether an engine that holds `models` has carried out `order`.
fn is_satisfied(order: &Order, models: &BTreeSet<ModelVersion>) -> bool {
    match order {
        Order::Load(model) => models.contains(model),
        Order::Unload(model) => !models.contains(model),
    }
}
