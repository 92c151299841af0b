//! Percentiles of measured times.

use std::time::Duration;

/// The time that the share `quantile` of `times_ms` does not exceed; 0 if there is none.
pub(crate) fn percentile_ms(times_ms: &[f64], quantile: f64) -> f64 {
    let mut sorted = times_ms.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

pub(crate) fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
