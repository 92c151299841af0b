//! Counters, gauges and histograms of an instance, and their metrics page.
//!
//! [`Metrics`] is shared by `Arc` between all tasks. Counting is one atomic addition; recording a
//! time takes a lock briefly. [`Metrics::render`] writes the Prometheus text format, in which every
//! refusal and retry reason is present from the start.

mod counter;
mod gauge;
mod metrics;
mod timing;

pub use counter::Counter;
pub use gauge::Gauge;
pub use metrics::Metrics;
pub use timing::Timing;
