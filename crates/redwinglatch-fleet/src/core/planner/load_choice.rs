//! Chooses the engines that load adapters.

use std::{cmp::Reverse, collections::HashSet};

use smallvec::SmallVec;

use crate::{
    OrderKind,
    ids::{BackendKey, ModelName, SoftwareVersion, is_adapter, name_hash, rendezvous_weight},
};

use super::{
    CopyStatus, EXTRA_COPY_WAIT_MS, LoadStep, MAX_LOADS_PER_ENGINE, PlannedOrder, Planner,
    RECENT_USE_MS, REQUEST_COUNT_SLACK,
    demand::AdapterDemand,
    engine::{Engine, ModelPhase},
};

/// Adapters in a pass for which no engine can be found although the store has capacity, after which the
/// others wait for the next pass.
const MAX_FAILED_ATTEMPTS: u32 = 16;
/// Most further copies of one adapter that are ordered in a pass.
const MAX_COPIES_PER_PASS: usize = 16;
/// Time for which an adapter waits for an engine that is not slow. Engines take one order at a time, and take the
/// next one within some milliseconds.
const FAST_ENGINE_WAIT_MS: u64 = 150;
/// Share of an engine's slots up to which it gets the only copy of an adapter.
const MAX_FIRST_FILL: f64 = 1.0;
/// Share of an engine's slots up to which it gets a further copy of an adapter. A fuller engine could
/// hardly take a request from the others, and a load and a slot would be lost for nothing.
const MAX_COPY_FILL: f64 = 0.7;

/// A copy of an adapter that requests wait for.
#[derive(Clone, Copy)]
struct WantedCopy<'a> {
    model: &'a str,
    /// The software version of the engines that may have the copy.
    software: Option<SoftwareVersion>,
    /// Share of its request slots up to which an engine gets the copy.
    max_fill: f64,
    /// The slowest class of engines that may have the copy.
    max_pace_class: u8,
}

impl WantedCopy<'_> {
    fn of(now_ms: u64, demand: &AdapterDemand, max_fill: f64) -> WantedCopy<'_> {
        let may_be_slow = demand.first_received_ms + FAST_ENGINE_WAIT_MS <= now_ms;
        let max_pace_class = if may_be_slow { SLOWEST_CLASS } else { USUAL_CLASS };
        WantedCopy { model: &demand.model, software: demand.software, max_fill, max_pace_class }
    }
}

/// An engine that could load an adapter.
struct LoadCandidate {
    key: BackendKey,
    /// The engine has left orders unanswered lately.
    is_unresponsive: bool,
    /// The engine has the adapter in its own memory.
    is_cached: bool,
    /// The class of the engine's pace; engines of a lower class are faster.
    pace_class: u8,
    weight: u64,
    placed_requests: u32,
    fill: f64,
}

/// Paces up to which an engine belongs to each class but the last.
const PACE_CLASSES: [f64; 3] = [0.8, 1.25, 2.0];
/// The class of engines of the usual pace.
const USUAL_CLASS: u8 = 1;
const SLOWEST_CLASS: u8 = 3;

/// Returns the class of an engine's pace.
///
/// Answers engines that differ in speed: on a slow one, each prompt delays the events of all its streams for
/// longer. Engines of one class stay in the rendezvous order of the adapter.
fn pace_class(pace: f64) -> u8 {
    PACE_CLASSES.iter().filter(|limit| **limit < pace).count() as u8
}

/// State of one pass over the adapters to load.
struct LoadPass {
    /// The engines that can take an order now.
    free_engines: Vec<BackendKey>,
    /// Models that must not be evicted.
    protected: HashSet<ModelName>,
    failed_attempts: u32,
}

