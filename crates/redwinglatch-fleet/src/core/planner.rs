//! Assigns adapters to engines and requests to engines.
//!
//! Rendezvous hashing gives every adapter a preferred order of engines, because an engine reloads
//! an adapter that it recently unloaded much faster than another engine loads it. An adapter whose
//! engines are busy gets another copy on the next engine in that order. To make room, an engine
//! evicts the adapter that has been unused for the longest time, and never one that serves a
//! request.
//!
//! Requests are placed one by one, so that an engine receives prompts no faster than it processes
//! them: a backlog of prompts delays the events of all streams that the engine generates.

mod base_models;
mod base_updates;
mod brittle_servers;
mod demand;
mod engine;
mod engine_memory;
mod engine_pace;
mod engine_paths;
mod explanation;
mod fatal_requests;
mod held_parts;
mod limited_engines;
mod load_choice;
mod loading;
mod model_index;
mod placing;
mod prompt_reuse;
mod prompts;
mod quarantined_requests;
mod request_grants;
mod server_rooms;
mod slow_placements;
mod store_limit;
mod summary;
mod waiting_request;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use crate::{
    EngineReport, OrderKind,
    ids::{BackendKey, ModelName, SoftwareVersion, is_adapter},
    message::{Backend, EntryStatus, ModelLocationChange, PlaceReply, PlaceRequest, RefusalCause},
    quarantine::Quarantine,
    server_paths::ServerPaths,
};

pub(super) use self::{
    base_models::BaseModels, engine_memory::EngineMemory, explanation::PlacementExplanation,
};
use self::{
    engine::{Engine, ModelPhase, OrderState},
    engine_pace::usual_ms_per_token,
    engine_paths::{ReachQuestion, min_unanswered},
    fatal_requests::FatalRequests,
    model_index::{ModelIndex, ReportedUse, UnloadedAdapters},
    request_grants::RequestGrants,
    server_rooms::ServerRooms,
    slow_placements::SlowPlacements,
    store_limit::StoreLimit,
    summary::Summary,
    waiting_request::WaitingRequest,
};

/// Interval between placement passes over the waiting requests; each pass costs a look-up for each
/// waiting adapter and engine.
const PLACEMENT_INTERVAL_MS: u64 = 4;
/// Engines for which the interval grows by a millisecond.
const ENGINES_PER_MS: usize = 32;
/// Waiting requests for which the interval grows by a millisecond.
const WAITING_REQUESTS_PER_MS: u64 = 100;
/// Interval between report requests to an engine.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Report requests a second beyond which the interval grows with the number of engines, so that thousands
/// of engines leave the coordinator time for requests.
const MAX_REPORTS_PER_S: u64 = 150;
/// Due report requests that a coordinator of more than [`MAX_REPORTS_PER_S`] engines sends at a time.
const MAX_REPORTS_AT_A_TIME: usize = 6;
/// Interval between comparisons of the paces of all engines.
const PACE_INTERVAL_MS: u64 = 500;
/// Delay before a failed report request is retried.
const REPORT_RETRY_MS: u64 = 250;
/// An adapter whose use was reported more recently than this isn't evicted.
const RECENT_USE_MS: u64 = 40;
/// Maximum concurrent adapter loads on one engine.
const MAX_LOADS_PER_ENGINE: usize = 4;
/// Delay before the next order to an engine that refused one.
const REFUSED_ORDER_DELAY_MS: u64 = 1_000;
/// Delay before the next order to an engine that left one unanswered, by the number of unanswered orders
/// in a row. Repeated at a fixed short interval, the orders of a coordinator that is itself too slow to
/// read the answers would take all its processor time.
const UNANSWERED_ORDER_DELAYS_MS: [u64; 4] = [40, 150, 400, 1_000];
/// Delay before the next order to an engine that reported a conflict.
const ORDER_CONFLICT_DELAY_MS: u64 = 100;
/// Duration of a load from the engine's own memory.
const CACHED_LOAD_MS: u64 = 28;
/// Usual duration of a load from the weight store.
const STORE_LOAD_MS: u64 = 245;
/// Interval between checks of a load that takes longer than usual.
const LOAD_CHECK_INTERVAL_MS: u64 = 20;
/// Interval between checks of an unload that waits for requests in flight.
const UNLOAD_CHECK_INTERVAL_MS: u64 = 250;
/// An engine is skipped as the target of a load if it has more requests than the least busy
/// candidate by more than this.
const REQUEST_COUNT_SLACK: u32 = 10;
/// An adapter gets another copy when a request has waited this long for the engines that have it
/// loaded.
const EXTRA_COPY_WAIT_MS: u64 = 80;
/// Extra time after a request's deadline until a pin that was never released expires.
const PIN_EXPIRY_SLACK_MS: u64 = 2_000;
/// Extra cost of an engine whose slots are all occupied, compared with an empty engine.
const FULL_BATCH_COST_MS: f64 = 100.0;
/// Range of the random time that is added to the expected completion of a load, after which a refused
/// caller may retry.
const LOAD_RETRY_MARGIN_MS: std::ops::Range<u64> = 100..500;
/// Time after that for which the adapter is kept for the caller.
const RETURN_SLACK_MS: u64 = 1_500;
/// Adapters that are loaded for refused callers, for each concurrent load that the store sustains.
const EXPECTED_ADAPTERS_PER_STORE_LOAD: f64 = 2.0;
/// Range of the random delay after which a refused caller may retry.
const RETRY_AFTER_RANGE_MS: std::ops::Range<u64> = 600..2_400;

