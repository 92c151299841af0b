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

/// Weight of a punctual tick in the exponential moving average of the lag; that of a late one grows with
/// the time since the previous tick.
const LAG_AVERAGE_WEIGHT: f64 = 0.05;
/// Average lag above which an entry process is considered overloaded.
pub(crate) const ENTRY_OVERLOAD_LAG_MS: f64 = 60.0;
/// Average lag above which a core process is considered overloaded. Every placement waits for the
/// coordinator, so it gives way sooner.
pub(crate) const CORE_OVERLOAD_LAG_MS: f64 = 25.0;
/// Largest weight of one tick in the average.
const MAX_LAG_WEIGHT: f64 = 0.4;

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
            let interval_ms = interval.as_secs_f64() * 1_000.0;
            let elapsed_ms = now_ms.saturating_sub(last_ms) as f64;
            let late_ms = (elapsed_ms - interval_ms).max(0.0);
            let weight = (LAG_AVERAGE_WEIGHT * elapsed_ms / interval_ms).min(MAX_LAG_WEIGHT);
            self.average_ms += (late_ms - self.average_ms) * weight;
        }
        self.last_ms = Some(now_ms);
    }

    /// Returns whether the average lag is above `lag_ms`, so that the process gets too little CPU time.
    pub(crate) fn is_above(&self, lag_ms: f64) -> bool {
        self.average_ms > lag_ms
    }
}

#[cfg(test)]
mod tests;
