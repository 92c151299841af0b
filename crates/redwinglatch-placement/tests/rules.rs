//! Tests of the coordinator's rules, one rule each.

mod support;

use redwinglatch_core::{
    EngineId, Epoch, Incarnation, InstanceId, PinId, RefusalReason, RequestId,
};
use redwinglatch_placement::{
    Coordinator, CoordinatorTakeover, EngineSnapshot, FencingMode, LoadFailure, PlaceRequest,
    PlacementSettings, PrefixCacheEvent, PrefixCacheEventKind, PrefixCacheEvents, Release,
    ReportedPin,
};
use support::{
    adapter, address, cell, engine_info, request, request_key, settings, snapshot, take_effects,
    takeover,
};

/// Guards against ordering a load for each waiting request of the same adapter.
#[test]
fn requests_for_one_adapter_share_one_load() {
    let (mut coordinator, _) = cell(settings(), &[&[], &[]]);
    for number in 0..4 {
        coordinator.place(10, request(number, 1, 10_000));
    }
    let before = take_effects(&mut coordinator);
    assert_eq!(before.loads.len(), 1);
    coordinator.load_finished(300, before.loads[0].load, Ok(()));
    let after = take_effects(&mut coordinator);
    assert_eq!(after.placed.len(), 4);
    assert!(after.loads.is_empty());
}

/// Guards against delaying the refusal of a request that can't meet its deadline.
#[test]
fn a_load_that_ends_too_late_is_refused_at_once() {
    let (mut coordinator, _) = cell(settings(), &[&[], &[]]);
    for number in 0..5 {
        coordinator.place(10, request(number, number as usize, 1_000));
    }
    let effects = take_effects(&mut coordinator);
    assert_eq!(effects.loads.len(), 1);
    assert!(!effects.refused.is_empty());
    for (_, refusal) in &effects.refused {
        assert_eq!(refusal.reason, RefusalReason::LoadTooLate);
        assert!(refusal.retry_after_ms.is_some());
    }
    assert_eq!(effects.refused.len() + coordinator.waiting_requests(), 5);
}

/// Guards against a new request with little slack that makes accepted requests late.
#[test]
fn an_urgent_new_request_does_not_make_accepted_requests_late() {
    let (mut coordinator, _) = cell(settings(), &[&[], &[], &[]]);
    coordinator.place(10, request(0, 0, 10_000));
    coordinator.place(10, request(1, 1, 1_400));
    coordinator.place(10, request(2, 2, 1_400));
    assert_eq!(take_effects(&mut coordinator).refused.len(), 0);
    coordinator.place(20, request(3, 3, 1_000));
    let effects = take_effects(&mut coordinator);
    assert_eq!(effects.refused.len(), 1);
    assert_eq!(effects.refused[0].0, request_key(1, 3));
}

/// Guards against eviction of an adapter in use.
#[test]
fn a_pinned_adapter_is_not_evicted() {
    let (mut coordinator, _) = cell(settings(), &[&[1, 2]]);
    coordinator.place(10, request(1, 1, 10_000));
    let pin = take_effects(&mut coordinator).placed[0].1.pin;
    coordinator.place(20, request(3, 3, 10_000));
    let order = take_effects(&mut coordinator).loads.remove(0);
    assert_eq!(order.evict, Some(adapter(2)));
    coordinator.release(30, pin, Release::Finished);
    coordinator.load_finished(300, order.load, Ok(()));
    assert_eq!(take_effects(&mut coordinator).placed.len(), 1);
}

/// Guards against a rarely used adapter that never gets a slot because all are always in use.
#[test]
fn a_rare_adapter_gets_a_slot_of_adapters_always_in_use() {
    let (mut coordinator, _) = cell(settings(), &[&[1, 2]]);
    let mut pins = Vec::new();
    let mut load = None;
    for round in 0..200 {
        let now_ms = round * 50;
        coordinator.tick(now_ms);
        coordinator.place(now_ms, request(100 + round, 1 + round as usize % 2, 1_000));
        pins.extend(take_effects(&mut coordinator).placed);
        if round == 2 {
            coordinator.place(now_ms, request(1, 3, 20_000));
        }
        if pins.len() > 2 {
            // The other adapter has a pin now, and this adapter gets its next pin before its last
            // one is released.
            coordinator.release(now_ms, pins.remove(0).1.pin, Release::Finished);
        }
        let effects = take_effects(&mut coordinator);
        pins.extend(effects.placed);
        load = load.or(effects.loads.into_iter().find(|order| order.adapter == adapter(3)));
    }
    assert!(load.is_some(), "no load within the starvation limit");
}