/// An order to send to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlannedOrder {
    pub(super) engine: BackendKey,
    pub(super) kind: OrderKind,
    pub(super) model: ModelName,
    /// Number of orders that the engine must have accepted before this one.
    pub(super) expected_sequence: u64,
}

impl PlannedOrder {
    /// Returns whether the order is for a base model, without which an engine serves nothing.
    pub(super) fn is_for_base_model(&self) -> bool {
        !is_adapter(&self.model)
    }

    /// Returns the label of the order in the metrics.
    pub(super) fn label(&self) -> &'static str {
        match (self.kind, self.is_for_base_model()) {
            (OrderKind::Load, false) => "load_adapter",
            (OrderKind::Unload, false) => "unload_adapter",
            (OrderKind::Load, true) => "load_base_model",
            (OrderKind::Unload, true) => "unload_base_model",
        }
    }
}

/// Capacity of each engine of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct EngineLimits {
    pub(super) adapter_slots: usize,
    pub(super) slots: u32,
    pub(super) cache_tokens: u64,
}

/// A service whose backend servers are model engines.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct EngineService {
    pub(super) limits: EngineLimits,
    pub(super) memory: Arc<EngineMemory>,
    pub(super) base_models: BaseModels,
}

/// A reply to a placement request, with the entry process and request it is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AddressedPlaceReply {
    pub(super) entry: u64,
    pub(super) id: u64,
    pub(super) reply: PlaceReply,
}

/// The next step towards loading an adapter on an engine.
enum LoadStep {
    Order(PlannedOrder),
    /// Another order must complete first.
    Wait,
    /// All adapters of the engine are in use, so it can't load another one.
    AllInUse,
}

/// Whether an adapter is loaded or loading on any available engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyStatus {
    None,
    Loading,
    /// The newest copy has been loaded since then.
    Loaded {
        since_ms: u64,
    },
}

#[derive(Debug, Default)]
struct EntryUse {
    in_flight: HashMap<BackendKey, u32>,
    in_use: HashSet<(BackendKey, ModelName)>,
}

/// A placed request that has not ended.
#[derive(Debug)]
struct Pin {
    engine: BackendKey,
    model: ModelName,
    tokens: u64,
    expires_ms: u64,
}

