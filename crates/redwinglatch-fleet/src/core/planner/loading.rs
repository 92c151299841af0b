//! Orders loads and unloads of adapters.

use crate::{
    OrderKind,
    core::orders::OrderOutcome,
    ids::SoftwareVersion,
    message::{ModelLocation, ModelLocationChange},
};

use super::{
    CACHED_LOAD_MS, CopyStatus, LOAD_CHECK_INTERVAL_MS, ORDER_CONFLICT_DELAY_MS, PlannedOrder,
    Planner, REFUSED_ORDER_DELAY_MS, UNLOAD_CHECK_INTERVAL_MS,
    engine::{ModelPhase, ModelState, OrderState},
};

/// Delay of a check of a load beyond which the duration of the load isn't known.
const LATE_CHECK_MS: u64 = 30;

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
            (OrderOutcome::Accepted, OrderKind::Load) if order.is_for_base_model() => {
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
                    (model_state.since_ms + self.store.first_check_ms())
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
            (OrderOutcome::InEffect, OrderKind::Unload) if order.is_for_base_model() => {
                engine.remove_base_model(
                    now_ms,
                    &order.model,
                    &mut self.unloaded_adapters,
                    &mut self.changes,
                );
            }
            (OrderOutcome::InEffect, OrderKind::Unload) => {
                engine.remove_model(&order.model, &mut self.unloaded_adapters);
            }
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
        let is_base_model = order.is_for_base_model();
        let is_from_store = !is_base_model && !engine.was_recently_unloaded(&order.model);
        let versions = if is_base_model { &self.base_versions } else { &self.versions };
        let newest = versions.get(&order.model).copied().unwrap_or_default().max(1);
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
        if model_state.resend_ms.saturating_add(LATE_CHECK_MS) < now_ms {
            model_state.is_duration_known = false;
        }
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
                    log::info!(
                        "coordinator: engine {} unloads version {} of {model}; the newest is {newest}",
                        engine.backend.id,
                        model_state.version,
                    );
                    due.push(engine.new_order(OrderKind::Unload, model.clone()));
                }
            }
        }
        for order in due {
            self.push_order(now_ms, orders, order);
        }
    }

    /// Returns whether an available engine, of a software version if one is given, has the adapter loaded or
    /// loading.
    pub(super) fn copy_status(
        &self,
        now_ms: u64,
        model: &str,
        software: Option<SoftwareVersion>,
    ) -> CopyStatus {
        let newest = self.newest_version(model);
        let mut copy_status = CopyStatus::None;
        let locations = self.model_index.engines_with(&self.engines, model);
        let usable = locations.filter(|(key, engine, _)| {
            engine.is_available() && engine.has_software(software) && !self.is_spared(now_ms, *key)
        });
        for (_, engine, model_state) in usable {
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
}
