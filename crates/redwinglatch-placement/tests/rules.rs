//! The rules of the coordinator, one by one.

mod support;

use redwinglatch_core::{
    EngineId, Epoch, Incarnation, InstanceId, PinId, RefusalReason, RequestId,
};
use redwinglatch_placement::{
    Coordinator, CoordinatorTakeover, EngineSnapshot, FencingMode, LoadFailure, PlaceRequest,
    PlacementSettings, PrefixCacheEvent, PrefixCacheEventKind, PrefixCacheEvents, Release,
    ReportedPin,
};
use support::{adapter, address, cell, done, info, key, report, request, settings, start};

/// Guards against a load for each waiting request of one adapter.
#[test]
fn requests_for_one_adapter_share_one_load() {
    let (mut it, _) = cell(settings(), &[&[], &[]]);
    for number in 0..4 {
        it.place(10, request(number, 1, 10_000));
    }
    let before = done(&mut it);
    assert_eq!(before.loads.len(), 1);
    it.load_finished(300, before.loads[0].load, Ok(()));
    let after = done(&mut it);
    assert_eq!(after.placed.len(), 4);
    assert!(after.loads.is_empty());
}

/// Guards against holding back the answer of a request that can't be served in time.
#[test]
fn a_load_that_ends_too_late_is_refused_at_once() {
    let (mut it, _) = cell(settings(), &[&[], &[]]);
    for number in 0..5 {
        it.place(10, request(number, number as usize, 1_000));
    }
    let now = done(&mut it);
    assert_eq!(now.loads.len(), 1);
    assert!(!now.refused.is_empty());
    for (_, refusal) in &now.refused {
        assert_eq!(refusal.reason, RefusalReason::LoadTooLate);
        assert!(refusal.retry_after_ms.is_some());
    }
    assert_eq!(now.refused.len() + it.waiting_requests(), 5);
}

/// Guards against a newcomer that makes accepted requests late.
#[test]
fn an_urgent_newcomer_does_not_displace_accepted_requests() {
    let (mut it, _) = cell(settings(), &[&[], &[], &[]]);
    it.place(10, request(0, 0, 10_000));
    it.place(10, request(1, 1, 1_400));
    it.place(10, request(2, 2, 1_400));
    assert_eq!(done(&mut it).refused.len(), 0);
    it.place(20, request(3, 3, 1_000));
    let now = done(&mut it);
    assert_eq!(now.refused.len(), 1);
    assert_eq!(now.refused[0].0, key(1, 3));
}

/// Guards against eviction of an adapter in use.
#[test]
fn a_pinned_adapter_is_not_evicted() {
    let (mut it, _) = cell(settings(), &[&[1, 2]]);
    it.place(10, request(1, 1, 10_000));
    let pin = done(&mut it).placed[0].1.pin;
    it.place(20, request(3, 3, 10_000));
    let order = done(&mut it).loads.remove(0);
    assert_eq!(order.evict, Some(adapter(2)));
    it.release(30, pin, Release::Finished);
    it.load_finished(300, order.load, Ok(()));
    assert_eq!(done(&mut it).placed.len(), 1);
}

/// Guards against rare adapters waiting for ever behind adapters that are always in use.
#[test]
fn a_rare_adapter_gets_a_slot_of_adapters_always_in_use() {
    let (mut it, _) = cell(settings(), &[&[1, 2]]);
    let mut pins = Vec::new();
    let mut load = None;
    for round in 0..200 {
        let now_ms = round * 50;
        it.tick(now_ms);
        it.place(now_ms, request(100 + round, 1 + round as usize % 2, 1_000));
        pins.extend(done(&mut it).placed);
        if round == 2 {
            it.place(now_ms, request(1, 3, 20_000));
        }
        if pins.len() > 2 {
            // The other adapter has a pin at this moment, and this one gets its next one first.
            it.release(now_ms, pins.remove(0).1.pin, Release::Finished);
        }
        let now = done(&mut it);
        pins.extend(now.placed);
        load = load.or(now.loads.into_iter().find(|order| order.adapter == adapter(3)));
    }
    assert!(load.is_some(), "no slot within the starvation limit");
}