/// Guards against a rarely used adapter waiting behind popular ones beyond the starvation limit.
#[test]
fn loads_with_less_slack_overtake_a_load_for_at_most_the_starvation_limit() {
    let settings = PlacementSettings { load_starvation_ms: 5_000, ..settings() };
    let (mut coordinator, _) = cell(settings, &[&[][..]; 4]);
    coordinator.place(0, request(0, 0, 100_000));
    coordinator.place(0, request(1, 1, 100_000));
    let mut in_flight = take_effects(&mut coordinator).loads;
    let mut number = 2;
    let mut started_ms = None;
    for now_ms in (0..20_000).step_by(100) {
        coordinator.tick(now_ms);
        number += 1;
        coordinator.place(now_ms, request(number, number as usize, 1_500));
        coordinator.place(now_ms, request(1_000_000 + number, number as usize, 1_500));
        if now_ms % 300 == 0 && !in_flight.is_empty() {
            coordinator.load_finished(now_ms, in_flight.remove(0).load, Ok(()));
        }
        let effects = take_effects(&mut coordinator);
        for (_, placed) in effects.placed {
            coordinator.release(now_ms, placed.pin, Release::Finished);
        }
        in_flight.extend(effects.loads);
        in_flight.extend(take_effects(&mut coordinator).loads);
        if started_ms.is_none() && in_flight.iter().any(|order| order.adapter == adapter(1)) {
            started_ms = Some(now_ms);
        }
    }
    assert!(started_ms.is_some_and(|it| it <= 6_000), "started at {started_ms:?}");
}

/// Guards against one customer occupying the whole weight store with many rarely used adapters.
#[test]
fn a_customer_above_its_share_does_not_starve_another() {
    let (mut coordinator, _) = cell(settings(), &[&[][..]; 6]);
    let mut in_flight = Vec::new();
    let (mut number, mut other_submitted, mut other_placed) = (0, 0, 0);
    for now_ms in (0..60_000).step_by(100) {
        coordinator.tick(now_ms);
        number += 1;
        coordinator.place(
            now_ms,
            PlaceRequest { customer: "flood".into(), ..request(number, number as usize, 4_000) },
        );
        if now_ms % 1_000 == 0 {
            other_submitted += 1;
            let request = request(1_000_000 + number, 1_000_000 + number as usize, 4_000);
            coordinator.place(now_ms, PlaceRequest { customer: "other".into(), ..request });
        }
        if now_ms % 300 == 0 && !in_flight.is_empty() {
            coordinator.load_finished(now_ms, in_flight.remove(0), Ok(()));
        }
        let effects = take_effects(&mut coordinator);
        for (key, placed) in effects.placed {
            other_placed += u64::from(key.request.0 >= 1_000_000);
            coordinator.release(now_ms, placed.pin, Release::Finished);
        }
        in_flight.extend(effects.loads.iter().map(|order| order.load));
        in_flight.extend(take_effects(&mut coordinator).loads.iter().map(|order| order.load));
    }
    // Both have the same share of 3 loads/s, and the other customer needs only 1 load/s.
    assert!(other_placed * 10 >= other_submitted * 9, "{other_placed} of {other_submitted}");
}

