//! Decides which engine holds which adapters.
//!
//! Every adapter has a home among the engines by rendezvous hashing, because an engine reloads an
//! adapter that it held recently much faster than another engine would. An adapter with much
//! traffic gets more copies on the next engines of its order. An engine drops the adapter that was
//! not used for the longest time to make room.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::{
    EngineReport, HeldAdapter, OrderKind,
    ids::{BackendKey, ModelName, rendezvous},
    message::{Backend, EntryReport, Held, HoldingChange},
};

use super::orders::OrderOutcome;

/// How often an engine is asked for its report.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// How soon an engine that sent no report is asked again.
const REPORT_RETRY_MS: u64 = 250;
/// How much a report may lag behind what the engine has answered to orders.
const REPORT_LAG_MS: u64 = 1_000;
/// An adapter used more recently than this isn't dropped; a request may be on its way to it.
const RECENT_USE_MS: u64 = 700;
/// Adapters on their way to one engine at a time.
const MAX_COMING: usize = 4;
/// Reports that fail in a row before an engine counts as silent.
const SILENT_AFTER_FAILURES: u32 = 2;
/// Requests per second that one copy of an adapter serves before another one is loaded.
const COPY_RATE_PER_S: f64 = 3.0;
/// The time over which demand is averaged.
const DEMAND_WINDOW_MS: f64 = 4_000.0;
/// How long a request for an adapter counts as waiting.
const WANT_LIFETIME_MS: u64 = 3_000;
/// How long to wait after an engine refused an order.
const REFUSED_PAUSE_MS: u64 = 1_000;
/// How long to wait after an order that another one was in the way of.
const CONFLICT_PAUSE_MS: u64 = 60;
/// When a load from the engine's own memory is complete.
const RELOAD_MS: u64 = 28;
/// When a load from the weight store is usually complete.
const STORE_LOAD_MS: u64 = 245;
/// How often the engine is asked about a load that takes longer.
const CONFIRM_INTERVAL_MS: u64 = 20;
/// How often the engine is asked about a drop that waits for requests in flight.
const DROP_INTERVAL_MS: u64 = 250;
/// An order without an answer may be carried out this much later.
const LATE_ORDER_MS: u64 = 13_000;
/// Slots that a new coordinator leaves free for late orders of the one before.
const RESERVED_SLOTS: usize = 2;
/// Engines that are compared for an adapter without a copy, in the order of its preference.
const HOME_CANDIDATES: usize = 2;
/// A home with this many more requests in flight than the next candidate is passed over.
const HOME_LOAD_SLACK: u32 = 12;

/// An order to give.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlannedOrder {
    pub(super) engine: BackendKey,
    pub(super) kind: OrderKind,
    pub(super) model: ModelName,
}

/// How many engines hold what, and how much they may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct EngineLimits {
    pub(super) adapter_slots: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Ready,
    /// It is being loaded; the same order again tells whether the load is complete.
    Coming,
    /// It is being dropped, once no request uses it.
    Going,
}

#[derive(Debug, Clone)]
struct Holding {
    version: u64,
    phase: Phase,
    /// When the phase began.
    since_ms: u64,
    /// When the order of the phase is sent again.
    repeat_ms: u64,
    used_ms: u64,
}

#[derive(Debug)]
struct Engine {
    backend: Backend,
    limits: EngineLimits,
    /// The base models, once the engine has reported them.
    models: Vec<ModelName>,
    holdings: HashMap<ModelName, Holding>,
    /// Adapters that were dropped, and when; reports lag.
    dropped: HashMap<ModelName, u64>,
    /// Loads without an answer, and until when they may still be carried out.
    late_loads: HashMap<ModelName, u64>,
    order_in_flight: bool,
    paused_until_ms: u64,
    report_due_ms: u64,
    report_in_flight: bool,
    failed_reports: u32,
    queued: u32,
    running: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    rate_per_s: f64,
    updated_ms: u64,
}

#[derive(Debug, Default)]
struct EntryUse {
    in_flight: HashMap<BackendKey, u32>,
    in_use: HashSet<(BackendKey, ModelName)>,
}

/// The plan of one coordinator.
#[derive(Debug)]
pub(super) struct Planner {
    engines: BTreeMap<BackendKey, Engine>,
    /// The adapter slots of each service of engines.
    services: HashMap<Box<str>, EngineLimits>,
    entries: HashMap<u64, EntryUse>,
    demand: HashMap<ModelName, Demand>,
    wanted: VecDeque<(ModelName, u64)>,
    versions: BTreeMap<ModelName, u64>,
    /// No order is given before, because another holder may still be in charge.
    may_order_from_ms: u64,
    /// Until then orders of another holder may still be carried out.
    reserve_until_ms: u64,
    changes: Vec<HoldingChange>,
}

