//! Replays the load patterns that the planner answers.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::{
    EngineReport, LoadedAdapter, LoadedModel, OrderKind,
    core::orders::OrderOutcome,
    ids::{BackendKey, ModelName},
    message::{Backend, EntryStatus, PlaceReply, PlaceRequest},
};

use super::{BaseModels, EngineLimits, EngineService, PlannedOrder, Planner};

mod orders;

const SERVICE: &str = "scope-writer";
const SLOTS: usize = 4;
/// How long the test's engines take to load an adapter.
const LOAD_MS: u64 = 250;

/// How long the test's engines take to load a base model.
const BASE_LOAD_MS: u64 = 1_500;
/// Loads of base models that the test's store allows.
const BASE_LOADS_PER_S: f64 = 3.0;
/// How much the test's reports lag.
const LAG_MS: u64 = 200;

/// An engine that carries out orders as real ones do.
#[derive(Default)]
struct FakeEngine {
    /// When each adapter is in place.
    held: HashMap<ModelName, u64>,
    /// When its base model is in place; 0 at first.
    base_ready_ms: u64,
    base_loads_ms: Vec<u64>,
    sequence: u64,
    /// Its states, the oldest first, and since when each holds.
    states: Vec<(u64, EngineReport)>,
    most_adapters: usize,
    loads: usize,
}

impl FakeEngine {
    fn carry_out(&mut self, now_ms: u64, order: &PlannedOrder) -> OrderOutcome {
        if order.expected_sequence != self.sequence {
            return OrderOutcome::Conflict;
        }
        if *order.model == *"m" {
            if self.base_ready_ms <= now_ms {
                return OrderOutcome::Holds;
            }
            if self.base_ready_ms != u64::MAX {
                return OrderOutcome::Conflict;
            }
            self.base_ready_ms = now_ms + BASE_LOAD_MS;
            self.base_loads_ms.push(now_ms);
            self.sequence += 1;
            return OrderOutcome::Accepted;
        }
        if now_ms < self.base_ready_ms {
            return OrderOutcome::Refused;
        }
        match order.kind {
            OrderKind::Unload => {
                self.sequence += u64::from(self.held.remove(&order.model).is_some());
                OrderOutcome::Holds
            }
            OrderKind::Load => {
                let ready_ms = self.held.get(&order.model).copied().unwrap_or_else(|| {
                    self.loads += 1;
                    self.sequence += 1;
                    self.held.insert(order.model.clone(), now_ms + LOAD_MS);
                    now_ms + LOAD_MS
                });
                self.most_adapters = self.most_adapters.max(self.held.len());
                if ready_ms <= now_ms { OrderOutcome::Holds } else { OrderOutcome::Accepted }
            }
        }
    }

    /// The state of `LAG_MS` ago.
    fn report(&mut self, now_ms: u64) -> EngineReport {
        let (ready, coming): (Vec<_>, Vec<_>) =
            self.held.iter().partition(|(_, ready_ms)| **ready_ms <= now_ms);
        let adapters = ready.into_iter().map(|(model, _)| LoadedAdapter {
            name: model.split_once('/').expect("an adapter").1.into(),
            version: 1,
        });
        let base = LoadedModel { name: "m".into(), adapters: adapters.collect() };
        let has_base = self.base_ready_ms <= now_ms;
        let models = if has_base { vec![base] } else { Vec::new() };
        let busy = !has_base && self.base_ready_ms != u64::MAX;
        let coming = coming
            .into_iter()
            .map(|(model, _)| LoadedAdapter { name: model.clone(), version: 1 })
            .collect();
        let sequence = self.sequence;
        let report =
            EngineReport { models, loading: coming, sequence, busy, ..EngineReport::default() };
        self.states.push((now_ms, report));
        let old = self.states.iter().rposition(|(since_ms, _)| since_ms + LAG_MS <= now_ms);
        self.states.drain(..old.unwrap_or_default());
        self.states[0].1.clone()
    }
}

/// Engines and entry processes that hold requests.
struct World {
    planner: Planner,
    now_ms: u64,
    engines: BTreeMap<BackendKey, FakeEngine>,
    answers: BTreeMap<u64, PlaceReply>,
}

impl World {
    fn new(engines: u16) -> World {
        World::with_planner(engines, Planner::new(0))
    }

