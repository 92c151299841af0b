//! The memory of engines that models and adapters share.

use std::collections::{BTreeMap, HashSet};

use redwinglatch_routing::EngineSpec;

use crate::ids::{ModelName, is_adapter};

/// The sizes of a base model and of each of its adapters.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ModelSize {
    weights_mb: f64,
    adapter_mb: f64,
}

/// The memory of each engine of a service for models and adapters, and the sizes of these.
///
/// Answers engines whose memory is used up before their adapter slots: an engine that is ordered to load more than it
/// can hold crashes, with all requests on it.
#[derive(Debug, Clone, PartialEq)]
pub(in crate::core) struct EngineMemory {
    weights_mb: f64,
    sizes: BTreeMap<ModelName, ModelSize>,
}

/// Memory without a limit.
impl Default for EngineMemory {
    fn default() -> EngineMemory {
        EngineMemory { weights_mb: f64::INFINITY, sizes: BTreeMap::new() }
    }
}

impl EngineMemory {
    pub(in crate::core) fn new(engine: &EngineSpec) -> EngineMemory {
        let sizes = engine.models.iter().map(|model| {
            let size = ModelSize {
                weights_mb: model.weights_mb.max(0.0),
                adapter_mb: model.adapter_mb.max(0.0),
            };
            (model.name.clone(), size)
        });
        EngineMemory { weights_mb: engine.weights_mb, sizes: sizes.collect() }
    }

    /// Keeps the sizes of models that are still loaded, although the present configuration doesn't name them.
    pub(super) fn keep_sizes(&mut self, former: &EngineMemory, loaded: &HashSet<&str>) {
        for (model, size) in &former.sizes {
            if loaded.contains(&**model) {
                self.sizes.entry(model.clone()).or_insert(*size);
            }
        }
    }

    /// Returns what a model or adapter occupies; one of unknown size counts as larger than any memory.
    fn size_mb(&self, model: &str) -> f64 {
        let base = model.split('/').next().unwrap_or(model);
        let size = self.sizes.get(base);
        let size_mb =
            size.map(|size| if is_adapter(model) { size.adapter_mb } else { size.weights_mb });
        size_mb.unwrap_or(f64::INFINITY)
    }

    /// Returns whether a model, or an adapter with its base model, is known to be larger than the memory.
    pub(super) fn is_too_large(&self, model: &str) -> bool {
        let base = model.split('/').next().unwrap_or(model);
        self.sizes.get(base).is_some_and(|size| {
            let adapter_mb = if is_adapter(model) { size.adapter_mb } else { 0.0 };
            size.weights_mb + adapter_mb > self.weights_mb
        })
    }

    /// Returns whether these models and adapters together fit into the memory.
    pub(super) fn holds<'a>(&self, models: impl IntoIterator<Item = &'a str>) -> bool {
        let used_mb: f64 = models.into_iter().map(|model| self.size_mb(model)).sum();
        used_mb <= self.weights_mb
    }
}
