use super::{RefusalReason, wait_ms};

#[test]
fn short_hold_is_waited_for_while_the_caller_stays() {
    assert_eq!(wait_ms(300, 1_500), Ok(300));
    assert_eq!(wait_ms(0, 200), Ok(0));
}

/// Guards against requests that wait for a server until their callers have left.
#[test]
fn long_hold_is_reported_at_once_with_its_end() {
    let refused = |retry_after_ms| Err(RefusalReason::BackendsOnHold { retry_after_ms });
    assert_eq!(wait_ms(2_000, 15_000), refused(2_000));
    assert_eq!(wait_ms(300, 400), refused(300));
}
