//! Ordering loads from the weight store.

use redwinglatch_core::RefusalReason;
use smallvec::SmallVec;

use super::{
    Coordinator,
    placing::{failed_refusal, late_refusal},
    retry_after,
};
use crate::{
    Effect, LoadFailure, LoadId, LoadOrder,
    engine::{Engine, Slot, SlotState},
    keys::{AdapterKey, EngineKey, WaitKey},
    queue::Demand,
};

/// Demands tried for each free lane; those before may all lack a slot.
const START_ATTEMPTS: usize = 8;
/// Part of an adapter's stall that evicting one of several copies costs.
const COPY_VALUE: f32 = 0.2;
/// Part of a batch from which on an engine counts as crowded.
const CROWDED_PART: f32 = 0.5;
/// How much more popular than the evicted adapter a preloaded one has to be.
const PRELOAD_MARGIN: f32 = 2.0;
/// Expected requests below which an adapter is not preloaded.
const PRELOAD_MIN: f32 = 0.5;
/// Load times that a wait for a place in a batch may take at most before a copy is loaded.
const COPY_PATIENCE: f32 = 2.0;
/// Time in which the count of loads halves.
const LOADS_HALF_LIFE_MS: u32 = 20_000;
/// Adapters remembered for preloading.
const LOST_LIMIT: usize = 256;
/// Part of a load that is still ahead when abandoning it pays.
const ABANDON_PART: f32 = 0.5;

/// An engine and slot for a load.
#[derive(Debug, Clone, Copy)]
struct Target {
    cost: f32,
    engine: EngineKey,
    slot: usize,
}