    fn with_planner(engines: u16, planner: Planner) -> World {
        let backends: Vec<Backend> = (0..engines).map(backend).collect();
        let engines = backends.iter().map(|backend| (backend.key, FakeEngine::default()));
        let mut world =
            World { planner, now_ms: 0, engines: engines.collect(), answers: BTreeMap::new() };
        world.take_over(world.planner.may_order_from_ms);
        world.report();
        world
    }

    /// Another coordinator takes over, which knows nothing of the engines.
    fn take_over(&mut self, may_order_from_ms: u64) {
        let limits = EngineLimits { adapter_slots: SLOTS, slots: 64, cache_tokens: 140_000 };
        let engines = u16::try_from(self.engines.len()).expect("few engines");
        let backends: Vec<Backend> = (0..engines).map(backend).collect();
        self.planner = Planner::new(may_order_from_ms);
        let base = BaseModels { names: vec!["m".into()], loads_per_s: BASE_LOADS_PER_S };
        let service = EngineService { limits, base };
        self.planner.set_services(HashMap::from([(SERVICE.into(), service)]));
        self.planner.set_backends(self.now_ms, &backends);
    }

    /// Every engine reports what it holds.
    fn report(&mut self) {
        let due = self.planner.take_due_reports(self.now_ms);
        for (key, engine) in &mut self.engines {
            let report = engine.report(self.now_ms);
            if due.contains(key) {
                self.planner.report(self.now_ms, *key, Some(report));
            }
        }
    }

    /// Lets time pass in steps of 5 ms, with engines that answer every order.
    fn run(&mut self, for_ms: u64) {
        self.run_with(for_ms, |world, order| world.carry_out(order));
    }

    fn run_with(
        &mut self,
        for_ms: u64,
        mut carry_out: impl FnMut(&mut World, &PlannedOrder) -> OrderOutcome,
    ) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += 5;
            self.report();
            for order in self.planner.plan(self.now_ms, true) {
                let outcome = carry_out(self, &order);
                self.planner.order_done(self.now_ms, &order, outcome);
            }
            for answer in self.planner.take_answers() {
                if answer.reply != PlaceReply::Queued {
                    self.answers.insert(answer.id, answer.reply);
                }
            }
            self.planner.take_changes();
        }
    }

    fn carry_out(&mut self, order: &PlannedOrder) -> OrderOutcome {
        let engine = self.engines.get_mut(&order.engine).expect("the engine exists");
        engine.carry_out(self.now_ms, order)
    }

    fn most_adapters(&self) -> usize {
        self.engines.values().map(|engine| engine.most_adapters).max().unwrap_or_default()
    }

    fn loads(&self) -> usize {
        self.engines.values().map(|engine| engine.loads).sum()
    }

    fn place(&mut self, id: u64, request: PlaceRequest) {
        self.planner.place(self.now_ms, 1, id, request);
    }

    fn engine_of(&self, id: u64) -> Option<BackendKey> {
        match self.answers.get(&id) {
            Some(PlaceReply::Placed { engine, .. }) => Some(*engine),
            _ => None,
        }
    }
}

fn backend(number: u16) -> Backend {
    let address = format!("192.0.2.{number}:80").parse().expect("an address");
    let id = format!("engine-{number}");
    Backend {
        key: BackendKey::new(&id, address, 0),
        id: id.into(),
        service: SERVICE.into(),
        address,
        data_centre: "hall-a".into(),
        slots: 64,
        leaving: false,
    }
}

fn request(model: &str) -> PlaceRequest {
    PlaceRequest {
        service: SERVICE.into(),
        model: model.into(),
        priority: 1,
        objective_ms: 800,
        spent_ms: 0,
        remaining_ms: 15_000,
        prompt_tokens: 1_000,
        output_tokens: 200,
        prompt_parts: Vec::new(),
        excluded_engines: Vec::new(),
    }
}

#[test]
fn a_request_waits_for_one_load_of_its_adapter() {
    let mut world = World::new(3);
    world.place(1, request("m/a1"));
    world.place(2, request("m/a1"));
    world.run(LOAD_MS - 10);
    assert!(world.answers.is_empty());
    world.run(60);
    assert!(world.engine_of(1).is_some());
    assert_eq!(world.loads(), 1);
}