/// Guards against retrying a failed load at once on the same engine, or without limit.
#[test]
fn failed_loads_are_retried_on_other_engines_and_refused_after_three() {
    let (mut coordinator, _) = cell(settings(), &[&[], &[], &[], &[]]);
    coordinator.place(0, request(1, 1, 60_000));
    let mut engines = Vec::new();
    for now_ms in (100..400).step_by(100) {
        let order = take_effects(&mut coordinator).loads.remove(0);
        engines.push(order.engine);
        coordinator.load_finished(now_ms, order.load, Err(LoadFailure::Failed));
    }
    engines.sort();
    engines.dedup();
    assert_eq!(engines.len(), 3);
    let effects = take_effects(&mut coordinator);
    assert_eq!(effects.refused[0].1.reason, RefusalReason::LoadFailed);
    coordinator.place(310, request(2, 1, 60_000));
    assert_eq!(take_effects(&mut coordinator).refused[0].1.reason, RefusalReason::LoadFailed);
    coordinator.place(20_000, request(3, 1, 60_000));
    assert_eq!(take_effects(&mut coordinator).refused.len(), 0);
}

/// Guards against a preload that delays the load for a waiting request.
#[test]
fn a_preload_is_abandoned_for_a_waiting_request() {
    let (mut coordinator, ids) = cell(PlacementSettings::stalls_first(), &[&[1, 2], &[3]]);
    for number in 0..8 {
        coordinator.place(10, request(number, 1, 10_000));
        for (_, placed) in take_effects(&mut coordinator).placed {
            coordinator.release(20, placed.pin, Release::Finished);
        }
    }
    // The first engine restarts, and its popular adapter is preloaded on either engine.
    coordinator.engine_report(
        1_000,
        ids[0],
        EngineSnapshot { boot_id: "boot-2".into(), ..snapshot(1_000, &[]) },
    );
    coordinator.tick(1_001);
    let preload = take_effects(&mut coordinator).loads.remove(0);
    assert!(preload.is_preload && preload.adapter == adapter(1));
    coordinator.place(1_010, request(50, 9, 10_000));
    let effects = take_effects(&mut coordinator);
    assert_eq!(effects.unloads, [adapter(1)]);
    assert!(effects.loads.is_empty(), "only one load may be in flight");
    coordinator.load_finished(1_020, preload.load, Err(LoadFailure::Abandoned));
    assert_eq!(take_effects(&mut coordinator).loads[0].adapter, adapter(9));
}

/// Guards against pins on an adapter that is about to be unloaded, since the order to abandon its
/// load arrived after the load had succeeded.
#[test]
fn an_abandoned_load_that_succeeded_is_read_back_before_use() {
    let (mut coordinator, ids) = cell(PlacementSettings::stalls_first(), &[&[1], &[]]);
    for number in 0..8 {
        coordinator.place(10, request(number, 1, 10_000));
        for (_, placed) in take_effects(&mut coordinator).placed {
            coordinator.release(20, placed.pin, Release::Finished);
        }
    }
    coordinator.engine_report(
        1_000,
        ids[0],
        EngineSnapshot { boot_id: "boot-2".into(), ..snapshot(1_000, &[]) },
    );
    coordinator.tick(1_001);
    let preload = take_effects(&mut coordinator).loads.remove(0);
    coordinator.place(1_010, request(50, 9, 10_000));
    assert_eq!(take_effects(&mut coordinator).unloads, [adapter(1)]);
    coordinator.load_finished(1_020, preload.load, Ok(()));
    coordinator.place(1_030, request(51, 1, 10_000));
    assert!(take_effects(&mut coordinator).placed.is_empty());
}

/// Guards against orders to engines that ignore fencing shortly before the lease expires.
#[test]
fn engines_that_ignore_fencing_get_no_order_at_the_end_of_the_lease() {
    let mut coordinator = Coordinator::new(settings(), fastrand::Rng::with_seed(1));
    coordinator.take_over(0, CoordinatorTakeover { lease_until_ms: 4_000, ..takeover(&[]) });
    let id = coordinator.engine_added(0, engine_info(0, FencingMode::Ignored));
    coordinator.engine_report(1, id, snapshot(1, &[]));
    coordinator.place(3_100, request(1, 1, 10_000));
    assert!(take_effects(&mut coordinator).loads.is_empty());
    coordinator.lease_renewed(7_000);
    coordinator.tick(3_200);
    assert_eq!(take_effects(&mut coordinator).loads.len(), 1);
    coordinator.place(7_000, request(2, 1, 10_000));
    assert_eq!(take_effects(&mut coordinator).refused[0].1.reason, RefusalReason::NoCoordinator);
}

