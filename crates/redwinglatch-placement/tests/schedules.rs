//! Random schedules of a cell with failures; the invariants are checked after every step.

mod support;

use std::collections::{BTreeMap, HashMap};

use redwinglatch_core::{EngineId, Epoch, Incarnation, InstanceId};
use redwinglatch_placement::{
    Coordinator, CoordinatorTakeover, Effect, EngineSnapshot, FencingMode, LoadFailure, LoadId,
    LoadOrder, PlaceRequest, Placement, PlacementSettings, Release, ReportedPin, RequestKey,
    SlotSnapshot,
};
use support::{adapter, address, info, request, settings};

const ENGINES: usize = 4;
const SLOTS: usize = 2;
const BATCH: usize = 3;
const ADAPTERS: usize = 9;
const INSTANCES: u32 = 3;

/// An engine as it truly is.
#[derive(Debug, Default, Clone)]
struct Engine {
    boot: u64,
    sequence: u64,
    /// Loaded adapters; `false` while loading.
    slots: Vec<(usize, bool)>,
    running: Vec<(RequestKey, usize)>,
}

/// A request as the instance that accepted it sees it.
#[derive(Debug, Clone)]
struct Asked {
    adapter: usize,
    deadline_ms: u64,
    answers: u32,
    /// The placement that is on its way, held, or running.
    pin: Option<Placement>,
    sent: bool,
    placed_ms: u64,
}

