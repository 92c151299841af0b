//! Orders loads and unloads of adapters.

use std::{cmp::Reverse, collections::HashSet};

use crate::{
    OrderKind,
    core::orders::OrderOutcome,
    ids::{BackendKey, ModelName, rendezvous_weight},
    message::{ModelLocation, ModelLocationChange},
};

use super::{
    CACHED_LOAD_MS, CopyStatus, EXTRA_COPY_WAIT_MS, LOAD_CHECK_INTERVAL_MS, LoadStep,
    MAX_LOADS_PER_ENGINE, ORDER_CONFLICT_DELAY_MS, PlannedOrder, Planner, RECENT_USE_MS,
    REFUSED_ORDER_DELAY_MS, REQUEST_COUNT_SLACK, UNLOAD_CHECK_INTERVAL_MS,
    demand::AdapterDemand,
    engine::{Engine, ModelPhase, ModelState, OrderState},
};

/// An engine that could load an adapter.
struct LoadCandidate {
    key: BackendKey,
    /// The engine has left orders unanswered lately.
    is_unresponsive: bool,
    /// The engine has the adapter in its own memory.
    is_cached: bool,
    weight: u64,
    placed_requests: u32,
}

/// Interval between passes over the adapters whose engines are busy.
const COPIES_INTERVAL_MS: u64 = 20;
/// Share of an engine's slots up to which it gets the only copy of an adapter.
const MAX_FIRST_FILL: f64 = 1.0;
/// Share of an engine's slots up to which it gets a further copy of an adapter. A fuller engine could
/// hardly take a request from the others, and a load and a slot would be lost for nothing.
const MAX_COPY_FILL: f64 = 0.7;

/// Returns the adapters whose requests have waited too long for the engines that have them.
fn overloaded_models(
    now_ms: u64,
    demands: &[(AdapterDemand, CopyStatus)],
) -> impl Iterator<Item = &ModelName> {
    let overloaded = demands.iter().filter(move |(demand, status)| match status {
        CopyStatus::Loaded { since_ms } => {
            demand.first_received_ms.max(*since_ms) + EXTRA_COPY_WAIT_MS <= now_ms
        }
        CopyStatus::None | CopyStatus::Loading => false,
    });
    overloaded.map(|(demand, _)| &demand.model)
}

impl Planner {
    /// Applies the outcome of an order.
    pub(in crate::core) fn order_finished(
        &mut self,
        now_ms: u64,
        order: &PlannedOrder,
        outcome: OrderOutcome,
    ) {
        self.model_index.invalidate();
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        engine.order_sent_ms = None;
        if outcome != OrderOutcome::Unknown {
            engine.record_answered_order();
        }
        let Some(model_state) = engine.models.get_mut(&order.model) else { return };
        // The engine counts an order that is sent again only once, and doesn't count a load of an
        // adapter that is already loaded.
        let is_counted = match (outcome, order.kind) {
            (OrderOutcome::Accepted, _) | (OrderOutcome::InEffect, OrderKind::Unload) => {
                model_state.order != OrderState::Accepted
            }
            (OrderOutcome::InEffect, OrderKind::Load) => {
                model_state.order == OrderState::Unanswered
            }
            _ => false,
        };
        match (outcome, order.kind) {
            (OrderOutcome::Accepted, OrderKind::Load) if !order.model.contains('/') => {
                // Only the report shows when a base model is loaded.
                model_state.order = OrderState::Accepted;
                model_state.resend_ms = u64::MAX;
            }
            (OrderOutcome::Accepted, OrderKind::Load) => {
                model_state.order = OrderState::Accepted;
                let age_ms = now_ms.saturating_sub(model_state.since_ms);
                model_state.resend_ms = if age_ms < CACHED_LOAD_MS {
                    model_state.since_ms + CACHED_LOAD_MS
                } else {
                    (model_state.since_ms + self.store.usual_load_ms())
                        .max(now_ms + LOAD_CHECK_INTERVAL_MS)
                };
            }
            (OrderOutcome::InEffect, OrderKind::Load) => {
                if model_state.phase == ModelPhase::Loading
                    && model_state.is_from_store
                    && model_state.is_duration_known
                {
                    self.store.record_load(now_ms.saturating_sub(model_state.since_ms));
                }
                model_state.phase = ModelPhase::Loaded;
                model_state.order = OrderState::Accepted;
                model_state.since_ms = now_ms;
                self.changes.push(ModelLocationChange::Added(ModelLocation {
                    engine: order.engine,
                    model: order.model.clone(),
                    version: model_state.version,
                }));
            }
            (OrderOutcome::Accepted, OrderKind::Unload) => {
                model_state.order = OrderState::Accepted;
                model_state.resend_ms = now_ms + UNLOAD_CHECK_INTERVAL_MS;
            }
            (OrderOutcome::InEffect, OrderKind::Unload) => engine.remove_model(&order.model),
            (OrderOutcome::Unknown, _) => {
                if model_state.order == OrderState::Sent {
                    model_state.order = OrderState::Unanswered;
                }
                model_state.is_duration_known = false;
                // The engine's pause decides when the order is sent again.
                model_state.resend_ms = now_ms;
                engine.record_unanswered_order(now_ms);
                if order.kind == OrderKind::Load {
                    engine.record_uncertain_load(&order.model);
                }
            }
            (OrderOutcome::Conflict, _) => {
                // The engine has accepted orders that this coordinator doesn't know of; its report
                // counts them.
                model_state.is_duration_known = false;
                model_state.resend_ms = now_ms + ORDER_CONFLICT_DELAY_MS;
                engine.orders_paused_until_ms = now_ms + ORDER_CONFLICT_DELAY_MS;
                engine.report_due_ms = engine.report_due_ms.min(now_ms);
            }
            (OrderOutcome::Fenced | OrderOutcome::Refused, kind) => {
                engine.orders_paused_until_ms = now_ms + REFUSED_ORDER_DELAY_MS;
                model_state.resend_ms = now_ms + REFUSED_ORDER_DELAY_MS;
                let may_be_carried_out = model_state.order != OrderState::Sent;
                if kind == OrderKind::Load && !may_be_carried_out {
                    engine.models.remove(&order.model);
                }
            }
        }
        if is_counted {
            engine.record_accepted_order(now_ms, order);
        }
    }

