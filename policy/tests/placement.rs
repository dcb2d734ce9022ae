//! Placement of models, fencing and the orders to engines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use entity::{Directory, Incarnation, Name, Revision, RuleRef, TargetId};
use knapweed_policy::fence::{Denied, Fence, MAX_GAP, PERMIT_LIFE};
use knapweed_policy::order::{Order, OrderEnd, Orders, REPORT_AGE};
use knapweed_policy::placement::{ModelVersion, Placement};
use proptest::prelude::*;
use rules::{Config, Model, Pool, PoolKind, Window};

const SECOND: Duration = Duration::from_secs(1);

/// A pool of `targets` targets with models of two replicas each, all of `version`.
fn config(targets: &[usize], models: usize, version: &str) -> Config {
    replicated(targets, models, version, 2)
}

fn replicated(targets: &[usize], models: usize, version: &str, replicas: u32) -> Config {
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
    fn a_target_that_goes_moves_only_its_own_models(
        n in 3usize..12,
        gone in 0usize..12,
        models in 1usize..8,
        seed in any::<u64>(),
    ) {
        let gone = gone % n;
        let all: Vec<_> = (0..n).collect();
        let mut turned = all.clone();
        turned.rotate_left(seed as usize % n);
        let before = holders(&config(&all, models, "1"), &[]);
        prop_assert_eq!(&before, &holders(&config(&turned, models, "1"), &[]));
        let rest: Vec<_> = all.iter().copied().filter(|i| *i != gone).collect();
        let after = holders(&config(&rest, models, "1"), &[]);
        prop_assert_eq!(&after, &holders(&config(&all, models, "1"), &[gone]));
        for (model, before) in &before {
            let moved = before.difference(&after[model]).count();
            prop_assert_eq!(moved, usize::from(before.contains(&format!("t{gone}"))));
        }
    }

    /// Engines drop orders; agents see each other's reports and the rules late.
    #[test]
    fn the_last_warm_target_keeps_a_model(
        steps in proptest::collection::vec((0usize..4, 0u8..8), 600),
        delays in proptest::collection::vec(0usize..6, 4),
        replicas in 1u32..=2,
    ) {
        let mut fleet = Engines::new(4, 3, &delays);
        for (i, (target, chance)) in steps.into_iter().enumerate() {
            if i % 90 == 40 {
                // The whole pool is replaced each time, and later the version too.
                let version = if i > 300 { "2" } else { "1" };
                let first = i / 90 * 2;
                let pool = [first % 4, (first + 1) % 4];
                fleet.place(&replicated(&pool, 3, version, replicas));
            }
            fleet.step(target, chance);
            prop_assert!(fleet.all_warm(), "a model is cold everywhere");
        }
        prop_assert!(fleet.unloads > 0, "nothing was unloaded");
    }
}

/// Engines that hold models, and their agents.
struct Engines {
    now: Instant,
    config: Config,
    models: Vec<BTreeSet<ModelVersion>>,
    orders: Vec<Orders>,
    seen: Vec<Vec<BTreeSet<ModelVersion>>>,
    delays: Vec<usize>,
    started: BTreeSet<String>,
    unloads: usize,
    placements: Vec<Vec<(Instant, Placement)>>,
}

impl Engines {
    fn new(targets: usize, models: usize, delays: &[usize]) -> Self {
        let all: Vec<_> = (0..targets).collect();
        let config = config(&all, models, "1");
        let ids: Vec<_> = (0..targets).map(|i| id(&config, i)).collect();
        let mut fleet = Self {
            now: Instant::now(),
            models: vec![BTreeSet::new(); targets],
            orders: ids.iter().map(|id| Orders::new(*id, SECOND)).collect(),
            seen: vec![Vec::new(); targets],
            delays: delays.to_vec(),
            started: BTreeSet::new(),
            unloads: 0,
            placements: vec![Vec::new(); targets],
            config,
        };
        let config = fleet.config.clone();
        fleet.place(&config);
        fleet
    }

    /// Puts a configuration in force; its targets keep the indices of the first one.
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

