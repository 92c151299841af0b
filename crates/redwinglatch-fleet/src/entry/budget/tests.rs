use super::{MIN_INSTANCES, RetryBudgets};
use crate::RetryBudgetBounds;

const BOUNDS: RetryBudgetBounds = RetryBudgetBounds { ratio: 0.2, slack: 64, window_ms: 10_000 };

/// While everything fails at once, the repeats of all instances stay within the shared bound in
/// every window.
#[test]
fn repeats_stay_within_the_bound_in_every_window() {
    let mut instances: Vec<_> = (0..MIN_INSTANCES).map(|_| RetryBudgets::new(BOUNDS)).collect();
    let mut repeats = Vec::new();
    let mut requests = Vec::new();
    let mut rng = fastrand::Rng::with_seed(3);
    for now_ms in (0..40_000).step_by(10) {
        let instance = &mut instances[rng.usize(0..MIN_INSTANCES as usize)];
        instance.count_request(now_ms, "desk");
        requests.push(now_ms);
        for _ in 0..3 {
            if instance.take_repeat(now_ms, "desk") {
                repeats.push(now_ms);
            }
        }
    }
    for end_ms in (0..40_000).step_by(250) {
        let inside = |time_ms: &&u64| **time_ms <= end_ms && end_ms < **time_ms + 10_000;
        let requests = requests.iter().filter(inside).count() as f64;
        let repeats = repeats.iter().filter(inside).count() as f64;
        let bound = requests * BOUNDS.ratio + BOUNDS.slack as f64;
        assert!(repeats <= bound, "{repeats} repeats of {bound} before {end_ms} ms");
    }
    assert!(!repeats.is_empty());
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut budgets = RetryBudgets::new(BOUNDS);
    while budgets.take_repeat(0, "desk") {}
    assert!(budgets.take_repeat(0, "writer"));
    assert!(!budgets.take_repeat(9_000, "desk"));
    assert!(budgets.take_repeat(10_001, "desk"));
}