    /// Adds an order to the plan and records it as sent.
    pub(super) fn push_order(
        &mut self,
        now_ms: u64,
        orders: &mut Vec<PlannedOrder>,
        order: PlannedOrder,
    ) {
        self.model_index.invalidate();
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        engine.order_sent_ms = Some(now_ms);
        let phase = match order.kind {
            OrderKind::Load => ModelPhase::Loading,
            OrderKind::Unload => ModelPhase::Unloading,
        };
        let is_base_model = !order.model.contains('/');
        let is_from_store = !is_base_model && !engine.was_recently_unloaded(&order.model);
        let newest = self.versions.get(&order.model).copied().unwrap_or_default().max(1);
        let is_load_certain = engine.is_load_certain(&order.model);
        let is_new = !engine.models.contains_key(&order.model);
        if is_new && is_from_store && order.kind == OrderKind::Load {
            let has_copy =
                self.model_index.engines_with(&self.engines, &order.model).next().is_some();
            self.summary.count_load(&order.model, has_copy);
        }
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        let model_state = engine
            .models
            .entry(order.model.clone())
            .or_insert_with(|| ModelState::new(0, phase, now_ms));
        model_state.resend_ms = u64::MAX;
        if is_new || model_state.phase != phase {
            if model_state.phase == ModelPhase::Loaded {
                let model = order.model.clone();
                self.changes.push(ModelLocationChange::Removed { engine: order.engine, model });
            }
            model_state.phase = phase;
            model_state.order = OrderState::Sent;
            model_state.is_duration_known = is_load_certain;
            model_state.since_ms = now_ms;
            if phase == ModelPhase::Loading {
                model_state.is_from_store = is_from_store;
                model_state.version = newest;
                if is_from_store {
                    self.store.load_started();
                }
            }
        }
        orders.push(order);
    }

    /// Sends orders again whose completion is due to be checked.
    pub(super) fn resend_due_orders(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        for engine in self.engines.values_mut() {
            engine.remove_superseded_loads();
        }
        let due: Vec<PlannedOrder> = self
            .engines
            .values()
            .filter(|engine| engine.can_take_order(now_ms))
            .filter_map(|engine| {
                let (model, model_state) = engine
                    .models
                    .iter()
                    .filter(|(model, model_state)| {
                        // A repeated load order would load the newest version in addition to this
                        // one; a report shows when this one is loaded.
                        let is_old = model_state.phase == ModelPhase::Loading
                            && model_state.version < self.newest_version(model);
                        model_state.phase != ModelPhase::Loaded
                            && model_state.resend_ms <= now_ms
                            && !is_old
                    })
                    .min_by_key(|(_, model_state)| model_state.resend_ms)?;
                let kind = match model_state.phase {
                    ModelPhase::Unloading => OrderKind::Unload,
                    ModelPhase::Loaded | ModelPhase::Loading => OrderKind::Load,
                };
                Some(engine.new_order(kind, model.clone()))
            })
            .collect();
        for order in due {
            self.push_order(now_ms, orders, order);
        }
    }