/// Guards against placing requests by a slot that changed without an order.
#[test]
fn a_slot_that_changed_without_an_order_is_unknown_until_read_back() {
    let (mut coordinator, ids) = cell(settings(), &[&[1, 2]]);
    coordinator.engine_report(4_000, ids[0], snapshot(4_000, &[(1, 0), (5, 0)]));
    coordinator.place(4_010, request(1, 2, 300));
    coordinator.place(4_010, request(2, 5, 300));
    let effects = take_effects(&mut coordinator);
    assert!(effects.placed.is_empty(), "{effects:?}");
    for now_ms in [4_500, 5_000, 5_500] {
        coordinator.engine_report(now_ms, ids[0], snapshot(now_ms, &[(1, 0), (5, 0)]));
    }
    coordinator.place(5_600, request(3, 5, 300));
    assert_eq!(take_effects(&mut coordinator).placed.len(), 1);
}

/// Guards against eviction while a new coordinator doesn't know the pins of all live instances.
#[test]
fn a_new_coordinator_evicts_nothing_before_all_live_instances_reported() {
    let mut coordinator = Coordinator::new(settings(), fastrand::Rng::with_seed(1));
    let id = coordinator.engine_added(0, engine_info(0, FencingMode::Honoured));
    coordinator.take_over(
        0,
        CoordinatorTakeover { epoch: Epoch(2), settle_ms: 2_000, ..takeover(&[1, 2]) },
    );
    coordinator.place(10, request(1, 3, 20_000));
    coordinator.engine_report(100, id, snapshot(100, &[(1, 1), (2, 0)]));
    coordinator.tick(2_000);
    coordinator.engine_report(2_100, id, snapshot(2_100, &[(1, 1), (2, 0)]));
    coordinator.pins_reported(2_200, InstanceId(1), Incarnation(1), Vec::new());
    coordinator.tick(2_300);
    assert!(take_effects(&mut coordinator).loads.is_empty());
    let pin = ReportedPin {
        pin: PinId(77),
        request: RequestId(9),
        engine: address(0),
        model: "base".into(),
        adapter: adapter(1),
        budget_ms: 5_000,
    };
    coordinator.pins_reported(2_400, InstanceId(2), Incarnation(1), vec![pin]);
    assert_eq!(take_effects(&mut coordinator).loads[0].evict, Some(adapter(2)));
    assert_eq!(coordinator.pins(), 1);
    coordinator.release(2_500, PinId(77), Release::Finished);
    assert_eq!(coordinator.pins(), 0);
}

/// Guards against evicting an adapter in use by an instance that was lost before it reported its
/// pins.
#[test]
fn requests_of_an_unknown_instance_protect_their_engine() {
    let (mut coordinator, ids) = cell(settings(), &[&[1, 2]]);
    let stray = EngineSnapshot {
        requests: vec![request_key(9, 1)],
        running: 1,
        ..snapshot(100, &[(1, 1), (2, 0)])
    };
    coordinator.engine_report(100, ids[0], stray);
    coordinator.place(110, request(1, 3, 20_000));
    assert!(take_effects(&mut coordinator).loads.is_empty());
    coordinator.engine_report(600, ids[0], snapshot(600, &[(1, 0), (2, 0)]));
    assert_eq!(take_effects(&mut coordinator).loads.len(), 1);
}

fn lost_instance() -> (Coordinator, EngineId) {
    let (mut coordinator, ids) = cell(settings(), &[&[1, 2]]);
    coordinator.place(10, request(1, 1, 10_000));
    assert_eq!(take_effects(&mut coordinator).placed.len(), 1);
    coordinator.instance_lost(1_000, InstanceId(1), Incarnation(1));
    assert_eq!(take_effects(&mut coordinator).cancels, [request_key(1, 1)]);
    (coordinator, ids[0])
}

/// Guards against a pin of a lost instance that ends while its request runs, or never.
#[test]
fn the_pin_of_a_lost_instance_ends_when_the_engine_no_longer_lists_its_request() {
    let (mut coordinator, engine) = lost_instance();
    let listed =
        EngineSnapshot { requests: vec![request_key(1, 1)], ..snapshot(1_500, &[(1, 1), (2, 0)]) };
    coordinator.engine_report(1_500, engine, listed);
    assert_eq!(coordinator.pins(), 1);
    coordinator.engine_report(2_000, engine, snapshot(2_000, &[(1, 0), (2, 0)]));
    assert_eq!(coordinator.pins(), 0);
}

