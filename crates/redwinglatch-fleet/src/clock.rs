//! Milliseconds of the process's monotonic clock.

use tokio::time::Instant;

/// Counts milliseconds since the process started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started_at: Instant,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock { started_at: Instant::now() }
    }

    pub(crate) fn now_ms(self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