impl Planner {
    /// Creates the plan of a coordinator that gives orders after `may_order_from_ms`, which is 0
    /// if no other process has given any.
    pub(super) fn new(may_order_from_ms: u64) -> Planner {
        let reserve_until_ms =
            if may_order_from_ms == 0 { 0 } else { may_order_from_ms + LATE_ORDER_MS };
        Planner {
            engines: BTreeMap::new(),
            services: HashMap::new(),
            entries: HashMap::new(),
            demand: HashMap::new(),
            wanted: VecDeque::new(),
            versions: BTreeMap::new(),
            may_order_from_ms,
            reserve_until_ms,
            changes: Vec::new(),
        }
    }

    pub(super) fn set_services(&mut self, services: HashMap<Box<str>, EngineLimits>) {
        self.services = services;
        for engine in self.engines.values_mut() {
            if let Some(limits) = self.services.get(&engine.backend.service) {
                engine.limits = *limits;
            }
        }
    }

    pub(super) fn set_versions(&mut self, versions: &BTreeMap<ModelName, u64>) {
        self.versions.clone_from(versions);
    }

    pub(super) fn set_backends(&mut self, now_ms: u64, backends: &[Backend]) {
        let listed: HashSet<BackendKey> = backends.iter().map(|backend| backend.key).collect();
        self.engines.retain(|key, _| listed.contains(key));
        for backend in backends {
            let Some(limits) = self.services.get(&backend.service) else { continue };
            let engine = self.engines.entry(backend.key).or_insert_with(|| Engine {
                backend: backend.clone(),
                limits: *limits,
                models: Vec::new(),
                holdings: HashMap::new(),
                dropped: HashMap::new(),
                late_loads: HashMap::new(),
                order_in_flight: false,
                paused_until_ms: 0,
                report_due_ms: now_ms,
                report_in_flight: false,
                failed_reports: 0,
                queued: 0,
                running: 0,
            });
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
        engine.report_due_ms = now_ms + REPORT_INTERVAL_MS;
        engine.failed_reports = 0;
        engine.queued = report.load.queued;
        engine.running = report.load.running;
        engine.take_report(now_ms, &report, &mut self.changes);
    }

    /// Takes what an entry process does at the moment.
    pub(super) fn entry_report(&mut self, now_ms: u64, entry: u64, report: EntryReport) {
        for (model, count) in report.demand {
            self.demand.entry(model).or_default().add(now_ms, f64::from(count));
        }
        for (key, model) in &report.in_use {
            let holding =
                self.engines.get_mut(key).and_then(|engine| engine.holdings.get_mut(model));
            if let Some(holding) = holding {
                holding.used_ms = now_ms;
            }
        }
        let entry = self.entries.entry(entry).or_default();
        entry.in_flight = report.in_flight.into_iter().collect();
        entry.in_use = report.in_use.into_iter().collect();
    }

    pub(super) fn entry_gone(&mut self, entry: u64) {
        self.entries.remove(&entry);
    }

    /// A request waits for an adapter that no engine holds, as far as its entry process knows.
    pub(super) fn want(&mut self, now_ms: u64, model: ModelName) {
        let ready = self.ready_copies(&model);
        if !ready.is_empty() {
            self.changes.extend(ready.into_iter().map(HoldingChange::Ready));
            return;
        }
        if !self.wanted.iter().any(|(wanted, _)| *wanted == model) {
            self.wanted.push_back((model, now_ms));
        }
    }

    /// What all engines hold and serve.
    pub(super) fn holdings(&self) -> Vec<Held> {
        let engines = self.engines.iter();
        engines
            .flat_map(|(key, engine)| {
                let ready =
                    engine.holdings.iter().filter(|(_, holding)| holding.phase == Phase::Ready);
                ready.map(|(model, holding)| Held {
                    engine: *key,
                    model: model.clone(),
                    version: holding.version,
                })
            })
            .collect()
    }

    pub(super) fn take_changes(&mut self) -> Vec<HoldingChange> {
        std::mem::take(&mut self.changes)
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

    /// Engines that do not answer.
    pub(super) fn silent(&self) -> Vec<BackendKey> {
        let engines = self.engines.iter();
        engines
            .filter(|(_, engine)| engine.failed_reports >= SILENT_AFTER_FAILURES)
            .map(|(key, _)| *key)
            .collect()
    }

    /// The orders to give now; each engine gets one at a time.
    pub(super) fn take_orders(&mut self, now_ms: u64) -> Vec<PlannedOrder> {
        if now_ms < self.may_order_from_ms {
            return Vec::new();
        }
        let mut orders = Vec::new();
        self.repeat_orders(now_ms, &mut orders);
        self.replace_old_versions(now_ms, &mut orders);
        self.load_wanted(now_ms, &mut orders);
        self.load_copies(now_ms, &mut orders);
        orders
    }

    /// Takes the answer to an order.
    pub(super) fn order_done(&mut self, now_ms: u64, order: &PlannedOrder, outcome: OrderOutcome) {
        let newest = self.newest_version(&order.model).max(1);
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        engine.order_in_flight = false;
        let Some(holding) = engine.holdings.get_mut(&order.model) else { return };
        match (outcome, order.kind) {
            (OrderOutcome::Accepted, OrderKind::Load) => {
                let age_ms = now_ms.saturating_sub(holding.since_ms);
                holding.repeat_ms = if age_ms < RELOAD_MS {
                    holding.since_ms + RELOAD_MS
                } else {
                    (holding.since_ms + STORE_LOAD_MS).max(now_ms + CONFIRM_INTERVAL_MS)
                };
            }
            (OrderOutcome::Holds, OrderKind::Load) => {
                holding.phase = Phase::Ready;
                holding.since_ms = now_ms;
                holding.version = newest;
                self.changes.push(HoldingChange::Ready(Held {
                    engine: order.engine,
                    model: order.model.clone(),
                    version: newest,
                }));
            }
            (OrderOutcome::Accepted, OrderKind::Unload) => {
                holding.repeat_ms = now_ms + DROP_INTERVAL_MS;
            }
            (OrderOutcome::Holds, OrderKind::Unload) => {
                engine.holdings.remove(&order.model);
                engine.dropped.insert(order.model.clone(), now_ms);
            }
            (OrderOutcome::Unknown, kind) => {
                holding.repeat_ms = now_ms + CONFIRM_INTERVAL_MS;
                if kind == OrderKind::Load {
                    engine.late_loads.insert(order.model.clone(), now_ms + LATE_ORDER_MS);
                }
            }
            (OrderOutcome::Conflict, _) => {
                holding.repeat_ms = now_ms + CONFLICT_PAUSE_MS;
                engine.paused_until_ms = now_ms + CONFLICT_PAUSE_MS;
            }
            (OrderOutcome::Fenced | OrderOutcome::Refused, _) => {
                engine.paused_until_ms = now_ms + REFUSED_PAUSE_MS;
                holding.repeat_ms = now_ms + REFUSED_PAUSE_MS;
                if order.kind == OrderKind::Load {
                    engine.holdings.remove(&order.model);
                }
            }
        }
    }

    /// Adds an order to the plan and counts it as sent.
    fn give(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>, order: PlannedOrder) {
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        engine.order_in_flight = true;
        let phase = match order.kind {
            OrderKind::Load => Phase::Coming,
            OrderKind::Unload => Phase::Going,
        };
        let holding = engine.holdings.entry(order.model.clone()).or_insert(Holding {
            version: 0,
            phase,
            since_ms: now_ms,
            repeat_ms: u64::MAX,
            used_ms: now_ms,
        });
        holding.repeat_ms = u64::MAX;
        if holding.phase != phase {
            if holding.phase == Phase::Ready {
                let model = order.model.clone();
                self.changes.push(HoldingChange::Gone { engine: order.engine, model });
            }
            holding.phase = phase;
            holding.since_ms = now_ms;
        }
        orders.push(order);
    }

    fn ready_copies(&self, model: &str) -> Vec<Held> {
        let newest = self.newest_version(model);
        let engines = self.engines.iter();
        engines
            .filter(|(_, engine)| !engine.backend.leaving)
            .filter_map(|(key, engine)| {
                let holding = engine.holdings.get(model)?;
                let serves = holding.phase == Phase::Ready && holding.version >= newest;
                serves.then(|| Held { engine: *key, model: model.into(), version: holding.version })
            })
            .collect()
    }

    fn newest_version(&self, model: &str) -> u64 {
        self.versions.get(model).copied().unwrap_or_default()
    }

    /// Sends orders again whose end is to be expected.
    fn repeat_orders(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        let due: Vec<PlannedOrder> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.can_take_order(now_ms))
            .filter_map(|(key, engine)| {
                let (model, holding) = engine
                    .holdings
                    .iter()
                    .filter(|(_, holding)| {
                        holding.phase != Phase::Ready && holding.repeat_ms <= now_ms
                    })
                    .min_by_key(|(_, holding)| holding.repeat_ms)?;
                let kind = match holding.phase {
                    Phase::Going => OrderKind::Unload,
                    Phase::Ready | Phase::Coming => OrderKind::Load,
                };
                Some(PlannedOrder { engine: *key, kind, model: model.clone() })
            })
            .collect();
        for order in due {
            self.give(now_ms, orders, order);
        }
    }

    /// Loads the newest version where an engine serves an older one.
    fn replace_old_versions(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        let mut due = Vec::new();
        for (model, newest) in &self.versions {
            for (key, engine) in &self.engines {
                let is_old = engine.holdings.get(model).is_some_and(|holding| {
                    holding.phase == Phase::Ready && holding.version < *newest
                });
                if is_old && engine.can_take_order(now_ms) && !is_planned(&due, *key) {
                    let model = model.clone();
                    due.push(PlannedOrder { engine: *key, kind: OrderKind::Load, model });
                }
            }
        }
        for order in due {
            self.give(now_ms, orders, order);
        }
    }

    /// Loads adapters that requests wait for.
    fn load_wanted(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        self.wanted.retain(|(_, since_ms)| now_ms < since_ms + WANT_LIFETIME_MS);
        let wanted = std::mem::take(&mut self.wanted);
        for (model, since_ms) in wanted {
            let held = self.engines.values().any(|engine| {
                !engine.backend.leaving
                    && !engine.is_silent()
                    && engine.holdings.get(&model).is_some_and(|held| held.phase != Phase::Going)
            });
            if held {
                continue;
            }
            let engine = self.home(now_ms, &model);
            if let Some(order) = engine.and_then(|key| self.step_towards(now_ms, key, &model)) {
                let is_load = order.kind == OrderKind::Load;
                self.give(now_ms, orders, order);
                if is_load {
                    continue;
                }
            }
            self.wanted.push_back((model, since_ms));
        }
    }

    /// Loads more copies of the adapters with the most traffic.
    fn load_copies(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        self.demand.retain(|_, demand| demand.at(now_ms) > 0.05);
        let busy: Vec<(ModelName, f64)> = self
            .demand
            .iter()
            .map(|(model, demand)| (model.clone(), demand.at(now_ms)))
            .filter(|(model, rate)| *rate > COPY_RATE_PER_S && model.contains('/'))
            .collect();
        for (model, rate) in busy {
            let target = (rate / COPY_RATE_PER_S).ceil() as usize;
            let copies = self
                .engines
                .values()
                .filter(|engine| !engine.backend.leaving && !engine.is_silent())
                .filter(|engine| engine.holdings.contains_key(&model))
                .count();
            if copies == 0 || copies >= target {
                continue;
            }
            let engine = self.home(now_ms, &model);
            if let Some(order) = engine.and_then(|key| self.step_towards(now_ms, key, &model)) {
                self.give(now_ms, orders, order);
            }
        }
    }

    /// The engine that should load `model` next.
    fn home(&self, now_ms: u64, model: &str) -> Option<BackendKey> {
        let base = model.split('/').next().unwrap_or(model);
        let mut preferred: Vec<(u64, BackendKey, u32)> = self
            .engines
            .iter()
            .filter(|(_, engine)| {
                !engine.backend.leaving
                    && !engine.is_silent()
                    && engine.models.iter().any(|held| **held == *base)
                    && !engine.holdings.contains_key(model)
                    && engine.can_take_order(now_ms)
                    && engine.coming() < MAX_COMING
            })
            .map(|(key, engine)| (rendezvous(model, *key), *key, engine.queued + engine.running))
            .collect();
        preferred.sort_unstable_by_key(|(preference, ..)| std::cmp::Reverse(*preference));
        preferred.truncate(HOME_CANDIDATES);
        let (_, first, load) = *preferred.first()?;
        let lightest = preferred.iter().min_by_key(|(_, _, load)| *load)?;
        Some(if load > lightest.2 + HOME_LOAD_SLACK { lightest.1 } else { first })
    }

    /// The next order on the way to `model` at an engine: a load, or a drop that makes room.
    fn step_towards(&self, now_ms: u64, key: BackendKey, model: &str) -> Option<PlannedOrder> {
        let engine = self.engines.get(&key)?;
        let reserved = if now_ms < self.reserve_until_ms { RESERVED_SLOTS } else { 0 };
        if engine.adapters(now_ms) + reserved < engine.limits.adapter_slots {
            let model = model.into();
            return Some(PlannedOrder { engine: key, kind: OrderKind::Load, model });
        }
        let victim = engine
            .holdings
            .iter()
            .filter(|(held, holding)| {
                held.contains('/')
                    && holding.phase == Phase::Ready
                    && holding.used_ms + RECENT_USE_MS <= now_ms
                    && !self.in_use(key, held)
            })
            .min_by(|(left_model, left), (right_model, right)| {
                (left.used_ms, left_model).cmp(&(right.used_ms, right_model))
            })?;
        let model = victim.0.clone();
        Some(PlannedOrder { engine: key, kind: OrderKind::Unload, model })
    }

    fn in_use(&self, key: BackendKey, model: &str) -> bool {
        let used = (key, ModelName::from(model));
        self.entries.values().any(|entry| entry.in_use.contains(&used))
    }
}

fn is_planned(orders: &[PlannedOrder], key: BackendKey) -> bool {
    orders.iter().any(|order| order.engine == key)
}

impl Engine {
    fn can_take_order(&self, now_ms: u64) -> bool {
        !self.models.is_empty() && !self.order_in_flight && self.paused_until_ms <= now_ms
    }

