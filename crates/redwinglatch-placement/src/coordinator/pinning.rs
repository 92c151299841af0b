//! Pins: insertion, release, and the end of pins whose instance was lost.

use redwinglatch_core::{Incarnation, InstanceId, PinId, Refusal, RefusalReason};

use super::{Coordinator, RequestState};
use crate::{
    Effect, Release, ReportedPin, RequestKey,
    engine_state::SlotState,
    keys::{AdapterKey, EngineKey, PinKey, WaitingKey},
    pin::{OrphanState, Pin},
};

/// Weight of the latest finished request in the moving averages of request durations.
const RUN_TIME_WEIGHT: f32 = 0.02;
/// Time after which an unacknowledged cancel order is sent again.
const CANCEL_RETRY_MS: u64 = 1_000;
/// Consecutive refused connections after which an engine counts as leaving.
const MAX_REFUSED_CONNECTIONS: u8 = 3;

impl Coordinator {
    pub(super) fn insert_pin(&mut self, pin: Pin) -> PinKey {
        self.adapters.add_reference(pin.adapter);
        let engine = &mut self.engines[pin.engine];
        engine.pins += 1;
        if let Some(at) = engine.slot_of(pin.adapter) {
            engine.slots[at].pins += 1;
        }
        let model = &mut self.models[usize::from(engine.model.0)];
        model.free_batch_places = model.free_batch_places.saturating_sub(1);
        let key = self.pins.insert(pin);
        self.pin_ids.insert(pin.id, key);
        self.requests.insert(pin.request, RequestState::Pinned(key));
        key
    }

    /// Counts the pins of an adapter on an engine.
    pub(super) fn count_pins(&self, engine: EngineKey, adapter: AdapterKey) -> u32 {
        self.pins.values().filter(|it| (it.engine, it.adapter) == (engine, adapter)).count() as u32
    }

    /// Removes a pin and frees its place in the batch.
    pub(super) fn remove_pin(&mut self, now_ms: u64, key: PinKey) -> Option<Pin> {
        let pin = self.pins.remove(key)?;
        self.pin_ids.remove(&pin.id);
        if pin.orphan != OrphanState::NotOrphaned {
            self.orphans.retain(|it| *it != key);
        }
        // The request may have been placed again on another engine.
        if self.requests.get(&pin.request) == Some(&RequestState::Pinned(key)) {
            self.requests.remove(&pin.request);
        }
        if let Some(engine) = self.engines.get_mut(pin.engine) {
            engine.pins = engine.pins.saturating_sub(1);
            if let Some(at) = engine.slot_of(pin.adapter) {
                let slot = &mut engine.slots[at];
                slot.pins = slot.pins.saturating_sub(1);
            }
            self.models[usize::from(engine.model.0)].free_batch_places += 1;
        }
        self.adapters.remove_reference(pin.adapter, now_ms);
        self.delete_if_removed(pin.engine);
        Some(pin)
    }

    /// Releases a pin. An unknown pin is ignored, for example one that ended after its engine
    /// restarted.
    pub fn release(&mut self, now_ms: u64, pin: PinId, release: Release) {
        let Some(key) = self.pin_ids.get(&pin).copied() else { return };
        let Some(pin) = self.remove_pin(now_ms, key) else { return };
        match release {
            Release::Finished => self.record_finished_run(now_ms, &pin),
            Release::Cancelled | Release::NotSent => {}
            Release::AdapterMissing => self.handle_missing_adapter(now_ms, &pin),
            Release::EngineLeaving => self.stop_new_work(now_ms, pin.engine),
            Release::ConnectRefused => {
                if let Some(engine) = self.engines.get_mut(pin.engine) {
                    engine.refused_connections = engine.refused_connections.saturating_add(1);
                    engine.connect_refused_ms = now_ms;
                    if engine.refused_connections >= MAX_REFUSED_CONNECTIONS {
                        engine.is_leaving_by_refusals |= !engine.is_leaving;
                        self.stop_new_work(now_ms, pin.engine);
                    }
                }
                self.back_off(now_ms, pin.engine);
            }
            Release::EngineRefused | Release::EngineFailed => self.back_off(now_ms, pin.engine),
        }
        self.place_waiting_on_engine(now_ms, pin.engine);
        self.start_loads(now_ms);
    }

