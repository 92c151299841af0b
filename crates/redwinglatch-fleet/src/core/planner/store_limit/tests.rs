use super::{FIRST_LIMIT, StoreLimit};

/// A store that serves `capacity` loads at full speed; more take longer in proportion.
fn settle(capacity: usize) -> f64 {
    let mut limit = StoreLimit::default();
    for _ in 0..2_000 {
        let in_flight = limit.limit.floor() as usize;
        limit.set_in_flight(in_flight);
        let slowdown = (in_flight as f64 / capacity as f64).max(1.0);
        limit.load_took((250.0 * slowdown) as u64);
    }
    limit.limit
}

#[test]
fn the_limit_settles_near_what_the_store_serves_at_full_speed() {
    for capacity in [8, 16, 48, 72] {
        let settled = settle(capacity);
        let share = settled / capacity as f64;
        assert!((0.9..1.5).contains(&share), "{settled} for a store that serves {capacity}");
    }
}

#[test]
fn reloads_from_the_engines_own_memory_say_nothing_about_the_store() {
    let mut limit = StoreLimit::default();
    limit.load_took(250);
    limit.load_took(30);
    limit.load_took(260);
    assert!(limit.limit >= FIRST_LIMIT);
}

#[test]
fn a_limit_of_another_coordinator_counts_until_a_slow_load() {
    let mut limit = StoreLimit::default();
    limit.hand_over(60);
    assert!(limit.limit >= 60.0);
    limit.hand_over(0);
    assert!(limit.limit >= 60.0);
    limit.load_took(250);
    limit.load_took(900);
    let lowered = limit.limit;
    limit.hand_over(100);
    assert!(limit.limit <= lowered);
}

/// A new coordinator finds a busy store, and must not take many seconds to use it.
#[test]
fn the_first_rise_takes_a_few_loads() {
    let mut limit = StoreLimit::default();
    let mut waves = 0;
    while limit.limit < 64.0 {
        for _ in 0..limit.limit.floor() as usize {
            // Another load starts for each that ends.
            limit.set_in_flight(limit.limit.floor() as usize);
            limit.load_took(250);
        }
        waves += 1;
    }
    assert!(waves <= 5, "{waves} waves of loads");
}
