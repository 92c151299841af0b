use super::can_end_before_stop;

/// Guards against streams that the end of the process cuts off. A stream of 600 tokens that was
/// accepted 1 s after SIGTERM ran for 6.8 s and was cut off when its process ended after 8 s.
#[test]
fn stream_that_may_outlast_the_grace_period_is_rejected() {
    assert!(!can_end_before_stop(1_000, 8_000, 600));
    assert!(can_end_before_stop(1_000, 8_000, 300));
    assert!(!can_end_before_stop(3_000, 8_000, 1));
}
