//! The mapping from names to dense indices.
//!
//! Invariant: entries are never removed, so an index keeps its meaning across
//! revisions of the rules.

use cranelift_entity::{EntityRef, PrimaryMap};
use std::collections::HashMap;

use crate::{DataCentreId, ModelId, Name, PoolId, RouteId, Tag, TargetId, TeamId};

/// Interned names of one kind of entity, in order of first appearance.
#[derive(Clone, Debug)]
pub struct NameTable<K: EntityRef> {
    names: PrimaryMap<K, Name>,
    tags: HashMap<Tag, K>,
}

impl<K: EntityRef> Default for NameTable<K> {
    fn default() -> Self {
        Self {
            names: PrimaryMap::new(),
            tags: HashMap::new(),
        }
    }
}

impl<K: EntityRef> NameTable<K> {
    /// Returns the index of `name`, interning it if it is new.
    pub fn intern(&mut self, name: &Name) -> K {
        let tag = name.tag();
        match self.tags.get(&tag) {
            Some(&id) => {
                debug_assert_eq!(&self.names[id], name, "two names share a tag");
                id
            }
            None => {
                let id = self.names.push(name.clone());
                self.tags.insert(tag, id);
                id
            }
        }
    }

    /// Returns the index of the name with this tag, if the name is known.
    pub fn by_tag(&self, tag: Tag) -> Option<K> {
        self.tags.get(&tag).copied()
    }

    /// Returns the index of `name`, if it is known.
    pub fn by_name(&self, name: &str) -> Option<K> {
        self.by_tag(Name::new(name).tag())
    }

    /// Returns the name of `id`.
    pub fn name(&self, id: K) -> &Name {
        &self.names[id]
    }

    /// Returns the tag of `id`.
    pub fn tag(&self, id: K) -> Tag {
        self.names[id].tag()
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// All names that a process has interned.
#[derive(Clone, Default, Debug)]
pub struct Directory {
    /// Teams.
    pub teams: NameTable<TeamId>,
    /// Pools.
    pub pools: NameTable<PoolId>,
    /// Targets.
    pub targets: NameTable<TargetId>,
    /// Data centres.
    pub centres: NameTable<DataCentreId>,
    /// Routes.
    pub routes: NameTable<RouteId>,
    /// Models.
    pub models: NameTable<ModelId>,
}
