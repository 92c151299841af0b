//! Engines that stop new work, and when they get it again.

mod support;

use redwinglatch_core::EngineId;
use redwinglatch_placement::{Coordinator, EngineSnapshot, Release};
use support::{cell, done, report, request, settings};

/// Three placements whose connections the only engine refuses, up to `now_ms`.
fn refuse_three_connections(it: &mut Coordinator, now_ms: u64) {
    for number in 0..3 {
        // Each refusal blocks the engine for a while.
        let at_ms = now_ms - 20_000 + 10_000 * number;
        it.engine_report(at_ms, EngineId(0), report(at_ms, &[(1, 0)]));
        it.tick(at_ms);
        it.place(at_ms, request(number, 1, 9_000));
        let placed = done(it).placed;
        assert_eq!(placed.len(), 1, "round {number}");
        it.release(at_ms, placed[0].1.pin, Release::ConnectRefused);
    }
}

fn is_placed(it: &mut Coordinator, now_ms: u64) -> bool {
    it.tick(now_ms);
    it.place(now_ms, request(now_ms, 1, 9_000));
    done(it).placed.len() == 1
}

fn restarted(now_ms: u64) -> EngineSnapshot {
    EngineSnapshot { boot_id: "after the restart".into(), ..report(now_ms, &[(1, 0)]) }
}

fn cell_with_lease() -> Coordinator {
    let (mut it, _) = cell(settings(), &[&[1]]);
    it.lease_renewed(1_000_000);
    it
}

/// Guards against an engine that was down for a moment and never gets work again.
#[test]
fn an_engine_that_restarts_after_refused_connections_gets_work_again() {
    let mut it = cell_with_lease();
    refuse_three_connections(&mut it, 30_000);
    assert!(!is_placed(&mut it, 39_000));
    it.engine_report(40_000, EngineId(0), restarted(40_000));
    assert!(is_placed(&mut it, 40_001));
}

/// Guards against an engine that takes connections again without a restart and gets no work.
#[test]
fn an_engine_that_reports_after_refused_connections_gets_work_again() {
    let mut it = cell_with_lease();
    refuse_three_connections(&mut it, 30_000);
    it.engine_report(40_000, EngineId(0), report(40_000, &[(1, 0)]));
    assert!(is_placed(&mut it, 40_001));
}

/// Guards against a restart that brings back an engine that the platform lists as leaving.
#[test]
fn a_restart_does_not_bring_back_an_engine_listed_as_leaving() {
    let mut it = cell_with_lease();
    it.engine_leaving(10_000, EngineId(0));
    it.engine_report(20_000, EngineId(0), restarted(20_000));
    assert!(!is_placed(&mut it, 20_001));
}
