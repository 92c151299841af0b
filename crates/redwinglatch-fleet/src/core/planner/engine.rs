//! The coordinator's view of one engine.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
};

use crate::{
    EngineReport, LoadedAdapter, OrderKind,
    ids::{ModelName, SoftwareVersion, is_adapter},
    message::{Backend, ModelLocation, ModelLocationChange},
};

use super::{
    EngineLimits, EngineMemory, EngineService, PlannedOrder, UNANSWERED_ORDER_DELAYS_MS,
    engine_pace::EnginePace, held_parts::HeldParts, model_index::UnloadedAdapters,
    prompts::Prefill,
};

/// Maximum lag of a report behind the engine's answers to orders.
const REPORT_LAG_MS: u64 = 1_000;
/// Consecutive failed reports after which an engine counts as unresponsive.
const UNRESPONSIVE_AFTER_FAILED_REPORTS: u32 = 2;
/// Usual upper bound of the time that an engine takes to answer an order.
const ORDER_RESPONSE_MS: u64 = 60;
/// Time for which a load counts against the weight store if its engine doesn't report when it
/// completes.
const UNCONFIRMED_LOAD_MS: u64 = 400;
/// Time for which other engines are preferred to one that left an order unanswered, by the number of
/// unanswered orders in a row. An engine that loses some orders is still of use; one that hangs is not.
const UNRESPONSIVE_TO_ORDERS_MS: [u64; 3] = [100, 400, 1_000];
/// Recently unloaded adapters that an engine keeps in its own memory.
const MAX_RECENT_UNLOADS: usize = 100;
/// Adapters of an engine whose loads are remembered as uncertain.
const MAX_UNCERTAIN_LOADS: usize = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ModelPhase {
    Loaded,
    /// Being loaded; sending the load order again shows whether the load is complete.
    Loading,
    /// Being unloaded; the unload completes once no request uses the model.
    Unloading,
}

/// The engine's answer to the order that began the current phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderState {
    /// No answer yet, or the engine has refused the order.
    Sent,
    /// The answer timed out, so the engine may have accepted the order or may still accept it.
    Unanswered,
    /// The engine has accepted the order.
    Accepted,
}

#[derive(Debug, Clone)]
pub(super) struct ModelState {
    pub(super) version: u64,
    pub(super) phase: ModelPhase,
    pub(super) order: OrderState,
    /// Start of the phase.
    pub(super) since_ms: u64,
    /// Time at which the order of the phase is sent again.
    pub(super) resend_ms: u64,
    pub(super) last_used_ms: u64,
    /// Placed requests that have not ended.
    pub(super) pins: u32,
    /// Whether it is loaded from the weight store, and not from the engine's own memory.
    pub(super) is_from_store: bool,
    /// Whether the engine answered all orders of the phase, so that the duration of a load is
    /// known.
    pub(super) is_duration_known: bool,
}

impl ModelState {
    pub(super) fn new(version: u64, phase: ModelPhase, now_ms: u64) -> ModelState {
        ModelState {
            version,
            phase,
            order: OrderState::Accepted,
            since_ms: now_ms,
            resend_ms: u64::MAX,
            last_used_ms: now_ms,
            pins: 0,
            is_from_store: false,
            is_duration_known: true,
        }
    }
}

/// The replacement of an outdated base model, during which the engine gets no requests.
#[derive(Debug, Clone)]
pub(super) struct BaseUpdate {
    pub(super) model: ModelName,
    pub(super) since_ms: u64,
}

/// The adapters that an engine unloaded most recently.
#[derive(Debug, Default)]
struct RecentUnloads {
    /// Unloads, the oldest first; an adapter that was unloaded several times occurs several times.
    order: VecDeque<ModelName>,
    /// Number of occurrences of each adapter in `order`.
    counts: HashMap<ModelName, u32>,
}

impl RecentUnloads {
    fn contains(&self, model: &str) -> bool {
        self.counts.contains_key(model)
    }

