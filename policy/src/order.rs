//! What an agent orders its engine to load and unload.
//!
//! Invariants:
//! - Orders follow from what the engine reports and what it should hold; an
//!   order that the report does not bear out is given again after a delay.
//! - One order is under way at a time, and loads keep their distance for the
//!   rate-limited weight store.
//! - A target unloads a model only while targets that should hold it, and so
//!   never unload it under this placement, report it warm. Two targets that
//!   unload at once therefore cannot take the last warm one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use derive_more::Display;
use entity::TargetId;

use crate::placement::{ModelVersion, Placement};

/// The age after which another target's report no longer counts as warm.
pub const REPORT_AGE: Duration = Duration::from_secs(10);

/// The delay before an order that the report does not bear out is given again.
pub const FIRST_RETRY: Duration = Duration::from_secs(30);

/// The greatest such delay.
pub const MAX_RETRY: Duration = Duration::from_secs(600);

/// The time after a new placement before unloads follow from it.
///
/// It is longer than a placement takes to reach every agent, and [`REPORT_AGE`] on top, so
/// that two agents never unload by two placements at once.
pub const SETTLE: Duration = Duration::from_secs(30);

/// The number of warm targets that must remain, if the model has as many replicas.
pub const KEPT_WARM: usize = 2;

/// The number of reports in a row that must agree before an unload.
pub const AGREEING_REPORTS: u32 = 2;

/// An order to an engine.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
pub enum Order {
    /// Load a model; an engine that holds it does nothing.
    #[display("load {_0}")]
    Load(ModelVersion),
    /// Unload a model; an engine that does not hold it does nothing.
    #[display("unload {_0}")]
    Unload(ModelVersion),
}

/// How an order ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderEnd {
    /// The engine accepted it.
    Accepted,
    /// The engine refused its fencing number.
    Fenced,
    /// No answer, or another refusal.
    Failed,
}

/// What another target's agent says that its engine holds.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Warm {
    models: BTreeSet<ModelVersion>,
    at: Instant,
}

/// An order that was given.
#[derive(Clone, Copy, Debug)]
struct Given {
    at: Instant,
    times: u32,
}

/// The orders of one agent.
#[derive(Clone, Debug)]
pub struct Orders {
    target: TargetId,
    spacing: Duration,
    desired: Placement,
    placed: Option<Instant>,
    report: Option<Warm>,
    agreeing: u32,
    others: BTreeMap<TargetId, Warm>,
    given: BTreeMap<Order, Given>,
    busy: bool,
    loaded: Option<Instant>,
    fenced: bool,
}

impl Orders {
    /// Creates the orders of the agent beside `target`; `spacing` lies between two loads.
    pub fn new(target: TargetId, spacing: Duration) -> Self {
        Self {
            target,
            spacing,
            desired: Placement::default(),
            placed: None,
            report: None,
            agreeing: 0,
            others: BTreeMap::new(),
            given: BTreeMap::new(),
            busy: false,
            loaded: None,
            fenced: false,
        }
    }

    /// Takes in a placement.
    pub fn place(&mut self, now: Instant, desired: Placement) {
        if self.desired == desired {
            return;
        }
        self.desired = desired;
        self.placed = Some(now);
        self.given.clear();
    }

    /// Takes in the engine's report of the models that it holds.
    pub fn reported(&mut self, now: Instant, models: BTreeSet<ModelVersion>) {
        let same = self
            .report
            .as_ref()
            .is_some_and(|last| last.models == models);
        self.agreeing = if same {
            self.agreeing.saturating_add(1)
        } else {
            1
        };
        self.given.retain(|order, _| !is_done(order, &models));
        self.report = Some(Warm { models, at: now });
    }

    /// The time between two loads of this agent.
    pub fn set_spacing(&mut self, spacing: Duration) {
        self.spacing = spacing;
    }

    /// The models that the engine reported last.
    pub fn held(&self) -> impl Iterator<Item = &ModelVersion> {
        self.report.iter().flat_map(|report| &report.models)
    }

    /// The targets whose reports decide whether this one may unload what it holds.
    pub fn inquiries(&self) -> BTreeSet<TargetId> {
        let wanted: BTreeSet<_> = self.desired.models(self.target).collect();
        let extra = self.held().filter(|model| !wanted.contains(model));
        let names: BTreeSet<_> = extra.map(|model| &model.name).collect();
        let versions = self.desired.versions();
        let versions = versions.filter(|version| names.contains(&version.name));
        let holders = versions.flat_map(|version| self.desired.holders(version));
        holders.filter(|holder| *holder != self.target).collect()
    }

