//! Monotonic and wall clock of an instance.

use std::time::SystemTime;

use tokio::time::{Duration, Instant};

/// The monotonic clock that all decisions use, in milliseconds since the start of the instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started_at: Instant,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock { started_at: Instant::now() }
    }

    pub(crate) fn at_ms(self, at_ms: u64) -> Instant {
        self.started_at + Duration::from_millis(at_ms)
    }

    pub(crate) fn now_ms(self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Seconds since the Unix epoch, for the expiry of records that outlive a process.
pub(crate) fn wall_clock_s() -> u64 {
    #[expect(clippy::disallowed_methods, reason = "the runtime has no wall clock")]
    let now = SystemTime::now();
    now.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