/// Guards against a pin of a lost instance that ends without an acknowledged cancel order.
#[test]
fn the_pin_of_a_lost_instance_ends_after_deadline_and_acknowledged_cancel() {
    let (mut coordinator, _) = lost_instance();
    coordinator.tick(20_000);
    assert_eq!(coordinator.pins(), 1);
    assert_eq!(take_effects(&mut coordinator).cancels, [request_key(1, 1)]);
    coordinator.cancel_finished(20_100, request_key(1, 1), true);
    assert_eq!(coordinator.pins(), 0);
}

/// Guards against a second pin for a request that is repeated because its placement was lost.
#[test]
fn a_repeated_request_gets_the_same_placement() {
    let (mut coordinator, _) = cell(settings(), &[&[1], &[1]]);
    coordinator.place(10, request(1, 1, 10_000));
    let first = take_effects(&mut coordinator).placed[0].1;
    coordinator.place(50, request(1, 1, 9_960));
    assert_eq!(take_effects(&mut coordinator).placed[0].1, first);
    assert_eq!(coordinator.pins(), 1);
    let again =
        PlaceRequest { excluded_engines: vec![first.engine].into(), ..request(1, 1, 9_000) };
    coordinator.place(60, again);
    let second = take_effects(&mut coordinator).placed[0].1;
    assert_ne!(second.engine, first.engine);
    coordinator.release(70, first.pin, Release::EngineFailed);
    coordinator.release(80, second.pin, Release::Finished);
    assert_eq!(coordinator.pins(), 0);
}

/// Guards against new work for a leaving engine.
#[test]
fn a_leaving_engine_gets_no_new_work() {
    let (mut coordinator, ids) = cell(settings(), &[&[1], &[]]);
    coordinator.engine_leaving(10, ids[0]);
    coordinator.place(20, request(1, 1, 10_000));
    assert_eq!(take_effects(&mut coordinator).loads[0].engine, ids[1]);
    coordinator.engine_leaving(30, ids[1]);
    coordinator.place(40, request(2, 7, 10_000));
    assert_eq!(take_effects(&mut coordinator).refused[0].1.reason, RefusalReason::NoEngine);
}

/// Guards against a prefix index that is used although events are missing.
#[test]
fn a_gap_in_cache_events_is_read_again_in_full() {
    let (mut coordinator, ids) = cell(settings(), &[&[1], &[1]]);
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
    coordinator.cache_events(1, ids[1], read(0, vec![stored(1, 11)]));
    coordinator.place(2, prefixed(1));
    assert_eq!(take_effects(&mut coordinator).placed[0].1.engine, address(1));
    coordinator.cache_events(3, ids[1], read(1, vec![stored(3, 12)]));
    assert_eq!(take_effects(&mut coordinator).event_reads, [(ids[1], 0)]);
}

/// Guards against unbounded memory use when callers send many unknown adapter names.
#[test]
fn known_adapters_are_bounded() {
    let settings = PlacementSettings { max_known_adapters: 100, ..settings() };
    let (mut coordinator, _) = cell(settings, &[&[1, 2]]);
    for number in 0..1_000 {
        coordinator.place(number * 10, request(number, 10 + number as usize, 100));
        coordinator.tick(number * 10);
    }
    assert!(coordinator.known_adapters() <= 100);
    coordinator.place(20_000, request(5_000, 1, 1_000));
    assert_eq!(
        take_effects(&mut coordinator).placed.len(),
        1,
        "a loaded adapter must stay in the table"
    );
}