impl Planner {
    /// Loads the adapters of waiting requests and further copies of those whose engines are busy by their value,
    /// then adapters for the return of refused callers.
    ///
    /// Answers the load at which requests wait for hundreds of adapters and most engines can't take an
    /// order: the pass costs time by the engines that can, and ends when there are none.
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
        let mut pass = LoadPass {
            free_engines: self
                .engines
                .iter()
                .filter(|(_, engine)| engine.is_available() && engine.can_take_order(now_ms))
                .map(|(key, _)| *key)
                .collect(),
            protected: requested,
            failed_attempts: 0,
        };
        for (demand, max_fill) in self.loads_by_value(now_ms, demands) {
            let wanted = WantedCopy::of(now_ms, demand, max_fill);
            self.load_one(now_ms, wanted, &mut pass, orders);
        }
        pass.failed_attempts = 0;
        if self.store.has_capacity() {
            let waiting: HashSet<u64> =
                demands.iter().map(|(demand, _)| demand.model_hash).collect();
            let expected = self.expected.keys().filter(|model| {
                !waiting.contains(&name_hash(model))
                    && self.copy_status(now_ms, model, None) == CopyStatus::None
            });
            for model in expected.cloned().collect::<Vec<_>>() {
                let wanted = WantedCopy {
                    model: &model,
                    software: None,
                    max_fill: MAX_FIRST_FILL,
                    max_pace_class: SLOWEST_CLASS,
                };
                self.load_one(now_ms, wanted, &mut pass, orders);
            }
            for model in self.slow_placements.take_due(now_ms) {
                let wanted = WantedCopy {
                    model: &model,
                    software: None,
                    max_fill: MAX_COPY_FILL,
                    max_pace_class: USUAL_CLASS,
                };
                self.load_one(now_ms, wanted, &mut pass, orders);
            }
        }
    }

    /// Returns the adapters that need a first copy, and those whose requests have waited too long for the engines
    /// that have them, the most valuable load first.
    fn loads_by_value<'a>(
        &self,
        now_ms: u64,
        demands: &'a [(AdapterDemand, CopyStatus)],
    ) -> Vec<(&'a AdapterDemand, f64)> {
        let mut loads: Vec<(f64, &AdapterDemand, f64)> = Vec::new();
        for (demand, status) in demands {
            if *status == CopyStatus::None {
                loads.push((demand.load_value(0), demand, MAX_FIRST_FILL));
                continue;
            }
            let (loaded, copies) = self.copies(demand);
            // The first copy shows how many requests it takes.
            if loaded == 0 || now_ms < demand.first_received_ms + EXTRA_COPY_WAIT_MS {
                continue;
            }
            let has_settled = match status {
                CopyStatus::Loaded { since_ms } => since_ms + EXTRA_COPY_WAIT_MS <= now_ms,
                CopyStatus::None | CopyStatus::Loading => false,
            };
            if copies == 1 && !has_settled {
                continue;
            }
            let values = (copies..copies + MAX_COPIES_PER_PASS)
                .map(|copies| demand.load_value(copies))
                .take_while(|value| *value > 0.0);
            let before = loads.len();
            loads.extend(values.map(|value| (value, demand, MAX_COPY_FILL)));
            // A few requests that wait in spite of the copies wait for memory or pace of their engines.
            if loads.len() == before && has_settled {
                loads.push((0.0, demand, MAX_COPY_FILL));
            }
        }
        loads.sort_by(|left, right| right.0.total_cmp(&left.0));
        loads.into_iter().map(|(_, demand, max_fill)| (demand, max_fill)).collect()
    }

    /// Returns the number of available engines that have an adapter, and with those that are loading it.
    fn copies(&self, demand: &AdapterDemand) -> (usize, usize) {
        let locations = self.model_index.engines_with(&self.engines, &demand.model);
        let usable = locations.filter(|(_, engine, model_state)| {
            engine.is_available()
                && engine.has_software(demand.software)
                && model_state.phase != ModelPhase::Unloading
        });
        usable.fold((0, 0), |(loaded, all), (_, _, model_state)| {
            let is_loaded = model_state.phase == ModelPhase::Loaded;
            (loaded + usize::from(is_loaded), all + 1)
        })
    }

    /// Plans the next order towards another copy of an adapter, if there is one.
    fn load_one(
        &mut self,
        now_ms: u64,
        wanted: WantedCopy<'_>,
        pass: &mut LoadPass,
        orders: &mut Vec<PlannedOrder>,
    ) {
        // Base models are loaded on engines without one, whatever requests wait for.
        let is_pass_over =
            pass.free_engines.is_empty() || pass.failed_attempts >= MAX_FAILED_ATTEMPTS;
        if is_pass_over || !is_adapter(wanted.model) {
            return;
        }
        match self.next_order_for(now_ms, wanted, pass) {
            Some(order) => {
                pass.free_engines.retain(|key| *key != order.engine);
                self.push_order(now_ms, orders, order);
            }
            None if self.store.has_capacity() => pass.failed_attempts += 1,
            None => {}
        }
    }

    /// Returns the next order towards another copy of an adapter: a load, or an unload that makes room
    /// for it.
    ///
    /// An engine that unloaded the adapter recently is preferred, because its load doesn't use the
    /// weight store; the others follow in the adapter's rendezvous order, those that leave orders
    /// unanswered last. Models that the pass protects are not evicted.
    ///
    /// Answers the load at which the weight store is the bottleneck and many engines are between two
    /// orders: a load that would wait for its first choice goes to the next engine instead, so that
    /// the store isn't idle.
    fn next_order_for(
        &self,
        now_ms: u64,
        wanted: WantedCopy<'_>,
        pass: &LoadPass,
    ) -> Option<PlannedOrder> {
        let model = wanted.model;
        let has_store_capacity = self.store.has_capacity();
        let is_cached = self.unloaded_adapters.contains(model);
        if !has_store_capacity && !is_cached {
            return None;
        }
        let mut candidates: SmallVec<[LoadCandidate; 32]> = if is_cached {
            self.engines
                .iter()
                .filter_map(|(key, engine)| self.load_candidate(now_ms, *key, engine, wanted))
                .collect()
        } else {
            let free_engines = pass.free_engines.iter();
            free_engines
                .filter_map(|key| self.load_candidate(now_ms, *key, self.engines.get(key)?, wanted))
                .collect()
        };
        candidates.retain(|candidate| {
            candidate.fill <= wanted.max_fill
                && candidate.pace_class <= wanted.max_pace_class
                && (has_store_capacity || candidate.is_cached)
        });
        candidates.sort_unstable_by_key(|candidate| {
            (
                candidate.is_unresponsive,
                !candidate.is_cached,
                candidate.pace_class,
                Reverse(candidate.weight),
            )
        });
        let min_placed = candidates.iter().map(|candidate| candidate.placed_requests).min()?;
        for candidate in candidates {
            if candidate.placed_requests > min_placed + REQUEST_COUNT_SLACK {
                continue;
            }
            match self.next_step(now_ms, candidate.key, model, &pass.protected) {
                LoadStep::Order(order) => return Some(order),
                // The engine can load the adapter in a moment, and needs no load from the store.
                LoadStep::Wait if candidate.is_cached && !candidate.is_unresponsive => return None,
                LoadStep::Wait | LoadStep::AllInUse => {}
            }
        }
        None
    }

    /// Returns an engine as a candidate for a copy of an adapter, unless it can't have one.
    fn load_candidate(
        &self,
        now_ms: u64,
        key: BackendKey,
        engine: &Engine,
        wanted: WantedCopy<'_>,
    ) -> Option<LoadCandidate> {
        let model = wanted.model;
        let base = model.split('/').next().unwrap_or(model);
        let is_possible = engine.is_available()
            && engine.has_software(wanted.software)
            && !self.spared_engines.contains(&key)
            && engine.base_models.iter().any(|base_model| **base_model == *base)
            && !engine.models.contains_key(model);
        is_possible.then(|| LoadCandidate {
            key,
            is_unresponsive: engine.is_unresponsive_to_orders(now_ms),
            is_cached: engine.was_recently_unloaded(model),
            pace_class: pace_class(engine.relative_pace(now_ms, self.usual_ms_per_token)),
            weight: rendezvous_weight(model, key),
            placed_requests: engine.placed_requests,
            fill: engine.fill(),
        })
    }

    fn next_step(
        &self,
        now_ms: u64,
        key: BackendKey,
        model: &str,
        protected: &HashSet<ModelName>,
    ) -> LoadStep {
        let Some(engine) = self.engines.get(&key) else { return LoadStep::AllInUse };
        let kind = if engine.has_room_for(model) {
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
            OrderKind::Unload => self.eviction_candidate(now_ms, key, engine, model, protected),
        };
        match model {
            Some(model) if engine.can_take_order(now_ms) => {
                LoadStep::Order(engine.new_order(kind, model))
            }
            Some(_) => LoadStep::Wait,
            None => LoadStep::AllInUse,
        }
    }

    /// Returns the adapter to evict for `wanted`: the one that has been unused for the longest time, if all evictions
    /// together make room.
    pub(super) fn eviction_candidate(
        &self,
        now_ms: u64,
        key: BackendKey,
        engine: &Engine,
        wanted: &str,
        protected: &HashSet<ModelName>,
    ) -> Option<ModelName> {
        let is_unused = |name: &str| {
            engine.models.get(name).is_some_and(|model_state| {
                is_adapter(name)
                    && model_state.phase == ModelPhase::Loaded
                    && model_state.pins == 0
                    && model_state.last_used_ms + RECENT_USE_MS <= now_ms
                    && !self.reported_use.is_used(key, name)
                    && !protected.contains(name)
            })
        };
        let kept = engine.occupants().filter(|name| !is_unused(name));
        if !engine.memory.holds(kept.chain([wanted])) {
            return None;
        }
        let unused = engine.models.iter().filter(|(name, _)| is_unused(name));
        unused
            .min_by_key(|(name, model_state)| (model_state.last_used_ms, (*name).clone()))
            .map(|(name, _)| name.clone())
    }
}