    /// Adds an adapter, and records in `index` which adapters have come and gone.
    fn add(&mut self, model: ModelName, index: &mut UnloadedAdapters) {
        let count = self.counts.entry(model.clone()).or_default();
        if *count == 0 {
            index.add(&model);
        }
        *count += 1;
        self.order.push_back(model);
        while self.counts.len() > MAX_RECENT_UNLOADS
            && let Some(oldest) = self.order.pop_front()
        {
            if let Some(count) = self.counts.get_mut(&oldest) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&oldest);
                    index.remove(&oldest);
                }
            }
        }
    }
}

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) backend: Backend,
    /// The engine announced in an answer that it is about to stop; the backend list tells it later.
    pub(super) has_announced_stop: bool,
    pub(super) limits: EngineLimits,
    pub(super) memory: Arc<EngineMemory>,
    /// The base models loaded on the engine, by its last report.
    pub(super) base_models: Vec<ModelName>,
    /// The models of which the engine has a copy of its own, by its last report.
    pub(super) local_copies: Vec<ModelName>,
    /// Whether the engine is loading or unloading a base model.
    is_changing_base_model: bool,
    pub(super) base_update: Option<BaseUpdate>,
    /// The version for which each base model was replaced last. A replica of the model that is still
    /// reported as older isn't replaced for the same version again.
    pub(super) updated_versions: HashMap<ModelName, u64>,
    /// Time at which a base model was last unloaded, and the sequence after it. Reports made before still
    /// list the model.
    base_unloaded: Option<(u64, u64)>,
    pub(super) models: HashMap<ModelName, ModelState>,
    /// Number of orders that the engine has accepted, once it has reported that. Every order
    /// carries this number, so that the engine rejects orders that were planned from an older
    /// state.
    sequence: Option<u64>,
    /// Time at which the last order was counted; reports made before may not count it.
    sequence_updated_ms: u64,
    /// Adapters that the engine unloaded; it still has the most recent of them in its own memory.
    recent_unloads: RecentUnloads,
    /// Time at which the unanswered order was sent, if there is one.
    pub(super) order_sent_ms: Option<u64>,
    /// End of the time during which the engine counts as not answering orders.
    unresponsive_to_orders_until_ms: u64,
    /// Adapters whose load may have begun with an order that was not answered, so that the duration of
    /// a later load isn't known.
    uncertain_loads: HashSet<ModelName>,
    /// Orders in a row that were not answered.
    unanswered_orders: usize,
    pub(super) orders_paused_until_ms: u64,
    pub(super) report_due_ms: u64,
    pub(super) report_in_flight: bool,
    pub(super) report_requested_ms: u64,
    /// Arrival of the last report, by whose values the engine is known.
    pub(super) reported_ms: Option<u64>,
    pub(super) failed_reports: u32,
    /// Whether the coordinator reaches hardly any engine of the service. Then a report that fails says nothing of
    /// this one, which entry processes may reach.
    pub(super) is_path_lost: bool,
    /// Placed requests that have not ended, and the tokens that they may occupy.
    pub(super) placed_requests: u32,
    pub(super) placed_tokens: u64,
    /// Prompts that the engine has not processed yet.
    pub(super) prefills: Vec<Prefill>,
    pub(super) pace: EnginePace,
    /// Prompt parts that the engine has processed, by model; used without `held_parts`.
    pub(super) cached_parts: HashSet<(ModelName, u64)>,
    /// Prompt parts that the engine should hold, if placement takes them into account.
    pub(super) held_parts: Option<HeldParts>,
}

impl Engine {
    pub(super) fn new(backend: Backend, service: &EngineService, now_ms: u64) -> Engine {
        Engine {
            backend,
            has_announced_stop: false,
            limits: service.limits,
            memory: Arc::clone(&service.memory),
            base_models: Vec::new(),
            local_copies: Vec::new(),
            is_changing_base_model: false,
            base_update: None,
            updated_versions: HashMap::new(),
            base_unloaded: None,
            models: HashMap::new(),
            sequence: None,
            sequence_updated_ms: 0,
            recent_unloads: RecentUnloads::default(),
            order_sent_ms: None,
            unresponsive_to_orders_until_ms: 0,
            uncertain_loads: HashSet::new(),
            unanswered_orders: 0,
            orders_paused_until_ms: 0,
            report_due_ms: now_ms,
            report_in_flight: false,
            report_requested_ms: 0,
            reported_ms: None,
            failed_reports: 0,
            is_path_lost: false,
            placed_requests: 0,
            placed_tokens: 0,
            prefills: Vec::new(),
            pace: EnginePace::default(),
            cached_parts: HashSet::new(),
            held_parts: None,
        }
    }

