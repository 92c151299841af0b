//! Decides which engine holds which adapters and which engine serves which request.
//!
//! Every adapter has a home among the engines by rendezvous hashing, because an engine reloads an
//! adapter that it held recently much faster than another engine would. An adapter whose engines
//! are busy gets another copy on the next engine of its order. An engine drops the adapter that was
//! not used for the longest time to make room, and never one that serves a request.
//!
//! Requests are placed one by one, so that the prompts sent to an engine don't pile up: a pile
//! delays the events of all streams that the engine generates.

mod base_models;
mod engine;
mod holders;
mod loading;
mod placing;
mod store_limit;
mod waiting;

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::{
    EngineReport, OrderKind,
    ids::{BackendKey, ModelName},
    message::{Backend, EntryStatus, ModelLocation, ModelLocationChange, PlaceReply, PlaceRequest},
};

pub(super) use self::base_models::BaseModels;
use self::{
    engine::{Engine, OrderState, Phase},
    holders::{Holders, ReportedUse},
    store_limit::StoreLimit,
    waiting::Waiting,
};

/// How often the waiting requests are gone through; each pass costs a look-up for each waiting
/// adapter and engine.
const PASS_INTERVAL_MS: u64 = 4;
/// How often an engine is asked for its report.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// How soon an engine that sent no report is asked again.
const REPORT_RETRY_MS: u64 = 250;
/// An adapter whose use was reported more recently than this isn't dropped.
const RECENT_USE_MS: u64 = 40;
/// Adapters on their way to one engine at a time.
const MAX_COMING: usize = 4;
/// How long to wait after an engine refused an order.
const REFUSED_PAUSE_MS: u64 = 1_000;
/// How long to wait after an order without an answer.
const UNKNOWN_PAUSE_MS: u64 = 150;
/// How long to wait after an order that another one was in the way of.
const CONFLICT_PAUSE_MS: u64 = 100;
/// When a load from the engine's own memory is complete.
const RELOAD_MS: u64 = 28;
/// When a load from the weight store is usually complete.
const STORE_LOAD_MS: u64 = 245;
/// How often the engine is asked about a load that takes longer.
const CONFIRM_INTERVAL_MS: u64 = 20;
/// How often the engine is asked about a drop that waits for requests in flight.
const DROP_INTERVAL_MS: u64 = 250;
/// A home with this many more requests than the next candidate is passed over.
const HOME_LOAD_SLACK: u32 = 10;
/// An adapter gets another copy when a request has waited this long for engines that hold it.
const COPY_WAIT_MS: u64 = 80;
/// A placement that was never released ends this much after the request's own limit.
const PIN_SLACK_MS: u64 = 2_000;
/// How much slower than an empty engine a full one counts.
const FULL_BATCH_COST_MS: f64 = 100.0;
/// Adapters that may be waited for before requests for others are refused at once.
const MAX_WAITING_ADAPTERS: usize = 24;
/// The same for each load that the store serves at a time, where that is more.
const WAITING_PER_STORE_LOAD: f64 = 1.5;
/// The range of the time after which a refused caller may come back.
const RETRY_AFTER_MS: std::ops::Range<u64> = 600..2_400;

/// An order to give.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlannedOrder {
    pub(super) engine: BackendKey,
    pub(super) kind: OrderKind,
    pub(super) model: ModelName,
    /// The number of orders that the engine must have accepted before.
    pub(super) expected_sequence: u64,
}

/// How much each engine of a service holds and runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct EngineLimits {
    pub(super) adapter_slots: usize,
    pub(super) slots: u32,
    pub(super) cache_tokens: u64,
}

/// A service of engines.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct EngineService {
    pub(super) limits: EngineLimits,
    pub(super) base: BaseModels,
}

/// An answer to a request for a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlaceAnswer {
    pub(super) entry: u64,
    pub(super) id: u64,
    pub(super) reply: PlaceReply,
}

/// What brings an engine nearer to holding an adapter.
enum Step {
    Order(PlannedOrder),
    /// Another order must end first.
    Wait,
    /// All its adapters are in use.
    Full,
}

/// How far the copies of an adapter are.
enum Copies {
    None,
    Coming,
    /// The newest copy has been in place since then.
    Ready {
        since_ms: u64,
    },
}

#[derive(Debug, Default)]
struct EntryUse {
    in_flight: HashMap<BackendKey, u32>,
    in_use: HashSet<(BackendKey, ModelName)>,
}

/// A request that was placed and has not ended.
#[derive(Debug)]
struct Pin {
    engine: BackendKey,
    model: ModelName,
    tokens: u64,
    ends_ms: u64,
}

