use std::collections::VecDeque;

use super::RequestLimits;
use crate::{ids::BackendKey, limited_servers::RequestLimit, request_rate::RequestRate};

const SERVER: BackendKey = BackendKey(1);
const LIMIT: RequestLimit =
    RequestLimit { server: SERVER, rate: Some(RequestRate { milli_per_s: 2_000 }) };
const NO_LIMIT: RequestLimit = RequestLimit { server: SERVER, rate: None };

#[test]
fn a_limit_ends_with_an_answer_to_a_later_request_that_names_none() {
    let mut limits = RequestLimits::default();
    assert!(limits.record_answer(1_000, 900, LIMIT));
    assert!(!limits.record_answer(1_100, 950, LIMIT));
    // This request was on its way when the limit was named to the other.
    assert!(!limits.record_answer(1_200, 1_000, NO_LIMIT));
    assert!(limits.is_limited(SERVER));
    assert!(limits.record_answer(1_300, 1_150, NO_LIMIT));
    assert!(!limits.is_limited(SERVER));
    assert!(!limits.record_answer(1_400, 1_350, NO_LIMIT));
}

/// Answers the loss of the coordinator under a load that comes in bursts at all processes at the same time.
#[test]
fn processes_without_a_coordinator_stay_within_a_limit_together() {
    const WINDOW_MS: u64 = 4_000;
    for (seed, processes, milli_per_s) in
        [(1, 2, 2_000), (2, 12, 1_500), (3, 12, 20_000), (4, 200, 2_000)]
    {
        fastrand::seed(seed);
        let limit = RequestLimit { rate: Some(RequestRate { milli_per_s }), ..LIMIT };
        let mut fleet: Vec<RequestLimits> = Vec::new();
        for _ in 0..processes {
            let mut limits = RequestLimits::default();
            limits.set(0, limit);
            fleet.push(limits);
        }
        let allowed = 1.5 * milli_per_s as f64 / 1_000.0 * 4.0 + 5.0;
        let mut sent_ms: VecDeque<u64> = VecDeque::new();
        let mut total = 0;
        for now_ms in (0..60_000).step_by(10) {
            let is_burst = now_ms / 2_500 % 2 == 0;
            for limits in &mut fleet {
                if is_burst && limits.try_take_turn(now_ms, SERVER, processes).is_ok() {
                    sent_ms.push_back(now_ms);
                    total += 1;
                }
            }
            while sent_ms.front().is_some_and(|at_ms| at_ms + WINDOW_MS <= now_ms) {
                sent_ms.pop_front();
            }
            let most = sent_ms.len();
            assert!(most as f64 <= allowed, "seed {seed}: {most} requests at {now_ms} ms");
        }
        assert!(total > 0, "seed {seed}: the limit is not used at all");
    }
}

#[test]
fn a_denied_server_gets_no_requests_until_then() {
    let mut limits = RequestLimits::default();
    limits.deny_until(SERVER, 2_000);
    assert_eq!(limits.denied_until_ms(1_000, SERVER), None, "the server has no limit");
    limits.set(0, LIMIT);
    limits.deny_until(SERVER, 2_000);
    assert_eq!(limits.denied_until_ms(1_000, SERVER), Some(2_000));
    assert_eq!(limits.denied_until_ms(2_000, SERVER), None);
    limits.set(1_000, NO_LIMIT);
    assert_eq!(limits.denied_until_ms(1_000, SERVER), None);
}

#[test]
fn a_limit_that_goes_on_is_confirmed_now_and_then() {
    let mut limits = RequestLimits::default();
    assert!(!limits.take_confirmation(5_000, SERVER), "the server has no limit");
    limits.set(5_000, LIMIT);
    let confirmed = (5_000..15_000).filter(|now_ms| limits.take_confirmation(*now_ms, SERVER));
    assert_eq!(confirmed.collect::<Vec<_>>(), [5_000, 7_000, 9_000, 11_000, 13_000]);
}