    /// Updates the estimates and the failure counters after a request ran to its end.
    fn record_finished_run(&mut self, now_ms: u64, pin: &Pin) {
        if let Some(engine) = self.engines.get_mut(pin.engine) {
            engine.failures = 0;
            engine.refused_connections = 0;
        }
        if pin.max_tokens > 0 {
            let took_ms = now_ms.saturating_sub(pin.granted_ms) as f32;
            self.mean_run_ms += RUN_TIME_WEIGHT * (took_ms - self.mean_run_ms);
            let per_token = took_ms / pin.max_tokens as f32;
            self.mean_ms_per_token += RUN_TIME_WEIGHT * (per_token - self.mean_ms_per_token);
        }
    }

    /// Handles an engine's report that an adapter is not loaded although its slot was marked as
    /// loaded: the slot has to be read back.
    fn handle_missing_adapter(&mut self, now_ms: u64, pin: &Pin) {
        let Some(engine) = self.engines.get_mut(pin.engine) else { return };
        let Some(at) = engine.slot_of(pin.adapter) else { return };
        let slot = &mut engine.slots[at];
        if slot.state != SlotState::Ready {
            return;
        }
        slot.state = SlotState::Unknown;
        slot.since_ms = now_ms;
        let (id, address) = (engine.id, engine.address);
        self.remove_copy(now_ms, pin.adapter, pin.engine);
        self.reevaluate_demand(now_ms, pin.adapter);
        self.effects.push(Effect::ReadSnapshot { engine: id, address });
    }

    /// Backs off from an engine that failed: it gets no new work until the backoff ends.
    pub(super) fn back_off(&mut self, now_ms: u64, engine: EngineKey) {
        let Some(failures) = self.engines.get(engine).map(|it| it.failures.saturating_add(1))
        else {
            return;
        };
        let backoff_ms = self.backoff_ms(failures);
        let engine = &mut self.engines[engine];
        if engine.backoff_until_ms > now_ms {
            // Failures of requests that were already in flight are part of the same engine failure.
            return;
        }
        engine.failures = failures;
        engine.backoff_until_ms = now_ms + backoff_ms;
        // The snapshot shows whether the engine restarted.
        let (engine, address) = (engine.id, engine.address);
        self.effects.push(Effect::ReadSnapshot { engine, address });
    }

    /// Handles the loss of an instance, whose serving lease must have expired for certain. Its
    /// running requests are cancelled; each pin ends when the engine no longer lists the request,
    /// or after its deadline once the engine has acknowledged the cancel order.
    pub fn instance_lost(&mut self, now_ms: u64, instance: InstanceId, incarnation: Incarnation) {
        self.known_instances.remove(&(instance, incarnation));
        for it in &mut self.unreported_instances {
            if (it.instance, it.incarnation) == (instance, incarnation) {
                it.lost_ms.get_or_insert(now_ms);
            }
        }
        let of_instance =
            |it: &RequestKey| (it.instance, it.incarnation) == (instance, incarnation);
        let waiting: Vec<WaitingKey> = self
            .refusal_times
            .iter()
            .map(|(_, wait)| *wait)
            .filter(|wait| of_instance(&self.waiting[*wait].key))
            .collect();
        for wait in waiting {
            let refusal = Refusal::not_run(RefusalReason::NotCurrent, "the instance was lost");
            self.refuse_waiting(now_ms, wait, refusal);
        }
        for (key, pin) in &mut self.pins {
            if !of_instance(&pin.request) || matches!(pin.orphan, OrphanState::InstanceLost { .. })
            {
                continue;
            }
            if pin.orphan == OrphanState::NotOrphaned {
                self.orphans.push(key);
            }
            pin.orphan = OrphanState::InstanceLost {
                since_ms: now_ms,
                cancelled_ms: None,
                acknowledged: false,
            };
        }
        self.sweep_pins(now_ms);
        self.start_loads(now_ms);
    }

