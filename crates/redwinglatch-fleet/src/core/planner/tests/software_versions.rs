//! Streams that go on at engines of one software version.

use super::*;
use crate::ids::SoftwareVersion;

/// Sets the software versions of the engines, in their order.
fn set_versions(simulation: &mut Simulation, versions: &[&str]) -> Vec<Backend> {
    let versions = (0..).zip(versions);
    let backends: Vec<Backend> = versions
        .map(|(number, version)| Backend { software_version: (*version).into(), ..backend(number) })
        .collect();
    simulation.planner.set_backends(simulation.now_ms, &backends);
    backends
}

fn software(version: &str) -> Option<SoftwareVersion> {
    Some(SoftwareVersion::new(SERVICE, version))
}

/// A release is under way, and streams break off whose adapter is loaded at the other version only.
#[test]
fn the_adapter_of_a_stream_is_loaded_at_its_version() {
    let mut simulation = Simulation::new(4);
    let backends = set_versions(&mut simulation, &["v1", "v1", "v1.1", "v1.1"]);
    for (id, version) in [(1, "v1"), (2, "v1.1"), (3, "v1"), (4, "v1.1")] {
        let request = request("m/a1");
        simulation.planner.place(simulation.now_ms, 1, id, request, software(version));
        simulation.run_with_first_events(400, 10);
        let engine = simulation.engine_of(id).expect("the request was placed");
        let backend = backends.iter().find(|backend| backend.key == engine).expect("it is listed");
        assert_eq!(&*backend.software_version, version, "request {id}");
    }
    assert_eq!(simulation.loads(), 2);
}

/// The adapter is loaded at the other version, whose engines have room, and the only engine of the right one is
/// full: the stream waits for it.
#[test]
fn a_stream_waits_for_the_only_engine_of_its_version() {
    let mut simulation = Simulation::new(2);
    let backends = set_versions(&mut simulation, &["v1", "v1.1"]);
    let full = request("m/a1");
    for id in 0..64 {
        simulation.planner.place(simulation.now_ms, 1, id, full.clone(), software("v1"));
        simulation.run_with_first_events(50, 64);
    }
    simulation.run_with_first_events(1_000, 64);
    assert!((0..64).all(|id| simulation.engine_of(id) == Some(backends[0].key)));
    simulation.planner.place(simulation.now_ms, 1, 64, full, software("v1"));
    simulation.run(500);
    assert_eq!(simulation.engine_of(64), None);
    simulation.planner.release(simulation.now_ms, 1, 0);
    simulation.run(100);
    assert_eq!(simulation.engine_of(64), Some(backends[0].key));
}

#[test]
fn a_new_stream_goes_to_any_version() {
    let mut simulation = Simulation::new(2);
    set_versions(&mut simulation, &["v1", "v1.1"]);
    for id in 0..8 {
        simulation.place(id, request(&format!("m/a{id}")));
    }
    simulation.run_with_first_events(2_000, 8);
    let engines: HashSet<_> = (0..8).filter_map(|id| simulation.engine_of(id)).collect();
    assert_eq!(engines.len(), 2);
}
