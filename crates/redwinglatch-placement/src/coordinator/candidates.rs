//! Selection of the engine and slot for a load.

use super::Coordinator;
use crate::{
    engine_state::{AdapterSlot, EngineState, SlotState},
    keys::{AdapterKey, EngineKey},
    load_queue::AdapterDemand,
};

/// Fraction of an adapter's expected stall that counts when one of several copies is evicted.
const EXTRA_COPY_FACTOR: f32 = 0.2;
/// Fraction of a batch above which expected requests make an engine crowded.
const CROWDED_BATCH_FRACTION: f32 = 0.5;
/// Number of engine steps whose time is weighed against the stall of a load. With 1, batch
/// efficiency was at times below that of hash affinity; with 20, requests waited longer after a
/// popularity shift.
const WEIGHED_STEPS: f32 = 4.0;

/// An engine and slot for a load, with its cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacementCandidate {
    pub(super) cost: f32,
    pub(super) engine: EngineKey,
    pub(super) slot: usize,
}

/// Reason why no engine can load an adapter now.
pub(super) enum NoCandidate {
    /// All slots or batches are in use.
    Blocked,
    /// Engines are backing off; the first backoff ends at this time.
    RetryAt(u64),
}

impl Coordinator {
    /// Returns the engine and slot with the lowest cost for loading `adapter`.
    pub(super) fn choose_candidate(
        &mut self,
        now_ms: u64,
        adapter: AdapterKey,
        demand: Option<&AdapterDemand>,
    ) -> Result<PlacementCandidate, NoCandidate> {
        let Some(model) = self.adapters.get(adapter).map(|it| usize::from(it.model.0)) else {
            return Err(NoCandidate::Blocked);
        };
        let count = self.models[model].engines.len();
        let sampled = self.settings.sampled_engines.max(1).min(count);
        // Neighbours of a random engine are a valid sample, since the order of the engines carries
        // no meaning; this takes only one random number per decision.
        let start = if sampled < count { self.rng.usize(..count) } else { 0 };
        let mut best: Option<PlacementCandidate> = None;
        let mut retry_at_ms = u64::MAX;
        for offset in 0..sampled {
            let key = self.models[model].engines[(start + offset) % count];
            let engine = &self.engines[key];
            if let Some(until_ms) = self.load_backoff(now_ms, key, engine, adapter) {
                retry_at_ms = retry_at_ms.min(until_ms);
                continue;
            }
            if !engine.accepts_requests(now_ms)
                || !self.can_order(now_ms, engine)
                || engine.slot_of(adapter).is_some()
            {
                continue;
            }
            if let Some(demand) = demand {
                if engine.free_batch_places() == 0 || self.all_waiting_exclude(demand.adapter, key)
                {
                    continue;
                }
            } else if engine.is_stale(now_ms, self.settings.snapshot_stale_ms) {
                continue;
            }
            let Some((slot, evict_cost)) = self.choose_slot(now_ms, key, engine) else {
                continue;
            };
            let mut cost = evict_cost
                + WEIGHED_STEPS
                    * engine.step_ms_per_request(&self.settings, true)
                    * self.settings.batch_weight;
            cost += self.crowding_cost(now_ms, engine, adapter);
            if engine.is_stale(now_ms, self.settings.snapshot_stale_ms) {
                cost += self.queue.load_ms;
            }
            if demand.is_some_and(|it| self.is_in_other_data_centre(it.adapter, engine)) {
                cost += self.settings.distance_ms as f32;
            }
            if best.is_none_or(|it| cost < it.cost) {
                best = Some(PlacementCandidate { cost, engine: key, slot });
            }
        }
        match best {
            Some(candidate) => Ok(candidate),
            None if retry_at_ms != u64::MAX => Err(NoCandidate::RetryAt(retry_at_ms)),
            None => Err(NoCandidate::Blocked),
        }
    }

    /// Returns the cost of loading `adapter` on an engine whose adapters are expected to fill the
    /// batch: requests for them would wait for each other although their adapters are loaded.
    pub(super) fn crowding_cost(
        &self,
        now_ms: u64,
        engine: &EngineState,
        adapter: AdapterKey,
    ) -> f32 {
        let expected = |it: AdapterKey, additional_copies: usize| {
            let copies = self.adapters.active(it).map_or(0, |active| active.copies.len());
            self.adapters.popularity(it, now_ms) / (copies + additional_copies).max(1) as f32
        };
        let requests = engine.slots.iter().filter_map(|it| it.adapter).map(|it| expected(it, 0));
        let requests = requests.sum::<f32>() + expected(adapter, 1);
        let per_ms =
            requests * std::f32::consts::LN_2 / self.settings.popularity_half_life_ms as f32;
        let crowded = per_ms * self.mean_run_ms - CROWDED_BATCH_FRACTION * engine.max_batch as f32;
        crowded.max(0.0) * self.queue.load_ms
    }

    /// Returns the time until which the engine should not load `adapter` because of an earlier
    /// failure.
    pub(super) fn load_backoff(
        &self,
        now_ms: u64,
        key: EngineKey,
        engine: &EngineState,
        adapter: AdapterKey,
    ) -> Option<u64> {
        let active = self.adapters.active(adapter)?;
        let load = active.backoffs.iter().find(|(it, _)| *it == key).map(|(_, until_ms)| *until_ms);
        let until_ms = load.unwrap_or(0).max(engine.backoff_until_ms);
        (until_ms > now_ms && !engine.is_leaving && !engine.is_removed).then_some(until_ms)
    }

    pub(super) fn all_waiting_exclude(&self, adapter: AdapterKey, engine: EngineKey) -> bool {
        self.adapters.active(adapter).is_some_and(|it| {
            !it.waiting.is_empty()
                && it
                    .waiting
                    .iter()
                    .all(|wait| self.waiting[*wait].excluded_engines.contains(&engine))
        })
    }

    pub(super) fn is_in_other_data_centre(
        &self,
        adapter: AdapterKey,
        engine: &EngineState,
    ) -> bool {
        let first = self.adapters.active(adapter).and_then(|it| it.waiting.first());
        first.is_some_and(|it| self.waiting[*it].data_centre != Some(engine.data_centre))
    }

    /// Returns the slot with the lowest cost and that cost: an empty slot, or that of the unused
    /// adapter whose eviction costs least.
    pub(super) fn choose_slot(
        &self,
        now_ms: u64,
        key: EngineKey,
        engine: &EngineState,
    ) -> Option<(usize, f32)> {
        let can_evict = self.can_evict(key);
        let mut best: Option<(usize, f32)> = None;
        for (at, slot) in engine.slots.iter().enumerate() {
            let cost = match slot.state {
                SlotState::Empty if slot.is_unused() => 0.0,
                SlotState::Ready if can_evict && slot.is_unused() => self.evict_cost(now_ms, slot),
                _ => continue,
            };
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((at, cost));
            }
        }
        best
    }

    /// Returns the weighted stall expected from evicting the slot's adapter.
    pub(super) fn evict_cost(&self, now_ms: u64, slot: &AdapterSlot) -> f32 {
        let Some(adapter) = slot.adapter else { return 0.0 };
        let stall_ms = self.adapters.popularity(adapter, now_ms)
            * self.queue.load_ms
            * self.settings.stall_weight;
        let copies = self.adapters.active(adapter).map_or(0, |it| it.copies.len());
        if copies > 1 { stall_ms * EXTRA_COPY_FACTOR } else { stall_ms }
    }
}
