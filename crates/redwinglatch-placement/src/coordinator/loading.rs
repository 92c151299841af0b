//! Load orders and their results.

use super::{
    Coordinator,
    candidates::{NoCandidate, PlacementCandidate},
    placing::load_failed_refusal,
};
use crate::{
    Effect, LoadFailure, LoadId, LoadOrder,
    engine_state::{AdapterSlot, SlotState},
    keys::{AdapterKey, EngineKey},
};

/// Demands to try for each load that may start, since the first ones may all lack a slot.
const MAX_START_CANDIDATES: usize = 8;
/// Half-life of the count of loads.
const LOADS_HALF_LIFE_MS: u32 = 20_000;

impl Coordinator {
    /// Starts loads until the store limit is reached.
    pub(super) fn start_loads(&mut self, now_ms: u64) {
        if !self.is_settled || !self.has_valid_lease(now_ms) {
            return;
        }
        if !self.queue.is_below_store_limit() {
            self.abandon_preload(now_ms);
            return;
        }
        while self.queue.is_below_store_limit() && self.start_next_load(now_ms) {}
        if self.queue.is_below_store_limit()
            && self.queue.demands.is_empty()
            && self.settings.preload
        {
            self.preload(now_ms);
        }
    }

    /// Starts the load of the first demand for which there is an engine; returns false if none has
    /// one.
    fn start_next_load(&mut self, now_ms: u64) -> bool {
        if !self.queue.demands.iter().any(|it| it.wants_load) {
            return false;
        }
        let order = self.queue.start_order(now_ms, &self.customers);
        for scheduled in order.into_iter().take(MAX_START_CANDIDATES) {
            let demand = self.queue.demands[scheduled.demand_index];
            if demand.not_before_ms > now_ms || self.queue.in_flight_load(demand.adapter).is_some()
            {
                continue;
            }
            match self.choose_candidate(now_ms, demand.adapter, Some(&demand)) {
                Ok(candidate) => {
                    let demand = &mut self.queue.demands[scheduled.demand_index];
                    demand.wants_load = false;
                    demand.blocked_since_ms = None;
                    let (adapter, customer) = (demand.adapter, demand.customer);
                    self.customers.count_load(customer, now_ms);
                    self.customers.refresh(now_ms);
                    self.order_load(now_ms, adapter, candidate, false);
                    return true;
                }
                Err(NoCandidate::RetryAt(until_ms)) => {
                    self.queue.demands[scheduled.demand_index].not_before_ms = until_ms;
                }
                Err(NoCandidate::Blocked) => {
                    let since = &mut self.queue.demands[scheduled.demand_index].blocked_since_ms;
                    let since_ms = *since.get_or_insert(now_ms);
                    if now_ms - since_ms >= self.drain_after_ms() {
                        self.drain_slot(now_ms, demand.adapter);
                    }
                }
            }
        }
        false
    }

    /// Returns how long a load lacks a slot before one is drained for it.
    fn drain_after_ms(&self) -> u64 {
        self.queue.load_ms as u64
    }

    /// Orders a load and assigns the slot to the adapter.
    pub(super) fn order_load(
        &mut self,
        now_ms: u64,
        adapter: AdapterKey,
        candidate: PlacementCandidate,
        is_preload: bool,
    ) {
        let Some(epoch) = self.epoch else { return };
        let load = self.queue.start(now_ms, candidate.engine, adapter, is_preload);
        self.recent_loads.record(now_ms, LOADS_HALF_LIFE_MS);
        let slots: usize = self.engines.values().map(|it| it.slots.len()).sum();
        let per_ms = self.recent_loads.long_term_count(now_ms, LOADS_HALF_LIFE_MS)
            * std::f32::consts::LN_2
            / LOADS_HALF_LIFE_MS as f32;
        self.lru_age_ms = (slots as f32 / per_ms) as u64;
        let evicted = self.clear_slot(now_ms, candidate.engine, candidate.slot);
        // One reference belongs to the slot, the other to the load in flight.
        self.adapters.add_reference(adapter);
        self.adapters.add_reference(adapter);
        let pins = self.count_pins(candidate.engine, adapter);
        let engine = &mut self.engines[candidate.engine];
        engine.pending_loads += 1;
        if let Some(evicted) = evicted {
            engine.recently_evicted.retain(|(it, _)| *it != evicted);
            engine.recently_evicted.push((evicted, now_ms));
        }
        engine.recently_evicted.retain(|(it, _)| *it != adapter);
        engine.slots[candidate.slot] = AdapterSlot {
            state: SlotState::Loading,
            adapter: Some(adapter),
            pins,
            since_ms: now_ms,
            ..AdapterSlot::default()
        };
        let order = LoadOrder {
            load,
            epoch,
            engine: engine.id,
            address: engine.address,
            adapter: self.adapters.name(adapter),
            evict: evicted.map(|it| self.adapters.name(it)),
            is_preload,
        };
        if let Some(evicted) = evicted {
            self.adapters.remove_reference(evicted, now_ms);
        }
        self.effects.push(Effect::Load(order));
    }