/// The placement and loading decisions of one coordinator.
#[derive(Debug)]
pub(super) struct Planner {
    engines: BTreeMap<BackendKey, Engine>,
    services: HashMap<Box<str>, EngineService>,
    model_index: ModelIndex,
    unloaded_adapters: UnloadedAdapters,
    entries: HashMap<u64, EntryUse>,
    reported_use: ReportedUse,
    pins: HashMap<(u64, u64), Pin>,
    waiting: Vec<WaitingRequest>,
    /// Adapters of refused requests whose callers are expected to return, and until when.
    expected: BTreeMap<ModelName, u64>,
    /// The newest version of each adapter that has one.
    versions: BTreeMap<ModelName, u64>,
    /// The newest version of each base model that has one.
    base_versions: BTreeMap<ModelName, u64>,
    fatal_requests: FatalRequests,
    /// The servers without engines that are listed.
    plain_servers: HashMap<BackendKey, Backend>,
    quarantine: Quarantine,
    grants: RequestGrants,
    rooms: ServerRooms,
    /// Whether the engines of each service answer report requests.
    paths: ServerPaths,
    reach_question: ReachQuestion,
    /// Limited engines that get no loads, by the last planning pass.
    spared_engines: HashSet<BackendKey>,
    /// The last time at which a refused caller of each service was asked to return, while all engines of
    /// the service have limits.
    next_returns_ms: HashMap<Box<str>, u64>,
    store: StoreLimit,
    summary: Summary,
    /// No order is sent before this time, because the former coordinator may still send orders.
    earliest_order_ms: u64,
    /// Whether requests prefer engines that hold parts of their prompts.
    reuses_prompts: bool,
    /// Time of the next placement pass.
    next_placement_ms: u64,
    /// The usual time of engines per unit of work, once enough of them were measured.
    usual_ms_per_token: Option<f64>,
    /// Time at which it is computed next.
    pace_due_ms: u64,
    slow_placements: SlowPlacements,
    /// Earliest time of the next load of a base model.
    next_base_load_ms: u64,
    changes: Vec<ModelLocationChange>,
    replies: Vec<AddressedPlaceReply>,
}

impl Planner {
    /// Creates the planner of a coordinator that sends no orders before `earliest_order_ms`.
    pub(super) fn new(earliest_order_ms: u64) -> Planner {
        Planner {
            engines: BTreeMap::new(),
            services: HashMap::new(),
            model_index: ModelIndex::default(),
            unloaded_adapters: UnloadedAdapters::default(),
            entries: HashMap::new(),
            reported_use: ReportedUse::default(),
            pins: HashMap::new(),
            waiting: Vec::new(),
            expected: BTreeMap::new(),
            versions: BTreeMap::new(),
            base_versions: BTreeMap::new(),
            fatal_requests: FatalRequests::default(),
            plain_servers: HashMap::new(),
            quarantine: Quarantine::default(),
            grants: RequestGrants::default(),
            rooms: ServerRooms::default(),
            paths: ServerPaths::new(min_unanswered),
            reach_question: ReachQuestion::default(),
            spared_engines: HashSet::new(),
            next_returns_ms: HashMap::new(),
            store: StoreLimit::default(),
            summary: Summary::default(),
            earliest_order_ms,
            reuses_prompts: false,
            next_placement_ms: 0,
            usual_ms_per_token: None,
            pace_due_ms: 0,
            slow_placements: SlowPlacements::default(),
            next_base_load_ms: 0,
            changes: Vec::new(),
            replies: Vec::new(),
        }
    }

    pub(super) fn set_services(&mut self, services: HashMap<Box<str>, EngineService>) {
        let former = std::mem::replace(&mut self.services, services);
        let loaded: HashSet<&str> =
            self.engines.values().flat_map(|engine| engine.occupants()).collect();
        for (name, service) in &mut self.services {
            if let Some(former) = former.get(name) {
                Arc::make_mut(&mut service.memory).keep_sizes(&former.memory, &loaded);
            }
        }
        for service in self.services.values() {
            self.store.expect_rate(service.base_models.loads_per_s);
        }
        for engine in self.engines.values_mut() {
            if let Some(service) = self.services.get(&engine.backend.service) {
                engine.limits = service.limits;
                engine.memory = Arc::clone(&service.memory);
            }
        }
    }

    pub(super) fn set_versions(&mut self, versions: &BTreeMap<ModelName, u64>) {
        let (adapters, base_models) = versions
            .iter()
            .map(|(model, version)| (model.clone(), *version))
            .partition(|(model, _)| is_adapter(model));
        (self.versions, self.base_versions) = (adapters, base_models);
    }

