//! Placement of models, fencing and orders to engines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use entity::{Directory, Incarnation, Name, Revision, RuleRef, TargetId};
use knapweed_policy::fence::{Fence, MAX_TICK_GAP, PERMIT_LIFETIME, PermitError};
use knapweed_policy::order::{MAX_REPORT_AGE, Order, OrderEnd, Orders};
use knapweed_policy::placement::{ModelVersion, Placement};
use proptest::prelude::*;
use rules::{Config, Model, Pool, PoolKind, Window};

const SECOND: Duration = Duration::from_secs(1);

/// A pool of `targets` targets with models of two replicas each, all of `version`.
fn config(targets: &[usize], models: usize, version: &str) -> Config {
    config_with_replicas(targets, models, version, 2)
}

fn config_with_replicas(targets: &[usize], models: usize, version: &str, replicas: u32) -> Config {
    let mut names = Directory::default();
    let mut config = Config::default();
    let rule = RuleRef {
        revision: Revision(1),
        line: 1,
    };
    let pool = names.pools.intern(&Name::new("pool"));
    let intern = |i: &usize| names.targets.intern(&Name::new(&format!("t{i}")));
    config.pools[pool] = Some(Pool {
        rule,
        kind: PoolKind::Model,
        targets: targets.iter().map(intern).collect(),
        window: Window::default(),
    });
    for i in 0..models {
        let model = names.models.intern(&Name::new(&format!("m{i}")));
        config.models[model] = Some(Model {
            rule,
            pool,
            version: Name::new(version),
            replicas,
        });
    }
    config.names = names.into();
    config
}

/// The names of the holders of each model.
fn holders(config: &Config, leaving: &[usize]) -> BTreeMap<String, BTreeSet<String>> {
    let name = |target: TargetId| config.names.targets.name(target).to_string();
    let leaves = |target| leaving.iter().any(|i| name(target) == format!("t{i}"));
    let placement = Placement::new(config, leaves);
    let named = |model: &ModelVersion| placement.holders(model).map(name).collect();
    placement
        .versions()
        .map(|model| (model.to_string(), named(model)))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_leaving_target_moves_only_its_own_models(
        target_count in 3usize..12,
        leaving_index in 0usize..12,
        models in 1usize..8,
        seed in any::<u64>(),
    ) {
        let leaving_index = leaving_index % target_count;
        let all: Vec<_> = (0..target_count).collect();
        let mut rotated = all.clone();
        rotated.rotate_left(seed as usize % target_count);
        let before = holders(&config(&all, models, "1"), &[]);
        prop_assert_eq!(&before, &holders(&config(&rotated, models, "1"), &[]));
        let remaining: Vec<_> = all.iter().copied().filter(|i| *i != leaving_index).collect();
        let after = holders(&config(&remaining, models, "1"), &[]);
        prop_assert_eq!(&after, &holders(&config(&all, models, "1"), &[leaving_index]));
        for (model, before) in &before {
            let moved = before.difference(&after[model]).count();
            prop_assert_eq!(moved, usize::from(before.contains(&format!("t{leaving_index}"))));
        }
    }

    /// Engines ignore some orders, and agents receive each other's reports and the
    /// placement with a delay.
    #[test]
    fn the_last_warm_target_keeps_a_model(
        steps in proptest::collection::vec((0usize..4, 0u8..8), 600),
        delays in proptest::collection::vec(0usize..6, 4),
        replicas in 1u32..=2,
    ) {
        let mut fleet = SimulatedEngines::new(4, 3, &delays);
        for (i, (target, draw)) in steps.into_iter().enumerate() {
            if i % 90 == 40 {
                // Replaces the whole pool each time, and the version as well after step 300.
                let version = if i > 300 { "2" } else { "1" };
                let first = i / 90 * 2;
                let pool = [first % 4, (first + 1) % 4];
                fleet.place(&config_with_replicas(&pool, 3, version, replicas));
            }
            fleet.step(target, draw);
            prop_assert!(fleet.all_warm(), "a model that was loaded before is not warm on any engine");
        }
        prop_assert!(fleet.unloads > 0, "the schedule caused no unload");
    }
}

/// Simulated engines that hold models, and the order state of their agents.
struct SimulatedEngines {
    now: Instant,
    config: Config,
    models: Vec<BTreeSet<ModelVersion>>,
    orders: Vec<Orders>,
    report_history: Vec<Vec<BTreeSet<ModelVersion>>>,
    delays: Vec<usize>,
    ever_loaded: BTreeSet<String>,
    unloads: usize,
    placements: Vec<Vec<(Instant, Placement)>>,
}

impl SimulatedEngines {
    fn new(targets: usize, models: usize, delays: &[usize]) -> Self {
        let all: Vec<_> = (0..targets).collect();
        let config = config(&all, models, "1");
        let ids: Vec<_> = (0..targets).map(|i| id(&config, i)).collect();
        let mut fleet = Self {
            now: Instant::now(),
            models: vec![BTreeSet::new(); targets],
            orders: ids.iter().map(|id| Orders::new(*id, SECOND)).collect(),
            report_history: vec![Vec::new(); targets],
            delays: delays.to_vec(),
            ever_loaded: BTreeSet::new(),
            unloads: 0,
            placements: vec![Vec::new(); targets],
            config,
        };
        let config = fleet.config.clone();
        fleet.place(&config);
        fleet
    }