/// Guards against a rare adapter waiting behind hot ones for longer than the limit.
#[test]
fn loads_with_less_slack_pass_a_load_for_at_most_the_starvation_limit() {
    let settings = PlacementSettings { load_starvation_ms: 5_000, ..settings() };
    let (mut it, _) = cell(settings, &[&[][..]; 4]);
    it.place(0, request(0, 0, 100_000));
    it.place(0, request(1, 1, 100_000));
    let mut flight = done(&mut it).loads;
    let mut number = 2;
    let mut started_ms = None;
    for now_ms in (0..20_000).step_by(100) {
        it.tick(now_ms);
        number += 1;
        it.place(now_ms, request(number, number as usize, 1_500));
        it.place(now_ms, request(1_000_000 + number, number as usize, 1_500));
        if now_ms % 300 == 0 && !flight.is_empty() {
            it.load_finished(now_ms, flight.remove(0).load, Ok(()));
        }
        let now = done(&mut it);
        for (_, placed) in now.placed {
            it.release(now_ms, placed.pin, Release::Finished);
        }
        flight.extend(now.loads);
        flight.extend(done(&mut it).loads);
        if started_ms.is_none() && flight.iter().any(|order| order.adapter == adapter(1)) {
            started_ms = Some(now_ms);
        }
    }
    assert!(started_ms.is_some_and(|it| it <= 6_000), "started at {started_ms:?}");
}

/// Guards against one customer taking the whole store with many rare adapters.
#[test]
fn a_flood_of_one_customer_leaves_the_share_of_another() {
    let (mut it, _) = cell(settings(), &[&[][..]; 6]);
    let mut flight = Vec::new();
    let (mut number, mut other_asked, mut other_placed) = (0, 0, 0);
    for now_ms in (0..60_000).step_by(100) {
        it.tick(now_ms);
        number += 1;
        it.place(
            now_ms,
            PlaceRequest { customer: "flood".into(), ..request(number, number as usize, 4_000) },
        );
        if now_ms % 1_000 == 0 {
            other_asked += 1;
            let request = request(1_000_000 + number, 1_000_000 + number as usize, 4_000);
            it.place(now_ms, PlaceRequest { customer: "other".into(), ..request });
        }
        if now_ms % 300 == 0 && !flight.is_empty() {
            it.load_finished(now_ms, flight.remove(0), Ok(()));
        }
        let now = done(&mut it);
        for (key, placed) in now.placed {
            other_placed += u64::from(key.request.0 >= 1_000_000);
            it.release(now_ms, placed.pin, Release::Finished);
        }
        flight.extend(now.loads.iter().map(|order| order.load));
        flight.extend(done(&mut it).loads.iter().map(|order| order.load));
    }
    // Both have the same share of 3 loads/s, and the other asks for 1 load/s.
    assert!(other_placed * 10 >= other_asked * 9, "{other_placed} of {other_asked}");
}

/// Guards against trying a failed load on the same engine at once, and without end.
#[test]
fn failed_loads_go_to_another_engine_and_are_refused_after_three() {
    let (mut it, _) = cell(settings(), &[&[], &[], &[], &[]]);
    it.place(0, request(1, 1, 60_000));
    let mut engines = Vec::new();
    for now_ms in (100..400).step_by(100) {
        let order = done(&mut it).loads.remove(0);
        engines.push(order.engine);
        it.load_finished(now_ms, order.load, Err(LoadFailure::Failed));
    }
    engines.sort();
    engines.dedup();
    assert_eq!(engines.len(), 3);
    let now = done(&mut it);
    assert_eq!(now.refused[0].1.reason, RefusalReason::LoadFailed);
    it.place(310, request(2, 1, 60_000));
    assert_eq!(done(&mut it).refused[0].1.reason, RefusalReason::LoadFailed);
    it.place(20_000, request(3, 1, 60_000));
    assert_eq!(done(&mut it).refused.len(), 0);
}

/// Guards against a preload that keeps a waiting request from the store.
#[test]
fn a_preload_is_abandoned_for_a_waiting_request() {
    let (mut it, ids) = cell(PlacementSettings::stalls_first(), &[&[1, 2], &[3]]);
    for number in 0..8 {
        it.place(10, request(number, 1, 10_000));
        for (_, placed) in done(&mut it).placed {
            it.release(20, placed.pin, Release::Finished);
        }
    }
    // The first engine restarts, and its popular adapter is preloaded elsewhere or again.
    it.engine_report(
        1_000,
        ids[0],
        EngineSnapshot { boot_id: "boot-2".into(), ..report(1_000, &[]) },
    );
    it.tick(1_001);
    let preload = done(&mut it).loads.remove(0);
    assert!(preload.is_preload && preload.adapter == adapter(1));
    it.place(1_010, request(50, 9, 10_000));
    let now = done(&mut it);
    assert_eq!(now.unloads, [adapter(1)]);
    assert!(now.loads.is_empty(), "only one load may be in flight");
    it.load_finished(1_020, preload.load, Err(LoadFailure::Abandoned));
    assert_eq!(done(&mut it).loads[0].adapter, adapter(9));
}

