use super::{MAX_LIMITED_SERVERS, RequestLimits};
use crate::{ids::BackendKey, request_rate::RequestRate};

const SERVER: BackendKey = BackendKey(1);
const LIMIT: Option<RequestRate> = Some(RequestRate { milli_per_s: 2_000 });

#[test]
fn a_limit_ends_with_an_answer_to_a_later_request_that_names_none() {
    let mut limits = RequestLimits::default();
    assert!(limits.record_answer(1_000, SERVER, 900, LIMIT));
    assert!(!limits.record_answer(1_100, SERVER, 950, LIMIT));
    // This request was on its way when the limit was named to the other.
    assert!(!limits.record_answer(1_200, SERVER, 1_000, None));
    assert!(limits.is_limited(SERVER));
    assert!(limits.record_answer(1_300, SERVER, 1_150, None));
    assert!(!limits.is_limited(SERVER));
    assert!(!limits.record_answer(1_400, SERVER, 1_350, None));
}

#[test]
fn a_changed_limit_is_new() {
    let mut limits = RequestLimits::default();
    assert!(limits.record_answer(1_000, SERVER, 900, LIMIT));
    let lower = Some(RequestRate { milli_per_s: 500 });
    assert!(limits.record_answer(1_100, SERVER, 1_050, lower));
}

#[test]
fn the_number_of_limits_is_bounded() {
    let mut limits = RequestLimits::default();
    for number in 0..=MAX_LIMITED_SERVERS as u64 {
        limits.record_answer(number, BackendKey(number), number, LIMIT);
    }
    assert!(!limits.is_limited(BackendKey(0)));
    assert!(limits.is_limited(BackendKey(1)));
    assert!(limits.is_limited(BackendKey(MAX_LIMITED_SERVERS as u64)));
}