    /// Publishes a configuration whose targets keep the indices of the first configuration.
    fn place(&mut self, next: &Config) {
        let mut config = self.config.clone();
        let pool = config.pools.keys().next().expect("there is a pool");
        let names = &self.config.names.targets;
        let index = |target: &TargetId| names.by_name(next.names.targets.name(*target).as_str());
        let targets = next.pools[pool].as_ref().expect("a pool").targets.iter();
        let targets = targets.filter_map(index).collect();
        config.pools[pool].as_mut().expect("a pool").targets = targets;
        config.models = next.models.clone();
        for (target, delay) in self.delays.iter().enumerate() {
            let due = self.now + SECOND * 3 * *delay as u32;
            self.placements[target].push((due, Placement::new(&config, |_| false)));
        }
    }

    /// Lets one agent act while it sees delayed reports of the other engines.
    fn step(&mut self, target: usize, draw: u8) {
        self.now += SECOND;
        // A configuration reaches each agent after a different delay.
        let now = self.now;
        let due = self.placements[target]
            .iter()
            .rev()
            .find(|(at, _)| *at <= now);
        if let Some((_, placement)) = due {
            self.orders[target].set_placement(now, placement.clone());
        }
        let models = self.models[target].clone();
        self.report_history[target].push(models.clone());
        self.orders[target].record_report(self.now, models);
        for other in 0..self.orders.len() {
            let delay = self.delays[other];
            let Some(delayed) = self.report_history[other].iter().rev().nth(delay).cloned() else {
                continue;
            };
            // A delayed report is recorded with its true age.
            let at = self.now - SECOND * delay as u32;
            let from = id(&self.config, other);
            self.orders[target].record_peer_report(at, from, delayed);
        }
        let Some(order) = self.orders[target].next_order(self.now) else {
            return;
        };
        match (order, draw) {
            // The engine accepts the order but ignores it, one time in eight.
            (_, 0) => {}
            (Order::Load(model), _) => {
                self.ever_loaded.insert(model.name.to_string());
                self.models[target].insert(model);
            }
            (Order::Unload(model), _) => {
                self.unloads += 1;
                self.models[target].remove(&model);
            }
        }
        self.orders[target].order_ended(OrderEnd::Accepted);
    }

    /// Whether some engine holds any version of each model that was ever loaded.
    fn all_warm(&self) -> bool {
        let warm: BTreeSet<_> = self
            .models
            .iter()
            .flatten()
            .map(|m| m.name.to_string())
            .collect();
        self.ever_loaded.is_subset(&warm)
    }
}

fn id(config: &Config, i: usize) -> TargetId {
    config
        .names
        .targets
        .by_name(&format!("t{i}"))
        .expect("known")
}

fn version(name: &str) -> ModelVersion {
    ModelVersion {
        name: name.into(),
        version: "1".into(),
    }
}

#[test]
fn loads_are_spaced_and_retried() {
    let config = config(&[0], 3, "1");
    let mut orders = Orders::new(id(&config, 0), 5 * SECOND);
    let start = Instant::now();
    orders.set_placement(start, Placement::new(&config, |_| false));
    let mut log = String::new();
    let mut held = BTreeSet::new();
    for second in 0..60 {
        let now = start + SECOND * second;
        orders.record_report(now, held.clone());
        while let Some(order) = orders.next_order(now) {
            log += &format!("{second} s: {order}\n");
            orders.order_ended(OrderEnd::Accepted);
            match order {
                // The engine accepts the first load of m1 but ignores it.
                Order::Load(model) if model == version("m1") && second < 30 => {}
                Order::Load(model) => drop(held.insert(model)),
                Order::Unload(model) => drop(held.remove(&model)),
            }
        }
    }
    insta::assert_snapshot!(log);
    // Nothing is ordered without a fresh report or after a fenced order.
    let mut unreported = Orders::new(id(&config, 0), SECOND);
    unreported.set_placement(start, Placement::new(&config, |_| false));
    assert_eq!(unreported.next_order(start), None);
    unreported.record_report(start, BTreeSet::new());
    assert_eq!(unreported.next_order(start + MAX_REPORT_AGE), None);
    assert!(unreported.next_order(start).is_some());
    unreported.order_ended(OrderEnd::Fenced);
    assert_eq!(unreported.next_order(start), None);
    assert!(unreported.is_fenced());
}

#[test]
fn permits_require_a_held_target_a_current_incarnation_and_no_pause() {
    let mut now = Instant::now();
    let mut fence = Fence::new(Incarnation(1_800_000_000_000_000));
    assert_eq!(fence.permit(now).err(), Some(PermitError::Paused));
    assert_eq!(fence.permit(now).err(), Some(PermitError::NotHeld));
    fence.set_held(now, true);
    let first = fence.permit(now).expect("held").into_number(now);
    let second = fence.permit(now).expect("held").into_number(now);
    assert!(first < second);
    assert_eq!(
        fence
            .permit(now)
            .expect("held")
            .into_number(now + PERMIT_LIFETIME),
        None
    );
    now += MAX_TICK_GAP + SECOND;
    assert_eq!(fence.permit(now).err(), Some(PermitError::Paused));
    assert_eq!(fence.permit(now).err(), Some(PermitError::NotHeld));
    fence.set_held(now, true);
    fence.supersede();
    assert_eq!(fence.permit(now).err(), Some(PermitError::Superseded));
    let mut later = Fence::new(Incarnation(1_800_000_000_000_001));
    later.set_held(now, true);
    assert!(second < later.permit(now).expect("held").into_number(now));
    let used = std::iter::from_fn(|| later.permit(now).ok()).count();
    assert_eq!(
        (used, later.permit(now).err()),
        (4094, Some(PermitError::Exhausted))
    );
}
