//! Choosing the engine and slot of a load.

use super::Coordinator;
use crate::{
    engine::{Engine, Slot, SlotState},
    keys::{AdapterKey, EngineKey},
    queue::Demand,
};

/// Part of an adapter's stall that evicting one of several copies costs.
const COPY_VALUE: f32 = 0.2;
/// Part of a batch from which on an engine counts as crowded.
const CROWDED_PART: f32 = 0.5;
/// Engine steps whose time counts against the stall of a load. With 1, batch efficiency was at
/// times below that of hash affinity; with 20, requests waited longer after a shift of popularity.
const COUNTED_STEPS: f32 = 4.0;

/// An engine and slot for a load.
#[derive(Debug, Clone, Copy)]
pub(super) struct Target {
    pub(super) cost: f32,
    pub(super) engine: EngineKey,
    pub(super) slot: usize,
}

/// Why there is no engine for a load.
pub(super) enum NoTarget {
    /// All slots or batches are in use.
    Blocked,
    /// Engines are backing off until then.
    Later(u64),
}

impl Coordinator {
    /// The engine and slot for which loading `adapter` costs least.
    pub(super) fn choose_target(
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
                + COUNTED_STEPS
                    * engine.step_ms_per_request(&self.settings, true)
                    * self.settings.batch_weight;
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
    pub(super) fn crowding_cost(&self, now_ms: u64, engine: &Engine, adapter: AdapterKey) -> f32 {
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
    pub(super) fn load_backoff(
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

    pub(super) fn all_exclude(&self, adapter: AdapterKey, engine: EngineKey) -> bool {
        self.adapters.active(adapter).is_some_and(|it| {
            !it.waiting.is_empty()
                && it.waiting.iter().all(|wait| self.waiting[*wait].excluded.contains(&engine))
        })
    }

    pub(super) fn is_distant(&self, adapter: AdapterKey, engine: &Engine) -> bool {
        let first = self.adapters.active(adapter).and_then(|it| it.waiting.first());
        first.is_some_and(|it| self.waiting[*it].data_centre != Some(engine.data_centre))
    }

    /// The slot that costs least to load into: an empty one, or that of the unused adapter with
    /// the fewest expected requests.
    pub(super) fn choose_slot(
        &self,
        now_ms: u64,
        key: EngineKey,
        engine: &Engine,
    ) -> Option<(usize, f32)> {
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
    pub(super) fn evict_cost(&self, now_ms: u64, slot: &Slot) -> f32 {
        let Some(adapter) = slot.adapter else { return 0.0 };
        let stall_ms = self.adapters.popularity(adapter, now_ms)
            * self.queue.load_ms
            * self.settings.stall_weight;
        let copies = self.adapters.active(adapter).map_or(0, |it| it.copies.len());
        if copies > 1 { stall_ms * COPY_VALUE } else { stall_ms }
    }
}