/// Guards against pins on an adapter that an order to abandon its load is about to unload.
#[test]
fn an_abandoned_load_that_ended_well_is_read_back_first() {
    let (mut it, ids) = cell(PlacementSettings::stalls_first(), &[&[1], &[]]);
    for number in 0..8 {
        it.place(10, request(number, 1, 10_000));
        for (_, placed) in done(&mut it).placed {
            it.release(20, placed.pin, Release::Finished);
        }
    }
    it.engine_report(
        1_000,
        ids[0],
        EngineSnapshot { boot_id: "boot-2".into(), ..report(1_000, &[]) },
    );
    it.tick(1_001);
    let preload = done(&mut it).loads.remove(0);
    it.place(1_010, request(50, 9, 10_000));
    assert_eq!(done(&mut it).unloads, [adapter(1)]);
    it.load_finished(1_020, preload.load, Ok(()));
    it.place(1_030, request(51, 1, 10_000));
    assert!(done(&mut it).placed.is_empty());
}

/// Guards against orders of a coordinator whose lease is about to end, where fencing is ignored.
#[test]
fn engines_that_ignore_fencing_get_no_order_at_the_end_of_the_lease() {
    let mut it = Coordinator::new(settings(), fastrand::Rng::with_seed(1));
    it.take_over(0, CoordinatorTakeover { lease_until_ms: 4_000, ..start(&[]) });
    let id = it.engine_added(0, info(0, FencingMode::Ignored));
    it.engine_report(1, id, report(1, &[]));
    it.place(3_100, request(1, 1, 10_000));
    assert!(done(&mut it).loads.is_empty());
    it.lease_renewed(7_000);
    it.tick(3_200);
    assert_eq!(done(&mut it).loads.len(), 1);
    it.place(7_000, request(2, 1, 10_000));
    assert_eq!(done(&mut it).refused[0].1.reason, RefusalReason::NoCoordinator);
}

/// Guards against trusting a slot that changed without an order.
#[test]
fn a_slot_that_changed_without_an_order_is_unknown_until_read_back() {
    let (mut it, ids) = cell(settings(), &[&[1, 2]]);
    it.engine_report(4_000, ids[0], report(4_000, &[(1, 0), (5, 0)]));
    it.place(4_010, request(1, 2, 300));
    it.place(4_010, request(2, 5, 300));
    let now = done(&mut it);
    assert!(now.placed.is_empty(), "{now:?}");
    for now_ms in [4_500, 5_000, 5_500] {
        it.engine_report(now_ms, ids[0], report(now_ms, &[(1, 0), (5, 0)]));
    }
    it.place(5_600, request(3, 5, 300));
    assert_eq!(done(&mut it).placed.len(), 1);
}

/// Guards against eviction while pins of live instances are unknown to a new coordinator.
#[test]
fn a_new_coordinator_evicts_nothing_before_all_live_instances_reported() {
    let mut it = Coordinator::new(settings(), fastrand::Rng::with_seed(1));
    let id = it.engine_added(0, info(0, FencingMode::Honoured));
    it.take_over(0, CoordinatorTakeover { epoch: Epoch(2), settle_ms: 2_000, ..start(&[1, 2]) });
    it.place(10, request(1, 3, 20_000));
    it.engine_report(100, id, report(100, &[(1, 1), (2, 0)]));
    it.tick(2_000);
    it.engine_report(2_100, id, report(2_100, &[(1, 1), (2, 0)]));
    it.pins_reported(2_200, InstanceId(1), Incarnation(1), Vec::new());
    it.tick(2_300);
    assert!(done(&mut it).loads.is_empty());
    let pin = ReportedPin {
        pin: PinId(77),
        request: RequestId(9),
        engine: address(0),
        model: "base".into(),
        adapter: adapter(1),
        budget_ms: 5_000,
    };
    it.pins_reported(2_400, InstanceId(2), Incarnation(1), vec![pin]);
    assert_eq!(done(&mut it).loads[0].evict, Some(adapter(2)));
    assert_eq!(it.pins(), 1);
    it.release(2_500, PinId(77), Release::Finished);
    assert_eq!(it.pins(), 0);
}

