//! Time limit for conditions that tests wait for.

use tokio::time::{Duration, timeout};

/// Longest time that a test waits for a condition before it fails.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Waits for `condition`; panics with a message about `event` when the time limit is exceeded.
pub(crate) async fn expect_within_limit(event: &str, condition: impl Future<Output = ()>) {
    if timeout(WAIT_LIMIT, condition).await.is_err() {
        panic!("timed out after {} s waiting for {event}", WAIT_LIMIT.as_secs());
    }
}
