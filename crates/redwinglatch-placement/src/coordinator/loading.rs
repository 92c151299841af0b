//! Ordering loads from the weight store.

use super::{
    Coordinator,
    placing::failed_refusal,
    targets::{NoTarget, Target},
};
use crate::{
    Effect, LoadFailure, LoadId, LoadOrder,
    engine::{Slot, SlotState},
    keys::{AdapterKey, EngineKey},
};

/// Demands tried for each free lane; those before may all lack a slot.
const START_ATTEMPTS: usize = 8;
/// Time in which the count of loads halves.
const LOADS_HALF_LIFE_MS: u32 = 20_000;

impl Coordinator {
    /// Starts loads as long as the store has a free lane.
    pub(super) fn start_loads(&mut self, now_ms: u64) {
        if !self.settled || !self.is_in_charge(now_ms) {
            return;
        }
        if !self.queue.has_free_lane() {
            self.abandon_preload(now_ms);
            return;
        }
        while self.queue.has_free_lane() && self.start_one(now_ms) {}
        if self.queue.has_free_lane() && self.queue.demands.is_empty() && self.settings.preload {
            self.preload(now_ms);
        }
    }

    /// Starts the load of the first demand that has an engine.
    fn start_one(&mut self, now_ms: u64) -> bool {
        if !self.queue.demands.iter().any(|it| it.wants_load) {
            return false;
        }
        let order = self.queue.start_order(now_ms, &self.customers);
        for scheduled in order.into_iter().take(START_ATTEMPTS) {
            let demand = self.queue.demands[scheduled.at];
            if demand.not_before_ms > now_ms || self.queue.is_loading(demand.adapter).is_some() {
                continue;
            }
            match self.choose_target(now_ms, demand.adapter, Some(&demand)) {
                Ok(target) => {
                    let demand = &mut self.queue.demands[scheduled.at];
                    demand.wants_load = false;
                    demand.blocked_since_ms = None;
                    let (adapter, customer) = (demand.adapter, demand.customer);
                    self.customers.count_load(customer, now_ms);
                    self.customers.refresh(now_ms);
                    self.order_load(now_ms, adapter, target, false);
                    return true;
                }
                Err(NoTarget::Later(until_ms)) => {
                    self.queue.demands[scheduled.at].not_before_ms = until_ms;
                }
                Err(NoTarget::Blocked) => {
                    let since = &mut self.queue.demands[scheduled.at].blocked_since_ms;
                    let since_ms = *since.get_or_insert(now_ms);
                    if now_ms - since_ms >= self.drain_after_ms() {
                        self.drain_slot(now_ms, demand.adapter);
                    }
                }
            }
        }
        false
    }

    /// How long a load lacks a slot before one is drained for it.
    fn drain_after_ms(&self) -> u64 {
        self.queue.load_ms as u64
    }

    /// Sends the order and takes the slot for the adapter.
    pub(super) fn order_load(
        &mut self,
        now_ms: u64,
        adapter: AdapterKey,
        target: Target,
        preload: bool,
    ) {
        let Some(epoch) = self.epoch else { return };
        let load = self.queue.start(now_ms, target.engine, adapter, preload);
        self.loads.add(now_ms, LOADS_HALF_LIFE_MS);
        let slots: usize = self.engines.values().map(|it| it.slots.len()).sum();
        let per_ms = self.loads.long_count(now_ms, LOADS_HALF_LIFE_MS) * std::f32::consts::LN_2
            / LOADS_HALF_LIFE_MS as f32;
        self.recent_ms = (slots as f32 / per_ms) as u64;
        let evicted = self.clear_slot(now_ms, target.engine, target.slot);
        // One reference is the slot's, one that of the load in flight.
        self.adapters.hold(adapter);
        self.adapters.hold(adapter);
        let pins = self.count_pins(target.engine, adapter);
        let engine = &mut self.engines[target.engine];
        engine.loading += 1;
        if let Some(evicted) = evicted {
            engine.evicted.retain(|(it, _)| *it != evicted);
            engine.evicted.push((evicted, now_ms));
        }
        engine.evicted.retain(|(it, _)| *it != adapter);
        engine.slots[target.slot] = Slot {
            state: SlotState::Loading,
            adapter: Some(adapter),
            pins,
            since_ms: now_ms,
            ..Slot::default()
        };
        let order = LoadOrder {
            load,
            epoch,
            engine: engine.id,
            address: engine.address,
            adapter: self.adapters.name(adapter),
            evict: evicted.map(|it| self.adapters.name(it)),
            preload,
        };
        if let Some(evicted) = evicted {
            self.adapters.drop_hold(evicted, now_ms);
        }
        self.effects.push(Effect::Load(order));
    }

    /// Takes the adapter out of a slot and returns it, still held.
    fn clear_slot(&mut self, now_ms: u64, engine: EngineKey, slot: usize) -> Option<AdapterKey> {
        let taken = std::mem::take(&mut self.engines[engine].slots[slot]);
        let adapter = taken.adapter?;
        self.remove_copy(now_ms, adapter, engine);
        Some(adapter)
    }

    /// Forgets that `adapter` is ready on the engine.
    pub(super) fn remove_copy(&mut self, now_ms: u64, adapter: AdapterKey, engine: EngineKey) {
        let Some(active) = self.adapters.active_mut(adapter) else { return };
        let before = active.copies.len();
        active.copies.retain(|it| *it != engine);
        if before > 0 && active.copies.is_empty() {
            self.remember_lost(now_ms, adapter);
        }
    }

