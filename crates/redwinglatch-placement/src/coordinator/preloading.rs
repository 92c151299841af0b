//! Loading of popular adapters before they are requested.

use super::Coordinator;
use crate::{Effect, keys::AdapterKey};

/// Factor by which the gain of a preload has to exceed its cost.
const PRELOAD_MARGIN: f32 = 2.0;
/// Expected requests below which an adapter is not preloaded.
const PRELOAD_MIN_REQUESTS: f32 = 0.5;
/// The most candidates for preloading.
const MAX_PRELOAD_CANDIDATES: usize = 256;
/// Fraction of a load that must remain for its abandonment to save time.
const ABANDON_MIN_REMAINING_FRACTION: f32 = 0.5;

impl Coordinator {
    /// Adds an adapter to the candidates for preloading; replaces the least popular one if the list
    /// is full.
    pub(super) fn add_preload_candidate(&mut self, now_ms: u64, adapter: AdapterKey) {
        let value = self.adapters.popularity(adapter, now_ms);
        if value < PRELOAD_MIN_REQUESTS || self.preload_candidates.contains(&adapter) {
            return;
        }
        if self.preload_candidates.len() < MAX_PRELOAD_CANDIDATES {
            self.preload_candidates.push(adapter);
            return;
        }
        let popularity = |it: &AdapterKey| self.adapters.popularity(*it, now_ms);
        let least = (0..MAX_PRELOAD_CANDIDATES).min_by(|a, b| {
            popularity(&self.preload_candidates[*a])
                .total_cmp(&popularity(&self.preload_candidates[*b]))
        });
        if let Some(least) = least
            && popularity(&self.preload_candidates[least]) < value
        {
            self.preload_candidates[least] = adapter;
        }
    }

    /// Loads the most popular candidate that is not loaded on any engine, if the expected gain
    /// clearly exceeds the cost of the load and eviction.
    pub(super) fn preload(&mut self, now_ms: u64) {
        if !self.queue.in_flight.is_empty() || self.preload_candidates.is_empty() {
            return;
        }
        let adapters = &self.adapters;
        self.preload_candidates.retain(|it| {
            adapters.popularity(*it, now_ms) >= PRELOAD_MIN_REQUESTS
                && adapters.active(*it).is_none_or(|active| {
                    active.copies.is_empty() && active.refused_until_ms <= now_ms
                })
        });
        let popularity = |it: &AdapterKey| adapters.popularity(*it, now_ms);
        let best = self
            .preload_candidates
            .iter()
            .copied()
            .max_by(|a, b| popularity(a).total_cmp(&popularity(b)));
        let Some(adapter) = best else { return };
        let gain_ms = popularity(&adapter) * self.queue.load_ms * self.settings.stall_weight;
        let Ok(candidate) = self.choose_candidate(now_ms, adapter, None) else { return };
        if candidate.cost * PRELOAD_MARGIN < gain_ms {
            self.preload_candidates.retain(|it| *it != adapter);
            self.order_load(now_ms, adapter, candidate, true);
        }
    }

    /// Abandons a preload so that a load for a waiting request can start.
    pub(super) fn abandon_preload(&mut self, now_ms: u64) {
        let Some(epoch) = self.epoch else { return };
        if !self.queue.demands.iter().any(|it| it.wants_load && it.not_before_ms <= now_ms) {
            return;
        }
        let load_ms = self.queue.load_ms;
        let demands = &self.queue.demands;
        let abandoned = self.queue.in_flight.iter_mut().find(|it| {
            let remaining_ms = load_ms - now_ms.saturating_sub(it.started_ms) as f32;
            let wanted = demands.iter().any(|demand| demand.adapter == it.adapter);
            it.is_preload
                && !it.is_abandoned
                && !wanted
                && remaining_ms > ABANDON_MIN_REMAINING_FRACTION * load_ms
        });
        let Some(in_flight) = abandoned else { return };
        in_flight.is_abandoned = true;
        let in_flight = *in_flight;
        let engine = &self.engines[in_flight.engine];
        self.effects.push(Effect::Unload {
            epoch,
            engine: engine.id,
            address: engine.address,
            adapter: self.adapters.name(in_flight.adapter),
        });
    }
}