/// Guards against a coordinator that continues after another one was assigned.
#[test]
fn an_engine_with_a_newer_token_ends_the_epoch() {
    let (mut coordinator, _) = cell(settings(), &[&[]]);
    coordinator.place(10, request(1, 1, 10_000));
    let order = take_effects(&mut coordinator).loads.remove(0);
    coordinator.load_finished(20, order.load, Err(LoadFailure::StaleToken));
    let effects = take_effects(&mut coordinator);
    assert!(effects.deposed);
    assert_eq!(effects.refused[0].1.reason, RefusalReason::NoCoordinator);
    assert_eq!(coordinator.epoch(), None);
}

/// Guards against using an engine after its removal: a delayed snapshot filled its slots again, and
/// the next decision used the deleted engine.
#[test]
fn a_delayed_snapshot_of_a_removed_engine_is_ignored() {
    let (mut coordinator, ids) = cell(settings(), &[&[1], &[]]);
    coordinator.place(10, request(1, 1, 10_000));
    let placed = take_effects(&mut coordinator).placed[0].1;
    coordinator.engine_removed(20, ids[0]);
    coordinator.engine_report(30, ids[0], snapshot(30, &[(1, 1)]));
    coordinator.release(40, placed.pin, Release::Finished);
    coordinator.place(50, request(2, 1, 10_000));
    let effects = take_effects(&mut coordinator);
    assert!(effects.placed.is_empty());
    assert_eq!(effects.loads[0].engine, ids[1]);
}

/// Guards against evicting an adapter in use by a request that was placed before the coordinator
/// knew of a restart and reached the new boot, where its adapter was loaded again.
#[test]
fn a_pin_survives_a_restart_until_a_later_snapshot_does_not_list_its_request() {
    let (mut coordinator, ids) = cell(settings(), &[&[1]]);
    let rebooted = |now_ms, slots: &[(usize, u32)], requests| EngineSnapshot {
        boot_id: "boot-2".into(),
        requests,
        ..snapshot(now_ms, slots)
    };
    coordinator.place(10, request(1, 1, 10_000));
    coordinator.engine_report(20, ids[0], rebooted(20, &[], Vec::new()));
    assert_eq!(coordinator.pins(), 1);
    coordinator.engine_report(900, ids[0], rebooted(900, &[], Vec::new()));
    assert_eq!(coordinator.pins(), 1);
    coordinator.engine_report(1_500, ids[0], rebooted(1_500, &[(1, 1)], vec![request_key(1, 1)]));
    assert_eq!(coordinator.pins(), 1);
    coordinator.engine_report(2_000, ids[0], rebooted(2_000, &[(1, 0)], Vec::new()));
    assert_eq!(coordinator.pins(), 0);
}

/// Guards against evicting an adapter in use on an engine that was missing from the platform's
/// backend list when the instance reported the pin.
#[test]
fn a_pin_reported_for_an_unlisted_engine_counts_when_the_engine_is_listed_again() {
    let (mut coordinator, _) = cell(settings(), &[]);
    let pin = ReportedPin {
        pin: PinId(77),
        request: RequestId(9),
        engine: address(0),
        model: "base".into(),
        adapter: adapter(1),
        budget_ms: 5_000,
    };
    coordinator.pins_reported(10, InstanceId(1), Incarnation(1), vec![pin]);
    let id = coordinator.engine_added(20, engine_info(0, FencingMode::Honoured));
    coordinator.engine_report(30, id, snapshot(30, &[(1, 0), (2, 0)]));
    coordinator.place(40, request(1, 3, 10_000));
    assert_eq!(take_effects(&mut coordinator).loads[0].evict, Some(adapter(2)));
}

/// Guards against pins and engines that are never deleted after the engine was removed and the
/// instance lost.
#[test]
fn the_pin_of_a_lost_instance_on_a_removed_engine_ends_after_its_deadline() {
    let (mut coordinator, engine) = lost_instance();
    coordinator.engine_removed(2_000, engine);
    coordinator.tick(14_000);
    assert_eq!(coordinator.pins(), 1);
    coordinator.tick(15_100);
    assert_eq!(coordinator.pins(), 0);
}

