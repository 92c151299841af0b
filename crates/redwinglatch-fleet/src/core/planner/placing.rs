//! Places requests on engines that have their adapter loaded.

use std::collections::HashSet;

use crate::{
    ids::{BackendKey, ModelName},
    message::{PlaceReply, PlaceRequest},
};

use super::{
    AddressedPlaceReply, FULL_BATCH_COST_MS, MIN_WAITING_ADAPTER_LIMIT, PIN_EXPIRY_SLACK_MS, Pin,
    Planner, RETRY_AFTER_RANGE_MS, WAITING_ADAPTERS_PER_STORE_LOAD, engine::ModelPhase,
    waiting_request::WaitingRequest,
};

impl Planner {
    /// Places waiting requests on engines that have their adapter loaded, the most urgent first,
    /// and refuses those that have timed out.
    pub(super) fn place_waiting(&mut self, now_ms: u64) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|waiting| waiting.rank(now_ms));
        // If the most urgent request for an adapter can't be placed, the others can't either.
        let mut blocked: HashSet<ModelName> = HashSet::new();
        waiting.retain(|waiting| {
            if blocked.contains(&waiting.request.model) && !waiting.has_timed_out(now_ms) {
                return true;
            }
            let is_done = self.try_place(now_ms, waiting);
            if !is_done {
                blocked.insert(waiting.request.model.clone());
            }
            !is_done
        });
        self.waiting = waiting;
        self.refuse_excess(now_ms);
    }

    /// Places a request, or refuses it if it has timed out; returns whether it no longer waits.
    pub(super) fn try_place(&mut self, now_ms: u64, waiting: &WaitingRequest) -> bool {
        let request = &waiting.request;
        let id = (waiting.entry, waiting.id);
        let best = self.best_engine(request);
        if let Some((key, version)) = best
            && let Some(engine) = self.engines.get_mut(&key)
            && engine.can_prefill(request)
        {
            engine.add_request(now_ms, id, request);
            let pin = Pin {
                engine: key,
                model: request.model.clone(),
                tokens: request.tokens(),
                expires_ms: now_ms + request.remaining_ms + PIN_EXPIRY_SLACK_MS,
            };
            self.pins.insert(id, pin);
            self.push_reply(waiting, PlaceReply::Placed { engine: key, version });
            return true;
        }
        if waiting.has_timed_out(now_ms) {
            self.refuse(waiting);
            return true;
        }
        false
    }

    pub(super) fn push_reply(&mut self, waiting: &WaitingRequest, reply: PlaceReply) {
        self.replies.push(AddressedPlaceReply { entry: waiting.entry, id: waiting.id, reply });
    }

    pub(super) fn refuse(&mut self, waiting: &WaitingRequest) {
        let retry_after_ms = fastrand::u64(RETRY_AFTER_RANGE_MS);
        self.push_reply(waiting, PlaceReply::Refused { retry_after_ms });
    }

    /// Refuses the least urgent requests at once when requests wait for more adapters than can be
    /// loaded in time.
    pub(super) fn refuse_excess(&mut self, now_ms: u64) {
        let store_limit = (self.store.limit() * WAITING_ADAPTERS_PER_STORE_LOAD) as usize;
        let max_adapters = store_limit.max(MIN_WAITING_ADAPTER_LIMIT);
        let mut adapters: HashSet<ModelName> = HashSet::new();
        let waiting = std::mem::take(&mut self.waiting);
        for waiting in waiting {
            let is_counted = adapters.contains(&waiting.request.model);
            if !is_counted && adapters.len() >= max_adapters {
                log::debug!(
                    "coordinator: request refused at {now_ms}; requests wait for too many adapters"
                );
                self.refuse(&waiting);
                continue;
            }
            adapters.insert(waiting.request.model.clone());
            self.waiting.push(waiting);
        }
    }

    /// Returns the engine, and the version of the adapter on it, that can start the request first.
    pub(super) fn best_engine(&self, request: &PlaceRequest) -> Option<(BackendKey, Option<u64>)> {
        let newest = self.versions.get(&request.model).copied();
        let locations = self.model_index.engines_with(&self.engines, &request.model);
        let candidates = locations.filter_map(|(key, engine, model_state)| {
            let is_suitable = model_state.phase == ModelPhase::Loaded
                && newest.is_none_or(|newest| model_state.version >= newest)
                && *engine.backend.service == *request.service
                && engine.is_available()
                && !request.excluded_engines.contains(&key)
                && engine.has_capacity(request);
            is_suitable.then(|| {
                let fill =
                    f64::from(engine.placed_requests) / f64::from(engine.limits.slots.max(1));
                let cost = engine.prefill_backlog_ms() + fill * FULL_BATCH_COST_MS;
                (cost, key, newest.map(|_| model_state.version))
            })
        });
        candidates
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, key, version)| (key, version))
    }
}
