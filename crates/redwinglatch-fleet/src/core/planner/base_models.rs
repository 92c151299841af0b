//! Loads base models on engines without one, such as engines that have restarted after a crash.

use std::collections::HashMap;

use crate::{OrderKind, ids::ModelName};

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
    fn max_concurrent_loads(&self) -> usize {
        (self.loads_per_s * CONCURRENT_LOADS_PER_RATE).ceil() as usize
    }
}

impl Planner {
    /// Orders at most one load: loads that keep their interval stay within the store's rate limit
    /// in every time window.
    pub(super) fn load_base_models(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        if now_ms < self.next_base_load_ms {
            return;
        }
        let next_load = self.services.iter().find_map(|(name, service)| {
            let engine = self.engines.values().find(|engine| {
                *engine.backend.service == **name
                    && engine.is_empty()
                    && engine.is_available()
                    && engine.can_take_order(now_ms)
            })?;
            let model = self.most_requested_model(name, &service.base_models)?;
            Some((service.base_models.interval_ms(), engine, model))
        });
        let Some((interval_ms, engine, model)) = next_load else { return };
        let order = engine.new_order(OrderKind::Load, model);
        log::info!(
            "coordinator: engine {} has no model loaded; loading {}",
            engine.backend.id,
            order.model,
        );
        self.next_base_load_ms = now_ms + interval_ms;
        self.push_order(now_ms, orders, order);
    }

    /// Returns the model with the most requests for each engine on which it is loaded or loading;
    /// `None` while the maximum number of concurrent loads is in flight.
    fn most_requested_model(&self, service: &str, base_models: &BaseModels) -> Option<ModelName> {
        let mut loading = 0;
        let mut engine_counts: HashMap<&str, u32> = HashMap::new();
        for engine in self.engines.values().filter(|engine| *engine.backend.service == *service) {
            for (model, model_state) in &engine.models {
                if !model.contains('/') {
                    loading += usize::from(model_state.phase == ModelPhase::Loading);
                    *engine_counts.entry(model).or_default() += 1;
                }
            }
        }
        if loading >= base_models.max_concurrent_loads() {
            return None;
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
        base_models
            .names
            .iter()
            .max_by(|left, right| demand(left).total_cmp(&demand(right)))
            .cloned()
    }
}