/// Guards against a snapshot from before the engine was listed again, which doesn't list the
/// requests that were sent since.
#[test]
fn snapshots_from_before_the_listing_or_out_of_order_are_ignored() {
    let (mut coordinator, ids) = cell(settings(), &[&[1]]);
    coordinator.engine_removed(100, ids[0]);
    let id = coordinator.engine_added(200, engine_info(0, FencingMode::Honoured));
    coordinator.engine_report(210, id, snapshot(150, &[(1, 0), (2, 0)]));
    coordinator.place(220, request(1, 1, 10_000));
    assert!(take_effects(&mut coordinator).placed.is_empty());
    coordinator.engine_report(230, id, snapshot(225, &[(1, 0), (2, 0)]));
    assert_eq!(take_effects(&mut coordinator).placed.len(), 1);
    let older_boot = EngineSnapshot { boot_id: "boot-0".into(), ..snapshot(222, &[]) };
    coordinator.engine_report(240, id, older_boot);
    coordinator.place(250, request(2, 2, 10_000));
    assert_eq!(take_effects(&mut coordinator).placed.len(), 1);
}

/// Guards against exceeding the store limit while the store still serves a load of an engine that
/// restarted.
#[test]
fn a_load_of_a_restarted_engine_counts_towards_the_store_limit_until_its_end_is_reported() {
    let (mut coordinator, ids) = cell(settings(), &[&[], &[]]);
    coordinator.place(10, request(1, 1, 10_000));
    let first = take_effects(&mut coordinator).loads.remove(0);
    let engine = ids.iter().position(|id| *id == first.engine).expect("known");
    let rebooted = EngineSnapshot { boot_id: "boot-2".into(), ..snapshot(100, &[]) };
    coordinator.engine_report(100, ids[engine], rebooted);
    assert!(take_effects(&mut coordinator).loads.is_empty());
    coordinator.load_finished(110, first.load, Err(LoadFailure::Unreachable));
    let second = take_effects(&mut coordinator).loads.remove(0);
    coordinator.load_finished(400, second.load, Ok(()));
    assert_eq!(take_effects(&mut coordinator).placed.len(), 1);
}

/// Guards against refusing requests whose adapter is being loaded: the wait for a place in a batch
/// was computed from the engines with the adapter, of which there are none until the load ends.
#[test]
fn requests_that_join_a_load_in_flight_are_not_refused() {
    let (mut coordinator, _) = cell(settings(), &[&[], &[]]);
    for number in 0..4 {
        coordinator.place(number * 100, request(number, 1, 1_000));
    }
    assert_eq!(coordinator.waiting_requests(), 4);
    assert!(take_effects(&mut coordinator).refused.is_empty());
}

/// Guards against refusing all queued requests because one load is late: when the first of them is
/// refused, the others are in time again.
#[test]
fn a_late_load_causes_no_more_refusals_than_needed() {
    let (mut coordinator, _) = cell(settings(), &[&[], &[], &[]]);
    for (number, budget_ms) in [600, 870, 1_203, 1_536].into_iter().enumerate() {
        coordinator.place(0, request(number as u64, number, budget_ms));
    }
    assert!(take_effects(&mut coordinator).refused.is_empty());
    // The first load should have ended at 333 ms.
    coordinator.tick(450);
    let effects = take_effects(&mut coordinator);
    assert_eq!(effects.refused.len(), 1);
    assert_eq!(effects.refused[0].0, request_key(1, 1));
}

/// Guards against a retry of a failed load on the same engine before its backoff ends.
#[test]
fn a_failed_load_is_not_retried_on_the_same_engine_before_its_backoff_ends() {
    let (mut coordinator, ids) = cell(settings(), &[&[]]);
    coordinator.place(0, request(1, 1, 60_000));
    let first = take_effects(&mut coordinator).loads.remove(0);
    coordinator.load_finished(100, first.load, Err(LoadFailure::Failed));
    coordinator.engine_report(400, ids[0], snapshot(400, &[]));
    let second = take_effects(&mut coordinator).loads.remove(0);
    coordinator.load_finished(1_000, second.load, Err(LoadFailure::Failed));
    // The slot is read back, but the second backoff lasts at least 375 ms.
    coordinator.engine_report(1_260, ids[0], snapshot(1_260, &[]));
    assert!(take_effects(&mut coordinator).loads.is_empty());
    coordinator.tick(1_600);
    assert_eq!(take_effects(&mut coordinator).loads.len(), 1);
}
