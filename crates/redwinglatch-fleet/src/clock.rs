//! Milliseconds of the process's monotonic clock.

use std::time::Duration;

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

/// The weight of a tick in the average.
const LAG_WEIGHT: f64 = 0.05;
/// A process whose ticks are this late on average can't keep up.
const SLOW_MS: f64 = 60.0;

/// Finds out whether the process gets too little processor time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Lag {
    last_ms: Option<u64>,
    average_ms: f64,
}

impl Lag {
    /// Takes a tick that follows the one before after `interval`.
    pub(crate) fn tick(&mut self, now_ms: u64, interval: Duration) {
        if let Some(last_ms) = self.last_ms {
            let late_ms = now_ms.saturating_sub(last_ms) as f64 - interval.as_secs_f64() * 1_000.0;
            self.average_ms += (late_ms.max(0.0) - self.average_ms) * LAG_WEIGHT;
        }
        self.last_ms = Some(now_ms);
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.average_ms > SLOW_MS
    }
}
