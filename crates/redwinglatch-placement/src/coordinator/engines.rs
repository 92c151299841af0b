//! Adding and removing engines according to the platform's backend list.

use redwinglatch_core::EngineId;

use super::{Coordinator, Model};
use crate::{
    Effect, EngineInfo, FencingMode, LoadFailure, ReportedPin,
    engine_state::{EngineState, SlotState},
    keys::{AdapterKey, DataCentreKey, EngineKey, ModelKey},
    pin::OrphanState,
};

/// The longest time between the placement of a request and its sending by the instance.
const MAX_SEND_DELAY_MS: u64 = 1_000;

impl Coordinator {
    /// Adds an engine and returns its id; an engine with a known address keeps its id.
    ///
    /// The engine gets work after its first snapshot.
    pub fn engine_added(&mut self, now_ms: u64, info: EngineInfo) -> EngineId {
        let data_centre = self.find_data_centre(&info.data_centre).unwrap_or_else(|| {
            self.data_centres.push(info.data_centre.clone());
            DataCentreKey((self.data_centres.len() - 1) as u16)
        });
        if let Some(key) = self.engine_addresses.get(&info.address) {
            let engine = &mut self.engines[*key];
            engine.data_centre = data_centre;
            engine.fencing = info.fencing;
            if std::mem::replace(&mut engine.is_removed, false) {
                engine.listed_ms = now_ms;
            }
            engine.is_leaving = false;
            engine.is_listed_leaving = false;
            engine.is_leaving_by_refusals = false;
            engine.refused_connections = 0;
            return engine.id;
        }
        let id = EngineId(self.next_engine);
        self.next_engine = self.next_engine.wrapping_add(1);
        let model = match self.find_model(&info.model) {
            Some(model) => model,
            None => {
                let at = self.models.len();
                self.models.push(Model {
                    name: info.model.clone(),
                    engines: Vec::new(),
                    batch_places: 0,
                    free_batch_places: 0,
                    waiting: 0,
                });
                ModelKey(at as u16)
            }
        };
        let engine = EngineState::new(id, &info, model, data_centre, &self.settings, now_ms);
        let key = self.engines.insert(engine);
        self.engine_ids.insert(id, key);
        self.engine_addresses.insert(info.address, key);
        self.models[usize::from(model.0)].engines.push(key);
        if self.is_settled {
            self.effects.push(Effect::ReadSnapshot { engine: id, address: info.address });
        }
        id
    }

    /// Adds an engine that is not in the platform's backend list but on which an instance reports a
    /// pin. If the engine is listed again, the request may still run there or be in transit to it.
    pub(super) fn add_unlisted_engine(&mut self, now_ms: u64, pin: &ReportedPin) -> EngineKey {
        let info = EngineInfo {
            address: pin.engine,
            model: pin.model.clone(),
            data_centre: "".into(),
            fencing: FencingMode::Ignored,
        };
        let id = self.engine_added(now_ms, info);
        let key = self.engine_ids[&id];
        self.engines[key].is_removed = true;
        key
    }

    /// Removes an engine that is no longer in the platform's backend list. Its pins remain until
    /// they are released, since requests may still run there.
    pub fn engine_removed(&mut self, now_ms: u64, engine: EngineId) {
        let Some(key) = self.engine_ids.get(&engine).copied() else { return };
        self.engines[key].is_removed = true;
        // If the engine is listed again, its slots have to be read back first.
        self.engines[key].is_read_back = false;
        self.abandon_loads(now_ms, key);
        self.clear_slots(now_ms, key);
        self.delete_if_removed(key);
        self.start_loads(now_ms);
    }

    /// Marks an engine as leaving by the platform's backend list, so that it gets no new work.
    pub fn engine_leaving(&mut self, now_ms: u64, engine: EngineId) {
        if let Some(key) = self.engine_ids.get(&engine).copied() {
            self.engines[key].is_listed_leaving = true;
            self.stop_new_work(now_ms, key);
        }
    }

