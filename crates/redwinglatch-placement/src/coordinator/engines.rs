//! The engines of a cell, as the platform lists them.

use redwinglatch_core::EngineId;

use super::{Coordinator, Model};
use crate::{
    Effect, EngineInfo, Fencing, LoadFailure, ReportedPin,
    engine::{Engine, SlotState},
    keys::{AdapterKey, DataCentreKey, EngineKey, ModelKey},
    pin::Orphan,
};

/// How long after its placement an instance may send a request.
const SEND_MS: u64 = 1_000;

impl Coordinator {
    /// Adds an engine and returns its id; an engine with a known address keeps its id.
    ///
    /// The engine gets work after its first report.
    pub fn engine_added(&mut self, now_ms: u64, info: EngineInfo) -> EngineId {
        let data_centre = self.find_data_centre(&info.data_centre).unwrap_or_else(|| {
            self.data_centres.push(info.data_centre.clone());
            DataCentreKey((self.data_centres.len() - 1) as u16)
        });
        if let Some(key) = self.engine_addresses.get(&info.address) {
            let engine = &mut self.engines[*key];
            engine.data_centre = data_centre;
            engine.fencing = info.fencing;
            if std::mem::replace(&mut engine.removed, false) {
                engine.listed_ms = now_ms;
            }
            engine.leaving = false;
            engine.listed_leaving = false;
            engine.leaving_by_refusals = false;
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
                    places: 0,
                    free_places: 0,
                    waiting: 0,
                });
                ModelKey(at as u16)
            }
        };
        let engine = Engine::new(id, &info, model, data_centre, &self.settings, now_ms);
        let key = self.engines.insert(engine);
        self.engine_ids.insert(id, key);
        self.engine_addresses.insert(info.address, key);
        self.models[usize::from(model.0)].engines.push(key);
        if self.settled {
            self.effects.push(Effect::ReadReport { engine: id, address: info.address });
        }
        id
    }

    /// Adds an engine that the platform's list lacks and that an instance reports a pin on: the
    /// request still runs there, or is on its way, if the engine comes back.
    pub(super) fn add_unlisted(&mut self, now_ms: u64, pin: &ReportedPin) -> EngineKey {
        let info = EngineInfo {
            address: pin.engine,
            model: pin.model.clone(),
            data_centre: "".into(),
            fencing: Fencing::Ignored,
        };
        let id = self.engine_added(now_ms, info);
        let key = self.engine_ids[&id];
        self.engines[key].removed = true;
        key
    }

    /// Removes an engine that left the platform's list. Its pins stay until they are released,
    /// since requests may still run there.
    pub fn engine_removed(&mut self, now_ms: u64, engine: EngineId) {
        let Some(key) = self.engine_ids.get(&engine).copied() else { return };
        self.engines[key].removed = true;
        // If it comes back, its slots are read back first.
        self.engines[key].read_back = false;
        self.drop_loads(now_ms, key);
        self.clear_slots(now_ms, key);
        self.drop_if_removed(key);
        self.start_loads(now_ms);
    }

    /// Stops new work for an engine that is leaving.
    pub fn engine_leaving(&mut self, now_ms: u64, engine: EngineId) {
        if let Some(key) = self.engine_ids.get(&engine).copied() {
            self.engines[key].listed_leaving = true;
            self.stop_new_work(now_ms, key);
        }
    }

    /// Stops new work for an engine; requests that wait for it look elsewhere.
    pub(super) fn stop_new_work(&mut self, now_ms: u64, key: EngineKey) {
        let Some(engine) = self.engines.get_mut(key) else { return };
        if std::mem::replace(&mut engine.leaving, true) {
            return;
        }
        let adapters: Vec<AdapterKey> =
            engine.slots.iter().filter_map(|slot| slot.adapter).collect();
        for adapter in adapters {
            self.renew_demand(now_ms, adapter);
        }
    }

    /// Forgets what the engine's slots hold.
    pub(super) fn clear_slots(&mut self, now_ms: u64, key: EngineKey) {
        for at in 0..self.engines[key].slots.len() {
            let slot = std::mem::take(&mut self.engines[key].slots[at]);
            let Some(adapter) = slot.adapter else { continue };
            if slot.state == SlotState::Ready {
                self.remove_copy(now_ms, adapter, key);
            }
            self.adapters.drop_hold(adapter, now_ms);
            self.renew_demand(now_ms, adapter);
        }
        self.engines[key].evicted.clear();
    }

    /// Ends the loads in flight on an engine that restarted or went away.
    pub(super) fn drop_loads(&mut self, now_ms: u64, key: EngineKey) {
        while let Some(in_flight) =
            self.queue.in_flight.iter_mut().find(|it| it.engine == key && !it.void)
        {
            in_flight.void = true;
            in_flight.abandoned = true;
            let adapter = in_flight.adapter;
            self.end_loading(now_ms, key, adapter, Err(LoadFailure::Unreachable));
            self.renew_demand(now_ms, adapter);
        }
    }

    /// Drops a removed engine that has no pins.
    pub(super) fn drop_if_removed(&mut self, key: EngineKey) {
        let Some(engine) = self.engines.get(key) else { return };
        if !engine.removed || engine.pins > 0 {
            return;
        }
        let (id, address, model) = (engine.id, engine.address, engine.model);
        self.engine_ids.remove(&id);
        self.engine_addresses.remove(&address);
        self.models[usize::from(model.0)].engines.retain(|it| *it != key);
        self.engines.remove(key);
    }

    /// Voids the pins of an engine that restarted. A request that was placed shortly before may
    /// still reach the new boot, so its pin ends only when a later report doesn't list it.
    pub(super) fn void_pins(&mut self, now_ms: u64, key: EngineKey) {
        for (pin_key, pin) in &mut self.pins {
            if pin.engine == key && pin.orphan == Orphan::No {
                pin.orphan = Orphan::Unconfirmed { since_ms: now_ms + SEND_MS };
                self.orphans.push(pin_key);
            }
        }
    }

    /// Counts the places in the batches of engines that take work.
    pub(super) fn count_places(&mut self, now_ms: u64) {
        self.places_counted_ms = Some(now_ms);
        for model in &mut self.models {
            model.places = 0;
            model.free_places = 0;
            for key in &model.engines {
                let engine = &self.engines[*key];
                if engine.takes_work(now_ms) {
                    model.places += engine.max_batch;
                    model.free_places += engine.free_places();
                }
            }
        }
    }

    /// Asks all engines for their reports.
    pub(super) fn read_all_reports(&mut self) {
        for engine in self.engines.values() {
            let (id, address) = (engine.id, engine.address);
            self.effects.push(Effect::ReadReport { engine: id, address });
        }
    }

    pub(super) fn find_data_centre(&self, name: &str) -> Option<DataCentreKey> {
        let at = self.data_centres.iter().position(|it| **it == *name)?;
        Some(DataCentreKey(at as u16))
    }
}