/// Guards against eviction under requests of an instance that died before it reported.
#[test]
fn requests_of_an_unknown_instance_protect_their_engine() {
    let (mut it, ids) = cell(settings(), &[&[1, 2]]);
    let stray =
        EngineSnapshot { requests: vec![key(9, 1)], running: 1, ..report(100, &[(1, 1), (2, 0)]) };
    it.engine_report(100, ids[0], stray);
    it.place(110, request(1, 3, 20_000));
    assert!(done(&mut it).loads.is_empty());
    it.engine_report(600, ids[0], report(600, &[(1, 0), (2, 0)]));
    assert_eq!(done(&mut it).loads.len(), 1);
}

fn lost_instance() -> (Coordinator, EngineId) {
    let (mut it, ids) = cell(settings(), &[&[1, 2]]);
    it.place(10, request(1, 1, 10_000));
    assert_eq!(done(&mut it).placed.len(), 1);
    it.instance_lost(1_000, InstanceId(1), Incarnation(1));
    assert_eq!(done(&mut it).cancels, [key(1, 1)]);
    (it, ids[0])
}

/// Guards against pins of dead instances that end while their request runs, or never.
#[test]
fn the_pin_of_a_lost_instance_ends_when_the_engine_no_longer_lists_its_request() {
    let (mut it, engine) = lost_instance();
    let listed = EngineSnapshot { requests: vec![key(1, 1)], ..report(1_500, &[(1, 1), (2, 0)]) };
    it.engine_report(1_500, engine, listed);
    assert_eq!(it.pins(), 1);
    it.engine_report(2_000, engine, report(2_000, &[(1, 0), (2, 0)]));
    assert_eq!(it.pins(), 0);
}

/// Guards against a pin of a dead instance that ends without an acknowledged cancel.
#[test]
fn the_pin_of_a_lost_instance_ends_after_deadline_and_acknowledged_cancel() {
    let (mut it, _) = lost_instance();
    it.tick(20_000);
    assert_eq!(it.pins(), 1);
    assert_eq!(done(&mut it).cancels, [key(1, 1)]);
    it.cancel_finished(20_100, key(1, 1), true);
    assert_eq!(it.pins(), 0);
}

/// Guards against a second pin for a request whose answer was lost.
#[test]
fn a_request_sent_again_gets_its_placement_again() {
    let (mut it, _) = cell(settings(), &[&[1], &[1]]);
    it.place(10, request(1, 1, 10_000));
    let first = done(&mut it).placed[0].1;
    it.place(50, request(1, 1, 9_960));
    assert_eq!(done(&mut it).placed[0].1, first);
    assert_eq!(it.pins(), 1);
    let again =
        PlaceRequest { excluded_engines: vec![first.engine].into(), ..request(1, 1, 9_000) };
    it.place(60, again);
    let second = done(&mut it).placed[0].1;
    assert_ne!(second.engine, first.engine);
    it.release(70, first.pin, Release::EngineFailed);
    it.release(80, second.pin, Release::Finished);
    assert_eq!(it.pins(), 0);
}

/// Guards against new work for a leaving engine.
#[test]
fn a_leaving_engine_gets_no_new_work() {
    let (mut it, ids) = cell(settings(), &[&[1], &[]]);
    it.engine_leaving(10, ids[0]);
    it.place(20, request(1, 1, 10_000));
    assert_eq!(done(&mut it).loads[0].engine, ids[1]);
    it.engine_leaving(30, ids[1]);
    it.place(40, request(2, 7, 10_000));
    assert_eq!(done(&mut it).refused[0].1.reason, RefusalReason::NoEngine);
}

/// Guards against a prefix index that is used although events are missing.
#[test]
fn a_gap_in_cache_events_is_read_again_in_full() {
    let (mut it, ids) = cell(settings(), &[&[1], &[1]]);
    let stored = |sequence, prefix_hash| PrefixCacheEvent {
        sequence,
        kind: PrefixCacheEventKind::PrefixStored,
        prefix_hash,
    };
    let read = |after, events: Vec<PrefixCacheEvent>| PrefixCacheEvents {
        after,
        boot_id: "boot-1".into(),
        next: events.last().map_or(after, |it| it.sequence),
        events,
    };
    let prefixed =
        |number| PlaceRequest { prefix_hashes: vec![11].into(), ..request(number, 1, 10_000) };
    it.cache_events(1, ids[1], read(0, vec![stored(1, 11)]));
    it.place(2, prefixed(1));
    assert_eq!(done(&mut it).placed[0].1.engine, address(1));
    it.cache_events(3, ids[1], read(1, vec![stored(3, 12)]));
    assert_eq!(done(&mut it).event_reads, [(ids[1], 0)]);
}

