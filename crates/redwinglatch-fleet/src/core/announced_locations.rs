//! The model locations that entry processes know.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::{
    ids::{BackendKey, ModelName},
    message::{ModelLocation, ModelLocationChange},
};

/// A model or adapter on an engine.
type Place = (BackendKey, ModelName);

/// What entry processes were told, and the changes that they will be told next.
///
/// Answers a change of the coordinator in a large fleet: a new one reads all engines anew, and told hundreds of
/// processes again what they knew, at a time when its log had to be replicated over the same links. The coordinator
/// therefore tells the other core processes what it tells entry processes, and a new one announces the differences.
/// Changes are kept until they are due; an adapter that comes and goes meanwhile isn't announced.
#[derive(Debug, Default)]
pub(super) struct AnnouncedLocations {
    known: BTreeMap<BackendKey, HashMap<ModelName, u64>>,
    /// What has changed, by its new version; `None` if the model is gone.
    pending: HashMap<Place, Option<u64>>,
    /// The places of the pending changes, the oldest first.
    order: VecDeque<Place>,
}

impl AnnouncedLocations {
    /// Adds a change that must be announced.
    pub(super) fn add(&mut self, change: ModelLocationChange) {
        let (place, version) = match change {
            ModelLocationChange::Added(ModelLocation { engine, model, version }) => {
                ((engine, model), Some(version))
            }
            ModelLocationChange::Removed { engine, model } => ((engine, model), None),
        };
        if self.pending.insert(place.clone(), version).is_none() {
            self.order.push_back(place);
        }
    }

    /// Adds the removal of the models that an engine was known to have and doesn't have.
    pub(super) fn confirm(&mut self, engine: BackendKey, has: impl Fn(&ModelName) -> bool) {
        let known = self.known.get(&engine).into_iter().flatten();
        let gone: Vec<ModelName> =
            known.map(|(model, _)| model).filter(|model| !has(model)).cloned().collect();
        for model in gone {
            self.add(ModelLocationChange::Removed { engine, model });
        }
    }

    /// Returns the oldest changes, which entry processes know from now on, `most` at the most.
    pub(super) fn take_changes(&mut self, most: usize) -> Vec<ModelLocationChange> {
        let mut changes = Vec::new();
        while changes.len() < most
            && let Some(place) = self.order.pop_front()
        {
            let Some(version) = self.pending.remove(&place) else { continue };
            let (engine, model) = place;
            let known = self.known.get(&engine).and_then(|models| models.get(&model)).copied();
            if known == version {
                continue;
            }
            changes.push(match version {
                Some(version) => {
                    ModelLocationChange::Added(ModelLocation { engine, model, version })
                }
                None => ModelLocationChange::Removed { engine, model },
            });
        }
        self.heard(&changes);
        changes
    }

    /// Records changes that entry processes were told.
    pub(super) fn heard(&mut self, changes: &[ModelLocationChange]) {
        for change in changes {
            match change {
                ModelLocationChange::Added(location) => self.know(location),
                ModelLocationChange::Removed { engine, model } => {
                    if let Some(models) = self.known.get_mut(engine) {
                        models.remove(model);
                    }
                }
            }
        }
    }

    /// Records a location that entry processes know.
    pub(super) fn know(&mut self, location: &ModelLocation) {
        let models = self.known.entry(location.engine).or_default();
        models.insert(location.model.clone(), location.version);
    }

    /// Forgets the changes that a former coordinator hasn't announced.
    pub(super) fn forget_pending(&mut self) {
        self.pending.clear();
        self.order.clear();
    }

    /// Forgets engines that are gone; entry processes do so by themselves.
    pub(super) fn retain(&mut self, is_listed: impl Fn(&BackendKey) -> bool) {
        self.known.retain(|engine, _| is_listed(engine));
        self.pending.retain(|(engine, _), _| is_listed(engine));
        self.order.retain(|(engine, _)| is_listed(engine));
    }

    /// Returns all locations that entry processes know.
    pub(super) fn all(&self) -> Vec<ModelLocation> {
        let of_engine = |(engine, models): (&BackendKey, &HashMap<ModelName, u64>)| {
            let engine = *engine;
            let locations = models.iter().map(move |(model, version)| ModelLocation {
                engine,
                model: model.clone(),
                version: *version,
            });
            locations.collect::<Vec<_>>()
        };
        self.known.iter().flat_map(of_engine).collect()
    }
}

#[cfg(test)]
mod tests;
