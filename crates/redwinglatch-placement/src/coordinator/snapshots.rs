//! Processing of engine snapshots and prefix cache events.

use redwinglatch_core::EngineId;
use smallvec::SmallVec;

use super::{Coordinator, RequestState};
use crate::{
    Effect, EngineSnapshot, PrefixCacheEvents,
    engine_state::{AdapterSlot, SlotState},
    keys::{AdapterKey, EngineKey},
    pin::OrphanState,
    prefix_index::IndexUpdate,
};

/// Time after the end of an order within which a snapshot may not show its effect yet; differences
/// in this time are ignored.
const SNAPSHOT_LAG_MS: u64 = 3_000;
/// Minimum time between a slot becoming unknown and the request of a snapshot that settles its
/// content.
const MIN_READ_BACK_DELAY_MS: u64 = 250;

/// Upper limit of the batch size in a snapshot, as a guard against faulty engines.
const MAX_BATCH: u32 = 65_536;

/// Adapters in a snapshot with the number of their running requests.
type ReportedAdapters = SmallVec<[(AdapterKey, u32); 8]>;

impl Coordinator {
    /// Processes a snapshot of an engine's state.
    pub fn engine_report(&mut self, now_ms: u64, engine: EngineId, snapshot: EngineSnapshot) {
        let Some(key) = self.engine_ids.get(&engine).copied() else { return };
        let stale_ms = self.settings.snapshot_stale_ms;
        let engine = &mut self.engines[key];
        // Ignore a snapshot, of any boot, that was overtaken by a newer one or was requested before
        // the engine was listed, and one that is stale.
        if snapshot.requested_ms < engine.requested_ms.max(engine.listed_ms)
            || snapshot.requested_ms + stale_ms < now_ms
        {
            return;
        }
        let restarted = engine.boot_id.as_ref().is_some_and(|it| *it != snapshot.boot_id);
        if !restarted && engine.boot_id.is_some() && snapshot.sequence < engine.sequence {
            return;
        }
        if restarted {
            self.reset_after_restart(now_ms, key);
        }
        let engine = &mut self.engines[key];
        engine.boot_id = Some(snapshot.boot_id.clone());
        engine.sequence = snapshot.sequence;
        engine.requested_ms = snapshot.requested_ms;
        engine.max_batch = snapshot.max_batch.min(MAX_BATCH);
        if engine.is_removed {
            // Snapshots of removed engines only show which requests have ended.
            self.end_unlisted_orphans(now_ms, key, &snapshot);
            return;
        }
        let is_first_snapshot = !engine.is_read_back;
        // Until the former coordinator's orders have settled, they can still change the slots.
        if is_first_snapshot && !(self.is_settled && snapshot.requested_ms >= self.settled_ms) {
            return;
        }
        if is_first_snapshot {
            self.batch_places_counted_ms = None;
        }
        self.engines[key].is_read_back = true;
        self.resize_slots(now_ms, key, usize::from(snapshot.slot_count));
        self.reconcile_slots(now_ms, key, &snapshot, is_first_snapshot);
        self.count_unpinned_requests(key, &snapshot, is_first_snapshot);
        self.end_unlisted_orphans(now_ms, key, &snapshot);
        let engine = &mut self.engines[key];
        if engine.is_leaving_by_refusals && engine.connect_refused_ms < snapshot.requested_ms {
            // The engine accepts connections again.
            engine.is_leaving = engine.is_listed_leaving;
            engine.is_leaving_by_refusals = false;
            engine.refused_connections = 0;
        }
        if snapshot.is_leaving {
            self.stop_new_work(now_ms, key);
        }
        self.place_waiting_on_engine(now_ms, key);
        self.start_loads(now_ms);
    }

    /// Clears the state of the former boot of an engine.
    fn reset_after_restart(&mut self, now_ms: u64, key: EngineKey) {
        self.abandon_loads(now_ms, key);
        self.mark_pins_unconfirmed(now_ms, key);
        self.clear_slots(now_ms, key);
        let Some(engine) = self.engines.get_mut(key) else { return };
        engine.is_read_back = false;
        engine.unpinned_requests = 0;
        engine.unknown_instance_requests = 0;
        engine.unpinned_keys.clear();
        engine.prefixes.invalidate();
        engine.failures = 0;
        engine.refused_connections = 0;
        // It was the former process that was leaving, not the new one.
        engine.is_leaving = engine.is_listed_leaving;
        engine.is_leaving_by_refusals = false;
        engine.backoff_until_ms = 0;
        let (engine, address) = (engine.id, engine.address);
        self.effects.push(Effect::ReadCacheEvents { engine, address, after: 0 });
    }