/// Guards against memory that grows with the names that callers make up.
#[test]
fn known_adapters_are_bounded() {
    let settings = PlacementSettings { max_known_adapters: 100, ..settings() };
    let (mut it, _) = cell(settings, &[&[1, 2]]);
    for number in 0..1_000 {
        it.place(number * 10, request(number, 10 + number as usize, 100));
        it.tick(number * 10);
    }
    assert!(it.known_adapters() <= 100);
    it.place(20_000, request(5_000, 1, 1_000));
    assert_eq!(done(&mut it).placed.len(), 1, "a loaded adapter must not be forgotten");
}

/// Guards against a coordinator that goes on after another one was assigned.
#[test]
fn an_engine_with_a_newer_token_ends_the_epoch() {
    let (mut it, _) = cell(settings(), &[&[]]);
    it.place(10, request(1, 1, 10_000));
    let order = done(&mut it).loads.remove(0);
    it.load_finished(20, order.load, Err(LoadFailure::StaleToken));
    let now = done(&mut it);
    assert!(now.deposed);
    assert_eq!(now.refused[0].1.reason, RefusalReason::NoCoordinator);
    assert_eq!(it.epoch(), None);
}

/// Guards against copies on an engine that is gone: a late report filled its slots again, and the
/// next decision used the engine after it was dropped.
#[test]
fn a_late_report_of_a_removed_engine_is_not_used() {
    let (mut it, ids) = cell(settings(), &[&[1], &[]]);
    it.place(10, request(1, 1, 10_000));
    let placed = done(&mut it).placed[0].1;
    it.engine_removed(20, ids[0]);
    it.engine_report(30, ids[0], report(30, &[(1, 1)]));
    it.release(40, placed.pin, Release::Finished);
    it.place(50, request(2, 1, 10_000));
    let now = done(&mut it);
    assert!(now.placed.is_empty());
    assert_eq!(now.loads[0].engine, ids[1]);
}

/// Guards against eviction under a request that was placed before the coordinator knew of a
/// restart and reached the new boot, where its adapter was loaded again.
#[test]
fn a_pin_outlives_a_restart_until_a_later_report_lacks_its_request() {
    let (mut it, ids) = cell(settings(), &[&[1]]);
    let rebooted = |now_ms, slots: &[(usize, u32)], requests| EngineSnapshot {
        boot_id: "boot-2".into(),
        requests,
        ..report(now_ms, slots)
    };
    it.place(10, request(1, 1, 10_000));
    it.engine_report(20, ids[0], rebooted(20, &[], Vec::new()));
    assert_eq!(it.pins(), 1);
    it.engine_report(900, ids[0], rebooted(900, &[], Vec::new()));
    assert_eq!(it.pins(), 1);
    it.engine_report(1_500, ids[0], rebooted(1_500, &[(1, 1)], vec![key(1, 1)]));
    assert_eq!(it.pins(), 1);
    it.engine_report(2_000, ids[0], rebooted(2_000, &[(1, 0)], Vec::new()));
    assert_eq!(it.pins(), 0);
}

/// Guards against eviction under a request on an engine that was missing from the platform's list
/// while its instance reported the pin.
#[test]
fn a_pin_reported_for_an_unlisted_engine_counts_when_the_engine_comes_back() {
    let (mut it, _) = cell(settings(), &[]);
    let pin = ReportedPin {
        pin: PinId(77),
        request: RequestId(9),
        engine: address(0),
        model: "base".into(),
        adapter: adapter(1),
        budget_ms: 5_000,
    };
    it.pins_reported(10, InstanceId(1), Incarnation(1), vec![pin]);
    let id = it.engine_added(20, info(0, FencingMode::Honoured));
    it.engine_report(30, id, report(30, &[(1, 0), (2, 0)]));
    it.place(40, request(1, 3, 10_000));
    assert_eq!(done(&mut it).loads[0].evict, Some(adapter(2)));
}

