//! Loads base models on engines that hold none, such as engines that have crashed and started again.

use std::collections::HashMap;

use crate::{OrderKind, ids::ModelName};

use super::{PlannedOrder, Planner, engine::Phase};

/// How many base models are loaded at a time for each load per second that the weight store allows.
/// More loads at a time take longer in proportion.
const AT_A_TIME_PER_RATE: f64 = 0.33;

/// The base models that the engines of a service serve, and how fast they may be loaded.
#[derive(Debug, Clone, PartialEq, Default)]
pub(in crate::core) struct BaseModels {
    /// Those that fit into an engine's memory.
    pub(in crate::core) names: Vec<ModelName>,
    /// Loads per second that the weight store allows for all engines together.
    pub(in crate::core) loads_per_s: f64,
}

impl BaseModels {
    fn interval_ms(&self) -> u64 {
        (1_000.0 / self.loads_per_s).ceil() as u64
    }

    /// 0 if the store allows no loads.
    fn most_at_a_time(&self) -> usize {
        (self.loads_per_s * AT_A_TIME_PER_RATE).ceil() as usize
    }
}

impl Planner {
    /// Orders at most one load: a store's limit holds in every window if loads keep their interval.
    pub(super) fn load_base_models(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        if now_ms < self.next_base_load_ms {
            return;
        }
        let needy = self.services.iter().find_map(|(name, service)| {
            let engine = self.engines.values().find(|engine| {
                *engine.backend.service == **name
                    && engine.is_empty()
                    && engine.takes_work()
                    && engine.can_take_order(now_ms)
            })?;
            let model = self.neediest_model(name, &service.base)?;
            Some((service.base.interval_ms(), engine, model))
        });
        let Some((interval_ms, engine, model)) = needy else { return };
        let order = engine.order(OrderKind::Load, model);
        log::info!(
            "coordinator: engine {} holds no model and loads {}",
            engine.backend.id,
            order.model,
        );
        self.next_base_load_ms = now_ms + interval_ms;
        self.give(now_ms, orders, order);
    }

    /// The model with the most requests for each engine that holds or loads it; `None` while as many
    /// models are loaded as the store serves.
    fn neediest_model(&self, service: &str, base: &BaseModels) -> Option<ModelName> {
        let mut coming = 0;
        let mut engines: HashMap<&str, u32> = HashMap::new();
        for engine in self.engines.values().filter(|engine| *engine.backend.service == *service) {
            for (model, holding) in &engine.holdings {
                if !model.contains('/') {
                    coming += usize::from(holding.phase == Phase::Coming);
                    *engines.entry(model).or_default() += 1;
                }
            }
        }
        if coming >= base.most_at_a_time() {
            return None;
        }
        let mut requests: HashMap<&str, u32> = HashMap::new();
        let waiting = self.waiting.iter().map(|waiting| &waiting.request.model);
        for model in waiting.chain(self.pins.values().map(|pin| &pin.model)) {
            let base = model.split('/').next().unwrap_or(model);
            *requests.entry(base).or_default() += 1;
        }
        let need = |name: &ModelName| {
            let requests = requests.get(&**name).copied().unwrap_or_default();
            let engines = engines.get(&**name).copied().unwrap_or_default();
            f64::from(requests + 1) / f64::from(engines + 1)
        };
        base.names.iter().max_by(|left, right| need(left).total_cmp(&need(right))).cloned()
    }
}
