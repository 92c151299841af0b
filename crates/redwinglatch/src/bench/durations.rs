//! Percentiles and unit conversion of measured durations.

use std::time::Duration;

/// Returns the quantile `quantile` (0 to 1) of `times_ms`; 0 if `times_ms` is empty.
pub(crate) fn percentile_ms(times_ms: &[f64], quantile: f64) -> f64 {
    let mut sorted = times_ms.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

pub(crate) fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