#[test]
fn an_adapter_in_use_is_not_dropped() {
    let mut world = World::new(1);
    for id in 0..SLOTS as u64 {
        world.place(id, request(&format!("m/a{id}")));
        world.run(600);
        assert!(world.engine_of(id).is_some(), "request {id} was not placed");
        world.planner.first_event(1, id);
    }
    world.place(99, request("m/a99"));
    world.run(1_000);
    assert_eq!(world.engine_of(99), None);
    for id in 0..SLOTS as u64 {
        let held = world.engines.values().next().expect("an engine");
        assert!(held.held.contains_key(&*format!("m/a{id}")), "adapter a{id} was dropped in use");
    }
    world.planner.release(world.now_ms, 1, 0);
    world.run(500);
    assert!(world.engine_of(99).is_some());
}

#[test]
fn requests_that_only_entry_processes_know_protect_their_adapters() {
    let mut world = World::new(1);
    for id in 0..SLOTS as u64 {
        world.place(id, request(&format!("m/a{id}")));
        world.run(600);
        world.planner.release(world.now_ms, 1, id);
    }
    let key = backend(0).key;
    let in_use = (0..SLOTS).map(|id| (key, format!("m/a{id}").into())).collect();
    let report = EntryStatus { in_use, ..EntryStatus::default() };
    world.planner.entry_report(world.now_ms, 7, report);
    world.place(99, request("m/a99"));
    world.run(1_000);
    assert_eq!(world.engine_of(99), None);
}

#[test]
fn prompts_are_spread_over_time() {
    let mut world = World::new(1);
    world.place(1, request("m/a1"));
    world.run(400);
    for id in 2..6 {
        world.place(id, request("m/a1"));
    }
    world.planner.first_event(1, 1);
    world.run(5);
    let placed = |world: &World| (2..6).filter(|id| world.engine_of(*id).is_some()).count();
    assert_eq!(placed(&world), 1, "1,000 unread tokens leave no room for 1,000 more");
    let first = (2..6).find(|id| world.engine_of(*id).is_some()).expect("one was placed");
    world.planner.first_event(1, first);
    world.run(5);
    assert_eq!(placed(&world), 2);
}

#[test]
fn a_prompt_larger_than_the_limit_is_read_alone() {
    let mut world = World::new(1);
    world.place(1, PlaceRequest { prompt_tokens: 4_000, ..request("m/a1") });
    world.run(400);
    assert!(world.engine_of(1).is_some());
}

#[test]
fn a_crowded_adapter_gets_another_copy() {
    let mut world = World::new(3);
    world.place(0, request("m/hot"));
    world.run(400);
    for id in 1..12 {
        world.place(id, request("m/hot"));
    }
    world.run(600);
    let engines: HashSet<_> = (0..12).filter_map(|id| world.engine_of(id)).collect();
    assert!(engines.len() > 1, "all requests went to one engine");
}

#[test]
fn callers_that_were_refused_before_wait_behind_those_that_can_be_on_time() {
    let mut world = World::new(1);
    world.place(0, request("m/a1"));
    world.run(400);
    world.place(1, PlaceRequest { spent_ms: 4_000, ..request("m/a1") });
    world.place(2, PlaceRequest { priority: 2, ..request("m/a1") });
    world.planner.first_event(1, 0);
    world.run(5);
    assert!(world.engine_of(2).is_some());
    assert_eq!(world.engine_of(1), None);
}

#[test]
fn a_request_that_cannot_be_placed_is_refused_soon() {
    let mut world = World::new(1);
    for id in 0..SLOTS as u64 {
        world.place(id, request(&format!("m/a{id}")));
        world.run(600);
        world.planner.first_event(1, id);
    }
    world.place(99, request("m/a99"));
    world.run(1_600);
    assert!(matches!(world.answers.get(&99), Some(PlaceReply::Refused { .. })));
}

#[test]
fn a_flood_of_rare_adapters_is_refused_at_once() {
    let mut world = World::new(2);
    for id in 0..100 {
        world.place(id, request(&format!("m/a{id}")));
    }
    world.run(5);
    let refused =
        world.answers.values().filter(|reply| matches!(reply, PlaceReply::Refused { .. }));
    assert_eq!(refused.count(), 100 - super::MAX_WAITING_ADAPTERS);
}