    fn resize_slots(&mut self, now_ms: u64, key: EngineKey, count: usize) {
        while self.engines[key].slots.len() > count {
            let Some(slot) = self.engines[key].slots.pop() else { return };
            if let Some(adapter) = slot.adapter {
                self.remove_copy(now_ms, adapter, key);
                self.adapters.remove_reference(adapter, now_ms);
            }
        }
        self.engines[key].slots.resize(count, AdapterSlot::default());
    }

    /// Reconciles the slots with the snapshot. A slot that changed without an order is unknown
    /// until a later snapshot confirms its content.
    fn reconcile_slots(
        &mut self,
        now_ms: u64,
        key: EngineKey,
        snapshot: &EngineSnapshot,
        is_first_snapshot: bool,
    ) {
        let model = self.engines[key].model;
        let mut reported = ReportedAdapters::new();
        for slot in &snapshot.slots {
            if let Some(adapter) = self.adapters.intern(model, &slot.adapter, now_ms) {
                // The reference keeps the adapter, since interning others may remove idle ones.
                self.adapters.add_reference(adapter);
                reported.push((adapter, slot.running));
            }
        }
        for at in 0..self.engines[key].slots.len() {
            self.reconcile_slot(now_ms, key, at, snapshot.requested_ms, &reported);
        }
        let lagging = |since_ms: u64| snapshot.requested_ms <= since_ms + SNAPSHOT_LAG_MS;
        self.engines[key].recently_evicted.retain(|(_, since_ms)| lagging(*since_ms));
        for (adapter, running) in &reported {
            let engine = &self.engines[key];
            if engine.slot_of(*adapter).is_none()
                && !engine.recently_evicted.iter().any(|(it, _)| it == adapter)
            {
                self.adopt_slot(now_ms, key, *adapter, *running, is_first_snapshot);
            }
        }
        for (adapter, _) in reported {
            self.adapters.remove_reference(adapter, now_ms);
        }
    }

    fn reconcile_slot(
        &mut self,
        now_ms: u64,
        key: EngineKey,
        at: usize,
        requested_ms: u64,
        reported: &ReportedAdapters,
    ) {
        let slot = &mut self.engines[key].slots[at];
        let Some(adapter) = slot.adapter else {
            if slot.state == SlotState::Unknown
                && requested_ms >= slot.since_ms + MIN_READ_BACK_DELAY_MS
            {
                *slot = AdapterSlot { since_ms: now_ms, ..AdapterSlot::default() };
            }
            return;
        };
        let running = reported.iter().find(|(it, _)| *it == adapter).map(|(_, running)| *running);
        match (slot.state, running) {
            (SlotState::Ready, Some(running)) => {
                let unpinned_requests = running.saturating_sub(slot.pins);
                slot.unpinned_requests = unpinned_requests.min(slot.last_unpinned_requests);
                slot.last_unpinned_requests = unpinned_requests;
            }
            (SlotState::Ready, None) if requested_ms > slot.since_ms + SNAPSHOT_LAG_MS => {
                slot.state = SlotState::Unknown;
                slot.since_ms = now_ms;
                self.remove_copy(now_ms, adapter, key);
                self.reevaluate_demand(now_ms, adapter);
            }
            (SlotState::Unknown, Some(running))
                if requested_ms >= slot.since_ms + MIN_READ_BACK_DELAY_MS =>
            {
                slot.state = SlotState::Ready;
                slot.since_ms = now_ms;
                slot.unpinned_requests = running.saturating_sub(slot.pins);
                slot.last_unpinned_requests = slot.unpinned_requests;
                self.adapters.activate(adapter).copies.push(key);
                self.place_waiting_for_adapter(now_ms, adapter);
            }
            (SlotState::Unknown, None)
                if requested_ms >= slot.since_ms + MIN_READ_BACK_DELAY_MS =>
            {
                *slot = AdapterSlot { since_ms: now_ms, ..AdapterSlot::default() };
                self.adapters.remove_reference(adapter, now_ms);
            }
            _ => {}
        }
    }

