//! Runs the planner against simulated engines.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use crate::{
    EngineReport, LoadedModel, OrderKind,
    core::orders::OrderOutcome,
    ids::BackendKey,
    message::{Backend, EntryStatus, PlaceReply, PlaceRequest},
};

use self::fake_engine::{BASE_LOAD_MS, FakeEngine, LAG_MS, LOAD_MS};
use super::{BaseModels, EngineLimits, EngineMemory, EngineService, PlannedOrder, Planner};

mod base_versions;
mod engine_memory;
mod engine_paths;
mod explanation;
mod extreme_numbers;
mod fake_engine;
mod leaving;
mod limited_engines;
mod orders;
mod prompt_reuse;
mod quarantined_requests;
mod software_versions;
mod uneven_demand;

const SERVICE: &str = "scope-writer";
const SLOTS: usize = 4;
/// Base model loads per second that the simulated weight store allows.
const BASE_LOADS_PER_S: f64 = 3.0;

/// A planner with simulated engines, and the replies that entry processes receive.
struct Simulation {
    planner: Planner,
    memory: Arc<EngineMemory>,
    now_ms: u64,
    engines: BTreeMap<BackendKey, FakeEngine>,
    /// Engines whose reports don't arrive.
    unreached: HashSet<BackendKey>,
    replies: BTreeMap<u64, PlaceReply>,
}

impl Simulation {
    fn new(engines: u16) -> Simulation {
        Simulation::with_planner(engines, Planner::new(0))
    }

    fn with_planner(engines: u16, planner: Planner) -> Simulation {
        let backends: Vec<Backend> = (0..engines).map(backend).collect();
        let engine =
            || FakeEngine { base_version: 1, newest_base_version: 1, ..FakeEngine::default() };
        let engines = backends.iter().map(|backend| (backend.key, engine()));
        let mut simulation = Simulation {
            planner,
            memory: Arc::default(),
            now_ms: 0,
            engines: engines.collect(),
            unreached: HashSet::new(),
            replies: BTreeMap::new(),
        };
        simulation.replace_planner(simulation.planner.earliest_order_ms);
        simulation.deliver_reports();
        simulation
    }

    /// Replaces the planner by that of a new coordinator, which has no view of the engines yet.
    fn replace_planner(&mut self, earliest_order_ms: u64) {
        let engines = u16::try_from(self.engines.len()).expect("few engines");
        let backends: Vec<Backend> = (0..engines).map(backend).collect();
        self.planner = Planner::new(earliest_order_ms);
        self.apply_services();
        self.planner.set_backends(self.now_ms, &backends);
    }

    fn apply_services(&mut self) {
        let limits = EngineLimits { adapter_slots: SLOTS, slots: 64, cache_tokens: 140_000 };
        let base_models = BaseModels { names: vec!["m".into()], loads_per_s: BASE_LOADS_PER_S };
        let service = EngineService { limits, memory: Arc::clone(&self.memory), base_models };
        self.planner.set_services(HashMap::from([(SERVICE.into(), service)]));
    }

    /// Delivers the due reports of the engines that the planner reaches.
    fn deliver_reports(&mut self) {
        let due = self.planner.take_due_reports(self.now_ms);
        for (key, engine) in &mut self.engines {
            let report = engine.report(self.now_ms);
            if due.contains(key) {
                let is_reached = !self.unreached.contains(key);
                self.planner.engine_report(self.now_ms, *key, is_reached.then_some(report));
            }
        }
    }

    /// Advances the time in steps of 5 ms, with engines that answer every order.
    fn run(&mut self, for_ms: u64) {
        self.run_with(for_ms, |simulation, order| simulation.carry_out(order));
    }

    /// Like [`Simulation::run`], with engines that process each prompt at once.
    fn run_with_first_events(&mut self, for_ms: u64, ids: u64) {
        for _ in 0..for_ms / 5 {
            self.run(5);
            for id in 0..ids {
                self.planner.first_event(self.now_ms, 1, id);
            }
        }
    }

