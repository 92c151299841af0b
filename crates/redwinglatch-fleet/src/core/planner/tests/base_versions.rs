//! Versions of base models.

use super::*;

/// A version is named for the base model of four engines while requests for its adapters arrive. Unloaded
/// everywhere at once, the model would be missing until all engines have loaded it again.
#[test]
fn a_new_version_of_a_base_model_takes_one_engine_at_a_time_out_of_service() {
    let mut simulation = Simulation::new(4);
    for engine in simulation.engines.values_mut() {
        engine.newest_base_version = 2;
    }
    simulation.planner.set_versions(&BTreeMap::from([("m".into(), 2)]));
    for id in 0..300 {
        simulation.place(id, request(&format!("m/a{}", id % 8)));
        simulation.run_with_first_events(100, id + 1);
        if id >= 5 {
            simulation.planner.release(simulation.now_ms, 1, id - 5);
        }
        let is_missing = |engine: &&FakeEngine| simulation.now_ms < engine.base_ready_ms;
        let missing = simulation.engines.values().filter(is_missing).count();
        assert!(missing <= 1, "{missing} engines are without the model at {}", simulation.now_ms);
    }
    for (key, engine) in &simulation.engines {
        assert_eq!(engine.base_loads_ms.len(), 1, "loads of engine {key:?}");
        assert_eq!(engine.base_version, 2);
    }
    let unserved = (0..295).filter(|id| simulation.engine_of(*id).is_none());
    assert_eq!(unserved.collect::<Vec<_>>(), []);
}

/// The weight store still has the old version, so the engines go on to report it.
#[test]
fn a_base_model_that_stays_outdated_is_replaced_once() {
    let mut simulation = Simulation::new(2);
    simulation.planner.set_versions(&BTreeMap::from([("m".into(), 2)]));
    simulation.run(20_000);
    for (key, engine) in &simulation.engines {
        assert_eq!(engine.base_loads_ms.len(), 1, "loads of engine {key:?}");
    }
}

/// While engines load a new version in turn, requests for the base model itself run on the others.
#[test]
fn a_request_for_an_outdated_base_model_is_placed() {
    let mut simulation = Simulation::new(2);
    simulation.planner.set_versions(&BTreeMap::from([("m".into(), 2)]));
    simulation.place(1, request("m"));
    simulation.run(50);
    assert!(matches!(simulation.replies[&1], PlaceReply::Placed { version: None, .. }));
}

/// A request of an entry process without a coordinator counts as well as those that were placed.
#[test]
fn an_engine_with_requests_keeps_its_base_model_until_they_end() {
    let mut simulation = Simulation::new(1);
    let key = backend(0).key;
    let status = |in_flight| EntryStatus { in_flight, ..EntryStatus::default() };
    simulation.planner.entry_status(0, 7, status(vec![(key, 1)]));
    simulation.planner.set_versions(&BTreeMap::from([("m".into(), 2)]));
    simulation.run(2_000);
    assert_eq!(simulation.engines[&key].base_ready_ms, 0, "the model was unloaded");
    simulation.planner.entry_status(simulation.now_ms, 7, status(Vec::new()));
    simulation.run(20);
    assert!(
        simulation.engines[&key].base_ready_ms > simulation.now_ms,
        "the model is still loaded"
    );
}

/// An engine may refuse one request for its base model with status 421, for example if that request
/// reached it late. Unloading the model would take all its adapters out of service.
#[test]
fn a_refused_request_for_a_base_model_does_not_unload_it() {
    let mut simulation = Simulation::new(1);
    simulation.place(1, request("m"));
    simulation.run(100);
    let engine = simulation.engine_of(1).expect("the request was placed");
    simulation.planner.model_not_loaded(simulation.now_ms, engine, "m");
    simulation.run(2_000);
    assert_eq!(simulation.engines[&engine].base_ready_ms, 0, "the model was unloaded");
    simulation.place(2, request("m"));
    simulation.run(100);
    assert!(simulation.engine_of(2).is_some(), "the next report shows that the model is loaded");
}
