//! Indexes engines by the models on them, to find the engines of an adapter without a scan of all
//! engines.

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;

use crate::ids::{BackendKey, ModelName, name_hash};

use super::engine::{Engine, ModelState};

/// The engines on which each model was loaded, loading or unloading when the index was built.
///
/// Names are indexed by their hashes, so each result is checked against the engine itself.
#[derive(Debug, Default)]
pub(super) struct ModelIndex {
    engines: HashMap<u64, SmallVec<[BackendKey; 2]>>,
    is_up_to_date: bool,
}

impl ModelIndex {
    /// Marks the index as outdated because the models on engines have changed.
    pub(super) fn invalidate(&mut self) {
        self.is_up_to_date = false;
    }

    /// Rebuilds the index if it is outdated.
    pub(super) fn refresh(&mut self, engines: &BTreeMap<BackendKey, Engine>) {
        if std::mem::replace(&mut self.is_up_to_date, true) {
            return;
        }
        self.engines.clear();
        for (key, engine) in engines {
            for model in engine.models.keys() {
                self.engines.entry(name_hash(model)).or_default().push(*key);
            }
        }
    }

    /// Returns the engines on which the model is loaded, loading or unloading, in the order of
    /// their keys.
    pub(super) fn engines_with<'a>(
        &'a self,
        engines: &'a BTreeMap<BackendKey, Engine>,
        model: &'a str,
    ) -> impl Iterator<Item = (BackendKey, &'a Engine, &'a ModelState)> {
        let keys = self.engines.get(&name_hash(model)).into_iter().flatten();
        keys.filter_map(move |key| {
            let engine = engines.get(key)?;
            Some((*key, engine, engine.models.get(model)?))
        })
    }
}

/// Number of entry processes that report each model of each engine as in use.
#[derive(Debug, Default)]
pub(super) struct ReportedUse {
    users: HashMap<BackendKey, HashMap<ModelName, u32>>,
}

impl ReportedUse {
    pub(super) fn add(&mut self, engine: BackendKey, model: &ModelName) {
        *self.users.entry(engine).or_default().entry(model.clone()).or_default() += 1;
    }

    pub(super) fn remove(&mut self, engine: BackendKey, model: &str) {
        let Some(models) = self.users.get_mut(&engine) else { return };
        let Some(users) = models.get_mut(model) else { return };
        *users = users.saturating_sub(1);
        if *users == 0 {
            models.remove(model);
        }
        if models.is_empty() {
            self.users.remove(&engine);
        }
    }

    pub(super) fn is_used(&self, engine: BackendKey, model: &str) -> bool {
        self.users.get(&engine).is_some_and(|models| models.contains_key(model))
    }
}

/// Number of engines that have each unloaded adapter in their own memory, by the hash of its name.
///
/// Engines that have left still count until [`UnloadedAdapters::rebuild`], so the index may name an
/// adapter that no engine has any more.
#[derive(Debug, Default)]
pub(super) struct UnloadedAdapters {
    counts: HashMap<u64, u32>,
}

impl UnloadedAdapters {
    pub(super) fn add(&mut self, model: &str) {
        *self.counts.entry(name_hash(model)).or_default() += 1;
    }

    pub(super) fn remove(&mut self, model: &str) {
        let hash = name_hash(model);
        if let Some(count) = self.counts.get_mut(&hash) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&hash);
            }
        }
    }

    /// Returns whether an engine may have the adapter in its own memory.
    pub(super) fn contains(&self, model: &str) -> bool {
        self.counts.contains_key(&name_hash(model))
    }

    /// Counts the adapters of the given engines anew.
    pub(super) fn rebuild<'a>(&mut self, engines: impl Iterator<Item = &'a Engine>) {
        self.counts.clear();
        for engine in engines {
            for model in engine.unloaded_adapters() {
                *self.counts.entry(name_hash(model)).or_default() += 1;
            }
        }
    }
}