/// The plan of one coordinator.
#[derive(Debug)]
pub(super) struct Planner {
    engines: BTreeMap<BackendKey, Engine>,
    services: HashMap<Box<str>, EngineService>,
    holders: Holders,
    entries: HashMap<u64, EntryUse>,
    reported_use: ReportedUse,
    pins: HashMap<(u64, u64), Pin>,
    waiting: Vec<Waiting>,
    versions: BTreeMap<ModelName, u64>,
    store: StoreLimit,
    /// No order is given before, because another holder may still be in charge.
    may_order_from_ms: u64,
    /// The next time that the waiting requests are gone through.
    next_pass_ms: u64,
    /// The next time that a base model may be loaded.
    next_base_load_ms: u64,
    changes: Vec<ModelLocationChange>,
    answers: Vec<PlaceAnswer>,
}

impl Planner {
    /// Creates the plan of a coordinator that gives orders after `may_order_from_ms`.
    pub(super) fn new(may_order_from_ms: u64) -> Planner {
        Planner {
            engines: BTreeMap::new(),
            services: HashMap::new(),
            holders: Holders::default(),
            entries: HashMap::new(),
            reported_use: ReportedUse::default(),
            pins: HashMap::new(),
            waiting: Vec::new(),
            versions: BTreeMap::new(),
            store: StoreLimit::default(),
            may_order_from_ms,
            next_pass_ms: 0,
            next_base_load_ms: 0,
            changes: Vec::new(),
            answers: Vec::new(),
        }
    }

    pub(super) fn set_services(&mut self, services: HashMap<Box<str>, EngineService>) {
        self.services = services;
        for engine in self.engines.values_mut() {
            if let Some(service) = self.services.get(&engine.backend.service) {
                engine.limits = service.limits;
            }
        }
    }

    pub(super) fn set_versions(&mut self, versions: &BTreeMap<ModelName, u64>) {
        self.versions.clone_from(versions);
    }

    pub(super) fn set_backends(&mut self, now_ms: u64, backends: &[Backend]) {
        self.holders.invalidate();
        let listed: HashSet<BackendKey> = backends.iter().map(|backend| backend.key).collect();
        self.engines.retain(|key, _| listed.contains(key));
        for backend in backends {
            let Some(service) = self.services.get(&backend.service) else { continue };
            let engine = self
                .engines
                .entry(backend.key)
                .or_insert_with(|| Engine::new(backend.clone(), service.limits, now_ms));
            engine.backend = backend.clone();
        }
    }

    /// Engines that are due to be asked for a report.
    pub(super) fn take_due_reports(&mut self, now_ms: u64) -> Vec<BackendKey> {
        let mut due = Vec::new();
        for (key, engine) in &mut self.engines {
            if !engine.report_in_flight && engine.report_due_ms <= now_ms {
                engine.report_in_flight = true;
                due.push(*key);
            }
        }
        due
    }

    pub(super) fn backend(&self, key: BackendKey) -> Option<&Backend> {
        self.engines.get(&key).map(|engine| &engine.backend)
    }

    /// Takes an engine's report, or `None` if it sent none.
    pub(super) fn report(&mut self, now_ms: u64, key: BackendKey, report: Option<EngineReport>) {
        let Some(engine) = self.engines.get_mut(&key) else { return };
        engine.report_in_flight = false;
        let Some(report) = report else {
            engine.failed_reports += 1;
            engine.report_due_ms = now_ms + REPORT_RETRY_MS;
            return;
        };
        engine.failed_reports = 0;
        self.holders.invalidate();
        engine.take_report(now_ms, &report, &mut self.changes);
        // Only the report tells when a base model is in place.
        let interval_ms =
            if engine.models.is_empty() { REPORT_RETRY_MS } else { REPORT_INTERVAL_MS };
        engine.report_due_ms = now_ms + interval_ms;
    }

    /// Takes what an entry process does at the moment.
    pub(super) fn entry_report(&mut self, now_ms: u64, entry: u64, report: EntryStatus) {
        for (key, model) in &report.in_use {
            let holding =
                self.engines.get_mut(key).and_then(|engine| engine.holdings.get_mut(model));
            if let Some(holding) = holding {
                holding.used_ms = now_ms;
            }
        }
        self.store.hand_over(report.store_limit);
        let entry = self.entries.entry(entry).or_default();
        for (key, model) in entry.in_use.drain() {
            self.reported_use.remove(key, &model);
        }
        entry.in_flight = report.in_flight.into_iter().collect();
        entry.in_use = report.in_use.into_iter().collect();
        for (key, model) in &entry.in_use {
            self.reported_use.add(*key, model);
        }
    }

    pub(super) fn entry_gone(&mut self, now_ms: u64, entry: u64) {
        if let Some(gone) = self.entries.remove(&entry) {
            for (key, model) in gone.in_use {
                self.reported_use.remove(key, &model);
            }
        }
        self.waiting.retain(|waiting| waiting.entry != entry);
        let gone: Vec<_> = self.pins.keys().filter(|(owner, _)| *owner == entry).copied().collect();
        for (entry, id) in gone {
            self.release(now_ms, entry, id);
        }
    }