/// Why there is no engine for a load.
enum NoTarget {
    /// All slots or batches are in use.
    Blocked,
    /// Engines are backing off until then.
    Later(u64),
}

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

    /// The engine and slot for which loading `adapter` costs least.
    fn choose_target(
        &mut self,
        now_ms: u64,
        adapter: AdapterKey,
        demand: Option<&Demand>,
    ) -> Result<Target, NoTarget> {
        let Some(model) = self.adapters.get(adapter).map(|it| usize::from(it.model.0)) else {
            return Err(NoTarget::Blocked);
        };
        let count = self.models[model].engines.len();
        let sampled = self.settings.sampled_engines.max(1).min(count);
        // A random start and a run of neighbours is a sample, since the order of engines means
        // nothing; it needs one random number for each decision.
        let start = if sampled < count { self.rng.usize(..count) } else { 0 };
        let mut best: Option<Target> = None;
        let mut later_ms = u64::MAX;
        for offset in 0..sampled {
            let key = self.models[model].engines[(start + offset) % count];
            let engine = &self.engines[key];
            if let Some(until_ms) = self.load_backoff(now_ms, key, engine, adapter) {
                later_ms = later_ms.min(until_ms);
                continue;
            }
            if !engine.takes_work(now_ms)
                || !self.may_order(now_ms, engine)
                || engine.slot_of(adapter).is_some()
            {
                continue;
            }
            if let Some(demand) = demand {
                if engine.free_places() == 0 || self.all_exclude(demand.adapter, key) {
                    continue;
                }
            } else if engine.is_stale(now_ms, self.settings.report_stale_ms) {
                continue;
            }
            let Some((slot, evict_cost)) = self.choose_slot(now_ms, key, engine) else { continue };
            let mut cost = evict_cost
                + engine.step_ms_per_request(&self.settings, true) * self.settings.batch_weight;
            cost += self.crowding_cost(now_ms, engine, adapter);
            if engine.is_stale(now_ms, self.settings.report_stale_ms) {
                cost += self.queue.load_ms;
            }
            if demand.is_some_and(|it| self.is_distant(it.adapter, engine)) {
                cost += self.settings.distance_ms as f32;
            }
            if best.is_none_or(|it| cost < it.cost) {
                best = Some(Target { cost, engine: key, slot });
            }
        }
        match best {
            Some(target) => Ok(target),
            None if later_ms != u64::MAX => Err(NoTarget::Later(later_ms)),
            None => Err(NoTarget::Blocked),
        }
    }

    /// The cost of an engine whose adapters are expected to fill the batch: requests for them would
    /// wait for each other, although their adapters are loaded.
    fn crowding_cost(&self, now_ms: u64, engine: &Engine, adapter: AdapterKey) -> f32 {
        let expected = |it: AdapterKey, further: usize| {
            let copies = self.adapters.active(it).map_or(0, |active| active.copies.len());
            self.adapters.popularity(it, now_ms) / (copies + further).max(1) as f32
        };
        let requests = engine.slots.iter().filter_map(|it| it.adapter).map(|it| expected(it, 0));
        let requests = requests.sum::<f32>() + expected(adapter, 1);
        let per_ms =
            requests * std::f32::consts::LN_2 / self.settings.popularity_half_life_ms as f32;
        let crowded = per_ms * self.run_ms - CROWDED_PART * engine.max_batch as f32;
        crowded.max(0.0) * self.queue.load_ms
    }

    /// Until when the engine should not load `adapter`, if it failed to.
    fn load_backoff(
        &self,
        now_ms: u64,
        key: EngineKey,
        engine: &Engine,
        adapter: AdapterKey,
    ) -> Option<u64> {
        let active = self.adapters.active(adapter)?;
        let load = active.backoffs.iter().find(|(it, _)| *it == key).map(|(_, until_ms)| *until_ms);
        let until_ms = load.unwrap_or(0).max(engine.blocked_until_ms);
        (until_ms > now_ms && !engine.leaving && !engine.removed).then_some(until_ms)
    }

    fn all_exclude(&self, adapter: AdapterKey, engine: EngineKey) -> bool {
        self.adapters.active(adapter).is_some_and(|it| {
            !it.waiting.is_empty()
                && it.waiting.iter().all(|wait| self.waiting[*wait].excluded.contains(&engine))
        })
    }

    fn is_distant(&self, adapter: AdapterKey, engine: &Engine) -> bool {
        let first = self.adapters.active(adapter).and_then(|it| it.waiting.first());
        first.is_some_and(|it| self.waiting[*it].data_centre != Some(engine.data_centre))
    }

    /// The slot that costs least to load into: an empty one, or that of the unused adapter with
    /// the fewest expected requests.
    fn choose_slot(&self, now_ms: u64, key: EngineKey, engine: &Engine) -> Option<(usize, f32)> {
        let may_evict = self.may_evict(key);
        let mut best: Option<(usize, f32)> = None;
        for (at, slot) in engine.slots.iter().enumerate() {
            let cost = match slot.state {
                SlotState::Empty if slot.is_unused() => 0.0,
                SlotState::Ready if may_evict && slot.is_unused() => self.evict_cost(now_ms, slot),
                _ => continue,
            };
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((at, cost));
            }
        }
        best
    }

    /// The stall that evicting the slot's adapter is expected to cause.
    fn evict_cost(&self, now_ms: u64, slot: &Slot) -> f32 {
        let Some(adapter) = slot.adapter else { return 0.0 };
        let stall_ms = self.adapters.popularity(adapter, now_ms)
            * self.queue.load_ms
            * self.settings.stall_weight;
        let copies = self.adapters.active(adapter).map_or(0, |it| it.copies.len());
        if copies > 1 { stall_ms * COPY_VALUE } else { stall_ms }
    }

    /// Sends the order and takes the slot for the adapter.
    fn order_load(&mut self, now_ms: u64, adapter: AdapterKey, target: Target, preload: bool) {
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

    /// Remembers an adapter for preloading, in place of the least popular one if need be.
    fn remember_lost(&mut self, now_ms: u64, adapter: AdapterKey) {
        let value = self.adapters.popularity(adapter, now_ms);
        if value < PRELOAD_MIN || self.lost_adapters.contains(&adapter) {
            return;
        }
        if self.lost_adapters.len() < LOST_LIMIT {
            self.lost_adapters.push(adapter);
            return;
        }
        let worth = |it: &AdapterKey| self.adapters.popularity(*it, now_ms);
        let least = (0..LOST_LIMIT).min_by(|a, b| {
            worth(&self.lost_adapters[*a]).total_cmp(&worth(&self.lost_adapters[*b]))
        });
        if let Some(least) = least
            && worth(&self.lost_adapters[least]) < value
        {
            self.lost_adapters[least] = adapter;
        }
    }

    /// Loads the most popular adapter that is nowhere ready, if it is worth more than the one it
    /// would replace.
    fn preload(&mut self, now_ms: u64) {
        if !self.queue.in_flight.is_empty() || self.lost_adapters.is_empty() {
            return;
        }
        let adapters = &self.adapters;
        self.lost_adapters.retain(|it| {
            adapters.popularity(*it, now_ms) >= PRELOAD_MIN
                && adapters.active(*it).is_none_or(|active| {
                    active.copies.is_empty() && active.refused_until_ms <= now_ms
                })
        });
        let worth = |it: &AdapterKey| adapters.popularity(*it, now_ms);
        let best = self.lost_adapters.iter().copied().max_by(|a, b| worth(a).total_cmp(&worth(b)));
        let Some(adapter) = best else { return };
        let gain_ms = worth(&adapter) * self.queue.load_ms * self.settings.stall_weight;
        let Ok(target) = self.choose_target(now_ms, adapter, None) else { return };
        if target.cost * PRELOAD_MARGIN < gain_ms {
            self.lost_adapters.retain(|it| *it != adapter);
            self.order_load(now_ms, adapter, target, true);
        }
    }

    /// Gives a lane that preloads to a waiting request.
    fn abandon_preload(&mut self, now_ms: u64) {
        let Some(epoch) = self.epoch else { return };
        if !self.queue.demands.iter().any(|it| it.wants_load && it.not_before_ms <= now_ms) {
            return;
        }
        let load_ms = self.queue.load_ms;
        let demands = &self.queue.demands;
        let abandoned = self.queue.in_flight.iter_mut().find(|it| {
            let left_ms = load_ms - now_ms.saturating_sub(it.started_ms) as f32;
            let wanted = demands.iter().any(|demand| demand.adapter == it.adapter);
            it.preload && !it.abandoned && !wanted && left_ms > ABANDON_PART * load_ms
        });
        let Some(in_flight) = abandoned else { return };
        in_flight.abandoned = true;
        let in_flight = *in_flight;
        let engine = &self.engines[in_flight.engine];
        self.effects.push(Effect::Unload {
            epoch,
            engine: engine.id,
            address: engine.address,
            adapter: self.adapters.name(in_flight.adapter),
        });
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
    fn stop_draining(&mut self) {
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

    /// Takes the end of a load order.
    pub fn load_finished(&mut self, now_ms: u64, load: LoadId, result: Result<(), LoadFailure>) {
        let Some(in_flight) = self.queue.finish(now_ms, load, result.is_ok()) else { return };
        let (engine, adapter) = (in_flight.engine, in_flight.adapter);
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

    /// Decides again whether the requests that wait for `adapter` want a load.
    pub(super) fn renew_demand(&mut self, now_ms: u64, adapter: AdapterKey) {
        let Some(at) = self.queue.position(adapter) else { return };
        if self.queue.is_loading(adapter).is_some() {
            return;
        }
        let usable = self.has_usable_copy(now_ms, adapter);
        let demand = self.queue.demands[at];
        // A further copy is wanted only if waiting for a place costs more than a load.
        let wait_ms = self.capacity_wait_ms(&Demand { wants_load: false, ..demand });
        let waited_ms = now_ms - demand.enqueued_ms;
        let room = self
            .adapters
            .get(adapter)
            .is_some_and(|it| self.models[usize::from(it.model.0)].free_places > 0);
        let weight = self.settings.batch_weight / self.settings.stall_weight.max(f32::EPSILON);
        let copy = room
            && wait_ms.max(waited_ms) as f32
                > self.queue.load_ms * weight.clamp(1.0, COPY_PATIENCE);
        let demand = &mut self.queue.demands[at];
        demand.wants_load = !usable || copy;
        if !demand.wants_load {
            demand.blocked_since_ms = None;
        }
    }

    /// Looks through the queue: decides again what wants a load, and refuses at once what can't be
    /// served in time any more.
    pub(super) fn refuse_unservable(&mut self, now_ms: u64) {
        if !self.settled || self.queue.demands.is_empty() {
            self.stop_draining();
            return;
        }
        let adapters: Vec<AdapterKey> = self.queue.demands.iter().map(|it| it.adapter).collect();
        for adapter in adapters {
            self.renew_demand(now_ms, adapter);
        }
        self.stop_draining();
        let schedule = self.queue.schedule(now_ms, &self.customers);
        let mut late: SmallVec<[(WaitKey, u64, bool); 8]> = SmallVec::new();
        for scheduled in &schedule {
            let demand = &self.queue.demands[scheduled.at];
            let ready_ms = scheduled.ready_ms.max(now_ms + self.capacity_wait_ms(demand));
            self.collect_late(demand, ready_ms, true, &mut late);
        }
        for demand in self.queue.demands.iter().filter(|it| !it.wants_load) {
            if self.queue.is_loading(demand.adapter).is_none() {
                let ready_ms = now_ms + self.capacity_wait_ms(demand);
                self.collect_late(demand, ready_ms, false, &mut late);
            }
        }
        for (wait, late_ms, load) in late {
            let mut refusal = late_refusal(late_ms, 0, "load queue");
            if !load {
                refusal.reason = RefusalReason::Overloaded;
                refusal.detail = "all batches are full".into();
                refusal.retry_after_ms = Some(retry_after(late_ms));
            }
            self.refuse_waiting(now_ms, wait, refusal);
        }
    }

    fn collect_late(
        &self,
        demand: &Demand,
        ready_ms: u64,
        load: bool,
        late: &mut SmallVec<[(WaitKey, u64, bool); 8]>,
    ) {
        let Some(active) = self.adapters.active(demand.adapter) else { return };
        for wait in &active.waiting {
            let give_up_ms = self.waiting[*wait].give_up_ms();
            if ready_ms > give_up_ms {
                late.push((*wait, ready_ms - give_up_ms, load));
            }
        }
    }
}