    /// One agent acts; others see an older state of its engine.
    fn step(&mut self, target: usize, chance: u8) {
        self.now += SECOND;
        // A configuration reaches the agents one after the other.
        let now = self.now;
        let due = self.placements[target]
            .iter()
            .rev()
            .find(|(at, _)| *at <= now);
        if let Some((_, placement)) = due {
            self.orders[target].place(now, placement.clone());
        }
        let models = self.models[target].clone();
        self.seen[target].push(models.clone());
        self.orders[target].reported(self.now, models);
        for other in 0..self.orders.len() {
            let delay = self.delays[other];
            let Some(late) = self.seen[other].iter().rev().nth(delay).cloned() else {
                continue;
            };
            // A late report is honest about its age.
            let at = self.now - SECOND * delay as u32;
            let from = id(&self.config, other);
            self.orders[target].heard(at, from, late);
        }
        let Some(order) = self.orders[target].next(self.now) else {
            return;
        };
        match (order, chance) {
            // The engine drops every eighth order, though it says that it took it.
            (_, 0) => {}
            (Order::Load(model), _) => {
                self.started.insert(model.name.to_string());
                self.models[target].insert(model);
            }
            (Order::Unload(model), _) => {
                self.unloads += 1;
                self.models[target].remove(&model);
            }
        }
        self.orders[target].ended(OrderEnd::Accepted);
    }

    /// Whether each model that was loaded once is loaded somewhere, in whatever version.
    fn all_warm(&self) -> bool {
        let warm: BTreeSet<_> = self
            .models
            .iter()
            .flatten()
            .map(|m| m.name.to_string())
            .collect();
        self.started.is_subset(&warm)
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
fn loads_keep_their_distance_and_are_given_again() {
    let config = config(&[0], 3, "1");
    let mut orders = Orders::new(id(&config, 0), 5 * SECOND);
    let start = Instant::now();
    orders.place(start, Placement::new(&config, |_| false));
    let mut log = String::new();
    let mut held = BTreeSet::new();
    for second in 0..60 {
        let now = start + SECOND * second;
        orders.reported(now, held.clone());
        while let Some(order) = orders.next(now) {
            log += &format!("{second} s: {order}\n");
            orders.ended(OrderEnd::Accepted);
            match order {
                // The engine says yes to the first load of m1 and does nothing.
                Order::Load(model) if model == version("m1") && second < 30 => {}
                Order::Load(model) => drop(held.insert(model)),
                Order::Unload(model) => drop(held.remove(&model)),
            }
        }
    }
    insta::assert_snapshot!(log);
    // Without a fresh report, or once fenced, nothing is ordered.
    let mut silent = Orders::new(id(&config, 0), SECOND);
    silent.place(start, Placement::new(&config, |_| false));
    assert_eq!(silent.next(start), None);
    silent.reported(start, BTreeSet::new());
    assert_eq!(silent.next(start + REPORT_AGE), None);
    assert!(silent.next(start).is_some());
    silent.ended(OrderEnd::Fenced);
    assert_eq!(silent.next(start), None);
    assert!(silent.is_fenced());
}

#[test]
fn permits_need_hold_life_and_no_pause() {
    let mut now = Instant::now();
    let mut fence = Fence::new(Incarnation(1_800_000_000_000_000));
    assert_eq!(fence.permit(now).err(), Some(Denied::Paused));
    assert_eq!(fence.permit(now).err(), Some(Denied::NotHeld));
    fence.hold(now, true);
    let first = fence.permit(now).expect("held").redeem(now);
    let second = fence.permit(now).expect("held").redeem(now);
    assert!(first < second);
    assert_eq!(
        fence.permit(now).expect("held").redeem(now + PERMIT_LIFE),
        None
    );
    now += MAX_GAP + SECOND;
    assert_eq!(fence.permit(now).err(), Some(Denied::Paused));
    assert_eq!(fence.permit(now).err(), Some(Denied::NotHeld));
    fence.hold(now, true);
    fence.supersede();
    assert_eq!(fence.permit(now).err(), Some(Denied::Superseded));
    let mut later = Fence::new(Incarnation(1_800_000_000_000_001));
    later.hold(now, true);
    assert!(second < later.permit(now).expect("held").redeem(now));
    let used = std::iter::from_fn(|| later.permit(now).ok()).count();
    assert_eq!(
        (used, later.permit(now).err()),
        (4094, Some(Denied::Exhausted))
    );
}
