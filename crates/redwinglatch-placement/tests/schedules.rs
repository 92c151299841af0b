//! Simulation of a cell with random schedules and failures; the invariants are checked after every
//! step.

mod support;

use std::collections::{BTreeMap, HashMap};

use redwinglatch_core::{EngineId, Epoch, Incarnation, InstanceId};
use redwinglatch_placement::{
    Coordinator, CoordinatorTakeover, Effect, EngineSnapshot, FencingMode, LoadFailure, LoadId,
    LoadOrder, PlaceRequest, Placement, PlacementSettings, Release, ReportedPin, RequestKey,
    SlotSnapshot,
};
use support::{adapter, address, engine_info, request, settings};

const ENGINES: usize = 4;
const SLOTS: usize = 2;
const BATCH: usize = 3;
const ADAPTERS: usize = 9;
const INSTANCES: u32 = 3;

/// Actual state of an engine.
#[derive(Debug, Default, Clone)]
struct SimulatedEngine {
    boot: u64,
    sequence: u64,
    /// Adapters in slots; `true` once loaded, `false` while loading.
    slots: Vec<(usize, bool)>,
    running: Vec<(RequestKey, usize)>,
}

/// State of a request at the instance that accepted it.
#[derive(Debug, Clone)]
struct RequestRecord {
    adapter: usize,
    deadline_ms: u64,
    result_count: u32,
    /// The placement, until it is released.
    pin: Option<Placement>,
    sent: bool,
    placed_ms: u64,
}

#[derive(Debug)]
struct CellSimulation {
    rng: fastrand::Rng,
    now_ms: u64,
    coordinator: Coordinator,
    epoch: u64,
    settled_ms: u64,
    settings: PlacementSettings,
    engines: Vec<SimulatedEngine>,
    ids: Vec<EngineId>,
    /// Snapshots in transit, with the index of the engine.
    snapshots: Vec<(usize, EngineSnapshot)>,
    loads: BTreeMap<LoadId, LoadOrder>,
    requests: HashMap<RequestKey, RequestRecord>,
    /// Keys in the order of submission, so that random choices don't depend on a map's order.
    request_keys: Vec<RequestKey>,
    incarnations: Vec<u64>,
    unreported: Vec<u32>,
    next_request: u64,
    placements: u32,
    evictions: u32,
}