    /// Marks an engine as leaving, and checks whether requests that waited for its adapters now
    /// need a load on another engine.
    pub(super) fn stop_new_work(&mut self, now_ms: u64, key: EngineKey) {
        let Some(engine) = self.engines.get_mut(key) else { return };
        if std::mem::replace(&mut engine.is_leaving, true) {
            return;
        }
        let adapters: Vec<AdapterKey> =
            engine.slots.iter().filter_map(|slot| slot.adapter).collect();
        for adapter in adapters {
            self.reevaluate_demand(now_ms, adapter);
        }
    }

    /// Marks all slots of the engine as empty.
    pub(super) fn clear_slots(&mut self, now_ms: u64, key: EngineKey) {
        for at in 0..self.engines[key].slots.len() {
            let slot = std::mem::take(&mut self.engines[key].slots[at]);
            let Some(adapter) = slot.adapter else { continue };
            if slot.state == SlotState::Ready {
                self.remove_copy(now_ms, adapter, key);
            }
            self.adapters.remove_reference(adapter, now_ms);
            self.reevaluate_demand(now_ms, adapter);
        }
        self.engines[key].recently_evicted.clear();
    }

    /// Abandons the loads in flight on an engine that restarted or was removed.
    pub(super) fn abandon_loads(&mut self, now_ms: u64, key: EngineKey) {
        while let Some(in_flight) =
            self.queue.in_flight.iter_mut().find(|it| it.engine == key && !it.is_engine_lost)
        {
            in_flight.is_engine_lost = true;
            in_flight.is_abandoned = true;
            let adapter = in_flight.adapter;
            self.finish_slot_load(now_ms, key, adapter, Err(LoadFailure::Unreachable));
            self.reevaluate_demand(now_ms, adapter);
        }
    }

    /// Deletes the state of a removed engine that has no pins.
    pub(super) fn delete_if_removed(&mut self, key: EngineKey) {
        let Some(engine) = self.engines.get(key) else { return };
        if !engine.is_removed || engine.pins > 0 {
            return;
        }
        let (id, address, model) = (engine.id, engine.address, engine.model);
        self.engine_ids.remove(&id);
        self.engine_addresses.remove(&address);
        self.models[usize::from(model.0)].engines.retain(|it| *it != key);
        self.engines.remove(key);
    }

    /// Marks the pins of a restarted engine as unconfirmed. A request that was placed shortly
    /// before the restart may still reach the new boot, so its pin ends only when a later snapshot
    /// doesn't list it.
    pub(super) fn mark_pins_unconfirmed(&mut self, now_ms: u64, key: EngineKey) {
        for (pin_key, pin) in &mut self.pins {
            if pin.engine == key && pin.orphan == OrphanState::NotOrphaned {
                pin.orphan = OrphanState::Unconfirmed { since_ms: now_ms + MAX_SEND_DELAY_MS };
                self.orphans.push(pin_key);
            }
        }
    }

    /// Counts the places in the batches of engines that accept requests.
    pub(super) fn count_batch_places(&mut self, now_ms: u64) {
        self.batch_places_counted_ms = Some(now_ms);
        for model in &mut self.models {
            model.batch_places = 0;
            model.free_batch_places = 0;
            for key in &model.engines {
                let engine = &self.engines[*key];
                if engine.accepts_requests(now_ms) {
                    model.batch_places += engine.max_batch;
                    model.free_batch_places += engine.free_batch_places();
                }
            }
        }
    }

    /// Requests a snapshot of each engine.
    pub(super) fn read_all_snapshots(&mut self) {
        for engine in self.engines.values() {
            let (id, address) = (engine.id, engine.address);
            self.effects.push(Effect::ReadSnapshot { engine: id, address });
        }
    }

    pub(super) fn find_data_centre(&self, name: &str) -> Option<DataCentreKey> {
        let at = self.data_centres.iter().position(|it| **it == *name)?;
        Some(DataCentreKey(at as u16))
    }
}