    /// Unloads older versions that no request uses.
    ///
    /// The newest version is loaded on engines without the old one: next to the old version it
    /// would occupy a second slot for as long as the old one serves requests.
    pub(super) fn unload_old_versions(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        let mut due: Vec<PlannedOrder> = Vec::new();
        for (model, newest) in &self.versions {
            for (key, engine, model_state) in self.model_index.engines_with(&self.engines, model) {
                let is_unused_old = model_state.phase == ModelPhase::Loaded
                    && model_state.version < *newest
                    && model_state.pins == 0
                    && !self.reported_use.is_used(key, model);
                let is_planned = due.iter().any(|order| order.engine == key);
                if is_unused_old && engine.can_take_order(now_ms) && !is_planned {
                    due.push(engine.new_order(OrderKind::Unload, model.clone()));
                }
            }
        }
        for order in due {
            self.push_order(now_ms, orders, order);
        }
    }

    /// Loads the adapters of waiting requests in the order of `demands`, then further copies of
    /// adapters whose engines are busy, then adapters for the return of refused callers.
    pub(super) fn load_for_waiting(
        &mut self,
        now_ms: u64,
        demands: &[(AdapterDemand, CopyStatus)],
        orders: &mut Vec<PlannedOrder>,
    ) {
        self.expected.retain(|_, until_ms| now_ms < *until_ms);
        let requested: HashSet<ModelName> = demands
            .iter()
            .map(|(demand, _)| demand.model.clone())
            .chain(self.expected.keys().cloned())
            .collect();
        // First copies take precedence, because their requests can't be served otherwise.
        let missing = demands.iter().filter(|(_, status)| *status == CopyStatus::None);
        let models: Vec<ModelName> = missing.map(|(demand, _)| demand.model.clone()).collect();
        let is_requested =
            |model: &&ModelName| demands.iter().any(|(demand, _)| demand.model == **model);
        let expected = self.expected.keys().filter(|model| {
            !is_requested(model) && self.copy_status(now_ms, model) == CopyStatus::None
        });
        let expected: Vec<ModelName> = expected.cloned().collect();
        for model in models {
            if let Some(order) = self.next_order_for(now_ms, &model, &requested, MAX_FIRST_FILL) {
                self.push_order(now_ms, orders, order);
            }
        }
        if self.copies_due_ms <= now_ms {
            self.copies_due_ms = now_ms + COPIES_INTERVAL_MS;
            for model in overloaded_models(now_ms, demands) {
                if let Some(order) = self.next_order_for(now_ms, model, &requested, MAX_COPY_FILL) {
                    self.push_order(now_ms, orders, order);
                }
            }
        }
        for model in expected {
            if let Some(order) = self.next_order_for(now_ms, &model, &requested, MAX_FIRST_FILL) {
                self.push_order(now_ms, orders, order);
            }
        }
    }

    /// Returns whether an available engine has the adapter loaded or loading.
    pub(super) fn copy_status(&self, now_ms: u64, model: &str) -> CopyStatus {
        let newest = self.newest_version(model);
        let mut copy_status = CopyStatus::None;
        let locations = self.model_index.engines_with(&self.engines, model);
        for (_, engine, model_state) in locations.filter(|(_, engine, _)| engine.is_available()) {
            match (model_state.phase, &copy_status) {
                _ if model_state.version < newest => {}
                (ModelPhase::Loading, _)
                    if model_state.order != OrderState::Accepted
                        && engine.is_unresponsive_to_orders(now_ms) => {}
                (ModelPhase::Loading, _) => return CopyStatus::Loading,
                (ModelPhase::Loaded, CopyStatus::Loaded { since_ms })
                    if *since_ms > model_state.since_ms => {}
                (ModelPhase::Loaded, _) => {
                    copy_status = CopyStatus::Loaded { since_ms: model_state.since_ms }
                }
                (ModelPhase::Unloading, _) => {}
            }
        }
        copy_status
    }

