//! Finds the engines of an adapter without a look at all engines.

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;

use crate::ids::{BackendKey, ModelName, name_hash};

use super::engine::{Engine, Holding};

/// The engines that held, loaded or dropped each adapter when the index was built.
///
/// Names are indexed by their hashes, so what is found is checked against the engine itself.
#[derive(Debug, Default)]
pub(super) struct Holders {
    engines: HashMap<u64, SmallVec<[BackendKey; 2]>>,
    is_current: bool,
}

impl Holders {
    /// Holdings have come or gone.
    pub(super) fn invalidate(&mut self) {
        self.is_current = false;
    }

    /// Builds the index again if holdings have come or gone.
    pub(super) fn refresh(&mut self, engines: &BTreeMap<BackendKey, Engine>) {
        if std::mem::replace(&mut self.is_current, true) {
            return;
        }
        self.engines.clear();
        for (key, engine) in engines {
            for model in engine.holdings.keys() {
                self.engines.entry(name_hash(model)).or_default().push(*key);
            }
        }
    }

    /// The engines that hold, load or drop the adapter, in the order of their keys.
    pub(super) fn of<'a>(
        &'a self,
        engines: &'a BTreeMap<BackendKey, Engine>,
        model: &'a str,
    ) -> impl Iterator<Item = (BackendKey, &'a Engine, &'a Holding)> {
        let keys = self.engines.get(&name_hash(model)).into_iter().flatten();
        keys.filter_map(move |key| {
            let engine = engines.get(key)?;
            Some((*key, engine, engine.holdings.get(model)?))
        })
    }
}

/// How many entry processes have reported that they use an adapter of an engine.
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