    /// Empties a slot and returns its adapter, whose reference the caller has to remove.
    fn clear_slot(&mut self, now_ms: u64, engine: EngineKey, slot: usize) -> Option<AdapterKey> {
        let taken = std::mem::take(&mut self.engines[engine].slots[slot]);
        let adapter = taken.adapter?;
        self.remove_copy(now_ms, adapter, engine);
        Some(adapter)
    }

    /// Removes the engine from those on which `adapter` is loaded.
    pub(super) fn remove_copy(&mut self, now_ms: u64, adapter: AdapterKey, engine: EngineKey) {
        let Some(active) = self.adapters.active_mut(adapter) else { return };
        let before = active.copies.len();
        active.copies.retain(|it| *it != engine);
        if before > 0 && active.copies.is_empty() {
            self.add_preload_candidate(now_ms, adapter);
        }
    }

    /// Drains the slot with the lowest cost of eviction and pins, on any engine that accepts
    /// requests and evictions: it gets no new pins, so that a load which found no slot can use it.
    fn drain_slot(&mut self, now_ms: u64, adapter: AdapterKey) {
        let Some(model) = self.adapters.get(adapter).map(|it| usize::from(it.model.0)) else {
            return;
        };
        let count = self.models[model].engines.len();
        let sampled = self.settings.sampled_engines.max(1).min(count);
        let start = if sampled < count { self.rng.usize(..count) } else { 0 };
        let mut draining_slots = 0;
        let mut best: Option<PlacementCandidate> = None;
        for offset in 0..sampled {
            let key = self.models[model].engines[(start + offset) % count];
            let engine = &self.engines[key];
            if !engine.accepts_requests(now_ms)
                || !self.can_order(now_ms, engine)
                || !self.can_evict(key)
            {
                continue;
            }
            for (slot, it) in engine.slots.iter().enumerate() {
                if it.is_draining {
                    draining_slots += 1;
                } else if it.state == SlotState::Ready && engine.slot_of(adapter).is_none() {
                    let cost = self.evict_cost(now_ms, it) + it.pins as f32 * self.queue.load_ms;
                    if best.is_none_or(|it| cost < it.cost) {
                        best = Some(PlacementCandidate { cost, engine: key, slot });
                    }
                }
            }
        }
        if draining_slots < self.settings.parallel_loads
            && let Some(candidate) = best
        {
            self.engines[candidate.engine].slots[candidate.slot].is_draining = true;
            self.is_draining = true;
        }
    }

    /// Stops draining slots when no load lacks a slot.
    pub(super) fn stop_draining(&mut self) {
        if !self.is_draining || self.queue.demands.iter().any(|it| it.blocked_since_ms.is_some()) {
            return;
        }
        self.is_draining = false;
        for engine in self.engines.values_mut() {
            for slot in &mut engine.slots {
                slot.is_draining = false;
            }
        }
    }