    /// Returns whether the engine has reported its state to this coordinator.
    pub(super) fn has_reported(&self) -> bool {
        self.sequence.is_some()
    }

    pub(super) fn can_take_order(&self, now_ms: u64) -> bool {
        self.has_reported()
            && self.order_sent_ms.is_none()
            && self.orders_paused_until_ms <= now_ms
            && !self.is_path_lost
    }

    /// Returns whether the engine has reported that no model is loaded or loading.
    pub(super) fn is_empty(&self) -> bool {
        self.sequence.is_some()
            && self.base_models.is_empty()
            && !self.is_changing_base_model
            && self.models.is_empty()
    }

    /// Records that an order was not answered.
    pub(super) fn record_unanswered_order(&mut self, now_ms: u64) {
        let delay = self.unanswered_orders.min(UNANSWERED_ORDER_DELAYS_MS.len() - 1);
        self.orders_paused_until_ms = now_ms + UNANSWERED_ORDER_DELAYS_MS[delay];
        let step = self.unanswered_orders.min(UNRESPONSIVE_TO_ORDERS_MS.len() - 1);
        self.unanswered_orders += 1;
        self.unresponsive_to_orders_until_ms = now_ms + UNRESPONSIVE_TO_ORDERS_MS[step];
        self.report_due_ms = self.report_due_ms.min(now_ms);
        // The checks of the other loads had to wait for this order.
        for model_state in self.models.values_mut() {
            model_state.is_duration_known = false;
        }
    }

    /// Records that a load of the adapter may be under way without an answer.
    pub(super) fn record_uncertain_load(&mut self, model: &ModelName) {
        if self.uncertain_loads.len() >= MAX_UNCERTAIN_LOADS {
            self.uncertain_loads.clear();
        }
        self.uncertain_loads.insert(model.clone());
    }

    /// Returns whether a load of the adapter begins with the order that is sent for it now.
    pub(super) fn is_load_certain(&self, model: &str) -> bool {
        !self.uncertain_loads.contains(model)
    }

    /// Records that the engine has answered an order.
    pub(super) fn record_answered_order(&mut self) {
        self.unanswered_orders = 0;
    }

    /// Returns whether the engine leaves orders unanswered, so that other engines are preferred for
    /// loads.
    pub(super) fn is_unresponsive_to_orders(&self, now_ms: u64) -> bool {
        now_ms < self.unresponsive_to_orders_until_ms
            || self.order_sent_ms.is_some_and(|sent_ms| sent_ms + ORDER_RESPONSE_MS < now_ms)
    }

    /// Creates an order that is planned from the current view of the engine.
    pub(super) fn new_order(&self, kind: OrderKind, model: ModelName) -> PlannedOrder {
        let expected_sequence = self.sequence.unwrap_or_default();
        PlannedOrder { engine: self.backend.key, kind, model, expected_sequence }
    }

    /// Counts an order that the engine has accepted.
    pub(super) fn record_accepted_order(&mut self, now_ms: u64, order: &PlannedOrder) {
        self.sequence = self.sequence.max(Some(order.expected_sequence.saturating_add(1)));
        self.sequence_updated_ms = now_ms;
    }

    /// Returns whether the engine has a software version, if one is given.
    pub(super) fn has_software(&self, software: Option<SoftwareVersion>) -> bool {
        software.is_none_or(|software| self.backend.software() == software)
    }

    pub(super) fn is_available(&self) -> bool {
        !self.is_leaving() && !self.is_unresponsive() && self.base_update.is_none()
    }

    /// Returns whether the engine is about to stop, by the backend list or by its own answers.
    pub(super) fn is_leaving(&self) -> bool {
        self.backend.leaving || self.has_announced_stop
    }

    pub(super) fn is_unresponsive(&self) -> bool {
        self.failed_reports >= UNRESPONSIVE_AFTER_FAILED_REPORTS && !self.is_path_lost
    }

    pub(super) fn adapter_loads(&self) -> usize {
        let models = self.models.iter();
        models
            .filter(|(model, state)| is_adapter(model) && state.phase == ModelPhase::Loading)
            .count()
    }