    fn is_silent(&self) -> bool {
        self.failed_reports >= SILENT_AFTER_FAILURES
    }

    fn coming(&self) -> usize {
        self.holdings.values().filter(|holding| holding.phase == Phase::Coming).count()
    }

    /// Adapters that take a slot or may still take one.
    fn adapters(&self, now_ms: u64) -> usize {
        let held = self.holdings.keys().filter(|model| model.contains('/')).count();
        let late = self
            .late_loads
            .iter()
            .filter(|(model, until_ms)| now_ms < **until_ms && !self.holdings.contains_key(*model))
            .count();
        held + late
    }

    /// Corrects what is known of the engine by its report.
    ///
    /// A report lags, so it says nothing about what changed shortly before.
    fn take_report(
        &mut self,
        now_ms: u64,
        report: &EngineReport,
        changes: &mut Vec<HoldingChange>,
    ) {
        let made_ms = now_ms.saturating_sub(REPORT_LAG_MS);
        self.dropped.retain(|_, dropped_ms| made_ms < *dropped_ms);
        self.late_loads.retain(|_, until_ms| now_ms < *until_ms);
        self.models = report.models.iter().map(|model| model.name.clone()).collect();
        let mut reported: HashMap<ModelName, u64> = HashMap::new();
        for model in &report.models {
            reported.insert(model.name.clone(), 0);
            for HeldAdapter { name, version } in &model.adapters {
                reported.insert(format!("{}/{name}", model.name).into(), *version);
            }
        }
        let engine = self.backend.key;
        self.holdings.retain(|model, holding| {
            let listed = reported.contains_key(model)
                || report.coming.iter().any(|coming| coming.name == *model);
            if listed || made_ms < holding.since_ms {
                return true;
            }
            if holding.phase == Phase::Ready {
                changes.push(HoldingChange::Gone { engine, model: model.clone() });
            }
            // A load that the engine has lost sight of is asked for again while requests wait.
            false
        });
        for coming in &report.coming {
            if !self.dropped.contains_key(&coming.name) {
                self.holdings.entry(coming.name.clone()).or_insert(Holding {
                    version: 0,
                    phase: Phase::Coming,
                    since_ms: now_ms,
                    repeat_ms: now_ms,
                    used_ms: now_ms,
                });
            }
        }
        for (model, version) in reported {
            if self.dropped.contains_key(&model) {
                continue;
            }
            let is_new = !self.holdings.contains_key(&model);
            let holding = self.holdings.entry(model.clone()).or_insert(Holding {
                version,
                phase: Phase::Ready,
                since_ms: now_ms,
                repeat_ms: u64::MAX,
                used_ms: 0,
            });
            let corrects =
                holding.phase == Phase::Ready && holding.version != version && holding.since_ms < made_ms;
            if is_new || corrects {
                holding.version = version;
                changes.push(HoldingChange::Ready(Held { engine, model, version }));
            }
        }
    }
}

impl Demand {
    fn at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.rate_per_s * (-passed_ms / DEMAND_WINDOW_MS).exp()
    }

    fn add(&mut self, now_ms: u64, count: f64) {
        self.rate_per_s = self.at(now_ms) + count * 1_000.0 / DEMAND_WINDOW_MS;
        self.updated_ms = now_ms;
    }
}