impl CellSimulation {
    fn new(seed: u64) -> CellSimulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = PlacementSettings {
            parallel_loads: rng.usize(1..=2),
            preload: rng.bool(),
            max_known_adapters: if rng.bool() { 1_000 } else { 20 },
            ..settings()
        };
        let mut simulation = CellSimulation {
            coordinator: Coordinator::new(settings.clone(), rng.fork()),
            rng,
            now_ms: 0,
            epoch: 0,
            settled_ms: 0,
            settings,
            engines: vec![SimulatedEngine::default(); ENGINES],
            ids: Vec::new(),
            snapshots: Vec::new(),
            loads: BTreeMap::new(),
            requests: HashMap::new(),
            request_keys: Vec::new(),
            incarnations: vec![1; INSTANCES as usize],
            unreported: Vec::new(),
            next_request: 0,
            placements: 0,
            evictions: 0,
        };
        simulation.take_over();
        simulation
    }

    fn is_settled(&self) -> bool {
        self.now_ms >= self.settled_ms && self.unreported.is_empty()
    }

    /// Assigns a new coordinator; instances drop placements of the former one that are still in
    /// transit.
    fn take_over(&mut self) {
        self.epoch += 1;
        self.coordinator.resign(self.now_ms);
        self.apply_effects();
        self.coordinator = Coordinator::new(self.settings.clone(), self.rng.fork());
        self.snapshots.clear();
        // The former coordinator's orders take effect before the settle time ends.
        for (_, order) in std::mem::take(&mut self.loads) {
            let engine = &mut self.engines[usize::from(order.address.port())];
            for slot in engine.slots.iter_mut().filter(|it| adapter(it.0) == order.adapter) {
                slot.1 = true;
            }
        }
        for record in self.requests.values_mut().filter(|it| !it.sent) {
            record.pin = None;
        }
        let fencing = if self.rng.bool() { FencingMode::Honoured } else { FencingMode::Ignored };
        self.ids = (0..ENGINES)
            .map(|engine_index| {
                self.coordinator.engine_added(self.now_ms, engine_info(engine_index, fencing))
            })
            .collect();
        let settle_ms = if self.epoch == 1 { 0 } else { 2_000 };
        self.settled_ms = self.now_ms + settle_ms;
        self.unreported = (0..INSTANCES).collect();
        let live = (0..INSTANCES)
            .map(|it| (InstanceId(it), Incarnation(self.incarnations[it as usize])))
            .collect();
        let takeover = CoordinatorTakeover {
            epoch: Epoch(self.epoch),
            settle_ms,
            lease_until_ms: u64::MAX,
            live,
        };
        self.coordinator.take_over(self.now_ms, takeover);
    }

    fn report_pins(&mut self) {
        let Some(instance) = self.unreported.pop() else { return };
        let incarnation = Incarnation(self.incarnations[instance as usize]);
        let pinned = |key: &&RequestKey| {
            (key.instance, key.incarnation) == (InstanceId(instance), incarnation)
        };
        let mut pins = Vec::new();
        for key in self.request_keys.iter().filter(pinned) {
            let record = &self.requests[key];
            if let Some(placement) = record.pin {
                pins.push(ReportedPin {
                    pin: placement.pin,
                    request: key.request,
                    engine: placement.engine,
                    model: "base".into(),
                    adapter: adapter(record.adapter),
                    budget_ms: record.deadline_ms.saturating_sub(self.now_ms),
                });
            }
        }
        self.coordinator.pins_reported(self.now_ms, InstanceId(instance), incarnation, pins);
    }

    fn submit_request(&mut self) {
        self.next_request += 1;
        let instance = self.rng.u32(..INSTANCES);
        let adapter_number = self.rng.usize(..ADAPTERS).min(self.rng.usize(..ADAPTERS));
        let budget_ms = self.rng.u64(1..8_000);
        let request = PlaceRequest {
            instance: InstanceId(instance),
            incarnation: Incarnation(self.incarnations[instance as usize]),
            customer: format!("customer-{}", self.rng.u8(..3)).into(),
            priority: self.rng.u8(..10),
            ..request(self.next_request, adapter_number, budget_ms)
        };
        let key = request.key();
        let deadline_ms = self.now_ms + budget_ms;
        let record = RequestRecord {
            adapter: adapter_number,
            deadline_ms,
            result_count: 0,
            pin: None,
            sent: false,
            placed_ms: 0,
        };
        self.requests.insert(key, record);
        self.request_keys.push(key);
        self.coordinator.place(self.now_ms, request);
    }

    /// Sends a placed request to its engine, which refuses it if the adapter is not loaded.
    fn send(&mut self, key: RequestKey) {
        let record = self.requests.get_mut(&key).expect("known");
        let Some(placement) = record.pin else { return };
        let engine = &mut self.engines[usize::from(placement.engine.port())];
        if engine.slots.contains(&(record.adapter, true)) {
            engine.running.push((key, record.adapter));
            record.sent = true;
        } else {
            record.pin = None;
            self.coordinator.release(self.now_ms, placement.pin, Release::AdapterMissing);
        }
    }

    fn finish(&mut self, key: RequestKey, release: Release) {
        let Some(placement) = self.requests.get_mut(&key).and_then(|it| it.pin.take()) else {
            return;
        };
        self.engines[usize::from(placement.engine.port())].running.retain(|it| it.0 != key);
        self.coordinator.release(self.now_ms, placement.pin, release);
    }

    /// Captures a snapshot of an engine; it is delivered later or not at all.
    fn capture_snapshot(&mut self, engine_index: usize) {
        let engine = &mut self.engines[engine_index];
        engine.sequence += 1;
        let running = |adapter_number| {
            engine.running.iter().filter(|it| it.1 == adapter_number).count() as u32
        };
        let snapshot = EngineSnapshot {
            requested_ms: self.now_ms,
            boot_id: engine.boot.to_string().into(),
            sequence: engine.sequence,
            running: engine.running.len() as u32,
            waiting: 0,
            is_leaving: false,
            slot_count: SLOTS as u16,
            max_batch: BATCH as u32,
            slots: engine
                .slots
                .iter()
                .filter(|it| it.1)
                .map(|it| SlotSnapshot { adapter: adapter(it.0), running: running(it.0) })
                .collect(),
            requests: engine.running.iter().map(|it| it.0).collect(),
        };
        self.snapshots.push((engine_index, snapshot));
    }

    fn deliver_snapshot(&mut self) {
        // The network loses and reorders snapshots.
        if self.snapshots.len() > 6 {
            self.snapshots.remove(0);
        }
        if !self.snapshots.is_empty() {
            let (engine_index, snapshot) =
                self.snapshots.remove(self.rng.usize(..self.snapshots.len()));
            self.coordinator.engine_report(self.now_ms, self.ids[engine_index], snapshot);
        }
    }

    fn finish_load(&mut self) {
        let keys: Vec<LoadId> = self.loads.keys().copied().collect();
        let Some(load) = self.rng.choice(keys) else { return };
        let order = self.loads.remove(&load).expect("known");
        let engine = &mut self.engines[usize::from(order.address.port())];
        let slot = engine.slots.iter().position(|it| adapter(it.0) == order.adapter && !it.1);
        let result = match (slot, self.rng.u8(..10)) {
            (None, _) => Err(LoadFailure::Unreachable),
            (Some(slot), 0) => {
                engine.slots.remove(slot);
                Err(LoadFailure::Failed)
            }
            // The load succeeds, but its response is lost.
            (Some(slot), 1) => {
                engine.slots[slot].1 = true;
                Err(LoadFailure::TimedOut)
            }
            (Some(slot), _) => {
                engine.slots[slot].1 = true;
                Ok(())
            }
        };
        self.coordinator.load_finished(self.now_ms, load, result);
    }

    fn restart_engine(&mut self, engine_index: usize) {
        let engine = &mut self.engines[engine_index];
        engine.boot += 1;
        engine.sequence = 0;
        engine.slots.clear();
        engine.running.clear();
        for key in self.request_keys.clone() {
            if self.requests[&key].pin.is_some_and(|it| it.engine == address(engine_index)) {
                self.finish(key, Release::EngineFailed);
            }
        }
    }

    /// An instance dies; its requests go on at the engines until they are cancelled.
    fn lose_instance(&mut self) {
        let instance = self.rng.u32(..INSTANCES);
        let incarnation = &mut self.incarnations[instance as usize];
        let lost = Incarnation(*incarnation);
        *incarnation += 1;
        for (key, record) in &mut self.requests {
            if (key.instance, key.incarnation) == (InstanceId(instance), lost) {
                record.pin = None;
            }
        }
        self.unreported.retain(|it| *it != instance);
        self.coordinator.instance_lost(self.now_ms, InstanceId(instance), lost);
    }

    /// Releases placements that were not sent within a second and by the request's deadline.
    fn release_unsent(&mut self) {
        for key in self.request_keys.clone() {
            let it = &self.requests[&key];
            if !it.sent && it.pin.is_some() && self.now_ms > it.deadline_ms.min(it.placed_ms + 800)
            {
                self.finish(key, Release::NotSent);
            }
        }
    }

    /// Advances the time, with a tick whenever the coordinator requests one.
    fn advance(&mut self, passed_ms: u64) {
        let until_ms = self.now_ms + passed_ms;
        while let Some(wake_ms) = self.coordinator.next_wake_ms().map(|it| it.max(self.now_ms + 1))
            && wake_ms <= until_ms
        {
            self.now_ms = wake_ms;
            self.coordinator.tick(wake_ms);
            self.apply_effects();
        }
        self.now_ms = until_ms;
    }

    fn run_step(&mut self) {
        let passed_ms = self.rng.u64(..200);
        self.advance(passed_ms);
        self.release_unsent();
        // Results from before a withdrawal still reach the instance.
        self.apply_effects();
        let engine_index = self.rng.usize(..ENGINES);
        let key = if self.request_keys.is_empty() {
            None
        } else {
            Some(self.rng.usize(..self.request_keys.len()))
        };
        let key = key.map(|it| self.request_keys[it]);
        match self.rng.u32(..1_000) {
            0..300 => self.submit_request(),
            300..480 => self.capture_snapshot(engine_index),
            480..640 => self.deliver_snapshot(),
            640..760 => self.finish_load(),
            760..940 => {
                let sent = key.map(|key| (key, self.requests[&key].sent));
                match sent {
                    Some((key, true)) => self.finish(key, Release::Finished),
                    Some((key, false)) => self.send(key),
                    None => {}
                }
            }
            940..960 => self.report_pins(),
            960..966 => self.restart_engine(engine_index),
            966..970 => self.lose_instance(),
            970..972 => self.take_over(),
            972..976 => self.coordinator.engine_leaving(self.now_ms, self.ids[engine_index]),
            976..980 => {
                self.coordinator.engine_removed(self.now_ms, self.ids[engine_index]);
            }
            980..990 => {
                self.ids[engine_index] = self
                    .coordinator
                    .engine_added(self.now_ms, engine_info(engine_index, FencingMode::Honoured));
            }
            _ => {
                if let Some(key) = key {
                    self.coordinator.withdraw(self.now_ms, key);
                    let record = self.requests.get_mut(&key).expect("known");
                    record.result_count = record.result_count.max(1);
                }
            }
        }
        self.apply_effects();
        self.coordinator.tick(self.now_ms);
        self.apply_effects();
        self.check_invariants();
    }

    fn apply_effects(&mut self) {
        loop {
            let effects = self.coordinator.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.apply_effect(effect);
            }
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Respond { request, result } => {
                let current = Incarnation(self.incarnations[request.instance.0 as usize]);
                let record = self
                    .requests
                    .get_mut(&request)
                    .expect("every result belongs to a submitted request");
                record.result_count += 1;
                assert_eq!(record.result_count, 1, "{request} got two results");
                match result {
                    Ok(placement) if current == request.incarnation => {
                        self.placements += 1;
                        record.pin = Some(placement);
                        record.placed_ms = self.now_ms;
                    }
                    Ok(_) => {}
                    Err(refusal) => assert!(
                        self.now_ms <= record.deadline_ms,
                        "{request} refused {} ms after its deadline: {refusal}",
                        self.now_ms - record.deadline_ms
                    ),
                }
            }
            Effect::Load(order) => self.load(order),
            Effect::Unload { address, adapter: name, .. } => {
                let engine = &mut self.engines[usize::from(address.port())];
                engine.slots.retain(|it| it.1 || adapter(it.0) != name);
            }
            Effect::Cancel { address, request, .. } => {
                let engine = &mut self.engines[usize::from(address.port())];
                engine.running.retain(|it| it.0 != request);
                let acknowledged = self.rng.bool();
                self.coordinator.cancel_finished(self.now_ms, request, acknowledged);
            }
            Effect::ReadSnapshot { address, .. } => {
                self.capture_snapshot(usize::from(address.port()));
            }
            Effect::ReadCacheEvents { .. } | Effect::Deposed { .. } => {}
        }
    }

    fn load(&mut self, order: LoadOrder) {
        assert!(
            self.now_ms >= self.settled_ms,
            "order before the end of the settle time: {order:?}"
        );
        let engine_index = usize::from(order.address.port());
        let adapter_number = (0..ADAPTERS).find(|it| adapter(*it) == order.adapter).expect("known");
        if let Some(evict) = &order.evict {
            self.evictions += 1;
            assert!(
                self.unreported.is_empty(),
                "eviction before all instances reported their pins: {order:?}"
            );
            let running =
                self.engines[engine_index].running.iter().find(|it| adapter(it.1) == *evict);
            assert!(running.is_none(), "{order:?} evicts an adapter in use by {running:?}");
            let placed_request = self.requests.iter().find(|(_, it)| {
                adapter(it.adapter) == *evict
                    && it.pin.is_some_and(|placement| placement.engine == order.address)
            });
            assert!(
                placed_request.is_none(),
                "{order:?} evicts an adapter that {placed_request:?} is placed on"
            );
            self.engines[engine_index].slots.retain(|it| adapter(it.0) != *evict);
        }
        let engine = &mut self.engines[engine_index];
        if engine.slots.len() < SLOTS && !engine.slots.iter().any(|it| it.0 == adapter_number) {
            engine.slots.push((adapter_number, false));
            self.loads.insert(order.load, order);
        } else {
            self.coordinator.load_finished(self.now_ms, order.load, Err(LoadFailure::NoSlot));
        }
    }

    fn check_invariants(&self) {
        assert!(self.coordinator.loads_in_flight() <= self.settings.parallel_loads);
        assert!(self.loads.len() <= self.settings.parallel_loads, "{:?}", self.loads);
        assert!(self.coordinator.known_adapters() <= self.settings.max_known_adapters);
        for (key, record) in &self.requests {
            let is_overdue = self.now_ms > record.deadline_ms;
            assert!(!is_overdue || record.result_count == 1, "{key} got no result by its deadline");
        }
        let pinned = self.requests.values().filter(|it| it.pin.is_some()).count();
        if self.is_settled() {
            assert!(self.coordinator.pins() >= pinned, "{} < {pinned}", self.coordinator.pins());
        }
    }

    /// Ends all requests and loads; no pin and no waiting request may remain.
    fn drain(&mut self) {
        while !self.unreported.is_empty() {
            self.report_pins();
        }
        for _ in 0..400 {
            self.advance(100);
            for key in self.request_keys.clone() {
                match self.requests[&key].sent {
                    true => self.finish(key, Release::Finished),
                    false => self.send(key),
                }
            }
            self.finish_load();
            for engine_index in 0..ENGINES {
                // Requests of lost instances end as well.
                self.engines[engine_index].running.clear();
                self.capture_snapshot(engine_index);
            }
            while !self.snapshots.is_empty() {
                self.deliver_snapshot();
            }
            self.coordinator.tick(self.now_ms);
            self.apply_effects();
        }
        self.check_invariants();
        assert_eq!(self.coordinator.waiting_requests(), 0);
        assert_eq!(self.coordinator.pins(), 0, "pins are not balanced");
        assert!(self.loads.len() <= 1);
    }
}

