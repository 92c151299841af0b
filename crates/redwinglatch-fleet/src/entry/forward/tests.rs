use super::ends_before_stop;

/// A stream of 600 tokens that was taken 1 s after SIGTERM ran for 6.8 s and was cut by the end of
/// its process after 8 s.
#[test]
fn a_stream_that_may_outlast_the_grace_period_is_not_taken() {
    assert!(!ends_before_stop(1_000, 8_000, 600));
    assert!(ends_before_stop(1_000, 8_000, 300));
    assert!(!ends_before_stop(3_000, 8_000, 1));
}