    pub(super) fn set_backends(&mut self, now_ms: u64, backends: &[Backend]) {
        self.model_index.invalidate();
        let listed: HashSet<BackendKey> = backends.iter().map(|backend| backend.key).collect();
        for engine in self.engines.values().filter(|engine| !listed.contains(&engine.backend.key)) {
            let left = if engine.is_leaving() { "has left" } else { "has ended" };
            log::info!("coordinator: engine {} {left}", engine.backend.id);
            if !engine.is_leaving() {
                self.fatal_requests.server_ended(engine.backend.key, now_ms);
            }
        }
        for (server, backend) in &self.plain_servers {
            if !backend.leaving && !listed.contains(server) {
                self.fatal_requests.server_ended(*server, now_ms);
            }
        }
        let plain = backends.iter().filter(|backend| !self.services.contains_key(&backend.service));
        self.plain_servers = plain.map(|backend| (backend.key, backend.clone())).collect();
        self.rooms.retain(|server| listed.contains(&server));
        let engines_before = self.engines.len();
        self.engines.retain(|key, _| listed.contains(key));
        if self.engines.len() != engines_before {
            self.unloaded_adapters.rebuild(self.engines.values());
        }
        for backend in backends {
            let Some(service) = self.services.get(&backend.service) else { continue };
            let engine = self.engines.entry(backend.key).or_insert_with(|| {
                let engine = Engine::new(backend.clone(), service, now_ms);
                engine.with_prompt_reuse(self.reuses_prompts)
            });
            engine.backend = backend.clone();
        }
    }

    /// Returns the engines whose report is due, and marks their reports as in flight.
    pub(super) fn take_due_reports(&mut self, now_ms: u64) -> Vec<BackendKey> {
        let is_due = |engine: &Engine| !engine.report_in_flight && engine.report_due_ms <= now_ms;
        let due = self.engines.iter().filter(|(_, engine)| is_due(engine));
        let mut due: Vec<_> = due.map(|(key, engine)| (engine.report_due_ms, *key)).collect();
        if self.engines.len() as u64 > MAX_REPORTS_PER_S {
            // Those that wait for the longest time come first, so that engines that have ended, which are asked more
            // often, leave room for the others.
            due.sort_unstable();
            due.truncate(MAX_REPORTS_AT_A_TIME);
        }
        for (_, key) in &due {
            let Some(engine) = self.engines.get_mut(key) else { continue };
            engine.report_in_flight = true;
            engine.report_requested_ms = now_ms;
        }
        due.into_iter().map(|(_, key)| key).collect()
    }

    pub(super) fn backend(&self, key: BackendKey) -> Option<&Backend> {
        self.engines.get(&key).map(|engine| &engine.backend)
    }

    /// Records that an engine announced that it is about to stop: it gets neither requests nor loads.
    ///
    /// Answers a release of engines while the backend list lags: requests that are placed on an engine
    /// in its last second have to be placed again.
    pub(super) fn engine_leaving(&mut self, key: BackendKey) {
        let Some(engine) = self.engines.get_mut(&key) else { return };
        if !std::mem::replace(&mut engine.has_announced_stop, true) {
            log::info!("coordinator: engine {} announced its stop", engine.backend.id);
        }
    }

    /// Applies an engine's report; `None` means that the report request failed.
    pub(super) fn engine_report(
        &mut self,
        now_ms: u64,
        key: BackendKey,
        report: Option<EngineReport>,
    ) {
        let report_interval_ms =
            REPORT_INTERVAL_MS.max(self.engines.len() as u64 * 1_000 / MAX_REPORTS_PER_S);
        self.record_path(now_ms, key, report.is_some());
        let Some(engine) = self.engines.get_mut(&key) else { return };
        engine.report_in_flight = false;
        let requested_ms = engine.report_requested_ms;
        let Some(report) = report else {
            engine.failed_reports += 1;
            engine.report_due_ms = now_ms + REPORT_RETRY_MS;
            self.fatal_requests.server_ended(key, requested_ms);
            self.request_report_if_suspected(now_ms, key);
            return;
        };
        self.fatal_requests.server_answered(key, requested_ms);
        engine.failed_reports = 0;
        engine.reported_ms = Some(now_ms);
        self.model_index.invalidate();
        engine.apply_report(now_ms, &report, &mut self.changes);
        // Only the report shows when a base model is loaded.
        let interval_ms =
            if engine.base_models.is_empty() { REPORT_RETRY_MS } else { report_interval_ms };
        engine.report_due_ms = now_ms + interval_ms;
        self.request_report_if_suspected(now_ms, key);
    }

