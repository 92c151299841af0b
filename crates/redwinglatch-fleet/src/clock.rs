//! The process's monotonic clock and the lag of its timers.

use std::time::Duration;

use tokio::time::Instant;

/// Monotonic clock that counts milliseconds since its creation.
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

/// Weight of the newest tick in the exponential moving average of the lag.
const LAG_AVERAGE_WEIGHT: f64 = 0.05;
/// Average lag above which the process is considered overloaded.
const OVERLOAD_LAG_MS: f64 = 60.0;

/// Measures by how much periodic timers fire late, to detect that the process gets too little CPU
/// time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TimerLag {
    last_ms: Option<u64>,
    average_ms: f64,
}

impl TimerLag {
    /// Records a tick that was due `interval` after the previous one.
    pub(crate) fn tick(&mut self, now_ms: u64, interval: Duration) {
        if let Some(last_ms) = self.last_ms {
            let late_ms = now_ms.saturating_sub(last_ms) as f64 - interval.as_secs_f64() * 1_000.0;
            self.average_ms += (late_ms.max(0.0) - self.average_ms) * LAG_AVERAGE_WEIGHT;
        }
        self.last_ms = Some(now_ms);
    }

    /// Returns whether the average lag shows that the process gets too little CPU time.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.average_ms > OVERLOAD_LAG_MS
    }
}
