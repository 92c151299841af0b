use std::time::Duration;

use super::{CORE_OVERLOAD_LAG_MS, TimerLag};

const TICK: Duration = Duration::from_millis(10);

/// Returns the time after which ticks at the given intervals show an overload, up to 3 s.
fn overloaded_after_ms(intervals_ms: &[u64]) -> Option<u64> {
    let mut lag = TimerLag::default();
    let mut now_ms = 0;
    for interval_ms in intervals_ms.iter().cycle() {
        now_ms += interval_ms;
        lag.tick(now_ms, TICK);
        if lag.is_above(CORE_OVERLOAD_LAG_MS) {
            return Some(now_ms);
        }
        if now_ms > 3_000 {
            return None;
        }
    }
    None
}

/// The machine of the coordinator is slowed down, and each pass takes 50 ms.
#[test]
fn a_slow_coordinator_is_noticed_within_half_a_second() {
    assert!(overloaded_after_ms(&[50]).is_some_and(|after_ms| after_ms <= 500));
}

#[test]
fn single_late_ticks_are_no_overload() {
    assert_eq!(overloaded_after_ms(&[10, 10, 10, 10, 10, 10, 10, 10, 10, 40]), None);
    assert_eq!(overloaded_after_ms(&[15]), None);
}
