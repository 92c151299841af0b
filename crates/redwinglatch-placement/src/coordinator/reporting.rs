//! Taking reports and cache events of engines.

use redwinglatch_core::EngineId;
use smallvec::SmallVec;

use super::{Coordinator, RequestState};
use crate::{
    CacheEvents, Effect, Report,
    engine::{Slot, SlotState},
    keys::{AdapterKey, EngineKey},
    pin::Orphan,
    prefixes::NextRead,
};

/// How long a report may lag behind an order that ended; differences within it decide nothing.
const REPORT_LAG_MS: u64 = 3_000;
/// How long after a slot became unknown a report tells its content.
const READ_BACK_MS: u64 = 250;

/// Batch limit above which a report is a mistake.
const MAX_BATCH: u32 = 65_536;

/// An adapter in a report with its running requests.
type Reported = SmallVec<[(AdapterKey, u32); 8]>;

impl Coordinator {
    /// Takes an engine's report.
    pub fn engine_report(&mut self, now_ms: u64, engine: EngineId, report: Report) {
        let Some(key) = self.engine_ids.get(&engine).copied() else { return };
        let stale_ms = self.settings.report_stale_ms;
        let engine = &mut self.engines[key];
        // A report that was overtaken, or that is older than the engine's listing, proves nothing,
        // whatever boot it is from; one that is too old counts as unknown.
        if report.asked_ms < engine.asked_ms.max(engine.listed_ms)
            || report.asked_ms + stale_ms < now_ms
        {
            return;
        }
        let restarted = engine.boot_id.as_ref().is_some_and(|it| *it != report.boot_id);
        if !restarted && engine.boot_id.is_some() && report.sequence < engine.sequence {
            return;
        }
        if restarted {
            self.restart(now_ms, key);
        }
        let engine = &mut self.engines[key];
        engine.boot_id = Some(report.boot_id.clone());
        engine.sequence = report.sequence;
        engine.asked_ms = report.asked_ms;
        engine.max_batch = report.max_batch.min(MAX_BATCH);
        if engine.removed {
            // Late reports only tell which requests ended.
            self.end_orphans(now_ms, key, &report);
            return;
        }
        let first = !engine.read_back;
        // Before the former coordinator's orders have settled, a report proves nothing.
        if first && !(self.settled && report.asked_ms >= self.settled_ms) {
            return;
        }
        if first {
            self.places_counted_ms = None;
        }
        self.engines[key].read_back = true;
        self.resize_slots(now_ms, key, usize::from(report.slot_count));
        self.compare_slots(now_ms, key, &report, first);
        self.count_foreign(key, &report, first);
        self.end_orphans(now_ms, key, &report);
        let engine = &mut self.engines[key];
        if engine.leaving_by_refusals && engine.refused_ms < report.asked_ms {
            // The engine takes connections again.
            engine.leaving = engine.listed_leaving;
            engine.leaving_by_refusals = false;
            engine.refused_connections = 0;
        }
        if report.leaving {
            self.stop_new_work(now_ms, key);
        }
        self.serve_engine(now_ms, key);
        self.start_loads(now_ms);
    }

    /// Forgets everything about the former boot of an engine.
    fn restart(&mut self, now_ms: u64, key: EngineKey) {
        self.drop_loads(now_ms, key);
        self.void_pins(now_ms, key);
        self.clear_slots(now_ms, key);
        let Some(engine) = self.engines.get_mut(key) else { return };
        engine.read_back = false;
        engine.foreign = 0;
        engine.strays = 0;
        engine.unmatched.clear();
        engine.prefixes.invalidate();
        engine.failures = 0;
        engine.refused_connections = 0;
        // A new process is not the one that was leaving.
        engine.leaving = engine.listed_leaving;
        engine.leaving_by_refusals = false;
        engine.blocked_until_ms = 0;
        let (engine, address) = (engine.id, engine.address);
        self.effects.push(Effect::ReadCacheEvents { engine, address, after: 0 });
    }

    fn resize_slots(&mut self, now_ms: u64, key: EngineKey, count: usize) {
        while self.engines[key].slots.len() > count {
            let Some(slot) = self.engines[key].slots.pop() else { return };
            if let Some(adapter) = slot.adapter {
                self.remove_copy(now_ms, adapter, key);
                self.adapters.drop_hold(adapter, now_ms);
            }
        }
        self.engines[key].slots.resize(count, Slot::default());
    }

    /// Compares the slots with the report. A slot that changed without an order is unknown until
    /// a later report agrees on its content.
    fn compare_slots(&mut self, now_ms: u64, key: EngineKey, report: &Report, first: bool) {
        let model = self.engines[key].model;
        let mut reported = Reported::new();
        for slot in &report.slots {
            if let Some(adapter) = self.adapters.intern(model, &slot.adapter, now_ms) {
                // Held while they are compared, since interning may forget idle adapters.
                self.adapters.hold(adapter);
                reported.push((adapter, slot.running));
            }
        }
        for at in 0..self.engines[key].slots.len() {
            self.compare_slot(now_ms, key, at, report.asked_ms, &reported);
        }
        let lagging = |since_ms: u64| report.asked_ms <= since_ms + REPORT_LAG_MS;
        self.engines[key].evicted.retain(|(_, since_ms)| lagging(*since_ms));
        for (adapter, running) in &reported {
            let engine = &self.engines[key];
            if engine.slot_of(*adapter).is_none()
                && !engine.evicted.iter().any(|(it, _)| it == adapter)
            {
                self.adopt_slot(now_ms, key, *adapter, *running, first);
            }
        }
        for (adapter, _) in reported {
            self.adapters.drop_hold(adapter, now_ms);
        }
    }