/// Guards against pins and engines that are kept for ever after engine and instance are gone.
#[test]
fn the_pin_of_a_lost_instance_on_a_removed_engine_ends_after_its_deadline() {
    let (mut it, engine) = lost_instance();
    it.engine_removed(2_000, engine);
    it.tick(14_000);
    assert_eq!(it.pins(), 1);
    it.tick(15_100);
    assert_eq!(it.pins(), 0);
}

/// Guards against a report from before the engine was listed again, which lacks the requests that
/// were sent since.
#[test]
fn reports_from_before_the_listing_or_out_of_order_are_ignored() {
    let (mut it, ids) = cell(settings(), &[&[1]]);
    it.engine_removed(100, ids[0]);
    let id = it.engine_added(200, info(0, FencingMode::Honoured));
    it.engine_report(210, id, report(150, &[(1, 0), (2, 0)]));
    it.place(220, request(1, 1, 10_000));
    assert!(done(&mut it).placed.is_empty());
    it.engine_report(230, id, report(225, &[(1, 0), (2, 0)]));
    assert_eq!(done(&mut it).placed.len(), 1);
    let older_boot = EngineSnapshot { boot_id: "boot-0".into(), ..report(222, &[]) };
    it.engine_report(240, id, older_boot);
    it.place(250, request(2, 2, 10_000));
    assert_eq!(done(&mut it).placed.len(), 1);
}

/// Guards against a load beside one that the store still serves for an engine that restarted.
#[test]
fn a_load_of_a_restarted_engine_takes_its_lane_until_its_end_is_reported() {
    let (mut it, ids) = cell(settings(), &[&[], &[]]);
    it.place(10, request(1, 1, 10_000));
    let first = done(&mut it).loads.remove(0);
    let engine = ids.iter().position(|id| *id == first.engine).expect("known");
    let rebooted = EngineSnapshot { boot_id: "boot-2".into(), ..report(100, &[]) };
    it.engine_report(100, ids[engine], rebooted);
    assert!(done(&mut it).loads.is_empty());
    it.load_finished(110, first.load, Err(LoadFailure::Unreachable));
    let second = done(&mut it).loads.remove(0);
    it.load_finished(400, second.load, Ok(()));
    assert_eq!(done(&mut it).placed.len(), 1);
}

/// Guards against refusing requests whose adapter is about to be ready: the wait for a place was
/// computed from its copies, of which there are none before the load ends.
#[test]
fn requests_that_join_a_load_in_flight_are_not_refused() {
    let (mut it, _) = cell(settings(), &[&[], &[]]);
    for number in 0..4 {
        it.place(number * 100, request(number, 1, 1_000));
    }
    assert_eq!(it.waiting_requests(), 4);
    assert!(done(&mut it).refused.is_empty());
}

/// Guards against refusing all queued requests for the lateness of one load: when the first of
/// them drops out, the others are in time again.
#[test]
fn a_late_load_costs_no_more_requests_than_needed() {
    let (mut it, _) = cell(settings(), &[&[], &[], &[]]);
    for (number, budget_ms) in [600, 870, 1_203, 1_536].into_iter().enumerate() {
        it.place(0, request(number as u64, number, budget_ms));
    }
    assert!(done(&mut it).refused.is_empty());
    // The first load should have ended at 333 ms.
    it.tick(450);
    let now = done(&mut it);
    assert_eq!(now.refused.len(), 1);
    assert_eq!(now.refused[0].0, key(1, 1));
}

/// Guards against the next attempt on an engine before its backoff is over.
#[test]
fn an_engine_is_not_asked_again_for_a_failed_adapter_before_its_backoff_is_over() {
    let (mut it, ids) = cell(settings(), &[&[]]);
    it.place(0, request(1, 1, 60_000));
    let first = done(&mut it).loads.remove(0);
    it.load_finished(100, first.load, Err(LoadFailure::Failed));
    it.engine_report(400, ids[0], report(400, &[]));
    let second = done(&mut it).loads.remove(0);
    it.load_finished(1_000, second.load, Err(LoadFailure::Failed));
    // The slot is read back, but the second backoff lasts at least 375 ms.
    it.engine_report(1_260, ids[0], report(1_260, &[]));
    assert!(done(&mut it).loads.is_empty());
    it.tick(1_600);
    assert_eq!(done(&mut it).loads.len(), 1);
}
