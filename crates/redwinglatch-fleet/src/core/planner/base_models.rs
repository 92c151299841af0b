//! Loads base models on engines without one, such as engines that have restarted after a crash.

use std::collections::HashMap;

use crate::{
    OrderKind,
    ids::{ModelName, is_adapter},
};

use super::{PlannedOrder, Planner, engine::ModelPhase};

/// Concurrent loads of base models for each load per second that the weight store allows. A higher
/// number makes each load take longer in proportion.
const CONCURRENT_LOADS_PER_RATE: f64 = 0.33;

/// The base models of a service's engines, and the rate at which they may be loaded.
#[derive(Debug, Clone, PartialEq, Default)]
pub(in crate::core) struct BaseModels {
    /// The models that fit into an engine's memory.
    pub(in crate::core) names: Vec<ModelName>,
    /// Loads per second that the weight store allows for all engines together.
    pub(in crate::core) loads_per_s: f64,
}

impl BaseModels {
    fn interval_ms(&self) -> u64 {
        (1_000.0 / self.loads_per_s).ceil() as u64
    }

    /// Returns 0 if the store allows no loads.
    pub(super) fn max_concurrent_loads(&self) -> usize {
        (self.loads_per_s * CONCURRENT_LOADS_PER_RATE).ceil() as usize
    }
}

impl Planner {
    /// Orders base models for engines without one.
    ///
    /// Answers the return of many engines after a crash: those that still have a copy of their own
    /// load it at once, because that doesn't use the weight store. Of the other loads at most one is
    /// ordered at a time; loads that keep their interval stay within the store's rate limit in every
    /// time window.
    pub(super) fn load_base_models(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        let mut loads: Vec<PlannedOrder> = Vec::new();
        let mut next_base_load_ms = self.next_base_load_ms;
        for engine in self.engines.values() {
            let is_idle =
                engine.is_empty() && engine.is_available() && engine.can_take_order(now_ms);
            let Some(service) = self.services.get(&engine.backend.service) else { continue };
            if !is_idle {
                continue;
            }
            let models = &service.base_models;
            let name = &engine.backend.service;
            let is_copied = |model: &&ModelName| engine.local_copies.contains(model);
            let copied = self.most_requested_model(name, models.names.iter().filter(is_copied));
            let model = match copied {
                Some(model) => model,
                None if next_base_load_ms <= now_ms
                    && self.base_loads_in_flight(name) < models.max_concurrent_loads() =>
                {
                    let Some(model) = self.most_requested_model(name, models.names.iter()) else {
                        continue;
                    };
                    next_base_load_ms = now_ms.saturating_add(models.interval_ms());
                    model
                }
                None => continue,
            };
            log::info!(
                "coordinator: engine {} has no model loaded; loading {model}, own copy={}",
                engine.backend.id,
                engine.local_copies.contains(&model),
            );
            loads.push(engine.new_order(OrderKind::Load, model));
        }
        self.next_base_load_ms = next_base_load_ms;
        for order in loads {
            self.push_order(now_ms, orders, order);
        }
    }

    /// Returns the base models that the engines of a service are loading.
    fn base_loads_in_flight(&self, service: &str) -> usize {
        let engines = self.engines.values().filter(|engine| *engine.backend.service == *service);
        engines
            .flat_map(|engine| &engine.models)
            .filter(|(model, model_state)| {
                !is_adapter(model) && model_state.phase == ModelPhase::Loading
            })
            .count()
    }

    /// Returns the model with the most requests for each engine on which it is loaded or loading.
    fn most_requested_model<'a>(
        &self,
        service: &str,
        models: impl Iterator<Item = &'a ModelName>,
    ) -> Option<ModelName> {
        let mut models = models.peekable();
        models.peek()?;
        let mut engine_counts: HashMap<&str, u32> = HashMap::new();
        for engine in self.engines.values().filter(|engine| *engine.backend.service == *service) {
            for model in engine.models.keys().filter(|model| !is_adapter(model)) {
                *engine_counts.entry(model).or_default() += 1;
            }
        }
        let mut request_counts: HashMap<&str, u32> = HashMap::new();
        let waiting = self.waiting.iter().map(|waiting| &waiting.request.model);
        for model in waiting.chain(self.pins.values().map(|pin| &pin.model)) {
            let base = model.split('/').next().unwrap_or(model);
            *request_counts.entry(base).or_default() += 1;
        }
        let demand = |name: &ModelName| {
            let requests = request_counts.get(&**name).copied().unwrap_or_default();
            let engines = engine_counts.get(&**name).copied().unwrap_or_default();
            f64::from(requests + 1) / f64::from(engines + 1)
        };
        models.max_by(|left, right| demand(left).total_cmp(&demand(right))).cloned()
    }
}