    fn compare_slot(
        &mut self,
        now_ms: u64,
        key: EngineKey,
        at: usize,
        asked_ms: u64,
        reported: &Reported,
    ) {
        let slot = &mut self.engines[key].slots[at];
        let Some(adapter) = slot.adapter else {
            if slot.state == SlotState::Unknown && asked_ms >= slot.since_ms + READ_BACK_MS {
                *slot = Slot { since_ms: now_ms, ..Slot::default() };
            }
            return;
        };
        let running = reported.iter().find(|(it, _)| *it == adapter).map(|(_, running)| *running);
        match (slot.state, running) {
            (SlotState::Ready, Some(running)) => {
                let unexplained = running.saturating_sub(slot.pins);
                slot.unexplained = unexplained.min(slot.last_unexplained);
                slot.last_unexplained = unexplained;
            }
            (SlotState::Ready, None) if asked_ms > slot.since_ms + REPORT_LAG_MS => {
                slot.state = SlotState::Unknown;
                slot.since_ms = now_ms;
                self.remove_copy(now_ms, adapter, key);
                self.renew_demand(now_ms, adapter);
            }
            (SlotState::Unknown, Some(running)) if asked_ms >= slot.since_ms + READ_BACK_MS => {
                slot.state = SlotState::Ready;
                slot.since_ms = now_ms;
                slot.unexplained = running.saturating_sub(slot.pins);
                slot.last_unexplained = slot.unexplained;
                self.adapters.activate(adapter).copies.push(key);
                self.serve_adapter(now_ms, adapter);
            }
            (SlotState::Unknown, None) if asked_ms >= slot.since_ms + READ_BACK_MS => {
                *slot = Slot { since_ms: now_ms, ..Slot::default() };
                self.adapters.drop_hold(adapter, now_ms);
            }
            _ => {}
        }
    }

    /// Takes over an adapter that the engine holds without a known order.
    fn adopt_slot(
        &mut self,
        now_ms: u64,
        key: EngineKey,
        adapter: AdapterKey,
        running: u32,
        first: bool,
    ) {
        let pins =
            self.pins.values().filter(|pin| pin.engine == key && pin.adapter == adapter).count()
                as u32;
        let engine = &mut self.engines[key];
        let Some(slot) = engine.slots.iter_mut().find(|it| it.state == SlotState::Empty) else {
            return;
        };
        let unexplained = running.saturating_sub(pins);
        *slot = Slot {
            state: if first { SlotState::Ready } else { SlotState::Unknown },
            adapter: Some(adapter),
            pins,
            unexplained,
            last_unexplained: unexplained,
            since_ms: now_ms,
            draining: false,
        };
        self.adapters.hold(adapter);
        if first {
            self.adapters.activate(adapter).copies.push(key);
            self.serve_adapter(now_ms, adapter);
        }
    }

    /// Counts the reported requests that have no pin. A pin that ended is listed for a while by
    /// late reports, so a request counts when two reports list it.
    fn count_foreign(&mut self, key: EngineKey, report: &Report, first: bool) {
        let requests = &self.requests;
        let pins = &self.pins;
        let mut unmatched: Vec<_> = report.requests.clone();
        unmatched.retain(|it| match requests.get(it) {
            Some(RequestState::Pinned(pin)) => pins[*pin].engine != key,
            _ => true,
        });
        let engine = &mut self.engines[key];
        let before = &engine.unmatched;
        let foreign = unmatched.iter().filter(|it| first || before.contains(it)).count();
        engine.foreign = foreign as u32;
        let known = &self.known_instances;
        let strays = unmatched.iter().filter(|it| !known.contains(&(it.instance, it.incarnation)));
        engine.strays = strays.count() as u32;
        engine.unmatched = unmatched;
    }

    /// Ends pins whose instance can't release them and whose request the engine no longer lists.
    fn end_orphans(&mut self, now_ms: u64, key: EngineKey, report: &Report) {
        let mut at = 0;
        while at < self.orphans.len() {
            let pin_key = self.orphans[at];
            let ended = self.pins.get(pin_key).is_some_and(|pin| {
                let since_ms = match pin.orphan {
                    Orphan::No => return false,
                    Orphan::Unconfirmed { since_ms } | Orphan::InstanceLost { since_ms, .. } => {
                        since_ms
                    }
                };
                pin.engine == key
                    && report.asked_ms > since_ms + READ_BACK_MS
                    && !report.requests.contains(&pin.request)
            });
            if ended {
                self.remove_pin(now_ms, pin_key);
            } else {
                at += 1;
            }
        }
    }

    /// Takes an engine's cache events; a gap makes the coordinator read all of them again.
    pub fn cache_events(&mut self, _now_ms: u64, engine: EngineId, events: CacheEvents) {
        let Some(key) = self.engine_ids.get(&engine).copied() else { return };
        let engine = &mut self.engines[key];
        if engine.boot_id.as_ref().is_some_and(|it| *it != events.boot_id) {
            // The events tell nothing of the other boot; the next report decides which is newer.
            engine.prefixes.invalidate();
            return;
        }
        if engine.prefixes.apply(&events) == NextRead::All {
            let (engine, address) = (engine.id, engine.address);
            self.effects.push(Effect::ReadCacheEvents { engine, address, after: 0 });
        }
    }
}
