//! Replaces base models of which a newer version exists.

use crate::{OrderKind, ids::ModelName, message::ModelLocationChange};

use super::{
    PlannedOrder, Planner,
    engine::{BaseUpdate, Engine, ModelPhase},
};

/// Engines of a service for each one of them that may be out of service for a replacement.
const ENGINES_PER_UPDATE: usize = 8;
/// Longest time for which requests in flight delay the order to unload. The engine finishes those that
/// have begun before it carries the order out.
const MAX_DRAIN_MS: u64 = 4_000;

impl Planner {
    /// Replaces outdated base models: an engine gets no more requests, unloads the model once it has
    /// none, and loads the newest version like an engine that starts empty.
    ///
    /// Answers a new version of a base model under load: an engine without its model serves nothing for
    /// seconds and loses its adapters, so the others must go on meanwhile.
    pub(super) fn update_base_models(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        if !self.base_versions.is_empty() {
            let services: Vec<Box<str>> = self.services.keys().cloned().collect();
            for service in services {
                self.start_base_update(now_ms, &service);
            }
        }
        let is_unload_due = |engine: &&Engine| {
            let Some(update) = &engine.base_update else { return false };
            let is_loaded = engine
                .models
                .get(&update.model)
                .is_some_and(|model_state| model_state.phase == ModelPhase::Loaded);
            let has_waited = update.since_ms + MAX_DRAIN_MS <= now_ms;
            is_loaded && engine.can_take_order(now_ms) && (has_waited || !self.has_requests(engine))
        };
        let due: Vec<PlannedOrder> = self
            .engines
            .values()
            .filter(is_unload_due)
            .filter_map(|engine| {
                let update = engine.base_update.as_ref()?;
                Some(engine.new_order(OrderKind::Unload, update.model.clone()))
            })
            .collect();
        for order in due {
            self.push_order(now_ms, orders, order);
        }
    }

    /// Takes the least busy engine with an outdated base model out of service, unless too many engines
    /// of the service have no model already.
    fn start_base_update(&mut self, now_ms: u64, service: &str) {
        let engines = || {
            self.engines
                .iter()
                .filter(|(_, engine)| *engine.backend.service == *service && !engine.is_leaving())
        };
        let is_out = |engine: &Engine| !engine.is_available() || engine.base_models.is_empty();
        let out = engines().filter(|(_, engine)| is_out(engine)).count();
        let max_loads = self
            .services
            .get(service)
            .map_or(0, |service| service.base_models.max_concurrent_loads());
        let max_out = (engines().count() / ENGINES_PER_UPDATE).min(max_loads).max(1);
        if out >= max_out {
            return;
        }
        let outdated =
            engines().filter(|(_, engine)| !is_out(engine)).filter_map(|(key, engine)| {
                let (model, newest) = self.outdated_base_model(engine)?;
                let can_load = max_loads > 0 || engine.local_copies.contains(&model);
                can_load.then_some((engine.placed_requests, *key, model, newest))
            });
        let Some((_, key, model, newest)) = outdated.min() else { return };
        let Some(engine) = self.engines.get_mut(&key) else { return };
        log::info!(
            "coordinator: engine {} gets no more requests; {model} is replaced by version {newest}",
            engine.backend.id
        );
        for (name, model_state) in &engine.models {
            if model_state.phase == ModelPhase::Loaded {
                let model = name.clone();
                self.changes.push(ModelLocationChange::Removed { engine: key, model });
            }
        }
        engine.updated_versions.insert(model.clone(), newest);
        engine.base_update = Some(BaseUpdate { model, since_ms: now_ms });
    }

    /// Returns a base model of the engine of which there is a newer version, with that version.
    fn outdated_base_model(&self, engine: &Engine) -> Option<(ModelName, u64)> {
        self.base_versions.iter().find_map(|(model, newest)| {
            let model_state = engine.models.get(model)?;
            let is_outdated = model_state.phase == ModelPhase::Loaded
                && (1..*newest).contains(&model_state.version)
                && engine.updated_versions.get(model).is_none_or(|updated| updated < newest);
            is_outdated.then(|| (model.clone(), *newest))
        })
    }

    /// Returns whether requests are in flight at the engine, by the placements of this coordinator or the
    /// reports of entry processes.
    fn has_requests(&self, engine: &Engine) -> bool {
        let key = engine.backend.key;
        engine.placed_requests > 0
            || self.entries.values().any(|entry| entry.in_flight.get(&key).is_some_and(|n| *n > 0))
    }
}