#[test]
fn an_older_version_gets_no_requests_and_is_dropped_once_unused() {
    let mut world = World::new(2);
    let loads_a1 = |orders: &[PlannedOrder], engine: BackendKey| {
        orders.iter().any(|order| order.engine == engine && order.kind == OrderKind::Load)
    };
    world.place(1, request("m/a1"));
    world.run(400);
    world.planner.first_event(1, 1);
    let old = world.engine_of(1).expect("the request was placed");
    world.planner.set_versions(&BTreeMap::from([("m/a1".into(), 2)]));
    world.place(2, request("m/a1"));
    world.now_ms += 5;
    let orders = world.planner.plan(world.now_ms, true);
    assert!(!loads_a1(&orders, old), "the new version was loaded beside the old one");
    let order = &orders[0];
    assert!(order.engine != old && order.kind == OrderKind::Load);
    world.planner.order_done(world.now_ms, order, OrderOutcome::Holds);
    world.now_ms += 5;
    world.planner.plan(world.now_ms, true);
    let placed = PlaceReply::Placed { engine: order.engine, version: Some(2) };
    assert!(world.planner.take_answers().iter().any(|answer| answer.reply == placed));
    world.planner.release(world.now_ms, 1, 1);
    world.now_ms += 100;
    let orders = world.planner.plan(world.now_ms, true);
    assert_eq!((orders[0].engine, orders[0].kind), (old, OrderKind::Unload));
}

#[test]
fn a_load_of_a_version_that_is_no_longer_the_newest_is_not_repeated() {
    let mut world = World::new(1);
    world.place(1, request("m/a1"));
    world.now_ms += 5;
    let orders = world.planner.plan(world.now_ms, true);
    world.planner.order_done(world.now_ms, &orders[0], OrderOutcome::Accepted);
    world.planner.set_versions(&BTreeMap::from([("m/a1".into(), 2)]));
    world.now_ms += 300;
    assert_eq!(world.planner.plan(world.now_ms, true), []);
}

#[test]
fn a_refused_load_keeps_its_slot() {
    let mut world = World::new(1);
    world.place(1, request("m/a1"));
    world.now_ms += 5;
    let orders = world.planner.plan(world.now_ms, true);
    world.planner.order_done(world.now_ms, &orders[0], OrderOutcome::Accepted);
    world.now_ms += 30;
    let orders = world.planner.plan(world.now_ms, true);
    world.planner.order_done(world.now_ms, &orders[0], OrderOutcome::Refused);
    let engine = world.planner.engines.values().next().expect("an engine");
    assert_eq!(engine.taken_slots(), 1);
}

#[test]
fn a_new_coordinator_orders_nothing_before_its_time() {
    let mut world = World::with_planner(1, Planner::new(3_000));
    world.place(1, request("m/a1"));
    world.run(1_000);
    assert_eq!(world.loads(), 0);
    world.run(2_000);
    world.place(2, request("m/a1"));
    world.run(400);
    assert_eq!(world.loads(), 1);
}

#[test]
fn a_leaving_engine_gets_no_requests() {
    let mut world = World::new(2);
    world.place(1, request("m/a1"));
    world.run(400);
    let home = world.engine_of(1).expect("the request was placed");
    let backends: Vec<Backend> = (0..2)
        .map(backend)
        .map(|backend| Backend { leaving: backend.key == home, ..backend })
        .collect();
    world.planner.set_backends(world.now_ms, &backends);
    world.planner.first_event(1, 1);
    world.place(2, request("m/a1"));
    world.run(400);
    assert_ne!(world.engine_of(2), Some(home));
    assert!(world.engine_of(2).is_some());
}

/// Random requests, ends and failures: an engine never holds more adapters than it has slots, and
/// no adapter with a request in flight is dropped.
#[test]
fn random_schedules_keep_the_slots() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = World::new(3);
        let mut running: Vec<u64> = Vec::new();
        for id in 0..150 {
            world.place(id, request(&format!("m/a{}", rng.u32(0..30))));
            running.push(id);
            world.run(rng.u64(1..8) * 5);
            for _ in 0..rng.usize(0..3) {
                if !running.is_empty() {
                    let ended = running.swap_remove(rng.usize(0..running.len()));
                    world.planner.first_event(1, ended);
                    world.planner.release(world.now_ms, 1, ended);
                }
            }
            for pin in world.planner.pins.values() {
                let held = &world.engines[&pin.engine];
                assert!(
                    held.held.contains_key(&pin.model),
                    "seed {seed}: {pin:?} was dropped in use"
                );
            }
            assert!(world.most_adapters() <= SLOTS, "seed {seed}: too many adapters");
        }
    }
}
