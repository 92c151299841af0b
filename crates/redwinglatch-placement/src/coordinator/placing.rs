//! Placement of requests on engines, and the waiting requests.

use redwinglatch_core::{PinId, Refusal, RefusalReason};
use smallvec::SmallVec;

use super::{Coordinator, RequestState, SWEEP_INTERVAL_MS, retry_after};
use crate::{
    Effect, PlaceRequest, Placement, RequestKey,
    keys::{AdapterKey, EngineKey, ModelKey, WaitingKey},
    load_queue::AdapterDemand,
    pin::{OrphanState, Pin},
    waiting_request::WaitingRequest,
};

/// Cost reduction for an engine that has the whole prompt cached.
const PREFIX_BONUS_MS: f32 = 20.0;
/// Cost of an engine whose last snapshot is stale.
const STALE_COST_MS: f32 = 50.0;
/// The most prefixes of a prompt that are looked up.
const MAX_LOOKUP_PREFIXES: usize = 32;
/// Low bits of a pin id that hold the counter; the epoch is in the bits above.
const PIN_COUNTER_BITS: u32 = 40;

impl Coordinator {
    /// Places a request; the result is returned as an effect, possibly later.
    ///
    /// A repeated request gets its first placement again, unless it excludes that engine.
    pub fn place(&mut self, now_ms: u64, request: PlaceRequest) {
        let key = request.key();
        if !self.has_valid_lease(now_ms) {
            self.refuse_no_coordinator(key, "this instance does not coordinate the cell", 500);
            return;
        }
        self.known_instances.insert((key.instance, key.incarnation));
        match self.requests.get(&key) {
            Some(RequestState::Waiting(_)) => return,
            Some(RequestState::Pinned(pin)) => {
                let pin = self.pins[*pin];
                let engine = self.engines[pin.engine].address;
                if !request.excluded_engines.contains(&engine) {
                    self.respond_placed(&pin);
                    return;
                }
            }
            None => {}
        }
        if request.budget_ms == 0 {
            let refusal = Refusal::not_run(
                RefusalReason::DeadlinePassed,
                "the request has no time remaining",
            );
            self.refuse(key, refusal.retry_after_ms(retry_after(0)));
            return;
        }
        match self.resolve_request(now_ms, &request) {
            Ok(waiting) => self.place_or_enqueue(now_ms, waiting),
            Err(refusal) => self.refuse(key, refusal),
        }
    }

    /// Withdraws a request that waits for its placement; it gets no result. A placement that was
    /// sent before has to be released instead.
    pub fn withdraw(&mut self, now_ms: u64, request: RequestKey) {
        if let Some(RequestState::Waiting(wait)) = self.requests.get(&request).copied() {
            self.remove_waiting(now_ms, wait);
        }
    }

    /// Interns the names in a request and counts the request for its adapter. Returns a refusal if
    /// the model is unknown or the adapter can't be used.
    fn resolve_request(
        &mut self,
        now_ms: u64,
        request: &PlaceRequest,
    ) -> Result<WaitingRequest, Refusal> {
        let Some(model) = self.find_model(&request.model) else {
            let detail = format!("no engine serves the model {}", request.model);
            return Err(Refusal::not_run(RefusalReason::UnknownModel, detail));
        };
        let Some(adapter) = self.adapters.intern(model, &request.adapter, now_ms) else {
            let refusal = Refusal::not_run(RefusalReason::Overloaded, "too many adapters in use");
            return Err(refusal.retry_after_ms(retry_after(1_000)));
        };
        let known = self.adapters.active(adapter);
        if known.is_none_or(|it| it.waiting.is_empty()) {
            let loaded = known.is_some_and(|it| !it.copies.is_empty());
            self.adapters.adjust_recency(adapter, now_ms, self.lru_age_ms, loaded);
        }
        self.adapters.count_request(adapter, now_ms);
        if let Some(active) = self.adapters.active(adapter)
            && active.copies.is_empty()
            && active.refused_until_ms > now_ms
        {
            return Err(load_failed_refusal(
                &request.adapter.to_string(),
                active.is_unknown,
                active.refused_until_ms - now_ms,
            ));
        }
        let budget_ms = request.budget_ms.min(self.settings.max_budget_ms);
        let run_ms = (self.mean_ms_per_token * request.max_tokens as f32) as u64;
        let customer =
            self.customers.intern(&request.customer, request.load_share_permille, now_ms);
        let excluded_engines = request.excluded_engines.iter();
        Ok(WaitingRequest {
            key: request.key(),
            model,
            adapter,
            customer,
            arrived_ms: now_ms,
            deadline_ms: now_ms + budget_ms,
            run_ms: run_ms.min(budget_ms / 2),
            max_tokens: request.max_tokens,
            priority: request.priority,
            data_centre: self.find_data_centre(&request.data_centre),
            prefix_hashes: request
                .prefix_hashes
                .iter()
                .take(MAX_LOOKUP_PREFIXES)
                .copied()
                .collect(),
            excluded_engines: excluded_engines
                .filter_map(|it| self.engine_addresses.get(it).copied())
                .collect(),
        })
    }

