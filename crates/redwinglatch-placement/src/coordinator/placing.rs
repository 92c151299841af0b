//! Placing requests on engines, or letting them wait.

use redwinglatch_core::{PinId, Refusal, RefusalReason};
use smallvec::SmallVec;

use super::{Coordinator, RequestState, SWEEP_INTERVAL_MS, retry_after};
use crate::{
    Effect, PlaceRequest, Placed, RequestKey,
    keys::{AdapterKey, EngineKey, ModelKey, WaitKey},
    pin::{Orphan, Pin},
    queue::Demand,
    waiting::Waiting,
};

/// Weight of a fully cached prompt in the cost of an engine.
const PREFIX_BONUS_MS: f32 = 20.0;
/// Cost of an engine whose reports are late.
const STALE_COST_MS: f32 = 50.0;
/// Prefixes of a prompt that are looked up.
const MAX_PREFIXES: usize = 32;
/// Bits of a pin's id below the epoch's.
const PIN_BITS: u32 = 40;

impl Coordinator {
    /// Places a request; the answer is an effect, possibly later.
    ///
    /// A request that is sent again gets its first placement again, unless it excludes that engine.
    pub fn place(&mut self, now_ms: u64, request: PlaceRequest) {
        let key = request.key();
        if !self.is_in_charge(now_ms) {
            self.refuse_no_coordinator(key, "this instance doesn't coordinate the cell", 500);
            return;
        }
        self.known_instances.insert((key.instance, key.incarnation));
        match self.requests.get(&key) {
            Some(RequestState::Waiting(_)) => return,
            Some(RequestState::Pinned(pin)) => {
                let pin = self.pins[*pin];
                let engine = self.engines[pin.engine].address;
                if !request.excluded.contains(&engine) {
                    self.answer_placed(&pin);
                    return;
                }
            }
            None => {}
        }
        if request.budget_ms == 0 {
            let refusal = Refusal::not_run(RefusalReason::DeadlinePassed, "no time is left");
            self.refuse(key, refusal.retry_after_ms(retry_after(0)));
            return;
        }
        match self.accept(now_ms, &request) {
            Ok(waiting) => self.place_or_wait(now_ms, waiting),
            Err(refusal) => self.refuse(key, refusal),
        }
    }

    /// Withdraws a request that waits for its placement; it gets no answer. A placement that was
    /// answered before has to be released instead.
    pub fn withdraw(&mut self, now_ms: u64, request: RequestKey) {
        if let Some(RequestState::Waiting(wait)) = self.requests.get(&request).copied() {
            self.remove_waiting(now_ms, wait);
        }
    }

