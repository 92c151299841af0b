//! Loading popular adapters before a request asks for them.

use super::Coordinator;
use crate::{Effect, keys::AdapterKey};

/// How much more popular than the evicted adapter a preloaded one has to be.
const PRELOAD_MARGIN: f32 = 2.0;
/// Expected requests below which an adapter is not preloaded.
const PRELOAD_MIN: f32 = 0.5;
/// Adapters remembered for preloading.
const LOST_LIMIT: usize = 256;
/// Part of a load that is still ahead when abandoning it pays.
const ABANDON_PART: f32 = 0.5;

impl Coordinator {
    /// Remembers an adapter for preloading, in place of the least popular one if need be.
    pub(super) fn remember_lost(&mut self, now_ms: u64, adapter: AdapterKey) {
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
    pub(super) fn preload(&mut self, now_ms: u64) {
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
    pub(super) fn abandon_preload(&mut self, now_ms: u64) {
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
}