    /// Handles the end of a cancel order; `acknowledged` is true if the engine accepted the order.
    pub fn cancel_finished(&mut self, now_ms: u64, request: RequestKey, acknowledged: bool) {
        for key in &self.orphans {
            let Some(pin) = self.pins.get_mut(*key) else { continue };
            if pin.request == request
                && let OrphanState::InstanceLost { acknowledged: known, .. } = &mut pin.orphan
            {
                *known |= acknowledged;
            }
        }
        self.sweep_pins(now_ms);
    }

    /// Marks overdue pins as unconfirmed, ends orphaned pins that are due, and cancels the requests
    /// of lost instances.
    pub(super) fn sweep_pins(&mut self, now_ms: u64) {
        let grace_ms = self.settings.pin_grace_ms;
        for (key, pin) in &mut self.pins {
            if pin.orphan == OrphanState::NotOrphaned && now_ms >= pin.deadline_ms + grace_ms {
                pin.orphan = OrphanState::Unconfirmed { since_ms: now_ms };
                self.orphans.push(key);
            }
        }
        for key in self.orphans.clone() {
            let Some(pin) = self.pins.get(key).copied() else { continue };
            let is_removed = self.engines.get(pin.engine).is_none_or(|it| it.is_removed);
            let ends_ms = match pin.orphan {
                OrphanState::NotOrphaned => continue,
                // The instance still releases the pin, unless it never received the placement.
                OrphanState::Unconfirmed { since_ms } => since_ms + self.settings.max_budget_ms,
                OrphanState::InstanceLost { .. } => pin.deadline_ms + grace_ms,
            };
            if is_removed && now_ms >= ends_ms {
                // A removed engine sends no snapshots. If it is listed again, its first snapshot
                // protects the requests that still run.
                self.remove_pin(now_ms, key);
                continue;
            }
            let OrphanState::InstanceLost { cancelled_ms, acknowledged, .. } = pin.orphan else {
                continue;
            };
            if acknowledged {
                if now_ms >= pin.deadline_ms + grace_ms {
                    self.remove_pin(now_ms, key);
                }
                continue;
            }
            if cancelled_ms.is_none_or(|sent_ms| now_ms >= sent_ms + CANCEL_RETRY_MS) {
                self.cancel(now_ms, key, &pin);
            }
        }
    }

    fn cancel(&mut self, now_ms: u64, key: PinKey, pin: &Pin) {
        let Some(engine) = self.engines.get(pin.engine) else { return };
        if !self.has_valid_lease(now_ms) || !self.can_order(now_ms, engine) {
            return;
        }
        let Some(epoch) = self.epoch else { return };
        self.effects.push(Effect::Cancel {
            epoch,
            engine: engine.id,
            address: engine.address,
            request: pin.request,
        });
        if let OrphanState::InstanceLost { cancelled_ms, .. } = &mut self.pins[key].orphan {
            *cancelled_ms = Some(now_ms);
        }
    }

    /// Handles the report of all pins of an instance, which a new coordinator requests.
    pub fn pins_reported(
        &mut self,
        now_ms: u64,
        instance: InstanceId,
        incarnation: Incarnation,
        pins: Vec<ReportedPin>,
    ) {
        if self.epoch.is_none() {
            return;
        }
        self.unreported_instances
            .retain(|it| (it.instance, it.incarnation) != (instance, incarnation));
        self.known_instances.insert((instance, incarnation));
        for reported in pins {
            if self.pin_ids.contains_key(&reported.pin) {
                continue;
            }
            let engine = self.engine_addresses.get(&reported.engine).copied();
            let engine = engine.unwrap_or_else(|| self.add_unlisted_engine(now_ms, &reported));
            let model = self.engines[engine].model;
            let Some(adapter) = self.adapters.intern(model, &reported.adapter, now_ms) else {
                continue;
            };
            let request = RequestKey { instance, incarnation, request: reported.request };
            if let Some(RequestState::Waiting(wait)) = self.requests.get(&request).copied() {
                self.remove_waiting(now_ms, wait);
            }
            self.insert_pin(Pin {
                id: reported.pin,
                request,
                engine,
                adapter,
                granted_ms: now_ms,
                deadline_ms: now_ms + reported.budget_ms.min(self.settings.max_budget_ms),
                max_tokens: 0,
                stall_ms: 0,
                orphan: OrphanState::NotOrphaned,
            });
        }
        self.start_loads(now_ms);
    }
}
