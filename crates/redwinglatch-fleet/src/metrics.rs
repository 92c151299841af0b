//! Counters and latency histograms of a process, as text.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming};

use crate::http::Body;

/// Where the page is served.
const PATH: &str = "/metrics";
/// The longest time that a histogram tells apart.
const MAX_MS: u64 = 120_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 2;
/// The quantiles on the page.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// What a process has counted since its start.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    values: Mutex<Values>,
}

#[derive(Debug, Default)]
struct Values {
    /// Counters by name and reason; both are constants of this package, so the set is bounded.
    counters: BTreeMap<(&'static str, &'static str), u64>,
    times: BTreeMap<&'static str, Times>,
}

#[derive(Debug)]
struct Times(Histogram<u32>);

impl Default for Times {
    fn default() -> Times {
        Times(Histogram::new_with_max(MAX_MS, DIGITS).expect("the bounds are valid"))
    }
}

impl Metrics {
    fn lock(&self) -> MutexGuard<'_, Values> {
        // Counters are valid between any two statements.
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, name: &'static str, reason: &'static str) {
        *self.lock().counters.entry((name, reason)).or_default() += 1;
    }

    fn time(&self, name: &'static str, time_ms: u128) {
        let time_ms = u64::try_from(time_ms).unwrap_or(MAX_MS).min(MAX_MS);
        self.lock().times.entry(name).or_default().0.saturating_record(time_ms);
    }

    /// Counts a request that this process refused or gave up.
    pub(crate) fn refused(&self, reason: &'static str) {
        self.count("refusals", reason);
    }

    /// Counts a request that was sent once more.
    pub(crate) fn repeated(&self, reason: &'static str) {
        self.count("repeats", reason);
    }

    /// Counts an order by its outcome.
    pub(crate) fn ordered(&self, outcome: &'static str) {
        self.count("orders", outcome);
    }

    /// Takes the time to the head or the whole of an answer.
    pub(crate) fn answered(&self, time_ms: u128) {
        self.time("answer_ms", time_ms);
    }

    /// Takes the time to the first event of a stream and the longest pause after it.
    pub(crate) fn streamed(&self, first_event_ms: u128, largest_gap_ms: u128) {
        self.time("first_event_ms", first_event_ms);
        self.time("largest_gap_ms", largest_gap_ms);
    }

    /// Takes the time that a request waited for a backend server.
    pub(crate) fn waited(&self, time_ms: u128) {
        self.time("placing_ms", time_ms);
    }

    /// The page as text.
    pub(crate) fn render(&self) -> String {
        let mut page = String::new();
        let values = self.lock();
        for ((name, reason), count) in &values.counters {
            let _ = writeln!(page, "redwinglatch_{name}{{reason=\"{reason}\"}} {count}");
        }
        for (name, Times(times)) in &values.times {
            for quantile in QUANTILES {
                let value = times.value_at_quantile(quantile);
                let _ = writeln!(page, "redwinglatch_{name}{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(page, "redwinglatch_{name}_count {}", times.len());
        }
        page
    }
}

/// Answers a request for the page.
pub(crate) async fn page(metrics: Arc<Metrics>, request: Request<Incoming>) -> Response<Body> {
    let found = request.uri().path() == PATH;
    let text = if found { metrics.render() } else { String::new() };
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    if !found {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    response
}

#[cfg(test)]
mod tests;
