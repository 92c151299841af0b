use super::{INITIAL_LIMIT, StoreLimit};

/// Returns the limit after many loads from a store that serves `capacity` loads at full speed;
/// beyond that, each load takes longer in proportion.
fn settle(capacity: usize) -> f64 {
    let mut limit = StoreLimit::default();
    for _ in 0..2_000 {
        let in_flight = limit.limit.floor() as usize;
        limit.set_in_flight(in_flight);
        let slowdown = (in_flight as f64 / capacity as f64).max(1.0);
        limit.record_load((250.0 * slowdown) as u64);
    }
    limit.limit
}

#[test]
fn the_limit_settles_near_the_capacity_of_the_store() {
    for capacity in [8, 16, 48, 72] {
        let settled = settle(capacity);
        let share = settled / capacity as f64;
        assert!((0.9..1.5).contains(&share), "{settled} for a store that serves {capacity}");
    }
}

#[test]
fn loads_from_the_engines_own_memory_do_not_change_the_limit() {
    let mut limit = StoreLimit::default();
    limit.record_load(250);
    limit.record_load(30);
    limit.record_load(260);
    assert!(limit.limit >= INITIAL_LIMIT);
}

#[test]
fn the_limit_of_another_coordinator_is_used_until_a_slow_load() {
    let mut limit = StoreLimit::default();
    limit.adopt(60);
    assert!(limit.limit >= 60.0);
    limit.adopt(0);
    assert!(limit.limit >= 60.0);
    limit.record_load(250);
    limit.record_load(900);
    let lowered = limit.limit;
    limit.adopt(100);
    assert!(limit.limit <= lowered);
}

/// A new coordinator must reach the capacity of a busy store within a few loads, not many seconds.
#[test]
fn the_initial_increase_takes_a_few_loads() {
    let mut limit = StoreLimit::default();
    let mut waves = 0;
    while limit.limit < 64.0 {
        for _ in 0..limit.limit.floor() as usize {
            // A new load starts as each one completes.
            limit.set_in_flight(limit.limit.floor() as usize);
            limit.record_load(250);
        }
        waves += 1;
    }
    assert!(waves <= 5, "{waves} waves of loads");
}

/// A load that was under way already, because its first order was taken for lost, looks fast. It must not
/// make all other loads look slow: then the limit fell to its lower bound and stayed there.
#[test]
fn a_load_that_was_under_way_does_not_lower_the_limit() {
    let mut store = StoreLimit::default();
    store.expect_rate(33.0);
    let before = store.limit();
    store.set_in_flight(20);
    store.record_load(265);
    store.record_load(130);
    store.record_load(185);
    for _ in 0..200 {
        store.record_load(265);
    }
    assert!(store.limit() >= before, "{} after {before}", store.limit());
}

/// Loads that the coordinator doesn't know of make all others slow for a while.
#[test]
fn a_store_of_known_rate_keeps_half_of_its_limit() {
    let mut store = StoreLimit::default();
    store.expect_rate(33.0);
    let before = store.limit();
    store.set_in_flight(40);
    store.record_load(250);
    for _ in 0..1_000 {
        store.record_load(600);
    }
    assert!(store.limit() >= before / 2.0);
}

/// A load is seen complete at the first check after its end. The time of the first check follows the
/// measured durations, and must not raise them in turn.
#[test]
fn time_of_the_first_check_follows_the_loads() {
    let mut store = StoreLimit::default();
    for _ in 0..300 {
        store.record_load(500);
    }
    assert!(store.first_check_ms() > 350);
    for _ in 0..300 {
        store.record_load(250.max(store.first_check_ms() + 5));
    }
    assert!(store.first_check_ms() <= 250, "{}", store.first_check_ms());
}