    /// Returns the number of loads in flight from the weight store. A load whose order was not
    /// answered may not have started, and an engine that leaves orders unanswered doesn't report
    /// when a load completes.
    pub(super) fn store_loads_in_flight(&self, now_ms: u64) -> usize {
        let is_unresponsive = self.is_unresponsive_to_orders(now_ms);
        let is_store_load = |model_state: &&ModelState| {
            let may_have_ended = model_state.since_ms + UNCONFIRMED_LOAD_MS < now_ms;
            model_state.phase == ModelPhase::Loading
                && model_state.is_from_store
                && (!is_unresponsive
                    || (model_state.order == OrderState::Accepted && !may_have_ended))
        };
        self.models.values().filter(is_store_load).count()
    }

    /// Returns the adapters that the engine has unloaded and still has in its own memory.
    pub(super) fn unloaded_adapters(&self) -> impl Iterator<Item = &ModelName> {
        self.recent_unloads.counts.keys()
    }

    /// Returns whether the engine has the adapter in its own memory, so that it need not be loaded
    /// from the weight store.
    pub(super) fn was_recently_unloaded(&self, model: &str) -> bool {
        self.recent_unloads.contains(model)
    }

    /// Returns the number of occupied adapter slots, including those of loads and unloads in
    /// progress.
    pub(super) fn used_slots(&self) -> usize {
        self.models.keys().filter(|model| is_adapter(model)).count()
    }

    /// Returns the models and adapters that occupy memory, including those of loads and unloads in progress.
    ///
    /// A base model that refused a request is no longer among `models` until the next report, and still occupies
    /// memory.
    pub(super) fn occupants(&self) -> impl Iterator<Item = &str> {
        let reported = self.base_models.iter().filter(|model| !self.models.contains_key(*model));
        self.models.keys().chain(reported).map(|model| &**model)
    }

    /// Returns whether a slot and memory are free for another adapter.
    pub(super) fn has_room_for(&self, adapter: &str) -> bool {
        self.used_slots() < self.limits.adapter_slots
            && self.memory.holds(self.occupants().chain([adapter]))
    }

    /// Returns the share of the request slots that placed requests occupy.
    pub(super) fn fill(&self) -> f64 {
        f64::from(self.placed_requests) / f64::from(self.limits.slots.max(1))
    }

    /// Removes loads that the engine hasn't accepted while its slots or its memory are overcommitted.
    ///
    /// That happens after another order that was taken for lost has been carried out and used the
    /// slot or the memory. It advanced the sequence, so the orders of the removed loads can't take effect any more;
    /// sent again with the new sequence they would exceed the slots or the memory.
    pub(super) fn remove_superseded_loads(&mut self) {
        let is_unaccepted = |(model, model_state): (&ModelName, &ModelState)| {
            is_adapter(model)
                && model_state.phase == ModelPhase::Loading
                && model_state.order != OrderState::Accepted
        };
        if self.order_sent_ms.is_some() || !self.models.iter().any(is_unaccepted) {
            return;
        }
        let is_overcommitted =
            self.used_slots() > self.limits.adapter_slots || !self.memory.holds(self.occupants());
        if is_overcommitted {
            self.models.retain(|model, model_state| !is_unaccepted((model, model_state)));
        }
    }

    /// Removes an adapter and its cached prompt parts.
    pub(super) fn remove_model(&mut self, model: &str, index: &mut UnloadedAdapters) {
        self.models.remove(model);
        self.uncertain_loads.remove(model);
        self.recent_unloads.add(model.into(), index);
        self.cached_parts.retain(|(name, _)| **name != *model);
        if let Some(held_parts) = &mut self.held_parts {
            held_parts.remove_model(model);
        }
    }

    /// Removes a base model and its adapters, which the engine drops with it.
    pub(super) fn remove_base_model(
        &mut self,
        now_ms: u64,
        model: &str,
        index: &mut UnloadedAdapters,
        changes: &mut Vec<ModelLocationChange>,
    ) {
        self.models.remove(model);
        let adapters = self.models.keys().filter(|name| {
            name.strip_prefix(model).is_some_and(|adapter| adapter.starts_with('/'))
        });
        for adapter in adapters.cloned().collect::<Vec<_>>() {
            self.remove_model(&adapter, index);
            changes.push(ModelLocationChange::Removed { engine: self.backend.key, model: adapter });
        }
        self.base_models.retain(|base_model| **base_model != *model);
        self.is_changing_base_model = false;
        self.base_update = None;
        self.base_unloaded = Some((now_ms, self.sequence.unwrap_or_default()));
    }

