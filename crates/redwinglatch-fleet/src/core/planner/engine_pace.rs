//! The pace of each engine, learned from the time to the first events of its requests.

/// Work of a request besides its unread prompt, in prompt tokens: the steps up to its first event.
const FIRST_EVENT_TOKENS: f64 = 800.0;
/// Weight of a new measurement.
const SMOOTHING: f64 = 0.25;
/// Measurements after which the pace of an engine counts half.
const HALF_TRUST_MEASUREMENTS: f64 = 2.0;
/// Time without a measurement after which the pace of an engine counts half as much, so that an engine
/// which was slow for a while is tried again.
const TRUST_HALF_LIFE_MS: f64 = 8_000.0;
/// Range of a measurement relative to the usual time. A longer one was queued or interrupted.
const MEASUREMENT_RANGE: std::ops::RangeInclusive<f64> = 0.2..=5.0;
/// Paces in this range count as usual, so that equal engines are not told apart by chance.
const USUAL_PACE: std::ops::RangeInclusive<f64> = 0.8..=1.25;
/// Engines with measurements that are needed for the usual time.
const MIN_MEASURED_ENGINES: usize = 3;

/// The measured time per unit of work of one engine.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EnginePace {
    ms_per_token: f64,
    measurements: f64,
    measured_ms: u64,
}

impl EnginePace {
    /// Records that a request had its first event after `elapsed_ms`, with `tokens` unread prompt tokens
    /// before it and of its own.
    pub(super) fn record(
        &mut self,
        now_ms: u64,
        elapsed_ms: u64,
        tokens: u64,
        usual_ms_per_token: Option<f64>,
    ) {
        let mut measured = elapsed_ms as f64 / (tokens as f64 + FIRST_EVENT_TOKENS);
        if let Some(usual) = usual_ms_per_token {
            measured =
                measured.clamp(usual * MEASUREMENT_RANGE.start(), usual * MEASUREMENT_RANGE.end());
        }
        if self.measurements == 0.0 {
            self.ms_per_token = measured;
        } else {
            self.ms_per_token += (measured - self.ms_per_token) * SMOOTHING;
        }
        self.measurements = self.trusted_measurements(now_ms) + 1.0;
        self.measured_ms = now_ms;
    }

    /// Returns the time that the engine needs for a unit of work, relative to the usual one: 2 for an engine
    /// that takes twice as long.
    pub(super) fn relative(&self, now_ms: u64, usual_ms_per_token: Option<f64>) -> f64 {
        let Some(usual) = usual_ms_per_token else { return 1.0 };
        if self.measurements == 0.0 || usual <= 0.0 {
            return 1.0;
        }
        let measurements = self.trusted_measurements(now_ms);
        let trust = measurements / (measurements + HALF_TRUST_MEASUREMENTS);
        let pace = 1.0 + (self.ms_per_token / usual - 1.0) * trust;
        if USUAL_PACE.contains(&pace) { 1.0 } else { pace }
    }

    fn trusted_measurements(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.measured_ms) as f64;
        self.measurements * (-age_ms / TRUST_HALF_LIFE_MS).exp2()
    }
}

/// Returns the usual time per unit of work: the median of the engines that were measured.
pub(super) fn usual_ms_per_token<'a>(engines: impl Iterator<Item = &'a EnginePace>) -> Option<f64> {
    let measured = engines.filter(|pace| pace.measurements > 0.0);
    let mut times: Vec<f64> = measured.map(|pace| pace.ms_per_token).collect();
    if times.len() < MIN_MEASURED_ENGINES {
        return None;
    }
    let middle = times.len() / 2;
    let (_, median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

#[cfg(test)]
mod tests;