    /// Assigns a slot to an adapter that is loaded on the engine without a known order.
    fn adopt_slot(
        &mut self,
        now_ms: u64,
        key: EngineKey,
        adapter: AdapterKey,
        running: u32,
        is_first_snapshot: bool,
    ) {
        let pins =
            self.pins.values().filter(|pin| pin.engine == key && pin.adapter == adapter).count()
                as u32;
        let engine = &mut self.engines[key];
        let Some(slot) = engine.slots.iter_mut().find(|it| it.state == SlotState::Empty) else {
            return;
        };
        let unpinned_requests = running.saturating_sub(pins);
        *slot = AdapterSlot {
            state: if is_first_snapshot { SlotState::Ready } else { SlotState::Unknown },
            adapter: Some(adapter),
            pins,
            unpinned_requests,
            last_unpinned_requests: unpinned_requests,
            since_ms: now_ms,
            is_draining: false,
        };
        self.adapters.add_reference(adapter);
        if is_first_snapshot {
            self.adapters.activate(adapter).copies.push(key);
            self.place_waiting_for_adapter(now_ms, adapter);
        }
    }

    /// Counts the requests in a snapshot that have no pin. Delayed snapshots still list requests
    /// whose pins have ended, so a request counts only when two consecutive snapshots list it.
    fn count_unpinned_requests(
        &mut self,
        key: EngineKey,
        snapshot: &EngineSnapshot,
        is_first_snapshot: bool,
    ) {
        let requests = &self.requests;
        let pins = &self.pins;
        let mut unpinned_keys: Vec<_> = snapshot.requests.clone();
        unpinned_keys.retain(|it| match requests.get(it) {
            Some(RequestState::Pinned(pin)) => pins[*pin].engine != key,
            _ => true,
        });
        let engine = &mut self.engines[key];
        let before = &engine.unpinned_keys;
        let unpinned_requests =
            unpinned_keys.iter().filter(|it| is_first_snapshot || before.contains(it)).count();
        engine.unpinned_requests = unpinned_requests as u32;
        let known = &self.known_instances;
        let unknown_instance_requests =
            unpinned_keys.iter().filter(|it| !known.contains(&(it.instance, it.incarnation)));
        engine.unknown_instance_requests = unknown_instance_requests.count() as u32;
        engine.unpinned_keys = unpinned_keys;
    }

    /// Ends orphaned pins whose request the engine no longer lists.
    fn end_unlisted_orphans(&mut self, now_ms: u64, key: EngineKey, snapshot: &EngineSnapshot) {
        let mut at = 0;
        while at < self.orphans.len() {
            let pin_key = self.orphans[at];
            let ended = self.pins.get(pin_key).is_some_and(|pin| {
                let since_ms = match pin.orphan {
                    OrphanState::NotOrphaned => return false,
                    OrphanState::Unconfirmed { since_ms }
                    | OrphanState::InstanceLost { since_ms, .. } => since_ms,
                };
                pin.engine == key
                    && snapshot.requested_ms > since_ms + MIN_READ_BACK_DELAY_MS
                    && !snapshot.requests.contains(&pin.request)
            });
            if ended {
                self.remove_pin(now_ms, pin_key);
            } else {
                at += 1;
            }
        }
    }

    /// Applies an engine's prefix cache events; after a gap, all events are read again.
    pub fn cache_events(&mut self, _now_ms: u64, engine: EngineId, events: PrefixCacheEvents) {
        let Some(key) = self.engine_ids.get(&engine).copied() else { return };
        let engine = &mut self.engines[key];
        if engine.boot_id.as_ref().is_some_and(|it| *it != events.boot_id) {
            // The events are from another boot; the next snapshot shows which boot is newer.
            engine.prefixes.invalidate();
            return;
        }
        if engine.prefixes.apply(&events) == IndexUpdate::FullReadRequired {
            let (engine, address) = (engine.id, engine.address);
            self.effects.push(Effect::ReadCacheEvents { engine, address, after: 0 });
        }
    }
}