    /// Handles the end of a load order. Each order must end with this call, whatever happens to the
    /// engine, since it counts towards the store limit until then.
    pub fn load_finished(&mut self, now_ms: u64, load: LoadId, result: Result<(), LoadFailure>) {
        let Some(in_flight) = self.queue.finish(now_ms, load, result.is_ok()) else { return };
        let (engine, adapter) = (in_flight.engine, in_flight.adapter);
        if in_flight.is_engine_lost {
            self.adapters.remove_reference(adapter, now_ms);
            self.start_loads(now_ms);
            return;
        }
        // The unload order may reach the engine after the load has ended.
        let abandoned = in_flight.is_abandoned && result.is_ok();
        let result = if abandoned { Err(LoadFailure::Abandoned) } else { result };
        self.finish_slot_load(now_ms, engine, adapter, result);
        match result {
            Ok(()) => {
                let active = self.adapters.activate(adapter);
                active.failures = 0;
                active.is_unknown = false;
                active.backoffs.clear();
                self.place_waiting_for_adapter(now_ms, adapter);
            }
            Err(LoadFailure::Abandoned) => {}
            Err(LoadFailure::StaleToken) => {
                self.adapters.remove_reference(adapter, now_ms);
                self.depose(now_ms);
                return;
            }
            Err(LoadFailure::Leaving) => self.stop_new_work(now_ms, engine),
            Err(failure) => {
                if matches!(
                    failure,
                    LoadFailure::Unreachable | LoadFailure::TimedOut | LoadFailure::NoSlot
                ) {
                    self.back_off(now_ms, engine);
                }
                self.handle_load_failure(now_ms, engine, adapter, failure);
            }
        }
        self.reevaluate_demand(now_ms, adapter);
        self.adapters.remove_reference(adapter, now_ms);
        self.start_loads(now_ms);
    }

    /// Updates the slot of a load that ended.
    pub(super) fn finish_slot_load(
        &mut self,
        now_ms: u64,
        key: EngineKey,
        adapter: AdapterKey,
        result: Result<(), LoadFailure>,
    ) {
        let Some(engine) = self.engines.get_mut(key) else { return };
        engine.pending_loads = engine.pending_loads.saturating_sub(1);
        let Some(at) = engine.slot_of(adapter) else { return };
        let slot = &mut engine.slots[at];
        if slot.state != SlotState::Loading {
            return;
        }
        let started_ms = std::mem::replace(&mut slot.since_ms, now_ms);
        if result.is_ok() {
            slot.state = SlotState::Ready;
            self.adapters.activate(adapter).copies.push(key);
            return;
        }
        // The old adapter may not have been unloaded, and the new one may still be loading.
        slot.state = SlotState::Unknown;
        engine.recently_evicted.retain(|(_, since_ms)| *since_ms != started_ms);
        let (engine, address) = (engine.id, engine.address);
        self.effects.push(Effect::ReadSnapshot { engine, address });
    }

    /// Backs off after a failed load, and refuses the waiting requests after too many failures.
    fn handle_load_failure(
        &mut self,
        now_ms: u64,
        engine: EngineKey,
        adapter: AdapterKey,
        failure: LoadFailure,
    ) {
        let is_unknown = failure == LoadFailure::UnknownAdapter;
        let failures = self.adapters.activate(adapter).failures.saturating_add(1);
        let backoff_ms = self.backoff_ms(failures);
        let limit = self.settings.max_load_failures;
        let max_ms = self.settings.backoff_max_ms;
        let active = self.adapters.activate(adapter);
        active.failures = failures;
        active.backoffs.retain(|(it, until_ms)| *it != engine && *until_ms > now_ms);
        active.backoffs.push((engine, now_ms + backoff_ms));
        if failures < limit && !is_unknown {
            return;
        }
        active.is_unknown = is_unknown;
        active.refused_until_ms = now_ms + if is_unknown { max_ms } else { backoff_ms };
        if !active.copies.is_empty() {
            return;
        }
        let retry_ms = active.refused_until_ms - now_ms;
        let name = self.adapters.name(adapter).to_string();
        let waiting = self.adapters.activate(adapter).waiting.clone();
        for wait in waiting {
            self.refuse_waiting(now_ms, wait, load_failed_refusal(&name, is_unknown, retry_ms));
        }
    }

    /// Returns the exponential backoff after a number of consecutive failures, with jitter.
    pub(super) fn backoff_ms(&mut self, failures: u8) -> u64 {
        let doublings = u32::from(failures.saturating_sub(1).min(16));
        let full_ms = (self.settings.backoff_ms << doublings).min(self.settings.backoff_max_ms);
        full_ms - self.rng.u64(..=full_ms / 4)
    }
}
