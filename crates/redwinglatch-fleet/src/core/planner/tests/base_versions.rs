//! Versions of base models.

use super::*;

/// A version is named for the base model of four engines while requests for its adapters arrive. Unloaded
/// everywhere at once, the model would be missing until all engines have loaded it again.
#[test]
fn a_new_version_of_a_base_model_takes_one_engine_at_a_time_out_of_service() {
    let mut simulation = Simulation::new(4);
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
    }
    let unserved = (0..295).filter(|id| simulation.engine_of(*id).is_none());
    assert_eq!(unserved.collect::<Vec<_>>(), []);
}