#[derive(Debug)]
struct World {
    rng: fastrand::Rng,
    now_ms: u64,
    coordinator: Coordinator,
    epoch: u64,
    settled_ms: u64,
    settings: PlacementSettings,
    engines: Vec<Engine>,
    ids: Vec<EngineId>,
    /// Reports on their way, with the engine.
    reports: Vec<(usize, EngineSnapshot)>,
    loads: BTreeMap<LoadId, LoadOrder>,
    asked: HashMap<RequestKey, Asked>,
    /// Keys in the order of asking, so that choices don't depend on a map's order.
    order: Vec<RequestKey>,
    incarnations: Vec<u64>,
    unreported: Vec<u32>,
    next_request: u64,
    placements: u32,
    evictions: u32,
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = PlacementSettings {
            parallel_loads: rng.usize(1..=2),
            preload: rng.bool(),
            max_known_adapters: if rng.bool() { 1_000 } else { 20 },
            ..settings()
        };
        let mut world = World {
            coordinator: Coordinator::new(settings.clone(), rng.fork()),
            rng,
            now_ms: 0,
            epoch: 0,
            settled_ms: 0,
            settings,
            engines: vec![Engine::default(); ENGINES],
            ids: Vec::new(),
            reports: Vec::new(),
            loads: BTreeMap::new(),
            asked: HashMap::new(),
            order: Vec::new(),
            incarnations: vec![1; INSTANCES as usize],
            unreported: Vec::new(),
            next_request: 0,
            placements: 0,
            evictions: 0,
        };
        world.take_over();
        world
    }

    fn settled(&self) -> bool {
        self.now_ms >= self.settled_ms && self.unreported.is_empty()
    }

    /// A new coordinator takes over; answers of the former one that are still on their way are
    /// dropped by the instances.
    fn take_over(&mut self) {
        self.epoch += 1;
        self.coordinator.resign(self.now_ms);
        self.apply();
        self.coordinator = Coordinator::new(self.settings.clone(), self.rng.fork());
        self.reports.clear();
        // The former coordinator's orders end before the settle time does.
        for (_, order) in std::mem::take(&mut self.loads) {
            let engine = &mut self.engines[usize::from(order.address.port())];
            for slot in engine.slots.iter_mut().filter(|it| adapter(it.0) == order.adapter) {
                slot.1 = true;
            }
        }
        for asked in self.asked.values_mut().filter(|it| !it.sent) {
            asked.pin = None;
        }
        let fencing = if self.rng.bool() { FencingMode::Honoured } else { FencingMode::Ignored };
        self.ids = (0..ENGINES)
            .map(|at| self.coordinator.engine_added(self.now_ms, info(at, fencing)))
            .collect();
        let settle_ms = if self.epoch == 1 { 0 } else { 2_000 };
        self.settled_ms = self.now_ms + settle_ms;
        self.unreported = (0..INSTANCES).collect();
        let live = (0..INSTANCES)
            .map(|it| (InstanceId(it), Incarnation(self.incarnations[it as usize])))
            .collect();
        let start = CoordinatorTakeover {
            epoch: Epoch(self.epoch),
            settle_ms,
            lease_until_ms: u64::MAX,
            live,
        };
        self.coordinator.take_over(self.now_ms, start);
    }

    fn report_pins(&mut self) {
        let Some(instance) = self.unreported.pop() else { return };
        let incarnation = Incarnation(self.incarnations[instance as usize]);
        let held = |key: &&RequestKey| {
            (key.instance, key.incarnation) == (InstanceId(instance), incarnation)
        };
        let mut pins = Vec::new();
        for key in self.order.iter().filter(held) {
            let asked = &self.asked[key];
            if let Some(placed) = asked.pin {
                pins.push(ReportedPin {
                    pin: placed.pin,
                    request: key.request,
                    engine: placed.engine,
                    model: "base".into(),
                    adapter: adapter(asked.adapter),
                    budget_ms: asked.deadline_ms.saturating_sub(self.now_ms),
                });
            }
        }
        self.coordinator.pins_reported(self.now_ms, InstanceId(instance), incarnation, pins);
    }

    fn ask(&mut self) {
        self.next_request += 1;
        let instance = self.rng.u32(..INSTANCES);
        let number = self.rng.usize(..ADAPTERS).min(self.rng.usize(..ADAPTERS));
        let budget_ms = self.rng.u64(1..8_000);
        let request = PlaceRequest {
            instance: InstanceId(instance),
            incarnation: Incarnation(self.incarnations[instance as usize]),
            customer: format!("customer-{}", self.rng.u8(..3)).into(),
            priority: self.rng.u8(..10),
            ..request(self.next_request, number, budget_ms)
        };
        let key = request.key();
        let deadline_ms = self.now_ms + budget_ms;
        let asked = Asked {
            adapter: number,
            deadline_ms,
            answers: 0,
            pin: None,
            sent: false,
            placed_ms: 0,
        };
        self.asked.insert(key, asked);
        self.order.push(key);
        self.coordinator.place(self.now_ms, request);
    }

    /// Sends a placed request to its engine, which refuses it without the adapter.
    fn send(&mut self, key: RequestKey) {
        let asked = self.asked.get_mut(&key).expect("known");
        let Some(placed) = asked.pin else { return };
        let engine = &mut self.engines[usize::from(placed.engine.port())];
        if engine.slots.contains(&(asked.adapter, true)) {
            engine.running.push((key, asked.adapter));
            asked.sent = true;
        } else {
            asked.pin = None;
            self.coordinator.release(self.now_ms, placed.pin, Release::AdapterMissing);
        }
    }

    fn finish(&mut self, key: RequestKey, release: Release) {
        let Some(placed) = self.asked.get_mut(&key).and_then(|it| it.pin.take()) else { return };
        self.engines[usize::from(placed.engine.port())].running.retain(|it| it.0 != key);
        self.coordinator.release(self.now_ms, placed.pin, release);
    }

    /// Takes a report now; it arrives later or not at all.
    fn poll(&mut self, at: usize) {
        let engine = &mut self.engines[at];
        engine.sequence += 1;
        let running = |number| engine.running.iter().filter(|it| it.1 == number).count() as u32;
        let report = EngineSnapshot {
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
        self.reports.push((at, report));
    }

    fn deliver_report(&mut self) {
        // The network loses reports and changes their order.
        if self.reports.len() > 6 {
            self.reports.remove(0);
        }
        if !self.reports.is_empty() {
            let (at, report) = self.reports.remove(self.rng.usize(..self.reports.len()));
            self.coordinator.engine_report(self.now_ms, self.ids[at], report);
        }
    }

    fn end_load(&mut self) {
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
            // The load happens, although its answer is lost.
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

    fn restart_engine(&mut self, at: usize) {
        let engine = &mut self.engines[at];
        engine.boot += 1;
        engine.sequence = 0;
        engine.slots.clear();
        engine.running.clear();
        for key in self.order.clone() {
            if self.asked[&key].pin.is_some_and(|it| it.engine == address(at)) {
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
        for (key, asked) in &mut self.asked {
            if (key.instance, key.incarnation) == (InstanceId(instance), lost) {
                asked.pin = None;
            }
        }
        self.unreported.retain(|it| *it != instance);
        self.coordinator.instance_lost(self.now_ms, InstanceId(instance), lost);
    }

    /// Instances send a request within a second of its placement and by its deadline, or not.
    fn release_unsent(&mut self) {
        for key in self.order.clone() {
            let it = &self.asked[&key];
            if !it.sent && it.pin.is_some() && self.now_ms > it.deadline_ms.min(it.placed_ms + 800)
            {
                self.finish(key, Release::NotSent);
            }
        }
    }

    /// Lets time pass, with a tick whenever the coordinator asks for one.
    fn advance(&mut self, passed_ms: u64) {
        let until_ms = self.now_ms + passed_ms;
        while let Some(wake_ms) = self.coordinator.next_wake_ms().map(|it| it.max(self.now_ms + 1))
            && wake_ms <= until_ms
        {
            self.now_ms = wake_ms;
            self.coordinator.tick(wake_ms);
            self.apply();
        }
        self.now_ms = until_ms;
    }

    fn step(&mut self) {
        let passed_ms = self.rng.u64(..200);
        self.advance(passed_ms);
        self.release_unsent();
        // An answer that was given before a withdrawal is not withdrawn.
        self.apply();
        let at = self.rng.usize(..ENGINES);
        let key =
            if self.order.is_empty() { None } else { Some(self.rng.usize(..self.order.len())) };
        let key = key.map(|it| self.order[it]);
        match self.rng.u32(..1_000) {
            0..300 => self.ask(),
            300..480 => self.poll(at),
            480..640 => self.deliver_report(),
            640..760 => self.end_load(),
            760..940 => {
                let sent = key.map(|key| (key, self.asked[&key].sent));
                match sent {
                    Some((key, true)) => self.finish(key, Release::Finished),
                    Some((key, false)) => self.send(key),
                    None => {}
                }
            }
            940..960 => self.report_pins(),
            960..966 => self.restart_engine(at),
            966..970 => self.lose_instance(),
            970..972 => self.take_over(),
            972..976 => self.coordinator.engine_leaving(self.now_ms, self.ids[at]),
            976..980 => {
                self.coordinator.engine_removed(self.now_ms, self.ids[at]);
            }
            980..990 => {
                self.ids[at] =
                    self.coordinator.engine_added(self.now_ms, info(at, FencingMode::Honoured));
            }
            _ => {
                if let Some(key) = key {
                    self.coordinator.withdraw(self.now_ms, key);
                    let asked = self.asked.get_mut(&key).expect("known");
                    asked.answers = asked.answers.max(1);
                }
            }
        }
        self.apply();
        self.coordinator.tick(self.now_ms);
        self.apply();
        self.check();
    }

    fn apply(&mut self) {
        loop {
            let effects = self.coordinator.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.apply_one(effect);
            }
        }
    }

    fn apply_one(&mut self, effect: Effect) {
        match effect {
            Effect::Respond { request, result } => {
                let current = Incarnation(self.incarnations[request.instance.0 as usize]);
                let asked = self.asked.get_mut(&request).expect("only what was asked is answered");
                asked.answers += 1;
                assert_eq!(asked.answers, 1, "{request} answered twice");
                match result {
                    Ok(placed) if current == request.incarnation => {
                        self.placements += 1;
                        asked.pin = Some(placed);
                        asked.placed_ms = self.now_ms;
                    }
                    Ok(_) => {}
                    Err(refusal) => assert!(
                        self.now_ms <= asked.deadline_ms,
                        "{request} refused {} ms after its deadline: {refusal}",
                        self.now_ms - asked.deadline_ms
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
            Effect::ReadSnapshot { address, .. } => self.poll(usize::from(address.port())),
            Effect::ReadCacheEvents { .. } | Effect::Deposed { .. } => {}
        }
    }

    fn load(&mut self, order: LoadOrder) {
        assert!(self.now_ms >= self.settled_ms, "order before the settle time: {order:?}");
        let at = usize::from(order.address.port());
        let number = (0..ADAPTERS).find(|it| adapter(*it) == order.adapter).expect("known");
        if let Some(evict) = &order.evict {
            self.evictions += 1;
            assert!(self.unreported.is_empty(), "eviction before all have reported: {order:?}");
            let running = self.engines[at].running.iter().find(|it| adapter(it.1) == *evict);
            assert!(running.is_none(), "{order:?} evicts in use by {running:?}");
            let on_its_way = self.asked.iter().find(|(_, it)| {
                adapter(it.adapter) == *evict
                    && it.pin.is_some_and(|placed| placed.engine == order.address)
            });
            assert!(on_its_way.is_none(), "{order:?} evicts what {on_its_way:?} goes to");
            self.engines[at].slots.retain(|it| adapter(it.0) != *evict);
        }
        let engine = &mut self.engines[at];
        if engine.slots.len() < SLOTS && !engine.slots.iter().any(|it| it.0 == number) {
            engine.slots.push((number, false));
            self.loads.insert(order.load, order);
        } else {
            self.coordinator.load_finished(self.now_ms, order.load, Err(LoadFailure::NoSlot));
        }
    }

    fn check(&self) {
        assert!(self.coordinator.loads_in_flight() <= self.settings.parallel_loads);
        assert!(self.loads.len() <= self.settings.parallel_loads, "{:?}", self.loads);
        assert!(self.coordinator.known_adapters() <= self.settings.max_known_adapters);
        for (key, asked) in &self.asked {
            let over = self.now_ms > asked.deadline_ms;
            assert!(!over || asked.answers == 1, "{key} not answered by its deadline");
        }
        let held = self.asked.values().filter(|it| it.pin.is_some()).count();
        if self.settled() {
            assert!(self.coordinator.pins() >= held, "{} < {held}", self.coordinator.pins());
        }
    }

    /// Ends everything that runs; nothing may be left then.
    fn drain(&mut self) {
        while !self.unreported.is_empty() {
            self.report_pins();
        }
        for _ in 0..400 {
            self.advance(100);
            for key in self.order.clone() {
                match self.asked[&key].sent {
                    true => self.finish(key, Release::Finished),
                    false => self.send(key),
                }
            }
            self.end_load();
            for at in 0..ENGINES {
                // Requests of dead instances end as well.
                self.engines[at].running.clear();
                self.poll(at);
            }
            while !self.reports.is_empty() {
                self.deliver_report();
            }
            self.coordinator.tick(self.now_ms);
            self.apply();
        }
        self.check();
        assert_eq!(self.coordinator.waiting_requests(), 0);
        assert_eq!(self.coordinator.pins(), 0, "pins are not balanced");
        assert!(self.loads.len() <= 1);
    }
}

fn run(seed: u64) -> (u32, u32) {
    let mut world = World::new(seed);
    for _ in 0..400 {
        world.step();
    }
    world.drain();
    (world.placements, world.evictions)
}

/// Guards against any order of requests, reports, loads, failures and takeovers that evicts an
/// adapter in use, leaves a request without its one answer, or leaks a pin.
#[test]
fn invariants_hold_after_every_step_of_random_schedules() {
    let count = std::env::var("REDWINGLATCH_SCHEDULES").ok().and_then(|it| it.parse().ok());
    let count = count.unwrap_or(1_000);
    let (mut placements, mut evictions) = (0, 0);
    for seed in 0..count {
        match std::panic::catch_unwind(|| run(seed)) {
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
    // Schedules in which nothing happens prove nothing.
    assert!(placements > 20 * count, "{placements} placements in {count} schedules");
    assert!(evictions > 2 * count, "{evictions} evictions in {count} schedules");
}

/// Guards against a checker that passes anything: an eviction in use must be found.
#[test]
fn the_checker_finds_an_eviction_in_use() {
    let mut world = World::new(1);
    world.unreported.clear();
    world.engines[0].slots = vec![(1, true), (2, true)];
    let key = support::key(0, 1);
    world.engines[0].running = vec![(key, 1)];
    let order = LoadOrder {
        load: LoadId(1),
        epoch: Epoch(1),
        engine: world.ids[0],
        address: address(0),
        adapter: adapter(3),
        evict: Some(adapter(1)),
        is_preload: false,
    };
    let found = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.load(order)));
    assert!(found.is_err());
}