    /// Applies the current status of an entry process.
    pub(super) fn entry_status(&mut self, now_ms: u64, entry: u64, status: EntryStatus) {
        for (key, model) in &status.in_use {
            let model_state =
                self.engines.get_mut(key).and_then(|engine| engine.models.get_mut(model));
            if let Some(model_state) = model_state {
                model_state.last_used_ms = now_ms;
            }
        }
        self.store.adopt(status.store_limit);
        let entry = self.entries.entry(entry).or_default();
        for (key, model) in entry.in_use.drain() {
            self.reported_use.remove(key, &model);
        }
        entry.in_flight = status.in_flight.into_iter().collect();
        entry.in_use = status.in_use.into_iter().collect();
        for (key, model) in &entry.in_use {
            self.reported_use.add(*key, model);
        }
    }

    pub(super) fn entry_disconnected(&mut self, now_ms: u64, entry: u64) {
        if let Some(entry_use) = self.entries.remove(&entry) {
            for (key, model) in entry_use.in_use {
                self.reported_use.remove(key, &model);
            }
        }
        self.rooms.entry_disconnected(entry);
        self.waiting.retain(|waiting| waiting.entry != entry);
        let pins: Vec<_> = self.pins.keys().filter(|(owner, _)| *owner == entry).copied().collect();
        for (entry, id) in pins {
            self.release(now_ms, entry, id);
        }
    }

    /// Places or queues a request, on engines of a software version if one is given;
    /// [`Planner::take_replies`] returns the replies.
    pub(super) fn place(
        &mut self,
        now_ms: u64,
        entry: u64,
        id: u64,
        request: PlaceRequest,
        software: Option<SoftwareVersion>,
    ) {
        if self.knows_no_engine(now_ms, &request.service) {
            return;
        }
        let waiting = WaitingRequest::new(now_ms, entry, id, request, software);
        if let Some(retry_after_ms) = self.quarantine_ms(now_ms, &waiting.request) {
            let cause = RefusalCause::Quarantined;
            self.push_reply(&waiting, PlaceReply::RefusedFor { retry_after_ms, cause });
            return;
        }
        let shared_parts = waiting.request.shared_parts();
        self.fatal_requests.count_request(shared_parts.iter().map(|(part, _)| *part));
        let is_first = !self.waiting.iter().any(|other| other.model_hash == waiting.model_hash);
        if is_first && self.try_place(now_ms, &waiting) {
            return;
        }
        if self.is_too_large(&waiting.request) {
            self.refuse_too_large(&waiting);
            return;
        }
        self.waiting.push(waiting);
        self.replies.push(AddressedPlaceReply { entry, id, reply: PlaceReply::Queued });
    }

    /// Ends a request, whether it is placed or still waiting.
    pub(super) fn release(&mut self, now_ms: u64, entry: u64, id: u64) {
        let Some(pin) = self.pins.remove(&(entry, id)) else {
            self.waiting.retain(|waiting| (waiting.entry, waiting.id) != (entry, id));
            self.rooms.release((entry, id));
            return;
        };
        if let Some(engine) = self.engines.get_mut(&pin.engine) {
            engine.remove_request(now_ms, (entry, id), &pin.model, pin.tokens);
        }
    }

    fn update_usual_pace(&mut self, now_ms: u64) {
        if self.pace_due_ms <= now_ms {
            self.pace_due_ms = now_ms + PACE_INTERVAL_MS;
            let paces = self.engines.values().map(|engine| &engine.pace);
            self.usual_ms_per_token = usual_ms_per_token(paces);
        }
    }

    /// Records that an engine refused a request because the model or adapter isn't loaded there.
    ///
    /// The refusal doesn't show that the slot of an adapter is free, so an unload is ordered. A base model
    /// has no slot, and with it the engine would lose all adapters; the next report tells whether it is
    /// loaded.
    pub(super) fn model_not_loaded(&mut self, now_ms: u64, key: BackendKey, model: &str) {
        let Some(engine) = self.engines.get_mut(&key) else { return };
        let Some(model_state) = engine.models.get_mut(model) else { return };
        if model_state.phase == ModelPhase::Loaded {
            log::info!(
                "coordinator: engine {} refused a request for {model}, which counted as loaded",
                engine.backend.id
            );
            if is_adapter(model) {
                model_state.phase = ModelPhase::Unloading;
                model_state.order = OrderState::Sent;
                model_state.since_ms = now_ms;
                model_state.resend_ms = now_ms;
            } else {
                engine.models.remove(model);
                self.model_index.invalidate();
            }
            engine.report_due_ms = now_ms;
            self.changes.push(ModelLocationChange::Removed { engine: key, model: model.into() });
        }
    }

