use super::{can_be_answered_within, can_end_before_stop};

/// Guards against streams that the end of the process cuts off. A stream of 600 tokens that was
/// accepted 1 s after SIGTERM ran for 6.8 s and was cut off when its process ended after 8 s.
#[test]
fn stream_that_may_outlast_the_grace_period_is_rejected() {
    assert!(!can_end_before_stop(1_000, 8_000, 600));
    assert!(can_end_before_stop(1_000, 8_000, 300));
    assert!(!can_end_before_stop(3_000, 8_000, 1));
}

/// Guards against a request that is passed on although the process ends before its server answers.
#[test]
fn request_that_may_outlast_the_grace_period_is_rejected() {
    assert!(can_be_answered_within(1_600, Some(700), 1_500));
    assert!(can_be_answered_within(1_500, None, 1_500));
    assert!(can_be_answered_within(160, Some(30), 1_500));
    assert!(!can_be_answered_within(1_400, Some(700), 3_000));
    assert!(!can_be_answered_within(1_400, None, 1_500));
    assert!(!can_be_answered_within(0, Some(1), 1_500));
}