    fn run_with(
        &mut self,
        for_ms: u64,
        mut carry_out: impl FnMut(&mut Simulation, &PlannedOrder) -> OrderOutcome,
    ) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += 5;
            self.deliver_reports();
            for order in self.planner.plan(self.now_ms, true) {
                let outcome = carry_out(self, &order);
                self.planner.order_finished(self.now_ms, &order, outcome);
            }
            for reply in self.planner.take_replies() {
                if reply.reply != PlaceReply::Queued {
                    self.replies.insert(reply.id, reply.reply);
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
        self.planner.place(self.now_ms, 1, id, request, None);
    }

    fn engine_of(&self, id: u64) -> Option<BackendKey> {
        match self.replies.get(&id) {
            Some(PlaceReply::Placed { engine, .. }) => Some(*engine),
            _ => None,
        }
    }
}

fn backend(number: u16) -> Backend {
    let [high, low] = number.to_be_bytes();
    let address = std::net::SocketAddr::from(([192, 0, 2 + high, low], 80));
    let id = format!("engine-{number}");
    Backend {
        key: BackendKey::new(&id, address, 0),
        id: id.into(),
        service: SERVICE.into(),
        address,
        data_centre: "hall-a".into(),
        slots: 64,
        leaving: false,
        software_version: "v1".into(),
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
        patience_ms: 2_000,
    }
}

#[test]
fn a_request_waits_for_one_load_of_its_adapter() {
    let mut simulation = Simulation::new(3);
    simulation.place(1, request("m/a1"));
    simulation.place(2, request("m/a1"));
    simulation.run(LOAD_MS - 10);
    assert!(simulation.replies.is_empty());
    simulation.run(60);
    assert!(simulation.engine_of(1).is_some());
    assert_eq!(simulation.loads(), 1);
}

/// Guards against requests that time out beside free engines, because one before them has failed at all engines.
#[test]
fn a_request_that_no_engine_may_get_holds_up_no_other() {
    let mut simulation = Simulation::new(2);
    simulation.place(1, request("m/a1"));
    simulation.run(600);
    assert!(simulation.engine_of(1).is_some());
    simulation.planner.release(simulation.now_ms, 1, 1);
    let excluded_engines = vec![backend(0).key, backend(1).key];
    simulation.place(2, PlaceRequest { excluded_engines, ..request("m/a1") });
    simulation.place(3, request("m/a1"));
    simulation.run(100);
    assert_eq!(simulation.engine_of(2), None);
    assert!(simulation.engine_of(3).is_some());
}

#[test]
fn an_adapter_in_use_is_not_unloaded() {
    let mut simulation = Simulation::new(1);
    for id in 0..SLOTS as u64 {
        simulation.place(id, request(&format!("m/a{id}")));
        simulation.run(600);
        assert!(simulation.engine_of(id).is_some(), "request {id} was not placed");
        simulation.planner.first_event(simulation.now_ms, 1, id);
    }
    simulation.place(99, request("m/a99"));
    simulation.run(1_000);
    assert_eq!(simulation.engine_of(99), None);
    for id in 0..SLOTS as u64 {
        let engine = simulation.engines.values().next().expect("an engine");
        assert!(
            engine.adapters.contains_key(&*format!("m/a{id}")),
            "adapter a{id} was unloaded while in use"
        );
    }
    simulation.planner.release(simulation.now_ms, 1, 0);
    simulation.run(500);
    assert!(simulation.engine_of(99).is_some());
}

#[test]
fn an_adapter_that_an_entry_process_reports_in_use_is_not_evicted() {
    let mut simulation = Simulation::new(1);
    for id in 0..SLOTS as u64 {
        simulation.place(id, request(&format!("m/a{id}")));
        simulation.run(600);
        simulation.planner.release(simulation.now_ms, 1, id);
    }
    let key = backend(0).key;
    let in_use = (0..SLOTS).map(|id| (key, format!("m/a{id}").into())).collect();
    let status = EntryStatus { in_use, ..EntryStatus::default() };
    simulation.planner.entry_status(simulation.now_ms, 7, status);
    simulation.place(99, request("m/a99"));
    simulation.run(1_000);
    assert_eq!(simulation.engine_of(99), None);
}

#[test]
fn prompts_are_spread_over_time() {
    let mut simulation = Simulation::new(1);
    simulation.place(1, request("m/a1"));
    simulation.run(400);
    for id in 2..6 {
        simulation.place(id, request("m/a1"));
    }
    simulation.planner.first_event(simulation.now_ms, 1, 1);
    simulation.run(5);
    let placed =
        |simulation: &Simulation| (2..6).filter(|id| simulation.engine_of(*id).is_some()).count();
    assert_eq!(
        placed(&simulation),
        1,
        "1,000 queued prompt tokens leave no capacity for 1,000 more"
    );
    let first = (2..6).find(|id| simulation.engine_of(*id).is_some()).expect("one was placed");
    simulation.planner.first_event(simulation.now_ms, 1, first);
    simulation.run(5);
    assert_eq!(placed(&simulation), 2);
}

#[test]
fn a_prompt_larger_than_the_limit_is_processed_alone() {
    let mut simulation = Simulation::new(1);
    simulation.place(1, PlaceRequest { prompt_tokens: 4_000, ..request("m/a1") });
    simulation.run(400);
    assert!(simulation.engine_of(1).is_some());
}

#[test]
fn an_overloaded_adapter_gets_another_copy() {
    let mut simulation = Simulation::new(3);
    simulation.place(0, request("m/hot"));
    simulation.run(400);
    for id in 1..12 {
        simulation.place(id, request("m/hot"));
    }
    simulation.run(600);
    let engines: HashSet<_> = (0..12).filter_map(|id| simulation.engine_of(id)).collect();
    assert!(engines.len() > 1, "all requests went to one engine");
}

#[test]
fn callers_that_were_refused_before_wait_behind_those_that_can_be_on_time() {
    let mut simulation = Simulation::new(1);
    simulation.place(0, request("m/a1"));
    simulation.run(400);
    simulation.place(1, PlaceRequest { spent_ms: 4_000, ..request("m/a1") });
    simulation.place(2, PlaceRequest { priority: 2, ..request("m/a1") });
    simulation.planner.first_event(simulation.now_ms, 1, 0);
    simulation.run(5);
    assert!(simulation.engine_of(2).is_some());
    assert_eq!(simulation.engine_of(1), None);
}

#[test]
fn a_request_that_cannot_be_placed_is_refused_soon() {
    let mut simulation = Simulation::new(1);
    for id in 0..SLOTS as u64 {
        simulation.place(id, request(&format!("m/a{id}")));
        simulation.run(600);
        simulation.planner.first_event(simulation.now_ms, 1, id);
    }
    simulation.place(99, request("m/a99"));
    simulation.run(1_600);
    assert!(matches!(simulation.replies.get(&99), Some(PlaceReply::RefusedFor { .. })));
}

/// Requests for 100 adapters at once, of which the store delivers 8 each 250 ms: those whose adapter
/// can't be loaded before their callers leave are refused at once, and all others are served.
#[test]
fn a_flood_of_rare_adapters_is_refused_at_once_or_served() {
    let mut simulation = Simulation::new(40);
    for id in 0..100 {
        simulation.place(id, request(&format!("m/a{id}")));
    }
    simulation.run(5);
    let refused: Vec<u64> = simulation
        .replies
        .values()
        .filter_map(|reply| match reply {
            PlaceReply::RefusedFor { retry_after_ms, .. } => Some(*retry_after_ms),
            _ => None,
        })
        .collect();
    // In the 1,600 ms before their callers leave, the store completes 51 loads of 250 ms, and 43 if each
    // place is taken again after 1.2 times the duration of a load.
    assert!((49..=57).contains(&refused.len()), "{} refused", refused.len());
    assert!(refused.iter().all(|retry_after_ms| (1_500..4_000).contains(retry_after_ms)));
    simulation.run_with_first_events(2_000, 100);
    let placed =
        simulation.replies.values().filter(|reply| matches!(reply, PlaceReply::Placed { .. }));
    assert_eq!(placed.count() + refused.len(), 100);
}

/// After a loss of the coordinator the backlog holds rare adapters, each requested once before a
/// popular one. The popular one is loaded first, and in time.
#[test]
fn the_adapter_with_most_requests_on_time_is_loaded_first() {
    let mut simulation = Simulation::new(20);
    for id in 0..30 {
        simulation.place(id, request(&format!("m/rare{id}")));
    }
    for id in 100..110 {
        simulation.place(id, request("m/popular"));
    }
    simulation.run(LOAD_MS + 60);
    assert!(simulation.engine_of(100).is_some());
}

/// A load takes most of the objective, so a request that has waited for long is late in any case; the
/// load goes to one that it can still serve on time.
#[test]
fn a_load_goes_to_a_request_that_it_can_serve_on_time() {
    let mut simulation = Simulation::with_planner(20, Planner::new(0));
    let old = PlaceRequest { spent_ms: 500, ..request("m/old") };
    for id in 0..8 {
        simulation.place(id, PlaceRequest { model: format!("m/old{id}").into(), ..old.clone() });
    }
    for id in 100..108 {
        simulation.place(id, request(&format!("m/new{id}")));
    }
    simulation.run(LOAD_MS + 60);
    assert!((100..108).all(|id| simulation.engine_of(id).is_some()));
    simulation.run_with_first_events(LOAD_MS + 60, 200);
    assert!((0..8).all(|id| simulation.engine_of(id).is_some()));
}

/// The adapter of a refused request is loaded by the time that its caller was told.
#[test]
fn an_adapter_is_loaded_for_the_return_of_a_refused_caller() {
    let mut simulation = Simulation::new(40);
    for id in 0..80 {
        simulation.place(id, request(&format!("m/a{id}")));
    }
    simulation.run(5);
    let refused: BTreeMap<u64, u64> = simulation
        .replies
        .iter()
        .filter_map(|(id, reply)| match reply {
            PlaceReply::RefusedFor { retry_after_ms, .. } => Some((*id, *retry_after_ms)),
            _ => None,
        })
        .collect();
    assert!(!refused.is_empty());
    let longest_ms = refused.values().max().expect("a refusal");
    simulation.run_with_first_events(*longest_ms, 80);
    let expected = refused.keys().take(16).filter(|id| {
        let model = format!("m/a{id}");
        simulation.engines.values().any(|engine| engine.adapters.contains_key(&*model))
    });
    assert!(expected.count() >= 16, "{refused:?}");
}

#[test]
fn an_older_version_gets_no_requests_and_is_unloaded_once_unused() {
    let mut simulation = Simulation::new(2);
    let loads_a1 = |orders: &[PlannedOrder], engine: BackendKey| {
        orders.iter().any(|order| order.engine == engine && order.kind == OrderKind::Load)
    };
    simulation.place(1, request("m/a1"));
    simulation.run(400);
    simulation.planner.first_event(simulation.now_ms, 1, 1);
    let old = simulation.engine_of(1).expect("the request was placed");
    simulation.planner.set_versions(&BTreeMap::from([("m/a1".into(), 2)]));
    simulation.place(2, request("m/a1"));
    simulation.now_ms += 5;
    let orders = simulation.planner.plan(simulation.now_ms, true);
    assert!(!loads_a1(&orders, old), "the new version was loaded next to the old one");
    let order = &orders[0];
    assert!(order.engine != old && order.kind == OrderKind::Load);
    simulation.planner.order_finished(simulation.now_ms, order, OrderOutcome::InEffect);
    simulation.now_ms += 5;
    simulation.planner.plan(simulation.now_ms, true);
    let placed = PlaceReply::Placed { engine: order.engine, version: Some(2) };
    assert!(simulation.planner.take_replies().iter().any(|reply| reply.reply == placed));
    simulation.planner.release(simulation.now_ms, 1, 1);
    simulation.now_ms += 100;
    let orders = simulation.planner.plan(simulation.now_ms, true);
    assert_eq!((orders[0].engine, orders[0].kind), (old, OrderKind::Unload));
}

#[test]
fn a_load_of_a_version_that_is_no_longer_the_newest_is_not_repeated() {
    let mut simulation = Simulation::new(1);
    simulation.place(1, request("m/a1"));
    simulation.now_ms += 5;
    let orders = simulation.planner.plan(simulation.now_ms, true);
    simulation.planner.order_finished(simulation.now_ms, &orders[0], OrderOutcome::Accepted);
    simulation.planner.set_versions(&BTreeMap::from([("m/a1".into(), 2)]));
    simulation.now_ms += 300;
    assert_eq!(simulation.planner.plan(simulation.now_ms, true), []);
}

#[test]
fn a_refused_load_keeps_its_slot() {
    let mut simulation = Simulation::new(1);
    simulation.place(1, request("m/a1"));
    simulation.now_ms += 5;
    let orders = simulation.planner.plan(simulation.now_ms, true);
    simulation.planner.order_finished(simulation.now_ms, &orders[0], OrderOutcome::Accepted);
    simulation.now_ms += 30;
    let orders = simulation.planner.plan(simulation.now_ms, true);
    simulation.planner.order_finished(simulation.now_ms, &orders[0], OrderOutcome::Refused);
    let engine = simulation.planner.engines.values().next().expect("an engine");
    assert_eq!(engine.used_slots(), 1);
}

#[test]
fn a_new_coordinator_sends_no_orders_before_it_may() {
    let mut simulation = Simulation::with_planner(1, Planner::new(3_000));
    simulation.place(1, request("m/a1"));
    simulation.run(1_000);
    assert_eq!(simulation.loads(), 0);
    simulation.run(2_000);
    simulation.place(2, request("m/a1"));
    simulation.run(400);
    assert_eq!(simulation.loads(), 1);
}

/// Under random requests and ends of requests, an engine never has more adapters than slots, and no
/// adapter with a request in flight is unloaded.
#[test]
fn random_schedules_never_exceed_the_slots() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut simulation = Simulation::new(3);
        let mut running: Vec<u64> = Vec::new();
        for id in 0..150 {
            simulation.place(id, request(&format!("m/a{}", rng.u32(0..30))));
            running.push(id);
            simulation.run(rng.u64(1..8) * 5);
            for _ in 0..rng.usize(0..3) {
                if !running.is_empty() {
                    let ended = running.swap_remove(rng.usize(0..running.len()));
                    simulation.planner.first_event(simulation.now_ms, 1, ended);
                    simulation.planner.release(simulation.now_ms, 1, ended);
                }
            }
            for pin in simulation.planner.pins.values() {
                let engine = &simulation.engines[&pin.engine];
                assert!(
                    engine.adapters.contains_key(&pin.model),
                    "seed {seed}: {pin:?} was unloaded while in use"
                );
            }
            assert!(simulation.most_adapters() <= SLOTS, "seed {seed}: too many adapters");
        }
    }
}

/// A fleet with thousands of engines: their reports must not take the coordinator's processor time.
#[test]
fn reports_of_thousands_of_engines_are_spread_over_time() {
    let mut simulation = Simulation::new(2_000);
    let mut fetched = 0;
    for now_ms in (0..20_000).step_by(10) {
        for key in simulation.planner.take_due_reports(now_ms) {
            let report = EngineReport {
                models: vec![LoadedModel { name: "m".into(), version: 1, adapters: Vec::new() }],
                ..EngineReport::default()
            };
            simulation.planner.engine_report(now_ms, key, Some(report));
            fetched += 1;
        }
    }
    // Each engine reports at the start and at most once more within its interval of 13 s.
    assert!((2_000..=4_000).contains(&fetched), "{fetched} reports in 20 s");
}
