//! Orders that are late, lost or refused, and coordinators that take over meanwhile.

use super::*;

#[test]
fn an_order_that_comes_late_takes_no_slot_of_others() {
    for late_after_ms in (0..3_000).step_by(50) {
        let mut world = World::new(1);
        world.run(300);
        world.place(1, request("m/late"));
        let mut late = None;
        world.run_with(5, |_, order| {
            late = Some(order.clone());
            OrderOutcome::Unknown
        });
        let late = late.expect("a load is ordered");
        world.planner.release(world.now_ms, 1, 1);
        let late_ms = world.now_ms + late_after_ms;
        for id in 10..10 + 2 * SLOTS as u64 {
            world.place(id, request(&format!("m/a{id}")));
            let arrives_now = (world.now_ms..world.now_ms + 300).contains(&late_ms);
            world.run(300);
            if arrives_now {
                world.carry_out(&late);
            }
            world.planner.first_event(1, id);
            world.planner.release(world.now_ms, 1, id);
        }
        assert!(world.most_adapters() <= SLOTS, "too many after {late_after_ms} ms");
        assert!(world.loads() > SLOTS, "a late order after {late_after_ms} ms stops all others");
    }
}

/// Reports lag, so a coordinator that has just taken over knows neither the last loads nor the
/// last drops of the one before.
#[test]
fn a_new_coordinator_keeps_the_slots() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = World::new(2);
        let mut running: Vec<u64> = Vec::new();
        for id in 0..150 {
            if rng.u32(0..12) == 0 {
                let pins: Vec<_> = world.planner.pins.keys().copied().collect();
                for (entry, id) in pins {
                    world.planner.release(world.now_ms, entry, id);
                }
                world.take_over(0);
                running.clear();
            }
            world.place(id, request(&format!("m/a{}", rng.u32(0..20))));
            running.push(id);
            world.run(rng.u64(1..12) * 5);
            if rng.bool() {
                let ended = running.swap_remove(rng.usize(0..running.len()));
                world.planner.first_event(1, ended);
                world.planner.release(world.now_ms, 1, ended);
            }
            assert!(world.most_adapters() <= SLOTS, "seed {seed}: too many adapters");
        }
        let before = world.loads();
        world.take_over(0);
        for id in 1_000..1_010 {
            world.place(id, request(&format!("m/b{id}")));
        }
        world.run(2_000);
        assert!(world.loads() > before, "seed {seed}: no load after the last change");
    }
}

/// Orders without an answer may be carried out at once, later or never.
#[test]
fn lost_answers_and_late_orders_keep_the_slots() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = World::new(2);
        let mut late: Vec<(u64, PlannedOrder)> = Vec::new();
        let mut placed = 0;
        for id in 0..150 {
            world.place(id, request(&format!("m/a{}", rng.u32(0..20))));
            let for_ms = rng.u64(1..30) * 5;
            world.run_with(for_ms, |world, order| match rng.u32(0..10) {
                0 => OrderOutcome::Unknown,
                1 => {
                    world.carry_out(order);
                    OrderOutcome::Unknown
                }
                2 => {
                    late.push((world.now_ms + rng.u64(0..4_000), order.clone()));
                    OrderOutcome::Unknown
                }
                3 => OrderOutcome::Refused,
                _ => world.carry_out(order),
            });
            late.retain(|(due_ms, order)| {
                let is_due = *due_ms <= world.now_ms;
                if is_due {
                    world.carry_out(order);
                }
                !is_due
            });
            placed += u64::from(world.engine_of(id).is_some());
            world.planner.first_event(1, id);
            world.planner.release(world.now_ms, 1, id);
            assert!(world.most_adapters() <= SLOTS, "seed {seed}: too many adapters");
        }
        assert!(placed > 0, "seed {seed}: no request was placed");
    }
}

/// The platform loses the answers of some engines to orders for many seconds.
#[test]
fn a_load_without_an_answer_is_ordered_from_another_engine() {
    let mut world = World::new(2);
    world.run(300);
    world.place(1, request("m/a1"));
    let mut home = None;
    world.run_with(700, |world, order| {
        if *home.get_or_insert(order.engine) == order.engine {
            return OrderOutcome::Unknown;
        }
        world.carry_out(order)
    });
    assert!(world.engine_of(1).is_some_and(|engine| Some(engine) != home));
}

