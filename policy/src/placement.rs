//! Which engines hold which models.
//!
//! Every agent computes the same [`Placement`] from the configuration in force
//! and the targets that take no new work; there is no coordinator.
//!
//! Invariants:
//! - The result depends on the inputs only, never on their order or on who is
//!   reachable.
//! - A target that leaves moves only the models that it held; a target that
//!   joins takes only the models that it now holds.

use std::collections::{BTreeMap, BTreeSet};

use entity::{ModelId, Name, Tag, TargetId};
use rules::Config;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A version of a model.
#[derive(
    Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, derive_more::Display, Serialize, Deserialize,
)]
#[display("{name}@{version}")]
pub struct ModelVersion {
    /// The model's name.
    pub name: Name,
    /// The version.
    pub version: Name,
}

/// The desired models of each target.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Placement {
    models: BTreeMap<TargetId, BTreeSet<ModelVersion>>,
    holders: BTreeMap<ModelVersion, BTreeSet<TargetId>>,
}

impl Placement {
    /// Places every model of `config` on the targets of its pool that stay.
    ///
    /// Targets for which `leaving` holds are chosen only while no others are left.
    pub fn new(config: &Config, leaving: impl Fn(TargetId) -> bool) -> Self {
        let mut placement = Self::default();
        for (id, model) in config.models.iter() {
            let Some(model) = model else { continue };
            let Some(pool) = &config.pools[model.pool] else {
                continue;
            };
            let version = ModelVersion {
                name: config.names.models.name(id).clone(),
                version: model.version.clone(),
            };
            let mut ranked: Vec<_> = pool
                .targets
                .iter()
                .map(|&target| (leaving(target), score(config, id, target), target))
                .collect();
            ranked.sort_unstable();
            let chosen = ranked.into_iter().take(model.replicas as usize);
            for (_, _, target) in chosen {
                placement.add(target, version.clone());
            }
        }
        placement
    }

    /// The models that `target` should hold.
    pub fn models(&self, target: TargetId) -> impl Iterator<Item = &ModelVersion> {
        self.models.get(&target).into_iter().flatten()
    }

    /// The targets that should hold `model`.
    pub fn holders(&self, model: &ModelVersion) -> impl Iterator<Item = TargetId> {
        self.holders.get(model).into_iter().flatten().copied()
    }

    /// The models that are placed.
    pub fn versions(&self) -> impl Iterator<Item = &ModelVersion> {
        self.holders.keys()
    }

    /// Whether nothing is placed.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn add(&mut self, target: TargetId, model: ModelVersion) {
        let models = self.models.entry(target).or_default();
        models.insert(model.clone());
        self.holders.entry(model).or_default().insert(target);
    }
}

/// The rendezvous score of a model at a target; the least scores win.
///
/// The version has no part in it, so a new version goes where the old one is.
fn score(config: &Config, model: ModelId, target: TargetId) -> (u64, Tag) {
    let model = config.names.models.tag(model);
    let target = config.names.targets.tag(target);
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&model.0.to_le_bytes());
    bytes[8..].copy_from_slice(&target.0.to_le_bytes());
    (xxh3_64(&bytes), target)
}