    /// Keeps new pins off a slot, so that a load which found no slot gets it: the one that is
    /// expected to be missed least, among those with a place in their engine's batch.
    fn drain_slot(&mut self, now_ms: u64, adapter: AdapterKey) {
        let Some(model) = self.adapters.get(adapter).map(|it| usize::from(it.model.0)) else {
            return;
        };
        let count = self.models[model].engines.len();
        let sampled = self.settings.sampled_engines.max(1).min(count);
        let start = if sampled < count { self.rng.usize(..count) } else { 0 };
        let mut draining = 0;
        let mut best: Option<Target> = None;
        for offset in 0..sampled {
            let key = self.models[model].engines[(start + offset) % count];
            let engine = &self.engines[key];
            if !engine.takes_work(now_ms) || !self.may_order(now_ms, engine) || !self.may_evict(key)
            {
                continue;
            }
            for (slot, it) in engine.slots.iter().enumerate() {
                if it.draining {
                    draining += 1;
                } else if it.state == SlotState::Ready && engine.slot_of(adapter).is_none() {
                    let cost = self.evict_cost(now_ms, it) + it.pins as f32 * self.queue.load_ms;
                    if best.is_none_or(|it| cost < it.cost) {
                        best = Some(Target { cost, engine: key, slot });
                    }
                }
            }
        }
        if draining < self.settings.parallel_loads
            && let Some(target) = best
        {
            self.engines[target.engine].slots[target.slot].draining = true;
            self.draining = true;
        }
    }

    /// Lets draining slots serve again when no load lacks a slot.
    pub(super) fn stop_draining(&mut self) {
        if !self.draining || self.queue.demands.iter().any(|it| it.blocked_since_ms.is_some()) {
            return;
        }
        self.draining = false;
        for engine in self.engines.values_mut() {
            for slot in &mut engine.slots {
                slot.draining = false;
            }
        }
    }

    /// Takes the end of a load order. Each order needs one, whatever happens to the engine: it takes
    /// one of the store's lanes until then.
    pub fn load_finished(&mut self, now_ms: u64, load: LoadId, result: Result<(), LoadFailure>) {
        let Some(in_flight) = self.queue.finish(now_ms, load, result.is_ok()) else { return };
        let (engine, adapter) = (in_flight.engine, in_flight.adapter);
        if in_flight.void {
            self.adapters.drop_hold(adapter, now_ms);
            self.start_loads(now_ms);
            return;
        }
        // The order to unload may reach the engine after the load's end.
        let abandoned = in_flight.abandoned && result.is_ok();
        let result = if abandoned { Err(LoadFailure::Abandoned) } else { result };
        self.end_loading(now_ms, engine, adapter, result);
        match result {
            Ok(()) => {
                let active = self.adapters.activate(adapter);
                active.failures = 0;
                active.unknown = false;
                active.backoffs.clear();
                self.serve_adapter(now_ms, adapter);
            }
            Err(LoadFailure::Abandoned) => {}
            Err(LoadFailure::StaleToken) => {
                self.adapters.drop_hold(adapter, now_ms);
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
                self.count_load_failure(now_ms, engine, adapter, failure);
            }
        }
        self.renew_demand(now_ms, adapter);
        self.adapters.drop_hold(adapter, now_ms);
        self.start_loads(now_ms);
    }

    /// Sets the slot of a load that ended.
    pub(super) fn end_loading(
        &mut self,
        now_ms: u64,
        key: EngineKey,
        adapter: AdapterKey,
        result: Result<(), LoadFailure>,
    ) {
        let Some(engine) = self.engines.get_mut(key) else { return };
        engine.loading = engine.loading.saturating_sub(1);
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
        // Whether the old adapter was unloaded or the new one is still coming can't be told.
        slot.state = SlotState::Unknown;
        engine.evicted.retain(|(_, since_ms)| *since_ms != started_ms);
        let (engine, address) = (engine.id, engine.address);
        self.effects.push(Effect::ReadReport { engine, address });
    }

    /// Backs off from a failed load and refuses the waiting requests after too many.
    fn count_load_failure(
        &mut self,
        now_ms: u64,
        engine: EngineKey,
        adapter: AdapterKey,
        failure: LoadFailure,
    ) {
        let unknown = failure == LoadFailure::UnknownAdapter;
        let failures = self.adapters.activate(adapter).failures.saturating_add(1);
        let backoff_ms = self.backoff_ms(failures);
        let limit = self.settings.max_load_failures;
        let max_ms = self.settings.backoff_max_ms;
        let active = self.adapters.activate(adapter);
        active.failures = failures;
        active.backoffs.retain(|(it, until_ms)| *it != engine && *until_ms > now_ms);
        active.backoffs.push((engine, now_ms + backoff_ms));
        if failures < limit && !unknown {
            return;
        }
        active.unknown = unknown;
        active.refused_until_ms = now_ms + if unknown { max_ms } else { backoff_ms };
        if !active.copies.is_empty() {
            return;
        }
        let retry_ms = active.refused_until_ms - now_ms;
        let name = self.adapters.name(adapter).to_string();
        let waiting = self.adapters.activate(adapter).waiting.clone();
        for wait in waiting {
            self.refuse_waiting(now_ms, wait, failed_refusal(&name, unknown, retry_ms));
        }
    }

    /// The wait after a number of failures in a row, with jitter.
    pub(super) fn backoff_ms(&mut self, failures: u8) -> u64 {
        let doublings = u32::from(failures.saturating_sub(1).min(16));
        let full_ms = (self.settings.backoff_ms << doublings).min(self.settings.backoff_max_ms);
        full_ms - self.rng.u64(..=full_ms / 4)
    }
}