#[test]
fn loads_without_an_answer_do_not_take_the_time_of_the_store() {
    let mut world = World::new(20);
    world.run(300);
    for id in 0..8 {
        world.place(id, request(&format!("m/a{id}")));
    }
    let mut orders = 0;
    world.run_with(100, |world, order| {
        orders += 1;
        if orders <= 8 { OrderOutcome::Unknown } else { world.carry_out(order) }
    });
    assert!(world.loads() > 0, "the store counts as full with loads that nobody may have begun");
}

#[test]
fn a_late_confirmation_does_not_show_a_busy_store() {
    let mut world = World::new(1);
    world.run(300);
    world.place(1, request("m/a1"));
    world.run(400);
    let limit = world.planner.store.limit();
    world.place(2, request("m/a2"));
    world.run(30);
    let mut lost = 3;
    world.run_with(1_000, |world, order| {
        if lost > 0 {
            lost -= 1;
            return OrderOutcome::Unknown;
        }
        world.carry_out(order)
    });
    assert!(world.planner.store.limit() >= limit);
}

#[test]
fn an_order_that_is_long_in_flight_holds_up_no_other_load() {
    let mut world = World::new(2);
    world.run(300);
    world.place(1, request("m/a1"));
    world.now_ms += 5;
    let first = world.planner.plan(world.now_ms, true);
    assert_eq!(first.len(), 1);
    world.now_ms += 100;
    let second = world.planner.plan(world.now_ms, true);
    assert_eq!(second.len(), 1);
    assert_ne!(first[0].engine, second[0].engine);
    assert_eq!(first[0].model, second[0].model);
}

/// Answers to repeated orders are lost, so only the report tells that a load is complete.
#[test]
fn a_report_shows_that_a_load_is_complete() {
    let mut world = World::new(1);
    world.run(300);
    world.place(1, request("m/a1"));
    let mut is_first = true;
    world.run_with(LOAD_MS + LAG_MS + 400, |world, order| {
        if std::mem::take(&mut is_first) {
            return world.carry_out(order);
        }
        OrderOutcome::Unknown
    });
    assert!(world.engine_of(1).is_some());
}

#[test]
fn engines_that_start_empty_load_their_base_model() {
    let mut world = World::new(4);
    for engine in world.engines.values_mut() {
        engine.base_ready_ms = u64::MAX;
        engine.states.clear();
    }
    world.take_over(0);
    world.run(BASE_LOAD_MS + 1_000);
    world.place(1, request("m/a1"));
    world.run(LOAD_MS + 100);
    assert!(world.engine_of(1).is_some(), "an engine that has loaded its model isn't used");
    world.run(8_000);
    let mut loads_ms: Vec<u64> =
        world.engines.values().flat_map(|engine| engine.base_loads_ms.clone()).collect();
    loads_ms.sort_unstable();
    assert_eq!(loads_ms.len(), 4, "each engine loads it once");
    assert!(loads_ms.windows(2).all(|pair| pair[0] + 334 <= pair[1]), "{loads_ms:?}");
}

/// The new coordinator sees the engines load, and doesn't order the loads once more.
#[test]
fn base_models_that_are_coming_are_not_loaded_again_after_a_change_of_coordinator() {
    let mut world = World::new(3);
    for engine in world.engines.values_mut() {
        engine.base_ready_ms = u64::MAX;
        engine.states.clear();
    }
    world.take_over(0);
    for _ in 0..20 {
        world.run(400);
        world.take_over(0);
    }
    world.run(3_000);
    for engine in world.engines.values() {
        assert_eq!(engine.base_loads_ms.len(), 1);
        assert!(engine.base_ready_ms <= world.now_ms);
    }
}

#[test]
fn a_refusal_for_an_adapter_in_place_frees_no_slot() {
    let mut world = World::new(1);
    for id in 0..SLOTS as u64 {
        world.place(id, request(&format!("m/a{id}")));
        world.run(600);
        world.planner.release(world.now_ms, 1, id);
    }
    world.planner.not_held(world.now_ms, backend(0).key, "m/a0");
    world.place(99, request("m/a99"));
    world.run(2_000);
    assert!(world.engine_of(99).is_some());
    assert_eq!(world.most_adapters(), SLOTS);
}
