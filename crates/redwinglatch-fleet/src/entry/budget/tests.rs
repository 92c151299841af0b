use super::{MIN_PROCESSES, RetryBudget};
use crate::RetryBudgetBounds;

const BOUNDS: RetryBudgetBounds = RetryBudgetBounds { ratio: 0.2, slack: 64.0, window_ms: 10_000 };

/// If all requests fail at once, the retries of all entry processes together stay within the shared
/// limit in every window.
#[test]
fn retries_stay_within_the_limit_in_every_window() {
    let mut processes: Vec<_> = (0..MIN_PROCESSES).map(|_| RetryBudget::new(BOUNDS)).collect();
    let mut retries = Vec::new();
    let mut requests = Vec::new();
    let mut rng = fastrand::Rng::with_seed(3);
    for now_ms in (0..40_000).step_by(10) {
        let process = &mut processes[rng.usize(0..MIN_PROCESSES as usize)];
        process.count_request(now_ms, "desk");
        requests.push(now_ms);
        for _ in 0..3 {
            if process.try_take_retry(now_ms, "desk") {
                retries.push(now_ms);
            }
        }
    }
    for end_ms in (0..40_000).step_by(250) {
        let inside = |time_ms: &&u64| **time_ms <= end_ms && end_ms < **time_ms + 10_000;
        let requests = requests.iter().filter(inside).count() as f64;
        let retries = retries.iter().filter(inside).count() as f64;
        let bound = requests * BOUNDS.ratio + BOUNDS.slack;
        assert!(
            retries <= bound,
            "{retries} retries exceed {bound} in the window that ends at {end_ms} ms"
        );
    }
    assert!(!retries.is_empty());
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budget = RetryBudget::new(BOUNDS);
    while budget.try_take_retry(0, "desk") {}
    assert!(budget.try_take_retry(0, "writer"));
    assert!(!budget.try_take_retry(9_000, "desk"));
    assert!(budget.try_take_retry(10_001, "desk"));
}
