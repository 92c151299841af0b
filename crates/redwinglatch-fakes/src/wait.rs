//! Bounded waiting for tests.

use tokio::time::{Duration, timeout};

/// How long a test may wait for a condition; a longer wait is a failure.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Waits for `condition`, and panics when it does not come in time.
pub(crate) async fn within_limit(what: &str, condition: impl Future<Output = ()>) {
    if timeout(WAIT_LIMIT, condition).await.is_err() {
        panic!("{what} did not come about within {} s", WAIT_LIMIT.as_secs());
    }
}