    /// Interns the names in a request.
    fn accept(&mut self, now_ms: u64, request: &PlaceRequest) -> Result<Waiting, Refusal> {
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
            self.adapters.learn(adapter, now_ms, self.recent_ms, loaded);
        }
        self.adapters.count(adapter, now_ms);
        if let Some(active) = self.adapters.active(adapter)
            && active.copies.is_empty()
            && active.refused_until_ms > now_ms
        {
            return Err(failed_refusal(
                &request.adapter.to_string(),
                active.unknown,
                active.refused_until_ms - now_ms,
            ));
        }
        let budget_ms = request.budget_ms.min(self.settings.max_budget_ms);
        let run_ms = (self.ms_per_token * request.max_tokens as f32) as u64;
        let customer =
            self.customers.intern(&request.customer, request.load_share_permille, now_ms);
        let excluded = request.excluded.iter();
        Ok(Waiting {
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
            prefix_hashes: request.prefix_hashes.iter().take(MAX_PREFIXES).copied().collect(),
            excluded: excluded.filter_map(|it| self.engine_addresses.get(it).copied()).collect(),
        })
    }

    fn place_or_wait(&mut self, now_ms: u64, waiting: Waiting) {
        if self.settled
            && let Some(engine) = self.choose_copy(now_ms, &waiting)
        {
            self.grant(now_ms, &waiting, engine);
            return;
        }
        let key = waiting.key;
        if let Err(refusal) = self.wait(now_ms, waiting) {
            self.refuse(key, refusal);
            return;
        }
        self.start_loads(now_ms);
    }

    /// The cheapest engine on which the adapter is ready and that has a place for the request.
    fn choose_copy(&self, now_ms: u64, waiting: &Waiting) -> Option<EngineKey> {
        let active = self.adapters.active(waiting.adapter)?;
        let mut best: Option<(f32, EngineKey)> = None;
        for key in &active.copies {
            let engine = &self.engines[*key];
            let load = engine.load() + engine.loading;
            if load >= engine.max_batch + self.settings.queue_ahead
                || !engine.takes_work(now_ms)
                || waiting.excluded.contains(key)
                || engine.ready_slot(waiting.adapter).is_none_or(|it| it.draining)
            {
                continue;
            }
            let mut cost =
                engine.step_ms_per_request(&self.settings, false) * self.settings.batch_weight;
            if load >= engine.max_batch {
                let ahead = (load + 1 - engine.max_batch) as f32;
                cost += ahead * self.run_ms / engine.max_batch.max(1) as f32;
            }
            if waiting.data_centre != Some(engine.data_centre) {
                cost += self.settings.distance_ms as f32;
            }
            if engine.is_stale(now_ms, self.settings.report_stale_ms) {
                cost += STALE_COST_MS;
            }
            if !waiting.prefix_hashes.is_empty() {
                let cached = engine.prefixes.cached(&waiting.prefix_hashes) as f32;
                cost -= PREFIX_BONUS_MS * cached / waiting.prefix_hashes.len() as f32;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Pins the adapter on the engine and answers the request.
    fn grant(&mut self, now_ms: u64, waiting: &Waiting, engine: EngineKey) {
        let Some(epoch) = self.epoch else { return };
        self.next_pin += 1;
        let id = PinId((epoch.0 << PIN_BITS) | (self.next_pin & ((1 << PIN_BITS) - 1)));
        let pin = Pin {
            id,
            request: waiting.key,
            engine,
            adapter: waiting.adapter,
            granted_ms: now_ms,
            deadline_ms: waiting.deadline_ms,
            max_tokens: waiting.max_tokens,
            stall_ms: now_ms - waiting.arrived_ms,
            orphan: Orphan::No,
        };
        self.insert_pin(pin);
        self.answer_placed(&pin);
    }

    fn answer_placed(&mut self, pin: &Pin) {
        let Some(epoch) = self.epoch else { return };
        let engine = self.engines[pin.engine].address;
        let placed = Placed { engine, pin: pin.id, epoch, stall_ms: pin.stall_ms };
        self.effects.push(Effect::Answer { request: pin.request, answer: Ok(placed) });
    }

    /// Lets a request wait for a load or for a place in a batch, or refuses it at once if it could
    /// not be served in time.
    fn wait(&mut self, now_ms: u64, waiting: Waiting) -> Result<(), Refusal> {
        if self.waiting.len() >= self.settings.max_waiting {
            let refusal = Refusal::not_run(RefusalReason::Overloaded, "too many requests wait");
            return Err(refusal.retry_after_ms(retry_after(self.queue.load_ms as u64 * 4)));
        }
        if !self.settled && self.settled_ms > waiting.latest_start_ms() {
            let refusal =
                Refusal::not_run(RefusalReason::NoCoordinator, "the coordinator is taking over");
            let wait_ms = self.settled_ms.saturating_sub(now_ms);
            return Err(refusal.retry_after_ms(retry_after(wait_ms)));
        }
        if self.settled && !self.has_engine(&waiting) {
            let refusal = Refusal::not_run(RefusalReason::NoEngine, "no engine takes new work");
            return Err(refusal.retry_after_ms(retry_after(1_000)));
        }
        let (adapter, latest_ms) = (waiting.adapter, waiting.latest_start_ms());
        if self.places_counted_ms.is_none_or(|it| now_ms >= it + SWEEP_INTERVAL_MS) {
            self.count_places(now_ms);
        }
        let joins = self.queue.position(adapter).is_some();
        let wait = self.insert_waiting(now_ms, waiting);
        if !self.settled {
            return Ok(());
        }
        let refusal = self.check_new(now_ms, adapter, latest_ms, joins);
        if let Some(refusal) = refusal {
            self.remove_waiting(now_ms, wait);
            return Err(refusal);
        }
        Ok(())
    }

    /// Whether an engine that the request does not exclude may take work now or soon.
    fn has_engine(&self, waiting: &Waiting) -> bool {
        let model = &self.models[usize::from(waiting.model.0)];
        model.engines.iter().any(|key| {
            let engine = &self.engines[*key];
            !engine.leaving && !engine.removed && !waiting.excluded.contains(key)
        })
    }

    /// The refusal of a request that just joined the queue, if it can't be served in time or if
    /// requests that were accepted before no longer could.
    fn check_new(
        &self,
        now_ms: u64,
        adapter: AdapterKey,
        latest_ms: u64,
        joins: bool,
    ) -> Option<Refusal> {
        let at = self.queue.position(adapter)?;
        let demand = self.queue.demands[at];
        let load_ms = self.queue.load_ms as u64;
        let capacity_ms = now_ms + self.capacity_wait_ms(&demand);
        if let Some(in_flight) = self.queue.is_loading(adapter) {
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
        let own = schedule.iter().position(|it| it.at == at)?;
        let ready_ms = schedule[own].ready_ms.max(capacity_ms);
        if ready_ms > latest_ms {
            return Some(late_refusal(ready_ms, latest_ms, "load queue"));
        }
        if joins {
            return None;
        }
        // Those behind were in time with one load less before them.
        let displaced = schedule[own + 1..].iter().any(|it| {
            let latest_ms = self.queue.demands[it.at].latest_ready_ms;
            let may_displace = it.over_share && !schedule[own].over_share;
            it.ready_ms > latest_ms && it.ready_ms - load_ms <= latest_ms && !may_displace
        });
        displaced.then(|| {
            let last_ms = schedule.last().map_or(now_ms, |it| it.ready_ms);
            late_refusal(last_ms, now_ms, "load queue")
        })
    }

    /// How long a request of the demand waits for a place in a batch, as far as can be told.
    pub(super) fn capacity_wait_ms(&self, demand: &Demand) -> u64 {
        let Some(adapter) = self.adapters.get(demand.adapter) else { return 0 };
        let model = &self.models[usize::from(adapter.model.0)];
        let copies = adapter.active.iter().flat_map(|it| it.copies.iter());
        let places: u32 = copies.map(|it| self.engines[*it].max_batch).sum();
        let (places, waiting) = if demand.wants_load || places == 0 {
            if model.free_places > 0 {
                return 0;
            }
            (model.places, model.waiting)
        } else {
            (places, demand.waiters)
        };
        (self.run_ms * waiting as f32 / places.max(1) as f32) as u64
    }

    fn insert_waiting(&mut self, now_ms: u64, waiting: Waiting) -> WaitKey {
        let (key, adapter, priority) = (waiting.key, waiting.adapter, waiting.priority);
        let (customer, model) = (waiting.customer, waiting.model);
        let (deadline_ms, latest_ms) = (waiting.deadline_ms, waiting.latest_start_ms());
        let give_up_ms = waiting.give_up_ms();
        let wait = self.waiting.insert(waiting);
        self.give_up.insert((give_up_ms, wait));
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
            self.adapters.hold(adapter);
            let wants_load =
                !self.has_usable_copy(now_ms, adapter) && self.queue.is_loading(adapter).is_none();
            self.customers.add_queued(customer);
            self.queue.demands.push(Demand {
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

    /// Whether a copy is on an engine that takes work, even if its batch is full.
    pub(super) fn has_usable_copy(&self, now_ms: u64, adapter: AdapterKey) -> bool {
        let Some(active) = self.adapters.active(adapter) else { return false };
        let excluded = |key: &EngineKey| {
            !active.waiting.is_empty()
                && active.waiting.iter().all(|it| self.waiting[*it].excluded.contains(key))
        };
        active.copies.iter().any(|key| {
            let engine = &self.engines[*key];
            engine.takes_work(now_ms)
                && engine.ready_slot(adapter).is_some_and(|it| !it.draining)
                && !excluded(key)
        })
    }

    /// Takes a request out of the waiting ones, without an answer.
    pub(super) fn remove_waiting(&mut self, now_ms: u64, wait: WaitKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(wait)?;
        self.give_up.remove(&(waiting.give_up_ms(), wait));
        self.requests.remove(&waiting.key);
        self.customers.remove_waiting(waiting.customer);
        self.models[usize::from(waiting.model.0)].waiting -= 1;
        let mut left = 0;
        let mut latest_ready_ms = u64::MAX;
        if let Some(active) = self.adapters.active_mut(waiting.adapter) {
            active.waiting.retain(|it| *it != wait);
            left = active.waiting.len();
            let latest = active.waiting.iter().map(|it| self.waiting[*it].latest_start_ms());
            latest_ready_ms = latest.min().unwrap_or(u64::MAX);
        }
        if let Some(at) = self.queue.position(waiting.adapter) {
            if left == 0 {
                let demand = self.queue.demands.swap_remove(at);
                self.customers.remove_queued(demand.customer);
                self.adapters.drop_hold(waiting.adapter, now_ms);
            } else {
                let demand = &mut self.queue.demands[at];
                demand.waiters = left as u32;
                demand.latest_ready_ms = latest_ready_ms;
            }
        }
        Some(waiting)
    }

    /// Refuses a waiting request.
    pub(super) fn refuse_waiting(&mut self, now_ms: u64, wait: WaitKey, refusal: Refusal) {
        if let Some(waiting) = self.remove_waiting(now_ms, wait) {
            self.refuse(waiting.key, refusal);
        }
    }

    /// Refuses everything that waits, since this coordinator can't place it.
    pub(super) fn refuse_all_waiting(&mut self, now_ms: u64, detail: &str) {
        let waiting: Vec<WaitKey> = self.give_up.iter().map(|(_, wait)| *wait).collect();
        for wait in waiting {
            let refusal = Refusal::not_run(RefusalReason::NoCoordinator, detail);
            self.refuse_waiting(now_ms, wait, refusal.retry_after_ms(retry_after(500)));
        }
    }

    /// Places requests that wait for `adapter`, as far as copies have room.
    pub(super) fn serve_adapter(&mut self, now_ms: u64, adapter: AdapterKey) {
        if !self.settled || !self.is_in_charge(now_ms) {
            return;
        }
        let Some(active) = self.adapters.active(adapter) else { return };
        if active.copies.is_empty() {
            return;
        }
        for wait in active.waiting.clone() {
            let Some(engine) = self.choose_copy(now_ms, &self.waiting[wait]) else {
                if self.waiting[wait].excluded.is_empty() {
                    break;
                }
                continue;
            };
            if let Some(waiting) = self.remove_waiting(now_ms, wait) {
                self.grant(now_ms, &waiting, engine);
            }
        }
    }

    /// Places requests that wait for adapters on an engine which has room again, most urgent first.
    pub(super) fn serve_engine(&mut self, now_ms: u64, engine: EngineKey) {
        if self.waiting.is_empty() || !self.settled || !self.is_in_charge(now_ms) {
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
            self.serve_adapter(now_ms, adapter);
        }
    }

    /// Tries all waiting requests, since engines may take work again.
    pub(super) fn serve_waiting(&mut self, now_ms: u64) {
        let adapters: Vec<AdapterKey> = self.queue.demands.iter().map(|it| it.adapter).collect();
        for adapter in adapters {
            self.serve_adapter(now_ms, adapter);
        }
    }

    /// Refuses the waiting requests whose time is over.
    pub(super) fn give_up_late(&mut self, now_ms: u64) {
        while let Some((give_up_ms, wait)) = self.give_up.first().copied()
            && give_up_ms <= now_ms
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

/// Refuses a request because its adapter would be ready too late.
pub(super) fn late_refusal(ready_ms: u64, latest_ms: u64, what: &str) -> Refusal {
    let late_ms = ready_ms.saturating_sub(latest_ms);
    let detail = format!("the {what} ends {late_ms} ms too late");
    let refusal = Refusal::not_run(RefusalReason::LoadTooLate, detail);
    refusal.retry_after_ms(retry_after(late_ms))
}

/// Refuses a request because its adapter could not be loaded.
pub(super) fn failed_refusal(adapter: &str, unknown: bool, retry_after_ms: u64) -> Refusal {
    let refusal = if unknown {
        let detail = format!("the weight store has no adapter {adapter}");
        Refusal::not_run(RefusalReason::UnknownAdapter, detail)
    } else {
        let detail = format!("loads of the adapter {adapter} failed on several engines");
        Refusal::not_run(RefusalReason::LoadFailed, detail)
    };
    refusal.retry_after_ms(retry_after(retry_after_ms))
}
