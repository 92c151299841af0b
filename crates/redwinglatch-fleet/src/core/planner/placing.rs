//! Places requests on engines that hold their adapters.

use std::collections::HashSet;

use crate::{
    ids::{BackendKey, ModelName},
    message::{PlaceReply, PlaceRequest},
};

use super::{
    FULL_BATCH_COST_MS, MAX_WAITING_ADAPTERS, PIN_SLACK_MS, Pin, PlaceAnswer, Planner,
    RETRY_AFTER_MS, WAITING_PER_STORE_LOAD, engine::Phase, waiting::Waiting,
};

impl Planner {
    /// Places waiting requests on engines that hold their adapters, the most urgent first, and
    /// refuses those whose time is over.
    pub(super) fn place_waiting(&mut self, now_ms: u64) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|waiting| waiting.rank(now_ms));
        // What the most urgent request for an adapter can't get, the others can't get either.
        let mut blocked: HashSet<ModelName> = HashSet::new();
        waiting.retain(|waiting| {
            if blocked.contains(&waiting.request.model) && !waiting.is_over(now_ms) {
                return true;
            }
            let ended = self.try_place(now_ms, waiting);
            if !ended {
                blocked.insert(waiting.request.model.clone());
            }
            !ended
        });
        self.waiting = waiting;
        self.refuse_surplus(now_ms);
    }

    /// Places or refuses a request and returns whether it no longer waits.
    pub(super) fn try_place(&mut self, now_ms: u64, waiting: &Waiting) -> bool {
        let request = &waiting.request;
        let id = (waiting.entry, waiting.id);
        let best = self.best_engine(request);
        if let Some((key, version)) = best
            && let Some(engine) = self.engines.get_mut(&key)
            && engine.can_read(request)
        {
            engine.place(now_ms, id, request);
            let pin = Pin {
                engine: key,
                model: request.model.clone(),
                tokens: request.tokens(),
                ends_ms: now_ms + request.remaining_ms + PIN_SLACK_MS,
            };
            self.pins.insert(id, pin);
            self.answer(waiting, PlaceReply::Placed { engine: key, version });
            return true;
        }
        if waiting.is_over(now_ms) {
            self.refuse(waiting);
            return true;
        }
        false
    }

    pub(super) fn answer(&mut self, waiting: &Waiting, reply: PlaceReply) {
        self.answers.push(PlaceAnswer { entry: waiting.entry, id: waiting.id, reply });
    }

    pub(super) fn refuse(&mut self, waiting: &Waiting) {
        let retry_after_ms = fastrand::u64(RETRY_AFTER_MS);
        self.answer(waiting, PlaceReply::Refused { retry_after_ms });
    }

    /// Refuses the least urgent requests at once when more adapters are waited for than can be
    /// loaded in time.
    pub(super) fn refuse_surplus(&mut self, now_ms: u64) {
        let by_store = (self.store.limit() * WAITING_PER_STORE_LOAD) as usize;
        let most = by_store.max(MAX_WAITING_ADAPTERS);
        let mut adapters: HashSet<ModelName> = HashSet::new();
        let waiting = std::mem::take(&mut self.waiting);
        for waiting in waiting {
            let known = adapters.contains(&waiting.request.model);
            if !known && adapters.len() >= most {
                log::debug!("coordinator: refuses a request at {now_ms}; too many wait");
                self.refuse(&waiting);
                continue;
            }
            adapters.insert(waiting.request.model.clone());
            self.waiting.push(waiting);
        }
    }

    /// The engine that holds the adapter and starts the request first.
    pub(super) fn best_engine(&self, request: &PlaceRequest) -> Option<(BackendKey, Option<u64>)> {
        let newest = self.versions.get(&request.model).copied();
        let holders = self.holders.of(&self.engines, &request.model);
        let candidates = holders.filter_map(|(key, engine, holding)| {
            let serves = holding.phase == Phase::Ready
                && newest.is_none_or(|newest| holding.version >= newest)
                && *engine.backend.service == *request.service
                && engine.takes_work()
                && !request.excluded_engines.contains(&key)
                && engine.has_room(request);
            serves.then(|| {
                let fill = f64::from(engine.placed) / f64::from(engine.limits.slots.max(1));
                let cost = engine.backlog_ms() + fill * FULL_BATCH_COST_MS;
                (cost, key, newest.map(|_| holding.version))
            })
        });
        candidates
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, key, version)| (key, version))
    }
}
