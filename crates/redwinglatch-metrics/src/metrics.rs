//! The counters, gauges and histograms of one process.

use std::fmt::Write as _;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use redwinglatch_core::{RefusalReason, RetryReason};

use crate::{Counter, Gauge, Timing};

/// Quantiles on the metrics page; 1 is the longest time recorded.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 1.0];
/// One hour; longer times are recorded as this value.
const MAX_RECORDED_NS: u64 = 3_600_000_000_000;
/// Recorded times are exact to 1 %. A third digit would need eight times the memory.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The counters, gauges and histograms of one process; share it by `Arc`.
#[derive(Debug)]
pub struct Metrics {
    refusals: [AtomicU64; RefusalReason::ALL.len()],
    retries: [AtomicU64; RetryReason::ALL.len()],
    counters: [AtomicU64; Counter::ALL.len()],
    gauges: [AtomicI64; Gauge::ALL.len()],
    timings: [Mutex<Distribution>; Timing::ALL.len()],
}

#[derive(Debug)]
struct Distribution {
    histogram: Histogram<u64>,
    sum_ns: u128,
}

impl Distribution {
    fn new() -> Distribution {
        let histogram = Histogram::new_with_max(MAX_RECORDED_NS, SIGNIFICANT_DIGITS)
            .expect("the bounds of the histogram are constants");
        Distribution { histogram, sum_ns: 0 }
    }
}

impl Metrics {
    /// Creates metrics that are all 0.
    #[must_use]
    pub fn new() -> Metrics {
        Metrics {
            refusals: [const { AtomicU64::new(0) }; RefusalReason::ALL.len()],
            retries: [const { AtomicU64::new(0) }; RetryReason::ALL.len()],
            counters: [const { AtomicU64::new(0) }; Counter::ALL.len()],
            gauges: [const { AtomicI64::new(0) }; Gauge::ALL.len()],
            timings: std::array::from_fn(|_| Mutex::new(Distribution::new())),
        }
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: RefusalReason) {
        self.refusals[reason.index()].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a retry.
    pub fn retried(&self, reason: RetryReason) {
        self.retries[reason.index()].fetch_add(1, Ordering::Relaxed);
    }

    /// Adds 1 to a counter.
    pub fn increment(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds `amount` to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.counters[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: i64) {
        self.gauges[gauge as usize].store(value, Ordering::Relaxed);
    }

    /// Adds `delta`, which may be negative, to a gauge.
    pub fn adjust(&self, gauge: Gauge, delta: i64) {
        self.gauges[gauge as usize].fetch_add(delta, Ordering::Relaxed);
    }

    /// Records a time; times above one hour are recorded as one hour.
    pub fn record(&self, timing: Timing, elapsed: Duration) {
        let elapsed_ns = u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX).min(MAX_RECORDED_NS);
        let mut distribution = self.lock_distribution(timing);
        distribution.histogram.saturating_record(elapsed_ns);
        distribution.sum_ns += u128::from(elapsed_ns);
    }

    /// Returns the number of refusals for `reason`.
    #[must_use]
    pub fn refusals(&self, reason: RefusalReason) -> u64 {
        self.refusals[reason.index()].load(Ordering::Relaxed)
    }

    /// Returns the number of retries for `reason`.
    #[must_use]
    pub fn retries(&self, reason: RetryReason) -> u64 {
        self.retries[reason.index()].load(Ordering::Relaxed)
    }

    /// Returns the value of a counter.
    #[must_use]
    pub fn counter(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].load(Ordering::Relaxed)
    }

    /// Returns the value of a gauge.
    #[must_use]
    pub fn gauge(&self, gauge: Gauge) -> i64 {
        self.gauges[gauge as usize].load(Ordering::Relaxed)
    }

    /// Returns the time at `quantile` of the recorded times, where 1 is the longest; zero if none
    /// was recorded.
    #[must_use]
    pub fn quantile(&self, timing: Timing, quantile: f64) -> Duration {
        Duration::from_nanos(self.lock_distribution(timing).histogram.value_at_quantile(quantile))
    }

    /// Writes the metrics page in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut page = String::with_capacity(16_384);
        self.render_into(&mut page).expect("writing to a string does not fail");
        page
    }

    fn render_into(&self, page: &mut String) -> std::fmt::Result {
        let series = "redwinglatch_refusals_total";
        write_heading(page, series, "counter", "Refused requests, orders and changes, by reason.")?;
        for reason in RefusalReason::ALL {
            let count = self.refusals(*reason);
            writeln!(page, "{series}{{reason=\"{}\"}} {count}", reason.code())?;
        }
        let series = "redwinglatch_retries_total";
        write_heading(page, series, "counter", "Requests and orders sent again, by reason.")?;
        for reason in RetryReason::ALL {
            let count = self.retries(*reason);
            writeln!(page, "{series}{{reason=\"{}\"}} {count}", reason.code())?;
        }
        for counter in Counter::ALL {
            write_heading(page, counter.series(), "counter", counter.help())?;
            writeln!(page, "{} {}", counter.series(), self.counter(*counter))?;
        }
        for gauge in Gauge::ALL {
            write_heading(page, gauge.series(), "gauge", gauge.help())?;
            writeln!(page, "{} {}", gauge.series(), self.gauge(*gauge))?;
        }
        for timing in Timing::ALL {
            let series = timing.series();
            write_heading(page, series, "summary", timing.help())?;
            let distribution = self.lock_distribution(*timing);
            for quantile in QUANTILES {
                let value_ns = distribution.histogram.value_at_quantile(quantile);
                let value_s = seconds(u128::from(value_ns));
                writeln!(page, "{series}{{quantile=\"{quantile}\"}} {value_s}")?;
            }
            writeln!(page, "{series}_sum {}", seconds(distribution.sum_ns))?;
            writeln!(page, "{series}_count {}", distribution.histogram.len())?;
        }
        Ok(())
    }

    fn lock_distribution(&self, timing: Timing) -> MutexGuard<'_, Distribution> {
        // A histogram stays usable after a panic elsewhere, because each change of it is complete.
        self.timings[timing as usize].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

fn write_heading(page: &mut String, series: &str, kind: &str, help: &str) -> std::fmt::Result {
    writeln!(page, "# HELP {series} {help}\n# TYPE {series} {kind}")
}

fn seconds(ns: u128) -> f64 {
    ns as f64 / 1e9
}
