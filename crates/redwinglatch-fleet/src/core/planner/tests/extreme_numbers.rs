//! Numbers of operators that are far out of range.

use super::*;

/// The time until the next load was beyond the range of the clock: the coordinator ended, or ordered loads without a
/// pause.
#[test]
fn a_store_that_hardly_allows_a_load_gets_one() {
    let mut simulation = Simulation::new(3);
    let limits = EngineLimits { adapter_slots: SLOTS, slots: 64, cache_tokens: 140_000 };
    let base_models = BaseModels { names: vec!["m".into()], loads_per_s: 1e-300 };
    let service = EngineService { limits, base_models, ..EngineService::default() };
    simulation.planner.set_services(HashMap::from([(SERVICE.into(), service)]));
    for engine in simulation.engines.values_mut() {
        engine.base_ready_ms = u64::MAX;
    }
    simulation.run(5_000);
    let loads = simulation.engines.values().map(|engine| engine.base_loads_ms.len());
    assert_eq!(loads.sum::<usize>(), 1);
}