    /// Takes a request to be placed; the answer comes with [`Planner::take_answers`].
    pub(super) fn place(&mut self, now_ms: u64, entry: u64, id: u64, request: PlaceRequest) {
        let waiting = Waiting::new(now_ms, entry, id, request);
        let model = &waiting.request.model;
        let is_first = !self.waiting.iter().any(|other| other.request.model == *model);
        if is_first && self.try_place(now_ms, &waiting) {
            return;
        }
        self.waiting.push(waiting);
        self.answers.push(PlaceAnswer { entry, id, reply: PlaceReply::Queued });
    }

    /// Takes the end of a request, placed or not.
    pub(super) fn release(&mut self, now_ms: u64, entry: u64, id: u64) {
        self.waiting.retain(|waiting| (waiting.entry, waiting.id) != (entry, id));
        let Some(pin) = self.pins.remove(&(entry, id)) else { return };
        if let Some(engine) = self.engines.get_mut(&pin.engine) {
            engine.release(now_ms, (entry, id), &pin.model, pin.tokens);
        }
    }

    /// The first event of a request has arrived.
    pub(super) fn first_event(&mut self, entry: u64, id: u64) {
        let engine = self.pins.get(&(entry, id)).map(|pin| pin.engine);
        if let Some(engine) = engine.and_then(|key| self.engines.get_mut(&key)) {
            engine.has_read((entry, id));
        }
    }

    /// An engine refused a request because it doesn't hold the adapter.
    ///
    /// The refusal doesn't show that the slot is free, so the adapter is dropped by an order.
    pub(super) fn not_held(&mut self, now_ms: u64, key: BackendKey, model: &str) {
        let Some(engine) = self.engines.get_mut(&key) else { return };
        let Some(holding) = engine.holdings.get_mut(model) else { return };
        if holding.phase == Phase::Ready {
            holding.phase = Phase::Going;
            holding.order = OrderState::Sent;
            holding.since_ms = now_ms;
            holding.repeat_ms = now_ms;
            engine.report_due_ms = now_ms;
            self.changes.push(ModelLocationChange::Removed { engine: key, model: model.into() });
        }
    }

    /// What all engines hold and serve.
    pub(super) fn holdings(&self) -> Vec<ModelLocation> {
        let engines = self.engines.iter();
        engines
            .flat_map(|(key, engine)| {
                let ready =
                    engine.holdings.iter().filter(|(_, holding)| holding.phase == Phase::Ready);
                ready.map(|(model, holding)| ModelLocation {
                    engine: *key,
                    model: model.clone(),
                    version: holding.version,
                })
            })
            .collect()
    }

    pub(super) fn take_changes(&mut self) -> Vec<ModelLocationChange> {
        std::mem::take(&mut self.changes)
    }

    pub(super) fn take_answers(&mut self) -> Vec<PlaceAnswer> {
        std::mem::take(&mut self.answers)
    }

    /// Requests in flight at each backend server, over all entry processes.
    pub(super) fn in_flight(&self) -> Vec<(BackendKey, u32)> {
        let mut sums: BTreeMap<BackendKey, u32> = BTreeMap::new();
        for entry in self.entries.values() {
            for (key, count) in &entry.in_flight {
                *sums.entry(*key).or_default() += count;
            }
        }
        sums.into_iter().collect()
    }

    /// How many loads the weight store serves at a time, rounded down; 0 while it isn't known.
    pub(super) fn store_limit(&self) -> u32 {
        if self.store.was_reached() { self.store.limit() as u32 } else { 0 }
    }

    /// Engines that do not answer.
    pub(super) fn silent(&self) -> Vec<BackendKey> {
        let engines = self.engines.iter();
        engines.filter(|(_, engine)| engine.is_silent()).map(|(key, _)| *key).collect()
    }

    /// Places what can be placed and returns the orders to give; each engine gets one at a time.
    pub(super) fn plan(&mut self, now_ms: u64, may_order: bool) -> Vec<PlannedOrder> {
        if now_ms < self.next_pass_ms {
            return Vec::new();
        }
        self.next_pass_ms = now_ms + PASS_INTERVAL_MS;
        self.holders.refresh(&self.engines);
        self.end_old_pins(now_ms);
        for engine in self.engines.values_mut() {
            engine.end_old_reading(now_ms);
        }
        self.place_waiting(now_ms);
        let coming = self.engines.values().map(|engine| engine.coming_from_store(now_ms)).sum();
        self.store.set_in_flight(coming);
        if now_ms < self.may_order_from_ms || !may_order {
            return Vec::new();
        }
        let mut orders = Vec::new();
        self.load_base_models(now_ms, &mut orders);
        self.repeat_orders(now_ms, &mut orders);
        self.drop_old_versions(now_ms, &mut orders);
        self.load_for_waiting(now_ms, &mut orders);
        orders
    }

    fn end_old_pins(&mut self, now_ms: u64) {
        let old: Vec<_> = self
            .pins
            .iter()
            .filter(|(_, pin)| pin.ends_ms <= now_ms)
            .map(|((entry, id), _)| (*entry, *id))
            .collect();
        for (entry, id) in old {
            self.release(now_ms, entry, id);
        }
    }

    fn newest_version(&self, model: &str) -> u64 {
        self.versions.get(model).copied().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