    /// Returns the next order towards another copy of `model`: a load, or an unload that makes room
    /// for it. Engines whose slots are occupied beyond `max_fill` are not considered.
    ///
    /// An engine that unloaded the adapter recently is preferred, because its load doesn't use the
    /// weight store; the others follow in the adapter's rendezvous order, those that leave orders
    /// unanswered last. Models in `protected` are not evicted.
    ///
    /// Answers the load at which the weight store is the bottleneck and many engines are between two
    /// orders: a load that would wait for its first choice goes to the next engine instead, so that
    /// the store isn't idle.
    pub(super) fn next_order_for(
        &self,
        now_ms: u64,
        model: &str,
        protected: &HashSet<ModelName>,
        max_fill: f64,
    ) -> Option<PlannedOrder> {
        let has_store_capacity = self.store.has_capacity();
        let base = model.split('/').next().unwrap_or(model);
        let mut candidates: Vec<LoadCandidate> = self
            .engines
            .iter()
            .filter(|(_, engine)| {
                engine.is_available()
                    && engine.fill() <= max_fill
                    && (has_store_capacity || engine.was_recently_unloaded(model))
                    && engine.base_models.iter().any(|base_model| **base_model == *base)
                    && !engine.models.contains_key(model)
            })
            .map(|(key, engine)| LoadCandidate {
                key: *key,
                is_unresponsive: engine.is_unresponsive_to_orders(now_ms),
                is_cached: engine.was_recently_unloaded(model),
                weight: rendezvous_weight(model, *key),
                placed_requests: engine.placed_requests,
            })
            .collect();
        candidates.sort_unstable_by_key(|candidate| {
            (candidate.is_unresponsive, Reverse((candidate.is_cached, candidate.weight)))
        });
        let min_placed = candidates.iter().map(|candidate| candidate.placed_requests).min()?;
        for candidate in candidates {
            let is_busy = candidate.placed_requests > min_placed + REQUEST_COUNT_SLACK;
            if is_busy {
                continue;
            }
            match self.next_step(now_ms, candidate.key, model, protected) {
                LoadStep::Order(order) => return Some(order),
                // The engine can load the adapter in a moment, and needs no load from the store.
                LoadStep::Wait if candidate.is_cached && !candidate.is_unresponsive => return None,
                LoadStep::Wait | LoadStep::AllInUse => {}
            }
        }
        None
    }

    fn next_step(
        &self,
        now_ms: u64,
        key: BackendKey,
        model: &str,
        protected: &HashSet<ModelName>,
    ) -> LoadStep {
        let Some(engine) = self.engines.get(&key) else { return LoadStep::AllInUse };
        let kind = if engine.used_slots() < engine.limits.adapter_slots {
            if engine.adapter_loads() >= MAX_LOADS_PER_ENGINE {
                return LoadStep::Wait;
            }
            OrderKind::Load
        } else if engine
            .models
            .values()
            .any(|model_state| model_state.phase == ModelPhase::Unloading)
        {
            return LoadStep::Wait;
        } else {
            OrderKind::Unload
        };
        let model = match kind {
            OrderKind::Load => Some(ModelName::from(model)),
            OrderKind::Unload => self.eviction_candidate(now_ms, key, engine, protected),
        };
        match model {
            Some(model) if engine.can_take_order(now_ms) => {
                LoadStep::Order(engine.new_order(kind, model))
            }
            Some(_) => LoadStep::Wait,
            None => LoadStep::AllInUse,
        }
    }

    /// Returns the adapter to evict: the one that has been unused for the longest time.
    pub(super) fn eviction_candidate(
        &self,
        now_ms: u64,
        key: BackendKey,
        engine: &Engine,
        protected: &HashSet<ModelName>,
    ) -> Option<ModelName> {
        let unused = engine.models.iter().filter(|(name, model_state)| {
            name.contains('/')
                && model_state.phase == ModelPhase::Loaded
                && model_state.pins == 0
                && model_state.last_used_ms + RECENT_USE_MS <= now_ms
                && !self.reported_use.is_used(key, name)
                && !protected.contains(*name)
        });
        unused
            .min_by_key(|(name, model_state)| (model_state.last_used_ms, (*name).clone()))
            .map(|(name, _)| name.clone())
    }
}