fn run_schedule(seed: u64) -> (u32, u32) {
    let mut simulation = CellSimulation::new(seed);
    for _ in 0..400 {
        simulation.run_step();
    }
    simulation.drain();
    (simulation.placements, simulation.evictions)
}

/// Guards against any sequence of requests, snapshots, loads, failures and takeovers that evicts an
/// adapter in use, gives a request no result or more than one, or leaks a pin.
#[test]
fn invariants_hold_after_every_step_of_random_schedules() {
    let count = std::env::var("REDWINGLATCH_SCHEDULES").ok().and_then(|it| it.parse().ok());
    let count = count.unwrap_or(1_000);
    let (mut placements, mut evictions) = (0, 0);
    for seed in 0..count {
        match std::panic::catch_unwind(|| run_schedule(seed)) {
            Ok(run) => {
                placements += u64::from(run.0);
                evictions += u64::from(run.1);
            }
            Err(panic) => {
                eprintln!("failed with seed {seed}");
                std::panic::resume_unwind(panic);
            }
        }
    }
    // Schedules without enough placements and evictions don't exercise the invariants.
    assert!(placements > 20 * count, "{placements} placements in {count} schedules");
    assert!(evictions > 2 * count, "{evictions} evictions in {count} schedules");
}

/// Guards against a checker that misses violations: it must detect an eviction in use.
#[test]
fn the_checker_detects_an_eviction_in_use() {
    let mut simulation = CellSimulation::new(1);
    simulation.unreported.clear();
    simulation.engines[0].slots = vec![(1, true), (2, true)];
    let key = support::request_key(0, 1);
    simulation.engines[0].running = vec![(key, 1)];
    let order = LoadOrder {
        load: LoadId(1),
        epoch: Epoch(1),
        engine: simulation.ids[0],
        address: address(0),
        adapter: adapter(3),
        evict: Some(adapter(1)),
        is_preload: false,
    };
    let found = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| simulation.load(order)));
    assert!(found.is_err());
}
