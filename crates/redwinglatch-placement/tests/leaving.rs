//! Engines that stop new work, and when they get it again.

mod support;

use redwinglatch_core::EngineId;
use redwinglatch_placement::{Coordinator, EngineSnapshot, Release};
use support::{cell, request, settings, snapshot, take_effects};

/// Places three requests, the last one at `now_ms`; the only engine refuses each connection.
fn refuse_three_connections(coordinator: &mut Coordinator, now_ms: u64) {
    for number in 0..3 {
        // The engine gets no work while it backs off after a refused connection.
        let at_ms = now_ms - 20_000 + 10_000 * number;
        coordinator.engine_report(at_ms, EngineId(0), snapshot(at_ms, &[(1, 0)]));
        coordinator.tick(at_ms);
        coordinator.place(at_ms, request(number, 1, 9_000));
        let placed = take_effects(coordinator).placed;
        assert_eq!(placed.len(), 1, "round {number}");
        coordinator.release(at_ms, placed[0].1.pin, Release::ConnectRefused);
    }
}

fn can_place(coordinator: &mut Coordinator, now_ms: u64) -> bool {
    coordinator.tick(now_ms);
    coordinator.place(now_ms, request(now_ms, 1, 9_000));
    take_effects(coordinator).placed.len() == 1
}

fn restarted(now_ms: u64) -> EngineSnapshot {
    EngineSnapshot { boot_id: "after the restart".into(), ..snapshot(now_ms, &[(1, 0)]) }
}

fn cell_with_lease() -> Coordinator {
    let (mut coordinator, _) = cell(settings(), &[&[1]]);
    coordinator.lease_renewed(1_000_000);
    coordinator
}

/// Guards against an engine that gets no work after a short outage.
#[test]
fn an_engine_that_restarts_after_refused_connections_gets_work_again() {
    let mut coordinator = cell_with_lease();
    refuse_three_connections(&mut coordinator, 30_000);
    assert!(!can_place(&mut coordinator, 39_000));
    coordinator.engine_report(40_000, EngineId(0), restarted(40_000));
    assert!(can_place(&mut coordinator, 40_001));
}

/// Guards against an engine that gets no work although it accepts connections again, without a
/// restart.
#[test]
fn an_engine_that_reports_after_refused_connections_gets_work_again() {
    let mut coordinator = cell_with_lease();
    refuse_three_connections(&mut coordinator, 30_000);
    coordinator.engine_report(40_000, EngineId(0), snapshot(40_000, &[(1, 0)]));
    assert!(can_place(&mut coordinator, 40_001));
}

/// Guards against new work after a restart for an engine that the platform lists as leaving.
#[test]
fn a_restarted_engine_that_is_listed_as_leaving_gets_no_work() {
    let mut coordinator = cell_with_lease();
    coordinator.engine_leaving(10_000, EngineId(0));
    coordinator.engine_report(20_000, EngineId(0), restarted(20_000));
    assert!(!can_place(&mut coordinator, 20_001));
}