    /// Corrects the view of the engine from its report.
    ///
    /// A report lags. One that was made before the last accepted order contains nothing new, and
    /// one that was made after orders of other processes shows all changes that they caused.
    pub(super) fn apply_report(
        &mut self,
        now_ms: u64,
        report: &EngineReport,
        changes: &mut Vec<ModelLocationChange>,
    ) {
        let report_made_ms = now_ms.saturating_sub(REPORT_LAG_MS);
        let may_list_unloaded = self.base_unloaded.is_some_and(|(unloaded_ms, sequence)| {
            report_made_ms < unloaded_ms && report.sequence <= sequence
        });
        if may_list_unloaded {
            return;
        }
        self.base_models = report.models.iter().map(|model| model.name.clone()).collect();
        self.local_copies.clone_from(&report.local_copies);
        let last_sequence = self.sequence;
        let is_old = last_sequence.is_some_and(|last| report.sequence < last);
        if is_old && report_made_ms < self.sequence_updated_ms {
            return;
        }
        self.is_changing_base_model = report.busy;
        let has_changed = last_sequence != Some(report.sequence);
        self.sequence = Some(report.sequence);
        let reported = reported_models(report);
        let engine = self.backend.key;
        let is_order_in_flight = self.order_sent_ms.is_some();
        self.models.retain(|model, model_state| {
            let is_listed = reported.contains_key(model)
                || report.loading.iter().any(|loading| loading.name == *model);
            let is_carried_out = match model_state.phase {
                ModelPhase::Loading => is_listed,
                ModelPhase::Unloading => !is_listed && has_changed,
                ModelPhase::Loaded => false,
            };
            if is_carried_out {
                // The reported sequence number already counts the order of this phase.
                model_state.order = OrderState::Accepted;
            }
            let is_recent =
                report_made_ms < model_state.since_ms && (is_order_in_flight || !has_changed);
            // An engine lists a base model only once it is loaded.
            let is_loading_base_model =
                report.busy && model_state.phase == ModelPhase::Loading && !is_adapter(model);
            if is_listed || is_recent || is_loading_base_model {
                return true;
            }
            if model_state.phase == ModelPhase::Loaded {
                changes.push(ModelLocationChange::Removed { engine, model: model.clone() });
            }
            // A load that the engine no longer lists is ordered again while requests wait for it.
            false
        });
        for loading in &report.loading {
            self.models.entry(loading.name.clone()).or_insert_with(|| {
                let model_state = ModelState::new(0, ModelPhase::Loading, now_ms);
                ModelState { resend_ms: now_ms, ..model_state }
            });
        }
        for (model, version) in reported {
            let is_loading = report.loading.iter().any(|loading| loading.name == model);
            self.apply_reported_model(now_ms, (model, version), is_loading, changes);
        }
    }

    fn apply_reported_model(
        &mut self,
        now_ms: u64,
        (model, version): (ModelName, u64),
        is_loading: bool,
        changes: &mut Vec<ModelLocationChange>,
    ) {
        let report_made_ms = now_ms.saturating_sub(REPORT_LAG_MS);
        let is_new = !self.models.contains_key(&model);
        let is_order_in_flight = self.order_sent_ms.is_some();
        let model_state = self
            .models
            .entry(model.clone())
            .or_insert_with(|| ModelState::new(version, ModelPhase::Loaded, now_ms));
        let is_corrected = match model_state.phase {
            ModelPhase::Loaded => {
                model_state.since_ms < report_made_ms && model_state.version != version
            }
            // The report was made after the load was accepted.
            ModelPhase::Loading => !is_loading && !is_order_in_flight,
            ModelPhase::Unloading => false,
        };
        if is_new || is_corrected {
            model_state.phase = ModelPhase::Loaded;
            model_state.version = version;
            let engine = self.backend.key;
            changes.push(ModelLocationChange::Added(ModelLocation { engine, model, version }));
        }
    }
}

fn reported_models(report: &EngineReport) -> HashMap<ModelName, u64> {
    let mut reported = HashMap::new();
    for model in &report.models {
        reported.insert(model.name.clone(), model.version);
        for LoadedAdapter { name, version } in &model.adapters {
            reported.insert(format!("{}/{name}", model.name).into(), *version);
        }
    }
    reported
}
