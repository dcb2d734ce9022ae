//! Placement of models on targets.
//!
//! Every agent computes the same [`Placement`] from the configuration in force
//! and the targets that take no new work; there is no coordinator.
//!
//! Invariants:
//! - The result depends only on the inputs, not on their order or on which
//!   processes are reachable.
//! - When a target leaves, only the models placed on it move. When a target
//!   joins, only the models that are now placed on it move.

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
    /// Places every model of `config` on targets of its pool by rendezvous hashing.
    ///
    /// Targets for which `is_leaving` returns true are chosen only if there are too few others.
    pub fn new(config: &Config, is_leaving: impl Fn(TargetId) -> bool) -> Self {
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
                .map(|&target| {
                    (
                        is_leaving(target),
                        rendezvous_score(config, id, target),
                        target,
                    )
                })
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

    /// The model versions that are placed on any target.
    pub fn versions(&self) -> impl Iterator<Item = &ModelVersion> {
        self.holders.keys()
    }

    /// Whether no model is placed.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn add(&mut self, target: TargetId, model: ModelVersion) {
        let models = self.models.entry(target).or_default();
        models.insert(model.clone());
        self.holders.entry(model).or_default().insert(target);
    }
}

/// The rendezvous score of a model on a target; the lowest scores win.
///
/// The version is not hashed, so a new version is placed on the targets of the old one.
fn rendezvous_score(config: &Config, model: ModelId, target: TargetId) -> (u64, Tag) {
    let model = config.names.models.tag(model);
    let target = config.names.targets.tag(target);
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&model.0.to_le_bytes());
    bytes[8..].copy_from_slice(&target.0.to_le_bytes());
    (xxh3_64(&bytes), target)
}