    /// Takes in what another target's agent says that its engine holds.
    pub fn heard(&mut self, now: Instant, target: TargetId, models: BTreeSet<ModelVersion>) {
        self.others.insert(target, Warm { models, at: now });
    }

    /// The next order, if one is due; its end must be reported.
    pub fn next(&mut self, now: Instant) -> Option<Order> {
        let report = self.report.as_ref()?;
        let fresh = now.saturating_duration_since(report.at) < REPORT_AGE;
        if self.busy || self.fenced || !fresh {
            return None;
        }
        let order = self.load(now).or_else(|| self.unload(now))?;
        self.busy = true;
        let given = self.given.entry(order.clone());
        let given = given.or_insert(Given { at: now, times: 0 });
        given.at = now;
        given.times += 1;
        if matches!(order, Order::Load(_)) {
            self.loaded = Some(now);
        }
        Some(order)
    }

    /// Takes in how the order under way ended.
    pub fn ended(&mut self, end: OrderEnd) {
        self.busy = false;
        self.fenced |= end == OrderEnd::Fenced;
    }

    /// Whether the engine has refused this life's number: another life gives the orders.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    fn load(&self, now: Instant) -> Option<Order> {
        let recent = |at| now.saturating_duration_since(at) < self.spacing;
        if self.loaded.is_some_and(recent) {
            return None;
        }
        let held = &self.report.as_ref()?.models;
        let wanted = self.desired.models(self.target);
        let missing = wanted.filter(|model| !held.contains(*model));
        let mut loads = missing.map(|model| Order::Load(model.clone()));
        loads.find(|order| self.is_due(now, order))
    }

    fn unload(&self, now: Instant) -> Option<Order> {
        let age = now.saturating_duration_since(self.placed?);
        if self.agreeing < AGREEING_REPORTS || age < SETTLE {
            return None;
        }
        let held = &self.report.as_ref()?.models;
        let wanted: BTreeSet<_> = self.desired.models(self.target).collect();
        let extra = held.iter().filter(|model| !wanted.contains(model));
        let spare = extra.filter(|model| self.is_spare(now, model));
        let mut unloads = spare.map(|model| Order::Unload(model.clone()));
        unloads.find(|order| self.is_due(now, order))
    }

    /// Whether the model stays warm elsewhere once this target unloads it.
    ///
    /// Targets that should hold the model keep it, so it is enough that [`KEPT_WARM`] of
    /// them, or all, report it warm. For a version that the rules no longer name, the
    /// version in its place must be warm so.
    fn is_spare(&self, now: Instant, model: &ModelVersion) -> bool {
        let mut versions = self.desired.versions();
        let placed = match self.desired.holders(model).next() {
            Some(_) => Some(model),
            None => versions.find(|next| next.name == model.name),
        };
        let Some(placed) = placed else {
            // The rules name no version of it any more.
            return !self.desired.is_empty();
        };
        let holders: Vec<_> = self.desired.holders(placed).collect();
        let warm = holders
            .iter()
            .filter(|&&holder| self.is_warm(now, holder, placed));
        warm.count() >= holders.len().min(KEPT_WARM)
    }

    fn is_warm(&self, now: Instant, target: TargetId, model: &ModelVersion) -> bool {
        let warm = match target == self.target {
            true => self.report.as_ref(),
            false => self.others.get(&target),
        };
        let fresh = |warm: &&Warm| now.saturating_duration_since(warm.at) < REPORT_AGE;
        warm.filter(fresh)
            .is_some_and(|warm| warm.models.contains(model))
    }

    fn is_due(&self, now: Instant, order: &Order) -> bool {
        self.given.get(order).is_none_or(|given| {
            let doubled = FIRST_RETRY * (1 << given.times.saturating_sub(1).min(5));
            now.saturating_duration_since(given.at) >= doubled.min(MAX_RETRY)
        })
    }
}

fn is_done(order: &Order, models: &BTreeSet<ModelVersion>) -> bool {
    match order {
        Order::Load(model) => models.contains(model),
        Order::Unload(model) => !models.contains(model),
    }
}