    /// Returns whether an engine has reported its state to this coordinator.
    pub(super) fn has_reported(&self, key: BackendKey) -> bool {
        self.engines.get(&key).is_some_and(Engine::has_reported)
    }

    /// Returns whether an engine serves a model.
    pub(super) fn is_loaded(&self, key: BackendKey, model: &ModelName) -> bool {
        let engine = self.engines.get(&key).filter(|engine| engine.base_update.is_none());
        let model_state = engine.and_then(|engine| engine.models.get(model));
        model_state.is_some_and(|model_state| model_state.phase == ModelPhase::Loaded)
    }

    pub(super) fn take_changes(&mut self) -> Vec<ModelLocationChange> {
        std::mem::take(&mut self.changes)
    }

    pub(super) fn take_replies(&mut self) -> Vec<AddressedPlaceReply> {
        std::mem::take(&mut self.replies)
    }

    /// Returns the requests in flight at each backend server, summed over all entry processes.
    pub(super) fn in_flight(&self) -> BTreeMap<BackendKey, u32> {
        let mut sums: BTreeMap<BackendKey, u32> = BTreeMap::new();
        for entry in self.entries.values() {
            for (key, count) in &entry.in_flight {
                *sums.entry(*key).or_default() += count;
            }
        }
        sums
    }

    /// Returns the concurrent loads that the weight store sustains, rounded down; 0 while that
    /// isn't known.
    pub(super) fn store_limit(&self) -> u32 {
        if self.store.was_reached() { self.store.limit() as u32 } else { 0 }
    }

    /// Returns the engines that do not answer report requests.
    pub(super) fn unresponsive(&self) -> Vec<BackendKey> {
        let engines = self.engines.iter();
        engines.filter(|(_, engine)| engine.is_unresponsive()).map(|(key, _)| *key).collect()
    }

    /// Places waiting requests and returns the orders to send; each engine gets one order at a
    /// time.
    pub(super) fn plan(&mut self, now_ms: u64, can_order: bool) -> Vec<PlannedOrder> {
        if now_ms < self.next_placement_ms {
            return Vec::new();
        }
        self.next_placement_ms = now_ms
            + PLACEMENT_INTERVAL_MS
            + (self.engines.len() / ENGINES_PER_MS) as u64
            + self.waiting.len() as u64 / WAITING_REQUESTS_PER_MS;
        self.model_index.refresh(&self.engines);
        self.spared_engines = self.find_spared_engines(now_ms);
        self.expire_pins(now_ms);
        for engine in self.engines.values_mut() {
            engine.expire_prefills(now_ms);
        }
        self.update_usual_pace(now_ms);
        self.place_waiting(now_ms);
        self.refuse_unknown_services(now_ms);
        self.refuse_beyond_limits(now_ms);
        let loads = self.engines.values().map(|engine| engine.store_loads_in_flight(now_ms)).sum();
        self.store.set_in_flight(loads);
        let demands = self.refuse_unservable(now_ms);
        self.log_summary(now_ms, &demands);
        if now_ms < self.earliest_order_ms || !can_order {
            return Vec::new();
        }
        let mut orders = Vec::new();
        self.update_base_models(now_ms, &mut orders);
        self.load_base_models(now_ms, &mut orders);
        self.resend_due_orders(now_ms, &mut orders);
        self.unload_old_versions(now_ms, &mut orders);
        self.load_for_waiting(now_ms, &demands, &mut orders);
        orders
    }

    fn expire_pins(&mut self, now_ms: u64) {
        let expired: Vec<_> = self
            .pins
            .iter()
            .filter(|(_, pin)| pin.expires_ms <= now_ms)
            .map(|((entry, id), _)| (*entry, *id))
            .collect();
        for (entry, id) in expired {
            self.release(now_ms, entry, id);
        }
    }

    fn newest_version(&self, model: &str) -> u64 {
        self.versions.get(model).copied().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