    fn place_or_enqueue(&mut self, now_ms: u64, waiting: WaitingRequest) {
        if self.is_settled
            && let Some(engine) = self.choose_loaded_engine(now_ms, &waiting)
        {
            self.grant_pin(now_ms, &waiting, engine);
            return;
        }
        let key = waiting.key;
        if let Err(refusal) = self.enqueue(now_ms, waiting) {
            self.refuse(key, refusal);
            return;
        }
        self.start_loads(now_ms);
    }

    /// Returns the engine with the lowest cost on which the adapter is loaded and which has a place
    /// for the request.
    fn choose_loaded_engine(&self, now_ms: u64, waiting: &WaitingRequest) -> Option<EngineKey> {
        let active = self.adapters.active(waiting.adapter)?;
        let mut best: Option<(f32, EngineKey)> = None;
        for key in &active.copies {
            let engine = &self.engines[*key];
            let request_count = engine.request_count() + engine.pending_loads;
            if request_count >= engine.max_batch + self.settings.queue_ahead
                || !engine.accepts_requests(now_ms)
                || waiting.excluded_engines.contains(key)
                || engine.ready_slot(waiting.adapter).is_none_or(|it| it.is_draining)
            {
                continue;
            }
            let mut cost =
                engine.step_ms_per_request(&self.settings, false) * self.settings.batch_weight;
            if request_count >= engine.max_batch {
                let queue_position = (request_count + 1 - engine.max_batch) as f32;
                cost += queue_position * self.mean_run_ms / engine.max_batch.max(1) as f32;
            }
            if waiting.data_centre != Some(engine.data_centre) {
                cost += self.settings.distance_ms as f32;
            }
            if engine.is_stale(now_ms, self.settings.snapshot_stale_ms) {
                cost += STALE_COST_MS;
            }
            if !waiting.prefix_hashes.is_empty() {
                let cached = engine.prefixes.count_cached(&waiting.prefix_hashes) as f32;
                cost -= PREFIX_BONUS_MS * cached / waiting.prefix_hashes.len() as f32;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Pins the adapter on the engine and sends the placement.
    fn grant_pin(&mut self, now_ms: u64, waiting: &WaitingRequest, engine: EngineKey) {
        let Some(epoch) = self.epoch else { return };
        self.next_pin += 1;
        let id =
            PinId((epoch.0 << PIN_COUNTER_BITS) | (self.next_pin & ((1 << PIN_COUNTER_BITS) - 1)));
        let pin = Pin {
            id,
            request: waiting.key,
            engine,
            adapter: waiting.adapter,
            granted_ms: now_ms,
            deadline_ms: waiting.deadline_ms,
            max_tokens: waiting.max_tokens,
            stall_ms: now_ms - waiting.arrived_ms,
            orphan: OrphanState::NotOrphaned,
        };
        self.insert_pin(pin);
        self.respond_placed(&pin);
    }

    fn respond_placed(&mut self, pin: &Pin) {
        let Some(epoch) = self.epoch else { return };
        let engine = self.engines[pin.engine].address;
        let placement = Placement { engine, pin: pin.id, epoch, stall_ms: pin.stall_ms };
        self.effects.push(Effect::Respond { request: pin.request, result: Ok(placement) });
    }

    /// Queues a request until a load ends or a place in a batch is free, or refuses it at once if
    /// it could not meet its deadline.
    fn enqueue(&mut self, now_ms: u64, waiting: WaitingRequest) -> Result<(), Refusal> {
        if self.waiting.len() >= self.settings.max_waiting {
            let refusal =
                Refusal::not_run(RefusalReason::Overloaded, "too many requests are waiting");
            return Err(refusal.retry_after_ms(retry_after(self.queue.load_ms as u64 * 4)));
        }
        if !self.is_settled && self.settled_ms > waiting.latest_start_ms() {
            let refusal =
                Refusal::not_run(RefusalReason::NoCoordinator, "the coordinator is taking over");
            let wait_ms = self.settled_ms.saturating_sub(now_ms);
            return Err(refusal.retry_after_ms(retry_after(wait_ms)));
        }
        if self.is_settled && !self.has_eligible_engine(&waiting) {
            let refusal =
                Refusal::not_run(RefusalReason::NoEngine, "no engine accepts new requests");
            return Err(refusal.retry_after_ms(retry_after(1_000)));
        }
        let (adapter, latest_ms) = (waiting.adapter, waiting.latest_start_ms());
        if self.batch_places_counted_ms.is_none_or(|it| now_ms >= it + SWEEP_INTERVAL_MS) {
            self.count_batch_places(now_ms);
        }
        let joins_demand = self.queue.position(adapter).is_some();
        let wait = self.insert_waiting(now_ms, waiting);
        if !self.is_settled {
            return Ok(());
        }
        let refusal = self.check_admission(now_ms, adapter, latest_ms, joins_demand);
        if let Some(refusal) = refusal {
            self.remove_waiting(now_ms, wait);
            return Err(refusal);
        }
        Ok(())
    }

    /// Returns whether an engine that the request doesn't exclude may accept requests, now or soon.
    fn has_eligible_engine(&self, waiting: &WaitingRequest) -> bool {
        let model = &self.models[usize::from(waiting.model.0)];
        model.engines.iter().any(|key| {
            let engine = &self.engines[*key];
            !engine.is_leaving && !engine.is_removed && !waiting.excluded_engines.contains(key)
        })
    }

    /// Checks a request that just joined the queue. Returns a refusal if it can't meet its
    /// deadline, or if it would make requests late that were accepted before.
    fn check_admission(
        &self,
        now_ms: u64,
        adapter: AdapterKey,
        latest_ms: u64,
        joins_demand: bool,
    ) -> Option<Refusal> {
        let at = self.queue.position(adapter)?;
        let demand = self.queue.demands[at];
        let load_ms = self.queue.load_ms as u64;
        let capacity_ms = now_ms + self.capacity_wait_ms(&demand);
        if let Some(in_flight) = self.queue.in_flight_load(adapter) {
            let ready_ms = self.queue.expected_end_ms(now_ms, in_flight).max(capacity_ms);
            return (ready_ms > latest_ms).then(|| late_refusal(ready_ms, latest_ms, "load"));
        }
        if !demand.wants_load {
            return (capacity_ms > latest_ms).then(|| {
                let refusal = Refusal::not_run(RefusalReason::Overloaded, "all batches are full");
                refusal.retry_after_ms(retry_after(capacity_ms - latest_ms))
            });
        }
        let schedule = self.queue.schedule(now_ms, &self.customers);
        let own = schedule.iter().position(|it| it.demand_index == at)?;
        let ready_ms = schedule[own].ready_ms.max(capacity_ms);
        if ready_ms > latest_ms {
            return Some(late_refusal(ready_ms, latest_ms, "load queue"));
        }
        if joins_demand {
            return None;
        }
        // A later demand is displaced if it would be in time with one load less before it.
        let displaced = schedule[own + 1..].iter().any(|it| {
            let latest_ms = self.queue.demands[it.demand_index].latest_ready_ms;
            let may_displace = it.over_share && !schedule[own].over_share;
            it.ready_ms > latest_ms && it.ready_ms - load_ms <= latest_ms && !may_displace
        });
        displaced.then(|| {
            let last_ms = schedule.last().map_or(now_ms, |it| it.ready_ms);
            late_refusal(last_ms, now_ms, "load queue")
        })
    }

    /// Estimates how long a request of the demand waits for a place in a batch.
    pub(super) fn capacity_wait_ms(&self, demand: &AdapterDemand) -> u64 {
        let Some(adapter) = self.adapters.get(demand.adapter) else { return 0 };
        let model = &self.models[usize::from(adapter.model.0)];
        let copies = adapter.active.iter().flat_map(|it| it.copies.iter());
        let batch_places: u32 = copies.map(|it| self.engines[*it].max_batch).sum();
        let (batch_places, waiting) = if demand.wants_load || batch_places == 0 {
            if model.free_batch_places > 0 {
                return 0;
            }
            (model.batch_places, model.waiting)
        } else {
            (batch_places, demand.waiters)
        };
        (self.mean_run_ms * waiting as f32 / batch_places.max(1) as f32) as u64
    }

    fn insert_waiting(&mut self, now_ms: u64, waiting: WaitingRequest) -> WaitingKey {
        let (key, adapter, priority) = (waiting.key, waiting.adapter, waiting.priority);
        let (customer, model) = (waiting.customer, waiting.model);
        let (deadline_ms, latest_ms) = (waiting.deadline_ms, waiting.latest_start_ms());
        let refuse_at_ms = waiting.refuse_at_ms();
        let wait = self.waiting.insert(waiting);
        self.refusal_times.insert((refuse_at_ms, wait));
        self.requests.insert(key, RequestState::Waiting(wait));
        self.customers.add_waiting(customer);
        self.models[usize::from(model.0)].waiting += 1;
        let all = &self.waiting;
        let waiters = &mut self.adapters.activate(adapter).waiting;
        let at = waiters.partition_point(|it| {
            let other = &all[*it];
            (u8::MAX - other.priority, other.deadline_ms) <= (u8::MAX - priority, deadline_ms)
        });
        waiters.insert(at, wait);
        if let Some(at) = self.queue.position(adapter) {
            let demand = &mut self.queue.demands[at];
            demand.waiters += 1;
            demand.latest_ready_ms = demand.latest_ready_ms.min(latest_ms);
        } else {
            self.adapters.add_reference(adapter);
            let wants_load = !self.has_usable_copy(now_ms, adapter)
                && self.queue.in_flight_load(adapter).is_none();
            self.customers.add_queued(customer);
            self.queue.demands.push(AdapterDemand {
                adapter,
                customer,
                enqueued_ms: now_ms,
                latest_ready_ms: latest_ms,
                waiters: 1,
                wants_load,
                blocked_since_ms: None,
                not_before_ms: 0,
            });
        }
        wait
    }

    /// Returns whether the adapter is loaded on an engine that accepts requests, even if its batch
    /// is full, and that is not excluded by all waiting requests.
    pub(super) fn has_usable_copy(&self, now_ms: u64, adapter: AdapterKey) -> bool {
        let Some(active) = self.adapters.active(adapter) else { return false };
        let excluded = |key: &EngineKey| {
            !active.waiting.is_empty()
                && active.waiting.iter().all(|it| self.waiting[*it].excluded_engines.contains(key))
        };
        active.copies.iter().any(|key| {
            let engine = &self.engines[*key];
            engine.accepts_requests(now_ms)
                && engine.ready_slot(adapter).is_some_and(|it| !it.is_draining)
                && !excluded(key)
        })
    }

    /// Removes a waiting request without sending a result.
    pub(super) fn remove_waiting(
        &mut self,
        now_ms: u64,
        wait: WaitingKey,
    ) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(wait)?;
        self.refusal_times.remove(&(waiting.refuse_at_ms(), wait));
        self.requests.remove(&waiting.key);
        self.customers.remove_waiting(waiting.customer);
        self.models[usize::from(waiting.model.0)].waiting -= 1;
        let mut remaining = 0;
        let mut latest_ready_ms = u64::MAX;
        if let Some(active) = self.adapters.active_mut(waiting.adapter) {
            active.waiting.retain(|it| *it != wait);
            remaining = active.waiting.len();
            let latest = active.waiting.iter().map(|it| self.waiting[*it].latest_start_ms());
            latest_ready_ms = latest.min().unwrap_or(u64::MAX);
        }
        if let Some(at) = self.queue.position(waiting.adapter) {
            if remaining == 0 {
                let demand = self.queue.demands.swap_remove(at);
                self.customers.remove_queued(demand.customer);
                self.adapters.remove_reference(waiting.adapter, now_ms);
            } else {
                let demand = &mut self.queue.demands[at];
                demand.waiters = remaining as u32;
                demand.latest_ready_ms = latest_ready_ms;
            }
        }
        Some(waiting)
    }

    /// Refuses a waiting request.
    pub(super) fn refuse_waiting(&mut self, now_ms: u64, wait: WaitingKey, refusal: Refusal) {
        if let Some(waiting) = self.remove_waiting(now_ms, wait) {
            self.refuse(waiting.key, refusal);
        }
    }

    /// Refuses all waiting requests, since this coordinator can no longer place them.
    pub(super) fn refuse_all_waiting(&mut self, now_ms: u64, detail: &str) {
        let waiting: Vec<WaitingKey> = self.refusal_times.iter().map(|(_, wait)| *wait).collect();
        for wait in waiting {
            let refusal = Refusal::not_run(RefusalReason::NoCoordinator, detail);
            self.refuse_waiting(now_ms, wait, refusal.retry_after_ms(retry_after(500)));
        }
    }

    /// Places requests that wait for `adapter`, as far as its engines have room.
    pub(super) fn place_waiting_for_adapter(&mut self, now_ms: u64, adapter: AdapterKey) {
        if !self.is_settled || !self.has_valid_lease(now_ms) {
            return;
        }
        let Some(active) = self.adapters.active(adapter) else { return };
        if active.copies.is_empty() {
            return;
        }
        for wait in active.waiting.clone() {
            let Some(engine) = self.choose_loaded_engine(now_ms, &self.waiting[wait]) else {
                if self.waiting[wait].excluded_engines.is_empty() {
                    break;
                }
                continue;
            };
            if let Some(waiting) = self.remove_waiting(now_ms, wait) {
                self.grant_pin(now_ms, &waiting, engine);
            }
        }
    }

    /// Places requests that wait for adapters on an engine that has room again, the most urgent
    /// first.
    pub(super) fn place_waiting_on_engine(&mut self, now_ms: u64, engine: EngineKey) {
        if self.waiting.is_empty() || !self.is_settled || !self.has_valid_lease(now_ms) {
            return;
        }
        let Some(it) = self.engines.get(engine) else { return };
        let adapters: SmallVec<[AdapterKey; 8]> =
            it.slots.iter().filter_map(|slot| slot.adapter).collect();
        let mut waiting: SmallVec<[(u8, u64, AdapterKey); 8]> = SmallVec::new();
        for adapter in adapters {
            let first = self.adapters.active(adapter).and_then(|it| it.waiting.first());
            if let Some(first) = first {
                let first = &self.waiting[*first];
                waiting.push((u8::MAX - first.priority, first.deadline_ms, adapter));
            }
        }
        waiting.sort_unstable();
        for (_, _, adapter) in waiting {
            self.place_waiting_for_adapter(now_ms, adapter);
        }
    }

    /// Tries to place all waiting requests, since engines may accept requests again.
    pub(super) fn place_all_waiting(&mut self, now_ms: u64) {
        let adapters: Vec<AdapterKey> = self.queue.demands.iter().map(|it| it.adapter).collect();
        for adapter in adapters {
            self.place_waiting_for_adapter(now_ms, adapter);
        }
    }

    /// Refuses the waiting requests that can no longer meet their deadline.
    pub(super) fn refuse_expired(&mut self, now_ms: u64) {
        while let Some((refuse_at_ms, wait)) = self.refusal_times.first().copied()
            && refuse_at_ms <= now_ms
        {
            let wants_load = self.waiting.get(wait).is_some_and(|it| {
                self.adapters.active(it.adapter).is_none_or(|active| active.copies.is_empty())
            });
            let (reason, detail) = if wants_load {
                (RefusalReason::LoadTooLate, "the adapter was not loaded in time")
            } else {
                (RefusalReason::Overloaded, "no place in a batch became free in time")
            };
            let refusal = Refusal::not_run(reason, detail);
            let retry_ms = self.queue.load_ms as u64;
            self.refuse_waiting(now_ms, wait, refusal.retry_after_ms(retry_after(retry_ms)));
        }
    }

    pub(super) fn find_model(&self, name: &str) -> Option<ModelKey> {
        let at = self.models.iter().position(|it| *it.name == *name)?;
        Some(ModelKey(at as u16))
    }
}

/// Returns the refusal of a request whose adapter would be loaded too late.
pub(super) fn late_refusal(ready_ms: u64, latest_ms: u64, what: &str) -> Refusal {
    let late_ms = ready_ms.saturating_sub(latest_ms);
    let detail = format!("the {what} would end {late_ms} ms too late");
    let refusal = Refusal::not_run(RefusalReason::LoadTooLate, detail);
    refusal.retry_after_ms(retry_after(late_ms))
}

/// Returns the refusal of a request whose adapter could not be loaded.
pub(super) fn load_failed_refusal(adapter: &str, is_unknown: bool, retry_after_ms: u64) -> Refusal {
    let refusal = if is_unknown {
        let detail = format!("the weight store has no adapter {adapter}");
        Refusal::not_run(RefusalReason::UnknownAdapter, detail)
    } else {
        let detail = format!("loading adapter {adapter} failed on several engines");
        Refusal::not_run(RefusalReason::LoadFailed, detail)
    };
    refusal.retry_after_ms(retry_after(retry_after_ms))
}
